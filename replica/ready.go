package replica

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// HasReady reports whether Ready would return work. It returns false until the latest
// Ready was passed to Advance.
func (c *Core) HasReady() bool {
	if c.readyPending {
		return false
	}
	c.flushAppends()
	hs := c.hardState()
	return len(c.messages) > 0 || len(c.reads) > 0 || c.newSnapshot != nil ||
		c.log.stable < c.log.last() || c.applied < c.commit ||
		hs.Commit != c.savedState.Commit || !hs.equalExceptCommit(&c.savedState)
}

// Ready returns the work to do. Pass each Ready to Advance once its work is done,
// before calling Ready again. Step, Tick and Propose may be called in between.
func (c *Core) Ready() Ready {
	invariant(!c.readyPending, "%s: Ready before Advance", c.cfg.ID)
	c.flushAppends()
	r := Ready{
		Snapshot: c.newSnapshot,
		Entries:  c.log.slice(c.log.stable+1, c.log.last()),
		Messages: c.messages,
		Reads:    c.reads,
	}
	r.Committed = c.entriesToApply()
	hs := c.hardState()
	unchangedExceptCommit := hs.equalExceptCommit(&c.savedState)
	if !unchangedExceptCommit || hs.Commit != c.savedState.Commit {
		r.HardState = &hs
	}
	r.MustSync = !unchangedExceptCommit || len(r.Entries) > 0 || r.Snapshot != nil || c.membershipCommittedAfter(c.savedState.Commit)
	c.messages, c.reads = nil, nil
	c.readyPending = true
	return r
}

// membershipCommittedAfter reports whether a membership was committed after index.
// The commit index must then be synced: until a restarted member learns that a
// removal is committed, the removed member, which may never come back, must take part
// in a cold start.
func (c *Core) membershipCommittedAfter(index uint64) bool {
	return c.members.indexAt(c.commit) > index
}

// entriesToApply returns the committed entries after the applied index, or after the
// snapshot that this Ready installs.
func (c *Core) entriesToApply() []Entry {
	from := c.applied
	if c.newSnapshot != nil {
		from = c.newSnapshot.Index
	}
	return c.log.slice(from+1, c.commit)
}

// Advance reports that the work of r is done: written, synced, sent and applied.
func (c *Core) Advance(r Ready) {
	invariant(c.readyPending, "%s: Advance without Ready", c.cfg.ID)
	c.readyPending = false
	if r.HardState != nil {
		c.savedState = *r.HardState
	}
	if r.Snapshot != nil {
		c.applied = max(c.applied, r.Snapshot.Index)
		if c.newSnapshot == r.Snapshot {
			c.newSnapshot = nil
		}
	}
	c.advanceStable(r.Entries)
	if n := len(r.Committed); n > 0 {
		c.applied = max(c.applied, r.Committed[n-1].Index)
	}
	invariant(c.applied <= c.commit, "%s: applied index %d is after commit index %d", c.cfg.ID, c.applied, c.commit)
	if c.role == Leader {
		c.onLogSynced()
	}
}

// advanceStable records the entries that the caller has synced. The log may have been
// truncated and extended meanwhile, so only an entry that it still holds counts.
func (c *Core) advanceStable(entries []Entry) {
	for i := len(entries) - 1; i >= 0; i-- {
		if c.log.matches(entries[i].Index, entries[i].Term) {
			c.log.stable = max(c.log.stable, entries[i].Index)
			return
		}
	}
}

// SnapshotAt returns the snapshot to store for an applied index, with the term and
// the membership of that index. It returns ErrBadSnapshot when index isn't an applied
// index that the log still holds.
func (c *Core) SnapshotAt(index uint64, data []byte) (Snapshot, error) {
	term, ok := c.log.term(index)
	if !ok || index > c.applied {
		return Snapshot{}, errors.Wrapf(ErrBadSnapshot, "index %d", index)
	}
	members := slices.Clone(c.members.at(index))
	for i := range members {
		members[i].Incarnation = max(members[i].Incarnation, c.incarnations.of(members[i].ID))
	}
	return Snapshot{Index: index, Term: term, Members: members, Data: data}, nil
}

// Compact drops the entries up to the caller's stored snapshot at s.Index, except for
// the last ones within Config.KeepEntries and KeepBytes. It ignores a snapshot that
// is older than the current one or not of an applied index. It fills in Term and
// Members from the log.
func (c *Core) Compact(s Snapshot) {
	if s.Index <= c.snapshot.Index {
		return
	}
	full, err := c.SnapshotAt(s.Index, s.Data)
	if err != nil {
		return
	}
	c.snapshot = full
	c.members.compact(s.Index)
	keep := uint64(c.cfg.KeepEntries)
	drop := s.Index - min(s.Index, keep)
	if c.cfg.KeepBytes > 0 {
		drop = max(drop, c.log.lastIndexOverBytes(s.Index, c.cfg.KeepBytes))
	}
	c.log.compact(drop)
}

// DropThrough drops the entries up to and including index even if Config.KeepEntries would keep them. It
// ignores an index that the stored snapshot doesn't cover.
func (c *Core) DropThrough(index uint64) {
	if index <= c.snapshot.Index {
		c.log.compact(index)
	}
}
