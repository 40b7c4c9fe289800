package control

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// startChecks is how often a test checks whether a job has started, every
	// startCheckInterval.
	startChecks        = 1000
	startCheckInterval = 5 * time.Millisecond
)

// Guards against delaying urgent jobs by 50 ms and more in a large deployment with free
// resources: after a long full decision the planner pauses in proportion, and a new job
// needs two decisions, one for its adviser queries and one for its start. Neither may wait
// for the next full decision.
func TestChangedJobStartsBeforeNextFullDecision(t *testing.T) {
	term := loadedTerm(t, benchmarkLoad{workers: 8})
	term.decide()
	go term.planChangedJobs(time.Minute)
	command := submission("a")
	command.Submit.Policy.Advice = &workflow.AdvicePolicy{BaseMS: 1, PerWorkerMS: 0.1, TicketValidityMS: 2000}
	_, err := term.propose(command)
	must.NoError(t, err)
	term.recordAccepted("a", time.Now())
	for range startChecks {
		started := 0
		term.c.state.read(func(s *workflow.State) { started = s.Task(task("a", 0)).Runs })
		if started == 1 {
			return
		}
		time.Sleep(startCheckInterval)
	}
	t.Fatal("the job wasn't started")
}

// Guards against starting a changed job before steps that no decision has considered yet,
// while more steps wait than one decision considers.
func TestIncrementalDecisionYieldsToBacklog(t *testing.T) {
	term := &leaderTerm{wakePlanner: make(chan struct{}, 1), backlog: true, leftoverAt: time.Now(), changedJobs: map[string]bool{"a": true}}
	term.decideIncrementally(time.Now())
	must.MapLen(t, 1, term.changedJobs)
	must.Eq(t, 1, len(term.wakePlanner), must.Sprint("a full decision is requested"))
}

// Guards against a queue that remains after a burst although a fifth of the cores is free:
// more steps wait than one decision considers, and each urgent job waits for one full
// decision to query the adviser and for another one to start.
func TestUrgentChangedJobStartsDespiteBacklog(t *testing.T) {
	term := backloggedTerm(t)
	go term.planChangedJobs(time.Minute)
	submitAdvised(t, term, "a", 1_000)
	for range startChecks {
		if runsOf(term, "a") == 1 {
			return
		}
		time.Sleep(startCheckInterval)
	}
	t.Fatal("the job wasn't started")
}

// Guards against starting a changed job before more urgent steps that the last full
// decision skipped.
func TestLessUrgentChangedJobWaitsBehindBacklog(t *testing.T) {
	term := backloggedTerm(t)
	submitAdvised(t, term, "a", 1_000_000)
	term.decideIncrementally(time.Now())
	must.Eq(t, 0, term.permitsOf(workflow.StepKey{Job: "a"}).inFlight)
	must.Eq(t, 0, runsOf(term, "a"))
	must.Eq(t, 1, len(term.wakePlanner), must.Sprint("a full decision is requested"))
}

// backloggedTerm returns a leader term that has made one full decision with more steps
// than one decision considers.
func backloggedTerm(t *testing.T) *leaderTerm {
	term := loadedTerm(t, benchmarkLoad{workers: 8, queued: maxPlannedSteps + 50})
	term.decide()
	must.True(t, term.backlog)
	for len(term.wakePlanner) > 0 {
		<-term.wakePlanner
	}
	return term
}

// submitAdvised submits a job that needs permits and has an objective.
func submitAdvised(t *testing.T, term *leaderTerm, id string, objectiveMS int64) {
	command := submission(id)
	command.Submit.Policy.Advice = &workflow.AdvicePolicy{BaseMS: 1, PerWorkerMS: 0.1, TicketValidityMS: 2000}
	command.Submit.Policy.ObjectiveMS = objectiveMS
	_, err := term.propose(command)
	must.NoError(t, err)
	term.recordAccepted(id, time.Now())
}

// runsOf returns how many runs a job's first task has had.
func runsOf(term *leaderTerm, id string) (runs int) {
	term.c.state.read(func(s *workflow.State) { runs = s.Task(task(id, 0)).Runs })
	return runs
}

// Guards against overloading a leader further: when its processor is busy it reads the
// responses of workers late, so it must poll them less often.
func TestPollIntervalGrowsWithResponseTime(t *testing.T) {
	s := &workerSession{t: &leaderTerm{}}
	must.Eq(t, pollPauseAfterEnds, s.pauseAfterEnds())
	s.t.responseTime = 20 * time.Millisecond
	must.Eq(t, 160*time.Millisecond, s.pauseAfterEnds())
	s.t.responseTime = time.Second
	must.Eq(t, maxPollPauseAfterEnds, s.pauseAfterEnds())
}

// Guards against reporting ends up to a quarter of a second late: workers are called
// through another instance, and even the fastest response takes 20 ms. This constant
// latency must not count as a delay of the leader.
func TestConstantLatencyToWorkersKeepsPollInterval(t *testing.T) {
	term := &leaderTerm{}
	for range 200 {
		term.recordResponseTime(20 * time.Millisecond)
	}
	must.Eq(t, pollPauseAfterEnds, (&workerSession{t: term}).pauseAfterEnds())
}
