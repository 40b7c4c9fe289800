package replica

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// ProposeMembership proposes a membership that differs in one member: adds a learner,
// promotes a learner that has caught up, removes or changes a member. It returns the
// index and term of the entry. The new membership is in force as soon as it is in a
// member's log. To replace a failed member, add a learner, promote it and remove the
// old member.
//
// Errors: ErrNotLeader, ErrTransferring, ErrChangePending, ErrNoChange,
// ErrChangeTooLarge, ErrConfig, ErrRemovesLeader, ErrNotCaughtUp, ErrLosesQuorum.
func (c *Core) ProposeMembership(members []Member) (index, term uint64, err error) {
	next := slices.Clone(members)
	for i := range next {
		next[i].Incarnation = 0
	}
	if err := c.checkCanPropose(); err != nil {
		return 0, 0, err
	}
	if err := c.checkChange(next); err != nil {
		return 0, 0, err
	}
	return c.appendMembership(next), c.term, nil
}

func (c *Core) appendMembership(members []Member) uint64 {
	index := c.appendEntry(EntryMembership, encodeMembers(members))
	c.members.push(index, members)
	c.syncProgress()
	return index
}

// checkChange returns the error for a change that isn't safe. If two memberships differ
// in one voter, every quorum of the first shares a member with every quorum of the
// second. For a series of changes that holds only if each change is committed before the
// next, and the first is proposed after the leader has committed an entry of its own term
// (checkCanPropose checks the latter).
func (c *Core) checkChange(next []Member) error {
	if err := checkMembers(next); err != nil {
		return err
	}
	if c.members.currentIndex() > c.commit {
		return errors.Wrapf(ErrChangePending, "entry %d", c.members.currentIndex())
	}
	changed := changedMembers(c.members.current(), next)
	switch {
	case len(changed) == 0:
		return ErrNoChange
	case len(changed) > 1:
		return errors.Wrapf(ErrChangeTooLarge, "%d members", len(changed))
	}
	if self, ok := findMember(next, c.cfg.ID); !ok || self.Learner || self.Witness {
		return ErrRemovesLeader
	}
	if err := c.checkPromotion(next, changed[0]); err != nil {
		return err
	}
	return c.checkQuorum(next)
}

// changedMembers returns the IDs of the members in which two memberships differ.
func changedMembers(before, after []Member) []string {
	var out []string
	for _, b := range before {
		a, ok := findMember(after, b.ID)
		b.Incarnation = 0
		if !ok || a != b {
			out = append(out, b.ID)
		}
	}
	for _, a := range after {
		if _, ok := findMember(before, a.ID); !ok {
			out = append(out, a.ID)
		}
	}
	return out
}

// checkPromotion returns ErrNotCaughtUp for a new voter unless it is a responsive learner
// that lacks at most as many committed entries as one append carries. Otherwise the group
// could need the acknowledgement of a member that is still far behind.
func (c *Core) checkPromotion(next []Member, id string) error {
	if !isVoter(next, id) || isVoter(c.members.current(), id) {
		return nil
	}
	p := c.leaderState.progress[id]
	if p == nil || !c.responsive(p) || p.flow != streaming || p.match+uint64(c.cfg.MaxEntriesPerMessage) < c.commit {
		return errors.Wrapf(ErrNotCaughtUp, "member %s", id)
	}
	return nil
}

// checkQuorum returns ErrLosesQuorum unless the responsive voters are a majority of
// the new membership. Without this check, removing a live voter of a group that has
// already lost one stops the group permanently, since undoing the change needs a
// quorum as well.
func (c *Core) checkQuorum(next []Member) error {
	responsiveVoters := 0
	for _, m := range voters(next) {
		p := c.leaderState.progress[m.ID]
		if m.ID == c.cfg.ID || p != nil && c.responsive(p) {
			responsiveVoters++
		}
	}
	if need := majority(next); responsiveVoters < need {
		return errors.Wrapf(ErrLosesQuorum, "%d of the %d voters are responsive, %d needed", responsiveVoters, len(voters(next)), need)
	}
	return nil
}
