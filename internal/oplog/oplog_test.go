package oplog

import (
	"bytes"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// blockedWriter blocks every write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// The reader of the process's output blocks and the pipe becomes full. If logging waited for
// the reader, every request that logs its outcome would hang although the system is idle.
func TestBlockedReaderDoesNotBlockLogging(t *testing.T) {
	w := &blockedWriter{make(chan struct{})}
	s := NewSink(w)
	logger := NewLogger(s, "i")
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 * maxQueuedLines {
			must.NoError(t, logger.Log("event", "x"))
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("logging waited for the blocked reader")
	}
	must.Positive(t, s.TakeDropped())
	must.Eq(t, 0, s.TakeDropped())
	s.Close()
	close(w.release)
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	var out bytes.Buffer
	s := NewSink(&out)
	logger := NewLogger(s, "i")
	must.NoError(t, logger.Log("event", "a"))
	must.NoError(t, logger.Log("event", "b"))
	s.Close()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	must.SliceLen(t, 2, lines)
	must.StrContains(t, lines[0], "instance=i event=a")
}

func TestMetricsTextHasCountersAndQuantiles(t *testing.T) {
	m := NewMetrics()
	m.Add("jobs", 2)
	m.Observe("commit", 12*time.Millisecond)
	w := httptest.NewRecorder()
	m.ServeHTTP(w, nil)
	must.StrContains(t, w.Body.String(), "bilberry_jobs_total 2")
	must.StrContains(t, w.Body.String(), `bilberry_commit_seconds_count 1`)
	must.StrContains(t, w.Body.String(), `bilberry_commit_seconds{quantile="0.5"} 0.012`)
}

// Guards against a label that breaks the line, and against gauges of earlier label values that stay.
func TestLabelledGaugesReplaceEarlierOnes(t *testing.T) {
	m := NewMetrics()
	m.SetByLabel("running", "customer", map[string]int64{"gone": 1})
	m.SetByLabel("running", "customer", map[string]int64{"a\"\n\\": 2, "b": 3})
	w := httptest.NewRecorder()
	m.ServeHTTP(w, nil)
	must.Eq(t, `bilberry_running{customer="a\"\n\\"} 2`+"\n"+`bilberry_running{customer="b"} 3`+"\n", w.Body.String())
}

// Guards against a process whose last line, which says why it ends, is dropped since it wrote too many lines before.
func TestLastLineIsWrittenBeyondLimits(t *testing.T) {
	var out bytes.Buffer
	s := NewSink(&out)
	for range 2 * maxLinesPerSecond {
		_, err := s.Write([]byte("line\n"))
		must.NoError(t, err)
	}
	must.Positive(t, s.TakeDropped())
	s.CloseWith([]byte("last\n"), time.Minute)
	must.StrHasSuffix(t, "\nlast\n", out.String())
}
