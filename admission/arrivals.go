package admission

import (
	"math"
	"time"

	"github.com/bilberryferry/bilberryferry/resource"
)

// arrivalPeriod is the time over which the rate of accepted work is averaged: the length of the
// bursts that the package handles.
const arrivalPeriod = 5 * time.Second

// arrivals averages the rate at which work is accepted, by class, exponentially weighted.
type arrivals struct {
	// work is the accepted work, of which the weight decays; at is the time of the weights.
	work Sums
	at   time.Duration
}

// decay returns the factor of all weights since a.at.
func (a *arrivals) decay(now time.Duration) float64 {
	return math.Exp(-float64(now-a.at) / float64(arrivalPeriod))
}

func (a *arrivals) add(now time.Duration, class Class, work Work) {
	factor := a.decay(now)
	for class, sum := range a.work {
		a.work.set(class, Work{scaled(sum.OnWorkers, factor), scaled(sum.OfCustomer, factor)})
	}
	a.at = now
	a.work.Add(class, work)
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

// rates returns the rates of arriving work, in the pool of a class and of its customer.
func (a *arrivals) rates(now time.Duration, class Class) (inPool, ofCustomer rates) {
	inPool.factor = a.decay(now) / milliseconds(arrivalPeriod)
	ofCustomer.factor = inPool.factor
	for other, work := range a.work {
		isMoreUrgent := other.Priority < class.Priority
		if other.Service == class.Service {
			inPool.add(work.OnWorkers, isMoreUrgent)
		}
		if other.Customer == class.Customer {
			ofCustomer.add(work.OfCustomer, isMoreUrgent)
		}
	}
	return inPool, ofCustomer
}
