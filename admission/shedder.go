package admission

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// sheddingDelay is the mean scheduling delay above which jobs are shed. Each job goes through tens of
	// goroutines on its way to its first start, so urgent jobs are late at a multiple of it.
	sheddingDelay = 6 * time.Millisecond
	// calmDelay is the mean scheduling delay below which shedding decreases.
	calmDelay = 3 * time.Millisecond
	// leastKeptShare and mostKeptShare are the ends of the range of the shares of jobs that are always
	// admitted; the share of a priority grows with its urgency. A delay that jobs don't cause, such as that of
	// a flood of calls, can't keep out all of them, and no priority starves.
	leastKeptShare = 0.4
	mostKeptShare  = 0.7
	// delayWeight is the weight of the latest observation in the moving mean of the delay, in which one counts as
	// at most maxDelayFactor times sheddingDelay: a short stall sheds little, and is soon forgotten.
	delayWeight    = 0.3
	maxDelayFactor = 4
	// levelStep is by how much an observation raises the level for each sheddingDelay that the mean has.
	// calmLevelStep is by how much a calm one lowers it.
	levelStep     = 0.05
	calmLevelStep = 0.2
	// shedRetryAfter is the shortest delay after which callers of shed jobs are told to retry.
	shedRetryAfter = time.Second
)

// ShedInterval is the time between two observations of a Shedder.
const ShedInterval = 100 * time.Millisecond

// Shedder decides which new jobs to refuse while the leader is short of processor. The less urgent ones are refused
// first, so that those that are admitted end in time. Without it, all jobs are admitted and all are late. It isn't
// safe for concurrent use.
type Shedder struct {
	// level is how much is shed. With n priorities it lies between 0, where all jobs are admitted, and n, where of
	// each priority only the share that is always admitted is. Between i and i+1, the admitted share of priorities[i]
	// decreases.
	level float64
	// delay is the moving mean of the observed delays.
	delay time.Duration
	// priorities are those that jobs may have, the least urgent first.
	priorities []int
}

// SetPriorities sets the priorities that jobs may have, in any order.
func (s *Shedder) SetPriorities(priorities []int) {
	s.priorities = slices.Clone(priorities)
	slices.Sort(s.priorities)
	s.priorities = slices.Compact(s.priorities)
	slices.Reverse(s.priorities)
	s.level = min(s.level, float64(len(s.priorities)))
}

// Observe adapts the level to the mean scheduling delay of the last ShedInterval.
func (s *Shedder) Observe(delay time.Duration) {
	latest := min(delay, maxDelayFactor*sheddingDelay)
	s.delay += time.Duration(delayWeight * float64(latest-s.delay))
	switch {
	case s.delay > sheddingDelay:
		steps := float64(s.delay) / float64(sheddingDelay)
		s.level = min(s.level+steps*levelStep, float64(len(s.priorities)))
	case s.delay < calmDelay:
		s.level = max(s.level-calmLevelStep, 0)
	}
}

// Level returns how much is shed: 0 for nothing, 1 for each priority of which as few jobs as possible are admitted.
func (s *Shedder) Level() float64 { return s.level }

// Admits reports whether a new job of a priority is admitted. A job that is refused would be refused again unless
// less is shed, so that retries don't undo the decision.
func (s *Shedder) Admits(job string, priority int) bool {
	return float64(xxhash.Sum64String(job))/math.MaxUint64 <= s.admittedShare(priority)
}

// admittedShare returns the share of the jobs of a priority that are admitted.
func (s *Shedder) admittedShare(priority int) float64 {
	rank := slices.Index(s.priorities, priority)
	if rank < 0 {
		return 1
	}
	shed := min(max(s.level-float64(rank), 0), 1)
	return 1 - (1-s.keptShare(rank))*shed
}

// keptShare returns the share of the jobs of priorities[rank] that is always admitted.
func (s *Shedder) keptShare(rank int) float64 {
	position := (float64(rank) + 0.5) / float64(len(s.priorities))
	return leastKeptShare + (mostKeptShare-leastKeptShare)*position
}

// RetryAfter returns when the caller of a shed job should retry, in whole seconds: later if more is shed.
func (s *Shedder) RetryAfter() time.Duration {
	return shedRetryAfter + time.Duration(math.Round(s.level))*time.Second
}
