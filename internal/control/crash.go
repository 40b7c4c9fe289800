package control

import (
	"slices"
	"strings"
	"time"

	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// strongSuspicionMaxAge is the maximum age that a run may have had at its worker's
	// last response for the worker's crash to count strongly against the task.
	strongSuspicionMaxAge = time.Second
	// noSuspicionMinAge is the age from which on a run of a long-running task isn't
	// suspected of having crashed its worker.
	noSuspicionMinAge = 10 * time.Second
	// probationPeriod is how long a worker must have responded while it runs a crash
	// suspect, a task under which workers have crashed, before it gets another task.
	probationPeriod = 500 * time.Millisecond
)

// hasCrashed reports whether the worker, which is gone, has crashed: it hasn't announced
// its shutdown, and its machine wasn't about to go down or move.
func (s *workerSession) hasCrashed() bool {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	return !s.leaving && !s.worker.Draining && !s.t.machines.isCordoned(s.worker.ID)
}

// suspicion returns how strongly a run is suspected of having crashed its worker, in case
// the worker has crashed. t.mu must be held.
func (s *workerSession) suspicion(run workflow.Run) workflow.Suspicion {
	o := s.orders[run.Task]
	if o == nil || o.run.Number != run.Number {
		// The run was ordered by an earlier leader.
		return workflow.SuspicionWeak
	}
	age := s.aliveFor(o)
	inherited := o.startedAt.IsZero() && o.listed
	switch {
	case !o.mayHaveStarted(), o.longRunning && age > noSuspicionMinAge:
		return workflow.SuspicionNone
	case inherited, !o.stopSentAt.IsZero(), age > strongSuspicionMaxAge:
		return workflow.SuspicionWeak
	}
	return workflow.SuspicionStrong
}

// aliveFor returns the time from the start of a run, or from the first report that listed
// it, to the worker's last response. It returns 0 if neither is known. t.mu must be held.
func (s *workerSession) aliveFor(o *runOrder) time.Duration {
	since := o.startedAt
	if since.IsZero() {
		since = o.firstListedAt
	}
	if since.IsZero() {
		return 0
	}
	return max(s.lastResponseAt().Sub(since), 0)
}

// lastResponseAt returns when the worker last responded to a call of any kind. t.mu must
// be held.
func (s *workerSession) lastResponseAt() time.Time {
	if s.clockAt.After(s.respondedAt) {
		return s.clockAt
	}
	return s.respondedAt
}

// mayHaveStarted reports whether the worker may have received the order to start the run.
func (o *runOrder) mayHaveStarted() bool {
	return !o.startedAt.IsZero() || o.listed || o.unanswered || !o.sentAt.IsZero()
}

// onProbation reports whether a run of a crash suspect started on the worker less than
// probationPeriod ago. t.mu must be held.
//
// A task that crashes its workers would otherwise also end the runs that are placed on
// them at the same time.
func (s *workerSession) onProbation() bool {
	for _, o := range s.orders {
		if o.crashSuspect && (o.startedAt.IsZero() || s.lastResponseAt().Sub(o.startedAt) < probationPeriod) {
			return true
		}
	}
	return false
}

// logLostRuns logs how old each run that ended with its worker was when the worker last
// responded. A task that appears in these lines repeatedly, each time with a young run,
// crashes its workers.
func (s *workerSession) logLostRuns(ends []workflow.RunEnd, cause string) {
	t := s.t
	t.mu.Lock()
	defer t.mu.Unlock()
	t.c.cfg.Counters.Add("runs_lost", int64(len(ends)))
	now := time.Now()
	for _, end := range ends {
		o := s.orders[end.Task]
		known := o != nil && o.run.Number == end.Number
		age := time.Duration(0)
		if known {
			age = s.aliveFor(o)
		}
		t.logger.Log("event", "run_lost", "task", end.Task, "run", end.Number, "worker", s.worker.ID,
			"age_ms", age.Milliseconds(), "age_known", known, "start", startStageOf(o, end.Number),
			"lease_over_ms", now.Sub(s.leaseEnd).Milliseconds(), "beside", len(ends)-1, "outcome", end.Outcome, "cause", cause)
	}
}

// startStage is how far the start of a run has got, as logged.
type startStage string

const (
	// startStageNoOrder: this session hasn't ordered the run. An earlier leader or session may have.
	startStageNoOrder   startStage = "no order"
	startStageNotSent   startStage = "not sent"
	startStageSent      startStage = "sent"
	startStageConfirmed startStage = "confirmed"
)

// startStageOf returns the stage of the start of a run whose task has the order o, or nil. t.mu must be held.
func startStageOf(o *runOrder, number int) startStage {
	switch {
	case o == nil || o.run.Number != number:
		return startStageNoOrder
	case !o.startedAt.IsZero() || o.listed:
		return startStageConfirmed
	case o.openCalls > 0:
		return startStageSent
	}
	return startStageNotSent
}

// unresolvedRuns returns the runs that ended when the worker's lease expired and for
// which a crash may still turn out to be the cause. t.mu need not be held.
func (s *workerSession) unresolvedRuns() (ends []workflow.RunEnd) {
	s.t.c.state.read(func(state *workflow.State) {
		if worker := state.Workers[s.worker.ID]; worker != nil {
			ends = slices.Clone(worker.Unresolved)
		}
	})
	return ends
}

// commitWorkerReturned commits that the worker responds again, and therefore hasn't
// crashed.
func (s *workerSession) commitWorkerReturned() {
	s.t.commitWithRetry(&workflow.Command{Ends: &workflow.RunEnds{Worker: s.worker.ID, Returned: true}})
}

// logCrashingTask logs a job that failed because one of its tasks crashed its workers.
// t.mu must be held.
func (t *leaderTerm) logCrashingTask(s *workflow.State, job *workflow.Job) {
	if job.CrashingTask == nil {
		return
	}
	t.c.cfg.Counters.Add("jobs_failed_crashes", 1)
	t.logger.Log("event", "job_given_up", "job", job.ID, "task", *job.CrashingTask,
		"cause", "the task's workers crashed", "workers", strings.Join(s.Task(*job.CrashingTask).CrashedOn, ","))
}
