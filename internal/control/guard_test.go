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
func TestADrainingWorkerGetsNothingNew(t *testing.T) {
	w := newWorld(t, nil)
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
func TestAWorkerThatFailsEverythingIsSetAside(t *testing.T) {
	w := newWorld(t, nil)
	w.workers.add("w1")
	w.announce("w1")
	for _, job := range []string{"a", "b", "c"} {
		w.submit(job, oneTask)
		w.eventually("the task starts", func() bool { return w.started("w1") >= 1 })
		w.eventually("it fails", func() bool {
			failed := false
			w.with("w1", func(f *fakeWorker) {
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
	onSound := func(job string) bool {
		found := false
		w.with("w2", func(f *fakeWorker) { found = f.running[task(job, 0)].Number > 0 })
		return found
	}
	w.eventually("the third job runs on the sound worker", func() bool { return onSound("c") })
	w.submit("d", oneTask)
	w.eventually("and so does a new one", func() bool { return onSound("d") })
}

// What a user sees: a queue says that nobody waits while jobs wait.
// Order: a start is committed and sent; the worker doesn't answer, and carries
// the order out later or never.
// Cause: a job counted as begun from the commit of its start on.
func TestAJobWaitsUntilAWorkerHasBegunIt(t *testing.T) {
	w := newWorld(t, nil)
	w.workers.add("w1").delay = true
	w.announce("w1")
	w.submit("a", oneTask)
	w.eventually("the start is sent", func() bool {
		late := 0
		w.with("w1", func(f *fakeWorker) { late = len(f.late) })
		return late > 0
	})
	reply, err := w.c.State(context.Background(), &StateCall{Place: Place{Host: "h", Path: "/q/"}})
	must.NoError(t, err)
	must.Eq(t, 1, reply.Waiting)
	w.with("w1", func(f *fakeWorker) { f.delay = false })
	w.eventually("nobody waits", func() bool {
		reply, err := w.c.State(context.Background(), &StateCall{Place: Place{Host: "h", Path: "/q/"}})
		return err == nil && reply.Waiting == 0
	})
}

// What a user sees: a task runs in two places.
// Order: a leader's machine is suspended; another leader takes over and waits
// for a lease that it knows; the first one wakes and prolongs it.
// Cause: the steady clock doesn't count the time of a suspension.
func TestATenureEndsWhenTheMachineWasSuspended(t *testing.T) {
	ended := false
	w := newWorld(t, nil)
	ten := newTenure(context.Background(), func() { ended = true }, w.c, 7)
	s := ten.addSession(worker("w1"), nil)
	w.workers.add("w1")
	_, err := s.look(time.Now())
	must.NoError(t, err)
	must.False(t, ended)
	ten.sleepTime = func() (time.Duration, error) { return ten.sleptBefore + 2*time.Second, nil }
	_, _ = s.look(time.Now())
	must.True(t, ended)
}

// What a user sees: the leader is killed for its memory on a long day.
// Order: jobs come and end, each with what the adviser said of 48 workers.
// Cause: what was known of ended jobs was kept for as long as the tenure.
func TestNothingIsKeptOfJobsThatEndedLongAgo(t *testing.T) {
	w := startedWorld(t)
	ten, err := w.c.leading(context.Background())
	must.NoError(t, err)
	ten.mu.Lock()
	ten.permitsOf(workflow.StepKey{Job: "a"})
	ten.mu.Unlock()
	must.SliceEmpty(t, ten.forget(time.Now()))
	must.MapLen(t, 1, ten.permits)
	w.with("w1", func(f *fakeWorker) { f.finish(task("a", 0), workflow.OutcomeDone) })
	w.eventually("the job is done", func() bool { return w.phase("a") == workflow.PhaseDone })
	must.SliceEmpty(t, ten.forget(time.Now()))
	must.MapEmpty(t, ten.permits)
	must.Eq(t, []string{"a"}, ten.forget(time.Now().Add(time.Hour)))
	must.MapEmpty(t, ten.accepted)
}

// What a user sees: a worker is given more than it has.
// Order: starts are being committed; a second decision is made meanwhile.
// Cause: the room of starts under way wasn't counted.
func TestStartsUnderWayTakeTheirRoom(t *testing.T) {
	w := newWorld(t, nil)
	w.workers.add("w1")
	w.announce("w1")
	ten, err := w.c.leading(context.Background())
	must.NoError(t, err)
	w.eventually("the worker is ready", func() bool {
		return len(ten.snapshot(time.Now()).workers) == 1
	})
	w.commit(&workflow.Command{Submit: &workflow.Submission{
		ID: "b", Queue: "h/q/", Steps: []workflow.Step{{Count: 2, Need: workflow.Resources{MilliCPU: 8000}, Label: "none"}},
		Policy: workflow.Policy{Service: "s"},
	}})
	ten.mu.Lock()
	ten.proposed[task("b", 0)] = "w1"
	ten.mu.Unlock()
	v := ten.snapshot(time.Now())
	must.Eq(t, int64(2000), v.workers[0].Free.MilliCPU)
	must.Eq(t, []int{1}, v.steps[0].Pending)
}

// What a user sees: a worker is given more than it has, right after a change of
// leader.
// Order: a leader begins; a worker hasn't answered it yet; a job comes.
// Cause: what runs there isn't known before the worker's first answer.
func TestAWorkerThatHasNotAnsweredGetsNothing(t *testing.T) {
	now := time.Now()
	s := &session{t: &tenure{}, answeredAt: now}
	must.Eq(t, reasonSilent, s.obstacle(now, nil, 0))
	s.ready = true
	must.Eq(t, "", s.obstacle(now, nil, 0))
}

// What a user sees: calls are refused by an instance that leads, and all instances
// are busy with looking for another leader.
// Order: the log's goroutine is held up for a tenth of a second; nothing shows
// meanwhile that the member still leads; it does.
// Cause: what wasn't shown to lead was taken for not leading.
func TestALeaderThatIsHeldUpAnswersOnceItsLogDoes(t *testing.T) {
	w := newWorld(t, nil)
	w.workers.add("w1")
	w.log.hold(100 * time.Millisecond)
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
func TestATenureIsNotReadWithoutItsLockOnceItIsShared(t *testing.T) {
	w := newWorld(t, func(w *world) { w.c.cfg.Logger = slowLogger{} })
	w.workers.add("w1")
	w.announce("w1")
}
