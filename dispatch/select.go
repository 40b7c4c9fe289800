package dispatch

import (
	"cmp"
	"container/heap"
	"iter"
	"slices"
)

// filters are the requirements that a worker must meet for a step, regardless of the
// worker's free resources.
var filters = []struct {
	reason Reason
	passes func(s *Step, w *Worker) bool
}{
	{ReasonLabel, hasLabel},
	{ReasonSize, hasCapacity},
	{ReasonSpareShare, hasEnoughSpareCPU},
	{ReasonStartsRefused, acceptsStarts},
}

// filter returns the workers that meet the requirements of s, regardless of their free
// resources.
func filter(workers []*Worker, s *Step) []*Worker {
	passing := make([]*Worker, 0, len(workers))
	for _, w := range workers {
		if unmetRequirement(s, w) == "" {
			passing = append(passing, w)
		}
	}
	return passing
}

// eligible reports whether w is in the pool of s and meets the requirements of s,
// regardless of the free resources of w. A nil worker isn't eligible.
func eligible(s *Step, w *Worker) bool {
	return w != nil && w.Service == s.Service && unmetRequirement(s, w) == ""
}

// unmetRequirement returns the first requirement of s that w doesn't meet, empty for none.
func unmetRequirement(s *Step, w *Worker) Reason {
	for i := range filters {
		if !filters[i].passes(s, w) {
			return filters[i].reason
		}
	}
	return ""
}

// hasLabel reports whether w has the label that s requires; true if s requires none.
func hasLabel(s *Step, w *Worker) bool {
	return s.Spec.Label == "" || slices.Contains(w.Labels, s.Spec.Label)
}

// hasCapacity reports whether a task of s would fit on w if nothing else ran there.
func hasCapacity(s *Step, w *Worker) bool { return s.Spec.Demand().Fits(w.Capacity) }

// minSpareCPUPercent is the CPU percentage that serving tasks must leave on a worker for
// another task that uses spare CPU to start there.
const minSpareCPUPercent = 10

// hasEnoughSpareCPU reports whether w has spare CPU for tasks of s. Tasks that use spare
// CPU don't start on a worker where serving tasks leave less than minSpareCPUPercent.
func hasEnoughSpareCPU(s *Step, w *Worker) bool {
	return !s.Spec.UsesSpareCPU || !w.Serving || w.SpareCPUPercent >= minSpareCPUPercent
}

// acceptsStarts reports whether w hasn't just refused starts of s.
func acceptsStarts(s *Step, w *Worker) bool { return !s.Paused[w.ID] }

// interference ranks how much a task of s and the runs on w disturb each other. While
// other workers have free resources, tasks that use spare CPU are kept apart from tasks
// with a latency objective and from each other.
func interference(s *Step, w *Worker) int {
	switch {
	case s.Spec.UsesSpareCPU && w.Serving:
		return 1 + w.SpareRuns
	case s.Spec.UsesSpareCPU, s.Spec.LatencyObjectiveMS > 0:
		return w.SpareRuns
	}
	return 0
}

// best returns the first worker in the given order for which ok is true, nil if there is none.
func best(s *Step, workers []*Worker, order func(s *Step, a, b *Worker) int, ok func(*Worker) bool) *Worker {
	var chosen *Worker
	for _, w := range workers {
		if ok(w) && (chosen == nil || order(s, w, chosen) < 0) {
			chosen = w
		}
	}
	return chosen
}

// comparePreference orders workers by how well they suit one task of s: healthy ones first,
// then fast ones if s is tight, then those near the data, with little interference and without an
// earmark, then slow ones if s has slack, then those in the data centre that s prefers, then the one
// with the least free resources, which keeps whole workers free for gangs.
func comparePreference(s *Step, a, b *Worker) int {
	cpuOrder := cmp.Compare(a.Free.MilliCPU, b.Free.MilliCPU)
	if s.Spec.UsesSpareCPU {
		// Tasks that use spare CPU get the CPU that other runs leave idle, so the worker
		// with the most free CPU suits best.
		cpuOrder = -cpuOrder
	}
	return cmp.Or(cmp.Compare(a.Penalty, b.Penalty), compareFastFirst(s, a, b), cmp.Compare(distance(s, a), distance(s, b)),
		cmp.Compare(interference(s, a), interference(s, b)), compareBools(a.Earmarked, b.Earmarked), compareSlowFirst(s, a, b),
		cmp.Compare(dataCentreRank(s, a, 1), dataCentreRank(s, b, 1)), cpuOrder, a.rank-b.rank)
}

// compareRunCount puts workers with the fewest runs first, so that a crash of the worker ends
// as few of them as possible.
func compareRunCount(s *Step, a, b *Worker) int {
	return cmp.Or(cmp.Compare(a.runCount(), b.runCount()), comparePreference(s, a, b))
}

// runCount counts the runs on w, including the runs that the plan starts there.
func (w *Worker) runCount() int { return len(w.Releases) + w.plannedStarts }

// distance is 0 in the rack that holds the data of s, 1 elsewhere; 0 everywhere if s names no
// such rack.
func distance(s *Step, w *Worker) int {
	if s.Spec.DataRack == "" || s.Spec.DataRack == w.Rack {
		return 0
	}
	return 1
}

// rankedWorker is a worker with the values that order it.
type rankedWorker struct {
	worker             *Worker
	fitCount, distance int
	speedRank          int
	dataCentreRank     int
	roomRank           int
	milliCPU           int64
}

// compareFree puts healthy workers first, then those of the preferred speed, then those near the
// data, then those in the preferred data centre, then those whose room isn't earmarked, then those on which
// the most tasks fit.
func compareFree(a, b *rankedWorker) int {
	switch {
	case a.worker.Penalty != b.worker.Penalty:
		return a.worker.Penalty - b.worker.Penalty
	case a.speedRank != b.speedRank:
		return a.speedRank - b.speedRank
	case a.distance != b.distance:
		return a.distance - b.distance
	case a.dataCentreRank != b.dataCentreRank:
		return a.dataCentreRank - b.dataCentreRank
	case a.roomRank != b.roomRank:
		return a.roomRank - b.roomRank
	case a.fitCount != b.fitCount:
		return b.fitCount - a.fitCount
	case a.milliCPU != b.milliCPU:
		return cmp.Compare(b.milliCPU, a.milliCPU)
	}
	return a.worker.rank - b.worker.rank
}

// Values of rankedWorker.roomRank.
const (
	roomFree = iota
	// roomEarmarked: the room is earmarked for a gang.
	roomEarmarked
	roomNone
)

// roomRank orders workers for a step of which n tasks fit on the worker: those with room, then those whose
// room is earmarked for a gang, then those without room.
//
// The workers on which a gang collects its resources have the most free ones. Urgent steps would query just
// these workers, get tickets for no others and take the gang's resources, so that it never starts. Steps
// without queries can choose among all workers when they start.
func roomRank(s *Step, w *Worker, n int) int {
	switch {
	case n <= 0:
		return roomNone
	case w.Earmarked && s.NeedsPermit && !s.reserving:
		return roomEarmarked
	}
	return roomFree
}

// byFree yields the workers in the order of compareFree: among equally healthy and near
// ones, those on which the most tasks of s fit come first, so that a gang spreads over few
// workers. It sorts lazily with a heap, since gangs and queries need only the first few
// dozen of a thousand workers.
func byFree(s *Step, workers []*Worker) iter.Seq[*Worker] {
	order := make(freeHeap, len(workers))
	for i, w := range workers {
		n := fitCount(s, w)
		order[i] = rankedWorker{w, n, distance(s, w), speedRank(s, w, n), dataCentreRank(s, w, n), roomRank(s, w, n), w.Free.MilliCPU}
	}
	return order.pop()
}

// byUnclaimed yields the workers like byFree, without the room that other gangs claim.
func byUnclaimed(s *Step, workers []*Worker) iter.Seq[*Worker] {
	order := make(freeHeap, len(workers))
	for i, w := range workers {
		free := w.Free
		free.MilliCPU -= w.claimedMilliCPU
		n := fitCountIn(s, w, free)
		order[i] = rankedWorker{w, n, distance(s, w), speedRank(s, w, n), dataCentreRank(s, w, n), roomRank(s, w, n), free.MilliCPU}
	}
	return order.pop()
}

// pop yields the workers in order.
func (h *freeHeap) pop() iter.Seq[*Worker] {
	order := *h
	return func(yield func(*Worker) bool) {
		heap.Init(&order)
		for len(order) > 0 {
			if !yield(order[0].worker) {
				return
			}
			heap.Pop(&order)
		}
	}
}

// freeHeap is a heap of workers in the order of compareFree.
type freeHeap []rankedWorker

func (h freeHeap) Len() int           { return len(h) }
func (h freeHeap) Less(i, j int) bool { return compareFree(&h[i], &h[j]) < 0 }
func (h freeHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *freeHeap) Push(x any) { *h = append(*h, x.(rankedWorker)) }

// Pop removes the last entry. It returns nil, since no caller uses the value.
func (h *freeHeap) Pop() any {
	*h = (*h)[:len(*h)-1]
	return nil
}
