package placement

import (
	"slices"
	"time"

	"github.com/tidwall/btree"
)

// class is the priority class of an entry, highest first.
type class uint8

const (
	classUrgent class = iota
	classService
	classNormal
	// classCount is the number of classes.
	classCount
)

// entry is one job in the queue.
type entry struct {
	job     Job
	need    Resources
	runtime estimate
	class   class
	// latestStart is when a task must start to meet the deadline at the high
	// estimate of its run time. After lastFeasibleStart it misses the deadline
	// even at the low estimate.
	latestStart       time.Time
	lastFeasibleStart time.Time
	// latestStartMicros and submittedMicros are latestStart and the submission
	// time in Unix microseconds, for fast comparison.
	latestStartMicros int64
	submittedMicros   int64
	// large marks a batch job whose tasks need a large share of a worker.
	large    bool
	customer *customer
	subqueue *subqueue
	// delayed is set while the entry waits for its NotBefore.
	delayed bool
	// planned is the number of tasks that the evaluation numbered plannedEval
	// starts.
	planned     int
	plannedEval uint64
	// skippedEval is the number of the last evaluation that stopped trying to
	// start the entry, and refusedEval that of the evaluation that refused the
	// job.
	skippedEval uint64
	refusedEval uint64
	// reservedEval is the number of the last evaluation that tried to reserve
	// resources for the entry.
	reservedEval    uint64
	demandBucketKey int64
}

// lessLatestStart orders entries by latest start, then by submission.
func lessLatestStart(a, b *entry) bool {
	if a.latestStartMicros != b.latestStartMicros {
		return a.latestStartMicros < b.latestStartMicros
	}
	return lessSubmitted(a, b)
}

// lessSubmitted orders entries by submission, then by job ID.
func lessSubmitted(a, b *entry) bool {
	if a.submittedMicros != b.submittedMicros {
		return a.submittedMicros < b.submittedMicros
	}
	return a.job.ID < b.job.ID
}

// lessLastFeasibleStart orders entries by last feasible start, then by job ID.
func lessLastFeasibleStart(a, b *entry) bool {
	if !a.lastFeasibleStart.Equal(b.lastFeasibleStart) {
		return a.lastFeasibleStart.Before(b.lastFeasibleStart)
	}
	return a.job.ID < b.job.ID
}

// lessNotBefore orders entries by NotBefore, then by job ID.
func lessNotBefore(a, b *entry) bool {
	if !a.job.NotBefore.Equal(b.job.NotBefore) {
		return a.job.NotBefore.Before(b.job.NotBefore)
	}
	return a.job.ID < b.job.ID
}

// shape is an equivalence class of entries: at any time either all of them fit
// on the workers or none does. It is the need of one task and, for gangs, the
// number of tasks.
type shape struct {
	need Resources
	gang int
}

// shapeState is the state that all entries of a shape share. blocked is set when a
// search finds no worker with enough free resources and cleared once one task fits
// on some worker. Evaluations try no worker for the entries of a blocked shape, so
// a long queue costs little while the cluster is full.
type shapeState struct {
	shape     shape
	subqueues []*subqueue
	blocked   bool
	// reservedMissEval is the number of the last evaluation in which entries of
	// the shape fitted only into reserved resources. reservedMisses counts these
	// entries, and minReservedMissRuntime is the shortest run time among them: entries
	// with at least that run time would fit only into reserved resources as well.
	reservedMissEval       uint64
	reservedMisses         int
	minReservedMissRuntime time.Duration
}

// recordReservedMiss records that an entry fitted only into reserved resources.
func (s *shapeState) recordReservedMiss(evaluation uint64, runtime time.Duration) {
	if s.reservedMissEval != evaluation {
		s.reservedMissEval, s.reservedMisses, s.minReservedMissRuntime = evaluation, 0, runtime
	}
	s.reservedMisses++
	s.minReservedMissRuntime = min(s.minReservedMissRuntime, runtime)
}

// lookaheadExhausted reports whether more than lookahead entries of the shape fitted
// only into reserved resources in this evaluation.
func (s *shapeState) lookaheadExhausted(evaluation uint64) bool {
	return s.reservedMissEval == evaluation && s.reservedMisses > lookahead
}

// findsOnlyReserved reports whether an entry with this run time is known to fit
// only into reserved resources.
func (s *shapeState) findsOnlyReserved(evaluation uint64, runtime time.Duration) bool {
	return s.reservedMissEval == evaluation && (s.reservedMisses > lookahead || runtime >= s.minReservedMissRuntime)
}

// subqueue holds the entries of one customer, class and shape, by latest start.
type subqueue struct {
	customer   *customer
	class      class
	shapeState *shapeState
	entries    *btree.BTreeG[*entry]
	// doneEval is the number of the last evaluation that stopped serving the
	// subqueue.
	doneEval uint64
	// cursor is the entry that the evaluation numbered cursorEval has reached; nil
	// at the end.
	cursor     *entry
	cursorEval uint64
}

// customer is the record of one customer: usage, limit, weight and queued
// entries.
type customer struct {
	name string
	used Resources
	// limited is set if the customer has a limit; limit is then the maximum of used.
	limited bool
	limit   Resources
	// weight divides the share of the customer in the fair order; zero stands for
	// one.
	weight    float64
	subqueues [classCount]map[shape]*subqueue
	// readyEntries is the number of queued entries that are not delayed.
	readyEntries int
	// queuedDemand is the work of the customer's queued entries. horizon is the
	// latest deadline of all entries that were queued since the customer last had
	// none in the queue.
	queuedDemand resourceSeconds
	entries      int
	tasks        int
	horizon      time.Time
	// readySubqueues are the subqueues of readyClass that the evaluation
	// numbered readyEval may still serve.
	readySubqueues []*subqueue
	readyEval      uint64
	readyClass     class
}

// share is the customer's dominant share of the capacity divided by its weight.
func (c *customer) share(capacity Resources) float64 {
	share := c.used.share(capacity)
	if c.weight > 0 {
		return share / c.weight
	}
	return share
}

// addUsage adds need to the resources that the customer uses; a negative need
// subtracts.
func (c *customer) addUsage(need Resources) { c.used = c.used.plus(need) }

// allows reports whether using need as well keeps the customer within its
// limit.
func (c *customer) allows(need Resources) bool {
	if !c.limited {
		return true
	}
	after := c.used.plus(need)
	return withinLimit(after.CPU, c.limit.CPU) &&
		withinLimit(after.Memory, c.limit.Memory) &&
		withinLimit(after.Accelerators, c.limit.Accelerators)
}

// withinLimit reports whether amount is within limit. A negative limit means
// unlimited.
func withinLimit(amount, limit int64) bool { return limit < 0 || amount <= limit }

// queue holds the queued entries, in every order in which an evaluation visits
// them.
type queue struct {
	entries   map[string]*entry
	tasks     int
	customers map[string]*customer
	// blocked holds the shapes marked as blocked.
	blocked []*shapeState
	// serviceNeed is the need of all queued services.
	serviceNeed         Resources
	shapes              map[shape]*shapeState
	shapeList           []*shapeState
	byLatestStart       *btree.BTreeG[*entry]
	bySubmitted         *btree.BTreeG[*entry]
	byLastFeasibleStart *btree.BTreeG[*entry]
	gangs               *btree.BTreeG[*entry]
	// largeBatch are the entries marked large, by submission.
	largeBatch *btree.BTreeG[*entry]
	delayed    *btree.BTreeG[*entry]
}

// newQueue returns an empty queue.
func newQueue() queue {
	return queue{
		entries:             map[string]*entry{},
		customers:           map[string]*customer{},
		shapes:              map[shape]*shapeState{},
		byLatestStart:       newEntrySet(lessLatestStart),
		bySubmitted:         newEntrySet(lessSubmitted),
		byLastFeasibleStart: newEntrySet(lessLastFeasibleStart),
		gangs:               newEntrySet(lessLatestStart),
		largeBatch:          newEntrySet(lessSubmitted),
		delayed:             newEntrySet(lessNotBefore),
	}
}

// newEntrySet returns an empty ordered set. It has no locks, since one goroutine owns
// the queue.
func newEntrySet(less func(a, b *entry) bool) *btree.BTreeG[*entry] {
	return btree.NewBTreeGOptions(less, btree.Options{NoLocks: true})
}

// customer returns the record of a customer and creates it if there is none.
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

// add adds an entry. An entry with a NotBefore stays delayed until
// releaseDelayed.
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

// countService adds (sign 1) or subtracts (sign -1) the entry in serviceNeed,
// if it is a service.
func (q *queue) countService(e *entry, sign int64) {
	if e.job.Policy != Service {
		return
	}
	q.serviceNeed = q.serviceNeed.plus(e.need.times(sign * int64(e.job.Tasks)))
}

// makeReady adds an entry to the orders from which evaluations start tasks.
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

// setRemaining sets the number of tasks of an entry that are still to be
// placed.
func (q *queue) setRemaining(e *entry, tasks int) {
	q.tasks += tasks - e.job.Tasks
	e.job.Tasks = tasks
}

// remove removes an entry from the queue.
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
	q.removeEmptySubqueue(e.subqueue)
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

// releaseDelayed makes the entries ready whose NotBefore has passed.
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

// shapeOf returns the shape of an entry.
func shapeOf(e *entry) shape {
	s := shape{need: e.need}
	if e.job.Policy == Gang {
		s.gang = e.job.Tasks
	}
	return s
}

// subqueueFor returns the subqueue of an entry and creates it if there is none.
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
	sq := &subqueue{customer: c, class: e.class, shapeState: state, entries: newEntrySet(lessLatestStart)}
	state.subqueues = append(state.subqueues, sq)
	c.subqueues[e.class][s] = sq
	return sq
}

// removeEmptySubqueue deletes a subqueue without entries, and its shape if that
// was the last subqueue of the shape.
func (q *queue) removeEmptySubqueue(sq *subqueue) {
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

// removeUnordered removes one element without keeping the order.
func removeUnordered[T comparable](elements []T, element T) []T {
	at := slices.Index(elements, element)
	last := len(elements) - 1
	elements[at] = elements[last]
	var zero T
	elements[last] = zero
	return elements[:last]
}

// block marks a shape as fitting on no worker now.
func (q *queue) block(s *shapeState) {
	if s.blocked {
		return
	}
	s.blocked = true
	q.blocked = append(q.blocked, s)
}

// unblock clears the mark of every shape of which one task fits into free.
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
