package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// droppedRoute drops a route whose prefix begins with the prefix of another route. A request that repeats a job of the
// dropped route arrives after that. The job remains one job, so nothing may run for the repeated request.
func droppedRoute(rec *record, target, folder string, trouble bool) bool {
	var minions []*minion
	platform := machineList("127.85.9.1", func() []*minion { return minions })
	c := newCluster(shape{cores: 3, edges: 2, coreMemoryMB: 280, edgeMemoryMB: 284, leaseMax: 10 * time.Second, network: "127.85"}, rec, target, folder, platform, platform)
	current = c
	desk, night := route("r-desk", "/desk/", "guest-desk"), route("r-night", "/desk/night/", "guest-desk")
	c.boot(desired(1, []any{desk, night}, []any{service("guest-desk")}))
	var controls []string
	for _, p := range c.cores {
		controls = append(controls, p.control)
	}
	var mu sync.Mutex
	var begun []string
	for i := range 4 {
		m := newMinion(rec, fmt.Sprintf("i-%d", i+1), "guest-desk", fmt.Sprintf("127.85.5.%d", i+1), 32000, controls, 800*time.Millisecond)
		m.onStart = func(_ *minion, task string, _ int) {
			mu.Lock()
			defer mu.Unlock()
			begun = append(begun, task)
		}
		minions = append(minions, m)
	}
	time.Sleep(4 * time.Second)

	const id, path = "5c0e7a21d94b36f8", "/desk/night/5c0e7a21d94b36f8"
	const body = `{"spec":"charge the guest of room 12","steps":[{"count":2,"cpu":2800,"mem_mb":1000,"estimate_ms":800}]}`
	status, _ := c.call("POST", c.edges[0].front, "desk.example", path, body, 3*time.Second)
	rec.log("POST %s: status %d", path, status)
	if status != 200 {
		cannotRun("the job wasn't accepted")
	}
	time.Sleep(3 * time.Second)
	_, text := c.call("GET", c.edges[0].front, "desk.example", path, "", 3*time.Second)
	rec.log("GET %s: %s", path, text)
	if text != `{"state":"done"}` {
		cannotRun("the job didn't end")
	}
	if trouble {
		status, _ = c.control("POST", name("path.configure"), desired(2, []any{desk}, []any{service("guest-desk")}), 10*time.Second)
		rec.log("the route /desk/night/ is dropped: status %d", status)
		if status != 200 {
			cannotRun("the desired state wasn't acknowledged")
		}
	}
	// config_apply_ms is 2 s.
	time.Sleep(4 * time.Second)
	status, text = c.call("POST", c.edges[1].front, "desk.example", path, body, 3*time.Second)
	rec.log("the repeated POST %s arrives: status %d %s", path, status, strings.TrimSpace(text))
	time.Sleep(4 * time.Second)
	status, text = c.call("GET", c.edges[1].front, "desk.example", path, "", 3*time.Second)
	rec.log("GET %s: status %d %s", path, status, strings.TrimSpace(text))

	mu.Lock()
	defer mu.Unlock()
	unasked := 0
	for _, task := range begun {
		if !strings.HasPrefix(task, id+".") {
			unasked++
			rec.log("a minion was told to start %s, which no client has sent", task)
		}
	}
	rec.log("%d tasks were started for a job of 2 tasks", len(begun))
	return unasked == 0 && len(begun) == 2
}
