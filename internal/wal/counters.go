package wal

import (
	"sync/atomic"

	"github.com/bilberryferry/bilberryferry/replica"
)

type counters struct {
	bytes, entries, syncs, tornTails atomic.Uint64
}

// Counters holds totals since Open.
type Counters struct {
	// Bytes and Entries count what was appended to segments, Syncs the syncs of
	// appended records.
	Bytes, Entries, Syncs uint64
	// TornTails is 1 if Open truncated a torn tail.
	TornTails uint64
}

// Counters returns the totals since Open.
func (w *WAL) Counters() Counters {
	return Counters{
		Bytes:     w.counters.bytes.Load(),
		Entries:   w.counters.entries.Load(),
		Syncs:     w.counters.syncs.Load(),
		TornTails: w.counters.tornTails.Load(),
	}
}

// withoutData returns copies of entries without their data. An open log keeps only the
// index and term of its entries in memory.
func withoutData(entries []replica.Entry) []replica.Entry {
	stripped := make([]replica.Entry, len(entries))
	for i, e := range entries {
		stripped[i] = replica.Entry{Index: e.Index, Term: e.Term}
	}
	return stripped
}

// dropData drops the data of the entries.
func (s *logState) dropData() { s.entries = withoutData(s.entries) }
