package control

import (
	"fmt"
	"strings"
	"time"

	"github.com/bilberryferry/bilberryferry/dispatch"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// loadEvery is the time between two lines on the load.
const loadEvery = time.Second

// noteLoad logs and counts, once a second, how much of the workers' room a
// decision left and what waits: whether a late job met a full cluster or one with
// room that it couldn't use. Only planLoop calls it.
func (t *tenure) noteLoad(v *view, plan *dispatch.Plan, now time.Time) {
	if now.Sub(t.loadAt) < loadEvery {
		return
	}
	t.loadAt = now
	var capacity, free workflow.Resources
	for i := range v.workers {
		w := &v.workers[i]
		capacity = capacity.Plus(w.Capacity)
		free = free.Plus(w.Unplanned)
	}
	tasks, gangs := 0, 0
	for i := range v.steps {
		tasks += len(v.steps[i].Pending)
		if v.steps[i].Spec.Gang {
			gangs++
		}
	}
	t.logger.Log("event", "load", "usable_workers", len(v.workers), "milli_cpu", capacity.MilliCPU, "free_milli_cpu", free.MilliCPU,
		"steps", len(v.steps), "tasks", tasks, "gangs", gangs, "started", len(plan.Starts), "waiting", len(plan.Waiting),
		"kept_back", t.keptBack(now))
	t.c.cfg.Counters.Set("usable_workers", int64(len(v.workers)))
	t.c.cfg.Counters.Set("free_milli_cpu", free.MilliCPU)
	t.c.cfg.Counters.Set("waiting_steps", int64(len(plan.Waiting)))
	t.c.cfg.Counters.Set("waiting_tasks", int64(tasks))
}

// keptBack counts the workers that get nothing new, by why.
func (t *tenure) keptBack(now time.Time) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []string
	for _, count := range t.obstacles(anyService, now) {
		list = append(list, fmt.Sprintf("%d: %s", count.Workers, count.Reason))
	}
	return strings.Join(list, "; ")
}
