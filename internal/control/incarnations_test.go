package control

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// incarnation returns the heartbeat of an incarnation of worker n. All incarnations share
// the name and address.
func incarnation(id string, startedAtMS int64) *Announcement {
	w := worker(id)
	w.Name, w.Address, w.StartedAtMS = "n", "n", startedAtMS
	return &Announcement{Worker: w}
}

// announceIncarnation sends a heartbeat of an incarnation of worker n.
func (cluster *testCluster) announceIncarnation(id string, startedAtMS int64) {
	_, err := cluster.controller.Announce(context.Background(), incarnation(id, startedAtMS))
	must.NoError(cluster.t, err)
}

// restart starts the next incarnation of a worker at its address.
func (cluster *testCluster) restart(predecessor, successor string) {
	next := cluster.workers.add(successor)
	cluster.withWorker(predecessor, func(f *fakeWorker) { f.successor = next })
}

// clusterWithIncarnation returns a cluster whose leader has started the only task of job
// a on the first incarnation of worker n.
func clusterWithIncarnation(t *testing.T) *testCluster {
	cluster := newTestCluster(t, nil)
	cluster.workers.add("n1")
	cluster.announceIncarnation("n1", 1)
	cluster.submit("a", oneTask)
	cluster.eventually("the task starts", func() bool { return cluster.started("n1") == 1 })
	return cluster
}

// clusterWithUnansweredStart returns a cluster whose leader has sent the start of job a's
// task to the first incarnation of worker n, which has ended without a response.
func clusterWithUnansweredStart(t *testing.T) *testCluster {
	cluster := clusterWithDelayedStart(t)
	cluster.restart("n1", "n2")
	return cluster
}

// clusterWithDelayedStart returns a cluster whose leader has sent the start of job a's task
// to the first incarnation of worker n and got no response.
func clusterWithDelayedStart(t *testing.T) *testCluster {
	cluster := newTestCluster(t, nil)
	cluster.workers.add("n1").delayStarts = true
	cluster.announceIncarnation("n1", 1)
	cluster.submit("a", oneTask)
	cluster.eventually("the start is sent twice", func() bool {
		delayed := 0
		cluster.withWorker("n1", func(f *fakeWorker) { delayed = len(f.delayedStarts) })
		return delayed == maxStartAttempts
	})
	return cluster
}

// deliverDelayedStart makes the next incarnation carry out the start that was sent to the
// first incarnation, and returns the error of the start.
func (cluster *testCluster) deliverDelayedStart() (err error) {
	cluster.withWorker("n1", func(f *fakeWorker) {
		delayed := f.delayedStarts[0]
		err = f.successor.startRun(delayed)
	})
	return err
}

// Guards against this failure: a task runs twice. The worker's next incarnation carries
// out a start that got no response, while another run of the task is in progress.
func TestUnansweredStartIsSettledWithSuccessor(t *testing.T) {
	cluster := clusterWithUnansweredStart(t)
	cluster.workers.add("w2")
	cluster.announce("w2")
	cluster.announceIncarnation("n2", 2)
	cluster.eventually("the task runs again", func() bool { return cluster.started("w2")+cluster.started("n2") == 1 })
	must.Error(t, cluster.deliverDelayedStart(), must.Sprint("carried out late, while the second run is alive"))
}

// Guards against this failure: a task has two runs at once. The worker's next incarnation carries out a start
// that was sent to the first one, and lists the run as running while it stops it.
func TestRunBeingStoppedBySuccessorKeepsItsTask(t *testing.T) {
	cluster := clusterWithUnansweredStart(t)
	cluster.withWorker("n2", func(f *fakeWorker) { f.slowStops = true })
	must.NoError(t, cluster.deliverDelayedStart())
	cluster.workers.add("w2")
	cluster.announce("w2")
	cluster.announceIncarnation("n2", 2)
	starts := func() int { return cluster.started("n2") + cluster.started("w2") }
	polled := func() (polls int) {
		cluster.withWorker("n2", func(f *fakeWorker) { polls = len(f.polls) })
		return polls
	}
	stoppedAt := 0
	cluster.eventually("the run is stopped", func() bool {
		stopped := false
		cluster.withWorker("n2", func(f *fakeWorker) { stopped = f.stopped[task("a", 0)] > 0 })
		stoppedAt = polled()
		return stopped
	})
	cluster.eventually("the worker reports that the run goes on", func() bool { return polled() >= stoppedAt+4 })
	must.Eq(t, 1, starts())
	cluster.withWorker("n2", func(f *fakeWorker) { f.finish(task("a", 0), workflow.OutcomeStopped) })
	cluster.eventually("the task starts again", func() bool { return starts() == 2 })
}

// Guards against this failure: a task has two runs at once. The worker's next incarnation goes on with a run of the
// first one for longer than the leader waits for its end, or doesn't respond any more while it runs it.
func TestRunOfSuccessorIsNotLostBeforeItsLease(t *testing.T) {
	cluster := newTestCluster(t, nil)
	term := newLeaderTerm(t.Context(), func() {}, cluster.controller, fakeLogTerm)
	run := workflow.Run{Task: task("a", 0), Number: 1, Worker: "n1"}
	first := term.addSession(incarnation("n1", 1).Worker, nil)
	next := term.addSession(incarnation("n2", 2).Worker, nil)
	next.predecessors = []*workerSession{first}
	next.listedRunning = map[workflow.TaskKey]int{run.Task: run.Number}
	next.leaseEnd = time.Now().Add(noStartWait)
	started, deadline := time.Now(), time.Now().Add(-time.Second)
	must.False(t, first.awaitSuccessorReport([]workflow.Run{run}, deadline))
	must.GreaterEq(t, noStartWait, time.Since(started))
}

// Guards against this failure: a task runs twice. A start got no response from the first
// incarnation of a worker, but the next incarnation has carried out that start, and the
// run has ended.
func TestRunDoneBySuccessorIsNotRepeated(t *testing.T) {
	cluster := clusterWithUnansweredStart(t)
	must.NoError(t, cluster.deliverDelayedStart())
	cluster.withWorker("n2", func(f *fakeWorker) { f.finish(task("a", 0), workflow.OutcomeDone) })
	cluster.announceIncarnation("n2", 2)
	cluster.eventually("the job is done", func() bool { return cluster.phase("a") == workflow.PhaseDone })
	must.Eq(t, 1, cluster.started("n2"))
}

// Guards against this failure: a task starts again after it was done. The report of the next
// incarnation lists the end of a run, and the run is committed as lost while that end is being
// committed.
func TestRunDoneBySuccessorIsNotRepeatedWhileItsEndIsCommitted(t *testing.T) {
	cluster := clusterWithUnansweredStart(t)
	must.NoError(t, cluster.deliverDelayedStart())
	cluster.withWorker("n2", func(f *fakeWorker) { f.finish(task("a", 0), workflow.OutcomeDone) })
	// commitTime is longer than the pause between two checks whether the successor has reported.
	const commitTime = 5 * successorCheckInterval
	cluster.log.mu.Lock()
	cluster.log.beforeApply = func(c workflow.Command) {
		if c.Ends != nil && len(c.Ends.Ends) > 0 && c.Ends.Ends[0].Outcome == workflow.OutcomeDone {
			time.Sleep(commitTime)
		}
	}
	cluster.log.mu.Unlock()
	// The leader waits for a report of the successor before it knows the successor.
	cluster.eventually("the end of the incarnation is detected", func() bool { return !cluster.isReady("n1") })
	time.Sleep(noStartWait)
	cluster.announceIncarnation("n2", 2)
	cluster.eventually("the job is done", func() bool { return cluster.phase("a") == workflow.PhaseDone })
	must.Eq(t, 1, cluster.started("n2"))
}

// Guards against this failure: a task never runs again. The runs of an ended incarnation
// count as alive because the next incarnation responds at the same address.
func TestRunsOfSupersededIncarnationRestart(t *testing.T) {
	cluster := clusterWithIncarnation(t)
	cluster.restart("n1", "n2")
	cluster.announceIncarnation("n2", 2)
	cluster.eventually("the task starts again", func() bool { return cluster.started("n2") == 1 })
}

// Guards against a task that runs twice: a heartbeat of another program names a worker that runs on, as if the worker
// had started again.
func TestHeartbeatOfLaterIncarnationAloneEndsNoRuns(t *testing.T) {
	cluster := clusterWithIncarnation(t)
	cluster.eventually("a report lists the run", func() bool { return cluster.isConfirmed("n1", task("a", 0)) })
	cluster.workers.add("w2")
	cluster.announce("w2")
	cluster.workers.add("n2").unreachable = true
	foreign := incarnation("n2", 2)
	foreign.Worker.Address = "elsewhere"
	_, err := cluster.controller.Announce(context.Background(), foreign)
	must.NoError(t, err)
	time.Sleep(noStartWait)
	must.Eq(t, 0, cluster.started("w2"))
	cluster.withWorker("n1", func(f *fakeWorker) { must.MapLen(t, 1, f.running) })
}

// Guards against a task that waits for the lease of a crashed worker although the worker has started again at another
// address.
func TestResponseOfLaterIncarnationElsewhereEndsRuns(t *testing.T) {
	cluster := clusterWithIncarnation(t)
	cluster.eventually("a report lists the run", func() bool { return cluster.isConfirmed("n1", task("a", 0)) })
	cluster.withWorker("n1", func(f *fakeWorker) { f.unreachable = true })
	cluster.workers.add("n2")
	moved := incarnation("n2", 2)
	moved.Worker.Address = "elsewhere"
	restartedAt := time.Now()
	_, err := cluster.controller.Announce(context.Background(), moved)
	must.NoError(t, err)
	cluster.eventually("the task starts again", func() bool { return cluster.started("n2") == 1 })
	must.Less(t, testLease, time.Since(restartedAt))
}

// Guards against this failure: a worker isn't used any more because a delayed heartbeat of
// an ended incarnation replaces the current one.
func TestStaleHeartbeatOfSupersededIncarnationIsIgnored(t *testing.T) {
	cluster := newTestCluster(t, nil)
	cluster.workers.add("n2")
	cluster.announceIncarnation("n2", 2)
	cluster.announceIncarnation("n1", 1)
	cluster.submit("a", oneTask)
	cluster.eventually("the task starts", func() bool { return cluster.started("n2") == 1 })
	must.False(t, cluster.currentTerm().monitors("n1"))
	cluster.controller.state.read(func(s *workflow.State) {
		must.Nil(t, s.Workers["n1"])
		must.Eq(t, "n2", s.NewestIncarnation("n").ID)
	})
}

// Guards against this failure: ends are acknowledged before a report has shown them. A
// poll carries the position of the previous incarnation's last end to a new incarnation.
func TestPollOfUnconfirmedIncarnationAcknowledgesNoEnds(t *testing.T) {
	cluster := clusterWithIncarnation(t)
	cluster.withWorker("n1", func(f *fakeWorker) { f.finish(task("a", 0), workflow.OutcomeDone) })
	cluster.eventually("the end is acknowledged", func() bool {
		seen := false
		cluster.withWorker("n1", func(f *fakeWorker) { seen = f.polls[len(f.polls)-1].LastEnd == 1 })
		return seen
	})
	cluster.withWorker("n1", func(f *fakeWorker) { f.responsesLost = true })
	const lostPollsWait = 10 * fakePollHold
	time.Sleep(lostPollsWait)
	cluster.restart("n1", "n2")
	cluster.announceIncarnation("n2", 2)
	cluster.eventually("the successor is monitored", func() bool { return cluster.isReady("n2") })
	cluster.withWorker("n2", func(f *fakeWorker) {
		for _, poll := range f.polls {
			must.Eq(t, 0, poll.LastEnd)
		}
	})
}

// Guards against this failure: a maintenance wave never ends, or a worker gets tasks
// while its machine goes down. The machine list may identify a worker by its name, which
// has to be resolved to the latest incarnation.
func TestWorkerNameResolvesToLatestIncarnation(t *testing.T) {
	cluster := newTestCluster(t, nil)
	cluster.workers.add("n1")
	cluster.workers.add("n2")
	cluster.announceIncarnation("n1", 1)
	cluster.announceIncarnation("n2", 2)
	term := cluster.currentTerm()
	must.Eq(t, "n2", term.latestIncarnation("n", "n"))
	must.Eq(t, "n1", term.latestIncarnation("n1", "n"))
	must.Eq(t, "unknown", term.latestIncarnation("unknown", "unknown"))
}

// Guards against this failure: a lease end is computed from a clock that belongs to an
// earlier incarnation of the worker.
func TestClockJumpShowsOtherIncarnation(t *testing.T) {
	now := time.Now()
	s := &workerSession{worker: incarnation("n1", 1).Worker, clockMS: 50_000, clockAt: now}
	for clockMS, jumps := range map[int64]bool{50_900: false, 51_000: false, 300: true, 90_000: true} {
		must.Eq(t, jumps, s.clockJumped(clockMS, now.Add(time.Second)), must.Sprint(clockMS))
	}
	s.worker.StartedAtMS = 0
	must.False(t, s.clockJumped(300, now.Add(time.Second)))
}

// Guards against this failure: a task runs twice. An unreachable worker whose clock is
// slow counts as empty before its lease has expired.
func TestLeaseEndAllowsForClockDrift(t *testing.T) {
	now := time.Now()
	s := &workerSession{t: &leaderTerm{lease: 4 * time.Second}, clockMS: 50_000, clockAt: now.Add(-time.Second)}
	must.Eq(t, 55_000, s.leaseEndMS(now))
	slowest := 5 * time.Second * 100 / 98
	must.LessEq(t, s.leaseEnd.Sub(s.clockAt), slowest, must.Sprint("a worker's clock may run 2% slow"))
	const rounding = time.Microsecond
	must.GreaterEq(t, slowest+leaseSlack-rounding, s.leaseEnd.Sub(s.clockAt), must.Sprint("the slack is for delays alone"))
}

// Guards against this failure: a task runs twice. A run counts as confirmed, and isn't stopped at the worker's
// next incarnation, although a call of its start may still be carried out there.
// Guards against this failure: a task runs twice. The runs of a worker count as ended before the lease has expired
// that orders meant for its earlier incarnation may have given it.
func TestNextIncarnationMayHoldLongestLease(t *testing.T) {
	cluster := newTestCluster(t, nil)
	earlier, latest := cluster.detachedSession("n1", time.Minute), cluster.detachedSession("n2", -time.Second)
	latest.takeOver(earlier)
	must.True(t, earlier.superseded)
	must.GreaterEq(t, testMaxLease, time.Until(latest.leaseEnd))
}

// Guards against this failure: a task runs twice. An old confirmation that a machine is down ends the runs of a
// worker that has sent heartbeats since.
func TestHeartbeatsRevokeThatMachineIsDown(t *testing.T) {
	cluster := newTestCluster(t, nil)
	w := incarnation("n1", 1).Worker
	for _, silent := range []bool{true, false} {
		s := cluster.detachedSession("n1", time.Minute)
		s.worker, s.machineDown, s.leaving, s.leavingSince = w, true, true, time.Now()
		if !silent {
			s.leavingSince = time.Now().Add(-2 * leavingRevokedAfter)
		}
		s.t.mu.Lock()
		s.revokeLeaving(&w)
		must.Eq(t, silent, s.machineDown)
		must.Eq(t, silent, s.leaving)
		s.t.mu.Unlock()
	}
}

// Guards against this failure: ends are acknowledged before a report has shown them. A new
// leader doesn't know that a worker has restarted since the log last recorded its ends.
func TestFirstPollOfNewLeaderAcknowledgesNoEnds(t *testing.T) {
	cluster := newTestCluster(t, func(cluster *testCluster) {
		cluster.workers.add("n1")
		cluster.restart("n1", "n2")
		cluster.commit(&workflow.Command{Worker: &incarnation("n1", 1).Worker})
		cluster.commit(&workflow.Command{Ends: &workflow.RunEnds{Worker: "n1", LastEnd: 7}})
	})
	cluster.announceIncarnation("n2", 2)
	cluster.eventually("the successor is monitored", func() bool { return cluster.isReady("n2") })
	cluster.withWorker("n2", func(f *fakeWorker) {
		for _, poll := range f.polls {
			must.Eq(t, 0, poll.LastEnd)
		}
	})
}

// Guards against this failure: a task never runs again, because its run waits for an
// ended incarnation of its worker. No session monitors that incarnation any more when the
// run is found, and the new session isn't linked to the successor.
func TestResumedPredecessorIsSettledWithSuccessor(t *testing.T) {
	cluster := clusterWithIncarnation(t)
	term := cluster.currentTerm()
	term.mu.Lock()
	term.sessions["n1"].cancelPoll()
	delete(term.sessions, "n1")
	term.mu.Unlock()
	cluster.restart("n1", "n2")
	cluster.announceIncarnation("n2", 2)
	cluster.eventually("the task starts again", func() bool { return cluster.started("n2") == 1 })
}

// Guards against an open start that is forgotten because the next run of its task is ordered before
// the end of the first one has been cleaned up: the worker's next incarnation may carry it out.
// Guards against this failure: a task starts again after it was done. The first call of a start
// gets no response, the second one starts the run, and the run ends. The worker restarts, and
// its next incarnation carries out the first call.
// runWithOpenStart makes the first incarnation of worker n do the task of job a. Two calls of the start of
// its first run got no response; another run has done the task.
// Guards against this failure: a task starts again after it was done. A run ends although calls of its
// start may still be carried out; the leader counts the runs after that end is committed and before it
// removes the state of the run. The worker's next incarnation carries out one of the calls.
// Guards against this failure: a task starts again after it was done. The worker's next incarnation carries out a
// call of a start of an ended run before that incarnation is announced.
// Guards against this failure: a task has two runs at once. The machine of a worker is down and its runs
// are lost; its next incarnation carries out a call of the start of such a run, which got no response before.
// Guards against this failure: a task has two runs at once. The machine of a worker is down, and its
// next incarnation is announced while the ends of its lost runs are being committed. That incarnation
// carries out a call of the start of such a run, which got no response before.
// Guards against this failure: a task has two runs at once. The start of run 1 is being committed
// for an incarnation while the leader settles the end of that incarnation. The run is committed too
// late to be stopped at the successor, its end is committed with that of the incarnation, and its
// start is sent to the shared address, where the successor carries it out.
func TestStartCommittedWhileIncarnationEndsIsNotSent(t *testing.T) {
	cluster := newTestCluster(t, nil)
	cluster.workers.add("n1")
	cluster.announceIncarnation("n1", 1)
	cluster.eventually("the worker is ready", func() bool { return cluster.isReady("n1") })
	// The leader may commit further starts for n1: an incremental decision uses the workers of the
	// last full decision.
	var restart, endIncarnation, commitStart sync.Once
	incarnationEnds, startCommitted := make(chan struct{}), make(chan struct{})
	cluster.log.mu.Lock()
	cluster.log.beforeApply = func(c workflow.Command) {
		switch {
		case startsOn(c, "n1"):
			restart.Do(func() {
				cluster.workers.add("w2")
				cluster.announce("w2")
				cluster.restart("n1", "n2")
				cluster.announceIncarnation("n2", 2)
				<-incarnationEnds
			})
		case c.GoneWorker == "n1":
			endIncarnation.Do(func() {
				close(incarnationEnds)
				<-startCommitted
				// The start would be sent during this time.
				time.Sleep(noStartWait)
			})
		}
	}
	cluster.log.afterApply = func(c workflow.Command) {
		if startsOn(c, "n1") {
			commitStart.Do(func() { close(startCommitted) })
		}
	}
	cluster.log.mu.Unlock()
	cluster.submit("a", oneTask)
	cluster.eventually("a later run starts", func() bool { return cluster.lastRun("n2") > 1 || cluster.lastRun("w2") > 1 })
	must.Eq(t, 1, cluster.started("n2")+cluster.started("w2"), must.Sprint("starts carried out"))
}

// startsOn reports whether a command starts a run on a worker.
func startsOn(c workflow.Command, worker string) bool {
	return slices.ContainsFunc(c.Start, func(run workflow.Run) bool { return run.Worker == worker })
}

// lastRun returns the number of the run that a worker has started last, 0 if there is none.
func (cluster *testCluster) lastRun(id string) (number int) {
	cluster.withWorker(id, func(f *fakeWorker) {
		if f != nil && len(f.starts) > 0 {
			number = f.starts[len(f.starts)-1].Run.Number
		}
	})
	return number
}

// Guards against tasks that wait for a next incarnation that never comes: another worker has taken the address.
func TestRunsOfWorkerWhoseAddressIsTakenRestartSoon(t *testing.T) {
	for _, leaves := range []bool{true, false} {
		cluster := clusterWithUnansweredStart(t)
		if leaves {
			cluster.leave("n1")
		}
		other := incarnation("n2", 2)
		other.Worker.Name = "other"
		restartedAt := time.Now()
		_, err := cluster.controller.Announce(context.Background(), other)
		must.NoError(t, err)
		cluster.eventually("the task runs again", func() bool { return cluster.started("n2") == 1 })
		must.Less(t, testLease, time.Since(restartedAt), must.Sprintf("leaves: %t", leaves))
	}
}

// isConfirmed reports whether a report of the incarnation has confirmed the start of its run of a task.
func (cluster *testCluster) isConfirmed(id string, key workflow.TaskKey) bool {
	term := cluster.currentTerm()
	term.mu.Lock()
	defer term.mu.Unlock()
	s := term.sessions[id]
	return s != nil && s.orders[key] != nil && s.startConfirmed(s.orders[key].run)
}

// Guards against a task that runs twice: the next incarnation of a worker that announced its shutdown carries out a start
// that got no response.
func TestUnansweredStartOfLeavingWorkerIsSettledWithSuccessor(t *testing.T) {
	cluster := clusterWithUnansweredStart(t)
	cluster.workers.add("w2")
	cluster.announce("w2")
	cluster.leave("n1")
	cluster.announceIncarnation("n2", 2)
	cluster.eventually("the task runs again", func() bool { return cluster.started("w2")+cluster.started("n2") == 1 })
	must.Error(t, cluster.deliverDelayedStart(), must.Sprint("carried out late, while the second run is alive"))
}
