package proxy

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/routing"
)

// Range and precision of the histogram of waiting times. A longer wait is recorded as
// maxRecordedWait.
const (
	maxRecordedWait       = time.Minute
	waitSignificantDigits = 2
)

const microsPerMs = 1000

// stats holds the counters and waiting times of a Handler.
type stats struct {
	requests            atomic.Uint64
	answered            atomic.Uint64
	retries             atomic.Uint64
	callersDisconnected atomic.Uint64
	aborted             atomic.Uint64

	mu     sync.Mutex
	faults map[string]uint64
	waits  *hdrhistogram.Histogram
}

func newStats() *stats {
	return &stats{
		faults: make(map[string]uint64),
		waits:  hdrhistogram.New(1, maxRecordedWait.Microseconds(), waitSignificantDigits),
	}
}

// countFault counts a response with a fault by its kind.
func (s *stats) countFault(kind fault.Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[kind.String()]++
}

// recordWait records how long a call waited in the queue.
func (s *stats) recordWait(wait time.Duration) {
	micros := min(max(1, wait.Microseconds()), maxRecordedWait.Microseconds())
	s.mu.Lock()
	defer s.mu.Unlock()
	// RecordValue fails only outside the range of the histogram.
	_ = s.waits.RecordValue(micros)
}

// countOutcome counts an attempt whose outcome is a complete response.
func (s *stats) countOutcome(o routing.Outcome) {
	if o == routing.Answered || o == routing.AnsweredFailure || o == routing.Streamed {
		s.answered.Add(1)
	}
}

// Stats is a snapshot of the metrics of a Handler.
type Stats struct {
	Requests uint64
	// Answered counts complete responses of minions, server errors included.
	Answered uint64
	Retries  uint64
	// CallersGone counts callers that disconnected before their response.
	CallersGone uint64
	// Aborted counts responses that were truncated while they were streamed.
	Aborted uint64
	// Faults counts responses with a fault, by its kind.
	Faults    map[string]uint64
	WaitP50Ms float64
	WaitP99Ms float64
	Queued    int
	Running   int
	// GrantedSlots is the number of slots of all grants in force.
	GrantedSlots int
	OpenBreakers int
	Balancer     routing.Counts
}

// Stats returns the counters and waiting times since the start, and the current
// queue, load and slots.
func (h *Handler) Stats() Stats {
	out := Stats{
		Requests:    h.stats.requests.Load(),
		Answered:    h.stats.answered.Load(),
		Retries:     h.stats.retries.Load(),
		CallersGone: h.stats.callersDisconnected.Load(),
		Aborted:     h.stats.aborted.Load(),
		Faults:      make(map[string]uint64),
	}
	h.stats.mu.Lock()
	for kind, n := range h.stats.faults {
		out.Faults[kind] = n
	}
	out.WaitP50Ms = float64(h.stats.waits.ValueAtQuantile(50)) / microsPerMs
	out.WaitP99Ms = float64(h.stats.waits.ValueAtQuantile(99)) / microsPerMs
	h.stats.mu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	out.Queued = h.balancer.QueueLength()
	out.Running = h.balancer.InFlight()
	out.GrantedSlots = h.balancer.GrantedSlots()
	out.OpenBreakers = h.balancer.OpenBreakers()
	out.Balancer = h.balancer.Counts()
	return out
}
