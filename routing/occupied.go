package routing

import (
	"maps"
	"time"
)

// grantSet holds the complete grants of one response, by minion number.
type grantSet struct {
	sequence uint64
	slots    map[uint32]int
	// freeAt is when every request that started under the grants has ended.
	freeAt time.Duration
}

// terminatedProcess holds the slots that a terminated process of an entry
// instance may still occupy.
type terminatedProcess struct {
	occupied map[uint32]int
	freeAt   time.Duration
}

// sentAnnouncement identifies the announcement of a minion that was sent to an entry
// instance, by the version of the minion's record and the sequence of the response.
type sentAnnouncement struct {
	version  uint64
	sequence uint64
}

// farFuture is the largest duration, later than any time that a process reaches.
const farFuture = time.Duration(1<<63 - 1)

// entryRecord is the Allocator's record of one entry instance.
type entryRecord struct {
	id          string
	incarnation uint64
	// sequence is the highest sequence of an accepted request.
	sequence      uint64
	lastRequestAt time.Duration
	// claimed reports whether the entry instance has sent a full request in
	// this term.
	claimed  bool
	draining bool
	// demand is the number of slots that the entry instance could use, by service.
	demand map[string]int
	// adopted is the sequence of the response that the entry instance last reported as
	// adopted.
	adopted uint64
	// grantSets has the grants of the responses that the entry instance may be using,
	// oldest first.
	grantSets []grantSet
	// inFlight is the last reported number of requests in flight, by minion
	// number. All of these requests have ended at inFlightUntil.
	inFlight      map[uint32]int
	inFlightUntil time.Duration
	terminated    []terminatedProcess
	// ownOccupied is the upper bound of the current process's requests in flight,
	// by minion number. occupied adds the slots of terminated processes. Without
	// a new request or response, both are valid until nextFreeAt.
	ownOccupied map[uint32]int
	occupied    map[uint32]int
	nextFreeAt  time.Duration
	// sentAnnouncements has the announcements sent to the entry instance, by
	// minion number.
	sentAnnouncements map[uint32]sentAnnouncement
}

// newEntryRecord returns the record of an entry instance that holds no slots.
func newEntryRecord(id string, incarnation uint64) *entryRecord {
	return &entryRecord{
		id:                id,
		incarnation:       incarnation,
		nextFreeAt:        farFuture,
		sentAnnouncements: make(map[uint32]sentAnnouncement),
	}
}

// restart begins a new incarnation of the entry instance. The earlier process has
// terminated, so its slots are released after restartLinger instead of at the end of
// its lease.
func (e *entryRecord) restart(incarnation uint64, now time.Duration) {
	terminated := terminatedProcess{occupied: e.occupied, freeAt: now + restartLinger}
	kept := append(e.terminated, terminated)
	*e = *newEntryRecord(e.id, incarnation)
	e.terminated = kept
	e.occupied = terminated.occupied
}

// adopt records the response that the entry instance uses and drops the earlier ones,
// because the entry instance can't return to them.
func (e *entryRecord) adopt(adopted uint64) {
	e.adopted = adopted
	for len(e.grantSets) > 0 && e.grantSets[0].sequence < adopted {
		e.grantSets = e.grantSets[1:]
	}
}

// latestGrants returns the grants of the newest response by minion number, or nil if
// no response is recorded.
func (e *entryRecord) latestGrants() map[uint32]int {
	if len(e.grantSets) == 0 {
		return nil
	}
	return e.grantSets[len(e.grantSets)-1].slots
}

// adoptedGrants returns the grants of the response that the entry instance last reported
// as adopted. It returns false if the grants are no longer recorded.
func (e *entryRecord) adoptedGrants() (map[uint32]int, bool) {
	for _, s := range e.grantSets {
		if s.sequence == e.adopted {
			return s.slots, true
		}
	}
	return nil, false
}

// updateOccupied recomputes the occupied slots of an entry instance.
//
// Guards against granting a slot twice: a response that takes slots away may be
// lost, and requests that started before a lease expired may still run. The
// occupied slots of a minion are therefore the maximum of its grants in every response
// that the entry instance may be using and of the reported requests in flight. The entry
// instance may be using a response until it has reported that it adopted a later one, or
// until the lease of the response and the longest request started under the lease have
// ended.
func (a *Allocator) updateOccupied(e *entryRecord, now time.Duration) {
	ownOccupied := make(map[uint32]int)
	e.nextFreeAt = farFuture
	if now < e.inFlightUntil {
		raiseTo(ownOccupied, e.inFlight)
		e.nextFreeAt = min(e.nextFreeAt, e.inFlightUntil)
	}
	kept := e.grantSets[:0]
	for _, s := range e.grantSets {
		if s.freeAt <= now {
			continue
		}
		raiseTo(ownOccupied, s.slots)
		e.nextFreeAt = min(e.nextFreeAt, s.freeAt)
		kept = append(kept, s)
	}
	e.grantSets = kept
	e.ownOccupied = ownOccupied
	occupied := maps.Clone(ownOccupied)
	a.addTerminated(e, occupied, now)
	a.replaceOccupied(e.occupied, occupied)
	e.occupied = occupied
}

// addTerminated adds the slots of terminated processes to occupied, and drops the
// processes whose slots have been released.
func (a *Allocator) addTerminated(e *entryRecord, occupied map[uint32]int, now time.Duration) {
	kept := e.terminated[:0]
	for _, process := range e.terminated {
		if process.freeAt <= now {
			continue
		}
		for number, slots := range process.occupied {
			occupied[number] += slots
		}
		e.nextFreeAt = min(e.nextFreeAt, process.freeAt)
		kept = append(kept, process)
	}
	e.terminated = kept
}

// replaceOccupied updates the occupied sums of the minions after the occupied slots of
// one entry instance have changed from old to occupied.
func (a *Allocator) replaceOccupied(old, occupied map[uint32]int) {
	for number, slots := range old {
		if m, ok := a.byNumber[number]; ok {
			m.occupied -= slots
		}
	}
	for number, slots := range occupied {
		if m, ok := a.byNumber[number]; ok {
			m.occupied += slots
			invariant(m.occupied >= 0, "negative number of occupied slots")
		}
	}
}

// raiseTo raises each value of bounds to at least the value of slots for the same minion.
func raiseTo(bounds, slots map[uint32]int) {
	for number, n := range slots {
		if n > bounds[number] {
			bounds[number] = n
		}
	}
}
