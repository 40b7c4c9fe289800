package dispatch

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// Guards against a job that takes the memory of the leader, and of each leader after it: all of its tasks, which demand
// nothing, started on one worker.
func TestTasksWithoutDemandDontAllStartOnOneWorker(t *testing.T) {
	const tasks = 5 * MaxRunsPerWorker
	free := step("a", tasks, 0)
	free.Spec.Need = workflow.Resources{}
	plan := Decide(0, []Step{free}, workers(16, 16), limits)
	onWorker := map[string]int{}
	for _, start := range plan.Starts {
		onWorker[start.Worker]++
	}
	must.Eq(t, map[string]int{"w0": MaxRunsPerWorker, "w1": MaxRunsPerWorker}, onWorker)

	busy := workers(16, 16)
	busy[0].Runs, busy[1].Runs = MaxRunsPerWorker, MaxRunsPerWorker-1
	must.Len(t, 1, Decide(0, []Step{free}, busy, limits).Starts)
}
