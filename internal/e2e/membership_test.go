package e2e

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/settings"
)

// TestInstanceReplacedThenAnotherLostKeepsQuorum guards against a replacement instance
// that doesn't count toward the quorum. An instance is lost permanently, a new one with
// another name, address and empty memory replaces it, and the leader is killed right
// after the replacement. Jobs accepted before and after must finish.
func TestInstanceReplacedThenAnotherLostKeepsQuorum(t *testing.T) {
	c := newCluster(t, "rackwise", oneDataCentre)
	c.workers(6)
	customer := c.customer(0)
	dataCentre := c.deployment.Settings.DataCentres()[0]
	before := customer.submit("before", batchSpec("reports", 6, 400, true))
	lostInstance := c.follower(dataCentre)
	c.kill(lostInstance + "/cell")
	c.kill(lostInstance + "/entry")
	added := c.startExtraInstance(settings.Instance{ID: "spare-1", DataCentre: dataCentre})
	ctx, operations := c.operatorClients()
	request := &apiv1.ReplaceInstanceRequest{
		RequestId: "replace", DataCentre: dataCentre, OldInstance: lostInstance, NewInstance: added.ID, NewAddress: added.Cell,
	}
	c.eventually("the instance is replaced", func() bool {
		_, err := operations[c.entryIndex(lostInstance, false)].ReplaceInstance(ctx, request)
		must.False(t, err != nil && !fault.Is(err, fault.Unavailable), must.Sprint(err))
		return err == nil
	})
	c.kill(c.leader(dataCentre) + "/cell")
	var ids []string
	for i := range 5 {
		ids = append(ids, customer.submit(fmt.Sprint("after-", i), batchSpec("reports", 2, 100, false)).Id)
	}
	for _, id := range append(ids, before.Id) {
		must.Eq(t, apiv1.JobState_JOB_STATE_FINISHED, customer.awaitEnd(id).State, must.Sprint(id))
	}
	c.checkNoViolations()
}

// TestDisklessInstancesCatchUpAfterRestart guards against lost or repeated tasks when
// diskless cell processes restart with empty memory. The cell process of each instance in
// turn is killed, misses hundreds of log entries, restarts and catches up.
func TestDisklessInstancesCatchUpAfterRestart(t *testing.T) {
	c := newCluster(t, "rackwise", oneDataCentre)
	c.workers(6)
	customer := c.customer(0)
	const jobsPerRound, tasksPerJob = 30, 4
	var ids []string
	for round, instance := range c.deployment.Settings.Instances {
		c.kill(instance.ID + "/cell")
		for i := range jobsPerRound {
			ids = append(ids, customer.submit(fmt.Sprint(round, "-", i), batchSpec("reports", tasksPerJob, 50, false)).Id)
		}
		c.start(instance.ID, "cell")
		c.awaitCatchUp(instance.ID)
	}
	for _, id := range ids {
		must.Eq(t, apiv1.JobState_JOB_STATE_FINISHED, customer.awaitEnd(id).State, must.Sprint(id))
	}
	must.Eq(t, tasksPerJob*len(ids), c.ledger.Starts())
	c.checkNoViolations()
}

// awaitCatchUp waits until an instance has recovered its state and reached the highest
// commit index of all instances.
func (c *cluster) awaitCatchUp(id string) {
	c.t.Helper()
	ctx, operations := c.operatorClients()
	c.eventually(id+" has caught up", func() bool {
		response, err := operations[0].Instances(ctx, &apiv1.InstancesRequest{})
		if err != nil {
			return false
		}
		var commitIndex, highest uint64
		for _, instance := range response.Instances {
			highest = max(highest, instance.CommitIndex)
			if instance.Id == id && instance.Reachable && !instance.Recovering {
				commitIndex = instance.CommitIndex
			}
		}
		return commitIndex > 0 && commitIndex == highest
	})
}

// follower returns an instance that doesn't lead its data centre.
func (c *cluster) follower(dataCentre string) string {
	leader := c.leader(dataCentre)
	for _, instance := range c.deployment.Settings.InDataCentre(dataCentre) {
		if instance.ID != leader {
			return instance.ID
		}
	}
	return ""
}

// entryIndex returns an index in the entry addresses of the deployment: that of the
// instance's address if ofInstance is true, else that of the first address of any other
// instance.
func (c *cluster) entryIndex(id string, ofInstance bool) int {
	instance, err := c.deployment.Settings.Instance(id)
	must.NoError(c.t, err)
	for i, address := range c.deployment.Entries() {
		if (address == instance.Entry) == ofInstance {
			return i
		}
	}
	return 0
}

// startExtraInstance starts the processes of an instance that the settings of the other
// instances don't contain. It returns the instance with its addresses.
func (c *cluster) startExtraInstance(added settings.Instance) settings.Instance {
	ports := newPorts(c.t)
	added.Entry, added.Cell = ports.reserve(), ports.reserve()
	ports.release()
	extended := *c.network.settingsSeenFrom(c, added.DataCentre)
	extended.Instances = append(extended.Instances, added)
	settingsPath := c.writeSettings(added.ID, &extended)
	c.startWithSettings(added.ID, "cell", settingsPath)
	c.startWithSettings(added.ID, "entry", settingsPath)
	return added
}

// TestConfigurationVoterReplacedThenAnotherLostKeepsQuorum guards against a replacement
// voter of the configuration log that doesn't count toward the quorum. A voter is lost
// permanently, a new instance replaces it, and another voter is lost. A write of the
// configuration must still succeed.
func TestConfigurationVoterReplacedThenAnotherLostKeepsQuorum(t *testing.T) {
	c := newCluster(t, "rackwise", nil)
	ctx, operations := c.operatorClients()
	c.setConfig(ctx, operations, "first", 0, configWithCPULimit(100))
	dataCentres := c.deployment.Settings.DataCentres()
	lostVoter := c.configVoter(dataCentres[0])
	c.kill(lostVoter + "/cell")
	c.kill(lostVoter + "/entry")
	added := c.startExtraInstance(settings.Instance{ID: "spare-1", DataCentre: dataCentres[0], ConfigVoter: true})
	request := &apiv1.ReplaceInstanceRequest{
		RequestId: "replace", DataCentre: dataCentres[0], OldInstance: lostVoter, NewInstance: added.ID, NewAddress: added.Cell,
	}
	remaining := operations[c.entryIndex(lostVoter, false):]
	c.eventually("the voter is replaced", func() bool {
		_, err := remaining[0].ReplaceInstance(ctx, request)
		must.False(t, err != nil && !fault.Is(err, fault.Unavailable), must.Sprint(err))
		return err == nil
	})
	c.kill(c.configVoter(dataCentres[1]) + "/cell")
	c.setConfig(ctx, remaining, "second", 1, configWithCPULimit(200))
}

// configVoter returns the instance of a data centre that votes on the configuration log.
func (c *cluster) configVoter(dataCentre string) string {
	for _, instance := range c.deployment.Settings.InDataCentre(dataCentre) {
		if instance.ConfigVoter {
			return instance.ID
		}
	}
	return ""
}

// TestLargeStateReachesRestartedInstance guards against a restarted diskless instance
// that never recovers because the state sent to it exceeds the size limit for request
// bodies of callers. Services with large payloads make the state larger than this limit.
func TestLargeStateReachesRestartedInstance(t *testing.T) {
	c := newCluster(t, "rackwise", oneDataCentre)
	c.workers(4)
	customer := c.customer(0)
	// Together the payloads exceed the default limit of a request body, 1 MiB.
	const services, payloadBytes = 40, 60 << 10
	for i := range services {
		spec := batchSpec(fmt.Sprint("service-", i), 1, 0, true)
		spec.Policy, spec.DeadlineUnixMs = apiv1.Policy_POLICY_SERVICE, 0
		spec.Payload = bytes.Repeat([]byte("x"), payloadBytes)
		customer.submit(spec.Name, spec)
	}
	restartedInstance := c.follower(c.deployment.Settings.DataCentres()[0])
	c.kill(restartedInstance + "/cell")
	c.start(restartedInstance, "cell")
	c.awaitCatchUp(restartedInstance)
	c.checkNoViolations()
}
