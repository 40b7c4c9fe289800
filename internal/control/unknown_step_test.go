package control

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// Guards against a worker's report that ends the leader, and each leader after it: it lists a run of a step that the
// job doesn't have.
func TestReportOfUnknownStepIsHandled(t *testing.T) {
	cluster := clusterWithStartedTask(t)
	unknown := workflow.TaskKey{StepKey: workflow.StepKey{Job: "a", Step: 7}}
	cluster.withWorker("w1", func(f *fakeWorker) { f.running[unknown] = Running{Task: unknown, Number: 1} })
	cluster.eventually("the unknown run is stopped", func() (stopped bool) {
		cluster.withWorker("w1", func(f *fakeWorker) { stopped = f.stopped[unknown] == 1 })
		return stopped
	})
	must.Eq(t, 1, cluster.started("w1"))
}
