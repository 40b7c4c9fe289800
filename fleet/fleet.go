// Package fleet decides which machines move between pools of workers. Decide is a
// function of a snapshot; it reads no clock and keeps nothing between calls.
package fleet

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minShortage is how long a pool must have had too little before it gets a
	// machine: a burst of a second is over before a machine has come.
	minShortage = time.Second
	// minIdle is how long a pool must have had too much before it gives a machine
	// up: a move costs about as much as a machine for eight seconds, and is needed
	// twice when the work comes back.
	minIdle = 20 * time.Second
	// reserveFactor times what a pool wants it keeps when it gives a machine up.
	reserveFactor = 1.5
	// maxMoves bounds one decision; the next one sees what these changed.
	maxMoves = 4
)

// Machine is a machine that lives in a pool.
type Machine struct {
	ID       string
	MilliCPU int64
	// Free says that nothing runs there and that it may be moved.
	Movable bool
}

// Pool is a service's machines and what its tasks need.
type Pool struct {
	Name string
	// Standby pools run nothing, and their machines cost nothing.
	Standby bool
	// Capacity is what its machines have, those on their way to it included, and
	// Wanted what its tasks need that run or could; both in thousandths of a core.
	Capacity, Demand int64
	// ShortFor and IdleFor are how long it has had too little, or far too much.
	ShortFor, IdleFor time.Duration
	Machines          []Machine
}

// Short reports whether the pool has less than its tasks need.
func (p *Pool) Short() bool { return !p.Standby && p.Demand > p.Capacity }

// Idle reports whether the pool could spare one of its machines.
func (p *Pool) Idle() bool {
	return !p.Standby && slices.ContainsFunc(p.Machines, p.canSpare)
}

// spares reports whether the pool keeps enough without m.
func (p *Pool) canSpare(m Machine) bool {
	return m.Movable && float64(p.Capacity-m.MilliCPU) >= reserveFactor*float64(p.Demand)
}

// Move gives a machine to another pool.
type Move struct {
	Machine  string
	From, To string
}

// Decide plans moves: to pools that are short, from standby ones before others
// that can spare a machine; and to a standby pool from one that has far too much.
// May says whether machines of a pool may go to another one.
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

type planner struct {
	pools   []Pool
	allowed func(from, to string) bool
	moves   []Move
}

// fill moves machines to a pool until it has enough.
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

// release gives one machine of a pool to a standby pool.
func (p *planner) releaseMachine(idle *Pool) {
	for i := range p.pools {
		to := &p.pools[i]
		if to.Standby && p.allowed(idle.Name, to.Name) && p.moveOne(idle, to) {
			return
		}
	}
}

// moveOne moves the first machine that from can spare.
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
