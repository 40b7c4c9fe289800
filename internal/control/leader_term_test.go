package control

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// What a user sees: a task is started on a worker that is about to leave.
// Order: a worker says that it drains; a job comes; an older heartbeat arrives
// late and says that it doesn't.
func TestDrainingWorkerGetsNoNewTask(t *testing.T) {
	w := newTestCluster(t, nil)
	w.workers.add("w1")
	w.announce("w1")
	draining := worker("w1")
	draining.Draining = true
	_, err := w.c.Announce(context.Background(), &Announcement{Worker: draining, Sequence: 9})
	must.NoError(t, err)
	w.announce("w1")
	w.c.state.read(func(s *workflow.State) { must.True(t, s.Workers["w1"].Draining) })
	w.submit("a", oneTask)
	time.Sleep(100 * time.Millisecond)
	must.Eq(t, 0, w.started("w1"))
	w.workers.add("w2")
	w.announce("w2")
	w.eventually("the task starts elsewhere", func() bool { return w.started("w2") == 1 })
}

// What a user sees: one bad machine fails job after job.
// Order: a worker fails whatever it is given, another one is sound.
func TestWorkerThatFailsAllRunsIsQuarantined(t *testing.T) {
	w := newTestCluster(t, nil)
	w.workers.add("w1")
	w.announce("w1")
	for _, job := range []string{"a", "b", "c"} {
		w.submit(job, oneTask)
		w.eventually("the task starts", func() bool { return w.started("w1") >= 1 })
		w.eventually("it fails", func() bool {
			failed := false
			w.withWorker("w1", func(f *fakeWorker) {
				if _, ok := f.running[task(job, 0)]; ok {
					f.finish(task(job, 0), workflow.OutcomeFailed)
					failed = true
				}
			})
			return failed
		})
	}
	w.workers.add("w2")
	w.announce("w2")
	onHealthy := func(job string) bool {
		found := false
		w.withWorker("w2", func(f *fakeWorker) { found = f.running[task(job, 0)].Number > 0 })
		return found
	}
	w.eventually("the third job runs on the sound worker", func() bool { return onHealthy("c") })
	w.submit("d", oneTask)
	w.eventually("and so does a new one", func() bool { return onHealthy("d") })
}

// What a user sees: a queue says that nobody waits while jobs wait.
// Order: a start is committed and sent; the worker doesn't answer, and carries
// the order out later or never.
// Cause: a job counted as begun from the commit of its start on.
func TestJobCountsAsWaitingUntilWorkerStartsIt(t *testing.T) {
	w := newTestCluster(t, nil)
	w.workers.add("w1").delayStarts = true
	w.announce("w1")
	w.submit("a", oneTask)
	w.eventually("the start is sent", func() bool {
		delayed := 0
		w.withWorker("w1", func(f *fakeWorker) { delayed = len(f.delayedStarts) })
		return delayed > 0
	})
	reply, err := w.c.State(context.Background(), &StateCall{Address: JobAddress{Host: "h", Path: "/q/"}})
	must.NoError(t, err)
	must.Eq(t, 1, reply.Waiting)
	w.withWorker("w1", func(f *fakeWorker) { f.delayStarts = false })
	w.eventually("nobody waits", func() bool {
		reply, err := w.c.State(context.Background(), &StateCall{Address: JobAddress{Host: "h", Path: "/q/"}})
		return err == nil && reply.Waiting == 0
	})
}

// What a user sees: a task runs in two places.
// Order: a leader's machine is suspended; another leader takes over and waits
// for a lease that it knows; the first one wakes and prolongs it.
// Cause: the steady clock doesn't count the time of a suspension.
func TestLeaderTermEndsAfterMachineSuspend(t *testing.T) {
	ended := false
	w := newTestCluster(t, nil)
	term := newLeaderTerm(context.Background(), func() { ended = true }, w.c, 7)
	s := term.addSession(worker("w1"), nil)
	w.workers.add("w1")
	_, err := s.poll(time.Now())
	must.NoError(t, err)
	must.False(t, ended)
	term.suspendedTime = func() (time.Duration, error) { return term.suspendedBefore + 2*time.Second, nil }
	_, _ = s.poll(time.Now())
	must.True(t, ended)
}

// What a user sees: the leader is killed for its memory on a long day.
// Order: jobs come and end, each with what the adviser said of 48 workers.
// Cause: what was known of ended jobs was kept for as long as the tenure.
func TestStateOfEndedJobsIsReleased(t *testing.T) {
	w := clusterWithStartedTask(t)
	term, err := w.c.currentLeaderTerm(context.Background())
	must.NoError(t, err)
	term.mu.Lock()
	term.permitsOf(workflow.StepKey{Job: "a"})
	term.mu.Unlock()
	must.SliceEmpty(t, term.forget(time.Now()))
	must.MapLen(t, 1, term.permits)
	w.withWorker("w1", func(f *fakeWorker) { f.finish(task("a", 0), workflow.OutcomeDone) })
	w.eventually("the job is done", func() bool { return w.phase("a") == workflow.PhaseDone })
	must.SliceEmpty(t, term.forget(time.Now()))
	must.MapEmpty(t, term.permits)
	must.Eq(t, []string{"a"}, term.forget(time.Now().Add(time.Hour)))
	must.MapEmpty(t, term.acceptedAt)
}

// What a user sees: a worker is given more than it has.
// Order: starts are being committed; a second decision is made meanwhile.
// Cause: the room of starts under way wasn't counted.
func TestProposedStartsReserveCapacity(t *testing.T) {
	w := newTestCluster(t, nil)
	w.workers.add("w1")
	w.announce("w1")
	term, err := w.c.currentLeaderTerm(context.Background())
	must.NoError(t, err)
	w.eventually("the worker is ready", func() bool {
		return len(term.gatherPlanInput(time.Now()).workers) == 1
	})
	w.commit(&workflow.Command{Submit: &workflow.Submission{
		ID: "b", Queue: "h/q/", Steps: []workflow.Step{{Count: 2, Need: workflow.Resources{MilliCPU: 8000}, Label: "none"}},
		Policy: workflow.Policy{Service: "s"},
	}})
	term.mu.Lock()
	term.proposedStarts[task("b", 0)] = "w1"
	term.mu.Unlock()
	v := term.gatherPlanInput(time.Now())
	must.Eq(t, int64(2000), v.workers[0].Free.MilliCPU)
	must.Eq(t, []int{1}, v.steps[0].Pending)
}

// What a user sees: a worker is given more than it has, right after a change of
// leader.
// Order: a leader begins; a worker hasn't answered it yet; a job comes.
// Cause: what runs there isn't known before the worker's first answer.
func TestUnconfirmedWorkerGetsNoTask(t *testing.T) {
	now := time.Now()
	s := &workerSession{t: &leaderTerm{}, answeredAt: now}
	must.Eq(t, reasonSilent, s.unschedulableReason(now, nil, 0))
	s.ready = true
	must.Eq(t, "", s.unschedulableReason(now, nil, 0))
}

// What a user sees: calls are refused by an instance that leads, and all instances
// are busy with looking for another leader.
// Order: the log's goroutine is held up for a tenth of a second; nothing shows
// meanwhile that the member still leads; it does.
// Cause: what wasn't shown to lead was taken for not leading.
func TestLeaderWaitsForDelayedLogInsteadOfRefusing(t *testing.T) {
	w := newTestCluster(t, nil)
	w.workers.add("w1")
	w.log.delayStatus(100 * time.Millisecond)
	_, err := w.c.Announce(context.Background(), &Announcement{Worker: worker("w1")})
	must.NoError(t, err)
}

// slowLogger takes its time with the line that a tenure has begun, and shares nothing
// between the lines' writers, which would hide from the race detector what they share.
type slowLogger struct{}

func (slowLogger) Log(keyvals ...any) error {
	if slices.Contains(keyvals, any("begun")) {
		time.Sleep(200 * time.Millisecond)
	}
	return nil
}

// What an operator sees: a leader ends with a fault of the runtime as it begins.
// Order: a tenure is shared with the calls; the line that it has begun counts its
// workers; a worker's first heartbeat comes meanwhile.
// Cause: they were counted without the tenure's lock. The race detector says so.
func TestSharedLeaderTermIsReadUnderLock(t *testing.T) {
	w := newTestCluster(t, func(w *testCluster) { w.c.cfg.Logger = slowLogger{} })
	w.workers.add("w1")
	w.announce("w1")
}
