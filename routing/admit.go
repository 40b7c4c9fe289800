package routing

import "time"

const (
	// minRetryAfter and maxRetryAfter bound the time told to refused callers.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 15 * time.Second
	// returningCapacityShare is the part of the service's capacity that returning callers
	// may take.
	returningCapacityShare = 0.5
)

// admit refuses the queued ticket, or one of a larger customer in its place,
// when the queue can't carry it.
//
// Failure: under overload a long queue makes every request late, and the work
// done is worth nothing. Guard: a request that can't be started in time by the
// measured service times is refused at once, before it costs anything.
func (b *Balancer) admit(s *service, t *Ticket, now time.Duration) {
	s.serviceTimes.refresh(now)
	slots := b.usableSlots(s, now)
	if slots == 0 {
		b.admitWithoutSlots(s, t, now)
		return
	}
	wait := b.expectedWait(s, t, slots)
	if now+wait+s.serviceTimes.tail > t.Deadline {
		b.refuseQueued(s, t, TooLate, now)
		return
	}
	if wait > b.maxWait(s) || len(s.queue) > b.opts.MaxQueue {
		b.shedLargestCustomer(s, t, now)
	}
}

// admitWithoutSlots bounds the queue while no slots are granted yet.
func (b *Balancer) admitWithoutSlots(s *service, t *Ticket, now time.Duration) {
	if now+s.serviceTimes.mean > t.Deadline {
		b.refuseQueued(s, t, TooLate, now)
		return
	}
	if len(s.queue) > b.opts.MaxQueue {
		b.shedLargestCustomer(s, t, now)
	}
}

// expectedWait estimates the time until the ticket gets a slot. A customer
// below its share waits only for its own requests before it; one at its share
// gets the slots that the others leave.
func (b *Balancer) expectedWait(s *service, t *Ticket, slots int) time.Duration {
	at := s.queueIndex(t)
	wait := estimateWait(at, slots, s.serviceTimes.mean)
	if len(s.customers) <= 1 {
		return wait
	}
	share := s.customerShare(slots)
	running := s.customer(t.Customer).running
	if running < share {
		return min(wait, estimateWait(s.queuedBefore(t, at), share, s.serviceTimes.mean))
	}
	left := max(share, slots-(s.running-running))
	return max(wait, estimateWait(s.queuedBefore(t, at), left, s.serviceTimes.mean))
}

func estimateWait(ahead, slots int, mean time.Duration) time.Duration {
	return time.Duration(ahead+1) * mean / time.Duration(max(1, slots))
}

// shedLargestCustomer refuses the last request of the largest customer.
func (b *Balancer) shedLargestCustomer(s *service, t *Ticket, now time.Duration) {
	customer, total := s.largestCustomer()
	if customer == t.Customer || s.customer(t.Customer).total() >= total {
		b.refuseQueued(s, t, b.fullReason(s), now)
		return
	}
	b.refuseQueued(s, s.latestOf(customer), OverShare, now)
}

func (b *Balancer) fullReason(s *service) Reason {
	if len(s.customers) > 1 {
		return OverShare
	}
	return QueueFull
}

func (b *Balancer) refuseQueued(s *service, t *Ticket, reason Reason, now time.Duration) {
	s.dequeue(t)
	b.refuse(s, t, reason, now)
}

// retryAfter spreads returning callers over time: each refusal books the next
// moment at which the service can be expected to carry one more caller.
//
// Failure: callers refused together come back together and meet the same full
// queue. Guard: their times are booked one after the other at the rate that the
// service can carry, and moved by a random part.
func (b *Balancer) retryAfter(s *service, reason Reason, now time.Duration) time.Duration {
	if reason == NoSuchService {
		return 0
	}
	earliest := minRetryAfter
	if s != nil {
		earliest += b.scheduleReturn(s, now)
	}
	jitter := time.Duration(b.rng.Int64N(int64(earliest)))
	return min(maxRetryAfter, earliest+jitter)
}

func (b *Balancer) scheduleReturn(s *service, now time.Duration) time.Duration {
	slots := max(1, b.usableSlots(s, now))
	step := time.Duration(float64(s.serviceTimes.mean) / float64(slots) / returningCapacityShare)
	s.lastReturnAt = max(s.lastReturnAt+step, now)
	s.lastReturnAt = min(s.lastReturnAt, now+maxRetryAfter/2)
	return s.lastReturnAt - now
}
