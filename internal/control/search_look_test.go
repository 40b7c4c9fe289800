package control

import (
	"context"
	"fmt"
	"time"

	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// endsInList is how many ends one list holds.
const endsInList = 20

// aMoment passes between two calls of a caller: nothing happens at one instant.
const aMoment = time.Microsecond

// Look is answered once a run has ended or the wait is over.
func (r *searchWorkers) Look(ctx context.Context, to Target, o LookOrder) (Report, error) {
	defer time.Sleep(aMoment)
	w, f, err := r.reach(ctx, "look", to, workflow.Run{})
	if err != nil {
		return Report{}, err
	}
	changed, err := r.takeLook(w, o)
	if err != nil {
		return Report{}, err
	}
	if w.ID != to.Worker {
		// Its lists say which life they are of.
		return Report{}, ErrOtherIncarnation
	}
	r.holdLook(ctx, changed, o.Wait)
	r.mu.Lock()
	gone, report := w.gone, r.list(w, o.Seen)
	r.mu.Unlock()
	if f.unanswered || f.late > 0 || gone {
		<-ctx.Done()
	}
	if !wait.For(ctx, f.back) || ctx.Err() != nil {
		return Report{}, errNoAnswer
	}
	return report, nil
}

// takeLook takes in what a look carries, and returns what is closed when a run ends, nil
// where ends are to be listed already.
func (r *searchWorkers) takeLook(w *searchWorker, o LookOrder) (<-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.Fence < w.fence {
		return nil, &RefusedError{RefusedFence}
	}
	w.fence = o.Fence
	w.hold(o.LeaseEndMS, time.Now())
	r.acknowledge(w, o.Seen)
	if uint64(len(w.ended)) > o.Seen {
		return nil, nil
	}
	return w.changed, nil
}

func (r *searchWorkers) holdLook(ctx context.Context, changed <-chan struct{}, hold time.Duration) {
	if changed == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, hold)
	defer cancel()
	wait.Closed(ctx, changed)
}

// list makes up a worker's lists; r.mu is held.
func (r *searchWorkers) list(w *searchWorker, seen uint64) Report {
	now := time.Now()
	report := Report{ClockMS: w.clockMS(now)}
	for task, run := range w.running {
		percent := 0
		if !run.gang || r.complete[gangRun{task.StepKey, run.number}] {
			percent = int(min(99, 100*now.Sub(run.begun)/max(run.takes, 1)))
		}
		report.Running = append(report.Running, Running{Task: task, Number: run.number, Percent: percent})
	}
	most := endsInList
	if !r.calm && now.Before(w.partialUntil) {
		most, report.Partial = 1, true
	}
	for _, e := range w.ended {
		if e.Position <= seen {
			continue
		}
		if len(report.Ended) == most {
			report.Partial = true
			break
		}
		report.Ended = append(report.Ended, e)
	}
	return report
}

// acknowledge takes in that a leader has seen ends. One that it acknowledges stands
// for good, unless the lease lapsed between the end and that; r.mu is held.
func (r *searchWorkers) acknowledge(w *searchWorker, seen uint64) {
	w.told = max(w.told, seen)
	for ; w.seen < min(seen, uint64(len(w.ended))); w.seen++ {
		e, at := w.ended[w.seen], w.endedAt[w.seen]
		step := r.stepOf(e.Task)
		if e.Outcome != workflow.OutcomeDone || w.lapsedAt.After(at) || step == nil {
			continue
		}
		key := taskOf(e.Task, *step)
		r.doneAt[key] = at
		for _, started := range r.startedAt[key] {
			if started.After(at) && !step.Speculative {
				r.broken = append(r.broken, fmt.Sprintf("%s started elsewhere between its end on %s and the acknowledgement", key, w.ID))
			}
		}
	}
}

// workPause is how exactly runs end.
const workPause = 4 * time.Millisecond

// work ends runs whose time or lease is over, until ctx ends.
func (r *searchWorkers) work(ctx context.Context) {
	for wait.For(ctx, workPause) {
		r.mu.Lock()
		now, present := time.Now(), r.gangsPresent()
		for _, w := range r.all {
			for task, run := range w.running {
				switch {
				case now.After(w.leaseEnd):
					r.finish(w, task, workflow.OutcomeLapsed)
				case !r.together(task, run, present, now):
				case now.Sub(run.begun) < run.takes:
				case run.fails:
					r.finish(w, task, workflow.OutcomeFailed)
				default:
					r.finish(w, task, workflow.OutcomeDone)
				}
			}
		}
		r.mu.Unlock()
	}
}

// gangsPresent counts the members of each run of a gang that are there; r.mu is held.
func (r *searchWorkers) gangsPresent() map[gangRun]int {
	present := map[gangRun]int{}
	for _, w := range r.all {
		for task, run := range w.running {
			if run.gang {
				present[gangRun{task.StepKey, run.number}]++
			}
		}
	}
	return present
}

// together reports whether a run is at work: a gang's members are only once all of them
// have begun. r.mu is held.
func (r *searchWorkers) together(task workflow.TaskKey, run *searchRun, present map[gangRun]int, now time.Time) bool {
	if !run.gang {
		return true
	}
	gang := gangRun{task.StepKey, run.number}
	if r.complete[gang] {
		return true
	}
	if present[gang] < run.step.Count {
		run.begun = now
		return false
	}
	r.complete[gang] = true
	return true
}
