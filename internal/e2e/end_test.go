package e2e

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
)

// What a user sees: work that runs far longer than declared gets its final
// answer when its deadline passes, and its workers are free again.
// Order: a job is accepted on its declared run time; it runs on; its deadline
// passes; another job gets the workers.
// Cause: declared run times are far off.
func TestJobIsEndedAtItsDeadline(t *testing.T) {
	c := newCluster(t, "rackwise", oneDataCentre)
	c.workers(1)
	customer := c.customer(0)
	spec := batch("report", 16, 200, true)
	spec.Payload = []byte(`{"runtime_ms": 600000}`)
	spec.DeadlineUnixMs = time.Now().Add(3 * time.Second).UnixMilli()
	job := customer.awaitEnd(customer.submit("overdue", spec).Id)
	must.Eq(t, apiv1.JobState_JOB_STATE_FAILED, job.State)
	must.Eq(t, "DeadlineUnreachable", job.ReasonKind)
	must.Eq(t, apiv1.JobState_JOB_STATE_FINISHED, customer.awaitEnd(customer.submit("next", batch("report", 16, 50, true)).Id).State)
	c.checkNoViolations()
}

// What a user sees: after the leader was lost, one line of events tells what
// became of a job, in causal order, the start before its loss included.
// Order: a job starts; the leader is killed; the job ends under the next one;
// an operator asks for the events of the job.
// Cause: the instance that recorded the start took its memory with it.
func TestEventTimelineSurvivesLeaderLoss(t *testing.T) {
	c := newCluster(t, "rackwise", oneDataCentre)
	c.workers(2)
	customer := c.customer(0)
	id := customer.submit("told", batch("report", 1, 4000, true)).Id
	c.eventually("the job runs", func() bool { return customer.status(id).State == apiv1.JobState_JOB_STATE_RUNNING })
	dataCentre := c.deployment.Settings.DataCentres()[0]
	lost := c.leader(dataCentre)
	c.kill(lost + "/cell")
	must.Eq(t, apiv1.JobState_JOB_STATE_FINISHED, customer.awaitEnd(id).State)
	ctx, operations := c.operatorClients()
	events, err := operations[0].Events(ctx, &apiv1.EventsRequest{Subject: id})
	must.NoError(t, err)
	must.Eq(t, []string{lost + "/cell"}, events.UnreachableInstances)
	var kinds []string
	for i, e := range events.Events {
		kinds = append(kinds, e.Kind)
		if i > 0 {
			must.LessEq(t, e.WallMs, events.Events[i-1].WallMs)
		}
	}
	must.Eq(t, []string{"job accepted", "attempt started", "attempt ended", "job ended"}, kinds)
	must.Eq(t, lost+"/cell", events.Events[1].Instance)
	must.NotEq(t, lost+"/cell", events.Events[2].Instance)
}
