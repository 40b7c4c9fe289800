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

const (
	// fakeLogTerm is the first term of a fakeLog, and so the fencing token of its leader.
	// staleFence is the fencing token of an earlier leader.
	fakeLogTerm = 7
	staleFence  = 6
	// fakeClockMS is what the clock of each fakeWorker shows, in milliseconds.
	fakeClockMS = 1000
	// testMaxLease bounds the leases of workers in tests.
	testMaxLease = 700 * time.Millisecond
	// testMaxConns bounds the connections of a controller's client.
	testMaxConns = 100
)

// fakeLog is the log of a single member that leads and commits each command immediately.
type fakeLog struct {
	state *StateMachine
	mu    sync.Mutex
	index uint64
	// afterApply is called after each command, outside the lock.
	afterApply func(workflow.Command)
	// beforeApply is called before each command, outside the lock.
	beforeApply func(workflow.Command)
	// delayedUntil is when the log's goroutine continues after a delay.
	delayedUntil time.Time
	// stepDowns counts how often the member gave up its leadership. It is elected again immediately.
	stepDowns uint64
	// endErrors are the errors of the next commands that end runs.
	endErrors []error
	// submitError is the error of commands that submit jobs; nil for none.
	submitError error
}

// delayStatus makes the log unable to confirm the leadership for a duration.
func (l *fakeLog) delayStatus(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delayedUntil = time.Now().Add(d)
}

func (l *fakeLog) remainingDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Until(l.delayedUntil)
}

func (l *fakeLog) Propose(_ context.Context, encoded []byte) (any, error) {
	if err := l.callBeforeApply(encoded); err != nil {
		return nil, err
	}
	if err := l.nextEndError(encoded); err != nil {
		return nil, err
	}
	l.mu.Lock()
	l.index++
	value := l.state.Apply(l.index, encoded)
	hook := l.afterApply
	l.mu.Unlock()
	if hook != nil {
		command, err := workflow.Decode(encoded)
		if err != nil {
			return nil, err
		}
		hook(command)
	}
	return value, nil
}

// failEnds makes the next commands that end runs fail with errs.
func (l *fakeLog) failEnds(errs ...error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endErrors = errs
}

// nextEndError removes and returns the error for a command that ends runs; for one that submits a
// job it returns submitError, and nil for other commands.
func (l *fakeLog) nextEndError(encoded []byte) error {
	command, err := workflow.Decode(encoded)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if command.Submit != nil {
		return l.submitError
	}
	if command.Ends == nil {
		return nil
	}
	if len(l.endErrors) == 0 {
		return nil
	}
	err = l.endErrors[0]
	l.endErrors = l.endErrors[1:]
	return err
}

// callBeforeApply calls beforeApply with the decoded command.
func (l *fakeLog) callBeforeApply(encoded []byte) error {
	l.mu.Lock()
	hook := l.beforeApply
	l.mu.Unlock()
	if hook == nil {
		return nil
	}
	command, err := workflow.Decode(encoded)
	if err == nil {
		hook(command)
	}
	return err
}

func (l *fakeLog) Barrier(ctx context.Context) error {
	wait.For(ctx, max(l.remainingDelay(), 0))
	return ctx.Err()
}

func (l *fakeLog) Status() replica.Status {
	canDecide := l.remainingDelay() <= 0
	l.mu.Lock()
	defer l.mu.Unlock()
	return replica.Status{Role: replica.Leader, Term: fakeLogTerm + l.stepDowns, CanDecide: canDecide}
}

func (l *fakeLog) StepDown(_ context.Context, term uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if term == fakeLogTerm+l.stepDowns {
		l.stepDowns++
	}
	return nil
}

func (l *fakeLog) Changed() <-chan struct{} { return make(chan struct{}) }

var errNoResponse = errors.New("no response")

// fakeWorker is one incarnation of a worker, with the runs that its reports list.
type fakeWorker struct {
	id      string
	fence   uint64
	running map[workflow.TaskKey]Running
	ended   []Ended
	// stopped is the highest run number of each task that was stopped or has ended.
	stopped map[workflow.TaskKey]int
	// responsesLost means that calls arrive and their responses are lost, unreachable that no call
	// arrives.
	responsesLost, unreachable bool
	// delayStarts means that starts get no response and are added to delayedStarts.
	delayStarts   bool
	delayedStarts []StartOrder
	// refuseNextStart is the reason for which the next start after a delayed one is
	// refused.
	refuseNextStart Refusal
	// starts are the start orders that were carried out.
	starts []StartOrder
	// shares are the shares to which runs were throttled.
	shares map[workflow.TaskKey]int
	// leases are the lease ends that polls carried. leaseExtendedAt is when a call last extended the lease.
	leases          []int64
	leaseExtendedAt time.Time
	// partial means that reports are partial.
	partial bool
	// lostStops is how many further stops get lost.
	lostStops int
	// slowStops means that stops get a response before the runs have ended.
	slowStops bool
	// superseded means that another incarnation responds at the worker's address.
	superseded bool
	// hangingStarts is how many further starts are not carried out and get no response
	// until their caller gives up.
	hangingStarts int
	// misdirectedStarts is how many further starts get the response of another incarnation.
	misdirectedStarts int
	// slowRefusals is how many further starts are refused, each after slowRefusalDelay.
	slowRefusals int
	// successor is the worker's next incarnation. It responds at the same address and
	// carries out orders; its responses to polls show that it is another incarnation.
	successor *fakeWorker
	// polls are the polls that arrived.
	polls []PollOrder
	// needsTicket means that starts without a ticket are refused; unticketed counts them.
	needsTicket bool
	unticketed  int
}

// current returns the incarnation that orders reach.
func (w *fakeWorker) current() *fakeWorker {
	for w.successor != nil {
		w = w.successor
	}
	return w
}

// slowRefusalDelay is longer than the time after which an unanswered start is sent again.
const slowRefusalDelay = callTimeout / 2

// fakeWorkers implements the calls to all workers, and an adviser that permits every
// task.
type fakeWorkers struct {
	mu   sync.Mutex
	byID map[string]*fakeWorker
}

func (f *fakeWorkers) add(id string) *fakeWorker {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := &fakeWorker{id: id, running: map[workflow.TaskKey]Running{}, stopped: map[workflow.TaskKey]int{}, shares: map[workflow.TaskKey]int{}}
	f.byID[id] = w
	return w
}

func (f *fakeWorkers) Start(ctx context.Context, to Target, order StartOrder) (int64, error) {
	if f.takeHangingStart(to.Worker) {
		<-ctx.Done()
		return 0, errNoResponse
	}
	if f.refusesSlowly(ctx, to.Worker) {
		return 0, &RefusedError{RefusedTicket}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.byID[to.Worker].current()
	if w.unreachable {
		return 0, errNoResponse
	}
	if w.superseded || w.misdirectedStarts > 0 {
		w.misdirectedStarts--
		return 0, ErrOtherIncarnation
	}
	if w.delayStarts {
		w.delayedStarts = append(w.delayedStarts, order)
		w.delayStarts = w.refuseNextStart == ""
		return 0, errNoResponse
	}
	if w.needsTicket && order.Ticket == "" {
		w.unticketed++
		return 0, &RefusedError{RefusedTicket}
	}
	if reason := w.refuseNextStart; reason != "" {
		w.refuseNextStart = ""
		return 0, &RefusedError{reason}
	}
	if err := w.startRun(order); err != nil {
		return 0, err
	}
	if w.responsesLost {
		return 0, errNoResponse
	}
	return fakeClockMS, nil
}

func (f *fakeWorkers) takeHangingStart(worker string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.byID[worker]
	if w.hangingStarts == 0 {
		return false
	}
	w.hangingStarts--
	return true
}

// refusesSlowly reports, after slowRefusalDelay, whether a start is to be refused.
func (f *fakeWorkers) refusesSlowly(ctx context.Context, worker string) bool {
	f.mu.Lock()
	w := f.byID[worker]
	late := w.slowRefusals > 0
	if late {
		w.slowRefusals--
	}
	f.mu.Unlock()
	return late && wait.For(ctx, slowRefusalDelay)
}

func (w *fakeWorker) startRun(order StartOrder) error {
	if order.Fence < w.fence {
		return &RefusedError{RefusedStaleFence}
	}
	w.fence = order.Fence
	if order.Run.Number <= w.stopped[order.Run.Task] {
		return &RefusedError{RefusedStaleRun}
	}
	if w.running[order.Run.Task].Number == order.Run.Number {
		return nil
	}
	w.starts = append(w.starts, order)
	w.leaseExtendedAt = time.Now()
	w.running[order.Run.Task] = Running{Task: order.Run.Task, Number: order.Run.Number}
	return nil
}

func (f *fakeWorkers) Stop(_ context.Context, to Target, order StopOrder) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.byID[to.Worker].current()
	if w.unreachable {
		return 0, errNoResponse
	}
	if w.lostStops > 0 {
		w.lostStops--
		return 0, errNoResponse
	}
	w.stopped[order.Run.Task] = max(w.stopped[order.Run.Task], order.Run.Number)
	if running, ok := w.running[order.Run.Task]; ok && running.Number == order.Run.Number && !w.slowStops {
		w.finish(order.Run.Task, workflow.OutcomeStopped)
	}
	if w.responsesLost {
		return 0, errNoResponse
	}
	return fakeClockMS, nil
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
	f.byID[to.Worker].shares[order.Run.Task] = order.Share
	return fakeClockMS, nil
}

// fakePollHold is how long a poll is held in tests.
const fakePollHold = 5 * time.Millisecond

func (f *fakeWorkers) Poll(ctx context.Context, to Target, order PollOrder) (Report, error) {
	wait.For(ctx, fakePollHold)
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.byID[to.Worker].current()
	if w.unreachable {
		return Report{}, errNoResponse
	}
	if w.superseded {
		return Report{}, ErrOtherIncarnation
	}
	w.fence = max(w.fence, order.Fence)
	w.polls = append(w.polls, order)
	if w.id != to.Worker {
		return Report{}, ErrOtherIncarnation
	}
	if order.LeaseEndMS > 0 {
		w.leases = append(w.leases, order.LeaseEndMS)
		w.leaseExtendedAt = time.Now()
	}
	if w.responsesLost {
		return Report{}, errNoResponse
	}
	report := Report{ClockMS: fakeClockMS, Partial: w.partial}
	for _, running := range w.running {
		report.Running = append(report.Running, running)
	}
	for _, ended := range w.ended {
		if ended.Position > order.LastEnd {
			report.Ended = append(report.Ended, ended)
		}
	}
	return report, nil
}

func (f *fakeWorkers) Query(_ context.Context, call AdviserQuery) (AdviserReply, error) {
	reply := AdviserReply{TicketValidity: time.Minute}
	for _, worker := range call.Workers {
		reply.Granted = append(reply.Granted, Grant{Worker: worker, Ticket: "t"})
	}
	return reply, nil
}

// testWriter writes log lines to the output of a test.
type testWriter struct{ t *testing.T }

func (w testWriter) Write(line []byte) (int, error) {
	w.t.Log(strings.TrimSpace(string(line)))
	return len(line), nil
}

type noCounters struct{}

func (noCounters) Add(string, int64)                           {}
func (noCounters) Set(string, int64)                           {}
func (noCounters) Observe(string, time.Duration)               {}
func (noCounters) SetByLabel(string, string, map[string]int64) {}

// testCluster is a controller that leads, with a fake log and fake workers.
type testCluster struct {
	t          *testing.T
	log        *fakeLog
	workers    *fakeWorkers
	controller *Controller
}

// newTestCluster starts a controller after prepare has filled the log, and waits until it
// leads.
func newTestCluster(t *testing.T, prepare func(cluster *testCluster)) *testCluster {
	machine := NewStateMachine()
	cluster := &testCluster{t: t, log: &fakeLog{state: machine}, workers: &fakeWorkers{byID: map[string]*fakeWorker{}}}
	bounds := Bounds{MaxLease: testMaxLease, EndedJobRetention: time.Minute}
	cluster.controller = New(Config{
		Address: "own", Bounds: bounds, Workers: cluster.workers, Adviser: cluster.workers, Client: link.NewClient(testMaxConns),
		Logger: log.NewLogfmtLogger(testWriter{t}), Counters: noCounters{},
		Leader: func() string { return "own" }, Members: func() []string { return nil },
	}, machine, cluster.log)
	cluster.commit(&workflow.Command{Configuration: &workflow.Document{Version: 1, Source: []byte("{}"), Queues: []workflow.Queue{
		{Name: "q", Host: "h", Prefix: "/q/", Policy: workflow.Policy{Service: "s", MaxAttempts: 3, Stretch: 2, ObjectiveMS: 100}},
	}}})
	if prepare != nil {
		prepare(cluster)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		must.NoError(t, cluster.controller.Run(ctx))
	}()
	t.Cleanup(func() { cancel(); <-done })
	cluster.eventually("a leader term begins", func() bool { _, err := cluster.controller.currentLeaderTerm(context.Background()); return err == nil })
	return cluster
}

// clusterWithStartedTask returns a cluster whose leader has started the only task of job
// a on worker w1.
func clusterWithStartedTask(t *testing.T) *testCluster {
	cluster := newTestCluster(t, nil)
	cluster.workers.add("w1")
	cluster.announce("w1")
	cluster.submit("a", oneTask)
	cluster.eventually("the task starts", func() bool { return cluster.started("w1") == 1 })
	return cluster
}

func (cluster *testCluster) commit(c *workflow.Command) {
	encoded, err := c.Encode()
	must.NoError(cluster.t, err)
	_, err = cluster.log.Propose(context.Background(), encoded)
	must.NoError(cluster.t, err)
}

var tenCores = workflow.Resources{MilliCPU: 10_000, MemoryMB: 1000}

func worker(id string) workflow.Worker {
	return workflow.Worker{ID: id, Service: "s", Address: id, Capacity: tenCores}
}

// announce sends a heartbeat of a worker.
func (cluster *testCluster) announce(id string) {
	_, err := cluster.controller.Announce(context.Background(), &Announcement{Worker: worker(id)})
	must.NoError(cluster.t, err)
}

// submit submits a job of one step.
func (cluster *testCluster) submit(id string, step workflow.Step) {
	_, err := cluster.controller.Submit(context.Background(), &SubmitCall{
		Address: JobAddress{Host: "h", Path: "/q/" + id, ID: id}, Payload: "payload", Steps: []workflow.Step{step},
	})
	must.NoError(cluster.t, err)
}

const (
	// eventuallyChecks is how often eventually checks, every eventuallyInterval.
	eventuallyChecks   = 2000
	eventuallyInterval = 5 * time.Millisecond
	// noStartWait is how long a test waits for a start that must not happen.
	noStartWait = 100 * time.Millisecond
)

// eventually waits until ok returns true, and fails the test if it never does. event
// names the awaited event.
func (cluster *testCluster) eventually(event string, ok func() bool) {
	cluster.t.Helper()
	for range eventuallyChecks {
		if ok() {
			return
		}
		time.Sleep(eventuallyInterval)
	}
	cluster.t.Fatalf("never: %s", event)
}

// withWorker calls f with a worker while the lock of all fake workers is held.
func (cluster *testCluster) withWorker(id string, f func(*fakeWorker)) {
	cluster.workers.mu.Lock()
	defer cluster.workers.mu.Unlock()
	f(cluster.workers.byID[id])
}

// started returns how many starts a worker has carried out.
func (cluster *testCluster) started(id string) (n int) {
	cluster.withWorker(id, func(f *fakeWorker) { n = len(f.starts) })
	return n
}

func (cluster *testCluster) phase(id string) workflow.Phase {
	phase, _ := cluster.controller.phase(&target{queue: workflow.Queue{Host: "h", Prefix: "/q/"}, id: id})
	return phase
}

func task(job string, index int) workflow.TaskKey {
	return workflow.TaskKey{StepKey: workflow.StepKey{Job: job}, Index: index}
}

// oneTask is a step with one small task.
var oneTask = workflow.Step{Count: 1, Need: workflow.Resources{MilliCPU: 1000, MemoryMB: 10}, EstimateMS: 50}

// submission returns a command that submits a job with one small task.
func submission(id string) *workflow.Command {
	return &workflow.Command{Submit: &workflow.Submission{ID: id, Queue: "q", Steps: []workflow.Step{oneTask},
		Policy: workflow.Policy{Service: "s", MaxAttempts: 3, Stretch: 2, ObjectiveMS: 10_000}}}
}
