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
	// member applies the same commands.
	member *simMember
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
	// term is the highest term that a member has led.
	term uint64
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

// apply applies a committed command on both members and returns its result. s.mu must be held.
func (s *simStore) apply(encoded []byte) any {
	s.index++
	result := s.state.Apply(s.index, encoded)
	s.member.apply(s.index, encoded, s.state, result)
	return result
}

// resolveUnknownOutcomes commits half of the commands with an unknown outcome and drops
// the others. s.mu must be held.
func (s *simStore) resolveUnknownOutcomes() {
	for _, encoded := range s.unknownOutcome {
		if oneIn(s.random, 2) {
			s.apply(encoded)
		}
	}
	s.unknownOutcome = nil
}

// simReplica is the log as one leader sees it.
type simReplica struct {
	store *simStore
	// store.mu guards the other fields. term is the term that the member led last, lost is closed when
	// it has lost the leadership of that term.
	term uint64
	lost chan struct{}
	// replaced means that another member has been told to lead.
	replaced bool
}

// newSimReplica returns a replica that leads in a new term.
func newSimReplica(store *simStore) *simReplica {
	r := &simReplica{store: store}
	r.elect()
	return r
}

// elect makes the member lead in a new term, unless another one was told to lead.
func (r *simReplica) elect() {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	if r.replaced {
		return
	}
	r.store.resolveUnknownOutcomes()
	r.store.term++
	r.term, r.lost = r.store.term, make(chan struct{})
}

// replace makes the member lose the leadership to another one.
func (r *simReplica) replace() {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	r.replaced = true
	r.lose()
}

// lose makes the member lose the leadership if it leads. r.store.mu must be held.
func (r *simReplica) lose() {
	if !isClosed(r.lost) {
		close(r.lost)
	}
}

// StepDown makes the member give up its leadership. It is elected again later.
func (r *simReplica) StepDown(_ context.Context, term uint64) error {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	if r.term != term || isClosed(r.lost) {
		return nil
	}
	r.lose()
	time.AfterFunc(randomDuration(r.store.random, time.Millisecond, maxLeaderlessTime), r.elect)
	return nil
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
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
	case isClosed(r.lost):
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
	lost := r.lost
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
	case <-lost:
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.Canceled) {
			// The tenure has ended. A member that still leads commits the command all the same.
			go s.commitUnlessLost(encoded, at, lost)
			return nil, unknownOutcomeError()
		}
	}
	result, err := s.finish(ctx, encoded, lost)
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
func (s *simStore) finish(ctx context.Context, encoded []byte, lost <-chan struct{}) (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if isClosed(lost) || ctx.Err() != nil {
		s.addUnknownOutcome(encoded)
		return nil, unknownOutcomeError()
	}
	applied := s.apply(encoded)
	if result, ok := applied.(workflow.Result); ok && len(result.Started) > 0 && s.onStarts != nil {
		s.onStarts(result.Started)
	}
	return applied, nil
}

func unknownOutcomeError() error {
	return errors.Mark(fault.New(fault.Unavailable, "the outcome of the command is unknown"), node.ErrOutcomeUnknown)
}

// addUnknownOutcome records a command whose outcome is unknown. s.mu must be held.
func (s *simStore) addUnknownOutcome(encoded []byte) {
	s.unknownOutcome = append(s.unknownOutcome, encoded)
	s.unknownOutcomes++
}

// commitUnlessLost commits a command at the given time, unless its leader loses the leadership before.
func (s *simStore) commitUnlessLost(encoded []byte, at time.Time, lost <-chan struct{}) {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-lost:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if isClosed(lost) {
		s.addUnknownOutcome(encoded)
		return
	}
	s.apply(encoded)
}

func (r *simReplica) Barrier(ctx context.Context) error {
	r.store.mu.Lock()
	lost := r.lost
	err := r.refusal(time.Now())
	delay := time.Until(r.store.delayedUntil)
	r.store.mu.Unlock()
	if err != nil {
		return err
	}
	wait.For(ctx, max(delay, 0)+time.Millisecond)
	if isClosed(lost) {
		return notProposed(node.ErrNotLeader)
	}
	return ctx.Err()
}

func (r *simReplica) Status() replica.Status {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	if isClosed(r.lost) {
		return replica.Status{Role: replica.Follower, Term: r.term}
	}
	return replica.Status{Role: replica.Leader, Term: r.term, CanDecide: !time.Now().Before(r.store.delayedUntil)}
}

func (r *simReplica) Changed() <-chan struct{} {
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	if isClosed(r.lost) {
		return make(chan struct{})
	}
	return r.lost
}
