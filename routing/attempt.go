package routing

import "time"

// Finish ends an attempt and frees its slot.
//
// Failure: the caller of a request went away and the slot is given to the next
// one while the minion, which can't tell, still works on the first. Guard: an
// attempt that may still run keeps its slot for the usual time of the service.
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

// linger keeps the slot of an attempt that may still run. The Divider counts on
// a request ending within MaxRequest of its start.
func (b *Balancer) holdSlot(s *service, m *minion, t *Ticket, now time.Duration) {
	until := t.startedAt + min(lingerFactor*s.serviceTimes.tail, b.opts.Lease.MaxRequest)
	if until > now {
		m.lingeringUntil = append(m.lingeringUntil, until)
	}
}

// lingerFactor times the high service time is when nearly every request has ended.
const lingerFactor = 4

func (b *Balancer) observe(s *service, m *minion, t *Ticket, o Outcome, took, now time.Duration) {
	startedLate := o == TimedOut && took < minAttemptFactor*s.serviceTimes.tail
	if o == Abandoned || o == LeaseEnded || startedLate {
		if t.probe {
			m.breaker.probing = false
		}
		return
	}
	if o == Answered {
		s.serviceTimes.add(took, now)
		s.serviceTimes.refresh(now)
	}
	s.refreshMedianTime(now)
	wasOpen := m.breaker.open
	usual := s.medianTime
	if usual == 0 {
		usual = s.serviceTimes.mean
	}
	ended := attempt{outcome: o, took: took, probe: t.probe}
	closed := m.breaker.observe(ended, usual, s.mayTripOnRate(), now)
	if closed {
		m.slowStartFrom = now
	}
	if !wasOpen && m.breaker.open {
		b.counts.Tripped++
	}
}

// minAttemptFactor times the high service time is how long a minion must have had
// before a missing answer speaks against it: a request that started shortly
// before its deadline tells nothing of the minion.
const minAttemptFactor = 2

// Retry queues a finished request again. It returns false when the budget, the
// deadline or the number of attempts forbids it; the caller then answers with
// the failure. It must only be called for requests that no minion has started,
// or that are idempotent.
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

// maxAttempts bounds the starts of one request.
const maxAttempts = 4

func (b *Balancer) earnRetry() {
	b.retryBudget = min(b.opts.RetryBurst, b.retryBudget+b.opts.RetryRatio)
}

func (b *Balancer) spendRetry() bool {
	if b.retryBudget < 1 {
		return false
	}
	b.retryBudget--
	return true
}

// AttemptDeadline is when the current attempt must be given up. An idempotent
// request keeps part of its time for another minion.
func (b *Balancer) AttemptDeadline(t *Ticket) time.Duration {
	if !t.Idempotent || t.attempts > 1 {
		return t.Deadline
	}
	s := b.services[t.Service]
	hangTimeout := max(hangFloor, hangFactor*s.serviceTimes.tail)
	half := (t.Deadline - t.startedAt) / 2
	return t.startedAt + min(t.Deadline-t.startedAt, max(hangTimeout, half))
}
