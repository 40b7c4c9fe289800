package dispatch

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/bilberryferry/bilberryferry/speed"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// extremes draws inputs of a decision that callers and workers may bring about, at the ends of their ranges.
type extremes struct{ *rapid.T }

func drawn[T any](e extremes, what string, values ...T) T {
	return rapid.SampledFrom(values).Draw(e.T, what)
}

func (e extremes) oneIn(n int) bool { return rapid.IntRange(1, n).Draw(e.T, "one in") == 1 }

func (e extremes) amount(what string) int64 {
	return drawn[int64](e, what, 0, 0, 0, 1, 1, 1000, 1000, 1<<40, math.MaxInt64)
}

func (e extremes) need() workflow.Resources {
	return workflow.Resources{MilliCPU: e.amount("cpu"), MemoryMB: e.amount("memory"), Accelerators: e.amount("accelerators")}
}

func (e extremes) free(what string) int64 {
	return drawn[int64](e, what, -1<<40, 0, 1, 2000, 3000, 3000, 1<<40, 1<<40)
}

func (e extremes) room() workflow.Resources {
	return workflow.Resources{MilliCPU: e.free("cpu"), MemoryMB: e.free("memory"), Accelerators: e.free("accelerators")}
}

func (e extremes) time(what string) time.Duration {
	return drawn[time.Duration](e, what, math.MinInt64, -time.Hour, 0, 1, time.Second, math.MaxInt64)
}

func (e extremes) worker(id string) Worker {
	free := e.room()
	w := Worker{
		Worker: workflow.Worker{
			ID: id, Service: "s", DataCentre: drawn(e, "data centre", "", "a", "b"), Rack: drawn(e, "rack", "", "r"),
			Capacity: workflow.Resources{MilliCPU: 1 << 40, MemoryMB: 1 << 40, Accelerators: 1 << 40}, Draining: e.oneIn(4),
		},
		Free: free, FreeBeforePlan: free, Serving: e.oneIn(3), SpareRuns: drawn(e, "spare runs", 0, 1, 1<<20),
		SpareCPUPercent: drawn(e, "spare", 0, 1, 100), Earmarked: e.oneIn(3), Penalty: drawn(e, "penalty", 0, 3, math.MaxInt),
		SpeedClass: drawn(e, "class", speed.Ordinary, speed.Slow, speed.Fast), SpeedPercent: drawn(e, "speed", 0, 1, 100, math.MaxInt32),
	}
	for i := range rapid.IntRange(0, 3).Draw(e.T, "releases") {
		task := workflow.TaskKey{StepKey: workflow.StepKey{Job: "run" + id}, Index: i}
		w.Releases = append(w.Releases, Release{
			At: e.time("release"), Resources: workflow.Resources{MilliCPU: drawn[int64](e, "cpu", 0, 1000, 1<<40)}, Task: task,
			Priority: drawn(e, "priority", math.MinInt, 0, math.MaxInt), Preemptible: e.oneIn(2), Stopping: e.oneIn(3),
		})
	}
	return w
}

func (e extremes) step(id string, workers []Worker) Step {
	spec := &workflow.Step{
		Count: drawn(e, "tasks", 1, 1, 2, 2, 5, workflow.MaxTasks), Need: e.need(), EstimateMS: e.amount("estimate"), Gang: e.oneIn(2),
		SameRack: e.oneIn(3), DataRack: drawn(e, "data rack", "", "r"), MaxPerWorker: drawn(e, "per worker", 0, 0, 1, math.MaxInt),
		Speculative: e.oneIn(3), LongRunning: e.oneIn(5), Checkpointing: e.oneIn(2), UsesSpareCPU: e.oneIn(4),
		LatencyObjectiveMS: drawn[int64](e, "latency", 0, 1, math.MaxInt64),
	}
	s := Step{
		Key: workflow.StepKey{Job: id}, Spec: spec, Service: drawn(e, "service", "s", "s", "s", "none"), Queue: "q", Customer: drawn(e, "customer", "", "c"),
		Priority: drawn(e, "priority", math.MinInt, 0, math.MaxInt), Lateness: rapid.IntRange(0, 2).Draw(e.T, "late"), Due: e.time("due"),
		Stretch: drawn(e, "stretch", 0, 1, 1e308, math.Inf(1)), NeedsPermit: e.oneIn(5), LastQueryAt: e.time("query"), TicketsExpire: e.time("expiry"),
		GrantRate: drawn(e, "grants", 0, 1e-300, 1), AwaitsResponse: e.oneIn(3), Suspects: map[int]bool{0: e.oneIn(3)},
	}
	response := e.time("response")
	s.ResponseTime = func(int) time.Duration { return response }
	for i := range spec.Count {
		s.Pending = append(s.Pending, i)
	}
	if spec.MaxPerWorker > 0 {
		s.Placed = map[string]int{}
	}
	s.Permits = map[string]Permit{}
	for i := range workers {
		if e.oneIn(2) {
			s.Permits[workers[i].ID] = Permit{Granted: e.oneIn(2), Ticket: "t", Expires: e.time("expires")}
		}
	}
	return s
}

func (e extremes) limits() Limits {
	return Limits{
		WorkersPerQuery: drawn(e, "query", 1, 15, math.MaxInt), WorkersPerGangQuery: drawn(e, "gang query", 1, 100, math.MaxInt),
		Queries: drawn(e, "queries", 0, 1, math.MaxInt), NonInteractiveQueries: drawn(e, "others", 0, 1, math.MaxInt),
		InteractiveQueryTime: drawn[time.Duration](e, "interactive", 0, 1, math.MaxInt64), LongQueries: drawn(e, "long", 0, 1),
		LongQueryTime: drawn[time.Duration](e, "long", 0, 1, math.MaxInt64), Steps: drawn(e, "steps", 0, 1, 3), Round: drawn(e, "round", 0, 1, math.MaxInt),
		Incremental: e.oneIn(3), KeepReasons: e.oneIn(2), TicketMargin: drawn[time.Duration](e, "margin", 0, math.MaxInt64),
		CustomerRoom: map[string]workflow.Resources{"c": e.room()},
	}
}

// Guards against a decision that ends the leader, never ends, or places more on a worker than is free there or more
// than a customer's limit leaves, for jobs and workers at the ends of what is accepted.
func TestDecisionsOnExtremeInputs(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		e := extremes{rt}
		var workers []Worker
		free := map[string]workflow.Resources{}
		for i := range rapid.IntRange(0, 6).Draw(rt, "workers") {
			w := e.worker(fmt.Sprint("w", i))
			free[w.ID] = w.Free
			workers = append(workers, w)
		}
		var steps []Step
		specs := map[string]*Step{}
		for i := range rapid.IntRange(0, 5).Draw(rt, "steps") {
			steps = append(steps, e.step(fmt.Sprint("j", i), workers))
		}
		for i := range steps {
			copied := steps[i]
			specs[copied.Key.Job] = &copied
		}
		limits := e.limits()
		room := limits.CustomerRoom["c"]
		plan := Decide(e.time("now"), steps, workers, limits)
		started := map[workflow.TaskKey]bool{}
		for _, start := range plan.Starts {
			step := specs[start.Task.Job]
			must.False(rt, started[start.Task], must.Sprintf("%s starts twice", start.Task))
			started[start.Task] = true
			demand := step.Spec.Demand()
			must.True(rt, demand.Fits(free[start.Worker]), must.Sprintf("%+v doesn't fit into %+v on %s", demand, free[start.Worker], start.Worker))
			free[start.Worker] = free[start.Worker].Minus(demand)
			if step.Customer == "c" {
				must.True(rt, step.Spec.CustomerDemand().Fits(room), must.Sprintf("%s is beyond the limit", start.Task))
				room = room.Minus(step.Spec.CustomerDemand())
			}
		}
	})
}
