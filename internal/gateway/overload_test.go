package gateway

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/control"
	"github.com/bilberryferry/bilberryferry/internal/link"
	"github.com/bilberryferry/bilberryferry/internal/overload"
)

// overloadedLeader returns a gateway whose only member, at the returned address, refuses every submission and
// announcement because of load. submitted counts the submissions that it serves nevertheless.
func overloadedLeader(t *testing.T) (g *Gateway, address string, submitted *int) {
	submitted = new(int)
	mux := link.NewMux()
	link.Handle(mux, control.MethodSubmit, func(context.Context, *control.SubmitCall) (control.SubmitReply, error) {
		*submitted++
		return control.SubmitReply{}, nil
	})
	link.Handle(mux, control.MethodAnnounceInstance, func(context.Context, *control.AnnounceInstanceCall) (control.AnnounceInstanceReply, error) {
		return control.AnnounceInstanceReply{}, nil
	})
	// The zero bounds refuse every call.
	mux.SetGate(overload.NewGate(overload.Bounds{}, func(string) overload.Class { return overload.ClassSubmit }, log.NewNopLogger(), noOverloadCounters{}))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	address = strings.TrimPrefix(server.URL, "http://")
	return New(link.NewClient(maxConnections), "own", []string{address}, log.NewNopLogger()), address, submitted
}

type noOverloadCounters struct{ noCounters }

func (noOverloadCounters) Set(string, int64) {}

// Guards against a submission that the leader has refused because of load and that is held, or reported as one
// with an unknown outcome, so that its caller can't retry.
func TestOverloadedSubmissionIsFinal(t *testing.T) {
	g, _, submitted := overloadedLeader(t)
	_, err := CallForCaller[control.SubmitReply](t.Context(), g, time.Now(), control.MethodSubmit, &control.SubmitCall{})
	must.Eq(t, fault.Overloaded, fault.KindOf(err))
	must.Eq(t, time.Second, fault.From(err).RetryAfter)
	must.Zero(t, *submitted)
}

// Guards against an instance that takes the refusal of an announcement for contact with the leader, or for a sign of
// another leader.
func TestOverloadedAnnouncementCountsAsLost(t *testing.T) {
	g, address, _ := overloadedLeader(t)
	g.SuggestLeader(address)
	must.Eq(t, announceInterval, g.announceOnce(t.Context()))
	must.False(t, g.InContact())
	must.Eq(t, "", g.leaderKnownBy(t.Context(), address))
	leader, _ := g.currentLeader()
	must.Eq(t, address, leader)
}
