package control

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// What a user sees: after an outage nothing is served for the rest of the day.
// Order: thousands of steps are queued; each further job makes decisions longer; what
// is accepted can't be in time any more.
// Cause: every job was accepted, however long the queue.
func TestANewJobIsRefusedAtOnceWhileTheQueueIsTooLong(t *testing.T) {
	w := newWorld(t, nil)
	call := func(id string) error {
		_, err := w.c.Submit(context.Background(), &SubmitCall{
			Place: Place{Host: "h", Path: "/q/" + id}, Payload: "payload", Steps: []workflow.Step{oneTask},
		})
		return err
	}
	must.NoError(t, call("a"))
	ten, err := w.c.leading(context.Background())
	must.NoError(t, err)
	ten.mu.Lock()
	ten.queued = mostQueued
	ten.mu.Unlock()
	refused := ten.admit("b")
	must.Eq(t, fault.Overloaded, fault.KindOf(refused))
	must.Eq(t, queuedRetry, fault.From(refused).RetryAfter)
	must.NoError(t, ten.admit("a"), must.Sprint("a known job is answered as such"))
	w.c.state.read(func(s *workflow.State) { must.MapNotContainsKey(t, s.Jobs, "b") })
	w.eventually("the next decision finds the queue short", func() bool { return ten.admit("b") == nil })
}
