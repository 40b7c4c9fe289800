package routing

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// estimateWindow is how long service times count; a window of
	// estimateWindowParts parts slides over them.
	estimateWindow      = 2 * time.Second
	estimateWindowParts = 3
	// estimateInterval is how often quantiles are read again.
	estimateInterval = 100 * time.Millisecond
	// tailPercentile of the service times is expected of a request that must be
	// answered by its deadline.
	tailPercentile = 95

	maxServiceTime    = 60 * time.Second
	significantDigits = 2
)

// estimator knows the recent service times of one service.
type estimator struct {
	window    *hdrhistogram.WindowedHistogram
	rotatedAt time.Duration
	readAt    time.Duration
	// added is when the last service time was taken in.
	addedAt time.Duration
	unread  bool

	samples int64
	mean    time.Duration
	tail    time.Duration
}

func newEstimator(first time.Duration, now time.Duration) *estimator {
	window := hdrhistogram.NewWindowed(estimateWindowParts, 1, maxServiceTime.Microseconds(), significantDigits)
	return &estimator{window: window, rotatedAt: now, readAt: now, addedAt: now, mean: first, tail: first}
}

func (e *estimator) add(took, now time.Duration) {
	e.slide(now)
	e.addedAt = now
	micros := min(max(1, took.Microseconds()), maxServiceTime.Microseconds())
	// The value is within the bounds given to NewWindowed, so there is no error.
	_ = e.window.Current.RecordValue(micros)
	e.unread = true
}

// refresh reads mean and quantile again when it is time to.
func (e *estimator) refresh(now time.Duration) {
	early := e.samples < 20 && e.unread
	if now-e.readAt < estimateInterval && !early {
		return
	}
	e.readAt = now
	if e.unread {
		e.readWindow()
	}
	e.slide(now)
}

// slide drops the parts of the window that have passed.
func (e *estimator) slide(now time.Duration) {
	passed := int((now - e.rotatedAt) / estimateWindow)
	if passed == 0 {
		return
	}
	e.rotatedAt = now
	for range min(passed, estimateWindowParts) {
		e.window.Rotate()
	}
}

// stale says that no service time of the window is known any more.
func (e *estimator) stale(now time.Duration) bool {
	return now-e.addedAt >= estimateWindowParts*estimateWindow
}

func (e *estimator) readWindow() {
	e.unread = false
	merged := e.window.Merge()
	e.samples = merged.TotalCount()
	if e.samples == 0 {
		return
	}
	e.mean = time.Duration(merged.Mean() * float64(time.Microsecond))
	e.tail = time.Duration(merged.ValueAtQuantile(tailPercentile)) * time.Microsecond
}

// median returns the middle of times, or 0 for none. It sorts times.
func median(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)/2]
}
