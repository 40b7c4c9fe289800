package main

import (
	"fmt"
	"strings"
	"time"
)

// lastingCase: each worker runs one small task that lasts, at 100 percent. Then an ordinary job is handed
// in. Rule LOST: it may not have nothing running for 3 s while its turn has come and there is room for it
// twice over, with under half of the capacity in use. Without trouble there is no job that lasts.
func lastingCase(rec *recorder, repo string, trouble bool) bool {
	const workers = 6
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
	if trouble {
		c.submit("00000000000000c1", `{"spec":"{\"run_ms\":500,\"lasts\":true}","steps":[{"count":6,"cpu":1000,"mem_mb":256,"estimate_ms":500,"anti_affinity":1,"long_running":true,"may_miss":1}]}`)
		until("each worker runs a task that lasts", 10*time.Second, func() bool {
			busy := 0
			for _, w := range fleet {
				busy += min(1, w.runs())
			}
			return busy == workers
		})
	}
	time.Sleep(4 * time.Second)
	const job = "00000000000000c2"
	c.submit(job, `{"spec":"{\"run_ms\":300}","steps":[{"count":2,"cpu":1000,"mem_mb":256,"estimate_ms":300}]}`)
	accepted := time.Now()
	begun := time.Duration(-1)
	for time.Since(accepted) < 20*time.Second && begun < 0 {
		time.Sleep(50 * time.Millisecond)
		runs.mu.Lock()
		for task, all := range runs.runs {
			if strings.HasPrefix(task, job) {
				begun = all[0].began.Sub(accepted)
			}
		}
		runs.mu.Unlock()
	}
	state := c.call("GET", c.entry[0], "/q/"+job, "")
	if begun < 0 {
		rec.logf("LOST: no task of job %s has begun %d s after it was accepted (%s); 1 of 16 cores of each worker is in use", job,
			int(time.Since(accepted).Seconds()), strings.TrimSpace(state.body))
		return true
	}
	rec.logf("the first task of job %s began %d ms after it was accepted", job, begun.Milliseconds())
	return begun > 3*time.Second
}
