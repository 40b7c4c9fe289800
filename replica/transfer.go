package replica

import "github.com/cockroachdb/errors"

// transfer of the leadership. told is set once the target may campaign.
type transfer struct {
	to             string
	startedTick    uint64
	timeoutNowSent bool
}

// Transfer hands the leadership to another voter: no more proposals are taken,
// and once the target holds the whole log it is told to campaign at once. It
// is given up after an election timeout. Errors: ErrNotLeader,
// ErrTransferring, and ErrBadTarget for a member that can't lead or doesn't
// answer at present.
func (c *Core) Transfer(to string) error {
	if err := c.checkCanPropose(); err != nil {
		return err
	}
	if to == c.cfg.ID {
		return nil
	}
	m, ok := c.members.find(to)
	if !ok || m.Learner || m.Witness || !c.responsive(c.leaderState.progress[to]) {
		return errors.Wrapf(ErrBadTarget, "member %q", to)
	}
	c.leaderState.transfer = transfer{to: to, startedTick: c.now}
	c.tryTransfer(to)
	return nil
}

// tryTransfer tells the target once it has caught up. From then on this leader
// decides nothing any more: the target's votes pass the voters' refusal, so
// the lease no longer protects.
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

// tickTransfer gives a transfer up. A target that was told may still campaign
// when the message is late, so this leader can't go on in the same term; it
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
