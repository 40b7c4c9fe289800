package node

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/replica"
)

// These errors mark the faults of kind Unavailable that Propose, Barrier,
// ChangeMembership, Transfer and StepDown return. Compare with errors.Is.
var (
	// ErrNotLeader means that nothing was proposed, because this member isn't a leader
	// that can decide (see replica.Status.CanDecide) or is transferring the leadership.
	// Group.Status names the leader if one is known.
	ErrNotLeader = errors.New("not leader")
	// ErrOutcomeUnknown means that the command was proposed and this member can't tell
	// whether it will be committed.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrNotCommitted means that the command was proposed and will never be committed.
	ErrNotCommitted = errors.New("not committed")
	// ErrStopped means that this member has stopped; nothing was proposed.
	ErrStopped = errors.New("member stopped")
)

func unavailable(mark error, format string, args ...any) error {
	return errors.Mark(fault.New(fault.Unavailable, format, args...), mark)
}

func outcomeUnknown(reason string) error {
	return unavailable(ErrOutcomeUnknown, "%s; the command may or may not be committed", reason)
}

// outcome is the result of a call: a value, or the error.
type outcome struct {
	value any
	err   error
}

type callKind uint8

const (
	callPropose callKind = iota
	callBarrier
	callMembership
	callTransfer
	callStepDown
	callForceStart
)

// call is a request to the goroutine of Run.
type call struct {
	kind       callKind
	command    []byte
	members    []replica.Member
	transferee string
	// term is the term whose leadership callStepDown gives up.
	term uint64
	// outcome has a buffer of one, so that reply never blocks.
	outcome chan outcome
}

func (c *call) reply(value any, err error) { c.outcome <- outcome{value, err} }

// callQueue holds the calls that Run hasn't taken yet.
type callQueue struct {
	mu      sync.Mutex
	pending []*call
	stopped bool
}

func (q *callQueue) push(c *call) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case q.stopped:
		return unavailable(ErrStopped, "the member has stopped")
	case len(q.pending) >= maxPendingCalls:
		return fault.New(fault.Overloaded, "the log has %d pending calls, the maximum", maxPendingCalls)
	}
	q.pending = append(q.pending, c)
	return nil
}

func (q *callQueue) take() []*call {
	q.mu.Lock()
	defer q.mu.Unlock()
	taken := q.pending
	q.pending = nil
	return taken
}

func (q *callQueue) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.pending) == 0
}

// remove removes a pending call. It returns false when Run has taken the call already.
func (q *callQueue) remove(c *call) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, queued := range q.pending {
		if queued == c {
			q.pending = append(q.pending[:i:i], q.pending[i+1:]...)
			return true
		}
	}
	return false
}

func (q *callQueue) stop() []*call {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.stopped = true
	taken := q.pending
	q.pending = nil
	return taken
}

// execute queues a call for Run and waits for its outcome.
func (g *Group) execute(ctx context.Context, c *call) (any, error) {
	if err := ctx.Err(); err != nil {
		return nil, unavailable(err, "the context ended before the call was proposed: %v", err)
	}
	c.outcome = make(chan outcome, 1)
	if err := g.calls.push(c); err != nil {
		return nil, err
	}
	g.signal()
	select {
	case o := <-c.outcome:
		return o.value, o.err
	case <-ctx.Done():
	}
	if g.calls.remove(c) {
		return nil, unavailable(ctx.Err(), "the context ended before the call was proposed: %v", ctx.Err())
	}
	return nil, errors.Mark(outcomeUnknown("the context ended before the outcome was known"), ctx.Err())
}

// Propose waits until the command is committed and applied on this member and returns
// the result of Apply. All errors are faults: Overloaded when too many calls are
// pending, else Unavailable, marked with ErrNotLeader, ErrOutcomeUnknown, ErrNotCommitted
// or ErrStopped, or with the error of the context if it ended.
func (g *Group) Propose(ctx context.Context, command []byte) (any, error) {
	g.counters.proposals.Add(1)
	return g.execute(ctx, &call{kind: callPropose, command: command})
}

// Barrier waits until this member has applied everything that was committed before the
// call, and until a majority has confirmed that the member still led after the call
// started. Errors are as for Propose.
func (g *Group) Barrier(ctx context.Context) error {
	_, err := g.execute(ctx, &call{kind: callBarrier})
	return err
}

// ChangeMembership proposes a membership that differs from the current one in one
// member, and waits until it is committed. Faults: Invalid for a membership that is
// never allowed, Conflict for one that isn't allowed now, Unavailable as for Propose.
func (g *Group) ChangeMembership(ctx context.Context, members []replica.Member) error {
	_, err := g.execute(ctx, &call{kind: callMembership, members: members})
	return err
}

// ForceStart makes this member the only voter of the group; see replica.Core.ForceStart
// for what that may lose. A refusal is a fault of kind Conflict.
func (g *Group) ForceStart(ctx context.Context) error {
	_, err := g.execute(ctx, &call{kind: callForceStart})
	return err
}

// Transfer transfers the leadership to another member and waits until another member
// leads. If another member leads already, it returns immediately. The error is Unavailable
// when ctx ends or the member stops first.
func (g *Group) Transfer(ctx context.Context) error {
	var errs error
	for {
		changed := g.Changed()
		s := g.Status()
		if s.Leader != "" && s.Leader != g.cfg.ID {
			return nil
		}
		if s.Role == replica.Leader {
			errs = g.transferToAny(ctx, s)
		}
		select {
		case <-ctx.Done():
			return errors.CombineErrors(unavailable(ctx.Err(), "no other member leads yet"), errs)
		case <-g.done:
			return unavailable(ErrStopped, "the member has stopped")
		case <-changed:
		case <-time.After(g.cfg.TickInterval * time.Duration(g.cfg.ElectionTicks)):
			// The core abandons a transfer that takes longer than the election timeout.
			// An abandoned transfer changes no status and so doesn't close changed.
		}
	}
}

// StepDown gives up the leadership of a term, if this member leads in it. The member may be elected again, in a
// later term. Pending calls fail as after any loss of the leadership. Errors are as for Propose, but a
// member that doesn't lead in the term returns none.
func (g *Group) StepDown(ctx context.Context, term uint64) error {
	_, err := g.execute(ctx, &call{kind: callStepDown, term: term})
	return err
}

// transferToAny tries the voters in turn until the core accepts a transfer to one.
func (g *Group) transferToAny(ctx context.Context, s replica.Status) error {
	var errs error
	for _, m := range s.Members {
		if m.ID == g.cfg.ID || m.Learner || m.Witness {
			continue
		}
		_, err := g.execute(ctx, &call{kind: callTransfer, transferee: m.ID})
		if err == nil {
			return nil
		}
		errs = errors.CombineErrors(errs, err)
	}
	return errs
}

// coreFault converts an error of the core into a fault. An error of the core means that
// nothing was proposed.
func (g *Group) coreFault(err error) error {
	switch {
	case errors.Is(err, replica.ErrNotLeader):
		return unavailable(ErrNotLeader, "not leader; the leader is %q", g.core.Status().Leader)
	case errors.Is(err, replica.ErrTransferring):
		return unavailable(ErrNotLeader, "not leader; the leadership is being transferred")
	case errors.Is(err, replica.ErrNotCaughtUp):
		return errors.Mark(fault.New(fault.Conflict, "%v", err), replica.ErrNotCaughtUp)
	case errors.Is(err, replica.ErrConfig), errors.Is(err, replica.ErrChangeTooLarge):
		return fault.Field("members", "%v", err)
	default:
		return fault.New(fault.Conflict, "%v", err)
	}
}
