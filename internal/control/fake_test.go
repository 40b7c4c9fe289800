package control

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/link"
	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/replica"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// fakeLog commits every command at once on one member that always leads.
type fakeLog struct {
	state *StateMachine
	mu    sync.Mutex
	index uint64
	// applied is called after each command, outside the lock.
	applied func(workflow.Command)
	// begun is called before each command, outside the lock.
	begun func(workflow.Command)
	// heldUntil is when the log's goroutine goes on after it was held up.
	heldUntil time.Time
	// refuse are the errors of the next commands that end runs.
	refuse []error
}

// hold lets nothing show for a time that the member leads.
func (l *fakeLog) hold(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heldUntil = time.Now().Add(d)
}

func (l *fakeLog) held() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Until(l.heldUntil)
}

func (l *fakeLog) Propose(_ context.Context, data []byte) (any, error) {
	if err := l.announce(data); err != nil {
		return nil, err
	}
	if err := l.refusal(data); err != nil {
		return nil, err
	}
	l.mu.Lock()
	l.index++
	value := l.state.Apply(l.index, data)
	hook := l.applied
	l.mu.Unlock()
	if hook != nil {
		command, err := workflow.Decode(data)
		if err != nil {
			return nil, err
		}
		hook(command)
	}
	return value, nil
}

// refuseEnds lets the next commands that end runs fail.
func (l *fakeLog) refuseEnds(errs ...error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refuse = errs
}

// refusal is the error of a command, which is taken off.
func (l *fakeLog) refusal(data []byte) error {
	command, err := workflow.Decode(data)
	if err != nil || command.Ends == nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.refuse) == 0 {
		return nil
	}
	err = l.refuse[0]
	l.refuse = l.refuse[1:]
	return err
}

// announce calls begun.
func (l *fakeLog) announce(data []byte) error {
	l.mu.Lock()
	hook := l.begun
	l.mu.Unlock()
	if hook == nil {
		return nil
	}
	command, err := workflow.Decode(data)
	if err == nil {
		hook(command)
	}
	return err
}

func (l *fakeLog) Barrier(ctx context.Context) error {
	wait.For(ctx, max(l.held(), 0))
	return ctx.Err()
}

func (l *fakeLog) Status() replica.Status {
	return replica.Status{Role: replica.Leader, Term: 7, CanDecide: l.held() <= 0}
}

func (l *fakeLog) Changed() <-chan struct{} { return make(chan struct{}) }

var errNoAnswer = errors.New("no answer")

// fakeWorker is one incarnation of a worker, with its lists.
type fakeWorker struct {
	id      string
	fence   uint64
	running map[workflow.TaskKey]Running
	ended   []Ended
	// stopped is the highest run stopped or ended of each task.
	stopped map[workflow.TaskKey]int
	// cut says that calls arrive and their answers are lost.
	cut bool
	// delay holds starts back: they get no answer and are kept in late.
	delay bool
	late  []StartOrder
	// refuse answers the next start after a late one with this reason.
	refuse Refusal
	// starts are the orders that were carried out.
	starts []StartOrder
	// shares are the shares that runs were throttled to.
	shares map[workflow.TaskKey]int
	// leases are the lease ends that looks carried.
	leases []int64
	// partial says that the lists aren't whole.
	partial bool
	// deaf is how many stops get lost.
	deaf int
	// replaced says that another incarnation answers.
	replaced bool
	// hang is how many starts get no answer until their caller gives up; they aren't
	// carried out.
	hang int
	// misdirected is how many starts are answered as by another incarnation.
	misdirected int
	// refuseLate is how many starts are refused, each after slowRefusal.
	refuseLate int
	// next is the worker's next life, which answers in its place: it carries orders out, and
	// its lists show which life they are of.
	next *fakeWorker
	// looks are the looks that were answered.
	looks []LookOrder
}

// present is the life that orders reach.
func (w *fakeWorker) present() *fakeWorker {
	for w.next != nil {
		w = w.next
	}
	return w
}

// slowRefusal is longer than an order may be without an answer before it is sent again.
const slowRefusal = callTimeout / 2

// fakeWorkers serves all workers.
type fakeWorkers struct {
	mu  sync.Mutex
	all map[string]*fakeWorker
}

func (f *fakeWorkers) add(id string) *fakeWorker {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := &fakeWorker{id: id, running: map[workflow.TaskKey]Running{}, stopped: map[workflow.TaskKey]int{}, shares: map[workflow.TaskKey]int{}}
	f.all[id] = w
	return w
}

func (f *fakeWorkers) Start(ctx context.Context, to Target, order StartOrder) (int64, error) {
	if f.hangs(to.Worker) {
		<-ctx.Done()
		return 0, errNoAnswer
	}
	if f.refusesLate(ctx, to.Worker) {
		return 0, &RefusedError{RefusedTicket}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.all[to.Worker].present()
	if w.replaced || w.misdirected > 0 {
		w.misdirected--
		return 0, ErrOtherIncarnation
	}
	if w.delay {
		w.late = append(w.late, order)
		w.delay = w.refuse == ""
		return 0, errNoAnswer
	}
	if reason := w.refuse; reason != "" {
		w.refuse = ""
		return 0, &RefusedError{reason}
	}
	if err := w.begin(order); err != nil {
		return 0, err
	}
	if w.cut {
		return 0, errNoAnswer
	}
	return 1000, nil
}

func (f *fakeWorkers) hangs(worker string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.all[worker]
	if w.hang == 0 {
		return false
	}
	w.hang--
	return true
}

// refusesLate waits and reports whether this start is refused then.
func (f *fakeWorkers) refusesLate(ctx context.Context, worker string) bool {
	f.mu.Lock()
	w := f.all[worker]
	late := w.refuseLate > 0
	if late {
		w.refuseLate--
	}
	f.mu.Unlock()
	return late && wait.For(ctx, slowRefusal)
}

func (w *fakeWorker) begin(order StartOrder) error {
	if order.Fence < w.fence {
		return &RefusedError{RefusedFence}
	}
	w.fence = order.Fence
	if order.Run.Number <= w.stopped[order.Run.Task] {
		return &RefusedError{RefusedOld}
	}
	if w.running[order.Run.Task].Number == order.Run.Number {
		return nil
	}
	w.starts = append(w.starts, order)
	w.running[order.Run.Task] = Running{Task: order.Run.Task, Number: order.Run.Number}
	return nil
}

func (f *fakeWorkers) Stop(_ context.Context, to Target, order StopOrder) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.all[to.Worker].present()
	if w.deaf > 0 {
		w.deaf--
		return 0, errNoAnswer
	}
	w.stopped[order.Run.Task] = max(w.stopped[order.Run.Task], order.Run.Number)
	if running, ok := w.running[order.Run.Task]; ok && running.Number == order.Run.Number {
		w.finish(order.Run.Task, workflow.OutcomeStopped)
	}
	if w.cut {
		return 0, errNoAnswer
	}
	return 1000, nil
}

func (w *fakeWorker) finish(task workflow.TaskKey, outcome workflow.Outcome) {
	running := w.running[task]
	delete(w.running, task)
	w.stopped[task] = max(w.stopped[task], running.Number)
	w.ended = append(w.ended, Ended{
		Position: uint64(len(w.ended) + 1),
		RunEnd:   workflow.RunEnd{Task: task, Number: running.Number, Outcome: outcome, Checkpoint: running.Checkpoint},
	})
}

func (f *fakeWorkers) Throttle(_ context.Context, to Target, order ThrottleOrder) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.all[to.Worker].shares[order.Run.Task] = order.Share
	return 1000, nil
}

// fakeHold is how long a look is held at most in tests.
const fakeHold = 5 * time.Millisecond

func (f *fakeWorkers) Look(ctx context.Context, to Target, order LookOrder) (Report, error) {
	wait.For(ctx, fakeHold)
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.all[to.Worker].present()
	if w.replaced {
		return Report{}, ErrOtherIncarnation
	}
	w.fence = max(w.fence, order.Fence)
	w.looks = append(w.looks, order)
	if w.id != to.Worker {
		return Report{}, ErrOtherIncarnation
	}
	if order.LeaseEndMS > 0 {
		w.leases = append(w.leases, order.LeaseEndMS)
	}
	if w.cut {
		return Report{}, errNoAnswer
	}
	report := Report{ClockMS: 1000, Partial: w.partial}
	for _, running := range w.running {
		report.Running = append(report.Running, running)
	}
	for _, ended := range w.ended {
		if ended.Position > order.Seen {
			report.Ended = append(report.Ended, ended)
		}
	}
	return report, nil
}

func (f *fakeWorkers) Ask(_ context.Context, call AskCall) (AskReply, error) {
	reply := AskReply{Valid: time.Minute}
	for _, worker := range call.Workers {
		reply.Granted = append(reply.Granted, Grant{Worker: worker, Ticket: "t"})
	}
	return reply, nil
}

// testWriter shows the lines of a test that fails.
type testWriter struct{ t *testing.T }

func (w testWriter) Write(line []byte) (int, error) {
	w.t.Log(strings.TrimSpace(string(line)))
	return len(line), nil
}

type noCounters struct{}

func (noCounters) Add(string, int64)             {}
func (noCounters) Set(string, int64)             {}
func (noCounters) Observe(string, time.Duration) {}

// world is one controller that leads, with its fakes.
type world struct {
	t       *testing.T
	log     *fakeLog
	workers *fakeWorkers
	c       *Controller
}

// newWorld starts a controller once prepare has filled the log.
func newWorld(t *testing.T, prepare func(w *world)) *world {
	machine := NewStateMachine()
	w := &world{t: t, log: &fakeLog{state: machine}, workers: &fakeWorkers{all: map[string]*fakeWorker{}}}
	bounds := Bounds{LeaseMax: 700 * time.Millisecond, Shown: time.Minute}
	w.c = New(Config{
		Address: "own", Bounds: bounds, Workers: w.workers, Adviser: w.workers, Client: link.NewClient(100),
		Logger: log.NewLogfmtLogger(testWriter{t}), Counters: noCounters{},
		Leader: func() string { return "own" }, Members: func() []string { return nil },
	}, machine, w.log)
	w.commit(&workflow.Command{Configuration: &workflow.Document{Version: 1, Source: []byte("{}"), Queues: []workflow.Queue{
		{Name: "q", Host: "h", Prefix: "/q/", Policy: workflow.Policy{Service: "s", MaxAttempts: 3, Stretch: 2, ObjectiveMS: 100}},
	}}})
	if prepare != nil {
		prepare(w)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		must.NoError(t, w.c.Run(ctx))
	}()
	t.Cleanup(func() { cancel(); <-done })
	w.eventually("a tenure begins", func() bool { _, err := w.c.leading(context.Background()); return err == nil })
	return w
}

// startedWorld is a leader that has started the one task of job a on worker w1.
func startedWorld(t *testing.T) *world {
	w := newWorld(t, nil)
	w.workers.add("w1")
	w.announce("w1")
	w.submit("a", oneTask)
	w.eventually("the task starts", func() bool { return w.started("w1") == 1 })
	return w
}

func (w *world) commit(c *workflow.Command) {
	data, err := c.Encode()
	must.NoError(w.t, err)
	_, err = w.log.Propose(context.Background(), data)
	must.NoError(w.t, err)
}

var tenCores = workflow.Resources{MilliCPU: 10_000, MemoryMB: 1000}

func worker(id string) workflow.Worker {
	return workflow.Worker{ID: id, Service: "s", Address: id, Capacity: tenCores}
}

// announce sends a heartbeat of a worker.
func (w *world) announce(id string) {
	_, err := w.c.Announce(context.Background(), &Announcement{Worker: worker(id)})
	must.NoError(w.t, err)
}

// submit hands in a job of one step.
func (w *world) submit(id string, step workflow.Step) {
	_, err := w.c.Submit(context.Background(), &SubmitCall{
		Place: Place{Host: "h", Path: "/q/" + id}, Payload: "payload", Steps: []workflow.Step{step},
	})
	must.NoError(w.t, err)
}

func (w *world) eventually(what string, ok func() bool) {
	w.t.Helper()
	for range 2000 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	w.t.Fatalf("never: %s", what)
}

// with looks at a worker under the lock.
func (w *world) with(id string, f func(*fakeWorker)) {
	w.workers.mu.Lock()
	defer w.workers.mu.Unlock()
	f(w.workers.all[id])
}

func (w *world) started(id string) (n int) {
	w.with(id, func(f *fakeWorker) { n = len(f.starts) })
	return n
}

func (w *world) phase(id string) workflow.Phase {
	phase, _ := w.c.phase(id, "h/q/")
	return phase
}

func task(job string, index int) workflow.TaskKey {
	return workflow.TaskKey{StepKey: workflow.StepKey{Job: job}, Index: index}
}

// oneTask is a step of one small task.
var oneTask = workflow.Step{Count: 1, Need: workflow.Resources{MilliCPU: 1000, MemoryMB: 10}, EstimateMS: 50}

// submission is a job of one small task.
func submission(id string) *workflow.Command {
	return &workflow.Command{Submit: &workflow.Submission{ID: id, Queue: "q", Steps: []workflow.Step{oneTask},
		Policy: workflow.Policy{Service: "s", MaxAttempts: 3, Stretch: 2, ObjectiveMS: 10_000}}}
}
