package replica

import (
	"fmt"
	"slices"
)

// checkStatus checks that each term has at most one leader and records the commit index and the role.
func (n *simNode) checkStatus() {
	if n.core == nil {
		return
	}
	st := n.core.Status()
	if st.Role == Leader {
		if other, ok := n.s.leaders[st.Term]; ok && other != n.id {
			n.s.failf("%s and %s lead in term %d", other, n.id, st.Term)
		}
		n.s.leaders[st.Term] = n.id
		if st.Commit > n.commit && !st.Degraded {
			n.s.lastDurable = max(n.s.lastDurable, st.Commit)
		}
	}
	if st.Role == Recovering && n.role != Recovering {
		n.s.counts["recoveries begun again"]++
	}
	n.commit, n.role = st.Commit, st.Role
}

// checkLease checks that at most one member may decide at a time.
func (s *sim) checkLease() {
	var deciding []string
	for _, n := range s.nodes {
		if n.core != nil && !n.paused && !n.clockStopped && n.core.Status().CanDecide {
			deciding = append(deciding, n.id)
		}
	}
	if len(deciding) > 1 {
		s.failf("%v may decide at the same time", deciding)
	}
}

// countRecovering counts the voters that have lost their state or will find none at their
// next start, and those that will learn of a later start.
func (s *sim) countRecovering() int {
	count := 0
	for _, n := range s.nodes {
		if !s.isVoterAnywhere(n.id) {
			continue
		}
		hs := n.stored.HardState
		stateLost := (n.core == nil || n.disk) && (hs.Incarnation == 0 || hs.Recovering)
		if stateLost || n.core != nil && n.core.role == Recovering || s.laterStartKnown(n) {
			count++
		}
	}
	return count
}

// laterStartKnown reports whether a member, or a message in transit, knows a later incarnation of n than
// its own.
func (s *sim) laterStartKnown(n *simNode) bool {
	own := n.stored.HardState.Incarnation
	if n.core != nil {
		own = n.core.incarnation
	}
	if own == 0 || !s.opt.clocksAhead {
		return false
	}
	later := func(k MemberIncarnation) bool { return k.ID == n.id && k.Incarnation > own }
	for _, o := range s.nodes {
		if o.core != nil && slices.ContainsFunc(o.core.incarnations.known, later) || slices.ContainsFunc(o.stored.HardState.KnownIncarnations, later) {
			return true
		}
	}
	return slices.ContainsFunc(s.inTransit, func(m simMessage) bool { return slices.ContainsFunc(m.m.KnownIncarnations, later) })
}

// isVoterAnywhere reports whether id is a voter in the membership of any live member.
func (s *sim) isVoterAnywhere(id string) bool {
	for _, n := range s.nodes {
		if n.core != nil && isVoter(n.core.members.current(), id) {
			return true
		}
	}
	return isVoter(s.initialMembers(), id)
}

// progressSteps is the number of steps in which a group must recover after the faults.
const progressSteps = 600

// checkProgress ends the faults and checks that the group elects a leader and commits.
func (s *sim) checkProgress() {
	before := s.counts["committed"]
	s.endFaults()
	s.run(progressSteps)
	if s.leader() == nil || s.counts["committed"] == before {
		s.failf("no leader or no commit after the faults:%s", s.describe())
	}
	s.checkLogs()
}

// describe returns the state of all members for a failure message.
func (s *sim) describe() string {
	out := ""
	for _, n := range s.nodes {
		if n.core == nil {
			out += fmt.Sprintf("\n%s down", n.id)
			continue
		}
		st := n.core.Status()
		out += fmt.Sprintf("\n%s disk=%t role=%d term=%d leader=%s commit=%d last=%d members=%v", n.id, n.disk, st.Role, st.Term, st.Leader, st.Commit, st.Last, st.Members)
	}
	return out
}

// checkLogs checks log matching: two logs with the same term at an index are equal up
// to that index.
func (s *sim) checkLogs() {
	for _, a := range s.nodes {
		for _, b := range s.nodes {
			if a.core == nil || b.core == nil {
				continue
			}
			same := false
			for i := min(a.core.log.last(), b.core.log.last()); i >= max(a.core.log.first(), b.core.log.first()); i-- {
				x, y := a.core.log.slice(i, i)[0], b.core.log.slice(i, i)[0]
				equal := x.Term == y.Term && string(x.Data) == string(y.Data)
				if same && !equal {
					s.failf("logs of %s and %s differ at index %d", a.id, b.id, i)
				}
				same = same || x.Term == y.Term
			}
		}
	}
}
