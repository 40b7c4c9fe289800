package control

import (
	"maps"
	"sync"
	"time"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// collectTimeout is how long after a collection by the leader this instance expects the
// next one. After that time it no longer buffers heartbeats.
const collectTimeout = time.Second

// BufferedHeartbeat is a heartbeat that an instance other than the leader received. Age
// is the time since then.
type BufferedHeartbeat struct {
	Worker string        `cbor:"1,keyasint"`
	Age    time.Duration `cbor:"2,keyasint"`
}

// heartbeatBuffer holds unchanged heartbeats until the leader collects them.
//
// A thousand workers send hundreds of heartbeats a second. Without the buffer, each of
// them would cause a call to the leader.
type heartbeatBuffer struct {
	mu sync.Mutex
	// pending maps each worker with an uncollected heartbeat to the arrival time of the
	// latest one.
	pending     map[string]time.Time
	forwarded   forwardTimes
	collectedAt time.Time
}

// forwardTimes records when the leader last learned of a heartbeat of each worker.
type forwardTimes struct {
	at map[string]time.Time
	// prunedAt is when outdated entries were last removed.
	prunedAt time.Time
}

// isRecent reports whether the leader learned of a heartbeat of the worker within
// forwardInterval and therefore needs no further one yet.
func (t *forwardTimes) isRecent(worker string, now time.Time) bool {
	return now.Sub(t.at[worker]) < forwardInterval
}

// record records that the leader learns of a heartbeat now, and removes outdated entries.
func (t *forwardTimes) record(worker string, now time.Time) {
	if t.at == nil {
		t.at = map[string]time.Time{}
	}
	t.at[worker] = now
	if now.Sub(t.prunedAt) > unresponsiveWorkerTimeout {
		t.prunedAt = now
		maps.DeleteFunc(t.at, func(_ string, at time.Time) bool { return now.Sub(at) > unresponsiveWorkerTimeout })
	}
}

// buffer stores a heartbeat for the next collection, unless the leader has learned of
// another one recently. It reports false if the leader doesn't collect from this
// instance, so that the heartbeat has to be forwarded.
func (b *heartbeatBuffer) buffer(worker string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.collectedAt) > collectTimeout {
		return false
	}
	if b.pending == nil {
		b.pending = map[string]time.Time{}
	}
	if !b.forwarded.isRecent(worker, now) {
		b.pending[worker] = now
	}
	return true
}

// collect returns and removes the buffered heartbeats.
func (b *heartbeatBuffer) collect(now time.Time) []BufferedHeartbeat {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.collectedAt = now
	collected := make([]BufferedHeartbeat, 0, len(b.pending))
	for worker, at := range b.pending {
		collected = append(collected, BufferedHeartbeat{Worker: worker, Age: now.Sub(at)})
		b.forwarded.record(worker, now)
	}
	clear(b.pending)
	return collected
}

// CollectHeartbeats returns the heartbeats that this instance has buffered for the leader
// since the last call.
func (c *Controller) CollectHeartbeats() []BufferedHeartbeat {
	return c.heartbeatBuffer.collect(time.Now())
}

// ApplyCollectedHeartbeats records heartbeats that another instance received. It does
// nothing on a member that doesn't lead.
func (c *Controller) ApplyCollectedHeartbeats(collected []BufferedHeartbeat) {
	c.mu.Lock()
	t := c.leaderTerm
	c.mu.Unlock()
	if t == nil {
		return
	}
	now := time.Now()
	for _, h := range collected {
		t.applyCollectedHeartbeat(h.Worker, now.Add(-h.Age))
	}
}

// applyCollectedHeartbeat records the time of a heartbeat of a worker. If the worker is
// in the log and no longer monitored, it is monitored again.
func (t *leaderTerm) applyCollectedHeartbeat(worker string, at time.Time) {
	t.mu.Lock()
	s := t.sessions[worker]
	if s != nil && at.After(s.heartbeatAt) {
		s.heartbeatAt = at
	}
	t.mu.Unlock()
	if s != nil {
		return
	}
	var known *workflow.Worker
	t.c.state.read(func(state *workflow.State) {
		if w := state.Workers[worker]; w != nil && !w.Gone {
			registered := w.Worker
			known = &registered
		}
	})
	if known != nil {
		t.recordHeartbeat(known, 0)
	}
}
