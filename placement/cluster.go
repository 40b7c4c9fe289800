package placement

import (
	"sort"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/btree"
)

// Errors of Place. They mean that the start must not be committed.
var (
	// ErrOverCommit: the worker has less free than the task needs.
	ErrOverCommit = errors.New("placement: worker has not enough free resources")
	// ErrPlacedTwice: the task already occupies a worker.
	ErrPlacedTwice = errors.New("placement: task is already placed")
)

// Cluster is an incremental cache of the workers, the tasks placed on them and
// the queue. It is owned by one goroutine. What it holds is derived from the
// owner's committed state and can be rebuilt from it at any time.
type Cluster struct {
	opts          Options
	workers       map[string]*worker
	byID          []*worker
	free          freeIndex
	capacity      Resources
	placed        map[taskKey]*placedTask
	jobs          map[string]*jobRecord
	byExpectedEnd *btree.BTreeG[*placedTask]
	queue         queue
	demand        demand
	running       profile
	estimator     estimator
	// evaluations numbers the calls of Evaluate, to tell marks of one from
	// those of another without clearing them.
	evaluations uint64
	// promised are the jobs that hold a reservation since the last evaluation.
	reservedJobs []string
	// forecasts numbers the forecasts in the same way.
	forecasts uint64
	// unboundedUsage is what services use of the open workers, which no
	// projection gives back.
	unboundedUsage Resources
}

// jobRecord is what is known of a job beside its queue entry: how many of its
// tasks run, for services where, and where it failed. It goes when the job has neither tasks nor an entry.
type jobRecord struct {
	running   int
	racks     map[string]int
	workers   map[string]int
	failedOn  map[string]bool
	succeeded bool
}

// NewCluster makes an empty cluster.
func NewCluster(opts Options) *Cluster {
	options := btree.Options{NoLocks: true}
	return &Cluster{
		opts:          opts,
		workers:       map[string]*worker{},
		free:          newFreeIndex(),
		placed:        map[taskKey]*placedTask{},
		jobs:          map[string]*jobRecord{},
		byExpectedEnd: btree.NewBTreeGOptions(lessExpectedEnd, options),
		queue:         newQueue(),
		demand:        newDemand(),
		estimator:     newEstimator(opts),
	}
}

func lessExpectedEnd(a, b *placedTask) bool {
	if !a.expectedEnd.Equal(b.expectedEnd) {
		return a.expectedEnd.Before(b.expectedEnd)
	}
	if a.Job != b.Job {
		return a.Job < b.Job
	}
	return a.Task < b.Task
}

// SetWorker adds a worker or replaces what is known of it. Tasks on it stay.
func (c *Cluster) SetWorker(w Worker) {
	entry := c.workerFor(w.ID)
	c.free.remove(entry)
	wasSchedulable := entry.schedulable()
	c.countCapacity(entry, -1)
	entry.Worker = w
	entry.announced = true
	entry.free = w.Capacity.minus(entry.used)
	c.countCapacity(entry, 1)
	c.free.add(entry)
	if entry.schedulable() || wasSchedulable {
		c.queue.unblock(entry.free)
	}
}

// RemoveWorker forgets a worker. Tasks that are still placed on it stay in the
// account until they are unplaced.
func (c *Cluster) RemoveWorker(id string) {
	w, found := c.workers[id]
	if !found {
		return
	}
	c.free.remove(w)
	c.countCapacity(w, -1)
	w.announced = false
	w.Capacity = Resources{}
	w.free = Resources{}.minus(w.used)
	c.forgetWorker(w)
}

// countCapacity keeps the sum over workers that admission counts on.
func (c *Cluster) countCapacity(w *worker, sign int64) {
	if !w.countsForAdmission() {
		return
	}
	c.capacity = c.capacity.plus(w.Capacity.times(sign))
	c.unboundedUsage = c.unboundedUsage.plus(w.unboundedUsage.times(sign))
	for _, t := range w.tasks {
		if !t.unbounded {
			c.running.add(t, sign)
		}
	}
}

func (c *Cluster) countRunning(t *placedTask, sign int64) {
	if t.worker.countsForAdmission() {
		c.running.add(t, sign)
	}
}

func (c *Cluster) countUnbounded(w *worker, need Resources) {
	w.unboundedUsage = w.unboundedUsage.plus(need)
	if w.schedulable() {
		c.unboundedUsage = c.unboundedUsage.plus(need)
	}
}

// workerFor finds the account of a worker, and opens one for a worker that
// only a task has named so far.
func (c *Cluster) workerFor(id string) *worker {
	if w, found := c.workers[id]; found {
		return w
	}
	w := &worker{Worker: Worker{ID: id}, tasks: map[taskKey]*placedTask{}}
	c.workers[id] = w
	at := sort.Search(len(c.byID), func(i int) bool { return c.byID[i].ID >= id })
	c.byID = append(c.byID, nil)
	copy(c.byID[at+1:], c.byID[at:])
	c.byID[at] = w
	return w
}

func (c *Cluster) forgetWorker(w *worker) {
	if w.announced || len(w.tasks) > 0 {
		return
	}
	delete(c.workers, w.ID)
	at := sort.Search(len(c.byID), func(i int) bool { return c.byID[i].ID >= w.ID })
	c.byID = append(c.byID[:at], c.byID[at+1:]...)
}

// Place records that a task occupies a worker. It is the check of a start
// against the committed state: on an error nothing was recorded and the start
// must not be committed. A worker that was not announced yet is not checked.
func (c *Cluster) Place(p Placed) error {
	key := taskKey{job: p.Job, task: p.Task}
	if _, found := c.placed[key]; found {
		return ErrPlacedTwice
	}
	w := c.workerFor(p.Worker)
	// Two plans computed from the same state, or a plan older than the state,
	// ask for the same room twice. Without this check the second start would
	// overload the worker.
	if w.announced && !p.Need.within(w.free) {
		return ErrOverCommit
	}
	t := &placedTask{Placed: p, worker: w, rack: w.Rack}
	c.setExpectedEnd(t)
	w.health.probing = w.health.quarantined
	w.tasks[key] = t
	c.placed[key] = t
	c.occupy(w, p.Need)
	c.trackPlaced(t, w)
	invariant(!w.announced || w.used.within(w.Capacity), "worker %s uses %v of %v", w.ID, w.used, w.Capacity)
	return nil
}

// Unplace records the committed end of a task. Unknown tasks are ignored.
func (c *Cluster) Unplace(job string, task int) {
	key := taskKey{job: job, task: task}
	t, found := c.placed[key]
	if !found {
		return
	}
	w := c.workers[t.Worker]
	delete(c.placed, key)
	delete(w.tasks, key)
	w.lastEnded = t.Placed
	w.health.probing = w.health.probing && len(w.tasks) > 0
	if t.stopping {
		w.stopping = w.stopping.minus(t.Need)
	}
	if t.preemptible() {
		w.preemptible = w.preemptible.minus(t.Need)
	}
	c.trackUnplaced(t, w)
	c.release(w, t.Need)
	c.forgetWorker(w)
}

// Stopping records that a running task was told to stop, so that its room is
// counted on and not asked for a second time. Unknown tasks are ignored.
func (c *Cluster) MarkStopping(job string, task int) {
	t, found := c.placed[taskKey{job: job, task: task}]
	if !found || !t.preemptible() {
		return
	}
	t.stopping = true
	w := c.workers[t.Worker]
	w.stopping = w.stopping.plus(t.Need)
	w.preemptible = w.preemptible.minus(t.Need)
}

func (c *Cluster) setExpectedEnd(t *placedTask) {
	t.unbounded = t.Policy == Service || t.Runtime <= 0
	if t.unbounded {
		return
	}
	run := c.estimator.runtime(t.Customer, t.Name, t.Runtime)
	t.expectedEnd = t.Started.Add(run.high)
}

// occupy takes room on a worker.
func (c *Cluster) occupy(w *worker, need Resources) {
	c.free.remove(w)
	w.used = w.used.plus(need)
	w.free = w.Capacity.minus(w.used)
	c.free.add(w)
}

// vacate gives room back and wakes the shapes that now fit.
func (c *Cluster) release(w *worker, need Resources) {
	c.free.remove(w)
	w.used = w.used.minus(need)
	w.free = w.Capacity.minus(w.used)
	c.free.add(w)
	if w.schedulable() {
		c.queue.unblock(w.free)
	}
}

func (c *Cluster) trackPlaced(t *placedTask, w *worker) {
	if t.unbounded {
		c.countUnbounded(w, t.Need)
	} else {
		c.byExpectedEnd.Set(t)
		c.countRunning(t, 1)
	}
	if t.preemptible() {
		w.preemptible = w.preemptible.plus(t.Need)
	}
	c.queue.customer(t.Customer).addUsage(t.Need)
	c.jobRecordFor(t.Job).running++
	c.countServiceSpread(t.Job, t.Policy, w.ID, t.rack, 1)
}

func (c *Cluster) trackUnplaced(t *placedTask, w *worker) {
	if t.unbounded {
		c.countUnbounded(w, t.Need.times(-1))
	} else {
		c.byExpectedEnd.Delete(t)
		c.countRunning(t, -1)
	}
	c.queue.customer(t.Customer).addUsage(t.Need.times(-1))
	c.jobRecordFor(t.Job).running--
	c.countServiceSpread(t.Job, t.Policy, w.ID, t.rack, -1)
	c.dropIdleJobRecord(t.Job)
}

// countServiceSpread counts the tasks of a service by worker and rack.
func (c *Cluster) countServiceSpread(job string, policy Policy, workerID, rack string, n int) {
	if policy != Service {
		return
	}
	r := c.jobRecordFor(job)
	if r.workers == nil {
		r.workers = map[string]int{}
		r.racks = map[string]int{}
	}
	r.workers[workerID] += n
	r.racks[rack] += n
}

func (c *Cluster) jobRecordFor(job string) *jobRecord {
	r, found := c.jobs[job]
	if !found {
		r = &jobRecord{}
		c.jobs[job] = r
	}
	return r
}

// dropIdleJobRecord forgets a job that neither runs nor waits.
func (c *Cluster) dropIdleJobRecord(job string) {
	r, found := c.jobs[job]
	if !found || r.running > 0 || c.queue.entries[job] != nil {
		return
	}
	c.discountFailures(job, r)
	delete(c.jobs, job)
}

// SetLimit bounds what the running tasks of a customer may use at once; a
// negative field is unlimited. Without a call there is no bound.
func (c *Cluster) SetLimit(customer string, limit Resources) {
	account := c.queue.customer(customer)
	account.limited = true
	account.limit = limit
}

// SetWeight sets the share of the capacity that a customer is due in contention
// with others, 1 without a call. The weight must be positive.
func (c *Cluster) SetWeight(customer string, weight int) {
	invariant(weight > 0, "weight %d of customer %s", weight, customer)
	c.queue.customer(customer).weight = float64(weight)
}

// Used sums what the placed tasks use and what the open workers have.
func (c *Cluster) Used() (used, capacity Resources) {
	for _, w := range c.byID {
		if w.schedulable() {
			used = used.plus(w.used)
		}
	}
	return used, c.capacity
}

// farFuture sorts after every real time.
var farFuture = time.Unix(1<<40, 0)

// Placed returns a placed task; the zero value when it is not placed.
func (c *Cluster) Placed(job string, task int) Placed {
	t, found := c.placed[taskKey{job: job, task: task}]
	if !found {
		return Placed{}
	}
	return t.Placed
}
