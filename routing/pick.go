package routing

import (
	"time"
)

// usableSlots returns how many requests the entry instance may have in flight for a
// service, including requests already in flight.
func (b *Balancer) usableSlots(s *service, now time.Duration) int {
	if now >= b.lease.expiresAt {
		return 0
	}
	n := 0
	for _, m := range s.minions {
		if b.usable(s, m, now) {
			n += m.slotLimit(b.opts.SlowStart, now)
		}
	}
	return n
}

// usable reports whether requests may be sent to the minion.
func (b *Balancer) usable(s *service, m *minion, now time.Duration) bool {
	if m.slots == 0 || now >= m.usableUntil(b.opts.Lease.MinionTTL) {
		return false
	}
	if b.opts.Baseline {
		return true
	}
	return !m.breaker.open && !m.hanging(s.serviceTimes, now)
}

// hasFreeSlot reports whether the minion may get one more request.
func (b *Balancer) hasFreeSlot(s *service, m *minion, now time.Duration) bool {
	return m.inFlight() < m.slotLimit(b.opts.SlowStart, now) && b.usable(s, m, now)
}

// pick selects a minion for the ticket. It returns nil if no slot is free. For a retry,
// the minion of the ticket's previous attempt is selected only if no other minion has a
// free slot.
func (b *Balancer) pick(s *service, t *Ticket, now time.Duration) *minion {
	if now >= b.lease.expiresAt {
		return nil
	}
	t.probe = false
	if m := b.probeMinion(s, t, now); m != nil {
		t.probe = true
		return m
	}
	b.candidates = b.candidates[:0]
	failedMinionFree := false
	for _, m := range s.minions {
		if !b.hasFreeSlot(s, m, now) {
			continue
		}
		if m == t.failedMinion {
			failedMinionFree = true
			continue
		}
		b.candidates = append(b.candidates, m)
	}
	if len(b.candidates) == 0 && failedMinionFree {
		return t.failedMinion
	}
	return b.choose(s)
}

// probeMinion returns a minion whose circuit breaker admits the ticket as a
// probe, or nil.
func (b *Balancer) probeMinion(s *service, t *Ticket, now time.Duration) *minion {
	if b.opts.Baseline {
		return nil
	}
	for _, m := range s.minions {
		if !m.breaker.probeDue(t.Idempotent, now) || m == t.failedMinion {
			continue
		}
		if m.slots > m.inFlight() && now < m.usableUntil(b.opts.Lease.MinionTTL) {
			return m
		}
	}
	return nil
}

// choose applies the policy to the candidates.
func (b *Balancer) choose(s *service) *minion {
	n := len(b.candidates)
	if n == 0 {
		return nil
	}
	switch b.opts.Policy {
	case Random:
		return b.candidates[b.rng.IntN(n)]
	case TwoChoices:
		return b.lowerScore(s, b.candidates[b.rng.IntN(n)], b.candidates[b.rng.IntN(n)])
	default:
		return b.lowestScore(s)
	}
}

// lowerScore returns the minion with the lower score, or x if the scores are equal.
func (b *Balancer) lowerScore(s *service, x, y *minion) *minion {
	if score(s, y) < score(s, x) {
		return y
	}
	return x
}

// lowestScore returns the candidate with the lowest score, or a random one of several
// such candidates.
func (b *Balancer) lowestScore(s *service) *minion {
	var best *minion
	lowest, equal := 0.0, 0
	for _, m := range b.candidates {
		minionScore := score(s, m)
		switch {
		case best == nil || minionScore < lowest:
			best, lowest, equal = m, minionScore, 1
		case minionScore == lowest:
			equal++
			if b.rng.IntN(equal) == 0 {
				best = m
			}
		}
	}
	return best
}

// score returns the load of the minion after one more request: its requests in flight
// divided by its granted slots. If the ratio of the minion's average service time to
// the median of the service's minions exceeds 1, the load is multiplied by that ratio.
func score(s *service, m *minion) float64 {
	load := float64(m.inFlight()+1) / float64(max(1, m.slots))
	if s.medianTime > 0 && m.breaker.averageTime > s.medianTime {
		load *= float64(m.breaker.averageTime) / float64(s.medianTime)
	}
	return load
}
