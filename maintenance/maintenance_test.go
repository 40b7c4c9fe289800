package maintenance

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func idle(id string) Machine { return Machine{ID: id, Up: true, Empty: true} }

func busy(id string, remaining time.Duration) Machine {
	return Machine{ID: id, Up: true, EmptyIn: remaining}
}

func cordoned(m Machine, since time.Duration) Machine {
	m.Cordoned, m.CordonedFor = true, since
	return m
}

func TestDecide(t *testing.T) {
	long := Wave{Remaining: 60 * time.Second, MachineDowntime: 2 * time.Second, MaxDown: 3}
	short := Wave{Remaining: 8 * time.Second, MachineDowntime: 2 * time.Second, MaxDown: 2}
	late := Wave{Remaining: -time.Second, MachineDowntime: 2 * time.Second, MaxDown: 2}
	down := Machine{ID: "down", Down: true}
	uninterruptible := busy("held", time.Second)
	uninterruptible.Uninterruptible = true
	for _, c := range []struct {
		name     string
		wave     Wave
		machines []Machine
		want     Plan
	}{
		{name: "one at a time while there is time, the first to be empty first", wave: long,
			machines: []Machine{busy("a", 5*time.Second), busy("b", time.Second)}, want: Plan{Cordon: []string{"b"}}},
		{name: "none while one is down", wave: long, machines: []Machine{down, idle("a")}},
		{name: "more at the same time when time is short, up to MaxDown", wave: short,
			machines: []Machine{down, idle("a"), idle("b")}, want: Plan{Cordon: []string{"a"}}},
		{name: "MaxDown machines once the wave is late", wave: late,
			machines: []Machine{idle("a"), idle("b"), idle("c")}, want: Plan{Cordon: []string{"a", "b"}}},
		{name: "an empty machine is taken down", wave: long,
			machines: []Machine{cordoned(idle("a"), time.Second), idle("b")}, want: Plan{TakeDown: []string{"a"}}},
		{name: "a busy machine drains first", wave: long, machines: []Machine{cordoned(busy("a", 5*time.Second), 10*time.Second)}},
		{name: "runs are stopped when time is short", wave: short,
			machines: []Machine{cordoned(busy("a", 5*time.Second), 5*time.Second)}, want: Plan{Stop: []string{"a"}}},
		{name: "the machine of an unresponsive worker is taken down", wave: late,
			machines: []Machine{cordoned(busy("a", 5*time.Second), 2*time.Second)}, want: Plan{TakeDown: []string{"a"}}},
		{name: "a machine with an uninterruptible task isn't taken down", wave: late,
			machines: []Machine{cordoned(uninterruptible, 9*time.Second)}, want: Plan{Stop: []string{"held"}}},
		{name: "a machine that isn't up is left alone", wave: late, machines: []Machine{{ID: "a", Empty: true}}},
	} {
		t.Run(c.name, func(t *testing.T) { must.Eq(t, c.want, Decide(c.wave, c.machines)) })
	}
}
