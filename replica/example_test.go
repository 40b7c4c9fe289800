package replica_test

import (
	"fmt"

	"github.com/bilberryferry/bilberryferry/replica"
)

// Example shows three diskless members that start without state, elect a leader and
// commit two commands. The loop drives the members: it ticks them, carries out each
// Ready, delivers the messages and calls Advance.
func Example() {
	members := []replica.Member{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	cores := map[string]*replica.Core{}
	for _, m := range members {
		core, err := replica.New(replica.Config{ID: m.ID, Incarnation: 1, Members: members}, replica.StoredState{})
		if err != nil {
			panic(err)
		}
		cores[m.ID] = core
	}
	proposed := false
	applied := map[string][]string{}
	for range 100 {
		for _, m := range members {
			core := cores[m.ID]
			core.Tick()
			if core.Status().CanDecide && !proposed {
				_, _, err := core.Propose([]byte("first"), []byte("second"))
				proposed = err == nil
			}
			for core.HasReady() {
				ready := core.Ready()
				for _, message := range ready.Messages {
					if err := cores[message.To].Step(message); err != nil {
						panic(err)
					}
				}
				for _, entry := range ready.Committed {
					if entry.Kind == replica.EntryCommand {
						applied[m.ID] = append(applied[m.ID], string(entry.Data))
					}
				}
				core.Advance(ready)
			}
		}
	}
	for _, m := range members {
		fmt.Println(m.ID, applied[m.ID])
	}
	// Output:
	// a [first second]
	// b [first second]
	// c [first second]
}
