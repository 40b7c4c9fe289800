package control

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/admission"
	"github.com/bilberryferry/bilberryferry/customer"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// controlledTerm returns a leader term with load control and one worker of 64 cores.
func controlledTerm(t *testing.T) *leaderTerm {
	term := loadedTerm(t, benchmarkLoad{workers: 1})
	term.admission, term.admissionCounts = admission.NewEstimator(), newAdmissionCounts()
	return term
}

// longJob is a submission whose work takes the worker of controlledTerm 10 s.
func longJob(id string) *workflow.Submission {
	return &workflow.Submission{
		ID: id, Queue: "q", Policy: workflow.Policy{Service: "s", Stretch: 2, ObjectiveMS: 500},
		Steps: []workflow.Step{{Count: 640, Need: workflow.Resources{MilliCPU: 1000}, EstimateMS: 1000}},
	}
}

// fill submits long jobs until one is refused and returns its fault.
func fill(t *testing.T, term *leaderTerm) error {
	for i := range 10 {
		if _, err := term.admitSubmission(longJob(fmt.Sprint("full", i)), time.Now()); err != nil {
			return err
		}
	}
	t.Fatal("nothing is refused")
	return nil
}

// Guards against jobs that are accepted without bound while the leader can't decide.
func TestAdmissionRefusesBetweenDecisions(t *testing.T) {
	term := controlledTerm(t)
	term.decide()
	err := fill(t, term)
	must.Eq(t, fault.Overloaded, fault.KindOf(err))
	must.ErrorContains(t, err, "for the cluster")
	must.Positive(t, fault.From(err).RetryAfter)
	must.Eq(t, 0, fault.From(err).RetryAfter%time.Second)
}

// Guards against a new leader that refuses by an estimate of nothing.
func TestAdmissionRefusesNothingBeforeTheFirstDecision(t *testing.T) {
	term := controlledTerm(t)
	for i := range 10 {
		_, err := term.admitSubmission(longJob(fmt.Sprint(i)), time.Now())
		must.NoError(t, err)
	}
	term.decide()
	_, err := term.admitSubmission(longJob("x"), time.Now())
	must.Eq(t, fault.Overloaded, fault.KindOf(err), must.Sprint("the jobs accepted before the decision count"))
}

// Guards against a new leader that takes the workers it hasn't reached yet for lost capacity.
func TestAdmissionCountsWorkersThatWerentReachedYet(t *testing.T) {
	term := controlledTerm(t)
	for _, s := range term.sessions {
		s.ready = false
	}
	term.decide()
	must.Eq(t, 64_000, term.admissionSnapshot.Pools["s"].Total.MilliCPU)
}

// Guards against refusing a repeated call for a job whose commit is in flight, and one for a
// committed job: its caller would conclude that the job never runs.
func TestAdmissionAcceptsRepeatedJobs(t *testing.T) {
	term := controlledTerm(t)
	_, err := term.propose(&workflow.Command{Submit: longJob("committed")})
	must.NoError(t, err)
	done, err := term.admitSubmission(longJob("in flight"), time.Now())
	must.NoError(t, err)
	defer done()
	term.decide()
	must.Error(t, fill(t, term))
	for _, id := range []string{"committed", "in flight"} {
		repeated, err := term.admitSubmission(longJob(id), time.Now())
		must.NoError(t, err)
		repeated()
	}
}

// Guards against refusals because of jobs without an objective. Decisions put them after all others, so
// their work delays none of these.
func TestAdmissionCountsNoWorkWithoutAnObjective(t *testing.T) {
	term := controlledTerm(t)
	term.decide()
	for i := range 100 {
		job := longJob(fmt.Sprint("none", i))
		job.Policy.Stretch, job.Policy.ObjectiveMS = 0, 0
		_, err := term.admitSubmission(job, time.Now())
		must.NoError(t, err)
	}
	_, err := term.admitSubmission(longJob("a"), time.Now())
	must.NoError(t, err)
}

// Guards against jobs that the log line about admission leaves out because the estimate doesn't count them.
func TestAdmissionCountsJobsThatTheEstimateLeavesOut(t *testing.T) {
	term := controlledTerm(t)
	job := longJob("a")
	job.Schedule.Times = 2
	_, err := term.admitSubmission(job, time.Now())
	must.NoError(t, err)
	must.Eq(t, 1, term.admissionCounts.of("").admitted)
}

// Guards against jobs whose commit fails and whose work refuses others for good.
func TestAdmissionForgetsAJobWhoseCommitFails(t *testing.T) {
	term := controlledTerm(t)
	term.decide()
	for range 10 {
		done, err := term.admitSubmission(longJob("a"), time.Now())
		must.NoError(t, err)
		done()
	}
	must.Eq(t, workflow.Resources{}, term.admission.Queued("", true))
}

// Guards against a failed commit of Submit itself that leaves the work of its job counted.
func TestSubmitTakesWorkBackWhenItsCommitFails(t *testing.T) {
	cluster := newTestCluster(t, func(cluster *testCluster) { cluster.controller.cfg.LoadControl = true })
	term, err := cluster.controller.currentLeaderTerm(context.Background())
	must.NoError(t, err)
	queuedDuringCommit := int64(0)
	cluster.log.mu.Lock()
	cluster.log.submitError = errors.New("the log is closed")
	cluster.log.beforeApply = func(c workflow.Command) {
		if c.Submit != nil {
			term.mu.Lock()
			queuedDuringCommit = term.admission.Queued("", true).MilliCPU
			term.mu.Unlock()
		}
	}
	cluster.log.mu.Unlock()
	step := oneTask
	step.EstimateMS = 1000
	_, err = cluster.controller.Submit(context.Background(), &SubmitCall{
		Address: JobAddress{Host: "h", Path: "/q/a", ID: "a"}, Payload: "payload", Steps: []workflow.Step{step},
	})
	must.Error(t, err)
	must.Positive(t, queuedDuringCommit)
	term.mu.Lock()
	defer term.mu.Unlock()
	must.Eq(t, workflow.Resources{}, term.admission.Queued("", true))
}

// Guards against work that decisions count twice or not at all: steps that aren't ready, tasks that
// run, and jobs that are worth nothing.
func TestDecisionsCountQueuedAndRunningWork(t *testing.T) {
	term := controlledTerm(t)
	job := longJob("a")
	job.Steps = append(job.Steps, workflow.Step{Count: 2, Need: workflow.Resources{MilliCPU: 1000}, EstimateMS: 500, DependsOn: []int{0}})
	_, err := term.propose(&workflow.Command{Submit: job})
	must.NoError(t, err)
	_, err = term.propose(&workflow.Command{Start: []workflow.Run{{Task: task("a", 0), Worker: "w0"}}})
	must.NoError(t, err)
	input := term.gatherPlanInput(time.Now())
	must.Eq(t, (639+1)*1_000_000, input.queued[admission.Class{Service: "s"}].OnWorkers.MilliCPU)
	must.Eq(t, admission.Room{
		Total: workflow.Resources{MilliCPU: 64_000, MemoryMB: 256_000}, Held: workflow.Resources{MilliCPU: 1000}, Rest: workflow.Resources{MilliCPU: 500_000},
	}, term.admissionSnapshot.Pools["s"])
	input = term.gatherPlanInput(time.Now().Add(time.Minute))
	must.MapEmpty(t, input.queued)
}

// Guards against an explanation without the wait that new jobs have to expect.
func TestExplainShowsTheExpectedWait(t *testing.T) {
	term := controlledTerm(t)
	term.decide()
	must.Error(t, fill(t, term))
	wait, bottleneck := term.expectedWait(admission.Class{Service: "s"}, time.Now())
	must.Greater(t, time.Second, wait)
	must.Eq(t, string(admission.Cluster), bottleneck)
	term.admission = nil
	_, bottleneck = term.expectedWait(admission.Class{Service: "s"}, time.Now())
	must.Eq(t, "", bottleneck)
}

// Guards against a log line for each of hundreds of refused jobs a second, for whatever reason, and
// against counts that aren't reset.
func TestAdmissionLogLinesAreBounded(t *testing.T) {
	term := controlledTerm(t)
	lines := map[string]int{}
	term.logger = lineCounter(lines)
	for i := range 50 {
		name := fmt.Sprint("c", i)
		term.logRefused(&workflow.Submission{ID: name}, "q", fault.Retry(fault.Overloaded, time.Second, "full"))
		term.logRefused(&workflow.Submission{ID: name}, "q", fault.New(fault.Infeasible, "larger than the limit"))
		term.countRefused(name)
	}
	must.Eq(t, maxRefusalLogLines, lines["submit"])
	term.reportAdmission(time.Now())
	must.Eq(t, 1+maxAdmissionLogCustomers, lines["admission"])
	term.reportAdmission(time.Now())
	must.Eq(t, 1+maxAdmissionLogCustomers, lines["admission"])
	must.MapEmpty(t, term.admissionCounts.byCustomer)
}

// lineCounter counts log lines by event.
type lineCounter map[string]int

func (c lineCounter) Log(fields ...any) error {
	c[fields[1].(string)]++
	return nil
}

// Guards against a logged limit without the part that long-running tasks hold: the running resources
// beside it include them.
func TestAdmissionLogsTheConfiguredLimit(t *testing.T) {
	term := queuedTerm(t, nil, nil)
	_, err := term.propose(&workflow.Command{Configuration: &workflow.Document{
		Version: 1 << 41, Source: []byte("{}"), Customers: []customer.Customer{{Name: "c", Weight: 1, Limit: workflow.Resources{MilliCPU: 8000}}},
	}})
	must.NoError(t, err)
	term.admission, term.admissionCounts = admission.NewEstimator(), newAdmissionCounts()
	term.admissionSnapshot.Limits = map[string]admission.Room{"c": {Total: workflow.Resources{MilliCPU: 2000}}}
	logged := &bytes.Buffer{}
	term.logger = log.NewLogfmtLogger(logged)
	term.countRefused("c")
	term.reportAdmission(time.Now())
	must.StrContains(t, logged.String(), "limit=8000/0/0")
}
