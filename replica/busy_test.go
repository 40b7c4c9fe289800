package replica

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// burstMember is a member that gets the processor only once in a while: it then makes up for its missed
// ticks and processes all messages that have come meanwhile.
type burstMember struct {
	core  *Core
	inbox []Message
	// nextTurn is the tick of its next turn.
	nextTurn int
}

// burstGroup is a group of burstMembers.
type burstGroup struct {
	t       *testing.T
	members map[string]*burstMember
	order   []string
	now     int
}

func newBurstGroup(t *testing.T, size int) *burstGroup {
	g := &burstGroup{t: t, members: map[string]*burstMember{}}
	var members []Member
	for i := range size {
		g.order = append(g.order, fmt.Sprint("n", i))
		members = append(members, Member{ID: g.order[i], HasDisk: true})
	}
	for i, id := range g.order {
		c, err := New(Config{ID: id, Incarnation: 1, HasDisk: true, Members: members, ElectionTicks: 5, HeartbeatTicks: 1, Seed: uint64(i)},
			StoredState{HardState: HardState{Term: 1, Incarnation: 1}})
		must.NoError(t, err)
		g.members[id] = &burstMember{core: c, nextTurn: i}
	}
	return g
}

// run lets ticks pass, with a turn of each member every period ticks.
func (g *burstGroup) run(ticks, period int) {
	for range ticks {
		g.now++
		for _, id := range g.order {
			if m := g.members[id]; g.now >= m.nextTurn {
				m.nextTurn = g.now + period
				g.turn(m, period)
			}
		}
	}
}

func (g *burstGroup) turn(m *burstMember, ticks int) {
	messages := m.inbox
	m.inbox = nil
	for range ticks {
		m.core.Tick()
	}
	for _, message := range messages {
		must.NoError(g.t, m.core.Step(message))
	}
	for m.core.HasReady() {
		r := m.core.Ready()
		for _, message := range r.Messages {
			if to := g.members[message.To]; to != nil {
				to.inbox = append(to.inbox, message)
			}
		}
		m.core.Advance(r)
	}
}

func (g *burstGroup) term() (highest uint64) {
	for _, m := range g.members {
		highest = max(highest, m.core.Status().Term)
	}
	return highest
}

// Guards against elections that never stop on a busy machine: each member gets the processor less often than
// the shortest election timeout, so that each new leader is replaced before it has done anything.
func TestElectionsStopWhenAllMembersAreBusy(t *testing.T) {
	const settleTicks, ticks, maxElections = 600, 2000, 2
	for _, size := range []int{3, 5} {
		for _, period := range []int{1, 3, 5, 6, 7, 8} {
			g := newBurstGroup(t, size)
			g.run(settleTicks, period)
			before := g.term()
			g.run(ticks, period)
			must.LessEq(t, maxElections, g.term()-before, must.Sprint("members ", size, ", a turn every ", period, " ticks"))
		}
	}
}
