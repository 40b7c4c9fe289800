package main

import (
	"fmt"
	"time"
)

// leaveCase: a worker drains and deregisters while the network to it is cut one way. The system has
// received the deregistration; its confirmation doesn't arrive, so the worker runs on for some
// seconds, as its page says. Rule TWICE: no task may run on another worker at the same time.
func leaveCase(rec *recorder, repo string, trouble bool) bool {
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
	c.submit("00000000000000a1", `{"spec":"{\"run_ms\":20000}","steps":[{"count":9,"cpu":9000,"mem_mb":1024,"estimate_ms":20000}]}`)
	until("nine workers run a task", 10*time.Second, func() bool {
		busy := 0
		for _, w := range fleet {
			busy += min(1, w.runs())
		}
		return busy == workers-1
	})
	leaver := fleet[0]
	for _, w := range fleet {
		if w.runs() > 0 {
			leaver = w
			break
		}
	}
	time.Sleep(2 * time.Second)
	rec.logf("worker %s is to leave; it runs %s", leaver.id, leaver.taskNames())
	leaver.drain()
	time.Sleep(drainTime + 500*time.Millisecond)
	if trouble {
		rec.logf("the network to worker %s is cut one way: nothing from the system arrives there any more", leaver.id)
		leaver.link.cutOneWay()
	}
	time.Sleep(300 * time.Millisecond)
	if !leaver.deregister() {
		// Without a confirmation it ends anyway, some seconds later.
		time.Sleep(time.Second)
	}
	leaver.terminate("it leaves")
	time.Sleep(8 * time.Second)
	return runs.together(rec) > 0
}
