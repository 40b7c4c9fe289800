package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// overcommitWait is how long a test waits for starts that would exceed the capacity of a
// worker.
const overcommitWait = 5 * planInterval

// announceCapacity sends a heartbeat of worker w1 with the given number of cores.
func (cluster *testCluster) announceCapacity(sequence uint64, cores int64) {
	announced := worker("w1")
	announced.Capacity.MilliCPU = 1000 * cores
	_, err := cluster.controller.Announce(context.Background(), &Announcement{Worker: announced, Sequence: sequence})
	must.NoError(cluster.t, err)
}

// submitOneCoreJobs submits n jobs of one task with one core each.
func (cluster *testCluster) submitOneCoreJobs(name string, n int) {
	for i := range n {
		cluster.submit(fmt.Sprint(name, i), oneTask)
	}
}

// clusterWithReducedCapacity returns a cluster whose worker w1 had ten cores when it
// started two tasks of one core each, and has four cores now.
func clusterWithReducedCapacity(t *testing.T) *testCluster {
	cluster := newTestCluster(t, nil)
	cluster.workers.add("w1")
	cluster.announceCapacity(1, 10)
	cluster.submitOneCoreJobs("a", 2)
	cluster.eventually("two tasks run", func() bool { return cluster.started("w1") == 2 })
	cluster.announceCapacity(2, 4)
	return cluster
}

// Guards against this failure: a worker gets more tasks than fit, because the leader uses
// the capacity from the worker's first heartbeat after a later one has reduced it.
func TestWorkerWithReducedCapacityIsNotOvercommitted(t *testing.T) {
	cluster := clusterWithReducedCapacity(t)
	cluster.submitOneCoreJobs("b", 5)
	cluster.eventually("two more tasks run", func() bool { return cluster.started("w1") >= 4 })
	time.Sleep(overcommitWait)
	must.Eq(t, 4, cluster.started("w1"))
}

// Guards against this failure: a worker's cores stay unused after its capacity has been
// reduced and restored.
func TestWorkerWithRestoredCapacityIsUsed(t *testing.T) {
	cluster := clusterWithReducedCapacity(t)
	cluster.submitOneCoreJobs("b", 5)
	cluster.announceCapacity(3, 10)
	cluster.eventually("all tasks run", func() bool { return cluster.started("w1") == 7 })
}

// Guards against this failure: a worker gets more tasks than fit, because a delayed
// heartbeat that was sent before the reduction restores the old capacity.
func TestStaleHeartbeatDoesNotRestoreCapacity(t *testing.T) {
	cluster := clusterWithReducedCapacity(t)
	cluster.announceCapacity(1, 10)
	cluster.submitOneCoreJobs("b", 5)
	cluster.eventually("two more tasks run", func() bool { return cluster.started("w1") >= 4 })
	time.Sleep(overcommitWait)
	must.Eq(t, 4, cluster.started("w1"))
}

// Guards against this failure: a worker gets more tasks than fit, because its capacity is
// reduced while starts that were decided before the reduction are being committed.
func TestStartsCommittedAfterCapacityReductionAreDropped(t *testing.T) {
	cluster := newTestCluster(t, nil)
	cluster.workers.add("w1")
	cluster.announceCapacity(1, 10)
	shrunk := worker("w1")
	shrunk.Capacity.MilliCPU = 2000
	shrunk.Sequence = 2
	cluster.log.mu.Lock()
	cluster.log.beforeApply = func(c workflow.Command) {
		if len(c.Start) > 0 {
			cluster.commit(&workflow.Command{Worker: &shrunk})
		}
	}
	cluster.log.mu.Unlock()
	cluster.submit("a", workflow.Step{Count: 8, Need: oneTask.Need, EstimateMS: 50})
	cluster.eventually("two tasks run", func() bool { return cluster.started("w1") >= 2 })
	time.Sleep(overcommitWait)
	must.Eq(t, 2, cluster.started("w1"))
}
