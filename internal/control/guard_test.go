package control

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// What a user sees: a report is issued twice.
// Order: a worker doesn't answer a start; the task is given to another worker;
// the first one carries the order out after all.
// Cause: no answer was taken for not carried out.
func TestAnUnansweredStartIsSettledBeforeTheTaskRunsElsewhere(t *testing.T) {
	w := newWorld(t, nil)
	w.workers.add("w1").delay = true
	w.announce("w1")
	w.submit("a", oneTask)
	w.eventually("the start is sent twice", func() bool {
		late := 0
		w.with("w1", func(f *fakeWorker) { late = len(f.late) })
		return late == startTries
	})
	w.workers.add("w2")
	w.announce("w2")
	w.eventually("the task runs on the other worker", func() bool { return w.started("w2") == 1 })
	w.with("w1", func(f *fakeWorker) {
		for _, order := range f.late {
			must.Error(t, f.begin(order), must.Sprint("carried out late, beside the run on w2"))
		}
	})
}

// What a user sees: a job never ends, though most workers are idle.
// Order: a worker doesn't answer a start; the start is sent again, and refused
// because its ticket has ended.
// Cause: the refusal settles nothing while the first call is open, and only a
// second call without an answer led to a stop.
func TestAStartThatIsRefusedAfterOneWithoutAnAnswerIsSettled(t *testing.T) {
	w := newWorld(t, nil)
	first := w.workers.add("w1")
	first.delay, first.refuse = true, RefusedTicket
	w.announce("w1")
	w.submit("a", oneTask)
	w.eventually("the task runs again", func() bool { return w.started("w1") == 1 })
	w.with("w1", func(f *fakeWorker) {
		must.Eq(t, 2, f.starts[0].Run.Number)
		must.Error(t, f.begin(f.late[0]), must.Sprint("carried out late, beside the second run"))
	})
}

// What a user sees: a task runs on two workers.
// Order: a worker takes looks but its answers are lost; its runs count as ended
// when the lease has; the task starts elsewhere.
// Cause: looks that nobody answers went on prolonging the lease.
func TestNoLeaseIsProlongedForAWorkerThatDoesNotAnswer(t *testing.T) {
	w := startedWorld(t)
	w.with("w1", func(f *fakeWorker) { f.cut = true })
	w.workers.add("w2")
	w.announce("w2")
	w.eventually("the task runs elsewhere", func() bool { return w.started("w2") == 1 })
	var before int
	w.with("w1", func(f *fakeWorker) { before = len(f.leases) })
	time.Sleep(callTimeout + 50*time.Millisecond)
	w.with("w1", func(f *fakeWorker) { must.Eq(t, before, len(f.leases)) })
}

// What a user sees: a job is stuck, or issued twice, after a change of leader.
// Order: a leader commits a start and loses the leadership before the worker has
// the order; the next leader looks at the worker.
// Cause: the new leader can't know whether the order is under way. Its look
// takes the fence to the worker, which refuses the old order from then on.
func TestAnInheritedRunThatNeverBeganRunsAgain(t *testing.T) {
	w := inheritedWorld(t, func(*fakeWorker) {})
	w.eventually("the task starts", func() bool { return w.started("w1") == 1 })
	w.with("w1", func(f *fakeWorker) {
		must.Eq(t, 2, f.starts[0].Run.Number)
		must.Error(t, f.begin(StartOrder{Run: workflow.Run{Task: task("a", 0), Number: 1, Worker: "w1"}, Fence: 6}))
	})
}

// What a user sees: work goes on over a change of leader.
// Order: a run is under way when the leadership changes; the next leader finds
// it in the worker's list.
func TestAnInheritedRunThatIsAliveGoesOn(t *testing.T) {
	w := inheritedWorld(t, func(f *fakeWorker) {
		f.running[task("a", 0)] = Running{Task: task("a", 0), Number: 1}
	})
	time.Sleep(50 * time.Millisecond)
	w.with("w1", func(f *fakeWorker) { f.finish(task("a", 0), workflow.OutcomeDone) })
	w.eventually("the job is done", func() bool { return w.phase("a") == workflow.PhaseDone })
	must.Eq(t, 0, w.started("w1"))
}

// What a user sees: a worker that crashed and came back blocks its tasks for the
// time of a lease.
// Order: a worker's next incarnation answers at its address.
// Cause: that another incarnation answers is proof that the old one is over.
func TestTasksOfAnOverIncarnationRunAgainAtOnce(t *testing.T) {
	w := startedWorld(t)
	w.workers.add("w2")
	w.announce("w2")
	begun := time.Now()
	w.with("w1", func(f *fakeWorker) { f.replaced = true })
	w.eventually("the task runs again", func() bool { return w.started("w2") == 1 })
	must.Less(t, 400*time.Millisecond, time.Since(begun), must.Sprint("a lease is 400 ms"))
}

// What a user sees: a report whose copies are allowed is late by the lease of a
// worker that was cut off.
// Order: its task starts; the worker is cut off; another worker is idle; the copy
// there ends; the first worker comes back.
// Cause: the second run waited for proof that the first one is over.
func TestATaskWithCopiesNeedNotWaitForTheLease(t *testing.T) {
	w := newWorld(t, nil)
	w.workers.add("w1")
	w.announce("w1")
	step := oneTask
	step.Speculative, step.Count = true, 2
	w.submit("a", step)
	w.eventually("the tasks start", func() bool { return w.started("w1") == 2 })
	ten, err := w.c.leading()
	must.NoError(t, err)
	ten.mu.Lock()
	ten.sessions["w1"].leaseEnd = time.Now().Add(time.Hour)
	ten.mu.Unlock()
	w.with("w1", func(f *fakeWorker) { f.cut = true })
	w.workers.add("w2")
	w.announce("w2")
	w.eventually("the copies run", func() bool { return w.started("w2") == 2 })
	w.with("w2", func(f *fakeWorker) { f.finish(task("a", 0), workflow.OutcomeDone) })
	w.with("w1", func(f *fakeWorker) { f.cut = false })
	w.eventually("the run beside the copy that ended is stopped", func() bool {
		stopped := 0
		w.with("w1", func(f *fakeWorker) { stopped = f.stopped[task("a", 0)] })
		return stopped == 1
	})
	must.Eq(t, workflow.PhaseActive, w.phase("a"))
	w.with("w1", func(f *fakeWorker) { must.MapContainsKey(t, f.running, task("a", 1)) })
}

// What a user sees: an urgent all-or-nothing job waits behind a batch job, or the
// batch job begins again from nothing.
// Order: a batch task with checkpoints fills the worker; a gang of a more urgent
// queue comes; the stop's first answer is lost; both jobs end.
// Cause: room was made by nobody, or a stop without an answer wasn't repeated.
func TestABatchTaskGivesWayToAGangAndGoesOnLater(t *testing.T) {
	w := newWorld(t, func(w *world) {
		w.commit(&workflow.Command{Configuration: &workflow.Document{Version: 2, Source: []byte("{}"), Queues: []workflow.Queue{
			{Name: "q", Host: "h", Prefix: "/q/", Policy: workflow.Policy{Service: "s", Priority: 2, Stretch: 2}},
			{Name: "u", Host: "h", Prefix: "/u/", Policy: workflow.Policy{Service: "s", Priority: 1, Stretch: 9, ObjectiveMS: 9000}},
		}}})
	})
	w.workers.add("w1")
	w.announce("w1")
	batch := workflow.Step{Count: 1, Need: workflow.Resources{MilliCPU: 9000, MemoryMB: 10}, EstimateMS: 60_000, Checkpointing: true}
	w.submit("a", batch)
	w.eventually("the batch task runs", func() bool { return w.started("w1") == 1 })
	w.with("w1", func(f *fakeWorker) {
		f.running[task("a", 0)] = Running{Task: task("a", 0), Number: 1, Checkpoint: "half"}
		f.deaf = 1
	})
	w.eventually("its checkpoint is known", func() bool {
		ten, err := w.c.leading()
		must.NoError(t, err)
		ten.mu.Lock()
		defer ten.mu.Unlock()
		return ten.checkpoints[task("a", 0)] == "half"
	})
	gang := workflow.Step{Count: 2, Need: workflow.Resources{MilliCPU: 4000, MemoryMB: 10}, EstimateMS: 1000, Gang: true}
	_, err := w.c.Submit(context.Background(), &SubmitCall{Place: Place{Queue: "u", ID: "g"}, Payload: "payload", Steps: []workflow.Step{gang}})
	must.NoError(t, err)
	begun := time.Now()
	w.eventually("the gang runs", func() bool { return w.started("w1") == 3 })
	must.Less(t, moveAfter, time.Since(begun), must.Sprint("not stopped for standing still"))
	w.with("w1", func(f *fakeWorker) {
		f.finish(task("g", 0), workflow.OutcomeDone)
		f.finish(task("g", 1), workflow.OutcomeDone)
	})
	w.eventually("the batch task goes on", func() bool { return w.started("w1") == 4 })
	w.with("w1", func(f *fakeWorker) { must.Eq(t, "half", f.starts[3].Checkpoint) })
}

// What a user sees: a task begins again after it was done.
// Order: a copy's start is being committed; the other run's end is; the start is
// sent.
// Cause: only the job's end was looked at.
func TestNoCopyIsSentOfATaskThatIsDone(t *testing.T) {
	w := newWorld(t, nil)
	w.workers.add("w1")
	w.announce("w1")
	step := oneTask
	step.Count, step.Speculative = 2, true
	w.submit("a", step)
	w.eventually("the tasks start", func() bool { return w.started("w1") == 2 })
	ten, err := w.c.leading()
	must.NoError(t, err)
	copied := workflow.Run{Task: task("a", 0), Number: 2, Worker: "w2"}
	o, _, _ := ten.newOrder(copied, "")
	must.NotNil(t, o)
	w.with("w1", func(f *fakeWorker) { f.finish(task("a", 0), workflow.OutcomeDone) })
	w.eventually("it is done", func() bool {
		done := false
		w.c.state.read(func(s *workflow.State) { done = s.Task(task("a", 0)).Done })
		return done
	})
	o, _, _ = ten.newOrder(copied, "")
	must.Nil(t, o)
}

// What a user sees: a job that was cancelled goes on taking room.
// Order: cancelled while its task runs.
func TestRunsOfACancelledJobAreStopped(t *testing.T) {
	w := startedWorld(t)
	_, err := w.c.Cancel(context.Background(), &CancelCall{Place: Place{Host: "h", Path: "/q/a"}})
	must.NoError(t, err)
	begun := time.Now()
	w.eventually("the run has ended", func() bool {
		n := 1
		w.c.state.read(func(s *workflow.State) { n = len(s.Runs["w1"]) })
		return n == 0
	})
	must.Less(t, time.Second, time.Since(begun), must.Sprint("its stop is sent at once"))
	must.Eq(t, workflow.PhaseCancelled, w.phase("a"))
}

// What a user sees: a gang's members wait for one that never comes.
// Order: a gang starts on two workers; one of them refuses its member.
// Cause: the others' runs serve nobody once one has ended.
func TestTheOtherMembersOfAGangAreStoppedWhenOneEnds(t *testing.T) {
	w := newWorld(t, nil)
	w.workers.add("w1")
	w.workers.add("w2").fence = 99
	w.announce("w1")
	w.announce("w2")
	gang := workflow.Step{Count: 2, Need: workflow.Resources{MilliCPU: 6000, MemoryMB: 10}, EstimateMS: 50, Gang: true}
	w.submit("a", gang)
	w.eventually("the members start", func() bool { return w.started("w1") == 1 })
	w.with("w1", func(f *fakeWorker) {
		for task := range f.running {
			f.finish(task, workflow.OutcomeBroken)
		}
	})
	begun := time.Now()
	w.eventually("the run of the other is asked to stop", func() bool {
		stopped := 0
		w.with("w2", func(f *fakeWorker) { stopped = len(f.stopped) })
		return stopped == 1
	})
	must.Less(t, time.Second, time.Since(begun))
}

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

// What a user sees: a batch job begins again from nothing when its worker leaves.
// Order: a task with checkpoints runs on a worker that drains and may go in a
// moment; its end is far off; one without checkpoints runs beside it.
// Cause: nobody asked the task to save before the worker went.
func TestATaskIsSavedBeforeItsWorkerLeaves(t *testing.T) {
	w := newWorld(t, nil)
	w.workers.add("w1")
	w.announce("w1")
	saves := oneTask
	saves.Checkpointing, saves.EstimateMS = true, 60_000
	plain := oneTask
	plain.EstimateMS = 60_000
	w.submit("a", saves)
	w.submit("b", plain)
	w.eventually("both run", func() bool { return w.started("w1") == 2 })
	leave := func(remaining time.Duration) {
		draining := worker("w1")
		draining.Draining = true
		_, err := w.c.Announce(context.Background(), &Announcement{Worker: draining, Remaining: remaining})
		must.NoError(t, err)
	}
	leave(30 * time.Second)
	time.Sleep(50 * time.Millisecond)
	w.with("w1", func(f *fakeWorker) { must.MapLen(t, 2, f.running) })
	leave(saveLead)
	w.eventually("the one with checkpoints is stopped", func() bool {
		left := 2
		w.with("w1", func(f *fakeWorker) { left = len(f.running) })
		return left == 1
	})
	w.with("w1", func(f *fakeWorker) { must.MapContainsKey(t, f.running, task("b", 0)) })
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

// What a user sees: in the second after a data centre is cut off, one task after
// the other disappears on its workers.
// Order: no worker of a data centre answers any more; one start is overdue.
// Cause: each worker was judged by its own answers alone.
func TestADataCentreInWhichNobodyAnswersGetsNothingNew(t *testing.T) {
	now := time.Now()
	ten := &tenure{sessions: map[string]*session{}, answered: map[string]time.Time{}}
	add := func(id, dataCentre string) *session {
		s := &session{t: ten, ready: true, answeredAt: now, orders: map[workflow.TaskKey]*order{}}
		s.worker = workflow.Worker{ID: id, DataCentre: dataCentre}
		ten.sessions[id] = s
		return s
	}
	add("a1", "a").orders[task("j", 0)] = &order{sentAt: now.Add(-2 * promptAnswer)}
	add("a2", "a")
	add("b1", "b").orders[task("k", 0)] = &order{unanswered: true}
	add("c1", "c")
	ten.answered["a"] = now.Add(-2 * dataCentreSilence)
	ten.answered["b"] = now.Add(-dataCentreSilence / 2)
	ten.answered["c"] = now.Add(-2 * dataCentreSilence)
	must.Eq(t, map[string]bool{"a": true}, ten.suspects(now))
}

func TestACutOffDataCentreIsSaidOnceEachWay(t *testing.T) {
	var lines bytes.Buffer
	now := time.Now()
	ten := &tenure{suspected: map[string]time.Time{}, answered: map[string]time.Time{"a": now}, logger: log.NewLogfmtLogger(&lines)}
	cut := map[string]bool{"a": true}
	for _, step := range []struct {
		at       time.Duration
		suspects map[string]bool
	}{{0, cut}, {200 * time.Millisecond, nil}, {400 * time.Millisecond, cut}, {time.Second, nil}, {3 * time.Second, nil}, {4 * time.Second, nil}} {
		ten.noteSuspects(step.suspects, now.Add(step.at))
	}
	must.Eq(t, "event=data_centre_contact data_centre=a outcome=lost silent_ms=0\n"+
		"event=data_centre_contact data_centre=a outcome=regained silent_ms=3000\n", lines.String())
}

// What a user sees: a cancelled job's task runs on.
// Order: a second run of a task is under way on a worker that lists the end of
// the first one late; the job is cancelled.
// Cause: the late end made the leader forget the order of the second run.
func TestALateEndOfAnEarlierRunLeavesTheOrderOfTheNextOne(t *testing.T) {
	w := startedWorld(t)
	w.with("w1", func(f *fakeWorker) { f.finish(task("a", 0), workflow.OutcomeFailed) })
	w.eventually("the second run starts", func() bool { return w.started("w1") == 2 })
	ten, err := w.c.leading()
	must.NoError(t, err)
	ten.mu.Lock()
	s := ten.sessions["w1"]
	ten.mu.Unlock()
	s.commitEnds(0, []workflow.RunEnd{{Task: task("a", 0), Number: 1, Outcome: workflow.OutcomeLapsed}})
	_, err = w.c.Cancel(context.Background(), &CancelCall{Place: Place{Host: "h", Path: "/q/a"}})
	must.NoError(t, err)
	w.eventually("the second run is stopped", func() bool {
		running := 1
		w.with("w1", func(f *fakeWorker) { running = len(f.running) })
		return running == 0
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
	ten, err := w.c.leading()
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

// inheritedWorld is a leader that finds the run of a task committed by another
// one on worker w1.
func inheritedWorld(t *testing.T, prepare func(*fakeWorker)) *world {
	return newWorld(t, func(w *world) {
		one := worker("w1")
		w.commit(&workflow.Command{Worker: &one})
		w.commit(&workflow.Command{Submit: &workflow.Submission{
			ID: "a", Queue: "h/q/", Payload: "p", Steps: []workflow.Step{oneTask}, Policy: workflow.Policy{Service: "s", MaxAttempts: 3},
		}})
		w.commit(&workflow.Command{Start: []workflow.Run{{Task: task("a", 0), Worker: "w1"}}})
		prepare(w.workers.add("w1"))
	})
}

// What a user sees: a task runs twice after a change of leader.
// Order: the next leader's look lists nothing; the old leader's order arrives
// after it.
// Cause: the look didn't carry the fence that bars the old order.
func TestALookCarriesTheFence(t *testing.T) {
	w := inheritedWorld(t, func(f *fakeWorker) { f.delay = true })
	w.eventually("the run is settled", func() bool {
		runs := 0
		w.c.state.read(func(s *workflow.State) { runs = s.Task(task("a", 0)).Runs })
		return runs > 1
	})
	w.with("w1", func(f *fakeWorker) {
		err := f.begin(StartOrder{Run: workflow.Run{Task: task("a", 0), Number: 1, Worker: "w1"}, Fence: 6})
		must.ErrorContains(t, err, string(RefusedFence))
	})
}

// What a user sees: a task runs twice.
// Order: a worker has more ends to list than one answer holds; a run's end is
// among those not listed yet.
// Cause: a run that isn't in a partial list was taken for never begun.
func TestNothingIsSettledByAPartialList(t *testing.T) {
	w := inheritedWorld(t, func(f *fakeWorker) { f.partial = true })
	time.Sleep(100 * time.Millisecond)
	must.Eq(t, 0, w.started("w1"))
	w.with("w1", func(f *fakeWorker) { f.partial = false })
	w.eventually("a whole list settles it", func() bool { return w.started("w1") == 1 })
}

// settledBy returns the runs that a report without lists settles, for an order
// in the state that change gives it, with a look sent at sent.
func settledBy(t *testing.T, sent time.Time, change func(*order)) int {
	w := startedWorld(t)
	ten, err := w.c.leading()
	must.NoError(t, err)
	ten.mu.Lock()
	defer ten.mu.Unlock()
	s := ten.sessions["w1"]
	o := &order{run: workflow.Run{Task: task("a", 0), Number: 1, Worker: "w1"}}
	change(o)
	s.orders[task("a", 0)] = o
	return len(s.neverStarted(Report{}, nil, sent))
}

// What a user sees: a task runs twice.
// Order: a look is under way; a stop is acknowledged; the look's answer, made up
// before the stop, comes in.
// Cause: lists older than the acknowledgement were taken for proof.
func TestOnlyALookSentAfterTheStopSettlesARun(t *testing.T) {
	now := time.Now()
	stopped := func(o *order) { o.stopAcked = now }
	must.Eq(t, 0, settledBy(t, now.Add(-time.Millisecond), stopped))
	must.Eq(t, 1, settledBy(t, now.Add(time.Millisecond), stopped))
	must.Eq(t, 0, settledBy(t, now, func(*order) {}), must.Sprint("an order without a stop"))
}

// What a user sees: a task runs twice.
// Order: a start gets no answer, is sent again and refused; the first one is
// carried out later.
// Cause: the refusal was taken to settle both calls.
func TestARefusalSettlesNothingWhileAnEarlierCallIsOpen(t *testing.T) {
	w := startedWorld(t)
	ten, err := w.c.leading()
	must.NoError(t, err)
	ten.mu.Lock()
	s, o := ten.sessions["w1"], ten.sessions["w1"].orders[task("a", 0)]
	o.open = 1
	ten.mu.Unlock()
	s.startRefused(o, RefusedRoom)
	runs := 0
	w.c.state.read(func(s *workflow.State) { runs = len(s.Runs["w1"]) })
	must.Eq(t, 1, runs)
}

// What a user sees: a worker is given more than it has.
// Order: starts are being committed; a second decision is made meanwhile.
// Cause: the room of starts under way wasn't counted.
func TestStartsUnderWayTakeTheirRoom(t *testing.T) {
	w := newWorld(t, nil)
	w.workers.add("w1")
	w.announce("w1")
	ten, err := w.c.leading()
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
