package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// minPreemptWait is the shortest wait for runs to end that makes a gang preempt less urgent
	// runs: a stop itself takes a fraction of a second.
	minPreemptWait = 600 * time.Millisecond
	// StopTime is the time from a decision until the resources of a stopped run are free. It
	// covers the call, the stop on the worker and the commit of the end.
	StopTime = 300 * time.Millisecond
	// minRemainingRunTime is the expected remaining run time below which a run isn't
	// preempted.
	minRemainingRunTime = 400 * time.Millisecond
)

// Preemption is a run that is stopped to free resources for a more urgent step. It resumes
// elsewhere from its checkpoint.
type Preemption struct {
	Task   workflow.TaskKey
	Worker string
	// Preemptor is the step that gets the resources.
	Preemptor workflow.StepKey
}

// victimSet is a set of runs to stop on a worker so that one more task fits there.
type victimSet struct {
	worker *Worker
	runs   []*Release
	// costMilliCPU is the CPU of the runs in thousandths of a core. needsTicket says that a
	// ticket for the worker must be queried first.
	costMilliCPU int64
	needsTicket  bool
}

// findVictims finds resources for n tasks of s on workers that may run it by preempting runs at
// the lowest cost; nil if there aren't enough.
//
// A gang needs resources on several workers at once and would otherwise wait for many runs to
// end. Runs that resume from a checkpoint lose no work when they are stopped, so preempting
// them costs little.
func (p *planner) findVictims(s *Step, workers []*Worker, n int) []victimSet {
	// candidate is a worker that may get tasks of s. scratch and preemptible are a copy of the
	// worker and its preemptible runs after the victim sets found on it so far. next is the
	// victim set for one more task, nil before it is searched for or if there is none.
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

// compareVictims puts sets that need no ticket query first, then those with the lowest cost.
func compareVictims(a, b *victimSet) int {
	return cmp.Or(compareBools(a.needsTicket, b.needsTicket), cmp.Compare(a.costMilliCPU, b.costMilliCPU),
		cmp.Compare(a.worker.Penalty, b.worker.Penalty), cmp.Compare(a.worker.ID, b.worker.ID))
}

// stoppingResources returns the resources on w of runs that are being stopped. A stop
// takes a third of a second; if these resources weren't counted, each decision until the
// runs have stopped would stop further runs for the same gang: twelve instead of two in
// all.
func (p *planner) stoppingResources(w *Worker) (total workflow.Resources) {
	for i := range w.Releases {
		if w.Releases[i].Stopping {
			total = total.Plus(w.Releases[i].Resources)
		}
	}
	return total
}

// preemptible returns the runs on w that s may preempt, the smallest first.
func (p *planner) preemptible(s *Step, w *Worker) []*Release {
	var runs []*Release
	for i := range w.Releases {
		r := &w.Releases[i]
		if r.Preemptible && r.Priority > s.Priority && r.At > p.now+minRemainingRunTime && !p.stopping[r.Task] {
			runs = append(runs, r)
		}
	}
	slices.SortFunc(runs, func(a, b *Release) int {
		return cmp.Or(cmp.Compare(a.Resources.MilliCPU, b.Resources.MilliCPU), workflow.CompareTasks(a.Task, b.Task))
	})
	return runs
}

// fitOneMore takes resources for one more task of s from those free on scratch, a copy of
// w, and, if they don't suffice, from runs in preemptible. It returns the runs and their
// cost, nil if the task doesn't fit.
func (p *planner) fitOneMore(s *Step, w, scratch *Worker, preemptible *[]*Release, placed int) *victimSet {
	v := &victimSet{worker: w, needsTicket: !p.mayStartOn(s, w)}
	if s.Spec.MaxPerWorker > 0 && s.Placed[w.ID]+placed >= s.Spec.MaxPerWorker {
		return nil
	}
	demand := s.Spec.Demand()
	for !demand.Fits(scratch.Free) {
		if len(*preemptible) == 0 {
			return nil
		}
		run := (*preemptible)[0]
		*preemptible = (*preemptible)[1:]
		scratch.Free = scratch.Free.Plus(run.Resources)
		v.runs = append(v.runs, run)
		v.costMilliCPU += run.Resources.MilliCPU
	}
	scratch.Free = scratch.Free.Minus(demand)
	return v
}

// recordPreemptible records the least urgent priority of the preemptible runs on w, so that
// pools without runs to preempt aren't searched.
func (p *planner) recordPreemptible(w *Worker) {
	for i := range w.Releases {
		if r := &w.Releases[i]; r.Preemptible {
			p.preemptiblePriority[w.Service] = max(p.preemptiblePriority[w.Service], r.Priority)
		}
	}
}

// preemptForGang stops less urgent runs for a gang that won't fit soon and reserves their
// resources. It queries first if tickets would expire before the runs have stopped. It
// reports whether it found enough runs to stop.
func (p *planner) preemptForGang(s *Step, granted []*Worker, n int) bool {
	if p.limits.Disabled.Preemption || s.Lateness > 0 || s.AwaitsResponse || p.preemptiblePriority[s.Service] <= s.Priority {
		return false
	}
	chosen := p.findVictims(s, granted, n)
	if chosen == nil {
		return false
	}
	var workers []*Worker
	ticketed := true
	for i := range chosen {
		p.reserveResources(chosen[i].worker, s.Spec.Demand())
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

// earmark makes other steps of the next decisions prefer other workers. Without it small urgent
// tasks take resources as they come free, and the gang keeps waiting although runs were stopped
// for it.
func (p *planner) earmark(workers []*Worker) {
	if p.limits.Disabled.Earmarks {
		return
	}
	for _, w := range workers {
		p.plan.Earmarks = append(p.plan.Earmarks, w.ID)
	}
}

// ticketOutlastsStops reports whether the ticket of s for w is valid until preempted runs have
// stopped.
func (p *planner) ticketOutlastsStops(s *Step, w *Worker) bool {
	return !s.NeedsPermit || s.Permits[w.ID].Expires >= p.now+StopTime+p.limits.TicketMargin
}
