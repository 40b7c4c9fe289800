package control

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/customer"
	"github.com/bilberryferry/bilberryferry/dispatch"
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
	term.queuedSteps, term.queuedByCustomer = maxQueuedSteps, map[string]int{"": maxQueuedSteps}
	refused := term.admit("b", "")
	must.Eq(t, fault.Overloaded, fault.KindOf(refused))
	must.Eq(t, queueFullRetryAfter, fault.From(refused).RetryAfter)
	must.NoError(t, term.admit("a", ""), must.Sprint("an accepted job is never refused"))
	term.c.state.read(func(s *workflow.State) { must.MapNotContainsKey(t, s.Jobs, "b") })
	term.decide()
	must.NoError(t, term.admit("b", ""), must.Sprint("the next decision finds a short queue"))
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
			Address: JobAddress{Host: "h", Path: "/q/a", ID: "a"}, Payload: "payload", Steps: []workflow.Step{oneTask},
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
		term.queuedSteps, term.queuedByCustomer = maxQueuedSteps, map[string]int{"": maxQueuedSteps}
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

// queuedTerm returns a leader term with customers of the given weights and full queues.
func queuedTerm(t *testing.T, weights map[string]float64, queued map[string]int) *leaderTerm {
	term := loadedTerm(t, benchmarkLoad{workers: 1})
	document := &workflow.Document{Version: 1 << 40, Source: []byte("{}")}
	for name, weight := range weights {
		document.Customers = append(document.Customers, customer.Customer{Name: name, Weight: weight})
	}
	_, err := term.propose(&workflow.Command{Configuration: document})
	must.NoError(t, err)
	term.queuedByCustomer = queued
	for _, n := range queued {
		term.queuedSteps += n
	}
	return term
}

// Guards against a customer that fills the queue and has the jobs of all others refused with its own.
func TestFullQueueRefusesWhoHasMoreThanItsShare(t *testing.T) {
	term := queuedTerm(t, map[string]float64{"large": 3, "small": 1, "idle": 1},
		map[string]int{"large": maxQueuedSteps - 100, "small": 100})
	must.Eq(t, fault.Overloaded, fault.KindOf(term.admit("x", "large")))
	must.NoError(t, term.admit("x", "small"))
	must.NoError(t, term.admit("x", "idle"))
	must.NoError(t, term.admit("x", ""), must.Sprint("work without a customer has a share too"))
	term.queuedByCustomer["small"] = maxQueuedSteps / 4
	must.Eq(t, fault.Overloaded, fault.KindOf(term.admit("x", "small")))
	term.queuedSteps = overfullFactor * maxQueuedSteps
	must.Eq(t, fault.Overloaded, fault.KindOf(term.admit("x", "idle")))
}

// Guards against a customer at its limit whose waiting steps make the queue full for others.
func TestStepsAtCustomerLimitDontFillTheQueueForOthers(t *testing.T) {
	term := queuedTerm(t, map[string]float64{"a": 1, "b": 1}, nil)
	var input planInput
	var plan dispatch.Plan
	for range maxQueuedSteps {
		input.steps = append(input.steps, dispatch.Step{Customer: "a"})
		plan.Waiting = append(plan.Waiting, dispatch.Waiting{Reason: dispatch.ReasonCustomerLimit})
	}
	term.setQueueLength(&input, &plan)
	must.Eq(t, 0, term.queuedSteps)
	must.NoError(t, term.admit("x", "b"))
	must.Eq(t, fault.Overloaded, fault.KindOf(term.admit("x", "a")))
}
