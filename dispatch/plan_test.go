package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// cores returns the demand of a task of n cores and 1,000 MB.
func cores(n int64) workflow.Resources { return workflow.Resources{MilliCPU: n * 1000, MemoryMB: 1000} }

// workers returns a pool of workers w0, w1 and so on, each with 16 cores, of which the
// given number is free. Each pair of consecutive workers shares a rack: r0, r1 and so on.
func workers(free ...int64) []Worker {
	var pool []Worker
	for i, f := range free {
		pool = append(pool, Worker{
			Worker: workflow.Worker{ID: fmt.Sprint("w", i), Service: "s", Rack: fmt.Sprint("r", i/2), Capacity: workflow.Resources{MilliCPU: 16_000, MemoryMB: 64_000}},
			Free:   workflow.Resources{MilliCPU: f * 1000, MemoryMB: 64_000},
		})
	}
	return pool
}

// step returns a step of count tasks of need cores each. Queries of the step take 500 ms.
func step(job string, count int, need int64) Step {
	s := Step{
		Key:  workflow.StepKey{Job: job},
		Spec: &workflow.Step{Count: count, Need: cores(need)}, Service: "s",
		ResponseTime: func(int) time.Duration { return 500 * time.Millisecond },
	}
	for i := range count {
		s.Pending = append(s.Pending, i)
	}
	return s
}

// limits are the limits of decisions in tests that need no particular ones.
var limits = Limits{WorkersPerQuery: 4, WorkersPerGangQuery: 8, Queries: 8, TicketMargin: 100 * time.Millisecond}

// started lists JOB/INDEX@WORKER of each start.
func started(p Plan) []string {
	var starts []string
	for _, s := range p.Starts {
		starts = append(starts, fmt.Sprintf("%s/%d@%s", s.Task.Job, s.Task.Index, s.Worker))
	}
	return starts
}

func TestDecideChoosesWorkersOrReportsReason(t *testing.T) {
	gang := func(s Step) Step { s.Spec.Gang = true; return s }
	with := func(s Step, change func(*Step)) Step { change(&s); return s }
	for _, c := range []struct {
		name    string
		steps   []Step
		workers []Worker
		want    []string
		reason  Reason
	}{
		{name: "the fullest worker on which it fits", steps: []Step{step("a", 1, 2)}, workers: workers(16, 3), want: []string{"a/0@w1"}},
		{name: "never beyond the free resources", steps: []Step{step("a", 3, 2)}, workers: workers(4), want: []string{"a/0@w0", "a/1@w0"}, reason: ReasonNoCapacity},
		{name: "more urgent step first", steps: []Step{
			with(step("a", 1, 4), func(s *Step) { s.Priority = 1 }), step("b", 1, 4),
		}, workers: workers(4), want: []string{"b/0@w0"}, reason: ReasonNoCapacity},
		{name: "late step last", steps: []Step{
			with(step("a", 1, 4), func(s *Step) { s.Lateness = 1 }), with(step("b", 1, 4), func(s *Step) { s.Priority = 2 }),
		}, workers: workers(4), want: []string{"b/0@w0"}, reason: ReasonNoCapacity},
		{name: "a gang starts whole", steps: []Step{gang(step("a", 3, 4))}, workers: workers(8, 4), want: []string{"a/0@w0", "a/1@w0", "a/2@w1"}},
		{name: "a gang never starts in part", steps: []Step{gang(step("a", 3, 4))}, workers: workers(8), reason: ReasonNoCapacity},
		{name: "a gang starts although another step demands less CPU and another less memory", steps: []Step{gang(step("a", 2, 4)),
			with(step("b", 1, 1), func(s *Step) { s.Spec.Need.MemoryMB = 9000 }), with(step("c", 1, 20), func(s *Step) { s.Spec.Need.MemoryMB = 1 }),
		}, workers: workers(4, 5), want: []string{"a/0@w1", "a/1@w0", "b/0@w1"}},
		{name: "a gang within one rack", steps: []Step{with(gang(step("a", 2, 8)), func(s *Step) { s.Spec.SameRack = true })},
			workers: workers(16, 0, 8, 8), want: []string{"a/0@w0", "a/1@w0"}},
		{name: "no more tasks on a worker than MaxPerWorker", steps: []Step{with(step("a", 2, 1), func(s *Step) { s.Spec.MaxPerWorker = 1 })},
			workers: workers(8, 9), want: []string{"a/0@w0", "a/1@w1"}},
		{name: "the worker in the rack of the data", steps: []Step{with(step("a", 1, 1), func(s *Step) { s.Spec.DataRack = "r1" })},
			workers: workers(2, 2, 9), want: []string{"a/0@w2"}},
		{name: "no worker has the label", steps: []Step{with(step("a", 1, 1), func(s *Step) { s.Spec.Label = "gpu" })},
			workers: workers(9), reason: ReasonNoWorker},
		{name: "no worker of the service", steps: []Step{with(step("a", 1, 1), func(s *Step) { s.Service = "t" })},
			workers: workers(9), reason: ReasonNoWorker},
		{name: "demand exceeds every worker", steps: []Step{step("a", 1, 17)}, workers: workers(16), reason: ReasonNoWorker},
		{name: "a copy runs on another worker than its task", steps: []Step{
			with(step("a", 1, 2), func(s *Step) { s.Copy, s.Avoid = true, map[int]string{0: "w1"} }),
		}, workers: workers(16, 3), want: []string{"a/0@w0"}},
		{name: "a copy gets only resources that no other step takes", steps: []Step{
			with(step("a", 1, 4), func(s *Step) { s.Copy = true }),
			with(step("b", 1, 4), func(s *Step) { s.Priority, s.Lateness = 9, 2 }),
		}, workers: workers(4), want: []string{"b/0@w0"}},
		{name: "a task that uses spare CPU starts without free CPU", steps: []Step{with(step("a", 1, 9), func(s *Step) { s.Spec.UsesSpareCPU = true })},
			workers: workers(0), want: []string{"a/0@w0"}},
		{name: "tasks that use spare CPU apart from serving tasks while other workers are free", steps: []Step{
			with(step("a", 1, 1), func(s *Step) { s.Spec.LatencyObjectiveMS = 50 }),
			with(step("b", 2, 1), func(s *Step) { s.Spec.UsesSpareCPU = true }),
			with(step("c", 1, 1), func(s *Step) { s.Spec.LatencyObjectiveMS = 50 }),
		}, workers: workers(9, 10), want: []string{"a/0@w0", "b/0@w1", "b/1@w1", "c/0@w0"}},
		{name: "no task that uses spare CPU where serving tasks leave too little CPU", steps: []Step{
			with(step("b", 1, 1), func(s *Step) { s.Spec.UsesSpareCPU = true }),
		}, workers: []Worker{{Worker: workers(9)[0].Worker, Free: cores(9), Serving: true, SpareCPUPercent: 9}}, reason: ReasonNoWorker},
		{name: "a task that uses spare CPU goes where most CPU is free", steps: []Step{
			with(step("b", 1, 1), func(s *Step) { s.Spec.UsesSpareCPU = true }),
		}, workers: workers(3, 9), want: []string{"b/0@w1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			plan := Decide(0, c.steps, c.workers, limits)
			must.Eq(t, c.want, started(plan))
			if c.reason != "" {
				must.SliceLen(t, 1, plan.Waiting)
				must.Eq(t, c.reason, plan.Waiting[0].Reason)
			}
		})
	}
}

// withPermits returns s with the permits, as a step that the adviser decides on.
func withPermits(s Step, permits map[string]Permit) Step {
	s.NeedsPermit, s.Permits = true, permits
	return s
}

func TestPermitsDecideStartsAndQueries(t *testing.T) {
	valid := Permit{Granted: true, Ticket: "t", Expires: time.Second}
	expired := Permit{Granted: true, Ticket: "t"}
	for _, c := range []struct {
		name    string
		step    Step
		workers []Worker
		want    []string
		query   []string
		renewal bool
	}{
		{name: "no permit known: query workers with most free resources first", step: withPermits(step("a", 1, 2), nil),
			workers: workers(0, 4, 8), query: []string{"w2", "w1", "w0"}},
		{name: "a valid ticket is used", step: withPermits(step("a", 1, 2), map[string]Permit{"w0": valid}),
			workers: workers(4, 9), want: []string{"a/0@w0"}},
		{name: "a refused worker gets no task", step: withPermits(step("a", 1, 2), map[string]Permit{"w0": {}, "w1": {}}),
			workers: workers(4, 9)},
		{name: "an expired ticket is renewed where the task fits", step: withPermits(step("a", 1, 2), map[string]Permit{"w0": expired, "w1": expired}),
			workers: workers(1, 9), query: []string{"w1"}, renewal: true},
		{name: "no ticket is renewed where the task doesn't fit", step: withPermits(step("a", 1, 2), map[string]Permit{"w0": expired}),
			workers: workers(1)},
		{name: "unknown workers are queried where the task fits", step: withPermits(step("a", 1, 2), map[string]Permit{"w0": expired}),
			workers: workers(1, 5), query: []string{"w1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			plan := Decide(0, []Step{c.step}, c.workers, limits)
			must.Eq(t, c.want, started(plan))
			if c.query == nil {
				must.SliceEmpty(t, plan.Queries)
				return
			}
			must.SliceLen(t, 1, plan.Queries)
			must.Eq(t, c.query, plan.Queries[0].Workers)
			must.Eq(t, c.renewal, plan.Queries[0].Renewal)
		})
	}
}

func TestExplainCountsWorkersByReason(t *testing.T) {
	pool := workers(0, 0, 9, 9, 9, 9, 9)
	pool[2].Labels = nil
	pool[6].Service = "t"
	for _, i := range []int{0, 1, 3, 4, 5} {
		pool[i].Labels = []string{"gpu"}
	}
	s := withPermits(step("a", 2, 2), map[string]Permit{
		"w0": {Granted: true}, "w1": {Granted: true}, "w3": {Granted: true}, "w4": {}, "w2": {Granted: true},
	})
	s.Spec.Label = "gpu"
	must.Eq(t, []ReasonCount{
		{ReasonWorkerFull, 2, "w0"}, {ReasonLabel, 1, "w2"}, {ReasonTicketExpired, 1, "w3"}, {ReasonWorkerRefused, 1, "w4"}, {ReasonNotQueried, 1, "w5"},
	}, Explain(0, &s, pool, limits))
	s.NeedsPermit = false
	must.Eq(t, ReasonCount{"", 3, "w3"}, Explain(0, &s, pool, limits)[0])
}

// Guards against a gang that waits forever alongside small tasks. The gang needs two
// workers, of which one is free now and one soon. Unless resources are reserved for the
// gang, small tasks, which arrive all the time, take the resources as they come free.
func TestResourcesAreReservedForWaitingGang(t *testing.T) {
	pool := workers(4, 0)
	pool[1].Releases = []Release{{At: time.Second, Resources: cores(4)}}
	gang := step("gang", 2, 4)
	gang.Spec.Gang = true
	batch := step("small", 4, 1)
	batch.Priority = 1
	must.SliceEmpty(t, started(Decide(0, []Step{gang, batch}, pool, limits)))
}

// Guards against workers that idle for half a second before each gang. The gang fits in a
// second, its tickets have expired, and the adviser takes half a second, but is queried
// only once the gang fits.
func TestGangTicketsAreRenewedBeforeItFits(t *testing.T) {
	gang := withPermits(step("gang", 2, 4), map[string]Permit{"w0": {Granted: true}, "w1": {Granted: true}})
	gang.Spec.Gang = true
	countQueries := func(now time.Duration) int {
		pool := workers(4, 0)
		pool[1].Releases = []Release{{At: time.Second, Resources: cores(4)}}
		return len(Decide(now, []Step{gang}, pool, limits).Queries)
	}
	must.Eq(t, 0, countQueries(0))
	must.Eq(t, 1, countQueries(500*time.Millisecond))
}

// Guards against a late gang that never starts although most workers are idle. A new
// leader's first query names only the two workers that have responded to that leader so
// far. One of them is permitted and large enough, but always busy, and the gang queries
// further workers only if its permitted workers are too small.
func TestGangQueriesIdleWorkersWhilePermittedOnesStayBusy(t *testing.T) {
	gang := func() Step {
		s := withPermits(step("gang", 2, 4), map[string]Permit{"w0": {Granted: true}})
		s.Spec.Gang, s.Lateness = true, 2
		return s
	}
	busy := workers(0, 16, 0)
	busy[0].Releases = []Release{{At: time.Minute, Resources: cores(16)}}
	queries := Decide(0, []Step{gang()}, busy, limits).Queries
	must.SliceLen(t, 1, queries)
	must.Eq(t, []string{"w1", "w2"}, queries[0].Workers)
	full := workers(0, 0, 0)
	full[0].Releases = []Release{{At: time.Minute, Resources: cores(16)}}
	must.SliceEmpty(t, Decide(0, []Step{gang()}, full, limits).Queries, must.Sprint("no worker has free resources"))
	soon := workers(0, 16, 0)
	soon[0].Releases = []Release{{At: minPreemptWait, Resources: cores(16)}}
	plan := Decide(0, []Step{gang()}, soon, limits)
	must.SliceLen(t, 1, plan.Queries)
	must.True(t, plan.Queries[0].Renewal, must.Sprint("the gang fits soon"))
}

// Guards against a gang that keeps waiting after runs were preempted for it. The resources
// of these runs come free one by one, and small urgent tasks take them as the best fit
// although the tasks fit on another worker.
func TestSmallTasksAvoidEarmarkedWorkers(t *testing.T) {
	pool := workers(3, 9)
	must.Eq(t, []string{"a/0@w0"}, started(Decide(0, []Step{step("a", 1, 2)}, pool, limits)))
	pool = workers(3, 9)
	pool[0].Earmarked = true
	must.Eq(t, []string{"a/0@w1"}, started(Decide(0, []Step{step("a", 1, 2)}, pool, limits)))
	gang := step("gang", 2, 4)
	gang.Spec.Gang = true
	pool = workers(4, 0, 0)
	pool[2].Releases = []Release{{At: time.Second, Resources: cores(4)}}
	must.Eq(t, []string{"w0", "w2"}, Decide(0, []Step{gang}, pool, limits).Earmarks)
	pool[2].Releases[0].At += time.Millisecond
	must.SliceEmpty(t, Decide(0, []Step{gang}, pool, limits).Earmarks, must.Sprint("the gang fits too late"))
}

// Guards against an urgent gang that waits many seconds while a batch job that could resume
// later occupies the workers. The gang has three tasks, of which one fits. Two workers are
// full of runs with checkpoints, and none of these is preempted.
func TestGangPreemptsRunsWithCheckpoints(t *testing.T) {
	full := func(change func(*Release)) []Worker {
		pool := workers(4, 0, 0)
		for i := range pool[1:] {
			for k := range 4 {
				r := Release{At: 9 * time.Second, Resources: cores(4), Priority: 2, Preemptible: true,
					Task: workflow.TaskKey{StepKey: workflow.StepKey{Job: fmt.Sprint("v", i+1)}, Index: k}}
				change(&r)
				pool[i+1].Releases = append(pool[i+1].Releases, r)
			}
		}
		return pool
	}
	gang := func(change func(*Step)) Step {
		s := step("gang", 3, 4)
		s.Spec.Gang, s.Priority = true, 1
		change(&s)
		return s
	}
	unchangedRun, unchangedStep := func(*Release) {}, func(*Step) {}
	stopped := func(s Step, pool []Worker) []string {
		var got []string
		for _, v := range Decide(0, []Step{s}, pool, limits).Preemptions {
			got = append(got, fmt.Sprintf("%s/%d@%s for %s", v.Task.Job, v.Task.Index, v.Worker, v.Preemptor.Job))
		}
		return got
	}
	must.Eq(t, []string{"v1/0@w1 for gang", "v1/1@w1 for gang"}, stopped(gang(unchangedStep), full(unchangedRun)))
	must.SliceEmpty(t, stopped(gang(unchangedStep), full(func(r *Release) { r.Preemptible = false })), must.Sprint("runs without checkpoints"))
	must.SliceEmpty(t, stopped(gang(unchangedStep), full(func(r *Release) { r.Priority = 1 })), must.Sprint("runs of the same priority"))
	must.SliceEmpty(t, stopped(gang(unchangedStep), full(func(r *Release) { r.At = minPreemptWait })), must.Sprint("runs that end soon"))
	must.SliceEmpty(t, stopped(gang(func(s *Step) { s.Lateness = 1 }), full(unchangedRun)), must.Sprint("the gang is late already"))
	must.SliceEmpty(t, stopped(gang(func(s *Step) { s.Pending = append(s.Pending, 3, 4, 5, 6, 7, 8, 9) }), full(unchangedRun)), must.Sprint("too few preemptible runs"))
	must.Eq(t, []string{"v1/0@w1 for gang", "v2/0@w2 for gang"}, stopped(gang(func(s *Step) { s.Spec.MaxPerWorker = 1 }), full(unchangedRun)))

	expired := Permit{Granted: true}
	plan := Decide(0, []Step{withPermits(gang(unchangedStep), map[string]Permit{"w0": expired, "w1": expired, "w2": {}})}, full(unchangedRun), limits)
	must.SliceEmpty(t, plan.Preemptions, must.Sprint("the tickets would expire before the runs have stopped"))
	must.Eq(t, []string{"w0", "w1"}, plan.Queries[0].Workers)
	valid := Permit{Granted: true, Expires: time.Second}
	plan = Decide(0, []Step{withPermits(gang(unchangedStep), map[string]Permit{"w0": valid, "w1": valid, "w2": {}})}, full(unchangedRun), limits)
	must.SliceLen(t, 2, plan.Preemptions)
}

// BenchmarkFullCluster measures a decision in which nothing fits.
func BenchmarkFullCluster(b *testing.B) {
	for b.Loop() {
		var steps []Step
		for i := range 500 {
			steps = append(steps, step(fmt.Sprint("j", i), 4, 4))
		}
		Decide(0, steps, workers(make([]int64, 48)...), limits)
	}
}

// Guards against a standstill after an outage: one decision considers thousands of queued
// steps, each with queries about hundreds of workers, and takes so long that the tickets
// expire before the next decision. Although a decision considers a bounded number of steps,
// every step must be considered at some point.
func TestDecisionConsidersBoundedNumberOfSteps(t *testing.T) {
	bounded := limits
	bounded.Steps = 8
	var steps []Step
	for i := range 100 {
		s := step(fmt.Sprintf("j%02d", i), 1, 4)
		s.Due = time.Duration(i)
		steps = append(steps, s)
	}
	seen := map[string]bool{}
	for round := range 100 {
		bounded.Round = round
		plan := Decide(0, steps, workers(4), bounded)
		must.Eq(t, []string{"j00/0@w0"}, started(plan), must.Sprint("the most urgent step starts"))
		must.SliceLen(t, bounded.Steps-1, plan.Waiting)
		must.Eq(t, len(steps)-bounded.Steps, plan.BeyondBound)
		for _, w := range plan.Waiting {
			seen[w.Step.Job] = true
		}
	}
	must.MapLen(t, 99, seen, must.Sprint("each step is considered"))
}

// Guards against decisions that take seconds while the adviser is busy: hundreds of steps
// need a query, none may be sent, and each step is matched against all workers
// nevertheless.
func TestStepThatCannotQueryIsSkipped(t *testing.T) {
	noQueries := limits
	noQueries.Queries = 0
	s := withPermits(step("a", 1, 2), nil)
	plan := Decide(0, []Step{s}, workers(9), noQueries)
	must.SliceEmpty(t, plan.Queries)
	must.Eq(t, ReasonNoConnection, plan.Waiting[0].Reason)
	valid := withPermits(step("b", 1, 2), map[string]Permit{"w0": {Granted: true, Expires: time.Second}})
	must.Eq(t, []string{"b/0@w0"}, started(Decide(0, []Step{s, valid}, workers(9), noQueries)))
}

// Guards against a wide step that takes a minute while half of the workers are free. The
// step is permitted on a few workers, nearly all full. One of them has resources for a
// single task, but the ticket has expired. The step renews only that ticket, and again
// after each task there, instead of querying the empty workers too.
func TestStepWithTooFewPermittedResourcesQueriesMoreWorkers(t *testing.T) {
	s := step("wide", 10, 4)
	s.NeedsPermit = true
	s.Permits = map[string]Permit{"w0": {Granted: true}, "w1": {Granted: true}, "w2": {Granted: true}}
	plan := Decide(time.Second, []Step{s}, workers(4, 0, 0, 16, 16, 16), limits)
	must.Len(t, 1, plan.Queries)
	must.Eq(t, []string{"w0", "w3", "w4", "w5"}, plan.Queries[0].Workers)
	must.False(t, plan.Queries[0].Renewal)

	s.Pending = s.Pending[:1]
	plan = Decide(time.Second, []Step{s}, workers(4, 0, 0, 16, 16, 16), limits)
	must.Eq(t, []string{"w0"}, plan.Queries[0].Workers, must.Sprint("the permitted worker suffices"))
}
