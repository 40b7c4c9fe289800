package link

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/fault"
)

// Guards against a call whose outcome counts as unknown, so that its caller may not repeat it, though
// the instance is starting and serves no such method yet.
func TestCallOfMethodThatIsNotServedDidNothing(t *testing.T) {
	server := httptest.NewServer(NewMux())
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	err := NewClient(maxConnections).Call(t.Context(), address, "m", &struct{}{}, &struct{}{})
	must.True(t, errors.Is(err, ErrNotLeader), must.Sprint(err))
	must.True(t, fault.Is(err, fault.Unavailable))
	must.Eq(t, "", LeaderOf(err))
}
