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
func TestAFreshJobDoesNotWaitForTheNextWholeDecision(t *testing.T) {
	ten := loadedTenure(t, load{workers: 8})
	ten.decide()
	go ten.rest(time.Minute)
	command := submission("a")
	command.Submit.Policy.Advice = &workflow.AdvicePolicy{DecideMS: 1, EachMS: 0.1, ValidMS: 2000}
	_, err := ten.propose(command)
	must.NoError(t, err)
	ten.noteAccepted("a", time.Now())
	for range 1000 {
		started := 0
		ten.c.state.read(func(s *workflow.State) { started = s.Task(task("a", 0)).Runs })
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
func TestAFreshJobWaitsItsTurnBehindABacklog(t *testing.T) {
	ten := &tenure{kicked: make(chan struct{}, 1), backlog: true, leftAt: time.Now(), fresh: map[string]bool{"a": true}}
	ten.decideFresh(time.Now())
	must.MapLen(t, 1, ten.fresh)
	must.Eq(t, 1, len(ten.kicked), must.Sprint("a whole decision is asked for"))
}

// What a user sees: a leader that is behind falls further behind.
// Order: answers to its calls are read late, as its processor is full.
// Cause: it looked at each worker again as soon as before.
func TestLooksAreRarerWhileAnswersTakeLong(t *testing.T) {
	s := &session{t: &tenure{}}
	must.Eq(t, lookPause, s.pauseAfterEnds())
	s.t.answerTime = 20 * time.Millisecond
	must.Eq(t, 160*time.Millisecond, s.pauseAfterEnds())
	s.t.answerTime = time.Second
	must.Eq(t, longestLookPause, s.pauseAfterEnds())
}

// What a user sees: urgent tasks have ended, and their callers are told a quarter of a
// second later.
// Order: workers are called through another instance, and each answer takes 20 ms, the
// quickest as well.
// Cause: the length of the way was taken for a delay of the leader's.
func TestALongWayToWorkersIsNoDelay(t *testing.T) {
	ten := &tenure{}
	for range 200 {
		ten.noteAnswerTime(20 * time.Millisecond)
	}
	must.Eq(t, lookPause, (&session{t: ten}).pauseAfterEnds())
}
