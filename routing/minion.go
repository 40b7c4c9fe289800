package routing

import (
	"slices"
	"time"
)

const (
	// hangFactor times the tail service time is the age of a minion's oldest
	// request above which the minion counts as hanging, once the service times are
	// estimated from at least hangSamples samples. hangFloor is the least such age; it
	// prevents false positives for fast services.
	hangFactor  = 6
	hangFloor   = 250 * time.Millisecond
	hangSamples = 20
)

// minion is a Balancer's record of one minion.
type minion struct {
	Announcement
	// number is the minion's number in the leader's current term, or 0 if
	// unknown.
	number uint32
	// slots is the number of slots in the adopted grants.
	slots int
	// leaderAnnouncement is the last announcement of the minion that the leader sent to
	// this entry instance.
	leaderAnnouncement Announcement
	leaderAnnounced    bool
	// gone reports whether the leader reported that the minion left or stopped announcing
	// itself.
	gone bool
	// grantsRequestedAt is when the Balancer sent the slot request whose response last
	// granted slots of the minion.
	grantsRequestedAt time.Duration
	// announced reports whether the minion has announced itself to this entry
	// instance, and announcedAt is when it last did.
	announcedAt time.Duration
	announced   bool
	// announcedSinceRequest reports whether the minion has announced itself to this entry
	// instance since the last slot request.
	announcedSinceRequest bool

	// slowStartFrom is when the minion's slow start began.
	slowStartFrom time.Duration
	// running has the started tickets, oldest first.
	running []*Ticket
	// lingeringUntil has the release time of each lingering slot, which is a slot
	// kept after an attempt ended because the minion may still process the
	// request.
	lingeringUntil []time.Duration
	breaker        breaker
}

// inFlight returns the number of slots in use, including lingering slots.
func (m *minion) inFlight() int { return len(m.running) + len(m.lingeringUntil) }

// usableUntil returns the time until which requests may be sent to the minion according
// to its announcements and the leader's grants, apart from the expiry of the slot lease.
//
// Guards against sending to a minion that left or died, from an entry instance that is
// partitioned from the leader: even under a valid slot lease, a minion gets requests
// only for ttl after a slot request by which the leader granted its slots, or after
// its own announcement.
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

// slotLimit returns how many requests may be in flight on the minion. During slow
// start the limit rises from 1 to all granted slots.
func (m *minion) slotLimit(slowStart, now time.Duration) int {
	slots := min(m.slots, max(0, m.Slots))
	age := now - m.slowStartFrom
	if age >= slowStart || slots <= 1 {
		return slots
	}
	return 1 + int(time.Duration(slots-1)*age/slowStart)
}

// hanging reports whether the minion's oldest request has waited for its response for
// much longer than the service's tail service time.
func (m *minion) hanging(e *estimator, now time.Duration) bool {
	if len(m.running) == 0 || e.samples < hangSamples {
		return false
	}
	return now-m.running[0].startedAt > max(hangFloor, hangFactor*e.tail)
}

// remove removes a finished ticket from the running tickets.
func (m *minion) remove(t *Ticket) {
	if i := slices.Index(m.running, t); i >= 0 {
		m.running = slices.Delete(m.running, i, i+1)
	}
}

// expireLingering releases the lingering slots whose time has passed.
func (m *minion) expireLingering(now time.Duration) {
	m.lingeringUntil = slices.DeleteFunc(m.lingeringUntil, func(until time.Duration) bool { return until <= now })
}

// target returns the name, the address and the limits of the minion.
func (m *minion) target() Target {
	return Target{
		Minion:         m.Minion,
		Address:        m.Address,
		Slots:          m.Slots,
		MaxConnections: m.MaxConnections,
	}
}
