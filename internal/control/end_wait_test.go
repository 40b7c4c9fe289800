package control

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// stateOf returns what a caller is shown of a job.
func (cluster *testCluster) stateOf(job string) workflow.Phase {
	reply, err := cluster.controller.State(context.Background(), &StateCall{Address: JobAddress{Host: "h", Path: "/q/" + job, ID: job}})
	must.NoError(cluster.t, err)
	return reply.Phase
}

// holdCommitsOfEnds makes each commit of ends wait until release is called. reached is closed when the
// first one waits.
func (cluster *testCluster) holdCommitsOfEnds() (reached <-chan struct{}, release func()) {
	arrived, released := make(chan struct{}), make(chan struct{})
	once := false
	cluster.log.mu.Lock()
	defer cluster.log.mu.Unlock()
	cluster.log.beforeApply = func(c workflow.Command) {
		if c.Ends == nil {
			return
		}
		if !once {
			once = true
			close(arrived)
		}
		<-released
	}
	return arrived, func() { close(released) }
}

// clusterWithPatientCallers is clusterWithStartedTask with waits that are long enough for any machine.
func clusterWithPatientCallers(t *testing.T) *testCluster {
	cluster := newTestCluster(t, func(cluster *testCluster) {
		cluster.commit(&workflow.Command{Configuration: &workflow.Document{Version: 2, Source: []byte("{}"), Queues: []workflow.Queue{
			{Name: "q", Host: "h", Prefix: "/q/", Policy: workflow.Policy{Service: "s", MaxAttempts: 3, Stretch: 2, ObjectiveMS: 600_000}},
		}}})
	})
	term, err := cluster.controller.currentLeaderTerm(context.Background())
	must.NoError(t, err)
	term.mu.Lock()
	term.endWaits.reportWait, term.endWaits.commitWait = time.Minute, time.Minute
	term.mu.Unlock()
	cluster.workers.add("w1")
	cluster.announce("w1")
	cluster.submit("a", oneTask)
	cluster.eventually("the task starts", func() bool { return cluster.started("w1") == 1 })
	return cluster
}

// Guards against this failure: a caller that asks after the last task has ended is told that the job is
// active, although the worker has reported the end, and learns of it only by its next request.
func TestStateShowsEndThatIsBeingCommitted(t *testing.T) {
	cluster := clusterWithPatientCallers(t)
	reached, release := cluster.holdCommitsOfEnds()
	cluster.withWorker("w1", func(f *fakeWorker) { f.finish(task("a", 0), workflow.OutcomeDone) })
	<-reached
	time.AfterFunc(eventuallyInterval, release)
	must.Eq(t, workflow.PhaseDone, cluster.stateOf("a"))
	term, err := cluster.controller.currentLeaderTerm(context.Background())
	must.NoError(t, err)
	cluster.eventually("nothing is left of the wait", func() bool {
		term.mu.Lock()
		defer term.mu.Unlock()
		return term.endWaits.callers == 0 && len(term.endWaits.waiting) == 0 && len(term.endWaits.committing) == 0
	})
}

// Guards against this failure: callers of a job that never ends, or whose end can't be near, are answered late.
func TestStateOfJobThatCannotEndIsAnsweredImmediately(t *testing.T) {
	cluster := clusterWithPatientCallers(t)
	longRunning := oneTask
	longRunning.LongRunning = true
	cluster.submit("b", longRunning)
	tooLarge := oneTask
	tooLarge.Need.MilliCPU = 2 * tenCores.MilliCPU
	cluster.submit("c", tooLarge)
	cluster.eventually("the long-running task starts", func() bool { return cluster.started("w1") == 2 })
	term, err := cluster.controller.currentLeaderTerm(context.Background())
	must.NoError(t, err)
	for _, job := range []string{"b", "c"} {
		must.Eq(t, 0, term.reportWaitOf(job))
	}
	must.Positive(t, term.reportWaitOf("a"))
}

// Guards against this failure: a caller that asks while the report of the last end is still on its way
// learns of the end only by its next request.
func TestStateShowsEndWhoseReportIsOnItsWay(t *testing.T) {
	cluster := clusterWithPatientCallers(t)
	time.AfterFunc(eventuallyInterval, func() {
		cluster.withWorker("w1", func(f *fakeWorker) { f.finish(task("a", 0), workflow.OutcomeDone) })
	})
	must.Eq(t, workflow.PhaseDone, cluster.stateOf("a"))
}
