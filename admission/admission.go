// Package admission estimates whether a new job can still end while it is worth something, that is,
// within three times its objective, and refuses one that can't. It handles a load above what the
// workers can run: one customer that sends 7.5 times its usual rate, or one queue that gets 2.3 times
// its usual rate, for some seconds. Without it, jobs are accepted that start when they are worth
// nothing, and delay the others.
//
// The package reads no clock and does no I/O. Times are on the monotonic clock of the caller.
package admission

import (
	"math"
	"time"

	"github.com/bilberryferry/bilberryferry/customer"
	"github.com/bilberryferry/bilberryferry/resource"
)

// WorthlessAfterObjectives is the age, as a multiple of its objective, from which on a job has no
// value any more.
const WorthlessAfterObjectives = 3

// Class is the work that one estimate treats alike.
type Class struct {
	// Service is the pool of workers that runs the work.
	Service string
	// Customer is the owner of the work; empty for none.
	Customer string
	// Priority is the priority of the queue; 0 is the most urgent.
	Priority int
}

// Work is an amount of work, in resource-milliseconds.
type Work struct {
	// OnWorkers is what the work occupies on workers, OfCustomer is what it counts against the limit
	// of its customer.
	OnWorkers, OfCustomer resource.Amount
}

// maxStepWork bounds the work of one step, so that the sum over 30,000 steps doesn't overflow. It
// is an hour of 78,000 cores.
const maxStepWork = int64(1) << 48

// WorkOf returns the work of a number of tasks that take ms milliseconds each.
func WorkOf(onWorkers, ofCustomer resource.Amount, tasks int, ms int64) Work {
	return Work{times(onWorkers, tasks, ms), times(ofCustomer, tasks, ms)}
}

func times(a resource.Amount, tasks int, ms int64) resource.Amount {
	field := func(n int64) int64 {
		return int64(min(float64(n)*float64(tasks)*float64(max(ms, 0)), float64(maxStepWork)))
	}
	return resource.Amount{MilliCPU: field(a.MilliCPU), MemoryMB: field(a.MemoryMB), Accelerators: field(a.Accelerators)}
}

// Plus returns the sum of w and other.
func (w Work) Plus(other Work) Work {
	return Work{w.OnWorkers.Plus(other.OnWorkers), w.OfCustomer.Plus(other.OfCustomer)}
}

func (w Work) minus(other Work) Work {
	return Work{w.OnWorkers.Minus(other.OnWorkers), w.OfCustomer.Minus(other.OfCustomer)}
}

// Sums is work by class. A class without work has no entry.
type Sums map[Class]Work

// Add adds work to a class.
func (s Sums) Add(class Class, work Work) { s.set(class, s[class].Plus(work)) }

func (s Sums) remove(class Class, work Work) { s.set(class, s[class].minus(work)) }

func (s Sums) set(class Class, work Work) {
	if work == (Work{}) {
		delete(s, class)
		return
	}
	s[class] = work
}

// Job is a new job.
type Job struct {
	// ID identifies the job in repeated submissions.
	ID string
	Class
	// Work is the work of all steps.
	Work Work
	// Chain is the estimated duration of its longest chain of dependent steps.
	Chain time.Duration
	// Objective is the time within which it should end; 0 for none.
	Objective time.Duration
}

// Room is what work may run on: the capacity of a pool or the limit of a customer.
type Room struct {
	// Total is all of it; a field is 0 where it isn't known or has no limit.
	Total resource.Amount
	// Held is the part that runs occupy, Rest is the work that they have left.
	Held, Rest resource.Amount
}

// Snapshot is the state at a decision of the leader.
type Snapshot struct {
	// Pools holds the capacity of the usable workers by service, Limits the limits of customers.
	Pools, Limits map[string]Room
	// Queued is the work that hasn't started, without that of worthless jobs.
	Queued Sums
	// Customers holds all customers by name. It must not change.
	Customers map[string]*customer.Customer
	// Includes reports whether the snapshot takes a job into account.
	Includes func(job string) bool
}

// Bottleneck says what makes a job wait.
type Bottleneck string

// The bottlenecks.
const (
	CustomerLimit Bottleneck = "the limit of the customer"
	Cluster       Bottleneck = "the cluster"
)

// Refusal says why a job is refused.
type Refusal struct {
	// Wait is the expected wait of the job before its first start.
	Wait       time.Duration
	Bottleneck Bottleneck
	// RetryAfter is the time until the job would be accepted, in whole seconds.
	RetryAfter time.Duration
}

// Estimator estimates waits from the snapshot of the last decision and the jobs that were accepted
// since. It isn't safe for concurrent use.
type Estimator struct {
	snapshot   Snapshot
	snapshotAt time.Duration
	// known says that there was a snapshot.
	known bool
	// meanWeight is the weight of work without a customer.
	meanWeight int64
	// added holds the accepted jobs that the snapshot doesn't include.
	added     map[string]Job
	addedWork Sums
	arrivals  arrivals
	// offered averages the rate of all jobs that were checked, including refused ones, without retries.
	offered offers
	reservations
	// byCustomer is reused by each estimate.
	byCustomer map[string]resource.Amount
}

// NewEstimator returns an estimator that refuses nothing before its first snapshot.
func NewEstimator() *Estimator {
	return &Estimator{
		added: map[string]Job{}, addedWork: Sums{}, arrivals: newArrivals(arrivalPeriod), offered: newOffers(),
		reservations: newReservations(), byCustomer: map[string]resource.Amount{},
	}
}

// Update replaces the snapshot.
func (e *Estimator) Update(now time.Duration, snapshot Snapshot) {
	e.snapshot, e.snapshotAt, e.known = snapshot, now, true
	e.meanWeight = 0
	for _, c := range snapshot.Customers {
		e.meanWeight += fixedPoint(c.Weight)
	}
	e.meanWeight /= int64(max(len(snapshot.Customers), 1))
	for id := range e.added {
		if snapshot.Includes(id) {
			e.Remove(id)
		}
	}
	e.expire(now)
	e.offered.expire(now)
}

// Add counts an accepted job until a snapshot includes it, and ends its reservation.
func (e *Estimator) Add(now time.Duration, job *Job) {
	e.release(job.ID)
	if _, known := e.added[job.ID]; known {
		return
	}
	e.added[job.ID] = *job
	e.addedWork.Add(job.Class, job.Work)
	e.arrivals.add(now, job.Class, job.Work)
}

// Remove stops counting a job that Add counted, because its commit failed.
func (e *Estimator) Remove(id string) {
	if job, known := e.added[id]; known {
		delete(e.added, id)
		e.addedWork.remove(job.Class, job.Work)
	}
}

// Check returns nil if a job is to be accepted: it is expected to end within three times its objective. While
// more work is offered than the pool can do, a job that would miss its objective has to end in time on what
// arriving work leaves over: decisions put such a job after all jobs that can still meet theirs, so while as
// much is accepted as the pool does it would never run.
//
// A refused job may get a reservation.
func (e *Estimator) Check(now time.Duration, job *Job) *Refusal {
	e.expireSometimes(now)
	if !e.known || job.Objective <= 0 {
		return nil
	}
	e.offered.add(now, job)
	estimate := e.estimate(now, job)
	if estimate.excess <= estimateTolerance {
		return nil
	}
	return &Refusal{Wait: toDuration(estimate.wait), Bottleneck: estimate.bottleneck, RetryAfter: e.reserve(now, job, toDuration(estimate.excess))}
}

// estimateTolerance, in milliseconds, covers the rounding of the estimate.
const estimateTolerance = 1

// Wait returns how long new work of a class is expected to wait, and for what. It counts all work
// ahead, also that of customers beyond their share.
func (e *Estimator) Wait(now time.Duration, class Class) (time.Duration, Bottleneck) {
	unit := resource.Amount{MilliCPU: 1, MemoryMB: 1, Accelerators: 1}
	estimate := e.estimate(now, &Job{Class: class, Work: Work{unit, unit}})
	return toDuration(estimate.wait), estimate.bottleneck
}

// longestWait is the wait that is reported where the estimate is longer.
const longestWait = time.Hour

// estimate is the expected wait of a job, and by how much it exceeds the longest wait with which the
// job is accepted, in milliseconds.
type estimate struct {
	wait, excess float64
	bottleneck   Bottleneck
}

// estimate estimates the wait of a job for the scarcest of the resources that it needs.
func (e *Estimator) estimate(now time.Duration, job *Job) estimate {
	own, all := e.sumAhead(now, job)
	var totalWeight int64
	worst := estimate{bottleneck: Cluster, excess: math.Inf(-1)}
	// A call that waited for a decision has an earlier time than the snapshot.
	elapsed := max(milliseconds(now-e.snapshotAt), 0)
	pool, limit := e.snapshot.Pools[job.Service], e.snapshot.Limits[job.Customer]
	inPool, ofCustomer := e.arrivals.rates(now, job.Class, e.snapshot.Limits)
	offered, _ := e.offered.rates(now, job.Class, e.snapshot.Limits)
	for _, field := range amountFields {
		if field(job.Work.OnWorkers) > 0 && field(pool.Total) > 0 {
			worst.add(Cluster, job, newDrain(&pool, field, elapsed), inPool.of(field), offered.of(field).all, func(longest, accepted float64) float64 {
				if sum := float64(field(all)); sum <= accepted {
					return sum
				}
				if totalWeight == 0 {
					totalWeight = e.sumByCustomer(now, job)
				}
				return e.workAhead(job, field, longest, accepted, totalWeight)
			})
		}
		if field(job.Work.OfCustomer) > 0 && field(limit.Total) > 0 {
			worst.add(CustomerLimit, job, newDrain(&limit, field, elapsed), ofCustomer.of(field), 0, func(_, _ float64) float64 { return float64(field(own)) })
		}
	}
	return worst
}

// workAhead returns the work ahead of a job in its pool. Of other customers' work at most
// shareTolerance times their shares of the accepted work counts, so that a customer isn't refused for
// the work of others that are beyond their shares. A customer that has little of its share queued
// isn't refused at all. What a customer's limit keeps from running within the longest wait doesn't count
// either: it occupies nothing that the job could have.
func (e *Estimator) workAhead(job *Job, field func(resource.Amount) int64, longest, accepted float64, totalWeight int64) float64 {
	sum := int64(0)
	for name, amount := range e.byCustomer {
		work := float64(field(amount))
		if name != job.Customer {
			work = min(work, shareTolerance*e.shareOf(name, accepted, totalWeight))
		}
		if limit := e.snapshot.Limits[name]; field(limit.Total) > 0 {
			work = min(work, float64(field(limit.Total))*longest)
		}
		sum += int64(work)
	}
	own := float64(field(e.byCustomer[job.Customer]) + field(job.Work.OnWorkers))
	if own <= e.shareOf(job.Customer, accepted, totalWeight)/shareTolerance {
		return min(float64(sum), accepted)
	}
	return float64(sum)
}

// shareTolerance is the factor by which the queued work of a customer may differ from its share
// before the share matters. The work of customers that send alike differs that much, because a
// share is the work of a few large jobs. Without it, the customers that happen to have less queued
// would be accepted although more is queued than ends in time.
const shareTolerance = 2

// add estimates the wait for one resource of a room and keeps the worse estimate. ahead returns the
// work ahead in that room, given the longest wait and the work ahead with which the job is still accepted.
func (e *estimate) add(bottleneck Bottleneck, job *Job, room drain, arriving fieldRates, offered float64, ahead func(longest, accepted float64) float64) {
	total := room.free + room.held
	factor := slowdown(total, arriving.urgent)
	// The longest wait and the work done in it, if no other work arrives.
	longest, accepted := 0.0, math.Inf(1)
	if job.Objective > 0 {
		longest = job.longestLateWait()
		if offered > sustainedOverload*total {
			longest = max(milliseconds(job.Objective-job.Chain)/min(factor, maxSlowdown), longest/slowdownOfLate(total, arriving))
		}
		accepted = room.workWithin(longest)
	}
	undisturbed := room.timeFor(ahead(longest, accepted))
	if excess := (undisturbed - longest) * factor; excess > e.excess {
		*e = estimate{undisturbed * factor, excess, bottleneck}
	}
}

// longestLateWait returns the longest wait, in milliseconds, after which a job that misses its
// objective is still worth something. It is never less than the time in which the room does what
// all of it could do within the objective.
func (j *Job) longestLateWait() float64 {
	return max(milliseconds(WorthlessAfterObjectives*j.Objective-j.Chain), milliseconds(j.Objective)/usableShare)
}

const (
	// minLeftShare is the least share of a room that the estimate leaves to work that arriving work
	// goes before, so that no priority is refused for good.
	minLeftShare = 0.05
	// sustainedOverload is the multiple of a pool's capacity from which on offered work counts as overload. Below
	// it, late jobs still run in the gaps that arriving work leaves; the margin covers single large jobs.
	sustainedOverload = 1.5
	// maxSlowdown is the most by which arriving work is taken to slow down a job that can still meet its
	// objective. More would refuse work on days without overload, when single large jobs arrive: what
	// arrives beyond the room is refused itself.
	maxSlowdown = 3
	// usableShare is the share of a room that runs can occupy while work waits. The rest stays idle,
	// because gangs start as a whole and tasks don't divide a worker evenly.
	usableShare = 0.9
)

// slowdown returns by how much longer queued work takes while work that goes before it arrives at a
// rate.
func slowdown(total, rate float64) float64 { return total / max(total-rate, total*minLeftShare) }

// slowdownOfLate is slowdown for a job that misses its objective. A decision considers it after all
// jobs that can still meet theirs, whatever their priority.
func slowdownOfLate(total float64, arriving fieldRates) float64 { return slowdown(total, arriving.all) }

// sumAhead sums up the work that is ahead of a job: of its customer in all pools, and of all customers
// in its pool.
func (e *Estimator) sumAhead(now time.Duration, job *Job) (own, all resource.Amount) {
	e.forEachAhead(now, job, func(class Class, work Work) {
		if class.Customer == job.Customer {
			own = own.Plus(work.OfCustomer)
		}
		if class.Service == job.Service {
			all = all.Plus(work.OnWorkers)
		}
	})
	return own, all
}

// sumByCustomer sums up, in e.byCustomer, the work that is ahead of a job in its pool. It returns the
// sum of the weights of these customers and the job's own.
func (e *Estimator) sumByCustomer(now time.Duration, job *Job) (totalWeight int64) {
	clear(e.byCustomer)
	e.byCustomer[job.Customer] = resource.Amount{}
	e.forEachAhead(now, job, func(class Class, work Work) {
		if class.Service == job.Service {
			e.byCustomer[class.Customer] = e.byCustomer[class.Customer].Plus(work.OnWorkers)
		}
	})
	for name := range e.byCustomer {
		totalWeight += e.weight(name)
	}
	return totalWeight
}

// forEachAhead calls f with the work that is ahead of a job by its priority, class by class. Reserved
// work counts unless the job retries when it was told to; its own reservation never counts.
func (e *Estimator) forEachAhead(now time.Duration, job *Job, f func(Class, Work)) {
	counted := []Sums{e.snapshot.Queued, e.addedWork, e.reservedWork}
	if e.isDue(now, job.ID) {
		counted = counted[:2]
	} else if r, reserved := e.reserved[job.ID]; reserved && r.job.Priority <= job.Priority {
		f(r.job.Class, Work{}.minus(r.job.Work))
	}
	for _, sums := range counted {
		for class, work := range sums {
			if class.Priority <= job.Priority {
				f(class, work)
			}
		}
	}
}

// shareOf returns the share of a customer in an amount of work, among the customers in e.byCustomer
// which include the one whose job is considered. totalWeight is the sum of their weights.
func (e *Estimator) shareOf(name string, work float64, totalWeight int64) float64 {
	return work * float64(e.weight(name)) / float64(totalWeight)
}

// weight returns the weight of a customer, above 0, so that nobody is kept out for good; that of an
// average customer for work without one. Weights are integers, so that sums of them don't depend on
// the order of a map.
func (e *Estimator) weight(name string) int64 {
	if c := e.snapshot.Customers[name]; c != nil {
		return fixedPoint(c.Weight)
	}
	return max(e.meanWeight, 1)
}

// fixedPoint returns a weight in thousandths, at least one thousandth. Weights above a million count as a million.
func fixedPoint(weight float64) int64 { return int64(min(max(1000*weight, 1), 1e9)) }

// Queued returns the counted work that hasn't started, of one customer or, with all, of all.
// Reserved work isn't included.
func (e *Estimator) Queued(name string, all bool) (sum resource.Amount) {
	for _, sums := range []Sums{e.snapshot.Queued, e.addedWork} {
		for class, work := range sums {
			if all || class.Customer == name {
				sum = sum.Plus(work.OnWorkers)
			}
		}
	}
	return sum
}

// Reservations returns the number of reservations.
func (e *Estimator) Reservations() int { return len(e.reserved) }

// amountFields select the resources of an amount.
var amountFields = [...]func(resource.Amount) int64{
	func(a resource.Amount) int64 { return a.MilliCPU },
	func(a resource.Amount) int64 { return a.MemoryMB },
	func(a resource.Amount) int64 { return a.Accelerators },
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func toDuration(ms float64) time.Duration {
	return time.Duration(min(ms, milliseconds(longestWait)) * float64(time.Millisecond))
}

// drain describes how one resource of a room becomes free: free is free now, and runs release held
// evenly over releaseMS milliseconds. This is twice their mean rest, because runs that started at any
// time have half of their estimates left on average.
type drain struct {
	free, held, releaseMS float64
}

// newDrain returns how room becomes free if nothing has started in the elapsed milliseconds since
// the snapshot.
func newDrain(room *Room, field func(resource.Amount) int64, elapsed float64) drain {
	total := usableShare * float64(field(room.Total))
	held := min(float64(field(room.Held)), total)
	if held <= 0 {
		return drain{free: total}
	}
	releaseMS := 2 * float64(field(room.Rest)) / float64(field(room.Held))
	if releaseMS <= elapsed {
		return drain{free: total}
	}
	left := held * (1 - elapsed/releaseMS)
	return drain{free: total - left, held: left, releaseMS: releaseMS - elapsed}
}

// workWithin returns how much queued work is done within ms milliseconds.
func (d drain) workWithin(ms float64) float64 {
	if ms >= d.releaseMS {
		return (d.free+d.held)*ms - d.held*d.releaseMS/2
	}
	return d.free*ms + d.held*ms*ms/(2*d.releaseMS)
}

// timeFor returns in how many milliseconds an amount of queued work is done.
func (d drain) timeFor(work float64) float64 {
	if work <= 0 {
		return 0
	}
	if work >= d.workWithin(d.releaseMS) {
		return (work + d.held*d.releaseMS/2) / (d.free + d.held)
	}
	return 2 * work / (d.free + math.Sqrt(d.free*d.free+2*d.held/d.releaseMS*work))
}
