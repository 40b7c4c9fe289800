package link

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/fault"
)

// maxConnections is the connection limit of a client.
const maxConnections = 100

// serveVersions serves the method "m" with serve, on a Mux whose configuration version is
// 62 before each call, and returns the address.
func serveVersions(t *testing.T, serve func(context.Context) error) (address string) {
	mux := NewMux()
	mux.SetVersion(func() uint64 { return 62 })
	Handle(mux, "m", func(ctx context.Context, _ *struct{}) (struct{}, error) { return struct{}{}, serve(ctx) })
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestResponsesNameRecordedVersion(t *testing.T) {
	for _, outcome := range []error{nil, fault.New(fault.NotFound, "no queue")} {
		address := serveVersions(t, func(ctx context.Context) error {
			RecordVersions(ctx, Versions{Oldest: 60, Newest: 65})
			return outcome
		})
		client := NewClient(maxConnections)
		versions, err := client.CallVersioned(t.Context(), address, "m", &struct{}{}, &struct{}{})
		must.Eq(t, outcome == nil, err == nil)
		must.Eq(t, Versions{Oldest: 60, Newest: 65}, versions)
		must.Eq(t, uint64(65), client.Version())
	}
}

func TestResponseWithoutRecordedVersionNamesVersionBeforeCall(t *testing.T) {
	address := serveVersions(t, func(context.Context) error { return nil })
	versions, err := NewClient(maxConnections).CallVersioned(t.Context(), address, "m", &struct{}{}, &struct{}{})
	must.NoError(t, err)
	must.Eq(t, Versions{Oldest: 62, Newest: 62}, versions)
}

func TestRecordVersionsWithoutRecorderDoesNothing(t *testing.T) {
	RecordVersions(t.Context(), Versions{Oldest: 65, Newest: 65})
}
