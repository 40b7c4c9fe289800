package routing_test

import (
	"math"
	"testing"
	"time"
)

// recoveredFraction is the fraction of the requests per second before the fault at which
// the service counts as recovered.
const recoveredFraction = 0.9

// perSecond converts a count over the measured period to a rate per second.
func (r *loadRun) perSecond(n int) float64 { return float64(n) / (loadEnd - warmUp).Seconds() }

// recoverySeconds returns the number of whole seconds from faultAt until the requests
// completed in time per second stay at or above recoveredFraction of their mean over the
// 3 s before the fault.
func (r *loadRun) recoverySeconds() float64 {
	first := int(faultAt / time.Second)
	before := float64(r.goodBySecond[first-1]+r.goodBySecond[first-2]+r.goodBySecond[first-3]) / 3
	last := int(loadEnd/time.Second) - 1
	for s := last; s >= first; s-- {
		if float64(r.goodBySecond[s]) < recoveredFraction*before {
			return float64(s + 1 - first)
		}
	}
	return 0
}

// maxBusyOnMinion returns the most requests that any minion processed at a time.
func (r *loadRun) maxBusyOnMinion() int {
	maxBusy := 0
	for _, m := range r.minionList {
		maxBusy = max(maxBusy, m.maxBusy)
	}
	return maxBusy
}

// report reports the results of the run as benchmark metrics.
func (r *loadRun) report(b *testing.B) {
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(math.Round(r.perSecond(r.good)), "good/s")
	b.ReportMetric(float64(r.waits.ValueAtQuantile(50))/1000, "wait-p50-ms")
	b.ReportMetric(float64(r.waits.ValueAtQuantile(99))/1000, "wait-p99-ms")
	b.ReportMetric(float64(r.lost), "lost")
	b.ReportMetric(float64(r.late), "late")
	b.ReportMetric(float64(r.refused), "refused")
	b.ReportMetric(r.perSecond(r.bytes)/float64(len(r.entries)), "B/s/entry")
	b.ReportMetric(r.perSecond(r.calls)/float64(len(r.entries)), "calls/s/entry")
	b.ReportMetric(float64(r.maxBusyOnMinion()), "most-on-minion")
	if r.event != nil || r.fault != healthy {
		b.ReportMetric(r.recoverySeconds(), "recovered-s")
	}
	if r.flood > 0 {
		b.ReportMetric(100*float64(r.otherGood)/float64(r.otherOffered), "others-good-%")
	}
}
