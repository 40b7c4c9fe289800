package routing

import "time"

// divide works out the grants of an entry instance for all services.
func (d *Allocator) allocate(e *entryRecord, now time.Duration) map[uint32]int {
	grants := make(map[uint32]int)
	if e.draining {
		return grants
	}
	for _, group := range d.serviceGroups() {
		d.allocateService(e, group, grants, now)
	}
	return grants
}

// serviceGroup is the usable minions of one service.
type serviceGroup struct {
	name    string
	minions []*minionRecord
	// capacity is the sum of slots that no reserve holds.
	capacity int
}

// services returns the usable minions by service, in the order of numbers.
func (d *Allocator) serviceGroups() []*serviceGroup {
	var groups []*serviceGroup
	byName := make(map[string]*serviceGroup)
	for _, m := range d.list {
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

// allocateService adds the grants of one service to grants.
func (d *Allocator) allocateService(e *entryRecord, g *serviceGroup, grants map[uint32]int, now time.Duration) {
	share := d.fairShare(e, g, now)
	free := make([]int, len(g.minions))
	total := 0
	latest := e.latestGrants()
	for i, m := range g.minions {
		available := max(0, m.Slots-m.reserved-(m.occupied-e.ownOccupied[m.number]))
		keep := min(latest[m.number], available)
		grants[m.number] = keep
		free[i] = available - keep
		total += keep
	}
	if total > share {
		excess := min(total-share, d.unmetMinimum(e, g, now))
		shrink(g, grants, e.inFlight, excess)
		return
	}
	grow(g, grants, free, share-total, d.entryIndex(e.id))
}

// target is the fair part of the service's capacity: demand is served evenly
// (max-min), and what nobody wants is spread evenly, so that every entry
// instance can serve a burst before its next renewal.
func (d *Allocator) fairShare(e *entryRecord, g *serviceGroup, now time.Duration) int {
	demands, own := d.demands(e, g.name, now)
	shares := waterFill(g.capacity, demands)
	return shares[own]
}

// wants returns the demands of the live entry instances and the place of e.
func (d *Allocator) demands(e *entryRecord, service string, now time.Duration) (demands []int, own int) {
	for _, id := range d.order {
		other := d.entries[id]
		if other != e && !d.live(other, now) {
			continue
		}
		if other == e {
			own = len(demands)
		}
		demands = append(demands, other.demand[service])
	}
	return demands, own
}

func (d *Allocator) live(e *entryRecord, now time.Duration) bool {
	return e.claimed && !e.draining && now-e.lastRequestAt < d.opts.Lease
}

// shortage is how many slots the other entry instances lack of their targets
// after all free slots are given out. Nothing is taken from an entry instance
// without need, so that small swings of demand cost no messages.
func (d *Allocator) unmetMinimum(e *entryRecord, g *serviceGroup, now time.Duration) int {
	unmet := 0
	for _, id := range d.order {
		other := d.entries[id]
		if other == e || !d.live(other, now) {
			continue
		}
		held := 0
		latest := other.latestGrants()
		for _, m := range g.minions {
			held += latest[m.number]
		}
		unmet += max(0, d.minimumShare(other, g, now)-held)
	}
	for _, m := range g.minions {
		unmet -= max(0, m.Slots-m.reserved-m.occupied)
	}
	return max(0, unmet)
}

// need is what an entry instance is short of when it holds less: its demand, or
// half of its even part, so that a new one can begin to serve.
func (d *Allocator) minimumShare(e *entryRecord, g *serviceGroup, now time.Duration) int {
	share := d.fairShare(e, g, now)
	return min(share, max(e.demand[g.name], share/2))
}

// position is the place of an entry instance among all, to start its search
// for free slots at different minions than the others.
func (d *Allocator) entryIndex(id string) int {
	for i, other := range d.order {
		if other == id {
			return i
		}
	}
	return 0
}

// shrink takes slots away, idle ones and those of the most granted minions first.
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

// idleSlotBonus outweighs any count of slots, so that idle slots are taken first.
const idleSlotBonus = 1 << 20

// grow adds slots where the most are free, and among those where the least are held.
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

// growStride keeps the starting points of entry instances apart.
const growStride = 7

func preferred(g *serviceGroup, grants map[uint32]int, free []int, i, best int) bool {
	heldI, heldBest := grants[g.minions[i].number], grants[g.minions[best].number]
	if heldI != heldBest {
		return heldI < heldBest
	}
	return free[i] > free[best]
}

// waterFill divides capacity by max-min fairness on wants and spreads the rest
// evenly. The shares sum to capacity.
func waterFill(capacity int, demands []int) []int {
	shares := make([]int, len(demands))
	left := capacity
	for left > 0 {
		unmet := 0
		for i, w := range demands {
			if shares[i] < w {
				unmet++
			}
		}
		if unmet == 0 {
			break
		}
		step := max(1, left/unmet)
		for i, w := range demands {
			granted := min(step, w-shares[i], left)
			if granted > 0 {
				shares[i] += granted
				left -= granted
			}
		}
	}
	for i := range shares {
		part := left / (len(shares) - i)
		shares[i] += part
		left -= part
	}
	return shares
}

// respond records the grants as outstanding and tells what differs from the
// answer that the entry instance uses.
func (d *Allocator) respond(e *entryRecord, req SlotRequest, grants map[uint32]int, now time.Duration) SlotResponse {
	base, known := e.adoptedGrants()
	if req.Full {
		known = false
	}
	resp := SlotResponse{Term: d.term, Sequence: req.Sequence, Lease: d.opts.Lease}
	if known {
		resp.Base = e.adopted
	}
	for _, m := range d.list {
		slots := grants[m.number]
		differs := slots != base[m.number]
		if !known {
			differs = slots > 0
		}
		if g, send := d.grant(e, m, slots, req.Sequence); send || differs {
			resp.Grants = append(resp.Grants, g)
		}
	}
	for number, slots := range grants {
		if slots == 0 {
			delete(grants, number)
		}
	}
	e.grantSets = append(e.grantSets, d.newGrantSet(req.Sequence, grants, now))
	d.updateOccupied(e, now)
	d.checkOccupied(e)
	return resp
}

// grant builds the grant of one minion, with its description where the entry
// instance isn't known to have it.
func (d *Allocator) grant(e *entryRecord, m *minionRecord, slots int, sequence uint64) (Grant, bool) {
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

// checkOccupied asserts that a grant never takes a minion over its slots. Slots
// claimed from earlier terms may exceed what the minion now announces; those
// are never granted beyond the charge that they had.
func (d *Allocator) checkOccupied(e *entryRecord) {
	if !checkInvariants {
		return
	}
	for number, slots := range e.latestGrants() {
		m := d.byNumber[number]
		others := m.occupied - e.ownOccupied[number]
		invariant(others+slots <= m.Slots, "granted more than the slots of a minion")
	}
}
