package replica

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// leaderState is the state that only a leader has.
type leaderState struct {
	// progress holds the replication progress of each member by ID.
	progress map[string]*progress
	// electedTick is the tick of the election, and firstIndex is the index of the leader's
	// own no-op entry.
	electedTick        uint64
	firstIndex         uint64
	heartbeatCountdown int
	heartbeatDue       bool
	// learnersDue says that learners get the entries of the last tick.
	learnersDue bool
	transfer    transfer
	reads       readRounds
	// quorumTick is the tick at which the messages were sent to which a majority has replied, as of the
	// last reply.
	quorumTick uint64
}

// becomeLeader makes this member the leader of the current term. Its no-op entry
// commits the entries of earlier terms.
func (c *Core) becomeLeader() {
	c.role = Leader
	c.leader = c.cfg.ID
	c.campaign = campaign{}
	c.recovery = recovery{}
	c.incarnations.merge(MemberIncarnation{ID: c.cfg.ID, Participated: true})
	c.leaderState = leaderState{progress: map[string]*progress{}, electedTick: c.now, heartbeatDue: true, learnersDue: true}
	c.leaderState.heartbeatCountdown = c.cfg.HeartbeatTicks
	c.syncProgress()
	c.leaderState.firstIndex = c.appendEntry(EntryNoop, nil)
}

// syncProgress adds and removes progress to match the current membership.
func (c *Core) syncProgress() {
	members := c.members.current()
	for id := range c.leaderState.progress {
		if _, ok := findMember(members, id); !ok {
			delete(c.leaderState.progress, id)
		}
	}
	for _, m := range members {
		if c.leaderState.progress[m.ID] == nil {
			c.leaderState.progress[m.ID] = newProgress(c.log.last() + 1)
		}
	}
}

// clearLeaderState drops the leader state when this member steps down.
func (c *Core) clearLeaderState() {
	c.leaderState = leaderState{}
}

// appendEntry appends an entry of the current term and returns its index.
func (c *Core) appendEntry(kind EntryKind, data []byte) uint64 {
	index := c.log.last() + 1
	c.log.append(Entry{Index: index, Term: c.term, Kind: kind, Data: data})
	return index
}

// Propose appends commands and returns the index of the first one and their term.
// They are committed once entries of that index and term appear in Ready.Committed.
// Another term at the index means that they never will be. Errors: ErrNotLeader when
// this member isn't a leader that may decide, ErrTransferring during a leadership
// transfer.
func (c *Core) Propose(commands ...[]byte) (first uint64, term uint64, err error) {
	if err := c.checkCanPropose(); err != nil {
		return 0, 0, err
	}
	first = c.log.last() + 1
	for _, d := range commands {
		c.appendEntry(EntryCommand, d)
	}
	return first, c.term, nil
}

// checkCanPropose returns ErrNotLeader or ErrTransferring when this member may not
// propose.
func (c *Core) checkCanPropose() error {
	if c.role == Leader && c.leaderState.transfer.to != "" {
		return errors.Wrapf(ErrTransferring, "to %s", c.leaderState.transfer.to)
	}
	if !c.canDecide() {
		return errors.Wrapf(ErrNotLeader, "leader is %q", c.leader)
	}
	return nil
}

// canDecide reports whether this member leads under a valid lease and has committed an
// entry of its own term, so that it knows all earlier committed entries. It is false once
// a leadership transfer has told another member to campaign.
func (c *Core) canDecide() bool {
	return c.role == Leader && c.commit >= c.leaderState.firstIndex && c.leaseValid() && !c.leaderState.transfer.timeoutNowSent
}

// leaseValid reports whether a majority replied to a message sent within the lease. The
// lease starts when the message is sent and is measured in the leader's own ticks.
func (c *Core) leaseValid() bool {
	return c.now-c.quorumAckTick() < uint64(c.cfg.leaseTicks())
}

// quorumAckTick returns the latest tick of this member such that a majority of the
// voters has replied to messages sent at that tick or later.
func (c *Core) quorumAckTick() uint64 {
	return c.quorumValue(c.now, func(p *progress) uint64 { return p.ackedTick })
}

// quorumValue returns the largest value that a majority of the voters reaches. own is
// this member's value; recovering members count as zero.
func (c *Core) quorumValue(own uint64, valueOf func(*progress) uint64) uint64 {
	electorate := c.members.currentVoters()
	// The array avoids an allocation for usual numbers of voters.
	var array [8]uint64
	values := array[:0]
	for _, m := range electorate {
		switch p := c.leaderState.progress[m.ID]; {
		case m.ID == c.cfg.ID:
			values = append(values, own)
		case p.recovering:
			values = append(values, 0)
		default:
			values = append(values, valueOf(p))
		}
	}
	slices.Sort(values)
	return values[len(values)-(len(electorate)/2+1)]
}

// stepDownTimeouts is the number of election timeouts without replies of a majority
// after which a leader steps down. Its lease has expired long before, so it decides
// nothing meanwhile. A leader that was only delayed for a shorter time resumes without
// an election.
const stepDownTimeouts = 2

// tickLeader schedules heartbeats, steps down without a quorum and expires a
// transfer.
func (c *Core) tickLeader() {
	c.leaderState.learnersDue = true
	c.leaderState.heartbeatCountdown--
	if c.leaderState.heartbeatCountdown <= 0 {
		c.leaderState.heartbeatCountdown = c.cfg.HeartbeatTicks
		c.leaderState.heartbeatDue = true
	}
	if c.now-max(c.quorumAckTick(), c.leaderState.electedTick) >= stepDownTimeouts*uint64(c.minElectionTimeoutTicks()) {
		// No majority replies, so another leader may exist already.
		c.recordStepDown()
		c.follow(c.term, "")
		return
	}
	c.tickTransfer()
}

// onLogSynced counts the leader's own log up to its last synced entry.
func (c *Core) onLogSynced() {
	c.maybeCommit()
}

// maybeCommit advances the commit index to the latest entry that meets three rules:
//
//   - A majority of the voters holds the entry.
//   - The entry is of the leader's own term. An entry of an earlier term may still be
//     overwritten by a leader that never received it, even if a majority holds it, until
//     an entry of this leader's term follows it on a majority.
//   - While a disk voter is available, some disk voter has synced the entry, so that it
//     survives a loss of power of all members.
func (c *Core) maybeCommit() {
	index := c.quorumValue(c.log.stable, func(p *progress) uint64 { return p.match })
	if c.diskVoterAvailable() {
		index = min(index, c.diskMatch())
	}
	if index <= c.commit {
		return
	}
	if term, _ := c.log.term(index); term != c.term {
		return
	}
	c.commitTo(index)
	c.markLagging()
	c.confirmReads()
}

// diskMatch returns the highest index that some disk voter has synced.
func (c *Core) diskMatch() uint64 {
	best := uint64(0)
	for _, m := range c.members.currentVoters() {
		if !m.HasDisk {
			continue
		}
		if m.ID == c.cfg.ID {
			best = max(best, c.log.stable)
			continue
		}
		if p := c.leaderState.progress[m.ID]; !p.recovering {
			best = max(best, p.match)
		}
	}
	return best
}

// diskVoterAvailable reports whether commits can wait for a disk voter: one that
// replied within the election timeout and isn't catching up with entries that were
// committed without it. A new leader gives the disk voters one heartbeat interval for
// their first reply. That is enough, because a live disk voter replies to its first
// append immediately, and it is short, because all commits wait for the whole interval
// if the only disk voter was the previous leader and has failed.
func (c *Core) diskVoterAvailable() bool {
	for _, m := range c.members.currentVoters() {
		if !m.HasDisk {
			continue
		}
		if m.ID == c.cfg.ID {
			return true
		}
		p := c.leaderState.progress[m.ID]
		inGracePeriod := c.now-c.leaderState.electedTick < uint64(c.cfg.HeartbeatTicks) && !p.recovering
		if (inGracePeriod || c.responsive(p)) && !p.lagging {
			return true
		}
	}
	return false
}

// responsive reports whether a member isn't recovering and has acknowledged a message
// that was sent within the election timeout.
func (c *Core) responsive(p *progress) bool {
	return !p.recovering && c.now-p.ackedTick < uint64(c.cfg.ElectionTicks)
}

// markLagging marks the disk voters that miss entries committed without them. They
// count again once they hold all committed entries.
func (c *Core) markLagging() {
	for _, m := range c.members.currentVoters() {
		if p := c.leaderState.progress[m.ID]; m.HasDisk && m.ID != c.cfg.ID {
			p.lagging = p.match < c.commit && (p.lagging || !c.responsive(p))
		}
	}
}
