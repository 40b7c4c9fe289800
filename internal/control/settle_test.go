package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// Guards against this failure: a task runs twice. A worker doesn't respond to a start,
// the leader assumes that the start wasn't carried out and starts the task elsewhere, and
// the first worker carries out the start after all.
func TestUnansweredStartIsSettledBeforeRestartElsewhere(t *testing.T) {
	cluster := newTestCluster(t, nil)
	cluster.workers.add("w1").delayStarts = true
	cluster.announce("w1")
	cluster.submit("a", oneTask)
	cluster.eventually("the start is sent twice", func() bool {
		delayed := 0
		cluster.withWorker("w1", func(f *fakeWorker) { delayed = len(f.delayedStarts) })
		return delayed == maxStartAttempts
	})
	cluster.workers.add("w2")
	cluster.announce("w2")
	cluster.eventually("the task runs on the other worker", func() bool { return cluster.started("w2") == 1 })
	cluster.withWorker("w1", func(f *fakeWorker) {
		for _, order := range f.delayedStarts {
			must.Error(t, f.startRun(order), must.Sprint("carried out late, while the run on w2 is alive"))
		}
	})
}

// Guards against this failure: a job never ends although most workers are idle. A worker
// doesn't respond to a start, and refuses the second attempt because the ticket has
// expired. The refusal settles nothing while the first call may still be carried out, so
// a stop has to follow, as after two unanswered calls.
func TestRefusalAfterUnansweredStartIsSettledByStop(t *testing.T) {
	cluster := newTestCluster(t, nil)
	first := cluster.workers.add("w1")
	first.delayStarts, first.refuseNextStart = true, RefusedTicket
	cluster.announce("w1")
	cluster.submit("a", oneTask)
	cluster.eventually("the task runs again", func() bool { return cluster.started("w1") == 1 })
	cluster.withWorker("w1", func(f *fakeWorker) {
		must.Eq(t, 2, f.starts[0].Run.Number)
		must.Error(t, f.startRun(f.delayedStarts[0]), must.Sprint("carried out late, while the second run is alive"))
	})
}

// Guards against this failure: a task runs on two workers. A worker receives polls but
// its responses are lost. If unanswered polls extend its lease, its runs continue after
// the leader considers the lease expired and starts the task elsewhere.
func TestUnansweredPollsDoNotExtendLease(t *testing.T) {
	cluster := clusterWithStartedTask(t)
	cluster.withWorker("w1", func(f *fakeWorker) { f.responsesLost = true })
	cluster.workers.add("w2")
	cluster.announce("w2")
	cluster.eventually("the task runs elsewhere", func() bool { return cluster.started("w2") == 1 })
	var before int
	cluster.withWorker("w1", func(f *fakeWorker) { before = len(f.leases) })
	const pollMargin = 50 * time.Millisecond
	time.Sleep(callTimeout + pollMargin)
	cluster.withWorker("w1", func(f *fakeWorker) { must.Eq(t, before, len(f.leases)) })
}

// Guards against this failure: a job is stuck, or its task runs twice, after a change of
// leader. The old leader commits a start and loses the leadership before the worker has
// the order, so the new leader doesn't know whether the order is in flight. The poll of
// the new leader carries its fencing token to the worker, which refuses the old order
// from then on.
func TestInheritedRunThatNeverStartedRunsAgain(t *testing.T) {
	cluster := clusterWithInheritedRun(t, func(*fakeWorker) {})
	cluster.eventually("the task starts", func() bool { return cluster.started("w1") == 1 })
	cluster.withWorker("w1", func(f *fakeWorker) {
		must.Eq(t, 2, f.starts[0].Run.Number)
		must.Error(t, f.startRun(StartOrder{Run: workflow.Run{Task: task("a", 0), Number: 1, Worker: "w1"}, Fence: staleFence}))
	})
}

// Guards against this failure: a run that is in progress when the leader changes is
// restarted, although the worker reports it to the new leader as alive.
func TestInheritedLiveRunContinues(t *testing.T) {
	cluster := clusterWithInheritedRun(t, func(f *fakeWorker) {
		f.running[task("a", 0)] = Running{Task: task("a", 0), Number: 1}
	})
	const reportWait = 50 * time.Millisecond
	time.Sleep(reportWait)
	cluster.withWorker("w1", func(f *fakeWorker) { f.finish(task("a", 0), workflow.OutcomeDone) })
	cluster.eventually("the job is done", func() bool { return cluster.phase("a") == workflow.PhaseDone })
	must.Eq(t, 0, cluster.started("w1"))
}

// Guards against this failure: the tasks of a crashed and restarted worker wait until its
// lease expires, although the response of the next incarnation proves that the old one
// has ended.
func TestTasksOfSupersededIncarnationRunAgainImmediately(t *testing.T) {
	cluster := clusterWithStartedTask(t)
	cluster.workers.add("w2")
	cluster.announce("w2")
	start := time.Now()
	cluster.withWorker("w1", func(f *fakeWorker) { f.superseded = true })
	cluster.eventually("the task runs again", func() bool { return cluster.started("w2") == 1 })
	const lease = 400 * time.Millisecond
	must.Less(t, lease, time.Since(start), must.Sprint("a lease is 400 ms"))
}

// Guards against this failure: the task of a cancelled job keeps running. A worker
// reports the end of the task's first run late, while it executes the second one, and the
// leader drops the order of the second run because of that end.
func TestLateEndOfEarlierRunKeepsOrderOfNextRun(t *testing.T) {
	cluster := clusterWithStartedTask(t)
	cluster.withWorker("w1", func(f *fakeWorker) { f.finish(task("a", 0), workflow.OutcomeFailed) })
	cluster.eventually("the second run starts", func() bool { return cluster.started("w1") == 2 })
	term, err := cluster.controller.currentLeaderTerm(context.Background())
	must.NoError(t, err)
	term.mu.Lock()
	s := term.sessions["w1"]
	term.mu.Unlock()
	s.commitEnds(0, []workflow.RunEnd{{Task: task("a", 0), Number: 1, Outcome: workflow.OutcomeLeaseExpired}})
	_, err = cluster.controller.Cancel(context.Background(), &CancelCall{Address: JobAddress{Host: "h", Path: "/q/a", ID: "a"}})
	must.NoError(t, err)
	cluster.eventually("the second run is stopped", func() bool {
		running := 1
		cluster.withWorker("w1", func(f *fakeWorker) { running = len(f.running) })
		return running == 0
	})
}

// Guards against this failure: a task waits for the end of a held poll although the
// report would settle its run. The stop of the run was acknowledged just before the poll
// was sent.
func TestPollThatSettlesStopIsNotHeld(t *testing.T) {
	now := time.Now()
	s := &workerSession{t: &leaderTerm{c: &Controller{}}, orders: map[workflow.TaskKey]*runOrder{}}
	hold, _ := s.pollTimes(now)
	must.Eq(t, pollHold, hold)
	o := &runOrder{stopAckedAt: now}
	s.orders[task("a", 0)] = o
	hold, _ = s.pollTimes(now)
	must.Eq(t, 0, hold)
	o.listed = true
	hold, _ = s.pollTimes(now)
	must.Eq(t, pollHold, hold, must.Sprint("the end of a reported run ends the hold"))
}

// clusterWithInheritedRun returns a cluster whose leader finds a run on worker w1 in the
// log that an earlier leader committed.
func clusterWithInheritedRun(t *testing.T, prepare func(*fakeWorker)) *testCluster {
	return newTestCluster(t, func(cluster *testCluster) {
		cluster.commitInheritedRun()
		prepare(cluster.workers.add("w1"))
	})
}

// commitInheritedRun commits a run of job a's only task on worker w1, as an earlier leader does.
func (cluster *testCluster) commitInheritedRun() {
	w1 := worker("w1")
	cluster.commit(&workflow.Command{Worker: &w1})
	cluster.commit(&workflow.Command{Submit: &workflow.Submission{
		ID: "a", Queue: "h/q/", Payload: "p", Steps: []workflow.Step{oneTask}, Policy: workflow.Policy{Service: "s", MaxAttempts: 3},
	}})
	cluster.commit(&workflow.Command{Start: []workflow.Run{{Task: task("a", 0), Worker: "w1"}}})
}

// Guards against this failure: a task runs twice after a change of leader. The new
// leader's poll doesn't carry the fencing token that blocks old orders, the report shows
// no run, and the old leader's start arrives afterwards.
func TestPollCarriesFencingToken(t *testing.T) {
	cluster := clusterWithInheritedRun(t, func(f *fakeWorker) { f.delayStarts = true })
	cluster.eventually("the run is settled", func() bool {
		runs := 0
		cluster.controller.state.read(func(s *workflow.State) { runs = s.Task(task("a", 0)).Runs })
		return runs > 1
	})
	cluster.withWorker("w1", func(f *fakeWorker) {
		err := f.startRun(StartOrder{Run: workflow.Run{Task: task("a", 0), Number: 1, Worker: "w1"}, Fence: staleFence})
		must.ErrorContains(t, err, string(RefusedStaleFence))
	})
}

// Guards against this failure: a task runs twice. A worker has more ends to report than
// one response holds, and the leader concludes that a run missing from a partial report
// never started.
func TestPartialReportSettlesNoRun(t *testing.T) {
	cluster := clusterWithInheritedRun(t, func(f *fakeWorker) { f.partial = true })
	time.Sleep(noStartWait)
	must.Eq(t, 0, cluster.started("w1"))
	cluster.withWorker("w1", func(f *fakeWorker) { f.partial = false })
	cluster.eventually("a complete report settles the run", func() bool { return cluster.started("w1") == 1 })
}

// settledRuns returns how many runs a report that lists no run settles. change sets the
// state of the run's order; sent is when the poll was sent.
func settledRuns(t *testing.T, sent time.Time, change func(*runOrder)) int {
	cluster := clusterWithStartedTask(t)
	term, err := cluster.controller.currentLeaderTerm(context.Background())
	must.NoError(t, err)
	term.mu.Lock()
	defer term.mu.Unlock()
	s := term.sessions["w1"]
	o := &runOrder{run: workflow.Run{Task: task("a", 0), Number: 1, Worker: "w1"}}
	change(o)
	s.orders[task("a", 0)] = o
	return len(s.neverStarted(Report{}, nil, sent))
}

// Guards against this failure: a task runs twice. A stop is acknowledged while a poll is
// in flight, and the report, which was made before the stop, counts as proof that the run
// never starts.
func TestOnlyPollSentAfterStopSettlesRun(t *testing.T) {
	now := time.Now()
	stopped := func(o *runOrder) { o.stopAckedAt = now }
	must.Eq(t, 0, settledRuns(t, now.Add(-time.Millisecond), stopped))
	must.Eq(t, 1, settledRuns(t, now.Add(time.Millisecond), stopped))
	must.Eq(t, 0, settledRuns(t, now, func(*runOrder) {}), must.Sprint("an order without a stop"))
}

// Guards against this failure: a task runs twice. The first call with a start gets no
// response, the second one is refused, the refusal settles the run, and the first call is
// carried out later.
func TestRefusalSettlesNothingWhileEarlierCallIsInFlight(t *testing.T) {
	cluster := clusterWithStartedTask(t)
	term, err := cluster.controller.currentLeaderTerm(context.Background())
	must.NoError(t, err)
	term.mu.Lock()
	s, o := term.sessions["w1"], term.sessions["w1"].orders[task("a", 0)]
	term.mu.Unlock()
	s.settleStartAttempts(o, []error{errNoResponse, &RefusedError{RefusedNoCapacity}})
	runs := 0
	cluster.controller.state.read(func(s *workflow.State) { runs = len(s.Runs["w1"]) })
	must.Eq(t, 1, runs)
}

// Guards against this failure: urgent jobs end late although their tasks ran in time.
// Some calls are lost: a worker responds to a start, but the response to a poll sent
// earlier is lost. The leader doesn't see the end of a run meanwhile if polls are held
// for 1.5 s and time out after 2 s.
func TestPollHoldIsShorterWhileCallsAreLost(t *testing.T) {
	cluster := clusterWithStartedTask(t)
	term, err := cluster.controller.currentLeaderTerm(context.Background())
	must.NoError(t, err)
	term.mu.Lock()
	defer term.mu.Unlock()
	s, now := term.sessions["w1"], time.Now()
	s.advancedAt = now
	hold, slack := s.pollTimes(now)
	must.Eq(t, pollHold, hold)
	must.Eq(t, callTimeout, slack)
	s.recordLostCall(now.Add(time.Second), now)
	must.False(t, term.losingCalls(now), must.Sprint("an unreachable worker responds to no call, so none counts as lost"))
	s.respondedAt = now
	s.recordLostCall(now.Add(-time.Second), now)
	hold, slack = s.pollTimes(now)
	must.Eq(t, lossyPollHold, hold)
	must.Eq(t, lossyPollSlack, slack)
	const otherSessions = 200
	for i := range otherSessions {
		term.sessions[fmt.Sprint("other", i)] = s
	}
	hold, _ = s.pollTimes(now)
	must.Eq(t, (otherSessions+1)*time.Second/maxLossyPollsPerSecond, hold, must.Sprint("the leader sends no more polls a second than it can handle"))
	hold, _ = s.pollTimes(now.Add(lossWindow))
	must.Eq(t, pollHold, hold)
	for i := range otherSessions {
		delete(term.sessions, fmt.Sprint("other", i))
	}
}

// Guards against this failure: an overloaded leader slows down further. It reads
// responses 0.2 s late and considers each of them lost if the overdue time doesn't grow
// with the response time.
func TestOverdueTimeFollowsResponseTime(t *testing.T) {
	// samples is the number of equal samples after which the moving mean of the response
	// time is close to their value.
	const samples = 200
	term := &leaderTerm{}
	must.Eq(t, minOverdueTime, term.overdueAfter())
	for range samples {
		term.recordResponseTime(5 * time.Millisecond)
	}
	must.Eq(t, minOverdueTime, term.overdueAfter())
	for range samples {
		term.recordResponseTime(25 * time.Millisecond)
	}
	// The mean approaches 25 ms from below; overdueFactor times that is 200 ms.
	const minSlowOverdueTime = 190 * time.Millisecond
	must.Greater(t, minSlowOverdueTime, term.overdueAfter())
	for range samples {
		term.recordResponseTime(time.Second)
	}
	must.Eq(t, callTimeout/2, term.overdueAfter())
}

// Guards against this failure: a task never runs again. An overdue start is sent a second
// time concurrently, and the worker refuses both.
func TestConcurrentlyRefusedStartsSettleRun(t *testing.T) {
	cluster := newTestCluster(t, nil)
	cluster.workers.add("w1").slowRefusals = 2
	cluster.announce("w1")
	cluster.submit("a", oneTask)
	cluster.eventually("the task runs", func() bool { return cluster.started("w1") == 1 })
}
