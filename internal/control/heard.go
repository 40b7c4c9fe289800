package control

import (
	"maps"
	"sync"
	"time"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// takenUpFor is how long after the leader last asked this instance for the heartbeats
// that it took it is expected to ask again.
const takenUpFor = time.Second

// HeardWorker is a heartbeat that another instance took.
type HeardWorker struct {
	Worker string        `cbor:"1,keyasint"`
	Age    time.Duration `cbor:"2,keyasint"`
}

// heardLog holds heartbeats that say nothing new until the leader asks for them.
//
// Load that it answers: a thousand workers send hundreds of heartbeats a second, each
// of which would be a call to the leader.
type heardLog struct {
	mu sync.Mutex
	// waiting is when workers were heard of which the leader hasn't been told.
	waiting map[string]time.Time
	told    toldTimes
	takenAt time.Time
}

// toldTimes is when the leader was last told of heartbeats of each worker.
type toldTimes struct {
	at map[string]time.Time
	// prunedAt is when workers that are long gone were dropped.
	prunedAt time.Time
}

// lately reports whether the leader needn't be told of a worker again yet.
func (t *toldTimes) lately(worker string, now time.Time) bool {
	return now.Sub(t.at[worker]) < passOnEvery
}

func (t *toldTimes) note(worker string, now time.Time) {
	if t.at == nil {
		t.at = map[string]time.Time{}
	}
	t.at[worker] = now
	if now.Sub(t.prunedAt) > forgetWorker {
		t.prunedAt = now
		maps.DeleteFunc(t.at, func(_ string, at time.Time) bool { return now.Sub(at) > forgetWorker })
	}
}

// note takes a heartbeat in, and reports whether the leader will be told by asking.
func (l *heardLog) note(worker string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.takenAt) > takenUpFor {
		return false
	}
	if l.waiting == nil {
		l.waiting = map[string]time.Time{}
	}
	if !l.told.lately(worker, now) {
		l.waiting[worker] = now
	}
	return true
}

// take returns the heartbeats that the leader hasn't been told of.
func (l *heardLog) take(now time.Time) []HeardWorker {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.takenAt = now
	heard := make([]HeardWorker, 0, len(l.waiting))
	for worker, at := range l.waiting {
		heard = append(heard, HeardWorker{Worker: worker, Age: now.Sub(at)})
		l.told.note(worker, now)
	}
	clear(l.waiting)
	return heard
}

// TakeHeard returns the heartbeats that this instance took for the leader, which asks.
func (c *Controller) TakeHeard() []HeardWorker { return c.heardHere.take(time.Now()) }

// HeardElsewhere takes in heartbeats that another instance took.
func (c *Controller) HeardElsewhere(heard []HeardWorker) {
	c.mu.Lock()
	t := c.tenure
	c.mu.Unlock()
	if t == nil {
		return
	}
	now := time.Now()
	for _, h := range heard {
		t.heardElsewhere(h.Worker, now.Add(-h.Age))
	}
}

// heardElsewhere notes when a worker was heard. One that was given up is looked after
// again.
func (t *tenure) heardElsewhere(worker string, at time.Time) {
	t.mu.Lock()
	s := t.sessions[worker]
	if s != nil && at.After(s.heardAt) {
		s.heardAt = at
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
		t.heard(known, 0)
	}
}
