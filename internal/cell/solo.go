package cell

import (
	"context"
	"sync"

	"github.com/bilberryferry/bilberryferry/replica"
)

// Solo is a log of one member without a disk or peers: every proposal commits
// at once and nothing survives the process. It is the baseline that the
// replicated log is measured against.
type UnreplicatedLog struct {
	mu      sync.Mutex
	index   uint64
	machine interface {
		Apply(index uint64, command []byte) any
	}
	never chan struct{}
}

// NewUnreplicatedLog returns a log that applies to machine.
func NewUnreplicatedLog(machine interface {
	Apply(index uint64, command []byte) any
}) *UnreplicatedLog {
	return &UnreplicatedLog{machine: machine, never: make(chan struct{})}
}

// Propose applies the command.
func (l *UnreplicatedLog) Propose(_ context.Context, command []byte) (any, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	return l.machine.Apply(l.index, command), nil
}

// Barrier has nothing to wait for.
func (l *UnreplicatedLog) Barrier(context.Context) error { return nil }

// Status is that of a leader of term 1.
func (l *UnreplicatedLog) Status() replica.Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return replica.Status{Role: replica.Leader, Term: 1, Commit: l.index, Applied: l.index, CanDecide: true, Degraded: true}
}

// Changed never fires: a lone member leads for good.
func (l *UnreplicatedLog) Changed() <-chan struct{} { return l.never }
