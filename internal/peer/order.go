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
func (o *sequencer) accept(r *apiv1.ExchangeRequest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if r.Session == o.previousSession {
		o.drop(r)
		return
	}
	if r.Session != o.session {
		o.startSession(r)
	}
	switch {
	case r.Sequence < o.nextSequence:
		o.acceptLate(r)
	case r.Sequence == o.nextSequence:
		o.nextSequence++
		o.deliver(r)
		o.deliverFollowing()
	case o.held[r.Sequence] != nil:
		o.drop(r)
	default:
		o.hold(r)
	}
}

// begin starts a session with the first call that comes of it: the sender is
// new, or this process is. Calls made shortly before may still be on their way:
// near the beginning of a session they are waited for, since a new sender's
// first calls overtake each other too.
func (o *sequencer) startSession(r *apiv1.ExchangeRequest) {
	o.releaseAll()
	o.previousSession, o.session = o.session, r.Session
	o.missing = map[uint64]bool{}
	o.nextSequence = r.Sequence - min(r.Sequence-1, maxHeldCalls)
	if o.nextSequence > 1 {
		o.skipTo(r.Sequence)
	}
}

// acceptLate takes in a call whose turn has passed, unless it came already. That
// isn't remembered of one that lags very far, and the logs bear a doubled call.
func (o *sequencer) acceptLate(r *apiv1.ExchangeRequest) {
	if !o.missing[r.Sequence] && r.Sequence+missingWindow >= o.nextSequence {
		o.drop(r)
		return
	}
	delete(o.missing, r.Sequence)
	o.deliver(r)
}

// deliverFollowing delivers the held calls whose turn has come.
func (o *sequencer) deliverFollowing() {
	for r := o.held[o.nextSequence]; r != nil; r = o.held[o.nextSequence] {
		delete(o.held, o.nextSequence)
		o.nextSequence++
		o.deliver(r)
	}
	if len(o.held) == 0 {
		o.stopTimer()
	}
}

func (o *sequencer) hold(r *apiv1.ExchangeRequest) {
	if o.held == nil {
		o.held = map[uint64]*apiv1.ExchangeRequest{}
	}
	o.held[r.Sequence] = r
	if len(o.held) > maxHeldCalls {
		o.releaseAll()
		return
	}
	if o.holdTimer == nil {
		o.holdTimer = time.AfterFunc(holdTime, o.releaseAfterTimeout)
	}
}

// release gives up what hasn't come before the calls held.
func (o *sequencer) releaseAfterTimeout() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.releaseAll()
}

func (o *sequencer) releaseAll() {
	for len(o.held) > 0 {
		lowest := ^uint64(0)
		for sequence := range o.held {
			lowest = min(lowest, sequence)
		}
		o.skipTo(lowest)
		o.deliverFollowing()
	}
	o.stopTimer()
}

// skipTo passes the turn to a later sequence.
func (o *sequencer) skipTo(sequence uint64) {
	maps.DeleteFunc(o.missing, func(s uint64, _ bool) bool { return s+missingWindow < sequence })
	for s := max(o.nextSequence, sequence-min(sequence, missingWindow)); s < sequence; s++ {
		o.missing[s] = true
	}
	o.nextSequence = sequence
}

func (o *sequencer) stopTimer() {
	if o.holdTimer != nil {
		o.holdTimer.Stop()
		o.holdTimer = nil
	}
}
