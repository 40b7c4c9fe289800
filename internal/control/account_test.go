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
func (w *world) counted() runCounts {
	ten, err := w.c.leading(context.Background())
	must.NoError(w.t, err)
	ten.mu.Lock()
	defer ten.mu.Unlock()
	w.c.state.read(func(s *workflow.State) { ten.countRuns(s, time.Now()) })
	return ten.runCounts
}

// A run that the log has and nothing at hand would end shows in the counts.
func TestARunThatNobodyWouldEndIsCounted(t *testing.T) {
	w := startedWorld(t)
	w.eventually("the run is listed", func() bool { c := w.counted(); return c.alive == 1 && c.unaccounted == 0 })
	w.with("w1", func(f *fakeWorker) { clear(f.running) })
	w.eventually("no list shows it", func() bool { c := w.counted(); return c.unaccounted == 1 && c.longest > 0 })
}

// A run counts as accounted for while its worker doesn't answer: its lease will end.
func TestARunOnASilentWorkerIsAccountedFor(t *testing.T) {
	w := inheritedWorld(t, func(f *fakeWorker) { f.cut = true })
	c := w.counted()
	must.Eq(t, 1, c.alive)
	must.Eq(t, 0, c.unaccounted)
}

// Guards against counting a run whose stop was acknowledged as lost while the look that
// settles it is held.
func TestARunWithAnAcknowledgedStopIsAccountedFor(t *testing.T) {
	now := time.Now()
	run := workflow.Run{Task: task("a", 0), Number: 1, Worker: "w1"}
	o := &order{run: run, stopSent: now.Add(-time.Minute), stopAcked: now.Add(-time.Second)}
	s := &session{ready: true, orders: map[workflow.TaskKey]*order{run.Task: o}, listsSent: now.Add(-2 * time.Second)}
	must.True(t, s.accountsFor(run, now))
	s.listsSent = now
	must.False(t, s.accountsFor(run, now))
}

// Guards against stops for runs that have ended: the log takes no command for a while, and
// their ends are listed again and again.
func TestRunsWhoseEndsCannotBeCommittedAreAccountedFor(t *testing.T) {
	w := startedWorld(t)
	w.eventually("the run is listed", func() bool { return w.counted().unaccounted == 0 })
	var refusals []error
	for range 1000 {
		refusals = append(refusals, node.ErrFateOpen)
	}
	w.log.refuseEnds(refusals...)
	w.with("w1", func(f *fakeWorker) { f.finish(task("a", 0), workflow.OutcomeDone) })
	for range 20 {
		time.Sleep(fakeHold)
		must.Eq(t, 0, w.counted().unaccounted)
	}
	w.log.refuseEnds()
	w.eventually("the job is done", func() bool { return w.phase("a") == workflow.PhaseDone })
}

// Guards against a worker that is given nothing any more: an order without an answer, whose
// run the log doesn't have.
func TestAnOrderWhoseRunIsOverIsForgotten(t *testing.T) {
	w := startedWorld(t)
	ten := w.tenureOf()
	ten.mu.Lock()
	s := ten.sessions["w1"]
	s.orders[task("b", 0)] = &order{run: workflow.Run{Task: task("b", 0), Number: 1, Worker: "w1"}, unanswered: true, abandoned: true}
	ten.mu.Unlock()
	w.eventually("the order is forgotten", func() bool {
		ten.mu.Lock()
		defer ten.mu.Unlock()
		return s.orders[task("b", 0)] == nil && s.orders[task("a", 0)] != nil
	})
}

// Guards against a claimed run that is stopped only every other second, and counted each
// time: its stop gets lost.
func TestAClaimedRunIsUnaccountedForUntilItsStopIsAcknowledged(t *testing.T) {
	now := time.Now()
	run := workflow.Run{Task: task("a", 0), Number: 1, Worker: "w1"}
	o := &order{run: run, claimed: true, stopSent: now}
	s := &session{ready: true, orders: map[workflow.TaskKey]*order{run.Task: o}, listsSent: now.Add(-time.Second)}
	must.False(t, s.accountsFor(run, now))
	o.stopAcked = now
	must.True(t, s.accountsFor(run, now))
}
