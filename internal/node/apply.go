package node

import (
	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/replica"
)

// pendingProposal is a call whose command is in the log and not yet committed. The term
// distinguishes its entry from another leader's entry at the same index.
type pendingProposal struct {
	call *call
	term uint64
}

// processCalls passes pending calls to the core: all commands in one proposal, all
// barriers under one read token.
func (g *Group) processCalls(pending []*call) {
	var proposals, barriers []*call
	for _, c := range pending {
		switch c.kind {
		case callPropose:
			if g.failed.refuses(c.command) {
				c.reply(nil, errSkipped())
				continue
			}
			proposals = append(proposals, c)
		case callBarrier:
			barriers = append(barriers, c)
		case callMembership:
			g.proposeMembership(c)
		case callTransfer:
			c.reply(nil, g.faultOrNil(g.core.Transfer(c.transferee)))
		case callStepDown:
			g.core.StepDown(c.term)
			c.reply(nil, nil)
		case callForceStart:
			c.reply(nil, g.faultOrNil(g.core.ForceStart()))
		}
	}
	if len(proposals) > 0 {
		g.propose(proposals)
	}
	if len(barriers) > 0 {
		g.barrier(barriers)
	}
}

func (g *Group) faultOrNil(err error) error {
	if err == nil {
		return nil
	}
	return g.coreFault(err)
}

func (g *Group) propose(proposals []*call) {
	commands := make([][]byte, len(proposals))
	for i, c := range proposals {
		commands[i] = c.command
	}
	first, term, err := g.core.Propose(commands...)
	if err != nil {
		replyAll(proposals, g.coreFault(err))
		return
	}
	for i, c := range proposals {
		g.trackProposal(first+uint64(i), term, c)
	}
}

func (g *Group) proposeMembership(c *call) {
	index, term, err := g.core.ProposeMembership(c.members)
	switch {
	case errors.Is(err, replica.ErrNoChange):
		// The change is in force already. The caller may be repeating a call whose
		// response was lost.
		c.reply(nil, nil)
	case err != nil:
		c.reply(nil, g.coreFault(err))
	default:
		g.trackProposal(index, term, c)
	}
}

func (g *Group) barrier(barriers []*call) {
	token := g.barriers.nextToken()
	if err := g.core.ReadIndex(token); err != nil {
		replyAll(barriers, g.coreFault(err))
		return
	}
	g.barriers.add(token, g.core.Status().Term, barriers)
}

func replyAll(pending []*call, err error) {
	for _, c := range pending {
		c.reply(nil, err)
	}
}

// trackProposal records the call that proposed the entry at index.
func (g *Group) trackProposal(index, term uint64, c *call) {
	if old, ok := g.proposals[index]; ok {
		// The new entry has replaced the old call's command in this member's log. Another
		// member may still hold the command, become the leader and commit it.
		old.call.reply(nil, outcomeUnknown("the leadership was lost"))
	}
	g.proposals[index] = pendingProposal{call: c, term: term}
}

// apply applies committed entries to the state machine and replies to the callers that
// proposed them. Its error is ErrEntryFailed.
func (g *Group) apply(entries []replica.Entry) error {
	for i := range entries {
		e := &entries[i]
		invariant(e.Index == g.applied+1, "entry %d applied after %d", e.Index, g.applied)
		value, err := g.applyEntry(e)
		if errors.Is(err, ErrEntryFailed) {
			return err
		}
		g.applied = e.Index
		g.snapshots.pendingBytes += len(e.Data)
		g.completeProposal(e, value, err)
	}
	g.counters.commits.Add(uint64(len(entries)))
	return nil
}

// applyEntry applies one entry and returns the result for its caller. The error is ErrEntryFailed if the
// state machine panicked, and ErrEntrySkipped if it has done so too often.
func (g *Group) applyEntry(e *replica.Entry) (value any, err error) {
	if e.Kind != replica.EntryCommand {
		return nil, nil
	}
	if g.failed.skips(e) {
		g.snapshots.skippedIndex = e.Index
		g.counters.skipped.Add(1)
		return nil, errSkipped()
	}
	defer func() {
		if cause := recover(); cause != nil {
			err = g.failed.record(e, cause)
			if g.cfg.Fatal != nil {
				g.cfg.Fatal(err)
			}
		}
	}()
	return g.cfg.Machine.Apply(e.Index, e.Data), nil
}

// errSkipped returns the error of a command that changes nothing because it can't be applied.
func errSkipped() error {
	return errors.Mark(fault.New(fault.Internal, "%v", ErrEntrySkipped), ErrEntrySkipped)
}

// completeProposal replies to the call that proposed an entry at e.Index, if any.
func (g *Group) completeProposal(e *replica.Entry, value any, err error) {
	proposal, ok := g.proposals[e.Index]
	if !ok {
		return
	}
	delete(g.proposals, e.Index)
	if proposal.term != e.Term {
		proposal.call.reply(nil, unavailable(ErrNotCommitted, "another leader's entry replaced the command"))
		return
	}
	proposal.call.reply(value, err)
}

// installSnapshot replaces the state of the state machine by a snapshot from another
// member.
func (g *Group) installSnapshot(s *replica.Snapshot) error {
	invariant(s.Index > g.applied, "snapshot of entry %d received after entry %d was applied", s.Index, g.applied)
	if err := g.cfg.Machine.Restore(s.Data); err != nil {
		return errors.Wrapf(err, "restore the snapshot of entry %d", s.Index)
	}
	g.applied = s.Index
	g.snapshots.lastIndex = s.Index
	g.snapshots.lastBytes, g.snapshots.pendingBytes = len(s.Data), 0
	g.counters.restores.Add(1)
	return nil
}

// failSupersededCalls fails the pending proposals and barriers of all terms but the one
// that this member leads. The outcome of such a proposal is unknown, because the next
// leader may commit its entry or replace it.
func (g *Group) failSupersededCalls(s replica.Status) {
	g.counters.recordRole(s)
	current := func(term uint64) bool { return s.Role == replica.Leader && s.Term == term }
	g.failProposals(func(p pendingProposal) bool { return !current(p.term) }, "the leadership was lost")
	// Creating an error records the stack. If each round created this error, which is
	// hardly ever used, that would take a noticeable part of an idle leader's processor
	// time.
	if len(g.barriers.byToken) > 0 {
		g.barriers.failUnless(current, unavailable(ErrNotLeader, "not leader; the leadership was lost"))
	}
}

func (g *Group) failProposals(match func(pendingProposal) bool, reason string) {
	for index, proposal := range g.proposals {
		if match(proposal) {
			delete(g.proposals, index)
			proposal.call.reply(nil, outcomeUnknown(reason))
		}
	}
}
