package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// announceCapacity sends a heartbeat of worker w1 with the given number of cores.
func (w *testCluster) announceCapacity(sequence uint64, cores int64) {
	announced := worker("w1")
	announced.Capacity.MilliCPU = 1000 * cores
	_, err := w.c.Announce(context.Background(), &Announcement{Worker: announced, Sequence: sequence})
	must.NoError(w.t, err)
}

// submitOneCoreJobs submits n jobs of one task with one core each.
func (w *testCluster) submitOneCoreJobs(name string, n int) {
	for i := range n {
		w.submit(fmt.Sprint(name, i), oneTask)
	}
}

// clusterWithReducedCapacity is a leader with worker w1, which had ten cores when it
// started two tasks of one core each, and has four cores now.
func clusterWithReducedCapacity(t *testing.T) *testCluster {
	w := newTestCluster(t, nil)
	w.workers.add("w1")
	w.announceCapacity(1, 10)
	w.submitOneCoreJobs("a", 2)
	w.eventually("two tasks run", func() bool { return w.started("w1") == 2 })
	w.announceCapacity(2, 4)
	return w
}

// Guards against this failure: a worker gets more tasks than fit (LIMIT), because the
// leader uses the capacity from its first heartbeat after it has shrunk.
func TestWorkerWithReducedCapacityIsNotOvercommitted(t *testing.T) {
	w := clusterWithReducedCapacity(t)
	w.submitOneCoreJobs("b", 5)
	w.eventually("two more tasks run", func() bool { return w.started("w1") >= 4 })
	time.Sleep(5 * planInterval)
	must.Eq(t, 4, w.started("w1"))
}

// Guards against this failure: capacity stays unused after a worker has shrunk and grown
// again.
func TestWorkerWithRestoredCapacityIsUsed(t *testing.T) {
	w := clusterWithReducedCapacity(t)
	w.submitOneCoreJobs("b", 5)
	w.announceCapacity(3, 10)
	w.eventually("all tasks run", func() bool { return w.started("w1") == 7 })
}

// Guards against this failure: a worker gets more tasks than fit (LIMIT), because a
// delayed heartbeat from before it shrank restores its old capacity.
func TestStaleHeartbeatDoesNotRestoreCapacity(t *testing.T) {
	w := clusterWithReducedCapacity(t)
	w.announceCapacity(1, 10)
	w.submitOneCoreJobs("b", 5)
	w.eventually("two more tasks run", func() bool { return w.started("w1") >= 4 })
	time.Sleep(5 * planInterval)
	must.Eq(t, 4, w.started("w1"))
}

// Guards against this failure: a worker gets more tasks than fit (LIMIT), because it
// shrinks while starts are being committed that were decided before.
func TestStartsCommittedAfterCapacityReductionAreDropped(t *testing.T) {
	w := newTestCluster(t, nil)
	w.workers.add("w1")
	w.announceCapacity(1, 10)
	shrunk := worker("w1")
	shrunk.Capacity.MilliCPU = 2000
	shrunk.Sequence = 2
	w.log.mu.Lock()
	w.log.beforeApply = func(c workflow.Command) {
		if len(c.Start) > 0 {
			w.commit(&workflow.Command{Worker: &shrunk})
		}
	}
	w.log.mu.Unlock()
	w.submit("a", workflow.Step{Count: 8, Need: oneTask.Need, EstimateMS: 50})
	w.eventually("two tasks run", func() bool { return w.started("w1") >= 2 })
	time.Sleep(5 * planInterval)
	must.Eq(t, 2, w.started("w1"))
}
