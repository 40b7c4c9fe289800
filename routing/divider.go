package routing

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Reasons for which a SlotRequest gets no answer.
var (
	// ErrNotLeading says that the Divider has not been told to lead.
	ErrNotLeading = errors.New("not leading")
	// ErrHigherTerm says that the request has seen a higher term.
	ErrHigherTerm = errors.New("a higher term leads")
	// ErrStale says that the request is a late or second copy.
	ErrStale = errors.New("request is older than one already answered")
)

// restartLinger is how long slots of an ended entry process stay counted after
// its successor reports. The kernel has closed the connections of the ended
// process; minions need this long to notice.
const restartLinger = time.Second

// forgetAfter is how long a minion that left is remembered, so that late
// copies of its announcements don't bring it back.
const forgetAfter = 10 * time.Minute

// Divider divides the slots of the minions of one data centre among its entry
// instances. It belongs to the leader of the data centre. It is not safe for
// concurrent use.
//
// What keeps a minion at or under its slots: for each entry instance and minion
// the Divider keeps an upper bound of the requests that may be in progress (the
// charge), and grants only what the charges of all entry instances leave free.
type Allocator struct {
	opts LeaseOptions

	leading bool
	term    uint64
	// reserveEnds is when no predecessor's grant, nor a request begun under
	// one, can still be in force.
	reserveEnds time.Duration
	// awaited are the entry instances that haven't claimed in this term yet.
	unclaimed map[string]bool

	minions    map[string]*minionRecord
	byNumber   map[uint32]*minionRecord
	list       []*minionRecord // all minions, in the order of numbers
	lastNumber uint32
	entries    map[string]*entryRecord
	order      []string // entry instances, sorted
}

// minionRecord is what the Divider knows of one minion.
type minionRecord struct {
	Announcement
	number uint32
	// announced is false for a minion known from claims only.
	announced   bool
	lastHeardAt time.Duration
	gone        bool
	// version grows with each change that entry instances must learn.
	version uint64
	// charged is the sum of all charges on the minion.
	occupied int
	// reserve is how many slots a predecessor may have granted to entry
	// instances that haven't claimed yet.
	reserved int
}

func (m *minionRecord) usable() bool { return m.announced && !m.gone }

// NewAllocator returns a Divider that grants nothing until Lead.
func NewAllocator(opts LeaseOptions) *Allocator {
	d := &Allocator{opts: opts.withDefaults()}
	d.reset()
	return d
}

func (d *Allocator) reset() {
	d.minions = make(map[string]*minionRecord)
	d.byNumber = make(map[uint32]*minionRecord)
	d.list = nil
	d.lastNumber = 0
	d.entries = make(map[string]*entryRecord)
	d.order = nil
	d.unclaimed = make(map[string]bool)
}

// Lead begins the leadership of a term. The caller must be sure that no leader
// of an earlier term grants from now on. Entries lists the entry instances of
// the data centre; once all of them have claimed what they hold there is
// nothing left to wait out. With an empty list the whole time is waited out.
//
// Failure: a new leader that grants at once what its predecessor granted to
// another entry instance puts a minion over its slots. Guard: whatever hasn't
// been claimed stays reserved until the predecessor's last lease, and the
// requests begun under it, must have ended.
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

// Announce takes a minion's announcement. An announcement of an earlier
// incarnation is ignored, as is one that takes back Leaving.
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

// reserveSlots sets aside what a predecessor may have granted of the slots that
// an announcement adds.
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

// Leave takes a minion out of use.
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

func (d *Allocator) retire(m *minionRecord) {
	if m.gone {
		return
	}
	m.gone = true
	m.version++
}

// minion returns the record of a minion and makes one where there is none.
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

func (d *Allocator) reserveInForce(now time.Duration) bool { return now < d.reserveEnds }

// Share answers a request of an entry instance. The error is ErrNotLeading,
// ErrHigherTerm or ErrStale; then there is no answer to send.
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

// accept finds the record of the sender and refuses late and second copies.
//
// Failure: a late copy of a request would free slots that were granted since.
// Guard: sequences only grow within an incarnation, and incarnations only grow.
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

// announced takes announcements that an entry instance passes on, and makes
// sure that the answer tells what became of them.
func (d *Allocator) applyAnnouncements(e *entryRecord, announcements []Announcement, now time.Duration) {
	for _, a := range announcements {
		d.Announce(a, now)
		e.sentAnnouncements[d.minions[a.Minion].number] = sentAnnouncement{}
	}
}

// refreshAlive takes the minions that an entry instance has heard itself.
func (d *Allocator) refreshAlive(numbers []uint32, now time.Duration) {
	for _, number := range numbers {
		m, ok := d.byNumber[number]
		if ok && m.usable() {
			m.lastHeardAt = now
		}
	}
}

// report takes what the entry instance says it holds and has in progress.
func (d *Allocator) applyReport(e *entryRecord, req SlotRequest, now time.Duration) {
	inFlight := make(map[uint32]int, len(req.Loads))
	for _, u := range req.Loads {
		inFlight[u.Number] = u.InFlight
	}
	e.adopt(req.Adopted)
	if req.ReleaseAll {
		// The sender uses no grant any more, whichever answer it comes from.
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

// claim takes the slots that an entry instance holds by a grant of an earlier
// term. The request names this term, so the entry instance takes no more
// answers of earlier ones and the claim is final.
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

// claimed ends the reserve early once every entry instance has claimed.
func (d *Allocator) markClaimed(entry string, now time.Duration) {
	if !d.unclaimed[entry] {
		return
	}
	delete(d.unclaimed, entry)
	if len(d.unclaimed) == 0 {
		d.reserveEnds = min(d.reserveEnds, now+restartLinger)
	}
}

func (d *Allocator) newGrantSet(sequence uint64, slots map[uint32]int, now time.Duration) grantSet {
	ends := now + d.opts.Lease + d.opts.Drift
	return grantSet{sequence: sequence, slots: slots, freeAt: ends + d.opts.MaxRequest}
}

// sweep brings everything that depends on the time up to now.
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

func (d *Allocator) forget(m *minionRecord) {
	delete(d.minions, m.Minion)
	delete(d.byNumber, m.number)
	for _, e := range d.entries {
		delete(e.sentAnnouncements, m.number)
	}
}

// Minions returns the announcements of the minions in use.
func (d *Allocator) Minions() []Announcement {
	var live []Announcement
	for _, m := range d.list {
		if m.usable() {
			live = append(live, m.Announcement)
		}
	}
	return live
}

// Charged returns the upper bound of requests in progress on a minion.
func (d *Allocator) Occupied(minion string) int {
	if m, ok := d.minions[minion]; ok {
		return m.occupied
	}
	return 0
}
