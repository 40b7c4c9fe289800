package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// maxReservedGangs is how many gangs of a pool that don't fit now have room kept for them, by
// the expected ends of what runs there: what is kept for more is nobody's for as long as
// those ends don't come.
//
// Load that it answers: dozens of gangs that wait among hundreds of workers, and ends that
// come much earlier or later than expected. With room kept for many of them, a large part
// of the cores is free all the time, and most gangs are late.
const maxReservedGangs = 1

// prepareGang has a gang that couldn't start learn of workers, renew its tickets where it
// fits now, or else wait for room.
func (p *planner) prepareGang(s *Step, granted, unknown []*Worker, left int) Reason {
	if totalFitCount(s, granted) >= left {
		return p.renewGangTickets(s, granted, left)
	}
	reservation := p.reserveOrPreempt(s, granted, left)
	switch {
	case reservation.preempted:
		return ReasonPreempting
	case s.AwaitsAnswer:
		return ReasonAwaitsAdviser
	case p.gangQueriesMore(s, granted, unknown, left, reservation):
		p.queryInParts(s, p.gangWorkersToQuery(s, granted, unknown, left), false)
		return ReasonAwaitsAdviser
	case len(reservation.workers) > 0 && p.ticketsDue(s, reservation.workers, reservation.at):
		p.queryInParts(s, reservation.workers, true)
		return ReasonAwaitsAdviser
	}
	return waitReason(s, granted, left)
}

// renewGangTickets keeps the room on which a gang fits now until its tickets are there. They
// are asked for on more workers than it needs: steps that go before it may take some of
// the room meanwhile.
func (p *planner) renewGangTickets(s *Step, granted []*Worker, left int) Reason {
	if s.AwaitsAnswer {
		p.reserve(s, fewestWorkersFor(s, withIDs(granted, s.Renewing), left), left)
		return ReasonAwaitsAdviser
	}
	if !p.queryInParts(s, fewestWorkersFor(s, granted, int(wantedFreeFactor*float64(left))), true) {
		// What is kept without a question would be nobody's.
		return ReasonNoConnection
	}
	p.reserve(s, fewestWorkersFor(s, granted, left), left)
	return ReasonAwaitsAdviser
}

// gangQueriesMore reports whether a gang asks about workers that nothing is known of: while
// its permitted workers would hardly do if they were empty; while others have room and
// what is kept for it is far off, or nothing is kept and it knows of few; and when others
// promise enough room now.
func (p *planner) gangQueriesMore(s *Step, granted, unknown []*Worker, left int, reservation gangReservation) bool {
	if len(unknown) == 0 {
		return false
	}
	empty := totalEmptyFitCount(s, granted)
	if len(s.Permits) == 0 || empty < minEmptyFactor*left {
		return true
	}
	far := reservation.farOff(p.now) || !reservation.reserved && empty < wantedEmptyFactor*left
	return far && worthQuerying(s, unknown) || likelyFits(s, granted, unknown, left)
}

// promising reports whether the room that is free now on permitted workers, and is
// to be expected on unknown ones by the share that is permitted, holds the gang. It
// isn't while no share is known.
func likelyFits(s *Step, granted, unknown []*Worker, left int) bool {
	if s.GrantRate == 0 {
		return false
	}
	room := float64(totalFitCount(s, granted)) + s.GrantRate*float64(totalFitCount(s, unknown))
	return room >= float64(left)
}

const (
	// minEmptyFactor times its tasks a gang's permitted workers must hold if they were
	// empty: others take room there too.
	minEmptyFactor = 2
	// wantedEmptyFactor times its tasks they must hold while others have room. A question costs
	// a second of one lane, but a gang that knows of few workers waits for room there
	// while others are free.
	wantedEmptyFactor = 8
	// wantedFreeFactor times its tasks a gang's questions cover of the room that is free now:
	// which workers are permitted differs from the average, and some room is taken
	// until the answer comes.
	wantedFreeFactor = 2.5
	// maxGangQueries bounds the questions that a gang puts side by side. Each takes a lane
	// for half a second and more.
	maxGangQueries = 6
)

// gangWorkersToQuery names the workers that a gang asks about: permitted ones with room
// for it, and of the unknown ones, those with room first, as many as are expected
// to hold it by the share that the adviser permits.
//
// Load that it answers: gangs of dozens of tasks among hundreds of workers, of which a
// quarter is permitted and a quarter is free. Of those that one question names a few are
// both: a gang that asks one question after the other finds none of them free together.
func (p *planner) gangWorkersToQuery(s *Step, granted, unknown []*Worker, left int) []*Worker {
	chosen := fewestWorkersFor(s, granted, left)
	freeFits, emptyFits := float64(totalFitCount(s, chosen)), float64(totalEmptyFitCount(s, granted))
	grantRate := s.expectedGrantRate()
	for w := range byRoom(s, unknown) {
		n := fitCount(s, w)
		enough := emptyFits >= float64(wantedEmptyFactor*left) && (n == 0 || freeFits >= wantedFreeFactor*float64(left))
		if len(chosen) >= maxGangQueries*p.limits.WorkersPerGangQuery || len(chosen) >= p.limits.WorkersPerGangQuery && enough {
			break
		}
		chosen = append(chosen, w)
		freeFits += grantRate * float64(n)
		emptyFits += grantRate * float64(emptyFitCount(s, w))
	}
	return chosen
}

// queryInParts puts the question in parts of equal length, side by side, and reports
// whether any is put.
func (p *planner) queryInParts(s *Step, workers []*Worker, renewal bool) (sent bool) {
	if len(workers) == 0 {
		return false
	}
	parts := (len(workers) + p.limits.WorkersPerGangQuery - 1) / p.limits.WorkersPerGangQuery
	for part := range slices.Chunk(workers, (len(workers)+parts-1)/parts) {
		sent = p.query(s, part, renewal) || sent
	}
	return sent
}

// ticketsDue reports whether the tickets of the chosen workers must be asked for
// now to be there when the gang fits. Asked for later, the room would lie idle
// for as long as the adviser takes, which is half a second and more.
func (p *planner) ticketsDue(s *Step, chosen []*Worker, when time.Duration) bool {
	answered := p.now + s.AnswerTime(len(chosen))
	if answered+p.limits.TicketMargin < when {
		return false
	}
	for _, w := range chosen {
		if s.Permits[w.ID].Expires < max(answered, when)+p.limits.TicketMargin {
			return true
		}
	}
	return false
}

// opening is room for one more task on a worker from a time on.
type expectedFit struct {
	at     time.Duration
	worker *Worker
}

// earmarkAhead is how long before a gang is expected to fit other steps begin to
// avoid its workers.
const earmarkAhead = time.Second

// gangReservation is the room that a gang waits for.
type gangReservation struct {
	// preempted says that other runs are being stopped for it.
	preempted bool
	// kept says that what comes free is kept for it; chosen are the workers on which it
	// is expected to fit, when is the time of that, 0 when it can't be told.
	reserved bool
	workers  []*Worker
	at       time.Duration
}

// late reports whether a gang that room is kept for won't fit before long.
func (r gangReservation) farOff(now time.Duration) bool {
	return r.reserved && (r.at == 0 || r.at > now+minPreemptWait)
}

// reserveOrPreempt sees to it that the first gangs that don't fit now find room for n tasks on
// workers: by keeping what comes free or, where that takes long, by stopping less urgent
// runs. Stops for all gangs that wait would place more of them, and cost the leader more
// than that gains: a hundred stops and second starts a second.
func (p *planner) reserveOrPreempt(s *Step, workers []*Worker, n int) gangReservation {
	if p.reservedGangs[s.Service] >= maxReservedGangs {
		return gangReservation{}
	}
	fits := p.expectedGangFits(s, workers, n)
	soon := fits != nil && fits[n-1].at <= p.now+minPreemptWait
	if !soon && p.preemptForGang(s, workers, n) {
		p.reservedGangs[s.Service]++
		return gangReservation{reserved: true, preempted: true}
	}
	if fits == nil {
		return gangReservation{reserved: true}
	}
	p.reservedGangs[s.Service]++
	chosen, when := p.reserveExpected(s, fits)
	return gangReservation{reserved: true, workers: chosen, at: when}
}

// reserveExpected keeps room for a gang, by the expected ends of what runs there, from
// the steps after s, and returns the workers and the time. Without it, small tasks
// take each piece of room as it comes free, and the gang never finds enough at once.
func (p *planner) reserveExpected(s *Step, fits []expectedFit) ([]*Worker, time.Duration) {
	n := len(fits)
	var chosen []*Worker
	for _, o := range fits {
		if !p.limits.Disabled.Reservation {
			p.reserveRoom(o.worker, s.Spec.Demand())
		}
		if !slices.Contains(chosen, o.worker) {
			chosen = append(chosen, o.worker)
		}
	}
	if fits[n-1].at <= p.now+earmarkAhead {
		p.earmark(chosen)
	}
	return chosen, fits[n-1].at
}

// expectedGangFits lists when and where each of n tasks of s will fit, the soonest
// first; nil when that can't be told of all.
func (p *planner) expectedGangFits(s *Step, workers []*Worker, n int) []expectedFit {
	var fits []expectedFit
	for _, w := range workers {
		fits = append(fits, p.expectedFits(s, w, n)...)
	}
	if len(fits) < n {
		return nil
	}
	slices.SortStableFunc(fits, func(a, b expectedFit) int {
		if a.at != b.at {
			return cmp.Compare(a.at, b.at)
		}
		return a.worker.Penalty - b.worker.Penalty
	})
	return fits[:n]
}

// openings lists when each of up to n tasks of s will fit on w.
func (p *planner) expectedFits(s *Step, w *Worker, n int) []expectedFit {
	var list []expectedFit
	free := *w
	add := func(at time.Duration) {
		for len(list) < min(fitCount(s, &free), n) {
			list = append(list, expectedFit{at: at, worker: w})
		}
	}
	add(p.now)
	for _, r := range w.Releases {
		if len(list) >= n {
			break
		}
		free.Free = free.Free.Plus(r.Resources)
		add(max(r.At, p.now))
	}
	return list
}
