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

// fakeMachines is a deployment whose machines go down for maintenance and return with
// another incarnation of their worker.
type fakeMachines struct {
	cluster *testCluster
	// downtime is how long a machine is down, listDelay how long the list still shows it
	// as up.
	downtime, listDelay time.Duration
	// callDuration is how long a call takes. inFlight and maxInFlight count the calls in
	// flight per machine.
	callDuration time.Duration
	inFlight     map[string]int
	maxInFlight  int

	mu   sync.Mutex
	byID map[string]*ListedMachine
	// incarnations counts the incarnations of each machine's worker after the first one.
	incarnations map[string]int
	// down and maxDown count the machines that are down.
	down, maxDown int
	fences        []uint64
	moves         []string
	// loseResponse makes the next maintenance order succeed without a response.
	loseResponse bool
	// unreadable is the machine whose entry in the list can't be read.
	unreadable string
}

func newFakeMachines(ids ...string) *fakeMachines {
	f := &fakeMachines{downtime: 30 * time.Millisecond, byID: map[string]*ListedMachine{}, incarnations: map[string]int{}, inFlight: map[string]int{}}
	for _, id := range ids {
		f.byID[id] = &ListedMachine{ID: id, Pool: "s", State: MachineUp, Worker: id + "-0"}
	}
	return f
}

// List returns one machine per page.
func (f *fakeMachines) ListMachines(_ context.Context, page string) (MachinePage, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ids []string
	for id := range f.byID {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	at := max(slices.Index(ids, page), 0)
	response := MachinePage{Machines: []ListedMachine{*f.byID[ids[at]]}}
	if ids[at] == f.unreadable {
		response = MachinePage{Unreadable: 1}
	}
	if at+1 < len(ids) {
		response.Next = ids[at+1]
	}
	return response, nil
}

func (f *fakeMachines) StartMaintenance(_ context.Context, order MachineOrder, _ int64) error {
	f.beginCall(order.Machine)
	defer f.endCall(order.Machine)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fences = append(f.fences, order.Fence)
	m := f.byID[order.Machine]
	if m.State == MachineUp && f.incarnations[m.ID] == 0 {
		f.takeDown(m)
	}
	if f.loseResponse {
		f.loseResponse = false
		return errNoResponse
	}
	return nil
}

func (f *fakeMachines) Move(_ context.Context, order MachineOrder, pool string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.byID[order.Machine]
	if m.State == MachineMoving || m.Pool == pool {
		return nil
	}
	f.moves = append(f.moves, m.ID+" to "+pool)
	m.Pool, m.State = pool, MachineMoving
	f.scheduleReturn(m)
	return nil
}

// beginCall counts a call in flight and waits for its duration.
func (f *fakeMachines) beginCall(machine string) {
	f.mu.Lock()
	f.inFlight[machine]++
	f.maxInFlight = max(f.maxInFlight, f.inFlight[machine])
	f.mu.Unlock()
	time.Sleep(f.callDuration)
}

func (f *fakeMachines) endCall(machine string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight[machine]--
}

// takeDown ends the worker of a machine and schedules its return. f.mu must be held.
func (f *fakeMachines) takeDown(m *ListedMachine) {
	old := m.Worker
	f.cluster.withWorker(old, func(w *fakeWorker) { w.superseded = true; clear(w.running) })
	time.AfterFunc(f.listDelay, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if m.Worker == old {
			m.State, m.Worker = MachineInMaintenance, ""
		}
	})
	f.down++
	f.maxDown = max(f.maxDown, f.down)
	f.scheduleReturn(m)
}

// scheduleReturn starts the next incarnation of a machine's worker after the downtime.
// f.mu must be held.
func (f *fakeMachines) scheduleReturn(m *ListedMachine) {
	f.incarnations[m.ID]++
	next := fmt.Sprint(m.ID, "-", f.incarnations[m.ID])
	time.AfterFunc(f.downtime, func() {
		f.cluster.workers.add(next)
		f.mu.Lock()
		if m.State != MachineMoving {
			f.down--
		}
		m.State, m.Worker = MachineUp, next
		f.mu.Unlock()
		// The call fails if the test has ended meanwhile.
		_, _ = f.cluster.controller.Announce(context.Background(), &Announcement{Worker: worker(next)})
	})
}

// newMachineCluster returns a cluster with the machines and one worker on each.
func newMachineCluster(t *testing.T, machines *fakeMachines) *testCluster {
	cluster := newTestCluster(t, func(cluster *testCluster) {
		machines.cluster = cluster
		cluster.controller.cfg.Machines = machines
		cluster.controller.cfg.Bounds.MaintenanceDuration = machines.downtime
	})
	for id := range machines.byID {
		cluster.workers.add(id + "-0")
		cluster.announce(id + "-0")
	}
	return cluster
}

func (cluster *testCluster) startWave(wave workflow.Wave) {
	_, err := cluster.controller.StartWave(context.Background(), &WaveCall{Wave: wave})
	must.NoError(cluster.t, err)
}

func (cluster *testCluster) waveDone(id int64) bool {
	reply, err := cluster.controller.WaveState(context.Background(), &WaveStateCall{ID: id})
	must.NoError(cluster.t, err)
	return reply.Done
}

// Checks that a wave takes down at most MaxDown machines at a time, and that a job which
// ran when the wave began ends before its machine goes down.
func TestWaveRespectsMaxDownAndWaitsForRuns(t *testing.T) {
	machines := newFakeMachines("m1", "m2", "m3")
	cluster := newMachineCluster(t, machines)
	cluster.submit("a", oneTask)
	var busyWorker string
	cluster.eventually("the task starts", func() bool {
		for id := range machines.byID {
			if cluster.started(id+"-0") == 1 {
				busyWorker = id + "-0"
			}
		}
		return busyWorker != ""
	})
	cluster.startWave(workflow.Wave{ID: 1, Machines: []string{"m1", "m2", "m3"}, DurationMS: 60_000, MaxDown: 1})
	cluster.eventually("two machines have been down", func() bool {
		machines.mu.Lock()
		defer machines.mu.Unlock()
		return machines.incarnations["m1"]+machines.incarnations["m2"]+machines.incarnations["m3"] == 2
	})
	must.False(t, cluster.waveDone(1))
	cluster.withWorker(busyWorker, func(f *fakeWorker) {
		must.False(t, f.superseded, must.Sprint("the busy machine goes last"))
		f.finish(task("a", 0), workflow.OutcomeDone)
	})
	cluster.eventually("the wave is done", func() bool { return cluster.waveDone(1) })
	must.Eq(t, workflow.PhaseDone, cluster.phase("a"))
	must.Eq(t, 1, machines.maxDown)
}

// Guards against taking down more machines than the wave allows: an order is carried out
// and its response is lost. The machine must count as down while the outcome of its order
// is unknown.
func TestMachineWithUnansweredOrderCountsAsDown(t *testing.T) {
	machines := newFakeMachines("m1", "m2", "m3")
	machines.loseResponse, machines.downtime, machines.listDelay = true, 600*time.Millisecond, 300*time.Millisecond
	cluster := newMachineCluster(t, machines)
	cluster.startWave(workflow.Wave{ID: 1, Machines: []string{"m1", "m2", "m3"}, DurationMS: 60_000, MaxDown: 1})
	cluster.eventually("the wave is done", func() bool { return cluster.waveDone(1) })
	must.Eq(t, 1, machines.maxDown)
}

// Guards against taking down more machines than the wave allows: a worker restarts, its
// machine is ordered down based on a list with the earlier incarnation, and the next list,
// which lags, shows the later incarnation as up. Another incarnation alone doesn't prove
// that the machine is back.
func TestMachineIsBackOnlyAfterMaintenanceTime(t *testing.T) {
	cluster := newTestCluster(t, nil)
	term, err := cluster.controller.currentLeaderTerm(context.Background())
	must.NoError(t, err)
	term.c.cfg.Bounds.MaintenanceDuration = time.Hour
	listed := ListedMachine{ID: "m1", State: MachineUp, Worker: "m1-1"}
	recorded := workflow.Maintenance{Wave: 1, Machine: "m1", Stage: workflow.MaintenanceStarted, Worker: "m1-0"}
	startedAt := time.Now()
	term.mu.Lock()
	defer term.mu.Unlock()
	must.False(t, term.backFromMaintenance(listed, recorded, startedAt), must.Sprint("the maintenance began under an earlier leader"))
	term.machines.maintenanceStartedAt["m1"] = startedAt
	must.False(t, term.backFromMaintenance(listed, recorded, startedAt.Add(time.Minute)))
	must.True(t, term.backFromMaintenance(listed, recorded, startedAt.Add(time.Hour)))
	listed.Worker = "m1-0"
	must.False(t, term.backFromMaintenance(listed, recorded, startedAt.Add(time.Hour)), must.Sprint("the same incarnation"))
}

// Guards against concurrent orders for one machine: an order takes longer than the time to
// the next decision, or a new leader starts right after the previous one sent orders.
func TestOrdersForOneMachineNeverOverlap(t *testing.T) {
	machines := newFakeMachines("m1", "m2")
	machines.callDuration = 3 * machineLoopInterval
	cluster := newMachineCluster(t, machines)
	term, err := cluster.controller.currentLeaderTerm(context.Background())
	must.NoError(t, err)
	must.True(t, term.beginOrder("m9"))
	must.False(t, term.beginOrder("m9"))
	term.c.cfg.Bounds.MachineHandoverDelay = time.Hour
	must.False(t, term.beginOrder("m8"), must.Sprint("orders of the previous leader may be in flight"))
	term.c.cfg.Bounds.MachineHandoverDelay = 0
	cluster.startWave(workflow.Wave{ID: 1, Machines: []string{"m1", "m2"}, DurationMS: 60_000, MaxDown: 1})
	cluster.eventually("the wave is done", func() bool { return cluster.waveDone(1) })
	must.Eq(t, 1, machines.maxInFlight)
}

// Guards against too few ready tasks of a service: one decision cordons two machines that
// each run a task of the step, and one task may be unavailable. The first stop must count
// from when it is ordered, not only once it has been carried out.
func TestStoppingTaskCountsAsUnavailable(t *testing.T) {
	cluster := newTestCluster(t, nil)
	for _, id := range []string{"w1", "w2"} {
		cluster.workers.add(id)
		cluster.announce(id)
	}
	step := workflow.Step{Count: 2, Need: workflow.Resources{MilliCPU: 6000}, LongRunning: true, MaxUnavailable: 1}
	cluster.submit("a", step)
	cluster.eventually("both tasks run", func() bool { return cluster.started("w1") == 1 && cluster.started("w2") == 1 })
	term, err := cluster.controller.currentLeaderTerm(context.Background())
	must.NoError(t, err)
	term.mu.Lock()
	defer term.mu.Unlock()
	cluster.controller.state.read(func(s *workflow.State) {
		var runs []workflow.Run
		for _, id := range []string{"w1", "w2"} {
			for key, run := range s.Runs[id] {
				term.sessions[id].orders[key] = &runOrder{run: run, listed: true, percent: completePercent}
				runs = append(runs, run)
			}
		}
		must.True(t, term.disruptionAllowed(s, runs[1], &step))
		term.sessions["w1"].orders[runs[0].Task].stopSentAt = time.Now()
		must.False(t, term.disruptionAllowed(s, runs[1], &step))
	})
}

// Guards against a service without any ready task: both of its workers drain, and both
// tasks become ready between two run checks, while one may be unavailable. A stop must
// count for the runs that the same run check examines after it.
func TestStopsOfOneRunCheckCountAgainstMaxUnavailable(t *testing.T) {
	term := loadedTerm(t, benchmarkLoad{workers: 2})
	service := submission("service")
	service.Submit.Steps[0] = workflow.Step{Count: 2, Need: workflow.Resources{MilliCPU: 6000}, LongRunning: true, MaxUnavailable: 1}
	starts := &workflow.Command{Start: []workflow.Run{
		{Task: task("service", 0), Worker: "w0"}, {Task: task("service", 1), Worker: "w1"},
	}}
	for _, command := range []*workflow.Command{service, starts} {
		_, err := term.propose(command)
		must.NoError(t, err)
	}
	for i, id := range []string{"w0", "w1"} {
		session := term.sessions[id]
		session.worker.Draining = true
		run := workflow.Run{Task: task("service", i), Worker: id, Number: 1}
		session.orders[run.Task] = &runOrder{run: run, listed: true, percent: completePercent}
	}
	must.SliceLen(t, 1, term.gatherPlanInput(time.Now()).stops)
	must.SliceEmpty(t, term.gatherPlanInput(time.Now().Add(stopRetryInterval/2)).stops, must.Sprint("the other task stays until the first is ready elsewhere"))
}

// Guards against moving a machine away from a task: the machine is chosen for a move while
// a start on it is being committed. Proposed starts must count as well as committed runs.
func TestMachineWithProposedStartIsNotEmpty(t *testing.T) {
	cluster := newTestCluster(t, nil)
	term, err := cluster.controller.currentLeaderTerm(context.Background())
	must.NoError(t, err)
	must.True(t, term.isEmpty("w1"))
	term.mu.Lock()
	term.proposedStarts[task("a", 0)] = "w1"
	term.mu.Unlock()
	must.False(t, term.isEmpty("w1"))
}

// Guards against too few ready tasks of a service: two tasks serve on two machines that
// both go down, one may be unavailable, and the moved task takes time to become ready. A
// task must not count as ready just because its start was sent.
func TestLongRunningTasksMoveWithinMaxUnavailable(t *testing.T) {
	machines := newFakeMachines("m1", "m2", "m3")
	cluster := newMachineCluster(t, machines)
	step := workflow.Step{Count: 2, Need: workflow.Resources{MilliCPU: 6000, MemoryMB: 10}, LongRunning: true, MaxUnavailable: 1, MaxPerWorker: 1}
	cluster.submit("a", step)
	running := func() (ids []string) {
		cluster.workers.mu.Lock()
		defer cluster.workers.mu.Unlock()
		for id, f := range cluster.workers.byID {
			if len(f.running) > 0 {
				ids = append(ids, id)
			}
		}
		return ids
	}
	markReady := func(id string) {
		cluster.withWorker(id, func(f *fakeWorker) {
			for key, r := range f.running {
				r.Percent = completePercent
				f.running[key] = r
			}
		})
	}
	cluster.eventually("both tasks run", func() bool { return len(running()) == 2 })
	first := running()
	markReady(first[0])
	cluster.startWave(workflow.Wave{ID: 1, Machines: []string{first[0][:2], first[1][:2]}, DurationMS: 1000, MaxDown: 2})
	const earlyStopWait = 400 * time.Millisecond
	time.Sleep(earlyStopWait)
	must.SliceContains(t, running(), first[0], must.Sprint("the other task is not ready yet"))
	for !cluster.waveDone(1) {
		for _, id := range running() {
			markReady(id)
		}
		must.SliceNotEmpty(t, running(), must.Sprint("no task is running"))
		time.Sleep(10 * time.Millisecond)
	}
}

// Checks that a machine moves from a standby pool to the pool of a service whose job needs
// more than the one machine of that pool.
func TestStandbyMachineMovesToPoolWithPendingWork(t *testing.T) {
	machines := newFakeMachines("m1", "m2", "m3")
	for _, id := range []string{"m2", "m3"} {
		*machines.byID[id] = ListedMachine{ID: id, Pool: "off", State: MachineDown}
	}
	for _, m := range machines.byID {
		m.Capacity = tenCores
	}
	cluster := newTestCluster(t, func(cluster *testCluster) {
		machines.cluster = cluster
		cluster.controller.cfg.Machines = machines
		cluster.commit(&workflow.Command{Configuration: &workflow.Document{
			Version: 2, Source: []byte("{}"), Services: []workflow.Service{{Name: "s"}, {Name: "off", Standby: true}},
			Queues: []workflow.Queue{{Name: "q", Host: "h", Prefix: "/q/", Policy: workflow.Policy{Service: "s", MaxAttempts: 3}}},
		}})
	})
	cluster.workers.add("m1-0")
	cluster.announce("m1-0")
	step := oneTask
	step.Count, step.Need.MilliCPU = 2, 8000
	cluster.submit("a", step)
	cluster.eventually("the second task runs on a machine that was on standby", func() bool {
		started := 0
		cluster.workers.mu.Lock()
		defer cluster.workers.mu.Unlock()
		for _, f := range cluster.workers.byID {
			started += len(f.starts)
		}
		return started == 2
	})
	machines.mu.Lock()
	defer machines.mu.Unlock()
	must.Eq(t, []string{"m2 to s"}, machines.moves)
}

// Guards against reporting a wave as done without the maintenance of a machine whose entry can't
// be read from the first read of a leader term on: what isn't known hasn't left.
func TestWaveWaitsForMachineThatIsNotKnownYet(t *testing.T) {
	machines := newFakeMachines("m1", "m2")
	machines.unreadable = "m2"
	cluster := newMachineCluster(t, machines)
	cluster.startWave(workflow.Wave{ID: 1, Machines: []string{"m1", "m2"}, DurationMS: 60_000, MaxDown: 1})
	cluster.eventually("the other machine has been down", func() bool {
		machines.mu.Lock()
		defer machines.mu.Unlock()
		return machines.incarnations["m1"] == 1
	})
	time.Sleep(2 * machineListInterval)
	must.False(t, cluster.waveDone(1))
	machines.mu.Lock()
	machines.unreadable = ""
	machines.mu.Unlock()
	cluster.eventually("the wave is done", func() bool { return cluster.waveDone(1) })
	machines.mu.Lock()
	defer machines.mu.Unlock()
	must.Eq(t, 1, machines.incarnations["m2"])
}

// Guards against a wave that stops because a machine that needs no maintenance and has left counts
// as down while another entry of the list can't be read.
func TestMachineWithoutMaintenanceIsNotDownWhileListIsUnreadable(t *testing.T) {
	cluster := newTestCluster(t, nil)
	term, err := cluster.controller.currentLeaderTerm(context.Background())
	must.NoError(t, err)
	term.machines.byID, term.machines.unreadable = map[string]ListedMachine{}, 1
	wave := workflow.WaveState{
		Wave:         workflow.Wave{ID: 1, Machines: []string{"m1"}, MaxDown: 1},
		Maintenances: map[string]workflow.Maintenance{"m1": {Wave: 1, Machine: "m1", Stage: workflow.MaintenanceNotNeeded}},
	}
	must.SliceEmpty(t, term.waveMachines(&wave, map[string]bool{}, time.Now()).machines)
}

// Guards against reporting a wave as done without the maintenance of one machine: the list
// is read completely first, then one of its entries is damaged. The machine of an
// unreadable entry must not count as removed.
func TestMachineWithUnreadableEntryIsKept(t *testing.T) {
	cluster := newTestCluster(t, nil)
	term, err := cluster.controller.currentLeaderTerm(context.Background())
	must.NoError(t, err)
	term.machines.byID = map[string]ListedMachine{"m-1": {ID: "m-1"}, "m-2": {ID: "m-2"}}
	newList := map[string]ListedMachine{"m-1": {ID: "m-1", State: MachineUp}}
	term.keepUnreadable(newList, 1)
	must.MapContainsKey(t, newList, "m-2")
	must.Eq(t, MachineUp, newList["m-1"].State)
	newList = map[string]ListedMachine{"m-1": {ID: "m-1"}}
	term.keepUnreadable(newList, 0)
	must.MapNotContainsKey(t, newList, "m-2")
}
