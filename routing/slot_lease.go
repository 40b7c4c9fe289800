package routing

import (
	"maps"
	"slices"
	"time"
)

// maxSentRequests is the number of recent slot requests that are recorded. The response
// to an earlier one is ignored.
const maxSentRequests = 16

// sentRequest is a slot request whose response may still arrive.
type sentRequest struct {
	sequence uint64
	sentAt   time.Duration
}

// slotLease is the slot lease that a Balancer holds from the leader.
type slotLease struct {
	// term is the highest leader term seen.
	term uint64
	// sequence is the sequence of the last slot request.
	sequence uint64
	// adopted is the sequence of the response whose grants are in use.
	adopted uint64
	// expiresAt is when the adopted grants expire.
	expiresAt time.Duration
	// granted has the adopted grants by the leader's minion numbers.
	granted map[uint32]int
	// fullRequestNeeded reports whether the next request must list all held
	// slots.
	fullRequestNeeded bool
	// everAdopted reports whether a leader's response was adopted since the
	// start of the process.
	everAdopted bool
	// sent has the most recent slot requests, oldest first.
	sent []sentRequest
	// released reports whether the entry instance is draining and has given up
	// all slots.
	released bool
}

// Announce records an announcement that a minion sent to this entry instance. It ignores
// an announcement of an earlier incarnation, and every further announcement of an
// incarnation that is leaving.
func (b *Balancer) Announce(a Announcement, now time.Duration) {
	if a.Minion == "" || a.Service == "" {
		return
	}
	m := b.ensureMinion(a.Minion, now)
	if m.announced || m.leaderAnnounced {
		if a.Incarnation < m.Incarnation || (a.Incarnation == m.Incarnation && m.Leaving) {
			return
		}
	}
	b.setAnnouncement(m, a, now)
	m.announcedAt = now
	m.announced = true
	m.announcedSinceRequest = true
	if a.Leaving {
		b.slotRequestDue = true
		return
	}
	if m.gone {
		// The next request reports to the leader that the minion is back.
		b.slotRequestDue = true
	}
	b.dispatchAllServices(now)
}

// Leave takes a minion out of use immediately for the rest of its incarnation. It
// ignores an earlier incarnation.
func (b *Balancer) Leave(name string, incarnation uint64, now time.Duration) {
	m, ok := b.minions[name]
	if !ok || incarnation < m.Incarnation {
		return
	}
	a := m.Announcement
	a.Incarnation = incarnation
	a.Leaving = true
	b.Announce(a, now)
}

// setAnnouncement records an announcement of the current or a later incarnation.
// A later incarnation starts with a closed breaker and with slow start.
func (b *Balancer) setAnnouncement(m *minion, a Announcement, now time.Duration) {
	if a.Incarnation != m.Incarnation {
		m.breaker = breaker{}
		m.slowStartFrom = now
	}
	if a.Service != m.Service {
		b.moveToService(m, a.Service, now)
	}
	m.Announcement = a
}

// ensureMinion returns the record of a minion and creates it if there is none.
func (b *Balancer) ensureMinion(name string, now time.Duration) *minion {
	if m, ok := b.minions[name]; ok {
		return m
	}
	m := &minion{slowStartFrom: now}
	m.Minion = name
	b.minions[name] = m
	return m
}

// moveToService assigns a minion to another service.
func (b *Balancer) moveToService(m *minion, service string, now time.Duration) {
	if s, ok := b.services[m.Service]; ok {
		s.minions = slices.DeleteFunc(s.minions, func(other *minion) bool { return other == m })
	}
	s, ok := b.services[service]
	if !ok {
		s = newService(service, b.opts.InitialServiceTime, now)
		b.services[service] = s
	}
	s.minions = append(s.minions, m)
}

// NextSlotRequest builds the next slot request. The caller must send it
// immediately, because the lease in the response counts from now.
func (b *Balancer) NextSlotRequest(now time.Duration) SlotRequest {
	b.releaseLingeringSlots(now)
	l := &b.lease
	l.sequence++
	l.sent = append(l.sent, sentRequest{sequence: l.sequence, sentAt: now})
	if len(l.sent) > maxSentRequests {
		l.sent = slices.Delete(l.sent, 0, 1)
	}
	b.slotRequestDue = false
	b.releaseIfDrained()
	req := SlotRequest{
		Entry:       b.opts.Entry,
		Incarnation: b.opts.Incarnation,
		Sequence:    l.sequence,
		Term:        l.term,
		Adopted:     l.adopted,
		Full:        l.fullRequestNeeded,
		ReleaseAll:  l.released,
	}
	b.addDemands(&req)
	b.addMinions(&req, now)
	return req
}

// releaseIfDrained gives up all slots if the entry instance is draining and has no
// queued requests.
func (b *Balancer) releaseIfDrained() {
	l := &b.lease
	if !b.draining || b.QueueLength() > 0 {
		return
	}
	l.released = true
	l.expiresAt = 0
	l.granted = make(map[uint32]int)
	for _, m := range b.minions {
		m.slots = 0
	}
}

// addDemands adds the slot demand of each service to the request.
func (b *Balancer) addDemands(req *SlotRequest) {
	for _, name := range slices.Sorted(maps.Keys(b.services)) {
		wanted := b.services[name].slotDemand()
		if wanted > 0 {
			req.Demands = append(req.Demands, ServiceDemand{Service: name, Wanted: wanted})
		}
	}
}

// addMinions adds announcements, claims and requests in flight to the request.
func (b *Balancer) addMinions(req *SlotRequest, now time.Duration) {
	claimable := now < b.lease.expiresAt+b.opts.Lease.MaxRequestDuration-b.opts.Lease.TTL
	for _, name := range slices.Sorted(maps.Keys(b.minions)) {
		m := b.minions[name]
		b.addAnnouncement(req, m)
		n := m.inFlight()
		if req.Full {
			b.addClaim(req, m, n, claimable)
			continue
		}
		if n > 0 && m.number != 0 {
			req.Loads = append(req.Loads, MinionLoad{Number: m.number, InFlight: n})
		}
	}
}

// addAnnouncement reports in the request that a minion has announced itself since the
// last request: by the minion's number if the leader has the same announcement, and
// otherwise with the announcement.
func (b *Balancer) addAnnouncement(req *SlotRequest, m *minion) {
	if !m.announcedSinceRequest {
		return
	}
	if m.leaderAnnounced && m.number != 0 && m.leaderAnnouncement == m.Announcement && !m.gone {
		req.Alive = append(req.Alive, m.number)
		m.announcedSinceRequest = false
		return
	}
	req.Announcements = append(req.Announcements, m.Announcement)
	acknowledged := m.gone && m.leaderAnnouncement.Incarnation == m.Incarnation && m.Leaving
	m.announcedSinceRequest = m.Leaving && !acknowledged
}

// addClaim reports in a full request which slots of a minion are held. Slots of an
// expired lease aren't used any more, but they are claimed until the previous leader
// could have granted them to another entry instance.
func (b *Balancer) addClaim(req *SlotRequest, m *minion, inFlight int, claimable bool) {
	held := m.slots
	if !claimable {
		held = 0
	}
	if held == 0 && inFlight == 0 {
		return
	}
	claim := Claim{Minion: m.Minion, Service: m.Service, Held: held, InFlight: inFlight}
	req.Claims = append(req.Claims, claim)
}

// HandleSlotResponse processes the response to a slot request. It returns whether the
// next request must follow immediately.
//
// Guards against using slots that other entry instances hold: responses may be
// delayed, duplicated and reordered, and may come from a replaced leader. A response is
// adopted only if it is of the highest term seen, later than the adopted response, and
// either complete or based on the adopted response. The lease of an adopted response
// counts from when its request was sent.
func (b *Balancer) HandleSlotResponse(resp SlotResponse, now time.Duration) (again bool) {
	l := &b.lease
	if resp.Term < l.term || l.released {
		return false
	}
	if resp.Term > l.term {
		b.enterTerm(resp.Term)
	}
	if resp.Resync {
		l.fullRequestNeeded = true
		return true
	}
	sent, ok := l.sentAt(resp.Sequence)
	if !ok || resp.Sequence <= l.adopted {
		return false
	}
	if resp.Base != 0 && resp.Base != l.adopted {
		return false
	}
	if !b.numbersKnown(resp) {
		l.fullRequestNeeded = true
		return true
	}
	shrunk := b.adopt(resp, sent, now)
	b.dispatchAllServices(now)
	return shrunk
}

// sentAt returns when the request with this sequence was sent, if it is recorded.
func (l *slotLease) sentAt(sequence uint64) (time.Duration, bool) {
	for _, s := range l.sent {
		if s.sequence == sequence {
			return s.sentAt, true
		}
	}
	return 0, false
}

// enterTerm records a new leader term and drops the minion numbers of the previous
// leader. The granted slots stay in use; the next request claims them from the new
// leader.
func (b *Balancer) enterTerm(term uint64) {
	l := &b.lease
	l.term = term
	l.fullRequestNeeded = true
	l.granted = make(map[uint32]int)
	for _, m := range b.minions {
		m.number = 0
		m.leaderAnnounced = false
		m.announcedSinceRequest = m.announced
	}
	b.byNumber = make(map[uint32]*minion)
}

// numbersKnown reports whether every minion number in the response is known or
// comes with an announcement.
func (b *Balancer) numbersKnown(resp SlotResponse) bool {
	for _, g := range resp.Grants {
		if _, ok := b.byNumber[g.Number]; !ok && !g.HasAnnouncement {
			return false
		}
	}
	return true
}

// adopt starts to use the grants of a response, whose request was sent at sent. It
// returns whether the slots of any minion became fewer: the leader can grant the
// difference to other entry instances once the next request reports the adoption.
func (b *Balancer) adopt(resp SlotResponse, sent, now time.Duration) (shrunk bool) {
	l := &b.lease
	if resp.Base == 0 {
		l.granted = make(map[uint32]int)
	}
	for _, g := range resp.Grants {
		if g.HasAnnouncement {
			b.applyAnnouncement(g, now)
		}
		l.granted[g.Number] = g.Slots
	}
	for _, m := range b.minions {
		slots := l.granted[m.number]
		if m.number == 0 {
			slots = 0
		}
		shrunk = shrunk || slots < m.slots
		m.slots = slots
		if slots > 0 {
			m.grantsRequestedAt = sent
		}
	}
	l.adopted = resp.Sequence
	l.expiresAt = sent + resp.TTL
	l.fullRequestNeeded = false
	l.everAdopted = true
	b.deleteGoneMinions(now)
	return shrunk
}

// applyAnnouncement records the leader's announcement of a minion, unless the minion
// itself has sent this entry instance a later announcement.
func (b *Balancer) applyAnnouncement(g Grant, now time.Duration) {
	m := b.ensureMinion(g.Announcement.Minion, now)
	if m.number != g.Number {
		delete(b.byNumber, m.number)
	}
	m.number = g.Number
	b.byNumber[g.Number] = m
	m.leaderAnnouncement = g.Announcement
	m.leaderAnnounced = true
	if g.Announcement.Incarnation < m.Incarnation {
		return
	}
	if m.Leaving && g.Announcement.Incarnation == m.Incarnation {
		m.gone = g.Gone
		return
	}
	m.gone = g.Gone
	b.setAnnouncement(m, g.Announcement, now)
}

// deleteGoneMinions deletes the records of minions that the leader reports as gone,
// that have not announced themselves recently and that have no requests in flight.
func (b *Balancer) deleteGoneMinions(now time.Duration) {
	ttl := b.opts.Lease.MinionTTL
	for name, m := range b.minions {
		recentlyAnnounced := m.announced && now < m.announcedAt+ttl
		if !m.gone || recentlyAnnounced || m.announcedSinceRequest || m.inFlight() > 0 {
			continue
		}
		delete(b.minions, name)
		delete(b.byNumber, m.number)
		if s, ok := b.services[m.Service]; ok {
			s.minions = slices.DeleteFunc(s.minions, func(other *minion) bool { return other == m })
		}
	}
	b.deleteEmptyServices(now)
}

// deleteEmptyServices refuses, with NoSuchService, the queued requests of services that
// never had a minion or have had none for recordRetention. It deletes such a service
// once no request of it is running. For recordRetention after a service lost its last
// minion, its requests are queued.
func (b *Balancer) deleteEmptyServices(now time.Duration) {
	for name, s := range b.services {
		if len(s.minions) > 0 {
			s.lastPopulatedAt = now
			s.everPopulated = true
			continue
		}
		if s.everPopulated && now-s.lastPopulatedAt < recordRetention {
			continue
		}
		for len(s.queue) > 0 {
			b.refuseQueued(s, s.queue[0], NoSuchService, now)
		}
		if s.idle() {
			delete(b.services, name)
		}
	}
}
