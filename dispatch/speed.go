package dispatch

import "time"

// speedPreference says which workers a step prefers by their speed.
type speedPreference uint8

const (
	// anySpeed: no worker of the pool is slow, or neither of the other two holds.
	anySpeed speedPreference = iota
	// prefersFast: the objective doesn't leave enough time for a run on a slow worker.
	prefersFast
	// prefersSlow: the objective does, and little is free on the other workers, which is left to
	// steps that prefer them.
	prefersSlow
)

// scarceFreePercent is the percentage of the CPU of the workers that aren't slow below which what is
// free there counts as scarce. With more free, tight steps don't need it to be kept for them, and
// other steps would only end later on slow workers.
const scarceFreePercent = 25

// slowClass describes the slow workers of a pool, and the CPU of the others in thousandths of a
// core.
type slowClass struct {
	workers, percentSum int
	free, capacity      int64
}

// speed returns the mean speed of the slow workers, relative to the median worker.
func (c slowClass) speed() float64 { return float64(c.percentSum) / float64(100*c.workers) }

// fastIsScarce reports whether little is free on workers that aren't slow.
func (c slowClass) fastIsScarce() bool { return c.free*100 < c.capacity*scarceFreePercent }

// recordSpeeds records the slow workers of each pool.
func (p *planner) recordSpeeds() {
	for service, workers := range p.byService {
		var c slowClass
		for _, w := range workers {
			if w.Slow && w.SpeedPercent > 0 {
				c.workers++
				c.percentSum += w.SpeedPercent
			} else {
				c.free += max(w.Free.MilliCPU, 0)
				c.capacity += w.Capacity.MilliCPU
			}
		}
		if c.workers == 0 {
			continue
		}
		if p.slow == nil {
			p.slow = map[string]slowClass{}
		}
		p.slow[service] = c
	}
}

// setPreference determines which workers s prefers by their speed.
func (p *planner) setPreference(s *Step) {
	class, anySlow := p.slow[s.Service]
	switch {
	case !anySlow:
		s.preference = anySpeed
	case s.Copy || p.isTight(s, class.speed()):
		// A copy is to end before a run that takes too long. Copies are placed last, so they take
		// no fast worker from other steps.
		s.preference = prefersFast
	case class.fastIsScarce():
		s.preference = prefersSlow
	default:
		s.preference = anySpeed
	}
}

// isTight reports whether the objective of s leaves too little time for runs on slow workers of
// the given speed. It does in either of two cases:
//   - The time until Due is shorter than the estimate on such a worker and the adviser's time.
//   - A run there takes more than Stretch times the estimate. Estimates of short steps are off by up
//     to 0.9, and for an estimate that is too short the constant part of the objective seems to
//     leave enough time.
//
// A step that has missed its objective isn't tight, since steps that can still meet theirs need the
// fast workers more.
func (p *planner) isTight(s *Step, speed float64) bool {
	if s.Lateness > 0 {
		return false
	}
	if s.Stretch > 0 && s.Stretch*speed < 1 {
		return true
	}
	needed := time.Duration(float64(s.Spec.EstimateMS) / speed * float64(time.Millisecond))
	if s.NeedsPermit && s.ResponseTime != nil {
		n := p.limits.WorkersPerQuery
		if s.Spec.Gang {
			n = p.limits.WorkersPerGangQuery
		}
		needed += s.ResponseTime(n)
	}
	return s.Due-p.now < needed
}

// compareFastFirst puts workers that aren't slow first if s prefers them.
func compareFastFirst(s *Step, a, b *Worker) int {
	if s.preference != prefersFast {
		return 0
	}
	return compareBools(a.Slow, b.Slow)
}

// compareSlowFirst puts slow workers first if s prefers them.
func compareSlowFirst(s *Step, a, b *Worker) int {
	if s.preference != prefersSlow {
		return 0
	}
	return compareBools(b.Slow, a.Slow)
}

// speedRank orders workers by their speed for a step of which n tasks fit on the worker. Fast
// workers without room come after slow ones with room: a late start is better than none.
func speedRank(s *Step, w *Worker, n int) int {
	switch {
	case s.preference == anySpeed:
		return 0
	case n <= 0:
		return 2
	case (s.preference == prefersFast) == w.Slow:
		return 1
	}
	return 0
}
