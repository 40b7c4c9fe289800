package fleet

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// machineMilliCPU is the size of each machine in thousandths of a core.
const machineMilliCPU = 10_000

// pool returns a pool of n movable machines with 10 cores each; demand is in cores.
func pool(name string, n int, demand int64) Pool {
	p := Pool{Name: name, Capacity: int64(n) * machineMilliCPU, Demand: demand * 1000}
	for i := range n {
		p.Machines = append(p.Machines, Machine{ID: fmt.Sprint(name, i), MilliCPU: machineMilliCPU, Movable: true})
	}
	return p
}

func standby(n int) Pool {
	p := pool("off", n, 0)
	p.Standby = true
	return p
}

func short(p Pool) Pool { p.ShortFor = minShortage; return p }

func idle(p Pool) Pool { p.IdleFor = minIdle; return p }

func TestDecide(t *testing.T) {
	busy := pool("b", 3, 25)
	partlyMovable := standby(2)
	partlyMovable.Machines[0].Movable = false
	for _, c := range []struct {
		name  string
		pools []Pool
		want  []Move
	}{
		{name: "a short pool gets as many machines as it needs", pools: []Pool{short(pool("a", 1, 25)), standby(5)},
			want: []Move{{"off0", "off", "a"}, {"off1", "off", "a"}}},
		{name: "a pool that just became short gets none", pools: []Pool{pool("a", 1, 25), standby(5)}},
		{name: "a decision has a limit of moves", pools: []Pool{short(pool("a", 1, 99)), standby(9)},
			want: []Move{{"off0", "off", "a"}, {"off1", "off", "a"}, {"off2", "off", "a"}, {"off3", "off", "a"}}},
		{name: "machines that aren't movable stay", pools: []Pool{short(pool("a", 1, 25)), partlyMovable},
			want: []Move{{"off1", "off", "a"}}},
		{name: "a short pool gets a machine that another pool can spare", pools: []Pool{short(pool("a", 1, 15)), pool("b", 3, 5)},
			want: []Move{{"b0", "b", "a"}}},
		{name: "a pool that can't spare a machine keeps it", pools: []Pool{short(pool("a", 1, 15)), busy}},
		{name: "an idle pool releases one machine", pools: []Pool{idle(pool("a", 4, 10)), standby(0)},
			want: []Move{{"a0", "a", "off"}}},
		{name: "an idle pool keeps its reserve", pools: []Pool{idle(pool("a", 2, 10)), standby(0)}},
		{name: "no move between pools that don't allow it", pools: []Pool{short(pool("x", 1, 25)), standby(5)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			allowed := func(_, to string) bool { return to != "x" }
			must.Eq(t, c.want, Decide(c.pools, allowed))
		})
	}
}
