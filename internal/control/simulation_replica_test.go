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
	"github.com/bilberryferry/bilberryferry/workflow"
)

// simStore is the state that the logs of all leaders share.
type simStore struct {
	mu     sync.Mutex
	random *rand.Rand
	state  *StateMachine
	index  uint64
	// lastAt is when the last command is committed. Commands are committed in order.
	lastAt time.Time
	// Commits are slow until slowUntil, the log can't confirm the leadership until
	// delayedUntil, and it refuses calls until fullUntil.
	slowUntil, delayedUntil, fullUntil time.Time
	// unknownOutcome holds the commands whose outcome was unknown when their leader lost
	// the leadership.
	unknownOutcome [][]byte
	// wakeRandom draws how long after the application of a command its proposer goes on; nil means
	// that it goes on at once. onStarts is called after the application of starts; it may be nil.
	wakeRandom *rand.Rand
	onStarts   func([]workflow.Run)
	// refused counts the refused commands, unknownOutcomes those with an unknown outcome.
	refused, unknownOutcomes int
}

// commitAt returns when a command that is proposed now is committed. s.mu must be held.
func (s *simStore) commitAt(now time.Time) time.Time {
	duration := randomDuration(s.random, time.Millisecond, 5*time.Millisecond)
	if now.Before(s.slowUntil) {
		duration = randomDuration(s.random, 50*time.Millisecond, 500*time.Millisecond)
	}
	at := now.Add(duration)
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
	for _, encoded := range s.unknownOutcome {
		if oneIn(s.random, 2) {
			s.index++
			s.state.Apply(s.index, encoded)
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
func (r *simReplica) leadershipLost() bool {
	select {
	case <-r.lost:
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
// r.store.mu must be held.
func (r *simReplica) refusal(now time.Time) error {
	switch {
	case r.leadershipLost():
		return notProposed(node.ErrNotLeader)
	case now.Before(r.store.fullUntil):
		r.store.refused++
		return fault.New(fault.Overloaded, "too many calls wait for the log already")
	}
	return nil
}

func (r *simReplica) Propose(ctx context.Context, encoded []byte) (any, error) {
	s, now := r.store, time.Now()
	s.mu.Lock()
	err := r.refusal(now)
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
	case <-r.lost:
	case <-ctx.Done():
	}
	result, err := r.finish(ctx, encoded)
	time.Sleep(s.drawWakeDelay())
	return result, err
}

// drawWakeDelay draws how long after the application of a command its proposer goes on.
func (s *simStore) drawWakeDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wakeRandom == nil {
		return 0
	}
	return randomDuration(s.wakeRandom, 0, maxWakeDelay)
}

// finish applies a proposed command, unless the leadership is lost or ctx has ended.
func (r *simReplica) finish(ctx context.Context, encoded []byte) (any, error) {
	s := r.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.leadershipLost() || ctx.Err() != nil {
		s.unknownOutcome = append(s.unknownOutcome, encoded)
		s.unknownOutcomes++
		return nil, errors.Mark(fault.New(fault.Unavailable, "the outcome of the command is unknown"), node.ErrOutcomeUnknown)
	}
	s.index++
	applied := s.state.Apply(s.index, encoded)
	if result, ok := applied.(workflow.Result); ok && len(result.Started) > 0 && s.onStarts != nil {
		s.onStarts(result.Started)
	}
	return applied, nil
}

func (r *simReplica) Barrier(ctx context.Context) error {
	r.store.mu.Lock()
	err := r.refusal(time.Now())
	delay := time.Until(r.store.delayedUntil)
	r.store.mu.Unlock()
	if err != nil {
		return err
	}
	wait.For(ctx, max(delay, 0)+time.Millisecond)
	if r.leadershipLost() {
		return notProposed(node.ErrNotLeader)
	}
	return ctx.Err()
}

func (r *simReplica) Status() replica.Status {
	if r.leadershipLost() {
		return replica.Status{Role: replica.Follower, Term: r.term + 1}
	}
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	return replica.Status{Role: replica.Leader, Term: r.term, CanDecide: !time.Now().Before(r.store.delayedUntil)}
}

func (r *simReplica) Changed() <-chan struct{} {
	if r.leadershipLost() {
		return make(chan struct{})
	}
	return r.lost
}
