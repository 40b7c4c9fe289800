package replica

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// learnerGroup is a group of voters and learners whose messages arrive at once. It counts the
// messages of the leader.
type learnerGroup struct {
	t        *testing.T
	leader   *Core
	cores    map[string]*Core
	order    []string
	learners []string
	// sent counts the leader's messages to each member since the last reset.
	sent map[string]int
}

func newLearnerGroup(t *testing.T, voters, learners int) *learnerGroup {
	g := &learnerGroup{t: t, cores: map[string]*Core{}, sent: map[string]int{}}
	var members []Member
	for i := range voters + learners {
		id := fmt.Sprintf("n%03d", i)
		members = append(members, Member{ID: id, HasDisk: true, Learner: i >= voters})
		g.order = append(g.order, id)
	}
	g.learners = g.order[voters:]
	for i, id := range g.order {
		c, err := New(Config{ID: id, Incarnation: 1, HasDisk: true, Members: members, ElectionTicks: 5, HeartbeatTicks: 1, Seed: uint64(i)},
			StoredState{HardState: HardState{Term: 1, Incarnation: 1}})
		must.NoError(t, err)
		g.cores[id] = c
	}
	for range 100 {
		g.tick()
		for _, id := range g.order {
			if c := g.cores[id]; c.Status().CanDecide {
				g.leader = c
			}
		}
		if g.leader != nil {
			break
		}
	}
	must.NotNil(t, g.leader)
	for range 20 {
		g.tick()
	}
	return g
}

// tick lets a tick of all members pass.
func (g *learnerGroup) tick() {
	for _, id := range g.order {
		g.cores[id].Tick()
	}
	g.deliver()
}

// deliver processes all Readys, and delivers all messages, until none is left.
func (g *learnerGroup) deliver() {
	for busy := true; busy; {
		busy = false
		for _, id := range g.order {
			c := g.cores[id]
			if !c.HasReady() {
				continue
			}
			busy = true
			r := c.Ready()
			c.Advance(r)
			for _, m := range r.Messages {
				if c == g.leader {
					g.sent[m.To]++
				}
				must.NoError(g.t, g.cores[m.To].Step(m))
			}
		}
	}
}

// sentToLearners returns how many messages the leader has sent to learners.
func (g *learnerGroup) sentToLearners() (total int) {
	for _, id := range g.learners {
		total += g.sent[id]
	}
	return total
}

// Guards against a leader that sends each learner a message for each commit and each read: with twenty
// learners they are four fifths of its messages, and the batches that this takes make commits late.
func TestLearnersGetEntriesOncePerTick(t *testing.T) {
	g := newLearnerGroup(t, 5, 20)
	clear(g.sent)
	for i := range 10 {
		_, _, err := g.leader.Propose([]byte("command"))
		must.NoError(t, err)
		must.NoError(t, g.leader.ReadIndex(uint64(i)))
		g.deliver()
		must.Eq(t, g.leader.Status().Last, g.leader.Status().Commit, must.Sprint("no commit waits for a learner"))
	}
	must.Eq(t, 0, g.sentToLearners())
	g.tick()
	must.Eq(t, len(g.learners), g.sentToLearners())
	for _, id := range g.learners {
		must.Eq(t, g.leader.Status().Last, g.cores[id].Status().Last, must.Sprint(id))
	}
}

// Guards against messages at each tick that grow with the number of learners, and against learners that
// are never due.
func TestLearnersBeyondOneTickTakeTurns(t *testing.T) {
	g := newLearnerGroup(t, 3, 3*learnersPerTick-1)
	_, _, err := g.leader.Propose([]byte("command"))
	must.NoError(t, err)
	for range 3 {
		clear(g.sent)
		g.tick()
		must.LessEq(t, learnersPerTick, g.sentToLearners())
	}
	for _, id := range g.learners {
		must.Eq(t, g.leader.Status().Last, g.cores[id].Status().Last, must.Sprint(id))
	}
}
