package control

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// Guards against this failure: a task is started on a worker that is about to shut down.
// An older heartbeat, from before the worker announced that it drains, arrives after that
// announcement.
func TestDrainingWorkerGetsNoNewTask(t *testing.T) {
	cluster := newTestCluster(t, nil)
	cluster.workers.add("w1")
	cluster.announce("w1")
	draining := worker("w1")
	draining.Draining = true
	_, err := cluster.controller.Announce(context.Background(), &Announcement{Worker: draining, Sequence: 9})
	must.NoError(t, err)
	cluster.announce("w1")
	cluster.controller.state.read(func(s *workflow.State) { must.True(t, s.Workers["w1"].Draining) })
	cluster.submit("a", oneTask)
	time.Sleep(noStartWait)
	must.Eq(t, 0, cluster.started("w1"))
	cluster.workers.add("w2")
	cluster.announce("w2")
	cluster.eventually("the task starts elsewhere", func() bool { return cluster.started("w2") == 1 })
}

// Guards against this failure: one faulty worker fails job after job while a healthy one
// has free resources.
func TestWorkerThatFailsAllRunsIsQuarantined(t *testing.T) {
	cluster := newTestCluster(t, nil)
	cluster.workers.add("w1")
	cluster.announce("w1")
	for _, job := range []string{"a", "b", "c"} {
		cluster.submit(job, oneTask)
		cluster.eventually("the task starts", func() bool { return cluster.started("w1") >= 1 })
		cluster.eventually("the task fails", func() bool {
			failed := false
			cluster.withWorker("w1", func(f *fakeWorker) {
				if _, ok := f.running[task(job, 0)]; ok {
					f.finish(task(job, 0), workflow.OutcomeFailed)
					failed = true
				}
			})
			return failed
		})
	}
	cluster.workers.add("w2")
	cluster.announce("w2")
	onHealthy := func(job string) bool {
		found := false
		cluster.withWorker("w2", func(f *fakeWorker) { found = f.running[task(job, 0)].Number > 0 })
		return found
	}
	cluster.eventually("the third job runs on the healthy worker", func() bool { return onHealthy("c") })
	cluster.submit("d", oneTask)
	cluster.eventually("a new job runs on the healthy worker", func() bool { return onHealthy("d") })
}

// Guards against this failure: a queue reports no waiting jobs although jobs wait,
// because a job counts as started from the commit of its start. Its worker doesn't
// respond to the start, and carries it out later or never.
func TestJobCountsAsWaitingUntilWorkerStartsIt(t *testing.T) {
	cluster := newTestCluster(t, nil)
	cluster.workers.add("w1").delayStarts = true
	cluster.announce("w1")
	cluster.submit("a", oneTask)
	cluster.eventually("the start is sent", func() bool {
		delayed := 0
		cluster.withWorker("w1", func(f *fakeWorker) { delayed = len(f.delayedStarts) })
		return delayed > 0
	})
	reply, err := cluster.controller.State(context.Background(), &StateCall{Address: JobAddress{Host: "h", Path: "/q/"}})
	must.NoError(t, err)
	must.Eq(t, 1, reply.Waiting)
	cluster.withWorker("w1", func(f *fakeWorker) { f.delayStarts = false })
	cluster.eventually("no job waits", func() bool {
		reply, err := cluster.controller.State(context.Background(), &StateCall{Address: JobAddress{Host: "h", Path: "/q/"}})
		return err == nil && reply.Waiting == 0
	})
}

// Guards against this failure: a task runs twice. A leader's machine is suspended; another
// leader takes over and waits for a lease to expire; the first leader resumes and extends
// that lease, since its monotonic clock doesn't count the suspension.
func TestLeaderTermEndsAfterMachineSuspend(t *testing.T) {
	ended := false
	cluster := newTestCluster(t, nil)
	term := newLeaderTerm(context.Background(), func() { ended = true }, cluster.controller, fakeLogTerm)
	s := term.addSession(worker("w1"), nil)
	cluster.workers.add("w1")
	_, err := s.poll(time.Now())
	must.NoError(t, err)
	must.False(t, ended)
	term.suspendedTime = func() (time.Duration, error) { return term.suspendedBefore + 2*time.Second, nil }
	_, _ = s.poll(time.Now())
	must.True(t, ended)
}

// Guards against the same by a start: where nothing runs, carriers poll the workers and no poll of the
// leader comes before it.
func TestNoStartIsSentAfterMachineSuspend(t *testing.T) {
	ended := false
	cluster := newTestCluster(t, nil)
	term := newLeaderTerm(context.Background(), func() { ended = true }, cluster.controller, fakeLogTerm)
	s := term.addSession(worker("w1"), nil)
	cluster.workers.add("w1")
	term.suspendedTime = func() (time.Duration, error) { return term.suspendedBefore + 2*time.Second, nil }
	leaseEnd := s.leaseEnd
	must.ErrorIs(t, s.callStart(&runOrder{run: workflow.Run{Task: task("a", 0), Number: 1}}, "", ""), errSuspended)
	must.True(t, ended)
	must.Eq(t, leaseEnd, s.leaseEnd)
}

// Guards against this failure: two leaders extend leases. The machine of a new leader is suspended after the log has
// confirmed its leadership and before its tenure begins, and another leader takes over meanwhile.
func TestSuspensionBeforeTenureEndsIt(t *testing.T) {
	var suspended atomic.Int64
	cluster := newTestCluster(t, func(cluster *testCluster) {
		cluster.controller.suspendedTime = func() (time.Duration, error) { return time.Duration(suspended.Load()), nil }
		cluster.controller.cfg.OnElected = func(_ context.Context, term uint64) {
			if term == fakeLogTerm {
				suspended.Store(int64(2 * time.Second))
			}
		}
	})
	cluster.workers.add("w1")
	cluster.announce("w1")
	cluster.eventually("the next tenure begins", func() bool {
		term, err := cluster.controller.currentLeaderTerm(context.Background())
		return err == nil && term.fence > fakeLogTerm
	})
	cluster.submit("a", oneTask)
	cluster.eventually("the task starts", func() bool { return cluster.started("w1") == 1 })
}

// Guards against this failure: a task runs twice. A leader gives up its tenure while its member still leads, and
// begins the next one with the same fencing token. It takes a run that a worker doesn't report for never
// started, although the start of the earlier tenure is still on its way.
func TestStartOfEarlierTenureIsRefused(t *testing.T) {
	cluster := newTestCluster(t, nil)
	cluster.workers.add("w1").delayStarts = true
	cluster.announce("w1")
	cluster.submit("a", oneTask)
	cluster.eventually("the start is sent", func() (sent bool) {
		cluster.withWorker("w1", func(f *fakeWorker) { sent = len(f.delayedStarts) > 0 })
		return sent
	})
	cluster.withWorker("w1", func(f *fakeWorker) { f.delayStarts = false })
	cluster.currentTerm().end()
	cluster.eventually("the next tenure starts the task", func() bool { return cluster.started("w1") == 1 })
	cluster.withWorker("w1", func(f *fakeWorker) {
		late := f.delayedStarts[0]
		must.Less(t, f.starts[0].Run.Number, late.Run.Number)
		must.Error(t, f.startRun(late), must.Sprint("carried out late, while the second run is alive"))
	})
}

// Guards against this failure: the leader runs out of memory. It keeps the state of ended
// jobs, each with the adviser's responses for 48 workers, for the whole leader term.
func TestStateOfEndedJobsIsReleased(t *testing.T) {
	cluster := clusterWithStartedTask(t)
	term, err := cluster.controller.currentLeaderTerm(context.Background())
	must.NoError(t, err)
	term.mu.Lock()
	term.permitsOf(workflow.StepKey{Job: "a"})
	term.mu.Unlock()
	must.SliceEmpty(t, term.expireEndedJobs(time.Now()))
	must.MapLen(t, 1, term.permits)
	cluster.withWorker("w1", func(f *fakeWorker) { f.finish(task("a", 0), workflow.OutcomeDone) })
	cluster.eventually("the job is done", func() bool { return cluster.phase("a") == workflow.PhaseDone })
	must.SliceEmpty(t, term.expireEndedJobs(time.Now()))
	must.MapEmpty(t, term.permits)
	must.Eq(t, []string{"a"}, term.expireEndedJobs(time.Now().Add(time.Hour)))
	must.MapEmpty(t, term.acceptedAt)
}

// Guards against this failure: a worker gets more tasks than fit, because a second
// decision is made while starts are being committed and doesn't count the resources that
// they need.
func TestProposedStartsReserveResources(t *testing.T) {
	cluster := newTestCluster(t, nil)
	cluster.workers.add("w1")
	cluster.announce("w1")
	term, err := cluster.controller.currentLeaderTerm(context.Background())
	must.NoError(t, err)
	cluster.eventually("the worker is ready", func() bool {
		return len(term.gatherPlanInput(time.Now()).workers) == 1
	})
	cluster.commit(&workflow.Command{Submit: &workflow.Submission{
		ID: "b", Queue: "h/q/", Steps: []workflow.Step{{Count: 2, Need: workflow.Resources{MilliCPU: 8000}, Label: "none"}},
		Policy: workflow.Policy{Service: "s"},
	}})
	term.mu.Lock()
	term.proposedStarts[task("b", 0)] = "w1"
	term.mu.Unlock()
	input := term.gatherPlanInput(time.Now())
	must.Eq(t, int64(2000), input.workers[0].Free.MilliCPU)
	must.Eq(t, []int{1}, input.steps[0].Pending)
}

// Guards against this failure: a worker gets more tasks than fit right after a change of
// leader, because the new leader doesn't know what runs there before the worker's first
// response.
func TestUnconfirmedWorkerGetsNoTask(t *testing.T) {
	now := time.Now()
	s := &workerSession{t: &leaderTerm{}, respondedAt: now}
	must.Eq(t, reasonUnresponsive, s.unschedulableReason(now, nil, 0))
	s.ready = true
	must.Eq(t, "", s.unschedulableReason(now, nil, 0))
}

// Guards against this failure: a leader refuses calls, and all instances search for
// another leader. The log's goroutine is delayed by a tenth of a second and can't confirm
// the leadership, although the member still leads.
func TestLeaderWaitsForDelayedLogInsteadOfRefusing(t *testing.T) {
	cluster := newTestCluster(t, nil)
	cluster.workers.add("w1")
	cluster.log.delayStatus(100 * time.Millisecond)
	_, err := cluster.controller.Announce(context.Background(), &Announcement{Worker: worker("w1")})
	must.NoError(t, err)
}

// beginLogDelay is how long a slowLogger delays a log line.
const beginLogDelay = 200 * time.Millisecond

// slowLogger delays the log line at the start of a leader term. It has no lock, which would
// hide data races between its callers from the race detector.
type slowLogger struct{}

func (slowLogger) Log(keyvals ...any) error {
	if slices.Contains(keyvals, any("begun")) {
		time.Sleep(beginLogDelay)
	}
	return nil
}

// Guards against this failure: a new leader crashes with a concurrent map access. The log
// line at the start of the leader term counts its workers without the lock while the first
// heartbeat adds a worker. The race detector finds this.
func TestSharedLeaderTermIsReadUnderLock(t *testing.T) {
	cluster := newTestCluster(t, func(cluster *testCluster) { cluster.controller.cfg.Logger = slowLogger{} })
	cluster.workers.add("w1")
	cluster.announce("w1")
}
