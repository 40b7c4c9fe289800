package control

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/node"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// counted counts the runs of a leader's world now.
func (w *testCluster) currentRunCounts() runCounts {
	term, err := w.c.currentLeaderTerm(context.Background())
	must.NoError(w.t, err)
	term.mu.Lock()
	defer term.mu.Unlock()
	w.c.state.read(func(s *workflow.State) { term.countRuns(s, time.Now()) })
	return term.runCounts
}

// A run that the log has and nothing at hand would end shows in the counts.
func TestOrphanedRunIsCountedAsUnaccounted(t *testing.T) {
	w := clusterWithStartedTask(t)
	w.eventually("the run is listed", func() bool { c := w.currentRunCounts(); return c.alive == 1 && c.unaccounted == 0 })
	w.withWorker("w1", func(f *fakeWorker) { clear(f.running) })
	w.eventually("no list shows it", func() bool { c := w.currentRunCounts(); return c.unaccounted == 1 && c.longest > 0 })
}

// A run counts as accounted for while its worker doesn't answer: its lease will end.
func TestRunOnUnresponsiveWorkerIsAccountedFor(t *testing.T) {
	w := clusterWithInheritedRun(t, func(f *fakeWorker) { f.answersLost = true })
	c := w.currentRunCounts()
	must.Eq(t, 1, c.alive)
	must.Eq(t, 0, c.unaccounted)
}

// Guards against counting a run whose stop was acknowledged as lost while the look that
// settles it is held.
func TestRunWithAcknowledgedStopIsAccountedFor(t *testing.T) {
	now := time.Now()
	run := workflow.Run{Task: task("a", 0), Number: 1, Worker: "w1"}
	o := &runOrder{run: run, stopSent: now.Add(-time.Minute), stopAcked: now.Add(-time.Second)}
	s := &workerSession{ready: true, orders: map[workflow.TaskKey]*runOrder{run.Task: o}, fullReportSentAt: now.Add(-2 * time.Second)}
	must.True(t, s.accountsFor(run, now))
	s.fullReportSentAt = now
	must.False(t, s.accountsFor(run, now))
}

// Guards against stops for runs that have ended: the log takes no command for a while, and
// their ends are listed again and again.
func TestRunWhoseEndIsNotCommittedIsAccountedFor(t *testing.T) {
	w := clusterWithStartedTask(t)
	w.eventually("the run is listed", func() bool { return w.currentRunCounts().unaccounted == 0 })
	var refusals []error
	for range 1000 {
		refusals = append(refusals, node.ErrFateOpen)
	}
	w.log.failEnds(refusals...)
	w.withWorker("w1", func(f *fakeWorker) { f.finish(task("a", 0), workflow.OutcomeDone) })
	for range 20 {
		time.Sleep(fakePollHold)
		must.Eq(t, 0, w.currentRunCounts().unaccounted)
	}
	w.log.failEnds()
	w.eventually("the job is done", func() bool { return w.phase("a") == workflow.PhaseDone })
}

// Guards against a worker that is given nothing any more: an order without an answer, whose
// run the log doesn't have.
func TestOrderWithoutRunInLogIsDropped(t *testing.T) {
	w := clusterWithStartedTask(t)
	term := w.currentTerm()
	term.mu.Lock()
	s := term.sessions["w1"]
	s.orders[task("b", 0)] = &runOrder{run: workflow.Run{Task: task("b", 0), Number: 1, Worker: "w1"}, unanswered: true, abandoned: true}
	term.mu.Unlock()
	w.eventually("the order is forgotten", func() bool {
		term.mu.Lock()
		defer term.mu.Unlock()
		return s.orders[task("b", 0)] == nil && s.orders[task("a", 0)] != nil
	})
}

// Guards against a claimed run that is stopped only every other second, and counted each
// time: its stop gets lost.
func TestOrphanedRunIsUnaccountedUntilStopIsAcknowledged(t *testing.T) {
	now := time.Now()
	run := workflow.Run{Task: task("a", 0), Number: 1, Worker: "w1"}
	o := &runOrder{run: run, orphaned: true, stopSent: now}
	s := &workerSession{ready: true, orders: map[workflow.TaskKey]*runOrder{run.Task: o}, fullReportSentAt: now.Add(-time.Second)}
	must.False(t, s.accountsFor(run, now))
	o.stopAcked = now
	must.True(t, s.accountsFor(run, now))
}
