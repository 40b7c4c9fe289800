package cell

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/internal/node"
	"github.com/bilberryferry/bilberryferry/internal/rpc"
	"github.com/bilberryferry/bilberryferry/internal/state"
	"github.com/bilberryferry/bilberryferry/replica"
)

// Log is the replicated log of a data centre, as the cell uses it.
type Log interface {
	// Propose waits until the command is committed and applied here, and returns what
	// Apply returned.
	Propose(ctx context.Context, command []byte) (any, error)
	// Barrier waits until everything committed before the call is applied here.
	Barrier(ctx context.Context) error
	// Status returns this member's view of the replication group.
	Status() replica.Status
	// Changed returns a channel that is closed at the next change of leadership.
	Changed() <-chan struct{}
}

// Group is a log whose membership an operator can change.
type Group interface {
	Log
	// ChangeMembership commits a membership that differs from the current one in one
	// member.
	ChangeMembership(ctx context.Context, members []replica.Member) error
	// Transfer transfers the leadership to another member and waits until that one leads.
	Transfer(ctx context.Context) error
}

// propose writes one command to the log of the data centre and returns its result.
func (c *Cell) propose(ctx context.Context, command *state.Command) (state.Result, error) {
	timestamp := c.base.Clock.Now(c.now())
	command.Now, command.Logical, command.Proposer = timestamp.Wall, timestamp.Logical, c.base.Instance.ID+"/cell"
	command.Term = c.log.Status().Term
	data, err := command.Encode()
	if err != nil {
		return state.Result{}, err
	}
	applied, err := c.log.Propose(ctx, data)
	if err != nil {
		return state.Result{}, leaderHint(c.log, err)
	}
	return applied.(state.Result), nil
}

// barrier waits until everything committed before the call is applied here.
func barrier(ctx context.Context, l Log) error {
	if err := l.Barrier(ctx); err != nil {
		return leaderHint(l, err)
	}
	return nil
}

// leaderHint replaces ErrNotLeader by the error that names the leader, if one is known.
func leaderHint(l Log, err error) error {
	if errors.Is(err, node.ErrNotLeader) {
		return rpc.NotLeader(rpc.LeaderIn(l.Status()))
	}
	return err
}
