package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// minPreemptWait is how long a step waits for ends at least before less urgent runs
	// are stopped for it: a stop takes a fraction of a second itself.
	minPreemptWait = 600 * time.Millisecond
	// StopTime is how long it takes from a decision until the room of a run that is
	// stopped has come free: the worker's own time, the commit of the end, the call.
	StopTime = 300 * time.Millisecond
	// minRemaining is the time before its expected end from which on a run isn't stopped
	// any more.
	minRemaining = 400 * time.Millisecond
)

// Preempt is a run that is stopped to make room for a more urgent step. It goes
// on elsewhere from its checkpoint.
type Preemption struct {
	Task   workflow.TaskKey
	Worker string
	// For is the step that gets the room.
	Preemptor workflow.StepKey
}

// victims is one more task's worth of room on a worker, and what has to be stopped
// for it.
type victimSet struct {
	worker *Worker
	runs   []*Release
	// cost is the room that the runs take, in thousandths of a core; unticketed
	// says that a ticket has to be asked for first.
	cost        int64
	needsTicket bool
}

// preemption looks for room for n tasks of s, on workers that may run it, by
// stopping the least of what gives way to it; nil when there isn't enough.
//
// What it is for: a gang needs room on several workers at once and waits for
// many ends, while tasks that could go on later from a checkpoint hold the room.
// Their work isn't lost, so stopping them costs little.
func (p *planner) findVictims(s *Step, workers []*Worker, n int) []victimSet {
	type candidate struct {
		scratch     Worker
		worker      *Worker
		preemptible []*Release
		next        *victimSet
	}
	var candidates []*candidate
	for _, w := range workers {
		c := &candidate{scratch: *w, worker: w, preemptible: p.preemptible(s, w)}
		c.scratch.Free = c.scratch.Free.Plus(p.stoppingResources(w))
		candidates = append(candidates, c)
	}
	var chosen []victimSet
	placed := map[string]int{}
	for len(chosen) < n {
		var best *candidate
		for _, c := range candidates {
			if c.next == nil {
				c.next = p.fitOneMore(s, c.worker, &c.scratch, &c.preemptible, placed[c.worker.ID])
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

func compareVictims(a, b *victimSet) int {
	return cmp.Or(compareBools(a.needsTicket, b.needsTicket), cmp.Compare(a.cost, b.cost),
		cmp.Compare(a.worker.Penalty, b.worker.Penalty), cmp.Compare(a.worker.ID, b.worker.ID))
}

// stoppingResources is the room on w of runs that are being stopped.
//
// Failure guarded against: a stop takes a third of a second, and each decision until then
// would stop further runs for the same gang, twelve instead of two.
func (p *planner) stoppingResources(w *Worker) (room workflow.Resources) {
	for i := range w.Releases {
		if w.Releases[i].Stopping {
			room = room.Plus(w.Releases[i].Resources)
		}
	}
	return room
}

// yields returns the runs on w that give way to s, the smallest first.
func (p *planner) preemptible(s *Step, w *Worker) []*Release {
	var list []*Release
	for i := range w.Releases {
		r := &w.Releases[i]
		if r.Preemptible && r.Priority > s.Priority && r.At > p.now+minRemaining && !p.stopping[r.Task] {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *Release) int {
		return cmp.Or(cmp.Compare(a.Resources.MilliCPU, b.Resources.MilliCPU), workflow.CompareTasks(a.Task, b.Task))
	})
	return list
}

// fitOneMore takes room for one more task of s out of scratch and yields, and says
// what it costs; nil when there is none.
func (p *planner) fitOneMore(s *Step, w, scratch *Worker, preemptible *[]*Release, placed int) *victimSet {
	v := &victimSet{worker: w, needsTicket: !p.mayStartOn(s, w)}
	if s.Spec.MaxPerWorker > 0 && s.Placed[w.ID]+placed >= s.Spec.MaxPerWorker {
		return nil
	}
	room := s.Spec.Demand()
	for !room.Fits(scratch.Free) {
		if len(*preemptible) == 0 {
			return nil
		}
		run := (*preemptible)[0]
		*preemptible = (*preemptible)[1:]
		scratch.Free = scratch.Free.Plus(run.Resources)
		v.runs = append(v.runs, run)
		v.cost += run.Resources.MilliCPU
	}
	scratch.Free = scratch.Free.Minus(room)
	return v
}

// recordPreemptible remembers whether the pool has runs that could be stopped, so that
// nothing is searched where it has none.
func (p *planner) recordPreemptible(w *Worker) {
	for i := range w.Releases {
		if r := &w.Releases[i]; r.Preemptible {
			p.preemptiblePriority[w.Service] = max(p.preemptiblePriority[w.Service], r.Priority)
		}
	}
}

// preemptForGang stops less urgent runs for a gang whose room is far off, and
// keeps the room that they leave. It asks for tickets first where they would not
// last until then. It reports whether it has taken care of the gang.
func (p *planner) preemptForGang(s *Step, granted []*Worker, n int) bool {
	if p.limits.Disabled.Preemption || s.Lateness > 0 || s.AwaitsAnswer || p.preemptiblePriority[s.Service] <= s.Priority {
		return false
	}
	chosen := p.findVictims(s, granted, n)
	if chosen == nil {
		return false
	}
	var workers []*Worker
	ticketed := true
	for i := range chosen {
		p.reserveRoom(chosen[i].worker, s.Spec.Demand())
		ticketed = ticketed && !chosen[i].needsTicket && p.ticketOutlastsStops(s, chosen[i].worker)
		if !slices.Contains(workers, chosen[i].worker) {
			workers = append(workers, chosen[i].worker)
		}
	}
	p.earmark(workers)
	if !ticketed {
		p.queryInParts(s, workers, true)
		return true
	}
	for i := range chosen {
		for _, run := range chosen[i].runs {
			p.stopping[run.Task] = true
			p.plan.Preemptions = append(p.plan.Preemptions, Preemption{Task: run.Task, Worker: chosen[i].worker.ID, Preemptor: s.Key})
		}
	}
	return true
}

// earmark lets other steps of the next decisions prefer other workers. Without it,
// small urgent tasks take each piece of room as it comes free, and the gang waits
// on though runs were stopped for it.
func (p *planner) earmark(workers []*Worker) {
	if p.limits.Disabled.Earmarks {
		return
	}
	for _, w := range workers {
		p.plan.Earmarks = append(p.plan.Earmarks, w.ID)
	}
}

// lasts reports whether a ticket holds until room has come free by stops.
func (p *planner) ticketOutlastsStops(s *Step, w *Worker) bool {
	return !s.NeedsPermit || s.Permits[w.ID].Expires >= p.now+StopTime+p.limits.TicketMargin
}
