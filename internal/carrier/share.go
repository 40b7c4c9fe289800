package carrier

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ownCalls is how many calls of workers a second the leader makes by itself: they
	// leave most of a small processor to its decisions.
	ownCalls = 500
	// rateWeight is that of the latest count in the moving mean of orders a second.
	rateWeight = 0.3
)

// ownShare tells which workers the leader calls by itself: all while there are few orders,
// which then save the way through a carrier, and a smaller part the more orders there are.
//
// Load that it answers: at some hundred orders a second the leader has time to spare, and
// the longer way makes each start and each end later; at some thousands its calls would
// take the time of its decisions.
type ownShare struct {
	orders atomic.Int64

	mu      sync.Mutex
	rate    float64
	counted time.Time
	// bound is the part of the hashes of workers that the leader calls itself.
	bound uint64
}

// begin begins a leadership with nothing of its own: what a new leader has to do first, a
// look at each worker, is the most that it ever has to do at once.
func (s *ownShare) begin(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders.Store(0)
	s.rate, s.counted, s.bound = 0, now, 0
}

// noteOrder counts an order.
func (s *ownShare) noteOrder() { s.orders.Add(1) }

// adapt takes the orders since the last time into account.
func (s *ownShare) adapt(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	passed := now.Sub(s.counted)
	if passed <= 0 {
		return
	}
	latest := float64(s.orders.Swap(0)) / passed.Seconds()
	s.counted = now
	if s.rate == 0 {
		s.rate = latest
	}
	s.rate += rateWeight * (latest - s.rate)
	s.bound = math.MaxUint64
	if s.rate > ownCalls {
		s.bound = uint64(ownCalls / s.rate * math.MaxUint64)
	}
}

// has reports whether the leader calls a worker by itself.
func (s *ownShare) has(worker string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bound > 0 && xxhash.Sum64String(worker) <= s.bound
}
