package routing

import (
	"slices"
	"time"
)

const (
	// hangFactor times the tail service time is the age of the oldest request
	// at which a minion counts as hanging, once there are hangSamples samples.
	// hangFloor is the least such age; it prevents false positives of fast
	// services.
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
	// leaderAnnouncement is the announcement that the leader sent.
	leaderAnnouncement Announcement
	leaderAnnounced    bool
	// gone reports whether the leader says that the minion left or stopped
	// announcing itself.
	gone bool
	// grantsRequestedAt is when the request for the adopted grants was sent.
	// announcedAt is when this entry instance last got an announcement of the
	// minion.
	grantsRequestedAt time.Duration
	announcedAt       time.Duration
	announced         bool
	// announcedSinceRequest reports whether the minion has announced itself
	// here since the last slot request.
	announcedSinceRequest bool

	slowStartFrom time.Duration
	running       []*Ticket
	// lingeringUntil has, for each lingering slot, the time of its release.
	lingeringUntil []time.Duration
	breaker        breaker
}

// inFlight returns the number of slots in use, lingering ones included.
func (m *minion) inFlight() int { return len(m.running) + len(m.lingeringUntil) }

// usableUntil returns until when requests may be sent to the minion, judging by
// its announcements alone.
//
// Guards against sending to a minion that left or died, from an entry instance
// that is partitioned from the leader. Unless the leader or the minion itself has
// confirmed within the TTL that the minion is in use, it gets no requests, even
// under a valid slot lease.
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

// slotLimit returns how many requests may be in flight, with slow start.
func (m *minion) slotLimit(slowStart, now time.Duration) int {
	slots := min(m.slots, max(0, m.Slots))
	age := now - m.slowStartFrom
	if age >= slowStart || slots <= 1 {
		return slots
	}
	return 1 + int(time.Duration(slots-1)*age/slowStart)
}

// hanging reports whether the oldest request has waited for its answer for much
// longer than usual.
func (m *minion) hanging(e *estimator, now time.Duration) bool {
	if len(m.running) == 0 || e.samples < hangSamples {
		return false
	}
	return now-m.running[0].startedAt > max(hangFloor, hangFactor*e.tail)
}

// remove removes a finished ticket from the running ones.
func (m *minion) remove(t *Ticket) {
	if i := slices.Index(m.running, t); i >= 0 {
		m.running = slices.Delete(m.running, i, i+1)
	}
}

// expireLingering releases the lingering slots whose time has passed.
func (m *minion) expireLingering(now time.Duration) {
	m.lingeringUntil = slices.DeleteFunc(m.lingeringUntil, func(until time.Duration) bool { return until <= now })
}

// target returns the address and the limits of the minion.
func (m *minion) target() Target {
	return Target{
		Minion:         m.Minion,
		Address:        m.Address,
		Slots:          m.Slots,
		MaxConnections: m.MaxConnections,
	}
}
