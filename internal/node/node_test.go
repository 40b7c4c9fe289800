package node

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/wal"
	"github.com/bilberryferry/bilberryferry/replica"
)

// Story: the leader dies, then a follower is restarted. Callers see a short
// gap and no lost write; the restarted members hold what everybody holds.
func TestLeaderLostAndFollowerRestarted(t *testing.T) {
	c := newCluster(t, "ab", Config{})
	c.setMany("before", 30)
	old := c.leader().cfg.ID
	c.stop(old)
	c.setMany("without", 30)
	c.start(old)
	c.converged(3)
	for _, id := range []string{"a", "b"} {
		c.stop(id)
		m := c.start(id)
		must.NotEq(t, replica.Recovering, m.Status().Role)
		c.setMany("after-"+id, 10)
		c.converged(3)
	}
	must.Eq(t, "29", c.leader().machine.get("without9"))
}

// Story: a member without a disk is restarted after hundreds of entries. The
// leader has dropped the oldest ones, so it must come back by a snapshot and
// the entries after it, before it counts again.
func TestDisklessRestartCatchesUp(t *testing.T) {
	c := newCluster(t, "a", Config{SnapshotEvery: 20, KeepEntries: 5})
	c.setMany("x", 10)
	victim := "c"
	if c.leader().cfg.ID == "c" {
		victim = "b"
	}
	c.stop(victim)
	c.setMany("y", 200)
	m := c.start(victim)
	c.converged(3)
	must.Positive(t, m.Stats().Restores)
	c.setMany("z", 30)
	c.converged(3)
}

// Story: everybody is stopped and started again. What was acknowledged is
// there, read from the disk's snapshot and log.
func TestWholeGroupRestarts(t *testing.T) {
	c := newCluster(t, "a", Config{SnapshotEvery: 20, KeepEntries: 5})
	c.setMany("x", 95)
	c.stopAll()
	for _, m := range c.config.Members {
		c.start(m.ID)
	}
	c.converged(3)
	must.Eq(t, "94", c.leader().machine.get("x4"))
}

func TestCallsOnFollowerAreRefused(t *testing.T) {
	c := newCluster(t, "a", Config{})
	leader := c.leader()
	for _, m := range c.running() {
		if m == leader {
			continue
		}
		eventually(t, "the leader is known", func() bool { return m.Status().Leader == leader.cfg.ID })
		_, err := m.Propose(t.Context(), set("k", "v"))
		must.True(t, fault.Is(err, fault.Unavailable))
		must.True(t, errors.Is(err, ErrNotLeader))
		must.True(t, errors.Is(m.Barrier(t.Context()), ErrNotLeader))
	}
}

// Story: a leader is cut off while a command is under way. Its caller must be
// told that the fate is open: the others may or may not have the command.
func TestLostLeadershipReportsUnknownOutcome(t *testing.T) {
	c := newCluster(t, "a", Config{})
	leader := c.leader()
	c.net.isolate(leader.cfg.ID, true)
	_, err := leader.Propose(t.Context(), set("k", "v"))
	must.True(t, fault.Is(err, fault.Unavailable))
	must.True(t, errors.Is(err, ErrOutcomeUnknown), must.Sprint(err))
	must.ErrorContains(t, err, "fate")
	must.True(t, errors.Is(leader.Barrier(t.Context()), ErrNotLeader))
	c.set("k", "w")
	c.net.isolate(leader.cfg.ID, false)
	c.converged(3)
}

// Story: the leader's process is paused for longer than its lease. Whoever
// asks it right after must not hear that it may decide. Here the pause is a
// machine that holds the loop.
func TestPausedLeaderCannotDecide(t *testing.T) {
	c := newCluster(t, "a", Config{})
	leader := c.leader()
	paused := make(chan struct{})
	release := sync.OnceFunc(func() { close(paused) })
	defer release()
	leader.machine.mu.Lock()
	leader.machine.onApply = func() { <-paused }
	leader.machine.mu.Unlock()
	proposed := make(chan error, 1)
	go func() {
		_, err := leader.Propose(context.Background(), set("k", "v"))
		proposed <- err
	}()
	eventually(t, "the lease lapses", func() bool { return !leader.Status().CanDecide })
	must.Eq(t, replica.Leader, leader.Status().Role)
	release()
	must.NoError(t, <-proposed)
}

func TestClockCatchesUpOnMissedTicks(t *testing.T) {
	start := time.Now()
	c := newClock(start, 100*time.Millisecond)
	must.Eq(t, 0, c.due(start.Add(99*time.Millisecond)))
	must.Eq(t, 1, c.due(start.Add(199*time.Millisecond)))
	must.Eq(t, start.Add(250*time.Millisecond), c.statusExpiry())
	must.Eq(t, 99, c.due(start.Add(10*time.Second)))
}

func TestTransferWaitsForTheNextLeader(t *testing.T) {
	c := newCluster(t, "a", Config{})
	c.set("k", "1")
	old := c.leader()
	must.NoError(t, old.Transfer(t.Context()))
	must.NotEq(t, old.cfg.ID, old.Status().Leader)
	must.NoError(t, old.Transfer(t.Context()))
	c.set("k", "2")
	c.converged(3)
}

func TestMembershipChange(t *testing.T) {
	c := newCluster(t, "a", Config{})
	leader := c.leader()
	var others []int
	next := leader.Status().Members
	for i, m := range next {
		if m.ID != leader.cfg.ID {
			others = append(others, i)
		}
	}
	for _, i := range others {
		next[i].Learner = true
	}
	err := leader.ChangeMembership(t.Context(), next)
	must.True(t, fault.Is(err, fault.Invalid), must.Sprint("two at once: ", err))
	next[others[1]].Learner = false
	must.NoError(t, leader.ChangeMembership(t.Context(), next))
	// A caller that lost the answer asks again.
	must.NoError(t, leader.ChangeMembership(t.Context(), next))
	c.set("k", "v")
	c.converged(3)
}

// Story: callers wait while the member is stopped. None may wait for ever, and
// the log must be closed so that the next start can open it.
func TestStopAnswersAllCallers(t *testing.T) {
	c := newCluster(t, "abc", Config{})
	leader := c.leader()
	c.net.isolate(leader.cfg.ID, true)
	before := leader.Stats().LogEntries
	var group sync.WaitGroup
	for i := range 20 {
		group.Go(func() {
			_, err := leader.Propose(context.Background(), set("k", fmt.Sprint(i)))
			must.Error(t, err)
		})
	}
	eventually(t, "all commands are under way", func() bool { return leader.Stats().LogEntries >= before+20 })
	c.stop(leader.cfg.ID)
	group.Wait()
	_, err := leader.Propose(t.Context(), set("k", "late"))
	must.True(t, errors.Is(err, ErrStopped))
	must.False(t, leader.Status().CanDecide)
	c.net.isolate(leader.cfg.ID, false)
	c.start(leader.cfg.ID)
	c.converged(3)
}

// Story: a member that forgot its promises gets a snapshot, and power fails
// before the snapshot is durable. Were it to find on its disk that it no longer
// recovers, it would vote without the entries that it had acknowledged.
func TestCrashDuringRecoveryLeavesMemberRecovering(t *testing.T) {
	folder := t.TempDir()
	w, _, err := wal.Open(folder)
	must.NoError(t, err)
	g := &Group{wal: w, savedHardState: replica.HardState{Term: 1, Incarnation: 7, Recovering: true}}
	// A folder in the way of the snapshot's temporary file stands for the crash.
	must.NoError(t, os.Mkdir(filepath.Join(folder, fmt.Sprintf("%020d.snapshot.tmp", 10)), 0o700))
	must.Error(t, g.save(replica.Ready{
		HardState: &replica.HardState{Term: 5, Incarnation: 7, Commit: 11},
		Snapshot:  &replica.Snapshot{Index: 10, Term: 5},
		Entries:   []replica.Entry{{Index: 11, Term: 5}},
		MustSync:  true,
	}))
	_ = w.Close()
	w, stored, err := wal.Open(folder)
	must.NoError(t, err)
	defer w.Close()
	must.True(t, stored.HardState.Recovering)
	must.Eq(t, 5, stored.HardState.Term)
	must.SliceEmpty(t, stored.Entries)
}

func TestBadPayloadIsRefused(t *testing.T) {
	c := newCluster(t, "", Config{})
	m := c.leader()
	must.Error(t, m.Step("b", []byte{0xff, 0x00}))
	must.Error(t, m.Step("nobody", []byte{0x81, 0xa1, 0x02, 0x61, 'b'}))
}
