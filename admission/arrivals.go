package admission

import (
	"maps"
	"math"
	"time"

	"github.com/bilberryferry/bilberryferry/resource"
)

// arrivalPeriod is the time over which the rate of accepted work is averaged: the length of the
// bursts that the package handles.
const arrivalPeriod = 5 * time.Second

// overloadPeriod is the time over which the rate of offered work is averaged: two bursts, so that a single
// one, after which the pool catches up, doesn't count as sustained overload.
const overloadPeriod = 10 * time.Second

// arrivals averages the rate at which work is accepted, by class, exponentially weighted.
type arrivals struct {
	// work is the accepted work, of which the weight decays; at is the time of the weights.
	work Sums
	at   time.Duration
	// period is the time constant of the weights.
	period time.Duration
}

func newArrivals(period time.Duration) arrivals { return arrivals{work: Sums{}, period: period} }

// decay returns the factor of all weights since a.at.
func (a *arrivals) decay(now time.Duration) float64 {
	return math.Exp(-float64(now-a.at) / float64(a.period))
}

func (a *arrivals) add(now time.Duration, class Class, work Work) {
	factor := a.decay(now)
	for class, sum := range a.work {
		a.work.set(class, Work{scaled(sum.OnWorkers, factor), scaled(sum.OfCustomer, factor)})
	}
	a.at = now
	a.work.Add(class, work)
}

// offers averages the rate of offered work. A job counts once however often it is retried: otherwise refusals
// would raise the rate by which jobs are refused.
type offers struct {
	arrivals
	// countedAt holds when each of the latest jobs was counted, at most maxOffers.
	countedAt map[string]time.Duration
}

// maxOffers bounds the jobs that are remembered. Beyond it, further jobs aren't counted, which refuses less.
const maxOffers = 16_384

func newOffers() offers {
	return offers{arrivals: newArrivals(overloadPeriod), countedAt: map[string]time.Duration{}}
}

func (o *offers) add(now time.Duration, job *Job) {
	if _, counted := o.countedAt[job.ID]; counted || len(o.countedAt) >= maxOffers {
		return
	}
	o.countedAt[job.ID] = now
	o.arrivals.add(now, job.Class, job.Work)
}

// expire forgets the jobs that were counted longer ago than callers retry.
func (o *offers) expire(now time.Duration) {
	maps.DeleteFunc(o.countedAt, func(_ string, at time.Duration) bool { return now-at > maxReservationTime+reservationGrace })
}

func scaled(a resource.Amount, factor float64) resource.Amount {
	field := func(n int64) int64 { return int64(float64(n) * factor) }
	return resource.Amount{MilliCPU: field(a.MilliCPU), MemoryMB: field(a.MemoryMB), Accelerators: field(a.Accelerators)}
}

// rates are the rates at which work arrives that goes before a class by its priority, and all work:
// sums of work that are multiplied by a factor.
type rates struct {
	urgent, all resource.Amount
	factor      float64
}

// fieldRates are the rates of one resource.
type fieldRates struct {
	urgent, all float64
}

func (r *rates) add(work resource.Amount, isMoreUrgent bool) {
	r.all = r.all.Plus(work)
	if isMoreUrgent {
		r.urgent = r.urgent.Plus(work)
	}
}

func (r *rates) of(field func(resource.Amount) int64) fieldRates {
	return fieldRates{float64(field(r.urgent)) * r.factor, float64(field(r.all)) * r.factor}
}

// rates returns the rates of arriving work, in the pool of a class and of its customer. In the pool, a
// customer counts with its limit at most: more of its work can't run.
func (a *arrivals) rates(now time.Duration, class Class, limits map[string]Room) (inPool, ofCustomer rates) {
	factor := a.decay(now) / milliseconds(a.period)
	inPool.factor, ofCustomer.factor = factor, factor
	byCustomer := map[string]rates{}
	for other, work := range a.work {
		isMoreUrgent := other.Priority < class.Priority
		if other.Service == class.Service {
			sum := byCustomer[other.Customer]
			sum.add(work.OnWorkers, isMoreUrgent)
			byCustomer[other.Customer] = sum
		}
		if other.Customer == class.Customer {
			ofCustomer.add(work.OfCustomer, isMoreUrgent)
		}
	}
	for name, sum := range byCustomer {
		limit := limits[name].Total
		inPool.urgent = inPool.urgent.Plus(capped(sum.urgent, limit, factor))
		inPool.all = inPool.all.Plus(capped(sum.all, limit, factor))
	}
	return inPool, ofCustomer
}

// capped returns the most of an amount of work whose rate, the work times a factor, doesn't exceed a limit, of
// which a field of 0 limits nothing.
func capped(work, limit resource.Amount, factor float64) resource.Amount {
	field := func(n, most int64) int64 {
		if most > 0 && float64(n)*factor > float64(most) {
			return int64(float64(most) / factor)
		}
		return n
	}
	return resource.Amount{
		MilliCPU: field(work.MilliCPU, limit.MilliCPU), MemoryMB: field(work.MemoryMB, limit.MemoryMB),
		Accelerators: field(work.Accelerators, limit.Accelerators),
	}
}
