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

// replay simulates a loaded pool whose tasks Decide places, on a virtual clock: jobs
// arrive, an adviser responds with a delay, runs take longer or shorter than estimated,
// some fail. The simulation follows from the seed alone.
type replay struct {
	random *rand.Rand
	now    time.Duration
	// decisionInterval is the time between two decisions.
	decisionInterval time.Duration
	limits           Limits
	round            int
	workers          []Worker
	kinds            []*replayKind
	jobs             []*replayJob
	runs             map[workflow.TaskKey]*replayRun
	// connections holds when each adviser connection becomes free.
	connections []time.Duration
	responses   []replayResponse
	earmarked   map[string]bool
	// remaining are the workers as the last full decision left them, firstSkipped is its
	// Plan.FirstSkipped, and changed holds the IDs of the jobs that have changed since that
	// decision. Incremental decisions use all three.
	remaining    []Worker
	firstSkipped *Step
	changed      map[string]bool

	// queries, preemptions and decisions are totals for the output. longestDecision is the
	// longest time that a decision took, in real time. freeSum is the sum over the
	// decisions of the share of cores that are free.
	queries, preemptions, decisions int
	longestDecision                 time.Duration
	freeSum                         float64
	// speeds are the speeds of the workers, nil for the usual replay.
	speeds *replaySpeeds
}

// replayRun is a live run of a task.
type replayRun struct {
	job  *replayJob
	task workflow.TaskKey
	// worker is the index of the worker in the pool.
	worker int
	// end is when the run ends, expectedEnd is when it would end by its estimate, and
	// duration is how long it takes unless it fails or is stopped.
	begin, end, expectedEnd, duration time.Duration
	fails, stops                      bool
}

// replayResponse is a response from the adviser that is in flight. at is when it arrives.
type replayResponse struct {
	at    time.Duration
	job   *replayJob
	key   workflow.StepKey
	query Query
}

const (
	// mixedPoolWorkers and largePoolWorkers are numbers of workers.
	mixedPoolWorkers = 350
	largePoolWorkers = 1100
	// usualConnections and largePoolConnections are numbers of adviser connections.
	usualConnections     = 44
	largePoolConnections = 152
	// rackSize is the number of workers in a rack.
	rackSize = 12
	// longQueryTime is the duration beyond which a query is long.
	longQueryTime = 150 * time.Millisecond
	// responseDelay is the time from the end of a query until its response is applied.
	responseDelay = 5 * time.Millisecond
	// worthlessAfter is the multiple of its objective after which a job has no value left, and
	// lateEarnedShare is the share of its value that a late job earns until then.
	worthlessAfter  = 3
	lateEarnedShare = 0.2
	// minRunTimeFactor is the share of the estimated run time of its current step that a job
	// must have left to count as in time.
	minRunTimeFactor = 0.6
	// minRemainingDivisor is the inverse of the share of a run's duration that is always
	// expected to remain, also when the run lasts longer than estimated.
	minRemainingDivisor = 10
	// minGrantRateWeight is the smallest weight of a response in the mean grant rate.
	minGrantRateWeight = 0.05
	// slowWorkerFactor is the ratio of run times on every third worker to run times on
	// the remaining workers.
	slowWorkerFactor = 1.3
)

// newReplay returns a pool of n workers with 64 cores and 256 GiB each, without load.
func newReplay(seed uint64, n, connections int, kinds ...*replayKind) *replay {
	r := &replay{
		random: rand.New(rand.NewPCG(seed, 7)), kinds: kinds, connections: make([]time.Duration, connections),
		runs: map[workflow.TaskKey]*replayRun{}, decisionInterval: 100 * time.Millisecond,
		limits: Limits{WorkersPerQuery: 30, WorkersPerGangQuery: 100, Steps: 128, TicketMargin: 150 * time.Millisecond, LongQueryTime: longQueryTime},
	}
	for i := range n {
		capacity := workflow.Resources{MilliCPU: 64_000, MemoryMB: 262_144}
		r.workers = append(r.workers, Worker{
			Worker: workflow.Worker{ID: fmt.Sprintf("w%03d", i), Service: "s", Rack: fmt.Sprint("r", i/rackSize), Capacity: capacity}, Free: capacity,
		})
	}
	return r
}

// resize gives all workers of an empty pool other resources.
func (r *replay) resize(capacity workflow.Resources) {
	for i := range r.workers {
		r.workers[i].Capacity, r.workers[i].Free = capacity, capacity
	}
}

// permits reports whether the adviser permits a step on a worker, pseudo-randomly for a
// share of the workers. The result depends only on the arguments.
func (r *replay) permits(key workflow.StepKey, worker string, share float64) bool {
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, key, worker)
	return float64(h.Sum32()%1000) < 1000*share
}

// step returns the input of a decision for the current step of a job; false if none of its
// tasks may start.
func (r *replay) step(j *replayJob) (Step, bool) {
	if j.ended > 0 || len(j.pending[j.step]) == 0 {
		return Step{}, false
	}
	k, spec := j.kind, j.specs[j.step]
	s := Step{
		Key: workflow.StepKey{Job: j.id, Step: j.step}, Spec: spec, Service: "s", Priority: k.priority, Due: j.begin + j.estimatedObjective(r), Stretch: k.stretch,
		Pending: slices.Clone(j.pending[j.step]), NeedsPermit: true, Permits: j.permits, TicketsExpire: j.ticketsExpire, GrantRate: k.grantRate,
		AwaitsResponse: len(j.inFlight) > 0, Renewing: j.renewing, Querying: j.querying(), LastQueryAt: j.lastQueryAt,
		ResponseTime: func(n int) time.Duration { return k.baseLatency + time.Duration(n)*k.perWorkerLatency },
	}
	switch age := r.now - j.begin; {
	case age > worthlessAfter*j.estimatedObjective(r):
		s.Lateness = 2
	case age+time.Duration(minRunTimeFactor*float64(spec.EstimateMS)*1e6) > j.estimatedObjective(r):
		s.Lateness = 1
	}
	return s, true
}

// decide makes a full decision and applies it.
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
	limits.Queries, limits.LongQueries = r.freeConnections()
	r.round++
	limits.Round = r.round
	start := time.Now()
	r.remaining, r.changed = r.planningInput(), map[string]bool{}
	plan := Decide(r.now, steps, r.remaining, limits)
	r.firstSkipped = plan.FirstSkipped
	r.recordEarmarks(plan.Earmarks)
	r.longestDecision = max(r.longestDecision, time.Since(start))
	r.decisions++
	r.preemptions += len(plan.Preemptions)
	for _, p := range plan.Preemptions {
		if run := r.runs[p.Task]; run != nil && !run.stops {
			run.stops = true
			run.end = min(run.end, r.now+StopTime)
		}
	}
	r.apply(&plan, jobs)
}

// apply sends the queries of a plan and starts its tasks.
func (r *replay) apply(plan *Plan, jobs map[workflow.StepKey]*replayJob) {
	for _, query := range plan.Queries {
		r.query(jobs[query.Step], query)
	}
	for _, s := range plan.Starts {
		r.start(jobs[s.Task.StepKey], s)
	}
}

// decideIncremental makes a decision for the changed jobs alone, with the resources that
// the last full decision left. Jobs whose step doesn't precede firstSkipped wait for the
// next full decision.
func (r *replay) decideIncremental() {
	var steps []Step
	jobs := map[workflow.StepKey]*replayJob{}
	for _, j := range r.jobs {
		s, ok := r.step(j)
		if !ok || !r.changed[j.id] || r.firstSkipped != nil && !Before(&s, r.firstSkipped) {
			continue
		}
		steps = append(steps, s)
		jobs[s.Key] = j
	}
	r.changed = map[string]bool{}
	limits := r.limits
	limits.Queries, limits.LongQueries = r.freeConnections()
	limits.Incremental, limits.Disabled.Preemption = true, true
	plan := Decide(r.now, steps, r.remaining, limits)
	r.apply(&plan, jobs)
}

// playIncremental runs the replay with submissions up to stopAt. It makes full decisions at
// the usual interval and an incremental one every tick between them.
func (r *replay) playIncremental(stopAt, tick time.Duration) {
	fullInterval := r.decisionInterval
	defer func() { r.decisionInterval = fullInterval }()
	r.decisionInterval = tick
	for next := r.now; r.now < stopAt; r.advance() {
		r.submitArrivals(tick)
		if r.now < next {
			r.decideIncremental()
			continue
		}
		r.decide()
		next = r.now + fullInterval
	}
}

// recordEarmarks keeps the earmarks of a plan for the next decision.
func (r *replay) recordEarmarks(workers []string) {
	r.earmarked = map[string]bool{}
	for _, id := range workers {
		r.earmarked[id] = true
	}
}

// planningInput returns the workers as a decision gets them.
func (r *replay) planningInput() []Worker {
	input := slices.Clone(r.workers)
	r.speeds.classify(r.now, input)
	for i := range input {
		input[i].FreeBeforePlan, input[i].Releases, input[i].Earmarked = input[i].Free, nil, r.earmarked[input[i].ID]
	}
	for _, run := range r.runs {
		spec := run.job.specs[run.task.Step]
		release := Release{At: max(run.expectedEnd, r.now+run.duration/minRemainingDivisor), Resources: spec.Demand(), Task: run.task, Priority: run.job.kind.priority,
			Preemptible: spec.Checkpointing && !spec.Gang && !run.stops}
		if run.stops {
			release.At, release.Stopping = r.now+StopTime/2, true
		}
		input[run.worker].Releases = append(input[run.worker].Releases, release)
	}
	for i := range input {
		slices.SortFunc(input[i].Releases, func(a, b Release) int {
			return cmp.Or(cmp.Compare(a.At, b.At), workflow.CompareTasks(a.Task, b.Task))
		})
	}
	return input
}

// freeConnections returns how many queries may be sent now, and how many of them may be long. A
// connection counts as free if it becomes so within a second.
func (r *replay) freeConnections() (all, long int) {
	for i, freeAt := range r.connections {
		if freeAt >= r.now+time.Second {
			continue
		}
		all++
		if i >= len(r.connections)/shortQueryDivisor {
			long++
		}
	}
	return all, long
}

// shortQueryDivisor is the inverse of the share of the connections that is reserved for
// short queries.
const shortQueryDivisor = 6

// query sends a query on the connection that becomes free first.
func (r *replay) query(j *replayJob, query Query) {
	r.queries++
	length := j.kind.baseLatency + time.Duration(len(query.Workers))*j.kind.perWorkerLatency
	usable := r.connections
	if length > longQueryTime {
		usable = usable[len(usable)/shortQueryDivisor:]
	}
	first := 0
	for i := range usable {
		if usable[i] < usable[first] {
			first = i
		}
	}
	usable[first] = max(usable[first], r.now) + length
	j.inFlight = append(j.inFlight, query)
	j.lastQueryAt = r.now
	if query.Renewal {
		j.renewing = query.Workers
	}
	r.responses = append(r.responses, replayResponse{at: usable[first] + responseDelay, job: j, key: query.Step, query: query})
}

// applyResponse applies a response from the adviser.
func (r *replay) applyResponse(response replayResponse) {
	j, k := response.job, response.job.kind
	if j.ended > 0 || j.step != response.key.Step {
		return
	}
	j.inFlight = slices.DeleteFunc(j.inFlight, func(q Query) bool { return slices.Equal(q.Workers, response.query.Workers) })
	r.markChanged(j)
	if response.query.Renewal {
		j.renewing = nil
	}
	known := maps.Clone(j.permits)
	unknown, granted := 0, 0
	for _, w := range response.query.Workers {
		_, knownBefore := j.permits[w]
		permitted := r.permits(response.key, w, k.grantedShare)
		if permitted {
			j.ticketsExpire = response.at + k.ticketValidity
		}
		known[w] = Permit{Granted: permitted, Ticket: "t", Expires: response.at + k.ticketValidity}
		if !knownBefore {
			unknown++
			if permitted {
				granted++
			}
		}
	}
	if unknown > 0 {
		k.grantSamples++
		k.grantRate += max(minGrantRateWeight, 1/k.grantSamples) * (float64(granted)/float64(unknown) - k.grantRate)
	}
	j.permits = known
}

// markChanged records that a job has changed since the last full decision.
func (r *replay) markChanged(j *replayJob) {
	if r.changed != nil {
		r.changed[j.id] = true
	}
}

// start starts a task.
func (r *replay) start(j *replayJob, s Start) {
	spec, fullRunTime := j.specs[s.Task.Step], j.runTimes[s.Task.Step]
	w := slices.IndexFunc(r.workers, func(w Worker) bool { return w.ID == s.Worker })
	r.workers[w].Free = r.workers[w].Free.Minus(spec.Demand())
	remaining := 1 - j.saved[s.Task]
	runTime := time.Duration(remaining * float64(fullRunTime) * []float64{1, 1, slowWorkerFactor}[w%3])
	if r.speeds != nil {
		runTime = r.speeds.runTime(remaining*float64(fullRunTime), w)
	}
	run := &replayRun{job: j, task: s.Task, worker: w, begin: r.now, end: r.now + runTime, duration: runTime,
		expectedEnd: r.now + time.Duration(remaining*float64(spec.EstimateMS)*1e6)}
	if !spec.Gang && r.random.Float64() < j.kind.failingShare {
		run.fails, run.end = true, r.now+time.Duration(r.random.Float64()*float64(runTime))
	}
	r.runs[s.Task] = run
	j.pending[s.Task.Step] = slices.DeleteFunc(j.pending[s.Task.Step], func(i int) bool { return i == s.Task.Index })
	if spec.Gang && len(j.pending[s.Task.Step]) == 0 {
		r.alignGangEnds(j, s.Task.StepKey)
	}
}

// alignGangEnds lets all members of a gang end together with the slowest, or fail together.
func (r *replay) alignGangEnds(j *replayJob, key workflow.StepKey) {
	end := time.Duration(0)
	fails := r.random.Float64() < j.kind.failingShare
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

// end applies the end of a run.
func (r *replay) end(run *replayRun) {
	j, step := run.job, run.task.Step
	delete(r.runs, run.task)
	r.workers[run.worker].Free = r.workers[run.worker].Free.Plus(j.specs[step].Demand())
	if run.fails || run.stops && run.end < run.begin+run.duration {
		if run.stops {
			j.saved[run.task] += (1 - j.saved[run.task]) * float64(run.end-run.begin) / float64(run.duration)
		}
		j.pending[step] = append(j.pending[step], run.task.Index)
		return
	}
	r.speeds.done(r, run)
	j.unfinished[step]--
	if j.unfinished[step] > 0 {
		return
	}
	j.step++
	j.permits, j.inFlight, j.renewing, j.ticketsExpire, j.lastQueryAt = map[string]Permit{}, nil, nil, 0, r.now
	if j.step < len(j.specs) {
		return
	}
	j.ended = r.now
	switch age := r.now - j.begin; {
	case age <= j.objective:
		j.kind.inTime++
		j.earnedShare = 1
	case age <= worthlessAfter*j.objective:
		j.kind.late++
		j.earnedShare = lateEarnedShare
	}
}

// advance moves the clock to the next decision and applies what happens until then.
func (r *replay) advance() {
	r.now += r.decisionInterval
	r.responses = slices.DeleteFunc(r.responses, func(response replayResponse) bool {
		if response.at > r.now {
			return false
		}
		r.applyResponse(response)
		return true
	})
	var ended []*replayRun
	for _, run := range r.runs {
		if run.end <= r.now {
			ended = append(ended, run)
		}
	}
	slices.SortFunc(ended, func(a, b *replayRun) int { return workflow.CompareTasks(a.task, b.task) })
	for _, run := range ended {
		r.end(run)
	}
	r.jobs = slices.DeleteFunc(r.jobs, func(j *replayJob) bool { return j.ended > 0 })
	r.freeSum += r.freeShare()
}

// freeShare returns the share of the pool's cores that no run occupies.
func (r *replay) freeShare() float64 {
	free, total := int64(0), int64(0)
	for i := range r.workers {
		free += r.workers[i].Free.MilliCPU
		total += r.workers[i].Capacity.MilliCPU
	}
	return float64(free) / float64(total)
}

// play runs the replay with submissions up to submitUntil, and then without submissions for
// the duration drain.
func (r *replay) play(submitUntil, drain time.Duration) {
	for r.now < submitUntil+drain {
		if r.now < submitUntil {
			r.submitArrivals(r.decisionInterval)
		}
		r.decide()
		r.advance()
	}
}

// waiting counts the jobs whose current step has tasks to start, and the gangs among them.
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

// longestIdleWait updates idleSince of all jobs and returns the longest time that a job has
// been idle. A job is idle if it has no run although twice its resources are free on
// permitted workers, after the resources for all idle jobs before it are subtracted.
func (r *replay) longestIdleWait() time.Duration {
	longest := time.Duration(0)
	free := slices.Clone(r.workers)
	for _, j := range r.jobs {
		s, waits := r.step(j)
		if !waits || len(s.Pending) < s.Spec.Count || !r.takeTwiceTheDemand(&s, j, free) {
			j.idleSince = -1
			continue
		}
		if j.idleSince < 0 {
			j.idleSince = r.now
		}
		longest = max(longest, r.now-j.idleSince)
	}
	return longest
}

// takeTwiceTheDemand takes resources for twice the pending tasks of a step from workers
// that the adviser permits, whether or not the step has queried them. It takes nothing
// and returns false if these workers have too few free resources.
func (r *replay) takeTwiceTheDemand(s *Step, j *replayJob, free []Worker) bool {
	var chosen []*Worker
	left := 2 * len(s.Pending)
	for i := range free {
		w := &free[i]
		if left > 0 && r.permits(s.Key, w.ID, j.kind.grantedShare) && fitCount(s, w) > 0 {
			chosen = append(chosen, w)
			left -= fitCount(s, w)
		}
	}
	if left > 0 {
		return false
	}
	for _, w := range chosen {
		w.Free = w.Free.Minus(s.Spec.Demand().Times(int64(fitCount(s, w))))
	}
	return true
}
