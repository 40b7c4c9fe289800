package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/node"
	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/replica"
)

// simStore is the state that the logs of all leaders share.
type simStore struct {
	mu     sync.Mutex
	random *rand.Rand
	state  *StateMachine
	index  uint64
	// lastAt is when the last command is committed. Commands are committed in order.
	lastAt time.Time
	// slowUntil is when commits are fast again, delayedUntil when the log can confirm the
	// leadership again, fullUntil when it accepts calls again.
	slowUntil, delayedUntil, fullUntil time.Time
	// unknownOutcome holds the commands whose outcome was unknown when their leader lost
	// the leadership.
	unknownOutcome [][]byte
	// refused counts the refused commands, unknownOutcomes those with an unknown outcome.
	refused, unknownOutcomes int
}

// commitAt returns when a command that is proposed now is committed. s.mu must be held.
func (s *simStore) commitAt(now time.Time) time.Time {
	took := randomDuration(s.random, time.Millisecond, 5*time.Millisecond)
	if now.Before(s.slowUntil) {
		took = randomDuration(s.random, 50*time.Millisecond, 500*time.Millisecond)
	}
	at := now.Add(took)
	if !at.After(s.lastAt) {
		at = s.lastAt.Add(time.Microsecond)
	}
	s.lastAt = at
	return at
}

// resolveUnknownOutcomes commits half of the commands with an unknown outcome and drops
// the others.
func (s *simStore) resolveUnknownOutcomes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, data := range s.unknownOutcome {
		if oneIn(s.random, 2) {
			s.index++
			s.state.Apply(s.index, data)
		}
	}
	s.unknownOutcome = nil
}

// simReplica is the log as one leader sees it.
type simReplica struct {
	store *simStore
	term  uint64
	// lost is closed when the leadership is lost.
	lost chan struct{}
}

// leadershipLost reports whether the leader has lost its leadership.
func (l *simReplica) leadershipLost() bool {
	select {
	case <-l.lost:
		return true
	default:
		return false
	}
}

// notProposed returns the error for a command that was not proposed, marked with mark.
func notProposed(mark error) error {
	return errors.Mark(fault.New(fault.Unavailable, "nothing was proposed"), mark)
}

// refusal returns why nothing may be proposed now, nil if commands are accepted.
// l.store.mu must be held.
func (l *simReplica) refusal(now time.Time) error {
	switch {
	case l.leadershipLost():
		return notProposed(node.ErrNotLeader)
	case now.Before(l.store.fullUntil):
		l.store.refused++
		return fault.New(fault.Overloaded, "too many calls wait for the log already")
	}
	return nil
}

func (l *simReplica) Propose(ctx context.Context, data []byte) (any, error) {
	s, now := l.store, time.Now()
	s.mu.Lock()
	err := l.refusal(now)
	if err == nil && now.Before(s.delayedUntil) {
		s.refused++
		err = notProposed(node.ErrNotLeader)
	}
	at := time.Time{}
	if err == nil {
		at = s.commitAt(now)
	}
	s.mu.Unlock()
	if err != nil {
		return nil, err
	}
	timer := time.NewTimer(at.Sub(now))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.lost:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.leadershipLost() || ctx.Err() != nil {
		s.unknownOutcome = append(s.unknownOutcome, data)
		s.unknownOutcomes++
		return nil, errors.Mark(fault.New(fault.Unavailable, "the outcome of the command is unknown"), node.ErrOutcomeUnknown)
	}
	s.index++
	return s.state.Apply(s.index, data), nil
}

func (l *simReplica) Barrier(ctx context.Context) error {
	l.store.mu.Lock()
	err := l.refusal(time.Now())
	delay := time.Until(l.store.delayedUntil)
	l.store.mu.Unlock()
	if err != nil {
		return err
	}
	wait.For(ctx, max(delay, 0)+time.Millisecond)
	if l.leadershipLost() {
		return notProposed(node.ErrNotLeader)
	}
	return ctx.Err()
}

func (l *simReplica) Status() replica.Status {
	if l.leadershipLost() {
		return replica.Status{Role: replica.Follower, Term: l.term + 1}
	}
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	return replica.Status{Role: replica.Leader, Term: l.term, CanDecide: !time.Now().Before(l.store.delayedUntil)}
}

func (l *simReplica) Changed() <-chan struct{} {
	if l.leadershipLost() {
		return make(chan struct{})
	}
	return l.lost
}
