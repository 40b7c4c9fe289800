package main

import (
	"fmt"
	"sync"
	"time"
)

// movedQueue moves a queue to another service while a scheduled job of the queue is accepted, and then takes the
// minions of the old service away. The later occurrences must run on the minions of the new service.
func movedQueue(rec *record, target, folder string, trouble bool) bool {
	const (
		occurrences = 12
		interval    = 4 * time.Second
		// waitLimit is how long a task whose turn has come may have nothing running although there is room. The rule
		// says 3 s, after 4 s of calm.
		waitLimit = 15 * time.Second
	)
	var minions []*minion
	platform := machineList("127.84.9.1", func() []*minion { return minions })
	c := newCluster(shape{cores: 3, edges: 2, coreMemoryMB: 280, edgeMemoryMB: 284, leaseMax: 10 * time.Second, network: "127.84"}, rec, target, folder, platform, platform)
	current = c
	c.boot(desired(1, []any{route("r-old", "/night/", "desk-old")}, []any{service("desk-old"), service("desk-new")}))
	var controls []string
	for _, p := range c.cores {
		controls = append(controls, p.control)
	}
	var mu sync.Mutex
	begun := map[string]time.Time{}
	for i := range 5 {
		for _, s := range []string{"desk-old", "desk-new"} {
			if i == 4 && s == "desk-old" {
				continue
			}
			m := newMinion(rec, fmt.Sprintf("i-%s-%d", s[5:], i+1), s, fmt.Sprintf("127.84.5.%d", i+1), 32000, controls, time.Second)
			m.onStart = func(_ *minion, task string, _ int) {
				mu.Lock()
				defer mu.Unlock()
				if _, ok := begun[task]; !ok {
					begun[task] = time.Now()
				}
			}
			minions = append(minions, m)
		}
	}
	time.Sleep(4 * time.Second)

	const id = "5c0e7a21d94b36f8"
	first := time.Now().Add(2 * time.Second)
	body := encode(map[string]any{
		"spec": "folio", "steps": []any{map[string]any{"count": 2, "cpu": 2000, "mem_mb": 1000, "estimate_ms": 1000}},
		name("field.startat"): first.UnixMilli(), "interval_ms": interval.Milliseconds(), name("field.times"): occurrences,
	})
	status, _ := c.call("POST", c.edges[0].front, "desk.example", "/night/"+id, body, 3*time.Second)
	rec.log("the scheduled job is handed in: status %d", status)
	if status != 200 {
		cannotRun("the job wasn't accepted")
	}
	time.Sleep(9 * time.Second)
	if trouble {
		status, _ = c.control("POST", name("path.configure"), desired(2, []any{route("r-new", "/night/", "desk-new")}, []any{service("desk-old"), service("desk-new")}), 10*time.Second)
		rec.log("the queue moves to the service desk-new: status %d", status)
		if status != 200 {
			cannotRun("the desired state wasn't acknowledged")
		}
		time.Sleep(2 * time.Second)
		for _, m := range minions {
			if m.service == "desk-old" {
				m.leave(2 * time.Second)
				time.Sleep(time.Second)
			}
		}
	}
	time.Sleep(time.Until(first.Add(time.Duration(occurrences-1)*interval + waitLimit)))
	state, text := c.call("GET", c.edges[1].front, "desk.example", "/night/"+id, "", 3*time.Second)
	rec.log("the job is asked for: status %d %s", state, text)
	// A new job of the same queue shows that the new service has room.
	status, _ = c.call("POST", c.edges[0].front, "desk.example", "/night/00000000000000aa", `{"spec":"check","steps":[{"count":2,"cpu":2000,"mem_mb":1000,"estimate_ms":1000}]}`, 3*time.Second)
	time.Sleep(4 * time.Second)
	_, check := c.call("GET", c.edges[1].front, "desk.example", "/night/00000000000000aa", "", 3*time.Second)
	rec.log("a new job of the queue: status %d, then %s", status, check)
	mu.Lock()
	defer mu.Unlock()
	missing := 0
	for k := range occurrences {
		for i := range 2 {
			task := fmt.Sprintf("%s.%d.0.%d", id, k, i)
			if _, ok := begun[task]; !ok {
				missing++
				rec.log("task %s, due at %.1f s, has never begun", task, first.Add(time.Duration(k)*interval).Sub(rec.started).Seconds())
			}
		}
	}
	return missing == 0
}
