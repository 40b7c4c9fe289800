package oplog

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// stalledResponse is a response whose reader accepts nothing until release is closed.
type stalledResponse struct {
	*httptest.ResponseRecorder
	writing, release chan struct{}
}

func (r *stalledResponse) Write(p []byte) (int, error) {
	select {
	case r.writing <- struct{}{}:
	default:
	}
	<-r.release
	return len(p), nil
}

// Guards against a reader of the metrics that accepts nothing and thereby stops all that counts, such
// as the gate that calls pass.
func TestStalledReaderOfMetricsDoesNotBlockCounting(t *testing.T) {
	m := NewMetrics()
	m.Add("calls", 1)
	response := &stalledResponse{httptest.NewRecorder(), make(chan struct{}, 1), make(chan struct{})}
	served := make(chan struct{})
	go func() {
		defer close(served)
		m.ServeHTTP(response, httptest.NewRequest("GET", "/metrics", nil))
	}()
	<-response.writing
	counted := make(chan struct{})
	go func() {
		defer close(counted)
		m.Add("calls", 1)
	}()
	select {
	case <-counted:
	case <-time.After(5 * time.Second):
		t.Error("counting waited for the reader of the metrics")
	}
	close(response.release)
	<-served
	<-counted
	must.Eq(t, 2, m.counters["calls"])
}
