package placement

import (
	"time"

	"github.com/tidwall/btree"
)

// taskKey identifies one task of a job.
type taskKey struct {
	job  string
	task int
}

// placedTask is a task on a worker with its expected end.
type placedTask struct {
	Placed
	expectedEnd time.Time
	// unbounded is set if the task has no expected end.
	unbounded bool
	worker    *worker
	// rack is the rack of the worker when the task was placed.
	rack     string
	stopping bool
	// preemptedEval is the last evaluation that planned to preempt the task.
	preemptedEval uint64
}

// preemptible reports whether urgent tasks may preempt the task. A
// non-idempotent task is never preempted, since it could not run a second time.
func (t *placedTask) preemptible() bool {
	return t.Policy == Batch && t.Idempotent && !t.Urgent && !t.stopping
}

// worker is the cluster's record of one worker.
type worker struct {
	Worker
	// announced is set from SetWorker to RemoveWorker. Without it, the record
	// exists only for tasks that are placed on the worker.
	announced bool
	used      Resources
	// free is the capacity less used. It is stored because freeIndex sorts by
	// it.
	free Resources
	// stopping is the part of used that belongs to tasks that are being
	// stopped.
	stopping Resources
	// preemptible is the part of used that urgent tasks could still preempt.
	preemptible Resources
	// unboundedUsage is the part of used that belongs to tasks without an
	// expected end.
	unboundedUsage Resources
	tasks          map[taskKey]*placedTask
	// indexed is set while the worker is in the freeIndex.
	indexed bool
	health  health
	// lastEnded is the task that was unplaced last.
	lastEnded Placed
	// reservation is valid in the evaluation numbered reservedEval.
	reservation  reservation
	reservedEval uint64
	// forecast is valid in the forecast numbered forecastID.
	forecast   workerForecast
	forecastID uint64
}

// schedulable reports whether tasks may be started on the worker.
func (w *worker) schedulable() bool {
	return w.announced && w.Live && !w.Draining && !w.health.quarantined
}

// countsForAdmission reports whether admission counts the worker's capacity.
func (w *worker) countsForAdmission() bool {
	return w.announced && (w.Live || w.AwaitingRenewal) && !w.Draining && !w.health.quarantined
}

// freeIndex orders the schedulable workers by free resources: free accelerators
// first where the worker has any, then CPU. One descent of a tree finds the worker
// with the least, but enough, of the first resource.
type freeIndex struct {
	withoutAccelerators *btree.BTreeG[*worker]
	withAccelerators    *btree.BTreeG[*worker]
	// pivot is a scratch key for the start of a descent.
	pivot *worker
}

// newFreeIndex returns an empty index.
func newFreeIndex() freeIndex {
	options := btree.Options{NoLocks: true}
	return freeIndex{
		withoutAccelerators: btree.NewBTreeGOptions(lessFree, options),
		withAccelerators:    btree.NewBTreeGOptions(lessFreeAccelerators, options),
		pivot:               &worker{},
	}
}

// lessFree orders workers by free CPU, free memory and ID.
func lessFree(a, b *worker) bool {
	if a.free.CPU != b.free.CPU {
		return a.free.CPU < b.free.CPU
	}
	if a.free.Memory != b.free.Memory {
		return a.free.Memory < b.free.Memory
	}
	return a.ID < b.ID
}

// lessFreeAccelerators orders workers by free accelerators, then as lessFree.
func lessFreeAccelerators(a, b *worker) bool {
	if a.free.Accelerators != b.free.Accelerators {
		return a.free.Accelerators < b.free.Accelerators
	}
	return lessFree(a, b)
}

// treeFor returns the tree that holds the worker.
func (f freeIndex) treeFor(w *worker) *btree.BTreeG[*worker] {
	if w.Capacity.Accelerators > 0 {
		return f.withAccelerators
	}
	return f.withoutAccelerators
}

// add adds the worker if it is schedulable and not indexed yet.
func (f freeIndex) add(w *worker) {
	if w.indexed || !w.schedulable() {
		return
	}
	f.treeFor(w).Set(w)
	w.indexed = true
}

// remove removes the worker. It must be called before the free resources or the
// capacity of the worker change.
func (f freeIndex) remove(w *worker) {
	if !w.indexed {
		return
	}
	f.treeFor(w).Delete(w)
	w.indexed = false
}

// ascend visits the schedulable workers on which need fits, tightest fit first,
// until visit returns false. If need contains no accelerators, workers with
// accelerators come last.
func (f freeIndex) ascend(need Resources, visit func(*worker) bool) {
	f.pivot.free = need
	proceed := true
	step := func(w *worker) bool {
		if !need.within(w.free) {
			return true
		}
		proceed = visit(w)
		return proceed
	}
	if need.Accelerators == 0 {
		f.withoutAccelerators.Ascend(f.pivot, step)
	}
	if proceed {
		f.withAccelerators.Ascend(f.pivot, step)
	}
}
