package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// keptGangs is how many gangs of a pool that don't fit now have room kept for them, by
// the expected ends of what runs there: what is kept for more is nobody's for as long as
// those ends don't come.
//
// Load that it answers: dozens of gangs that wait among hundreds of workers, and ends that
// come much earlier or later than expected. With room kept for many of them, a large part
// of the cores is free all the time, and most gangs are late.
const keptGangs = 1

// seekForGang has a gang that couldn't start learn of workers, renew its tickets where it
// fits now, or else wait for room.
func (p *planner) seekForGang(s *Step, granted, unknown []*Worker, left int) Reason {
	if freeRoom(s, granted) >= left {
		return p.holdForGang(s, granted, left)
	}
	room := p.roomForGang(s, granted, left)
	switch {
	case room.preempted:
		return ReasonYielding
	case s.Asking:
		return ReasonPermit
	case p.gangLearns(s, granted, unknown, left, room):
		p.askInParts(s, p.toLearnForGang(s, granted, unknown, left), false)
		return ReasonPermit
	case len(room.chosen) > 0 && p.ticketsDue(s, room.chosen, room.when):
		p.askInParts(s, room.chosen, true)
		return ReasonPermit
	}
	return reasonFor(s, granted, left)
}

// holdForGang keeps the room on which a gang fits now until its tickets are there. They
// are asked for on more workers than it needs: steps that go before it may take some of
// the room meanwhile.
func (p *planner) holdForGang(s *Step, granted []*Worker, left int) Reason {
	if s.Asking {
		p.reserve(s, roomFor(s, named(granted, s.Renewing), left), left)
		return ReasonPermit
	}
	if !p.askInParts(s, roomFor(s, granted, int(roomMargin*float64(left))), true) {
		// What is kept without a question would be nobody's.
		return ReasonLane
	}
	p.reserve(s, roomFor(s, granted, left), left)
	return ReasonPermit
}

// gangLearns reports whether a gang asks about workers that nothing is known of: while
// its permitted workers would hardly do if they were empty; while others have room and
// what is kept for it is far off, or nothing is kept and it knows of few; and when others
// promise enough room now.
func (p *planner) gangLearns(s *Step, granted, unknown []*Worker, left int, room gangRoom) bool {
	if len(unknown) == 0 {
		return false
	}
	empty := emptyRoom(s, granted)
	if len(s.Permits) == 0 || empty < emptyMargin*left {
		return true
	}
	far := room.late(p.now) || !room.kept && empty < wideMargin*left
	return far && wantsMore(s, unknown) || promising(s, granted, unknown, left)
}

// promising reports whether the room that is free now on permitted workers, and is
// to be expected on unknown ones by the share that is permitted, holds the gang. It
// isn't while no share is known.
func promising(s *Step, granted, unknown []*Worker, left int) bool {
	if s.GrantShare == 0 {
		return false
	}
	room := float64(freeRoom(s, granted)) + s.GrantShare*float64(freeRoom(s, unknown))
	return room >= float64(left)
}

const (
	// emptyMargin times its tasks a gang's permitted workers must hold if they were
	// empty: others take room there too.
	emptyMargin = 2
	// wideMargin times its tasks they must hold while others have room. A question costs
	// a second of one lane, but a gang that knows of few workers waits for room there
	// while others are free.
	wideMargin = 8
	// roomMargin times its tasks a gang's questions cover of the room that is free now:
	// which workers are permitted differs from the average, and some room is taken
	// until the answer comes.
	roomMargin = 2.5
	// gangParts bounds the questions that a gang puts side by side. Each takes a lane
	// for half a second and more.
	gangParts = 6
)

// toLearnForGang names the workers that a gang asks about: permitted ones with room
// for it, and of the unknown ones, those with room first, as many as are expected
// to hold it by the share that the adviser permits.
//
// Load that it answers: gangs of dozens of tasks among hundreds of workers, of which a
// quarter is permitted and a quarter is free. Of those that one question names a few are
// both: a gang that asks one question after the other finds none of them free together.
func (p *planner) toLearnForGang(s *Step, granted, unknown []*Worker, left int) []*Worker {
	ask := roomFor(s, granted, left)
	now, empty := float64(freeRoom(s, ask)), float64(emptyRoom(s, granted))
	share := s.grantShare()
	for w := range byRoom(s, unknown) {
		n := copies(s, w)
		enough := empty >= float64(wideMargin*left) && (n == 0 || now >= roomMargin*float64(left))
		if len(ask) >= gangParts*p.limits.GangAskWorkers || len(ask) >= p.limits.GangAskWorkers && enough {
			break
		}
		ask = append(ask, w)
		now += share * float64(n)
		empty += share * float64(emptyCopies(s, w))
	}
	return ask
}

// askInParts puts the question in parts of equal length, side by side, and reports
// whether any is put.
func (p *planner) askInParts(s *Step, workers []*Worker, renewal bool) (put bool) {
	if len(workers) == 0 {
		return false
	}
	parts := (len(workers) + p.limits.GangAskWorkers - 1) / p.limits.GangAskWorkers
	for part := range slices.Chunk(workers, (len(workers)+parts-1)/parts) {
		put = p.ask(s, part, renewal) || put
	}
	return put
}

// ticketsDue reports whether the tickets of the chosen workers must be asked for
// now to be there when the gang fits. Asked for later, the room would lie idle
// for as long as the adviser takes, which is half a second and more.
func (p *planner) ticketsDue(s *Step, chosen []*Worker, when time.Duration) bool {
	answered := p.now + s.AskTime(len(chosen))
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
type opening struct {
	at     time.Duration
	worker *Worker
}

// earmarkAhead is how long before a gang is expected to fit other steps begin to
// avoid its workers.
const earmarkAhead = time.Second

// gangRoom is the room that a gang waits for.
type gangRoom struct {
	// preempted says that other runs are being stopped for it.
	preempted bool
	// kept says that what comes free is kept for it; chosen are the workers on which it
	// is expected to fit, when is the time of that, 0 when it can't be told.
	kept   bool
	chosen []*Worker
	when   time.Duration
}

// late reports whether a gang that room is kept for won't fit before long.
func (r gangRoom) late(now time.Duration) bool {
	return r.kept && (r.when == 0 || r.when > now+preemptWait)
}

// roomForGang sees to it that the first gangs that don't fit now find room for n tasks on
// workers: by keeping what comes free or, where that takes long, by stopping less urgent
// runs. Stops for all gangs that wait would place more of them, and cost the leader more
// than that gains: a hundred stops and second starts a second.
func (p *planner) roomForGang(s *Step, workers []*Worker, n int) gangRoom {
	if p.reserved[s.Service] >= keptGangs {
		return gangRoom{}
	}
	openings := p.gangOpenings(s, workers, n)
	soon := openings != nil && openings[n-1].at <= p.now+preemptWait
	if !soon && p.preemptForGang(s, workers, n) {
		p.reserved[s.Service]++
		return gangRoom{kept: true, preempted: true}
	}
	if openings == nil {
		return gangRoom{kept: true}
	}
	p.reserved[s.Service]++
	chosen, when := p.reserveGang(s, openings)
	return gangRoom{kept: true, chosen: chosen, when: when}
}

// reserveGang keeps room for a gang, by the expected ends of what runs there, from
// the steps after s, and returns the workers and the time. Without it, small tasks
// take each piece of room as it comes free, and the gang never finds enough at once.
func (p *planner) reserveGang(s *Step, openings []opening) ([]*Worker, time.Duration) {
	n := len(openings)
	var chosen []*Worker
	for _, o := range openings {
		if !p.limits.Without.Reservation {
			p.keepRoom(o.worker, s.Spec.Room())
		}
		if !slices.Contains(chosen, o.worker) {
			chosen = append(chosen, o.worker)
		}
	}
	if openings[n-1].at <= p.now+earmarkAhead {
		p.earmark(chosen)
	}
	return chosen, openings[n-1].at
}

// gangOpenings lists when and where each of n tasks of s will fit, the soonest
// first; nil when that can't be told of all.
func (p *planner) gangOpenings(s *Step, workers []*Worker, n int) []opening {
	var openings []opening
	for _, w := range workers {
		openings = append(openings, p.openings(s, w, n)...)
	}
	if len(openings) < n {
		return nil
	}
	slices.SortStableFunc(openings, func(a, b opening) int {
		if a.at != b.at {
			return cmp.Compare(a.at, b.at)
		}
		return a.worker.Penalty - b.worker.Penalty
	})
	return openings[:n]
}

// openings lists when each of up to n tasks of s will fit on w.
func (p *planner) openings(s *Step, w *Worker, n int) []opening {
	var list []opening
	free := *w
	add := func(at time.Duration) {
		for len(list) < min(copies(s, &free), n) {
			list = append(list, opening{at: at, worker: w})
		}
	}
	add(p.now)
	for _, r := range w.Releases {
		if len(list) >= n {
			break
		}
		free.Free = free.Free.Plus(r.Room)
		add(max(r.At, p.now))
	}
	return list
}
