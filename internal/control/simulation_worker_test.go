package control

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// simWorker is one incarnation of a worker. It carries out orders as a real worker does,
// and expires leases by its own clock.
type simWorker struct {
	workflow.Worker
	// clockOffset is how far its clock is ahead.
	clockOffset time.Duration
	fence       uint64
	running     map[workflow.TaskKey]*simRun
	stopped     map[workflow.TaskKey]int
	ended       []Ended
	endedAt     []time.Time
	// acknowledged is the position of the last end that the worker has recorded as
	// acknowledged, highestPolledEnd the highest position that a poll named.
	acknowledged, highestPolledEnd uint64
	leaseEnd                       time.Time
	leaseExpiredAt                 time.Time
	// unreachableUntil is when calls get through again, refusingUntil when the worker accepts
	// starts again, partialReportsUntil when its reports are complete again.
	unreachableUntil, refusingUntil, partialReportsUntil time.Time
	crashed                                              bool
	// previousCapacity is the capacity before the last change, at capacityChangedAt.
	previousCapacity  workflow.Resources
	capacityChangedAt time.Time
	// changed is closed when a run ends.
	changed chan struct{}
}

type simRun struct {
	number    int
	step      *workflow.Step
	startedAt time.Time
	duration  time.Duration
	fails     bool
	gang      bool
	// stopping says that a stop of the run takes its time.
	stopping bool
}

// simWorkers implements the calls to all workers, and records violated invariants.
type simWorkers struct {
	params *simParams
	seed   uint64
	// stepOf returns the step of a task, nil when its job isn't known.
	stepOf func(workflow.TaskKey) *workflow.Step
	// checkLimits checks the limits of the customers after a start.
	checkLimits func()
	// maxStopTime bounds how long a stop takes; 0 means that runs end at their stops.
	maxStopTime time.Duration
	// eventLog holds the log lines of the leaders and the workers.
	eventLog *simLog

	mu           sync.Mutex
	faultsOver   bool
	incarnations []*simWorker
	// current is the current incarnation at each address.
	current map[string]*simWorker
	// conns has the incarnation to which the connection to an address belongs.
	conns map[string]*simWorker
	// calls counts the calls of each kind for a run on a worker, so that the outcome of a
	// call doesn't depend on the order of other calls.
	calls map[string]int
	// startedAt holds all start times of a task. doneAt is when a task was done, set once
	// a leader has acknowledged that end. completeGangs are the gang runs whose members
	// have all been running at the same time.
	startedAt     map[workflow.TaskKey][]time.Time
	doneAt        map[workflow.TaskKey]time.Time
	completeGangs map[gangRun]bool
	violations    []string
	starts        int
	// shutdowns counts the planned shutdowns.
	shutdowns int
	// lastStart is when a task of a step last started.
	lastStart map[workflow.StepKey]time.Time
	// allowedOrphans are the runs that a leader may find to be orphaned: those whose start
	// was misdirected.
	allowedOrphans map[string]bool
	// crashes counts the workers that crashed while they ran a task,
	// startsAfterThirdCrash the starts of a crashing task after its third crash.
	crashes, startsAfterThirdCrash map[workflow.TaskKey]int
}

// add starts an incarnation of a worker at an address.
func (ws *simWorkers) add(address string, incarnation int) *simWorker {
	w := &simWorker{
		Worker:      workflow.Worker{ID: fmt.Sprint(address, ".", incarnation), Service: "s", Address: address, Capacity: ws.params.capacity},
		clockOffset: time.Duration(seededFloat(ws.seed, "clock", address, incarnation) * float64(time.Hour)),
		running:     map[workflow.TaskKey]*simRun{}, stopped: map[workflow.TaskKey]int{}, changed: make(chan struct{}),
	}
	if ws.params.keepsWorkerNames {
		w.Name, w.StartedAtMS = address, int64(incarnation)
	}
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.incarnations = append(ws.incarnations, w)
	ws.current[address] = w
	return w
}

// crash ends an incarnation, and counts the crash for the tasks that run there. ws.mu must be held.
func (ws *simWorkers) crash(w *simWorker) {
	for task := range w.running {
		ws.crashes[task]++
	}
	ws.end(w)
}

// end ends an incarnation and its runs. ws.mu must be held.
func (ws *simWorkers) end(w *simWorker) {
	w.crashed = true
	clear(w.running)
	delete(ws.current, w.Address)
	w.notifyChanged()
}

// notifyChanged wakes the polls that wait for a run to end.
func (w *simWorker) notifyChanged() {
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *simWorker) clockMS(at time.Time) int64 { return at.Add(w.clockOffset).UnixMilli() }

func (w *simWorker) reachable(now time.Time) bool {
	return !w.crashed && !now.Before(w.unreachableUntil)
}

// callOutcome is the drawn outcome of one call.
type callOutcome struct {
	requestDelay, responseDelay time.Duration
	// A lost call never arrives. An unanswered one is carried out and gets no response, a
	// misdirected one gets the response of another incarnation. If late is positive, the
	// call is carried out after that time, and its caller gets no response.
	lost, unanswered, misdirected bool
	late                          time.Duration
	// otherConn says that the connection wasn't known to belong to the addressed incarnation.
	otherConn bool
}

// maxLateness bounds the time until a late call is carried out.
const maxLateness = 3 * time.Second

// drawCallOutcome draws the outcome of a call. ws.mu must be held.
func (ws *simWorkers) drawCallOutcome(kind string, w *simWorker, run workflow.Run) callOutcome {
	key := fmt.Sprint(kind, w.ID, run)
	ws.calls[key]++
	n := ws.calls[key]
	draw := func(quantity string) float64 { return seededFloat(ws.seed, quantity, key, n) }
	outcome := callOutcome{requestDelay: time.Duration((0.3 + draw("way")) * float64(time.Millisecond)), responseDelay: time.Duration((0.3 + draw("back")) * float64(time.Millisecond))}
	if ws.faultsOver {
		return outcome
	}
	remaining, faults := draw("fate"), &ws.params.faults
	for _, c := range []struct {
		chance float64
		apply  func()
	}{
		{faults.lost, func() { outcome.lost = true }},
		{faults.unanswered, func() { outcome.unanswered = true }},
		{faults.late, func() { outcome.late = time.Duration(draw("late") * float64(maxLateness)) }},
		{faults.slow, func() { outcome.responseDelay = time.Duration(draw("slow") * float64(callTimeout*5/4)) }},
		{faults.misdirected, func() { outcome.misdirected = kind == "start" }},
	} {
		if remaining -= c.chance; remaining < 0 {
			c.apply()
			return outcome
		}
	}
	return outcome
}

// deliver applies an order with its drawn outcome.
func (ws *simWorkers) deliver(ctx context.Context, kind string, to Target, run workflow.Run, apply func(*simWorker) error) (int64, error) {
	w, outcome, err := ws.reach(ctx, kind, to, run)
	if err != nil {
		return 0, err
	}
	if outcome.late > 0 {
		time.AfterFunc(outcome.late, func() {
			ws.mu.Lock()
			defer ws.mu.Unlock()
			if w.crashed && ws.params.keepsWorkerNames {
				// The next incarnation can't tell that the order was meant for an earlier
				// one.
				w = ws.current[to.Address]
			}
			if w != nil && !w.crashed {
				_ = apply(w)
			}
		})
		<-ctx.Done()
		return 0, errNoResponse
	}
	ws.mu.Lock()
	// The worker may have crashed while the call was on its way.
	crashed := w.crashed
	if !crashed {
		err = apply(w)
	}
	clock := w.clockMS(time.Now())
	ws.mu.Unlock()
	if outcome.unanswered || crashed {
		<-ctx.Done()
	}
	if !wait.For(ctx, outcome.responseDelay) || ctx.Err() != nil {
		return 0, errNoResponse
	}
	return clock, err
}

// reach returns the worker at which a call arrives, and the drawn outcome of the call.
func (ws *simWorkers) reach(ctx context.Context, kind string, to Target, run workflow.Run) (*simWorker, callOutcome, error) {
	if ws.params.callDelay > 0 {
		return ws.reachOverConn(ctx, to)
	}
	ws.mu.Lock()
	w := ws.current[to.Address]
	if w == nil || !w.reachable(time.Now()) {
		ws.mu.Unlock()
		<-ctx.Done()
		return nil, callOutcome{}, errNoResponse
	}
	outcome := ws.drawCallOutcome(kind, w, run)
	if outcome.misdirected {
		ws.allowedOrphans[orphanKey(run)] = true
	}
	ws.mu.Unlock()
	wait.For(ctx, outcome.requestDelay)
	switch {
	case outcome.lost:
		<-ctx.Done()
		return nil, outcome, errNoResponse
	case outcome.misdirected || w.ID != to.Worker && !ws.params.keepsWorkerNames:
		return nil, outcome, ErrOtherIncarnation
	}
	return w, outcome, nil
}

func (ws *simWorkers) Start(ctx context.Context, to Target, o StartOrder) (int64, error) {
	return ws.deliver(ctx, "start", to, o.Run, func(w *simWorker) error {
		err := ws.startRun(w, o)
		ws.eventLog.logRun("start", w, o.Run, err)
		return err
	})
}

// startRun carries out a start. ws.mu must be held.
func (ws *simWorkers) startRun(w *simWorker, o StartOrder) error {
	if o.Fence < w.fence {
		return &RefusedError{RefusedStaleFence}
	}
	w.fence = o.Fence
	now, task, running := time.Now(), o.Run.Task, w.running[o.Run.Task]
	w.extendLease(o.LeaseEndMS, now)
	step := ws.stepOf(task)
	key := fmt.Sprint(w.ID, o.Run)
	ws.calls[key]++
	switch {
	case o.Run.Number <= w.stopped[task]:
		return &RefusedError{RefusedStaleRun}
	case running != nil && running.number >= o.Run.Number:
		return nil
	case w.clockMS(now) > o.LeaseEndMS:
		return &RefusedError{RefusedLeaseExpired}
	case step == nil:
		return &RefusedError{RefusedInvalid}
	case !ws.faultsOver && now.Before(w.refusingUntil):
		return &RefusedError{RefusedUnhealthy}
	case !ws.faultsOver && seededFloat(ws.seed, "refused", key, ws.calls[key]) < ws.params.faults.refused:
		return &RefusedError{RefusedNoCapacity}
	case o.Ticket != "" && !ticketHolds(o.Ticket, task.StepKey, w.ID):
		return &RefusedError{RefusedTicket}
	}
	w.running[task] = ws.newRun(o.Run, step, now)
	ws.scheduleCrash(w, o.Run)
	ws.starts++
	ws.lastStart[task.StepKey] = now
	ws.recordViolations(w, task, step)
	ws.checkLimits()
	return nil
}

// newRun draws the duration of a run and whether it fails; the members of a gang share
// both.
func (ws *simWorkers) newRun(run workflow.Run, step *workflow.Step, now time.Time) *simRun {
	key := outcomeKey(run.Task, *step)
	durationMS := (0.5 + seededFloat(ws.seed, "takes", key, run.Number)) * float64(step.EstimateMS)
	return &simRun{
		number: run.Number, step: step, startedAt: now, gang: step.Gang,
		duration: time.Duration(durationMS * float64(time.Millisecond)),
		fails:    !ws.faultsOver && seededFloat(ws.seed, "fails", key, run.Number) < ws.params.faults.failed,
	}
}

// recordViolations records the invariants that a start violates. ws.mu must be held.
func (ws *simWorkers) recordViolations(w *simWorker, task workflow.TaskKey, step *workflow.Step) {
	key := outcomeKey(task, *step)
	ws.startedAt[key] = append(ws.startedAt[key], time.Now())
	if !ws.doneAt[key].IsZero() && !step.Speculative {
		ws.violations = append(ws.violations, fmt.Sprintf("%s starts on %s after it was done", task, w.ID))
	}
	live := 0
	for _, other := range ws.incarnations {
		if other.running[task] != nil {
			live++
		}
	}
	if live > 1 && !step.Speculative || live > maxRunsOfTask {
		ws.violations = append(ws.violations, fmt.Sprintf("%d runs of %s", live, task))
	}
	if used := w.used(); !used.Fits(w.allowedCapacity(time.Now())) {
		ws.violations = append(ws.violations, fmt.Sprintf("runs on %s need %v of %v", w.ID, used, w.Capacity))
	}
}

// maxRunsOfTask is how many concurrent runs a task that allows copies may have.
const maxRunsOfTask = 2

// used returns the resources that the runs of the worker occupy.
func (w *simWorker) used() (used workflow.Resources) {
	for _, run := range w.running {
		used = used.Plus(run.step.Demand())
	}
	return used
}

// extendLease extends the lease. If the lease has expired by now, extendLease records the
// current time as leaseExpiredAt.
func (w *simWorker) extendLease(leaseEndMS int64, now time.Time) {
	if now.After(w.leaseEnd) {
		w.leaseExpiredAt = now
	}
	if end := time.UnixMilli(leaseEndMS).Add(-w.clockOffset); leaseEndMS > 0 && end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

func (ws *simWorkers) Stop(ctx context.Context, to Target, o StopOrder) (int64, error) {
	return ws.deliver(ctx, "stop", to, o.Run, func(w *simWorker) error {
		if o.Fence < w.fence {
			return &RefusedError{RefusedStaleFence}
		}
		w.fence = o.Fence
		w.stopped[o.Run.Task] = max(w.stopped[o.Run.Task], o.Run.Number)
		if run := w.running[o.Run.Task]; run != nil && run.number <= o.Run.Number {
			ws.stopRun(w, o.Run.Task, run)
		}
		return nil
	})
}

// stopRun ends a run after the time that its stop takes, unless the run ends before. ws.mu must be held.
func (ws *simWorkers) stopRun(w *simWorker, task workflow.TaskKey, run *simRun) {
	if ws.maxStopTime == 0 {
		ws.finish(w, task, workflow.OutcomeStopped)
		return
	}
	if run.stopping {
		return
	}
	run.stopping = true
	stopTime := time.Duration(seededFloat(ws.seed, "stop", w.ID, task, run.number) * float64(ws.maxStopTime))
	time.AfterFunc(stopTime, func() {
		ws.mu.Lock()
		defer ws.mu.Unlock()
		if w.running[task] == run {
			ws.finish(w, task, workflow.OutcomeStopped)
		}
	})
}

func (ws *simWorkers) Throttle(context.Context, Target, ThrottleOrder) (int64, error) {
	return 0, nil
}

// finish ends a run. ws.mu must be held.
func (ws *simWorkers) finish(w *simWorker, task workflow.TaskKey, outcome workflow.Outcome) {
	run := w.running[task]
	delete(w.running, task)
	w.stopped[task] = max(w.stopped[task], run.number)
	w.ended = append(w.ended, Ended{Position: uint64(len(w.ended) + 1),
		RunEnd: workflow.RunEnd{Task: task, Number: run.number, Outcome: outcome}})
	w.endedAt = append(w.endedAt, time.Now())
	ws.acknowledge(w, w.highestPolledEnd)
	ws.eventLog.logRun("ends "+outcome.String(), w, workflow.Run{Task: task, Number: run.number}, nil)
	w.notifyChanged()
}
