package gateway

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/control"
	"github.com/bilberryferry/bilberryferry/internal/link"
)

// startCancelServer serves cancel calls, each with the error that response returns, and
// returns its address.
func startCancelServer(t *testing.T, response func() error) string {
	mux := link.NewMux()
	link.Handle(mux, control.MethodCancel, func(context.Context, *control.CancelCall) (control.Empty, error) {
		return control.Empty{}, response()
	})
	server := httptest.NewServer(mux)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return strings.TrimPrefix(server.URL, "http://")
}

// callCancel makes a cancel call through a new gateway whose seeds are members.
func callCancel(t *testing.T, timeout time.Duration, members ...string) error {
	g := New(link.NewClient(maxConnections), "own", members, log.NewNopLogger())
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	_, err := Call[control.Empty](ctx, g, control.MethodCancel, &control.CancelCall{})
	return err
}

// maxConnections is the connection limit of a client.
const maxConnections = 100

// unreachable is an address that refuses connections.
const unreachable = "127.0.0.1:1"

func TestCallsFollowTheLeader(t *testing.T) {
	leader := startCancelServer(t, func() error { return nil })
	follower := startCancelServer(t, func() error { return link.NotLeader(leader) })
	must.NoError(t, callCancel(t, time.Second, follower))
	must.NoError(t, callCancel(t, time.Second, unreachable, leader))
}

func TestLeaderRefusalIsReturned(t *testing.T) {
	leader := startCancelServer(t, func() error { return fault.New(fault.NotFound, "no queue") })
	must.Eq(t, fault.NotFound, fault.KindOf(callCancel(t, time.Second, leader)))
}

func TestCallWithoutLeaderIsUnavailable(t *testing.T) {
	err := callCancel(t, 100*time.Millisecond, unreachable)
	must.Eq(t, fault.Unavailable, fault.KindOf(err))
	must.Eq(t, RetryAfter, fault.From(err).RetryAfter)
}

// A leader may have executed a call and then loses its leadership; the next instance
// refuses the call temporarily. The caller must not be told that nothing was done, since
// the change may have been committed.
func TestRefusalAfterUnknownTryIsUnknown(t *testing.T) {
	tries := 0
	formerLeader := startCancelServer(t, func() error {
		tries++
		return fault.New(fault.Unknown, "the leadership was lost")
	})
	refusingLeader := startCancelServer(t, func() error { return fault.New(fault.Overloaded, "full") })
	err := callCancel(t, time.Second, formerLeader, refusingLeader)
	must.Eq(t, fault.Unknown, fault.KindOf(err))
	must.Eq(t, 1, tries)
}

// Guards against a caller that is told that the outcome of a mere query is unknown, and doesn't ask
// again: a query without a response has changed nothing.
func TestQueryWithoutResponseIsUnavailable(t *testing.T) {
	mux := link.NewMux()
	link.Handle(mux, control.MethodState, func(context.Context, *control.StateCall) (control.StateReply, error) {
		return control.StateReply{}, fault.New(fault.Unknown, "no response")
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	g := New(link.NewClient(maxConnections), "own", []string{strings.TrimPrefix(server.URL, "http://")}, log.NewNopLogger())
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := Call[control.StateReply](ctx, g, control.MethodState, &control.StateCall{})
	must.Eq(t, fault.Unavailable, fault.KindOf(err))
	must.Eq(t, RetryAfter, fault.From(err).RetryAfter)
}

func TestInContactWhileLeaderResponds(t *testing.T) {
	mux := link.NewMux()
	link.Handle(mux, control.MethodAnnounceInstance, func(context.Context, *control.AnnounceInstanceCall) (control.AnnounceInstanceReply, error) {
		return control.AnnounceInstanceReply{Members: []string{"m"}}, nil
	})
	server := httptest.NewServer(mux)
	g := New(link.NewClient(maxConnections), "own", []string{strings.TrimPrefix(server.URL, "http://")}, log.NewNopLogger())
	must.False(t, g.InContact())
	g.announceOnce(t.Context())
	must.True(t, g.InContact())
	server.Close()
	g.announceOnce(t.Context())
	time.Sleep(contactTimeout)
	must.False(t, g.InContact())
}

// A busy leader refuses calls for a tenth of a second. If each waiting call tries all
// members every 60 ms, the members send the heartbeats of the replicated log late and
// repeat the election. With hundreds of workers, the system stops serving and doesn't
// recover.
func TestOneCallAtATimeSearchesLeader(t *testing.T) {
	var tries atomic.Int64
	var leads atomic.Bool
	address := startCancelServer(t, func() error {
		tries.Add(1)
		if leads.Load() {
			return nil
		}
		return link.NotLeader("")
	})
	g := New(link.NewClient(maxConnections), "own", []string{address}, log.NewNopLogger())
	const calls = 200
	var group errgroup.Group
	for range calls {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			_, err := Call[control.Empty](ctx, g, control.MethodCancel, &control.CancelCall{})
			return err
		})
	}
	const searches = 5
	time.Sleep(searches * searchInterval)
	must.LessEq(t, searches+1, tries.Load())
	leads.Store(true)
	must.NoError(t, group.Wait())
}

// Guards against calls that try a leader again and again without a pause that can't decide yet, because another member
// names it: thousands of tries in a second keep it from deciding, and the system stops serving.
func TestLeaderThatOthersNameIsNotTriedByAllCallsAgainAndAgain(t *testing.T) {
	var tries atomic.Int64
	var leads atomic.Bool
	leader := startCancelServer(t, func() error {
		tries.Add(1)
		if leads.Load() {
			return nil
		}
		return link.NotLeader("")
	})
	follower := startCancelServer(t, func() error { return link.NotLeader(leader) })
	g := New(link.NewClient(maxConnections), "own", []string{follower, leader}, log.NewNopLogger())
	const calls = 50
	var group errgroup.Group
	for range calls {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			_, err := Call[control.Empty](ctx, g, control.MethodCancel, &control.CancelCall{})
			return err
		})
	}
	const searches = 5
	time.Sleep(searches * searchInterval)
	// Each call tries the leader once; after that, one search at a time tries it as named and as a member.
	must.LessEq(t, calls+2*(searches+1), tries.Load())
	leads.Store(true)
	must.NoError(t, group.Wait())
}

// A leader vanishes without closing its connections, and the other members elect another
// one. A call that looks for the new leader only after its try has timed out is late.
func TestTryAtUnresponsiveLeaderEndsWhenAnotherIsFound(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	unresponsive := startCancelServer(t, func() error { <-release; return nil })
	leader := startCancelServer(t, func() error { return nil })
	follower := func() string {
		mux := link.NewMux()
		link.Handle(mux, control.MethodAnnounceInstance, func(context.Context, *control.AnnounceInstanceCall) (control.AnnounceInstanceReply, error) {
			return control.AnnounceInstanceReply{}, link.NotLeader(leader)
		})
		server := httptest.NewServer(mux)
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}()
	g := New(link.NewClient(maxConnections), "own", []string{unresponsive, follower}, log.NewNopLogger())
	g.SuggestLeader(unresponsive)
	ctx, cancel := context.WithTimeout(t.Context(), tryTimeout)
	defer cancel()
	_, err := Call[control.Empty](ctx, g, control.MethodCancel, &control.CancelCall{})
	must.NoError(t, err)
	current, _ := g.currentLeader()
	must.Eq(t, leader, current)
}

// suggestDelay is how long after the start of a search another call finds the leader.
const suggestDelay = searchTimeout / 5

// A call that searches for the leader waits for a member that doesn't respond, while
// another call learns who leads. If only the timeout ended the try, the call would get its
// response late, from a newer configuration than later calls, or not at all.
func TestSearchEndsWhenAnotherCallFindsLeader(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	unresponsive := startCancelServer(t, func() error { <-release; return nil })
	leader := startCancelServer(t, func() error { return nil })
	g := New(link.NewClient(maxConnections), "own", []string{unresponsive}, log.NewNopLogger())
	ctx, cancel := context.WithTimeout(t.Context(), searchTimeout-time.Millisecond)
	defer cancel()
	suggestTimer := time.AfterFunc(suggestDelay, func() { g.SuggestLeader(leader) })
	defer suggestTimer.Stop()
	_, err := Call[control.Empty](ctx, g, control.MethodCancel, &control.CancelCall{})
	must.NoError(t, err)
}
