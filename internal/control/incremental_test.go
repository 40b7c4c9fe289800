package control

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// What a user sees: urgent jobs begin 50 ms late and more on a large deployment with
// room.
// Order: a whole decision has taken long, and the planner rests in proportion; a job
// comes, its permits are to be asked for, then it is to be started.
// Cause: each of the two steps waited for the next whole decision.
func TestChangedJobStartsBeforeNextFullPass(t *testing.T) {
	term := loadedTerm(t, benchmarkLoad{workers: 8})
	term.decide()
	go term.planChangedJobs(time.Minute)
	command := submission("a")
	command.Submit.Policy.Advice = &workflow.AdvicePolicy{BaseMS: 1, PerWorkerMS: 0.1, TicketValidityMS: 2000}
	_, err := term.propose(command)
	must.NoError(t, err)
	term.noteAccepted("a", time.Now())
	for range 1000 {
		started := 0
		term.c.state.read(func(s *workflow.State) { started = s.Task(task("a", 0)).Runs })
		if started == 1 {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("the job wasn't started")
}

// What a user sees: older jobs wait on while newer ones start.
// Order: more steps wait than a decision goes into; a job comes.
// Cause guarded against: the newest job would be offered room before those that no
// decision has come to yet.
func TestIncrementalPassYieldsToBacklog(t *testing.T) {
	term := &leaderTerm{wakePlanner: make(chan struct{}, 1), backlog: true, leftoverAt: time.Now(), changedJobs: map[string]bool{"a": true}}
	term.decideIncrementally(time.Now())
	must.MapLen(t, 1, term.changedJobs)
	must.Eq(t, 1, len(term.wakePlanner), must.Sprint("a whole decision is asked for"))
}

// What a user sees: after a burst urgent jobs are late for the rest of the day, beside a
// fifth of the cores that is free.
// Order: more steps wait than a decision goes into; an urgent job comes.
// Cause: it waited for one whole decision to ask for its permits and for another one to
// start, and so did each one after it.
func TestUrgentChangedJobStartsDespiteBacklog(t *testing.T) {
	term := backloggedTerm(t)
	go term.planChangedJobs(time.Minute)
	submitAdvised(t, term, "a", 1_000)
	for range 1000 {
		if runsOf(term, "a") == 1 {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("the job wasn't started")
}

// What a user sees: older and more urgent jobs wait on while newer ones start.
// Order: more steps wait than a decision goes into; a job comes that is less urgent than
// some that it had no place for.
// Cause guarded against: the job would be offered room before those.
func TestLessUrgentChangedJobWaitsBehindBacklog(t *testing.T) {
	term := backloggedTerm(t)
	submitAdvised(t, term, "a", 1_000_000)
	term.decideIncrementally(time.Now())
	must.Eq(t, 0, term.permitsOf(workflow.StepKey{Job: "a"}).inFlight)
	must.Eq(t, 0, runsOf(term, "a"))
	must.Eq(t, 1, len(term.wakePlanner), must.Sprint("a whole decision is asked for"))
}

// backloggedTerm has decided once about more steps than one decision goes into.
func backloggedTerm(t *testing.T) *leaderTerm {
	term := loadedTerm(t, benchmarkLoad{workers: 8, queued: maxPlannedSteps + 50})
	term.decide()
	must.True(t, term.backlog)
	for len(term.wakePlanner) > 0 {
		<-term.wakePlanner
	}
	return term
}

// submitAdvised hands in a job that needs permits and has an objective.
func submitAdvised(t *testing.T, term *leaderTerm, id string, objectiveMS int64) {
	command := submission(id)
	command.Submit.Policy.Advice = &workflow.AdvicePolicy{BaseMS: 1, PerWorkerMS: 0.1, TicketValidityMS: 2000}
	command.Submit.Policy.ObjectiveMS = objectiveMS
	_, err := term.propose(command)
	must.NoError(t, err)
	term.noteAccepted(id, time.Now())
}

// runsOf counts the runs of a job's first task.
func runsOf(term *leaderTerm, id string) (runs int) {
	term.c.state.read(func(s *workflow.State) { runs = s.Task(task(id, 0)).Runs })
	return runs
}

// What a user sees: a leader that is behind falls further behind.
// Order: answers to its calls are read late, as its processor is full.
// Cause: it looked at each worker again as soon as before.
func TestPollIntervalGrowsWithAnswerTime(t *testing.T) {
	s := &workerSession{t: &leaderTerm{}}
	must.Eq(t, pollPauseAfterEnds, s.pauseAfterEnds())
	s.t.answerTime = 20 * time.Millisecond
	must.Eq(t, 160*time.Millisecond, s.pauseAfterEnds())
	s.t.answerTime = time.Second
	must.Eq(t, maxPollPauseAfterEnds, s.pauseAfterEnds())
}

// What a user sees: urgent tasks have ended, and their callers are told a quarter of a
// second later.
// Order: workers are called through another instance, and each answer takes 20 ms, the
// quickest as well.
// Cause: the length of the way was taken for a delay of the leader's.
func TestConstantLatencyToWorkersKeepsPollInterval(t *testing.T) {
	term := &leaderTerm{}
	for range 200 {
		term.noteAnswerTime(20 * time.Millisecond)
	}
	must.Eq(t, pollPauseAfterEnds, (&workerSession{t: term}).pauseAfterEnds())
}
