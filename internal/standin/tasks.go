package standin

import (
	"errors"
	"fmt"
	"time"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/lease"
)

func attemptOf(ref *apiv1.AttemptRef) lease.Attempt {
	return lease.Attempt{Job: ref.GetJob(), Task: ref.GetTask(), Attempt: ref.GetAttempt()}
}

func refOf(a lease.Attempt) *apiv1.AttemptRef {
	return &apiv1.AttemptRef{Job: a.Job, Task: a.Task, Attempt: a.Attempt}
}

func headerOf(c *apiv1.Command) lease.Header {
	return lease.Header{
		Incarnation: c.Incarnation,
		Position:    lease.Position{Term: c.Term, Number: c.Number},
	}
}

// run is one running attempt.
type run struct {
	attempt lease.Attempt
	start   *apiv1.StartTask
	payload Payload
	record  *RunRecord
	timer   *time.Timer
}

// applyCommands executes commands in order while the worker holds its lease. Commands
// that arrive after the lease has expired are ignored, because the owner may already have
// declared the attempts of these commands dead. s.mu must be held.
func (s *session) applyCommands(commands []*apiv1.Command) {
	for _, c := range commands {
		if !s.holder.Valid(s.clock()) {
			return
		}
		if start := c.GetStart(); start != nil {
			s.applyStart(headerOf(c), start)
		}
		if stop := c.GetStop(); stop != nil {
			s.applyStop(headerOf(c), stop)
		}
	}
}

// applyStart starts an attempt. It reports the attempt as not started when a stop arrived
// earlier, the worker leaves or the demand exceeds the free resources. It ignores a
// command that the guard refuses for another reason: the guard's position, which
// renewals carry, tells the owner whether to send the command again. s.mu must be held.
func (s *session) applyStart(h lease.Header, start *apiv1.StartTask) {
	attempt := attemptOf(start.Attempt)
	err := s.guard.Start(h, attempt)
	switch {
	case errors.Is(err, lease.ErrStopped):
		s.reportNotStarted(attempt, "stopped before start")
	case err != nil:
		return
	case s.leaving:
		s.refuse(attempt, "worker leaves")
	case !s.fits(start.Need):
		s.recordOvercommitted(attempt, start.Need)
		s.refuse(attempt, "demand exceeds the worker's free resources")
	default:
		s.startRun(attempt, start)
	}
}

// fits reports whether the demand is within the worker's free resources. s.mu must be
// held.
func (s *session) fits(demand *apiv1.Resources) bool {
	return s.used.CpuMilli+demand.GetCpuMilli() <= s.capacity.GetCpuMilli() &&
		s.used.MemoryMib+demand.GetMemoryMib() <= s.capacity.GetMemoryMib() &&
		s.used.Accelerators+demand.GetAccelerators() <= s.capacity.GetAccelerators()
}

// recordOvercommitted records a violation by a start whose demand exceeds the free
// resources. s.mu must be held.
func (s *session) recordOvercommitted(attempt lease.Attempt, demand *apiv1.Resources) {
	detail := fmt.Sprintf("%s demands cpu_milli=%d memory_mib=%d accelerators=%d, running tasks use cpu_milli=%d memory_mib=%d accelerators=%d",
		attempt.Job, demand.GetCpuMilli(), demand.GetMemoryMib(), demand.GetAccelerators(),
		s.used.CpuMilli, s.used.MemoryMib, s.used.Accelerators)
	s.worker.cfg.Ledger.Add(Overcommitted, s.worker.id, detail)
}

// refuse ends an attempt that the guard has accepted without running it, and reports it
// as not started. s.mu must be held.
func (s *session) refuse(attempt lease.Attempt, reason string) {
	_ = s.guard.End(attempt)
	s.reportNotStarted(attempt, reason)
}

// reportNotStarted queues a report that the attempt never started.
func (s *session) reportNotStarted(attempt lease.Attempt, reason string) {
	s.reports.add(&apiv1.AttemptReport{
		Attempt: refOf(attempt),
		Outcome: apiv1.Outcome_OUTCOME_NOT_STARTED,
		Detail:  reason,
	}, s.worker.currentFaults().ReportDelay)
}

// startRun records the start of an attempt and schedules its end. s.mu must be held.
func (s *session) startRun(attempt lease.Attempt, start *apiv1.StartTask) {
	payload := ParsePayload(start.Payload)
	r := &run{attempt: attempt, start: start, payload: payload}
	r.record = s.worker.cfg.Ledger.Start(RunRecord{
		Job:     attempt.Job,
		Task:    attempt.Task,
		Attempt: attempt.Attempt,
		Worker:  s.worker.id,
		Demand:  start.Need,
		Start:   time.Now(),
	}, payload.NonIdempotent)
	s.running[attempt] = r
	s.adjustUsed(start.Need, 1)
	s.scheduleEnd(r)
}

// scheduleEnd sets the timer that ends a run after its true run time, or immediately
// with the fault FailAll. s.mu must be held.
func (s *session) scheduleEnd(r *run) {
	cfg := s.worker.cfg
	if s.worker.currentFaults().FailAll {
		r.timer = time.AfterFunc(0, func() { s.finishRun(r, apiv1.Outcome_OUTCOME_FAILED, "injected fault: every task fails") })
		return
	}
	runtime := r.payload.runtime(r.start, cfg.Seed, cfg.RuntimeLow, cfg.RuntimeHigh)
	if runtime <= 0 {
		// The task runs until it is stopped. Its timer is set so that endRun can stop
		// it, but never fires.
		r.timer = time.AfterFunc(stoppedTimerDelay, func() {})
		r.timer.Stop()
		return
	}
	outcome, detail := apiv1.Outcome_OUTCOME_FINISHED, ""
	if r.payload.Fail {
		outcome, detail = apiv1.Outcome_OUTCOME_FAILED, "the payload makes the task fail"
	}
	r.timer = time.AfterFunc(runtime, func() { s.finishRun(r, outcome, detail) })
}

// adjustUsed adds the demand of a run to the used resources if sign is 1, and subtracts
// it if sign is -1. s.mu must be held.
func (s *session) adjustUsed(demand *apiv1.Resources, sign int64) {
	s.used.CpuMilli += sign * demand.GetCpuMilli()
	s.used.MemoryMib += sign * demand.GetMemoryMib()
	s.used.Accelerators += sign * demand.GetAccelerators()
}

// finishRun ends a run with the given outcome and detail when its timer fires.
func (s *session) finishRun(r *run, outcome apiv1.Outcome, detail string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// After the lease has expired, the owner may have started the task on another
	// worker. An end this late must not count as the task's result, so it is reported
	// as a stop.
	if !s.holder.Valid(s.clock()) {
		outcome, detail = apiv1.Outcome_OUTCOME_STOPPED, "lease ended"
	}
	s.endRun(r, outcome, detail)
}

// endRun ends a run and queues its report, unless the run or the incarnation has already
// ended. s.mu must be held.
func (s *session) endRun(r *run, outcome apiv1.Outcome, detail string) {
	if s.closed || s.running[r.attempt] != r {
		return
	}
	delete(s.running, r.attempt)
	r.timer.Stop()
	s.adjustUsed(r.start.Need, -1)
	now := time.Now()
	s.worker.cfg.Ledger.End(r.record, outcome, now)
	_ = s.guard.End(r.attempt)
	s.reports.add(&apiv1.AttemptReport{
		Attempt:   r.start.Attempt,
		Outcome:   outcome,
		Detail:    detail,
		RuntimeMs: now.Sub(r.record.Start).Milliseconds(),
		PeakUsage: r.payload.peak(r.start.Need),
	}, s.worker.currentFaults().ReportDelay)
}

// applyStop stops a running attempt. It reports an attempt that never started as not
// started, and the guard refuses each later start of that attempt. An attempt that has
// ended needs no action: its report is retried until it is acknowledged. s.mu must be
// held.
func (s *session) applyStop(h lease.Header, stop *apiv1.StopTask) {
	attempt := attemptOf(stop.Attempt)
	result, err := s.guard.Stop(h, attempt)
	if err != nil {
		return
	}
	switch result {
	case lease.StopRunning:
		s.endRun(s.running[attempt], apiv1.Outcome_OUTCOME_STOPPED, "stopped by command")
	case lease.StopBeforeStart:
		s.reportNotStarted(attempt, "stopped before start")
	}
}

// leave stops all tasks and makes the session refuse later starts.
func (s *session) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	s.stopAll("worker leaves")
}

// stopAll ends all runs with the outcome stopped. s.mu must be held.
func (s *session) stopAll(reason string) {
	for _, r := range s.running {
		s.endRun(r, apiv1.Outcome_OUTCOME_STOPPED, reason)
	}
}
