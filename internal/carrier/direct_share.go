package carrier

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// defaultMaxDirectCallsPerSecond bounds the calls to workers that the leader makes itself.
	// This rate leaves the leader most of the time of a small processor for its decisions.
	defaultMaxDirectCallsPerSecond = 500
	// rateWeight is the weight of the latest value in the moving average of the orders per
	// second.
	rateWeight = 0.3
	// longDelay is the scheduling delay above which the bound of the direct calls is halved: other
	// instances have processor to spare, the leader hasn't. Below shortDelay it grows again, by
	// boundStep of its full value with each update.
	longDelay  = 10 * time.Millisecond
	shortDelay = 5 * time.Millisecond
	boundStep  = 1.0 / 16
)

// directShare selects the workers that the leader calls directly: all of them at a low rate
// of orders, and a share that shrinks as the rate grows.
//
// At a few hundred orders per second the leader can make all calls itself, and a carrier
// would only delay starts and ends of runs. At several thousand, direct calls would take the
// time that the leader needs for its decisions. How many it can make depends on its processor
// and on its other work, so the bound follows the scheduling delay.
type directShare struct {
	// maxPerSecond bounds the direct calls per second; 0 means that there are none.
	maxPerSecond float64
	orderCount   atomic.Int64

	mu sync.Mutex
	// boundShare is the share of maxPerSecond that bounds the direct calls now, from 0 to 1.
	boundShare float64
	// ordersPerSecond is a moving average.
	ordersPerSecond float64
	lastUpdate      time.Time
	// hashLimit is the highest hash of a worker that the leader calls directly; 0 means that
	// it calls none directly.
	hashLimit uint64
}

// directLimit returns the bound of the direct calls per second that a configured value stands for.
func directLimit(configured int) float64 {
	if configured == 0 {
		return defaultMaxDirectCallsPerSecond
	}
	return float64(max(configured, 0))
}

// reset starts a leader term without direct calls, because a new leader polls all workers at
// the same time, which is the leader's highest load.
func (s *directShare) reset(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orderCount.Store(0)
	s.ordersPerSecond, s.lastUpdate, s.hashLimit, s.boundShare = 0, now, 0, 1
}

// countOrder counts an order, direct or forwarded.
func (s *directShare) countOrder() { s.orderCount.Add(1) }

// update adds the rate of orders since the last update to the moving average, and sets the
// share of direct calls by that average and by the mean scheduling delay since then.
func (s *directShare) update(now time.Time, schedulingDelay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	elapsed := now.Sub(s.lastUpdate)
	if elapsed <= 0 {
		return
	}
	latest := float64(s.orderCount.Swap(0)) / elapsed.Seconds()
	s.lastUpdate = now
	if s.ordersPerSecond == 0 {
		s.ordersPerSecond = latest
	}
	s.ordersPerSecond += rateWeight * (latest - s.ordersPerSecond)
	s.adaptBound(schedulingDelay)
	s.hashLimit = s.limitFor(s.ordersPerSecond)
}

// adaptBound adapts the bound to a scheduling delay. s.mu must be held.
func (s *directShare) adaptBound(delay time.Duration) {
	switch {
	case delay > longDelay:
		s.boundShare /= 2
	case delay < shortDelay:
		s.boundShare = min(s.boundShare+boundStep, 1)
	}
}

// limitFor returns the hash limit at a rate of orders. s.mu must be held.
func (s *directShare) limitFor(ordersPerSecond float64) uint64 {
	bound := s.maxPerSecond * s.boundShare
	switch {
	case bound == 0:
		return 0
	case ordersPerSecond > bound:
		return uint64(bound / ordersPerSecond * math.MaxUint64)
	}
	return math.MaxUint64
}

// includesAll reports whether the leader calls all workers directly.
func (s *directShare) includesAll() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hashLimit == math.MaxUint64
}

// includes reports whether the leader calls a worker directly.
func (s *directShare) includes(worker string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hashLimit > 0 && xxhash.Sum64String(worker) <= s.hashLimit
}
