package gateway

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/control"
	"github.com/bilberryferry/bilberryferry/internal/link"
)

// Guards against a search that passes over a new leader for half a second because it denied just before its election.
func TestLeaderThatDeniedLatelyIsAskedItself(t *testing.T) {
	var leads atomic.Bool
	mux := link.NewMux()
	link.Handle(mux, control.MethodAnnounceInstance, func(context.Context, *control.AnnounceInstanceCall) (control.AnnounceInstanceReply, error) {
		if leads.Load() {
			return control.AnnounceInstanceReply{}, nil
		}
		return control.AnnounceInstanceReply{}, link.NotLeader("")
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	g := New(link.NewClient(maxConnections), "own", nil, log.NewNopLogger())
	g.recordDenial(address)
	must.False(t, g.adoptLeader(t.Context(), address))
	leads.Store(true)
	must.True(t, g.adoptLeader(t.Context(), address))
	leader, _ := g.currentLeader()
	must.Eq(t, address, leader)
}
