package arrivals

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/bilberryferry/bilberryferry/placement"
)

// WorkerFault is a period in which a worker fails every task within a second.
type WorkerFault struct {
	Worker string
	// From and Until are times since the start of the simulation.
	From  time.Duration
	Until time.Duration
}

// Config is the configuration of one simulation.
type Config struct {
	Site    Site
	Options placement.Options
	// ServiceShare is the share of the CPU capacity that services occupy throughout.
	ServiceShare float64
	Faults       []WorkerFault
	// Stopwatch returns the time since an arbitrary fixed moment. Admission checks and
	// evaluations are timed with it; if it is nil, their durations are zero.
	Stopwatch func() time.Duration
}

const (
	// reportLag is the delay until the measurements of a task reach the
	// scheduler.
	reportLag = 10 * time.Second
	// preemptionDelay is the time from the preemption of a task until it has
	// stopped.
	preemptionDelay = 2 * time.Second
	// faultyTaskRuntime is the run time of a task on a faulty worker.
	faultyTaskRuntime = time.Second
	// retryBackoff is the delay before a failed task may start again.
	retryBackoff = 5 * time.Second
	// maxAttempts is the number of failures after which a task is not retried.
	maxAttempts = 5
	// maxDecisions is the maximum number of decisions in one evaluation.
	maxDecisions = 256
	// unlimitedDecisions is a maximum that no evaluation reaches.
	unlimitedDecisions = 1 << 20
	// drainTime is the time from the last deadline to the end of the
	// simulation.
	drainTime = 2 * time.Hour
)

// eventKind is the kind of an event.
type eventKind uint8

const (
	// eventArrival is the submission of a job.
	eventArrival eventKind = iota
	// eventEnd is the end of an attempt.
	eventEnd
	// eventSample is the arrival of the measurements of a finished task.
	eventSample
	// eventWake is an evaluation that the last plan asked for.
	eventWake
)

// event is an event of the simulation at a time from its start. Events of the same
// time are handled in order of their sequence numbers.
type event struct {
	at       time.Duration
	sequence int
	kind     eventKind
	job      *job
	task     int
	// attempt is the attempt number of the task when the event was scheduled. The
	// end of an attempt is stale if the task has another number by then.
	attempt int
	failed  bool
}

// events is a heap with the next event on top.
type events []event

func (h events) Len() int      { return len(h) }
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h events) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}
func (h *events) Push(x any) { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// job is the committed state of one arrival.
type job struct {
	arrival Arrival
	tasks   []task
	// waiting holds the numbers of the tasks that wait for a start, and finishedTasks
	// is how many have finished.
	waiting       []int
	finishedTasks int
	// windowWork is the work done up to the last arrival.
	windowWork siteSeconds
	lastEnd    time.Duration
	refused    bool
	finished   bool
}

// task is the committed state of one task.
type task struct {
	worker      string
	started     time.Duration
	everStarted bool
	// attempt is raised by two with each start, by one when the attempt is preempted, and
	// by one more when the preempted attempt has stopped. It is odd while a preempted
	// attempt stops.
	attempt  int
	failures int
}

// replay is the state of one simulation. Times are from its start.
type replay struct {
	config   Config
	cluster  *placement.Cluster
	now      time.Duration
	events   events
	sequence int
	jobs     map[string]*job
	report   *Report
	// nextWake is the time of the last scheduled eventWake; negative for none.
	nextWake       time.Duration
	faultsByWorker map[string][]WorkerFault
	// used is the sum of the allocated resources.
	used placement.Resources
}

// Replay simulates the arrivals until drainTime after the last deadline and
// returns the report.
func Replay(config Config, arrivals []Arrival) *Report {
	r := &replay{
		config:         config,
		cluster:        placement.NewCluster(config.Options),
		jobs:           map[string]*job{},
		report:         newReport(config.Site),
		nextWake:       -1,
		faultsByWorker: map[string][]WorkerFault{},
	}
	for _, f := range config.Faults {
		r.faultsByWorker[f.Worker] = append(r.faultsByWorker[f.Worker], f)
	}
	for _, w := range config.Site.workers() {
		r.cluster.SetWorker(w)
	}
	r.placeServices()
	var stop time.Duration
	for i := range arrivals {
		a := &arrivals[i]
		r.schedule(event{at: a.At, kind: eventArrival, job: &job{arrival: *a}})
		stop = max(stop, a.Job.Deadline.Sub(epoch))
		r.report.arrivalWindow = max(r.report.arrivalWindow, a.At)
	}
	r.run(stop + drainTime)
	r.countUnfinished()
	return r.report
}

// schedule adds an event with the next sequence number.
func (r *replay) schedule(e event) {
	r.sequence++
	e.sequence = r.sequence
	heap.Push(&r.events, e)
}

// wallClock returns the simulated time as a wall clock time.
func (r *replay) wallClock() time.Time { return epoch.Add(r.now) }

// placeServices starts services, which never end, on the configured share of
// the workers.
func (r *replay) placeServices() {
	total := r.config.Site.total()
	need := resources(4, 12)
	count := int(r.config.ServiceShare * float64(total.CPU) / float64(need.CPU))
	if count == 0 {
		return
	}
	const perService = 10 // tasks
	for i := 0; i*perService < count; i++ {
		r.cluster.Enqueue(placement.Job{
			ID: fmt.Sprintf("s%03d", i), Customer: fmt.Sprintf("c%03d", i%r.config.Site.Customers), Name: "service",
			Policy: placement.Service, Tasks: perService, Need: need, Submitted: epoch,
		})
	}
	next := map[string]int{}
	for {
		plan := r.cluster.Evaluate(epoch, unlimitedDecisions)
		if len(plan.Starts) == 0 {
			return
		}
		for _, s := range plan.Starts {
			r.mustSucceed(r.cluster.Place(placement.Placed{Job: s.Job, Task: next[s.Job], Worker: s.Worker, Policy: placement.Service, Need: s.Need, Started: epoch}))
			next[s.Job]++
			r.used = add(r.used, s.Need, 1)
		}
		for id := range next {
			r.cluster.Dequeue(id)
		}
	}
}

// mustSucceed panics if the cluster rejects a start that it has just planned.
func (r *replay) mustSucceed(err error) {
	if err != nil {
		panic(fmt.Sprintf("simulation at %v: planned start rejected: %v", r.now, err))
	}
}

// run handles the events up to the time stop, in order, with the evaluations that
// they cause.
func (r *replay) run(stop time.Duration) {
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		if e.at > stop {
			return
		}
		r.report.addUsage(r.now, e.at, r.used)
		r.now = e.at
		if r.handleEvent(e) {
			r.evaluate()
		}
	}
}

// handleEvent applies one event and reports whether an evaluation must follow.
func (r *replay) handleEvent(e event) bool {
	switch e.kind {
	case eventArrival:
		return r.handleArrival(e.job)
	case eventEnd:
		return r.endAttempt(e)
	case eventSample:
		r.reportSample(e.job)
		return false
	default:
		return e.at == r.nextWake
	}
}

// handleArrival admits or refuses a job, and reports whether it was admitted.
func (r *replay) handleArrival(j *job) bool {
	r.jobs[j.arrival.Job.ID] = j
	begin := r.stopwatchTime()
	decision := r.cluster.Admit(j.arrival.Job, r.wallClock(), placement.Resources{CPU: -1, Memory: -1, Accelerators: -1})
	r.report.recordAdmission(r.stopwatchTime() - begin)
	r.report.submitted++
	if !decision.Admitted {
		j.refused = true
		r.report.recordRefusal(j, decision)
		return false
	}
	j.tasks = make([]task, j.arrival.Job.Tasks)
	for i := range j.tasks {
		j.waiting = append(j.waiting, i)
	}
	r.enqueue(j, time.Time{})
	return true
}

// enqueue replaces the queue entry of a job by one with its waiting tasks.
func (r *replay) enqueue(j *job, notBefore time.Time) {
	queuedJob := j.arrival.Job
	queuedJob.Tasks = len(j.waiting)
	queuedJob.NotBefore = notBefore
	r.cluster.Enqueue(queuedJob)
}

// stopwatchTime returns the time of the stopwatch, or zero without one.
func (r *replay) stopwatchTime() time.Duration {
	if r.config.Stopwatch == nil {
		return 0
	}
	return r.config.Stopwatch()
}

// evaluate commits plans until a plan has neither starts nor refusals.
func (r *replay) evaluate() {
	for {
		begin := r.stopwatchTime()
		plan := r.cluster.Evaluate(r.wallClock(), maxDecisions)
		r.report.recordEvaluation(r.stopwatchTime()-begin, len(plan.Starts))
		r.commit(plan)
		if len(plan.Starts) == 0 && len(plan.Refusals) == 0 {
			r.scheduleWake(plan.ReevaluateAt)
			return
		}
	}
}

// scheduleWake schedules an evaluation at a wall clock time; the zero time means
// none.
func (r *replay) scheduleWake(at time.Time) {
	if at.IsZero() {
		return
	}
	r.nextWake = max(at.Sub(epoch), r.now+time.Millisecond)
	r.schedule(event{at: r.nextWake, kind: eventWake})
}

// commit applies a plan to the cluster and the committed state.
func (r *replay) commit(plan placement.Plan) {
	for _, f := range plan.Refusals {
		r.refuseAccepted(r.jobs[f.Job])
	}
	for _, s := range plan.Starts {
		r.startTask(r.jobs[s.Job], s)
	}
	for _, p := range plan.Preemptions {
		j := r.jobs[p.Job]
		r.cluster.MarkStopping(p.Job, p.Task)
		j.tasks[p.Task].attempt++
		r.report.preempted++
		r.schedule(event{at: r.now + preemptionDelay, kind: eventEnd, job: j, task: p.Task, attempt: j.tasks[p.Task].attempt})
	}
}

// refuseAccepted ends an accepted job that has become infeasible.
func (r *replay) refuseAccepted(j *job) {
	j.refused = true
	r.report.recordMiss(j, missInfeasible)
	r.cluster.Dequeue(j.arrival.Job.ID)
}

// startTask starts the first waiting task of a job on the planned worker.
func (r *replay) startTask(j *job, s placement.Start) {
	i := j.waiting[0]
	j.waiting = j.waiting[1:]
	t := &j.tasks[i]
	if !t.everStarted {
		t.everStarted = true
		r.report.recordWait(j, r.now-j.arrival.At)
	}
	t.worker = s.Worker
	t.started = r.now
	t.attempt += 2
	a := j.arrival.Job
	r.mustSucceed(r.cluster.Place(placement.Placed{
		Job: a.ID, Task: i, Worker: s.Worker, Customer: a.Customer, Name: a.Name, Policy: a.Policy, Need: s.Need,
		Urgent: a.Urgent, Idempotent: a.Idempotent, Started: r.wallClock(), Runtime: a.Runtime, Deadline: a.Deadline,
	}))
	r.used = add(r.used, s.Need, 1)
	r.updateQueueEntry(j)
	runtime, failed := j.arrival.ActualRuntime, false
	if r.isFaulty(s.Worker) {
		runtime, failed = faultyTaskRuntime, true
	}
	r.schedule(event{at: r.now + runtime, kind: eventEnd, job: j, task: i, attempt: t.attempt, failed: failed})
}

// updateQueueEntry updates the queue entry of a job after one of its tasks started.
func (r *replay) updateQueueEntry(j *job) {
	if j.refused {
		return
	}
	if len(j.waiting) == 0 {
		r.cluster.Dequeue(j.arrival.Job.ID)
		return
	}
	r.enqueue(j, time.Time{})
}

// isFaulty reports whether the worker fails every task now.
func (r *replay) isFaulty(worker string) bool {
	for _, f := range r.faultsByWorker[worker] {
		if r.now >= f.From && r.now < f.Until {
			return true
		}
	}
	return false
}

// endAttempt releases the resources of an attempt that ended, and queues the
// task again if it was preempted or failed. It reports whether an evaluation
// must follow.
func (r *replay) endAttempt(e event) bool {
	j, t := e.job, &e.job.tasks[e.task]
	if t.attempt != e.attempt {
		return false
	}
	// An odd attempt number means that the attempt was preempted (see task).
	preempted := e.attempt%2 == 1
	id := j.arrival.Job.ID
	need := r.cluster.Placed(id, e.task).Need
	r.cluster.Unplace(id, e.task)
	r.used = add(r.used, need, -1)
	switch {
	case preempted:
		t.attempt++
		r.requeue(j, e.task, time.Time{})
	case e.failed:
		r.failTask(j, e.task)
	default:
		r.cluster.ReportSuccess(t.worker, id, r.wallClock())
		j.windowWork = j.windowWork.plus(r.workInWindow(j, t.started))
		r.completeTask(j)
		r.schedule(event{at: r.now + reportLag, kind: eventSample, job: j})
	}
	return true
}

// workInWindow returns the work that a finished task has done up to the last
// arrival.
func (r *replay) workInWindow(j *job, started time.Duration) siteSeconds {
	ran := min(r.now, r.report.arrivalWindow) - started
	if ran <= 0 {
		return siteSeconds{}
	}
	return siteSecondsOf(Arrival{ActualRuntime: ran, Job: placement.Job{Tasks: 1, Need: j.arrival.Job.Need}}, r.config.Site.total())
}

// requeue queues a task again, not before the given time.
func (r *replay) requeue(j *job, task int, notBefore time.Time) {
	if j.refused {
		return
	}
	j.waiting = append(j.waiting, task)
	r.enqueue(j, notBefore)
}

// failTask reports a failed attempt to the cluster. It queues an idempotent task
// again until the task has failed maxAttempts times, and otherwise ends the job.
func (r *replay) failTask(j *job, i int) {
	t := &j.tasks[i]
	r.report.failures++
	r.cluster.ReportFailure(t.worker, j.arrival.Job.ID, r.wallClock())
	t.failures++
	if j.arrival.Job.Idempotent && t.failures < maxAttempts {
		r.requeue(j, i, r.wallClock().Add(retryBackoff))
		return
	}
	if j.refused {
		return
	}
	j.refused = true
	r.report.recordMiss(j, missFailed)
	r.cluster.Dequeue(j.arrival.Job.ID)
}

// completeTask counts a finished task of a job, and the job as finished with its
// last task.
func (r *replay) completeTask(j *job) {
	j.finishedTasks++
	j.lastEnd = r.now
	if j.finishedTasks < len(j.tasks) || j.refused {
		return
	}
	j.finished = true
	r.report.recordFinish(j)
}

// reportSample passes the measurements of a finished task to the cluster.
func (r *replay) reportSample(j *job) {
	a := j.arrival.Job
	r.cluster.AddSample(placement.Sample{Customer: a.Customer, Name: a.Name, DeclaredRuntime: a.Runtime, MeasuredRuntime: j.arrival.ActualRuntime, Need: a.Need, Peak: j.arrival.Peak})
}

// countUnfinished counts the jobs that are still unfinished as missed.
func (r *replay) countUnfinished() {
	for _, j := range r.jobs {
		if !j.finished && !j.refused {
			r.report.recordMiss(j, missUnfinished)
		}
	}
}

// add returns a plus sign times b.
func add(a, b placement.Resources, sign int64) placement.Resources {
	return placement.Resources{CPU: a.CPU + sign*b.CPU, Memory: a.Memory + sign*b.Memory, Accelerators: a.Accelerators + sign*b.Accelerators}
}
