package control

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// Guards against accepting every job however long the queue is: after an outage thousands
// of steps are queued, each further job makes decisions slower, and no job meets its
// objective for the rest of the day.
func TestAdmitRefusesNewJobWhenQueueIsFull(t *testing.T) {
	term := loadedTerm(t, benchmarkLoad{workers: 1})
	_, err := term.propose(submission("a"))
	must.NoError(t, err)
	term.queuedSteps = maxQueuedSteps
	refused := term.admit("b")
	must.Eq(t, fault.Overloaded, fault.KindOf(refused))
	must.Eq(t, queueFullRetryAfter, fault.From(refused).RetryAfter)
	must.NoError(t, term.admit("a"), must.Sprint("an accepted job is never refused"))
	term.c.state.read(func(s *workflow.State) { must.MapNotContainsKey(t, s.Jobs, "b") })
	term.decide()
	must.NoError(t, term.admit("b"), must.Sprint("the next decision finds a short queue"))
}

// Guards against running a job whose caller received a refusal: the commit of the first
// call is slow, the caller repeats the call through another instance, and the queue has
// filled up meanwhile. The job must count as accepted from the start of its commit.
func TestAdmitAcceptsJobWhoseCommitIsInFlight(t *testing.T) {
	cluster := newTestCluster(t, nil)
	term, err := cluster.controller.currentLeaderTerm(context.Background())
	must.NoError(t, err)
	call := func() error {
		_, err := cluster.controller.Submit(context.Background(), &SubmitCall{
			Address: JobAddress{Host: "h", Path: "/q/a"}, Payload: "payload", Steps: []workflow.Step{oneTask},
		})
		return err
	}
	repeated := make(chan error, 1)
	first := true
	cluster.log.mu.Lock()
	cluster.log.beforeApply = func(c workflow.Command) {
		if c.Submit == nil || !first {
			return
		}
		first = false
		term.mu.Lock()
		term.queuedSteps = maxQueuedSteps
		term.mu.Unlock()
		repeated <- call()
	}
	cluster.log.mu.Unlock()
	must.NoError(t, call())
	must.NoError(t, <-repeated)
	term.mu.Lock()
	defer term.mu.Unlock()
	must.MapEmpty(t, term.pendingSubmits)
}
