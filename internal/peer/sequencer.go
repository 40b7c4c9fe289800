package peer

import (
	"maps"
	"sync"
	"time"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
)

// Bounds on the calls of one sender that a receiver holds and remembers.
const (
	// holdTime is the longest time for which a call waits for earlier ones. Calls on one
	// connection overtake each other through process scheduling on both sides, which
	// takes some milliseconds on a busy host.
	holdTime     = 25 * time.Millisecond
	maxHeldCalls = 16 * maxCalls
	// missingWindow is the number of sequence numbers below the next one for which the
	// receiver remembers which calls are missing.
	missingWindow = 4096
)

// sequencer delivers the calls of one sender in the order in which they were made.
// Concurrent calls overtake each other, and a log rejects an append that arrives before
// its predecessor, which costs a round trip. A call that arrives before an earlier one is
// held for at most holdTime, which is also the longest time by which a lost call delays
// later ones. A call that arrives after later ones were delivered is delivered too, since a
// large snapshot may be late at any time.
type sequencer struct {
	// deliver processes a call. It is called while mu is held, so for one call at a time.
	deliver func(*apiv1.ExchangeRequest)
	// drop counts the payloads of a call that isn't delivered.
	drop func(*apiv1.ExchangeRequest)

	mu sync.Mutex
	// session identifies the sender's process, and previousSession the sender's process
	// before that, which has ended.
	session, previousSession uint32
	// nextSequence is the sequence number of the next call to deliver.
	nextSequence uint64
	// held holds the calls that wait for earlier ones, by sequence number.
	held map[uint64]*apiv1.ExchangeRequest
	// missing holds the sequence numbers in the missingWindow below nextSequence whose
	// calls haven't arrived.
	missing map[uint64]bool
	// holdTimer releases the held calls; nil while there are none.
	holdTimer *time.Timer
}

// accept delivers a call immediately, or holds it until the calls before it have arrived
// or holdTime has passed. It drops a duplicate and a call of the sender's previous process.
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

// startSession starts a session, whose first call to arrive is r. A new session means that
// the sender or this process has restarted. Calls with lower sequence numbers than r's may
// still arrive. The sequencer waits for them if there are at most maxHeldCalls of them,
// since the sender has then just restarted, and its first calls overtake each other too.
// q.mu must be held.
func (q *sequencer) startSession(r *apiv1.ExchangeRequest) {
	q.releaseAll()
	q.previousSession, q.session = q.session, r.Session
	q.missing = map[uint64]bool{}
	q.nextSequence = r.Sequence - min(r.Sequence-1, maxHeldCalls)
	if q.nextSequence > 1 {
		q.skipTo(r.Sequence)
	}
}

// acceptLate delivers a call that later ones have overtaken, unless it is a duplicate. A
// duplicate that is older than missingWindow isn't recognised; the logs tolerate it. q.mu
// must be held.
func (q *sequencer) acceptLate(r *apiv1.ExchangeRequest) {
	if !q.missing[r.Sequence] && r.Sequence+missingWindow >= q.nextSequence {
		q.drop(r)
		return
	}
	delete(q.missing, r.Sequence)
	q.deliver(r)
}

// deliverFollowing delivers the held calls that directly follow the last delivered one.
// q.mu must be held.
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

// hold keeps a call until the calls before it have arrived, holdTime has passed, or more
// than maxHeldCalls calls are held. q.mu must be held.
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

// releaseAfterTimeout delivers all held calls without waiting for missing ones.
func (q *sequencer) releaseAfterTimeout() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.releaseAll()
}

// releaseAll delivers all held calls in order and skips missing ones. q.mu must be held.
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

// skipTo raises nextSequence to sequence and records the skipped numbers as missing. q.mu
// must be held.
func (q *sequencer) skipTo(sequence uint64) {
	maps.DeleteFunc(q.missing, func(s uint64, _ bool) bool { return s+missingWindow < sequence })
	for s := max(q.nextSequence, sequence-min(sequence, missingWindow)); s < sequence; s++ {
		q.missing[s] = true
	}
	q.nextSequence = sequence
}

// stopTimer cancels the timed release of held calls. q.mu must be held.
func (q *sequencer) stopTimer() {
	if q.holdTimer != nil {
		q.holdTimer.Stop()
		q.holdTimer = nil
	}
}
