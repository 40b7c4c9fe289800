package gateway

import (
	"context"
	"net/http/httptrace"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/control"
	"github.com/bilberryferry/bilberryferry/internal/link"
	"github.com/bilberryferry/bilberryferry/internal/panics"
	"github.com/bilberryferry/bilberryferry/internal/wait"
)

const (
	// unsentLimit is how long a submission of which nothing was sent looks for the leader: as long as the
	// shortest election. An instance with many waiting calls would otherwise spend its memory on calls that
	// end at the callers' time limits.
	unsentLimit = 250 * time.Millisecond
	// probeTimeout bounds one question for the leader in a search that ends after unsentLimit, so that
	// members that don't respond leave time for others.
	probeTimeout = unsentLimit / 4
)

// LimitUnsent makes submissions of which nothing was sent end with an error of kind Unavailable after
// unsentLimit. It must be called before any other method.
func (g *Gateway) LimitUnsent() { g.limitUnsent = true }

// newLeaderCall returns a call whose time without anything sent begins now.
func newLeaderCall(g *Gateway, method string, request any) *leaderCall {
	c := &leaderCall{g: g, method: method, request: request}
	if g.limitUnsent && method == control.MethodSubmit {
		c.unsentDeadline = time.Now().Add(unsentLimit)
	}
	return c
}

// isLimited reports whether the call ends at unsentDeadline: nothing of it may have been executed.
func (c *leaderCall) isLimited() bool { return !c.unsentDeadline.IsZero() && !c.maybeExecuted }

// isPastUnsentDeadline reports whether the call has to end because nothing was sent in time.
func (c *leaderCall) isPastUnsentDeadline() bool {
	return c.isLimited() && !time.Now().Before(c.unsentDeadline)
}

// probeForLeader asks the members who leads until one names a leader, unsentDeadline has passed or ctx
// ends. A leader at which the call has just failed doesn't count unless it says itself that it leads:
// the others name a leader that has vanished until they elect the next one.
//
// The call itself isn't sent to members that may not lead. A member that accepts the connection and
// doesn't respond would make its outcome unknown, and the caller couldn't retry it.
func (c *leaderCall) probeForLeader(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, c.unsentDeadline)
	defer cancel()
	_, leaderChanged := c.g.currentLeader()
	if !c.g.acquireSearch(ctx, leaderChanged) {
		return
	}
	defer c.g.releaseSearch()
	for ctx.Err() == nil {
		for _, address := range c.g.candidates() {
			if leader, _ := c.g.currentLeader(); leader != "" || ctx.Err() != nil {
				return
			}
			if hint := c.probeMember(ctx, address); hint != "" && c.g.adoptLeader(ctx, hint) {
				return
			}
		}
		wait.For(ctx, searchInterval)
	}
}

// probeMember returns the address of the leader that a member names, "" for none. A member that names
// none becomes the last one to be asked, also in the next search.
func (c *leaderCall) probeMember(ctx context.Context, address string) string {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	hint := c.g.leaderKnownBy(ctx, address)
	if hint != "" && (hint == address || hint != c.failedLeader) {
		return hint
	}
	c.g.askLast(address)
	return ""
}

// askLast makes the member at address the last one.
func (g *Gateway) askLast(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if i := slices.Index(g.members, address); i >= 0 {
		g.members = append(slices.Delete(slices.Clone(g.members), i, i+1), address)
	}
}

// acquireSearch takes the search slot. It reports false if the leader changed or ctx ended before.
func (g *Gateway) acquireSearch(ctx context.Context, leaderChanged <-chan struct{}) bool {
	select {
	case g.searchSlot <- struct{}{}:
		return true
	case <-leaderChanged:
		return false
	case <-ctx.Done():
		return false
	}
}

func (g *Gateway) releaseSearch() { <-g.searchSlot }

// errNoFreeConnection marks the error of a try that ended while this instance was at its limit of open
// connections. The instance at the address wasn't contacted.
var errNoFreeConnection = errors.New("no free connection")

// sendTracker records whether a try got a connection, and cancels the try at a deadline if it hasn't
// got one. Without a connection, nothing was sent.
type sendTracker struct {
	cancel context.CancelFunc
	timer  *time.Timer

	mu sync.Mutex
	// dialed says that a new connection began to be opened, sent that the try got a connection.
	dialed, sent bool
}

// trackSend returns a context for one try, and its tracker, which must be stopped.
func trackSend(ctx context.Context, deadline time.Time) (context.Context, *sendTracker) {
	ctx, cancel := context.WithCancel(ctx)
	s := &sendTracker{cancel: cancel}
	s.timer = time.AfterFunc(time.Until(deadline), func() {
		defer panics.Handle()
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.sent {
			cancel()
		}
	})
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		ConnectStart: func(string, string) { s.recordDialed() },
		GotConn:      func(httptrace.GotConnInfo) { s.recordSent() },
	}), s
}

func (s *sendTracker) recordDialed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dialed = true
}

func (s *sendTracker) recordSent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = true
}

// stop ends the tracking. It reports whether a new connection began to be opened, and whether anything may
// have been sent.
func (s *sendTracker) stop() (dialed, sent bool) {
	s.timer.Stop()
	s.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dialed, s.sent
}

// send sends the call to an instance. If the call is limited and got no connection, the error is marked
// link.ErrUnsent, and errNoFreeConnection if none began to be opened either. The client alone can't tell this
// from a missing response if the context ended while the connection was being opened.
func (c *leaderCall) send(ctx context.Context, address string, reply any) (versions link.Versions, err error) {
	if !c.isLimited() {
		return c.g.client.CallVersioned(ctx, address, c.method, c.request, reply)
	}
	ctx, tracker := trackSend(ctx, c.unsentDeadline)
	versions, err = c.g.client.CallVersioned(ctx, address, c.method, c.request, reply)
	if dialed, sent := tracker.stop(); fault.Is(err, fault.Unknown) && !sent {
		err = errors.Mark(fault.New(fault.Unavailable, "%s: %v", c.method, err), link.ErrUnsent)
		if !dialed {
			err = errors.Mark(err, errNoFreeConnection)
		}
	}
	return versions, err
}
