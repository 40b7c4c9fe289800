package replica

// A removed member receives no entries any more, so it may never receive the entry that
// removed it. It would keep requesting votes and states and be rejected, and its status
// would never show the reason. The leader therefore replies to such a request with
// MsgNotMember.
//
// The message is a hint: its receiver sends requests less often but doesn't stop, so
// that a delayed or wrong message can't leave a group without a candidate.

// nonMemberIntervalFactor multiplies the request interval and the election timeout of
// a member that isn't in the group.
const nonMemberIntervalFactor = 8

// notifyNonMember sends MsgNotMember to a requester that is in no membership from the
// committed one on.
func (c *Core) notifyNonMember(id string) {
	if !c.canDecide() {
		return
	}
	for _, members := range c.members.since(c.commit) {
		if _, ok := findMember(members, id); ok {
			return
		}
	}
	c.send(Message{Type: MsgNotMember, To: id, Term: c.term, Index: c.members.indexAt(c.commit)})
}

// onNotMember records that this member isn't in the group. It ignores the message while
// a leader is in contact, and also when the entry that set the membership is at or
// before this member's commit index: the message is then delayed, and a later membership
// has added this member again.
func (c *Core) onNotMember(m Message) {
	if c.hasRecentLeader() || m.Index <= c.commit {
		return
	}
	c.notMember = true
}

// requestIntervalFactor returns the factor by which this member lengthens its request
// interval and election timeout.
func (c *Core) requestIntervalFactor() int {
	if c.notMember {
		return nonMemberIntervalFactor
	}
	return 1
}
