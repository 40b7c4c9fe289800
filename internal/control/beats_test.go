package control

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// beatWorker is a worker that gets its orders with the answers to its heartbeats.
type beatWorker struct {
	*fakeWorker
	// lose drops that many answers before they are carried out, late keeps them.
	lose int
	late []BeatOrders
}

// beat sends one heartbeat with the worker's lists and carries the answer out.
func (w *world) beat(b *beatWorker) {
	report := Report{ClockMS: time.Now().UnixMilli()}
	w.workers.mu.Lock()
	for _, running := range b.running {
		report.Running = append(report.Running, running)
	}
	report.Ended = append(report.Ended, b.ended...)
	w.workers.mu.Unlock()
	reply, err := w.c.Announce(context.Background(), &Announcement{Worker: worker(b.id), Report: &report})
	must.NoError(w.t, err)
	if reply.Orders == nil {
		return
	}
	if b.lose > 0 {
		b.lose--
		b.late = append(b.late, *reply.Orders)
		return
	}
	w.workers.mu.Lock()
	defer w.workers.mu.Unlock()
	b.carryOut(*reply.Orders)
}

func (b *beatWorker) carryOut(orders BeatOrders) {
	if orders.Fence < b.fence {
		return
	}
	b.fence = orders.Fence
	for _, run := range orders.Stops {
		b.stopped[run.Task] = max(b.stopped[run.Task], run.Number)
		if b.running[run.Task].Number == run.Number {
			b.finish(run.Task, workflow.OutcomeStopped)
		}
	}
	for _, start := range orders.Starts {
		// A refusal is seen by the run's absence from the lists.
		_ = b.begin(start)
	}
	if orders.Lease > 0 {
		b.leases = append(b.leases, orders.Lease.Milliseconds())
	}
}

// beatWorld is a leader whose workers aren't called, with one of them beating.
func beatWorld(t *testing.T, ids ...string) (*world, map[string]*beatWorker) {
	w := newWorld(t, func(w *world) {
		w.c.beats = newBeats(w.c.cfg.Workers)
		w.c.cfg.Workers = w.c.beats
		w.c.cfg.Bounds.LeaseMax = 3 * time.Second
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	all := map[string]*beatWorker{}
	for _, id := range ids {
		b := &beatWorker{fakeWorker: w.workers.add(id)}
		all[id] = b
		go func() {
			for wait.For(ctx, 5*time.Millisecond) {
				if _, err := w.c.leading(context.Background()); err == nil {
					w.beat(b)
				}
			}
		}()
	}
	return w, all
}

// What a user sees: nothing; the job runs though nobody calls the worker.
func TestOrdersGoOutWithTheAnswersToHeartbeats(t *testing.T) {
	w, _ := beatWorld(t, "w1")
	w.submit("a", oneTask)
	w.eventually("the task starts", func() bool { return w.started("w1") == 1 })
	// The answer that carries the start may come before the first look that prolongs the
	// lease; the start carries its own until then.
	w.eventually("a lease is given", func() (given bool) {
		w.with("w1", func(f *fakeWorker) { given = len(f.leases) > 0 })
		return given
	})
	w.with("w1", func(f *fakeWorker) {
		must.SliceNotEmpty(t, f.leases)
		must.Less(t, int64(2000), f.leases[0], must.Sprint("the lease counts from the arrival, which may be a second away"))
		f.finish(task("a", 0), workflow.OutcomeDone)
	})
	w.eventually("the job is done", func() bool { return w.phase("a") == workflow.PhaseDone })
	w.submit("b", oneTask)
	w.eventually("the task starts", func() bool { return w.started("w1") == 2 })
	_, err := w.c.Cancel(context.Background(), &CancelCall{Place: Place{Host: "h", Path: "/q/b"}})
	must.NoError(t, err)
	w.eventually("its run is stopped", func() bool {
		stopped := 0
		w.with("w1", func(f *fakeWorker) { stopped = f.stopped[task("b", 0)] })
		return stopped == 1
	})
}

// What a user sees: a task runs twice.
// Order: the answer with a start is lost; the run is stopped, and the answer with
// the stop is lost as well; the next heartbeat comes; the task starts elsewhere;
// the first answer is carried out late.
// Cause: the next heartbeat was taken for proof that the stop had arrived.
func TestAStopHasArrivedOnceHeartbeatsFollowItsAnswer(t *testing.T) {
	b := newBeats(nil)
	run := workflow.Run{Task: task("a", 0), Number: 1, Worker: "w1"}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	stopped := make(chan error, 1)
	b.take(ctx, "w1", 7, Report{})
	go func() {
		_, err := b.Stop(ctx, Target{Worker: "w1"}, StopOrder{Run: run, Fence: 7})
		stopped <- err
	}()
	for len(b.take(ctx, "w1", 7, Report{}).Stops) == 0 {
		continue
	}
	b.take(ctx, "w1", 7, Report{})
	select {
	case <-stopped:
		t.Fatal("one heartbeat after the answer may come from a broken connection")
	case <-time.After(20 * time.Millisecond):
	}
	b.take(ctx, "w1", 7, Report{})
	must.NoError(t, <-stopped)
}

// What a user sees: a task runs twice after a change of leader.
// Order: a new leader gets a heartbeat whose lists were made before the worker
// had its fence; an old leader's start is carried out after it.
// Cause: a look was answered with lists that prove nothing.
func TestALookNeedsHeartbeatsUnderTheFence(t *testing.T) {
	b := newBeats(nil)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	got := make(chan Report, 1)
	b.take(ctx, "w1", 6, Report{})
	b.take(ctx, "w1", 6, Report{})
	go func() {
		report, err := b.Look(ctx, Target{Worker: "w1"}, LookOrder{Fence: 7})
		must.NoError(t, err)
		got <- report
	}()
	time.Sleep(20 * time.Millisecond)
	b.take(ctx, "w1", 7, Report{ClockMS: 1})
	b.take(ctx, "w1", 7, Report{ClockMS: 2})
	select {
	case <-got:
		t.Fatal("the lists may be older than the fence")
	case <-time.After(20 * time.Millisecond):
	}
	b.take(ctx, "w1", 7, Report{ClockMS: 3})
	must.Eq(t, int64(3), (<-got).ClockMS)
}
