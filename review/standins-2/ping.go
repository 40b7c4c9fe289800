package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// foreignPing sends, beside the pings of the minions, one ping of another writer for the id of each minion. It names a
// service that no desired state names, so it names no minion to use, and the minions' own pings hold.
func foreignPing(rec *record, target, folder string, trouble bool) bool {
	const (
		minionCount, cpu, need = 6, 16000, 4000
		runTime                = 2 * time.Second
		trafficTime            = 40 * time.Second
		// finishTime is finish_s, and 6 s for the longest lease.
		finishTime = 20 * time.Second
	)
	var minions []*minion
	platform := machineList("127.87.9.1", func() []*minion { return minions })
	c := newCluster(shape{cores: 3, edges: 2, coreMemoryMB: 280, edgeMemoryMB: 284, leaseMax: 10 * time.Second, network: "127.87"}, rec, target, folder, platform, platform)
	current = c
	c.boot(desired(1, []any{route("r-desk", "/desk/", "guest-desk")}, []any{service("guest-desk")}))
	var controls []string
	for _, p := range c.cores {
		controls = append(controls, p.control)
	}
	for i := range minionCount {
		minions = append(minions, newMinion(rec, fmt.Sprintf("i-%d", i+1), "guest-desk", fmt.Sprintf("127.87.5.%d", i+1), cpu, controls, runTime))
	}
	time.Sleep(4 * time.Second)

	var group sync.WaitGroup
	if trouble {
		group.Go(func() {
			time.Sleep(5 * time.Second)
			for i, m := range minions {
				ping := encode(map[string]any{
					"service": "desk-night", "address": fmt.Sprintf("127.87.7.%d:8080", i+1), "zone": m.zone, "version": "v1", "slot_count": 8, "state": "ready", "cold_remaining_ms": 0,
					"capacity": map[string]any{"cpu": cpu, "mem_mb": m.mem, "gpu": 0}, "labels": []string{"a", m.rack},
					name("field.clock"): 1000, name("field.sequence"): 1, "born": time.Now().UnixMilli(),
				})
				status, text := c.call("POST", controls[i%len(controls)], "control", name("path.worker")+m.id+"/heartbeat", ping, time.Second)
				rec.log("another writer's ping of %s, service desk-night: status %d %s", m.id, status, strings.TrimSpace(text))
				time.Sleep(time.Second)
			}
		})
	}
	var accepted []string
	for n, end := 0, time.Now().Add(trafficTime); time.Now().Before(end); n++ {
		path := fmt.Sprintf("/desk/%016x", n+1)
		body := encode(map[string]any{"spec": "x", "steps": []any{map[string]any{"count": 3, "cpu": need, "mem_mb": 1000, "estimate_ms": runTime.Milliseconds()}}})
		status, _ := c.call("POST", c.edges[n%2].front, "desk.example", path, body, 3*time.Second)
		if status == 200 {
			accepted = append(accepted, path)
		} else {
			rec.log("POST %s: status %d", path, status)
		}
		time.Sleep(400 * time.Millisecond)
	}
	group.Wait()
	time.Sleep(finishTime)
	open := 0
	for _, path := range accepted {
		status, text := c.call("GET", c.edges[0].front, "desk.example", path, "", 500*time.Millisecond)
		if text != `{"state":"done"}` {
			open++
			rec.log("GET %s: status %d %s", path, status, strings.TrimSpace(text))
		}
	}
	for _, m := range minions {
		m.mu.Lock()
		rec.log("%s runs %d tasks, and its heartbeats go on", m.id, len(m.running))
		m.mu.Unlock()
	}
	rec.log("%d jobs were accepted, %d of them aren't done", len(accepted), open)
	return open == 0
}
