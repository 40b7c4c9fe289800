package replica

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against two leaders and lost commits: a member without state has received the log only up to a
// membership in which it was the only voter, and leads with that while the group has gone on.
func TestRecoveringMemberDoesNotLeadByAnEarlierMembershipOfItsLog(t *testing.T) {
	c := coreWithoutState(t)
	alone := Entry{Term: 3, Kind: EntryMembership, Data: encodeMembers([]Member{{ID: "n0"}, {ID: "n1", Learner: true}, {ID: "n2", Learner: true}})}
	stepFromPeer(t, c, Message{Type: MsgAppend, From: "n1", Term: 5, Commit: 1, Entries: []Entry{alone}})
	must.Eq(t, 1, c.commit)
	must.Eq(t, Recovering, c.role)
	c.Tick()
	must.Eq(t, Recovering, c.role)
	must.Eq(t, 5, c.term)
}

// The same with the snapshot that a leader had stored at that membership.
func TestRecoveringMemberDoesNotLeadByMembershipOfSnapshot(t *testing.T) {
	c := coreWithoutState(t)
	members := []Member{{ID: "n0"}, {ID: "n1", Learner: true}, {ID: "n2", Learner: true}}
	stepFromPeer(t, c, Message{Type: MsgSnapshot, From: "n1", Term: 5, Snapshot: &Snapshot{Index: 7, Term: 3, Members: members}})
	must.Eq(t, Recovering, c.role)
	c.Advance(c.Ready())
	c.Tick()
	must.Eq(t, Recovering, c.role)
	must.Eq(t, 5, c.term)
}
