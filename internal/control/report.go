package control

import (
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"github.com/bilberryferry/bilberryferry/internal/worktime"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// stopRetryInterval is the time between two stops of the same run.
const stopRetryInterval = 400 * time.Millisecond

// processReport applies a worker's report and returns whether it lists ends that weren't committed before. A report that
// makes this program panic counts as no response, and the error says why: otherwise one worker could end each leader
// in turn.
func (s *workerSession) processReport(report Report, sent time.Time) (listsNewEnds bool, err error) {
	respondedAt, ready := s.responsiveness()
	defer func() {
		if cause := recover(); cause != nil {
			_ = level.Error(s.t.logger).Log("event", "report_failed", "worker", s.worker.ID, "reason", cause, "stack", string(debug.Stack()))
			s.setResponsiveness(respondedAt, ready)
			err = errors.Newf("the report can't be processed: %v", cause)
		}
	}()
	return s.applyReport(report, sent), nil
}

// responsiveness returns when the worker last responded, and whether it is ready for runs.
func (s *workerSession) responsiveness() (respondedAt time.Time, ready bool) {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	return s.respondedAt, s.ready
}

// setResponsiveness sets when the worker last responded, and whether it is ready for runs.
func (s *workerSession) setResponsiveness(respondedAt time.Time, ready bool) {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	s.respondedAt, s.ready = respondedAt, ready
}

// recordedReport is what the leader learned from a report.
type recordedReport struct {
	// first says that the worker wasn't ready before, returned that it is responsive again after its lease had expired.
	first, returned bool
	// listed are all ends in the report, ends those to be committed: new ones, and neverStarted. firstSeen are those
	// that earlier reports didn't list. lastEnd is the highest position of the new ones.
	listed, neverStarted, ends, firstSeen []workflow.RunEnd
	lastEnd                               uint64
	listsNewEnds                          bool
	// unknown are the runs that the log doesn't have.
	unknown []workflow.Run
}

// recordReport records what a report says about the worker and its runs. sent is when the poll was sent.
func (s *workerSession) recordReport(report *Report, sent, now time.Time) (r recordedReport) {
	t := s.t
	t.mu.Lock()
	defer t.mu.Unlock()
	r.first = !s.ready
	s.ready = true
	if r.first {
		t.view.markChanged(s.worker.ID)
	}
	s.endsDelayed = sent.Sub(s.respondedAt) > maxReportGap
	r.returned = r.first && len(s.unresolvedRuns()) > 0
	s.reportedIdle = report.IsIdle()
	respondedAt := s.respondedAt
	s.recordPollResponse(report.ClockMS, now)
	s.confirmation.record(*report, sent, s.pollWait, now)
	r.listed = listedEnds(*report)
	r.ends, r.lastEnd = s.newEnds(*report, now)
	r.listsNewEnds = len(r.ends) > 0
	r.neverStarted = s.neverStarted(*report, r.listed, sent)
	r.ends = append(r.ends, r.neverStarted...)
	r.unknown = s.recordRunning(*report, sent, now)
	// Marked before t.mu is unlocked, so that the runs never count as unaccounted for.
	s.markKnownEnds(r.ends)
	r.firstSeen = s.recordUncommittedEnds(r.ends)
	s.recordEndTimings(r.firstSeen, report, sent, respondedAt, now)
	if !report.Partial {
		s.fullReportSentAt = sent
	}
	return r
}

// applyReport processes a worker's report. sent is when the poll was sent. It commits the
// ends that the report lists, and the runs that the report proves never to have started.
// It returns whether the report lists ends that weren't committed before.
func (s *workerSession) applyReport(report Report, sent time.Time) (listsNewEnds bool) {
	t := s.t
	processed := t.c.cfg.Work.Track(worktime.Report)
	r := s.recordReport(&report, sent, time.Now())
	if r.first {
		t.logger.Log("event", "worker_contact", "worker", s.worker.ID, "outcome", "ready",
			"running", len(report.Running), "ended", len(report.Ended))
	}
	s.endPredecessorRuns(append(r.listed, r.neverStarted...))
	if !report.Partial && s.recordFullReport(&report, sent) {
		s.interruptPredecessors()
	}
	for _, run := range r.unknown {
		t.spawn(func() { s.stopUnknownRun(run) })
	}
	if r.returned {
		// Only this report shows that the worker responds again; later reports don't.
		t.spawn(s.commitWorkerReturned)
	}
	processed()
	if r.lastEnd > 0 || len(r.ends) > 0 {
		s.logEnds(r.firstSeen)
		s.commitEnds(r.lastEnd, r.ends)
	} else if r.first {
		t.wake()
	}
	return r.listsNewEnds
}

// recordFullReport records that a report lists all runs, and returns whether it is the first one.
func (s *workerSession) recordFullReport(report *Report, sent time.Time) (first bool) {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	first = s.predecessorsReportedAt.IsZero()
	s.predecessorsReportedAt, s.listedRunning = sent, runningNumbers(*report)
	return first
}

// runningNumbers returns the number of the run of each task that a report lists as running.
func runningNumbers(report Report) map[workflow.TaskKey]int {
	numbers := make(map[workflow.TaskKey]int, len(report.Running))
	for _, r := range report.Running {
		numbers[r.Task] = r.Number
	}
	return numbers
}

// recordPollResponse records that this incarnation of the worker has just responded to a poll.
// clockMS is the worker's clock in milliseconds, 0 if unknown. t.mu must be held.
func (s *workerSession) recordPollResponse(clockMS int64, now time.Time) {
	s.respondedAt, s.incarnationUnconfirmed = now, false
	s.recordResponse(now)
	if clockMS > 0 {
		// The report identifies the incarnation, so its clock is valid even if the clock seems
		// to have jumped.
		s.clockMS, s.clockAt = clockMS, now
	}
}

// recordUncommittedEnds remembers ends until they are committed, and returns those that weren't
// remembered yet. A worker lists an end in each report until it is committed, which takes long
// while the log accepts no commands. t.mu must be held.
func (s *workerSession) recordUncommittedEnds(ends []workflow.RunEnd) (firstSeen []workflow.RunEnd) {
	for _, end := range ends {
		if s.uncommittedEnds[end.Task].Number != end.Number {
			firstSeen = append(firstSeen, end)
		}
		s.uncommittedEnds[end.Task] = end
	}
	return firstSeen
}

func (s *workerSession) logEnds(ends []workflow.RunEnd) {
	for _, end := range ends {
		s.t.c.cfg.Counters.Add("ends_"+end.Outcome.String(), 1)
		s.t.logger.Log("event", "run_ended", "task", end.Task, "run", end.Number, "worker", s.worker.ID,
			"outcome", end.Outcome)
	}
}

// logEndedJobs logs the jobs that ended with these ends of runs, with the age and the
// objective of each job, and with the parts of that time if timings has the run that ended last.
func (t *leaderTerm) logEndedJobs(ends []workflow.RunEnd, timings map[workflow.TaskKey]runTiming) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.c.state.read(func(s *workflow.State) {
		for _, end := range ends {
			job := s.Jobs[end.Task.Job]
			if job == nil || !job.Ended() || t.loggedEnds[job.ID] {
				continue
			}
			t.loggedEnds[job.ID] = true
			t.endWaits.notify(job.ID)
			accepted := t.acceptedTime(job.ID)
			fields := []any{"event", "job_ended", "job", job.ID, "phase", job.Phase(), "age_ms", now.Sub(accepted).Milliseconds(),
				"age_known", !accepted.IsZero(), "objective_ms", objectiveOf(job).Milliseconds(), "last_task", end.Task, "last_outcome", end.Outcome}
			t.logger.Log(append(fields, timings[end.Task].logFields(accepted, now)...)...)
			t.logCrashingTask(s, job)
		}
	})
}

// listedEnds returns the ends in a report.
func listedEnds(report Report) (ends []workflow.RunEnd) {
	for _, e := range report.Ended {
		ends = append(ends, e.RunEnd)
	}
	return ends
}

// newEnds returns the ends in a report that aren't committed yet, and the highest of their
// positions. t.mu must be held.
func (s *workerSession) newEnds(report Report, now time.Time) (ends []workflow.RunEnd, lastEnd uint64) {
	committed := s.lastCommittedEnd()
	for _, e := range report.Ended {
		if e.Position <= committed {
			// A poll that acknowledges no ends lists them again.
			continue
		}
		lastEnd = max(lastEnd, e.Position)
		ends = append(ends, e.RunEnd)
		s.recordHealth(e.RunEnd, now)
	}
	return ends, lastEnd
}

// recordRunning records progress and checkpoints of the live runs in a report. It returns
// those runs that the log doesn't have and that are to be stopped now. t.mu must be held.
func (s *workerSession) recordRunning(report Report, sent, now time.Time) []workflow.Run {
	var unknown []workflow.Run
	canAdvance, advanced := false, false
	s.listsUnknownRuns = false
	s.t.c.state.read(func(state *workflow.State) {
		for _, r := range report.Running {
			run, ok := state.Runs[s.worker.ID][r.Task]
			if !ok || run.Number != r.Number {
				canAdvance, s.listsUnknownRuns = true, true
				unknownRun := workflow.Run{Task: r.Task, Number: r.Number, Worker: s.worker.ID}
				if now.Sub(s.unknownRuns[unknownRun]) > stopRetryInterval {
					s.unknownRuns[unknownRun] = now
					unknown = append(unknown, unknownRun)
				}
				continue
			}
			s.t.startedJobs[r.Task.Job] = true
			if r.Checkpoint != "" {
				s.t.checkpoints[r.Task] = r.Checkpoint
			}
			o := s.orders[r.Task]
			if spec := stepOf(state, r.Task); o == nil && spec != nil {
				// Runs that an earlier leader or an earlier session ordered are monitored
				// like orders of this session.
				o = &runOrder{run: run, usesSpareCPU: spec.UsesSpareCPU, longRunning: spec.LongRunning, share: unknownShare}
				s.orders[r.Task] = o
			}
			if o != nil {
				o.unanswered = false
				o.listedByPollSentAt = sent
				advanced = o.recordProgress(r.Percent, now) || advanced
			}
			canAdvance = canAdvance || o == nil || o.canAdvance()
		}
		s.updateThrottle(state, report, now)
	})
	s.recordAdvance(report, canAdvance, advanced, now)
	return unknown
}

// neverStarted returns the runs that this report proves never to have started and never
// to start. t.mu must be held.
//
// The absence of a run from the report alone proves nothing: an order without a response
// may be carried out seconds later, and a second start would run the task twice. An
// inherited run counts as never started because the worker accepted this leader's fencing
// token before it made the report, and refuses the older order from then on. A run that
// this leader ordered counts as never started if the worker had acknowledged a stop
// when the poll was sent, since it refuses the run from then on.
func (s *workerSession) neverStarted(report Report, ends []workflow.RunEnd, sent time.Time) []workflow.RunEnd {
	if report.Partial {
		return nil
	}
	listed := map[workflow.TaskKey]int{}
	for _, r := range report.Running {
		listed[r.Task] = r.Number
	}
	for _, e := range ends {
		listed[e.Task] = max(listed[e.Task], e.Number)
	}
	var settled []workflow.RunEnd
	s.t.c.state.read(func(state *workflow.State) {
		for task, run := range state.Runs[s.worker.ID] {
			if listed[task] >= run.Number {
				continue
			}
			o := s.orders[task]
			stopped := o != nil && o.run.Number == run.Number && !o.stopAckedAt.IsZero() && !o.stopAckedAt.After(sent)
			inherited := o == nil && s.inherited[task] == run.Number
			if stopped || inherited {
				settled = append(settled, workflow.RunEnd{Task: task, Number: run.Number, Outcome: workflow.OutcomeNotStarted})
			}
		}
	})
	return settled
}
