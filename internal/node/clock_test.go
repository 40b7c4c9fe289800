package node

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

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
