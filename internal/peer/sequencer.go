package peer

import (
	"maps"
	"sync"
	"time"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
)

// Bounds of what a receiver holds back and remembers for one sender.
const (
	// holdTime is how long a call waits at most for those before it. Calls of
	// one connection overtake each other by the scheduling of the two
	// processes, which takes some milliseconds on a busy machine.
	holdTime     = 25 * time.Millisecond
	maxHeldCalls = 16 * maxCalls
	// missingWindow bounds the calls that are remembered as missing.
	missingWindow = 4096
)

// order brings the calls of one sender back into the order in which they were
// made. Calls that are under way together overtake each other, and a log
// refuses an append that comes before its predecessor, which costs a round
// trip. What comes too early is held back, but for holdTime at most, so that a
// lost call delays the others by no more. A call that comes after its turn is
// taken in all the same: a long snapshot may be late each time.
type sequencer struct {
	// deliver takes in a call. It is called under mu, one call at a time.
	deliver func(*apiv1.ExchangeRequest)
	// drop counts a call that isn't taken in.
	drop func(*apiv1.ExchangeRequest)

	mu sync.Mutex
	// session is the sender's, former the one before, whose process has ended.
	session, previousSession uint32
	// next is the sequence whose turn it is.
	nextSequence uint64
	held         map[uint64]*apiv1.ExchangeRequest
	// missing are the sequences below next that haven't come, as far as missingWindow.
	missing map[uint64]bool
	// timer releases what is held; nil while nothing is.
	holdTimer *time.Timer
}

// take takes in a call, now or when its turn comes. A call that came twice, or
// from a process that has ended, is dropped.
func (q *sequencer) accept(r *apiv1.ExchangeRequest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if r.Session == q.previousSession {
		q.drop(r)
		return
	}
	if r.Session != q.session {
		q.startSession(r)
	}
	switch {
	case r.Sequence < q.nextSequence:
		q.acceptLate(r)
	case r.Sequence == q.nextSequence:
		q.nextSequence++
		q.deliver(r)
		q.deliverFollowing()
	case q.held[r.Sequence] != nil:
		q.drop(r)
	default:
		q.hold(r)
	}
}

// begin starts a session with the first call that comes of it: the sender is
// new, or this process is. Calls made shortly before may still be on their way:
// near the beginning of a session they are waited for, since a new sender's
// first calls overtake each other too.
func (q *sequencer) startSession(r *apiv1.ExchangeRequest) {
	q.releaseAll()
	q.previousSession, q.session = q.session, r.Session
	q.missing = map[uint64]bool{}
	q.nextSequence = r.Sequence - min(r.Sequence-1, maxHeldCalls)
	if q.nextSequence > 1 {
		q.skipTo(r.Sequence)
	}
}

// acceptLate takes in a call whose turn has passed, unless it came already. That
// isn't remembered of one that lags very far, and the logs bear a doubled call.
func (q *sequencer) acceptLate(r *apiv1.ExchangeRequest) {
	if !q.missing[r.Sequence] && r.Sequence+missingWindow >= q.nextSequence {
		q.drop(r)
		return
	}
	delete(q.missing, r.Sequence)
	q.deliver(r)
}

// deliverFollowing delivers the held calls whose turn has come.
func (q *sequencer) deliverFollowing() {
	for r := q.held[q.nextSequence]; r != nil; r = q.held[q.nextSequence] {
		delete(q.held, q.nextSequence)
		q.nextSequence++
		q.deliver(r)
	}
	if len(q.held) == 0 {
		q.stopTimer()
	}
}

func (q *sequencer) hold(r *apiv1.ExchangeRequest) {
	if q.held == nil {
		q.held = map[uint64]*apiv1.ExchangeRequest{}
	}
	q.held[r.Sequence] = r
	if len(q.held) > maxHeldCalls {
		q.releaseAll()
		return
	}
	if q.holdTimer == nil {
		q.holdTimer = time.AfterFunc(holdTime, q.releaseAfterTimeout)
	}
}

// release gives up what hasn't come before the calls held.
func (q *sequencer) releaseAfterTimeout() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.releaseAll()
}

func (q *sequencer) releaseAll() {
	for len(q.held) > 0 {
		lowest := ^uint64(0)
		for sequence := range q.held {
			lowest = min(lowest, sequence)
		}
		q.skipTo(lowest)
		q.deliverFollowing()
	}
	q.stopTimer()
}

// skipTo passes the turn to a later sequence.
func (q *sequencer) skipTo(sequence uint64) {
	maps.DeleteFunc(q.missing, func(s uint64, _ bool) bool { return s+missingWindow < sequence })
	for s := max(q.nextSequence, sequence-min(sequence, missingWindow)); s < sequence; s++ {
		q.missing[s] = true
	}
	q.nextSequence = sequence
}

func (q *sequencer) stopTimer() {
	if q.holdTimer != nil {
		q.holdTimer.Stop()
		q.holdTimer = nil
	}
}
