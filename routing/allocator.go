package routing

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of Allocate. The request gets no response.
var (
	// ErrNotLeading is returned while the Allocator isn't leading.
	ErrNotLeading = errors.New("not leading")
	// ErrHigherTerm is returned if the sender has seen a higher term.
	ErrHigherTerm = errors.New("request is from a higher term")
	// ErrStale is returned for a delayed or duplicate request.
	ErrStale = errors.New("request is older than one that was answered, or a duplicate")
)

// restartLinger is how long the slots of a terminated entry process stay occupied
// after the first request of its successor. The kernel closed the connections of the
// process when it terminated; minions need this long to notice.
const restartLinger = time.Second

// recordRetention is how long a minion that left stays recorded, so that delayed
// duplicates of its announcements don't make it usable again. It is also how long a
// Balancer retains a service without minions.
const recordRetention = 10 * time.Minute

// Allocator allocates the slots of one data centre's minions to its entry
// instances. It runs on the leader of the data centre and is not safe for
// concurrent use.
//
// It keeps each minion within its slots: for each entry instance and minion it
// records an upper bound of the requests that may be in flight (the occupied
// slots), and it grants only the slots that no entry instance occupies.
type Allocator struct {
	opts LeaseOptions

	leading bool
	term    uint64
	// reservedUntil is when the slots that an earlier leader may have granted stop being
	// reserved: when every such grant has expired and every request started under one
	// has ended, or earlier if all entry instances have claimed their slots.
	reservedUntil time.Duration
	// unclaimed has the entry instances that have not yet reported to this leader the
	// slots granted to them in earlier terms.
	unclaimed map[string]bool

	minions       map[string]*minionRecord
	byNumber      map[uint32]*minionRecord
	sortedMinions []*minionRecord // all minions, ordered by number
	lastNumber    uint32
	entries       map[string]*entryRecord
	sortedEntries []string // entry instances, sorted
}

// minionRecord is the Allocator's record of one minion.
type minionRecord struct {
	Announcement
	number uint32
	// announced reports whether an announcement of the minion was recorded, and
	// not only claims of its slots.
	announced bool
	// lastSeenAt is when the minion last announced itself or left.
	lastSeenAt time.Duration
	// gone reports whether the minion left or stopped announcing itself.
	gone bool
	// version counts the changes that entry instances must learn of.
	version uint64
	// occupied is the sum of the occupied slots of all entry instances.
	occupied int
	// reserved is the number of slots that an earlier leader may have granted to
	// entry instances that have not claimed yet.
	reserved int
}

// usable reports whether the minion may get requests.
func (m *minionRecord) usable() bool { return m.announced && !m.gone }

// NewAllocator returns an Allocator that grants nothing until Lead.
func NewAllocator(opts LeaseOptions) *Allocator {
	a := &Allocator{opts: opts.withDefaults()}
	a.reset()
	return a
}

// reset clears all records.
func (a *Allocator) reset() {
	a.minions = make(map[string]*minionRecord)
	a.byNumber = make(map[uint32]*minionRecord)
	a.sortedMinions = nil
	a.lastNumber = 0
	a.entries = make(map[string]*entryRecord)
	a.sortedEntries = nil
	a.unclaimed = make(map[string]bool)
}

// Lead starts the leadership of a term. The caller must make sure that no leader of an
// earlier term grants slots from now on. entries lists the entry instances of the data
// centre.
//
// Guards against overload of a minion: a new leader that grants slots which the
// previous leader has granted to another entry instance would exceed the minion's
// slots. Slots that no entry instance has claimed therefore stay reserved until the
// last lease of the previous leader has expired and the requests started under it have
// ended. The reservation ends early once all of entries have claimed; if entries is
// empty, it lasts for its full time.
func (a *Allocator) Lead(term uint64, entries []string, now time.Duration) {
	a.reset()
	a.leading = true
	a.term = term
	a.reservedUntil = now + a.opts.TTL + a.opts.MaxRequestDuration + a.opts.Drift
	for _, entry := range entries {
		a.unclaimed[entry] = true
	}
}

// Resign ends the leadership: Allocate returns ErrNotLeading until the next Lead.
func (a *Allocator) Resign() { a.leading = false }

// Term returns the term of the current or last leadership.
func (a *Allocator) Term() uint64 { return a.term }

// Announce records a minion's announcement. It ignores an announcement of an earlier
// incarnation, and every further announcement of an incarnation that is leaving.
func (a *Allocator) Announce(announcement Announcement, now time.Duration) {
	m := a.ensureMinion(announcement.Minion, now)
	if m.announced && announcement.Incarnation < m.Incarnation {
		return
	}
	sameProcess := m.announced && announcement.Incarnation == m.Incarnation
	if sameProcess && m.Leaving {
		return
	}
	changed := !sameProcess || m.gone || announcement != m.Announcement
	addedSlots := announcement.Slots - m.Slots
	m.Announcement = announcement
	m.announced = true
	m.lastSeenAt = now
	m.gone = announcement.Leaving
	if changed {
		m.version++
	}
	a.reserveSlots(m, addedSlots, now)
}

// reserveSlots reserves the slots that an announcement adds and that an earlier
// leader may have granted.
func (a *Allocator) reserveSlots(m *minionRecord, addedSlots int, now time.Duration) {
	if !a.reservationActive(now) {
		return
	}
	// With version 1 the minion has announced nothing else in this term.
	if m.version == 1 {
		m.reserved = max(0, m.Slots-m.occupied)
		return
	}
	m.reserved = min(m.reserved+max(0, addedSlots), m.Slots)
}

// Leave takes a minion out of use for the rest of its incarnation.
func (a *Allocator) Leave(minion string, incarnation uint64, now time.Duration) {
	m, ok := a.minions[minion]
	if !ok || !m.announced || incarnation < m.Incarnation {
		return
	}
	m.Incarnation = incarnation
	m.Leaving = true
	m.lastSeenAt = now
	a.retire(m)
}

// retire takes a minion out of use. Later responses report it as gone.
func (a *Allocator) retire(m *minionRecord) {
	if m.gone {
		return
	}
	m.gone = true
	m.version++
}

// ensureMinion returns the record of a minion. If there is none, it creates one with
// the next number.
func (a *Allocator) ensureMinion(name string, now time.Duration) *minionRecord {
	if m, ok := a.minions[name]; ok {
		return m
	}
	a.lastNumber++
	m := &minionRecord{number: a.lastNumber, lastSeenAt: now}
	m.Minion = name
	a.minions[name] = m
	a.byNumber[m.number] = m
	a.sortedMinions = append(a.sortedMinions, m)
	return m
}

// reservationActive reports whether the slots that an earlier leader may have granted are
// still reserved.
func (a *Allocator) reservationActive(now time.Duration) bool { return now < a.reservedUntil }

// Allocate decides on a slot request of an entry instance and returns the response. Its
// errors are ErrNotLeading, ErrHigherTerm and ErrStale.
func (a *Allocator) Allocate(req SlotRequest, now time.Duration) (SlotResponse, error) {
	if !a.leading {
		return SlotResponse{}, ErrNotLeading
	}
	if req.Term > a.term {
		return SlotResponse{}, ErrHigherTerm
	}
	a.expire(now)
	e, err := a.acceptRequest(req, now)
	if err != nil {
		return SlotResponse{}, err
	}
	a.applyAnnouncements(e, req.Announcements, now)
	resync := SlotResponse{Term: a.term, Sequence: req.Sequence, Resync: true}
	if req.Term != a.term {
		return resync, nil
	}
	if !req.Full && !e.claimed {
		return resync, nil
	}
	a.refreshAlive(req.Alive, now)
	a.applyReport(e, req, now)
	grants := a.allocate(e, now)
	return a.respond(e, req, grants, now), nil
}

// acceptRequest returns the record of the sender, or ErrStale for a delayed or
// duplicate request.
//
// Guards against freeing slots twice: a delayed duplicate of a request would free
// slots that were granted after the request. Only a request with a higher incarnation,
// or a higher sequence of the same incarnation, than any before is accepted.
func (a *Allocator) acceptRequest(req SlotRequest, now time.Duration) (*entryRecord, error) {
	e, ok := a.entries[req.Entry]
	if !ok {
		e = newEntryRecord(req.Entry, req.Incarnation)
		a.entries[req.Entry] = e
		at, _ := slices.BinarySearch(a.sortedEntries, req.Entry)
		a.sortedEntries = slices.Insert(a.sortedEntries, at, req.Entry)
	}
	if req.Incarnation < e.incarnation {
		return nil, ErrStale
	}
	if req.Incarnation > e.incarnation {
		e.restart(req.Incarnation, now)
		a.updateOccupied(e, now)
	}
	if req.Sequence <= e.sequence {
		return nil, ErrStale
	}
	e.sequence = req.Sequence
	e.lastRequestAt = now
	return e, nil
}

// applyAnnouncements records announcements that an entry instance forwards from
// minions. The response sends back the current announcements of these minions.
func (a *Allocator) applyAnnouncements(e *entryRecord, announcements []Announcement, now time.Duration) {
	for _, announcement := range announcements {
		a.Announce(announcement, now)
		e.sentAnnouncements[a.minions[announcement.Minion].number] = sentAnnouncement{}
	}
}

// refreshAlive records that the minions with these numbers have announced themselves to
// an entry instance.
func (a *Allocator) refreshAlive(numbers []uint32, now time.Duration) {
	for _, number := range numbers {
		m, ok := a.byNumber[number]
		if ok && m.usable() {
			m.lastSeenAt = now
		}
	}
}

// applyReport records the held slots, requests in flight and demand that a
// request reports.
func (a *Allocator) applyReport(e *entryRecord, req SlotRequest, now time.Duration) {
	inFlight := make(map[uint32]int, len(req.Loads))
	for _, load := range req.Loads {
		inFlight[load.Number] = load.InFlight
	}
	e.adopt(req.Adopted)
	if req.ReleaseAll {
		// The sender has given up the grants of all responses.
		e.grantSets = nil
	}
	if req.Full {
		a.applyClaims(e, req, inFlight, now)
	}
	e.inFlight = inFlight
	e.inFlightUntil = now + a.opts.MaxRequestDuration + a.opts.Drift
	e.demand = make(map[string]int, len(req.Demands))
	for _, demand := range req.Demands {
		e.demand[demand.Service] = demand.Wanted
	}
	e.draining = req.ReleaseAll
	a.updateOccupied(e, now)
}

// applyClaims records the slots that an entry instance claims in a full request. The
// first claims of an entry instance in a term reduce the reserved slots of the minions.
// The claims can't grow afterwards: a request with this term shows that the entry
// instance accepts no more responses of earlier terms.
func (a *Allocator) applyClaims(e *entryRecord, req SlotRequest, inFlight map[uint32]int, now time.Duration) {
	held := make(map[uint32]int, len(req.Claims))
	for _, c := range req.Claims {
		m := a.ensureMinion(c.Minion, now)
		held[m.number] = c.Held
		inFlight[m.number] = c.InFlight
		if !e.claimed {
			m.reserved = max(0, m.reserved-max(c.Held, c.InFlight))
		}
	}
	e.sentAnnouncements = make(map[uint32]sentAnnouncement)
	e.grantSets = append([]grantSet{a.newGrantSet(req.Adopted, held, now)}, e.grantSets...)
	e.claimed = true
	a.markClaimed(e.id, now)
}

// markClaimed shortens the reservation to restartLinger from now once every entry
// instance has claimed.
func (a *Allocator) markClaimed(entry string, now time.Duration) {
	if !a.unclaimed[entry] {
		return
	}
	delete(a.unclaimed, entry)
	if len(a.unclaimed) == 0 {
		a.reservedUntil = min(a.reservedUntil, now+restartLinger)
	}
}

// newGrantSet returns the record of the grants of a response sent at now.
func (a *Allocator) newGrantSet(sequence uint64, slots map[uint32]int, now time.Duration) grantSet {
	ends := now + a.opts.TTL + a.opts.Drift
	return grantSet{sequence: sequence, slots: slots, freeAt: ends + a.opts.MaxRequestDuration}
}

// expire updates all state that depends on the time: it releases occupied and reserved
// slots, retires minions that stopped announcing themselves and deletes old records.
func (a *Allocator) expire(now time.Duration) {
	for _, id := range a.sortedEntries {
		e := a.entries[id]
		if e.nextFreeAt <= now {
			a.updateOccupied(e, now)
		}
	}
	reserved := a.reservationActive(now)
	kept := a.sortedMinions[:0]
	for _, m := range a.sortedMinions {
		if !reserved {
			m.reserved = 0
		}
		if m.announced && now-m.lastSeenAt > a.opts.MinionTTL {
			a.retire(m)
		}
		if !m.usable() && m.occupied == 0 && now-m.lastSeenAt > recordRetention {
			a.deleteMinion(m)
			continue
		}
		kept = append(kept, m)
	}
	clear(a.sortedMinions[len(kept):])
	a.sortedMinions = kept
}

// deleteMinion deletes the record of a minion.
func (a *Allocator) deleteMinion(m *minionRecord) {
	delete(a.minions, m.Minion)
	delete(a.byNumber, m.number)
	for _, e := range a.entries {
		delete(e.sentAnnouncements, m.number)
	}
}

// Minions returns the announcements of the usable minions.
func (a *Allocator) Minions() []Announcement {
	var live []Announcement
	for _, m := range a.sortedMinions {
		if m.usable() {
			live = append(live, m.Announcement)
		}
	}
	return live
}

// Occupied returns an upper bound of the requests in flight on a minion, and 0 for an
// unknown minion.
func (a *Allocator) Occupied(minion string) int {
	if m, ok := a.minions[minion]; ok {
		return m.occupied
	}
	return 0
}
