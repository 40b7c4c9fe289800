package control

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/fleet"
	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// pools is what a tenure remembers of the pools that machines move between. It
// belongs to the machine loop, but for the fields named.
type pools struct {
	// shortSince and idleSince are when a pool began to have too little or too much.
	shortSince, idleSince map[string]time.Time
	// bound are the machines that are cordoned for a move, with its target.
	bound map[string]fleet.Move
	// refused are the pairs of pools that don't exchange machines. Guarded by t.mu.
	refused map[[2]string]bool
	// moving are the machines whose move was ordered, with the pool they go to, until
	// the list shows them there. Guarded by t.mu.
	moving map[string]string
}

func newPools() *pools {
	return &pools{
		shortSince: map[string]time.Time{}, idleSince: map[string]time.Time{}, bound: map[string]fleet.Move{},
		refused: map[[2]string]bool{}, moving: map[string]string{},
	}
}

// services returns the pools that the configuration names, nil when none of them
// is on standby: then no machine is to be moved.
func (t *tenure) services() (services []workflow.Service) {
	t.c.state.read(func(s *workflow.State) {
		if slices.ContainsFunc(s.Configuration.Services, func(service workflow.Service) bool { return service.Standby }) {
			services = s.Configuration.Services
		}
	})
	return services
}

// moveMachines decides on moves and carries them out: a machine is given nothing
// new first, and ordered away once nothing runs there. kept gets the workers
// that are given nothing new.
func (t *tenure) moveMachines(services []workflow.Service, kept map[string]bool, now time.Time) {
	p := t.fleet
	views := t.poolViews(services, now)
	for _, move := range fleet.Decide(views, t.mayMove) {
		if _, known := p.bound[move.Machine]; !known && len(p.bound) < maxBound {
			p.bound[move.Machine] = move
			t.logger.Log("event", "move", "machine", move.Machine, "from", move.From, "to", move.To, "outcome", "cordoned")
		}
	}
	for id, move := range p.bound {
		m, there := t.machines.list[id]
		if !there || m.Pool != move.From {
			delete(p.bound, id)
			continue
		}
		if m.Worker == "" {
			t.orderMove(m, move)
			continue
		}
		kept[m.Worker] = true
		t.cordon(m.Worker, now)
		if t.isEmpty(m.Worker) {
			t.orderMove(m, move)
		}
	}
}

// maxBound bounds the machines that are on their way at the same time.
const maxBound = 8

func (t *tenure) mayMove(from, to string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.fleet.refused[[2]string{from, to}]
}

// isEmpty reports whether no run may be alive on a worker and none is being begun.
func (t *tenure) isEmpty(worker string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	empty := true
	for _, proposed := range t.proposed {
		empty = empty && proposed != worker
	}
	t.c.state.read(func(s *workflow.State) { empty = empty && len(s.Runs[worker]) == 0 })
	return empty
}

// poolViews views each pool as the list of machines and the log show it.
func (t *tenure) poolViews(services []workflow.Service, now time.Time) []fleet.Pool {
	t.mu.Lock()
	defer t.mu.Unlock()
	views := make([]fleet.Pool, 0, len(services))
	for _, service := range services {
		views = append(views, fleet.Pool{Name: service.Name, Standby: service.Standby})
	}
	t.c.state.read(func(s *workflow.State) {
		wanted := t.wanted(s, now)
		for i := range views {
			t.fillPool(&views[i], s, wanted[views[i].Name])
			t.fleet.since(&views[i], now)
		}
	})
	return views
}

// fillPool adds the machines of a pool, and those on their way to it. t.mu is held.
func (t *tenure) fillPool(view *fleet.Pool, s *workflow.State, wanted int64) {
	view.Wanted = wanted
	for id, m := range t.machines.list {
		target, moving := t.fleet.moving[id]
		if moving && m.Pool == target {
			delete(t.fleet.moving, id)
			moving = false
		}
		if moving && target == view.Name || !moving && m.Pool == view.Name {
			view.Capacity += m.Capacity.MilliCPU
		}
		if moving || m.Pool != view.Name {
			continue
		}
		idle := m.State == MachineUp && len(s.Runs[m.Worker]) == 0 || view.Standby
		free := idle && !t.machines.ordering[id] && m.State != MachineMoving && m.State != MachineInMaintenance
		view.Machines = append(view.Machines, fleet.Machine{ID: id, MilliCPU: m.Capacity.MilliCPU, Free: free})
	}
	sortMachines(view.Machines)
}

// wanted is what the tasks of each service need that run or could run now. t.mu
// is held.
func (t *tenure) wanted(s *workflow.State, now time.Time) map[string]int64 {
	wanted := map[string]int64{}
	for _, job := range s.Open() {
		for occurrence := range job.Occurrences {
			if !job.Due(occurrence, now) {
				continue
			}
			for step := range job.Steps {
				if !job.StepReady(occurrence, step) {
					continue
				}
				state := &job.Occurrences[occurrence][step]
				left := int64(len(state.Tasks) - state.Done)
				wanted[job.Policy.Service] += left * job.Steps[step].Room().MilliCPU
			}
		}
	}
	return wanted
}

// since notes for how long a pool has been short or idle.
func (p *pools) since(view *fleet.Pool, now time.Time) {
	view.ShortFor = lasted(p.shortSince, view.Name, view.Short(), now)
	view.IdleFor = lasted(p.idleSince, view.Name, view.Idle(), now)
}

// lasted returns for how long a condition has held without a break.
func lasted(since map[string]time.Time, name string, holds bool, now time.Time) time.Duration {
	if !holds {
		delete(since, name)
		return 0
	}
	if since[name].IsZero() {
		since[name] = now
	}
	return now.Sub(since[name])
}

// orderMove orders a machine to another pool. What the list shows afterwards
// tells whether it went; an order without an answer is given again.
func (t *tenure) orderMove(m ListedMachine, move fleet.Move) {
	if !t.beginOrder(m.ID) {
		return
	}
	t.goTask(func() {
		defer t.endOrder(m.ID)
		err := t.callMachine(m.ID, func(ctx context.Context, order MachineOrder) error {
			return t.c.cfg.Machines.Move(ctx, order, move.To)
		})
		t.logger.Log("event", "move", "machine", m.ID, "worker", m.Worker, "from", move.From, "to", move.To, "outcome", "ordered", "err", err)
		t.noteMove(m, move, err)
		wait.For(t.ctx, retryPause)
	})
}

func (t *tenure) noteMove(m ListedMachine, move fleet.Move, err error) {
	var refused *RefusedError
	t.mu.Lock()
	switch {
	case err == nil:
		t.fleet.moving[m.ID] = move.To
	case errors.As(err, &refused) && refused.Reason == RefusedInvalid:
		t.fleet.refused[[2]string{move.From, move.To}] = true
	}
	t.mu.Unlock()
	if err == nil && m.Worker != "" {
		t.probe(m.Worker)
	}
	t.giveWay(refused)
}
