package replica

import (
	"slices"
)

const (
	// powerLossOutcome is the random outcome of a step at which injectFault simulates a
	// loss of power. It is above the bounds of the cases in injectFault and below each of
	// faultOutcomeCounts.
	powerLossOutcome = 100
	// stepDownOutcome is the random outcome at which injectFault makes the leader step down.
	stepDownOutcome = 69
	// diskLossProbability is the probability that a crash erases the disk.
	diskLossProbability = 0.2
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
	quorum := s.opt.voters/2 + 1
	switch kind := s.rand.IntN(s.opt.faultOutcomes); {
	case kind < 8 && n.core != nil:
		losesState := !n.disk
		loseDisk := n.disk && s.chance(diskLossProbability) && !s.opt.powerLoss
		if losesState || loseDisk {
			if s.countRecovering()+1 >= quorum {
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
	}
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
	if s.opt.powerLoss && n.disk {
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
