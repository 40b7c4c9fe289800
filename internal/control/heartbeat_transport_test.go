package control

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// heartbeatWorker is a worker that receives its orders in the responses to its
// heartbeats.
type heartbeatWorker struct {
	*fakeWorker
	// loseResponses is how many further responses are dropped before they are carried
	// out; lostResponses holds the dropped ones.
	loseResponses int
	lostResponses []HeartbeatOrders
}

// sendHeartbeat sends one heartbeat with the worker's report and carries out the orders
// in the response.
func (cluster *testCluster) sendHeartbeat(sender *heartbeatWorker) {
	report := Report{ClockMS: time.Now().UnixMilli()}
	cluster.workers.mu.Lock()
	for _, running := range sender.running {
		report.Running = append(report.Running, running)
	}
	report.Ended = append(report.Ended, sender.ended...)
	cluster.workers.mu.Unlock()
	reply, err := cluster.controller.Announce(context.Background(), &Announcement{Worker: worker(sender.id), Report: &report})
	must.NoError(cluster.t, err)
	if reply.Orders == nil {
		return
	}
	if sender.loseResponses > 0 {
		sender.loseResponses--
		sender.lostResponses = append(sender.lostResponses, *reply.Orders)
		return
	}
	cluster.workers.mu.Lock()
	defer cluster.workers.mu.Unlock()
	sender.carryOut(*reply.Orders)
}

func (sender *heartbeatWorker) carryOut(orders HeartbeatOrders) {
	if orders.Fence < sender.fence {
		return
	}
	sender.fence = orders.Fence
	for _, run := range orders.Stops {
		sender.stopped[run.Task] = max(sender.stopped[run.Task], run.Number)
		if sender.running[run.Task].Number == run.Number {
			sender.finish(run.Task, workflow.OutcomeStopped)
		}
	}
	for _, start := range orders.Starts {
		// The leader considers the run refused if the next report lacks it.
		_ = sender.startRun(start)
	}
	if orders.Lease > 0 {
		sender.leases = append(sender.leases, orders.Lease.Milliseconds())
	}
}

const (
	// heartbeatMaxLease bounds the leases of workers that send heartbeats.
	heartbeatMaxLease = 3 * time.Second
	// testHeartbeatInterval is the time between two heartbeats of a worker.
	testHeartbeatInterval = 5 * time.Millisecond
	// transportTimeout bounds the calls through a heartbeatTransport.
	transportTimeout = 5 * time.Second
	// noResultWait is how long a test waits for the result of a call that must not end yet.
	noResultWait = 20 * time.Millisecond
)

// heartbeatCluster returns a cluster whose leader doesn't call workers, and its workers,
// which send heartbeats.
func heartbeatCluster(t *testing.T, ids ...string) (*testCluster, map[string]*heartbeatWorker) {
	cluster := newTestCluster(t, func(cluster *testCluster) {
		cluster.controller.heartbeats = newHeartbeatTransport(cluster.controller.cfg.Workers)
		cluster.controller.cfg.Workers = cluster.controller.heartbeats
		cluster.controller.cfg.Bounds.MaxLease = heartbeatMaxLease
	})
	ctx, cancel := context.WithCancel(context.Background())
	var sending sync.WaitGroup
	// The cluster stops after this, so no heartbeat is on its way to it then.
	t.Cleanup(func() {
		cancel()
		sending.Wait()
	})
	senders := map[string]*heartbeatWorker{}
	for _, id := range ids {
		sender := &heartbeatWorker{fakeWorker: cluster.workers.add(id)}
		senders[id] = sender
		sending.Go(func() {
			for wait.For(ctx, testHeartbeatInterval) {
				if _, err := cluster.controller.currentLeaderTerm(context.Background()); err == nil {
					cluster.sendHeartbeat(sender)
				}
			}
		})
	}
	return cluster, senders
}

// Guards against this failure: a job doesn't run, or a cancelled one isn't stopped,
// because the orders don't reach a worker that the leader can't call.
func TestHeartbeatResponsesCarryOrders(t *testing.T) {
	cluster, _ := heartbeatCluster(t, "w1")
	cluster.submit("a", oneTask)
	cluster.eventually("the task starts", func() bool { return cluster.started("w1") == 1 })
	// The response with the start may arrive before the first poll that extends the
	// lease. The start carries its own lease until then.
	cluster.eventually("a lease is granted", func() (given bool) {
		cluster.withWorker("w1", func(f *fakeWorker) { given = len(f.leases) > 0 })
		return given
	})
	cluster.withWorker("w1", func(f *fakeWorker) {
		must.SliceNotEmpty(t, f.leases)
		must.Less(t, int64(2000), f.leases[0], must.Sprint("the lease counts from the arrival of the response, which may be a second later"))
		f.finish(task("a", 0), workflow.OutcomeDone)
	})
	cluster.eventually("the job is done", func() bool { return cluster.phase("a") == workflow.PhaseDone })
	cluster.submit("b", oneTask)
	cluster.eventually("the task starts", func() bool { return cluster.started("w1") == 2 })
	_, err := cluster.controller.Cancel(context.Background(), &CancelCall{Address: JobAddress{Host: "h", Path: "/q/b", ID: "b"}})
	must.NoError(t, err)
	cluster.eventually("the run of the cancelled job is stopped", func() bool {
		stopped := 0
		cluster.withWorker("w1", func(f *fakeWorker) { stopped = f.stopped[task("b", 0)] })
		return stopped == 1
	})
}

// Guards against this failure: a task runs twice. The response with a start is delayed,
// and the response with the stop of its run is lost. If the next heartbeat counts as
// proof that the stop arrived, the task starts elsewhere, and the worker carries out the
// delayed start.
func TestStopIsDeliveredAfterTwoPromptHeartbeats(t *testing.T) {
	const fence = 7
	transport := newHeartbeatTransport(nil)
	run := workflow.Run{Task: task("a", 0), Number: 1, Worker: "w1"}
	ctx, cancel := context.WithTimeout(context.Background(), transportTimeout)
	defer cancel()
	stopped := make(chan error, 1)
	transport.exchange(ctx, "w1", fence, 0, Report{})
	go func() {
		_, err := transport.Stop(ctx, Target{Worker: "w1"}, StopOrder{Run: run, Fence: fence})
		stopped <- err
	}()
	for len(transport.exchange(ctx, "w1", fence, 0, Report{}).Stops) == 0 {
		continue
	}
	transport.exchange(ctx, "w1", fence, 0, Report{})
	select {
	case <-stopped:
		t.Fatal("a single heartbeat proved that the stop arrived; it may come from a broken connection")
	case <-time.After(noResultWait):
	}
	transport.exchange(ctx, "w1", fence, 0, Report{})
	must.NoError(t, <-stopped)
}

// Guards against this failure: a task runs twice after a change of leader. A new leader
// receives a heartbeat whose report was made before the worker had the new fencing token.
// If the transport returns that report for a poll, the worker may still carry out a start
// of the old leader after the report.
func TestPollNeedsTwoHeartbeatsWithItsFencingToken(t *testing.T) {
	const oldFence, newFence = 6, 7
	transport := newHeartbeatTransport(nil)
	ctx, cancel := context.WithTimeout(context.Background(), transportTimeout)
	defer cancel()
	got := make(chan Report, 1)
	transport.exchange(ctx, "w1", oldFence, 0, Report{})
	transport.exchange(ctx, "w1", oldFence, 0, Report{})
	go func() {
		report, err := transport.Poll(ctx, Target{Worker: "w1"}, PollOrder{Fence: newFence})
		must.NoError(t, err)
		got <- report
	}()
	time.Sleep(noResultWait)
	transport.exchange(ctx, "w1", newFence, 0, Report{ClockMS: 1})
	transport.exchange(ctx, "w1", newFence, 0, Report{ClockMS: 2})
	select {
	case <-got:
		t.Fatal("a poll returned a report that may be older than the fence")
	case <-time.After(noResultWait):
	}
	transport.exchange(ctx, "w1", newFence, 0, Report{ClockMS: 3})
	must.Eq(t, int64(3), (<-got).ClockMS)
}

// Guards against this failure: a task runs twice. A heartbeat that a worker sent before it started a run
// arrives after heartbeats that list the run, and its report proves that the run never started.
func TestDelayedHeartbeatSettlesNoRun(t *testing.T) {
	cluster := newTestCluster(t, func(cluster *testCluster) {
		cluster.controller.heartbeats = newHeartbeatTransport(cluster.controller.cfg.Workers)
		cluster.controller.cfg.Workers = cluster.controller.heartbeats
		cluster.commitInheritedRun()
	})
	send := func(sequence uint64, running ...Running) HeartbeatOrders {
		reply, err := cluster.controller.Announce(context.Background(), &Announcement{
			Worker: worker("w1"), Sequence: sequence, Report: &Report{ClockMS: fakeClockMS, Running: running},
		})
		must.NoError(t, err)
		return *reply.Orders
	}
	running := Running{Task: task("a", 0), Number: 1}
	send(2, running)
	send(3, running)
	must.Eq(t, HeartbeatOrders{Fence: fakeLogTerm, NextIn: heartbeatInterval}, send(1))
	must.Eq(t, HeartbeatOrders{Fence: fakeLogTerm, NextIn: heartbeatInterval}, send(3))
	time.Sleep(noStartWait)
	cluster.controller.state.read(func(s *workflow.State) { must.MapLen(t, 1, s.Runs["w1"]) })
	must.SliceEmpty(t, send(4, running).Starts)
}

// Guards against this failure: a task runs twice after a change of leader. Heartbeats that a partition held back
// arrive together; the worker has received no response to any of them, and their reports prove that a run never
// started.
func TestHeartbeatsHeldBackTogetherConfirmNothing(t *testing.T) {
	transport := newHeartbeatTransport(nil)
	ctx, cancel := context.WithTimeout(context.Background(), transportTimeout)
	defer cancel()
	got := make(chan Report, 1)
	go func() {
		report, err := transport.Poll(ctx, Target{Worker: "w1"}, PollOrder{Fence: fakeLogTerm})
		must.NoError(t, err)
		got <- report
	}()
	time.Sleep(noResultWait)
	clockMS := int64(fakeClockMS)
	for sequence := range uint64(2 * requiredConfirmations) {
		transport.exchange(ctx, "w1", fakeLogTerm, sequence+1, Report{ClockMS: clockMS})
		clockMS += heartbeatTimeout.Milliseconds()
	}
	select {
	case <-got:
		t.Fatal("a poll returned a report that was made before the worker had the fencing token")
	case <-time.After(noResultWait):
	}
	const first = 10
	for sequence := range uint64(2 * requiredConfirmations) {
		transport.exchange(ctx, "w1", fakeLogTerm, first+sequence, Report{ClockMS: clockMS})
		clockMS += heartbeatInterval.Milliseconds()
	}
	must.Greater(t, int64(fakeClockMS)+4*heartbeatTimeout.Milliseconds()-1, (<-got).ClockMS)
}
