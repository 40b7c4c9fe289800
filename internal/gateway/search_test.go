package gateway

import (
	"context"
	"net"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/control"
	"github.com/bilberryferry/bilberryferry/internal/link"
	"github.com/bilberryferry/bilberryferry/internal/wait"
)

const (
	// unsentMargin is how much later than unsentLimit a call may end on a busy machine.
	unsentMargin = time.Second
	// callerLimit is the time limit of a caller, far beyond unsentLimit and unsentMargin.
	callerLimit = 20 * time.Second
)

// fakeMember is an instance that serves submissions and announcements, both by respond. submitted counts the
// submissions that it has received.
type fakeMember struct {
	address   string
	submitted atomic.Int64
}

func startMember(t *testing.T, respond func(method string) error) *fakeMember {
	m := &fakeMember{}
	mux := link.NewMux()
	link.Handle(mux, control.MethodSubmit, func(context.Context, *control.SubmitCall) (control.SubmitReply, error) {
		m.submitted.Add(1)
		return control.SubmitReply{}, respond(control.MethodSubmit)
	})
	link.Handle(mux, control.MethodAnnounceInstance, func(context.Context, *control.AnnounceInstanceCall) (control.AnnounceInstanceReply, error) {
		return control.AnnounceInstanceReply{}, respond(control.MethodAnnounceInstance)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	m.address = strings.TrimPrefix(server.URL, "http://")
	return m
}

// startFrozen starts a member that receives calls and responds only when the test ends.
func startFrozen(t *testing.T) *fakeMember {
	release := make(chan struct{})
	m := startMember(t, func(string) error { <-release; return nil })
	t.Cleanup(func() { close(release) })
	return m
}

// newLimited returns a gateway that limits unsent submissions.
func newLimited(connections int, members ...string) *Gateway {
	g := New(link.NewClient(connections), "own", members, log.NewNopLogger())
	g.LimitUnsent()
	return g
}

// submit submits a job with the time limit of a caller.
func submit(t *testing.T, g *Gateway) (elapsed time.Duration, err error) {
	ctx, cancel := context.WithTimeout(t.Context(), callerLimit)
	defer cancel()
	started := time.Now()
	_, err = CallForCaller[control.SubmitReply](ctx, g, started, control.MethodSubmit, &control.SubmitCall{})
	return time.Since(started), err
}

// Guards against submissions that are held until the caller's time limit while no leader is reached: by
// the wait for the search of another call, by one unresponsive member after another, and
// by an outcome that is unknown because the submission itself was sent to a member that doesn't lead.
func TestUnsentSubmissionsEndEarlyWithoutLeader(t *testing.T) {
	frozen := startFrozen(t)
	g := newLimited(maxConnections, unreachable, frozen.address, startFrozen(t).address)
	const calls = 50
	var group errgroup.Group
	var elapsed [calls]time.Duration
	var errs [calls]error
	for i := range calls {
		group.Go(func() error {
			elapsed[i], errs[i] = submit(t, g)
			return nil
		})
	}
	must.NoError(t, group.Wait())
	for i, err := range errs {
		must.Eq(t, fault.Unavailable, fault.KindOf(err))
		must.Eq(t, RetryAfter, fault.From(err).RetryAfter)
		must.Less(t, unsentLimit+unsentMargin, elapsed[i])
	}
	must.Zero(t, frozen.submitted.Load())
}

// Guards against a submission that is called unknown, or refused, when the leader vanishes: one that
// the leader has received waits for its outcome, and one that has no connection yet ends early as unsent.
func TestLeaderVanishesWithSubmissionsInProgress(t *testing.T) {
	blocked := make(chan struct{})
	leader := startMember(t, func(string) error { <-blocked; return nil })
	release := sync.OnceFunc(func() { close(blocked) })
	t.Cleanup(release)
	g := newLimited(1, leader.address)
	g.SuggestLeader(leader.address)
	sent := make(chan error, 1)
	go func() {
		_, err := submit(t, g)
		sent <- err
	}()
	for leader.submitted.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	elapsed, err := submit(t, g)
	must.Eq(t, fault.Unavailable, fault.KindOf(err))
	must.Less(t, unsentLimit+unsentMargin, elapsed)
	must.Zero(t, len(sent))
	release()
	must.NoError(t, <-sent)
}

// Guards against an instance that forgets a leader that responds, and cancels submissions that the leader has
// received, because another submission found no free connection.
func TestSubmissionWithoutFreeConnectionKeepsLeader(t *testing.T) {
	// With two calls in progress, one of them doesn't probe for a new leader and ends as soon as the leader changes.
	const sent = 2
	blocked := make(chan struct{})
	leader := startMember(t, func(string) error { <-blocked; return nil })
	release := sync.OnceFunc(func() { close(blocked) })
	t.Cleanup(release)
	g := newLimited(sent, leader.address)
	g.SuggestLeader(leader.address)
	var group errgroup.Group
	for range sent {
		group.Go(func() error {
			_, err := submit(t, g)
			return err
		})
	}
	for leader.submitted.Load() < sent {
		time.Sleep(time.Millisecond)
	}
	_, err := submit(t, g)
	must.Eq(t, fault.Unavailable, fault.KindOf(err))
	known, _ := g.currentLeader()
	must.Eq(t, leader.address, known)
	release()
	must.NoError(t, group.Wait())
	must.Eq(t, sent, leader.submitted.Load())
}

// startUnconnectable returns the address of a listener at which the opening of a connection takes for ever,
// because as many connections wait to be accepted as the operating system allows.
func startUnconnectable(t *testing.T) string {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	must.NoError(t, err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	must.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	must.NoError(t, syscall.Listen(fd, 0))
	name, err := syscall.Getsockname(fd)
	must.NoError(t, err)
	address := net.JoinHostPort("127.0.0.1", strconv.Itoa(name.(*syscall.SockaddrInet4).Port))
	for {
		conn, err := net.DialTimeout("tcp", address, unsentLimit)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
}

// Guards against an instance that goes on calling a leader to which no connection can be opened.
func TestLeaderThatCannotBeConnectedBecomesUnknown(t *testing.T) {
	g := newLimited(maxConnections, unreachable)
	g.SuggestLeader(startUnconnectable(t))
	_, err := submit(t, g)
	must.Eq(t, fault.Unavailable, fault.KindOf(err))
	known, _ := g.currentLeader()
	must.Eq(t, "", known)
}

// Guards against a submission that is cancelled at unsentLimit although it was sent.
func TestOnlyUnsentTryIsCancelled(t *testing.T) {
	for _, sent := range []bool{false, true} {
		ctx, tracker := trackSend(t.Context(), time.Now().Add(10*time.Millisecond))
		if sent {
			tracker.recordSent()
		}
		must.Eq(t, sent, wait.For(ctx, 100*time.Millisecond))
		_, maybeSent := tracker.stop()
		must.Eq(t, sent, maybeSent)
	}
}

// Guards against a submission that is refused as not done although an earlier try may have been executed: the
// leader receives it and loses its leadership, and no other is found for longer than unsentLimit.
func TestSentSubmissionSearchesBeyondLimit(t *testing.T) {
	var recovered atomic.Bool
	leader := startMember(t, func(method string) error {
		if recovered.Load() {
			return nil
		}
		if method == control.MethodSubmit {
			return fault.New(fault.Unknown, "the leadership was lost")
		}
		return link.NotLeader("")
	})
	g := newLimited(maxConnections, leader.address)
	g.SuggestLeader(leader.address)
	timer := time.AfterFunc(2*unsentLimit, func() { recovered.Store(true) })
	defer timer.Stop()
	elapsed, err := submit(t, g)
	must.NoError(t, err)
	must.GreaterEq(t, 2*unsentLimit, elapsed)
}

// Guards against a search that follows a member to a leader that has vanished, again and again, and against
// one that passes over a leader that has been elected again since the call failed there.
func TestSearchEndsAtLeaderThatResponds(t *testing.T) {
	leader := startMember(t, func(string) error { return nil })
	stale := startMember(t, func(string) error { return link.NotLeader(unreachable) })
	must.NoError(t, submitRepeatedly(t, newLimited(maxConnections, stale.address, leader.address)))

	var failed atomic.Bool
	reelected := startMember(t, func(string) error {
		if failed.Swap(true) {
			return nil
		}
		return link.NotLeader("")
	})
	g := newLimited(maxConnections, reelected.address)
	g.SuggestLeader(reelected.address)
	_, err := submit(t, g)
	must.NoError(t, err)
}

// Guards against an instance that never finds the leader again because each search ends at the same
// unresponsive members.
func TestSearchesReachLeaderBehindUnresponsiveMembers(t *testing.T) {
	leader := startMember(t, func(string) error { return nil })
	var members []string
	for range 5 {
		members = append(members, startFrozen(t).address)
	}
	must.NoError(t, submitRepeatedly(t, newLimited(maxConnections, append(members, leader.address)...)))
}

// submitRepeatedly submits a job until it is accepted, four times at most. Each search asks at least two
// members, also on a busy machine.
func submitRepeatedly(t *testing.T, g *Gateway) (err error) {
	for range 4 {
		if _, err = submit(t, g); err == nil {
			return nil
		}
		must.Eq(t, fault.Unavailable, fault.KindOf(err))
	}
	return err
}

// Guards against a change of behaviour where load control is off, or for calls other than submissions.
func TestSearchIsUnlimitedOtherwise(t *testing.T) {
	leader := startMember(t, func(string) error { return nil })
	for name, c := range map[string]struct {
		limit  bool
		method string
	}{"load control off": {false, control.MethodSubmit}, "another method": {true, control.MethodAnnounceInstance}} {
		g := New(link.NewClient(maxConnections), "own", []string{unreachable}, log.NewNopLogger())
		g.limitUnsent = c.limit
		timer := time.AfterFunc(2*unsentLimit, func() { g.SuggestLeader(leader.address) })
		ctx, cancel := context.WithTimeout(t.Context(), callerLimit)
		_, err := Call[control.Empty](ctx, g, c.method, &control.Empty{})
		must.NoError(t, err, must.Sprint(name))
		cancel()
		timer.Stop()
	}
}
