package e2e

import (
	"fmt"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histogramMax is the longest duration that the benchmarks' histograms record.
	histogramMax = time.Minute
	// histogramDigits is the histograms' precision, in significant decimal digits.
	histogramDigits = 3
)

// BenchmarkUrgentStartAfterLeaderLoss measures the time from the submission of an urgent job
// to its start on a worker, when the leader of the data centre was killed immediately
// before the submission.
func BenchmarkUrgentStartAfterLeaderLoss(b *testing.B) {
	c := newCluster(b, "rackwise", oneDataCentre)
	c.workers(6)
	customer := c.customer(0)
	dataCentre := c.deployment.Settings.DataCentres()[0]
	waits := hdrhistogram.New(1, histogramMax.Milliseconds(), histogramDigits)
	i := 0
	for b.Loop() {
		leader := c.leader(dataCentre)
		c.kill(leader + "/cell")
		submitted := time.Now()
		spec := batchSpec("urgent", 1, 20, true)
		spec.Urgent = true
		id := customer.submit(fmt.Sprint("urgent-", i), spec).Id
		customer.awaitEnd(id)
		started, _ := c.ledger.FirstStart(id, 0)
		_ = waits.RecordValue(started.Sub(submitted).Milliseconds())
		c.start(leader, "cell")
		c.awaitCatchUp(leader)
		i++
	}
	b.ReportMetric(float64(waits.ValueAtQuantile(50)), "p50-ms")
	b.ReportMetric(float64(waits.Max()), "max-ms")
}

// BenchmarkSubmitToStart measures the time from the submission of a small job to its
// start on a worker in an idle data centre.
func BenchmarkSubmitToStart(b *testing.B) {
	c := newCluster(b, "rackwise", oneDataCentre)
	c.workers(6)
	customer := c.customer(0)
	waits := hdrhistogram.New(1, histogramMax.Microseconds(), histogramDigits)
	i := 0
	for b.Loop() {
		submitted := time.Now()
		id := customer.submit(fmt.Sprint("small-", i), batchSpec("small", 1, 1, true)).Id
		var started time.Time
		c.eventually("the task starts", func() bool {
			var ok bool
			started, ok = c.ledger.FirstStart(id, 0)
			return ok
		})
		_ = waits.RecordValue(started.Sub(submitted).Microseconds())
		i++
	}
	b.ReportMetric(float64(waits.ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(waits.ValueAtQuantile(99)), "p99-us")
}

// BenchmarkConfigurationPropagation measures the time from the acceptance of a
// configuration until every process of three data centres applies it. The versions
// are polled, so the result includes the duration of one poll of all processes.
func BenchmarkConfigurationPropagation(b *testing.B) {
	c := newCluster(b, "rackwise", nil)
	ctx, operations := c.operatorClients()
	delays := hdrhistogram.New(1, histogramMax.Milliseconds(), histogramDigits)
	version := uint64(0)
	for b.Loop() {
		c.setConfig(ctx, operations, fmt.Sprint("change-", version), version, configWithCPULimit(100+int(version)))
		accepted := time.Now()
		version++
		c.eventually("the version is in force everywhere", func() bool { return c.lowestConfigVersion(ctx, operations) == version })
		_ = delays.RecordValue(time.Since(accepted).Milliseconds())
	}
	b.ReportMetric(float64(delays.ValueAtQuantile(50)), "p50-ms")
	b.ReportMetric(float64(delays.Max()), "max-ms")
}
