package dispatch

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// replay plays the load of a large pool against Decide on a clock of its own: jobs come
// in, an adviser answers late, runs take other times than estimated, some fail.
// Everything follows from its seed.
type replay struct {
	random *rand.Rand
	now    time.Duration
	// decision is the time between two decisions.
	decision time.Duration
	limits   Limits
	turn     int
	workers  []Worker
	kinds    []*replayKind
	jobs     []*replayJob
	runs     map[workflow.TaskKey]*replayRun
	// lanes are when each lane to the adviser will be free.
	lanes     []time.Duration
	answers   []replayAnswer
	earmarked map[string]bool
	// left is what the last whole decision left over of the workers' room, next the first
	// step that it had no place for, and fresh are the jobs for which something has come
	// up since; see playFresh.
	left  []Worker
	next  *Step
	fresh map[string]bool

	// Figures: questions, stops and decisions, the longest decision, and the sum of the
	// shares of cores that were free after each.
	asked, preempted, decided int
	longest                   time.Duration
	freeSum                   float64
}

// replayRun is a run that is alive.
type replayRun struct {
	job    *replayJob
	task   workflow.TaskKey
	worker int
	// end is when it ends, expected what its estimate says, whole how long it takes.
	begin, end, expected, whole time.Duration
	fails, stops                bool
}

// replayAnswer is an answer of the adviser that is under way.
type replayAnswer struct {
	at  time.Duration
	job *replayJob
	key workflow.StepKey
	ask Ask
}

// newReplay returns a pool of n workers with 64 cores and 256 GB each, without load.
func newReplay(seed uint64, n, lanes int, kinds ...*replayKind) *replay {
	r := &replay{
		random: rand.New(rand.NewPCG(seed, 7)), kinds: kinds, lanes: make([]time.Duration, lanes),
		runs: map[workflow.TaskKey]*replayRun{}, decision: 100 * time.Millisecond,
		limits: Limits{AskWorkers: 30, GangAskWorkers: 100, Steps: 128, TicketMargin: 150 * time.Millisecond, LongAsk: 150 * time.Millisecond},
	}
	for i := range n {
		capacity := workflow.Resources{MilliCPU: 64_000, MemoryMB: 262_144}
		r.workers = append(r.workers, Worker{
			Worker: workflow.Worker{ID: fmt.Sprintf("w%03d", i), Service: "s", Rack: fmt.Sprint("r", i/12), Capacity: capacity}, Free: capacity,
		})
	}
	return r
}

// permits is the adviser's word, which never changes for a step and a worker.
func (r *replay) permits(key workflow.StepKey, worker string, share float64) bool {
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, key, worker)
	return float64(h.Sum32()%1000) < 1000*share
}

// step returns what a decision learns of the job's present step; false when nothing
// of it may start.
func (r *replay) step(j *replayJob) (Step, bool) {
	if j.ended > 0 || len(j.pending[j.step]) == 0 {
		return Step{}, false
	}
	k, spec := j.kind, j.specs[j.step]
	s := Step{
		Key: workflow.StepKey{Job: j.id, Step: j.step}, Spec: spec, Service: "s", Priority: k.priority, Due: j.begin + j.objective,
		Pending: slices.Clone(j.pending[j.step]), NeedsPermit: true, Permits: j.permits, TicketsEnd: j.ticketsEnd, GrantShare: k.grantShare,
		Asking: j.asking > 0, Renewing: j.renewing, Asked: j.asked,
		AskTime: func(n int) time.Duration { return k.decide + time.Duration(n)*k.each },
	}
	switch age := r.now - j.begin; {
	case age > 3*j.objective:
		s.Late = 2
	case age+time.Duration(0.6*float64(spec.EstimateMS)*1e6) > j.objective:
		s.Late = 1
	}
	return s, true
}

// decide makes one decision and carries it out.
func (r *replay) decide() {
	var steps []Step
	jobs := map[workflow.StepKey]*replayJob{}
	for _, j := range r.jobs {
		if s, ok := r.step(j); ok {
			steps = append(steps, s)
			jobs[s.Key] = j
		}
	}
	limits := r.limits
	limits.Asks, limits.LongAsks = r.freeLanes()
	r.turn++
	limits.Turn = r.turn
	begun := time.Now()
	r.left, r.fresh = r.view(), map[string]bool{}
	plan := Decide(r.now, steps, r.left, limits)
	r.next = plan.Next
	r.noteEarmarks(plan.Earmarks)
	r.longest = max(r.longest, time.Since(begun))
	r.decided++
	r.preempted += len(plan.Preempts)
	for _, p := range plan.Preempts {
		if run := r.runs[p.Task]; run != nil && !run.stops {
			run.stops = true
			run.end = min(run.end, r.now+StopTime)
		}
	}
	r.carryOut(&plan, jobs)
}

// carryOut puts the questions of a plan and starts what it starts.
func (r *replay) carryOut(plan *Plan, jobs map[workflow.StepKey]*replayJob) {
	for _, a := range plan.Asks {
		r.ask(jobs[a.Step], a)
	}
	for _, s := range plan.Starts {
		r.start(jobs[s.Task.StepKey], s)
	}
}

// decideFresh makes a decision about the fresh jobs alone, with the room that the last
// whole one left over. Those that don't go before all that it had no place for wait.
func (r *replay) decideFresh() {
	var steps []Step
	jobs := map[workflow.StepKey]*replayJob{}
	for _, j := range r.jobs {
		s, ok := r.step(j)
		if !ok || !r.fresh[j.id] || r.next != nil && !Before(&s, r.next) {
			continue
		}
		steps = append(steps, s)
		jobs[s.Key] = j
	}
	r.fresh = map[string]bool{}
	limits := r.limits
	limits.Asks, limits.LongAsks = r.freeLanes()
	limits.Without.Preemption = true
	plan := Decide(r.now, steps, r.left, limits)
	r.carryOut(&plan, jobs)
}

// playFresh lets jobs come until a time, with decisions about fresh jobs every tick
// between whole ones.
func (r *replay) playFresh(until, tick time.Duration) {
	whole := r.decision
	defer func() { r.decision = whole }()
	r.decision = tick
	for next := r.now; r.now < until; r.advance() {
		r.arrive(tick)
		if r.now < next {
			r.decideFresh()
			continue
		}
		r.decide()
		next = r.now + whole
	}
}

func (r *replay) noteEarmarks(workers []string) {
	r.earmarked = map[string]bool{}
	for _, id := range workers {
		r.earmarked[id] = true
	}
}

// view returns the workers as a decision sees them.
func (r *replay) view() []Worker {
	view := slices.Clone(r.workers)
	for i := range view {
		view[i].Unplanned, view[i].Releases, view[i].Earmarked = view[i].Free, nil, r.earmarked[view[i].ID]
	}
	for _, run := range r.runs {
		spec := run.job.specs[run.task.Step]
		release := Release{At: max(run.expected, r.now+run.whole/10), Room: spec.Room(), Task: run.task, Priority: run.job.kind.priority,
			Yields: spec.Checkpointing && !spec.Gang && !run.stops}
		if run.stops {
			release.At, release.Stopping = r.now+StopTime/2, true
		}
		view[run.worker].Releases = append(view[run.worker].Releases, release)
	}
	for i := range view {
		slices.SortFunc(view[i].Releases, func(a, b Release) int {
			return cmp.Or(cmp.Compare(a.At, b.At), workflow.CompareTasks(a.Task, b.Task))
		})
	}
	return view
}

// freeLanes returns how many questions may be put now, and how many of them may be long.
func (r *replay) freeLanes() (all, long int) {
	for i, until := range r.lanes {
		if until >= r.now+time.Second {
			continue
		}
		all++
		if i >= len(r.lanes)/shortLanes {
			long++
		}
	}
	return all, long
}

// shortLanes is the part of the lanes that long questions leave to short ones, as a
// divisor.
const shortLanes = 6

// ask puts a question on the lane that is free first.
func (r *replay) ask(j *replayJob, a Ask) {
	r.asked++
	length := j.kind.decide + time.Duration(len(a.Workers))*j.kind.each
	lanes := r.lanes
	if length > 150*time.Millisecond {
		lanes = lanes[len(lanes)/shortLanes:]
	}
	first := 0
	for i := range lanes {
		if lanes[i] < lanes[first] {
			first = i
		}
	}
	lanes[first] = max(lanes[first], r.now) + length
	j.asking++
	j.asked = r.now
	if a.Renewal {
		j.renewing = a.Workers
	}
	r.answers = append(r.answers, replayAnswer{at: lanes[first] + 5*time.Millisecond, job: j, key: a.Step, ask: a})
}

// takeIn takes in an answer of the adviser.
func (r *replay) takeIn(a replayAnswer) {
	j, k := a.job, a.job.kind
	if j.ended > 0 || j.step != a.key.Step {
		return
	}
	j.asking--
	r.noteFresh(j)
	j.renewing = nil
	known := maps.Clone(j.permits)
	unknown, granted := 0, 0
	for _, w := range a.ask.Workers {
		_, knownBefore := j.permits[w]
		ok := r.permits(a.key, w, k.permitted)
		if ok {
			j.ticketsEnd = a.at + k.valid
		}
		known[w] = Permit{Granted: ok, Ticket: "t", Expires: a.at + k.valid}
		if !knownBefore {
			unknown++
			if ok {
				granted++
			}
		}
	}
	if unknown > 0 {
		k.grantSamples++
		k.grantShare += max(0.05, 1/k.grantSamples) * (float64(granted)/float64(unknown) - k.grantShare)
	}
	j.permits = known
}

// noteFresh takes in that something has come up for a job.
func (r *replay) noteFresh(j *replayJob) {
	if r.fresh != nil {
		r.fresh[j.id] = true
	}
}

// start lets a task run.
func (r *replay) start(j *replayJob, s Start) {
	spec, whole := j.specs[s.Task.Step], j.works[s.Task.Step]
	w := slices.IndexFunc(r.workers, func(w Worker) bool { return w.ID == s.Worker })
	r.workers[w].Free = r.workers[w].Free.Minus(spec.Room())
	rest := 1 - j.saved[s.Task]
	took := time.Duration(rest * float64(whole) * []float64{1, 1, 1.3}[w%3])
	run := &replayRun{job: j, task: s.Task, worker: w, begin: r.now, end: r.now + took, whole: took,
		expected: r.now + time.Duration(rest*float64(spec.EstimateMS)*1e6)}
	if !spec.Gang && r.random.Float64() < j.kind.failing {
		run.fails, run.end = true, r.now+time.Duration(r.random.Float64()*float64(took))
	}
	r.runs[s.Task] = run
	j.pending[s.Task.Step] = slices.DeleteFunc(j.pending[s.Task.Step], func(i int) bool { return i == s.Task.Index })
	if spec.Gang && len(j.pending[s.Task.Step]) == 0 {
		r.tie(j, s.Task.StepKey)
	}
}

// tie lets the members of a gang end together, with the slowest.
func (r *replay) tie(j *replayJob, key workflow.StepKey) {
	end := time.Duration(0)
	fails := r.random.Float64() < j.kind.failing
	members := make([]*replayRun, j.specs[key.Step].Count)
	for i := range members {
		members[i] = r.runs[workflow.TaskKey{StepKey: key, Index: i}]
		end = max(end, members[i].end)
	}
	if fails {
		end = r.now + time.Duration(r.random.Float64()*float64(end-r.now))
	}
	for _, m := range members {
		m.end, m.fails = end, fails
	}
}

// end takes in the end of a run.
func (r *replay) end(run *replayRun) {
	j, step := run.job, run.task.Step
	delete(r.runs, run.task)
	r.workers[run.worker].Free = r.workers[run.worker].Free.Plus(j.specs[step].Room())
	if run.fails || run.stops && run.end < run.begin+run.whole {
		if run.stops {
			j.saved[run.task] += (1 - j.saved[run.task]) * float64(run.end-run.begin) / float64(run.whole)
		}
		j.pending[step] = append(j.pending[step], run.task.Index)
		return
	}
	j.left[step]--
	if j.left[step] > 0 {
		return
	}
	j.step++
	j.permits, j.asking, j.renewing, j.ticketsEnd, j.asked = map[string]Permit{}, 0, nil, 0, r.now
	if j.step < len(j.specs) {
		return
	}
	j.ended = r.now
	switch age := r.now - j.begin; {
	case age <= j.objective:
		j.kind.inTime++
		j.got = 1
	case age <= 3*j.objective:
		j.kind.late++
		j.got = 0.2
	}
}

// advance lets time pass until the next decision.
func (r *replay) advance() {
	r.now += r.decision
	r.answers = slices.DeleteFunc(r.answers, func(a replayAnswer) bool {
		if a.at > r.now {
			return false
		}
		r.takeIn(a)
		return true
	})
	var over []*replayRun
	for _, run := range r.runs {
		if run.end <= r.now {
			over = append(over, run)
		}
	}
	slices.SortFunc(over, func(a, b *replayRun) int { return workflow.CompareTasks(a.task, b.task) })
	for _, run := range over {
		r.end(run)
	}
	r.jobs = slices.DeleteFunc(r.jobs, func(j *replayJob) bool { return j.ended > 0 })
	r.freeSum += r.freeShare()
}

// freeShare is the share of the pool's cores that no run takes.
func (r *replay) freeShare() float64 {
	free, all := int64(0), int64(0)
	for i := range r.workers {
		free += r.workers[i].Free.MilliCPU
		all += r.workers[i].Capacity.MilliCPU
	}
	return float64(free) / float64(all)
}

// play lets jobs come for traffic, and then nothing for rest.
func (r *replay) play(traffic, rest time.Duration) {
	for r.now < traffic+rest {
		if r.now < traffic {
			r.arrive(r.decision)
		}
		r.decide()
		r.advance()
	}
}

// waiting counts the jobs that wait for a start, and the gangs among them.
func (r *replay) waiting() (steps, gangs int) {
	for _, j := range r.jobs {
		if s, ok := r.step(j); ok {
			steps++
			if s.Spec.Gang {
				gangs++
			}
		}
	}
	return steps, gangs
}

// couldRun notes since when each job of which nothing runs would find room for twice its
// tasks on permitted workers, beside all jobs before it that would, and returns the longest
// such time.
func (r *replay) couldRun() time.Duration {
	longest := time.Duration(0)
	free := slices.Clone(r.workers)
	for _, j := range r.jobs {
		s, waits := r.step(j)
		if !waits || len(s.Pending) < s.Spec.Count || !r.takeTwice(&s, j, free) {
			j.roomSince = -1
			continue
		}
		if j.roomSince < 0 {
			j.roomSince = r.now
		}
		longest = max(longest, r.now-j.roomSince)
	}
	return longest
}

// takeTwice takes room for twice the step's tasks on workers that the adviser permits,
// asked or not, and reports whether there is as much.
func (r *replay) takeTwice(s *Step, j *replayJob, free []Worker) bool {
	var chosen []*Worker
	left := 2 * len(s.Pending)
	for i := range free {
		w := &free[i]
		if left > 0 && r.permits(s.Key, w.ID, j.kind.permitted) && copies(s, w) > 0 {
			chosen = append(chosen, w)
			left -= copies(s, w)
		}
	}
	if left > 0 {
		return false
	}
	for _, w := range chosen {
		w.Free = w.Free.Minus(s.Spec.Room().Times(int64(copies(s, w))))
	}
	return true
}
