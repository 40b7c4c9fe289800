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

// What a user sees: a hall that is cut off from the others goes on accepting
// and finishing work; an operator there is told at once that configuration
// can't be written, and the old one stays in force until the line is back.
// Order: one data centre is cut off; work is submitted on both sides; a
// configuration is written on each side; the line is healed.
// Cause: the lines between data centres fail without a word.
func TestPartitionedDataCentreKeepsWorking(t *testing.T) {
	c := newCluster(t, "rackwise", nil)
	c.workers(6)
	customer := c.customer(0)
	names := c.deployment.Settings.DataCentres()
	partitioned, connected := customer.inDataCentre(names[0]), customer.inDataCentre(names[1])
	ctx, operations := c.operatorClients()
	c.setConfig(ctx, operations, "first", 0, configWithCPULimit(1000))
	c.eventually("version 1 is in force everywhere", func() bool { return c.lowestConfigVersion(ctx, operations) == 1 })

	c.network.setPartitioned(names[0], true)
	partitionedJob := partitioned.submit("inside", batch("reports", 6, 200, false))
	connectedJob := connected.submit("outside", batch("reports", 6, 200, false))
	must.Eq(t, names[0], partitionedJob.DataCentre)
	must.Eq(t, apiv1.JobState_JOB_STATE_FINISHED, partitioned.awaitEnd(partitionedJob.Id).State)
	must.Eq(t, apiv1.JobState_JOB_STATE_FINISHED, connected.awaitEnd(connectedJob.Id).State)
	c.setConfig(ctx, operations[3:], "second", 1, configWithCPULimit(2000))
	c.eventually("the cut-off side says that it can't write", func() bool {
		_, err := operations[0].SetConfig(ctx, &apiv1.SetConfigRequest{RequestId: "third", ExpectedVersion: 1, Document: configWithCPULimit(3000)})
		return fault.Is(err, fault.Unavailable)
	})
	status, err := operations[0].ConfigStatus(ctx, &apiv1.ConfigStatusRequest{LocalOnly: true})
	must.NoError(t, err)
	must.Eq(t, 1, status.Instances[0].Version)

	c.network.setPartitioned(names[0], false)
	c.eventually("version 2 is in force everywhere", func() bool { return c.lowestConfigVersion(ctx, operations) == 2 })
	c.checkNoViolations()
}

// What a user sees: a job that its hall can't hold runs in another hall, once,
// though the line fails while it is handed over.
// Order: a data centre without workers takes jobs and hands them over, while
// its lines are cut and healed again and again; then all ends are read.
// Cause: offers and their answers are lost on the way.
func TestHandoverRunsOnceDuringNetworkPartitions(t *testing.T) {
	c := newCluster(t, "rackwise", nil)
	names := c.deployment.Settings.DataCentres()
	c.workersIn(names[1:], 6)
	customer := c.customer(0)
	source := customer.inDataCentre(names[0])
	stop := make(chan struct{})
	var toggling sync.WaitGroup
	toggling.Go(func() {
		for partitioned := true; ; partitioned = !partitioned {
			select {
			case <-stop:
				return
			case <-c.partitionTick():
				c.network.setPartitioned(names[0], partitioned)
			}
		}
	})
	ids := make(map[string]bool)
	for i := range 40 {
		answer, err := source.trySubmit(fmt.Sprint("handover-", i), batch("reports", 2, 100, false))
		if err != nil {
			// Refused as no data centre could be asked: nothing was accepted.
			must.False(t, fault.Is(err, fault.Unavailable), must.Sprint(err))
			continue
		}
		ids[answer.Id] = true
	}
	close(stop)
	toggling.Wait()
	c.network.setPartitioned(names[0], false)
	for id := range ids {
		job := customer.awaitEnd(id)
		must.Eq(t, apiv1.JobState_JOB_STATE_FINISHED, job.State, must.Sprintf("%s: %s %s", id, job.ReasonKind, job.Reason))
		must.NotEq(t, names[0], job.DataCentre)
	}
	must.Positive(t, len(ids))
	must.Eq(t, 2*len(ids), c.ledger.Starts())
	c.checkNoViolations()
}

// What a user sees: a check-in that was sent again after its answer was lost, and
// reached another data centre, is the same check-in.
// Order: a submission is accepted; the same request arrives at entry instances of
// the other data centres; one without a home is refused before it is stored.
// Cause: request ids are known in one data centre, and the platform's balancer
// knows nothing of that.
func TestResentSubmissionIsDeduplicatedAcrossDataCentres(t *testing.T) {
	c := newCluster(t, "rackwise", nil)
	c.workers(6)
	customer := c.customer(0)
	names := c.deployment.Settings.DataCentres()
	spec := batch("check-in", 2, 100, false)
	request := &apiv1.SubmitRequest{RequestId: "lost-answer", Spec: spec, Home: names[0]}
	ids := make(map[string]bool)
	for _, name := range names {
		c.eventually("the submission is answered through "+name, func() bool {
			answer, err := customer.inDataCentre(name).schedulers[0].Submit(customer.ctx, request)
			must.False(t, err != nil && !fault.Is(err, fault.Unavailable), must.Sprint(err))
			ids[answer.GetId()] = true
			return err == nil
		})
	}
	delete(ids, "")
	must.MapLen(t, 1, ids)
	for id := range ids {
		must.Eq(t, apiv1.JobState_JOB_STATE_FINISHED, customer.awaitEnd(id).State)
	}
	must.Eq(t, 2, c.ledger.Starts())
	_, err := customer.schedulers[0].Submit(customer.ctx, &apiv1.SubmitRequest{RequestId: "homeless", Spec: spec})
	must.Eq(t, "home", fault.From(err).Field)
	c.checkNoViolations()
}

// What a user sees: work that was accepted survives a power failure of the hall.
// Order: long tasks are accepted and run; every control process of the data
// centre dies at once; all come back, one of them with its disk.
// Cause: the power of the data centre's control instances fails.
func TestAcceptedJobsSurviveDataCentrePowerLoss(t *testing.T) {
	c := newCluster(t, "rackwise", oneDataCentre)
	c.workers(6)
	customer := c.customer(0)
	var ids []string
	for i := range 5 {
		ids = append(ids, customer.submit(fmt.Sprint("before-", i), batch("reports", 2, 2500, true)).Id)
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

// What a user sees: a hall that lost two of its three control instances for good
// serves again once an operator says so, with the work it had accepted.
// Order: work is accepted; all control processes die; only the one with the disk
// comes back, and waits; it is started again with the operator's word.
// Cause: most of a data centre's control instances are destroyed.
func TestForcedStartKeepsAcceptedJobs(t *testing.T) {
	c := newCluster(t, "rackwise", oneDataCentre)
	c.workers(4)
	customer := c.customer(0)
	before := customer.submit("before", batch("reports", 2, 2000, true))
	var survivor settings.Instance
	for _, instance := range c.deployment.Settings.Instances {
		c.kill(instance.ID + "/cell")
		if instance.DataFolder != "" {
			survivor = instance
		}
	}
	c.startWithSettings(survivor.ID, "cell", c.settings[survivor.DataCentre], "--force-start")
	must.Eq(t, apiv1.JobState_JOB_STATE_FINISHED, customer.awaitEnd(before.Id).State)
	must.Eq(t, apiv1.JobState_JOB_STATE_FINISHED, customer.awaitEnd(customer.submit("after", batch("reports", 2, 50, false)).Id).State)
	c.checkNoViolations()
}

// What a user sees: of operators who write the same version, one wins and the
// others are told the current version; a resent write gets its first answer.
// Order: many operators read a version and write, all at once, over all entry
// instances; the winner's write is sent again.
// Cause: operators race each other, and answers get lost.
func TestConcurrentConfigurationWrites(t *testing.T) {
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
			must.Eq(t, -1, winner, must.Sprint("two winners"))
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

func configWithCPULimit(cores int) string {
	return fmt.Sprintf(`[[customer]]
name = "curragh-racking"
cpu = "%d"

[quota]
data_centres = ["naas-hall", "swords-hall", "drogheda-hall"]
`, cores)
}

func (c *cluster) writeConfig(ctx context.Context, operations apiv1.Operations, requestID string, expectedVersion uint64, document string) error {
	_, err := operations.SetConfig(ctx, &apiv1.SetConfigRequest{RequestId: requestID, ExpectedVersion: expectedVersion, Document: document})
	return err
}

// setConfig writes a version, through whichever entry instance reaches the voters.
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

// lowestConfigVersion is the lowest version in force on any process.
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
