package control

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// detachedSession returns a session of a worker that polls nobody, whose lease ends after the given time.
func (cluster *testCluster) detachedSession(id string, lease time.Duration) *workerSession {
	now := time.Now()
	return &workerSession{
		t: cluster.currentTerm(), worker: worker(id), ready: true, clockAt: now, clockMS: fakeClockMS, leaseEnd: now.Add(lease),
		orders: map[workflow.TaskKey]*runOrder{}, uncommittedEnds: map[workflow.TaskKey]workflow.RunEnd{}, endsKnown: map[workflow.TaskKey]int{},
	}
}

// Guards against this failure: a task runs twice, or waits for a lease for nothing. A poll without a response
// ends an incarnation without the proof that nothing runs there, or doesn't although there is one.
func TestSilenceEndsIncarnationOnlyWithProof(t *testing.T) {
	cluster := clusterWithStartedTask(t)
	for name, test := range map[string]struct {
		worker  string
		lease   time.Duration
		prepare func(*workerSession)
		proof   endProof
		lost    int
	}{
		"lease runs":              {"w1", time.Minute, func(*workerSession) {}, "", 0},
		"lease over":              {"w1", -time.Second, func(*workerSession) {}, "", 1},
		"machine down":            {"w1", time.Minute, func(s *workerSession) { s.machineDown = true }, proofMachineDown, 0},
		"superseded":              {"w1", time.Minute, func(s *workerSession) { s.superseded = true }, "", 0},
		"superseded, lease over":  {"w1", -time.Second, func(s *workerSession) { s.superseded = true }, proofSupersededLease, 0},
		"leaving":                 {"w1", time.Minute, func(s *workerSession) { s.leaving = true }, "", 0},
		"leaving, lease over":     {"w1", -time.Second, func(s *workerSession) { s.leaving = true }, proofLeavingLease, 0},
		"leaving without runs":    {"w2", time.Minute, func(s *workerSession) { s.leaving = true }, proofNoRuns, 0},
		"superseded without runs": {"w2", time.Minute, func(s *workerSession) { s.superseded = true }, "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := cluster.detachedSession(test.worker, test.lease)
			test.prepare(s)
			s.t.mu.Lock()
			defer s.t.mu.Unlock()
			run := workflow.Run{Task: task("a", 0), Number: 1, Worker: "w1"}
			proof, ends := s.takeProofAfterSilence(time.Now())
			must.Eq(t, test.proof, proof)
			must.Len(t, test.lost, ends.lost)
			must.Eq(t, proof == "" && test.lost == 0, s.mayStart(run), must.Sprint("starts are sent"))
			must.Eq(t, proof == "", s.ready, must.Sprint("ready"))
		})
	}
}

// Guards against this failure: a task runs twice. The start of a run is sent although its end has been found,
// or although its incarnation has ended.
func TestStartIsSentOnlyForLiveRun(t *testing.T) {
	cluster := clusterWithStartedTask(t)
	live := workflow.Run{Task: task("a", 0), Number: 1, Worker: "w1"}
	for name, test := range map[string]struct {
		run     workflow.Run
		prepare func(*workerSession)
		may     bool
	}{
		"live":         {live, func(*workerSession) {}, true},
		"ending":       {live, func(s *workerSession) { s.setEnding() }, false},
		"no clock":     {live, func(s *workerSession) { s.clockAt = time.Time{} }, false},
		"end known":    {live, func(s *workerSession) { s.markKnownEnds([]workflow.RunEnd{{Task: live.Task, Number: 1}}) }, false},
		"another run":  {workflow.Run{Task: live.Task, Number: 2, Worker: "w1"}, func(*workerSession) {}, false},
		"not assigned": {workflow.Run{Task: live.Task, Number: 1, Worker: "w2"}, func(*workerSession) {}, false},
	} {
		s := cluster.detachedSession("w1", time.Minute)
		s.t.mu.Lock()
		test.prepare(s)
		must.Eq(t, test.may, s.mayStart(test.run), must.Sprint(name))
		s.t.mu.Unlock()
	}
}

// Guards against this failure: a task runs twice. A start that is sent by a session that was given up extends a
// lease that the worker's next session doesn't know of, or the session of a worker with runs is given up.
func TestGivenUpSessionHasNoRunsAndSendsNoStart(t *testing.T) {
	cluster := clusterWithStartedTask(t)
	later := time.Now().Add(2 * unresponsiveWorkerTimeout)
	for id, givenUp := range map[string]bool{"w1": false, "w2": true} {
		s := cluster.detachedSession(id, -time.Second)
		must.Eq(t, givenUp, s.giveUpIfSilent(later), must.Sprint(id))
		must.Eq(t, givenUp, s.ending, must.Sprint(id))
	}
}

// Guards against this failure: a task runs twice. The session of a superseded incarnation sends a start after it
// has found that nothing runs there any more.
func TestSessionThatEndsWithSuccessorSendsNoStart(t *testing.T) {
	cluster := newTestCluster(t, nil)
	s := cluster.detachedSession("w1", time.Minute)
	must.False(t, s.endsWithSuccessor())
	s.superseded = true
	must.True(t, s.endsWithSuccessor())
	must.True(t, s.ending)
}

// Guards against this failure: a task runs twice. The first call of a start gets no response, the run counts as
// lost, and the second call is sent all the same.
func TestSecondCallOfStartIsNotSentAfterItsRunCountsAsLost(t *testing.T) {
	cluster := newTestCluster(t, nil)
	cluster.workers.add("w1").hangingStarts = 1
	cluster.announce("w1")
	cluster.submit("a", oneTask)
	term := cluster.currentTerm()
	var s *workerSession
	cluster.eventually("the first call is sent", func() bool {
		term.mu.Lock()
		defer term.mu.Unlock()
		s = term.sessions["w1"]
		return s != nil && s.orders[task("a", 0)] != nil && s.orders[task("a", 0)].openCalls == 1
	})
	cluster.drain("w1")
	s.commitLostRuns("the lease expired", workflow.OutcomeLost, allRuns)
	time.Sleep(minOverdueTime + noStartWait)
	must.Eq(t, 0, cluster.started("w1"))
}

// Guards against this failure: a task runs twice. The first call of a start is refused after the second one, sent
// meanwhile, has started the run, and the run counts as not started.
func TestRefusalOfFirstCallSettlesNothingIfSecondStartsTheRun(t *testing.T) {
	cluster := newTestCluster(t, nil)
	cluster.workers.add("w1").slowRefusals = 1
	cluster.announce("w1")
	cluster.submit("a", oneTask)
	cluster.eventually("the second call starts the run", func() bool { return cluster.started("w1") == 1 })
	time.Sleep(slowRefusalDelay + noStartWait)
	must.Eq(t, 1, cluster.started("w1"))
	cluster.controller.state.read(func(s *workflow.State) { must.Eq(t, 1, s.Task(task("a", 0)).Runs) })
}

// Guards against this failure: a task runs twice. A worker that the leader hasn't monitored is monitored again
// because of a run there, and the run counts as lost before its lease has expired.
func TestAdoptedWorkerKeepsItsLease(t *testing.T) {
	cluster := clusterWithStartedTask(t)
	cluster.withWorker("w1", func(f *fakeWorker) { f.unreachable = true })
	term := cluster.currentTerm()
	run, now := workflow.Run{Task: task("a", 0), Number: 1, Worker: "w1"}, time.Now()
	term.mu.Lock()
	defer term.mu.Unlock()
	term.sessions["w1"].setEnding()
	delete(term.sessions, "w1")
	term.unaccountedSince = map[workflow.Run]time.Time{run: now.Add(-2 * orphanTimeout)}
	later := now.Add(time.Hour)
	cluster.controller.state.read(func(s *workflow.State) { term.adoptWorkers(s, later) })
	must.Between(t, testLease, term.sessions["w1"].leaseEnd.Sub(later), 2*testMaxLease)
}

// Guards against this failure: a task runs twice. A worker refuses a start because it has seen a later leader, and
// the run counts as not started: what becomes of it is that leader's to decide.
func TestStaleFencingTokenSettlesNoRun(t *testing.T) {
	cluster := clusterWithStartedTask(t)
	s := cluster.detachedSession("w1", time.Minute)
	o := &runOrder{run: workflow.Run{Task: task("a", 0), Number: 1, Worker: "w1"}}
	s.settleStartAttempts(o, []error{&RefusedError{RefusedStaleFence}})
	cluster.controller.state.read(func(state *workflow.State) { must.MapLen(t, 1, state.Runs["w1"]) })
	s.settleStartAttempts(o, []error{&RefusedError{RefusedNoCapacity}})
	cluster.controller.state.read(func(state *workflow.State) { must.MapEmpty(t, state.Runs["w1"]) })
}

// Guards against this failure: a task runs twice. The runs of an unreachable worker count as ended after a change
// of leader before the last lease of the earlier leader has expired.
func TestSessionOfNewLeaderOutlastsLeasesOfEarlierLeader(t *testing.T) {
	term := newTestCluster(t, nil).currentTerm()
	term.mu.Lock()
	defer term.mu.Unlock()
	s := term.addSession(worker("w1"), nil)
	// The worker's clock may run slow, and the earlier leader led for a while after this term began.
	longest := testLease * 100 / 98
	must.GreaterEq(t, longest+predecessorSlack, s.leaseEnd.Sub(term.started))
}
