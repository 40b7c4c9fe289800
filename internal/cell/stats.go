package cell

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histogram of waiting times in microseconds, and its significant digits.
const (
	minWaitMicros         = 1
	maxWaitMicros         = int64(24 * time.Hour / time.Microsecond)
	waitSignificantDigits = 2
)

const microsPerMs = 1000

// Stats are the counters of a cell and the waiting times of its jobs until their first
// start.
type Stats struct {
	Submissions, Refusals, Starts, Renewals, Reports, Rebuilds expvar.Int
	Waits                                                      Histogram
}

// init creates the histogram of waiting times.
func (s *Stats) init() {
	s.Waits.histogram = hdrhistogram.New(minWaitMicros, maxWaitMicros, waitSignificantDigits)
}

// Histogram is a histogram of durations that is safe for concurrent use.
type Histogram struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// Record adds one duration.
func (h *Histogram) Record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.histogram.RecordValue(min(max(d.Microseconds(), minWaitMicros), maxWaitMicros))
}

// Summary returns the count, the percentiles and the maximum, in ms, for the metrics.
func (h *Histogram) Summary() map[string]any {
	h.mu.Lock()
	defer h.mu.Unlock()
	ms := func(quantile float64) float64 { return float64(h.histogram.ValueAtQuantile(quantile)) / microsPerMs }
	return map[string]any{"count": h.histogram.TotalCount(), "p50_ms": ms(50), "p99_ms": ms(99), "max_ms": ms(100)}
}

// Publish adds the counters to a map of metrics.
func (c *Cell) Publish(metrics *expvar.Map) {
	metrics.Set("submissions", &c.stats.Submissions)
	metrics.Set("refusals", &c.stats.Refusals)
	metrics.Set("starts", &c.stats.Starts)
	metrics.Set("renewals", &c.stats.Renewals)
	metrics.Set("cache_rebuilds", &c.stats.Rebuilds)
	metrics.Set("reports", &c.stats.Reports)
	metrics.Set("waiting_time", expvar.Func(func() any { return c.stats.Waits.Summary() }))
	metrics.Set("packing", expvar.Func(func() any { return c.cpuUtilization() }))
	metrics.Set("log", expvar.Func(func() any { return c.log.Status() }))
}

// cpuUtilization returns the share of the workers' CPU that running tasks hold, from 0 to 1.
func (c *Cell) cpuUtilization() float64 {
	t := c.leaderTerm.Load()
	if t == nil {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	used, capacity := t.cluster.Used()
	if capacity.CPU == 0 {
		return 0
	}
	return float64(used.CPU) / float64(capacity.CPU)
}
