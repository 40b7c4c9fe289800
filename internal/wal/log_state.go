package wal

import (
	"github.com/bilberryferry/bilberryferry/replica"
	"github.com/cockroachdb/errors"
)

// logState is the result of the records read or written so far.
type logState struct {
	hardState replica.HardState
	// snapshot is the position of the newest snapshot that a record names.
	snapshot position
	// base is the position of the entry before entries[0].
	base    position
	entries []replica.Entry
}

// last returns the position of the last entry.
func (m *logState) last() position {
	if n := len(m.entries); n > 0 {
		return position{m.entries[n-1].Index, m.entries[n-1].Term}
	}
	return m.base
}

// apply applies one record. first is true for the first record of a segment, oldest
// for a record of the oldest remaining segment.
func (m *logState) apply(r *record, first, oldest bool) error {
	if first {
		if err := m.startSegment(r.Base, oldest); err != nil {
			return err
		}
	}
	if r.HardState != nil {
		m.hardState = *r.HardState
	}
	if r.Snapshot != nil {
		m.applySnapshot(*r.Snapshot)
	}
	if err := m.rebase(r); err != nil {
		return err
	}
	return m.append(r.Entries)
}

// rebase sets the base to the entry before the record's entries when these replace
// entries that began in a segment removed since. Without it, a log whose first
// segment replaces the end of the removed one would read as damaged.
func (m *logState) rebase(r *record) error {
	if len(r.Entries) == 0 || r.Entries[0].Index > m.base.Index {
		return nil
	}
	first := r.Entries[0].Index
	if first <= m.snapshot.Index {
		return errors.Newf("entry %d is not after the snapshot of entry %d", first, m.snapshot.Index)
	}
	m.base = position{first - 1, r.PreviousTerm}
	m.entries = nil
	return nil
}

// startSegment checks that a segment continues the entry before it.
func (m *logState) startSegment(base *position, oldest bool) error {
	if base == nil {
		return errors.New("first record of the segment doesn't name the entry before it")
	}
	if oldest {
		m.base = *base
		return nil
	}
	if last := m.last(); last != *base {
		return errors.Newf("segment continues entry %d of term %d, but the one before it ends with %d of term %d",
			base.Index, base.Term, last.Index, last.Term)
	}
	return nil
}

// append adds entries. An entry whose index is already present replaces that entry
// and all later ones.
func (m *logState) append(entries []replica.Entry) error {
	for _, e := range entries {
		if last := m.last().Index; e.Index > last+1 {
			return errors.Newf("entry %d follows entry %d", e.Index, last)
		}
		if e.Index <= m.base.Index {
			return errors.Newf("entry %d is not after entry %d, the last one removed", e.Index, m.base.Index)
		}
		m.entries = append(m.entries[:e.Index-m.base.Index-1], e)
	}
	return nil
}

// applySnapshot drops the entries that a durable snapshot at p replaces. Entries
// after p stay if they continue it; otherwise they belong to a superseded history.
func (m *logState) applySnapshot(p position) {
	if p.Index > m.snapshot.Index {
		m.snapshot = p
	}
	if p.Index < m.base.Index {
		return
	}
	if m.termAt(p.Index) != p.Term {
		m.base, m.entries = p, nil
		return
	}
	m.entries = m.entries[p.Index-m.base.Index:]
	m.base = p
}

// termAt returns the term of an entry, or 0 when the log doesn't hold it.
func (m *logState) termAt(index uint64) uint64 {
	if index == m.base.Index {
		return m.base.Term
	}
	if index < m.base.Index || index > m.last().Index {
		return 0
	}
	return m.entries[index-m.base.Index-1].Term
}
