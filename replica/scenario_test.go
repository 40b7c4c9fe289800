package replica

import (
	"testing"

	"github.com/shoenig/test/must"
)

const (
	scenarioSeed = 7
	// maxElectionSteps bounds the wait for a leader, and replicationSteps is the time
	// that proposed entries need to reach all members. Both are in steps.
	maxElectionSteps = 400
	replicationSteps = 30
	// noRestartSteps is a downtime in steps that is longer than any scenario.
	noRestartSteps = 100000
)

// newSimWithLeader returns a group without random faults that has a leader.
func newSimWithLeader(t *testing.T, opt simOptions) *sim {
	s := newSim(scenarioSeed, opt)
	s.waitForLeader(t)
	return s
}

// waitForLeader runs until a member may decide and the entries proposed so far have
// had time to replicate. It returns that leader.
func (s *sim) waitForLeader(t *testing.T) *simNode {
	t.Helper()
	for range maxElectionSteps {
		s.run(1)
		if s.leader() != nil {
			s.run(replicationSteps)
			break
		}
	}
	must.SliceEmpty(t, s.violations)
	l := s.leader()
	must.NotNil(t, l, must.Sprint(s.describe()))
	return l
}

// isolate partitions a member from all others.
func (s *sim) isolate(n *simNode) {
	for _, o := range s.nodes {
		s.blockedLinks[[2]string{n.id, o.id}] = true
		s.blockedLinks[[2]string{o.id, n.id}] = true
	}
}

// liveFollower returns a live member other than the leader l.
func (s *sim) liveFollower(l *simNode) *simNode {
	for _, n := range s.nodes {
		if n != l && n.core != nil {
			return n
		}
	}
	return nil
}

// A member returns from a long partition. If it had raised its term at each election
// timeout, its return would depose the working leader, and no call would be served for a
// while each time a network fault ends.
func TestLongPartitionDoesNotRaiseTerm(t *testing.T) {
	for _, oneWay := range []bool{false, true} {
		s := newSimWithLeader(t, simOptions{voters: 3, disks: 1})
		l := s.leader()
		term := l.core.term
		n := s.liveFollower(l)
		s.isolate(n)
		if oneWay {
			for _, o := range s.nodes {
				delete(s.blockedLinks, [2]string{n.id, o.id})
			}
		}
		s.run(2000)
		clear(s.blockedLinks)
		s.run(100)
		must.SliceEmpty(t, s.violations)
		must.Eq(t, term, l.core.term)
		must.True(t, l.core.Status().CanDecide)
		must.Eq(t, l.core.commit, max(l.core.commit, n.core.commit))
	}
}

// A partitioned leader still receives calls from its clients. It must stop deciding
// before another leader decides. Otherwise both leaders could assign the same work to
// different clients. The simulation checks at every step that at most one member decides.
func TestPartitionedLeaderStopsDecidingFirst(t *testing.T) {
	s := newSimWithLeader(t, simOptions{voters: 5})
	for range 10 {
		l := s.leader()
		s.isolate(l)
		s.run(3)
		must.True(t, l.core.Status().CanDecide)
		s.run(100)
		must.False(t, l.core.Status().CanDecide)
		_, _, err := l.core.Propose([]byte("late"))
		must.ErrorIs(t, err, ErrNotLeader)
		must.ErrorIs(t, l.core.ReadIndex(1), ErrNotLeader)
		must.NotNil(t, s.leader())
		clear(s.blockedLinks)
		s.waitForLeader(t)
	}
}

// Of three diskless members one is partitioned while the other two commit. Then the leader
// is partitioned, and the remaining member restarts without state and reaches the first
// partitioned member again. If the restarted member voted immediately, these two would
// elect a leader that lacks the committed entries, and acknowledged commands would be lost.
func TestMemberWithoutStateDoesNotVoteBeforeRecovery(t *testing.T) {
	s := newSimWithLeader(t, simOptions{voters: 3})
	l := s.leader()
	partitioned := s.liveFollower(l)
	s.isolate(partitioned)
	s.run(200)
	s.isolate(l)
	for _, n := range s.nodes {
		if n != l && n != partitioned {
			n.crash(false)
			delete(s.blockedLinks, [2]string{n.id, partitioned.id})
			delete(s.blockedLinks, [2]string{partitioned.id, n.id})
		}
	}
	s.run(500)
	must.SliceEmpty(t, s.violations)
	must.Nil(t, s.leader())
	clear(s.blockedLinks)
	s.waitForLeader(t)
	must.Eq(t, s.lastApplied, s.leader().core.applied)
}

// A loss of power stops all members. They restart one after the other, and the
// diskless ones have lost their state. The group must resume without an operator and
// keep every committed entry that is on a disk.
func TestColdStartAfterPowerLoss(t *testing.T) {
	for _, opt := range []simOptions{{voters: 3, disks: 1}, {voters: 5, disks: 2}, {voters: 2, disks: 1}, {voters: 1, disks: 1}} {
		s := newSimWithLeader(t, opt)
		s.run(300)
		durable := s.lastDurable
		must.Greater(t, 20, durable)
		s.losePower()
		l := s.waitForLeader(t)
		must.GreaterEq(t, durable, l.core.commit)
	}
}

// The only disk member is down during a loss of power and returns after the others.
// If the others started without it, the entries on its disk would be lost.
func TestNoColdStartWithoutDiskMember(t *testing.T) {
	s := newSimWithLeader(t, simOptions{voters: 3, disks: 1})
	s.losePower()
	s.nodes[0].restartStep = s.step + 1000
	s.run(900)
	must.Nil(t, s.leader())
	must.Eq(t, 0, s.nodes[1].core.term) // waiting must not raise the term
	s.run(100)
	s.waitForLeader(t)
	must.SliceEmpty(t, s.violations)
}

// All members lose power, and one of two disks is lost as well. The other disk may lack
// entries that only the lost disk had synced, so the group must not start until an operator
// forces it.
func TestForceStartAfterLostDisk(t *testing.T) {
	s := newSimWithLeader(t, simOptions{voters: 3, disks: 2})
	s.losePower()
	s.nodes[0].stored = StoredState{}
	s.run(800)
	must.Nil(t, s.leader())
	must.ErrorIs(t, s.nodes[2].core.ForceStart(), ErrForceStart)
	must.NoError(t, s.nodes[1].core.ForceStart())
	clear(s.stateHashes)
	l := s.waitForLeader(t)
	must.Eq(t, s.nodes[1], l)
	must.Len(t, 1, voters(l.core.members.current()))
	must.Eq(t, roleOf(s.nodes[2]), Follower)
}

// roleOf returns the role of a live member.
func roleOf(n *simNode) Role { return n.core.Status().Role }

// While the disk member is responsive, no entry may be reported as committed that isn't on
// a disk, or a loss of power could remove an entry whose result a caller has received. When the
// disk member is lost, the others must continue and report Degraded.
func TestCommitWaitsForDiskVoter(t *testing.T) {
	s := newSimWithLeader(t, simOptions{voters: 3, disks: 1})
	l := s.leader()
	disk := s.nodes[0]
	for l == disk {
		must.NoError(t, l.core.Transfer("n1"))
		l = s.waitForLeader(t)
	}
	must.False(t, l.core.Status().Degraded)
	// The disk member's replies are delayed for less than an election timeout.
	s.intercept = func(m Message) bool { return m.From == disk.id && m.Type == MsgAppendReply }
	onDisk := disk.core.log.last()
	s.run(defaultElectionTicks - 4)
	must.Greater(t, onDisk, l.core.log.last())
	must.LessEq(t, onDisk, l.core.commit)
	s.isolate(disk)
	s.run(100)
	must.True(t, l.core.Status().Degraded)
	must.Greater(t, onDisk, l.core.commit)
	s.intercept = nil
	clear(s.blockedLinks)
	s.waitForLeader(t)
	must.False(t, l.core.Status().Degraded)
	must.SliceEmpty(t, s.violations)
}

// The leader and the witness commit entries, then the leader fails. The remaining
// member lacks the last entries and the witness never leads. Unless the member
// fetches the witness's log, the group has no leader although a majority is alive.
func TestCandidateFetchesLogFromWitness(t *testing.T) {
	s := newSimWithLeader(t, simOptions{voters: 3, disks: 3, witness: true})
	l := s.leader()
	lagging := s.nodes[0]
	if l == lagging {
		lagging = s.nodes[1]
	}
	s.isolate(lagging)
	s.run(200)
	l.crash(false)
	l.restartStep = s.step + noRestartSteps
	clear(s.blockedLinks)
	must.Eq(t, lagging, s.waitForLeader(t))
	must.Eq(t, s.lastApplied, lagging.core.applied)
}

// A failed member is replaced by changes of one member each, and the leader fails right
// after the last change. The group must continue without a lost entry. Changes that aren't
// safe must be refused, each with its own error.
func TestLostMemberIsReplacedWithoutLosingEntries(t *testing.T) {
	s := newSimWithLeader(t, simOptions{voters: 3, disks: 1, spares: 1})
	l := s.leader()
	failedMember := s.liveFollower(l)
	s.run(800) // hundreds of entries, compacted: the new member needs the snapshot
	failedMember.crash(true)
	failedMember.restartStep = s.step + noRestartSteps
	s.run(50)
	spare := Member{ID: "n3", Learner: true}
	members := l.core.members.current()
	propose := func(next []Member) error {
		_, _, err := l.core.ProposeMembership(next)
		s.run(60)
		return err
	}
	must.ErrorIs(t, propose(withoutMember(members, l.id)), ErrRemovesLeader)
	for _, m := range members {
		if m.ID != l.id && m.ID != failedMember.id {
			must.ErrorIs(t, propose(withoutMember(members, m.ID)), ErrLosesQuorum)
		}
	}
	must.ErrorIs(t, propose(append(withoutMember(members, failedMember.id), spare)), ErrChangeTooLarge)
	must.ErrorIs(t, propose(members), ErrNoChange)
	direct := spare
	direct.Learner = false
	must.ErrorIs(t, propose(append(withoutMember(members, ""), direct)), ErrNotCaughtUp)
	must.NoError(t, propose(append(withoutMember(members, ""), spare)))
	spare.Learner = false
	members = append(withoutMember(members, ""), spare)
	_, _, err := l.core.ProposeMembership(members)
	must.NoError(t, err)
	must.ErrorIs(t, propose(withoutMember(members, failedMember.id)), ErrChangePending)
	must.NoError(t, propose(withoutMember(members, failedMember.id)))
	must.SliceEmpty(t, s.violations)
	l.crash(false)
	l.restartStep = s.step + 30
	s.waitForLeader(t)
	must.Eq(t, s.lastApplied, s.leader().core.applied)
}

// withoutMember returns a copy of members without the member id.
func withoutMember(members []Member, id string) []Member {
	var out []Member
	for _, m := range members {
		if m.ID != id {
			out = append(out, m)
		}
	}
	return out
}

// A leadership transfer must not wait for an election timeout, and the old leader
// must decide nothing once it has told the new one to campaign.
func TestTransferNeedsNoElectionTimeout(t *testing.T) {
	s := newSimWithLeader(t, simOptions{voters: 3, witness: true})
	l := s.leader()
	must.ErrorIs(t, l.core.Transfer("n2"), ErrBadTransferee)
	to := s.liveFollower(l)
	must.NoError(t, l.core.Transfer(to.id))
	_, _, err := l.core.Propose([]byte("x"))
	must.ErrorIs(t, err, ErrTransferring)
	s.run(9) // less than an election timeout
	must.Eq(t, to.id, s.leader().id)
	must.SliceEmpty(t, s.violations)
}

// The message that tells the new leader of a transfer to campaign is delayed beyond the
// transfer's timeout. The old leader must not decide in its term again, because the
// message may still arrive.
func TestLeaderDoesNotResumeAfterTransferTimeout(t *testing.T) {
	s := newSimWithLeader(t, simOptions{voters: 3})
	l := s.leader()
	term := l.core.term
	s.intercept = func(m Message) bool { return m.Type == MsgTimeoutNow }
	must.NoError(t, l.core.Transfer(s.liveFollower(l).id))
	sent := false
	for range 60 {
		s.run(1)
		sent = sent || len(s.intercepted) > 0
		must.False(t, sent && l.core.term == term && l.core.Status().CanDecide)
	}
	s.intercept = nil
	s.waitForLeader(t)
	s.inTransit = append(s.inTransit, simMessage{s.intercepted[0], s.step})
	l = s.waitForLeader(t)
	must.Greater(t, term, l.core.term)
	must.SliceEmpty(t, s.violations)
}

// Guards against this failure: a leader that has given up its leadership decides in the same term again, and
// what it orders can't be told from what it ordered before; or the group gets no leader any more.
func TestLeaderThatStepsDownLeadsOnlyInLaterTerm(t *testing.T) {
	for _, opt := range []simOptions{{voters: 3}, {voters: 3, witness: true}, {voters: 1, disks: 1}} {
		s := newSimWithLeader(t, opt)
		l := s.leader()
		term := l.core.term
		l.core.StepDown(term - 1)
		must.True(t, l.core.Status().CanDecide, must.Sprint("the leadership of another term was given up"))
		l.core.StepDown(term)
		must.Eq(t, Follower, roleOf(l))
		_, _, err := l.core.Propose([]byte("x"))
		must.ErrorIs(t, err, ErrNotLeader)
		for range maxElectionSteps {
			s.run(1)
			must.False(t, l.core.term == term && roleOf(l) == Leader)
		}
		must.Greater(t, term, s.waitForLeader(t).core.term)
	}
}

// Guards against this failure: acknowledgements that are under way when a leader steps down, or a repeated
// step-down, disturb the next term.
func TestLateRepliesAfterStepDownChangeNothing(t *testing.T) {
	c := leaderCore(t, "n0", "n1", "n2")
	ackAll(t, c, "n1", c.now)
	must.True(t, c.Status().CanDecide)
	term := c.term
	c.StepDown(term)
	c.StepDown(term)
	ackAll(t, c, "n1", c.now)
	ackAll(t, c, "n2", c.now)
	must.Eq(t, Follower, c.Status().Role)
	must.Eq(t, term, c.term)
	must.False(t, c.Status().CanDecide)
	must.ErrorIs(t, c.ReadIndex(1), ErrNotLeader)
	must.Eq(t, 0, c.heartbeatGaps.widest, must.Sprint("a deliberate step-down counts as a late leader"))
}

// The first leader of a new group is partitioned before any other member receives an
// append from it, so the others haven't taken part yet. When the partition ends, the
// group must start without an operator.
func TestFirstLeaderPartitionedBeforeFirstAppend(t *testing.T) {
	for _, opt := range []simOptions{{voters: 3}, {voters: 5, disks: 2}} {
		s := newSim(scenarioSeed, opt)
		s.intercept = func(m Message) bool { return m.Type == MsgAppend }
		s.run(300)
		must.SliceEmpty(t, s.violations)
		must.MapNotEmpty(t, s.leaders)
		must.Nil(t, s.leader())
		s.intercept = nil
		s.waitForLeader(t)
	}
}
