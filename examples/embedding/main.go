// Command embedding replicates a register on three members in one process. It sets the
// register, stops the leader, and reads the value from the next leader.
package main

import (
	"fmt"

	"github.com/bilberryferry/bilberryferry/replica"
)

// member is one replica: the core, and the register that its log drives.
type member struct {
	core        *replica.Core
	stopped     bool
	register    string
	readResults map[uint64]string // of reads, by token
}

// group holds the members by ID and is their transport and their clock.
type group map[string]*member

// tickUntil ticks all running members until done returns true for a leader, and returns
// that leader.
func (g group) tickUntil(done func(*member) bool) *member {
	for {
		for _, m := range g {
			if m.stopped {
				continue
			}
			m.core.Tick()
			for m.core.HasReady() {
				g.handleReady(m, m.core.Ready())
			}
			if m.core.Status().CanDecide && done(m) {
				return m
			}
		}
	}
}

// handleReady does the work of one Ready. A member with a disk would first write
// and sync Snapshot, Entries and HardState.
func (g group) handleReady(m *member, ready replica.Ready) {
	for _, message := range ready.Messages {
		if to := g[message.To]; !to.stopped {
			_ = to.core.Step(message) // a refused message is treated as lost
		}
	}
	for _, entry := range ready.Committed {
		if entry.Kind == replica.EntryCommand {
			m.register = string(entry.Data)
		}
	}
	for _, read := range ready.Reads { // all entries up to read.Index have been applied
		m.readResults[read.Token] = m.register
	}
	m.core.Advance(ready)
}

func main() {
	members := []replica.Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	g := group{}
	for _, m := range members {
		core, err := replica.New(replica.Config{ID: m.ID, Incarnation: 1, Members: members}, replica.StoredState{})
		if err != nil {
			panic(err)
		}
		g[m.ID] = &member{core: core, readResults: map[uint64]string{}}
	}
	leader := g.tickUntil(func(m *member) bool {
		_, _, err := m.core.Propose([]byte("bay 7: offload"))
		return err == nil
	})
	g.tickUntil(func(m *member) bool { return m.register != "" })
	leader.stopped = true

	const token = 1
	next := g.tickUntil(func(m *member) bool { return m.core.ReadIndex(token) == nil })
	g.tickUntil(func(m *member) bool { return m.readResults[token] != "" })
	fmt.Println("another leader:", next != leader)
	fmt.Println("register:", next.readResults[token])
}
