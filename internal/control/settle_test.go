package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// What a user sees: a report is issued twice.
// Order: a worker doesn't answer a start; the task is given to another worker;
// the first one carries the order out after all.
// Cause: no answer was taken for not carried out.
func TestUnansweredStartIsSettledBeforeRestartElsewhere(t *testing.T) {
	w := newTestCluster(t, nil)
	w.workers.add("w1").delayStarts = true
	w.announce("w1")
	w.submit("a", oneTask)
	w.eventually("the start is sent twice", func() bool {
		delayed := 0
		w.withWorker("w1", func(f *fakeWorker) { delayed = len(f.delayedStarts) })
		return delayed == maxStartAttempts
	})
	w.workers.add("w2")
	w.announce("w2")
	w.eventually("the task runs on the other worker", func() bool { return w.started("w2") == 1 })
	w.withWorker("w1", func(f *fakeWorker) {
		for _, order := range f.delayedStarts {
			must.Error(t, f.begin(order), must.Sprint("carried out late, beside the run on w2"))
		}
	})
}

// What a user sees: a job never ends, though most workers are idle.
// Order: a worker doesn't answer a start; the start is sent again, and refused
// because its ticket has ended.
// Cause: the refusal settles nothing while the first call is open, and only a
// second call without an answer led to a stop.
func TestRefusalAfterUnansweredStartIsSettledByStop(t *testing.T) {
	w := newTestCluster(t, nil)
	first := w.workers.add("w1")
	first.delayStarts, first.refuseNextStart = true, RefusedTicket
	w.announce("w1")
	w.submit("a", oneTask)
	w.eventually("the task runs again", func() bool { return w.started("w1") == 1 })
	w.withWorker("w1", func(f *fakeWorker) {
		must.Eq(t, 2, f.starts[0].Run.Number)
		must.Error(t, f.begin(f.delayedStarts[0]), must.Sprint("carried out late, beside the second run"))
	})
}

// What a user sees: a task runs on two workers.
// Order: a worker takes looks but its answers are lost; its runs count as ended
// when the lease has; the task starts elsewhere.
// Cause: looks that nobody answers went on prolonging the lease.
func TestUnansweredPollsDoNotExtendLease(t *testing.T) {
	w := clusterWithStartedTask(t)
	w.withWorker("w1", func(f *fakeWorker) { f.answersLost = true })
	w.workers.add("w2")
	w.announce("w2")
	w.eventually("the task runs elsewhere", func() bool { return w.started("w2") == 1 })
	var before int
	w.withWorker("w1", func(f *fakeWorker) { before = len(f.leases) })
	time.Sleep(callTimeout + 50*time.Millisecond)
	w.withWorker("w1", func(f *fakeWorker) { must.Eq(t, before, len(f.leases)) })
}

// What a user sees: a job is stuck, or issued twice, after a change of leader.
// Order: a leader commits a start and loses the leadership before the worker has
// the order; the next leader looks at the worker.
// Cause: the new leader can't know whether the order is under way. Its look
// takes the fence to the worker, which refuses the old order from then on.
func TestInheritedRunThatNeverStartedRunsAgain(t *testing.T) {
	w := clusterWithInheritedRun(t, func(*fakeWorker) {})
	w.eventually("the task starts", func() bool { return w.started("w1") == 1 })
	w.withWorker("w1", func(f *fakeWorker) {
		must.Eq(t, 2, f.starts[0].Run.Number)
		must.Error(t, f.begin(StartOrder{Run: workflow.Run{Task: task("a", 0), Number: 1, Worker: "w1"}, Fence: 6}))
	})
}

// What a user sees: work goes on over a change of leader.
// Order: a run is under way when the leadership changes; the next leader finds
// it in the worker's list.
func TestInheritedLiveRunContinues(t *testing.T) {
	w := clusterWithInheritedRun(t, func(f *fakeWorker) {
		f.running[task("a", 0)] = Running{Task: task("a", 0), Number: 1}
	})
	time.Sleep(50 * time.Millisecond)
	w.withWorker("w1", func(f *fakeWorker) { f.finish(task("a", 0), workflow.OutcomeDone) })
	w.eventually("the job is done", func() bool { return w.phase("a") == workflow.PhaseDone })
	must.Eq(t, 0, w.started("w1"))
}

// What a user sees: a worker that crashed and came back blocks its tasks for the
// time of a lease.
// Order: a worker's next incarnation answers at its address.
// Cause: that another incarnation answers is proof that the old one is over.
func TestTasksOfReplacedIncarnationRunAgainAtOnce(t *testing.T) {
	w := clusterWithStartedTask(t)
	w.workers.add("w2")
	w.announce("w2")
	start := time.Now()
	w.withWorker("w1", func(f *fakeWorker) { f.superseded = true })
	w.eventually("the task runs again", func() bool { return w.started("w2") == 1 })
	must.Less(t, 400*time.Millisecond, time.Since(start), must.Sprint("a lease is 400 ms"))
}

// What a user sees: a cancelled job's task runs on.
// Order: a second run of a task is under way on a worker that lists the end of
// the first one late; the job is cancelled.
// Cause: the late end made the leader forget the order of the second run.
func TestLateEndOfEarlierRunKeepsOrderOfNextRun(t *testing.T) {
	w := clusterWithStartedTask(t)
	w.withWorker("w1", func(f *fakeWorker) { f.finish(task("a", 0), workflow.OutcomeFailed) })
	w.eventually("the second run starts", func() bool { return w.started("w1") == 2 })
	term, err := w.c.currentLeaderTerm(context.Background())
	must.NoError(t, err)
	term.mu.Lock()
	s := term.sessions["w1"]
	term.mu.Unlock()
	s.commitEnds(0, []workflow.RunEnd{{Task: task("a", 0), Number: 1, Outcome: workflow.OutcomeLeaseExpired}})
	_, err = w.c.Cancel(context.Background(), &CancelCall{Address: JobAddress{Host: "h", Path: "/q/a"}})
	must.NoError(t, err)
	w.eventually("the second run is stopped", func() bool {
		running := 1
		w.withWorker("w1", func(f *fakeWorker) { running = len(f.running) })
		return running == 0
	})
}

// Guards against a task that waits for a held look though its run is known never to begin:
// the stop was acknowledged just before the look was sent.
func TestPollThatSettlesStopIsNotHeld(t *testing.T) {
	now := time.Now()
	s := &workerSession{t: &leaderTerm{c: &Controller{}}, orders: map[workflow.TaskKey]*runOrder{}}
	hold, _ := s.pollTimes(now)
	must.Eq(t, pollHold, hold)
	o := &runOrder{stopAcked: now}
	s.orders[task("a", 0)] = o
	hold, _ = s.pollTimes(now)
	must.Eq(t, 0, hold)
	o.listed = true
	hold, _ = s.pollTimes(now)
	must.Eq(t, pollHold, hold, must.Sprint("the end of a run that was listed ends the wait"))
}

// clusterWithInheritedRun is a leader that finds the run of a task committed by another
// one on worker w1.
func clusterWithInheritedRun(t *testing.T, prepare func(*fakeWorker)) *testCluster {
	return newTestCluster(t, func(w *testCluster) {
		w1 := worker("w1")
		w.commit(&workflow.Command{Worker: &w1})
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
func TestPollCarriesFence(t *testing.T) {
	w := clusterWithInheritedRun(t, func(f *fakeWorker) { f.delayStarts = true })
	w.eventually("the run is settled", func() bool {
		runs := 0
		w.c.state.read(func(s *workflow.State) { runs = s.Task(task("a", 0)).Runs })
		return runs > 1
	})
	w.withWorker("w1", func(f *fakeWorker) {
		err := f.begin(StartOrder{Run: workflow.Run{Task: task("a", 0), Number: 1, Worker: "w1"}, Fence: 6})
		must.ErrorContains(t, err, string(RefusedStaleFence))
	})
}

// What a user sees: a task runs twice.
// Order: a worker has more ends to list than one answer holds; a run's end is
// among those not listed yet.
// Cause: a run that isn't in a partial list was taken for never begun.
func TestPartialReportSettlesNoRun(t *testing.T) {
	w := clusterWithInheritedRun(t, func(f *fakeWorker) { f.partial = true })
	time.Sleep(100 * time.Millisecond)
	must.Eq(t, 0, w.started("w1"))
	w.withWorker("w1", func(f *fakeWorker) { f.partial = false })
	w.eventually("a whole list settles it", func() bool { return w.started("w1") == 1 })
}

// settledRuns returns the runs that a report without lists settles, for an order
// in the state that change gives it, with a look sent at sent.
func settledRuns(t *testing.T, sent time.Time, change func(*runOrder)) int {
	w := clusterWithStartedTask(t)
	term, err := w.c.currentLeaderTerm(context.Background())
	must.NoError(t, err)
	term.mu.Lock()
	defer term.mu.Unlock()
	s := term.sessions["w1"]
	o := &runOrder{run: workflow.Run{Task: task("a", 0), Number: 1, Worker: "w1"}}
	change(o)
	s.orders[task("a", 0)] = o
	return len(s.neverStarted(Report{}, nil, sent))
}

// What a user sees: a task runs twice.
// Order: a look is under way; a stop is acknowledged; the look's answer, made up
// before the stop, comes in.
// Cause: lists older than the acknowledgement were taken for proof.
func TestOnlyPollSentAfterStopSettlesRun(t *testing.T) {
	now := time.Now()
	stopped := func(o *runOrder) { o.stopAcked = now }
	must.Eq(t, 0, settledRuns(t, now.Add(-time.Millisecond), stopped))
	must.Eq(t, 1, settledRuns(t, now.Add(time.Millisecond), stopped))
	must.Eq(t, 0, settledRuns(t, now, func(*runOrder) {}), must.Sprint("an order without a stop"))
}

// What a user sees: a task runs twice.
// Order: a start gets no answer, is sent again and refused; the first one is
// carried out later.
// Cause: the refusal was taken to settle both calls.
func TestRefusalSettlesNothingWhileEarlierCallIsOpen(t *testing.T) {
	w := clusterWithStartedTask(t)
	term, err := w.c.currentLeaderTerm(context.Background())
	must.NoError(t, err)
	term.mu.Lock()
	s, o := term.sessions["w1"], term.sessions["w1"].orders[task("a", 0)]
	term.mu.Unlock()
	s.settleStartAttempts(o, []error{errNoAnswer, &RefusedError{RefusedNoRoom}})
	runs := 0
	w.c.state.read(func(s *workflow.State) { runs = len(s.Runs["w1"]) })
	must.Eq(t, 1, runs)
}

// What a user sees: urgent jobs are late though their tasks ran in time.
// Order: calls of workers get lost, one in some; a worker answers a start while its
// look, sent before, gets no answer; a run ends on it.
// Cause: the look was held for 1.5 s and given up after 2 s, and nobody saw the end.
func TestPollHoldIsShorterWhileCallsAreLost(t *testing.T) {
	w := clusterWithStartedTask(t)
	term, err := w.c.currentLeaderTerm(context.Background())
	must.NoError(t, err)
	term.mu.Lock()
	defer term.mu.Unlock()
	s, now := term.sessions["w1"], time.Now()
	s.advancedAt = now
	hold, slack := s.pollTimes(now)
	must.Eq(t, pollHold, hold)
	must.Eq(t, callTimeout, slack)
	s.recordLostCall(now.Add(time.Second), now)
	must.False(t, term.losingCalls(now), must.Sprint("a worker that is cut off answers nothing"))
	s.answeredAt = now
	s.recordLostCall(now.Add(-time.Second), now)
	hold, slack = s.pollTimes(now)
	must.Eq(t, lossyPollHold, hold)
	must.Eq(t, lossyPollSlack, slack)
	for i := range 200 {
		term.sessions[fmt.Sprint("other", i)] = s
	}
	hold, _ = s.pollTimes(now)
	must.Eq(t, 201*time.Second/maxLossyPolls, hold, must.Sprint("no more looks a second than the leader can take"))
	hold, _ = s.pollTimes(now.Add(lossWindow))
	must.Eq(t, pollHold, hold)
	for i := range 200 {
		delete(term.sessions, fmt.Sprint("other", i))
	}
}

// What a user sees: a leader with much to do serves less and less.
// Order: answers take 0.2 s because the leader reads them late; each is taken for lost.
// Cause: what counts as overdue didn't follow from how long answers take.
func TestOverdueTimeFollowsAnswerTime(t *testing.T) {
	term := &leaderTerm{}
	must.Eq(t, minOverdueTime, term.overdueAfter())
	for range 200 {
		term.noteAnswerTime(5 * time.Millisecond)
	}
	must.Eq(t, minOverdueTime, term.overdueAfter())
	for range 200 {
		term.noteAnswerTime(25 * time.Millisecond)
	}
	must.Greater(t, 190*time.Millisecond, term.overdueAfter())
	for range 200 {
		term.noteAnswerTime(time.Second)
	}
	must.Eq(t, callTimeout/2, term.overdueAfter())
}

// Guards against a task that never runs again: a start is sent again beside one that is
// overdue, and the worker refuses both.
func TestConcurrentlyRefusedStartsSettleRun(t *testing.T) {
	w := newTestCluster(t, nil)
	w.workers.add("w1").slowRefusals = 2
	w.announce("w1")
	w.submit("a", oneTask)
	w.eventually("the task runs", func() bool { return w.started("w1") == 1 })
}
