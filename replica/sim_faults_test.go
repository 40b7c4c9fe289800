package replica

import (
	"slices"
)

const (
	// powerLossOutcome is the random outcome of a step at which injectFault simulates a
	// loss of power. It is above the bounds of the cases in injectFault and below each of
	// faultOutcomeCounts.
	powerLossOutcome = 100
	// laterStartOutcomes is the last of the random outcomes, after powerLossOutcome, at which
	// injectFault delivers a message of a later start of a member.
	laterStartOutcomes = 108
	// stepDownOutcome is the random outcome at which injectFault makes the leader step down.
	stepDownOutcome = 69
	// diskLossProbability is the probability that a crash erases the disk.
	diskLossProbability = 0.2
	// diskLossAtPowerLossProbability is the probability that a loss of power also erases disks, where
	// the simulation plays both together.
	diskLossAtPowerLossProbability = 0.5
	// twoWayProbability is the probability that a partition blocks a link in both
	// directions and not only from the partitioned member.
	twoWayProbability = 0.8
	maxLossRate       = 0.3
	// minVoters is the number of voters below which no voter is removed.
	minVoters = 3
)

// injectFault starts or ends a random fault among those that the group must survive, or
// does nothing. The bounds of the cases are cumulative: a fault's share is the difference
// from the bound before it, out of simOptions.faultOutcomes.
func (s *sim) injectFault() {
	n := s.nodes[s.rand.IntN(len(s.nodes))]
	switch kind := s.rand.IntN(s.opt.faultOutcomes); {
	case kind < 8 && n.core != nil:
		losesState := !n.disk
		loseDisk := n.disk && s.chance(diskLossProbability) && (!s.opt.powerLoss || s.opt.powerAndDiskLoss)
		if losesState || loseDisk {
			if s.toleratedLosses() == 0 {
				return
			}
		}
		s.counts["crashes"]++
		if loseDisk {
			s.counts["disk losses"]++
		}
		n.crash(loseDisk)
	case kind < 12 && n.core != nil && !n.paused:
		s.counts["pauses"]++
		n.paused = true
	case kind < 24 && n.paused:
		n.resume()
	case kind < 30:
		s.counts["partitions"]++
		for _, o := range s.nodes {
			s.blockedLinks[[2]string{n.id, o.id}] = true
			s.blockedLinks[[2]string{o.id, n.id}] = s.chance(twoWayProbability)
		}
	case kind < 45:
		clear(s.blockedLinks)
	case kind < 48:
		s.lossRate = s.rand.Float64() * maxLossRate
	case kind < 52:
		s.lossRate = 0
	case kind < 58:
		if l := s.leader(); l != nil && !l.paused && l.core.Transfer(n.id) == nil {
			s.counts["transfers"]++
		}
	case kind < 68 && s.opt.membershipChanges:
		s.proposeRandomChange()
	case kind == stepDownOutcome:
		if l := s.leader(); l != nil && !l.paused {
			l.core.StepDown(l.core.term)
			s.counts["step-downs"]++
		}
	case kind == powerLossOutcome && s.opt.powerLoss:
		s.losePower()
	case kind > powerLossOutcome && kind <= laterStartOutcomes && s.opt.clocksAhead && n.core != nil:
		// A disk whose member recovers again counts as lost in a loss of power.
		diskNeeded := n.disk && s.opt.powerLoss && !s.opt.powerAndDiskLoss
		if s.toleratedLosses() > 0 && !diskNeeded {
			s.injectLaterStart(n)
		}
	}
}

// injectLaterStart transmits the state request of a start of n whose clock was ahead, and whose state
// was lost before the start that n runs under. The request reaches one other member, at any time.
func (s *sim) injectLaterStart(n *simNode) {
	s.counts["later starts"]++
	known := MemberIncarnation{ID: n.id, Incarnation: n.core.incarnation + 1 + uint64(s.rand.IntN(maxClockStep))}
	other := s.nodes[s.rand.IntN(len(s.nodes))]
	if other == n {
		return
	}
	s.transmit(Message{
		Type: MsgState, From: n.id, To: other.id, Incarnation: known.Incarnation,
		KnownIncarnations: []MemberIncarnation{known}, Recovering: true,
	})
}

// toleratedLosses returns how many more members may lose their state: fewer than a majority of the
// voters have lost it at any time, in the smallest membership in use. While members are removed, at
// least a majority must still have theirs, because the rest of an even group may become an odd one.
func (s *sim) toleratedLosses() int {
	smallest := s.opt.voters
	for _, n := range s.nodes {
		if n.core == nil {
			continue
		}
		for _, members := range n.core.members.since(n.core.commit) {
			smallest = min(smallest, len(voters(members)))
		}
	}
	if s.opt.membershipChanges {
		smallest--
	}
	return max(0, smallest/2-s.countRecovering())
}

// proposeRandomChange proposes a random change of one member. It changes no member with a
// disk when losses of power are simulated: without a disk among the voters no entry
// survives a loss of power.
func (s *sim) proposeRandomChange() {
	l := s.leader()
	if l == nil || l.paused {
		return
	}
	n := s.nodes[s.rand.IntN(len(s.nodes))]
	if s.opt.powerLoss && n.disk && !s.opt.powerAndDiskLoss {
		return
	}
	members := slices.Clone(l.core.members.current())
	i := slices.IndexFunc(members, func(m Member) bool { return m.ID == n.id })
	switch {
	case i < 0:
		members = append(members, Member{ID: n.id, HasDisk: n.disk, Learner: true})
	case members[i].Learner:
		members[i].Learner = false
	case len(voters(members)) > minVoters:
		members = slices.Delete(members, i, i+1)
	}
	if _, _, err := l.core.ProposeMembership(members); err == nil {
		s.counts["changes"]++
	}
}

// losePower stops all members at the same time. Entries committed while no disk voter
// was available may be lost.
func (s *sim) losePower() {
	s.counts["power losses"]++
	s.inTransit = nil
	if s.opt.powerAndDiskLoss {
		s.losePowerAndDisks()
		return
	}
	for _, n := range s.nodes {
		n.crash(false)
	}
	for index := range s.stateHashes {
		if index > s.lastDurable {
			delete(s.stateHashes, index)
		}
	}
	s.lastApplied = min(s.lastApplied, s.lastDurable)
}

// losePowerAndDisks stops all members at the same time and at random erases as many disks as the group
// tolerates. All members have a disk, so nothing committed may be lost.
func (s *sim) losePowerAndDisks() {
	lost := 0
	if s.chance(diskLossAtPowerLossProbability) {
		lost = s.toleratedLosses()
	}
	s.counts["disk losses"] += lost
	for i, index := range s.rand.Perm(len(s.nodes)) {
		s.nodes[index].crash(i < lost)
	}
}

// endFaults ends all faults.
func (s *sim) endFaults() {
	s.opt.faults = false
	s.lossRate = 0
	clear(s.blockedLinks)
	for _, n := range s.nodes {
		if n.paused {
			n.resume()
		}
	}
}
