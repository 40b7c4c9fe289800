package state

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/placement"
	"github.com/bilberryferry/bilberryferry/quota"
)

// fakeWorker is a simulated worker. It runs the attempts that reach it until
// its incarnation ends.
type fakeWorker struct {
	incarnation uint64
	running     map[AttemptRef]bool
	// notStarted are the attempts of which the worker has reported that they never
	// start.
	notStarted map[AttemptRef]bool
	ended      map[AttemptRef]bool
}

// limitedCPUMillicores is the CPU quota of customer c0, in thousandths of a core.
const limitedCPUMillicores = 6000

// stateHarness applies random commands, among them late, duplicate and invalid
// ones, to two replicas (a and b) of a state and simulates the workers.
type stateHarness struct {
	t           *rapid.T
	a, b        *State
	index       uint64
	now         int64
	fakeWorkers map[string]*fakeWorker
	undelivered []StartedAttempt // orders in flight, which arrive late, twice or never
	startCounts map[string]int   // by job and task, the number of attempts that ran
	jobs        []string
	request     int
}

// newStateHarness returns a harness with three workers, one customer with a
// quota limit and one without.
func newStateHarness(t *rapid.T) *stateHarness {
	h := &stateHarness{t: t, a: New("home"), b: New("home"), now: 1_000, fakeWorkers: make(map[string]*fakeWorker), startCounts: make(map[string]int)}
	limits := map[string]placement.Resources{"c0": {CPU: limitedCPUMillicores, Memory: -1, Accelerators: -1}, "c1": {CPU: -1, Memory: -1, Accelerators: -1}}
	h.apply(&Command{AdoptConfig: &AdoptConfig{ConfigVersion: 1, Quota: quota.Config{Version: 1, InitialOwners: []string{"home"}, Limits: limits}}})
	for i := range 3 {
		h.startWorker(fmt.Sprint("w", i))
	}
	return h
}

// apply applies a command to both replicas and fails if their results differ.
func (h *stateHarness) apply(c *Command) Result {
	h.index++
	h.now += 10
	c.Now = h.now
	encoded, err := c.Encode()
	must.NoError(h.t, err)
	first, err := Decode(encoded)
	must.NoError(h.t, err)
	second, err := Decode(encoded)
	must.NoError(h.t, err)
	result := h.a.Apply(h.index, first)
	resultB := h.b.Apply(h.index, second)
	must.Eq(h.t, result.Started, resultB.Started)
	must.Eq(h.t, result.Job, resultB.Job)
	h.a.TakeChanges()
	h.b.TakeChanges()
	return result
}

// startWorker starts the next incarnation of a worker, with the same or less
// capacity.
func (h *stateHarness) startWorker(id string) {
	w := h.fakeWorkers[id]
	if w == nil {
		w = &fakeWorker{}
		h.fakeWorkers[id] = w
	}
	w.incarnation++
	w.running, w.notStarted, w.ended = make(map[AttemptRef]bool), make(map[AttemptRef]bool), make(map[AttemptRef]bool)
	capacity := placement.Resources{CPU: 4000, Memory: 4096}
	if rapid.Bool().Draw(h.t, "smaller") {
		capacity.CPU = 2000
	}
	h.apply(&Command{WorkerUp: &WorkerUp{ID: id, Incarnation: w.incarnation, Capacity: capacity}})
}

// submit submits a random job twice and fails if the duplicate gets another
// response.
func (h *stateHarness) submit() {
	h.request++
	policies := []placement.Policy{placement.Service, placement.Batch, placement.Gang}
	spec := Spec{
		Name: "n", Policy: rapid.SampledFrom(policies).Draw(h.t, "policy"), Tasks: rapid.IntRange(1, 3).Draw(h.t, "tasks"),
		Need: placement.Resources{CPU: 1000, Memory: 512}, MaxAttempts: 3,
	}
	spec.Idempotent = spec.Policy == placement.Service || rapid.Bool().Draw(h.t, "idempotent")
	customer := rapid.SampledFrom([]string{"c0", "c1"}).Draw(h.t, "customer")
	submit := &Submit{Request: Request{ID: fmt.Sprint(h.request), Customer: customer, Digest: 1}, Customer: customer, Spec: spec}
	if rapid.IntRange(0, 4).Draw(h.t, "away") == 0 {
		submit.HandoverTo = "other"
	}
	result := h.apply(&Command{Submit: submit})
	must.NoError(h.t, result.Err)
	again := h.apply(&Command{Submit: submit})
	must.Eq(h.t, result.Job, again.Job)
	h.jobs = append(h.jobs, result.Job)
}

// job draws the ID of a submitted job.
func (h *stateHarness) job() string {
	if len(h.jobs) == 0 {
		return "none"
	}
	return rapid.SampledFrom(h.jobs).Draw(h.t, "job")
}

// worker draws the ID of a worker.
func (h *stateHarness) worker() string {
	return fmt.Sprint("w", rapid.IntRange(0, 2).Draw(h.t, "worker"))
}

// applyRandomPlan applies a random plan, which ignores capacities, limits and the
// state of jobs and workers.
func (h *stateHarness) applyRandomPlan() {
	var items []StartItem
	for range rapid.IntRange(1, 8).Draw(h.t, "items") {
		item := StartItem{Job: h.job(), Worker: h.worker()}
		if rapid.IntRange(0, 3).Draw(h.t, "raised") == 0 {
			item.RaisedNeed = &placement.Resources{CPU: 1500, Memory: 100}
		}
		items = append(items, item)
	}
	result := h.apply(&Command{Start: &Start{Items: items}})
	h.undelivered = append(h.undelivered, result.Started...)
}

// deliver delivers an order to its worker. The worker rejects orders for another
// incarnation, duplicates, and orders for attempts that have ended there or that it
// has reported as never started.
func (h *stateHarness) deliver() {
	if len(h.undelivered) == 0 {
		return
	}
	i := rapid.IntRange(0, len(h.undelivered)-1).Draw(h.t, "command")
	c := h.undelivered[i]
	if rapid.Bool().Draw(h.t, "once") {
		h.undelivered = append(h.undelivered[:i:i], h.undelivered[i+1:]...)
	}
	w := h.fakeWorkers[c.Worker]
	if w.incarnation != c.Incarnation || w.running[c.Ref] || w.notStarted[c.Ref] || w.ended[c.Ref] {
		return
	}
	h.mustNotRunElsewhere(c.Ref)
	w.running[c.Ref] = true
	key := fmt.Sprint(c.Ref.Job, "/", c.Ref.Task)
	h.startCounts[key]++
	if j := h.a.Jobs[c.Ref.Job]; j != nil && !j.Spec.Idempotent {
		must.Eq(h.t, 1, h.startCounts[key], must.Sprint("non-idempotent task ran more than once: ", key))
	}
}

// mustNotRunElsewhere fails if a worker runs an attempt of the same task.
func (h *stateHarness) mustNotRunElsewhere(ref AttemptRef) {
	for id, w := range h.fakeWorkers {
		for other := range w.running {
			must.False(h.t, other.Job == ref.Job && other.Task == ref.Task, must.Sprintf("%v is already running on %s", ref, id))
		}
	}
}

// report reports that an attempt ended or never starts, and then reports the same
// attempt as failed. Only the first report must count.
func (h *stateHarness) report() {
	id := h.worker()
	w := h.fakeWorkers[id]
	refs := h.a.AttemptsOnWorker(id)
	if len(refs) == 0 {
		return
	}
	ref := refs[0]
	outcome := NotStarted
	switch {
	case w.running[ref]:
		outcome = rapid.SampledFrom([]Outcome{Finished, Failed, Stopped}).Draw(h.t, "outcome")
		delete(w.running, ref)
		w.ended[ref] = true
	case w.ended[ref]:
		outcome = Finished
	default:
		w.notStarted[ref] = true
	}
	end := &End{Worker: id, Incarnation: w.incarnation, Reports: []Report{{Ref: ref, Outcome: outcome}, {Ref: ref, Outcome: Failed}}}
	h.apply(&Command{End: end})
}

// expireLease ends the lease of a worker, which has stopped all its attempts
// before, and starts the next incarnation of the worker. In some cases a delayed
// announcement of the ended incarnation arrives in between and must be refused.
func (h *stateHarness) expireLease() {
	id := h.worker()
	w := h.fakeWorkers[id]
	w.running = make(map[AttemptRef]bool)
	h.apply(&Command{WorkerDown: &WorkerDown{ID: id, Incarnation: w.incarnation}})
	if rapid.Bool().Draw(h.t, "late announcement") {
		result := h.apply(&Command{WorkerUp: &WorkerUp{ID: id, Incarnation: w.incarnation, Capacity: placement.Resources{CPU: 9000, Memory: 9000}}})
		must.True(h.t, fault.Is(result.Err, fault.Conflict))
	}
	h.startWorker(id)
}

// cancel cancels a job on request of its customer.
func (h *stateHarness) cancel() {
	id := h.job()
	j := h.a.Jobs[id]
	if j == nil {
		return
	}
	h.request++
	h.apply(&Command{Cancel: &Cancel{Request: Request{ID: fmt.Sprint(h.request), Customer: j.Customer}, Customer: j.Customer, IDs: []string{id}}})
}

// handover applies an answer of the other data centre to the offer of a job.
func (h *stateHarness) handover() {
	accepted := rapid.Bool().Draw(h.t, "accepted")
	h.apply(&Command{RecordHandoverAnswer: &RecordHandoverAnswer{Job: h.job(), To: "other", Accepted: accepted, Kind: fault.Infeasible}})
}

// preempt preempts the first task of a job on a random worker.
func (h *stateHarness) preempt() {
	id := h.job()
	h.apply(&Command{Preempt: &Preempt{Items: []placement.Preemption{{Job: id, Task: 0, Worker: h.worker()}}}})
}

// cancelAll cancels all jobs of a customer.
func (h *stateHarness) cancelAll() {
	h.request++
	customer := rapid.SampledFrom([]string{"c0", "c1"}).Draw(h.t, "customer")
	h.apply(&Command{Cancel: &Cancel{Request: Request{ID: fmt.Sprint(h.request), Customer: customer}, Customer: customer, All: true}})
}

// scale changes the number of tasks of a job, which only services allow.
func (h *stateHarness) scale() {
	id := h.job()
	j := h.a.Jobs[id]
	if j == nil {
		return
	}
	h.request++
	tasks := rapid.IntRange(1, 4).Draw(h.t, "tasks")
	h.apply(&Command{Scale: &Scale{Request: Request{ID: fmt.Sprint(h.request), Customer: j.Customer}, Customer: j.Customer, Job: id, Tasks: tasks}})
}

// refuse ends a job that can no longer meet its deadline.
func (h *stateHarness) refuse() {
	h.apply(&Command{Refuse: &Refuse{Job: h.job(), Kind: fault.Infeasible, Detail: "late"}})
}

// drain takes a worker out of placement or puts it back.
func (h *stateHarness) drain() {
	h.request++
	h.apply(&Command{Drain: &Drain{Request: Request{ID: fmt.Sprint(h.request)}, Worker: h.worker(), Undo: rapid.Bool().Draw(h.t, "undo")}})
}

// snapshot replaces the second replica by one restored from a snapshot of the
// first.
func (h *stateHarness) snapshot() {
	encoded, err := h.a.Encode()
	must.NoError(h.t, err)
	h.b, err = DecodeState(encoded)
	must.NoError(h.t, err)
}

// checkInvariants checks the invariants that must hold after every step.
func (h *stateHarness) checkInvariants() {
	must.Eq(h.t, h.a.canonical(h.t), h.b.canonical(h.t))
	used := make(map[string]int64)
	for id, worker := range h.a.Workers {
		var sum placement.Resources
		for _, ref := range h.a.AttemptsOnWorker(id) {
			held := h.a.Jobs[ref.Job].ReservedResources(int(ref.Task))
			sum = add(sum, held)
			used[h.a.Jobs[ref.Job].Customer] += held.CPU
		}
		must.Eq(h.t, worker.Used, sum)
		must.True(h.t, fits(sum, worker.Capacity))
	}
	must.LessEq(h.t, limitedCPUMillicores, used["c0"])
	for id, w := range h.fakeWorkers {
		for ref := range w.running {
			j, task := h.a.latestAttempt(ref)
			must.True(h.t, j != nil && task != nil && task.Worker == id, must.Sprintf("%v runs on %s although the state does not place it there", ref, id))
		}
	}
	for _, j := range h.a.Jobs {
		h.checkJob(j)
	}
}

// checkJob fails if a task ran although it is reported as not run or its job was
// handed over, or if an ended job has queued or running tasks.
func (h *stateHarness) checkJob(j *Job) {
	for i := range j.Tasks {
		if j.Tasks[i].State == TaskNotRun || j.State == JobNotRun || j.HandoverDataCentre != "" {
			must.Eq(h.t, 0, h.startCounts[fmt.Sprint(j.ID, "/", i)], must.Sprintf("task %[2]d of %[1]s ran, but the state says that it did not", j.ID, i))
		}
	}
	if j.State.Ended() {
		queued, running, _ := j.Counts()
		must.Eq(h.t, 0, queued+running)
	}
}

// No task may run on two workers at once, no non-idempotent task may run twice, no
// worker or customer may get more than its capacity or quota, and no task that ran
// may be reported as not run. Orders are delivered late, twice or never, workers
// are lost and restarted with less capacity, cancellations and handovers race with
// starts, and replicas are restored from snapshots.
func TestRandomCommandsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newStateHarness(t)
		steps := map[string]func(*rapid.T){"": func(*rapid.T) { h.checkInvariants() }}
		for name, step := range map[string]func(){
			"submit": h.submit, "plan": h.applyRandomPlan, "deliver": h.deliver, "report": h.report, "lose": h.expireLease,
			"restart": func() { h.startWorker(h.worker()) }, "cancel": h.cancel, "handover": h.handover,
			"preempt": h.preempt, "snapshot": h.snapshot, "cancel all": h.cancelAll, "scale": h.scale, "refuse": h.refuse, "drain": h.drain,
		} {
			steps[name] = func(*rapid.T) { step() }
		}
		t.Repeat(steps)
	})
}

// A non-idempotent job whose worker became unreachable must not be reported as
// cancelled or not run, since its start may have reached the worker. The task
// starts, in one case the customer cancels the job, and then the lease expires.
func TestLostNonIdempotentWorkIsUnknown(t *testing.T) {
	for _, cancelled := range []bool{false, true} {
		s := New("home")
		s.Apply(1, &Command{WorkerUp: &WorkerUp{ID: "w", Incarnation: 1, Capacity: placement.Resources{CPU: 4000, Memory: 4096}}})
		spec := Spec{Name: "check-in", Policy: placement.Batch, Tasks: 1, Need: placement.Resources{CPU: 1, Memory: 1}}
		job := s.Apply(2, &Command{Submit: &Submit{Request: Request{ID: "r"}, Customer: "c", Spec: spec}}).Job
		s.Apply(3, &Command{Start: &Start{Items: []StartItem{{Job: job, Worker: "w"}}}})
		if cancelled {
			s.Apply(4, &Command{Cancel: &Cancel{Request: Request{ID: "x"}, Customer: "c", IDs: []string{job}}})
		}
		s.Apply(5, &Command{WorkerDown: &WorkerDown{ID: "w", Incarnation: 1}})
		must.Eq(t, JobUnknown, s.Jobs[job].State)
		must.Eq(t, fault.Unknown, s.Jobs[job].Kind)
	}
}

// A task that crashes every worker that starts it must fail after some crashes.
// Otherwise it would be queued again forever.
func TestTaskFailsAfterCrashingTooManyWorkers(t *testing.T) {
	s := New("home")
	up := func(incarnation uint64) {
		s.Apply(1, &Command{WorkerUp: &WorkerUp{ID: "w", Incarnation: incarnation, Capacity: placement.Resources{CPU: 4000, Memory: 4096}}})
	}
	up(1)
	spec := Spec{Name: "nightly", Policy: placement.Batch, Tasks: 1, Need: placement.Resources{CPU: 1, Memory: 1}, Idempotent: true}
	job := s.Apply(2, &Command{Submit: &Submit{Request: Request{ID: "r"}, Customer: "c", Spec: spec}}).Job
	for incarnation := uint64(1); s.Jobs[job].State != JobFailed; incarnation++ {
		must.LessEq(t, maxTaskCrashes, incarnation, must.Sprint("one task crashed too many workers"))
		s.Apply(3, &Command{Start: &Start{Items: []StartItem{{Job: job, Worker: "w"}}}})
		up(incarnation + 1)
	}
}

// A job that its customer cancelled during a handover must not keep running in the
// other data centre. The job is offered, the customer cancels it, and then the
// acceptance of the offer arrives. The handover must not be done before the other
// data centre has answered the withdrawal.
func TestCancelDuringHandoverKeepsJobPendingUntilWithdrawn(t *testing.T) {
	s := New("home")
	spec := Spec{Name: "check-in", Policy: placement.Batch, Tasks: 1, Need: placement.Resources{CPU: 1, Memory: 1}}
	job := s.Apply(1, &Command{Submit: &Submit{Request: Request{ID: "r"}, Customer: "c", Spec: spec, HandoverTo: "other"}}).Job
	s.Apply(2, &Command{Cancel: &Cancel{Request: Request{ID: "x"}, Customer: "c", IDs: []string{job}}})
	s.Apply(3, &Command{RecordHandoverAnswer: &RecordHandoverAnswer{Job: job, To: "other", Accepted: true}})
	must.False(t, s.Jobs[job].HandoverDone)
	must.Eq(t, JobPendingHandover, s.Jobs[job].State)
	s.Apply(4, &Command{RecordHandoverAnswer: &RecordHandoverAnswer{Job: job, To: "other", Accepted: true, Withdrawn: true}})
	must.True(t, s.Jobs[job].HandoverDone)
}

// Guards against a service that runs in two data centres: scaling it while it was offered to another one put
// it back into the queue of this one.
func TestServiceIsNotScaledDuringHandover(t *testing.T) {
	s := New("home")
	spec := Spec{Name: "desk", Policy: placement.Service, Tasks: 1, Need: placement.Resources{CPU: 1, Memory: 1}, Idempotent: true}
	job := s.Apply(1, &Command{Submit: &Submit{Request: Request{ID: "r"}, Customer: "c", Spec: spec, HandoverTo: "other"}}).Job
	for _, accepted := range []bool{false, true} {
		result := s.Apply(2, &Command{Scale: &Scale{Request: Request{ID: fmt.Sprint(accepted)}, Customer: "c", Job: job, Tasks: 2}})
		must.Error(t, result.Err)
		must.Eq(t, fault.Conflict, fault.KindOf(result.Err))
		must.Eq(t, JobPendingHandover, s.Jobs[job].State)
		s.Apply(3, &Command{RecordHandoverAnswer: &RecordHandoverAnswer{Job: job, To: "other", Accepted: true}})
	}
}

// A resent request must not create its job if the first copy was refused. A request
// with other content must not be taken for a duplicate because it has the same ID.
func TestResentRequestGetsFirstResponse(t *testing.T) {
	s := New("home")
	refused := &Submit{Request: Request{ID: "r", Digest: 1}, Customer: "c", Refused: true, Kind: fault.Infeasible, Detail: "no"}
	must.True(t, fault.Is(s.Apply(1, &Command{Submit: refused}).Err, fault.Infeasible))
	copied := &Submit{Request: Request{ID: "r", Digest: 1}, Customer: "c", Spec: Spec{Tasks: 1}}
	must.True(t, fault.Is(s.Apply(2, &Command{Submit: copied}).Err, fault.Infeasible))
	otherContent := &Submit{Request: Request{ID: "r", Digest: 2}, Customer: "c", Spec: Spec{Tasks: 1}}
	must.True(t, fault.Is(s.Apply(3, &Command{Submit: otherContent}).Err, fault.Conflict))
	must.MapEmpty(t, s.Jobs)
}

// A snapshot written by a later program version must be refused and not be decoded
// as if its format were known.
func TestNewerFormatVersionIsRefused(t *testing.T) {
	s := New("home")
	s.Format = FormatVersion + 1
	encoded, err := s.Encode()
	must.NoError(t, err)
	_, err = DecodeState(encoded)
	must.ErrorContains(t, err, "format version")
}
