package replica

import (
	"testing"

	"github.com/shoenig/test/must"
)

// ack acknowledges everything that the leader c has, sent at tick.
func ackAll(t *testing.T, c *Core, from string, tick uint64) {
	stepFromPeer(t, c, Message{Type: MsgAppendReply, From: from, Term: c.term, Index: c.log.last(), Tick: tick, ReadRound: c.leaderState.reads.round})
}

// A leader whose last answered heartbeat is old goes on deciding while its
// followers elect another one. The lease counts from when the heartbeat was
// sent and ends at least two ticks, one for the phase of each clock, before a
// follower that got it at once may vote.
func TestLeaseEndsBeforeVotes(t *testing.T) {
	for _, age := range []uint64{0, 3} {
		c := leaderCore(t, "n0", "n1", "n2")
		sent := c.now
		for range age {
			c.Tick()
		}
		ackAll(t, c, "n1", sent)
		must.True(t, c.Status().CanDecide)
		for c.Status().CanDecide {
			c.Tick()
		}
		must.LessEq(t, defaultElectionTicks-2, int(c.now-sent))
		must.Greater(t, defaultElectionTicks/2, int(c.now-sent))
	}
}

// A member answers a heartbeat, restarts at once and is asked for a vote. The
// leader's lease still counts on it, so it refuses for a whole timeout.
func TestRestartedMemberRefusesVotes(t *testing.T) {
	list := []Member{{ID: "n0", HasDisk: true}, {ID: "n1"}, {ID: "n2"}}
	c, err := New(Config{ID: "n0", Incarnation: 1, HasDisk: true, Members: list}, StoredState{HardState: HardState{Term: 3, Incarnation: 1}})
	must.NoError(t, err)
	vote := Message{Type: MsgVote, From: "n1", Term: 4}
	stepFromPeer(t, c, vote)
	must.Eq(t, "", c.vote)
	for range defaultElectionTicks {
		c.Tick()
	}
	stepFromPeer(t, c, vote)
	must.Eq(t, "n1", c.vote)
}

// A read is answered from a leader that was deposed without knowing it, and
// misses what its successor did. It waits for answers sent after it began.
func TestReadWaitsForQuorum(t *testing.T) {
	c := leaderCore(t, "n0", "n1", "n2")
	ackAll(t, c, "n1", c.now)
	must.NoError(t, c.ReadIndex(77))
	r := c.Ready()
	must.SliceEmpty(t, r.Reads)
	c.Advance(r)
	stepFromPeer(t, c, Message{Type: MsgAppendReply, From: "n1", Term: 4, Index: 3, Tick: c.now})
	must.SliceEmpty(t, c.reads)
	ackAll(t, c, "n1", c.now)
	must.Eq(t, []ReadState{{Token: 77, Index: 3}}, c.reads)
}

// The leader sends before it has synced. Its disk must not count before that,
// or a loss of power could take a committed entry from all disks.
func TestLeaderAckWaitsForSync(t *testing.T) {
	c := leaderCore(t, "n0", "n1", "n2")
	ackAll(t, c, "n1", c.now)
	_, _, err := c.Propose([]byte("x"), []byte("y"))
	must.NoError(t, err)
	r := c.Ready()
	must.Len(t, 2, r.Entries)
	for _, m := range r.Messages {
		must.True(t, m.BeforeSync())
	}
	ackAll(t, c, "n1", c.now)
	must.Eq(t, 3, c.commit)
	c.Advance(r)
	must.Eq(t, 5, c.commit)
}

// A blank member answers that it holds the log, but not yet all that it may
// have acknowledged before. It must not complete a quorum.
func TestRecoveringAckIsNotCounted(t *testing.T) {
	c := leaderCore(t, "n0", "n1", "n2")
	m := Message{Type: MsgAppendReply, From: "n1", Term: 4, Index: 3, Tick: c.now, Recovering: true}
	stepFromPeer(t, c, m)
	must.Eq(t, 0, c.commit)
	must.False(t, c.Status().CanDecide)
	must.ErrorIs(t, c.Transfer("n1"), ErrNotLeader)
	m.Recovering = false
	stepFromPeer(t, c, m)
	must.Eq(t, 3, c.commit)
}

// blank returns n0 of a group of five after a blank restart.
func coreWithoutState(t *testing.T) *Core {
	var list []Member
	for _, id := range []string{"n0", "n1", "n2", "n3", "n4"} {
		list = append(list, Member{ID: id})
	}
	c, err := New(Config{ID: "n0", Incarnation: 9, Members: list}, StoredState{})
	must.NoError(t, err)
	must.Eq(t, Recovering, c.role)
	return c
}

// A blank member asks around while an old leader, cut off, still answers. It
// voted for the new leader before it died. Led by the old one alone it would
// help it to commit what the new one doesn't have. It needs a majority, and the
// leader of the highest term that this majority has heard of; the vote of that
// term counts as spent.
func TestRecoveryNeedsMajorityAndLatestLeader(t *testing.T) {
	c := coreWithoutState(t)
	members := c.members.current()
	replyState := func(from string, term uint64, leader, recovering bool) {
		m := Message{Type: MsgStateReply, From: from, Term: term, Nonce: 9, Index: 2, LogTerm: 3, Leader: leader, Recovering: recovering}
		if leader {
			m.Members = members
		}
		stepFromPeer(t, c, m)
	}
	entries := []Entry{{Index: 1, Term: 3}, {Index: 2, Term: 3}}
	appendFrom := func(from string, term uint64, n int) {
		stepFromPeer(t, c, Message{Type: MsgAppend, From: from, Term: term, Entries: entries[:n]})
	}
	replyState("n1", 3, true, false)
	appendFrom("n1", 3, 2)
	replyState("n2", 3, false, true) // itself recovering
	must.Eq(t, Recovering, c.role)
	replyState("n2", 4, false, false) // has heard of a later leader
	replyState("n3", 3, false, false)
	must.Eq(t, Recovering, c.role)
	replyState("n4", 4, true, false)
	must.Eq(t, 4, c.term)
	must.Eq(t, "n4", c.vote)
	appendFrom("n4", 4, 1) // not yet up to the leader's last entry
	must.Eq(t, Recovering, c.role)
	appendFrom("n4", 4, 2)
	must.Eq(t, Follower, c.role)
	stepFromPeer(t, c, Message{Type: MsgVote, From: "n3", Term: 4, Index: 9, LogTerm: 9, Force: true})
	must.Eq(t, "n4", c.vote)
	must.True(t, c.incarnations.participated("n0"))
}

// After a loss of power n0 has the disk. It must not lead with a part of the
// voters: the missing one may have data that nobody else has, or lead. Nor may
// it lead when the last vote brings the news that two disks were lost.
func TestColdStartNeedsEveryVoter(t *testing.T) {
	for participated, role := range map[bool]Role{false: Leader, true: Candidate} {
		c := coldStartCandidate(t)
		grant := Message{Type: MsgVoteReply, From: "n1", Term: 6, ColdStart: true, Recovering: true}
		stepFromPeer(t, c, grant)
		must.Eq(t, Candidate, c.role)
		grant.From = "n2"
		stepFromPeer(t, c, grant, MemberIncarnation{ID: "n1", Incarnation: 1, Participated: participated}, MemberIncarnation{ID: "n2", Incarnation: 1, Participated: participated})
		must.Eq(t, role, c.role)
	}
}

// coldStartCandidate returns n0 of three disk members, asking for a cold start.
func coldStartCandidate(t *testing.T) *Core {
	c := candidateCore(t, "n0", "n1", "n2")
	for _, id := range []string{"n1", "n2"} {
		stepFromPeer(t, c, Message{Type: MsgStateReply, From: id, Term: 5, Nonce: 1, Recovering: true})
	}
	must.Eq(t, coldStarting, c.campaign.kind)
	must.Eq(t, 6, c.term)
	return c
}

// A wall clock that went back numbers a new start below the old one. The
// member takes a later number when it hears of the old one; a member that runs
// twice stops.
func TestIncarnationBelowKnownOne(t *testing.T) {
	c := coreWithoutState(t)
	stepFromPeer(t, c, Message{Type: MsgAppend, From: "n1", Term: 3}, MemberIncarnation{ID: "n0", Incarnation: 20})
	must.Eq(t, 21, c.incarnation)
	d := candidateCore(t, "n0", "n1", "n2")
	must.Panic(t, func() {
		stepFromPeer(t, d, Message{Type: MsgAppend, From: "n1", Term: 9}, MemberIncarnation{ID: "n0", Incarnation: 20})
	})
}

// A disk learner may have been promoted by an entry that n0 lacks, and hold
// what was committed since. n0 waits for its answer and doesn't lead while it
// is behind.
func TestColdStartWaitsForDiskLearner(t *testing.T) {
	for index, kind := range map[uint64]campaignKind{2: coldStarting, 3: preVoting} {
		c := candidateCore(t, "n0", "n1", "n2")
		learner := Member{ID: "n3", HasDisk: true, Learner: true}
		c.members.push(2, append(withoutMember(c.members.current(), ""), learner))
		for _, id := range []string{"n1", "n2"} {
			stepFromPeer(t, c, Message{Type: MsgStateReply, From: id, Term: 5, Nonce: 1, Recovering: true})
		}
		must.Eq(t, preVoting, c.campaign.kind)
		stepFromPeer(t, c, Message{Type: MsgStateReply, From: "n3", Term: 5, Nonce: 1, Index: index, LogTerm: 2})
		must.Eq(t, kind, c.campaign.kind)
	}
}

// What a user sees: a busy leader is replaced again and again, and nothing is served.
// Order: a leader's signs of life come late, time after time, but come; a member
// stands for election in each gap.
// Cause: how long it waits didn't follow from what it had seen.
func TestElectionTimeoutFollowsHeartbeatGaps(t *testing.T) {
	c := followerCore(t)
	must.Eq(t, defaultElectionTicks, c.minElectionTimeout())
	contactAfter := func(gap int) {
		for range gap {
			c.Tick()
		}
		stepFromPeer(t, c, Message{Type: MsgAppend, From: "n1", Term: c.term, Commit: c.commit})
	}
	contactAfter(1)
	must.Eq(t, defaultElectionTicks, c.minElectionTimeout(), must.Sprint("short gaps change nothing"))
	contactAfter(defaultElectionTicks - 2)
	must.Eq(t, gapFactor*(defaultElectionTicks-2)+1, c.minElectionTimeout())
	must.Eq(t, defaultElectionTicks, c.cfg.ElectionTicks, must.Sprint("the lease and the refusal of votes stay"))
	for range 2 * gapWindowTicks {
		contactAfter(1)
	}
	must.Eq(t, defaultElectionTicks, c.minElectionTimeout(), must.Sprint("forgotten after a while"))
}

// followerCore is a member that has heard the leader n1.
func followerCore(t *testing.T) *Core {
	list := []Member{{ID: "n0", HasDisk: true}, {ID: "n1"}, {ID: "n2"}}
	c, err := New(Config{ID: "n0", Incarnation: 1, HasDisk: true, Members: list}, StoredState{HardState: HardState{Term: 3, Incarnation: 1}})
	must.NoError(t, err)
	stepFromPeer(t, c, Message{Type: MsgAppend, From: "n1", Term: 3})
	must.Eq(t, "n1", c.leader)
	return c
}
