package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/bilberryferry/bilberryferry/dispatch"
	"github.com/bilberryferry/bilberryferry/speed"
	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// maxRunSummaryAge is the highest age of a cached summary of a worker's runs while no
	// run starts or ends there. The expected ends in it are off by half anyway, and
	// recomputing them for thousands of runs takes most of the time of a decision.
	maxRunSummaryAge = 400 * time.Millisecond
	// defaultMaxWholeFleet is the default of Config.MaxWholeFleet.
	defaultMaxWholeFleet = 512
)

// workerGathering describes workers for one decision. t.mu must be held while it is used.
type workerGathering struct {
	t   *leaderTerm
	s   *workflow.State
	now time.Time
	// suspects are the data centres that are suspected to be unreachable.
	suspects map[string]bool
	// proposed are the resources of starts that are being committed, by worker.
	proposed map[string]workflow.Resources
	// proposedRuns counts these starts.
	proposedRuns map[string]int
}

// newWorkerGathering returns a gathering for a decision at the given time. t.mu must be held.
func (t *leaderTerm) newWorkerGathering(s *workflow.State, now time.Time) *workerGathering {
	g := &workerGathering{t: t, s: s, now: now, suspects: t.suspectedDataCentres(now), proposed: map[string]workflow.Resources{}, proposedRuns: map[string]int{}}
	t.recordSuspectedDataCentres(g.suspects, now)
	for task, worker := range t.proposedStarts {
		if job := s.Jobs[task.Job]; job != nil && s.Runs[worker][task].Number == 0 {
			g.proposed[worker] = g.proposed[worker].Plus(job.Steps[task.Step].Demand())
			g.proposedRuns[worker]++
		}
	}
	return g
}

// gatherWorkers returns the workers that a decision about the steps considers, sorted by ID,
// with their free resources. t.mu must be held.
func (t *leaderTerm) gatherWorkers(s *workflow.State, steps []dispatch.Step, now time.Time) []dispatch.Worker {
	g := t.newWorkerGathering(s, now)
	if t.isWholeFleet() {
		t.view.clear()
		// Sorted, so that incremental decisions, which reuse the slice, needn't sort it.
		return g.describeAll(slices.Sorted(maps.Keys(t.sessions)))
	}
	t.view.refresh(g)
	ids := t.view.selectFor(steps)
	workers := g.describeAll(ids)
	t.view.parkMissing(ids, workers)
	return workers
}

// isWholeFleet reports whether each decision considers all workers. t.mu must be held.
func (t *leaderTerm) isWholeFleet() bool {
	return len(t.sessions) <= cmp.Or(t.c.cfg.MaxWholeFleet, defaultMaxWholeFleet)
}

// describeAll describes the workers with the given IDs that may get tasks.
func (g *workerGathering) describeAll(ids []string) []dispatch.Worker {
	workers := make([]dispatch.Worker, 0, len(ids))
	for _, id := range ids {
		if w, usable := g.describe(id); usable {
			workers = append(workers, w)
		}
	}
	return workers
}

// describe returns a worker with its free resources, and whether it may get tasks.
func (g *workerGathering) describe(id string) (w dispatch.Worker, usable bool) {
	if g.unschedulable(id) {
		return w, false
	}
	session, state := g.t.sessions[id], g.s.Workers[id]
	free := g.free(state)
	_, changes := g.s.Used(id)
	summary := g.t.summarizeRuns(g.s, session, changes, g.now)
	return dispatch.Worker{
		Worker: state.Worker, Free: free, FreeBeforePlan: free, Runs: len(g.s.Runs[id]) + g.proposedRuns[id], Releases: summary.releases, Penalty: session.penalty(), Earmarked: g.t.earmarked[id],
		SpeedClass: session.speedClass(), SpeedPercent: session.speed.Percent(),
		Serving: summary.serving, SpareRuns: summary.spareRuns, SpareCPUPercent: session.throttle.share,
	}, true
}

// unschedulable reports whether a worker gets no new task.
func (g *workerGathering) unschedulable(id string) bool {
	session, state := g.t.sessions[id], g.s.Workers[id]
	return session == nil || state == nil || state.Gone || session.unschedulableReason(g.now, g.suspects, len(g.s.Runs[id])) != ""
}

// free returns the resources of a worker that neither runs nor proposed starts occupy.
func (g *workerGathering) free(state *workflow.WorkerState) workflow.Resources {
	used, _ := g.s.Used(state.ID)
	return state.Capacity.Minus(used).Minus(g.proposed[state.ID])
}

// runSummary holds the properties of a worker's runs that decisions use. releases is replaced,
// never modified, because decisions read it without the lock.
type runSummary struct {
	// changes is the version, in the replicated state, of the worker's runs that the
	// summary describes.
	changes   uint64
	at        time.Time
	releases  []dispatch.Release
	serving   bool
	spareRuns int
	// runningWork is the work in progress by customer; it is nil without load control. The next
	// summary reuses its array.
	runningWork []customerRuns
}

// summarizeRuns returns the summary of the runs on a worker, cached if it is recent. t.mu
// must be held.
func (t *leaderTerm) summarizeRuns(s *workflow.State, session *workerSession, changes uint64, now time.Time) runSummary {
	if cached := session.runSummary; cached.changes == changes && now.Sub(cached.at) < maxRunSummaryAge {
		return cached
	}
	runs := s.Runs[session.worker.ID]
	summary := runSummary{changes: changes, at: now, releases: make([]dispatch.Release, 0, len(runs)), runningWork: session.runSummary.runningWork[:0]}
	for task, run := range runs {
		job := s.Jobs[task.Job]
		if job == nil {
			continue
		}
		step := &job.Steps[task.Step]
		summary.serving = summary.serving || step.LatencyObjectiveMS > 0
		if step.UsesSpareCPU {
			summary.spareRuns++
		}
		summary.releases = append(summary.releases, t.runRelease(session, job, run, now))
		if t.admission != nil {
			summary.runningWork = addRunningWork(summary.runningWork, job.Customer, step)
		}
	}
	slices.SortFunc(summary.releases, func(a, b dispatch.Release) int { return cmp.Compare(a.At, b.At) })
	session.runSummary = summary
	return summary
}

// firstUnpreemptibleRun is the number of the first run of a task that can't be preempted.
// The limit lets each task end eventually.
const firstUnpreemptibleRun = 4

// runRelease returns when a run is expected to release its resources, and whether it can
// be preempted. t.mu must be held.
func (t *leaderTerm) runRelease(session *workerSession, job *workflow.Job, run workflow.Run, now time.Time) dispatch.Release {
	spec := &job.Steps[run.Task.Step]
	r := dispatch.Release{
		At: session.expectedEnd(run, spec, now).Sub(t.started), Resources: spec.Demand(), Task: run.Task, Priority: job.Policy.Priority,
	}
	o := session.orders[run.Task]
	if o == nil {
		return r
	}
	if !o.stopSentAt.IsZero() {
		r.At, r.Stopping = now.Add(dispatch.StopTime/2).Sub(t.started), true
		return r
	}
	r.Preemptible = o.listed && spec.Checkpointing && !spec.Gang && !spec.LongRunning && run.Number < firstUnpreemptibleRun
	return r
}

// minProgressPercent is the least reported progress from which the end of a run is
// extrapolated. With less progress the end is estimated from the job's estimate.
const minProgressPercent = 10

// overrunDivisor is the divisor of the estimate that gives the expected remaining time of a
// run that exceeds its estimate.
const overrunDivisor = 10

// expectedEnd estimates when a run ends: from its progress if the worker has reported
// enough of it, else from the job's estimate. A run whose start time isn't known counts
// as half done. A run that exceeds its estimate is expected to take another tenth of it. On a
// slow or fast worker the estimate is divided by its speed. t.mu must be held.
func (s *workerSession) expectedEnd(run workflow.Run, step *workflow.Step, now time.Time) time.Time {
	estimate := time.Duration(step.EstimateMS) * time.Millisecond
	if s.speedClass() != speed.Ordinary {
		estimate = time.Duration(float64(estimate) / s.speed.Relative)
	}
	o := s.orders[run.Task]
	if o == nil || o.startedAt.IsZero() {
		return now.Add(estimate / 2)
	}
	if progress := o.percent - o.firstPercent; progress >= minProgressPercent {
		perPercent := float64(o.progressAt.Sub(o.firstListedAt)) / float64(progress)
		return o.progressAt.Add(max(time.Duration(perPercent*float64(completePercent-o.percent)), now.Sub(o.progressAt)))
	}
	// The first reported progress of a resumed run is work of earlier runs.
	remaining := estimate * time.Duration(completePercent-o.firstPercent) / completePercent
	elapsed := now.Sub(o.startedAt)
	return o.startedAt.Add(max(remaining, elapsed+estimate/overrunDivisor))
}
