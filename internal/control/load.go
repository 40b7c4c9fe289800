package control

import (
	"cmp"
	"fmt"
	"strings"
	"time"

	"github.com/bilberryferry/bilberryferry/dispatch"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// loadLogInterval is the time between two lines on the load.
const loadLogInterval = time.Second

// waitingGauges are the gauges of waiting steps by what holds them, in the order in
// which a step meets it.
var waitingGauges = []struct {
	reason dispatch.Reason
	name   string
}{
	{dispatch.ReasonBeyondBound, "waiting_turn"},
	{dispatch.ReasonNoConnection, "waiting_lane"},
	{dispatch.ReasonAwaitsAdviser, "waiting_adviser"},
	{dispatch.ReasonAllRefused, "waiting_refused"},
	{dispatch.ReasonTicketsExpired, "waiting_tickets"},
	{dispatch.ReasonGangCannotQuery, "waiting_gangs_before"},
	{dispatch.ReasonReserved, "waiting_kept"},
	{dispatch.ReasonPreempting, "waiting_yielding"},
	{dispatch.ReasonNoRoom, "waiting_room"},
	{dispatch.ReasonNoWorker, "waiting_no_worker"},
}

// room is what the workers of a decision have: before it, and after it what is kept
// for steps that it couldn't start.
type clusterResources struct {
	capacity, free, reserved workflow.Resources
	// largest is the largest free piece in each resource.
	largestFree workflow.Resources
}

func sumResources(workers []dispatch.Worker) clusterResources {
	var r clusterResources
	for i := range workers {
		w := &workers[i]
		r.capacity = r.capacity.Plus(w.Capacity)
		r.free = r.free.Plus(w.FreeBeforePlan)
		r.largestFree = r.largestFree.Max(w.FreeBeforePlan)
		// Room of runs that haven't ended is kept as well; only what is free counts.
		r.reserved = r.reserved.Plus(w.Free.Plus(w.Reserved).Minus(w.Free.Max(workflow.Resources{})))
	}
	return r
}

// reportLoad logs and counts, once a second, how much room the workers have, how it is
// cut up, and what waits for which reason: whether a late job met a full cluster or one
// with room that it couldn't use. Only planLoop calls it.
func (t *leaderTerm) reportLoad(v *planInput, plan *dispatch.Plan, now time.Time) {
	if now.Sub(t.loadLoggedAt) < loadLogInterval {
		return
	}
	t.loadLoggedAt = now
	r := sumResources(v.workers)
	tasks, gangs := 0, 0
	for i := range v.steps {
		tasks += len(v.steps[i].Pending)
		if v.steps[i].Spec.Gang {
			gangs++
		}
	}
	byReason := waitingByReason(plan)
	fields := []any{
		"event", "load", "usable_workers", len(v.workers), "milli_cpu", r.capacity.MilliCPU, "free_milli_cpu", r.free.MilliCPU,
		"memory_mb", r.capacity.MemoryMB, "free_memory_mb", r.free.MemoryMB,
		"accelerators", r.capacity.Accelerators, "free_accelerators", r.free.Accelerators,
		"kept_milli_cpu", r.reserved.MilliCPU, "kept_memory_mb", r.reserved.MemoryMB, "largest_free", formatResources(r.largestFree),
		"steps", len(v.steps), "tasks", tasks, "gangs", gangs, "started", len(plan.Starts), "waiting", len(plan.Waiting),
		"behind", plan.BeyondBound, "waiting_by", formatWaiting(byReason),
	}
	fields = append(fields, t.waitingLogFields(v, plan, r.capacity, now)...)
	fields = append(fields, "kept_back", t.formatUnschedulable(now))
	runs := t.currentRunCounts()
	fields = append(fields, "runs_alive", runs.alive, "runs_unaccounted", runs.unaccounted, "longest_unaccounted_ms", runs.longest.Milliseconds())
	t.logger.Log(fields...)
	t.setLoadGauges(v, &r, tasks)
	t.setRunGauges(runs)
	t.c.cfg.Counters.Set("waiting_steps", int64(len(plan.Waiting)+plan.BeyondBound))
	for _, gauge := range waitingGauges {
		t.c.cfg.Counters.Set(gauge.name, int64(byReason[gauge.reason]))
	}
}

func (t *leaderTerm) setLoadGauges(v *planInput, r *clusterResources, tasks int) {
	counters := t.c.cfg.Counters
	counters.Set("usable_workers", int64(len(v.workers)))
	counters.Set("free_milli_cpu", r.free.MilliCPU)
	counters.Set("free_memory_mb", r.free.MemoryMB)
	counters.Set("free_accelerators", r.free.Accelerators)
	counters.Set("kept_milli_cpu", r.reserved.MilliCPU)
	counters.Set("waiting_tasks", int64(tasks))
}

// currentRunCounts returns the runs as the last sweep counted them.
func (t *leaderTerm) currentRunCounts() runCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runCounts
}

func (t *leaderTerm) setRunGauges(runs runCounts) {
	counters := t.c.cfg.Counters
	counters.Set("runs_alive", int64(runs.alive))
	counters.Set("runs_unaccounted", int64(runs.unaccounted))
	counters.Set("longest_unaccounted_ms", runs.longest.Milliseconds())
}

// waitingByReason counts the steps that a plan left by what they wait for.
func waitingByReason(plan *dispatch.Plan) map[dispatch.Reason]int {
	counts := map[dispatch.Reason]int{}
	for i := range plan.Waiting {
		counts[plan.Waiting[i].Reason]++
	}
	if plan.BeyondBound > 0 {
		counts[dispatch.ReasonBeyondBound] = plan.BeyondBound
	}
	return counts
}

func formatWaiting(counts map[dispatch.Reason]int) string {
	var list []string
	for _, gauge := range waitingGauges {
		if n := counts[gauge.reason]; n > 0 {
			list = append(list, fmt.Sprintf("%d: %s", n, gauge.reason))
		}
	}
	return strings.Join(list, "; ")
}

// describe writes room as thousandths of a core, mega bytes and accelerators.
func formatResources(r workflow.Resources) string {
	return fmt.Sprintf("%d/%d/%d", r.MilliCPU, r.MemoryMB, r.Accelerators)
}

// waitingLogFields tells of the waiting gangs the largest, and of all waiting steps the
// oldest, each with how many of its tasks the free room holds, kept room included: in
// its pool, and where it is permitted.
func (t *leaderTerm) waitingLogFields(v *planInput, plan *dispatch.Plan, capacity workflow.Resources, now time.Time) []any {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addBacklog(v, plan, now)
	var largest *dispatch.Step
	waitingGangs := 0
	for i := range v.steps {
		s := &v.steps[i]
		if !s.Spec.Gang || s.Copy || t.waiting[s.Key] == nil {
			continue
		}
		waitingGangs++
		if largest == nil || cmp.Or(cmp.Compare(dominantShare(s, capacity), dominantShare(largest, capacity)), workflow.CompareSteps(largest.Key, s.Key)) > 0 {
			largest = s
		}
	}
	fields := []any{"waiting_gangs", waitingGangs}
	fitCount, age := 0, time.Duration(0)
	if largest != nil {
		all, permitted := dispatch.FitCounts(largest, v.workers)
		fitCount = all
		fields = append(fields, "largest_gang", largest.Key, "largest_gang_tasks", len(largest.Pending),
			"largest_gang_each", formatResources(largest.Spec.Demand()), "free_pieces", all, "permitted_pieces", permitted)
	}
	if s, known := t.oldestWaiting(v); s != nil {
		age = now.Sub(known.since)
		all, permitted := dispatch.FitCounts(s, v.workers)
		fields = append(fields, "oldest", s.Key, "oldest_ms", age.Milliseconds(), "oldest_reason", known.reason,
			"oldest_tasks", len(s.Pending), "oldest_gang", s.Spec.Gang, "oldest_each", formatResources(s.Spec.Demand()),
			"oldest_pieces", all, "oldest_permitted_pieces", permitted)
	}
	t.c.cfg.Counters.Set("waiting_gangs", int64(waitingGangs))
	t.c.cfg.Counters.Set("free_pieces", int64(fitCount))
	t.c.cfg.Counters.Set("oldest_waiting_ms", age.Milliseconds())
	return fields
}

// demand is the largest share of a resource that the pending tasks of s need.
func dominantShare(s *dispatch.Step, capacity workflow.Resources) float64 {
	demand := s.Spec.Demand().Times(int64(len(s.Pending)))
	share := func(demand, capacity int64) float64 { return float64(demand) / float64(max(capacity, 1)) }
	return max(share(demand.MilliCPU, capacity.MilliCPU), share(demand.MemoryMB, capacity.MemoryMB),
		share(demand.Accelerators, capacity.Accelerators))
}

// formatUnschedulable counts the workers that get nothing new, by why.
func (t *leaderTerm) formatUnschedulable(now time.Time) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []string
	for _, count := range t.unschedulableWorkers(anyService, now) {
		list = append(list, fmt.Sprintf("%d: %s", count.Workers, count.Reason))
	}
	return strings.Join(list, "; ")
}
