package carrier

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxDirectCallsPerSecond is how many calls of workers a second the leader makes by itself: they
	// leave most of a small processor to its decisions.
	maxDirectCallsPerSecond = 500
	// rateWeight is that of the latest count in the moving mean of orders a second.
	rateWeight = 0.3
)

// directShare tells which workers the leader calls by itself: all while there are few orders,
// which then save the way through a carrier, and a smaller part the more orders there are.
//
// Load that it answers: at some hundred orders a second the leader has time to spare, and
// the longer way makes each start and each end later; at some thousands its calls would
// take the time of its decisions.
type directShare struct {
	orderCount atomic.Int64

	mu              sync.Mutex
	ordersPerSecond float64
	lastUpdate      time.Time
	// bound is the part of the hashes of workers that the leader calls itself.
	hashLimit uint64
}

// begin begins a leadership with nothing of its own: what a new leader has to do first, a
// look at each worker, is the most that it ever has to do at once.
func (s *directShare) reset(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orderCount.Store(0)
	s.ordersPerSecond, s.lastUpdate, s.hashLimit = 0, now, 0
}

// countOrder counts an order.
func (s *directShare) countOrder() { s.orderCount.Add(1) }

// adapt takes the orders since the last time into account.
func (s *directShare) update(now time.Time) {
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
	s.hashLimit = math.MaxUint64
	if s.ordersPerSecond > maxDirectCallsPerSecond {
		s.hashLimit = uint64(maxDirectCallsPerSecond / s.ordersPerSecond * math.MaxUint64)
	}
}

// has reports whether the leader calls a worker by itself.
func (s *directShare) includes(worker string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hashLimit > 0 && xxhash.Sum64String(worker) <= s.hashLimit
}
