// Package worktime sums up how long an instance works on what, so that a log line says once a second where the
// time of its processor goes. An operating system's profiler isn't needed, and isn't available everywhere.
package worktime

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Kind names what an instance works on, in log lines and metrics.
type Kind string

// Values of Kind.
const (
	// Log is a round of the replicated log, without the sync of its disk.
	Log Kind = "log"
	// Decide is a full decision, DecideChanged one about changed jobs.
	Decide        Kind = "decide"
	DecideChanged Kind = "decide_changed"
	// Report is the processing of a worker's report.
	Report Kind = "report"
	// Collect is the processing of what a carrier has collected.
	Collect Kind = "collect"
)

// Sum is the work of one kind since the last Take.
type Sum struct {
	Kind    Kind
	Count   int
	Total   time.Duration
	Longest time.Duration
}

// Ledger sums up work by kind. Its methods may be called on nil, which sums up nothing. It is safe for
// concurrent use.
//
// It measures elapsed time. A section that doesn't block has the processor for all of it, but for the rare times
// when the runtime interrupts it after 10 ms.
type Ledger struct {
	mu   sync.Mutex
	sums map[Kind]*Sum
}

// NewLedger returns a Ledger without work.
func NewLedger() *Ledger { return &Ledger{sums: map[Kind]*Sum{}} }

// Track begins a section of work that doesn't block; done ends it.
func (l *Ledger) Track(kind Kind) (done func()) {
	if l == nil {
		return func() {}
	}
	start := time.Now()
	return func() { l.Add(kind, time.Since(start)) }
}

// Add adds a section of work.
func (l *Ledger) Add(kind Kind, took time.Duration) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := l.sums[kind]
	if sum == nil {
		sum = &Sum{Kind: kind}
		l.sums[kind] = sum
	}
	sum.Count++
	sum.Total += took
	sum.Longest = max(sum.Longest, took)
}

// Take returns the sums since the last call, those with the longest total first.
func (l *Ledger) Take() []Sum {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	sums := make([]Sum, 0, len(l.sums))
	for _, sum := range l.sums {
		sums = append(sums, *sum)
	}
	clear(l.sums)
	slices.SortFunc(sums, func(a, b Sum) int { return cmp.Or(cmp.Compare(b.Total, a.Total), cmp.Compare(a.Kind, b.Kind)) })
	return sums
}

// Format formats sums for a log line: of each kind how often, for how many milliseconds in total and for how long
// at the most.
func Format(sums []Sum) string {
	parts := make([]string, len(sums))
	for i, s := range sums {
		parts[i] = fmt.Sprintf("%s:%d/%d/%d", s.Kind, s.Count, s.Total.Milliseconds(), s.Longest.Milliseconds())
	}
	return strings.Join(parts, " ")
}
