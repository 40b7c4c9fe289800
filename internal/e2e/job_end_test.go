package e2e

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
)

// TestJobIsEndedAtItsDeadline guards against tasks that run far longer than declared and
// occupy their workers past the job's deadline. The job must fail at its deadline, and the
// next job must get the workers.
func TestJobIsEndedAtItsDeadline(t *testing.T) {
	c := newCluster(t, "rackwise", oneDataCentre)
	c.workers(1)
	customer := c.customer(0)
	spec := batchSpec("report", 16, 200, true)
	spec.Payload = []byte(`{"runtime_ms": 600000}`)
	spec.DeadlineUnixMs = time.Now().Add(3 * time.Second).UnixMilli()
	job := customer.awaitEnd(customer.submit("overdue", spec).Id)
	must.Eq(t, apiv1.JobState_JOB_STATE_FAILED, job.State)
	must.Eq(t, "DeadlineUnreachable", job.ReasonKind)
	must.Eq(t, apiv1.JobState_JOB_STATE_FINISHED, customer.awaitEnd(customer.submit("next", batchSpec("report", 16, 50, true)).Id).State)
	c.checkNoViolations()
}

// TestEventTimelineSurvivesLeaderLoss guards against gaps in the event timeline of a job
// when the leader that recorded its start is killed with its memory. The timeline must
// contain the start and the later events of the next leader, in causal order.
func TestEventTimelineSurvivesLeaderLoss(t *testing.T) {
	c := newCluster(t, "rackwise", oneDataCentre)
	c.workers(2)
	customer := c.customer(0)
	id := customer.submit("told", batchSpec("report", 1, 4000, true)).Id
	c.eventually("the job runs", func() bool { return customer.status(id).State == apiv1.JobState_JOB_STATE_RUNNING })
	dataCentre := c.deployment.Settings.DataCentres()[0]
	killedLeader := c.leader(dataCentre)
	c.kill(killedLeader + "/cell")
	must.Eq(t, apiv1.JobState_JOB_STATE_FINISHED, customer.awaitEnd(id).State)
	ctx, operations := c.operatorClients()
	response, err := operations[0].Events(ctx, &apiv1.EventsRequest{Subject: id})
	must.NoError(t, err)
	must.Eq(t, []string{killedLeader + "/cell"}, response.UnreachableInstances)
	var kinds []string
	for i, e := range response.Events {
		kinds = append(kinds, e.Kind)
		if i > 0 {
			must.LessEq(t, e.WallMs, response.Events[i-1].WallMs)
		}
	}
	must.Eq(t, []string{"job accepted", "attempt started", "attempt ended", "job ended"}, kinds)
	must.Eq(t, killedLeader+"/cell", response.Events[1].Instance)
	must.NotEq(t, killedLeader+"/cell", response.Events[2].Instance)
}
