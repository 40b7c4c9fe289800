package lease

import "time"

// maxOutstanding is how many renewals a Holder remembers as sent and not yet
// answered. An answer to an older one counts for nothing.
const maxOutstanding = 16

// sent is one renewal that was sent.
type sentRenewal struct {
	sequence uint64
	at       time.Duration
}

// Holder is the worker's view of its lease. It is not safe for concurrent use.
type Holder struct {
	outstanding []sentRenewal
	// last is the highest sequence number sent, over all incarnations of this
	// process.
	last      uint64
	expiresAt time.Duration
	granted   bool
	expired   bool
}

// Sent notes that the renewal with a sequence number is about to be sent. It
// is called before the renewal leaves. When the same number is sent again, the
// first time counts. Numbers go on growing over Reset.
func (h *Holder) RecordSent(sequence uint64, now time.Duration) {
	if sequence <= h.last {
		return
	}
	h.last = sequence
	if len(h.outstanding) == maxOutstanding {
		h.outstanding = h.outstanding[1:]
	}
	h.outstanding = append(h.outstanding, sentRenewal{sequence, now})
}

// Granted notes the owner's answer to a renewal, received at now. The lease
// lasts for ttl from when that renewal was sent.
//
// Failures guarded against: an answer is held up for longer than the lease; a
// worker that counts from its arrival runs on after the owner has declared the
// lease over and started the tasks elsewhere. And a process that was stopped
// past the end of its lease finds, before anything else, the answer of a new
// leader that doesn't know that its predecessor declared the lease over; taken
// as a grant it would let the tasks run on. So a lease can only be prolonged
// while it is held.
//
// Copies and answers out of order never move the end forward or back. The
// caller must not process commands from an answer when Valid is false after
// Granted.
func (h *Holder) RecordGranted(sequence uint64, ttl, now time.Duration) {
	h.Valid(now)
	if h.expired {
		return
	}
	for _, s := range h.outstanding {
		if s.sequence == sequence {
			h.expiresAt = max(h.expiresAt, s.at+ttl)
			h.granted = true
			h.dropThrough(sequence)
			return
		}
	}
}

// drop forgets the renewals sent up to a sequence number: an answer to one of
// them can't prolong the lease any more.
func (h *Holder) dropThrough(sequence uint64) {
	kept := h.outstanding[:0]
	for _, s := range h.outstanding {
		if s.sequence > sequence {
			kept = append(kept, s)
		}
	}
	h.outstanding = kept
}

// Valid says whether the lease is held at now. Once it has said that a lease
// is over, that stays so until Reset: the tasks are stopped by then, and a
// late grant must not let commands of the same incarnation start them again.
//
// Failure guarded against: the process is stopped by a signal or starved past
// the end of its lease, and its first steps afterwards belong to a task that
// runs elsewhere by now. Therefore it is called before each step.
func (h *Holder) Valid(now time.Duration) bool {
	if h.granted && now >= h.expiresAt {
		h.expired = true
	}
	return h.granted && !h.expired
}

// Lapsed says whether Valid has found that a granted lease was over. The
// worker then needs a higher incarnation.
func (h *Holder) Expired() bool {
	return h.expired
}

// Ends returns when the tasks must be stopped; zero while nothing was granted.
func (h *Holder) ExpiresAt() time.Duration {
	return h.expiresAt
}

// Reset starts a new incarnation, with no lease.
//
// Failure guarded against: a late answer to a renewal of the old incarnation
// is taken for a grant to the new one. It can't be, because sequence numbers
// are not used twice.
func (h *Holder) Reset() {
	*h = Holder{last: h.last}
}
