package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/bilberryferry/bilberryferry/dispatch"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// lateFactor times its objective after acceptance a job is worth nothing more.
const lateFactor = 3

// view is what a decision needs. Everything in it is a copy.
type view struct {
	steps   []dispatch.Step
	workers []dispatch.Worker
	stops   []stopping
	// copies are the runs of which a copy is worth some idle room.
	copies map[workflow.TaskKey]copyOf
	// placed counts the runs on each worker of the steps whose tasks are bounded.
	placed map[workflow.StepKey]map[string]int
}

const (
	// moreSteps is how many steps more than at the last decision are allowed for.
	moreSteps = 64
	// sweepEvery is the time between two looks for runs to stop or to copy. They
	// take seconds to become so.
	sweepEvery = 150 * time.Millisecond
	// releasesAge is how old the expected ends of a worker's runs may be while none
	// begins or ends there. Expectations are off by half anyway, and counting them anew
	// for thousands of runs is most of a decision.
	releasesAge = 400 * time.Millisecond
)

func (t *tenure) snapshot(now time.Time) view {
	t.mu.Lock()
	defer t.mu.Unlock()
	// A whole decision goes into fresh jobs as well.
	t.takeFresh()
	// The steps of the last decision are the best guess at how many there are now.
	v := view{copies: map[workflow.TaskKey]copyOf{}, placed: map[workflow.StepKey]map[string]int{}, steps: make([]dispatch.Step, 0, len(t.waiting)+moreSteps)}
	t.c.state.read(func(s *workflow.State) {
		if now.Sub(t.sweptAt) >= sweepEvery {
			t.sweptAt = now
			t.countRuns(s, now)
			t.adoptWorkers(s, now)
			t.sweepRuns(s, now, &v)
		}
		v.workers = t.gatherWorkers(s, now)
		for _, job := range s.Open() {
			t.gatherSteps(&v, s, job, now)
		}
		t.gatherCopies(&v, s, now)
	})
	return v
}

// sweepRuns finds the runs that are to be stopped or worth a copy.
func (t *tenure) sweepRuns(s *workflow.State, now time.Time, v *view) {
	for id, runs := range s.Runs {
		session := t.sessions[id]
		if session == nil {
			continue
		}
		for _, run := range runs {
			cause := t.stopCauseOf(s, run, session, now)
			if cause == stopNone {
				if !t.without.Copies {
					v.noteCopy(t, s, run, session, now)
				}
			} else if session.stopDue(run, cause, now) {
				stop := stopping{session, run, cause}
				// Noted at once: it counts for the runs that are looked at after it.
				session.noteStop(stop, now)
				v.stops = append(v.stops, stop)
			}
		}
	}
}

// placedOf counts the runs of a step on each worker, those just proposed included;
// nil for a step whose tasks aren't bounded. A step and the copies of its tasks share
// the counts, so that a decision that starts both counts both. t.mu is held.
func (v *view) placedOf(t *tenure, s *workflow.State, key workflow.StepKey, spec *workflow.Step) map[string]int {
	if spec.MaxPerWorker == 0 {
		return nil
	}
	if counts := v.placed[key]; counts != nil {
		return counts
	}
	counts := map[string]int{}
	maps.Copy(counts, s.Placed(key))
	for task, worker := range t.proposed {
		if task.StepKey == key && s.Runs[worker][task].Number == 0 {
			counts[worker]++
		}
	}
	v.placed[key] = counts
	return counts
}

func (t *tenure) gatherWorkers(s *workflow.State, now time.Time) []dispatch.Worker {
	workers := make([]dispatch.Worker, 0, len(t.sessions))
	proposed := map[string]workflow.Resources{}
	for task, worker := range t.proposed {
		if job := s.Jobs[task.Job]; job != nil && s.Runs[worker][task].Number == 0 {
			proposed[worker] = proposed[worker].Plus(job.Steps[task.Step].Room())
		}
	}
	suspects := t.suspects(now)
	t.noteSuspects(suspects, now)
	// In order, so that decisions about fresh jobs, which use them again, needn't sort.
	for _, id := range slices.Sorted(maps.Keys(t.sessions)) {
		session, state := t.sessions[id], s.Workers[id]
		if state == nil || state.Gone || session.obstacle(now, suspects, len(s.Runs[id])) != "" {
			continue
		}
		used, changes := s.Used(id)
		free := state.Capacity.Minus(used).Minus(proposed[id])
		row := t.row(s, session, changes, now)
		workers = append(workers, dispatch.Worker{
			Worker: state.Worker, Free: free, Unplanned: free, Releases: row.releases, Penalty: session.penalty(), Earmarked: t.earmarked[id],
			Serving: row.serving, SpareRuns: row.spareRuns, SpareShare: session.throttle.share,
		})
	}
	return workers
}

// row is what decisions need to know of the runs on a worker. It is replaced,
// never changed: decisions read it without the lock.
type row struct {
	// changes is the state's number for the runs that the row is about.
	changes   uint64
	at        time.Time
	releases  []dispatch.Release
	serving   bool
	spareRuns int
}

// row returns what is known of the runs on a worker. t.mu is held.
func (t *tenure) row(s *workflow.State, session *session, changes uint64, now time.Time) row {
	if known := session.row; known.changes == changes && now.Sub(known.at) < releasesAge {
		return known
	}
	fresh := row{changes: changes, at: now}
	for task, run := range s.Runs[session.worker.ID] {
		job := s.Jobs[task.Job]
		if job == nil {
			continue
		}
		step := &job.Steps[task.Step]
		fresh.serving = fresh.serving || step.LatencyObjectiveMS > 0
		if step.UsesSpare {
			fresh.spareRuns++
		}
		fresh.releases = append(fresh.releases, t.release(session, job, run, now))
	}
	slices.SortFunc(fresh.releases, func(a, b dispatch.Release) int { return cmp.Compare(a.At, b.At) })
	session.row = fresh
	return fresh
}

// maxPreempted is the run of a task from which on it isn't stopped for others any
// more, so that it ends some time.
const maxPreempted = 4

// release is what a decision needs to know of a run. t.mu is held.
func (t *tenure) release(session *session, job *workflow.Job, run workflow.Run, now time.Time) dispatch.Release {
	spec := &job.Steps[run.Task.Step]
	r := dispatch.Release{
		At: session.expectedEnd(run, spec, now).Sub(t.started), Room: spec.Room(), Task: run.Task, Priority: job.Policy.Priority,
	}
	o := session.orders[run.Task]
	if o == nil {
		return r
	}
	if !o.stopSent.IsZero() {
		r.At, r.Stopping = now.Add(dispatch.StopTime/2).Sub(t.started), true
		return r
	}
	r.Yields = o.listed && spec.Checkpointing && !spec.Gang && !spec.LongRunning && run.Number < maxPreempted
	return r
}

// leastProgress is the share of a run, in percent, from which on its progress
// tells its end better than the estimate of the job.
const leastProgress = 10

// expectedEnd estimates when a run ends: by its progress where the worker has
// reported enough of it, else by the job's estimate. t.mu is held.
func (s *session) expectedEnd(run workflow.Run, step *workflow.Step, now time.Time) time.Time {
	estimate := time.Duration(step.EstimateMS) * time.Millisecond
	o := s.orders[run.Task]
	if o == nil || o.startedAt.IsZero() {
		return now.Add(estimate / 2)
	}
	if done := o.percent - o.firstPercent; done >= leastProgress {
		each := float64(o.progressAt.Sub(o.firstAt)) / float64(done)
		return o.progressAt.Add(max(time.Duration(each*float64(wholePercent-o.percent)), now.Sub(o.progressAt)))
	}
	// What a resumed run has done already counts from its first report on.
	rest := estimate * time.Duration(wholePercent-o.firstPercent) / wholePercent
	elapsed := now.Sub(o.startedAt)
	return o.startedAt.Add(max(rest, elapsed+estimate/10))
}

func (t *tenure) gatherSteps(v *view, s *workflow.State, job *workflow.Job, now time.Time) {
	accepted, ok := t.accepted[job.ID]
	if !ok {
		accepted = t.started
		t.accepted[job.ID] = accepted
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
			placed := v.placedOf(t, s, key, &job.Steps[step])
			ready := t.step(job, key, pending, begin, objective, now, placed)
			ready.Suspects = suspectsAmong(state, pending)
			v.steps = append(v.steps, ready)
		}
	}
}

func (t *tenure) step(job *workflow.Job, key workflow.StepKey, pending []int, begin time.Time,
	objective time.Duration, now time.Time, placed map[string]int) dispatch.Step {
	step := dispatch.Step{
		Key: key, Spec: &job.Steps[key.Step], Service: job.Policy.Service, Priority: job.Policy.Priority,
		Due: begin.Add(objective).Sub(t.started), Pending: pending, Placed: placed,
	}
	switch age := now.Sub(begin); {
	case age > lateFactor*objective:
		step.Late = 2
	case age+leastRest(step.Spec) > objective && !t.without.Lateness:
		step.Late = 1
	}
	if job.Policy.Advice == nil {
		return step
	}
	p := t.permitsOf(key)
	if p.asked == 0 {
		p.asked = now.Sub(t.started)
	}
	step.NeedsPermit, step.Asked = true, p.asked
	advice := *job.Policy.Advice
	step.AskTime = func(n int) time.Duration { return askLength(&advice, n) }
	step.GrantShare = t.grantShares[job.Queue].mean
	step.Asking, step.Renewing = p.asking > 0, p.renewing
	step.Permits, step.TicketsEnd = p.known, p.ticketsEnd
	return step
}

// leastShare of its estimate a step takes at least: estimates are off by half.
const leastShare = 0.6

// leastRest is how long a step takes at least. A job that can't meet its
// objective any more gives way to one that still can, where more work comes than fits.
func leastRest(spec *workflow.Step) time.Duration {
	return time.Duration(leastShare * float64(spec.EstimateMS) * float64(time.Millisecond))
}

// pendingTasks returns the tasks that may be started; of a gang all or none.
// t.mu is held.
func (t *tenure) pendingTasks(key workflow.StepKey, spec *workflow.Step, state *workflow.StepState) []int {
	if spec.Gang && (state.Live() > 0 || state.Done > 0) {
		return nil
	}
	var pending []int
	for i := range state.Tasks {
		task := &state.Tasks[i]
		proposed := false
		if len(t.proposed) > 0 {
			_, proposed = t.proposed[workflow.TaskKey{StepKey: key, Index: i}]
		}
		if spec.Gang && (proposed || task.Held()) {
			return nil
		}
		if !task.Done && !task.Held() && task.Live == 0 && !proposed {
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
	longest := make([]int64, len(job.Steps))
	chain := int64(0)
	for i := range job.Steps {
		for _, before := range job.Steps[i].DependsOn {
			longest[i] = max(longest[i], longest[before])
		}
		longest[i] += job.Steps[i].EstimateMS
		chain = max(chain, longest[i])
	}
	ms := job.Policy.Stretch*float64(chain) + float64(job.Policy.ObjectiveMS)
	return time.Duration(ms * float64(time.Millisecond))
}
