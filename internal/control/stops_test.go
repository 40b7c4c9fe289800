package control

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// Guards against this failure: an urgent gang waits behind a batch job, or the batch job
// restarts from nothing. A batch task with checkpoints fills the worker when the gang
// arrives. It has to be preempted, its stop has to be repeated after the first one is
// lost, and it has to resume from its checkpoint after the gang has ended.
func TestBatchTaskIsPreemptedByGangAndResumes(t *testing.T) {
	cluster := newTestCluster(t, func(cluster *testCluster) {
		cluster.commit(&workflow.Command{Configuration: &workflow.Document{Version: 2, Source: []byte("{}"), Queues: []workflow.Queue{
			{Name: "q", Host: "h", Prefix: "/q/", Policy: workflow.Policy{Service: "s", Priority: 2, Stretch: 2}},
			{Name: "u", Host: "h", Prefix: "/u/", Policy: workflow.Policy{Service: "s", Priority: 1, Stretch: 9, ObjectiveMS: 9000}},
		}}})
	})
	cluster.workers.add("w1")
	cluster.announce("w1")
	batch := workflow.Step{Count: 1, Need: workflow.Resources{MilliCPU: 9000, MemoryMB: 10}, EstimateMS: 60_000, Checkpointing: true}
	cluster.submit("a", batch)
	cluster.eventually("the batch task runs", func() bool { return cluster.started("w1") == 1 })
	cluster.withWorker("w1", func(f *fakeWorker) {
		f.running[task("a", 0)] = Running{Task: task("a", 0), Number: 1, Checkpoint: "half"}
		f.lostStops = 1
	})
	cluster.eventually("the checkpoint of the batch task is known", func() bool {
		term, err := cluster.controller.currentLeaderTerm(context.Background())
		must.NoError(t, err)
		term.mu.Lock()
		defer term.mu.Unlock()
		return term.checkpoints[task("a", 0)] == "half"
	})
	gang := workflow.Step{Count: 2, Need: workflow.Resources{MilliCPU: 4000, MemoryMB: 10}, EstimateMS: 1000, Gang: true}
	_, err := cluster.controller.Submit(context.Background(), &SubmitCall{Address: JobAddress{Queue: "u", ID: "g"}, Payload: "payload", Steps: []workflow.Step{gang}})
	must.NoError(t, err)
	start := time.Now()
	cluster.eventually("the gang runs", func() bool { return cluster.started("w1") == 3 })
	must.Less(t, stalledRunTimeout, time.Since(start), must.Sprint("preempted, not stopped as stalled"))
	cluster.withWorker("w1", func(f *fakeWorker) {
		f.finish(task("g", 0), workflow.OutcomeDone)
		f.finish(task("g", 1), workflow.OutcomeDone)
	})
	cluster.eventually("the batch task resumes", func() bool { return cluster.started("w1") == 4 })
	cluster.withWorker("w1", func(f *fakeWorker) { must.Eq(t, "half", f.starts[3].Checkpoint) })
}

// Guards against this failure: the run of a cancelled job keeps occupying resources.
func TestRunsOfCancelledJobAreStopped(t *testing.T) {
	cluster := clusterWithStartedTask(t)
	_, err := cluster.controller.Cancel(context.Background(), &CancelCall{Address: JobAddress{Host: "h", Path: "/q/a", ID: "a"}})
	must.NoError(t, err)
	start := time.Now()
	cluster.eventually("the run has ended", func() bool {
		n := 1
		cluster.controller.state.read(func(s *workflow.State) { n = len(s.Runs["w1"]) })
		return n == 0
	})
	must.Less(t, time.Second, time.Since(start), must.Sprint("the stop of the run is sent immediately"))
	must.Eq(t, workflow.PhaseCancelled, cluster.phase("a"))
}

// Guards against this failure: members of a gang wait for one that never starts. The gang
// is assigned to two workers, and one of them refuses its member. Once the run on the
// other worker has ended, the refused member has to be stopped.
func TestGangMembersAreStoppedWhenOneEnds(t *testing.T) {
	cluster := newTestCluster(t, nil)
	cluster.workers.add("w1")
	const fenceOfLaterLeader = 99
	cluster.workers.add("w2").fence = fenceOfLaterLeader
	cluster.announce("w1")
	cluster.announce("w2")
	gang := workflow.Step{Count: 2, Need: workflow.Resources{MilliCPU: 6000, MemoryMB: 10}, EstimateMS: 50, Gang: true}
	cluster.submit("a", gang)
	cluster.eventually("the members start", func() bool { return cluster.started("w1") == 1 })
	cluster.withWorker("w1", func(f *fakeWorker) {
		for task := range f.running {
			f.finish(task, workflow.OutcomeGangBroken)
		}
	})
	start := time.Now()
	cluster.eventually("the other member's run is stopped", func() bool {
		stopped := 0
		cluster.withWorker("w2", func(f *fakeWorker) { stopped = len(f.stopped) })
		return stopped == 1
	})
	must.Less(t, time.Second, time.Since(start))
}

// Guards against this failure: a batch job restarts from nothing when its worker shuts
// down. A task with checkpoints, whose end is far off, runs on a draining worker that may
// soon shut down. It has to be stopped in time so that it saves its state, while the task
// without checkpoints on the same worker continues.
func TestCheckpointingTaskIsStoppedBeforeWorkerLeaves(t *testing.T) {
	cluster := newTestCluster(t, nil)
	cluster.workers.add("w1")
	cluster.announce("w1")
	checkpointing := oneTask
	checkpointing.Checkpointing, checkpointing.EstimateMS = true, 60_000
	plain := oneTask
	plain.EstimateMS = 60_000
	cluster.submit("a", checkpointing)
	cluster.submit("b", plain)
	cluster.eventually("both tasks run", func() bool { return cluster.started("w1") == 2 })
	leave := func(remaining time.Duration) {
		draining := worker("w1")
		draining.Draining = true
		_, err := cluster.controller.Announce(context.Background(), &Announcement{Worker: draining, Remaining: remaining})
		must.NoError(t, err)
	}
	leave(30 * time.Second)
	time.Sleep(50 * time.Millisecond)
	cluster.withWorker("w1", func(f *fakeWorker) { must.MapLen(t, 2, f.running) })
	leave(checkpointLead)
	cluster.eventually("the task with checkpoints is stopped", func() bool {
		left := 2
		cluster.withWorker("w1", func(f *fakeWorker) { left = len(f.running) })
		return left == 1
	})
	cluster.withWorker("w1", func(f *fakeWorker) { must.MapContainsKey(t, f.running, task("b", 0)) })
}
