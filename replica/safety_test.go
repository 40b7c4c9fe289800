package replica

import (
	"testing"

	"github.com/shoenig/test/must"
)

// candidateCore returns n0 of a group, restarted from disk at term 3 with entries of
// terms 1 and 2, as a candidate at its first election timeout. The time after the restart
// in which it refuses votes has passed.
func candidateCore(t *testing.T, ids ...string) *Core {
	var members []Member
	for _, id := range ids {
		members = append(members, Member{ID: id, HasDisk: true})
	}
	c, err := New(Config{ID: "n0", Incarnation: 1, HasDisk: true, Members: members}, StoredState{
		HardState: HardState{Term: 3, Incarnation: 1},
		Entries:   []Entry{{Index: 1, Term: 1}, {Index: 2, Term: 2}},
	})
	must.NoError(t, err)
	for c.role != Candidate {
		c.Tick()
	}
	return c
}

// stepFromPeer delivers m to n0 from incarnation 1 of a peer, which also knows the
// incarnations in extra.
func stepFromPeer(t *testing.T, c *Core, m Message, extra ...MemberIncarnation) {
	m.To, m.Incarnation = "n0", 1
	m.KnownIncarnations = append([]MemberIncarnation{{ID: m.From, Incarnation: 1}}, extra...)
	must.NoError(t, c.Step(m))
}

// n1 votes for n0 in term 4 and restarts without state while its vote is in flight. n1
// recovers from a majority that doesn't include n0, and helps to elect n4 in term 4. n3
// was part of that majority and votes for n0 afterwards. If n0 counted n1's delayed vote,
// term 4 would have two leaders, and the same task could be started twice.
func TestVoteOfSupersededIncarnationIsNotCounted(t *testing.T) {
	for _, order := range [][]string{{"n1", "n3"}, {"n3", "n1"}} {
		c := candidateCore(t, "n0", "n1", "n2", "n3", "n4")
		for _, id := range []string{"n2", "n3"} {
			stepFromPeer(t, c, Message{Type: MsgPreVoteReply, From: id, Term: 4})
		}
		must.Eq(t, 4, c.term)
		for _, id := range order {
			m := Message{Type: MsgVoteReply, From: id, Term: 4}
			if id == "n3" {
				stepFromPeer(t, c, m, MemberIncarnation{ID: "n1", Incarnation: 2})
			} else {
				stepFromPeer(t, c, m)
			}
		}
		must.Eq(t, Candidate, c.role)
		stepFromPeer(t, c, Message{Type: MsgVoteReply, From: "n2", Term: 4})
		must.Eq(t, Leader, c.role)
	}
}

// An acknowledgement must not complete a quorum after the leader has learned that its
// sender restarted without state.
func TestAckOfSupersededIncarnationIsNotCounted(t *testing.T) {
	c := leaderCore(t, "n0", "n1", "n2", "n3", "n4")
	stepFromPeer(t, c, Message{Type: MsgAppendReply, From: "n1", Term: 4, Index: 3, Tick: c.now})
	stepFromPeer(t, c, Message{Type: MsgAppendReply, From: "n3", Term: 4, Index: 3, Tick: c.now}, MemberIncarnation{ID: "n1", Incarnation: 2})
	must.Eq(t, 0, c.commit)
	m := Message{Type: MsgAppendReply, From: "n2", To: "n0", Incarnation: 1, Term: 4, Index: 3, Tick: c.now, IncarnationDigest: 12345}
	must.NoError(t, c.Step(m)) // n0 doesn't know the incarnations behind this digest
	must.Eq(t, 0, c.commit)
	stepFromPeer(t, c, Message{Type: MsgAppendReply, From: "n2", Term: 4, Index: 3, Tick: c.now})
	must.Eq(t, 3, c.commit)
}

// leaderCore returns n0 as the leader of term 4, with its own entry 3 synced.
func leaderCore(t *testing.T, ids ...string) *Core {
	c := candidateCore(t, ids...)
	for _, kind := range []MessageType{MsgPreVoteReply, MsgVoteReply} {
		for _, id := range ids[1 : len(ids)/2+1] {
			stepFromPeer(t, c, Message{Type: kind, From: id, Term: 4})
		}
	}
	must.Eq(t, Leader, c.role)
	c.Advance(c.Ready())
	return c
}

// Entry 2 of an earlier term is on a majority, but the leader's own entry isn't. A
// member with an entry of a later term at index 2 could still win the next election
// and replace entry 2. If entry 2 were reported as committed, an acknowledged
// command would be lost.
func TestEarlierTermCommitsOnlyWithOwnTerm(t *testing.T) {
	c := leaderCore(t, "n0", "n1", "n2")
	stepFromPeer(t, c, Message{Type: MsgAppendReply, From: "n1", Term: 4, Index: 2, Tick: c.now})
	must.Eq(t, 0, c.commit)
	must.False(t, c.Status().CanDecide)
	stepFromPeer(t, c, Message{Type: MsgAppendReply, From: "n1", Term: 4, Index: 3, Tick: c.now})
	must.Eq(t, 3, c.commit)
	must.True(t, c.Status().CanDecide)
}

// A removed member, or one that can send but not receive, keeps requesting votes. While
// the leader makes contact with the others, such a request must neither change a term nor
// obtain a vote.
func TestVotesRefusedWithRecentLeader(t *testing.T) {
	c := candidateCore(t, "n0", "n1", "n2")
	stepFromPeer(t, c, Message{Type: MsgAppend, From: "n1", Term: 4, Index: 2, LogTerm: 2})
	for _, kind := range []MessageType{MsgPreVote, MsgVote} {
		stepFromPeer(t, c, Message{Type: kind, From: "n2", Term: 9, Index: 99, LogTerm: 9})
		must.Eq(t, 4, c.term)
		must.Eq(t, "", c.vote)
	}
	stepFromPeer(t, c, Message{Type: MsgVote, From: "n2", Term: 9, Index: 99, LogTerm: 9, Force: true})
	must.Eq(t, "n2", c.vote)
}

// A delayed append that is shorter than the log must truncate nothing. An append that
// contradicts a committed entry must stop the process.
func TestDelayedOrConflictingAppendTruncatesNothing(t *testing.T) {
	c := candidateCore(t, "n0", "n1", "n2")
	entries := []Entry{{Index: 3, Term: 4}, {Index: 4, Term: 4}}
	stepFromPeer(t, c, Message{Type: MsgAppend, From: "n1", Term: 4, Index: 2, LogTerm: 2, Entries: entries, Commit: 3})
	stepFromPeer(t, c, Message{Type: MsgAppend, From: "n1", Term: 4, Index: 2, LogTerm: 2, Entries: entries[:1]})
	must.Eq(t, 4, c.log.last())
	must.Eq(t, 3, c.commit)
	must.Panic(t, func() { c.mergeEntries([]Entry{{Index: 3, Term: 5}}) })
	must.Panic(t, func() { c.setTerm(3) })
	must.ErrorIs(t, c.Step(Message{To: "n9", From: "n1"}), ErrBadMessage)
}

// New must reject invalid configurations and stored states with the matching error.
func TestNewRefusesInvalidConfigAndState(t *testing.T) {
	one := []Member{{ID: "n0"}}
	for _, cfg := range []Config{
		{}, {ID: "n0"}, {ID: "n0", Incarnation: 1}, {ID: "n0", Incarnation: 1, Members: append(one, one...)},
		{ID: "n0", Incarnation: 1, Members: one, ElectionTicks: 3}, {ID: "n0", Incarnation: 1, Members: one, HeartbeatTicks: 9},
	} {
		_, err := New(cfg, StoredState{})
		must.ErrorIs(t, err, ErrConfig)
	}
	_, err := New(Config{ID: "n0", Incarnation: 1, Members: one}, StoredState{Entries: []Entry{{Index: 2, Term: 1}}})
	must.ErrorIs(t, err, ErrStoredState)
}

// A delayed snapshot arrives after entries beyond it were acknowledged. Replacing the
// log by the snapshot would lose them.
func TestDelayedSnapshotTruncatesNothing(t *testing.T) {
	c := candidateCore(t, "n0", "n1", "n2")
	entries := []Entry{{Index: 3, Term: 4}, {Index: 4, Term: 4}}
	stepFromPeer(t, c, Message{Type: MsgAppend, From: "n1", Term: 4, Index: 2, LogTerm: 2, Entries: entries, Commit: 1})
	snapshot := &Snapshot{Index: 3, Term: 4, Members: c.members.current()}
	stepFromPeer(t, c, Message{Type: MsgSnapshot, From: "n1", Term: 4, Snapshot: snapshot})
	must.Eq(t, 4, c.log.last())
	must.Eq(t, 3, c.commit)
}

// The next leader overwrites a membership that was never committed. The member must
// count quorums by the earlier membership again.
func TestOverwrittenMembershipIsReverted(t *testing.T) {
	c := candidateCore(t, "n0", "n1", "n2")
	before := c.members.current()
	entry := Entry{Index: 3, Term: 4, Kind: EntryMembership, Data: encodeMembers(withoutMember(before, "n2"))}
	stepFromPeer(t, c, Message{Type: MsgAppend, From: "n1", Term: 4, Index: 2, LogTerm: 2, Entries: []Entry{entry}})
	must.Len(t, 2, c.members.current())
	stepFromPeer(t, c, Message{Type: MsgAppend, From: "n2", Term: 5, Index: 2, LogTerm: 2, Entries: []Entry{{Index: 3, Term: 5}}})
	must.Eq(t, before, c.members.current())
}

// n0 fetches a witness's log that diverges from its own at entry 2, and the first batch
// ends right before entry 2. If n0 continued from its own last entry, its request would be
// rejected and the fetch would start again forever, so the group would have no leader
// although a majority is alive.
func TestLogFetchContinuesFromMatch(t *testing.T) {
	c := candidateCore(t, "n0", "n1", "n2")
	lastFetch := func() Message {
		m := c.messages[len(c.messages)-1]
		must.Eq(t, MsgFetch, m.Type)
		return m
	}
	refusal := Message{Type: MsgPreVoteReply, From: "n2", Term: 3, Reject: true, Index: 3, LogTerm: 3}
	stepFromPeer(t, c, refusal)
	must.Eq(t, 2, lastFetch().Index)
	stepFromPeer(t, c, Message{Type: MsgFetchReply, From: "n2", Index: 2, LogTerm: 2, Tick: 3, ReadRound: 3, Reject: true, RejectHint: 0})
	must.Eq(t, 0, lastFetch().Index)
	batch := Message{Type: MsgFetchReply, From: "n2", Tick: 3, ReadRound: 3, Entries: []Entry{{Term: 1}}}
	stepFromPeer(t, c, batch)
	must.Eq(t, 1, lastFetch().Index)
	queued := len(c.messages)
	stepFromPeer(t, c, batch) // a duplicate reply starts no second request
	stepFromPeer(t, c, refusal)
	must.Len(t, queued, c.messages)
	stepFromPeer(t, c, Message{Type: MsgFetchReply, From: "n2", Index: 1, LogTerm: 1, Tick: 3, ReadRound: 3, Entries: []Entry{{Term: 3}, {}}})
	must.Eq(t, 3, c.log.lastTerm())
	must.Eq(t, 3, c.log.last())
}

// Guards against a member whose state differs from the others' without a sign: a leader, which an operator
// has forced, has other entries than those that this member knows to be committed.
func TestLogThatContradictsCommittedEntriesIsRejected(t *testing.T) {
	const term = 9
	follower := func() *Core {
		c := candidateCore(t, "n0", "n1", "n2")
		stepFromPeer(t, c, Message{Type: MsgAppend, From: "n1", Term: 4, Index: 2, LogTerm: 2, Commit: 3, Entries: []Entry{{Term: 4}}})
		must.Eq(t, 3, c.commit)
		return c
	}
	for name, m := range map[string]Message{
		"entry":          {Type: MsgAppend, Index: 1, LogTerm: 1, Entries: []Entry{{Term: 2}, {Term: 5}, {Term: term}}},
		"entry before":   {Type: MsgAppend, Index: 2, LogTerm: 1, Entries: []Entry{{Term: 5}, {Term: term}}},
		"last committed": {Type: MsgAppend, Index: 3, LogTerm: 5, Entries: []Entry{{Term: term}}},
		"snapshot":       {Type: MsgSnapshot, Snapshot: &Snapshot{Index: 3, Term: 5, Members: []Member{{ID: "n1"}}}},
	} {
		c := follower()
		m.From, m.Term, m.Commit = "n1", term, 4
		queued := len(c.messages)
		stepFromPeer(t, c, m)
		must.Eq(t, 3, c.log.last(), must.Sprint(name))
		must.Eq(t, 3, c.commit, must.Sprint(name))
		for _, reply := range c.messages[queued:] {
			must.True(t, reply.Reject, must.Sprint(name))
		}
	}
	c := follower()
	stepFromPeer(t, c, Message{Type: MsgAppend, From: "n1", Term: term, Index: 1, LogTerm: 1, Commit: 4, Entries: []Entry{{Term: 2}, {Term: 4}, {Term: term}}})
	must.Eq(t, 4, c.commit)
}

// Guards against a membership that no member can decode: each that received it would end, and again at each
// start.
func TestMembershipThatIsNotUTF8IsRefused(t *testing.T) {
	const invalid = "\xff\xfe"
	c := leaderCore(t, "n0", "n1", "n2")
	ackAll(t, c, "n1", c.now)
	c.Advance(c.Ready())
	for _, m := range []Member{{ID: invalid}, {ID: "n3", Address: invalid}, {ID: "n3", DataCentre: invalid}} {
		m.Learner = true
		_, _, err := c.ProposeMembership(append(withoutMember(c.members.current(), ""), m))
		must.ErrorIs(t, err, ErrConfig)
	}
}
