package routing

import "time"

// allocate computes the grants of an entry instance for all services.
func (a *Allocator) allocate(e *entryRecord, now time.Duration) map[uint32]int {
	grants := make(map[uint32]int)
	if e.draining {
		return grants
	}
	for _, group := range a.serviceGroups() {
		a.allocateService(e, group, grants, now)
	}
	return grants
}

// serviceGroup holds the usable minions of one service.
type serviceGroup struct {
	name    string
	minions []*minionRecord
	// capacity is the number of slots that are not reserved.
	capacity int
}

// serviceGroups returns the usable minions by service, ordered by minion number.
func (a *Allocator) serviceGroups() []*serviceGroup {
	var groups []*serviceGroup
	byName := make(map[string]*serviceGroup)
	for _, m := range a.sortedMinions {
		if !m.usable() {
			continue
		}
		g, ok := byName[m.Service]
		if !ok {
			g = &serviceGroup{name: m.Service}
			byName[m.Service] = g
			groups = append(groups, g)
		}
		g.minions = append(g.minions, m)
		g.capacity += max(0, m.Slots-m.reserved)
	}
	return groups
}

// allocateService adds the grants for one service to grants.
func (a *Allocator) allocateService(e *entryRecord, g *serviceGroup, grants map[uint32]int, now time.Duration) {
	share := a.fairShare(e, g, now)
	free := make([]int, len(g.minions))
	keptTotal := 0
	latest := e.latestGrants()
	for i, m := range g.minions {
		available := max(0, m.Slots-m.reserved-(m.occupied-e.ownOccupied[m.number]))
		keep := min(latest[m.number], available)
		grants[m.number] = keep
		free[i] = available - keep
		keptTotal += keep
	}
	if keptTotal > share {
		excess := min(keptTotal-share, a.unmetMinimum(e, g, now))
		shrink(g, grants, e.inFlight, excess)
		return
	}
	grow(g, grants, free, share-keptTotal, a.entryIndex(e.id))
}

// fairShare returns the entry instance's share of a service's capacity. Demand
// is served with max-min fairness. Capacity beyond the demand is spread evenly,
// so that every entry instance can serve a burst before its next renewal.
func (a *Allocator) fairShare(e *entryRecord, g *serviceGroup, now time.Duration) int {
	demands, ownIndex := a.demands(e, g.name, now)
	shares := waterFill(g.capacity, demands)
	return shares[ownIndex]
}

// demands returns the demands of e and all live entry instances for a service, and the
// index of e's demand among them.
func (a *Allocator) demands(e *entryRecord, service string, now time.Duration) (demands []int, ownIndex int) {
	for _, id := range a.sortedEntries {
		other := a.entries[id]
		if other != e && !a.live(other, now) {
			continue
		}
		if other == e {
			ownIndex = len(demands)
		}
		demands = append(demands, other.demand[service])
	}
	return demands, ownIndex
}

// live reports whether the entry instance has claimed its slots, isn't draining
// and has sent a request within the lease time.
func (a *Allocator) live(e *entryRecord, now time.Duration) bool {
	return e.claimed && !e.draining && now-e.lastRequestAt < a.opts.TTL
}

// unmetMinimum returns by how many slots the other entry instances fall short of their
// minimum shares even if all free slots are granted to them. allocateService takes no
// more slots than this from e, so that small changes of demand cause no messages.
func (a *Allocator) unmetMinimum(e *entryRecord, g *serviceGroup, now time.Duration) int {
	unmet := 0
	for _, id := range a.sortedEntries {
		other := a.entries[id]
		if other == e || !a.live(other, now) {
			continue
		}
		held := 0
		latest := other.latestGrants()
		for _, m := range g.minions {
			held += latest[m.number]
		}
		unmet += max(0, a.minimumShare(other, g, now)-held)
	}
	for _, m := range g.minions {
		unmet -= max(0, m.Slots-m.reserved-m.occupied)
	}
	return max(0, unmet)
}

// minimumShare returns the number of slots that an entry instance must be able to get:
// its demand or half of its fair share, whichever is greater, but at most its fair
// share. Half of the fair share lets a new entry instance without demand start to
// serve.
func (a *Allocator) minimumShare(e *entryRecord, g *serviceGroup, now time.Duration) int {
	share := a.fairShare(e, g, now)
	return min(share, max(e.demand[g.name], share/2))
}

// entryIndex returns the index of an entry instance in the list of all entry instances
// sorted by ID. The index determines the minion at which the search for free slots
// starts, so that entry instances start at different minions.
func (a *Allocator) entryIndex(id string) int {
	for i, other := range a.sortedEntries {
		if other == id {
			return i
		}
	}
	return 0
}

// shrink takes excess slots out of grants one by one, each from the minion with the most
// granted slots among the minions that have an idle slot, or among all minions if none
// has an idle slot.
func shrink(g *serviceGroup, grants, inFlight map[uint32]int, excess int) {
	for ; excess > 0; excess-- {
		best := uint32(0)
		bestScore := 0
		for _, m := range g.minions {
			n := grants[m.number]
			if n == 0 {
				continue
			}
			score := n
			if n > inFlight[m.number] {
				score += idleSlotBonus
			}
			if score > bestScore {
				best, bestScore = m.number, score
			}
		}
		if best == 0 {
			return
		}
		grants[best]--
	}
}

// idleSlotBonus is added to the score of a minion with an idle slot. The bonus exceeds
// any number of slots, so that shrink takes idle slots before slots in use.
const idleSlotBonus = 1 << 20

// grow grants up to missing more slots, each on a minion that has a free slot. Among
// these minions it selects the one with the fewest granted slots and, if several have
// equally few, the one with the most free slots.
func grow(g *serviceGroup, grants map[uint32]int, free []int, missing, entryIndex int) {
	n := len(g.minions)
	for ; missing > 0; missing-- {
		best := -1
		for k := range n {
			i := (k + entryIndex*growStride) % n
			if free[i] == 0 {
				continue
			}
			if best < 0 || preferred(g, grants, free, i, best) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		grants[g.minions[best].number]++
		free[best]--
	}
}

// growStride is the distance, in minions, between the minions at which two consecutive
// entry instances start the search for free slots.
const growStride = 7

// preferred reports whether the minion at index i has fewer granted slots than the minion
// at index best, or equally many granted slots and more free slots.
func preferred(g *serviceGroup, grants map[uint32]int, free []int, i, best int) bool {
	heldI, heldBest := grants[g.minions[i].number], grants[g.minions[best].number]
	if heldI != heldBest {
		return heldI < heldBest
	}
	return free[i] > free[best]
}

// waterFill divides capacity among demands with max-min fairness and spreads the
// remaining capacity evenly. The shares sum to capacity.
func waterFill(capacity int, demands []int) []int {
	shares := make([]int, len(demands))
	remaining := capacity
	for remaining > 0 {
		unmet := 0
		for i, demand := range demands {
			if shares[i] < demand {
				unmet++
			}
		}
		if unmet == 0 {
			break
		}
		step := max(1, remaining/unmet)
		for i, demand := range demands {
			granted := min(step, demand-shares[i], remaining)
			if granted > 0 {
				shares[i] += granted
				remaining -= granted
			}
		}
	}
	for i := range shares {
		extra := remaining / (len(shares) - i)
		shares[i] += extra
		remaining -= extra
	}
	return shares
}

// respond records the grants as possibly in use and builds the response. The response
// has the differences from the adopted grants, or all grants if the request is full or
// the adopted grants are no longer recorded.
func (a *Allocator) respond(e *entryRecord, req SlotRequest, grants map[uint32]int, now time.Duration) SlotResponse {
	base, known := e.adoptedGrants()
	if req.Full {
		known = false
	}
	resp := SlotResponse{Term: a.term, Sequence: req.Sequence, TTL: a.opts.TTL}
	if known {
		resp.Base = e.adopted
	}
	for _, m := range a.sortedMinions {
		slots := grants[m.number]
		differs := slots != base[m.number]
		if !known {
			differs = slots > 0
		}
		if g, send := a.grant(e, m, slots, req.Sequence); send || differs {
			resp.Grants = append(resp.Grants, g)
		}
	}
	for number, slots := range grants {
		if slots == 0 {
			delete(grants, number)
		}
	}
	e.grantSets = append(e.grantSets, a.newGrantSet(req.Sequence, grants, now))
	a.updateOccupied(e, now)
	a.checkOccupied(e)
	return resp
}

// grant builds the grant of one minion. If the entry instance isn't known to have the
// minion's current announcement, it adds the announcement and returns true. The grant of
// a minion that is gone and was never reported to the entry instance has no announcement.
func (a *Allocator) grant(e *entryRecord, m *minionRecord, slots int, sequence uint64) (Grant, bool) {
	g := Grant{Number: m.number, Slots: slots}
	if !m.announced {
		return g, false
	}
	sent, ok := e.sentAnnouncements[m.number]
	if ok && sent.version == m.version && sent.sequence <= e.adopted {
		return g, false
	}
	if !ok && m.gone {
		return g, false
	}
	if !ok || sent.version != m.version {
		e.sentAnnouncements[m.number] = sentAnnouncement{version: m.version, sequence: sequence}
	}
	g.HasAnnouncement = true
	g.Announcement = m.Announcement
	g.Gone = m.gone
	return g, true
}

// checkOccupied asserts that the slots granted to e and the slots occupied by the
// other entry instances together don't exceed a minion's slots. Claims of slots from
// earlier terms may exceed what the minion announces now; e gets no slots of such a
// minion.
func (a *Allocator) checkOccupied(e *entryRecord) {
	if !checkInvariants {
		return
	}
	for number, slots := range e.latestGrants() {
		m := a.byNumber[number]
		occupiedByOthers := m.occupied - e.ownOccupied[number]
		invariant(occupiedByOthers+slots <= m.Slots, "granted more than the slots of a minion")
	}
}
