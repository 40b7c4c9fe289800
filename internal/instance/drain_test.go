package instance

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a request that waits for the leader longer than the process may take to stop, and whose
// connection ends without a response.
func TestDrainGivesRequestsInFlightAFinalResponse(t *testing.T) {
	received := make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(received)
		<-r.Context().Done()
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "stopping")
	}))
	cancelRequests := setRequestContext(server.Config)
	server.Start()
	defer server.Close()
	defer cancelRequests()
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		<-received
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		drain(ctx, server.Config, cancelRequests)
	}()
	client := &http.Client{Timeout: 5 * time.Second}
	response, err := client.Get(server.URL)
	must.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
	must.Eq(t, "stopping", string(body))
	<-drained
}
