package replica

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// leadership is what only a leader keeps.
type leaderState struct {
	progress map[string]*progress
	// since is the tick of the election, firstIndex the own no-op entry.
	electedAt          uint64
	firstIndex         uint64
	heartbeatCountdown int
	heartbeatDue       bool
	transfer           transfer
	reads              readRounds
}

// becomeLeader starts to lead in the current term. The empty entry is what
// commits the entries of earlier terms.
func (c *Core) becomeLeader() {
	c.role = Leader
	c.leader = c.cfg.ID
	c.campaign = campaign{}
	c.recovery = recovery{}
	c.incarnations.merge(MemberIncarnation{ID: c.cfg.ID, Participated: true})
	c.leaderState = leaderState{progress: map[string]*progress{}, electedAt: c.now, heartbeatDue: true}
	c.leaderState.heartbeatCountdown = c.cfg.HeartbeatTicks
	c.syncProgress()
	c.leaderState.firstIndex = c.appendEntry(EntryNoop, nil)
}

// syncProgress follows a change of the membership.
func (c *Core) syncProgress() {
	list := c.members.current()
	for id := range c.leaderState.progress {
		if _, ok := findMember(list, id); !ok {
			delete(c.leaderState.progress, id)
		}
	}
	for _, m := range list {
		if c.leaderState.progress[m.ID] == nil {
			c.leaderState.progress[m.ID] = newProgress(c.log.last() + 1)
		}
	}
}

func (c *Core) clearLeaderState() {
	c.leaderState = leaderState{}
}

// appendEntry adds an entry of the current term and returns its index.
func (c *Core) appendEntry(kind EntryKind, data []byte) uint64 {
	index := c.log.last() + 1
	c.log.append(Entry{Index: index, Term: c.term, Kind: kind, Data: data})
	return index
}

// Propose appends commands and returns the index of the first one and their
// term. They are committed once entries of that index and term come out of
// Ready.Committed; another term at the index means that they never will be.
// ErrNotLeader when this member isn't a leader that may decide,
// ErrTransferring while it hands over.
func (c *Core) Propose(data ...[]byte) (first uint64, term uint64, err error) {
	if err := c.checkCanPropose(); err != nil {
		return 0, 0, err
	}
	first = c.log.last() + 1
	for _, d := range data {
		c.appendEntry(EntryCommand, d)
	}
	return first, c.term, nil
}

func (c *Core) checkCanPropose() error {
	if c.role == Leader && c.leaderState.transfer.to != "" {
		return errors.Wrapf(ErrTransferring, "to %s", c.leaderState.transfer.to)
	}
	if !c.canDecide() {
		return errors.Wrapf(ErrNotLeader, "leader is %q", c.leader)
	}
	return nil
}

// canDecide: the leader's lease runs and it has committed an entry of its own
// term, so it knows all that was committed before.
func (c *Core) canDecide() bool {
	return c.role == Leader && c.commit >= c.leaderState.firstIndex && c.leaseValid() && !c.leaderState.transfer.timeoutNowSent
}

// leaseValid reports whether a majority answered a heartbeat that was sent
// within the lease. Counted from the sending, by the leader's own ticks.
func (c *Core) leaseValid() bool {
	return c.now-c.quorumAckTick() < uint64(c.cfg.leaseTicks())
}

// quorumAckTick returns the latest own tick such that a majority of the voters
// have answered something sent at that tick or later.
func (c *Core) quorumAckTick() uint64 {
	return c.quorumValue(c.now, func(p *progress) uint64 { return p.ackedTick })
}

// quorumValue returns the largest value that a majority of the voters reaches,
// where own is this member's value.
func (c *Core) quorumValue(own uint64, of func(*progress) uint64) uint64 {
	list := voters(c.members.current())
	values := make([]uint64, 0, len(list))
	for _, m := range list {
		switch p := c.leaderState.progress[m.ID]; {
		case m.ID == c.cfg.ID:
			values = append(values, own)
		case p.recovering:
			values = append(values, 0)
		default:
			values = append(values, of(p))
		}
	}
	slices.Sort(values)
	return values[len(values)-(len(list)/2+1)]
}

// stepDownTimeouts is how many election timeouts without answers of a majority make a
// leader step down. Its lease has ended long before, so it decides nothing meanwhile;
// but where it was only held up itself, it goes on, and no election is needed.
const stepDownTimeouts = 2

func (c *Core) tickLeader() {
	c.leaderState.heartbeatCountdown--
	if c.leaderState.heartbeatCountdown <= 0 {
		c.leaderState.heartbeatCountdown = c.cfg.HeartbeatTicks
		c.leaderState.heartbeatDue = true
	}
	if c.now-max(c.quorumAckTick(), c.leaderState.electedAt) >= stepDownTimeouts*uint64(c.cfg.ElectionTicks) {
		// No majority answers: another leader may exist by now.
		c.follow(c.term, "")
		return
	}
	c.tickTransfer()
}

// onLogSynced counts the leader's own log as far as it is synced.
func (c *Core) onLogSynced() {
	c.maybeCommit()
}

// maybeCommit advances the commit index. Three rules:
// a majority of the voters holds the entry; the entry is of the own term (an
// entry of an earlier term on a majority may still be overwritten by a leader
// that never saw it, until one of the own term follows it); and while a disk
// voter answers, one disk voter has synced it, so that it outlives a loss of
// power everywhere.
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

// diskMatch returns the last index that some disk voter has synced.
func (c *Core) diskMatch() uint64 {
	best := uint64(0)
	for _, m := range voters(c.members.current()) {
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

// diskVoterAvailable reports whether the commit rule can count on a disk voter: one
// that answered within the election timeout and isn't catching up with entries
// that were committed without it. A new leader gives the disk voters one
// heartbeat interval to answer for the first time: one that lives answers its
// first append at once, and when the lost leader was the only disk voter, all
// starts wait for as long.
func (c *Core) diskVoterAvailable() bool {
	for _, m := range voters(c.members.current()) {
		if !m.HasDisk {
			continue
		}
		if m.ID == c.cfg.ID {
			return true
		}
		p := c.leaderState.progress[m.ID]
		inGracePeriod := c.now-c.leaderState.electedAt < uint64(c.cfg.HeartbeatTicks) && !p.recovering
		if (inGracePeriod || c.responsive(p)) && !p.lagging {
			return true
		}
	}
	return false
}

// responsive reports whether a member answered within the election timeout
// and remembers its promises.
func (c *Core) responsive(p *progress) bool {
	return !p.recovering && c.now-p.ackedTick < uint64(c.cfg.ElectionTicks)
}

// markLagging marks the disk voters that a degraded commit left behind; they
// count again once they hold what is committed.
func (c *Core) markLagging() {
	for _, m := range voters(c.members.current()) {
		if p := c.leaderState.progress[m.ID]; m.HasDisk && m.ID != c.cfg.ID {
			p.lagging = p.match < c.commit && (p.lagging || !c.responsive(p))
		}
	}
}
