// Package fleet decides which machines to move between pools, each of which holds the machines
// of one service. Decide is a pure function of a snapshot: it reads no clock and keeps no state
// between calls.
package fleet

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minShortage is how long a pool must be short of capacity before it gets a machine: a
	// burst of load that lasts 1 s ends before a machine could arrive.
	minShortage = time.Second
	// minIdle is how long a pool must have spare capacity before it releases a machine. A move
	// costs about as much as running a machine for 8 s, and a second move is needed when the
	// load returns.
	minIdle = 20 * time.Second
	// reserveFactor is the capacity, as a multiple of its demand, that a pool must keep when
	// it releases a machine.
	reserveFactor = 1.5
	// maxMoves bounds the moves of one decision. The next decision takes their effect into
	// account.
	maxMoves = 4
)

// Machine is a machine in a pool.
type Machine struct {
	ID       string
	MilliCPU int64
	// Movable says that nothing runs on the machine and that the machine may be moved.
	Movable bool
}

// Pool describes the machines of a service and the CPU demand of the service's tasks.
type Pool struct {
	Name string
	// Standby marks a pool whose machines run nothing and cost nothing.
	Standby bool
	// Capacity is the CPU capacity of the pool's machines, including those that are being moved
	// to it; Demand is the CPU demand of its running and pending tasks. Both are in thousandths
	// of a core.
	Capacity, Demand int64
	// ShortFor and IdleFor are how long Short and Idle have been true without interruption.
	ShortFor, IdleFor time.Duration
	Machines          []Machine
}

// Short reports whether the pool has less capacity than demand.
func (p *Pool) Short() bool { return !p.Standby && p.Demand > p.Capacity }

// Idle reports whether the pool can release one of its machines and keep its reserve.
func (p *Pool) Idle() bool {
	return !p.Standby && slices.ContainsFunc(p.Machines, p.canSpare)
}

// canSpare reports whether m is movable and the pool keeps its reserve without it.
func (p *Pool) canSpare(m Machine) bool {
	return m.Movable && float64(p.Capacity-m.MilliCPU) >= reserveFactor*float64(p.Demand)
}

// Move is the move of a machine to another pool.
type Move struct {
	Machine  string
	From, To string
}

// Decide plans moves of machines to pools that are short, first from standby pools and then
// from pools that can spare a machine, and from idle pools to a standby pool. allowed reports
// whether machines of one pool may move to another one.
func Decide(pools []Pool, allowed func(from, to string) bool) []Move {
	p := planner{pools: slices.Clone(pools), allowed: allowed}
	slices.SortFunc(p.pools, func(a, b Pool) int {
		standbyFirst := func(p Pool) int {
			if p.Standby {
				return 0
			}
			return 1
		}
		return cmp.Or(cmp.Compare(standbyFirst(a), standbyFirst(b)), cmp.Compare(a.Name, b.Name))
	})
	for i := range p.pools {
		if p.pools[i].ShortFor >= minShortage {
			p.fillShortage(&p.pools[i])
		}
	}
	for i := range p.pools {
		if p.pools[i].IdleFor >= minIdle {
			p.releaseMachine(&p.pools[i])
		}
	}
	return p.moves
}

// planner has the state of one decision: the pools as they are after the planned moves.
type planner struct {
	pools   []Pool
	allowed func(from, to string) bool
	moves   []Move
}

// fillShortage moves machines to a pool until it has enough capacity or no further machine can
// be moved.
func (p *planner) fillShortage(short *Pool) {
	for i := range p.pools {
		from := &p.pools[i]
		if from.Name == short.Name || from.Short() || !p.allowed(from.Name, short.Name) {
			continue
		}
		for short.Short() {
			if !p.moveOne(from, short) {
				break
			}
		}
	}
}

// releaseMachine moves one machine of an idle pool to a standby pool.
func (p *planner) releaseMachine(idle *Pool) {
	for i := range p.pools {
		to := &p.pools[i]
		if to.Standby && p.allowed(idle.Name, to.Name) && p.moveOne(idle, to) {
			return
		}
	}
}

// moveOne moves the first machine that the pool from can spare to the pool to. It returns false
// if there is no such machine or the decision has maxMoves moves.
func (p *planner) moveOne(from, to *Pool) bool {
	index := slices.IndexFunc(from.Machines, func(m Machine) bool {
		return m.Movable && (from.Standby || from.canSpare(m))
	})
	if index < 0 || len(p.moves) >= maxMoves {
		return false
	}
	m := from.Machines[index]
	from.Machines = slices.Delete(slices.Clone(from.Machines), index, index+1)
	from.Capacity -= m.MilliCPU
	to.Capacity += m.MilliCPU
	p.moves = append(p.moves, Move{Machine: m.ID, From: from.Name, To: to.Name})
	return true
}
