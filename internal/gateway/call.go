package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/link"
	"github.com/bilberryferry/bilberryferry/internal/wait"
)

// attempt is one call on its way through the tries that it takes.
type leaderCall struct {
	g       *Gateway
	method  string
	request any
	// open says that some try may have been carried out.
	maybeExecuted bool
	// version is that of the configuration by which the last try was answered, from is
	// who answered; 0 and empty for nobody.
	version    uint64
	answeredBy string
}

// Call makes a call of the leader within the time of ctx. It goes on to other
// members while no leader answers. The error is of kind Unknown when some try
// may have been carried out, and otherwise says that none was.
func Call[Reply any](ctx context.Context, g *Gateway, method string, request any) (Reply, error) {
	return callUntilSettled[Reply](ctx, &leaderCall{g: g, method: method, request: request})
}

// CallForCaller is Call for a request that a caller made at begun, and whose outcome
// shows the caller which version of the configuration was in force. One that would be
// out of order is withheld; see WithholdOutOfOrder.
func CallForCaller[Reply any](ctx context.Context, g *Gateway, receivedAt time.Time, method string, request any) (Reply, error) {
	c := &leaderCall{g: g, method: method, request: request}
	reply, err := callUntilSettled[Reply](ctx, c)
	return reply, g.WithholdOutOfOrder(Outcome{Method: method, ReceivedAt: receivedAt, Version: c.version, AnsweredBy: c.answeredBy, MaybeExecuted: c.maybeExecuted, Err: err})
}

// finish makes tries until one settles the call.
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

// tryLeader makes a try at the leader, and reports whether that settles the call.
// A try without an answer ends when another leader is found.
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

// follow goes on to the leader that a refusal names, or to a search.
func (c *leaderCall) followRefusal(tried string, err error) {
	hint := link.LeaderOf(err)
	if hint != "" && hint != tried {
		c.g.SuggestLeader(hint)
		return
	}
	c.g.leaderLost(tried)
}

// find goes through the members, if no other call does; else it waits for what
// that one finds.
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

// tryMember makes a try at a member that may lead. It ends when changed is closed
// because another one is found to lead.
//
// Failure guarded against: a member is cut off, another call learns who leads, and
// this one waits on for each member that is cut off; it is answered after calls that
// came later.
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
	c.answeredBy = address
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

// settled is the error of a call that was refused. After a try that may have been
// carried out, a refusal doesn't say that nothing was done.
func finalError(err error, maybeExecuted bool) error {
	kind := fault.KindOf(err)
	if maybeExecuted && (kind == fault.Unavailable || kind == fault.Overloaded) {
		return fault.New(fault.Unknown, "an earlier try may have been carried out: %v", err)
	}
	return err
}

func timeoutError(method string, maybeExecuted bool) error {
	if maybeExecuted {
		return fault.New(fault.Unknown, "%s: no answer from the leader", method)
	}
	return fault.Retry(fault.Unavailable, RetryAfter, "%s: no leader is reached", method)
}
