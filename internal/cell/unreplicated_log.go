package cell

import (
	"context"
	"sync"

	"github.com/bilberryferry/bilberryferry/replica"
)

// UnreplicatedLog is a log of one member without a disk or peers: every proposal
// commits immediately, and nothing survives the process. It is the baseline for
// measurements of the replicated log.
type UnreplicatedLog struct {
	mu           sync.Mutex
	index        uint64
	stateMachine interface {
		Apply(index uint64, command []byte) any
	}
	neverClosed chan struct{}
}

// NewUnreplicatedLog returns a log that applies its commands to machine.
func NewUnreplicatedLog(machine interface {
	Apply(index uint64, command []byte) any
}) *UnreplicatedLog {
	return &UnreplicatedLog{stateMachine: machine, neverClosed: make(chan struct{})}
}

// Propose applies the command immediately.
func (l *UnreplicatedLog) Propose(_ context.Context, command []byte) (any, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	return l.stateMachine.Apply(l.index, command), nil
}

// Barrier returns immediately, since everything proposed is applied.
func (l *UnreplicatedLog) Barrier(context.Context) error { return nil }

// Status returns the status of the leader of term 1.
func (l *UnreplicatedLog) Status() replica.Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return replica.Status{Role: replica.Leader, Term: 1, Commit: l.index, Applied: l.index, CanDecide: true, Degraded: true}
}

// Changed returns a channel that is never closed: the only member always leads.
func (l *UnreplicatedLog) Changed() <-chan struct{} { return l.neverClosed }
