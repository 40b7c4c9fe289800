package node

import (
	"sync/atomic"

	"github.com/bilberryferry/bilberryferry/replica"
)

type counters struct {
	proposals, commits, elections, snapshots, restores atomic.Uint64
	sent, sentBytes, received, dropped                 atomic.Uint64

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
	// Proposals were asked for, Commits is the number of entries applied.
	Proposals, Commits uint64
	// Elections is how often this member began to lead.
	Elections uint64
	// Snapshots were made here, Restores came from a leader.
	Snapshots, Restores uint64
	// MessagesSent and BytesSent were handed to the transport,
	// MessagesReceived taken in, MessagesDropped refused or without room.
	MessagesSent, BytesSent, MessagesReceived, MessagesDropped uint64
	// LogBytes, LogEntries and LogSyncs are those of the write-ahead log,
	// TornTails is 1 when its end was cut at Open. Zero without a disk.
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
	}
	if g.wal != nil {
		w := g.wal.Counters()
		s.LogBytes, s.LogEntries, s.LogSyncs, s.TornTails = w.Bytes, w.Entries, w.Syncs, w.TornTails
	}
	return s
}

// RoleName returns what the member is in the group at present, as logs show it.
func (g *Group) RoleName() string { return roleName(g.Status().Role) }
