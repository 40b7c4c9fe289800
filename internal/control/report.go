package control

import (
	"time"

	"github.com/bilberryferry/bilberryferry/internal/worktime"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// stopRetryInterval is the time between two stops of the same run.
const stopRetryInterval = 400 * time.Millisecond

// applyReport processes a worker's report. sent is when the poll was sent. It commits the
// ends that the report lists, and the runs that the report proves never to have started.
// It returns whether the report lists ends that weren't committed before.
func (s *workerSession) applyReport(report Report, sent time.Time) (listsNewEnds bool) {
	t := s.t
	now := time.Now()
	processed := t.c.cfg.Work.Track(worktime.Report)
	t.mu.Lock()
	firstReport := !s.ready
	s.ready = true
	if firstReport {
		t.view.markChanged(s.worker.ID)
	}
	s.endsDelayed = sent.Sub(s.respondedAt) > maxReportGap
	returned := firstReport && len(s.unresolvedRuns()) > 0
	s.reportedIdle = report.IsIdle()
	respondedAt := s.respondedAt
	s.recordReport(report.ClockMS, now)
	s.confirmation.record(report, sent, s.pollWait, now)
	listed := listedEnds(report)
	ends, lastEnd := s.newEnds(report, now)
	listsNewEnds = len(ends) > 0
	neverStarted := s.neverStarted(report, listed, sent)
	ends = append(ends, neverStarted...)
	unknown := s.recordRunning(report, sent, now)
	// Marked before t.mu is unlocked, so that the runs never count as unaccounted for.
	s.markKnownEnds(ends)
	firstSeen := s.recordUncommittedEnds(ends)
	s.recordEndTimings(firstSeen, &report, sent, respondedAt, now)
	if !report.Partial {
		s.fullReportSentAt = sent
	}
	t.mu.Unlock()
	if firstReport {
		t.logger.Log("event", "worker_contact", "worker", s.worker.ID, "outcome", "ready",
			"running", len(report.Running), "ended", len(report.Ended))
	}
	s.endPredecessorRuns(append(listed, neverStarted...))
	if !report.Partial {
		t.mu.Lock()
		firstFullReport := s.predecessorsReportedAt.IsZero()
		s.predecessorsReportedAt, s.listedRunning = sent, runningNumbers(report)
		t.mu.Unlock()
		if firstFullReport {
			s.interruptPredecessors()
		}
	}
	for _, run := range unknown {
		t.spawn(func() { s.stopUnknownRun(run) })
	}
	if returned {
		// Only this report shows that the worker responds again; later reports don't.
		t.spawn(s.commitWorkerReturned)
	}
	processed()
	if lastEnd > 0 || len(ends) > 0 {
		s.logEnds(firstSeen)
		s.commitEnds(lastEnd, ends)
	} else if firstReport {
		t.wake()
	}
	return listsNewEnds
}

// runningNumbers returns the number of the run of each task that a report lists as running.
func runningNumbers(report Report) map[workflow.TaskKey]int {
	numbers := make(map[workflow.TaskKey]int, len(report.Running))
	for _, r := range report.Running {
		numbers[r.Task] = r.Number
	}
	return numbers
}

// recordReport records that this incarnation of the worker has just responded to a poll.
// clockMS is the worker's clock in milliseconds, 0 if unknown. t.mu must be held.
func (s *workerSession) recordReport(clockMS int64, now time.Time) {
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
