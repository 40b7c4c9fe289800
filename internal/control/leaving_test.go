package control

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// testLease is the lease that leaders grant in tests.
const testLease = testMaxLease - leaseSlack

// drain sends a heartbeat that announces the shutdown of a worker.
func (cluster *testCluster) drain(id string) {
	draining := worker(id)
	draining.Draining = true
	_, err := cluster.controller.Announce(context.Background(), &Announcement{Worker: draining, Sequence: 1})
	must.NoError(cluster.t, err)
}

// leave makes a worker announce that it shuts down now, and reports whether that is confirmed.
func (cluster *testCluster) leave(id string) (confirmed bool) {
	reply, err := cluster.controller.Leave(context.Background(), &LeaveCall{Worker: id, Name: id})
	must.NoError(cluster.t, err)
	return !reply.RunsEnding
}

// leaseEndOf returns when the runs on a worker end at the earliest if it gets no further lease.
func (cluster *testCluster) leaseEndOf(id string) (end time.Time) {
	cluster.withWorker(id, func(f *fakeWorker) { end = f.leaseExtendedAt.Add(testLease) })
	return end
}

// Guards against a task that runs twice: a worker whose shutdown isn't confirmed runs on, and doesn't answer because of a
// partition.
func TestRunsOfUnreachableLeavingWorkerBlockTheirTasksUntilLeaseExpires(t *testing.T) {
	for _, draining := range []bool{true, false} {
		cluster := clusterWithStartedTask(t)
		if draining {
			cluster.drain("w1")
		}
		cluster.workers.add("w2")
		cluster.announce("w2")
		cluster.withWorker("w1", func(f *fakeWorker) { f.unreachable = true })
		cluster.leave("w1")
		cluster.eventually("the task runs elsewhere", func() bool { return cluster.started("w2") == 1 })
		must.False(t, time.Now().Before(cluster.leaseEndOf("w1")), must.Sprintf("started before the lease expired; draining: %t", draining))
	}
}

// Guards against a task that waits for the lease of a worker that has left: the worker ends when its shutdown is
// confirmed, before it has reported the ends of its runs.
func TestRunsHaveEndedWhenShutdownIsConfirmed(t *testing.T) {
	cluster := clusterWithStartedTask(t)
	cluster.drain("w1")
	cluster.workers.add("w2")
	cluster.announce("w2")
	leftAt := time.Now()
	cluster.eventually("the shutdown is confirmed", func() bool { return cluster.leave("w1") })
	cluster.withWorker("w1", func(f *fakeWorker) {
		must.MapEmpty(t, f.running)
		f.unreachable = true
	})
	cluster.eventually("the task runs elsewhere", func() bool { return cluster.started("w2") == 1 })
	must.Less(t, testLease, time.Since(leftAt))
}

// Guards against a shutdown that is confirmed before the worker has reported the end of a stopped run.
func TestShutdownIsNotConfirmedWhileRunsAreEnding(t *testing.T) {
	cluster := clusterWithStartedTask(t)
	cluster.drain("w1")
	cluster.withWorker("w1", func(f *fakeWorker) { f.slowStops = true })
	must.False(t, cluster.leave("w1"))
	cluster.withWorker("w1", func(f *fakeWorker) { f.finish(task("a", 0), workflow.OutcomeStopped) })
	must.True(t, cluster.leave("w1"))
}

// Guards against a shutdown that isn't confirmed because stops get no response or runs don't end.
func TestShutdownIsConfirmedAlthoughRunsDoNotEnd(t *testing.T) {
	for name, disturb := range map[string]func(*fakeWorker){
		"unreachable": func(f *fakeWorker) { f.unreachable = true },
		"slow stops":  func(f *fakeWorker) { f.slowStops = true },
	} {
		cluster := clusterWithStartedTask(t)
		cluster.drain("w1")
		cluster.withWorker("w1", disturb)
		leftAt := time.Now()
		cluster.eventually("the shutdown is confirmed", func() bool { return cluster.leave("w1") })
		must.Less(t, maxLeaveDelay+maxLeaveHold, time.Since(leftAt), must.Sprint(name))
	}
}

// Guards against tasks that wait for a long lease of a worker that has left without a report of its last runs.
func TestDrainingWorkerGetsShortLeases(t *testing.T) {
	s := &workerSession{t: &leaderTerm{lease: time.Minute}}
	must.Eq(t, time.Minute, s.leaseLength())
	s.worker.Draining = true
	must.Eq(t, drainingLease, s.leaseLength())
	s.t.lease = time.Second
	must.Eq(t, time.Second, s.leaseLength())
}

// Guards against runs that end on the word of an earlier incarnation: an announced shutdown without a draining heartbeat
// before it may be a delayed one.
func TestShutdownOfWorkerThatDoesNotDrainStopsNothing(t *testing.T) {
	cluster := clusterWithStartedTask(t)
	must.True(t, cluster.leave("w1"))
	time.Sleep(noStartWait)
	cluster.withWorker("w1", func(f *fakeWorker) { must.MapLen(t, 1, f.running) })
}
