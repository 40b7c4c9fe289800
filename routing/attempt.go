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
	s.load(t.Customer).running--
	s.settle(t.Customer)
	took := now - t.started
	if o.mayRun() {
		b.linger(s, m, t, now)
	}
	b.observe(s, m, t, o, took, now)
	b.dispatch(s, now)
}

// linger keeps the slot of an attempt that may still run. The Divider counts on
// a request ending within MaxRequest of its start.
func (b *Balancer) linger(s *service, m *minion, t *Ticket, now time.Duration) {
	until := t.started + min(lingerFactor*s.times.high, b.opts.Lease.MaxRequest)
	if until > now {
		m.lingering = append(m.lingering, until)
	}
}

// lingerFactor times the high service time is when nearly every request has ended.
const lingerFactor = 4

func (b *Balancer) observe(s *service, m *minion, t *Ticket, o Outcome, took, now time.Duration) {
	hurried := o == TimedOut && took < fairFactor*s.times.high
	if o == Abandoned || o == LeaseEnded || hurried {
		if t.probe {
			m.breaker.probing = false
		}
		return
	}
	if o == Answered {
		s.times.add(took, now)
		s.times.refresh(now)
	}
	s.refreshUsual(now)
	wasOpen := m.breaker.open
	usual := s.usual
	if usual == 0 {
		usual = s.times.mean
	}
	ended := attempt{outcome: o, took: took, probe: t.probe}
	closed := m.breaker.observe(ended, usual, s.maySoftTrip(), now)
	if closed {
		m.since = now
	}
	if !wasOpen && m.breaker.open {
		b.counts.Tripped++
	}
}

// fairFactor times the high service time is how long a minion must have had
// before a missing answer speaks against it: a request that started shortly
// before its deadline tells nothing of the minion.
const fairFactor = 2

// Retry queues a finished request again. It returns false when the budget, the
// deadline or the number of attempts forbids it; the caller then answers with
// the failure. It must only be called for requests that no minion has started,
// or that are idempotent.
func (b *Balancer) Retry(t *Ticket, o Outcome, now time.Duration) bool {
	s, ok := b.services[t.Service]
	if !ok || t.state != Finished || t.attempts >= maxAttempts {
		return false
	}
	if now+s.times.mean > t.Deadline {
		b.counts.RetriesDenied++
		return false
	}
	if o != LeaseEnded && !b.spendRetry() {
		b.counts.RetriesDenied++
		return false
	}
	b.counts.Retried++
	t.avoid = t.minion
	t.minion = nil
	b.enqueue(s, t, now)
	return t.state != Refused
}

// maxAttempts bounds the starts of one request.
const maxAttempts = 4

func (b *Balancer) earnRetry() {
	b.retries = min(b.opts.RetryBurst, b.retries+b.opts.RetryRatio)
}

func (b *Balancer) spendRetry() bool {
	if b.retries < 1 {
		return false
	}
	b.retries--
	return true
}

// AttemptDeadline is when the current attempt must be given up. An idempotent
// request keeps part of its time for another minion.
func (b *Balancer) AttemptDeadline(t *Ticket) time.Duration {
	if !t.Idempotent || t.attempts > 1 {
		return t.Deadline
	}
	s := b.services[t.Service]
	patience := max(hangFloor, hangFactor*s.times.high)
	half := (t.Deadline - t.started) / 2
	return t.started + min(t.Deadline-t.started, max(patience, half))
}
