package control

import (
	"slices"
	"strings"
	"time"

	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// strongSuspicionMaxAge is how old a run is at most, by its worker's last answer, for the worker's
	// crash to speak strongly against it.
	strongSuspicionMaxAge = time.Second
	// noSuspicionMinAge is how old a run of a task that lasts must be for its worker's crash not to
	// be held against it.
	noSuspicionMinAge = 10 * time.Second
	// probation is how long a worker must have answered under a run of a suspect task
	// before it is given anything else.
	probationPeriod = 500 * time.Millisecond
)

// crashed reports whether a worker that is gone has crashed: it neither announced its end
// nor was its machine to go down.
func (s *workerSession) hasCrashed() bool {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	return !s.leaving && !s.worker.Draining && !s.t.machines.isCordoned(s.worker.ID)
}

// suspicion is how much speaks for a run having crashed its worker, if the worker has
// crashed. t.mu is held.
func (s *workerSession) suspicion(run workflow.Run) workflow.Suspicion {
	o := s.orders[run.Task]
	if o == nil || o.run.Number != run.Number {
		// An earlier leader ordered it.
		return workflow.SuspicionWeak
	}
	age := s.aliveFor(o)
	inherited := o.startedAt.IsZero() && o.listed
	switch {
	case !o.mayHaveStarted(), o.longRunning && age > noSuspicionMinAge:
		return workflow.SuspicionNone
	case inherited, !o.stopSent.IsZero(), age > strongSuspicionMaxAge:
		return workflow.SuspicionWeak
	}
	return workflow.SuspicionStrong
}

// aliveFor is how long the worker is known to have answered under a run, 0 where no answer
// has shown the run. t.mu is held.
func (s *workerSession) aliveFor(o *runOrder) time.Duration {
	since := o.startedAt
	if since.IsZero() {
		since = o.firstAt
	}
	if since.IsZero() {
		return 0
	}
	return max(s.lastAnswerAt().Sub(since), 0)
}

// lastAnswerAt is when the worker last answered a call of any kind. t.mu is held.
func (s *workerSession) lastAnswerAt() time.Time {
	if s.clockAt.After(s.answeredAt) {
		return s.clockAt
	}
	return s.answeredAt
}

// mayHaveStarted reports whether the worker may have been told to begin the run.
func (o *runOrder) mayHaveStarted() bool {
	return !o.startedAt.IsZero() || o.listed || o.unanswered || !o.sentAt.IsZero()
}

// onProbation reports whether a run of a suspect task has only just begun there. t.mu is
// held.
//
// Failure guarded against: a task that crashes its workers takes with it what was placed
// beside it.
func (s *workerSession) onProbation() bool {
	for _, o := range s.orders {
		if o.crashSuspect && (o.startedAt.IsZero() || s.lastAnswerAt().Sub(o.startedAt) < probationPeriod) {
			return true
		}
	}
	return false
}

// logLostRuns says of each run that ends with its worker how old it was when the worker last
// answered: the same task again and again, young each time, is one that crashes its workers.
func (s *workerSession) logLostRuns(ends []workflow.RunEnd, cause string) {
	t := s.t
	t.mu.Lock()
	defer t.mu.Unlock()
	t.c.cfg.Counters.Add("runs_lost", int64(len(ends)))
	for _, end := range ends {
		o := s.orders[end.Task]
		known := o != nil && o.run.Number == end.Number
		age := time.Duration(0)
		if known {
			age = s.aliveFor(o)
		}
		t.logger.Log("event", "run_lost", "task", end.Task, "run", end.Number, "worker", s.worker.ID,
			"age_ms", age.Milliseconds(), "age_known", known, "beside", len(ends)-1, "outcome", end.Outcome, "cause", cause)
	}
}

// missing returns the runs that ended with the worker's lease and may yet turn out to have
// ended with a crash. t.mu may be held.
func (s *workerSession) unresolvedRuns() (ends []workflow.RunEnd) {
	s.t.c.state.read(func(state *workflow.State) {
		if worker := state.Workers[s.worker.ID]; worker != nil {
			ends = slices.Clone(worker.Unresolved)
		}
	})
	return ends
}

// commitReturned commits that the worker answers again, so that it hasn't crashed.
func (s *workerSession) commitReturned() {
	s.t.commitWithRetry(&workflow.Command{Ends: &workflow.RunEnds{Worker: s.worker.ID, Returned: true}})
}

// logCrashingTask tells of a job that was given up for a task that crashed its workers. t.mu is
// held.
func (t *leaderTerm) logCrashingTask(s *workflow.State, job *workflow.Job) {
	if job.CrashingTask == nil {
		return
	}
	t.c.cfg.Counters.Add("jobs_failed_crashes", 1)
	t.logger.Log("event", "job_given_up", "job", job.ID, "task", *job.CrashingTask,
		"cause", "the task's workers crashed", "workers", strings.Join(s.Task(*job.CrashingTask).CrashedOn, ","))
}
