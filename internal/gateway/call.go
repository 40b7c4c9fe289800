package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/boottime"
	"github.com/bilberryferry/bilberryferry/internal/control"
	"github.com/bilberryferry/bilberryferry/internal/link"
	"github.com/bilberryferry/bilberryferry/internal/panics"
	"github.com/bilberryferry/bilberryferry/internal/wait"
)

// leaderCall is one call to the leader, with the state of its tries. A try is one request
// to one instance.
type leaderCall struct {
	g       *Gateway
	method  string
	request any
	// maybeExecuted is true once a try may have been executed that has an effect.
	maybeExecuted bool
	// versions are the configuration versions that the response to the last try names.
	versions link.Versions
	// lastAddress is the address to which the last try was sent.
	lastAddress string
	// unsentDeadline is when the call ends if nothing of it was sent, the zero value for never.
	unsentDeadline time.Time
	// failedLeader is the leader at which the last try failed, "" for none.
	failedLeader string
}

// readOnlyMethods change nothing, so a call of them may be repeated whatever became of it. Its caller
// must not be told that the outcome is unknown.
var readOnlyMethods = map[string]bool{
	control.MethodState: true, control.MethodEnded: true, control.MethodExplain: true, control.MethodConfiguration: true, control.MethodWaveState: true,
	control.MethodCustomers: true,
}

// informingMethods are the methods whose successful responses name the version that a leader has in force
// which may decide at that moment.
var informingMethods = map[string]bool{
	control.MethodSubmit: true, control.MethodState: true, control.MethodCancel: true, control.MethodAnnounceInstance: true,
}

// Call calls a method of the leader, and retries at other members until a leader responds
// or ctx ends. An error of kind Unavailable or Overloaded means that nothing was executed.
// If an earlier try may have been executed, the kind is Unknown instead.
func Call[Reply any](ctx context.Context, g *Gateway, method string, request any) (Reply, error) {
	return callUntilSettled[Reply](ctx, newLeaderCall(g, method, request))
}

// CallForCaller is Call on behalf of a caller's request that this instance received at
// receivedAt. It withholds a response that contradicts the order of the requests, as
// described at WithholdOutOfOrder.
func CallForCaller[Reply any](ctx context.Context, g *Gateway, receivedAt time.Time, method string, request any) (Reply, error) {
	c := newLeaderCall(g, method, request)
	reply, err := callUntilSettled[Reply](ctx, c)
	return reply, g.WithholdOutOfOrder(Outcome{Method: method, ReceivedAt: receivedAt, Versions: c.versions, RespondedBy: c.lastAddress, MaybeExecuted: c.maybeExecuted, Err: err})
}

// callUntilSettled makes tries until one has a final outcome, which settles the call, or
// ctx ends. A call that is limited also ends when nothing of it was sent in time.
func callUntilSettled[Reply any](ctx context.Context, c *leaderCall) (Reply, error) {
	var reply Reply
	g := c.g
	for {
		leader, leaderChanged := g.currentLeader()
		var settled bool
		var err error
		switch {
		case leader != "":
			settled, err = c.tryLeader(ctx, leader, leaderChanged, &reply)
		case c.isLimited():
			c.probeForLeader(ctx)
		default:
			settled, err = c.searchLeader(ctx, leaderChanged, &reply)
		}
		switch {
		case settled:
			return reply, err
		case ctx.Err() != nil, c.isPastUnsentDeadline():
			return reply, timeoutError(c.method, c.maybeExecuted)
		}
	}
}

// tryLeader makes a try at the leader, and reports whether the outcome settles the call.
// A slow try is cancelled when another leader is found.
func (c *leaderCall) tryLeader(ctx context.Context, leader string, leaderChanged <-chan struct{}, reply any) (settled bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	probeTimer := time.AfterFunc(probeAfter, func() {
		defer panics.Handle()
		c.g.probeForNewLeader(ctx, leader)
		if wait.Closed(ctx, leaderChanged) {
			cancel()
		}
	})
	defer probeTimer.Stop()
	settled, err = c.try(ctx, leader, tryTimeout, reply)
	if !settled {
		c.updateLeader(leader, err)
	}
	return settled, err
}

// updateLeader records the leader that the error of a try names. If the error names no
// other instance, the leader becomes unknown and the next try searches for it. A try that found no free
// connection says nothing about the leader: if the leader became unknown, calls that it has received would be
// cancelled.
func (c *leaderCall) updateLeader(tried string, err error) {
	if errors.Is(err, errNoFreeConnection) {
		return
	}
	c.failedLeader = tried
	if errors.Is(err, link.ErrNotLeader) {
		c.g.recordDenial(tried)
	}
	hint := link.LeaderOf(err)
	if hint != "" && hint != tried && c.g.SuggestLeader(hint) {
		return
	}
	c.g.clearLeader(tried)
}

// searchLeader makes tries at the members, one after the other, and reports whether one
// settles the call. Only one call at a time searches; the others wait until that call finds
// a leader.
func (c *leaderCall) searchLeader(ctx context.Context, leaderChanged <-chan struct{}, reply any) (settled bool, err error) {
	if !c.g.acquireSearch(ctx, leaderChanged) {
		return false, nil
	}
	defer c.g.releaseSearch()
	for _, address := range c.g.candidates() {
		leader, leaderChanged := c.g.currentLeader()
		if leader != "" || ctx.Err() != nil {
			return false, nil
		}
		settled, err := c.tryMember(ctx, address, leaderChanged, reply)
		if settled {
			return true, err
		}
		if hint := link.LeaderOf(err); hint != "" && hint != address && !c.g.SuggestLeader(hint) {
			// The other calls don't try it meanwhile.
			if settled, err := c.tryMember(ctx, hint, leaderChanged, reply); settled {
				return true, err
			}
		}
	}
	if leader, _ := c.g.currentLeader(); leader == "" {
		wait.For(ctx, searchInterval)
	}
	return false, nil
}

// tryMember makes a try at a member that may lead, and cancels it when leaderChanged is
// closed because another member leads.
//
// Without the cancellation, a call would wait for the timeout of each unreachable member
// even after another call has found the leader, and get its response after calls that were
// made later.
func (c *leaderCall) tryMember(ctx context.Context, address string, leaderChanged <-chan struct{}, reply any) (settled bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer panics.Handle()
		if !wait.Closed(ctx, leaderChanged) {
			return
		}
		if leader, _ := c.g.currentLeader(); leader != address {
			cancel()
		}
	}()
	return c.try(ctx, address, searchTimeout, reply)
}

// try makes one try, and reports whether its outcome settles the call.
func (c *leaderCall) try(ctx context.Context, address string, timeout time.Duration, reply any) (settled bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c.lastAddress = address
	sentAt := boottime.Now()
	c.versions, err = c.send(ctx, address, reply)
	switch {
	case err == nil:
		c.g.recordLeader(address)
		if informingMethods[c.method] {
			c.g.recordInformed(sentAt)
		}
		return true, nil
	case errors.Is(err, link.ErrNotLeader), errors.Is(err, link.ErrUnsent):
		return false, err
	case fault.Is(err, fault.Unknown):
		c.maybeExecuted = c.maybeExecuted || !readOnlyMethods[c.method]
		return false, err
	default:
		return true, finalError(err, c.maybeExecuted)
	}
}

// finalError returns the error of a refused call. If an earlier try may have been
// executed, a refusal of kind Unavailable or Overloaded doesn't mean that nothing was
// done, and the kind becomes Unknown.
func finalError(err error, maybeExecuted bool) error {
	kind := fault.KindOf(err)
	if maybeExecuted && (kind == fault.Unavailable || kind == fault.Overloaded) {
		return fault.New(fault.Unknown, "an earlier try may have been executed: %v", err)
	}
	return err
}

// timeoutError returns the error of a call whose time ended before a try settled it.
func timeoutError(method string, maybeExecuted bool) error {
	if maybeExecuted {
		return fault.New(fault.Unknown, "%s: no response from the leader", method)
	}
	return fault.Retry(fault.Unavailable, RetryAfter, "%s: no leader is reached", method)
}
