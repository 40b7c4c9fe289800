package wal

import (
	"sync/atomic"

	"github.com/bilberryferry/bilberryferry/replica"
)

type counters struct {
	bytes, entries, syncs, tornTails atomic.Uint64
}

// Counters are totals since Open.
type Counters struct {
	// Bytes and Entries were written to segments, Syncs is the number of syncs.
	Bytes, Entries, Syncs uint64
	// TornTails is 1 when Open cut a torn tail.
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

// withoutData copies entries without what they carry: the open log keeps only
// positions in memory.
func withoutData(entries []replica.Entry) []replica.Entry {
	bare := make([]replica.Entry, len(entries))
	for i, e := range entries {
		bare[i] = replica.Entry{Index: e.Index, Term: e.Term}
	}
	return bare
}

func (m *logState) dropData() { m.entries = withoutData(m.entries) }
