package control

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// searchWorker is one incarnation of a worker. It carries out orders as a real one does,
// with leases by its own clock.
type searchWorker struct {
	workflow.Worker
	// offset is by how much its clock differs.
	offset  time.Duration
	fence   uint64
	running map[workflow.TaskKey]*searchRun
	stopped map[workflow.TaskKey]int
	ended   []Ended
	endedAt []time.Time
	// seen is the last end that was taken note of, told the last that looks named.
	seen, told uint64
	leaseEnd   time.Time
	lapsedAt   time.Time
	// cutUntil is until when no call gets through, sickUntil until when it refuses starts,
	// partialUntil until when its lists aren't whole.
	cutUntil, sickUntil, partialUntil time.Time
	gone                              bool
	// had is what its capacity was before it last changed, at changedAt.
	had       workflow.Resources
	changedAt time.Time
	// changed is closed when a run ends.
	changed chan struct{}
}

type searchRun struct {
	number int
	step   *workflow.Step
	begun  time.Time
	takes  time.Duration
	fails  bool
	gang   bool
}

// searchWorkers are all workers, with the ledger of what must never be seen.
type searchWorkers struct {
	drawn *drawnWorld
	seed  uint64
	// stepOf finds a task's step, nil when its job isn't known.
	stepOf func(workflow.TaskKey) *workflow.Step
	// lines are those of the leaders and of the workers.
	lines *searchLines

	mu   sync.Mutex
	calm bool
	all  []*searchWorker
	// at is the present incarnation at each address.
	at map[string]*searchWorker
	// calls counts the calls of each kind for a run on a worker, so that what becomes of one
	// doesn't depend on the order of others.
	calls map[string]int
	// startedAt, doneAt and complete are those of roughWorkers.
	startedAt map[workflow.TaskKey][]time.Time
	doneAt    map[workflow.TaskKey]time.Time
	complete  map[gangRun]bool
	broken    []string
	starts    int
	// lastStart is when a task of a step last began.
	lastStart map[workflow.StepKey]time.Time
	// mayClaim are the runs that a leader may find without an owner: those whose start was
	// misdirected.
	mayClaim map[string]bool
	// crashes counts the workers that crashed under a task, afterThird the starts of a task
	// that crashes its workers after the third of them.
	crashes, afterThird map[workflow.TaskKey]int
}

// add lets an incarnation begin at an address.
func (r *searchWorkers) add(address string, life int) *searchWorker {
	w := &searchWorker{
		Worker:  workflow.Worker{ID: fmt.Sprint(address, ".", life), Service: "s", Address: address, Capacity: r.drawn.capacity},
		offset:  time.Duration(chance(r.seed, "clock", address, life) * float64(time.Hour)),
		running: map[workflow.TaskKey]*searchRun{}, stopped: map[workflow.TaskKey]int{}, changed: make(chan struct{}),
	}
	if r.drawn.sameNames {
		w.Name, w.Born = address, int64(life)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, w)
	r.at[address] = w
	return w
}

// crash ends an incarnation and what runs there.
func (r *searchWorkers) crash(w *searchWorker) {
	w.gone = true
	for task := range w.running {
		r.crashes[task]++
	}
	clear(w.running)
	delete(r.at, w.Address)
	w.wake()
}

func (w *searchWorker) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *searchWorker) clockMS(at time.Time) int64 { return at.Add(w.offset).UnixMilli() }

func (w *searchWorker) reachable(now time.Time) bool { return !w.gone && !now.Before(w.cutUntil) }

// fate is what becomes of a call.
type fate struct {
	way, back time.Duration
	// lost ones never arrive, late ones do after their caller has given up.
	lost, unanswered, misdirected bool
	late                          time.Duration
}

// fateOf draws the fate of a call; r.mu is held.
func (r *searchWorkers) fateOf(kind string, w *searchWorker, run workflow.Run) fate {
	key := fmt.Sprint(kind, w.ID, run)
	r.calls[key]++
	n := r.calls[key]
	draw := func(what string) float64 { return chance(r.seed, what, key, n) }
	f := fate{way: time.Duration((0.3 + draw("way")) * float64(time.Millisecond)), back: time.Duration((0.3 + draw("back")) * float64(time.Millisecond))}
	if r.calm {
		return f
	}
	p, faults := draw("fate"), &r.drawn.faults
	for _, c := range []struct {
		chance float64
		apply  func()
	}{
		{faults.lost, func() { f.lost = true }},
		{faults.unanswered, func() { f.unanswered = true }},
		{faults.late, func() { f.late = time.Duration(draw("late") * float64(3*time.Second)) }},
		{faults.slow, func() { f.back = time.Duration(draw("slow") * float64(callTimeout*5/4)) }},
		{faults.misdirected, func() { f.misdirected = kind == "start" }},
	} {
		if p -= c.chance; p < 0 {
			c.apply()
			return f
		}
	}
	return f
}

// deliver carries an order out as its fate has it.
func (r *searchWorkers) deliver(ctx context.Context, kind string, to Target, run workflow.Run, carryOut func(*searchWorker) error) (int64, error) {
	w, f, err := r.reach(ctx, kind, to, run)
	if err != nil {
		return 0, err
	}
	if f.late > 0 {
		time.AfterFunc(f.late, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if w.gone && r.drawn.sameNames {
				// The next life can't tell that it wasn't meant.
				w = r.at[to.Address]
			}
			if w != nil && !w.gone {
				_ = carryOut(w)
			}
		})
		<-ctx.Done()
		return 0, errNoAnswer
	}
	r.mu.Lock()
	// It may have crashed while the call was on its way.
	gone := w.gone
	if !gone {
		err = carryOut(w)
	}
	clock := w.clockMS(time.Now())
	r.mu.Unlock()
	if f.unanswered || gone {
		<-ctx.Done()
	}
	if !wait.For(ctx, f.back) || ctx.Err() != nil {
		return 0, errNoAnswer
	}
	return clock, err
}

// reach finds the worker that a call arrives at.
func (r *searchWorkers) reach(ctx context.Context, kind string, to Target, run workflow.Run) (*searchWorker, fate, error) {
	r.mu.Lock()
	w := r.at[to.Address]
	if w == nil || !w.reachable(time.Now()) {
		r.mu.Unlock()
		<-ctx.Done()
		return nil, fate{}, errNoAnswer
	}
	f := r.fateOf(kind, w, run)
	if f.misdirected {
		r.mayClaim[claimKey(run)] = true
	}
	r.mu.Unlock()
	wait.For(ctx, f.way)
	switch {
	case f.lost:
		<-ctx.Done()
		return nil, f, errNoAnswer
	case f.misdirected || w.ID != to.Worker && !r.drawn.sameNames:
		return nil, f, ErrOtherIncarnation
	}
	return w, f, nil
}

func (r *searchWorkers) Start(ctx context.Context, to Target, o StartOrder) (int64, error) {
	return r.deliver(ctx, "start", to, o.Run, func(w *searchWorker) error {
		err := r.begin(w, o)
		r.lines.note("start", w, o.Run, err)
		return err
	})
}

// begin carries a start out; r.mu is held.
func (r *searchWorkers) begin(w *searchWorker, o StartOrder) error {
	if o.Fence < w.fence {
		return &RefusedError{RefusedFence}
	}
	w.fence = o.Fence
	now, task, running := time.Now(), o.Run.Task, w.running[o.Run.Task]
	w.hold(o.LeaseEndMS, now)
	step := r.stepOf(task)
	key := fmt.Sprint(w.ID, o.Run)
	r.calls[key]++
	switch {
	case o.Run.Number <= w.stopped[task]:
		return &RefusedError{RefusedOld}
	case running != nil && running.number >= o.Run.Number:
		return nil
	case w.clockMS(now) > o.LeaseEndMS:
		return &RefusedError{RefusedLate}
	case step == nil:
		return &RefusedError{RefusedInvalid}
	case !r.calm && now.Before(w.sickUntil):
		return &RefusedError{RefusedUnhealthy}
	case !r.calm && chance(r.seed, "refused", key, r.calls[key]) < r.drawn.faults.refused:
		return &RefusedError{RefusedRoom}
	case o.Ticket != "" && !ticketHolds(o.Ticket, task.StepKey, w.ID):
		return &RefusedError{RefusedTicket}
	}
	w.running[task] = r.newRun(o.Run, step, now)
	r.crashLater(w, o.Run)
	r.starts++
	r.lastStart[task.StepKey] = now
	r.check(w, task, step)
	return nil
}

// newRun draws how long a run takes and whether it fails; members of a gang share that.
func (r *searchWorkers) newRun(run workflow.Run, step *workflow.Step, now time.Time) *searchRun {
	drawn := taskOf(run.Task, *step)
	takes := (0.5 + chance(r.seed, "takes", drawn, run.Number)) * float64(step.EstimateMS)
	return &searchRun{
		number: run.Number, step: step, begun: now, gang: step.Gang,
		takes: time.Duration(takes * float64(time.Millisecond)),
		fails: !r.calm && chance(r.seed, "fails", drawn, run.Number) < r.drawn.faults.failed,
	}
}

// check records what a start must never bring about; r.mu is held.
func (r *searchWorkers) check(w *searchWorker, task workflow.TaskKey, step *workflow.Step) {
	key := taskOf(task, *step)
	r.startedAt[key] = append(r.startedAt[key], time.Now())
	if !r.doneAt[key].IsZero() && !step.Speculative {
		r.broken = append(r.broken, fmt.Sprintf("%s starts on %s after it was done", task, w.ID))
	}
	live := 0
	for _, other := range r.all {
		if other.running[task] != nil {
			live++
		}
	}
	if live > 1 && !step.Speculative || live > maxRunsOfTask {
		r.broken = append(r.broken, fmt.Sprintf("%d runs of %s", live, task))
	}
	if used := w.used(); !used.Fits(w.capacityTold(time.Now())) {
		r.broken = append(r.broken, fmt.Sprintf("%s holds %v of %v", w.ID, used, w.Capacity))
	}
}

// maxRunsOfTask is how many runs a speculative task may have at a time.
const maxRunsOfTask = 2

func (w *searchWorker) used() (used workflow.Resources) {
	for _, run := range w.running {
		used = used.Plus(run.step.Room())
	}
	return used
}

func (w *searchWorker) hold(leaseEndMS int64, now time.Time) {
	if now.After(w.leaseEnd) {
		w.lapsedAt = now
	}
	if end := time.UnixMilli(leaseEndMS).Add(-w.offset); leaseEndMS > 0 && end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

func (r *searchWorkers) Stop(ctx context.Context, to Target, o StopOrder) (int64, error) {
	return r.deliver(ctx, "stop", to, o.Run, func(w *searchWorker) error {
		if o.Fence < w.fence {
			return &RefusedError{RefusedFence}
		}
		w.fence = o.Fence
		w.stopped[o.Run.Task] = max(w.stopped[o.Run.Task], o.Run.Number)
		if run := w.running[o.Run.Task]; run != nil && run.number <= o.Run.Number {
			r.finish(w, o.Run.Task, workflow.OutcomeStopped)
		}
		return nil
	})
}

func (r *searchWorkers) Throttle(context.Context, Target, ThrottleOrder) (int64, error) {
	return 0, nil
}

// finish ends a run; r.mu is held.
func (r *searchWorkers) finish(w *searchWorker, task workflow.TaskKey, outcome workflow.Outcome) {
	run := w.running[task]
	delete(w.running, task)
	w.stopped[task] = max(w.stopped[task], run.number)
	w.ended = append(w.ended, Ended{Position: uint64(len(w.ended) + 1),
		RunEnd: workflow.RunEnd{Task: task, Number: run.number, Outcome: outcome}})
	w.endedAt = append(w.endedAt, time.Now())
	r.acknowledge(w, w.told)
	r.lines.note("ends "+outcome.String(), w, workflow.Run{Task: task, Number: run.number}, nil)
	w.wake()
}
