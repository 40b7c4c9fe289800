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

// restartLinger is how long the slots of a terminated entry process stay
// occupied after its successor's first request. The kernel has closed the
// process's connections by then; minions need this long to notice.
const restartLinger = time.Second

// forgetAfter is how long a minion that left stays recorded, so that delayed
// duplicates of its announcements don't bring it back.
const forgetAfter = 10 * time.Minute

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
	// reserveEnds is when every grant of an earlier leader has expired and every
	// request started under one has ended.
	reserveEnds time.Duration
	// unclaimed has the entry instances that have not claimed in this term yet.
	unclaimed map[string]bool

	minions    map[string]*minionRecord
	byNumber   map[uint32]*minionRecord
	list       []*minionRecord // all minions, ordered by number
	lastNumber uint32
	entries    map[string]*entryRecord
	order      []string // entry instances, sorted
}

// minionRecord is the Allocator's record of one minion.
type minionRecord struct {
	Announcement
	number uint32
	// announced is false for a minion known from claims only.
	announced   bool
	lastHeardAt time.Duration
	gone        bool
	// version grows with each change that entry instances must learn of.
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
	d := &Allocator{opts: opts.withDefaults()}
	d.reset()
	return d
}

// reset clears all records.
func (d *Allocator) reset() {
	d.minions = make(map[string]*minionRecord)
	d.byNumber = make(map[uint32]*minionRecord)
	d.list = nil
	d.lastNumber = 0
	d.entries = make(map[string]*entryRecord)
	d.order = nil
	d.unclaimed = make(map[string]bool)
}

// Lead begins the leadership of a term. The caller must make sure that no leader
// of an earlier term grants slots from now on. entries lists the entry instances
// of the data centre; the reservation ends early once all of them have claimed.
// With an empty list it lasts its whole time.
//
// Guards against overload of a minion: a new leader that grants slots granted to
// another entry instance by the previous leader would exceed the minion's slots.
// Slots that nobody has claimed stay reserved until the last lease of the
// previous leader has expired and the requests started under it have ended.
func (d *Allocator) Lead(term uint64, entries []string, now time.Duration) {
	d.reset()
	d.leading = true
	d.term = term
	d.reserveEnds = now + d.opts.Lease + d.opts.MaxRequest + d.opts.Drift
	for _, entry := range entries {
		d.unclaimed[entry] = true
	}
}

// Resign ends the leadership: no request is answered until the next Lead.
func (d *Allocator) Resign() { d.leading = false }

// Term returns the term of the current or last leadership.
func (d *Allocator) Term() uint64 { return d.term }

// Announce records a minion's announcement. It ignores an announcement of an
// earlier incarnation and one that would undo Leaving.
func (d *Allocator) Announce(a Announcement, now time.Duration) {
	m := d.ensureMinion(a.Minion, now)
	if m.announced && a.Incarnation < m.Incarnation {
		return
	}
	sameProcess := m.announced && a.Incarnation == m.Incarnation
	if sameProcess && m.Leaving {
		return
	}
	changed := !sameProcess || m.gone || a != m.Announcement
	addedSlots := a.Slots - m.Slots
	m.Announcement = a
	m.announced = true
	m.lastHeardAt = now
	m.gone = a.Leaving
	if changed {
		m.version++
	}
	d.reserveSlots(m, addedSlots, now)
}

// reserveSlots reserves the slots that an announcement adds and that an earlier
// leader may have granted.
func (d *Allocator) reserveSlots(m *minionRecord, addedSlots int, now time.Duration) {
	if !d.reserveInForce(now) {
		return
	}
	if m.version == 1 {
		m.reserved = max(0, m.Slots-m.occupied)
		return
	}
	m.reserved = min(m.reserved+max(0, addedSlots), m.Slots)
}

// Leave takes a minion out of use for the rest of its incarnation.
func (d *Allocator) Leave(minion string, incarnation uint64, now time.Duration) {
	m, ok := d.minions[minion]
	if !ok || !m.announced || incarnation < m.Incarnation {
		return
	}
	m.Incarnation = incarnation
	m.Leaving = true
	m.lastHeardAt = now
	d.retire(m)
}

// retire takes a minion out of use. Later responses report it as gone.
func (d *Allocator) retire(m *minionRecord) {
	if m.gone {
		return
	}
	m.gone = true
	m.version++
}

// ensureMinion returns the record of a minion and creates it if there is none.
func (d *Allocator) ensureMinion(name string, now time.Duration) *minionRecord {
	if m, ok := d.minions[name]; ok {
		return m
	}
	d.lastNumber++
	m := &minionRecord{number: d.lastNumber, lastHeardAt: now}
	m.Minion = name
	d.minions[name] = m
	d.byNumber[m.number] = m
	d.list = append(d.list, m)
	return m
}

// reserveInForce reports whether slots of an earlier leader are still reserved.
func (d *Allocator) reserveInForce(now time.Duration) bool { return now < d.reserveEnds }

// Allocate answers a slot request of an entry instance. On ErrNotLeading,
// ErrHigherTerm and ErrStale there is no response to send.
func (d *Allocator) Allocate(req SlotRequest, now time.Duration) (SlotResponse, error) {
	if !d.leading {
		return SlotResponse{}, ErrNotLeading
	}
	if req.Term > d.term {
		return SlotResponse{}, ErrHigherTerm
	}
	d.expire(now)
	e, err := d.acceptRequest(req, now)
	if err != nil {
		return SlotResponse{}, err
	}
	d.applyAnnouncements(e, req.Announcements, now)
	resync := SlotResponse{Term: d.term, Sequence: req.Sequence, Resync: true}
	if req.Term != d.term {
		return resync, nil
	}
	if !req.Full && !e.claimed {
		return resync, nil
	}
	d.refreshAlive(req.Alive, now)
	d.applyReport(e, req, now)
	grants := d.allocate(e, now)
	return d.respond(e, req, grants, now), nil
}

// acceptRequest returns the record of the sender. It returns ErrStale for
// delayed and duplicate requests.
//
// Guards against freeing slots twice: a delayed duplicate of a request would
// free slots that were granted since. Sequences only grow within an incarnation,
// and incarnations only grow.
func (d *Allocator) acceptRequest(req SlotRequest, now time.Duration) (*entryRecord, error) {
	e, ok := d.entries[req.Entry]
	if !ok {
		e = newEntryRecord(req.Entry, req.Incarnation)
		d.entries[req.Entry] = e
		at, _ := slices.BinarySearch(d.order, req.Entry)
		d.order = slices.Insert(d.order, at, req.Entry)
	}
	if req.Incarnation < e.incarnation {
		return nil, ErrStale
	}
	if req.Incarnation > e.incarnation {
		e.restart(req.Incarnation, now)
		d.updateOccupied(e, now)
	}
	if req.Sequence <= e.sequence {
		return nil, ErrStale
	}
	e.sequence = req.Sequence
	e.lastRequestAt = now
	return e, nil
}

// applyAnnouncements records announcements that an entry instance passes on and
// makes the response send back the current announcements of these minions.
func (d *Allocator) applyAnnouncements(e *entryRecord, announcements []Announcement, now time.Duration) {
	for _, a := range announcements {
		d.Announce(a, now)
		e.sentAnnouncements[d.minions[a.Minion].number] = sentAnnouncement{}
	}
}

// refreshAlive records that an entry instance has received announcements of the
// minions with these numbers.
func (d *Allocator) refreshAlive(numbers []uint32, now time.Duration) {
	for _, number := range numbers {
		m, ok := d.byNumber[number]
		if ok && m.usable() {
			m.lastHeardAt = now
		}
	}
}

// applyReport records the held slots, requests in flight and demand that a
// request reports.
func (d *Allocator) applyReport(e *entryRecord, req SlotRequest, now time.Duration) {
	inFlight := make(map[uint32]int, len(req.Loads))
	for _, u := range req.Loads {
		inFlight[u.Number] = u.InFlight
	}
	e.adopt(req.Adopted)
	if req.ReleaseAll {
		// The sender uses no grant of any response any more.
		e.grantSets = nil
	}
	if req.Full {
		d.applyClaims(e, req, inFlight, now)
	}
	e.inFlight = inFlight
	e.inFlightUntil = now + d.opts.MaxRequest + d.opts.Drift
	e.demand = make(map[string]int, len(req.Demands))
	for _, demand := range req.Demands {
		e.demand[demand.Service] = demand.Wanted
	}
	e.draining = req.ReleaseAll
	d.updateOccupied(e, now)
}

// applyClaims records the slots that an entry instance holds by grants of an
// earlier term. The request names this term, so the entry instance accepts no
// more responses of earlier terms, and the claim is final.
func (d *Allocator) applyClaims(e *entryRecord, req SlotRequest, inFlight map[uint32]int, now time.Duration) {
	held := make(map[uint32]int, len(req.Claims))
	for _, c := range req.Claims {
		m := d.ensureMinion(c.Minion, now)
		held[m.number] = c.Held
		inFlight[m.number] = c.InFlight
		if !e.claimed {
			m.reserved = max(0, m.reserved-max(c.Held, c.InFlight))
		}
	}
	e.sentAnnouncements = make(map[uint32]sentAnnouncement)
	e.grantSets = append([]grantSet{d.newGrantSet(req.Adopted, held, now)}, e.grantSets...)
	e.claimed = true
	d.markClaimed(e.id, now)
}

// markClaimed shortens the reservation to restartLinger from now once every entry
// instance has claimed.
func (d *Allocator) markClaimed(entry string, now time.Duration) {
	if !d.unclaimed[entry] {
		return
	}
	delete(d.unclaimed, entry)
	if len(d.unclaimed) == 0 {
		d.reserveEnds = min(d.reserveEnds, now+restartLinger)
	}
}

// newGrantSet returns the record of a response sent at now.
func (d *Allocator) newGrantSet(sequence uint64, slots map[uint32]int, now time.Duration) grantSet {
	ends := now + d.opts.Lease + d.opts.Drift
	return grantSet{sequence: sequence, slots: slots, freeAt: ends + d.opts.MaxRequest}
}

// expire updates everything that depends on the time: occupied and reserved
// slots, minions without announcements and old records.
func (d *Allocator) expire(now time.Duration) {
	for _, id := range d.order {
		e := d.entries[id]
		if e.nextFreeAt <= now {
			d.updateOccupied(e, now)
		}
	}
	reserved := d.reserveInForce(now)
	kept := d.list[:0]
	for _, m := range d.list {
		if !reserved {
			m.reserved = 0
		}
		if m.announced && now-m.lastHeardAt > d.opts.MinionTTL {
			d.retire(m)
		}
		if !m.usable() && m.occupied == 0 && now-m.lastHeardAt > forgetAfter {
			d.forget(m)
			continue
		}
		kept = append(kept, m)
	}
	clear(d.list[len(kept):])
	d.list = kept
}

// forget deletes the record of a minion.
func (d *Allocator) forget(m *minionRecord) {
	delete(d.minions, m.Minion)
	delete(d.byNumber, m.number)
	for _, e := range d.entries {
		delete(e.sentAnnouncements, m.number)
	}
}

// Minions returns the announcements of the usable minions.
func (d *Allocator) Minions() []Announcement {
	var live []Announcement
	for _, m := range d.list {
		if m.usable() {
			live = append(live, m.Announcement)
		}
	}
	return live
}

// Occupied returns the upper bound of requests in flight on a minion.
func (d *Allocator) Occupied(minion string) int {
	if m, ok := d.minions[minion]; ok {
		return m.occupied
	}
	return 0
}
