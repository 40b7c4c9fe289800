package main

import (
	"fmt"
	"strings"
	"time"
)

// lastingTask is a job of one step that lasts, with the given number of small tasks and further fields.
func lastingTask(count int, further string) string {
	return fmt.Sprintf(`{"spec":"{\"run_ms\":500,\"lasts\":true}","steps":[{"count":%d,"cpu":1000,"mem_mb":256,"estimate_ms":500,`+
		`"long_running":true,"%s":1%s}]}`, count, wire("field.mayinterrupt"), further)
}

// lastingCase: each of eight workers runs one small task that lasts, and one of them runs the only task of a
// second job that lasts. That worker crashes for good. Rule LOST: from 6 s after its last run, the task may
// not be without a run for 3 calm seconds, while there is room for it.
func lastingCase(rec *recorder, repo string, trouble bool) bool {
	const workers = 8
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
	c.submit("00000000000000c1", lastingTask(workers, `,"`+wire("field.spread")+`":1`))
	const task = "00000000000000c2.0.0.0"
	c.submit("00000000000000c2", lastingTask(1, ""))
	find := func() *worker {
		for _, w := range fleet {
			if strings.Contains(w.taskNames(), task) {
				return w
			}
		}
		return nil
	}
	until("all tasks that last run", 10*time.Second, func() bool {
		total := 0
		for _, w := range fleet {
			total += w.runs()
		}
		return total == workers+1
	})
	time.Sleep(3 * time.Second)
	first := find()
	rec.logf("worker %s runs %s", first.id, first.taskNames())
	if trouble {
		first.terminate("it crashes for good")
	}
	crashed := time.Now()
	// calm is the time without a run of the task since it has to run again.
	calm := time.Duration(0)
	const step = 50 * time.Millisecond
	for time.Since(crashed) < 40*time.Second && calm < 20*time.Second {
		time.Sleep(step)
		switch {
		case find() != nil:
			calm = 0
		case time.Since(crashed) > 10*time.Second:
			calm += step
		}
	}
	c.call("GET", c.entry[0], "/q/00000000000000c2", "")
	if w := find(); w != nil {
		rec.logf("task %s runs on worker %s at the end, after %.1f s", task, w.id, time.Since(crashed).Seconds())
		return false
	}
	rec.logf("LOST: task %s runs nowhere %.1f s after the crash; on each of the %d other workers 1 of 16 cores is in use", task,
		time.Since(crashed).Seconds(), workers-1)
	return calm > 3*time.Second
}

// idleCase: each worker runs one small task that lasts, at 100 percent. Then an ordinary job is handed
// in. Rule LOST: it may not have nothing running for 3 s while its turn has come and there is room for it
// twice over, with under half of the capacity in use. Without trouble there is no job that lasts.
func idleCase(rec *recorder, repo string, trouble bool) bool {
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
		c.submit("00000000000000c1", lastingTask(workers, `,"`+wire("field.spread")+`":1`))
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
