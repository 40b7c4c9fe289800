package routing

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// estimateWindow is how long service times count; a window of
	// estimateWindows parts slides over them.
	estimateWindow  = 2 * time.Second
	estimateWindows = 3
	// estimateEvery is how often quantiles are read again.
	estimateEvery = 100 * time.Millisecond
	// safeQuantile of the service times is expected of a request that must be
	// answered by its deadline.
	safeQuantile = 95

	longestTime = 60 * time.Second
	timeDigits  = 2
)

// estimator knows the recent service times of one service.
type estimator struct {
	window  *hdrhistogram.WindowedHistogram
	rotated time.Duration
	read    time.Duration
	// added is when the last service time was taken in.
	added time.Duration
	fresh bool

	samples int64
	mean    time.Duration
	high    time.Duration
}

func newEstimator(first time.Duration, now time.Duration) *estimator {
	window := hdrhistogram.NewWindowed(estimateWindows, 1, longestTime.Microseconds(), timeDigits)
	return &estimator{window: window, rotated: now, read: now, added: now, mean: first, high: first}
}

func (e *estimator) add(took, now time.Duration) {
	e.slide(now)
	e.added = now
	micros := min(max(1, took.Microseconds()), longestTime.Microseconds())
	// The value is within the bounds given to NewWindowed, so there is no error.
	_ = e.window.Current.RecordValue(micros)
	e.fresh = true
}

// refresh reads mean and quantile again when it is time to.
func (e *estimator) refresh(now time.Duration) {
	early := e.samples < 20 && e.fresh
	if now-e.read < estimateEvery && !early {
		return
	}
	e.read = now
	if e.fresh {
		e.readWindow()
	}
	e.slide(now)
}

// slide drops the parts of the window that have passed.
func (e *estimator) slide(now time.Duration) {
	passed := int((now - e.rotated) / estimateWindow)
	if passed == 0 {
		return
	}
	e.rotated = now
	for range min(passed, estimateWindows) {
		e.window.Rotate()
	}
}

// stale says that no service time of the window is known any more.
func (e *estimator) stale(now time.Duration) bool {
	return now-e.added >= estimateWindows*estimateWindow
}

func (e *estimator) readWindow() {
	e.fresh = false
	merged := e.window.Merge()
	e.samples = merged.TotalCount()
	if e.samples == 0 {
		return
	}
	e.mean = time.Duration(merged.Mean() * float64(time.Microsecond))
	e.high = time.Duration(merged.ValueAtQuantile(safeQuantile)) * time.Microsecond
}

// median returns the middle of times, or 0 for none. It sorts times.
func median(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)/2]
}
