package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// seekPermits decides what to ask the adviser for the tasks of s that were not
// started, reserves room for them where that helps, and says what they wait for.
func (p *planner) seekPermits(s *Step, suitable []*Worker, left int) Reason {
	if !s.NeedsPermit {
		if s.Spec.Gang {
			if _, _, preempted := p.makeRoom(s, suitable, left); preempted {
				return ReasonYielding
			}
		}
		return heldBy(s, suitable, left)
	}
	granted, unknown := p.split(s, suitable)
	if s.Spec.Gang {
		return p.seekForGang(s, granted, unknown, left)
	}
	if s.Asking {
		p.reserve(s, named(granted, s.Renewing), left)
		return ReasonPermit
	}
	if renew := roomFor(s, granted, left); len(renew) > 0 {
		p.reserve(s, renew, left)
		p.ask(s, renew, true)
		return ReasonPermit
	}
	if wantsMore(s, unknown) {
		p.ask(s, p.toLearn(s, granted, unknown, left), false)
		return ReasonPermit
	}
	return reasonFor(s, granted, left)
}

func reasonFor(s *Step, granted []*Worker, left int) Reason {
	if len(granted) == 0 {
		return ReasonRefused
	}
	return heldBy(s, granted, left)
}

// maxReserved is how many gangs of a pool room is kept for in one decision. Those
// behind them wait for ends that are too far off to be told.
const maxReserved = 12

// seekForGang reserves the permitted workers on which the gang will fit first,
// and has tickets for them by then.
func (p *planner) seekForGang(s *Step, granted, unknown []*Worker, left int) Reason {
	if p.reserved[s.Service] >= maxReserved && len(s.Permits) > 0 {
		if len(granted) == 0 {
			return ReasonRefused
		}
		return heldBehind(s, granted, left)
	}
	p.reserved[s.Service]++
	chosen, when, preempted := p.makeRoom(s, granted, left)
	switch {
	case preempted:
		return ReasonYielding
	case s.Asking:
		return ReasonPermit
	case p.gangLearns(s, granted, unknown, left, when):
		p.askInParts(s, p.toLearnForGang(s, granted, unknown, left))
		return ReasonPermit
	case len(chosen) > 0 && p.ticketsDue(s, chosen, when):
		p.ask(s, chosen, true)
		return ReasonPermit
	}
	return reasonFor(s, granted, left)
}

// gangLearns reports whether a gang asks about workers that nothing is known of:
// before anything is known, when its permitted workers would hardly do if they
// were empty, and when they won't do before long while others have room. Without
// the last, a gang that was permitted on one worker of the few that had answered a
// new leader waited for that one for good. when is 0 when it can't be told.
//
// It also asks when it doesn't fit now and others promise enough room: expected ends
// are off by half, and a gang that waits for those of the few workers it knows of
// renews its tickets there over and over while a quarter of the pool is free.
func (p *planner) gangLearns(s *Step, granted, unknown []*Worker, left int, when time.Duration) bool {
	if len(unknown) == 0 {
		return false
	}
	if len(s.Permits) == 0 || emptyRoom(s, granted) < emptyMargin*left {
		return true
	}
	late := when == 0 || when > p.now+preemptWait
	return late && wantsMore(s, unknown) || when > p.now && promising(s, granted, unknown, left)
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
	// roomMargin times its tasks a gang's questions cover of the room that is free now:
	// which workers are permitted differs from the average, and some room is taken
	// until the answer comes.
	roomMargin = 1.5
	// gangParts bounds the questions that a gang puts side by side. Each takes a lane
	// for half a second and more.
	gangParts = 6
)

// toLearnForGang names the workers that a gang asks about: permitted ones with room
// for it, and of the unknown ones, those with room first, as many as are expected
// to hold it by the share that the adviser permits.
//
// Load that it answers: gangs of 20 to 120 tasks among 350 workers, of which a
// quarter is permitted and a quarter is free. A question names 60 workers, so 15 are
// permitted, with room for a few tasks: a gang that asks one question after the
// other, 0.9 s each, finds none of them free together. On a calm day 0.70 of the
// gangs' worth was earned instead of 0.64.
func (p *planner) toLearnForGang(s *Step, granted, unknown []*Worker, left int) []*Worker {
	ask := roomFor(s, granted, left)
	now, empty := float64(freeRoom(s, ask)), float64(emptyRoom(s, granted))
	share := s.grantShare()
	for _, w := range byRoom(s, unknown) {
		n := copies(s, w)
		enough := empty >= float64(emptyMargin*left) && (n == 0 || now >= roomMargin*float64(left))
		if len(ask) >= gangParts*p.limits.GangAskWorkers || len(ask) >= p.limits.GangAskWorkers && enough {
			break
		}
		ask = append(ask, w)
		now += share * float64(n)
		empty += share * float64(emptyCopies(s, w))
	}
	return ask
}

// askInParts puts the question in parts of equal length, side by side.
func (p *planner) askInParts(s *Step, workers []*Worker) {
	if len(workers) == 0 {
		return
	}
	parts := (len(workers) + p.limits.GangAskWorkers - 1) / p.limits.GangAskWorkers
	for part := range slices.Chunk(workers, (len(workers)+parts-1)/parts) {
		p.ask(s, part, false)
	}
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

// split separates the workers that are known to be permitted from those that
// nothing is known of.
func (p *planner) split(s *Step, suitable []*Worker) (granted, unknown []*Worker) {
	for _, w := range suitable {
		permit, known := s.Permits[w.ID]
		switch {
		case !known:
			unknown = append(unknown, w)
		case permit.Granted:
			granted = append(granted, w)
		}
	}
	return granted, unknown
}

// roomFor returns permitted workers on which n tasks of s fit now, those with most
// room first, or all that have room where they don't. A start there needs a valid
// ticket.
func roomFor(s *Step, granted []*Worker, n int) []*Worker {
	var chosen []*Worker
	room := 0
	for _, w := range byRoom(s, withRoom(s, granted)) {
		chosen = append(chosen, w)
		room += copies(s, w)
		if room >= n {
			return chosen
		}
	}
	return chosen
}

// freeRoom returns how many tasks of s the workers hold now.
func freeRoom(s *Step, workers []*Worker) int {
	total := 0
	for _, w := range workers {
		total += copies(s, w)
	}
	return total
}

// withRoom returns the workers on which a task of s fits now.
func withRoom(s *Step, workers []*Worker) []*Worker {
	var out []*Worker
	for _, w := range workers {
		if copies(s, w) > 0 {
			out = append(out, w)
		}
	}
	return out
}

// wantsMore reports whether workers of unknown permission are worth a question.
func wantsMore(s *Step, unknown []*Worker) bool {
	if len(s.Permits) == 0 {
		return len(unknown) > 0
	}
	return slices.ContainsFunc(unknown, func(w *Worker) bool { return copies(s, w) > 0 })
}

// emptyRoom returns how many tasks of s the workers would hold if they ran
// nothing else.
func emptyRoom(s *Step, workers []*Worker) int {
	total := 0
	for _, w := range workers {
		total += emptyCopies(s, w)
	}
	return total
}

// emptyCopies returns how many tasks of s fit on w when it runs nothing else.
func emptyCopies(s *Step, w *Worker) int {
	n := s.Spec.Room().Copies(w.Capacity)
	if s.Spec.MaxPerWorker > 0 {
		n = min(n, s.Spec.MaxPerWorker)
	}
	return n
}

// toLearn names the workers of a question: permitted ones that the tasks left
// need as well, then unknown ones, those with room first.
func (p *planner) toLearn(s *Step, granted, unknown []*Worker, left int) []*Worker {
	ask := roomFor(s, granted, left)
	for _, w := range byRoom(s, unknown) {
		if len(ask) >= p.limits.AskWorkers {
			break
		}
		ask = append(ask, w)
	}
	return ask
}

func (p *planner) ask(s *Step, workers []*Worker, renewal bool) {
	if p.limits.Asks == 0 {
		return
	}
	p.limits.Asks--
	ids := make([]string, len(workers))
	for i, w := range workers {
		ids[i] = w.ID
	}
	p.plan.Asks = append(p.plan.Asks, Ask{Step: s.Key, Workers: ids, Renewal: renewal})
}

// opening is room for one more task on a worker from a time on.
type opening struct {
	at     time.Duration
	worker *Worker
}

// earmarkAhead is how long before a gang is expected to fit other steps begin to
// avoid its workers.
const earmarkAhead = time.Second

// makeRoom sees to it that a gang of n tasks finds room on workers: by stops when
// it won't fit before long, else by keeping the room that comes free first.
func (p *planner) makeRoom(s *Step, workers []*Worker, n int) (chosen []*Worker, when time.Duration, preempted bool) {
	openings := p.gangOpenings(s, workers, n)
	soon := openings != nil && openings[n-1].at <= p.now+preemptWait
	if !soon && p.preemptForGang(s, workers, n) {
		return nil, 0, true
	}
	if openings == nil {
		return nil, 0, false
	}
	chosen, when = p.reserveGang(s, openings)
	return chosen, when, false
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

// named returns the workers whose IDs are listed.
func named(workers []*Worker, ids []string) []*Worker {
	var out []*Worker
	for _, w := range workers {
		if slices.Contains(ids, w.ID) {
			out = append(out, w)
		}
	}
	return out
}
