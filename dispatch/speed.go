package dispatch

import (
	"cmp"
	"time"

	"github.com/bilberryferry/bilberryferry/speed"
)

// speedPreference says which workers a step prefers by their speed.
type speedPreference uint8

const (
	// anySpeed: all workers of the pool are of one class, or neither of the other two holds.
	anySpeed speedPreference = iota
	// prefersFast: the objective doesn't leave enough time for a run on a worker that isn't of the
	// fastest class.
	prefersFast
	// prefersSlow: the objective does, and little is free on the workers of the fastest class, which
	// is left to steps that prefer them.
	prefersSlow
)

// scarceFreePercent is the percentage of the CPU of the workers of the fastest class below which what is
// free there counts as scarce. With more free, tight steps don't need it to be kept for them, and
// other steps would only end later on slower workers.
const scarceFreePercent = 25

// ordinaryPercent is the speed of workers that are neither slow nor fast.
const ordinaryPercent = 100

// poolSpeeds describes the workers of a pool by their speed: those of the fastest class that the pool has,
// and the slower ones.
type poolSpeeds struct {
	fastest, slower classSpeed
}

// classSpeed sums up the speeds of workers and their CPU in thousandths of a core.
type classSpeed struct {
	workers, percentSum int
	free, capacity      int64
}

func (c *classSpeed) add(w *Worker) {
	c.workers++
	if w.effectiveClass == speed.Ordinary {
		c.percentSum += ordinaryPercent
	} else {
		c.percentSum += w.SpeedPercent
	}
	c.free += max(w.Free.MilliCPU, 0)
	c.capacity += w.Capacity.MilliCPU
}

// mean returns the mean speed of the workers, relative to the median worker.
func (c classSpeed) mean() float64 { return float64(c.percentSum) / float64(ordinaryPercent*c.workers) }

// fastestIsScarce reports whether little is free on the workers of the fastest class.
func (s poolSpeeds) fastestIsScarce() bool {
	return s.fastest.free*100 < s.fastest.capacity*scarceFreePercent
}

// minFastDivisor is the inverse of the share of the workers of a pool that must be fast for the class to
// count. Otherwise the preference of all tight steps would go to a few workers, perhaps found fast by chance.
const minFastDivisor = 10

// recordSpeeds records the speeds of each pool with workers of more than one class.
func (p *planner) recordSpeeds() {
	for service, workers := range p.byService {
		fastest := setEffectiveClasses(workers)
		var speeds poolSpeeds
		for _, w := range workers {
			if w.effectiveClass == fastest {
				speeds.fastest.add(w)
			} else {
				speeds.slower.add(w)
			}
		}
		if speeds.slower.workers == 0 {
			continue
		}
		if p.speeds == nil {
			p.speeds = map[string]poolSpeeds{}
		}
		p.speeds[service] = speeds
	}
}

// setEffectiveClasses sets effectiveClass of the workers of a pool and returns the fastest one.
func setEffectiveClasses(workers []*Worker) speed.Class {
	fast := 0
	for _, w := range workers {
		if w.SpeedClass == speed.Fast {
			fast++
		}
	}
	fastest := speed.Slow
	for _, w := range workers {
		w.effectiveClass = w.SpeedClass
		if w.SpeedClass == speed.Fast && fast*minFastDivisor < len(workers) {
			w.effectiveClass = speed.Ordinary
		}
		fastest = min(fastest, w.effectiveClass)
	}
	return fastest
}

// setPreference determines which workers s prefers by their speed.
func (p *planner) setPreference(s *Step) {
	speeds, unequal := p.speeds[s.Service]
	switch {
	case !unequal:
		s.preference = anySpeed
	case s.Copy || p.isTight(s, speeds):
		// A copy is to end before a run that takes too long. Copies are placed last, so they take
		// no fast worker from other steps.
		s.preference = prefersFast
	case speeds.fastestIsScarce():
		s.preference = prefersSlow
	default:
		s.preference = anySpeed
	}
}

// isTight reports whether the objective of s leaves too little time for runs on the slower workers of its
// pool. It does in either of two cases:
//   - The time until Due is shorter than the estimate on such a worker and the adviser's time.
//   - A run there takes more than Stretch times as long as on a worker of the fastest class. Estimates of
//     short steps are off by up to 0.9, and for an estimate that is too short the constant part of the
//     objective seems to leave enough time.
//
// A step that has missed its objective isn't tight, since steps that can still meet theirs need the
// fast workers more.
func (p *planner) isTight(s *Step, speeds poolSpeeds) bool {
	if s.Lateness > 0 {
		return false
	}
	slower := speeds.slower.mean()
	if s.Stretch > 0 && s.Stretch*slower < speeds.fastest.mean() {
		return true
	}
	needed := time.Duration(float64(s.Spec.EstimateMS) / slower * float64(time.Millisecond))
	if s.NeedsPermit && s.ResponseTime != nil {
		n := p.limits.WorkersPerQuery
		if s.Spec.Gang {
			n = p.limits.WorkersPerGangQuery
		}
		needed += s.ResponseTime(n)
	}
	return s.Due-p.now < needed
}

// compareFastFirst puts faster workers first if s prefers them.
func compareFastFirst(s *Step, a, b *Worker) int {
	if s.preference != prefersFast {
		return 0
	}
	return cmp.Compare(a.effectiveClass, b.effectiveClass)
}

// compareSlowFirst puts slower workers first if s prefers them.
func compareSlowFirst(s *Step, a, b *Worker) int {
	if s.preference != prefersSlow {
		return 0
	}
	return cmp.Compare(b.effectiveClass, a.effectiveClass)
}

// noRoomRank is the speedRank of workers without room, after those of all classes.
const noRoomRank = int(speed.Slow) + 1

// speedRank orders workers by their speed for a step of which n tasks fit on the worker. Fast
// workers without room come after slow ones with room: a late start is better than none.
func speedRank(s *Step, w *Worker, n int) int {
	switch {
	case s.preference == anySpeed:
		return 0
	case n <= 0:
		return noRoomRank
	case s.preference == prefersSlow:
		return -int(w.effectiveClass)
	}
	return int(w.effectiveClass)
}
