package replica

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// entryLog is the kept part of the log. prevIndex and prevTerm are those of
// the entry before the first kept one.
type entryLog struct {
	entries   []Entry
	prevIndex uint64
	prevTerm  uint64
	// stable is the last index that the caller has written and synced.
	stable uint64
}

func newEntryLog(stored StoredState) (entryLog, error) {
	l := entryLog{prevIndex: stored.Snapshot.Index, prevTerm: stored.Snapshot.Term}
	entries := slices.Clone(stored.Entries)
	if len(entries) > 0 && entries[0].Index <= l.prevIndex {
		// A kept tail before the snapshot serves members that lag a little. Its
		// first entry only tells the term that an append after it must name.
		l.prevIndex, l.prevTerm = entries[0].Index, entries[0].Term
		entries = entries[1:]
	}
	for i, e := range entries {
		if e.Index != l.prevIndex+1+uint64(i) {
			return l, errors.Wrapf(ErrStoredState, "entry %d follows %d", e.Index, l.prevIndex+uint64(i))
		}
	}
	l.entries = entries
	if !l.matches(stored.Snapshot.Index, stored.Snapshot.Term) {
		// The snapshot came from a leader and replaces a log that ends before
		// it or contradicts it.
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

// term returns the term of the entry at index; false when it isn't kept.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.prevIndex:
		return l.prevTerm, true
	case index < l.prevIndex || index > l.last():
		return 0, false
	}
	return l.entries[index-l.first()].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	got, ok := l.term(index)
	return ok && got == term
}

// slice returns the entries from..to, both included, without copying. Entries
// are never changed in place, so the slice stays valid.
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

// truncate drops all entries from index on. The rest is copied, because
// slices handed out earlier share the array.
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

// beyond returns the last entry that must go so that those after it, up to and
// including index, hold at most so many bytes.
func (l *entryLog) lastIndexOverBytes(index uint64, maxBytes int) uint64 {
	for ; index > l.prevIndex; index-- {
		maxBytes -= len(l.entries[index-l.first()].Data)
		if maxBytes < 0 {
			break
		}
	}
	return index
}

// reset starts the log anew after a snapshot.
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{prevIndex: index, prevTerm: term, stable: index}
}

// conflictHint returns an index below prev at which the log of a leader may
// match: it skips the whole term of the conflicting entry, so that a member
// that diverged by many entries costs a round trip a term, not one an entry.
func (l *entryLog) conflictHint(prev uint64) uint64 {
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

// behind reports whether a log ending at (index, term) holds more than this one.
func (l *entryLog) isBehind(index, term uint64) bool {
	own := l.lastTerm()
	return term > own || term == own && index > l.last()
}

// upToDate reports whether a log ending at (index, term) holds at least what
// this one does.
func (l *entryLog) upToDate(index, term uint64) bool {
	own := l.lastTerm()
	return term > own || term == own && index >= l.last()
}
