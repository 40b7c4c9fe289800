package replica

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// entryLog is the part of the log that isn't compacted. prevIndex and prevTerm are
// the index and term of the entry before the first one it holds.
type entryLog struct {
	entries   []Entry
	prevIndex uint64
	prevTerm  uint64
	// stable is the last index that the caller has written and synced.
	stable uint64
}

// newEntryLog returns the log of a stored state, or ErrStoredState when its entries
// have gaps.
func newEntryLog(stored StoredState) (entryLog, error) {
	l := entryLog{prevIndex: stored.Snapshot.Index, prevTerm: stored.Snapshot.Term}
	entries := slices.Clone(stored.Entries)
	if len(entries) > 0 && entries[0].Index <= l.prevIndex {
		// The entries up to the snapshot are kept for members that are a few entries
		// behind. The first of them becomes the entry before the log: an append names
		// the index and term of the entry that it follows.
		l.prevIndex, l.prevTerm = entries[0].Index, entries[0].Term
		entries = entries[1:]
	}
	for i, e := range entries {
		if e.Index != l.prevIndex+1+uint64(i) {
			return l, errors.Wrapf(ErrStoredState, "entry %d follows entry %d", e.Index, l.prevIndex+uint64(i))
		}
	}
	l.entries = entries
	if !l.matches(stored.Snapshot.Index, stored.Snapshot.Term) {
		// The snapshot came from a leader. It replaces a log that ends before it or
		// contradicts it.
		l = entryLog{prevIndex: stored.Snapshot.Index, prevTerm: stored.Snapshot.Term}
	}
	l.stable = l.last()
	return l, nil
}

func (l *entryLog) first() uint64 { return l.prevIndex + 1 }
func (l *entryLog) last() uint64  { return l.prevIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index, or false when the log doesn't hold it.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.prevIndex:
		return l.prevTerm, true
	case index < l.prevIndex || index > l.last():
		return 0, false
	}
	return l.entries[index-l.first()].Term, true
}

// matches reports whether the log holds an entry of that index and term.
func (l *entryLog) matches(index, term uint64) bool {
	got, ok := l.term(index)
	return ok && got == term
}

// slice returns the entries whose indexes are in the closed range [from, to], without
// copying. Entries are never changed in place, so the slice stays valid.
func (l *entryLog) slice(from, to uint64) []Entry {
	if from > to {
		return nil
	}
	lo, hi := from-l.first(), to-l.prevIndex
	return l.entries[lo:hi:hi]
}

func (l *entryLog) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
}

// truncate drops all entries from index on. It copies the remaining entries, because
// slices returned earlier share the array.
func (l *entryLog) truncate(index uint64) {
	l.entries = slices.Clone(l.entries[:index-l.first()])
	l.stable = min(l.stable, index-1)
}

// compact drops the entries up to and including index.
func (l *entryLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index <= l.prevIndex {
		return
	}
	l.entries = slices.Clone(l.entries[index-l.prevIndex:])
	l.prevIndex, l.prevTerm = index, term
}

// lastIndexOverBytes returns the last index to drop so that the data of the entries
// after it, up to and including index, takes at most maxBytes.
func (l *entryLog) lastIndexOverBytes(index uint64, maxBytes int) uint64 {
	for ; index > l.prevIndex; index-- {
		maxBytes -= len(l.entries[index-l.first()].Data)
		if maxBytes < 0 {
			break
		}
	}
	return index
}

// reset replaces the log by a snapshot that ends at (index, term).
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{prevIndex: index, prevTerm: term, stable: index}
}

// conflictHint returns an index below prev at which the leader's log may match. It
// skips the whole term of the conflicting entry, so that a log that diverged by many
// entries costs one round trip for each term, not one for each entry.
func (l *entryLog) conflictHint(prev uint64) uint64 {
	if prev == 0 {
		return 0
	}
	if prev > l.last() {
		return l.last()
	}
	conflict, ok := l.term(prev)
	if !ok {
		return prev - 1
	}
	index := prev - 1
	for index > l.prevIndex {
		if term, _ := l.term(index); term != conflict {
			break
		}
		index--
	}
	return index
}

// isBehind reports whether this log is less up to date than a log that ends at (index,
// term).
func (l *entryLog) isBehind(index, term uint64) bool {
	own := l.lastTerm()
	return term > own || term == own && index > l.last()
}

// upToDate reports whether a log ending at (index, term) is at least as up to date as
// this log.
func (l *entryLog) upToDate(index, term uint64) bool {
	own := l.lastTerm()
	return term > own || term == own && index >= l.last()
}
