package control

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/workflow"
)

func TestStartIsConfirmedOnlyByReportAfterAllCalls(t *testing.T) {
	now := time.Now()
	run := workflow.Run{Task: task("a", 0), Number: 1, Worker: "n1"}
	for name, test := range map[string]struct {
		order     runOrder
		confirmed bool
	}{
		"confirmed":            {runOrder{run: run, startedAt: now.Add(-time.Second)}, true},
		"a call is open":       {runOrder{run: run, startedAt: now.Add(-time.Second), openCalls: 1}, false},
		"no call succeeded":    {runOrder{run: run}, false},
		"no report since":      {runOrder{run: run, startedAt: now.Add(time.Second)}, false},
		"order of another run": {runOrder{run: workflow.Run{Task: run.Task, Number: 2}, startedAt: now.Add(-time.Second)}, false},
	} {
		s := &workerSession{orders: map[workflow.TaskKey]*runOrder{run.Task: &test.order}, fullReportSentAt: now}
		must.Eq(t, test.confirmed, s.startConfirmed(run), must.Sprint(name))
	}
}

func TestOpenStartIsKeptWhenNextRunIsOrderedFirst(t *testing.T) {
	term := &leaderTerm{openStarts: map[string]map[workflow.Run]time.Time{}}
	first := workflow.Run{Task: task("a", 0), Number: 1, Worker: "n1"}
	s := &workerSession{t: term, worker: workflow.Worker{ID: "n1", Name: "n", StartedAtMS: 1}, orders: map[workflow.TaskKey]*runOrder{}}
	s.addOrder(&runOrder{run: first, openCalls: 1})
	s.addOrder(&runOrder{run: workflow.Run{Task: first.Task, Number: 2, Worker: "n1"}})
	s.forgetRun(workflow.RunEnd{Task: first.Task, Number: first.Number})
	must.MapContainsKey(t, term.openStarts["n"], first)
	must.Eq(t, 2, s.orders[first.Task].run.Number)
}

func TestDelayedStartOfEndedRunIsRefusedBySuccessor(t *testing.T) {
	cluster := newTestCluster(t, nil)
	cluster.workers.add("n1").delayStarts = true
	cluster.announceIncarnation("n1", 1)
	cluster.submit("a", oneTask)
	cluster.eventually("the first call gets no response", func() bool {
		delayed := false
		cluster.withWorker("n1", func(f *fakeWorker) {
			delayed = len(f.delayedStarts) > 0
			f.delayStarts = !delayed
		})
		return delayed
	})
	cluster.eventually("the second call starts the run", func() bool { return cluster.started("n1") == 1 })
	cluster.withWorker("n1", func(f *fakeWorker) { f.finish(task("a", 0), workflow.OutcomeDone) })
	cluster.eventually("the job is done", func() bool { return cluster.phase("a") == workflow.PhaseDone })
	cluster.restart("n1", "n2")
	cluster.announceIncarnation("n2", 2)
	cluster.eventually("the delayed start is refused", func() bool {
		stopped := false
		cluster.withWorker("n2", func(f *fakeWorker) { stopped = f.stopped[task("a", 0)] > 0 })
		return stopped
	})
	must.Error(t, cluster.deliverDelayedStart())
}

func (cluster *testCluster) runWithOpenStart() {
	cluster.workers.add("n1").delayStarts = true
	cluster.announceIncarnation("n1", 1)
	cluster.submit("a", oneTask)
	cluster.eventually("no call of the first start gets a response", func() bool {
		delayed := 0
		cluster.withWorker("n1", func(f *fakeWorker) {
			delayed = len(f.delayedStarts)
			f.delayStarts = delayed < maxStartAttempts
		})
		return delayed == maxStartAttempts
	})
	cluster.eventually("another run starts", func() bool { return cluster.started("n1") == 1 })
	cluster.withWorker("n1", func(f *fakeWorker) { f.finish(task("a", 0), workflow.OutcomeDone) })
	cluster.eventually("the job is done", func() bool { return cluster.phase("a") == workflow.PhaseDone })
}

func TestOpenStartIsKeptWhenItsOrderIsDroppedFirst(t *testing.T) {
	cluster := newTestCluster(t, nil)
	cluster.log.mu.Lock()
	cluster.log.afterApply = func(c workflow.Command) {
		if c.Ends != nil {
			cluster.currentRunCounts()
		}
	}
	cluster.log.mu.Unlock()
	cluster.runWithOpenStart()
	cluster.restart("n1", "n2")
	cluster.announceIncarnation("n2", 2)
	cluster.eventually("the next incarnation is ready", func() bool { return cluster.isReady("n2") })
	time.Sleep(noStartWait)
	must.Error(t, cluster.deliverDelayedStart(), must.Sprint("carried out late, after the task was done"))
}

func TestOpenStartOfEndedRunIsStoppedBeforeNextIncarnationIsAnnounced(t *testing.T) {
	cluster := newTestCluster(t, nil)
	cluster.runWithOpenStart()
	cluster.restart("n1", "n2")
	cluster.eventually("the incarnation has ended", func() bool { return !cluster.currentTerm().monitors("n1") })
	time.Sleep(noStartWait)
	must.Error(t, cluster.deliverDelayedStart(), must.Sprint("carried out late, after the task was done"))
}

func TestOpenStartOfRunLostWithMachineIsStoppedWhenItReturns(t *testing.T) {
	cluster := clusterWithDelayedStart(t)
	cluster.workers.add("w2")
	cluster.announce("w2")
	cluster.withWorker("n1", func(f *fakeWorker) { f.unreachable = true })
	cluster.currentTerm().recordMachineDown("n1")
	cluster.eventually("the task runs elsewhere", func() bool { return cluster.started("w2") == 1 })
	cluster.eventually("the incarnation has ended", func() bool { return !cluster.currentTerm().monitors("n1") })
	cluster.restart("n1", "n2")
	cluster.withWorker("n1", func(f *fakeWorker) { f.unreachable = false })
	cluster.announceIncarnation("n2", 2)
	cluster.eventually("the next incarnation is ready", func() bool { return cluster.isReady("n2") })
	time.Sleep(noStartWait)
	must.Error(t, cluster.deliverDelayedStart(), must.Sprint("carried out late, while the second run is alive"))
}

func TestOpenStartOfRunLostWithMachineIsStoppedAtNextIncarnation(t *testing.T) {
	cluster := clusterWithDelayedStart(t)
	cluster.workers.add("w2")
	cluster.announce("w2")
	cluster.withWorker("n1", func(f *fakeWorker) { f.unreachable = true })
	var announceNext sync.Once
	cluster.log.mu.Lock()
	cluster.log.beforeApply = func(c workflow.Command) {
		if c.Ends == nil {
			return
		}
		announceNext.Do(func() {
			cluster.restart("n1", "n2")
			cluster.withWorker("n1", func(f *fakeWorker) { f.unreachable = false })
			next := incarnation("n2", 2)
			// It gets no tasks of its own.
			next.Worker.Draining = true
			_, err := cluster.controller.Announce(context.Background(), next)
			must.NoError(t, err)
			cluster.eventually("the next incarnation is ready", func() bool { return cluster.isReady("n2") })
		})
	}
	cluster.log.mu.Unlock()
	cluster.currentTerm().recordMachineDown("n1")
	cluster.eventually("the task runs elsewhere", func() bool { return cluster.started("w2") == 1 })
	time.Sleep(noStartWait)
	must.Error(t, cluster.deliverDelayedStart(), must.Sprint("carried out late, while the second run is alive"))
}
