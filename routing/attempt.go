package routing

import "time"

// Finish ends an attempt. It releases the attempt's slot and starts queued requests on
// free slots.
//
// Guards against overload of the minion: when a caller disconnects or an
// attempt times out, the minion isn't notified and still works on the request.
// The slot of such an attempt is held until the request has probably ended.
func (b *Balancer) Finish(t *Ticket, o Outcome, now time.Duration) {
	if t.state != Started {
		return
	}
	t.state = Finished
	m, s := t.minion, b.services[t.Service]
	m.remove(t)
	s.running--
	s.customer(t.Customer).running--
	s.dropIdleCustomer(t.Customer)
	took := now - t.startedAt
	if o.mayStillRun() {
		b.holdSlot(s, m, t, now)
	}
	b.observe(s, m, t, o, took, now)
	b.dispatch(s, now)
}

// holdSlot keeps the slot of an attempt that may still run as a lingering slot. It
// never holds the slot for longer than MaxRequestDuration after the start, because the
// Allocator assumes that every request has ended by that time.
func (b *Balancer) holdSlot(s *service, m *minion, t *Ticket, now time.Duration) {
	until := t.startedAt + min(lingerFactor*s.serviceTimes.tail, b.opts.Lease.MaxRequestDuration)
	if until > now {
		m.lingeringUntil = append(m.lingeringUntil, until)
	}
}

// lingerFactor times the tail service time is how long after its start an
// attempt is assumed to have ended.
const lingerFactor = 4

// observe records how an attempt ended in the service time estimate and in the
// circuit breaker of its minion.
func (b *Balancer) observe(s *service, m *minion, t *Ticket, o Outcome, took, now time.Duration) {
	startedLate := o == TimedOut && took < minAttemptFactor*s.serviceTimes.tail
	if o == Abandoned || o == LeaseEnded || startedLate {
		if t.probe {
			m.breaker.probeInFlight = false
		}
		return
	}
	if o == Answered {
		s.serviceTimes.add(took, now)
		s.serviceTimes.refresh(now)
	}
	s.refreshMedianTime(now)
	wasOpen := m.breaker.open
	typicalTime := s.medianTime
	if typicalTime == 0 {
		typicalTime = s.serviceTimes.mean
	}
	result := attemptResult{outcome: o, took: took, probe: t.probe}
	closed := m.breaker.observe(result, typicalTime, s.mayTripOnRate(), now)
	if closed {
		m.slowStartFrom = now
	}
	if !wasOpen && m.breaker.open {
		b.counts.Tripped++
	}
}

// minAttemptFactor times the tail service time is the duration from which on the timeout
// of an attempt counts as a failure of the minion. An attempt that times out earlier was
// started close to its deadline, and a healthy minion may need longer.
const minAttemptFactor = 2

// Retry queues a finished request again; o is how its last attempt ended. Retry returns
// false if the retry budget, the deadline or the number of attempts forbids a retry or
// if the queue refuses the request; the caller must return the failure in this case.
// Call it only for requests that are idempotent or that no minion has begun to process.
func (b *Balancer) Retry(t *Ticket, o Outcome, now time.Duration) bool {
	s, ok := b.services[t.Service]
	if !ok || t.state != Finished || t.attempts >= maxAttempts {
		return false
	}
	if now+s.serviceTimes.mean > t.Deadline {
		b.counts.RetriesDenied++
		return false
	}
	if o != LeaseEnded && !b.spendRetry() {
		b.counts.RetriesDenied++
		return false
	}
	b.counts.Retried++
	t.failedMinion = t.minion
	t.minion = nil
	b.enqueue(s, t, now)
	return t.state != Refused
}

// maxAttempts is the maximum number of attempts of one request.
const maxAttempts = 4

// earnRetry adds RetryRatio to the retry budget for a new request, up to RetryBurst.
func (b *Balancer) earnRetry() {
	b.retryBudget = min(b.opts.RetryBurst, b.retryBudget+b.opts.RetryRatio)
}

// spendRetry takes one retry from the budget. It returns false if none is left.
func (b *Balancer) spendRetry() bool {
	if b.retryBudget < 1 {
		return false
	}
	b.retryBudget--
	return true
}

// AttemptDeadline returns when the caller must give up the current attempt. Unless
// service times are long, the first attempt of an idempotent request ends early enough
// to leave time for an attempt on another minion.
func (b *Balancer) AttemptDeadline(t *Ticket) time.Duration {
	if !t.Idempotent || t.attempts > 1 {
		return t.Deadline
	}
	s := b.services[t.Service]
	hangTimeout := max(hangFloor, hangFactor*s.serviceTimes.tail)
	half := (t.Deadline - t.startedAt) / 2
	return t.startedAt + min(t.Deadline-t.startedAt, max(hangTimeout, half))
}
