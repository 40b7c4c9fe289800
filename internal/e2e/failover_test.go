package e2e

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/internal/standin"
)

// TestEntryInstanceKilledUnderLoadLosesNoJob guards against wrong, late or missing
// responses and lost jobs when an entry instance is killed with responses in flight.
// Callers whose connection broke retry at another instance.
func TestEntryInstanceKilledUnderLoadLosesNoJob(t *testing.T) {
	c := newCluster(t, "rackwise", oneDataCentre)
	c.workers(6)
	c.minions(6, "inspect-hub")
	customer := c.customer(0)
	customer.awaitService("inspect-hub")
	first := customer.submit("before", batchSpec("reports", 12, 400, true))
	callers := standin.NewCallers(standin.CallersConfig{
		Entries: c.deployment.Entries(), Service: "inspect-hub", Token: customer.token, Rate: 300, Duration: 3 * time.Second,
		Deadline: 2 * time.Second, Resend: true, Seed: 1, Ledger: c.ledger,
	})
	done := make(chan error, 1)
	go func() { done <- callers.Run(c.ctx) }()
	nonIdempotent := customer.submit("once", batchSpec("check-in", 4, 300, false))
	c.kill(c.deployment.Settings.Instances[1].ID + "/entry")
	last := customer.submit("after", batchSpec("reports", 12, 200, true))
	must.NoError(t, <-done)
	for _, id := range []string{first.Id, nonIdempotent.Id, last.Id} {
		must.Eq(t, apiv1.JobState_JOB_STATE_FINISHED, customer.awaitEnd(id).State, must.Sprint(id))
	}
	report := callers.Report()
	must.Eq(t, 0, report.Wrong)
	must.Eq(t, 0, report.Late)
	must.Eq(t, 0, report.TimedOut)
	must.Eq(t, report.Calls, report.Correct+report.Broken+report.NotSent+refusedCalls(report), must.Sprintf("%+v", report))
	must.Positive(t, report.Correct)
	c.checkNoViolations()
}

// refusedCalls returns the number of calls that got a response with an error status.
func refusedCalls(report standin.CallersReport) int64 {
	var sum int64
	for _, count := range report.Refused {
		sum += count
	}
	return sum
}

// TestLeaderKilledUnderLoadLosesNoTask guards against lost or repeated tasks when the
// leader of a data centre is killed with commits and commands in flight. The next leader
// takes over the workers' leases, and submissions whose response was lost are retried.
func TestLeaderKilledUnderLoadLosesNoTask(t *testing.T) {
	c := newCluster(t, "rackwise", oneDataCentre)
	c.workers(6)
	customer := c.customer(0)
	const (
		jobs           = 30
		tasksPerJob    = 3
		jobsBeforeKill = 10
	)
	var ids []string
	for i := range jobs {
		if i == jobsBeforeKill {
			c.kill(c.leader(c.deployment.Settings.DataCentres()[0]) + "/cell")
		}
		ids = append(ids, customer.submit(fmt.Sprint("load-", i), batchSpec("reports", tasksPerJob, 150, i%2 == 0)).Id)
	}
	for _, id := range ids {
		must.Eq(t, apiv1.JobState_JOB_STATE_FINISHED, customer.awaitEnd(id).State, must.Sprint(id))
	}
	must.Eq(t, jobs*tasksPerJob, c.ledger.Starts())
	c.checkNoViolations()
}

// TestLeaderPausedPastItsLeaseRepeatsNoTask guards against tasks that run twice when a
// leader is paused by SIGSTOP until its lease has expired and another leader is elected.
// The paused leader resumes without knowing of the pause and of the other leader.
func TestLeaderPausedPastItsLeaseRepeatsNoTask(t *testing.T) {
	c := newCluster(t, "rackwise", oneDataCentre)
	c.workers(6)
	customer := c.customer(0)
	dataCentre := c.deployment.Settings.DataCentres()[0]
	pausedLeader := c.leader(dataCentre)
	before := customer.submit("before", batchSpec("reports", 6, 300, false))
	c.signal(pausedLeader+"/cell", syscall.SIGSTOP)
	during := customer.submit("during", batchSpec("reports", 6, 300, false))
	must.NotEq(t, pausedLeader, c.leader(dataCentre))
	c.signal(pausedLeader+"/cell", syscall.SIGCONT)
	after := customer.submit("after", batchSpec("reports", 6, 300, false))
	for _, id := range []string{before.Id, during.Id, after.Id} {
		must.Eq(t, apiv1.JobState_JOB_STATE_FINISHED, customer.awaitEnd(id).State, must.Sprint(id))
	}
	c.checkNoViolations()
}

// TestRollingRestartUnderLoadBreaksNoCall guards against broken connections, wrong
// responses and lost jobs while an operator rolls out a new version: every process is
// terminated and restarted, one after the other, under load.
func TestRollingRestartUnderLoadBreaksNoCall(t *testing.T) {
	c := newCluster(t, "rackwise", oneDataCentre)
	c.workers(6)
	c.minions(6, "inspect-hub")
	customer := c.customer(0)
	customer.awaitService("inspect-hub")
	callers := standin.NewCallers(standin.CallersConfig{
		Entries: c.deployment.Entries(), Service: "inspect-hub", Token: customer.token, Rate: 100, Duration: 12 * time.Second,
		Deadline: 4 * time.Second, Resend: true, Seed: 2, Ledger: c.ledger,
	})
	done := make(chan error, 1)
	go func() { done <- callers.Run(c.ctx) }()
	var ids []string
	for i, instance := range c.deployment.Settings.Instances {
		for _, role := range []string{"cell", "entry"} {
			ids = append(ids, customer.submit(fmt.Sprint(role, i), batchSpec("reports", 3, 200, false)).Id)
			c.terminate(instance.ID + "/" + role)
			c.start(instance.ID, role)
			c.leader(instance.DataCentre)
		}
	}
	must.NoError(t, <-done)
	for _, id := range ids {
		must.Eq(t, apiv1.JobState_JOB_STATE_FINISHED, customer.awaitEnd(id).State, must.Sprint(id))
	}
	report := callers.Report()
	must.Eq(t, 0, report.Wrong)
	must.Eq(t, 0, report.Broken, must.Sprintf("%+v", report))
	c.checkNoViolations()
}

// TestCommandsRunAfterBriefFollowerPauses guards against accepted jobs that stay in the
// state running forever. A leader loses contact with its followers several times, each
// time for less than their election timeout, and keeps its leader term. If the leader
// restarts the numbering of its commands within the term, workers discard new commands as
// duplicates.
func TestCommandsRunAfterBriefFollowerPauses(t *testing.T) {
	c := newCluster(t, "rackwise", oneDataCentre)
	c.workers(2)
	customer := c.customer(0)
	must.Eq(t, apiv1.JobState_JOB_STATE_FINISHED, customer.awaitEnd(customer.submit("before", batchSpec("reports", 8, 50, true)).Id).State)
	leader := c.leader(c.deployment.Settings.DataCentres()[0])
	const (
		pauses     = 4
		pause      = 900 * time.Millisecond // shorter than the election timeout
		pauseBreak = 900 * time.Millisecond // between two pauses
	)
	for range pauses {
		c.signalFollowers(leader, syscall.SIGSTOP)
		time.Sleep(pause)
		c.signalFollowers(leader, syscall.SIGCONT)
		time.Sleep(pauseBreak)
	}
	must.Eq(t, apiv1.JobState_JOB_STATE_FINISHED, customer.awaitEnd(customer.submit("after", batchSpec("reports", 6, 50, true)).Id).State)
	c.checkNoViolations()
}

// signalFollowers sends a signal to all cell processes except the leader's.
func (c *cluster) signalFollowers(leader string, signal syscall.Signal) {
	for _, instance := range c.deployment.Settings.Instances {
		if instance.ID != leader {
			c.signal(instance.ID+"/cell", signal)
		}
	}
}
