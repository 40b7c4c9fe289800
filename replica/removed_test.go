package replica

import (
	"testing"

	"github.com/shoenig/test/must"
)

// A member is removed while it is partitioned. Without a notification it would request
// votes as often as before, and its status wouldn't show why it is rejected. A notified
// member must report NotMember and send fewer requests. Once it is added again, it must take
// part as before.
func TestRemovedMemberIsNotified(t *testing.T) {
	s := newSimWithLeader(t, simOptions{voters: 4})
	l := s.leader()
	n := s.liveFollower(l)
	allMembers := l.core.members.current()
	s.isolate(n)
	_, _, err := l.core.ProposeMembership(withoutMember(allMembers, n.id))
	must.NoError(t, err)
	s.waitForLeader(t)
	clear(s.blockedLinks)
	s.run(60)
	must.True(t, n.core.Status().NotMember)
	requests := 0
	s.intercept = func(m Message) bool {
		if m.From == n.id {
			requests++
		}
		return false
	}
	s.run(400)
	must.Between(t, 1, requests, 30) // three peers, two requests each, about every 120 ticks
	must.True(t, l.core.Status().CanDecide)
	_, _, err = l.core.ProposeMembership(append(withoutMember(allMembers, n.id), Member{ID: n.id, Learner: true}))
	must.NoError(t, err)
	s.waitForLeader(t)
	must.False(t, n.core.Status().NotMember)
	must.Eq(t, l.core.applied, max(l.core.applied, n.core.applied))
	must.Greater(t, 0, n.core.applied)
}

// A duplicate of a MsgNotMember arrives late: the member was added again meanwhile, and its
// leader has failed. The member must ignore the duplicate and campaign as usual.
func TestDelayedRemovalNoticeIsIgnored(t *testing.T) {
	c := candidateCore(t, "n0", "n1", "n2")
	notice := Message{Type: MsgNotMember, From: "n1", Term: 3, Index: 2}
	stepFromPeer(t, c, notice)
	must.True(t, c.Status().NotMember)
	stepFromPeer(t, c, Message{Type: MsgAppend, From: "n1", Term: 4, Index: 2, LogTerm: 2, Commit: 2})
	must.False(t, c.Status().NotMember)
	for c.role != Candidate {
		c.Tick()
	}
	stepFromPeer(t, c, notice)
	must.False(t, c.Status().NotMember)
}
