package control

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestTheLeaderIsToldOfAHeartbeatOnceInAWhile(t *testing.T) {
	var l heardLog
	now := time.Now()
	must.False(t, l.note("w", now), must.Sprint("nobody asks: the heartbeat has to go on"))
	must.SliceEmpty(t, l.take(now))
	must.True(t, l.note("w", now))
	must.True(t, l.note("w", now.Add(100*time.Millisecond)))
	must.Eq(t, []HeardWorker{{Worker: "w", Age: 400 * time.Millisecond}}, l.take(now.Add(500*time.Millisecond)))
	must.True(t, l.note("w", now.Add(time.Second)))
	must.SliceEmpty(t, l.take(now.Add(time.Second)))
	must.False(t, l.note("w", now.Add(time.Second+2*takenUpFor)), must.Sprint("the leader has stopped asking"))
}

// The leader has given up a worker that it didn't reach, and another instance goes on
// taking its heartbeats: told of one, the leader looks after the worker again.
func TestAWorkerThatWasGivenUpIsLookedAfterAgain(t *testing.T) {
	w := startedWorld(t)
	w.c.mu.Lock()
	tenure := w.c.tenure
	w.c.mu.Unlock()
	const id = "w1"
	tenure.mu.Lock()
	delete(tenure.sessions, id)
	tenure.mu.Unlock()
	w.c.HeardElsewhere([]HeardWorker{{Worker: id, Age: time.Second}, {Worker: "never seen"}})
	must.True(t, tenure.looksAfter(id))
	must.False(t, tenure.looksAfter("never seen"))
}
