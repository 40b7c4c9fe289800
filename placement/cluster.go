package placement

import (
	"sort"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/btree"
)

// Errors of Place. After either of them the caller must not commit the start.
var (
	// ErrOverCommit means that the worker has fewer free resources than the
	// task needs.
	ErrOverCommit = errors.New("placement: worker has not enough free resources")
	// ErrPlacedTwice means that the task already occupies a worker.
	ErrPlacedTwice = errors.New("placement: task is already placed")
)

// Cluster is an incremental cache of the workers, the tasks placed on them and the
// queue. It is not safe for concurrent use: one goroutine owns it. The whole cache
// is derived from the owner's committed state and can be rebuilt from that state at
// any time.
type Cluster struct {
	opts    Options
	workers map[string]*worker
	// byID holds all workers, sorted by ID.
	byID []*worker
	free freeIndex
	// capacity is the sum over the workers that count for admission.
	capacity      Resources
	placed        map[taskKey]*placedTask
	jobs          map[string]*jobRecord
	byExpectedEnd *btree.BTreeG[*placedTask]
	queue         queue
	demand        demand
	// running is the usage of the running tasks with an expected end.
	running   profile
	estimator estimator
	// evaluations counts the calls of Evaluate. A value that is valid in one
	// evaluation only is stored with the number of that evaluation, in a field
	// named ...Eval, so that it needs no reset.
	evaluations uint64
	// reservedJobs are the IDs of the jobs that got a reservation in the last
	// evaluation.
	reservedJobs []string
	// forecasts counts the calls of planner.forecast. The forecast of a worker is
	// valid in the call whose number is its forecastID.
	forecasts uint64
	// unboundedUsage is the usage of the schedulable workers by tasks without an
	// expected end. Projections never count it as released.
	unboundedUsage Resources
}

// jobRecord is what the cluster knows of a job besides its queue entry: the number
// of its running tasks, for services their spread over racks and workers, and the
// workers on which it failed. The record is removed once the job has neither
// running tasks nor a queue entry.
type jobRecord struct {
	running   int
	racks     map[string]int
	workers   map[string]int
	failedOn  map[string]bool
	succeeded bool
}

// NewCluster returns an empty cluster.
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

// lessExpectedEnd orders placed tasks by expected end, then by job and task.
func lessExpectedEnd(a, b *placedTask) bool {
	if !a.expectedEnd.Equal(b.expectedEnd) {
		return a.expectedEnd.Before(b.expectedEnd)
	}
	if a.Job != b.Job {
		return a.Job < b.Job
	}
	return a.Task < b.Task
}

// SetWorker adds a worker or replaces its description. The tasks placed on it
// stay.
func (c *Cluster) SetWorker(w Worker) {
	record := c.workerFor(w.ID)
	c.free.remove(record)
	wasSchedulable := record.schedulable()
	c.countCapacity(record, -1)
	record.Worker = w
	record.announced = true
	record.free = w.Capacity.minus(record.used)
	c.countCapacity(record, 1)
	c.free.add(record)
	if record.schedulable() || wasSchedulable {
		c.queue.unblock(record.free)
	}
}

// RemoveWorker removes a worker. Tasks that are still placed on it stay
// recorded until they are unplaced.
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
	c.removeIdleWorker(w)
}

// countCapacity adds (sign 1) or subtracts (sign -1) the worker in the totals that
// admission uses, if the worker counts for admission.
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

// countRunning adds (sign 1) or subtracts (sign -1) a task with an expected end in
// the usage profile, if its worker counts for admission.
func (c *Cluster) countRunning(t *placedTask, sign int64) {
	if t.worker.countsForAdmission() {
		c.running.add(t, sign)
	}
}

// countUnbounded adds need to the usage of tasks without an expected end; a
// negative need subtracts.
func (c *Cluster) countUnbounded(w *worker, need Resources) {
	w.unboundedUsage = w.unboundedUsage.plus(need)
	if w.schedulable() {
		c.unboundedUsage = c.unboundedUsage.plus(need)
	}
}

// workerFor returns the record of a worker and creates it if there is none: a task
// may be placed on a worker that has not been announced yet.
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

// removeIdleWorker deletes the record of a worker that is not announced and has
// no tasks.
func (c *Cluster) removeIdleWorker(w *worker) {
	if w.announced || len(w.tasks) > 0 {
		return
	}
	delete(c.workers, w.ID)
	at := sort.Search(len(c.byID), func(i int) bool { return c.byID[i].ID >= w.ID })
	c.byID = append(c.byID[:at], c.byID[at+1:]...)
}

// Place records that a task occupies a worker. It checks a planned start against
// the committed state: with ErrPlacedTwice or ErrOverCommit nothing is recorded and
// the start must not be committed. Capacity is not checked on a worker that has not
// been announced yet.
func (c *Cluster) Place(p Placed) error {
	key := taskKey{job: p.Job, task: p.Task}
	if _, found := c.placed[key]; found {
		return ErrPlacedTwice
	}
	w := c.workerFor(p.Worker)
	// Two plans computed from the same state, or a plan older than the state,
	// can use the same free resources twice. Without this check the second
	// start would overload the worker.
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

// Unplace records that a task no longer occupies its worker, after its end is
// committed. Unknown tasks are ignored.
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
	c.removeIdleWorker(w)
}

// MarkStopping records that a stop of a running task was ordered. Later evaluations
// count the resources of the task as about to be free and preempt no further task
// for them. Tasks that are unknown or must not be preempted are ignored.
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

// setExpectedEnd sets the expected end from the high estimate of the run time.
// Services and tasks without a declared run time have no expected end.
func (c *Cluster) setExpectedEnd(t *placedTask) {
	t.unbounded = t.Policy == Service || t.Runtime <= 0
	if t.unbounded {
		return
	}
	runtime := c.estimator.runtime(t.Customer, t.Name, t.Runtime)
	t.expectedEnd = t.Started.Add(runtime.high)
}

// occupy allocates resources on a worker.
func (c *Cluster) occupy(w *worker, need Resources) {
	c.free.remove(w)
	w.used = w.used.plus(need)
	w.free = w.Capacity.minus(w.used)
	c.free.add(w)
}

// release frees resources on a worker and unblocks the shapes that fit now.
func (c *Cluster) release(w *worker, need Resources) {
	c.free.remove(w)
	w.used = w.used.minus(need)
	w.free = w.Capacity.minus(w.used)
	c.free.add(w)
	if w.schedulable() {
		c.queue.unblock(w.free)
	}
}

// trackPlaced updates the totals by job, customer and expected end for a task
// that was placed.
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
	c.countServiceTasks(t.Job, t.Policy, w.ID, t.rack, 1)
}

// trackUnplaced updates the totals by job, customer and expected end for a task
// that ended.
func (c *Cluster) trackUnplaced(t *placedTask, w *worker) {
	if t.unbounded {
		c.countUnbounded(w, t.Need.times(-1))
	} else {
		c.byExpectedEnd.Delete(t)
		c.countRunning(t, -1)
	}
	c.queue.customer(t.Customer).addUsage(t.Need.times(-1))
	c.jobRecordFor(t.Job).running--
	c.countServiceTasks(t.Job, t.Policy, w.ID, t.rack, -1)
	c.removeIdleJobRecord(t.Job)
}

// countServiceTasks adds n to the number of tasks of a service on a worker and
// in its rack. Other policies are ignored.
func (c *Cluster) countServiceTasks(job string, policy Policy, workerID, rack string, n int) {
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

// jobRecordFor returns the record of a job and creates it if there is none.
func (c *Cluster) jobRecordFor(job string) *jobRecord {
	r, found := c.jobs[job]
	if !found {
		r = &jobRecord{}
		c.jobs[job] = r
	}
	return r
}

// removeIdleJobRecord deletes the record of a job that has neither running tasks
// nor a queue entry.
func (c *Cluster) removeIdleJobRecord(job string) {
	r, found := c.jobs[job]
	if !found || r.running > 0 || c.queue.entries[job] != nil {
		return
	}
	c.discountFailures(job, r)
	delete(c.jobs, job)
}

// SetLimit limits the resources that the running tasks of a customer may use at
// once. A negative field means unlimited. Customers are unlimited by default.
func (c *Cluster) SetLimit(customer string, limit Resources) {
	record := c.queue.customer(customer)
	record.limited = true
	record.limit = limit
}

// SetWeight sets the weight of a customer. Under contention the shares of the
// customers are in the ratio of their weights. The weight must be positive and is 1
// by default.
func (c *Cluster) SetWeight(customer string, weight int) {
	invariant(weight > 0, "weight %d of customer %s", weight, customer)
	c.queue.customer(customer).weight = float64(weight)
}

// Used returns the resources that placed tasks use on the schedulable workers, and
// the capacity of the workers that count for admission.
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

// Placed returns a placed task, or the zero value if the task is not placed.
func (c *Cluster) Placed(job string, task int) Placed {
	t, found := c.placed[taskKey{job: job, task: task}]
	if !found {
		return Placed{}
	}
	return t.Placed
}
