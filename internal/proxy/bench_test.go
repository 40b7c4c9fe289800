package proxy

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/bilberryferry/bilberryferry/routing"
)

// latencySignificantDigits is the precision of the histogram of latencies.
const latencySignificantDigits = 3

// BenchmarkAddedLatency measures the latency of sequential requests, sent directly to the
// minion and through the handler.
func BenchmarkAddedLatency(b *testing.B) {
	cluster := startTestCluster(b, nil)
	m := startMinion(b, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	cluster.announce(m)
	urls := map[string]string{"direct": m.server.URL, "proxied": cluster.server.URL + Prefix + testService}
	for _, route := range []string{"direct", "proxied"} {
		b.Run(route, func(b *testing.B) {
			latencies := hdrhistogram.New(1, time.Second.Microseconds(), latencySignificantDigits)
			for b.Loop() {
				begin := time.Now()
				get(b, urls[route]+"/tag")
				_ = latencies.RecordValue(time.Since(begin).Microseconds())
			}
			b.ReportMetric(float64(latencies.ValueAtQuantile(50)), "p50-µs")
			b.ReportMetric(float64(latencies.ValueAtQuantile(99)), "p99-µs")
		})
	}
}

// concurrentCallers is the number of callers of BenchmarkThroughput. It is less than the
// slots of all minions together, so that no call waits for a slot.
const concurrentCallers = 48

// benchmarkMinions is the number of minions of BenchmarkThroughput.
const benchmarkMinions = 10

// BenchmarkThroughput measures the throughput of concurrent callers on ten minions.
func BenchmarkThroughput(b *testing.B) {
	cluster := startTestCluster(b, func(cfg *Config) {
		cfg.Balancer = routing.NewBalancer(routing.Options{Entry: "e1", Incarnation: 1, MaxWait: 5 * time.Second})
	})
	for range benchmarkMinions {
		cluster.announce(startMinion(b, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	}
	work := make(chan struct{})
	var callers sync.WaitGroup
	for range concurrentCallers {
		callers.Go(func() {
			for range work {
				if got := cluster.send(nil, http.MethodGet, "/tag", nil); got.status != http.StatusOK {
					b.Error(got.status, got.err, got.body)
				}
			}
		})
	}
	for b.Loop() {
		work <- struct{}{}
	}
	close(work)
	callers.Wait()
}

// get requests a URL, reads the response and fails the benchmark unless the status is
// 200.
func get(b *testing.B, url string) {
	resp, err := http.Get(url)
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		b.Fatal(resp.Status, err)
	}
}
