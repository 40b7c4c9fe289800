package routing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/bilberryferry/bilberryferry/routing"
)

// restartEntry stops an entry instance and starts it again after 1 s.
func restartEntry(r *loadRun) {
	e := r.entries[0]
	e.up = false
	r.schedule(r.now+time.Second, func() { r.startEntry(e) })
}

// loseEntry stops an entry instance for the rest of the run.
func loseEntry(r *loadRun) { r.entries[0].up = false }

// loseLeader stops the leader; after 3 s a new leader without state takes over.
func loseLeader(r *loadRun) {
	r.hasLeader = false
	r.schedule(r.now+3*time.Second, func() {
		r.hasLeader = true
		r.allocator = routing.NewAllocator(routing.LeaseOptions{})
		var ids []string
		for _, e := range r.entries {
			ids = append(ids, e.id)
		}
		r.allocator.Lead(2, ids, r.now)
	})
}

// loseLeaderAndEntry stops the leader and an entry instance at the same time.
func loseLeaderAndEntry(r *loadRun) {
	loseEntry(r)
	loseLeader(r)
}

// removeHalfOfMinions makes half of the minions leave.
func removeHalfOfMinions(r *loadRun) {
	for _, m := range r.minionList[:len(r.minionList)/2] {
		m.Leaving = true
		r.allocator.Leave(m.Minion, m.Incarnation, r.now)
	}
}

// BenchmarkLoad simulates overload, faults of minions, lost processes, a flood of
// requests of one customer and the policies, and reports the requests completed in
// time. "ours" is a run with a Balancer, "baseline" one that sends each request to a
// random minion.
func BenchmarkLoad(b *testing.B) {
	var cases []loadCase
	for _, load := range []float64{0.5, 1, 2, 3, 5} {
		for _, baseline := range []bool{false, true} {
			cases = append(cases, loadCase{name: fmt.Sprintf("overload-%vx", load), load: load, baseline: baseline})
		}
	}
	faults := []string{slow: "slow", hanging: "hanging", failing: "failing", gone: "gone"}
	for fault := slow; fault <= gone; fault++ {
		for _, baseline := range []bool{false, true} {
			cases = append(cases, loadCase{name: faults[fault] + "-1of10", load: 0.7, fault: fault, faulty: 1, baseline: baseline})
		}
	}
	cases = append(cases,
		loadCase{name: "gone-half", load: 0.7, fault: gone, faulty: 5},
		loadCase{name: "gone-half", load: 0.7, fault: gone, faulty: 5, baseline: true},
		loadCase{name: "failing-half", load: 0.45, fault: failing, faulty: 5},
		loadCase{name: "leaving-half", load: 0.45, event: removeHalfOfMinions},
		loadCase{name: "entry-restart", load: 0.9, event: restartEntry},
		loadCase{name: "entry-restart-2-entries", load: 0.9, event: restartEntry, entries: 2, minions: 10},
		loadCase{name: "entry-restart-9-entries", load: 0.9, event: restartEntry, entries: 9, minions: 50},
		loadCase{name: "entry-lost", load: 0.9, event: loseEntry},
		loadCase{name: "leader-lost", load: 0.9, event: loseLeader},
		loadCase{name: "leader-and-entry-lost", load: 0.9, event: loseLeaderAndEntry},
		loadCase{name: "flood", load: 3, flood: 0.9},
		loadCase{name: "flood", load: 3, flood: 0.9, baseline: true},
	)
	for policy, name := range []string{"least-loaded", "two-choices", "random"} {
		for fault := slow; fault <= failing; fault++ {
			cases = append(cases, loadCase{
				name: fmt.Sprintf("policy-%s-%s", name, faults[fault]), load: 0.7, policy: routing.Policy(policy),
				entries: 2, minions: 10, fault: fault, faulty: 1,
			})
		}
		for _, load := range []float64{0.3, 0.7, 0.9, 0.95} {
			cases = append(cases, loadCase{
				name: fmt.Sprintf("policy-%s-%v", name, load), load: load, policy: routing.Policy(policy),
				entries: 9, minions: 50,
			})
		}
	}
	for _, c := range cases {
		if c.entries == 0 {
			c.entries, c.minions = 6, 10
		}
		kind := "ours"
		if c.baseline {
			kind = "baseline"
		}
		b.Run(c.name+"/"+kind, func(b *testing.B) {
			for range b.N {
				r := newLoadRun(c)
				r.run()
				r.report(b)
			}
		})
	}
}
