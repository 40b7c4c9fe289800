package e2e

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/internal/standin"
)

// TestLeavingMinionsAndWorkersLoseNoWork guards against requests that fail because a
// minion leaves, and tasks that are lost or placed wrongly because a worker leaves or is
// drained. Under load at all entry instances, two minions leave, one worker is drained and
// another leaves.
func TestLeavingMinionsAndWorkersLoseNoWork(t *testing.T) {
	c := newCluster(t, "rackwise", oneDataCentre)
	workers := c.workers(4)
	minions := c.minions(4, "inspect-hub")
	customer := c.customer(0)
	customer.awaitService("inspect-hub")
	callers := standin.NewCallers(standin.CallersConfig{
		Entries: c.deployment.Entries(), Service: "inspect-hub", Token: customer.token, Rate: 200, Duration: 7 * time.Second,
		Deadline: 2 * time.Second, Seed: 3, Ledger: c.ledger,
	})
	done := make(chan error, 1)
	go func() { done <- callers.Run(c.ctx) }()
	for _, minion := range minions.All()[:2] {
		go func() { _ = minion.Leave(c.ctx) }()
	}
	drainedWorker := c.drainFirstWorker()
	must.NoError(t, workers.All()[len(workers.All())-1].Leave(c.ctx))
	job := customer.awaitEnd(customer.submit("after", batchSpec("reports", 12, 100, true)).Id)
	must.Eq(t, apiv1.JobState_JOB_STATE_FINISHED, job.State)
	for _, task := range job.Tasks {
		must.NotEq(t, drainedWorker, task.Worker)
	}
	must.NoError(t, <-done)
	report := callers.Report()
	must.Eq(t, report.Calls, report.Correct, must.Sprintf("%+v", report))
	c.checkNoViolations()
}

// drainFirstWorker drains the first worker that the system lists and returns its id.
func (c *cluster) drainFirstWorker() string {
	ctx, operations := c.operatorClients()
	ctx, cancel := context.WithTimeout(ctx, conditionTimeout)
	defer cancel()
	response, err := operations[0].Workers(ctx, &apiv1.WorkersRequest{})
	must.NoError(c.t, err)
	id := response.Workers[0].Id
	_, err = operations[0].Drain(ctx, &apiv1.DrainRequest{RequestId: "drain", Worker: id})
	must.NoError(c.t, err)
	return id
}
