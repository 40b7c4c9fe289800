package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// reasons maps the jobs of the waiting steps of a plan to their reasons.
func reasons(p Plan) map[string]Reason {
	found := map[string]Reason{}
	for _, w := range p.Waiting {
		found[w.Step.Job] = w.Reason
	}
	return found
}

// waitingGang returns a gang of count tasks of need cores each. With nil permits it may
// run on any worker.
func waitingGang(job string, count int, need int64, permits map[string]Permit) Step {
	s := step(job, count, need)
	s.Spec.Gang = true
	if permits != nil {
		s = withPermits(s, permits)
	}
	return s
}

// gangsAhead returns maxReservedGangs urgent gangs, each with two tasks of four cores.
func gangsAhead(permits map[string]Permit) []Step {
	var gangs []Step
	for i := range maxReservedGangs {
		s := waitingGang(fmt.Sprintf("before%02d", i), 2, 4, permits)
		s.Priority = -1
		gangs = append(gangs, s)
	}
	return gangs
}

// Guards against waiting steps that are listed under a wrong reason.
func TestWaitingStepsReportTheirReason(t *testing.T) {
	valid := Permit{Granted: true, Expires: time.Hour}
	expired := Permit{Granted: true}
	noQueries := limits
	noQueries.Queries = 0
	bothValid := map[string]Permit{"w0": valid, "w1": valid}
	allExpired := map[string]Permit{"w0": expired, "w1": expired}
	first := waitingGang("first", 3, 4, nil)
	first.Priority = -1
	freeSoon := func(pool []Worker) []Worker {
		for i := range pool {
			pool[i].Releases = []Release{{At: time.Second, Resources: cores(16)}}
		}
		return pool
	}
	querying := waitingGang("a", 2, 4, allExpired)
	querying.AwaitsResponse = true
	for _, c := range []struct {
		name    string
		steps   []Step
		workers []Worker
		limits  Limits
		want    Reason
	}{
		{"a task fits nowhere", []Step{step("a", 1, 4)}, workers(3, 2), limits, ReasonNoCapacity},
		{"a gang fits nowhere", []Step{waitingGang("a", 3, 4, bothValid)}, workers(4, 4), limits, ReasonNoCapacity},
		{"a gang in free resources that are too fragmented", []Step{waitingGang("a", 2, 4, nil)}, workers(3, 3, 3), limits, ReasonNoCapacity},
		{"a task in resources reserved for a gang", []Step{first, step("a", 1, 4)}, freeSoon(workers(4, 4)), limits, ReasonReserved},
		{"a gang in resources reserved for another gang", []Step{first, waitingGang("a", 2, 4, bothValid)}, freeSoon(workers(4, 4)), limits, ReasonReserved},
		{"a gang after others that doesn't fit", append(gangsAhead(bothValid), waitingGang("a", 9, 4, allExpired)), freeSoon(workers(4, 0)), limits, ReasonGangCannotQuery},
		{"a gang after others that would fit into reserved resources", append(gangsAhead(bothValid), waitingGang("a", 1, 4, allExpired)), freeSoon(workers(4, 0)), limits, ReasonReserved},
		{"a gang after others that fits without tickets", append(gangsAhead(map[string]Permit{"w2": valid}), waitingGang("a", 2, 4, allExpired)),
			workers(4, 4, 0), limits, ReasonAwaitsAdviser},
		{"a gang after others that fits without tickets while no query may be sent", append(gangsAhead(map[string]Permit{"w2": valid}), waitingGang("a", 2, 4, allExpired)),
			workers(4, 4, 0), noQueries, ReasonNoConnection},
		{"a gang after others that fits only with reserved resources", append(gangsAhead(map[string]Permit{"w0": valid}), waitingGang("a", 3, 4, allExpired)),
			freeSoon(workers(4, 9)), limits, ReasonReserved},
		{"no connection to query for a task", []Step{withPermits(step("a", 1, 4), nil)}, workers(9), noQueries, ReasonNoConnection},
		{"no connection to renew the ticket of a task", []Step{withPermits(step("a", 1, 4), allExpired)}, workers(9), noQueries, ReasonNoConnection},
		{"no connection to query for a gang", []Step{waitingGang("a", 2, 4, allExpired)}, workers(4, 4), noQueries, ReasonNoConnection},
		{"a query is sent", []Step{waitingGang("a", 2, 4, allExpired)}, workers(4, 4), limits, ReasonAwaitsAdviser},
		{"a query is in flight", []Step{querying}, workers(4, 4), noQueries, ReasonAwaitsAdviser},
		{"refused", []Step{withPermits(step("a", 1, 4), map[string]Permit{"w0": {}})}, workers(9), limits, ReasonAllRefused},
	} {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.want, reasons(Decide(0, c.steps, c.workers, c.limits))["a"])
		})
	}
}

// Guards against a gang that is listed as waiting for free resources while runs are
// preempted for the gang.
func TestGangReportsPreemptionAsReason(t *testing.T) {
	pool := workers(0)
	for range 4 {
		pool[0].Releases = append(pool[0].Releases, Release{At: 9 * time.Second, Resources: cores(4), Priority: 2, Preemptible: true})
	}
	for _, permits := range []map[string]Permit{nil, {"w0": {Granted: true, Expires: time.Hour}}} {
		plan := Decide(0, []Step{waitingGang("a", 2, 4, permits)}, []Worker{pool[0]}, limits)
		must.SliceLen(t, 2, plan.Preemptions)
		must.Eq(t, ReasonPreempting, reasons(plan)["a"])
	}
}

// Guards against reserved resources that are counted as occupied by runs.
func TestReservedResourcesAreSeparateFromFree(t *testing.T) {
	pool := workers(8, 4)
	Decide(0, []Step{step("a", 1, 4), waitingGang("gang", 3, 4, nil)}, pool, limits)
	must.Eq(t, int64(0), pool[0].Reserved.MilliCPU)
	pool[0].Releases = []Release{{At: time.Second, Resources: cores(4)}}
	pool = withRunsEndingSoon(workers(8, 4))
	plan := Decide(0, []Step{step("a", 1, 4), waitingGang("gang", 3, 4, nil)}, pool, limits)
	must.Eq(t, []string{"a/0@w1"}, started(plan))
	must.Eq(t, int64(12_000), pool[0].Reserved.MilliCPU+pool[1].Reserved.MilliCPU)
	must.Eq(t, int64(8_000), pool[0].Free.MilliCPU+pool[0].Reserved.MilliCPU)
	must.Eq(t, int64(0), pool[1].Free.MilliCPU+pool[1].Reserved.MilliCPU)
}

// withRunsEndingSoon gives each worker a run that is expected to release four cores after a
// second.
func withRunsEndingSoon(pool []Worker) []Worker {
	for i := range pool {
		pool[i].Releases = []Release{{At: time.Second, Resources: cores(4)}}
	}
	return pool
}

// Guards against speculative copies that Plan.BeyondBound counts as waiting steps: the tasks
// of a copy already run.
func TestCopiesAreNotCountedBeyondBound(t *testing.T) {
	bounded := limits
	bounded.Steps = 2
	duplicate := step("copy", 1, 4)
	duplicate.Copy = true
	plan := Decide(0, []Step{step("a", 1, 4), step("b", 1, 4), step("c", 1, 4), step("d", 1, 4), duplicate}, workers(4), bounded)
	must.Eq(t, 2, plan.BeyondBound)
	must.Eq(t, 0, Decide(0, []Step{step("a", 1, 4)}, workers(4), bounded).BeyondBound)
}
