package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// preemptiblePool returns n workers of 16 cores, each full with four preemptible runs.
func preemptiblePool(n int) []Worker {
	pool := workers(make([]int64, n)...)
	for i := range pool {
		for k := range 4 {
			task := workflow.TaskKey{StepKey: workflow.StepKey{Job: fmt.Sprint("b", i)}, Index: k}
			pool[i].Releases = append(pool[i].Releases, Release{At: 9 * time.Second, Resources: cores(4), Priority: 2, Preemptible: true, Task: task})
		}
	}
	return pool
}

// permitsForAll returns granted permits with valid tickets for all workers of a pool.
func permitsForAll(pool []Worker) map[string]Permit {
	permits := map[string]Permit{}
	for i := range pool {
		permits[pool[i].ID] = Permit{Granted: true, Expires: time.Hour}
	}
	return permits
}

// markStopping marks the preempted runs of a pool as stopping.
func markStopping(pool []Worker, preemptions []Preemption) {
	for _, p := range preemptions {
		for i := range pool {
			for k := range pool[i].Releases {
				if r := &pool[i].Releases[k]; r.Task == p.Task {
					r.Preemptible, r.Stopping, r.At = false, true, StopTime
				}
			}
		}
	}
}

// Guards against dozens of preempted batch runs for one gang of three tasks: until the
// first runs have stopped, each decision preempts further ones.
func TestStoppingRunsCountForTheirGang(t *testing.T) {
	pool := preemptiblePool(6)
	gang := waitingGang("gang", 3, 4, permitsForAll(pool))
	gang.Priority = 1
	stops := 0
	for d := range 6 {
		plan := Decide(time.Duration(d)*50*time.Millisecond, []Step{gang}, append([]Worker{}, pool...), limits)
		markStopping(pool, plan.Preemptions)
		stops += len(plan.Preemptions)
	}
	must.Eq(t, 3, stops)
}

// Guards against a plan that preempts, and counts, a run twice because two gangs can
// preempt it.
func TestRunIsPreemptedOncePerPlan(t *testing.T) {
	pool := preemptiblePool(3)
	var steps []Step
	for i := range 5 {
		s := waitingGang(fmt.Sprint("gang", i), 3, 4, permitsForAll(pool))
		s.Priority = 1
		steps = append(steps, s)
	}
	seen := map[workflow.TaskKey]bool{}
	for _, p := range Decide(0, steps, pool, limits).Preemptions {
		must.False(t, seen[p.Task])
		seen[p.Task] = true
	}
	must.MapNotEmpty(t, seen)
}

// Guards against steps that are never considered: alongside hundreds of steps beyond
// Limits.Steps, many of them with tickets that can't be used, the offset of the round robin
// skips the same other steps in every decision.
func TestRoundRobinReachesAllSteps(t *testing.T) {
	// otherSteps is the number of steps without tickets; chosenSteps is how many of all steps
	// beyond Limits.Steps each decision considers.
	const otherSteps, chosenSteps = 96, 32
	for _, ticketed := range []int{0, 16, 24, 31, 200} {
		seen := map[string]bool{}
		for round := range 200 {
			var order []*Step
			for i := range ticketed + otherSteps {
				s := step(fmt.Sprintf("s%03d", i), 1, 4)
				if i < ticketed {
					s.TicketsExpire = time.Hour
				}
				order = append(order, &s)
			}
			p := &planner{now: time.Minute, limits: Limits{Round: round, TicketMargin: limits.TicketMargin}}
			for _, s := range p.selectRoundRobin(order, chosenSteps) {
				if s.TicketsExpire == 0 {
					seen[s.Key.Job] = true
				}
			}
		}
		must.MapLen(t, otherSteps, seen, must.Sprintf("%d steps with tickets", ticketed))
	}
}

// Guards against a decision that plans a long query for a gang while no adviser connection
// takes long queries: the query is dropped, resources are reserved for the gang
// nevertheless, and the short queries after it aren't sent.
func TestLongQueryNeedsLongQueryBudget(t *testing.T) {
	bound := limits
	bound.Queries, bound.LongQueries, bound.LongQueryTime = 1, 0, 150*time.Millisecond
	expired := map[string]Permit{"w0": {Granted: true}, "w1": {Granted: true}}
	gang := waitingGang("gang", 4, 4, expired)
	short := withPermits(step("short", 1, 4), nil)
	short.Priority = 1
	short.ResponseTime = func(int) time.Duration { return 20 * time.Millisecond }
	plan := Decide(0, []Step{gang, short}, workers(8, 8), bound)
	must.SliceLen(t, 1, plan.Queries)
	must.Eq(t, "short", plan.Queries[0].Step.Job)
	must.Eq(t, ReasonNoConnection, reasons(plan)["gang"])
}

// Guards against small tasks that take the resources that a gang waits for, because a more
// urgent gang that no worker can run holds the only reservation of the pool.
func TestGangThatCannotReserveLeavesReservationToNext(t *testing.T) {
	valid := Permit{Granted: true, Expires: time.Hour}
	refused := waitingGang("refused", 9, 16, map[string]Permit{"w0": {}, "w1": {}, "w2": valid})
	refused.Priority = -1
	gang := waitingGang("gang", 4, 4, map[string]Permit{"w0": valid, "w1": valid, "w2": {}})
	small := step("small", 2, 4)
	small.Priority = 5
	plan := Decide(0, []Step{refused, gang, small}, withRunsEndingSoon(workers(4, 4, 0)), limits)
	must.SliceEmpty(t, plan.Starts)
}
