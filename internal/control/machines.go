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
	// machineListInterval is the time between two reads of the machine list while there is
	// something to decide. The deployment allows a few dozen calls a second.
	machineListInterval = 750 * time.Millisecond
	// maxMachineListAge is the age from which on the machine list is too old to act on.
	maxMachineListAge = 3 * time.Second
	// machineCallTimeout bounds a call to the deployment's machine service, which may be
	// slow.
	machineCallTimeout = 2 * time.Second
)

// cordonState is the state of a worker that gets no new tasks because its machine goes
// down or moves.
type cordonState struct {
	since time.Time
	// stop says that the runs of the worker are to be stopped.
	stop bool
}

// machines is the machine management state of one leader term. Its fields are guarded by
// t.mu, except for those that only the machine loop uses.
type machines struct {
	// cordoned maps the incarnations of cordoned workers to their state.
	cordoned map[string]*cordonState
	// ordersInFlight are the machines that have an order in flight.
	ordersInFlight map[string]bool
	// maintenanceStartedAt is when this leader term learned that the maintenance of a
	// machine had begun, by machine ID.
	maintenanceStartedAt map[string]time.Time
	// waveAcceptedAt is when this leader term accepted a maintenance wave, by wave ID.
	waveAcceptedAt map[int64]time.Time

	// byID is the deployment's machine list as read at listedAt, by machine ID. Only the
	// machine loop uses both.
	byID     map[string]ListedMachine
	listedAt time.Time
	// listFailed says that the last read failed. unreadable counts the entries of the last
	// read that described no usable machine.
	listFailed bool
	unreadable int
}

func newMachines() *machines {
	return &machines{
		cordoned: map[string]*cordonState{}, ordersInFlight: map[string]bool{}, maintenanceStartedAt: map[string]time.Time{}, waveAcceptedAt: map[int64]time.Time{},
	}
}

// isCordoned reports whether a worker gets no new tasks because its machine goes down or
// moves. t.mu must be held.
func (m *machines) isCordoned(worker string) bool { return m != nil && m.cordoned[worker] != nil }

// machineLoop periodically decides on maintenance waves and on moves between pools, and
// carries the decisions out, until the leader term ends.
func (t *leaderTerm) machineLoop() {
	for wait.For(t.ctx, machineLoopInterval) {
		waves, services := t.openWaves(), t.services()
		keepCordoned := map[string]bool{}
		if len(waves) > 0 || len(services) > 0 {
			t.decideWithMachineList(func(now time.Time) {
				t.processWaves(waves, keepCordoned, now)
				if len(services) > 0 {
					t.moveMachines(services, keepCordoned, now)
				}
			})
		}
		t.uncordonOthers(keepCordoned)
	}
}

// decideWithMachineList calls decide if the machine list is recent enough. It reads the
// list again if machineListInterval has passed since the last read.
func (t *leaderTerm) decideWithMachineList(decide func(now time.Time)) {
	now := time.Now()
	if now.Sub(t.machines.listedAt) > machineListInterval {
		t.refreshMachines(now)
	}
	if now.Sub(t.machines.listedAt) < maxMachineListAge {
		t.machines.setLatestIncarnations(t.c.state)
		decide(now)
	}
}

// setLatestIncarnations sets the worker of each machine to the latest incarnation in the
// log, because the machine list gives only the worker's name and may be outdated.
func (m *machines) setLatestIncarnations(state *StateMachine) {
	state.read(func(s *workflow.State) {
		for id, listed := range m.byID {
			if newest := s.NewestIncarnation(listed.Name); newest != nil {
				listed.Worker = newest.ID
				m.byID[id] = listed
			}
		}
	})
}

// refreshMachines reads the whole machine list. A machine that isn't in it has left the
// deployment permanently.
func (t *leaderTerm) refreshMachines(now time.Time) {
	m := t.machines
	listed, err := t.listMachines()
	if failed := err != nil; failed != m.listFailed {
		m.listFailed = failed
		t.logger.Log("event", "machine_list", "lost", failed, "err", err)
	}
	if err == nil {
		m.byID, m.listedAt = listed, now
	}
}

// listMachines returns the machines of all pages of the list, by machine ID.
func (t *leaderTerm) listMachines() (map[string]ListedMachine, error) {
	ctx, cancel := context.WithTimeout(t.ctx, machineCallTimeout)
	defer cancel()
	byID := map[string]ListedMachine{}
	unreadable := 0
	for page := ""; ; {
		t.c.cfg.Counters.Add("machine_lists", 1)
		response, err := t.c.cfg.Machines.ListMachines(ctx, page)
		if err != nil {
			return nil, err
		}
		for _, m := range response.Machines {
			byID[m.ID] = m
		}
		unreadable += response.Unreadable
		if response.Next == "" {
			t.keepUnreadable(byID, unreadable)
			return byID, nil
		}
		page = response.Next
	}
}

// keepUnreadable adds the known machines that newList lacks if some entries of the list
// couldn't be read: the missing machines may be among them.
//
// Otherwise the machine of a damaged entry would count as removed, and a wave would be
// reported as done without it.
func (t *leaderTerm) keepUnreadable(newList map[string]ListedMachine, unreadable int) {
	if unreadable != t.machines.unreadable {
		t.machines.unreadable = unreadable
		t.logger.Log("event", "machine_list", "unreadable", unreadable, "read", len(newList))
	}
	if unreadable == 0 {
		return
	}
	for id, machine := range t.machines.byID {
		if _, listed := newList[id]; !listed {
			newList[id] = machine
		}
	}
}

// cordon excludes a worker from new tasks, and reports whether it wasn't cordoned before.
func (t *leaderTerm) cordon(worker string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.machines.cordoned[worker] != nil {
		return false
	}
	t.machines.cordoned[worker] = &cordonState{since: now}
	return true
}

// stopRunsOn marks the runs of a cordoned worker to be stopped, and reports whether they
// weren't marked before.
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

// uncordonOthers uncordons all workers except those in keepCordoned.
func (t *leaderTerm) uncordonOthers(keepCordoned map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for worker := range t.machines.cordoned {
		if !keepCordoned[worker] {
			delete(t.machines.cordoned, worker)
		}
	}
}

// beginOrder reports whether an order for a machine may be sent now, and marks it as in
// flight. It returns false while another order is in flight, and for MachineHandoverDelay
// after the start of the leader term, since orders of the previous leader may still be in
// flight.
func (t *leaderTerm) beginOrder(machine string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.machines.ordersInFlight[machine] || time.Since(t.started) < t.c.cfg.Bounds.MachineHandoverDelay {
		return false
	}
	t.machines.ordersInFlight[machine] = true
	return true
}

// callMachine calls call with an order for a machine, within machineCallTimeout.
func (t *leaderTerm) callMachine(machine string, call func(context.Context, MachineOrder) error) error {
	ctx, cancel := context.WithTimeout(t.ctx, machineCallTimeout)
	defer cancel()
	err := call(ctx, MachineOrder{Machine: machine, Holder: t.c.cfg.Instance, Fence: t.fence})
	t.c.cfg.Counters.Add("machine_orders", 1)
	return err
}

// endOrder marks the order of a machine as no longer in flight.
func (t *leaderTerm) endOrder(machine string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.machines.ordersInFlight, machine)
}

// stepDownIfFenced ends the leader term if an order was refused because a later leader
// has already sent orders to the machine.
func (t *leaderTerm) stepDownIfFenced(refused *RefusedError) {
	if refused != nil && refused.Reason == RefusedStaleFence {
		t.logger.Log("event", "tenure", "outcome", "given up", "cause", "a machine has orders of a later leader")
		t.end()
	}
}

// sortMachines sorts the machines of a pool by ID.
func sortMachines(poolMachines []fleet.Machine) {
	slices.SortFunc(poolMachines, func(a, b fleet.Machine) int { return cmp.Compare(a.ID, b.ID) })
}
