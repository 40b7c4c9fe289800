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
	g := New(link.NewClient(100), "own", members, log.NewNopLogger())
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
	g := New(link.NewClient(100), "own", []string{strings.TrimPrefix(server.URL, "http://")}, log.NewNopLogger())
	must.False(t, g.InTouch())
	g.followOnce(t.Context())
	must.True(t, g.InTouch())
	server.Close()
	g.followOnce(t.Context())
	time.Sleep(inTouchFor)
	must.False(t, g.InTouch())
}

// What a user sees: with hundreds of workers the whole system stops serving and
// doesn't come back.
// Order: the leader is busy for a tenth of a second and refuses calls meanwhile;
// each waiting call goes through all members every 60 ms; the members, busy with
// that, are late with the log's heartbeats, and the next leader is refused sooner.
// Cause: every call searched for the leader by itself.
func TestCallsWithoutALeaderSearchOneAtATime(t *testing.T) {
	var tries atomic.Int64
	var leads atomic.Bool
	address := member(t, func() error {
		tries.Add(1)
		if leads.Load() {
			return nil
		}
		return link.NotLeader("")
	})
	g := New(link.NewClient(100), "own", []string{address}, log.NewNopLogger())
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
	time.Sleep(searches * searchPause)
	must.LessEq(t, searches+1, tries.Load())
	leads.Store(true)
	must.NoError(t, group.Wait())
}

// What a user sees: a quick job handed in while a leader vanishes is late.
// Order: the leader vanishes without a word; the others elect another one at once;
// the call waits for the vanished one until its own time is over.
// Cause: only the end of a try made anybody ask who leads.
func TestATryAtAVanishedLeaderEndsWhenAnotherOneIsFound(t *testing.T) {
	silent := make(chan struct{})
	defer close(silent)
	vanished := member(t, func() error { <-silent; return nil })
	leader := member(t, func() error { return nil })
	follower := func() string {
		mux := link.NewMux()
		link.Handle(mux, control.MethodFollow, func(context.Context, *control.FollowCall) (control.FollowReply, error) {
			return control.FollowReply{}, link.NotLeader(leader)
		})
		server := httptest.NewServer(mux)
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}()
	g := New(link.NewClient(100), "own", []string{vanished, follower}, log.NewNopLogger())
	g.Suggest(vanished)
	ctx, cancel := context.WithTimeout(t.Context(), tryTimeout)
	defer cancel()
	_, err := Call[control.Empty](ctx, g, control.MethodCancel, &control.CancelCall{})
	must.NoError(t, err)
	known, _ := g.known()
	must.Eq(t, leader, known)
}

// What a user sees: a request that came while a leader was lost is answered late, by
// a newer configuration than those that came after it, or not at all.
// Order: no leader is known; the request searches and waits at a member that is cut
// off; another call learns who leads; the request waits on.
// Cause: a try of the search ended by its own time limit only.
func TestASearchEndsWhenAnotherCallFindsTheLeader(t *testing.T) {
	silent := make(chan struct{})
	defer close(silent)
	cutOff := member(t, func() error { <-silent; return nil })
	leader := member(t, func() error { return nil })
	g := New(link.NewClient(100), "own", []string{cutOff}, log.NewNopLogger())
	ctx, cancel := context.WithTimeout(t.Context(), searchTimeout-time.Millisecond)
	defer cancel()
	found := time.AfterFunc(searchTimeout/5, func() { g.Suggest(leader) })
	defer found.Stop()
	_, err := Call[control.Empty](ctx, g, control.MethodCancel, &control.CancelCall{})
	must.NoError(t, err)
}
