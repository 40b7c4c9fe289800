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
	// machinesPause is the time between two decisions on waves and moves.
	machinesPause = 250 * time.Millisecond
	// listEvery is the time between two readings of the list of machines while
	// there is something to decide. The deployment allows some tens of calls a second.
	listEvery = 750 * time.Millisecond
	// listStale is the age from which on the list is too old to act on.
	listStale = 3 * time.Second
	// machineCallTimeout bounds a call to the list of machines, which may be slow.
	machineCallTimeout = 2 * time.Second
)

// cordoned is a worker that is given nothing new because its machine goes down.
type cordoned struct {
	since time.Time
	// stop says that its runs are to be stopped.
	stop bool
}

// machines is what a tenure does about machines. Its fields are guarded by t.mu,
// but for those of the loop.
type machines struct {
	// cordoned holds the cordoned workers, by incarnation.
	cordoned map[string]*cordoned
	// ordering are the machines with an order under way.
	ordering map[string]bool
	// begunAt is when this tenure learnt that a machine's maintenance has begun.
	begunAt map[string]time.Time
	// waveBegun is when this tenure accepted a wave.
	waveBegun map[int64]time.Time

	// list is the deployment's as it was read at listedAt; both belong to the loop.
	list     map[string]ListedMachine
	listedAt time.Time
	// lost says that the last reading failed, unreadable counts the entries of it that
	// named no machine to use.
	lost       bool
	unreadable int
}

func newMachines() *machines {
	return &machines{
		cordoned: map[string]*cordoned{}, ordering: map[string]bool{}, begunAt: map[string]time.Time{}, waveBegun: map[int64]time.Time{},
	}
}

// isCordoned reports whether a worker gets nothing new for its machine's sake. t.mu is held.
func (m *machines) isCordoned(worker string) bool { return m != nil && m.cordoned[worker] != nil }

// machineLoop works on waves and moves until the tenure ends.
func (t *tenure) machineLoop() {
	for wait.For(t.ctx, machinesPause) {
		waves, services := t.openWaves(), t.services()
		kept := map[string]bool{}
		if len(waves) > 0 || len(services) > 0 {
			t.decideMachines(func(now time.Time) {
				t.workOn(waves, kept, now)
				if len(services) > 0 {
					t.moveMachines(services, kept, now)
				}
			})
		}
		t.uncordonOthers(kept)
	}
}

// decideMachines calls decide with a list that is new enough.
func (t *tenure) decideMachines(decide func(now time.Time)) {
	now := time.Now()
	if now.Sub(t.machines.listedAt) > listEvery {
		t.readMachines(now)
	}
	if now.Sub(t.machines.listedAt) < listStale {
		t.machines.nameLives(t.c.state)
		decide(now)
	}
}

// nameLives takes for the worker on each machine its latest life, since the list names
// workers only, and is some time old.
func (m *machines) nameLives(state *StateMachine) {
	state.read(func(s *workflow.State) {
		for id, listed := range m.list {
			if newest := s.Newest(listed.Name); newest != nil {
				listed.Worker = newest.ID
				m.list[id] = listed
			}
		}
	})
}

// readMachines reads the whole list. What it doesn't hold has left for good.
func (t *tenure) readMachines(now time.Time) {
	m := t.machines
	list, err := t.listMachines()
	if lost := err != nil; lost != m.lost {
		m.lost = lost
		t.logger.Log("event", "machine_list", "lost", lost, "err", err)
	}
	if err == nil {
		m.list, m.listedAt = list, now
	}
}

func (t *tenure) listMachines() (map[string]ListedMachine, error) {
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
			t.keepUnread(list, unreadable)
			return list, nil
		}
		page = answer.Next
	}
}

// keepUnread keeps what was known of machines that a list doesn't hold, when entries
// of it couldn't be read: theirs may be among them.
//
// Failure guarded against: one entry is damaged, its machine counts as gone for good,
// and a wave is said to be done without it.
func (t *tenure) keepUnread(list map[string]ListedMachine, unreadable int) {
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
func (t *tenure) cordon(worker string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.machines.cordoned[worker] != nil {
		return false
	}
	t.machines.cordoned[worker] = &cordoned{since: now}
	return true
}

// stopAll lets the runs of a worker be stopped, and reports whether that is a
// change.
func (t *tenure) stopAll(worker string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.machines.cordoned[worker]
	if e == nil || e.stop {
		return false
	}
	e.stop = true
	t.kick()
	return true
}

// uncordonOthers gives work again to all workers but those kept.
func (t *tenure) uncordonOthers(kept map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for worker := range t.machines.cordoned {
		if !kept[worker] {
			delete(t.machines.cordoned, worker)
		}
	}
}

// beginOrder reports whether an order for a machine may be given now, and notes
// that one is under way. A machine that another instance may have given orders
// for a moment ago waits.
func (t *tenure) beginOrder(machine string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.machines.ordering[machine] || time.Since(t.started) < t.c.cfg.Bounds.HolderPause {
		return false
	}
	t.machines.ordering[machine] = true
	return true
}

// callMachine makes one call that orders something of a machine.
func (t *tenure) callMachine(machine string, call func(context.Context, MachineOrder) error) error {
	ctx, cancel := context.WithTimeout(t.ctx, machineCallTimeout)
	defer cancel()
	err := call(ctx, MachineOrder{Machine: machine, Holder: t.c.cfg.Instance, Fence: t.fence})
	t.c.cfg.Counters.Add("machine_orders", 1)
	return err
}

func (t *tenure) endOrder(machine string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.machines.ordering, machine)
}

// giveWay ends the tenure when an order was refused for a later leader's sake.
func (t *tenure) giveWay(refused *RefusedError) {
	if refused != nil && refused.Reason == RefusedFence {
		t.logger.Log("event", "tenure", "outcome", "given up", "cause", "a machine has orders of a later leader")
		t.end()
	}
}

// sortMachines puts the machines of a pool into a fixed order.
func sortMachines(list []fleet.Machine) {
	slices.SortFunc(list, func(a, b fleet.Machine) int { return cmp.Compare(a.ID, b.ID) })
}
