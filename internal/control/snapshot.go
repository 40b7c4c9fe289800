package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/bilberryferry/bilberryferry/dispatch"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// worthlessAfterObjectives times its objective after acceptance a job is worth nothing more.
const worthlessAfterObjectives = 3

// view is what a decision needs. Everything in it is a copy.
type planInput struct {
	steps   []dispatch.Step
	workers []dispatch.Worker
	stops   []pendingStop
	// copies are the runs of which a copy is worth some idle room.
	copyCandidates map[workflow.TaskKey]copyCandidate
	// placed counts the runs on each worker of the steps whose tasks are bounded.
	runsPerWorker map[workflow.StepKey]map[string]int
}

const (
	// extraStepCapacity is how many steps more than at the last decision are allowed for.
	extraStepCapacity = 64
	// runCheckInterval is the time between two looks for runs to stop or to copy. They
	// take seconds to become so.
	runCheckInterval = 150 * time.Millisecond
	// maxReleasesAge is how old the expected ends of a worker's runs may be while none
	// begins or ends there. Expectations are off by half anyway, and counting them anew
	// for thousands of runs is most of a decision.
	maxReleasesAge = 400 * time.Millisecond
)

func (t *leaderTerm) gatherPlanInput(now time.Time) planInput {
	t.mu.Lock()
	defer t.mu.Unlock()
	// A whole decision goes into fresh jobs as well.
	t.takeChanged()
	// The steps of the last decision are the best guess at how many there are now.
	v := planInput{copyCandidates: map[workflow.TaskKey]copyCandidate{}, runsPerWorker: map[workflow.StepKey]map[string]int{}, steps: make([]dispatch.Step, 0, len(t.waiting)+extraStepCapacity)}
	t.c.state.read(func(s *workflow.State) {
		if now.Sub(t.runsCheckedAt) >= runCheckInterval {
			t.runsCheckedAt = now
			t.countRuns(s, now)
			t.adoptWorkers(s, now)
			t.checkRuns(s, now, &v)
		}
		v.workers = t.gatherWorkers(s, now)
		for _, job := range s.OpenJobs() {
			t.gatherSteps(&v, s, job, now)
		}
		t.addCopySteps(&v, s, now)
	})
	return v
}

// checkRuns finds the runs that are to be stopped or worth a copy.
func (t *leaderTerm) checkRuns(s *workflow.State, now time.Time, v *planInput) {
	for id, runs := range s.Runs {
		session := t.sessions[id]
		if session == nil {
			continue
		}
		for _, run := range runs {
			cause := t.stopCauseOf(s, run, session, now)
			if cause == stopNone {
				if !t.disabled.Copies {
					v.addCopyCandidate(t, s, run, session, now)
				}
			} else if session.stopDue(run, cause, now) {
				stop := pendingStop{session, run, cause}
				// Noted at once: it counts for the runs that are looked at after it.
				session.recordStop(stop, now)
				v.stops = append(v.stops, stop)
			}
		}
	}
}

// runsPerWorkerOf counts the runs of a step on each worker, those just proposed included;
// nil for a step whose tasks aren't bounded. A step and the copies of its tasks share
// the counts, so that a decision that starts both counts both. t.mu is held.
func (v *planInput) runsPerWorkerOf(t *leaderTerm, s *workflow.State, key workflow.StepKey, spec *workflow.Step) map[string]int {
	if spec.MaxPerWorker == 0 {
		return nil
	}
	if counts := v.runsPerWorker[key]; counts != nil {
		return counts
	}
	counts := map[string]int{}
	maps.Copy(counts, s.Placed(key))
	for task, worker := range t.proposedStarts {
		if task.StepKey == key && s.Runs[worker][task].Number == 0 {
			counts[worker]++
		}
	}
	v.runsPerWorker[key] = counts
	return counts
}

func (t *leaderTerm) gatherWorkers(s *workflow.State, now time.Time) []dispatch.Worker {
	workers := make([]dispatch.Worker, 0, len(t.sessions))
	proposed := map[string]workflow.Resources{}
	for task, worker := range t.proposedStarts {
		if job := s.Jobs[task.Job]; job != nil && s.Runs[worker][task].Number == 0 {
			proposed[worker] = proposed[worker].Plus(job.Steps[task.Step].Demand())
		}
	}
	suspects := t.suspectedDataCentres(now)
	t.updateSuspected(suspects, now)
	// In order, so that decisions about fresh jobs, which use them again, needn't sort.
	for _, id := range slices.Sorted(maps.Keys(t.sessions)) {
		session, state := t.sessions[id], s.Workers[id]
		if state == nil || state.Gone || session.unschedulableReason(now, suspects, len(s.Runs[id])) != "" {
			continue
		}
		used, changes := s.Used(id)
		free := state.Capacity.Minus(used).Minus(proposed[id])
		row := t.summarizeRuns(s, session, changes, now)
		workers = append(workers, dispatch.Worker{
			Worker: state.Worker, Free: free, FreeBeforePlan: free, Releases: row.releases, Penalty: session.penalty(), Earmarked: t.earmarked[id],
			Serving: row.serving, SpareRuns: row.spareRuns, SpareShare: session.throttle.share,
		})
	}
	return workers
}

// row is what decisions need to know of the runs on a worker. It is replaced,
// never changed: decisions read it without the lock.
type runSummary struct {
	// changes is the state's number for the runs that the row is about.
	changes   uint64
	at        time.Time
	releases  []dispatch.Release
	serving   bool
	spareRuns int
}

// row returns what is known of the runs on a worker. t.mu is held.
func (t *leaderTerm) summarizeRuns(s *workflow.State, session *workerSession, changes uint64, now time.Time) runSummary {
	if cached := session.runSummary; cached.changes == changes && now.Sub(cached.at) < maxReleasesAge {
		return cached
	}
	summary := runSummary{changes: changes, at: now}
	for task, run := range s.Runs[session.worker.ID] {
		job := s.Jobs[task.Job]
		if job == nil {
			continue
		}
		step := &job.Steps[task.Step]
		summary.serving = summary.serving || step.LatencyObjectiveMS > 0
		if step.UsesSpare {
			summary.spareRuns++
		}
		summary.releases = append(summary.releases, t.runRelease(session, job, run, now))
	}
	slices.SortFunc(summary.releases, func(a, b dispatch.Release) int { return cmp.Compare(a.At, b.At) })
	session.runSummary = summary
	return summary
}

// unpreemptibleRun is the run of a task from which on it isn't stopped for others any
// more, so that it ends some time.
const unpreemptibleRun = 4

// release is what a decision needs to know of a run. t.mu is held.
func (t *leaderTerm) runRelease(session *workerSession, job *workflow.Job, run workflow.Run, now time.Time) dispatch.Release {
	spec := &job.Steps[run.Task.Step]
	r := dispatch.Release{
		At: session.expectedEnd(run, spec, now).Sub(t.started), Resources: spec.Demand(), Task: run.Task, Priority: job.Policy.Priority,
	}
	o := session.orders[run.Task]
	if o == nil {
		return r
	}
	if !o.stopSent.IsZero() {
		r.At, r.Stopping = now.Add(dispatch.StopTime/2).Sub(t.started), true
		return r
	}
	r.Preemptible = o.listed && spec.Checkpointing && !spec.Gang && !spec.LongRunning && run.Number < unpreemptibleRun
	return r
}

// minProgressPercent is the share of a run, in percent, from which on its progress
// tells its end better than the estimate of the job.
const minProgressPercent = 10

// expectedEnd estimates when a run ends: by its progress where the worker has
// reported enough of it, else by the job's estimate. t.mu is held.
func (s *workerSession) expectedEnd(run workflow.Run, step *workflow.Step, now time.Time) time.Time {
	estimate := time.Duration(step.EstimateMS) * time.Millisecond
	o := s.orders[run.Task]
	if o == nil || o.startedAt.IsZero() {
		return now.Add(estimate / 2)
	}
	if done := o.percent - o.firstPercent; done >= minProgressPercent {
		perPercent := float64(o.progressAt.Sub(o.firstAt)) / float64(done)
		return o.progressAt.Add(max(time.Duration(perPercent*float64(completePercent-o.percent)), now.Sub(o.progressAt)))
	}
	// What a resumed run has done already counts from its first report on.
	rest := estimate * time.Duration(completePercent-o.firstPercent) / completePercent
	elapsed := now.Sub(o.startedAt)
	return o.startedAt.Add(max(rest, elapsed+estimate/10))
}

func (t *leaderTerm) gatherSteps(v *planInput, s *workflow.State, job *workflow.Job, now time.Time) {
	accepted, ok := t.acceptedAt[job.ID]
	if !ok {
		accepted = t.started
		t.acceptedAt[job.ID] = accepted
	}
	objective := objectiveOf(job)
	for occurrence := range job.Occurrences {
		begin := accepted
		if job.Schedule.Times > 0 {
			if !job.Due(occurrence, now) {
				continue
			}
			due := time.UnixMilli(job.Schedule.DueMS(occurrence))
			begin = now.Add(-now.Round(0).Sub(due))
		}
		for step := range job.Steps {
			key := workflow.StepKey{Job: job.ID, Occurrence: occurrence, Step: step}
			state := &job.Occurrences[occurrence][step]
			pending := t.pendingTasks(key, &job.Steps[step], state)
			if len(pending) == 0 || !job.StepReady(occurrence, step) {
				continue
			}
			placed := v.runsPerWorkerOf(t, s, key, &job.Steps[step])
			ready := t.dispatchStep(job, key, pending, begin, objective, now, placed)
			ready.Suspects = suspectsAmong(state, pending)
			v.steps = append(v.steps, ready)
		}
	}
}

func (t *leaderTerm) dispatchStep(job *workflow.Job, key workflow.StepKey, pending []int, begin time.Time,
	objective time.Duration, now time.Time, placed map[string]int) dispatch.Step {
	step := dispatch.Step{
		Key: key, Spec: &job.Steps[key.Step], Service: job.Policy.Service, Priority: job.Policy.Priority,
		Due: begin.Add(objective).Sub(t.started), Pending: pending, Placed: placed,
	}
	switch age := now.Sub(begin); {
	case age > worthlessAfterObjectives*objective:
		step.Lateness = 2
	case age+minRemainingTime(step.Spec) > objective && !t.disabled.Lateness:
		step.Lateness = 1
	}
	if job.Policy.Advice == nil {
		return step
	}
	p := t.permitsOf(key)
	if p.lastQueryAt == 0 {
		p.lastQueryAt = now.Sub(t.started)
	}
	step.NeedsPermit, step.LastQuery = true, p.lastQueryAt
	advice := *job.Policy.Advice
	step.AnswerTime = func(n int) time.Duration { return queryDuration(&advice, n) }
	step.GrantRate = t.grantShares[job.Queue].mean
	step.AwaitsAnswer, step.Renewing = p.inFlight > 0, p.renewing
	step.Permits, step.TicketsExpire = p.known, p.ticketsExpire
	return step
}

// minEstimateShare of its estimate a step takes at least: estimates are off by half.
const minEstimateShare = 0.6

// minRemainingTime is how long a step takes at least. A job that can't meet its
// objective any more gives way to one that still can, where more work comes than fits.
func minRemainingTime(spec *workflow.Step) time.Duration {
	return time.Duration(minEstimateShare * float64(spec.EstimateMS) * float64(time.Millisecond))
}

// pendingTasks returns the tasks that may be started; of a gang all or none.
// t.mu is held.
func (t *leaderTerm) pendingTasks(key workflow.StepKey, spec *workflow.Step, state *workflow.StepState) []int {
	if spec.Gang && (state.Live() > 0 || state.Done > 0) {
		return nil
	}
	var pending []int
	for i := range state.Tasks {
		task := &state.Tasks[i]
		proposed := false
		if len(t.proposedStarts) > 0 {
			_, proposed = t.proposedStarts[workflow.TaskKey{StepKey: key, Index: i}]
		}
		if spec.Gang && (proposed || task.AwaitsCrashVerdict()) {
			return nil
		}
		if !task.Done && !task.AwaitsCrashVerdict() && task.Live == 0 && !proposed {
			pending = append(pending, i)
		}
	}
	return pending
}

// suspectsAmong returns the pending tasks that workers have crashed under, nil for none.
func suspectsAmong(state *workflow.StepState, pending []int) map[int]bool {
	var suspects map[int]bool
	for _, index := range pending {
		if !state.Tasks[index].Suspect() {
			continue
		}
		if suspects == nil {
			suspects = map[int]bool{}
		}
		suspects[index] = true
	}
	return suspects
}

// objectiveOf is how long after its acceptance a job should have ended.
func objectiveOf(job *workflow.Job) time.Duration {
	finish := make([]int64, len(job.Steps))
	criticalPath := int64(0)
	for i := range job.Steps {
		for _, before := range job.Steps[i].DependsOn {
			finish[i] = max(finish[i], finish[before])
		}
		finish[i] += job.Steps[i].EstimateMS
		criticalPath = max(criticalPath, finish[i])
	}
	ms := job.Policy.Stretch*float64(criticalPath) + float64(job.Policy.ObjectiveMS)
	return time.Duration(ms * float64(time.Millisecond))
}
