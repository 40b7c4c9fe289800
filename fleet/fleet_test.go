package fleet

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// pool has n free machines of 10 cores each.
func pool(name string, n int, demand int64) Pool {
	p := Pool{Name: name, Capacity: int64(n) * 10_000, Demand: demand * 1000}
	for i := range n {
		p.Machines = append(p.Machines, Machine{ID: fmt.Sprint(name, i), MilliCPU: 10_000, Movable: true})
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
		{name: "a pool that is short gets as many as it needs", pools: []Pool{short(pool("a", 1, 25)), standby(5)},
			want: []Move{{"off0", "off", "a"}, {"off1", "off", "a"}}},
		{name: "not at once", pools: []Pool{pool("a", 1, 25), standby(5)}},
		{name: "a bound of moves", pools: []Pool{short(pool("a", 1, 99)), standby(9)},
			want: []Move{{"off0", "off", "a"}, {"off1", "off", "a"}, {"off2", "off", "a"}, {"off3", "off", "a"}}},
		{name: "machines that may not be moved stay", pools: []Pool{short(pool("a", 1, 25)), partlyMovable},
			want: []Move{{"off1", "off", "a"}}},
		{name: "from another pool that can spare one", pools: []Pool{short(pool("a", 1, 15)), pool("b", 3, 5)},
			want: []Move{{"b0", "b", "a"}}},
		{name: "not from one that can't", pools: []Pool{short(pool("a", 1, 15)), busy}},
		{name: "a pool with far too much gives one up", pools: []Pool{idle(pool("a", 4, 10)), standby(0)},
			want: []Move{{"a0", "a", "off"}}},
		{name: "but keeps a reserve", pools: []Pool{idle(pool("a", 2, 10)), standby(0)}},
		{name: "not where pools don't exchange", pools: []Pool{short(pool("x", 1, 25)), standby(5)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			allowed := func(_, to string) bool { return to != "x" }
			must.Eq(t, c.want, Decide(c.pools, allowed))
		})
	}
}
