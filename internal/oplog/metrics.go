package oplog

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the latency histograms, in microseconds: from 10 µs to one minute with
// two significant digits. A histogram with these bounds takes about 20 KB.
const (
	lowestMicros      = 10
	highestMicros     = 60_000_000
	significantDigits = 2
)

// Metrics holds counters, gauges and latency histograms by name. It is safe for
// concurrent use.
type Metrics struct {
	mu         sync.Mutex
	counters   map[string]int64
	gauges     map[string]int64
	labelled   map[string]labelledGauge
	histograms map[string]*hdrhistogram.Histogram
}

// labelledGauge is a gauge with a value for each value of a label.
type labelledGauge struct {
	label  string
	values map[string]int64
}

// NewMetrics returns Metrics without any values.
func NewMetrics() *Metrics {
	return &Metrics{
		counters: map[string]int64{}, gauges: map[string]int64{}, labelled: map[string]labelledGauge{},
		histograms: map[string]*hdrhistogram.Histogram{},
	}
}

// Add adds n to the counter with the name.
func (m *Metrics) Add(name string, n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counters[name] += n
}

// Set sets the gauge with the name to n.
func (m *Metrics) Set(name string, n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gauges[name] = n
}

// SetByLabel sets the gauge with the name for each value of a label, and removes it for all others. The
// caller bounds their number and must not change values afterwards.
func (m *Metrics) SetByLabel(name, label string, values map[string]int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.labelled[name] = labelledGauge{label, values}
}

// Observe records a duration in the histogram with the name. It clamps durations to the
// histogram's bounds.
func (m *Metrics) Observe(name string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.histograms[name]
	if h == nil {
		h = hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
		m.histograms[name] = h
	}
	// The value is within the bounds, so recording can't fail.
	_ = h.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
}

const microsPerSecond = 1e6

// percentiles are the quantiles of a histogram that write shows, in per cent.
var percentiles = []float64{50, 90, 99, 100}

// write writes all metrics as text, one per line and sorted by name.
func (m *Metrics) write(w io.Writer) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range sortedKeys(m.counters) {
		if _, err := fmt.Fprintf(w, "bilberry_%s_total %d\n", name, m.counters[name]); err != nil {
			return err
		}
	}
	for _, name := range sortedKeys(m.gauges) {
		if _, err := fmt.Fprintf(w, "bilberry_%s %d\n", name, m.gauges[name]); err != nil {
			return err
		}
	}
	for _, name := range sortedKeys(m.labelled) {
		gauge := m.labelled[name]
		for _, value := range sortedKeys(gauge.values) {
			if _, err := fmt.Fprintf(w, "bilberry_%s{%s=\"%s\"} %d\n", name, gauge.label, labelEscaper.Replace(value), gauge.values[value]); err != nil {
				return err
			}
		}
	}
	for _, name := range sortedKeys(m.histograms) {
		h := m.histograms[name]
		for _, q := range percentiles {
			_, err := fmt.Fprintf(w, "bilberry_%s_seconds{quantile=\"%g\"} %g\n", name, q/100,
				float64(h.ValueAtQuantile(q))/microsPerSecond)
			if err != nil {
				return err
			}
		}
		if _, err := fmt.Fprintf(w, "bilberry_%s_seconds_count %d\n", name, h.TotalCount()); err != nil {
			return err
		}
	}
	return nil
}

// labelEscaper escapes the value of a label as the Prometheus text format requires.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// ServeHTTP serves the metrics as text.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	// The metrics are locked only while the text is made: a reader may accept it slowly or never.
	var text bytes.Buffer
	_ = m.write(&text) // writing to a Buffer can't fail
	// A write error means that the client has disconnected.
	_, _ = w.Write(text.Bytes())
}
