package control

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// life is a life of worker n, which each of its lives is called by.
func incarnation(id string, born int64) *Announcement {
	w := worker(id)
	w.Name, w.Address, w.StartedAtMS = "n", "n", born
	return &Announcement{Worker: w}
}

// announceIncarnation sends a heartbeat of a life of worker n.
func (w *testCluster) announceIncarnation(id string, born int64) {
	_, err := w.c.Announce(context.Background(), incarnation(id, born))
	must.NoError(w.t, err)
}

// restart lets the next life of a worker begin at its address.
func (w *testCluster) restart(before, after string) {
	next := w.workers.add(after)
	w.withWorker(before, func(f *fakeWorker) { f.successor = next })
}

// clusterWithIncarnation is a leader that has started the one task of job a on the first life of
// worker n.
func clusterWithIncarnation(t *testing.T) *testCluster {
	w := newTestCluster(t, nil)
	w.workers.add("n1")
	w.announceIncarnation("n1", 1)
	w.submit("a", oneTask)
	w.eventually("the task starts", func() bool { return w.started("n1") == 1 })
	return w
}

// clusterWithUnansweredStart is a leader that has sent the start of job a's task to the first life of
// worker n, which answered nothing and has ended.
func clusterWithUnansweredStart(t *testing.T) *testCluster {
	w := newTestCluster(t, nil)
	w.workers.add("n1").delayStarts = true
	w.announceIncarnation("n1", 1)
	w.submit("a", oneTask)
	w.eventually("the start is sent twice", func() bool {
		delayed := 0
		w.withWorker("n1", func(f *fakeWorker) { delayed = len(f.delayedStarts) })
		return delayed == maxStartAttempts
	})
	w.restart("n1", "n2")
	return w
}

// deliverDelayedStart lets the next life carry out what the first one was told, and returns how
// that ends.
func (w *testCluster) deliverDelayedStart() (err error) {
	w.withWorker("n1", func(f *fakeWorker) {
		delayed := f.delayedStarts[0]
		err = f.successor.begin(delayed)
	})
	return err
}

// Guards against a task that runs twice (TWICE): a start that got no answer is carried out by
// the worker's next life, beside the run that the task has by then.
func TestUnansweredStartIsSettledWithSuccessor(t *testing.T) {
	w := clusterWithUnansweredStart(t)
	w.workers.add("w2")
	w.announce("w2")
	w.announceIncarnation("n2", 2)
	w.eventually("the task runs again", func() bool { return w.started("w2")+w.started("n2") == 1 })
	must.Error(t, w.deliverDelayedStart(), must.Sprint("carried out late, beside the second run"))
}

// Guards against a task that runs twice (TWICE): a start that got no answer was carried out
// by the worker's next life, which has ended it.
func TestRunDoneBySuccessorIsNotRepeated(t *testing.T) {
	w := clusterWithUnansweredStart(t)
	must.NoError(t, w.deliverDelayedStart())
	w.withWorker("n2", func(f *fakeWorker) { f.finish(task("a", 0), workflow.OutcomeDone) })
	w.announceIncarnation("n2", 2)
	w.eventually("the job is done", func() bool { return w.phase("a") == workflow.PhaseDone })
	must.Eq(t, 1, w.started("n2"))
}

// Guards against work that nothing takes up (LOST): the runs of a life that is over count as
// alive, since its worker answers.
func TestRunsOfSupersededIncarnationRestart(t *testing.T) {
	w := clusterWithIncarnation(t)
	w.restart("n1", "n2")
	w.announceIncarnation("n2", 2)
	w.eventually("the task starts again", func() bool { return w.started("n2") == 1 })
}

// Guards against a worker that isn't used any more: a heartbeat of a life that is over arrives
// late and is believed.
func TestStaleHeartbeatOfSupersededIncarnationIsIgnored(t *testing.T) {
	w := newTestCluster(t, nil)
	w.workers.add("n2")
	w.announceIncarnation("n2", 2)
	w.announceIncarnation("n1", 1)
	w.submit("a", oneTask)
	w.eventually("the task starts", func() bool { return w.started("n2") == 1 })
	must.False(t, w.currentTerm().monitors("n1"))
	w.c.state.read(func(s *workflow.State) {
		must.Nil(t, s.Workers["n1"])
		must.Eq(t, "n2", s.NewestIncarnation("n").ID)
	})
}

// Guards against ends that count as taken note of before a list has shown them: a life that
// has only begun is told the number of ends that the life before had listed.
func TestPollOfUnconfirmedIncarnationAcknowledgesNoEnds(t *testing.T) {
	w := clusterWithIncarnation(t)
	w.withWorker("n1", func(f *fakeWorker) { f.finish(task("a", 0), workflow.OutcomeDone) })
	w.eventually("the end is taken note of", func() bool {
		seen := false
		w.withWorker("n1", func(f *fakeWorker) { seen = f.polls[len(f.polls)-1].Seen == 1 })
		return seen
	})
	w.withWorker("n1", func(f *fakeWorker) { f.answersLost = true })
	time.Sleep(10 * fakePollHold)
	w.restart("n1", "n2")
	w.announceIncarnation("n2", 2)
	w.eventually("the next life is looked after", func() bool { return w.isReady("n2") })
	w.withWorker("n2", func(f *fakeWorker) {
		for _, look := range f.polls {
			must.Eq(t, 0, look.Seen)
		}
	})
}

// Guards against a wave that never ends, and a worker that is given tasks while its machine
// goes down: the list of machines names a worker, not its life.
func TestWorkerNameResolvesToLatestIncarnation(t *testing.T) {
	w := newTestCluster(t, nil)
	w.workers.add("n1")
	w.workers.add("n2")
	w.announceIncarnation("n1", 1)
	w.announceIncarnation("n2", 2)
	term := w.currentTerm()
	must.Eq(t, "n2", term.latestIncarnation("n", "n"))
	must.Eq(t, "n1", term.latestIncarnation("n1", "n"))
	must.Eq(t, "unknown", term.latestIncarnation("unknown", "unknown"))
}

// Guards against a lease that is reckoned by a clock that isn't the worker's any more.
func TestClockJumpShowsOtherIncarnation(t *testing.T) {
	now := time.Now()
	s := &workerSession{worker: incarnation("n1", 1).Worker, clockMS: 50_000, clockAt: now}
	for clockMS, jumps := range map[int64]bool{50_900: false, 51_000: false, 300: true, 90_000: true} {
		must.Eq(t, jumps, s.clockJumped(clockMS, now.Add(time.Second)), must.Sprint(clockMS))
	}
	s.worker.StartedAtMS = 0
	must.False(t, s.clockJumped(300, now.Add(time.Second)))
}

// Guards against a task that runs twice (TWICE): a worker that is cut off counts as empty
// before its lease has ended.
func TestLeaseEndAllowsForClockDrift(t *testing.T) {
	now := time.Now()
	s := &workerSession{t: &leaderTerm{lease: 4 * time.Second}, clockMS: 50_000, clockAt: now.Add(-time.Second)}
	must.Eq(t, 55_000, s.leaseEndMS(now))
	slowest := 5 * time.Second * 100 / 98
	must.LessEq(t, s.leaseEnd.Sub(s.clockAt), slowest, must.Sprint("a worker's clock may be 2% slow"))
}

// Guards against ends that count as taken note of before a list has shown them: a leader
// that has just begun doesn't know that a worker has restarted since.
func TestFirstPollOfNewLeaderAcknowledgesNoEnds(t *testing.T) {
	w := newTestCluster(t, func(w *testCluster) {
		w.workers.add("n1")
		w.restart("n1", "n2")
		w.commit(&workflow.Command{Worker: &incarnation("n1", 1).Worker})
		w.commit(&workflow.Command{Ends: &workflow.RunEnds{Worker: "n1", LastEnd: 7}})
	})
	w.announceIncarnation("n2", 2)
	w.eventually("the next life is looked after", func() bool { return w.isReady("n2") })
	w.withWorker("n2", func(f *fakeWorker) {
		for _, look := range f.polls {
			must.Eq(t, 0, look.Seen)
		}
	})
}

// Guards against a task that waits for the life before a worker's present one: nobody looked
// after that life any more when its run was found, and nothing told it of the next one.
func TestResumedPredecessorIsSettledWithSuccessor(t *testing.T) {
	w := clusterWithIncarnation(t)
	term := w.currentTerm()
	term.mu.Lock()
	term.sessions["n1"].cancelPoll()
	delete(term.sessions, "n1")
	term.mu.Unlock()
	w.restart("n1", "n2")
	w.announceIncarnation("n2", 2)
	w.eventually("the task starts again", func() bool { return w.started("n2") == 1 })
}
