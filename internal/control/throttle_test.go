package control

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// Guards against a wrong next CPU share of the tasks on spare CPU. The share must shrink
// while a serving task on the worker exceeds its latency objective or is close to it, grow
// while the latency is well below the objective, and otherwise stay.
func TestNextShareFollowsLatency(t *testing.T) {
	now := time.Now()
	old := now.Add(-throttleInterval)
	for _, c := range []struct {
		name     string
		throttle throttle
		ratio    float64
		want     int
	}{
		{"no serving task on the worker", throttle{share: 40, spare: true}, 9, fullShare},
		{"the first report with serving tasks", throttle{share: fullShare, serving: true, spare: true}, 0, initialShare},
		{"too soon after the last change", throttle{share: 40, serving: true, spare: true, changedAt: now}, 2, 40},
		{"over the objective", throttle{share: 40, serving: true, spare: true, changedAt: old}, 1.2, 10},
		{"near the objective", throttle{share: 40, serving: true, spare: true, changedAt: old}, 0.95, 20},
		{"below the minimum share", throttle{share: 10, serving: true, spare: true, changedAt: old}, 1.2, 0},
		{"well below", throttle{share: 95, serving: true, spare: true, changedAt: old}, 0.2, fullShare},
		{"between", throttle{share: 40, serving: true, spare: true, changedAt: old}, 0.8, 40},
	} {
		must.Eq(t, c.want, c.throttle.nextShare(c.ratio, now), must.Sprint(c.name))
	}
}

// Guards against a service that is slow for seconds because a batch job uses spare CPU on
// the same worker: when the latency of the service exceeds its objective, the batch task
// must be throttled.
func TestSpareTaskIsThrottledForLatency(t *testing.T) {
	cluster := newTestCluster(t, nil)
	cluster.workers.add("w1")
	cluster.announce("w1")
	serving := workflow.Step{Count: 1, Need: workflow.Resources{MilliCPU: 4000, MemoryMB: 10}, LongRunning: true, LatencyObjectiveMS: 50}
	spare := workflow.Step{Count: 1, Need: workflow.Resources{MilliCPU: 9000, MemoryMB: 10}, EstimateMS: 60_000, UsesSpareCPU: true}
	cluster.submit("a", serving)
	cluster.eventually("the service starts", func() bool { return cluster.started("w1") == 1 })
	cluster.submit("b", spare)
	share := func() (n int) {
		cluster.withWorker("w1", func(f *fakeWorker) {
			n = fullShare
			if s, ok := f.shares[task("b", 0)]; ok {
				n = s
			}
		})
		return n
	}
	cluster.eventually("the batch task starts at a small share", func() bool { return share() == initialShare })
	latency := func(ms int64) {
		cluster.withWorker("w1", func(f *fakeWorker) {
			r := f.running[task("a", 0)]
			r.Measured = ms
			f.running[r.Task] = r
		})
	}
	latency(70)
	cluster.eventually("the batch task pauses", func() bool { return share() == 0 })
	latency(10)
	cluster.eventually("the batch task continues", func() bool { return share() >= shareIncrement })
	must.Eq(t, 2, cluster.started("w1"), must.Sprint("the batch task was not moved"))
}
