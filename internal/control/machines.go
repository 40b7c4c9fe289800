package control

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/bilberryferry/bilberryferry/fleet"
	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// machineLoopInterval is the time between two decisions on waves and moves.
	machineLoopInterval = 250 * time.Millisecond
	// machineListInterval is the time between two readings of the list of machines while
	// there is something to decide. The deployment allows some tens of calls a second.
	machineListInterval = 750 * time.Millisecond
	// maxMachineListAge is the age from which on the list is too old to act on.
	maxMachineListAge = 3 * time.Second
	// machineCallTimeout bounds a call to the list of machines, which may be slow.
	machineCallTimeout = 2 * time.Second
)

// cordoned is a worker that is given nothing new because its machine goes down.
type cordonState struct {
	since time.Time
	// stop says that its runs are to be stopped.
	stop bool
}

// machines is what a tenure does about machines. Its fields are guarded by t.mu,
// but for those of the loop.
type machines struct {
	// cordoned holds the cordoned workers, by incarnation.
	cordoned map[string]*cordonState
	// ordering are the machines with an order under way.
	ordersInFlight map[string]bool
	// maintenanceBegunAt is when this tenure learnt that a machine's maintenance has begun.
	maintenanceBegunAt map[string]time.Time
	// waveAcceptedAt is when this tenure accepted a wave.
	waveAcceptedAt map[int64]time.Time

	// list is the deployment's as it was read at listedAt; both belong to the loop.
	list     map[string]ListedMachine
	listedAt time.Time
	// lost says that the last reading failed, unreadable counts the entries of it that
	// named no machine to use.
	listFailed bool
	unreadable int
}

func newMachines() *machines {
	return &machines{
		cordoned: map[string]*cordonState{}, ordersInFlight: map[string]bool{}, maintenanceBegunAt: map[string]time.Time{}, waveAcceptedAt: map[int64]time.Time{},
	}
}

// isCordoned reports whether a worker gets nothing new for its machine's sake. t.mu is held.
func (m *machines) isCordoned(worker string) bool { return m != nil && m.cordoned[worker] != nil }

// machineLoop works on waves and moves until the tenure ends.
func (t *leaderTerm) machineLoop() {
	for wait.For(t.ctx, machineLoopInterval) {
		waves, services := t.openWaves(), t.services()
		keepCordoned := map[string]bool{}
		if len(waves) > 0 || len(services) > 0 {
			t.decideMachines(func(now time.Time) {
				t.processWaves(waves, keepCordoned, now)
				if len(services) > 0 {
					t.moveMachines(services, keepCordoned, now)
				}
			})
		}
		t.uncordonOthers(keepCordoned)
	}
}

// decideMachines calls decide with a list that is new enough.
func (t *leaderTerm) decideMachines(decide func(now time.Time)) {
	now := time.Now()
	if now.Sub(t.machines.listedAt) > machineListInterval {
		t.readMachines(now)
	}
	if now.Sub(t.machines.listedAt) < maxMachineListAge {
		t.machines.setLatestIncarnations(t.c.state)
		decide(now)
	}
}

// setLatestIncarnations takes for the worker on each machine its latest life, since the list names
// workers only, and is some time old.
func (m *machines) setLatestIncarnations(state *StateMachine) {
	state.read(func(s *workflow.State) {
		for id, listed := range m.list {
			if newest := s.NewestIncarnation(listed.Name); newest != nil {
				listed.Worker = newest.ID
				m.list[id] = listed
			}
		}
	})
}

// readMachines reads the whole list. What it doesn't hold has left for good.
func (t *leaderTerm) readMachines(now time.Time) {
	m := t.machines
	list, err := t.listMachines()
	if failed := err != nil; failed != m.listFailed {
		m.listFailed = failed
		t.logger.Log("event", "machine_list", "lost", failed, "err", err)
	}
	if err == nil {
		m.list, m.listedAt = list, now
	}
}

func (t *leaderTerm) listMachines() (map[string]ListedMachine, error) {
	ctx, cancel := context.WithTimeout(t.ctx, machineCallTimeout)
	defer cancel()
	list := map[string]ListedMachine{}
	unreadable := 0
	for page := ""; ; {
		t.c.cfg.Counters.Add("machine_lists", 1)
		answer, err := t.c.cfg.Machines.List(ctx, page)
		if err != nil {
			return nil, err
		}
		for _, m := range answer.Machines {
			list[m.ID] = m
		}
		unreadable += answer.Unreadable
		if answer.Next == "" {
			t.keepUnreadable(list, unreadable)
			return list, nil
		}
		page = answer.Next
	}
}

// keepUnreadable keeps what was known of machines that a list doesn't hold, when entries
// of it couldn't be read: theirs may be among them.
//
// Failure guarded against: one entry is damaged, its machine counts as gone for good,
// and a wave is said to be done without it.
func (t *leaderTerm) keepUnreadable(list map[string]ListedMachine, unreadable int) {
	if unreadable != t.machines.unreadable {
		t.machines.unreadable = unreadable
		t.logger.Log("event", "machine_list", "unreadable", unreadable, "read", len(list))
	}
	if unreadable == 0 {
		return
	}
	for id, machine := range t.machines.list {
		if _, listed := list[id]; !listed {
			list[id] = machine
		}
	}
}

// cordon gives a worker nothing new, and reports whether that is a change.
func (t *leaderTerm) cordon(worker string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.machines.cordoned[worker] != nil {
		return false
	}
	t.machines.cordoned[worker] = &cordonState{since: now}
	return true
}

// stopRunsOn lets the runs of a worker be stopped, and reports whether that is a
// change.
func (t *leaderTerm) stopRunsOn(worker string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.machines.cordoned[worker]
	if state == nil || state.stop {
		return false
	}
	state.stop = true
	t.wake()
	return true
}

// uncordonOthers gives work again to all workers but those kept.
func (t *leaderTerm) uncordonOthers(keepCordoned map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for worker := range t.machines.cordoned {
		if !keepCordoned[worker] {
			delete(t.machines.cordoned, worker)
		}
	}
}

// beginOrder reports whether an order for a machine may be given now, and notes
// that one is under way. A machine that another instance may have given orders
// for a moment ago waits.
func (t *leaderTerm) beginOrder(machine string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.machines.ordersInFlight[machine] || time.Since(t.started) < t.c.cfg.Bounds.MachineHandoverDelay {
		return false
	}
	t.machines.ordersInFlight[machine] = true
	return true
}

// callMachine makes one call that orders something of a machine.
func (t *leaderTerm) callMachine(machine string, call func(context.Context, MachineOrder) error) error {
	ctx, cancel := context.WithTimeout(t.ctx, machineCallTimeout)
	defer cancel()
	err := call(ctx, MachineOrder{Machine: machine, Holder: t.c.cfg.Instance, Fence: t.fence})
	t.c.cfg.Counters.Add("machine_orders", 1)
	return err
}

func (t *leaderTerm) endOrder(machine string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.machines.ordersInFlight, machine)
}

// stepDownIfFenced ends the tenure when an order was refused for a later leader's sake.
func (t *leaderTerm) stepDownIfFenced(refused *RefusedError) {
	if refused != nil && refused.Reason == RefusedStaleFence {
		t.logger.Log("event", "tenure", "outcome", "given up", "cause", "a machine has orders of a later leader")
		t.end()
	}
}

// sortMachines puts the machines of a pool into a fixed order.
func sortMachines(list []fleet.Machine) {
	slices.SortFunc(list, func(a, b fleet.Machine) int { return cmp.Compare(a.ID, b.ID) })
}
