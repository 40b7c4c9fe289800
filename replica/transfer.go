package replica

import "github.com/cockroachdb/errors"

// transfer is a pending leadership transfer. to is the ID of the member that is to lead,
// and timeoutNowSent is set once that member was told to campaign.
type transfer struct {
	to             string
	startedTick    uint64
	timeoutNowSent bool
}

// Transfer transfers the leadership to another voter. The leader accepts no more
// proposals, and once the other voter holds the whole log, the leader tells it to
// campaign immediately. The transfer expires after an election timeout. Errors:
// ErrNotLeader, ErrTransferring, and ErrBadTransferee for a member that can't lead or
// isn't responsive.
func (c *Core) Transfer(to string) error {
	if err := c.checkCanPropose(); err != nil {
		return err
	}
	if to == c.cfg.ID {
		return nil
	}
	m, ok := c.members.find(to)
	if !ok || m.Learner || m.Witness || !c.responsive(c.leaderState.progress[to]) {
		return errors.Wrapf(ErrBadTransferee, "member %q", to)
	}
	c.leaderState.transfer = transfer{to: to, startedTick: c.now}
	c.tryTransfer(to)
	return nil
}

// tryTransfer tells the new leader to campaign once it has caught up. From then on
// this leader decides nothing any more: the voters grant the forced votes in spite of
// its lease, so another leader may be elected before the lease expires.
func (c *Core) tryTransfer(from string) {
	t := &c.leaderState.transfer
	if c.role != Leader || t.to != from || t.timeoutNowSent {
		return
	}
	if c.leaderState.progress[from].match < c.log.last() {
		return
	}
	t.timeoutNowSent = true
	c.send(Message{Type: MsgTimeoutNow, To: from, Term: c.term})
}

// tickTransfer expires a transfer. A member that was told to campaign may still do so
// after a delay of the message, so this leader can't resume in the same term and
// steps down.
func (c *Core) tickTransfer() {
	t := &c.leaderState.transfer
	if t.to == "" || c.now-t.startedTick < uint64(c.cfg.ElectionTicks) {
		return
	}
	if t.timeoutNowSent {
		c.follow(c.term, "")
		return
	}
	c.leaderState.transfer = transfer{}
}

// StepDown makes this member give up the leadership of a term; it does nothing if the member doesn't lead in
// that term. The member may be elected again, in a later term. Until then it refuses votes like a former
// leader whose lease may still be valid.
//
// A leader whose right to decide is in doubt steps down instead of beginning again: what it has ordered
// in this term can't be told from what it would order next.
func (c *Core) StepDown(term uint64) {
	if c.role == Leader && c.term == term {
		c.follow(c.term, "")
	}
}
