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

// termedLog is a fakeLog whose term grows from one leader to the next.
type termedLog struct {
	fakeLog
	term uint64
}

func (l *termedLog) Status() replica.Status {
	return replica.Status{Role: replica.Leader, Term: l.term, CanDecide: true}
}

// roughWorker is a worker whose calls get lost, carried out late or twice, and
// that holds leases by its own clock.
type roughWorker struct {
	id       string
	capacity workflow.Resources
	fence    uint64
	running  map[workflow.TaskKey]*roughRun
	stopped  map[workflow.TaskKey]int
	ended    []Ended
	endedAt  []time.Time
	leaseEnd time.Time
	// lapsedAt is when its lease lapsed last.
	lapsedAt time.Time
	// seen is the last end that a leader has acknowledged.
	seen uint64
	// cutUntil is until when no call gets through.
	cutUntil time.Time
	gone     bool
}

type roughRun struct {
	number int
	ends   time.Time
	need   workflow.Resources
}

// roughWorkers are all workers, with the ledger of what users must never see.
type roughWorkers struct {
	t      *testing.T
	mu     sync.Mutex
	random *rand.Rand
	// calm ends all faults.
	calm  bool
	all   map[string]*roughWorker
	specs map[string]workflow.Step
	// startedAt are all starts of a task, doneAt is when it ended as done, once a
	// leader has acknowledged that.
	startedAt map[workflow.TaskKey][]time.Time
	doneAt    map[workflow.TaskKey]time.Time
	// broken lists what must not have happened.
	broken []string
	// complete are the runs of gangs all of whose members have been there together.
	complete map[gangRun]bool
	// lines are those of the controllers and of the workers.
	lines roughLines
}

// roughLines keeps lines until a run has failed.
type roughLines struct {
	mu   sync.Mutex
	text []string
}

func (l *roughLines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text = append(l.text, string(line))
	return len(line), nil
}

func (l *roughLines) note(event string, w *roughWorker, task workflow.TaskKey, run int) {
	_, _ = fmt.Fprintf(l, "ms=%d worker=%s %s task=%s run=%d\n", sinceStart(), w.id, event, task, run)
}

// of returns the lines about the jobs that the faults name.
func (l *roughLines) of(broken []string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found strings.Builder
	for _, line := range l.text {
		for _, fault := range broken {
			if job, _, ok := strings.Cut(fault, "/"); ok && strings.Contains(line, job+"/") {
				found.WriteString(line)
				break
			}
		}
	}
	return found.String()
}

var errRough = fmt.Errorf("no answer: %w", errNoAnswer)

// fate decides what happens to a call: whether it is carried out now, later, or
// never, and whether its answer gets through.
func (r *roughWorkers) fate(w *roughWorker) (now, later, answered bool) {
	if w.gone || time.Now().Before(w.cutUntil) {
		return false, false, false
	}
	if r.calm {
		return true, false, true
	}
	switch p := r.random.Float64(); {
	case p < 0.80:
		return true, false, true
	case p < 0.88:
		return true, false, false
	case p < 0.95:
		return false, true, false
	default:
		return false, false, false
	}
}

// call carries an order out as fate has it.
func (r *roughWorkers) call(id string, carryOut func(*roughWorker) error) (int64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.all[id]
	if w.gone && !time.Now().Before(w.cutUntil) {
		return 0, ErrOtherIncarnation
	}
	now, later, answered := r.fate(w)
	var err error
	if now {
		err = carryOut(w)
	}
	if later {
		delay := time.Duration(20+r.random.IntN(300)) * time.Millisecond
		time.AfterFunc(delay, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if !w.gone {
				_ = carryOut(w)
			}
		})
	}
	if !answered {
		return 0, errRough
	}
	return time.Now().UnixMilli(), err
}

func (r *roughWorkers) Start(_ context.Context, to Target, o StartOrder) (int64, error) {
	return r.call(to.Worker, func(w *roughWorker) error { return r.begin(w, o) })
}

func (r *roughWorkers) begin(w *roughWorker, o StartOrder) error {
	if o.Fence < w.fence {
		return &RefusedError{RefusedFence}
	}
	w.fence = o.Fence
	w.hold(o.LeaseEndMS)
	task := o.Run.Task
	running := w.running[task]
	switch {
	case o.Run.Number <= w.stopped[task]:
		return &RefusedError{RefusedOld}
	case running != nil && running.number >= o.Run.Number:
		return nil
	case time.Now().After(w.leaseEnd):
		return &RefusedError{RefusedLate}
	case r.random.Float64() < 0.05 && !r.calm:
		return &RefusedError{RefusedTicket}
	}
	spec := r.specs[task.Job]
	w.running[task] = &roughRun{number: o.Run.Number, need: spec.Need, ends: time.Now().Add(time.Duration(10+r.random.IntN(60)) * time.Millisecond)}
	r.lines.note("begins", w, task, o.Run.Number)
	r.check(w, task, spec)
	return nil
}

// check records what a start must never bring about.
func (r *roughWorkers) check(w *roughWorker, task workflow.TaskKey, spec workflow.Step) {
	key := taskOf(task, spec)
	r.startedAt[key] = append(r.startedAt[key], time.Now())
	if !r.doneAt[key].IsZero() && !spec.Speculative {
		r.broken = append(r.broken, fmt.Sprintf("%s starts on %s after it was done", task, w.id))
	}
	live := 0
	for _, other := range r.all {
		if other.running[task] != nil && !other.gone {
			live++
		}
	}
	if live > 1 && !spec.Speculative || live > 2 {
		r.broken = append(r.broken, fmt.Sprintf("%d runs of %s", live, task))
	}
	var used workflow.Resources
	for _, run := range w.running {
		used = used.Plus(run.need)
	}
	if !used.Fits(w.capacity) {
		r.broken = append(r.broken, fmt.Sprintf("%s holds %v of %v", w.id, used, w.capacity))
	}
}

// taskOf is the task that an end as done counts for: that of a gang's member counts
// for all.
func taskOf(task workflow.TaskKey, spec workflow.Step) workflow.TaskKey {
	if spec.Gang {
		task.Index = 0
	}
	return task
}

// acknowledge takes in that a leader has seen ends. One that it acknowledges stands
// for good, unless the lease lapsed between the end and that.
func (r *roughWorkers) acknowledge(w *roughWorker, seen uint64) {
	for ; w.seen < seen; w.seen++ {
		e, at := w.ended[w.seen], w.endedAt[w.seen]
		spec := r.specs[e.Task.Job]
		if e.Outcome != workflow.OutcomeDone || w.lapsedAt.After(at) {
			continue
		}
		key := taskOf(e.Task, spec)
		r.doneAt[key] = at
		for _, started := range r.startedAt[key] {
			if started.After(at) && !spec.Speculative {
				r.broken = append(r.broken, fmt.Sprintf("%s started elsewhere between its end on %s and the acknowledgement", key, w.id))
			}
		}
	}
}

func (w *roughWorker) hold(leaseEndMS int64) {
	if now := time.Now(); now.After(w.leaseEnd) {
		w.lapsedAt = now
	}
	if end := time.UnixMilli(leaseEndMS); leaseEndMS > 0 && end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

func (r *roughWorkers) Stop(_ context.Context, to Target, o StopOrder) (int64, error) {
	return r.call(to.Worker, func(w *roughWorker) error {
		if o.Fence < w.fence {
			return &RefusedError{RefusedFence}
		}
		w.fence = o.Fence
		w.stopped[o.Run.Task] = max(w.stopped[o.Run.Task], o.Run.Number)
		if run := w.running[o.Run.Task]; run != nil && run.number <= o.Run.Number {
			w.finish(o.Run.Task, workflow.OutcomeStopped)
		}
		return nil
	})
}

func (r *roughWorkers) Throttle(context.Context, Target, ThrottleOrder) (int64, error) { return 0, nil }

func (w *roughWorker) finish(task workflow.TaskKey, outcome workflow.Outcome) {
	run := w.running[task]
	delete(w.running, task)
	w.stopped[task] = max(w.stopped[task], run.number)
	w.ended = append(w.ended, Ended{Position: uint64(len(w.ended) + 1),
		RunEnd: workflow.RunEnd{Task: task, Number: run.number, Outcome: outcome}})
	w.endedAt = append(w.endedAt, time.Now())
}

func (r *roughWorkers) Look(ctx context.Context, to Target, o LookOrder) (Report, error) {
	wait.For(ctx, fakeHold)
	var report Report
	clock, err := r.call(to.Worker, func(w *roughWorker) error {
		if o.Fence < w.fence {
			return &RefusedError{RefusedFence}
		}
		w.fence = o.Fence
		w.hold(o.LeaseEndMS)
		r.acknowledge(w, o.Seen)
		report = Report{}
		for task, run := range w.running {
			report.Running = append(report.Running, Running{Task: task, Number: run.number, Percent: r.random.IntN(100)})
		}
		for _, e := range w.ended {
			if e.Position > o.Seen && len(report.Ended) < 20 {
				report.Ended = append(report.Ended, e)
			}
		}
		report.Partial = len(report.Ended) == 20
		return nil
	})
	// A look that is carried out late makes its lists under the lock as well.
	r.mu.Lock()
	answer := report
	r.mu.Unlock()
	answer.ClockMS = clock
	return answer, err
}

func (r *roughWorkers) Ask(_ context.Context, call AskCall) (AskReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.calm && r.random.Float64() < 0.1 {
		return AskReply{}, errRough
	}
	reply := AskReply{Valid: 200 * time.Millisecond}
	for _, worker := range call.Workers {
		reply.Granted = append(reply.Granted, Grant{Worker: worker, Ticket: "t"})
	}
	return reply, nil
}

// work ends runs whose time or lease is over, until ctx ends.
func (r *roughWorkers) work(ctx context.Context) {
	for wait.For(ctx, 2*time.Millisecond) {
		r.mu.Lock()
		for _, w := range r.all {
			for task, run := range w.running {
				switch {
				case w.gone:
				case time.Now().After(w.leaseEnd):
					r.lines.note("lapses", w, task, run.number)
					w.finish(task, workflow.OutcomeLapsed)
				case time.Now().After(run.ends) && r.together(task, run.number):
					r.end(w, task)
				}
			}
		}
		r.mu.Unlock()
	}
}

// together reports whether a run may end by itself: a gang's members work only once
// all of them have begun, so none is done before.
func (r *roughWorkers) together(task workflow.TaskKey, run int) bool {
	spec := r.specs[task.Job]
	if !spec.Gang || r.complete[gangRun{task.StepKey, run}] {
		return true
	}
	present := map[int]bool{}
	for _, w := range r.all {
		for other, theirs := range w.running {
			if other.StepKey == task.StepKey && theirs.number == run && !w.gone {
				present[other.Index] = true
			}
		}
	}
	r.complete[gangRun{task.StepKey, run}] = len(present) == spec.Count
	return len(present) == spec.Count
}

// gangRun is one run of a gang.
type gangRun struct {
	step   workflow.StepKey
	number int
}

// end ends a run by itself; one in twenty fails.
func (r *roughWorkers) end(w *roughWorker, task workflow.TaskKey) {
	outcome := workflow.OutcomeDone
	if r.random.IntN(20) == 0 {
		outcome = workflow.OutcomeFailed
	}
	r.lines.note("ends "+outcome.String(), w, task, w.running[task].number)
	w.finish(task, outcome)
}
