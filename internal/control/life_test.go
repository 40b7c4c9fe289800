package control

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// life is a life of worker n, which each of its lives is called by.
func life(id string, born int64) *Announcement {
	w := worker(id)
	w.Name, w.Address, w.Born = "n", "n", born
	return &Announcement{Worker: w}
}

// announceLife sends a heartbeat of a life of worker n.
func (w *world) announceLife(id string, born int64) {
	_, err := w.c.Announce(context.Background(), life(id, born))
	must.NoError(w.t, err)
}

// restart lets the next life of a worker begin at its address.
func (w *world) restart(before, after string) {
	next := w.workers.add(after)
	w.with(before, func(f *fakeWorker) { f.next = next })
}

// startedLife is a leader that has started the one task of job a on the first life of
// worker n.
func startedLife(t *testing.T) *world {
	w := newWorld(t, nil)
	w.workers.add("n1")
	w.announceLife("n1", 1)
	w.submit("a", oneTask)
	w.eventually("the task starts", func() bool { return w.started("n1") == 1 })
	return w
}

// unansweredWorld is a leader that has sent the start of job a's task to the first life of
// worker n, which answered nothing and has ended.
func unansweredWorld(t *testing.T) *world {
	w := newWorld(t, nil)
	w.workers.add("n1").delay = true
	w.announceLife("n1", 1)
	w.submit("a", oneTask)
	w.eventually("the start is sent twice", func() bool {
		late := 0
		w.with("n1", func(f *fakeWorker) { late = len(f.late) })
		return late == startTries
	})
	w.restart("n1", "n2")
	return w
}

// carryOutLate lets the next life carry out what the first one was told, and returns how
// that ends.
func (w *world) carryOutLate() (err error) {
	w.with("n1", func(f *fakeWorker) {
		late := f.late[0]
		err = f.next.begin(late)
	})
	return err
}

// Guards against a task that runs twice (TWICE): a start that got no answer is carried out by
// the worker's next life, beside the run that the task has by then.
func TestAnOpenStartIsSettledWithTheNextLife(t *testing.T) {
	w := unansweredWorld(t)
	w.workers.add("w2")
	w.announce("w2")
	w.announceLife("n2", 2)
	w.eventually("the task runs again", func() bool { return w.started("w2")+w.started("n2") == 1 })
	must.Error(t, w.carryOutLate(), must.Sprint("carried out late, beside the second run"))
}

// Guards against a task that runs twice (TWICE): a start that got no answer was carried out
// by the worker's next life, which has ended it.
func TestARunThatTheNextLifeHasDoneIsNotStartedAgain(t *testing.T) {
	w := unansweredWorld(t)
	must.NoError(t, w.carryOutLate())
	w.with("n2", func(f *fakeWorker) { f.finish(task("a", 0), workflow.OutcomeDone) })
	w.announceLife("n2", 2)
	w.eventually("the job is done", func() bool { return w.phase("a") == workflow.PhaseDone })
	must.Eq(t, 1, w.started("n2"))
}

// Guards against work that nothing takes up (LOST): the runs of a life that is over count as
// alive, since its worker answers.
func TestRunsOfALifeThatIsOverAreStartedAgain(t *testing.T) {
	w := startedLife(t)
	w.restart("n1", "n2")
	w.announceLife("n2", 2)
	w.eventually("the task starts again", func() bool { return w.started("n2") == 1 })
}

// Guards against a worker that isn't used any more: a heartbeat of a life that is over arrives
// late and is believed.
func TestALateHeartbeatOfALifeThatIsOverChangesNothing(t *testing.T) {
	w := newWorld(t, nil)
	w.workers.add("n2")
	w.announceLife("n2", 2)
	w.announceLife("n1", 1)
	w.submit("a", oneTask)
	w.eventually("the task starts", func() bool { return w.started("n2") == 1 })
	must.False(t, w.tenureOf().looksAfter("n1"))
	w.c.state.read(func(s *workflow.State) {
		must.Nil(t, s.Workers["n1"])
		must.Eq(t, "n2", s.Newest("n").ID)
	})
}

// Guards against ends that count as taken note of before a list has shown them: a life that
// has only begun is told the number of ends that the life before had listed.
func TestALookThatAnotherLifeMayAnswerTakesNoteOfNothing(t *testing.T) {
	w := startedLife(t)
	w.with("n1", func(f *fakeWorker) { f.finish(task("a", 0), workflow.OutcomeDone) })
	w.eventually("the end is taken note of", func() bool {
		seen := false
		w.with("n1", func(f *fakeWorker) { seen = f.looks[len(f.looks)-1].Seen == 1 })
		return seen
	})
	w.with("n1", func(f *fakeWorker) { f.cut = true })
	time.Sleep(10 * fakeHold)
	w.restart("n1", "n2")
	w.announceLife("n2", 2)
	w.eventually("the next life is looked after", func() bool { return w.isReady("n2") })
	w.with("n2", func(f *fakeWorker) {
		for _, look := range f.looks {
			must.Eq(t, 0, look.Seen)
		}
	})
}

// Guards against a wave that never ends, and a worker that is given tasks while its machine
// goes down: the list of machines names a worker, not its life.
func TestAWorkersNameMeansItsLatestLife(t *testing.T) {
	w := newWorld(t, nil)
	w.workers.add("n1")
	w.workers.add("n2")
	w.announceLife("n1", 1)
	w.announceLife("n2", 2)
	ten := w.tenureOf()
	must.Eq(t, "n2", ten.latestLife("n", "n"))
	must.Eq(t, "n1", ten.latestLife("n1", "n"))
	must.Eq(t, "unknown", ten.latestLife("unknown", "unknown"))
}

// Guards against a lease that is reckoned by a clock that isn't the worker's any more.
func TestAClockThatJumpsIsOfAnotherLife(t *testing.T) {
	now := time.Now()
	s := &session{worker: life("n1", 1).Worker, clockMS: 50_000, clockAt: now}
	for clockMS, jumps := range map[int64]bool{50_900: false, 51_000: false, 300: true, 90_000: true} {
		must.Eq(t, jumps, s.clockJumps(clockMS, now.Add(time.Second)), must.Sprint(clockMS))
	}
	s.worker.Born = 0
	must.False(t, s.clockJumps(300, now.Add(time.Second)))
}

// Guards against a task that runs twice (TWICE): a worker that is cut off counts as empty
// before its lease has ended.
func TestALeaseIsReckonedWhole(t *testing.T) {
	now := time.Now()
	s := &session{t: &tenure{lease: 4 * time.Second}, clockMS: 50_000, clockAt: now.Add(-time.Second)}
	must.Eq(t, 55_000, s.leaseEndMS(now))
	slowest := 5 * time.Second * 100 / 98
	must.LessEq(t, s.leaseEnd.Sub(s.clockAt), slowest, must.Sprint("a worker's clock may be 2% slow"))
}

// Guards against ends that count as taken note of before a list has shown them: a leader
// that has just begun doesn't know that a worker has restarted since.
func TestANewLeadersFirstLookTakesNoteOfNothing(t *testing.T) {
	w := newWorld(t, func(w *world) {
		w.workers.add("n1")
		w.restart("n1", "n2")
		w.commit(&workflow.Command{Worker: &life("n1", 1).Worker})
		w.commit(&workflow.Command{Ends: &workflow.WorkerEnds{Worker: "n1", Seen: 7}})
	})
	w.announceLife("n2", 2)
	w.eventually("the next life is looked after", func() bool { return w.isReady("n2") })
	w.with("n2", func(f *fakeWorker) {
		for _, look := range f.looks {
			must.Eq(t, 0, look.Seen)
		}
	})
}

// Guards against a task that waits for the life before a worker's present one: nobody looked
// after that life any more when its run was found, and nothing told it of the next one.
func TestALifeThatIsLookedAfterAgainIsSettledWithTheNextOne(t *testing.T) {
	w := startedLife(t)
	ten := w.tenureOf()
	ten.mu.Lock()
	ten.sessions["n1"].cancelLook()
	delete(ten.sessions, "n1")
	ten.mu.Unlock()
	w.restart("n1", "n2")
	w.announceLife("n2", 2)
	w.eventually("the task starts again", func() bool { return w.started("n2") == 1 })
}
