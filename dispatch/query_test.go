package dispatch

import (
	"fmt"
	"math/bits"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// slowQueryKind returns a kind of small jobs whose queries about 30 workers take 1.1 s.
// Such a job is permitted on the given share of the workers.
func slowQueryKind(name string, priority int, permitted float64) *replayKind {
	return &replayKind{
		name: name, priority: priority, steps: 1, width: 1, maxWidth: 1, cores: 4, maxCores: 4, gb: 4, maxGB: 4, runTime: 2 * time.Second,
		baseLatency: 800 * time.Millisecond, perWorkerLatency: 10 * time.Millisecond, ticketValidity: 1500 * time.Millisecond, grantedShare: permitted,
		stretch: 2, objective: time.Hour,
	}
}

// waitUntilAllStart runs the replay with its usual submissions until each job of the kind
// has started, for a minute of simulated time at most, and returns the simulated time that
// has passed.
func waitUntilAllStart(r *replay, k *replayKind) time.Duration {
	start := r.now
	for r.now < start+time.Minute {
		waits := slices.ContainsFunc(k.jobs, func(j *replayJob) bool { return j.step == 0 && len(j.pending[0]) == j.specs[0].Count })
		if !waits {
			break
		}
		r.submitArrivals(r.decisionInterval)
		r.decide()
		r.advance()
	}
	return r.now - start
}

// waitBehindRefused submits the number ahead of urgent jobs that are permitted on no worker
// and, 10 s later, ten jobs that are permitted on a quarter of an empty pool. It returns
// how long the last of the ten waits.
func waitBehindRefused(pool, ahead int) time.Duration {
	refused, permitted := slowQueryKind("refused", 0, 0), slowQueryKind("others", 1, 0.25)
	r := newReplay(1, pool, usualConnections, refused, permitted)
	for range ahead {
		r.submit(refused)
	}
	r.play(10*time.Second, 0)
	for range 10 {
		r.submit(permitted)
	}
	return waitUntilAllStart(r, permitted)
}

// Guards against urgent steps that are permitted on no worker and whose queries, 30 workers
// at a time, occupy every adviser connection. Other steps wait on an empty pool, and the
// more workers there are, the longer they wait.
func TestRefusedUrgentStepsLeaveQueriesToOthers(t *testing.T) {
	for _, pool := range []int{mixedPoolWorkers, largePoolWorkers, 3000} {
		t.Run(fmt.Sprint(pool), func(t *testing.T) {
			t.Parallel()
			must.LessEq(t, maxIdleWait, waitBehindRefused(pool, 90))
		})
	}
}

// Guards against refused urgent steps, more than one decision considers, whose queries occupy
// every adviser connection: other steps wait behind them on an empty pool.
func TestUrgentStepsBeyondBoundLeaveQueriesToOthers(t *testing.T) {
	for _, pool := range []int{mixedPoolWorkers, largePoolWorkers, 3000} {
		t.Run(fmt.Sprint(pool), func(t *testing.T) {
			t.Parallel()
			must.LessEq(t, maxIdleWait, waitBehindRefused(pool, 300))
		})
	}
}

// Guards against steps that always need a query and leave less than a third of the
// queries to less urgent steps, whether a decision has one query or many.
func TestRoundRobinStepsGetTheirShareOfQueries(t *testing.T) {
	// rounds is the number of decisions over which the queries are counted.
	const rounds = 60
	for _, queries := range []int{1, 2, 5} {
		sent := 0
		for round := range rounds {
			bounded := limits
			bounded.Queries, bounded.Round = queries, round
			steps := []Step{}
			for i := range 20 {
				urgent := withPermits(step(fmt.Sprintf("urgent%02d", i), 1, 2), map[string]Permit{"w0": {}})
				lessUrgent := withPermits(step(fmt.Sprintf("other%02d", i), 1, 2), nil)
				lessUrgent.Priority = 1
				steps = append(steps, urgent, lessUrgent)
			}
			plan := Decide(0, steps, workers(9, 9), bounded)
			must.SliceLen(t, queries, plan.Queries, must.Sprint("no query is left unused"))
			must.SliceLen(t, len(steps), plan.Waiting)
			for _, query := range plan.Queries {
				if strings.HasPrefix(query.Step.Job, "other") {
					sent++
				}
			}
		}
		must.Eq(t, rounds*queries/roundRobinQueryDivisor, sent)
	}
}

// Guards against unused queries on a full pool: the queries held back for round-robin use
// count as unavailable.
func TestAllQueriesAreSentOnFullPool(t *testing.T) {
	for _, queries := range []int{1, 2, 5} {
		for round := range roundRobinQueryDivisor {
			bounded := limits
			bounded.Queries, bounded.Round = queries, round
			var steps []Step
			for i := range 20 {
				steps = append(steps, withPermits(step(fmt.Sprintf("s%02d", i), 1, 4), nil))
			}
			must.SliceLen(t, queries, Decide(0, steps, workers(1, 1), bounded).Queries)
		}
	}
}

// Guards against unused long queries: a step that needs a long query about many workers,
// but could send a short one about a few, isn't offered the long queries held back for
// round-robin use.
func TestAllLongQueriesAreSent(t *testing.T) {
	for round := range roundRobinQueryDivisor {
		bounded := limits
		bounded.Queries, bounded.LongQueries, bounded.LongQueryTime, bounded.Round = 8, 1, 150*time.Millisecond, round
		var steps []Step
		for i := range 20 {
			s := withPermits(step(fmt.Sprintf("s%02d", i), 1, 4), nil)
			s.ResponseTime = func(n int) time.Duration { return time.Duration(50+40*n) * time.Millisecond }
			steps = append(steps, s)
		}
		long := 0
		for _, query := range Decide(0, steps, workers(9, 9, 9, 9, 9, 9, 9, 9), bounded).Queries {
			if len(query.Workers) == limits.WorkersPerQuery {
				long++
			}
		}
		must.Eq(t, 1, long)
	}
}

// Guards against interactive queries that wait because longer ones have used up the
// connections, and against longer queries that are planned on connections that don't take
// them.
func TestInteractiveQueriesArePlannedBesideOthers(t *testing.T) {
	withResponseTime := func(job string, base time.Duration) Step {
		s := withPermits(step(job, 1, 4), nil)
		s.Priority = 1
		s.ResponseTime = func(int) time.Duration { return base }
		return s
	}
	for round := range 4 * 6 * roundRobinQueryDivisor {
		bounded := limits
		bounded.Queries, bounded.NonInteractiveQueries, bounded.LongQueries = 6, round%4, min(round%4, round/4%3)
		bounded.InteractiveQueryTime, bounded.LongQueryTime, bounded.Round = 40*time.Millisecond, 150*time.Millisecond, round
		var steps []Step
		for i := range 10 {
			steps = append(steps, withResponseTime(fmt.Sprint("long", i), time.Second), withResponseTime(fmt.Sprint("short", i), 147*time.Millisecond),
				withResponseTime(fmt.Sprint("a-interactive", i), 13*time.Millisecond))
			steps[len(steps)-1].Priority = 2
		}
		sent := map[string]int{}
		for _, query := range Decide(0, steps, workers(9, 9, 9, 9), bounded).Queries {
			sent[strings.TrimRight(query.Step.Job, "0123456789")]++
		}
		must.GreaterEq(t, bounded.Queries-bounded.NonInteractiveQueries, sent["a-interactive"])
		must.LessEq(t, bounded.LongQueries, sent["long"])
		must.LessEq(t, bounded.NonInteractiveQueries, sent["long"]+sent["short"])
		must.Eq(t, bounded.Queries, sent["long"]+sent["short"]+sent["a-interactive"], must.Sprint("no query is left unused"))
	}
}

// Guards against decisions that differ with load control off: without an interactive query
// time, the number of queries that aren't interactive has no effect.
func TestWithoutInteractiveQueryTimeAllQueriesAreAlike(t *testing.T) {
	for round := range 2 * roundRobinQueryDivisor {
		var plans []Plan
		for _, nonInteractive := range []int{0, 3, 8} {
			bounded := limits
			bounded.Queries, bounded.LongQueries, bounded.LongQueryTime, bounded.Round = 8, 2, 150*time.Millisecond, round
			bounded.NonInteractiveQueries = nonInteractive
			var steps []Step
			for i := range 20 {
				s := withPermits(step(fmt.Sprintf("s%02d", i), 1, 4), nil)
				s.ResponseTime = func(n int) time.Duration { return time.Duration(10+i*20*n) * time.Millisecond }
				steps = append(steps, s)
			}
			plans = append(plans, Decide(0, steps, workers(9, 9, 9), bounded))
		}
		must.Eq(t, plans[0], plans[1])
		must.Eq(t, plans[0], plans[2])
	}
}

// Guards against queries that stay unused because all steps that need one are urgent, or
// none of them is.
func TestUnusedQueryShareGoesToOtherSteps(t *testing.T) {
	for _, priority := range []int{0, 1} {
		bounded := limits
		bounded.Queries = 6
		var steps []Step
		for i := range 6 {
			s := withPermits(step(fmt.Sprint("a", i), 1, 2), nil)
			s.Priority = priority
			steps = append(steps, s)
		}
		must.SliceLen(t, 6, Decide(0, steps, workers(9), bounded).Queries)
	}
}

// Guards against a late job that never gets a query: it is considered after all other jobs,
// and urgent jobs that are permitted on no worker keep arriving.
func TestLateJobQueriesDespiteRefusedUrgentJobs(t *testing.T) {
	refused, late := slowQueryKind("refused", 0, 0), slowQueryKind("late", 1, 0.25)
	late.objective, refused.rate = 0, 5
	r := newReplay(1, largePoolWorkers, usualConnections, refused, late)
	r.play(30*time.Second, 0)
	for range 5 {
		r.submit(late).begin = -time.Minute
	}
	must.LessEq(t, maxIdleWait, waitUntilAllStart(r, late))
}

// Guards against a step that is permitted on one worker in a hundred and queries 30 workers at
// a time, one query after the other: the larger the empty pool, the longer it waits.
func TestStepPermittedOnFewWorkersFindsThem(t *testing.T) {
	for _, pool := range []int{mixedPoolWorkers, largePoolWorkers, 3000} {
		t.Run(fmt.Sprint(pool), func(t *testing.T) {
			t.Parallel()
			longest := time.Duration(0)
			for seed := range uint64(20) {
				rare := slowQueryKind(fmt.Sprint("rare", seed), 0, 0.01)
				r := newReplay(seed, pool, usualConnections, rare)
				r.submit(rare)
				longest = max(longest, waitUntilAllStart(r, rare))
			}
			must.LessEq(t, maxIdleWait, longest)
		})
	}
}

// Guards against a step that is refused on every queried worker and sends one query about
// 30 workers after the other: with ten times the workers it waits ten times as long.
func TestRefusedStepDoublesQueriedWorkers(t *testing.T) {
	pool := workers(make([]int64, 640)...)
	for i := range pool {
		pool[i].Free = cores(9)
	}
	s := withPermits(step("a", 1, 2), map[string]Permit{})
	bounded := limits
	bounded.Queries = len(pool)
	rounds := 0
	for len(s.Permits) < len(pool) {
		plan := Decide(0, []Step{s}, slices.Clone(pool), bounded)
		must.Positive(t, len(plan.Queries))
		rounds++
		for _, query := range plan.Queries {
			must.LessEq(t, bounded.WorkersPerQuery, len(query.Workers))
			for _, w := range query.Workers {
				must.MapNotContainsKey(t, s.Permits, w, must.Sprint("queried twice"))
				s.Permits[w] = Permit{}
			}
		}
	}
	must.LessEq(t, 1+bits.Len(uint(len(pool)/bounded.WorkersPerQuery)), rounds)
}

// wideGangs returns a kind of gangs that are permitted on a quarter of the workers. A query
// about a hundred workers takes 1.7 s.
func wideGangs(width, cores float64) *replayKind {
	return &replayKind{
		name: "gang", priority: 1, gangShare: 1, steps: 1, width: width, maxWidth: width, cores: cores, maxCores: cores, gb: 16, maxGB: 16,
		runTime: 6 * time.Second, baseLatency: 700 * time.Millisecond, perWorkerLatency: 10 * time.Millisecond, ticketValidity: 1500 * time.Millisecond, grantedShare: 0.25,
		stretch: 2, objective: time.Hour,
	}
}

// Guards against gangs that are submitted together on an empty pool and query the same
// hundred workers: these workers hold a third of the gangs, and the remaining gangs must
// query a second and a third time.
func TestGangsSubmittedTogetherQueryDifferentWorkers(t *testing.T) {
	gangs := wideGangs(20, 18)
	r := newReplay(0, largePoolWorkers, usualConnections, gangs)
	r.decisionInterval = 50 * time.Millisecond
	for range 30 {
		r.submit(gangs)
	}
	must.LessEq(t, maxIdleWait, waitUntilAllStart(r, gangs))
}

// Guards against small jobs that wait for a gang. The gang nearly fits and reserves the free
// resources of nearly all its permitted workers for the duration of a long run. Small jobs that
// are permitted there must query other workers instead.
func TestSmallJobsStartDespiteGangReservation(t *testing.T) {
	// minReservedMilliCPU is the CPU of 50 of the gang's 60 tasks, in thousandths of a
	// core.
	const minReservedMilliCPU = 50 * 60_000
	long := slowQueryKind("long", 0, 1)
	long.width, long.maxWidth, long.cores, long.maxCores, long.runTime = 130, 130, 60, 60, 2*time.Minute
	gang, small := wideGangs(60, 60), slowQueryKind("small", 2, 0.25)
	r := newReplay(0, mixedPoolWorkers, usualConnections, long, gang, small)
	r.decisionInterval = 50 * time.Millisecond
	r.submit(long)
	r.play(5*time.Second, 0)
	r.submit(gang)
	r.play(10*time.Second, 0)
	must.Greater(t, minReservedMilliCPU, r.reservedMilliCPU(gang.jobs[0]))
	for range 40 {
		r.submit(small)
	}
	must.LessEq(t, maxIdleWait, waitUntilAllStart(r, small))
	must.SliceLen(t, 60, gang.jobs[0].pending[0], must.Sprint("the gang still waits"))
}

// reservedMilliCPU returns the CPU that a decision reserves for a job, in thousandths of a
// core.
func (r *replay) reservedMilliCPU(j *replayJob) (milliCPU int64) {
	s, _ := r.step(j)
	pool := r.planningInput()
	Decide(r.now, []Step{s}, pool, r.limits)
	for i := range pool {
		milliCPU += pool[i].Reserved.MilliCPU
	}
	return milliCPU
}
