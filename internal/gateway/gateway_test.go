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
)

// member serves cancels with answer.
func member(t *testing.T, answer func() error) string {
	mux := link.NewMux()
	link.Handle(mux, control.MethodCancel, func(context.Context, *control.CancelCall) (control.Empty, error) {
		return control.Empty{}, answer()
	})
	server := httptest.NewServer(mux)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return strings.TrimPrefix(server.URL, "http://")
}

func cancelAt(t *testing.T, limit time.Duration, members ...string) error {
	g := New(link.NewClient(), "own", members, log.NewNopLogger())
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	_, err := Call[control.Empty](ctx, g, control.MethodCancel, &control.CancelCall{})
	return err
}

const unreachable = "127.0.0.1:1"

func TestCallsFollowTheLeader(t *testing.T) {
	leader := member(t, func() error { return nil })
	follower := member(t, func() error { return link.NotLeader(leader) })
	must.NoError(t, cancelAt(t, time.Second, follower))
	must.NoError(t, cancelAt(t, time.Second, unreachable, leader))
}

func TestARefusalOfTheLeaderIsPassedOn(t *testing.T) {
	leader := member(t, func() error { return fault.New(fault.NotFound, "no queue") })
	must.Eq(t, fault.NotFound, fault.KindOf(cancelAt(t, time.Second, leader)))
}

func TestWithoutALeaderNothingWasDone(t *testing.T) {
	err := cancelAt(t, 100*time.Millisecond, unreachable)
	must.Eq(t, fault.Unavailable, fault.KindOf(err))
	must.Eq(t, RetryAfter, fault.From(err).RetryAfter)
}

// What a user sees: a job runs that was said not to run.
// Order: a leader commits a job and is lost before it answers; the next instance
// refuses for now.
// Cause: the refusal of the second try was passed on for both.
func TestARefusalAfterAnOpenTryLeavesTheFateOpen(t *testing.T) {
	tries := 0
	lost := member(t, func() error {
		tries++
		return fault.New(fault.Unknown, "the leadership was lost")
	})
	refusing := member(t, func() error { return fault.New(fault.Overloaded, "full") })
	err := cancelAt(t, time.Second, lost, refusing)
	must.Eq(t, fault.Unknown, fault.KindOf(err))
	must.Eq(t, 1, tries)
}

func TestInTouchWhileTheLeaderAnswers(t *testing.T) {
	mux := link.NewMux()
	link.Handle(mux, control.MethodFollow, func(context.Context, *control.FollowCall) (control.FollowReply, error) {
		return control.FollowReply{Members: []string{"m"}}, nil
	})
	server := httptest.NewServer(mux)
	g := New(link.NewClient(), "own", []string{strings.TrimPrefix(server.URL, "http://")}, log.NewNopLogger())
	must.False(t, g.InTouch())
	g.followOnce(t.Context())
	must.True(t, g.InTouch())
	server.Close()
	g.followOnce(t.Context())
	time.Sleep(inTouchFor)
	must.False(t, g.InTouch())
}
