package dispatch

import (
	"cmp"
	"container/heap"
	"iter"
	"slices"
)

// filters keep workers from a step, whatever else runs there now.
var filters = []struct {
	reason Reason
	passes func(s *Step, w *Worker) bool
}{
	{ReasonLabel, hasLabel},
	{ReasonSize, bigEnough},
	{ReasonSpareShare, enoughSpareShare},
}

// filter returns the workers that could run tasks of s if they were empty.
func filter(workers []*Worker, s *Step) []*Worker {
	out := make([]*Worker, 0, len(workers))
	for _, w := range workers {
		if rejection(s, w) == "" {
			out = append(out, w)
		}
	}
	return out
}

// suits reports whether w, nil for a worker that isn't there, is of the pool of s and
// could run its tasks if it were empty.
func eligible(s *Step, w *Worker) bool {
	return w != nil && w.Service == s.Service && rejection(s, w) == ""
}

// rejection returns why w can't run tasks of s at all, empty when it can.
func rejection(s *Step, w *Worker) Reason {
	for i := range filters {
		if !filters[i].passes(s, w) {
			return filters[i].reason
		}
	}
	return ""
}

func hasLabel(s *Step, w *Worker) bool {
	return s.Spec.Label == "" || slices.Contains(w.Labels, s.Spec.Label)
}

func bigEnough(s *Step, w *Worker) bool { return s.Spec.Demand().Fits(w.Capacity) }

// minSpareShare is the share, in percent, below which a worker's serving tasks
// leave too little to begin another task on spare processors there.
const minSpareShare = 10

// compatible keeps tasks that use spare processors off workers whose serving tasks
// leave next to nothing.
func enoughSpareShare(s *Step, w *Worker) bool {
	return !s.Spec.UsesSpare || !w.Serving || w.SpareShare >= minSpareShare
}

// crowding is how much a task of s and what runs on w disturb each other: tasks
// with a latency objective and tasks that use spare processors are kept apart
// while there is room elsewhere, and the latter among themselves.
func interference(s *Step, w *Worker) int {
	switch {
	case s.Spec.UsesSpare && w.Serving:
		return 1 + w.SpareRuns
	case s.Spec.UsesSpare, s.Spec.LatencyObjectiveMS > 0:
		return w.SpareRuns
	}
	return 0
}

// best returns the worker that comes first in an order.
func best(s *Step, workers []*Worker, order func(s *Step, a, b *Worker) int, ok func(*Worker) bool) *Worker {
	var chosen *Worker
	for _, w := range workers {
		if ok(w) && (chosen == nil || order(s, w, chosen) < 0) {
			chosen = w
		}
	}
	return chosen
}

// prefer orders workers by how well they suit one task of s: sound ones first, then
// those near the data, then those that no gang is about to fill, then the one that
// is left with the least room, which keeps whole workers free for gangs.
func comparePreference(s *Step, a, b *Worker) int {
	room := cmp.Compare(a.Free.MilliCPU, b.Free.MilliCPU)
	if s.Spec.UsesSpare {
		// What others leave is what such a task gets.
		room = -room
	}
	return cmp.Or(cmp.Compare(a.Penalty, b.Penalty), cmp.Compare(distance(s, a), distance(s, b)),
		cmp.Compare(interference(s, a), interference(s, b)), compareBools(a.Earmarked, b.Earmarked), room, a.rank-b.rank)
}

// compareRunCount puts workers first whose crash would take the fewest runs along.
func compareRunCount(s *Step, a, b *Worker) int {
	return cmp.Or(cmp.Compare(a.runCount(), b.runCount()), comparePreference(s, a, b))
}

// runs counts the runs on w, and those that the plan begins there.
func (w *Worker) runCount() int { return len(w.Releases) + w.plannedStarts }

// distance is 0 near the data of s, 1 elsewhere.
func distance(s *Step, w *Worker) int {
	if s.Spec.DataRack == "" || s.Spec.DataRack == w.Rack {
		return 0
	}
	return 1
}

// ranked is a worker with what it is ordered by.
type rankedWorker struct {
	worker             *Worker
	fitCount, distance int
}

// compareRoom puts sound workers first, then those near the data, then those with most
// room.
func compareRoom(a, b *rankedWorker) int {
	switch {
	case a.worker.Penalty != b.worker.Penalty:
		return a.worker.Penalty - b.worker.Penalty
	case a.distance != b.distance:
		return a.distance - b.distance
	case a.fitCount != b.fitCount:
		return b.fitCount - a.fitCount
	case a.worker.Free.MilliCPU != b.worker.Free.MilliCPU:
		return cmp.Compare(b.worker.Free.MilliCPU, a.worker.Free.MilliCPU)
	}
	return a.worker.rank - b.worker.rank
}

// byRoom yields workers by how many tasks of s fit now, most first, so that a gang
// spreads over few workers.
//
// Load that it answers: gangs and questions need the first few dozens of a thousand
// workers each. Only these are put in order.
func byRoom(s *Step, workers []*Worker) iter.Seq[*Worker] {
	order := make(roomHeap, len(workers))
	for i, w := range workers {
		order[i] = rankedWorker{w, fitCount(s, w), distance(s, w)}
	}
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

// roomHeap is a heap whose first worker is the next by room.
type roomHeap []rankedWorker

func (h roomHeap) Len() int           { return len(h) }
func (h roomHeap) Less(i, j int) bool { return compareRoom(&h[i], &h[j]) < 0 }
func (h roomHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push is part of heap.Interface.
func (h *roomHeap) Push(x any) { *h = append(*h, x.(rankedWorker)) }

// Pop drops the last entry; its value is of no use to anybody.
func (h *roomHeap) Pop() any {
	*h = (*h)[:len(*h)-1]
	return nil
}
