package placement

import (
	"time"

	"github.com/tidwall/btree"
)

// taskKey names one task of a job.
type taskKey struct {
	job  string
	task int
}

// placedTask is a task on a worker together with its expected end.
type placedTask struct {
	Placed
	expectedEnd time.Time
	unbounded   bool
	worker      *worker
	rack        string
	stopping    bool
	// preemptedEval is the evaluation that planned to stop the task.
	preemptedEval uint64
}

// preemptible says whether the task may be stopped for urgent work. Work that
// is not idempotent is never stopped: it could not be run a second time.
func (t *placedTask) preemptible() bool {
	return t.Policy == Batch && t.Idempotent && !t.Urgent && !t.stopping
}

// worker is the account of one worker.
type worker struct {
	Worker
	// known is false while only tasks name the worker and no announcement has.
	announced bool
	used      Resources
	// free is the capacity less what is used, kept beside for the index.
	free Resources
	// leaving is the part of used that is being stopped for urgent work.
	stopping Resources
	// stoppable is the part of used that urgent work could still have.
	preemptible Resources
	// endless is the part of used that services hold.
	unboundedUsage Resources
	tasks          map[taskKey]*placedTask
	indexed        bool
	health         health
	// ended is the task that was unplaced last.
	lastEnded Placed
	// reserved belongs to the evaluation numbered reservedEval.
	reservation  reservation
	reservedEval uint64
	// outlook belongs to the forecast numbered forecastID.
	forecast   workerForecast
	forecastID uint64
}

// open says whether tasks may be started on the worker at all.
func (w *worker) schedulable() bool {
	return w.announced && w.Live && !w.Draining && !w.health.quarantined
}

// counted says whether admission counts on the worker's capacity.
func (w *worker) countsForAdmission() bool {
	return w.announced && (w.Live || w.AwaitingRenewal) && !w.Draining && !w.health.quarantined
}

// freeIndex orders open workers by what they have left, so that the tightest
// worker with enough of the leading resource is found by one descent.
type freeIndex struct {
	withoutAccelerators *btree.BTreeG[*worker]
	withAccelerators    *btree.BTreeG[*worker]
	// pivot is where the next descent starts.
	pivot *worker
}

func newFreeIndex() freeIndex {
	options := btree.Options{NoLocks: true}
	return freeIndex{
		withoutAccelerators: btree.NewBTreeGOptions(lessFree, options),
		withAccelerators:    btree.NewBTreeGOptions(lessFreeAccelerators, options),
		pivot:               &worker{},
	}
}

func lessFree(a, b *worker) bool {
	if a.free.CPU != b.free.CPU {
		return a.free.CPU < b.free.CPU
	}
	if a.free.Memory != b.free.Memory {
		return a.free.Memory < b.free.Memory
	}
	return a.ID < b.ID
}

func lessFreeAccelerators(a, b *worker) bool {
	if a.free.Accelerators != b.free.Accelerators {
		return a.free.Accelerators < b.free.Accelerators
	}
	return lessFree(a, b)
}

func (x freeIndex) treeFor(w *worker) *btree.BTreeG[*worker] {
	if w.Capacity.Accelerators > 0 {
		return x.withAccelerators
	}
	return x.withoutAccelerators
}

func (x freeIndex) add(w *worker) {
	if w.indexed || !w.schedulable() {
		return
	}
	x.treeFor(w).Set(w)
	w.indexed = true
}

// drop must be called before free or the capacity of the worker changes.
func (x freeIndex) remove(w *worker) {
	if !w.indexed {
		return
	}
	x.treeFor(w).Delete(w)
	w.indexed = false
}

// ascend visits open workers with room for need, tightest first; workers with
// accelerators come last for work that needs none.
func (x freeIndex) ascend(need Resources, visit func(*worker) bool) {
	x.pivot.free = need
	more := true
	step := func(w *worker) bool {
		if !need.within(w.free) {
			return true
		}
		more = visit(w)
		return more
	}
	if need.Accelerators == 0 {
		x.withoutAccelerators.Ascend(x.pivot, step)
	}
	if more {
		x.withAccelerators.Ascend(x.pivot, step)
	}
}
