package overload

import (
	"context"
	"runtime/metrics"
	"sync"
	"time"

	"github.com/bilberryferry/bilberryferry/internal/wait"
)

const (
	// sampleInterval is how long the monitor sleeps: less than half of maxDelay, so that a delay is noticed
	// before the next heartbeat of the log is due.
	sampleInterval = 10 * time.Millisecond
	// latencyInterval is the time over which the runtime's scheduling latencies are summed up: one tick of the log.
	latencyInterval = 50 * time.Millisecond
	// latencyQuantile is the quantile of these latencies that counts as the delay of the log's goroutine.
	latencyQuantile = 0.9
)

// Monitor measures how long goroutines wait for the processor, as the goroutine of the log does. It observes the
// larger of two values: how late its own sleep ends, which shows a process that was suspended, and a quantile
// of the latencies that the runtime has recorded. The first alone sees no queue of runnable goroutines, because
// the runtime runs a goroutine that a timer has woken before the others.
type Monitor struct {
	observe func(now time.Time, delay time.Duration)
	now     func() time.Time
	// sleep returns false if ctx has ended.
	sleep func(ctx context.Context, d time.Duration) bool
	// latency returns the quantile of the latencies since the last call.
	latency func() time.Duration
}

// NewMonitor returns a monitor that passes each measured delay to observe.
func NewMonitor(observe func(now time.Time, delay time.Duration)) *Monitor {
	return &Monitor{observe: observe, now: time.Now, sleep: wait.For, latency: newLatencyReader().quantile}
}

// Run measures until ctx ends. It always returns nil.
func (m *Monitor) Run(ctx context.Context) error {
	before := m.now()
	latency, latencyAt := time.Duration(0), before
	for m.sleep(ctx, sampleInterval) {
		now := m.now()
		if now.Sub(latencyAt) >= latencyInterval {
			latency, latencyAt = m.latency(), now
		}
		m.observe(now, max(now.Sub(before)-sampleInterval, latency))
		before = now
	}
	return nil
}

// latencyMetric is the histogram of the times for which goroutines have waited for a processor.
const latencyMetric = "/sched/latencies:seconds"

// latencyReader reads the runtime's scheduling latencies.
type latencyReader struct {
	sample   []metrics.Sample
	previous []uint64
}

func newLatencyReader() *latencyReader {
	r := &latencyReader{sample: []metrics.Sample{{Name: latencyMetric}}}
	r.quantile()
	return r
}

// quantile returns the lower bound of the bucket that holds latencyQuantile of the latencies since the last
// call, 0 if there were none.
func (r *latencyReader) quantile() time.Duration {
	metrics.Read(r.sample)
	histogram := r.sample[0].Value.Float64Histogram()
	counts := make([]uint64, len(histogram.Counts))
	total := uint64(0)
	for i, count := range histogram.Counts {
		counts[i] = count
		if r.previous != nil {
			counts[i] -= r.previous[i]
		}
		total += counts[i]
	}
	r.previous = append(r.previous[:0], histogram.Counts...)
	above := uint64(float64(total) * (1 - latencyQuantile))
	for i := len(counts) - 1; i >= 0; i-- {
		if counts[i] > above {
			return time.Duration(max(histogram.Buckets[i], 0) * float64(time.Second))
		}
		above -= counts[i]
	}
	return 0
}

// MeanDelay averages measured scheduling delays. It is safe for concurrent use.
type MeanDelay struct {
	mu    sync.Mutex
	total time.Duration
	count int
}

// Add adds a delay.
func (m *MeanDelay) Add(delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.total += delay
	m.count++
}

// Take returns the mean of the delays since the last call, 0 if there were none.
func (m *MeanDelay) Take() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.count == 0 {
		return 0
	}
	mean := m.total / time.Duration(m.count)
	m.total, m.count = 0, 0
	return mean
}
