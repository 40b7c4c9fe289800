package control

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against this failure: each heartbeat is forwarded to the leader although the
// leader collects buffered ones, or none is forwarded any more after the leader has
// stopped collecting.
func TestHeartbeatBufferLimitsForwardRate(t *testing.T) {
	var heartbeats heartbeatBuffer
	now := time.Now()
	must.False(t, heartbeats.buffer("w", now), must.Sprint("the leader doesn't collect: the heartbeat has to be forwarded"))
	must.SliceEmpty(t, heartbeats.collect(now))
	must.True(t, heartbeats.buffer("w", now))
	must.True(t, heartbeats.buffer("w", now.Add(100*time.Millisecond)))
	must.Eq(t, []BufferedHeartbeat{{Worker: "w", Age: 400 * time.Millisecond}}, heartbeats.collect(now.Add(500*time.Millisecond)))
	must.True(t, heartbeats.buffer("w", now.Add(time.Second)))
	must.SliceEmpty(t, heartbeats.collect(now.Add(time.Second)))
	must.False(t, heartbeats.buffer("w", now.Add(time.Second+2*collectTimeout)), must.Sprint("the leader has stopped collecting"))
}

// Guards against this failure: the leader stops monitoring a worker that it couldn't
// reach, while another instance still receives the worker's heartbeats. The worker stays
// unused if a collected heartbeat doesn't make the leader monitor it again.
func TestCollectedHeartbeatResumesMonitoring(t *testing.T) {
	cluster := clusterWithStartedTask(t)
	cluster.controller.mu.Lock()
	term := cluster.controller.leaderTerm
	cluster.controller.mu.Unlock()
	const id = "w1"
	term.mu.Lock()
	delete(term.sessions, id)
	term.mu.Unlock()
	cluster.controller.ApplyCollectedHeartbeats([]BufferedHeartbeat{{Worker: id, Age: time.Second}, {Worker: "never seen"}})
	must.True(t, term.monitors(id))
	must.False(t, term.monitors("never seen"))
}
