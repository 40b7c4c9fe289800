package control

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// movedPolicy is the policy of queue q in newTestCluster with another service.
var movedPolicy = workflow.Policy{Service: "t", MaxAttempts: 3, Stretch: 2, ObjectiveMS: 100}

// setPolicy commits the next version of the configuration, in which queue q has a policy.
func (cluster *testCluster) setPolicy(p workflow.Policy) {
	version := cluster.controller.configurationVersion() + 1
	cluster.commit(&workflow.Command{Configuration: &workflow.Document{Version: version, Source: []byte("{}"), Queues: []workflow.Queue{
		{Name: "q", Host: "h", Prefix: "/q/", Policy: p},
	}}})
}

// announceFor sends a heartbeat of a worker of a service.
func (cluster *testCluster) announceFor(service, id string) {
	w := worker(id)
	w.Service = service
	_, err := cluster.controller.Announce(context.Background(), &Announcement{Worker: w})
	must.NoError(cluster.t, err)
}

// submitRepeated submits a job whose step is due twice: now and after the given time.
func (cluster *testCluster) submitRepeated(id string, step workflow.Step, every time.Duration) {
	_, err := cluster.controller.Submit(context.Background(), &SubmitCall{
		Address: JobAddress{Host: "h", Path: "/q/" + id, ID: id}, Payload: "payload", Steps: []workflow.Step{step},
		Schedule: workflow.Schedule{FirstAtMS: time.Now().UnixMilli(), EveryMS: every.Milliseconds(), Times: 2},
	})
	must.NoError(cluster.t, err)
}

// Guards against accepted jobs that wait for ever for the workers of a service that their queue has left.
func TestAcceptedJobStartsOnWorkersOfServiceThatItsQueueMovedTo(t *testing.T) {
	gang := oneTask
	gang.Count, gang.Gang = 2, true
	for name, step := range map[string]workflow.Step{"task": oneTask, "gang": gang} {
		t.Run(name, func(t *testing.T) {
			cluster := newTestCluster(t, nil)
			cluster.workers.add("w1")
			cluster.announceFor("t", "w1")
			cluster.submit("a", step)
			time.Sleep(noStartWait)
			must.Zero(t, cluster.started("w1"))
			cluster.setPolicy(movedPolicy)
			cluster.eventually("the tasks start on the new service", func() bool { return cluster.started("w1") == step.Count })
		})
	}
}

// Guards against a job that is moved while a part of it runs: the run goes on where it is, what follows starts on
// the workers of the new service.
func TestLaterOccurrenceStartsOnNewServiceWhileEarlierOneRunsOnOldOne(t *testing.T) {
	cluster := newTestCluster(t, nil)
	cluster.workers.add("w1")
	cluster.workers.add("w2")
	cluster.announceFor("s", "w1")
	cluster.announceFor("t", "w2")
	// A short run without progress would be stopped.
	step := oneTask
	step.EstimateMS = time.Minute.Milliseconds()
	cluster.submitRepeated("a", step, time.Second)
	cluster.eventually("the first occurrence starts", func() bool { return cluster.started("w1") == 1 })
	cluster.setPolicy(movedPolicy)
	cluster.eventually("the second occurrence starts", func() bool { return cluster.started("w2") == 1 })
	must.Eq(t, 1, cluster.started("w1"))
	cluster.withWorker("w1", func(w *fakeWorker) { must.MapLen(t, 1, w.running) })
}

// Guards against accepted jobs that start without tickets, and are refused for ever, after their queue got an adviser.
func TestAcceptedJobAsksAdviserThatItsQueueGotLater(t *testing.T) {
	cluster := newTestCluster(t, nil)
	cluster.workers.add("w1").needsTicket = true
	cluster.submit("a", oneTask)
	advised := movedPolicy
	advised.Service, advised.Advice = "s", &workflow.AdvicePolicy{BaseMS: 1, TicketValidityMS: 60_000}
	cluster.setPolicy(advised)
	cluster.announce("w1")
	cluster.eventually("the task starts", func() bool { return cluster.started("w1") == 1 })
	cluster.withWorker("w1", func(w *fakeWorker) { must.Zero(t, w.unticketed) })
}

// Guards against machines that move for the demand of runs which stay on workers of another service.
func TestRunsOfMovedQueueAreDemandWhereTheyRun(t *testing.T) {
	cluster := clusterWithStartedTask(t)
	cluster.setPolicy(movedPolicy)
	term, err := cluster.controller.currentLeaderTerm(t.Context())
	must.NoError(t, err)
	demand := func() (found map[string]int64) {
		term.c.state.read(func(s *workflow.State) { found = term.demandByService(s, time.Now()) })
		return found
	}
	must.Eq(t, map[string]int64{"s": oneTask.Need.MilliCPU, "t": 0}, demand())
	cluster.submit("b", oneTask)
	must.Eq(t, map[string]int64{"s": oneTask.Need.MilliCPU, "t": oneTask.Need.MilliCPU}, demand())
}
