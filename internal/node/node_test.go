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
	"github.com/bilberryferry/bilberryferry/internal/vfs"
	"github.com/bilberryferry/bilberryferry/internal/wal"
	"github.com/bilberryferry/bilberryferry/replica"
)

// Guards against lost writes: the leader stops, starts again, and then each of two members
// with disks restarts. Writes must continue, and a restarted member must reach the same
// state as the members that kept running.
func TestWritesContinueAcrossMemberRestarts(t *testing.T) {
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

// Guards against a member that votes with an outdated log. A member without a disk
// restarts after hundreds of entries, of which the leader has dropped the oldest. It
// must recover by a snapshot and the entries after it before it votes again.
func TestDisklessRestartCatchesUp(t *testing.T) {
	c := newCluster(t, "a", Config{SnapshotEntries: 20, KeepEntries: 5})
	c.setMany("x", 10)
	restarted := "c"
	if c.leader().cfg.ID == "c" {
		restarted = "b"
	}
	c.stop(restarted)
	c.setMany("y", 200)
	m := c.start(restarted)
	c.converged(3)
	must.Positive(t, m.Stats().Restores)
	c.setMany("z", 30)
	c.converged(3)
}

// Guards against lost commits when all members restart. The state must come back from
// the snapshot and the log on the disk.
func TestCommitsSurviveRestartOfWholeGroup(t *testing.T) {
	c := newCluster(t, "a", Config{SnapshotEntries: 20, KeepEntries: 5})
	c.setMany("x", 95)
	// The only disk has all entries then. While it doesn't respond, commits go on without it and don't survive.
	c.converged(3)
	c.stopAll()
	for _, m := range c.config.Members {
		c.start(m.ID)
	}
	c.converged(3)
	must.Eq(t, "94", c.leader().machine.get("x4"))
}

// A follower must refuse calls with ErrNotLeader, so that the caller can go to the leader.
func TestCallsOnFollowerAreRefused(t *testing.T) {
	c := newCluster(t, "a", Config{})
	leader := c.leader()
	for _, m := range c.running() {
		if m == leader {
			continue
		}
		eventually(t, "the leader to be known", func() bool { return m.Status().Leader == leader.cfg.ID })
		_, err := m.Propose(t.Context(), encodeSet("k", "v"))
		must.True(t, fault.Is(err, fault.Unavailable))
		must.True(t, errors.Is(err, ErrNotLeader))
		must.True(t, errors.Is(m.Barrier(t.Context()), ErrNotLeader))
	}
}

// Guards against a wrong response to a caller: a leader is partitioned while a command is
// in flight. The other members may or may not have the command, so its outcome is
// unknown.
func TestLostLeadershipReportsUnknownOutcome(t *testing.T) {
	c := newCluster(t, "a", Config{})
	leader := c.leader()
	c.net.isolate(leader.cfg.ID, true)
	_, err := leader.Propose(t.Context(), encodeSet("k", "v"))
	must.True(t, fault.Is(err, fault.Unavailable))
	must.True(t, errors.Is(err, ErrOutcomeUnknown), must.Sprint(err))
	must.ErrorContains(t, err, "the command may or may not be committed")
	must.True(t, errors.Is(leader.Barrier(t.Context()), ErrNotLeader))
	c.set("k", "w")
	c.net.isolate(leader.cfg.ID, false)
	c.converged(3)
}

// Guards against decisions after the lease expired: the leader's process is paused for
// longer than its lease, and the first caller after that must not see that it may
// decide. The test pauses the loop inside Apply.
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
		_, err := leader.Propose(context.Background(), encodeSet("k", "v"))
		proposed <- err
	}()
	eventually(t, "the lease to expire", func() bool { return !leader.Status().CanDecide })
	must.Eq(t, replica.Leader, leader.Status().Role)
	release()
	must.NoError(t, <-proposed)
}

// A process is paused for several ticks. The clock must report all of them at the next call,
// although no timer event came meanwhile.
func TestClockCatchesUpOnMissedTicks(t *testing.T) {
	start := time.Now()
	c := newClock(start, 100*time.Millisecond)
	must.Eq(t, 0, c.due(start.Add(99*time.Millisecond)))
	must.Eq(t, 1, c.due(start.Add(199*time.Millisecond)))
	must.Eq(t, start.Add(250*time.Millisecond), c.statusExpiry())
	must.Eq(t, 99, c.due(start.Add(10*time.Second)))
}

// When Transfer returns, another member must lead, so that a repeat of the call returns at
// once and writes continue.
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

// Guards against this failure: a group of one member accepts no writes any more once the member has stepped down.
func TestSoleMemberThatStepsDownLeadsInLaterTerm(t *testing.T) {
	cfg := soleMemberConfig(vfs.OS{}, t.TempDir())
	cfg.TickInterval = 5 * time.Millisecond
	g, err := Open(t.Context(), cfg)
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- g.Run(ctx) }()
	eventually(t, "a leader", func() bool { return g.Status().CanDecide })
	term := g.Status().Term
	must.NoError(t, g.StepDown(t.Context(), term))
	eventually(t, "a leader in a later term", func() bool { return g.Status().CanDecide && g.Status().Term > term })
	must.NoError(t, g.Barrier(t.Context()))
	_, err = g.Propose(t.Context(), encodeSet("k", "1"))
	must.NoError(t, err)
	cancel()
	must.NoError(t, <-ended)
}

// Guards against this failure: a leader that has stepped down leads in the same term again, or its group accepts no
// writes any more.
func TestLeaderThatStepsDownIsElectedInLaterTerm(t *testing.T) {
	c := newCluster(t, "a", Config{})
	c.set("k", "1")
	old := c.leader()
	term := old.Status().Term
	must.NoError(t, old.StepDown(t.Context(), term-1))
	must.True(t, old.Status().CanDecide)
	must.NoError(t, old.StepDown(t.Context(), term))
	eventually(t, "the end of the leadership", func() bool { return old.Status().Role != replica.Leader || old.Status().Term > term })
	must.Greater(t, term, c.leader().Status().Term)
	c.set("k", "2")
	must.NoError(t, old.StepDown(t.Context(), term), must.Sprint("repeated"))
	c.converged(3)
}

// A change of two members in one call must be refused as invalid. A change of one member
// must succeed, and so must a repeat of the same call.
func TestMembershipChangesOneMemberAtATime(t *testing.T) {
	c := newCluster(t, "a", Config{})
	leader := c.leader()
	var followerIndexes []int
	next := leader.Status().Members
	for i, m := range next {
		if m.ID != leader.cfg.ID {
			followerIndexes = append(followerIndexes, i)
		}
	}
	for _, i := range followerIndexes {
		next[i].Learner = true
	}
	err := leader.ChangeMembership(t.Context(), next)
	must.True(t, fault.Is(err, fault.Invalid), must.Sprint("two changes in one call: ", err))
	next[followerIndexes[1]].Learner = false
	must.NoError(t, leader.ChangeMembership(t.Context(), next))
	// A caller whose response was lost repeats the call.
	must.NoError(t, leader.ChangeMembership(t.Context(), next))
	c.set("k", "v")
	c.converged(3)
}

// Guards against callers that wait forever when their member stops, and against a log that
// isn't closed at the stop, so that the next start can't open it.
func TestStopFailsAllPendingCalls(t *testing.T) {
	c := newCluster(t, "abc", Config{})
	leader, outcomes := c.isolateWithProposals(20)
	c.stop(leader.cfg.ID)
	for range 20 {
		must.Error(t, <-outcomes)
	}
	_, err := leader.Propose(t.Context(), encodeSet("k", "late"))
	must.True(t, errors.Is(err, ErrStopped))
	must.False(t, leader.Status().CanDecide)
	c.net.isolate(leader.cfg.ID, false)
	c.start(leader.cfg.ID)
	c.converged(3)
}

// isolateWithProposals cuts the leader off while n commands that can't be committed are in its log,
// and returns it with the outcomes of their calls. It starts again if the leader's lease has ended,
// and the leader has refused a command, before all were in the log.
func (c *cluster) isolateWithProposals(n int) (*member, <-chan error) {
	for range 50 {
		leader := c.leader()
		c.net.isolate(leader.cfg.ID, true)
		before := leader.Stats().LogEntries
		outcomes := make(chan error, n)
		for i := range n {
			go func() {
				_, err := leader.Propose(context.Background(), encodeSet("k", fmt.Sprint(i)))
				outcomes <- err
			}()
		}
		inFlight := func() bool { return leader.Stats().LogEntries >= before+uint64(n) }
		eventually(c.t, "the commands to be in flight or refused", func() bool { return inFlight() || len(outcomes) > 0 })
		if inFlight() {
			return leader, outcomes
		}
		c.net.isolate(leader.cfg.ID, false)
		for range n {
			<-outcomes
		}
		c.converged(3)
	}
	c.t.Fatal("the lease has always ended first")
	return nil, nil
}

// Guards against a vote without the acknowledged entries. A member that lost its state
// receives a snapshot, and power is lost before the snapshot is durable. If the hard state
// on its disk already said that it has recovered, the member would vote without the
// entries that it had acknowledged.
func TestCrashDuringRecoveryLeavesMemberRecovering(t *testing.T) {
	folder := t.TempDir()
	w, _, err := wal.Open(vfs.OS{}, folder, nil)
	must.NoError(t, err)
	g := &Group{wal: w, savedHardState: replica.HardState{Term: 1, Incarnation: 7, Recovering: true}}
	// A folder at the path of the snapshot's temporary file simulates the crash.
	must.NoError(t, os.Mkdir(filepath.Join(folder, fmt.Sprintf("%020d.snapshot.tmp", 10)), 0o700))
	must.Error(t, g.save(replica.Ready{
		HardState: &replica.HardState{Term: 5, Incarnation: 7, Commit: 11},
		Snapshot:  &replica.Snapshot{Index: 10, Term: 5},
		Entries:   []replica.Entry{{Index: 11, Term: 5}},
		MustSync:  true,
	}))
	_ = w.Close()
	w, stored, err := wal.Open(vfs.OS{}, folder, nil)
	must.NoError(t, err)
	defer w.Close()
	must.True(t, stored.HardState.Recovering)
	must.Eq(t, 5, stored.HardState.Term)
	must.SliceEmpty(t, stored.Entries)
}

// Step must refuse a payload that can't be decoded, and one whose messages name another
// sender than the member that sent it.
func TestBadPayloadIsRefused(t *testing.T) {
	c := newCluster(t, "", Config{})
	m := c.leader()
	must.Error(t, m.Step("b", []byte{0xff, 0x00}))
	// An array of one message whose From is "b".
	must.Error(t, m.Step("nobody", []byte{0x81, 0xa1, 0x02, 0x61, 'b'}))
}
