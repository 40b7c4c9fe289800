package routing

import "time"

const (
	// minRetryAfter and maxRetryAfter bound the retry delay of a refusal.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 15 * time.Second
	// returningCapacityShare is the share of a service's capacity that scheduled
	// retries of refused callers may take.
	returningCapacityShare = 0.5
)

// admit refuses the queued ticket t if t isn't expected to complete by its deadline. If
// the expected wait is too long or the queue is full, admit refuses t or, instead, a
// queued ticket of a customer with more requests.
//
// Guards against congestion collapse: under overload every request of a long queue
// misses its deadline, so the minions process requests whose responses are useless.
// Requests that can't start in time according to the measured service times are refused
// before they use a slot.
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

// admitWithoutSlots bounds the queue of a service that has no usable slots.
func (b *Balancer) admitWithoutSlots(s *service, t *Ticket, now time.Duration) {
	if now+s.serviceTimes.mean > t.Deadline {
		b.refuseQueued(s, t, TooLate, now)
		return
	}
	if len(s.queue) > b.opts.MaxQueue {
		b.shedLargestCustomer(s, t, now)
	}
}

// expectedWait estimates the time until t gets a slot. A customer below its
// share waits only for its own requests ahead of t. A customer at its share
// gets only the slots that other customers leave.
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
	slotsLeft := max(share, slots-(s.running-running))
	return max(wait, estimateWait(s.queuedBefore(t, at), slotsLeft, s.serviceTimes.mean))
}

// estimateWait returns the expected wait of a request that has ahead requests before it
// in the queue. slots is the number of slots, and each request takes the duration mean.
func estimateWait(ahead, slots int, mean time.Duration) time.Duration {
	return time.Duration(ahead+1) * mean / time.Duration(max(1, slots))
}

// shedLargestCustomer refuses the queued request with the latest deadline of
// the customer with the most requests, or t itself if no customer has more than
// the customer of t.
func (b *Balancer) shedLargestCustomer(s *service, t *Ticket, now time.Duration) {
	customer, total := s.largestCustomer()
	if customer == t.Customer || s.customer(t.Customer).total() >= total {
		b.refuseQueued(s, t, b.fullReason(s), now)
		return
	}
	b.refuseQueued(s, s.latestTicketOf(customer), OverShare, now)
}

// fullReason returns the reason for refusing a ticket because the queue is full or its
// expected wait too long.
func (b *Balancer) fullReason(s *service) Reason {
	if len(s.customers) > 1 {
		return OverShare
	}
	return QueueFull
}

// refuseQueued removes a ticket from the queue and refuses it.
func (b *Balancer) refuseQueued(s *service, t *Ticket, reason Reason, now time.Duration) {
	s.dequeue(t)
	b.refuse(s, t, reason, now)
}

// retryAfter returns the delay after which a refused caller may retry.
//
// Guards against retry storms: callers that are refused at the same time would return at
// the same time and find the queue full again. Each refusal therefore reserves a later
// return time, at intervals at which the returning requests take returningCapacityShare
// of the service's capacity, and random jitter spreads the callers further. The delay is
// 0 for NoSuchService.
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

// scheduleReturn reserves the next time for the return of a refused caller and
// returns the delay until then.
func (b *Balancer) scheduleReturn(s *service, now time.Duration) time.Duration {
	slots := max(1, b.usableSlots(s, now))
	step := time.Duration(float64(s.serviceTimes.mean) / float64(slots) / returningCapacityShare)
	s.lastReturnAt = max(s.lastReturnAt+step, now)
	s.lastReturnAt = min(s.lastReturnAt, now+maxRetryAfter/2)
	return s.lastReturnAt - now
}
