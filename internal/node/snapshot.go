package node

import (
	"sync"
	"time"

	"github.com/bilberryferry/bilberryferry/internal/vfs"
	"github.com/bilberryferry/bilberryferry/replica"
)

// snapshotRetryDelay is the minimum delay before the next snapshot after one that the
// disk refused.
const snapshotRetryDelay = time.Second

// snapshotter takes one snapshot at a time. A separate goroutine writes the snapshot, and
// also encodes it if the state machine is a Capturer, while the log continues. Run then
// completes the snapshot.
type snapshotter struct {
	// lastIndex is the index of the latest snapshot.
	lastIndex uint64
	// lastBytes is the size of the latest snapshot. pendingBytes is the total size of the
	// commands applied since the latest start of a snapshot. Both are in bytes.
	lastBytes, pendingBytes int

	// skippedIndex is the index of the last entry that was skipped, 0 for none. The next snapshot is due
	// at once, so that no member receives the entry any more.
	skippedIndex uint64

	running bool
	done    chan snapshotResult
	// notBefore is when the next snapshot may start after the disk refused one.
	notBefore time.Time
	writers   sync.WaitGroup
}

type snapshotResult struct {
	snapshot replica.Snapshot
	err      error
}

func (s *snapshotter) wait() { s.writers.Wait() }

// maybeSnapshot starts a snapshot when enough entries or bytes were applied.
func (g *Group) maybeSnapshot() error {
	if g.snapshots.running || !g.snapshotDue() || time.Now().Before(g.snapshots.notBefore) {
		return nil
	}
	encode, err := g.capture()
	if err != nil {
		return err
	}
	s, err := g.core.SnapshotAt(g.applied, nil)
	if err != nil {
		return err
	}
	g.snapshots.running = true
	g.snapshots.pendingBytes = 0
	g.snapshots.writers.Add(1)
	go func() {
		defer g.snapshots.writers.Done()
		g.snapshots.done <- g.writeSnapshot(s, encode)
	}()
	return nil
}

func (g *Group) snapshotDue() bool {
	return g.snapshots.skippedIndex > g.snapshots.lastIndex || g.applied-g.snapshots.lastIndex >= g.cfg.SnapshotEntries ||
		g.snapshots.pendingBytes >= max(g.cfg.SnapshotBytes, g.snapshots.lastBytes)
}

func (g *Group) capture() (func() ([]byte, error), error) {
	if c, ok := g.cfg.Machine.(Capturer); ok {
		return c.Capture(), nil
	}
	data, err := g.cfg.Machine.Snapshot()
	return func() ([]byte, error) { return data, nil }, err
}

func (g *Group) writeSnapshot(s replica.Snapshot, encode func() ([]byte, error)) snapshotResult {
	var err error
	if s.Data, err = encode(); err == nil && g.wal != nil {
		err = g.wal.WriteSnapshot(s)
	}
	return snapshotResult{s, err}
}

// completeSnapshot drops the entries that a durable snapshot covers. It ignores a
// snapshot that is older than one received from another member.
func (g *Group) completeSnapshot(r snapshotResult) error {
	g.snapshots.running = false
	if vfs.IsRefused(r.err) {
		// The log continues without this snapshot, and a later snapshot covers its
		// entries.
		_ = g.logger.Log("event", "snapshot", "outcome", "failed", "err", r.err)
		g.snapshots.notBefore = time.Now().Add(snapshotRetryDelay)
		return nil
	}
	if r.err != nil {
		return r.err
	}
	if r.snapshot.Index <= g.snapshots.lastIndex {
		return nil
	}
	if g.wal != nil {
		if err := g.wal.AdoptSnapshot(r.snapshot); err != nil {
			return err
		}
	}
	g.core.Compact(r.snapshot)
	if g.snapshots.skippedIndex > 0 && r.snapshot.Index >= g.snapshots.skippedIndex {
		g.core.DropThrough(g.snapshots.skippedIndex)
	}
	g.snapshots.lastIndex = r.snapshot.Index
	g.snapshots.lastBytes = len(r.snapshot.Data)
	g.counters.snapshots.Add(1)
	return nil
}
