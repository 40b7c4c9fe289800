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

// poolMoves is the state of the moves of machines between pools in one leader term. Only
// the machine loop uses it, except for the fields marked as guarded by t.mu. A pool holds
// the machines of one configured service.
type poolMoves struct {
	// shortSince and idleSince hold the time since which each pool has been short of
	// machines or has had idle ones.
	shortSince, idleSince map[string]time.Time
	// planned holds the planned move of each machine that is cordoned for it.
	planned map[string]fleet.Move
	// refusedPairs are the pairs of source and target pool between which the deployment
	// refuses moves. Guarded by t.mu.
	refusedPairs map[[2]string]bool
	// moving maps each machine whose move was ordered to its target pool, until the machine
	// list shows it there. Guarded by t.mu.
	moving map[string]string
}

func newPoolMoves() *poolMoves {
	return &poolMoves{
		shortSince: map[string]time.Time{}, idleSince: map[string]time.Time{}, planned: map[string]fleet.Move{},
		refusedPairs: map[[2]string]bool{}, moving: map[string]string{},
	}
}

// services returns the configured services, or nil if none of them is on standby, because
// machines are moved only if there is a standby pool.
func (t *leaderTerm) services() (services []workflow.Service) {
	t.c.state.read(func(s *workflow.State) {
		if slices.ContainsFunc(s.Configuration.Services, func(service workflow.Service) bool { return service.Standby }) {
			services = s.Configuration.Services
		}
	})
	return services
}

// moveMachines decides on moves and carries them out: it cordons the worker of a machine
// first and orders the move once nothing runs there. It adds the cordoned workers to
// keepCordoned.
func (t *leaderTerm) moveMachines(services []workflow.Service, keepCordoned map[string]bool, now time.Time) {
	p := t.poolMoves
	states := t.poolStates(services, now)
	for _, move := range fleet.Decide(states, t.mayMove) {
		if _, known := p.planned[move.Machine]; !known && len(p.planned) < maxConcurrentMoves {
			p.planned[move.Machine] = move
			t.logger.Log("event", "move", "machine", move.Machine, "from", move.From, "to", move.To, "outcome", "cordoned")
		}
	}
	for id, move := range p.planned {
		m, exists := t.machines.byID[id]
		if !exists || m.Pool != move.From {
			delete(p.planned, id)
			continue
		}
		if m.Worker == "" {
			t.orderMove(m, move)
			continue
		}
		keepCordoned[m.Worker] = true
		t.cordon(m.Worker, now)
		if t.isEmpty(m.Worker) {
			t.orderMove(m, move)
		}
	}
}

// maxConcurrentMoves bounds the machines that are being moved at the same time.
const maxConcurrentMoves = 8

// mayMove reports whether the deployment hasn't refused a move between two pools.
func (t *leaderTerm) mayMove(from, to string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.poolMoves.refusedPairs[[2]string{from, to}]
}

// isEmpty reports whether a worker has no run that may be alive and no start that is being
// committed.
func (t *leaderTerm) isEmpty(worker string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	empty := true
	for _, proposed := range t.proposedStarts {
		empty = empty && proposed != worker
	}
	t.c.state.read(func(s *workflow.State) { empty = empty && len(s.Runs[worker]) == 0 })
	return empty
}

// poolStates returns the state of each pool according to the machine list and the log.
func (t *leaderTerm) poolStates(services []workflow.Service, now time.Time) []fleet.Pool {
	t.mu.Lock()
	defer t.mu.Unlock()
	states := make([]fleet.Pool, 0, len(services))
	for _, service := range services {
		states = append(states, fleet.Pool{Name: service.Name, Standby: service.Standby})
	}
	t.c.state.read(func(s *workflow.State) {
		demand := t.demandByService(s, now)
		for i := range states {
			t.addMachines(&states[i], s, demand[states[i].Name])
			t.poolMoves.updateDurations(&states[i], now)
		}
	})
	return states
}

// addMachines adds to pool the given CPU demand, its machines, and their capacity
// including that of machines that are moving to it. t.mu must be held.
func (t *leaderTerm) addMachines(pool *fleet.Pool, s *workflow.State, demand int64) {
	pool.Demand = demand
	for id, m := range t.machines.byID {
		target, moving := t.poolMoves.moving[id]
		if moving && m.Pool == target {
			delete(t.poolMoves.moving, id)
			moving = false
		}
		if moving && target == pool.Name || !moving && m.Pool == pool.Name {
			pool.Capacity += m.Capacity.MilliCPU
		}
		if moving || m.Pool != pool.Name {
			continue
		}
		idle := m.State == MachineUp && len(s.Runs[m.Worker]) == 0 || pool.Standby
		free := idle && !t.machines.ordersInFlight[id] && m.State != MachineMoving && m.State != MachineInMaintenance
		pool.Machines = append(pool.Machines, fleet.Machine{ID: id, MilliCPU: m.Capacity.MilliCPU, Movable: free})
	}
	sortMachines(pool.Machines)
}

// demandByService returns the CPU demand, in millicores, of the tasks of each service that
// run or could run now. t.mu must be held.
func (t *leaderTerm) demandByService(s *workflow.State, now time.Time) map[string]int64 {
	demand := map[string]int64{}
	for _, job := range s.OpenJobs() {
		for occurrence := range job.Occurrences {
			if !job.Due(occurrence, now) {
				continue
			}
			for step := range job.Steps {
				if !job.StepReady(occurrence, step) {
					continue
				}
				state := &job.Occurrences[occurrence][step]
				remaining := int64(len(state.Tasks) - state.Done)
				demand[job.Policy.Service] += remaining * job.Steps[step].Demand().MilliCPU
			}
		}
	}
	moveDemandOfRuns(demand, s)
	return demand
}

// moveDemandOfRuns counts runs that began before their queue moved to another service for the service on
// whose workers they are.
func moveDemandOfRuns(demand map[string]int64, s *workflow.State) {
	open := s.OpenJobs()
	for id, runs := range s.Runs {
		worker := s.Workers[id]
		if worker == nil {
			continue
		}
		service := worker.Service
		for key := range runs {
			job := open[key.Job]
			if job == nil || job.Policy.Service == service || s.Task(key).Done {
				continue
			}
			milliCPU := job.Steps[key.Step].Demand().MilliCPU
			demand[job.Policy.Service] -= milliCPU
			demand[service] += milliCPU
		}
	}
}

// updateDurations sets for how long a pool has been short of machines and for how long it
// has had idle ones.
func (p *poolMoves) updateDurations(pool *fleet.Pool, now time.Time) {
	pool.ShortFor = conditionDuration(p.shortSince, pool.Name, pool.Short(), now)
	pool.IdleFor = conditionDuration(p.idleSince, pool.Name, pool.Idle(), now)
}

// conditionDuration returns for how long a condition of the named pool has held without
// interruption. since holds when it began, by pool.
func conditionDuration(since map[string]time.Time, name string, holds bool, now time.Time) time.Duration {
	if !holds {
		delete(since, name)
		return 0
	}
	if since[name].IsZero() {
		since[name] = now
	}
	return now.Sub(since[name])
}

// orderMove orders a machine to move to another pool, in the background. The machine list
// shows later whether it moved; an order without a response is repeated.
func (t *leaderTerm) orderMove(m ListedMachine, move fleet.Move) {
	if !t.beginOrder(m.ID) {
		return
	}
	t.spawn(func() {
		defer t.endOrder(m.ID)
		err := t.callMachine(m.ID, func(ctx context.Context, order MachineOrder) error {
			return t.c.cfg.Machines.Move(ctx, order, move.To)
		})
		t.logger.Log("event", "move", "machine", m.ID, "worker", m.Worker, "from", move.From, "to", move.To, "outcome", "ordered", "err", err)
		t.recordMove(m, move, err)
		wait.For(t.ctx, retryInterval)
	})
}

// recordMove records the outcome of a move order.
func (t *leaderTerm) recordMove(m ListedMachine, move fleet.Move, err error) {
	var refused *RefusedError
	t.mu.Lock()
	switch {
	case err == nil:
		t.poolMoves.moving[m.ID] = move.To
	case errors.As(err, &refused) && refused.Reason == RefusedInvalid:
		t.poolMoves.refusedPairs[[2]string{move.From, move.To}] = true
	}
	t.mu.Unlock()
	if err == nil && m.Worker != "" {
		t.recordLeaving(m.Worker)
	}
	t.stepDownIfFenced(refused)
}
