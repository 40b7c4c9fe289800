package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/link"
	"github.com/bilberryferry/bilberryferry/internal/wait"
)

// leaderCall is a call to the leader, which may take several tries.
type leaderCall struct {
	g       *Gateway
	method  string
	request any
	// maybeExecuted says that some try may have been executed.
	maybeExecuted bool
	// version is the version of the configuration by which the last try was answered, 0
	// for none.
	version uint64
	// lastAddress is the address to which the last try was sent.
	lastAddress string
}

// Call calls a method of the leader until ctx ends. It tries other members while no
// leader answers. The error is of kind Unknown if some try may have been executed, and
// otherwise says that none was.
func Call[Reply any](ctx context.Context, g *Gateway, method string, request any) (Reply, error) {
	return callUntilSettled[Reply](ctx, &leaderCall{g: g, method: method, request: request})
}

// CallForCaller is Call on behalf of a caller's request that was received at receivedAt
// and whose outcome reveals which version of the configuration is in force. An outcome
// that contradicts the order of requests is withheld; see WithholdOutOfOrder.
func CallForCaller[Reply any](ctx context.Context, g *Gateway, receivedAt time.Time, method string, request any) (Reply, error) {
	c := &leaderCall{g: g, method: method, request: request}
	reply, err := callUntilSettled[Reply](ctx, c)
	return reply, g.WithholdOutOfOrder(Outcome{Method: method, ReceivedAt: receivedAt, Version: c.version, AnsweredBy: c.lastAddress, MaybeExecuted: c.maybeExecuted, Err: err})
}

// callUntilSettled makes tries until one settles the call or ctx ends.
func callUntilSettled[Reply any](ctx context.Context, c *leaderCall) (Reply, error) {
	var reply Reply
	g := c.g
	for {
		leader, leaderChanged := g.currentLeader()
		var settled bool
		var err error
		if leader != "" {
			settled, err = c.tryLeader(ctx, leader, leaderChanged, &reply)
		} else {
			settled, err = c.searchLeader(ctx, leaderChanged, &reply)
		}
		switch {
		case settled:
			return reply, err
		case ctx.Err() != nil:
			return reply, timeoutError(c.method, c.maybeExecuted)
		}
	}
}

// tryLeader makes a try at the leader, and reports whether that settles the call. A
// slow try is cancelled when another leader is found.
func (c *leaderCall) tryLeader(ctx context.Context, leader string, leaderChanged <-chan struct{}, reply any) (settled bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	probeTimer := time.AfterFunc(probeAfter, func() {
		c.g.probeForNewLeader(ctx, leader)
		if wait.Closed(ctx, leaderChanged) {
			cancel()
		}
	})
	defer probeTimer.Stop()
	settled, err = c.try(ctx, leader, tryTimeout, reply)
	if !settled {
		c.followRefusal(leader, err)
	}
	return settled, err
}

// followRefusal switches to the leader that a refusal names. If it names none, the
// leader is unknown and has to be searched for.
func (c *leaderCall) followRefusal(tried string, err error) {
	hint := link.LeaderOf(err)
	if hint != "" && hint != tried {
		c.g.SuggestLeader(hint)
		return
	}
	c.g.clearLeader(tried)
}

// searchLeader tries the members one after the other. One call at a time searches; the
// others wait until it finds a leader.
func (c *leaderCall) searchLeader(ctx context.Context, leaderChanged <-chan struct{}, reply any) (settled bool, err error) {
	select {
	case c.g.searchSlot <- struct{}{}:
	case <-leaderChanged:
		return false, nil
	case <-ctx.Done():
		return false, nil
	}
	defer func() { <-c.g.searchSlot }()
	for _, address := range c.g.candidates() {
		leader, leaderChanged := c.g.currentLeader()
		if leader != "" || ctx.Err() != nil {
			return false, nil
		}
		settled, err := c.tryMember(ctx, address, leaderChanged, reply)
		if settled {
			return true, err
		}
		if hint := link.LeaderOf(err); hint != "" && hint != address {
			c.g.SuggestLeader(hint)
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
// Without the cancellation, a call would wait for the timeout of each unreachable
// member after another call has found the leader, and be answered after calls that came
// later.
func (c *leaderCall) tryMember(ctx context.Context, address string, leaderChanged <-chan struct{}, reply any) (settled bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
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
	c.version, err = c.g.client.CallVersioned(ctx, address, c.method, c.request, reply)
	switch {
	case err == nil:
		c.g.recordLeader(address)
		return true, nil
	case errors.Is(err, link.ErrNotLeader), errors.Is(err, link.ErrUnsent):
		return false, err
	case fault.Is(err, fault.Unknown):
		c.maybeExecuted = true
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
		return fault.New(fault.Unknown, "%s: no answer from the leader", method)
	}
	return fault.Retry(fault.Unavailable, RetryAfter, "%s: no leader is reached", method)
}
