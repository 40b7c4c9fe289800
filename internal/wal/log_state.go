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
func (s *logState) last() position {
	if n := len(s.entries); n > 0 {
		return position{s.entries[n-1].Index, s.entries[n-1].Term}
	}
	return s.base
}

// apply applies one record. first is true for the first record of a segment, and oldest is
// true for a record of the oldest remaining segment.
func (s *logState) apply(r *record, first, oldest bool) error {
	if first {
		if err := s.startSegment(r.Base, oldest); err != nil {
			return err
		}
	}
	if r.HardState != nil {
		s.hardState = *r.HardState
	}
	if r.Snapshot != nil {
		s.applySnapshot(*r.Snapshot)
	}
	if err := s.rebase(r); err != nil {
		return err
	}
	return s.append(r.Entries)
}

// rebase handles a record whose first entry has the index of the base or a lower one. Such
// a record replaces entries of a segment that has been removed, so rebase drops all entries
// and sets the base to the entry before the record's first one. Without this, a log whose
// oldest segment replaces the end of a removed segment would be reported as damaged.
func (s *logState) rebase(r *record) error {
	if len(r.Entries) == 0 || r.Entries[0].Index > s.base.Index {
		return nil
	}
	first := r.Entries[0].Index
	if first <= s.snapshot.Index {
		return errors.Newf("entry %d is not after the snapshot of entry %d", first, s.snapshot.Index)
	}
	s.base = position{first - 1, r.PreviousTerm}
	s.entries = nil
	return nil
}

// startSegment checks that a segment continues the entry before it.
func (s *logState) startSegment(base *position, oldest bool) error {
	if base == nil {
		return errors.New("first record of the segment doesn't name the entry before it")
	}
	if oldest {
		s.base = *base
		return nil
	}
	if last := s.last(); last != *base {
		return errors.Newf("segment continues entry %d of term %d, but the one before it ends with %d of term %d",
			base.Index, base.Term, last.Index, last.Term)
	}
	return nil
}

// append adds entries. An entry whose index is already present replaces that entry
// and all later ones.
func (s *logState) append(entries []replica.Entry) error {
	for _, e := range entries {
		if last := s.last().Index; e.Index > last+1 {
			return errors.Newf("entry %d follows entry %d", e.Index, last)
		}
		if e.Index <= s.base.Index {
			return errors.Newf("entry %d is not after entry %d, the last one removed", e.Index, s.base.Index)
		}
		s.entries = append(s.entries[:e.Index-s.base.Index-1], e)
	}
	return nil
}

// applySnapshot drops the entries that a durable snapshot at p replaces. Entries
// after p stay if the log holds the entry of p with the same term; otherwise they belong
// to a superseded history.
func (s *logState) applySnapshot(p position) {
	if p.Index > s.snapshot.Index {
		s.snapshot = p
	}
	if p.Index < s.base.Index {
		return
	}
	if s.termAt(p.Index) != p.Term {
		s.base, s.entries = p, nil
		return
	}
	s.entries = s.entries[p.Index-s.base.Index:]
	s.base = p
}

// termAt returns the term of an entry, or 0 when the log doesn't hold it.
func (s *logState) termAt(index uint64) uint64 {
	if index == s.base.Index {
		return s.base.Term
	}
	if index < s.base.Index || index > s.last().Index {
		return 0
	}
	return s.entries[index-s.base.Index-1].Term
}
