package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/replica"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// fakeTermLog is a fakeLog with its own term, which increases from leader to leader.
type fakeTermLog struct {
	fakeLog
	term uint64
}

func (l *fakeTermLog) Status() replica.Status {
	return replica.Status{Role: replica.Leader, Term: l.term, CanDecide: true}
}

// chaosWorker simulates a worker. Calls to it are lost, or are carried out late or twice.
// It expires leases by its own clock.
type chaosWorker struct {
	id       string
	capacity workflow.Resources
	fence    uint64
	running  map[workflow.TaskKey]*chaosWorkerRun
	stopped  map[workflow.TaskKey]int
	ended    []Ended
	endedAt  []time.Time
	leaseEnd time.Time
	// leaseExpiredAt is when its lease last expired.
	leaseExpiredAt time.Time
	// acknowledged is the position of the last end that a leader has acknowledged.
	acknowledged uint64
	// unreachableUntil is when calls get through again.
	unreachableUntil time.Time
	crashed          bool
}

type chaosWorkerRun struct {
	number int
	endsAt time.Time
	need   workflow.Resources
}

// chaosWorkers implements the calls to all workers and to the adviser, and records
// violated invariants.
type chaosWorkers struct {
	t      *testing.T
	mu     sync.Mutex
	random *rand.Rand
	// faultsOver switches off all faults.
	faultsOver bool
	byID       map[string]*chaosWorker
	specs      map[string]workflow.Step
	// startedAt holds all start times of a task. doneAt is when a task was done, set once
	// a leader has acknowledged that end.
	startedAt map[workflow.TaskKey][]time.Time
	doneAt    map[workflow.TaskKey]time.Time
	// violations lists the violated invariants.
	violations []string
	// completeGangs are the gang runs whose members have all been running at the same
	// time.
	completeGangs map[gangRun]bool
	// eventLog holds the log lines of the controllers and the workers.
	eventLog chaosLog
}

// chaosLog keeps log lines to print them if a run fails.
type chaosLog struct {
	mu    sync.Mutex
	lines []string
}

func (l *chaosLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, string(line))
	return len(line), nil
}

func (l *chaosLog) logRun(event string, w *chaosWorker, task workflow.TaskKey, run int) {
	_, _ = fmt.Fprintf(l, "ms=%d worker=%s %s task=%s run=%d\n", msSinceProgramStart(), w.id, event, task, run)
}

// linesAbout returns the log lines about the jobs that the violations name.
func (l *chaosLog) linesAbout(violations []string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found strings.Builder
	for _, line := range l.lines {
		for _, violation := range violations {
			if job, _, ok := strings.Cut(violation, "/"); ok && strings.Contains(line, job+"/") {
				found.WriteString(line)
				break
			}
		}
	}
	return found.String()
}

var errInjected = fmt.Errorf("injected fault: %w", errNoResponse)

// Cumulative probabilities of the outcomes of a call: the call takes effect and gets a
// response, takes effect without a response, or takes effect late. Other calls are lost.
const (
	cumulativeAnsweredProbability   = 0.80
	cumulativeUnansweredProbability = 0.88
	cumulativeLateProbability       = 0.95
)

const (
	// refusedStartProbability is the probability that a worker refuses a start because of
	// its ticket, lostQueryProbability that an adviser query gets no response.
	refusedStartProbability = 0.05
	lostQueryProbability    = 0.1
	// failedRunOneIn is the inverse of the probability that a run fails.
	failedRunOneIn = 20
	// chaosTicketValidityMS is how long a ticket is valid, in milliseconds.
	chaosTicketValidityMS = 200
	// chaosRunInterval is the time between two checks for runs that are over.
	chaosRunInterval = 2 * time.Millisecond
)

// drawOutcome decides whether a call takes effect now, later or never, and whether its
// response arrives.
func (ws *chaosWorkers) drawOutcome(w *chaosWorker) (now, later, answered bool) {
	if w.crashed || time.Now().Before(w.unreachableUntil) {
		return false, false, false
	}
	if ws.faultsOver {
		return true, false, true
	}
	switch p := ws.random.Float64(); {
	case p < cumulativeAnsweredProbability:
		return true, false, true
	case p < cumulativeUnansweredProbability:
		return true, false, false
	case p < cumulativeLateProbability:
		return false, true, false
	default:
		return false, false, false
	}
}

// call applies an order with the outcome that drawOutcome draws for it.
func (ws *chaosWorkers) call(id string, apply func(*chaosWorker) error) (int64, error) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	w := ws.byID[id]
	if w.crashed && !time.Now().Before(w.unreachableUntil) {
		return 0, ErrOtherIncarnation
	}
	now, later, answered := ws.drawOutcome(w)
	var err error
	if now {
		err = apply(w)
	}
	if later {
		delay := time.Duration(20+ws.random.IntN(300)) * time.Millisecond
		time.AfterFunc(delay, func() {
			ws.mu.Lock()
			defer ws.mu.Unlock()
			if !w.crashed {
				_ = apply(w)
			}
		})
	}
	if !answered {
		return 0, errInjected
	}
	return time.Now().UnixMilli(), err
}

func (ws *chaosWorkers) Start(_ context.Context, to Target, o StartOrder) (int64, error) {
	return ws.call(to.Worker, func(w *chaosWorker) error { return ws.startRun(w, o) })
}

func (ws *chaosWorkers) startRun(w *chaosWorker, o StartOrder) error {
	if o.Fence < w.fence {
		return &RefusedError{RefusedStaleFence}
	}
	w.fence = o.Fence
	w.extendLease(o.LeaseEndMS)
	task := o.Run.Task
	running := w.running[task]
	switch {
	case o.Run.Number <= w.stopped[task]:
		return &RefusedError{RefusedStaleRun}
	case running != nil && running.number >= o.Run.Number:
		return nil
	case time.Now().After(w.leaseEnd):
		return &RefusedError{RefusedLeaseExpired}
	case ws.random.Float64() < refusedStartProbability && !ws.faultsOver:
		return &RefusedError{RefusedTicket}
	}
	spec := ws.specs[task.Job]
	w.running[task] = &chaosWorkerRun{number: o.Run.Number, need: spec.Need, endsAt: time.Now().Add(time.Duration(10+ws.random.IntN(60)) * time.Millisecond)}
	ws.eventLog.logRun("starts", w, task, o.Run.Number)
	ws.recordViolations(w, task, spec)
	return nil
}

// recordViolations records the invariants that a start violates.
func (ws *chaosWorkers) recordViolations(w *chaosWorker, task workflow.TaskKey, spec workflow.Step) {
	key := outcomeKey(task, spec)
	ws.startedAt[key] = append(ws.startedAt[key], time.Now())
	if !ws.doneAt[key].IsZero() && !spec.Speculative {
		ws.violations = append(ws.violations, fmt.Sprintf("%s starts on %s after it was done", task, w.id))
	}
	live := 0
	for _, other := range ws.byID {
		if other.running[task] != nil && !other.crashed {
			live++
		}
	}
	if live > 1 && !spec.Speculative || live > maxRunsOfTask {
		ws.violations = append(ws.violations, fmt.Sprintf("%d runs of %s", live, task))
	}
	var used workflow.Resources
	for _, run := range w.running {
		used = used.Plus(run.need)
	}
	if !used.Fits(w.capacity) {
		ws.violations = append(ws.violations, fmt.Sprintf("runs on %s need %v of %v", w.id, used, w.capacity))
	}
}

// outcomeKey returns the key under which starts and done ends of a task are recorded: for
// each member of a gang, the key of the first member.
func outcomeKey(task workflow.TaskKey, spec workflow.Step) workflow.TaskKey {
	if spec.Gang {
		task.Index = 0
	}
	return task
}

// acknowledge records that a leader has acknowledged ends. An acknowledged end is final,
// unless the lease expired between the end and the acknowledgement.
func (ws *chaosWorkers) acknowledge(w *chaosWorker, lastEnd uint64) {
	for ; w.acknowledged < lastEnd; w.acknowledged++ {
		e, at := w.ended[w.acknowledged], w.endedAt[w.acknowledged]
		spec := ws.specs[e.Task.Job]
		if e.Outcome != workflow.OutcomeDone || w.leaseExpiredAt.After(at) {
			continue
		}
		key := outcomeKey(e.Task, spec)
		ws.doneAt[key] = at
		for _, started := range ws.startedAt[key] {
			if started.After(at) && !spec.Speculative {
				ws.violations = append(ws.violations, fmt.Sprintf("%s started elsewhere between its end on %s and the acknowledgement", key, w.id))
			}
		}
	}
}

// extendLease extends the lease. If the lease has expired by now, extendLease records the
// current time as leaseExpiredAt.
func (w *chaosWorker) extendLease(leaseEndMS int64) {
	if now := time.Now(); now.After(w.leaseEnd) {
		w.leaseExpiredAt = now
	}
	if end := time.UnixMilli(leaseEndMS); leaseEndMS > 0 && end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

func (ws *chaosWorkers) Stop(_ context.Context, to Target, o StopOrder) (int64, error) {
	return ws.call(to.Worker, func(w *chaosWorker) error {
		if o.Fence < w.fence {
			return &RefusedError{RefusedStaleFence}
		}
		w.fence = o.Fence
		w.stopped[o.Run.Task] = max(w.stopped[o.Run.Task], o.Run.Number)
		if run := w.running[o.Run.Task]; run != nil && run.number <= o.Run.Number {
			w.finish(o.Run.Task, workflow.OutcomeStopped)
		}
		return nil
	})
}

func (ws *chaosWorkers) Throttle(context.Context, Target, ThrottleOrder) (int64, error) {
	return 0, nil
}

func (w *chaosWorker) finish(task workflow.TaskKey, outcome workflow.Outcome) {
	run := w.running[task]
	delete(w.running, task)
	w.stopped[task] = max(w.stopped[task], run.number)
	w.ended = append(w.ended, Ended{Position: uint64(len(w.ended) + 1),
		RunEnd: workflow.RunEnd{Task: task, Number: run.number, Outcome: outcome}})
	w.endedAt = append(w.endedAt, time.Now())
}

func (ws *chaosWorkers) Poll(ctx context.Context, to Target, o PollOrder) (Report, error) {
	wait.For(ctx, fakePollHold)
	var report Report
	clock, err := ws.call(to.Worker, func(w *chaosWorker) error {
		if o.Fence < w.fence {
			return &RefusedError{RefusedStaleFence}
		}
		w.fence = o.Fence
		w.extendLease(o.LeaseEndMS)
		ws.acknowledge(w, o.LastEnd)
		report = Report{}
		for task, run := range w.running {
			report.Running = append(report.Running, Running{Task: task, Number: run.number, Percent: ws.random.IntN(100)})
		}
		for _, e := range w.ended {
			if e.Position > o.LastEnd && len(report.Ended) < maxEndsPerReport {
				report.Ended = append(report.Ended, e)
			}
		}
		report.Partial = len(report.Ended) == maxEndsPerReport
		return nil
	})
	// A poll that is carried out late or a second time writes report with ws.mu held.
	ws.mu.Lock()
	response := report
	ws.mu.Unlock()
	response.ClockMS = clock
	return response, err
}

func (ws *chaosWorkers) Query(_ context.Context, call AdviserQuery) (AdviserReply, error) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if !ws.faultsOver && ws.random.Float64() < lostQueryProbability {
		return AdviserReply{}, errInjected
	}
	reply := AdviserReply{TicketValidity: chaosTicketValidityMS * time.Millisecond}
	for _, worker := range call.Workers {
		reply.Granted = append(reply.Granted, Grant{Worker: worker, Ticket: "t"})
	}
	return reply, nil
}

// runTasks ends runs whose duration is over or whose lease has expired, until ctx ends.
func (ws *chaosWorkers) runTasks(ctx context.Context) {
	for wait.For(ctx, chaosRunInterval) {
		ws.mu.Lock()
		for _, w := range ws.byID {
			for task, run := range w.running {
				switch {
				case w.crashed:
				case time.Now().After(w.leaseEnd):
					ws.eventLog.logRun("lease expires", w, task, run.number)
					w.finish(task, workflow.OutcomeLeaseExpired)
				case time.Now().After(run.endsAt) && ws.gangComplete(task, run.number):
					ws.endRun(w, task)
				}
			}
		}
		ws.mu.Unlock()
	}
}

// gangComplete reports whether a run may end on its own: the members of a gang make
// progress only once all of them have started, so none is done before.
func (ws *chaosWorkers) gangComplete(task workflow.TaskKey, run int) bool {
	spec := ws.specs[task.Job]
	if !spec.Gang || ws.completeGangs[gangRun{task.StepKey, run}] {
		return true
	}
	runningMembers := map[int]bool{}
	for _, w := range ws.byID {
		for other, otherRun := range w.running {
			if other.StepKey == task.StepKey && otherRun.number == run && !w.crashed {
				runningMembers[other.Index] = true
			}
		}
	}
	ws.completeGangs[gangRun{task.StepKey, run}] = len(runningMembers) == spec.Count
	return len(runningMembers) == spec.Count
}

// gangRun identifies one run of a gang.
type gangRun struct {
	step   workflow.StepKey
	number int
}

// endRun ends a run as done, or as failed with a probability of 1/20.
func (ws *chaosWorkers) endRun(w *chaosWorker, task workflow.TaskKey) {
	outcome := workflow.OutcomeDone
	if ws.random.IntN(failedRunOneIn) == 0 {
		outcome = workflow.OutcomeFailed
	}
	ws.eventLog.logRun("ends "+outcome.String(), w, task, w.running[task].number)
	w.finish(task, outcome)
}
