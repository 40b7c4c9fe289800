package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// shedTerm returns a leader term with load control that sheds as much as it may.
func shedTerm(t *testing.T) *leaderTerm {
	term := controlledTerm(t)
	term.shedder.SetPriorities([]int{0})
	for range 100 {
		term.shedder.Observe(time.Second)
	}
	return term
}

// shortJob is a submission that takes the worker of controlledTerm some milliseconds.
func shortJob(id string) *workflow.Submission {
	job := longJob(id)
	job.Steps[0].Count = 1
	return job
}

// Guards against a leader that is short of processor and admits every job, and against refusals that name no time to
// come back.
func TestLeaderShortOfProcessorRefusesSomeNewJobs(t *testing.T) {
	term := shedTerm(t)
	refused := 0
	for i := range 200 {
		if _, err := term.admitSubmission(shortJob(fmt.Sprint("job", i)), time.Now()); err != nil {
			refused++
			must.Eq(t, fault.Overloaded, fault.KindOf(err))
			must.Positive(t, fault.From(err).RetryAfter)
			must.Eq(t, 0, fault.From(err).RetryAfter%time.Second)
		}
	}
	must.Between(t, 50, refused, 150)
	must.Eq(t, refused, term.admissionCounts.of("").refused)
	must.Eq(t, int64(refused), term.submissionsOf("").RefusedCluster)
}

// Guards against a refusal of a job that is committed: its caller would conclude that the job never runs.
func TestLeaderShortOfProcessorAcceptsRepeatedJobs(t *testing.T) {
	term := shedTerm(t)
	for i := range 50 {
		id := fmt.Sprint("job", i)
		_, err := term.propose(&workflow.Command{Submit: shortJob(id)})
		must.NoError(t, err)
		_, err = term.admitSubmission(shortJob(id), time.Now())
		must.NoError(t, err)
	}
}

// Guards against services that aren't accepted because of load that they don't cause.
func TestLeaderShortOfProcessorAcceptsLongRunningWork(t *testing.T) {
	term := shedTerm(t)
	for i := range 50 {
		job := shortJob(fmt.Sprint("service", i))
		job.Steps[0].LongRunning = true
		_, err := term.admitSubmission(job, time.Now())
		must.NoError(t, err)
	}
}
