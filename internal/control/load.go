package control

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/bilberryferry/bilberryferry/dispatch"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// loadLogInterval is the time between two log lines about the load.
const loadLogInterval = time.Second

// waitingGauges maps the reasons why steps wait to their gauges, ordered by the stage of
// a decision at which each reason arises.
var waitingGauges = []struct {
	reason dispatch.Reason
	name   string
}{
	{dispatch.ReasonCustomerLimit, "waiting_limit"},
	{dispatch.ReasonBeyondBound, "waiting_turn"},
	{dispatch.ReasonNoConnection, "waiting_lane"},
	{dispatch.ReasonAwaitsAdviser, "waiting_adviser"},
	{dispatch.ReasonAllRefused, "waiting_refused"},
	{dispatch.ReasonTicketsExpired, "waiting_tickets"},
	{dispatch.ReasonGangCannotQuery, "waiting_gangs_before"},
	{dispatch.ReasonReserved, "waiting_kept"},
	{dispatch.ReasonPreempting, "waiting_yielding"},
	{dispatch.ReasonNoCapacity, "waiting_room"},
	{dispatch.ReasonNoWorker, "waiting_no_worker"},
}

// clusterResources is the sum of the resources of the workers of a decision. free is the
// sum of the resources that were free before the decision. reserved is the part of free
// that the decision reserved for steps that it couldn't start.
type clusterResources struct {
	capacity, free, reserved workflow.Resources
	// largestFree is the largest amount of each resource that is free on a single worker.
	largestFree workflow.Resources
}

// sumResources sums up the resources of workers after a decision.
func sumResources(workers []dispatch.Worker) clusterResources {
	var r clusterResources
	for i := range workers {
		r.add(&workers[i])
	}
	return r
}

// add adds a worker to the sums.
func (r *clusterResources) add(w *dispatch.Worker) {
	r.capacity = r.capacity.Plus(w.Capacity)
	r.free = r.free.Plus(w.FreeBeforePlan)
	r.largestFree = r.largestFree.Max(w.FreeBeforePlan)
	// A reservation may include resources of runs that haven't ended. Only the part that is
	// free counts.
	r.reserved = r.reserved.Plus(w.Free.Plus(w.Reserved).Minus(w.Free.Max(workflow.Resources{})))
}

// reportLoad logs the load once a second and sets its gauges: the workers' resources,
// their fragmentation, and how many steps wait for which reason. The log line shows
// whether a late job waited because the cluster was full or because the job couldn't use
// the free resources. Only planLoop calls it.
func (t *leaderTerm) reportLoad(input *planInput, plan *dispatch.Plan, now time.Time) {
	if now.Sub(t.loadLoggedAt) < loadLogInterval {
		return
	}
	t.loadLoggedAt = now
	r, usable := t.totalsOf(input)
	tasks, gangs := 0, 0
	for i := range input.steps {
		tasks += len(input.steps[i].Pending)
		if input.steps[i].Spec.Gang {
			gangs++
		}
	}
	byReason := waitingByReason(plan)
	fields := []any{
		"event", "load", "usable_workers", usable, "considered_workers", len(input.workers), "milli_cpu", r.capacity.MilliCPU, "free_milli_cpu", r.free.MilliCPU,
		"memory_mb", r.capacity.MemoryMB, "free_memory_mb", r.free.MemoryMB,
		"accelerators", r.capacity.Accelerators, "free_accelerators", r.free.Accelerators,
		"kept_milli_cpu", r.reserved.MilliCPU, "kept_memory_mb", r.reserved.MemoryMB, "largest_free", formatResources(r.largestFree),
		"steps", len(input.steps), "tasks", tasks, "gangs", gangs, "started", len(plan.Starts), "waiting", len(plan.Waiting),
		"behind", plan.BeyondBound, "waiting_by", formatWaiting(byReason),
	}
	fields = append(fields, t.waitingLogFields(input, plan, r.capacity, now)...)
	fields = append(fields, "kept_back", t.formatUnschedulable(now))
	runs := t.currentRunCounts()
	fields = append(fields, "runs_alive", runs.alive, "runs_unaccounted", runs.unaccounted, "longest_unaccounted_ms", runs.longestUnaccounted.Milliseconds())
	t.logger.Log(fields...)
	t.setLoadGauges(usable, &r, tasks)
	t.setRunGauges(runs)
	t.c.cfg.Counters.Set("waiting_steps", int64(len(plan.Waiting)+plan.BeyondBound))
	for _, gauge := range waitingGauges {
		t.c.cfg.Counters.Set(gauge.name, int64(byReason[gauge.reason]))
	}
}

// setLoadGauges sets the gauges of the workers' resources and of the waiting tasks.
func (t *leaderTerm) setLoadGauges(usable int, r *clusterResources, tasks int) {
	counters := t.c.cfg.Counters
	counters.Set("usable_workers", int64(usable))
	counters.Set("free_milli_cpu", r.free.MilliCPU)
	counters.Set("free_memory_mb", r.free.MemoryMB)
	counters.Set("free_accelerators", r.free.Accelerators)
	counters.Set("kept_milli_cpu", r.reserved.MilliCPU)
	counters.Set("waiting_tasks", int64(tasks))
}

// currentRunCounts returns the counts of the last check of all runs.
func (t *leaderTerm) currentRunCounts() runCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runCounts
}

// setRunGauges sets the gauges of live and unaccounted runs; see accountsFor.
func (t *leaderTerm) setRunGauges(runs runCounts) {
	counters := t.c.cfg.Counters
	counters.Set("runs_alive", int64(runs.alive))
	counters.Set("runs_unaccounted", int64(runs.unaccounted))
	counters.Set("longest_unaccounted_ms", runs.longestUnaccounted.Milliseconds())
}

// waitingByReason counts the steps that a plan left waiting, by reason.
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

// formatWaiting formats the counts of waiting steps for a log line, in the order of
// waitingGauges.
func formatWaiting(counts map[dispatch.Reason]int) string {
	var parts []string
	for _, gauge := range waitingGauges {
		if n := counts[gauge.reason]; n > 0 {
			parts = append(parts, fmt.Sprintf("%d: %s", n, gauge.reason))
		}
	}
	return strings.Join(parts, "; ")
}

// formatResources formats resources as millicores/megabytes/accelerators.
func formatResources(r workflow.Resources) string {
	return fmt.Sprintf("%d/%d/%d", r.MilliCPU, r.MemoryMB, r.Accelerators)
}

// waitingLogFields returns the log fields about the waiting gangs, how many of them have missed
// their objectives, the largest of them, and the oldest waiting step, and sets the gauges for
// them. The fields include the fit counts of the last two: how many of their tasks fit into the
// free resources of the pool, reserved ones included, and how many of these fit on permitted
// workers.
func (t *leaderTerm) waitingLogFields(input *planInput, plan *dispatch.Plan, capacity workflow.Resources, now time.Time) []any {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addBacklog(input, plan, now)
	var largest *dispatch.Step
	waitingGangs, lateGangs := 0, 0
	for i := range input.steps {
		s := &input.steps[i]
		if !s.Spec.Gang || s.Copy || t.waiting[s.Key] == nil {
			continue
		}
		waitingGangs++
		if s.Lateness > 0 {
			lateGangs++
		}
		if largest == nil || cmp.Or(cmp.Compare(dominantShare(s, capacity), dominantShare(largest, capacity)), workflow.CompareSteps(largest.Key, s.Key)) > 0 {
			largest = s
		}
	}
	fields := []any{"waiting_gangs", waitingGangs, "late_gangs", lateGangs}
	fitCount, age := 0, time.Duration(0)
	if largest != nil {
		total, permitted := dispatch.FitCounts(largest, input.workers)
		fitCount = total
		fields = append(fields, "largest_gang", largest.Key, "largest_gang_tasks", len(largest.Pending),
			"largest_gang_each", formatResources(largest.Spec.Demand()), "free_pieces", total, "permitted_pieces", permitted)
	}
	if s, state := t.oldestWaiting(input); s != nil {
		age = now.Sub(state.since)
		total, permitted := dispatch.FitCounts(s, input.workers)
		fields = append(fields, "oldest", s.Key, "oldest_ms", age.Milliseconds(), "oldest_reason", state.reason,
			"oldest_tasks", len(s.Pending), "oldest_gang", s.Spec.Gang, "oldest_each", formatResources(s.Spec.Demand()),
			"oldest_pieces", total, "oldest_permitted_pieces", permitted)
	}
	t.c.cfg.Counters.Set("waiting_gangs", int64(waitingGangs))
	t.c.cfg.Counters.Set("late_gangs", int64(lateGangs))
	t.c.cfg.Counters.Set("free_pieces", int64(fitCount))
	t.c.cfg.Counters.Set("oldest_waiting_ms", age.Milliseconds())
	return fields
}

// dominantShare returns the largest of the shares of the cluster's CPU, memory and
// accelerators that the pending tasks of s need.
func dominantShare(s *dispatch.Step, capacity workflow.Resources) float64 {
	demand := s.Spec.Demand().Times(int64(len(s.Pending)))
	share := func(demand, capacity int64) float64 { return float64(demand) / float64(max(capacity, 1)) }
	return max(share(demand.MilliCPU, capacity.MilliCPU), share(demand.MemoryMB, capacity.MemoryMB),
		share(demand.Accelerators, capacity.Accelerators))
}

// formatUnschedulable formats how many workers get no new tasks, by reason, for a log
// line.
func (t *leaderTerm) formatUnschedulable(now time.Time) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var parts []string
	if t.survey != nil && !t.isWholeFleet() {
		for _, reason := range slices.Sorted(maps.Keys(t.survey.unschedulable)) {
			parts = append(parts, fmt.Sprintf("%d: %s", t.survey.unschedulable[reason], reason))
		}
		return strings.Join(parts, "; ")
	}
	for _, count := range t.unschedulableWorkers(anyService, now) {
		parts = append(parts, fmt.Sprintf("%d: %s", count.Workers, count.Reason))
	}
	return strings.Join(parts, "; ")
}
