package routing

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histogramDuration is the time that one histogram covers. The sliding window
	// consists of histogramCount histograms.
	histogramDuration = 2 * time.Second
	histogramCount    = 3
	// estimateInterval is how often the mean and the percentile are recomputed.
	estimateInterval = 100 * time.Millisecond
	// earlySamples is the number of samples below which mean and tail are recomputed
	// without waiting for estimateInterval.
	earlySamples = 20
	// tailPercentile is the percentile of the service times that a request is
	// assumed to need when the Balancer decides whether it can still be completed
	// by its deadline.
	tailPercentile = 95

	// maxServiceTime is the largest recorded service time; longer service times are
	// recorded as maxServiceTime. significantDigits is the precision of the histogram.
	maxServiceTime    = 60 * time.Second
	significantDigits = 2
)

// estimator estimates the service times of one service from recent samples.
type estimator struct {
	window      *hdrhistogram.WindowedHistogram
	rotatedAt   time.Duration
	refreshedAt time.Duration
	// addedAt is when the last sample was added.
	addedAt time.Duration
	// hasNewSamples reports whether samples were added since mean and tail were
	// computed.
	hasNewSamples bool

	// samples is the number of samples from which mean and tail were computed.
	samples int64
	mean    time.Duration
	// tail is the service time at tailPercentile.
	tail time.Duration
}

// newEstimator returns an estimator whose mean and tail are initialServiceTime until it
// has samples.
func newEstimator(initialServiceTime time.Duration, now time.Duration) *estimator {
	window := hdrhistogram.NewWindowed(histogramCount, 1, maxServiceTime.Microseconds(), significantDigits)
	return &estimator{window: window, rotatedAt: now, refreshedAt: now, addedAt: now, mean: initialServiceTime, tail: initialServiceTime}
}

// add records a service time.
func (e *estimator) add(took, now time.Duration) {
	e.rotateWindow(now)
	e.addedAt = now
	micros := min(max(1, took.Microseconds()), maxServiceTime.Microseconds())
	// RecordValue can't fail: micros is within the bounds given to NewWindowed.
	_ = e.window.Current.RecordValue(micros)
	e.hasNewSamples = true
}

// refresh recomputes mean and tail from new samples if estimateInterval has
// passed, or immediately while they are computed from fewer than earlySamples samples.
func (e *estimator) refresh(now time.Duration) {
	early := e.samples < earlySamples && e.hasNewSamples
	if now-e.refreshedAt < estimateInterval && !early {
		return
	}
	e.refreshedAt = now
	if e.hasNewSamples {
		e.readWindow()
	}
	e.rotateWindow(now)
}

// rotateWindow drops the parts of the window that have expired.
func (e *estimator) rotateWindow(now time.Duration) {
	passed := int((now - e.rotatedAt) / histogramDuration)
	if passed == 0 {
		return
	}
	e.rotatedAt = now
	for range min(passed, histogramCount) {
		e.window.Rotate()
	}
}

// stale reports whether the last sample is too old to be in the window.
func (e *estimator) stale(now time.Duration) bool {
	return now-e.addedAt >= histogramCount*histogramDuration
}

// readWindow recomputes mean and tail from the window.
func (e *estimator) readWindow() {
	e.hasNewSamples = false
	merged := e.window.Merge()
	e.samples = merged.TotalCount()
	if e.samples == 0 {
		return
	}
	e.mean = time.Duration(merged.Mean() * float64(time.Microsecond))
	e.tail = time.Duration(merged.ValueAtQuantile(tailPercentile)) * time.Microsecond
}

// median returns the median of times, or 0 if there are none. It sorts times.
func median(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)/2]
}
