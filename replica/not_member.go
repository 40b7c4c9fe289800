package replica

// A removed member gets no entries any more, so it may never see the one that
// removed it. It would go on asking for votes and states, be refused, and show
// nobody why. The leader therefore answers such a question with a notice.
//
// The notice is a hint: a member that has it asks more seldom but doesn't stop,
// so that one that is late or wrong can't take the last candidate from a group.

// nonMemberIntervalFactor is how much more seldom a member outside of the group asks.
const nonMemberIntervalFactor = 8

// notifyNonMember answers a question of a member that is in no membership from the
// committed one on.
func (c *Core) notifyNonMember(id string) {
	if !c.canDecide() {
		return
	}
	for _, list := range c.members.since(c.commit) {
		if _, ok := findMember(list, id); ok {
			return
		}
	}
	c.send(Message{Type: MsgNotMember, To: id, Term: c.term, Index: c.members.indexAt(c.commit)})
}

// onNotMember takes a notice for true until a leader is heard. One that is no news,
// of a membership up to the own commit index, is late: this member was added
// again by a later one.
func (c *Core) onNotMember(m Message) {
	if c.hasRecentLeader() || m.Index <= c.commit {
		return
	}
	c.notMember = true
}

// requestIntervalFactor is the factor by which this member's questions are rarer.
func (c *Core) requestIntervalFactor() int {
	if c.notMember {
		return nonMemberIntervalFactor
	}
	return 1
}
