package e2e

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/settings"
)

// TestPartitionedDataCentreKeepsWorking guards against a data centre that stops
// accepting and finishing jobs when the network partitions it from all others. On the
// partitioned side, writing the configuration must fail with Unavailable, and the old
// version stays in force until the partition ends.
func TestPartitionedDataCentreKeepsWorking(t *testing.T) {
	c := newCluster(t, "rackwise", nil)
	c.workers(6)
	customer := c.customer(0)
	dataCentres := c.deployment.Settings.DataCentres()
	partitioned, connected := customer.inDataCentre(dataCentres[0]), customer.inDataCentre(dataCentres[1])
	ctx, operations := c.operatorClients()
	c.setConfig(ctx, operations, "first", 0, configWithCPULimit(1000))
	c.eventually("version 1 is in force everywhere", func() bool { return c.lowestConfigVersion(ctx, operations) == 1 })

	c.network.setPartitioned(dataCentres[0], true)
	partitionedJob := partitioned.submit("inside", batchSpec("reports", 6, 200, false))
	connectedJob := connected.submit("outside", batchSpec("reports", 6, 200, false))
	must.Eq(t, dataCentres[0], partitionedJob.DataCentre)
	must.Eq(t, apiv1.JobState_JOB_STATE_FINISHED, partitioned.awaitEnd(partitionedJob.Id).State)
	must.Eq(t, apiv1.JobState_JOB_STATE_FINISHED, connected.awaitEnd(connectedJob.Id).State)
	// partitionedInstances is the number of entry instances of the partitioned data
	// centre, whose clients come first in operations.
	const partitionedInstances = 3
	c.setConfig(ctx, operations[partitionedInstances:], "second", 1, configWithCPULimit(2000))
	c.eventually("a write on the partitioned side fails with Unavailable", func() bool {
		_, err := operations[0].SetConfig(ctx, &apiv1.SetConfigRequest{RequestId: "third", ExpectedVersion: 1, Document: configWithCPULimit(3000)})
		return fault.Is(err, fault.Unavailable)
	})
	status, err := operations[0].ConfigStatus(ctx, &apiv1.ConfigStatusRequest{LocalOnly: true})
	must.NoError(t, err)
	must.Eq(t, 1, status.Instances[0].Version)

	c.network.setPartitioned(dataCentres[0], false)
	c.eventually("version 2 is in force everywhere", func() bool { return c.lowestConfigVersion(ctx, operations) == 2 })
	c.checkNoViolations()
}

// TestHandoverRunsOnceDuringNetworkPartitions guards against handed-over jobs that are
// lost or run twice. A data centre without workers hands over its jobs while network
// partitions separate it several times, so that offers and their answers get lost.
func TestHandoverRunsOnceDuringNetworkPartitions(t *testing.T) {
	c := newCluster(t, "rackwise", nil)
	dataCentres := c.deployment.Settings.DataCentres()
	c.workersIn(dataCentres[1:], 6)
	customer := c.customer(0)
	source := customer.inDataCentre(dataCentres[0])
	stop := make(chan struct{})
	var partitioner sync.WaitGroup
	partitioner.Go(func() {
		for partitioned := true; ; partitioned = !partitioned {
			select {
			case <-stop:
				return
			case <-c.partitionTick():
				c.network.setPartitioned(dataCentres[0], partitioned)
			}
		}
	})
	const submissions, tasksPerJob = 40, 2
	ids := make(map[string]bool)
	for i := range submissions {
		response, err := source.trySubmit(fmt.Sprint("handover-", i), batchSpec("reports", tasksPerJob, 100, false))
		if err != nil {
			// The submission was refused because no other data centre could be reached. The
			// job wasn't accepted.
			must.False(t, fault.Is(err, fault.Unavailable), must.Sprint(err))
			continue
		}
		ids[response.Id] = true
	}
	close(stop)
	partitioner.Wait()
	c.network.setPartitioned(dataCentres[0], false)
	for id := range ids {
		job := customer.awaitEnd(id)
		must.Eq(t, apiv1.JobState_JOB_STATE_FINISHED, job.State, must.Sprintf("%s: %s %s", id, job.ReasonKind, job.Reason))
		must.NotEq(t, dataCentres[0], job.DataCentre)
	}
	must.Positive(t, len(ids))
	must.Eq(t, tasksPerJob*len(ids), c.ledger.Starts())
	c.checkNoViolations()
}

// TestResentSubmissionIsDeduplicatedAcrossDataCentres guards against a second job when
// the response to a submission is lost and the retry reaches another data centre. Request
// ids are stored in the home data centre only, and a load balancer in front of the entry
// instances doesn't know which data centre that is. A non-idempotent submission without a
// home must be refused.
func TestResentSubmissionIsDeduplicatedAcrossDataCentres(t *testing.T) {
	c := newCluster(t, "rackwise", nil)
	c.workers(6)
	customer := c.customer(0)
	dataCentres := c.deployment.Settings.DataCentres()
	const tasks = 2
	spec := batchSpec("check-in", tasks, 100, false)
	request := &apiv1.SubmitRequest{RequestId: "lost-answer", Spec: spec, Home: dataCentres[0]}
	ids := make(map[string]bool)
	for _, name := range dataCentres {
		c.eventually("the submission gets a response through "+name, func() bool {
			response, err := customer.inDataCentre(name).schedulers[0].Submit(customer.ctx, request)
			must.False(t, err != nil && !fault.Is(err, fault.Unavailable), must.Sprint(err))
			ids[response.GetId()] = true
			return err == nil
		})
	}
	delete(ids, "")
	must.MapLen(t, 1, ids)
	for id := range ids {
		must.Eq(t, apiv1.JobState_JOB_STATE_FINISHED, customer.awaitEnd(id).State)
	}
	must.Eq(t, tasks, c.ledger.Starts())
	_, err := customer.schedulers[0].Submit(customer.ctx, &apiv1.SubmitRequest{RequestId: "homeless", Spec: spec})
	must.Eq(t, "home", fault.From(err).Field)
	c.checkNoViolations()
}

// TestAcceptedJobsSurviveDataCentrePowerLoss guards against the loss of accepted jobs
// when all cell processes of a data centre are killed while tasks run. All of them restart,
// but only one has the data on its disk.
func TestAcceptedJobsSurviveDataCentrePowerLoss(t *testing.T) {
	c := newCluster(t, "rackwise", oneDataCentre)
	c.workers(6)
	customer := c.customer(0)
	var ids []string
	for i := range 5 {
		ids = append(ids, customer.submit(fmt.Sprint("before-", i), batchSpec("reports", 2, 2500, true)).Id)
	}
	for _, instance := range c.deployment.Settings.Instances {
		c.kill(instance.ID + "/cell")
	}
	for _, instance := range c.deployment.Settings.Instances {
		c.start(instance.ID, "cell")
	}
	for _, id := range ids {
		must.Eq(t, apiv1.JobState_JOB_STATE_FINISHED, customer.awaitEnd(id).State, must.Sprint(id))
	}
	c.checkNoViolations()
}

// TestForcedStartKeepsAcceptedJobs guards against a data centre that can't serve again after
// two of its three cell processes are lost permanently. All three are killed, and only the
// one with the disk restarts, with --force-start. It must keep the accepted jobs.
func TestForcedStartKeepsAcceptedJobs(t *testing.T) {
	c := newCluster(t, "rackwise", oneDataCentre)
	c.workers(4)
	customer := c.customer(0)
	before := customer.submit("before", batchSpec("reports", 2, 2000, true))
	var survivor settings.Instance
	for _, instance := range c.deployment.Settings.Instances {
		c.kill(instance.ID + "/cell")
		if instance.DataFolder != "" {
			survivor = instance
		}
	}
	c.startWithSettings(survivor.ID, "cell", c.settingsPaths[survivor.DataCentre], "--force-start")
	must.Eq(t, apiv1.JobState_JOB_STATE_FINISHED, customer.awaitEnd(before.Id).State)
	must.Eq(t, apiv1.JobState_JOB_STATE_FINISHED, customer.awaitEnd(customer.submit("after", batchSpec("reports", 2, 50, false)).Id).State)
	c.checkNoViolations()
}

// TestConcurrentConfigurationWritesLoseNoUpdate guards against lost updates of the
// configuration. Several operators write with the same expected version over all entry
// instances at the same time: one write succeeds, the others fail with Conflict. A retry
// of the successful write, as after a lost response, succeeds again and changes nothing.
func TestConcurrentConfigurationWritesLoseNoUpdate(t *testing.T) {
	c := newCluster(t, "rackwise", oneDataCentre)
	ctx, operations := c.operatorClients()
	c.setConfig(ctx, operations, "first", 0, configWithCPULimit(100))
	c.eventually("each entry instance serves", func() bool {
		return !slices.ContainsFunc(operations, func(o apiv1.Operations) bool {
			_, err := o.GetConfig(ctx, &apiv1.GetConfigRequest{})
			return err != nil
		})
	})
	const writers = 9
	errs := make([]error, writers)
	var writes sync.WaitGroup
	for i := range writers {
		writes.Go(func() {
			errs[i] = c.writeConfig(ctx, operations[i%len(operations)], fmt.Sprint("racer-", i), 1, configWithCPULimit(200+i))
		})
	}
	writes.Wait()
	winner := -1
	for i, err := range errs {
		if err == nil {
			must.Eq(t, -1, winner, must.Sprint("two writes succeeded"))
			winner = i
			continue
		}
		must.True(t, fault.Is(err, fault.Conflict), must.Sprint(err))
	}
	must.NotEq(t, -1, winner)
	must.NoError(t, c.writeConfig(ctx, operations[0], fmt.Sprint("racer-", winner), 1, configWithCPULimit(200+winner)))
	current, err := operations[0].GetConfig(ctx, &apiv1.GetConfigRequest{})
	must.NoError(t, err)
	must.Eq(t, 2, current.Version)
	must.Eq(t, configWithCPULimit(200+winner), current.Document)
}

// configWithCPULimit returns a configuration document that limits a customer to a number
// of cores.
func configWithCPULimit(cores int) string {
	return fmt.Sprintf(`[[customer]]
name = "curragh-racking"
cpu = "%d"

[quota]
data_centres = ["naas-hall", "swords-hall", "drogheda-hall"]
`, cores)
}

// writeConfig writes a configuration through one entry instance, with a single try.
func (c *cluster) writeConfig(ctx context.Context, operations apiv1.Operations, requestID string, expectedVersion uint64, document string) error {
	_, err := operations.SetConfig(ctx, &apiv1.SetConfigRequest{RequestId: requestID, ExpectedVersion: expectedVersion, Document: document})
	return err
}

// setConfig writes a configuration. It retries over the given entry instances until one of
// them reaches a quorum of the configuration voters. Any error other than Unavailable fails
// the test.
func (c *cluster) setConfig(ctx context.Context, operations []apiv1.Operations, requestID string, expectedVersion uint64, document string) {
	c.t.Helper()
	i := 0
	c.eventually("configuration "+requestID+" is written", func() bool {
		err := c.writeConfig(ctx, operations[i%len(operations)], requestID, expectedVersion, document)
		i++
		must.False(c.t, err != nil && !fault.Is(err, fault.Unavailable), must.Sprint(err))
		return err == nil
	})
}

// lowestConfigVersion returns the lowest version in force on any process, or 0 if the
// status is unavailable.
func (c *cluster) lowestConfigVersion(ctx context.Context, operations []apiv1.Operations) uint64 {
	status, err := operations[0].ConfigStatus(ctx, &apiv1.ConfigStatusRequest{})
	if err != nil {
		return 0
	}
	lowest := status.Instances[0].Version
	for _, instance := range status.Instances {
		lowest = min(lowest, instance.Version)
	}
	return lowest
}
