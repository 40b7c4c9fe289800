package control

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// fakeMachines is a deployment whose machines go down for upkeep and come back
// with another incarnation of their worker.
type fakeMachines struct {
	world *world
	// length is how long a machine is down.
	length time.Duration

	mu   sync.Mutex
	list map[string]*ListedMachine
	// lives counts the incarnations of a machine's worker.
	lives map[string]int
	// down and mostDown count machines that are down.
	down, mostDown int
	fences         []uint64
	moves          []string
	// silent orders are carried out without an answer.
	silent bool
}

func newFakeMachines(ids ...string) *fakeMachines {
	f := &fakeMachines{length: 30 * time.Millisecond, list: map[string]*ListedMachine{}, lives: map[string]int{}}
	for _, id := range ids {
		f.list[id] = &ListedMachine{ID: id, Pool: "s", State: MachineUp, Worker: id + "-0"}
	}
	return f
}

// List lists one machine a page.
func (f *fakeMachines) List(_ context.Context, page string) (MachinePage, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ids []string
	for id := range f.list {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	at := max(slices.Index(ids, page), 0)
	answer := MachinePage{Machines: []ListedMachine{*f.list[ids[at]]}}
	if at+1 < len(ids) {
		answer.Next = ids[at+1]
	}
	return answer, nil
}

func (f *fakeMachines) Upkeep(_ context.Context, order MachineOrder, _ int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fences = append(f.fences, order.Fence)
	m := f.list[order.Machine]
	if m.State == MachineUp && f.lives[m.ID] == 0 {
		f.takeDown(m)
	}
	if f.silent {
		f.silent = false
		return errNoAnswer
	}
	return nil
}

func (f *fakeMachines) Move(_ context.Context, order MachineOrder, pool string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.list[order.Machine]
	if m.State == MachineMoving || m.Pool == pool {
		return nil
	}
	f.moves = append(f.moves, m.ID+" to "+pool)
	m.Pool, m.State = pool, MachineMoving
	f.comeUp(m)
	return nil
}

func (f *fakeMachines) takeDown(m *ListedMachine) {
	old := m.Worker
	f.world.with(old, func(w *fakeWorker) { w.replaced = true; clear(w.running) })
	m.State, m.Worker = MachineInUpkeep, ""
	f.down++
	f.mostDown = max(f.mostDown, f.down)
	f.comeUp(m)
}

// comeUp lets the next incarnation of a machine's worker appear. f.mu is held.
func (f *fakeMachines) comeUp(m *ListedMachine) {
	f.lives[m.ID]++
	next := fmt.Sprint(m.ID, "-", f.lives[m.ID])
	time.AfterFunc(f.length, func() {
		f.world.workers.add(next)
		f.mu.Lock()
		if m.State == MachineInUpkeep {
			f.down--
		}
		m.State, m.Worker = MachineUp, next
		f.mu.Unlock()
		// The test may have ended; then nobody is there to hear it.
		_, _ = f.world.c.Announce(context.Background(), &Announcement{Worker: worker(next)})
	})
}

// machineWorld is a leader with machines and one worker on each.
func machineWorld(t *testing.T, machines *fakeMachines) *world {
	w := newWorld(t, func(w *world) {
		machines.world = w
		w.c.cfg.Machines = machines
		w.c.cfg.Bounds.Upkeep = machines.length
	})
	for id := range machines.list {
		w.workers.add(id + "-0")
		w.announce(id + "-0")
	}
	return w
}

func (w *world) startWave(wave workflow.Wave) {
	_, err := w.c.StartWave(context.Background(), &WaveCall{Wave: wave})
	must.NoError(w.t, err)
}

func (w *world) waveDone(id int64) bool {
	reply, err := w.c.WaveState(context.Background(), &WaveStateCall{ID: id})
	must.NoError(w.t, err)
	return reply.Done
}

// What a user sees: nothing, though all machines have their upkeep: the job that
// ran when the wave began ends before its machine goes down.
func TestAWaveTakesMachinesDownOneAfterTheOther(t *testing.T) {
	machines := newFakeMachines("m1", "m2", "m3")
	w := machineWorld(t, machines)
	w.submit("a", oneTask)
	var on string
	w.eventually("the task starts", func() bool {
		for id := range machines.list {
			if w.started(id+"-0") == 1 {
				on = id + "-0"
			}
		}
		return on != ""
	})
	w.startWave(workflow.Wave{ID: 1, Machines: []string{"m1", "m2", "m3"}, DurationMS: 60_000, MaxDown: 1})
	w.eventually("two machines have been down", func() bool {
		machines.mu.Lock()
		defer machines.mu.Unlock()
		return machines.lives["m1"]+machines.lives["m2"]+machines.lives["m3"] == 2
	})
	must.False(t, w.waveDone(1))
	w.with(on, func(f *fakeWorker) {
		must.False(t, f.replaced, must.Sprint("the busy machine goes last"))
		f.finish(task("a", 0), workflow.OutcomeDone)
	})
	w.eventually("the wave is done", func() bool { return w.waveDone(1) })
	must.Eq(t, workflow.PhaseDone, w.phase("a"))
	must.Eq(t, 1, machines.mostDown)
}

// What an operator sees: more machines are down than the wave allows.
// Order: an order for a machine is carried out and its answer is lost.
// Cause: a machine counted as up while its order was open.
func TestAnUnansweredOrderCountsAsDown(t *testing.T) {
	machines := newFakeMachines("m1", "m2", "m3")
	machines.silent = true
	w := machineWorld(t, machines)
	w.startWave(workflow.Wave{ID: 1, Machines: []string{"m1", "m2", "m3"}, DurationMS: 60_000, MaxDown: 1})
	w.eventually("the wave is done", func() bool { return w.waveDone(1) })
	must.Eq(t, 1, machines.mostDown)
}

// What a user sees: a service with too few of its tasks at work.
// Order: two tasks serve on two machines; one of them may be away; both machines
// are to go down; the moved task takes its time to be at work again.
// Cause: a task counted as at work once its start was sent.
func TestLongRunningTasksMoveOneAtATime(t *testing.T) {
	machines := newFakeMachines("m1", "m2", "m3")
	w := machineWorld(t, machines)
	step := workflow.Step{Count: 2, Need: workflow.Resources{MilliCPU: 6000, MemoryMB: 10}, LongRunning: true, MaxUnavailable: 1, MaxPerWorker: 1}
	w.submit("a", step)
	running := func() (ids []string) {
		w.workers.mu.Lock()
		defer w.workers.mu.Unlock()
		for id, f := range w.workers.all {
			if len(f.running) > 0 {
				ids = append(ids, id)
			}
		}
		return ids
	}
	atWork := func(id string) {
		w.with(id, func(f *fakeWorker) {
			for key, r := range f.running {
				r.Percent = wholePercent
				f.running[key] = r
			}
		})
	}
	w.eventually("both tasks run", func() bool { return len(running()) == 2 })
	first := running()
	atWork(first[0])
	w.startWave(workflow.Wave{ID: 1, Machines: []string{first[0][:2], first[1][:2]}, DurationMS: 1000, MaxDown: 2})
	time.Sleep(400 * time.Millisecond)
	must.SliceContains(t, running(), first[0], must.Sprint("the other one isn't at work yet"))
	for !w.waveDone(1) {
		for _, id := range running() {
			atWork(id)
		}
		must.SliceNotEmpty(t, running(), must.Sprint("no task is there"))
		time.Sleep(10 * time.Millisecond)
	}
}

// What a user sees: jobs wait though machines stand by.
// Order: a job needs more than the service's one machine has; others are off in a
// standby pool.
func TestAMachineOnStandbyComesWhenWorkWaits(t *testing.T) {
	machines := newFakeMachines("m1", "m2", "m3")
	for _, id := range []string{"m2", "m3"} {
		*machines.list[id] = ListedMachine{ID: id, Pool: "off", State: MachineDown}
	}
	for _, m := range machines.list {
		m.Capacity = tenCores
	}
	w := newWorld(t, func(w *world) {
		machines.world = w
		w.c.cfg.Machines = machines
		w.commit(&workflow.Command{Configuration: &workflow.Document{
			Version: 2, Source: []byte("{}"), Services: []workflow.Service{{Name: "s"}, {Name: "off", Standby: true}},
			Queues: []workflow.Queue{{Name: "q", Host: "h", Prefix: "/q/", Policy: workflow.Policy{Service: "s", MaxAttempts: 3}}},
		}})
	})
	w.workers.add("m1-0")
	w.announce("m1-0")
	step := oneTask
	step.Count, step.Need.MilliCPU = 2, 8000
	w.submit("a", step)
	w.eventually("the second task runs on a machine that was off", func() bool {
		started := 0
		w.workers.mu.Lock()
		defer w.workers.mu.Unlock()
		for _, f := range w.workers.all {
			started += len(f.starts)
		}
		return started == 2
	})
	machines.mu.Lock()
	defer machines.mu.Unlock()
	must.Eq(t, []string{"m2 to s"}, machines.moves)
}
