package replica

import (
	"testing"

	"github.com/shoenig/test/must"
)

// ackAll acknowledges all entries of the leader c in reply to a message sent at tick.
func ackAll(t *testing.T, c *Core, from string, tick uint64) {
	stepFromPeer(t, c, Message{Type: MsgAppendReply, From: from, Term: c.term, Index: c.log.last(), Tick: tick, ReadRound: c.leaderState.reads.round})
}

// A leader must not decide any more once its followers may elect another one. The lease
// starts when the last heartbeat that a majority replied to was sent. It ends at least
// two ticks, one for the position of each clock within a tick, before a follower that
// received that heartbeat immediately may vote.
func TestLeaseExpiresBeforeFollowersMayVote(t *testing.T) {
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

// A member replies to a heartbeat, restarts immediately and receives a vote request.
// Because of that reply the leader's lease is still valid, so the member must refuse its
// vote for a whole election timeout after the start.
func TestRestartedMemberRefusesVotes(t *testing.T) {
	members := []Member{{ID: "n0", HasDisk: true}, {ID: "n1"}, {ID: "n2"}}
	c, err := New(Config{ID: "n0", Incarnation: 1, HasDisk: true, Members: members}, StoredState{HardState: HardState{Term: 3, Incarnation: 1}})
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

// A leader that was deposed without noticing must not confirm a read, since it lacks the
// writes of the next leader. A read must wait for replies to messages that were sent after
// the read arrived.
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

// The leader sends entries before it has synced them. Its own acknowledgement must
// not count before the sync, or a loss of power could remove a committed entry from
// all disks.
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

// A recovering member reports that it holds the log, but doesn't yet hold everything
// that it may have acknowledged before. It must not complete a quorum.
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

// coreWithoutState returns n0 of a group of five after a restart without stored state.
func coreWithoutState(t *testing.T) *Core {
	var members []Member
	for _, id := range []string{"n0", "n1", "n2", "n3", "n4"} {
		members = append(members, Member{ID: id})
	}
	c, err := New(Config{ID: "n0", Incarnation: 9, Members: members}, StoredState{})
	must.NoError(t, err)
	must.Eq(t, Recovering, c.role)
	return c
}

// A member without state requests the state of the others while a partitioned old
// leader still replies. Before the restart the member had voted for a new leader. If it
// now followed the old leader alone, it would help the old leader to commit entries that
// the new one lacks. It must wait for the replies of a majority and of the leader of the
// highest term that this majority reports, and its vote of that term counts as given.
func TestRecoveryNeedsMajorityAndLatestLeader(t *testing.T) {
	c := coreWithoutState(t)
	members := c.members.current()
	replyState := func(from string, term uint64, leader, recovering bool) {
		m := Message{Type: MsgStateReply, From: from, Term: term, Nonce: 9, Index: 2, LogTerm: 3, IsLeader: leader, Recovering: recovering}
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
	replyState("n2", 4, false, false) // knows the term of a later leader
	replyState("n3", 3, false, false)
	must.Eq(t, Recovering, c.role)
	replyState("n4", 4, true, false)
	must.Eq(t, 4, c.term)
	must.Eq(t, "n4", c.vote)
	appendFrom("n4", 4, 1) // still before the leader's last entry
	must.Eq(t, Recovering, c.role)
	appendFrom("n4", 4, 2)
	must.Eq(t, Follower, c.role)
	stepFromPeer(t, c, Message{Type: MsgVote, From: "n3", Term: 4, Index: 9, LogTerm: 9, Force: true})
	must.Eq(t, "n4", c.vote)
	must.True(t, c.incarnations.participated("n0"))
}

// After a loss of power n0 still has its disk. It must not lead with the votes of
// some voters only: a missing voter may lead or hold entries that no other member
// has. It must not lead either when the last vote reveals that two disks were lost.
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

// coldStartCandidate returns n0 of three disk members as a candidate in a cold start.
func coldStartCandidate(t *testing.T) *Core {
	c := candidateCore(t, "n0", "n1", "n2")
	for _, id := range []string{"n1", "n2"} {
		stepFromPeer(t, c, Message{Type: MsgStateReply, From: id, Term: 5, Nonce: 1, Recovering: true})
	}
	must.Eq(t, coldStarting, c.campaign.kind)
	must.Eq(t, 6, c.term)
	return c
}

// The wall clock goes back, and a member starts under a lower incarnation than before. Once it
// learns of the earlier one, it must take a higher incarnation, and must count as one that
// doesn't know its votes, whatever its role was.
func TestLowerIncarnationIsRaised(t *testing.T) {
	group := []string{"n0", "n1", "n2"}
	for name, c := range map[string]*Core{
		"recovering": coreWithoutState(t), "candidate": candidateCore(t, group...), "leader": leaderCore(t, group...),
	} {
		last := c.log.last()
		stepFromPeer(t, c, Message{Type: MsgAppend, From: "n1", Term: 3}, MemberIncarnation{ID: "n0", Incarnation: 20})
		must.Greater(t, 20, c.incarnation, must.Sprint(name))
		must.LessEq(t, 21+maxIncarnationSkip, c.incarnation, must.Sprint(name))
		must.Eq(t, Recovering, c.role, must.Sprint(name))
		must.Eq(t, last, c.log.last(), must.Sprint(name))
		must.False(t, c.Status().CanDecide, must.Sprint(name))
		vote := Message{Type: MsgVote, From: "n2", Term: c.term + 1, Index: 9, LogTerm: 9, Force: true}
		stepFromPeer(t, c, vote)
		must.Eq(t, "", c.vote, must.Sprint(name))
	}
}

// Guards against a message of a raised incarnation that leaves before the incarnation is stored:
// the member would start again under the earlier one.
func TestRaisedIncarnationIsStoredBeforeMessages(t *testing.T) {
	c := candidateCore(t, "n0", "n1", "n2")
	c.Advance(c.Ready())
	stepFromPeer(t, c, Message{Type: MsgAppend, From: "n1", Term: 9, Index: 2, LogTerm: 2}, MemberIncarnation{ID: "n0", Incarnation: 20})
	r := c.Ready()
	must.True(t, r.MustSync)
	must.True(t, r.HardState.Recovering)
	must.Eq(t, c.incarnation, r.HardState.Incarnation)
	must.SliceNotEmpty(t, r.Messages)
	for _, m := range r.Messages {
		must.False(t, m.BeforeSync())
		must.True(t, m.Recovering)
	}
}

// An entry that n0 lacks may have promoted a learner with a disk, and the learner may hold
// entries committed since. In a cold start n0 must wait for the learner's reply, and must
// not lead if the learner's log holds more than its own.
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

// A busy leader whose heartbeats are often late must not be replaced again and again,
// since no call is served during an election. A member that has seen such gaps waits
// longer before it campaigns. The lease and the time for which votes are refused stay the
// same.
func TestElectionTimeoutFollowsHeartbeatGaps(t *testing.T) {
	c := followerCore(t)
	must.Eq(t, defaultElectionTicks, c.minElectionTimeoutTicks())
	contactAfter := func(gap int) {
		for range gap {
			c.Tick()
		}
		stepFromPeer(t, c, Message{Type: MsgAppend, From: "n1", Term: c.term, Commit: c.commit})
	}
	contactAfter(1)
	must.Eq(t, defaultElectionTicks, c.minElectionTimeoutTicks(), must.Sprint("short gaps change nothing"))
	contactAfter(defaultElectionTicks - 2)
	must.Eq(t, gapFactor*(defaultElectionTicks-2)+1, c.minElectionTimeoutTicks())
	must.Eq(t, defaultElectionTicks, c.cfg.ElectionTicks, must.Sprint("the lease and the time of refused votes stay the same"))
	for range 2 * gapWindowTicks {
		contactAfter(1)
	}
	must.Eq(t, defaultElectionTicks, c.minElectionTimeoutTicks(), must.Sprint("gaps expire"))
}

// followerCore returns n0, restarted from disk, as a follower of the leader n1.
func followerCore(t *testing.T) *Core {
	members := []Member{{ID: "n0", HasDisk: true}, {ID: "n1"}, {ID: "n2"}}
	c, err := New(Config{ID: "n0", Incarnation: 1, HasDisk: true, Members: members}, StoredState{HardState: HardState{Term: 3, Incarnation: 1}})
	must.NoError(t, err)
	stepFromPeer(t, c, Message{Type: MsgAppend, From: "n1", Term: 3})
	must.Eq(t, "n1", c.leader)
	return c
}
