package placement

import "time"

// reservation holds room on a worker for work that starts there at a computed
// time. It lives for one evaluation and is computed anew in the next, so that
// a task which ends early or late moves it and nothing needs to be withdrawn.
type reservation struct {
	owner *entry
	at    time.Time
	// spare is what is left beside the reserved work at that time.
	remaining Resources
}

// reserve computes when the entry can start, from the expected ends of what
// runs, and keeps the room it needs then. Other work may use that room until
// then (backfill), so nothing stands idle for a guess.
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
		o := p.cluster.workerForecastOf(w)
		w.reservedEval = p.evaluation
		w.reservation = reservation{
			owner:     e,
			at:        f.at,
			remaining: w.free.plus(o.released).minus(e.need.times(int64(o.tasks))),
		}
	}
}

// outlook is what a forecast expects of one worker.
type workerForecast struct {
	released Resources
	tasks    int
}

// workerForecastOf returns the outlook of the running forecast, empty at first.
func (c *Cluster) workerForecastOf(w *worker) *workerForecast {
	if w.forecastID != c.forecasts {
		w.forecastID = c.forecasts
		w.forecast = workerForecast{}
	}
	return &w.forecast
}

// forecast is the earliest start of an entry as far as it can be told.
type forecast struct {
	at        time.Time
	tasksLeft int
	chosen    []*worker
}

// offer counts the tasks that fit on a worker by now in the forecast.
func (p *planner) addCandidate(f *forecast, e *entry, w *worker) bool {
	o := p.cluster.workerForecastOf(w)
	free := w.free.plus(o.released)
	if !e.need.within(free) || !w.schedulable() || w.reservedEval == p.evaluation {
		return false
	}
	more := min(free.fitCount(e.need, o.tasks+f.tasksLeft)-o.tasks, f.tasksLeft)
	if more <= 0 {
		return false
	}
	if o.tasks == 0 {
		f.chosen = append(f.chosen, w)
	}
	o.tasks += more
	f.tasksLeft -= more
	return true
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// chargeReservation charges a start that outlasts a reservation to what is spare.
func (c *Cluster) chargeReservation(evaluation uint64, e *entry, w *worker, now time.Time) {
	if w.reservedEval != evaluation || w.reservation.owner == e {
		return
	}
	if e.job.Policy != Service && !now.Add(e.runtime.high).After(w.reservation.at) {
		return
	}
	w.reservation.remaining = w.reservation.remaining.minus(e.need)
}

// startPreviouslyReserved starts the work for which the last evaluation held room. By the
// time that room is free, others have the smaller shares and would take it.
func (p *planner) startPreviouslyReserved() {
	for _, id := range p.previouslyReserved {
		if e := p.cluster.queue.entries[id]; e != nil && !e.delayed && p.remaining(e) > 0 {
			p.place(e)
		}
	}
}

// reserveGangs starts or reserves the gangs that must start first.
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

// reserveLeastServed keeps a place for the customers that use least, when what they
// queue is too large for any gap. Without it a flood of small tasks takes each
// gap as it opens, and a larger task of another customer waits until it is due.
func (p *planner) reserveLeastServed() {
	p.reservations += p.cluster.opts.FairReservations
	for _, c := range p.leastServed(p.cluster.opts.FairReservations) {
		if e := p.blockedBatchHead(c); e != nil {
			p.reserve(e)
		}
	}
}

// reserveLarge keeps places for the large tasks that have waited longest. Gaps
// of their size hardly ever open by themselves in a full cluster, so they would
// all wait until they are due, whatever the share of their customer.
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

// leastServed are the n customers with the smallest shares that wait.
func (p *planner) leastServed(n int) []*customer {
	least := make(shareHeap, 0, n+1)
	for _, c := range p.cluster.queue.customers {
		if c.readyEntries == 0 {
			continue
		}
		least = append(least, shareItem{customer: c, share: c.used.share(p.cluster.capacity)})
		for i := len(least) - 1; i > 0 && least.Less(i, i-1); i-- {
			least.Swap(i, i-1)
		}
		least = least[:min(n, len(least))]
	}
	list := make([]*customer, len(least))
	for i, t := range least {
		list[i] = t.customer
	}
	return list
}

// blockedBatchHead is the batch entry of a customer that must start first among
// those for which no worker has room.
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
