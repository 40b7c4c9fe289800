package node

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/vfs"
	"github.com/bilberryferry/bilberryferry/internal/wal"
	"github.com/bilberryferry/bilberryferry/replica"
)

// discardTransport is a Transport that loses all payloads.
type discardTransport struct{}

func (discardTransport) Send(string, string, []byte) {}

// openFollower returns a member "a" of a, b and c with stored state of term 1. Its clock is now.
func openFollower(t *testing.T, now func() time.Time) *Group {
	folder := t.TempDir()
	w, _, err := wal.Open(vfs.OS{}, folder, nil)
	must.NoError(t, err)
	must.NoError(t, w.Save(&replica.HardState{Term: 1, Incarnation: 1}, nil, true))
	must.NoError(t, w.Close())
	g, err := Open(t.Context(), Config{
		Group: "g", ID: "a", Members: []replica.Member{{ID: "a", HasDisk: true}, {ID: "b", HasDisk: true}, {ID: "c", HasDisk: true}},
		Folder: folder, Machine: &registers{values: map[string]string{}}, Transport: discardTransport{}, Now: now,
	})
	must.NoError(t, err)
	t.Cleanup(func() { _ = g.closeLog() })
	g.runCtx = t.Context()
	g.clock = newClock(now(), g.cfg.TickInterval)
	return g
}

// Guards against two leaders at a time: a follower loses the processor after it has read its clock, a
// heartbeat arrives and is processed, and the lost time counts against the promise that the reply to the
// heartbeat gives. The follower would then vote while the leader's lease holds.
func TestTimeBeforeHeartbeatDoesNotShortenPromise(t *testing.T) {
	now := time.Now()
	var g *Group
	var arriving []replica.Message
	g = openFollower(t, func() time.Time {
		if len(arriving) > 0 {
			g.inbox.push(arriving)
			arriving = nil
		}
		return now
	})
	arriving = []replica.Message{{Type: replica.MsgAppend, From: "b", To: "a", Term: 1, Incarnation: 1}}
	must.NoError(t, g.runRound())
	now = now.Add(5 * time.Second)
	must.NoError(t, g.runRound())
	g.inbox.push([]replica.Message{{Type: replica.MsgVote, From: "c", To: "a", Term: 2, Incarnation: 1, Index: 100, LogTerm: 1}})
	must.NoError(t, g.runRound())
	must.Eq(t, 1, g.Status().Term, must.Sprint("the vote request must be ignored"))
	must.Eq(t, "b", g.Status().Leader)
}

// Guards against decisions after the machine was suspended: another member may lead by then, and the first
// caller must not see that this one may decide.
func TestSuspendedLeaderCannotDecide(t *testing.T) {
	var suspended atomic.Int64
	c := newCluster(t, "a", Config{Now: func() time.Time { return time.Now().Add(time.Duration(suspended.Load())) }})
	leader := c.leader()
	applying, release := make(chan struct{}), make(chan struct{})
	defer close(release)
	leader.machine.mu.Lock()
	leader.machine.onApply = func() { applying <- struct{}{}; <-release }
	leader.machine.mu.Unlock()
	go func() { _, _ = leader.Propose(t.Context(), encodeSet("k", "v")) }()
	<-applying
	suspended.Store(int64(5 * time.Second))
	must.False(t, leader.Status().CanDecide)
}
