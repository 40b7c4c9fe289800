package node

import (
	"sync/atomic"

	"github.com/bilberryferry/bilberryferry/replica"
)

type counters struct {
	proposals, commits, elections, snapshots, restores atomic.Uint64
	sent, sentBytes, received, dropped, skipped        atomic.Uint64

	// ledTerm is the latest term that this member led.
	ledTerm uint64
}

func (c *counters) recordRole(s replica.Status) {
	if s.Role == replica.Leader && s.Term != c.ledTerm {
		c.ledTerm = s.Term
		c.elections.Add(1)
	}
}

// Stats are totals since Open, in a form that expvar.Func can publish.
type Stats struct {
	// Proposals counts the calls of Propose, Commits the entries applied.
	Proposals, Commits uint64
	// Elections counts the terms that this member led.
	Elections uint64
	// Snapshots counts the snapshots taken by this member, Restores those installed
	// from another member.
	Snapshots, Restores uint64
	// EntriesSkipped counts the entries that weren't applied because they make the state machine panic.
	EntriesSkipped uint64
	// MessagesSent and BytesSent count what was passed to the transport,
	// MessagesReceived the messages queued for Run, and MessagesDropped those that the
	// core refused or that exceeded the bound of the queue.
	MessagesSent, BytesSent, MessagesReceived, MessagesDropped uint64
	// LogBytes, LogEntries and LogSyncs count the writes of the write-ahead log;
	// TornTails is 1 when Open truncated its end. All are zero without a disk.
	LogBytes, LogEntries, LogSyncs, TornTails uint64
}

// Stats returns the totals since Open.
func (g *Group) Stats() Stats {
	c := &g.counters
	s := Stats{
		Proposals:        c.proposals.Load(),
		Commits:          c.commits.Load(),
		Elections:        c.elections.Load(),
		Snapshots:        c.snapshots.Load(),
		Restores:         c.restores.Load(),
		MessagesSent:     c.sent.Load(),
		BytesSent:        c.sentBytes.Load(),
		MessagesReceived: c.received.Load(),
		MessagesDropped:  c.dropped.Load(),
		EntriesSkipped:   c.skipped.Load(),
	}
	if g.wal != nil {
		w := g.wal.Counters()
		s.LogBytes, s.LogEntries, s.LogSyncs, s.TornTails = w.Bytes, w.Entries, w.Syncs, w.TornTails
	}
	return s
}

// RoleName returns the member's current role in the group, as logs name it.
func (g *Group) RoleName() string { return roleName(g.Status().Role) }
