package routing

import (
	"slices"
	"time"
)

const (
	// hangFactor over the high service time marks a minion with an unanswered
	// request as hanging; hangFloor keeps fast services from being touchy.
	hangFactor  = 6
	hangFloor   = 250 * time.Millisecond
	hangSamples = 20
)

// minion is what a Balancer knows of one minion.
type minion struct {
	Announcement
	// number is the leader's, valid in the current term; 0 before it is known.
	number uint32
	// slots is what the adopted grants allow.
	slots int
	// told is the announcement as the leader described it.
	leaderAnnouncement Announcement
	leaderAnnounced    bool
	// gone is the leader's word that the minion left or fell silent.
	gone bool
	// vouched is when the adopted grants were asked for, heard when the minion
	// last announced itself here.
	grantsRequestedAt time.Duration
	announcedAt       time.Duration
	announced         bool
	// announcedSinceRequest says that the minion was heard since the last slot request.
	announcedSinceRequest bool

	slowStartFrom time.Duration
	running       []*Ticket
	// lingering are the times until which abandoned requests count.
	lingeringUntil []time.Duration
	breaker        breaker
}

func (m *minion) inFlight() int { return len(m.running) + len(m.lingeringUntil) }

// usableUntil is when requests may no longer be sent to the minion, as far as
// its announcements go.
//
// Failure: a minion that left or died keeps getting requests from an entry
// instance that is cut off from the leader. Guard: without a fresh word from
// the leader or from the minion itself it is out of use after the TTL, even
// while the slot lease lasts.
func (m *minion) usableUntil(ttl time.Duration) time.Duration {
	if m.Leaving || m.gone {
		return 0
	}
	latest := m.grantsRequestedAt
	if m.announced {
		latest = max(latest, m.announcedAt)
	}
	return latest + ttl
}

// allowed is how many requests may be in progress, with slow start.
func (m *minion) slotLimit(slowStart, now time.Duration) int {
	slots := min(m.slots, max(0, m.Slots))
	age := now - m.slowStartFrom
	if age >= slowStart || slots <= 1 {
		return slots
	}
	return 1 + int(time.Duration(slots-1)*age/slowStart)
}

// hanging says whether the oldest request waits for its answer for far longer
// than usual.
func (m *minion) hanging(e *estimator, now time.Duration) bool {
	if len(m.running) == 0 || e.samples < hangSamples {
		return false
	}
	return now-m.running[0].startedAt > max(hangFloor, hangFactor*e.tail)
}

func (m *minion) remove(t *Ticket) {
	if i := slices.Index(m.running, t); i >= 0 {
		m.running = slices.Delete(m.running, i, i+1)
	}
}

// expireLingering drops abandoned requests whose time has passed.
func (m *minion) expireLingering(now time.Duration) {
	m.lingeringUntil = slices.DeleteFunc(m.lingeringUntil, func(until time.Duration) bool { return until <= now })
}

// target returns where a request for the minion is sent.
func (m *minion) target() Target {
	return Target{
		Minion:         m.Minion,
		Address:        m.Address,
		Slots:          m.Slots,
		MaxConnections: m.MaxConnections,
	}
}
