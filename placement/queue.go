package placement

import (
	"slices"
	"time"

	"github.com/tidwall/btree"
)

// class is the first key of the order of the queue.
type class uint8

const (
	classUrgent class = iota
	classService
	classNormal
	classCount
)

// entry is one job in the queue.
type entry struct {
	job     Job
	need    Resources
	runtime estimate
	class   class
	// latest is when a task must start to end by the deadline at the high
	// estimate of its run time; after hopeless not even the low one helps.
	latestStart       time.Time
	lastFeasibleStart time.Time
	// latestStartMicros and submittedMicros are latest and the submission in Unix
	// microseconds, for quick comparison.
	latestStartMicros int64
	submittedMicros   int64
	// large tasks need a great part of a worker.
	large    bool
	account  *customer
	subqueue *subqueue
	delayed  bool
	// planned counts the tasks that the evaluation numbered plannedEval starts.
	planned     int
	plannedEval uint64
	// skippedEval is the evaluation that is done with the entry, refusedEval the
	// one that refused it.
	skippedEval uint64
	refusedEval uint64
	// reservedEval is the evaluation that looked for a reservation.
	reservedEval    uint64
	demandBucketKey int64
}

func lessLatestStart(a, b *entry) bool {
	if a.latestStartMicros != b.latestStartMicros {
		return a.latestStartMicros < b.latestStartMicros
	}
	return lessSubmitted(a, b)
}

func lessSubmitted(a, b *entry) bool {
	if a.submittedMicros != b.submittedMicros {
		return a.submittedMicros < b.submittedMicros
	}
	return a.job.ID < b.job.ID
}

func lessLastFeasibleStart(a, b *entry) bool {
	if !a.lastFeasibleStart.Equal(b.lastFeasibleStart) {
		return a.lastFeasibleStart.Before(b.lastFeasibleStart)
	}
	return a.job.ID < b.job.ID
}

func lessNotBefore(a, b *entry) bool {
	if !a.job.NotBefore.Equal(b.job.NotBefore) {
		return a.job.NotBefore.Before(b.job.NotBefore)
	}
	return a.job.ID < b.job.ID
}

// shape is what makes entries alike for the question whether they fit now:
// the need of one task and, for gangs, the number of tasks.
type shape struct {
	need Resources
	gang int
}

// shapeState is shared by all entries of a shape. blocked holds from a search
// that found no room until some worker has room for one task again, so that a
// full cluster costs nothing per queued entry.
type shapeState struct {
	shape     shape
	subqueues []*subqueue
	blocked   bool
	// reservedMissEval is the evaluation in which entries of the shape found room that
	// a reservation keeps, misses how many did and minReservedMissRun the shortest run
	// time among them: whatever takes as long would find the same.
	reservedMissEval   uint64
	reservedMisses     int
	minReservedMissRun time.Duration
}

// hold notes that an entry found only room that is reserved.
func (s *shapeState) recordReservedMiss(evaluation uint64, runtime time.Duration) {
	if s.reservedMissEval != evaluation {
		s.reservedMissEval, s.reservedMisses, s.minReservedMissRun = evaluation, 0, runtime
	}
	s.reservedMisses++
	s.minReservedMissRun = min(s.minReservedMissRun, runtime)
}

// exhausted says that the evaluation has tried enough entries of the shape.
func (s *shapeState) exhausted(evaluation uint64) bool {
	return s.reservedMissEval == evaluation && s.reservedMisses > lookahead
}

// holds says whether an entry is known to find only reserved room.
func (s *shapeState) findsOnlyReserved(evaluation uint64, runtime time.Duration) bool {
	return s.reservedMissEval == evaluation && (s.reservedMisses > lookahead || runtime >= s.minReservedMissRun)
}

// line is the entries of one customer, class and shape, by latest start.
type subqueue struct {
	customer   *customer
	class      class
	shapeState *shapeState
	entries    *btree.BTreeG[*entry]
	// doneEval is the evaluation that is done with the line.
	doneEval uint64
	// cursor is how far the evaluation numbered cursorEval has come.
	cursor     *entry
	cursorEval uint64
}

// customer is the account of fair shares of one customer.
type customer struct {
	name    string
	used    Resources
	limited bool
	limit   Resources
	// weight scales the share that the customer is due; zero stands for one.
	weight       float64
	subqueues    [classCount]map[shape]*subqueue
	readyEntries int
	// booked is the work of the customer in the queue, and horizon the latest
	// of its deadlines since the queue last held nothing of it.
	queuedDemand resourceSeconds
	entries      int
	tasks        int
	horizon      time.Time
	// ready are the lines of readyClass that the evaluation numbered readyEval
	// may serve.
	readySubqueues []*subqueue
	readyEval      uint64
	readyClass     class
}

// share is how much of the capacity the customer uses, for its weight.
func (c *customer) share(capacity Resources) float64 {
	share := c.used.share(capacity)
	if c.weight > 0 {
		return share / c.weight
	}
	return share
}

func (c *customer) addUsage(need Resources) { c.used = c.used.plus(need) }

// allows says whether one more task keeps the customer within its limit.
func (c *customer) allows(need Resources) bool {
	if !c.limited {
		return true
	}
	after := c.used.plus(need)
	return withinLimit(after.CPU, c.limit.CPU) &&
		withinLimit(after.Memory, c.limit.Memory) &&
		withinLimit(after.Accelerators, c.limit.Accelerators)
}

// below treats a negative limit as none.
func withinLimit(amount, limit int64) bool { return limit < 0 || amount <= limit }

// queue holds the entries under the orders that the evaluation walks.
type queue struct {
	entries   map[string]*entry
	tasks     int
	customers map[string]*customer
	blocked   []*shapeState
	// serviceNeed is what the services in the queue ask for.
	serviceNeed         Resources
	shapes              map[shape]*shapeState
	shapeList           []*shapeState
	byLatestStart       *btree.BTreeG[*entry]
	bySubmitted         *btree.BTreeG[*entry]
	byLastFeasibleStart *btree.BTreeG[*entry]
	gangs               *btree.BTreeG[*entry]
	// large are the batch entries that need a great part of a worker, by
	// arrival.
	largeBatch *btree.BTreeG[*entry]
	delayed    *btree.BTreeG[*entry]
}

func newQueue() queue {
	return queue{
		entries:             map[string]*entry{},
		customers:           map[string]*customer{},
		shapes:              map[shape]*shapeState{},
		byLatestStart:       newOrder(lessLatestStart),
		bySubmitted:         newOrder(lessSubmitted),
		byLastFeasibleStart: newOrder(lessLastFeasibleStart),
		gangs:               newOrder(lessLatestStart),
		largeBatch:          newOrder(lessSubmitted),
		delayed:             newOrder(lessNotBefore),
	}
}

func newOrder(less func(a, b *entry) bool) *btree.BTreeG[*entry] {
	return btree.NewBTreeGOptions(less, btree.Options{NoLocks: true})
}

func (q *queue) customer(name string) *customer {
	if c, found := q.customers[name]; found {
		return c
	}
	c := &customer{name: name}
	for i := range c.subqueues {
		c.subqueues[i] = map[shape]*subqueue{}
	}
	q.customers[name] = c
	return c
}

// add takes an entry in; one with a NotBefore is held until release.
func (q *queue) add(e *entry) {
	q.entries[e.job.ID] = e
	q.tasks += e.job.Tasks
	q.countService(e, 1)
	q.byLastFeasibleStart.Set(e)
	if !e.job.NotBefore.IsZero() {
		e.delayed = true
		q.delayed.Set(e)
		return
	}
	q.makeReady(e)
}

func (q *queue) countService(e *entry, sign int64) {
	if e.job.Policy != Service {
		return
	}
	q.serviceNeed = q.serviceNeed.plus(e.need.times(sign * int64(e.job.Tasks)))
}

// ready puts an entry into the orders that starts are taken from.
func (q *queue) makeReady(e *entry) {
	e.delayed = false
	e.subqueue = q.subqueueFor(e)
	e.subqueue.entries.Set(e)
	e.subqueue.customer.readyEntries++
	q.bySubmitted.Set(e)
	if e.class != classNormal {
		return
	}
	q.byLatestStart.Set(e)
	if e.job.Policy == Gang {
		q.gangs.Set(e)
	}
	if e.large {
		q.largeBatch.Set(e)
	}
}

// shrink sets the number of tasks that an entry has left.
func (q *queue) setRemaining(e *entry, tasks int) {
	q.tasks += tasks - e.job.Tasks
	e.job.Tasks = tasks
}

func (q *queue) remove(e *entry) {
	delete(q.entries, e.job.ID)
	q.tasks -= e.job.Tasks
	q.countService(e, -1)
	q.byLastFeasibleStart.Delete(e)
	if e.delayed {
		q.delayed.Delete(e)
		return
	}
	e.subqueue.entries.Delete(e)
	e.subqueue.customer.readyEntries--
	q.dropEmptySubqueue(e.subqueue)
	q.bySubmitted.Delete(e)
	if e.class != classNormal {
		return
	}
	q.byLatestStart.Delete(e)
	if e.job.Policy == Gang {
		q.gangs.Delete(e)
	}
	if e.large {
		q.largeBatch.Delete(e)
	}
}

// release readies the entries whose NotBefore has passed.
func (q *queue) releaseDelayed(now time.Time) {
	for {
		e, found := q.delayed.Min()
		if !found || e.job.NotBefore.After(now) {
			return
		}
		q.delayed.Delete(e)
		q.makeReady(e)
	}
}

func shapeOf(e *entry) shape {
	s := shape{need: e.need}
	if e.job.Policy == Gang {
		s.gang = e.job.Tasks
	}
	return s
}

func (q *queue) subqueueFor(e *entry) *subqueue {
	s := shapeOf(e)
	c := q.customer(e.job.Customer)
	if sq, found := c.subqueues[e.class][s]; found {
		return sq
	}
	state, found := q.shapes[s]
	if !found {
		state = &shapeState{shape: s}
		q.shapes[s] = state
		q.shapeList = append(q.shapeList, state)
	}
	sq := &subqueue{customer: c, class: e.class, shapeState: state, entries: newOrder(lessLatestStart)}
	state.subqueues = append(state.subqueues, sq)
	c.subqueues[e.class][s] = sq
	return sq
}

func (q *queue) dropEmptySubqueue(sq *subqueue) {
	if sq.entries.Len() > 0 {
		return
	}
	delete(sq.customer.subqueues[sq.class], sq.shapeState.shape)
	sq.shapeState.subqueues = removeUnordered(sq.shapeState.subqueues, sq)
	if len(sq.shapeState.subqueues) == 0 {
		delete(q.shapes, sq.shapeState.shape)
		q.shapeList = removeUnordered(q.shapeList, sq.shapeState)
	}
}

// without removes one item of a list, whose order does not matter.
func removeUnordered[T comparable](list []T, item T) []T {
	at := slices.Index(list, item)
	last := len(list) - 1
	list[at] = list[last]
	var zero T
	list[last] = zero
	return list[:last]
}

// block marks a shape after a search that found no room for it.
func (q *queue) block(s *shapeState) {
	if s.blocked {
		return
	}
	s.blocked = true
	q.blocked = append(q.blocked, s)
}

// unblock clears the mark of every shape of which a task fits into free.
func (q *queue) unblock(free Resources) {
	kept := q.blocked[:0]
	for _, s := range q.blocked {
		if s.blocked && !s.shape.need.within(free) {
			kept = append(kept, s)
			continue
		}
		s.blocked = false
	}
	clear(q.blocked[len(kept):])
	q.blocked = kept
}
