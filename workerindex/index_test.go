package workerindex

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/bilberryferry/bilberryferry/resource"
	"github.com/bilberryferry/bilberryferry/speed"
)

func cores(n int) resource.Amount {
	return resource.Amount{MilliCPU: int64(n) * 1000, MemoryMB: int64(n) * 1000}
}

func never(string) bool { return false }

// selected returns the IDs that MostFree adds, in order.
func selected(x *Index, r Requirement, n int, skip func(string) bool) (ids []string) {
	x.MostFree(r, n, skip, func(id string) { ids = append(ids, id) })
	return ids
}

// Guards against a worker that is lost from the order, or found with resources that it no longer has,
// after any series of changes: a full recount finds the same workers in the same order.
func TestSelectionEqualsRecount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x, model := New(), map[string]Worker{}
		for range rapid.IntRange(0, 80).Draw(t, "changes") {
			id := fmt.Sprint("w", rapid.IntRange(0, 20).Draw(t, "worker"))
			if rapid.IntRange(0, 4).Draw(t, "remove") == 0 {
				x.Remove(id)
				delete(model, id)
				continue
			}
			w := Worker{
				ID: id, Service: rapid.SampledFrom([]string{"s", "t"}).Draw(t, "service"), Rack: fmt.Sprint("r", rapid.IntRange(0, 2).Draw(t, "rack")),
				Labels: rapid.SampledFrom([][]string{{"a"}, {"b"}, {"b", "a"}}).Draw(t, "labels"), Capacity: cores(rapid.IntRange(4, 5).Draw(t, "capacity")),
				Free: cores(rapid.IntRange(0, 4).Draw(t, "free")), SpeedClass: speed.Class(rapid.IntRange(0, 1).Draw(t, "speed")),
			}
			x.Set(w)
			model[id] = w
		}
		must.Eq(t, len(model), x.Len())
		r := Requirement{Service: "s", Label: rapid.SampledFrom([]string{"", "a"}).Draw(t, "label"), Demand: cores(rapid.IntRange(1, 5).Draw(t, "demand"))}
		found := selected(x, r, len(model)+1, never)
		var expected []string
		for id, w := range model {
			if w.Service == r.Service && (r.Label == "" || slices.Contains(w.Labels, r.Label)) && r.Demand.Fits(w.Capacity) {
				expected = append(expected, id)
			}
		}
		must.SliceContainsAll(t, expected, found)
		must.Eq(t, len(expected), len(found))
		checkOrder(t, model, r, found)
		least := 0
		x.LeastFree(r, len(model)+1, never, func(id string) {
			least++
			must.True(t, r.Demand.Fits(model[id].Free))
		})
		fitting := slices.DeleteFunc(expected, func(id string) bool { return !r.Demand.Fits(model[id].Free) })
		must.Eq(t, len(fitting), least)
	})
}

// checkOrder fails if a worker precedes one of its class that has more free CPU.
func checkOrder(t *rapid.T, model map[string]Worker, r Requirement, found []string) {
	byClass := map[classKey][]Worker{}
	for _, id := range found {
		w := model[id]
		key := classKey{w.Capacity, w.SpeedClass}
		byClass[key] = append(byClass[key], w)
	}
	for _, workers := range byClass {
		fitting := slices.DeleteFunc(slices.Clone(workers), func(w Worker) bool { return !r.Demand.Fits(w.Free) })
		must.True(t, slices.IsSortedFunc(fitting, func(a, b Worker) int { return cmp.Compare(b.Free.MilliCPU, a.Free.MilliCPU) }))
	}
}

// Guards against a step that needs a rare label and finds no worker among the first of a large pool.
func TestRareLabelIsFound(t *testing.T) {
	x := New()
	for i := range 5000 {
		labels := []string{"common"}
		if i%1000 == 999 {
			labels = []string{"rare"}
		}
		x.Set(Worker{ID: fmt.Sprintf("w%04d", i), Service: "s", Labels: labels, Capacity: cores(8), Free: cores(8 - i%2*4)})
	}
	must.Len(t, 5, selected(x, Requirement{Service: "s", Label: "rare", Demand: cores(1)}, 30, never))
	must.SliceEmpty(t, selected(x, Requirement{Service: "s", Label: "missing", Demand: cores(1)}, 30, never))
}

// Guards against a selection whose cost grows with the pool: it looks at the most free workers only.
func TestSelectionLooksAtFewWorkers(t *testing.T) {
	x := New()
	for i := range 5000 {
		x.Set(Worker{ID: fmt.Sprintf("w%04d", i), Service: "s", Capacity: cores(8), Free: cores(i % 9)})
	}
	looked := 0
	found := selected(x, Requirement{Service: "s", Demand: cores(1)}, 60, func(string) bool { looked++; return false })
	must.Len(t, 60, found)
	must.LessEq(t, scanFactor*60, looked)
}

// Guards against a step that has asked about the most free workers and finds no further ones.
func TestSkippedWorkersGiveWayToOthers(t *testing.T) {
	x := New()
	for i := range 100 {
		x.Set(Worker{ID: fmt.Sprintf("w%03d", i), Service: "s", Capacity: cores(8), Free: cores(8)})
	}
	found := selected(x, Requirement{Service: "s", Demand: cores(1)}, 20, func(id string) bool { return id < "w050" })
	must.Eq(t, "w050", found[0])
	must.Len(t, 20, found)
}

// Guards against tasks that run far from their data although there is room near it.
func TestWorkersInRackOfDataAreSelected(t *testing.T) {
	x := New()
	for i := range 1000 {
		x.Set(Worker{ID: fmt.Sprintf("w%04d", i), Service: "s", Rack: fmt.Sprint("r", i/12), Capacity: cores(8), Free: cores(8)})
	}
	found := selected(x, Requirement{Service: "s", Rack: "r70", Demand: cores(1)}, 20, never)
	must.SliceContainsSubset(t, found, []string{"w0840", "w0851"})
}

// Guards against a selection that grows with the number of labels: each worker may have one of its own.
func TestOwnLabelOfEachWorkerDoesNotWidenSelection(t *testing.T) {
	x := New()
	for i := range 5000 {
		x.Set(Worker{ID: fmt.Sprintf("w%04d", i), Service: "s", Labels: []string{"a", fmt.Sprint("own", i)}, Capacity: cores(8), Free: cores(8)})
	}
	must.Len(t, 60, selected(x, Requirement{Service: "s", Label: "a", Demand: cores(1)}, 60, never))
	must.Len(t, 60, selected(x, Requirement{Service: "s", Demand: cores(1)}, 60, never))
}
