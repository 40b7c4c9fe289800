package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// preemptWait is how long a step waits for ends at least before less urgent runs
	// are stopped for it: a stop takes a fraction of a second itself.
	preemptWait = 600 * time.Millisecond
	// StopTime is how long it takes from a decision until the room of a run that is
	// stopped has come free: the worker's own time, the commit of the end, the call.
	StopTime = 300 * time.Millisecond
	// nearEnd is the time before its expected end from which on a run isn't stopped
	// any more.
	nearEnd = 400 * time.Millisecond
)

// Preempt is a run that is stopped to make room for a more urgent step. It goes
// on elsewhere from its checkpoint.
type Preempt struct {
	Task   workflow.TaskKey
	Worker string
	// For is the step that gets the room.
	For workflow.StepKey
}

// victims is one more task's worth of room on a worker, and what has to be stopped
// for it.
type victims struct {
	worker *Worker
	runs   []*Release
	// cost is the room that the runs take, in thousandths of a core; unticketed
	// says that a ticket has to be asked for first.
	cost       int64
	unticketed bool
}

// preemption looks for room for n tasks of s, on workers that may run it, by
// stopping the least of what gives way to it; nil when there isn't enough.
//
// What it is for: a gang needs room on several workers at once and waits for
// many ends, while tasks that could go on later from a checkpoint hold the room.
// Their work isn't lost, so stopping them costs little.
func (p *planner) preemption(s *Step, workers []*Worker, n int) []victims {
	type candidate struct {
		scratch Worker
		worker  *Worker
		yields  []*Release
		next    *victims
	}
	var candidates []*candidate
	for _, w := range workers {
		c := &candidate{scratch: *w, worker: w, yields: p.yields(s, w)}
		c.scratch.Free = c.scratch.Free.Plus(p.comingFree(w))
		candidates = append(candidates, c)
	}
	var chosen []victims
	placed := map[string]int{}
	for len(chosen) < n {
		var best *candidate
		for _, c := range candidates {
			if c.next == nil {
				c.next = p.oneMore(s, c.worker, &c.scratch, &c.yields, placed[c.worker.ID])
			}
			if c.next != nil && (best == nil || compareVictims(c.next, best.next) < 0) {
				best = c
			}
		}
		if best == nil {
			return nil
		}
		chosen = append(chosen, *best.next)
		placed[best.worker.ID]++
		best.next = nil
	}
	return chosen
}

func compareVictims(a, b *victims) int {
	return cmp.Or(compareBools(a.unticketed, b.unticketed), cmp.Compare(a.cost, b.cost),
		cmp.Compare(a.worker.Penalty, b.worker.Penalty), cmp.Compare(a.worker.ID, b.worker.ID))
}

// comingFree is the room on w of runs that are being stopped.
//
// Failure guarded against: a stop takes a third of a second, and each decision until then
// would stop further runs for the same gang, twelve instead of two.
func (p *planner) comingFree(w *Worker) (room workflow.Resources) {
	for i := range w.Releases {
		if w.Releases[i].Stopping {
			room = room.Plus(w.Releases[i].Room)
		}
	}
	return room
}

// yields returns the runs on w that give way to s, the smallest first.
func (p *planner) yields(s *Step, w *Worker) []*Release {
	var list []*Release
	for i := range w.Releases {
		r := &w.Releases[i]
		if r.Yields && r.Priority > s.Priority && r.At > p.now+nearEnd && !p.stopping[r.Task] {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *Release) int {
		return cmp.Or(cmp.Compare(a.Room.MilliCPU, b.Room.MilliCPU), workflow.CompareTasks(a.Task, b.Task))
	})
	return list
}

// oneMore takes room for one more task of s out of scratch and yields, and says
// what it costs; nil when there is none.
func (p *planner) oneMore(s *Step, w, scratch *Worker, yields *[]*Release, placed int) *victims {
	v := &victims{worker: w, unticketed: !p.usable(s, w)}
	if s.Spec.MaxPerWorker > 0 && s.Placed[w.ID]+placed >= s.Spec.MaxPerWorker {
		return nil
	}
	room := s.Spec.Room()
	for !room.Fits(scratch.Free) {
		if len(*yields) == 0 {
			return nil
		}
		run := (*yields)[0]
		*yields = (*yields)[1:]
		scratch.Free = scratch.Free.Plus(run.Room)
		v.runs = append(v.runs, run)
		v.cost += run.Room.MilliCPU
	}
	scratch.Free = scratch.Free.Minus(room)
	return v
}

// noteYielding remembers whether the pool has runs that could be stopped, so that
// nothing is searched where it has none.
func (p *planner) noteYielding(w *Worker) {
	for i := range w.Releases {
		if r := &w.Releases[i]; r.Yields {
			p.yielding[w.Service] = max(p.yielding[w.Service], r.Priority)
		}
	}
}

// preemptForGang stops less urgent runs for a gang whose room is far off, and
// keeps the room that they leave. It asks for tickets first where they would not
// last until then. It reports whether it has taken care of the gang.
func (p *planner) preemptForGang(s *Step, granted []*Worker, n int) bool {
	if p.limits.Without.Preemption || s.Late > 0 || s.Asking || p.yielding[s.Service] <= s.Priority {
		return false
	}
	chosen := p.preemption(s, granted, n)
	if chosen == nil {
		return false
	}
	var workers []*Worker
	ticketed := true
	for i := range chosen {
		p.keepRoom(chosen[i].worker, s.Spec.Room())
		ticketed = ticketed && !chosen[i].unticketed && p.lasts(s, chosen[i].worker)
		if !slices.Contains(workers, chosen[i].worker) {
			workers = append(workers, chosen[i].worker)
		}
	}
	p.earmark(workers)
	if !ticketed {
		p.askInParts(s, workers, true)
		return true
	}
	for i := range chosen {
		for _, run := range chosen[i].runs {
			p.stopping[run.Task] = true
			p.plan.Preempts = append(p.plan.Preempts, Preempt{Task: run.Task, Worker: chosen[i].worker.ID, For: s.Key})
		}
	}
	return true
}

// earmark lets other steps of the next decisions prefer other workers. Without it,
// small urgent tasks take each piece of room as it comes free, and the gang waits
// on though runs were stopped for it.
func (p *planner) earmark(workers []*Worker) {
	if p.limits.Without.Earmarks {
		return
	}
	for _, w := range workers {
		p.plan.Earmarks = append(p.plan.Earmarks, w.ID)
	}
}

// lasts reports whether a ticket holds until room has come free by stops.
func (p *planner) lasts(s *Step, w *Worker) bool {
	return !s.NeedsPermit || s.Permits[w.ID].Expires >= p.now+StopTime+p.limits.TicketMargin
}
