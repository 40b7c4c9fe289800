package control

import (
	"maps"
	"sync"
	"time"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// collectTimeout is how long after the leader last asked this instance for the heartbeats
// that it took it is expected to ask again.
const collectTimeout = time.Second

// BufferedHeartbeat is a heartbeat that another instance took.
type BufferedHeartbeat struct {
	Worker string        `cbor:"1,keyasint"`
	Age    time.Duration `cbor:"2,keyasint"`
}

// heartbeatBuffer holds heartbeats that say nothing new until the leader asks for them.
//
// Load that it answers: a thousand workers send hundreds of heartbeats a second, each
// of which would be a call to the leader.
type heartbeatBuffer struct {
	mu sync.Mutex
	// waiting is when workers were heard of which the leader hasn't been told.
	pending     map[string]time.Time
	forwarded   forwardTimes
	collectedAt time.Time
}

// forwardTimes is when the leader was last told of heartbeats of each worker.
type forwardTimes struct {
	at map[string]time.Time
	// prunedAt is when workers that are long gone were dropped.
	prunedAt time.Time
}

// lately reports whether the leader needn't be told of a worker again yet.
func (t *forwardTimes) isRecent(worker string, now time.Time) bool {
	return now.Sub(t.at[worker]) < forwardInterval
}

func (t *forwardTimes) note(worker string, now time.Time) {
	if t.at == nil {
		t.at = map[string]time.Time{}
	}
	t.at[worker] = now
	if now.Sub(t.prunedAt) > silentWorkerTimeout {
		t.prunedAt = now
		maps.DeleteFunc(t.at, func(_ string, at time.Time) bool { return now.Sub(at) > silentWorkerTimeout })
	}
}

// note takes a heartbeat in, and reports whether the leader will be told by asking.
func (l *heartbeatBuffer) buffer(worker string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.collectedAt) > collectTimeout {
		return false
	}
	if l.pending == nil {
		l.pending = map[string]time.Time{}
	}
	if !l.forwarded.isRecent(worker, now) {
		l.pending[worker] = now
	}
	return true
}

// take returns the heartbeats that the leader hasn't been told of.
func (l *heartbeatBuffer) collect(now time.Time) []BufferedHeartbeat {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.collectedAt = now
	collected := make([]BufferedHeartbeat, 0, len(l.pending))
	for worker, at := range l.pending {
		collected = append(collected, BufferedHeartbeat{Worker: worker, Age: now.Sub(at)})
		l.forwarded.note(worker, now)
	}
	clear(l.pending)
	return collected
}

// CollectHeartbeats returns the heartbeats that this instance took for the leader, which asks.
func (c *Controller) CollectHeartbeats() []BufferedHeartbeat {
	return c.heartbeatBuffer.collect(time.Now())
}

// ApplyCollectedHeartbeats takes in heartbeats that another instance took.
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

// applyCollectedHeartbeat notes when a worker was heard. One that was given up is looked after
// again.
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
			copied := w.Worker
			known = &copied
		}
	})
	if known != nil {
		t.noteHeartbeat(known, 0)
	}
}
