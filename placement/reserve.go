package placement

import "time"

// reservation reserves resources on a worker for an entry that is expected to start
// there at a computed time. It lasts for one evaluation. The next evaluation
// computes it anew, which accounts for tasks that end early or late.
type reservation struct {
	entry *entry
	at    time.Time
	// remaining are the resources that are expected to be free on the worker when
	// the entry starts, in addition to the reserved ones.
	remaining Resources
}

// reserve forecasts when the entry can start and reserves the resources that it
// needs then. Until then other tasks may use these resources (backfill), so a
// reservation leaves nothing idle.
func (p *planner) reserve(e *entry) {
	if p.reservations == 0 || e.reservedEval == p.evaluation || !e.subqueue.customer.allows(e.need) {
		return
	}
	e.reservedEval = p.evaluation
	f := p.forecast(e)
	if f == nil {
		return
	}
	p.reservations--
	p.cluster.reservedJobs = append(p.cluster.reservedJobs, e.job.ID)
	for _, w := range f.chosen {
		onWorker := p.cluster.workerForecastOf(w)
		w.reservedEval = p.evaluation
		w.reservation = reservation{
			entry:     e,
			at:        f.at,
			remaining: w.free.plus(onWorker.released).minus(e.need.times(int64(onWorker.tasks))),
		}
	}
}

// workerForecast is the part of a forecast for one worker: the resources released
// by the predicted start and the number of the entry's tasks that fit.
type workerForecast struct {
	released Resources
	tasks    int
}

// workerForecastOf returns the worker's part of the current forecast. A part that
// an earlier forecast computed is reset first.
func (c *Cluster) workerForecastOf(w *worker) *workerForecast {
	if w.forecastID != c.forecasts {
		w.forecastID = c.forecasts
		w.forecast = workerForecast{}
	}
	return &w.forecast
}

// forecast is the predicted earliest start of an entry and the workers for its
// tasks. tasksLeft is the number of tasks that do not fit yet.
type forecast struct {
	at        time.Time
	tasksLeft int
	chosen    []*worker
}

// addCandidate adds to the forecast the tasks that fit on the worker with the
// resources released so far. It reports whether it added any.
func (p *planner) addCandidate(f *forecast, e *entry, w *worker) bool {
	onWorker := p.cluster.workerForecastOf(w)
	free := w.free.plus(onWorker.released)
	if !e.need.within(free) || !w.schedulable() || w.reservedEval == p.evaluation {
		return false
	}
	added := min(free.fitCount(e.need, onWorker.tasks+f.tasksLeft)-onWorker.tasks, f.tasksLeft)
	if added <= 0 {
		return false
	}
	if onWorker.tasks == 0 {
		f.chosen = append(f.chosen, w)
	}
	onWorker.tasks += added
	f.tasksLeft -= added
	return true
}

// laterOf returns the later of two times.
func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// chargeReservation subtracts the need of a started task from the resources that the
// reservation of the worker leaves free. A task that ends by the reserved start time
// is not subtracted.
func (c *Cluster) chargeReservation(evaluation uint64, e *entry, w *worker, now time.Time) {
	if w.reservedEval != evaluation || w.reservation.entry == e {
		return
	}
	if e.job.Policy != Service && !now.Add(e.runtime.high).After(w.reservation.at) {
		return
	}
	w.reservation.remaining = w.reservation.remaining.minus(e.need)
}

// startPreviouslyReserved starts the jobs that had a reservation in the last
// evaluation. Once the reserved resources are free, another customer may have a
// smaller share, and the fair order would give the resources to that customer.
func (p *planner) startPreviouslyReserved() {
	for _, id := range p.previouslyReserved {
		if e := p.cluster.queue.entries[id]; e != nil && !e.delayed && p.remaining(e) > 0 {
			p.place(e)
		}
	}
}

// reserveGangs starts the gangs with the earliest latest start times, or
// reserves resources for them.
func (p *planner) reserveGangs() {
	visits := 0
	p.cluster.queue.gangs.Scan(func(e *entry) bool {
		visits++
		if p.budget == 0 || p.reservations == 0 || visits > maxGangVisits {
			return false
		}
		if p.remaining(e) > 0 && !p.place(e) {
			p.reserve(e)
		}
		return true
	})
}

// reserveLeastServed reserves resources for the customers with the smallest shares
// whose next task fits no worker. Without the reservation a flood of small tasks
// would take resources as soon as they are free, and a larger task of another
// customer would starve until it is due.
func (p *planner) reserveLeastServed() {
	p.reservations += p.cluster.opts.FairReservations
	for _, c := range p.leastServed(p.cluster.opts.FairReservations) {
		if e := p.blockedBatchHead(c); e != nil {
			p.reserve(e)
		}
	}
}

// reserveLarge reserves resources for the large tasks that were submitted first. In a
// full cluster a worker rarely has enough free resources for a large task, so without
// reservations all of these tasks would starve until they are due, regardless of the
// share of their customer.
func (p *planner) reserveLarge() {
	p.reservations += p.cluster.opts.LargeReservations
	reserved, visits := 0, 0
	p.cluster.queue.largeBatch.Scan(func(e *entry) bool {
		visits++
		if reserved >= p.cluster.opts.LargeReservations || visits > maxLargeVisits {
			return false
		}
		if e.subqueue.shapeState.blocked && p.remaining(e) > 0 {
			p.reserve(e)
			reserved++
		}
		return true
	})
}

// leastServed returns the n customers with the smallest unweighted shares among
// those with ready entries.
func (p *planner) leastServed(n int) []*customer {
	least := make(shareHeap, 0, n+1)
	for _, c := range p.cluster.queue.customers {
		if c.readyEntries == 0 {
			continue
		}
		least = append(least, customerShare{customer: c, share: c.used.share(p.cluster.capacity)})
		for i := len(least) - 1; i > 0 && least.Less(i, i-1); i-- {
			least.Swap(i, i-1)
		}
		least = least[:min(n, len(least))]
	}
	customers := make([]*customer, len(least))
	for i, ranked := range least {
		customers[i] = ranked.customer
	}
	return customers
}

// blockedBatchHead returns the batch entry of the customer with the earliest
// latest start among those that fit no worker now, or nil.
func (p *planner) blockedBatchHead(c *customer) *entry {
	var first *entry
	for _, sq := range c.subqueues[classNormal] {
		if !sq.shapeState.blocked || sq.shapeState.shape.gang > 0 {
			continue
		}
		if e := p.head(sq); e != nil && (first == nil || lessLatestStart(e, first)) {
			first = e
		}
	}
	return first
}
