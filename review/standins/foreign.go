package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"time"
)

// foreignCase: nine workers run a task each. Then one ping comes from another writer: a program of
// another service that started later on the same machine and uses the same id. Its service isn't one
// that the desired state names, so the ping names no worker to use, and the pings of the worker hold.
// Rule TWICE: no task may run on another worker while the first one runs it.
func foreignCase(rec *recorder, repo string, trouble bool) bool {
	const workers = 10
	c := newCluster(rec, repo)
	defer c.stopAll()
	c.startAll()
	runs := newLedger()
	var fleet []*worker
	for i := range workers {
		w := newWorker(rec, runs, fmt.Sprintf("i-%02d", i), zoneOf(i), 16000, c.control)
		defer w.terminate("the case is over")
		fleet = append(fleet, w)
	}
	c.configure(3)
	time.Sleep(2 * heartbeatInterval)
	// One task of this size fits on a worker, and one worker stays free.
	c.submit("00000000000000b1", `{"spec":"{\"run_ms\":20000}","steps":[{"count":9,"cpu":9000,"mem_mb":1024,"estimate_ms":20000}]}`)
	until("nine workers run a task", 10*time.Second, func() bool {
		busy := 0
		for _, w := range fleet {
			busy += min(1, w.runs())
		}
		return busy == workers-1
	})
	time.Sleep(5 * time.Second)
	target := fleet[0]
	for _, w := range fleet {
		if w.runs() > 0 {
			target = w
			break
		}
	}
	rec.logf("worker %s is up and runs %s", target.id, target.taskNames())
	other := httptest.NewServer(http.NotFoundHandler())
	defer other.Close()
	if trouble {
		sendForeignPing(rec, c.control[0], target, other.Listener.Addr().String())
	}
	time.Sleep(8 * time.Second)
	rec.logf("worker %s runs %s", target.id, target.taskNames())
	return runs.together(rec) > 0
}

// sendForeignPing sends a ping of another program under the id of a worker. All fields are there and of
// their types; the service is one that no desired state names.
func sendForeignPing(rec *recorder, control string, target *worker, address string) {
	body, err := json.Marshal(map[string]any{
		"service": "billing", "address": address, "zone": target.zone, "version": "v7", "slot_count": 4, "state": "ready", "cold_remaining_ms": 0,
		"capacity": map[string]any{"cpu": target.cpu, "mem_mb": 65536, "gpu": 0}, "labels": []string{"a", "r-" + target.zone},
		wire("field.clock"): 1000, wire("field.sequence"): 1, "born": time.Now().UnixMilli() - 1000,
	})
	if err != nil {
		cannotRun("encode a ping: %v", err)
	}
	response, err := callers.Post("http://"+control+wire("path.worker")+target.id+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		cannotRun("the ping of the other writer: %v", err)
	}
	defer response.Body.Close()
	answer, _ := io.ReadAll(response.Body)
	rec.logf("another writer: ping under the id %s to %s: %s -> %d %s", target.id, control, body, response.StatusCode, bytes.TrimSpace(answer))
}
