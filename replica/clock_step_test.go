package replica

import (
	"testing"

	"github.com/shoenig/test/must"
)

// maxRecoverySteps is the number of steps within which a member without state recovers.
const maxRecoverySteps = 1000

// restartUnder restarts a member without state under an incarnation.
func (n *simNode) restartUnder(incarnation uint64) {
	n.crash(true)
	n.fixedIncarnation = incarnation
	n.restartStep = n.s.step + 1
}

// awaitFollower runs until a member follows the leader.
func (s *sim) awaitFollower(t *testing.T, n *simNode) {
	t.Helper()
	for range maxRecoverySteps {
		s.run(1)
		if n.core != nil && roleOf(n) == Follower {
			break
		}
	}
	must.SliceEmpty(t, s.violations)
	must.Eq(t, Follower, roleOf(n), must.Sprint(s.describe()))
}

// Guards against a member that isn't heard again: it starts without state after its wall clock
// was set back, and all others drop its messages as those of an earlier incarnation.
func TestMemberRecoversAfterItsClockWentBack(t *testing.T) {
	for _, disks := range []int{0, 1, 3} {
		s := newSimWithLeader(t, simOptions{voters: 3, disks: disks})
		n := s.liveFollower(s.leader())
		// The first restart makes the incarnation the latest of all.
		n.restartUnder(0)
		s.run(1)
		s.awaitFollower(t, n)
		n.restartUnder(1)
		s.run(1)
		s.awaitFollower(t, n)
	}
}

// Guards against a group that never cold starts because the members that lost their state aren't
// heard again.
func TestGroupColdStartsAfterClocksWentBack(t *testing.T) {
	s := newSimWithLeader(t, simOptions{voters: 3, disks: 1})
	for i, n := range s.nodes[1:] {
		n.restartUnder(uint64(i + 1))
	}
	for s.leader() != nil {
		s.run(1)
	}
	s.waitForLeader(t)
}

// Guards against a delayed vote or acknowledgement of one start that counts as that of the next,
// since both took the same incarnation after they had learned of the same earlier one.
func TestStartsTakeDifferentIncarnations(t *testing.T) {
	const known = 20
	taken := map[uint64]bool{}
	for start := uint64(1); start < known; start++ {
		c, err := New(Config{ID: "n0", Incarnation: start, Members: []Member{{ID: "n0"}, {ID: "n1"}, {ID: "n2"}}}, StoredState{})
		must.NoError(t, err)
		stepFromPeer(t, c, Message{Type: MsgAppend, From: "n1", Term: 3}, MemberIncarnation{ID: "n0", Incarnation: known})
		must.Greater(t, known, c.incarnation)
		must.False(t, taken[c.incarnation], must.Sprint(c.incarnation))
		taken[c.incarnation] = true
	}
}

// Guards against incarnations, and terms that follow from them, that run ahead of the clock: after
// one start with the clock unset, each start with the right clock is raised further.
func TestRaisedIncarnationsStayNearTheClock(t *testing.T) {
	const (
		startInterval = 10_000 // milliseconds
		starts        = 100
	)
	clock := uint64(1 << 40)
	known := clock
	for i := range uint64(starts) {
		incarnation := clock + i*startInterval
		if i == 0 {
			incarnation = 1
		}
		c, err := New(Config{ID: "n0", Incarnation: incarnation, Members: []Member{{ID: "n0"}, {ID: "n1"}, {ID: "n2"}}}, StoredState{})
		must.NoError(t, err)
		stepFromPeer(t, c, Message{Type: MsgAppend, From: "n1", Term: 3}, MemberIncarnation{ID: "n0", Incarnation: known})
		must.Greater(t, known, c.incarnation)
		known = c.incarnation
		must.LessEq(t, clock+i*startInterval+4*maxIncarnationSkip, known)
	}
}

// laterThanAll is an incarnation that no start with the right clock reaches in a simulation.
const laterThanAll = 1 << 20

// Guards against a member that panics, with a disk at each start: one voter alone knows a later
// incarnation, from a start whose clock was ahead and whose state is lost.
func TestMemberSurvivesLaterIncarnationThatFewKnow(t *testing.T) {
	for _, disks := range []int{0, 5} {
		s := newSimWithLeader(t, simOptions{voters: 5, disks: disks})
		s.ensureLeader(t, "n0")
		witness, restarted := s.nodes[3], s.nodes[4]
		for _, o := range s.nodes[:3] {
			s.blockedLinks[[2]string{restarted.id, o.id}] = true
			s.blockedLinks[[2]string{witness.id, o.id}] = true
		}
		restarted.restartUnder(100 * laterThanAll)
		s.run(20)
		must.Eq(t, 100*laterThanAll, witness.core.incarnations.of(restarted.id))
		must.Less(t, laterThanAll, s.nodes[0].core.incarnations.of(restarted.id))

		s.inTransit = nil
		clear(s.blockedLinks)
		s.isolate(witness)
		restarted.restartUnder(0)
		s.run(1)
		s.awaitFollower(t, restarted)

		clear(s.blockedLinks)
		s.run(maxRecoverySteps)
		s.awaitFollower(t, restarted)
	}
}

// knowsLaterStart makes one member know a later incarnation of another, from a start whose messages
// reached nobody else and whose state is lost.
func (s *sim) knowsLaterStart(of, knower *simNode) {
	knower.core.incarnations.merge(MemberIncarnation{ID: of.id, Incarnation: laterThanAll})
}

// Guards against a learner that ends, or doesn't follow any more, once a voter tells it of a later
// incarnation.
func TestLearnerSurvivesLaterIncarnation(t *testing.T) {
	s := newSimWithLeader(t, simOptions{voters: 3, disks: 4, spares: 1})
	s.ensureLeader(t, "n0")
	learner := s.nodes[3]
	_, _, err := s.nodes[0].core.ProposeMembership(append(withoutMember(s.nodes[0].core.members.current(), ""), Member{ID: learner.id, HasDisk: true, Learner: true}))
	must.NoError(t, err)
	s.waitForLeader(t)
	s.awaitFollower(t, learner)
	s.knowsLaterStart(learner, s.nodes[1])
	s.run(replicationSteps)
	must.Less(t, learner.core.incarnation, laterThanAll)
	s.awaitFollower(t, learner)
}

// Guards against a leader that ends, or leads on, once a voter tells it of a later incarnation.
func TestLeaderSurvivesLaterIncarnation(t *testing.T) {
	for _, disks := range []int{0, 3} {
		s := newSimWithLeader(t, simOptions{voters: 3, disks: disks})
		former := s.leader()
		last := s.lastApplied
		s.knowsLaterStart(former, s.liveFollower(former))
		s.run(replicationSteps)
		must.Less(t, former.core.incarnation, laterThanAll)
		s.waitForLeader(t)
		s.awaitFollower(t, former)
		must.Greater(t, last, s.lastApplied)
	}
}

// Guards against an only voter that ends, or waits for others forever, once a learner tells it of a
// later incarnation.
func TestOnlyVoterSurvivesLaterIncarnation(t *testing.T) {
	s := newSimWithLeader(t, simOptions{voters: 1, disks: 2, spares: 1})
	voter, learner := s.nodes[0], s.nodes[1]
	_, _, err := voter.core.ProposeMembership(append(withoutMember(voter.core.members.current(), ""), Member{ID: learner.id, HasDisk: true, Learner: true}))
	must.NoError(t, err)
	s.waitForLeader(t)
	s.awaitFollower(t, learner)
	s.knowsLaterStart(voter, learner)
	last := s.lastApplied
	s.run(replicationSteps)
	must.Less(t, voter.core.incarnation, laterThanAll)
	must.Eq(t, voter.id, s.waitForLeader(t).id)
	must.Greater(t, last, s.lastApplied)
}

// Guards against a member that ends once it is added again: while it was removed, another process ran
// under its ID.
func TestMemberThatIsAddedAgainSurvivesLaterIncarnation(t *testing.T) {
	s := newSimWithLeader(t, simOptions{voters: 4, disks: 4})
	s.ensureLeader(t, "n0")
	l, n := s.nodes[0], s.nodes[3]
	others := withoutMember(l.core.members.current(), n.id)
	s.isolate(n)
	_, _, err := l.core.ProposeMembership(others)
	must.NoError(t, err)
	s.waitForLeader(t)
	s.knowsLaterStart(n, l)
	clear(s.blockedLinks)
	s.run(replicationSteps)
	_, _, err = l.core.ProposeMembership(append(others, Member{ID: n.id, HasDisk: true, Learner: true}))
	must.NoError(t, err)
	s.run(maxRecoverySteps)
	s.awaitFollower(t, n)
	must.Less(t, n.core.incarnation, laterThanAll)
	must.Eq(t, Leader, roleOf(l))
}

// Guards against a member that ends at each start, or a vote that counts twice: a new machine takes
// over the address of a partitioned member, which comes back with its state.
func TestMemberWhoseAddressWasTakenOverComesBack(t *testing.T) {
	s := newSimWithLeader(t, simOptions{voters: 3, disks: 3})
	s.ensureLeader(t, "n0")
	n := s.nodes[2]
	stored := n.stored
	n.restartUnder(0)
	s.run(1)
	s.awaitFollower(t, n)
	s.run(replicationSteps)
	n.crash(true)
	n.stored = stored
	n.restartStep = s.step + 1
	s.run(1)
	s.run(maxRecoverySteps)
	s.awaitFollower(t, n)
	must.Greater(t, stored.HardState.Incarnation, n.core.incarnation)
	must.Eq(t, n.core.incarnation, s.leader().core.incarnations.of(n.id))
}

// Guards against a member that ends at each start: it was recovering when it stopped, and its snapshot
// names a later incarnation of it.
func TestStoredSnapshotNamesLaterIncarnation(t *testing.T) {
	const stored, later = 5, 20
	members := []Member{{ID: "n0", HasDisk: true, Incarnation: later}, {ID: "n1"}, {ID: "n2"}}
	for _, recovering := range []bool{true, false} {
		c, err := New(Config{ID: "n0", Incarnation: 7, HasDisk: true}, StoredState{
			HardState: HardState{Term: 3, Incarnation: stored, Recovering: recovering},
			Snapshot:  Snapshot{Index: 4, Term: 3, Members: members},
		})
		must.NoError(t, err)
		must.Eq(t, Recovering, c.role)
		must.Greater(t, later, c.incarnation)
		must.Eq(t, c.incarnation, c.Ready().HardState.Incarnation)
	}
}
