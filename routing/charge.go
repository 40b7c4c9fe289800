package routing

import (
	"maps"
	"time"
)

// grantSet is one answer's complete grants, by number of minion.
type grantSet struct {
	sequence uint64
	slots    map[uint32]int
	// freeAt is when no request begun under the set can be in progress.
	freeAt time.Duration
}

// residue is what an ended process of an entry instance may have left behind.
type terminatedProcess struct {
	occupied map[uint32]int
	freeAt   time.Duration
}

// description is the version of a minion that an answer told.
type sentAnnouncement struct {
	version  uint64
	sequence uint64
}

// never is later than any time a process lives to see.
const farFuture = time.Duration(1<<63 - 1)

// entryRecord is what the Divider knows of one entry instance.
type entryRecord struct {
	id            string
	incarnation   uint64
	sequence      uint64
	lastRequestAt time.Duration
	// claimed says that a full request arrived in this term.
	claimed  bool
	draining bool
	demand   map[string]int
	// adopted is the sequence of the answer in use at the entry instance.
	adopted uint64
	// sets are the answers that the entry instance may use, oldest first.
	grantSets []grantSet
	// uses are the requests in progress as last reported, which may last
	// until inFlightUntil.
	inFlight      map[uint32]int
	inFlightUntil time.Duration
	terminated    []terminatedProcess
	// own is the upper bound of requests in progress by minion of the current
	// process; charges adds what ended processes left. Both hold until nextFreeAt.
	ownOccupied map[uint32]int
	occupied    map[uint32]int
	nextFreeAt  time.Duration
	// described says which minions the entry instance was told about.
	sentAnnouncements map[uint32]sentAnnouncement
}

func newEntryRecord(id string, incarnation uint64) *entryRecord {
	return &entryRecord{
		id:                id,
		incarnation:       incarnation,
		nextFreeAt:        farFuture,
		sentAnnouncements: make(map[uint32]sentAnnouncement),
	}
}

// restart begins a new incarnation. The process before has ended, so its
// charges need not wait for its lease.
func (e *entryRecord) restart(incarnation uint64, now time.Duration) {
	left := terminatedProcess{occupied: e.occupied, freeAt: now + restartLinger}
	kept := append(e.terminated, left)
	*e = *newEntryRecord(e.id, incarnation)
	e.terminated = kept
	e.occupied = left.occupied
}

// supersede drops the answers older than the adopted one: the entry instance
// never goes back to them.
func (e *entryRecord) adopt(adopted uint64) {
	e.adopted = adopted
	for len(e.grantSets) > 0 && e.grantSets[0].sequence < adopted {
		e.grantSets = e.grantSets[1:]
	}
}

// latest returns the newest answer's grants.
func (e *entryRecord) latestGrants() map[uint32]int {
	if len(e.grantSets) == 0 {
		return nil
	}
	return e.grantSets[len(e.grantSets)-1].slots
}

// base returns the grants that the entry instance is known to have adopted.
func (e *entryRecord) adoptedGrants() (map[uint32]int, bool) {
	for _, s := range e.grantSets {
		if s.sequence == e.adopted {
			return s.slots, true
		}
	}
	return nil, false
}

// recharge works out the charges of an entry instance at now.
//
// Failure: an answer that takes slots away may be lost, and requests begun
// before a lease ended may still run; counting only the last answer would give
// the same slot twice. Guard: the charge is the largest of every answer that
// may be in use and of the reported requests in progress. An answer counts
// until a later one is known to be adopted, or until its lease and the longest
// request begun under it have ended.
func (d *Allocator) updateOccupied(e *entryRecord, now time.Duration) {
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
	d.addTerminated(e, occupied, now)
	d.replaceOccupied(e.occupied, occupied)
	e.occupied = occupied
}

func (d *Allocator) addTerminated(e *entryRecord, occupied map[uint32]int, now time.Duration) {
	kept := e.terminated[:0]
	for _, r := range e.terminated {
		if r.freeAt <= now {
			continue
		}
		for number, slots := range r.occupied {
			occupied[number] += slots
		}
		e.nextFreeAt = min(e.nextFreeAt, r.freeAt)
		kept = append(kept, r)
	}
	e.terminated = kept
}

// recount replaces the old charges of an entry instance in the sums of minions.
func (d *Allocator) replaceOccupied(old, occupied map[uint32]int) {
	for number, slots := range old {
		if m, ok := d.byNumber[number]; ok {
			m.occupied -= slots
		}
	}
	for number, slots := range occupied {
		if m, ok := d.byNumber[number]; ok {
			m.occupied += slots
			invariant(m.occupied >= 0, "negative charge")
		}
	}
}

func raiseTo(bounds, slots map[uint32]int) {
	for number, n := range slots {
		if n > bounds[number] {
			bounds[number] = n
		}
	}
}
