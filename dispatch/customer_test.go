package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// of returns a step of a customer.
func of(customer string, s Step) Step {
	s.Customer = customer
	return s
}

// roomOf returns limits under which customer a may start tasks of n cores in all.
func roomOf(n int64) Limits {
	l := limits
	l.CustomerRoom = map[string]workflow.Resources{"a": {MilliCPU: n * 1000, MemoryMB: 1 << 40}}
	return l
}

// reasonOf returns why a job waits, empty if it doesn't.
func reasonOf(plan Plan, job string) Reason {
	for _, w := range plan.Waiting {
		if w.Step.Job == job {
			return w.Reason
		}
	}
	return ""
}

// Guards against a plan that starts more of a customer than its limit leaves, in one step or in all.
func TestPlanStaysWithinCustomerRoom(t *testing.T) {
	plan := Decide(0, []Step{of("a", step("one", 3, 2)), of("a", step("two", 3, 2)), of("b", step("other", 3, 2))}, workers(16, 16), roomOf(8))
	must.SliceLen(t, 7, plan.Starts)
	must.Eq(t, ReasonCustomerLimit, reasonOf(plan, "two"))
	must.Eq(t, "", reasonOf(plan, "other"))
}

// Guards against a gang that starts in part at its customer's limit.
func TestGangBeyondCustomerRoomWaitsWhole(t *testing.T) {
	gang := of("a", step("gang", 3, 2))
	gang.Spec.Gang = true
	plan := Decide(0, []Step{gang}, workers(16), roomOf(5))
	must.SliceEmpty(t, plan.Starts)
	must.Eq(t, ReasonCustomerLimit, reasonOf(plan, "gang"))
	must.SliceLen(t, 3, Decide(0, []Step{gang}, workers(16), roomOf(6)).Starts)
}

// Guards against a customer at its limit that takes the adviser's queries, the reservation for gangs
// and the places of a decision from the customers below their limits.
func TestCustomerAtItsLimitHoldsNothingBack(t *testing.T) {
	l := roomOf(0)
	l.Steps, l.Queries = 4, 1
	var steps []Step
	for i := range 40 {
		gang := of("a", withPermits(step(fmt.Sprint("a", i), 2, 4), nil))
		gang.Spec.Gang = true
		steps = append(steps, gang)
	}
	steps = append(steps, with(withPermits(of("b", step("b", 1, 2)), nil), func(s *Step) { s.Priority = 3 }))
	plan := Decide(0, steps, workers(16, 16), l)
	must.SliceLen(t, 1, plan.Queries)
	must.Eq(t, "b", plan.Queries[0].Step.Job)
	must.SliceEmpty(t, plan.Earmarks)
	must.Nil(t, plan.FirstSkipped)
	must.Eq(t, 0, plan.BeyondBound)
	must.Eq(t, ReasonCustomerLimit, reasonOf(plan, "a39"))
}

// Guards against many steps of a customer that query for room which only the first of them can use.
func TestStepsQueryForTheRoomTheirCustomerHas(t *testing.T) {
	var steps []Step
	for i := range 20 {
		steps = append(steps, of("a", withPermits(step(fmt.Sprint("a", i), 1, 4), nil)))
	}
	l := roomOf(8)
	l.Queries = 20
	plan := Decide(0, steps, workers(16, 16, 16, 16, 16, 16), l)
	must.SliceLen(t, preparedRoomFactor*2, plan.Queries)
}

// Guards against room below a limit that stays unused while the steps that claim it wait for a
// worker: a step that holds a ticket starts.
func TestTicketIsUsedBesideStepsThatClaimTheRoom(t *testing.T) {
	gang := func(job string) Step {
		s := of("a", withPermits(step(job, 2, 4), nil))
		s.Spec.Gang = true
		return s
	}
	ticketed := of("a", withPermits(step("ticketed", 1, 4), map[string]Permit{"w0": {Granted: true, Ticket: "t", Expires: time.Second}}))
	ticketed.Priority = 1
	plan := Decide(0, []Step{gang("one"), gang("two"), ticketed}, workers(6), roomOf(8))
	must.Eq(t, []string{"ticketed/0@w0"}, started(plan))
}

// Guards against a step of a wide job that holds queries for tasks which its customer's limit doesn't
// allow: it runs in waves.
func TestWideStepRunsInWavesAtCustomerLimit(t *testing.T) {
	wide := of("a", step("wide", 10, 2))
	plan := Decide(0, []Step{wide}, workers(16, 16), roomOf(6))
	must.SliceLen(t, 3, plan.Starts)
	must.Eq(t, ReasonCustomerLimit, reasonOf(plan, "wide"))
	wide.Pending = wide.Pending[3:]
	must.SliceLen(t, 3, Decide(time.Second, []Step{wide}, workers(16, 16), roomOf(6)).Starts)
}

// with returns a changed copy of a step.
func with(s Step, change func(*Step)) Step { change(&s); return s }
