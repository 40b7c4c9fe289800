package lease

import "time"

// maxOutstanding is the largest number of unanswered renewals that a Holder records.
// The response to an older one is ignored.
const maxOutstanding = 16

// sentRenewal is an unanswered renewal.
type sentRenewal struct {
	sequence uint64
	sentAt   time.Duration
}

// Holder is the worker's record of its lease. It is not safe for concurrent use.
type Holder struct {
	// outstanding has the unanswered renewals, oldest first.
	outstanding []sentRenewal
	// lastSequence is the highest sequence number sent in any incarnation of
	// this process.
	lastSequence uint64
	expiresAt    time.Duration
	// granted reports whether a lease was granted since the last Reset.
	granted bool
	// expired reports whether Valid has found the granted lease expired.
	expired bool
}

// RecordSent records that a renewal is about to be sent. Call it before sending. If a
// renewal is sent again under the same sequence number, the time of the first call
// counts. Sequence numbers must keep growing after Reset.
func (h *Holder) RecordSent(sequence uint64, now time.Duration) {
	if sequence <= h.lastSequence {
		return
	}
	h.lastSequence = sequence
	if len(h.outstanding) == maxOutstanding {
		h.outstanding = h.outstanding[1:]
	}
	h.outstanding = append(h.outstanding, sentRenewal{sequence, now})
}

// RecordGranted records the owner's granting response to a renewal, received at now.
// The lease lasts for ttl from when that renewal was sent.
//
// Guards against two faults. First, if the response takes longer than the lease, a worker
// that counts from the arrival of the response still runs its tasks after the owner has
// declared the lease ended and started the tasks elsewhere. Second, a process that was
// suspended past the end of its lease may first see the response of a new leader, which
// doesn't know that the previous leader declared the lease ended; accepting the response
// would let the tasks continue. A lease can therefore be extended only while it is held.
//
// A duplicated response, or a response to an earlier renewal than the last granted one,
// doesn't change the end of the lease. The caller must not process commands from a
// response if Valid is false after RecordGranted.
func (h *Holder) RecordGranted(sequence uint64, ttl, now time.Duration) {
	h.Valid(now)
	if h.expired {
		return
	}
	for _, s := range h.outstanding {
		if s.sequence == sequence {
			h.expiresAt = max(h.expiresAt, s.sentAt+ttl)
			h.granted = true
			h.dropThrough(sequence)
			return
		}
	}
}

// dropThrough drops the renewals up to and including a sequence number. A response to
// one of them can't extend the lease any more.
func (h *Holder) dropThrough(sequence uint64) {
	kept := h.outstanding[:0]
	for _, s := range h.outstanding {
		if s.sequence > sequence {
			kept = append(kept, s)
		}
	}
	h.outstanding = kept
}

// Valid reports whether the lease is held at now. Once it has found the lease
// expired, it returns false until Reset: the tasks have been stopped, and a
// delayed grant must not let commands of the same incarnation start them again.
//
// Guards against a process that was suspended by a signal, or got no CPU time, past
// the end of its lease: its next step would be for a task that already runs
// elsewhere. Call Valid before each step.
func (h *Holder) Valid(now time.Duration) bool {
	if h.granted && now >= h.expiresAt {
		h.expired = true
	}
	return h.granted && !h.expired
}

// Expired reports whether Valid has found a granted lease expired. If so, the worker
// needs a higher incarnation.
func (h *Holder) Expired() bool {
	return h.expired
}

// ExpiresAt returns when the lease expires and the tasks must be stopped, on the
// worker's clock. It returns zero if no lease was granted since the last Reset.
func (h *Holder) ExpiresAt() time.Duration {
	return h.expiresAt
}

// Reset starts a new incarnation without a lease.
//
// Guards against taking a delayed response to a renewal of the old incarnation for a
// grant to the new one. The highest sequence number is kept, so that none is reused.
func (h *Holder) Reset() {
	*h = Holder{lastSequence: h.lastSequence}
}
