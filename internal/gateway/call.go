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
type attempt struct {
	g       *Gateway
	method  string
	request any
	// open says that some try may have been carried out.
	open bool
	// version is that of the configuration by which the last try was answered, from is
	// who answered; 0 and empty for nobody.
	version uint64
	from    string
}

// Call makes a call of the leader within the time of ctx. It goes on to other
// members while no leader answers. The error is of kind Unknown when some try
// may have been carried out, and otherwise says that none was.
func Call[Reply any](ctx context.Context, g *Gateway, method string, request any) (Reply, error) {
	return finish[Reply](ctx, &attempt{g: g, method: method, request: request})
}

// CallForCaller is Call for a request that a caller made at begun, and whose outcome
// shows the caller which version of the configuration was in force. One that would be
// out of order is withheld; see InOrder.
func CallForCaller[Reply any](ctx context.Context, g *Gateway, begun time.Time, method string, request any) (Reply, error) {
	a := &attempt{g: g, method: method, request: request}
	reply, err := finish[Reply](ctx, a)
	return reply, g.InOrder(Outcome{Method: method, Begun: begun, Version: a.version, From: a.from, Open: a.open, Err: err})
}

// finish makes tries until one settles the call.
func finish[Reply any](ctx context.Context, a *attempt) (Reply, error) {
	var reply Reply
	g := a.g
	for {
		leader, changed := g.known()
		var done bool
		var err error
		if leader != "" {
			done, err = a.tryLeader(ctx, leader, changed, &reply)
		} else {
			done, err = a.find(ctx, changed, &reply)
		}
		switch {
		case done:
			return reply, err
		case ctx.Err() != nil:
			return reply, outOfTime(a.method, a.open)
		}
	}
}

// tryLeader makes a try at the leader, and reports whether that settles the call.
// A try without an answer ends when another leader is found.
func (a *attempt) tryLeader(ctx context.Context, leader string, changed <-chan struct{}, reply any) (done bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	slow := time.AfterFunc(slowAfter, func() {
		a.g.askAround(ctx, leader)
		if wait.Closed(ctx, changed) {
			cancel()
		}
	})
	defer slow.Stop()
	done, err = a.try(ctx, leader, tryTimeout, reply)
	if !done {
		a.follow(leader, err)
	}
	return done, err
}

// follow goes on to the leader that a refusal names, or to a search.
func (a *attempt) follow(tried string, err error) {
	hint := link.LeaderOf(err)
	if hint != "" && hint != tried {
		a.g.Suggest(hint)
		return
	}
	a.g.lost(tried)
}

// find goes through the members, if no other call does; else it waits for what
// that one finds.
func (a *attempt) find(ctx context.Context, changed <-chan struct{}, reply any) (done bool, err error) {
	select {
	case a.g.search <- struct{}{}:
	case <-changed:
		return false, nil
	case <-ctx.Done():
		return false, nil
	}
	defer func() { <-a.g.search }()
	for _, address := range a.g.targets() {
		leader, changed := a.g.known()
		if leader != "" || ctx.Err() != nil {
			return false, nil
		}
		done, err := a.tryMember(ctx, address, changed, reply)
		if done {
			return true, err
		}
		if hint := link.LeaderOf(err); hint != "" && hint != address {
			a.g.Suggest(hint)
		}
	}
	if leader, _ := a.g.known(); leader == "" {
		wait.For(ctx, searchPause)
	}
	return false, nil
}

// tryMember makes a try at a member that may lead. It ends when changed is closed
// because another one is found to lead.
//
// Failure guarded against: a member is cut off, another call learns who leads, and
// this one waits on for each member that is cut off; it is answered after calls that
// came later.
func (a *attempt) tryMember(ctx context.Context, address string, changed <-chan struct{}, reply any) (done bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		if !wait.Closed(ctx, changed) {
			return
		}
		if leader, _ := a.g.known(); leader != address {
			cancel()
		}
	}()
	return a.try(ctx, address, searchTimeout, reply)
}

// try makes one try, and reports whether its outcome settles the call.
func (a *attempt) try(ctx context.Context, address string, limit time.Duration, reply any) (done bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	a.from = address
	a.version, err = a.g.client.CallVersioned(ctx, address, a.method, a.request, reply)
	switch {
	case err == nil:
		a.g.noteLeader(address)
		return true, nil
	case errors.Is(err, link.ErrNotLeader), errors.Is(err, link.ErrUnsent):
		return false, err
	case fault.Is(err, fault.Unknown):
		a.open = true
		return false, err
	default:
		return true, settled(err, a.open)
	}
}

// settled is the error of a call that was refused. After a try that may have been
// carried out, a refusal doesn't say that nothing was done.
func settled(err error, open bool) error {
	kind := fault.KindOf(err)
	if open && (kind == fault.Unavailable || kind == fault.Overloaded) {
		return fault.New(fault.Unknown, "an earlier try may have been carried out: %v", err)
	}
	return err
}

func outOfTime(method string, open bool) error {
	if open {
		return fault.New(fault.Unknown, "%s: no answer from the leader", method)
	}
	return fault.Retry(fault.Unavailable, RetryAfter, "%s: no leader is reached", method)
}
