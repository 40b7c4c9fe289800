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

// run is one attempt that runs on a worker.
type run struct {
	attempt lease.Attempt
	start   *apiv1.StartTask
	payload Payload
	record  *RunRecord
	timer   *time.Timer
}

// applyCommands handles commands in order. Without a lease none is taken: an
// answer that comes late may carry starts of attempts that the owner has
// declared dead since.
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

// applyStart starts an attempt unless the guard refuses it. A refused command is
// either done with or comes again, as the guard's position tells the owner.
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
		s.refuse(attempt, "does not fit")
	default:
		s.startRun(attempt, start)
	}
}

func (s *session) fits(demand *apiv1.Resources) bool {
	return s.used.CpuMilli+demand.GetCpuMilli() <= s.capacity.GetCpuMilli() &&
		s.used.MemoryMib+demand.GetMemoryMib() <= s.capacity.GetMemoryMib() &&
		s.used.Accelerators+demand.GetAccelerators() <= s.capacity.GetAccelerators()
}

func (s *session) recordOvercommitted(attempt lease.Attempt, demand *apiv1.Resources) {
	detail := fmt.Sprintf("%s needs cpu=%d memory=%d accelerators=%d, used cpu=%d memory=%d accelerators=%d",
		attempt.Job, demand.GetCpuMilli(), demand.GetMemoryMib(), demand.GetAccelerators(),
		s.used.CpuMilli, s.used.MemoryMib, s.used.Accelerators)
	s.worker.cfg.Ledger.Add(Overcommitted, s.worker.id, detail)
}

// refuse ends an attempt that the guard has let pass without ever running it.
func (s *session) refuse(attempt lease.Attempt, reason string) {
	_ = s.guard.End(attempt)
	s.reportNotStarted(attempt, reason)
}

func (s *session) reportNotStarted(attempt lease.Attempt, reason string) {
	s.reports.add(&apiv1.AttemptReport{
		Attempt: refOf(attempt),
		Outcome: apiv1.Outcome_OUTCOME_NOT_STARTED,
		Detail:  reason,
	}, s.worker.currentFaults().ReportDelay)
}

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

func (s *session) scheduleEnd(r *run) {
	cfg := s.worker.cfg
	if s.worker.currentFaults().FailAll {
		r.timer = time.AfterFunc(0, func() { s.finish(r, apiv1.Outcome_OUTCOME_FAILED, "fails everything") })
		return
	}
	runtime := r.payload.runtime(r.start, cfg.Seed, cfg.RuntimeLow, cfg.RuntimeHigh)
	if runtime <= 0 {
		// A service runs until it is stopped; the timer is never set.
		r.timer = time.AfterFunc(time.Hour, func() {})
		r.timer.Stop()
		return
	}
	outcome, detail := apiv1.Outcome_OUTCOME_FINISHED, ""
	if r.payload.Fail {
		outcome, detail = apiv1.Outcome_OUTCOME_FAILED, "told to fail"
	}
	r.timer = time.AfterFunc(runtime, func() { s.finish(r, outcome, detail) })
}

func (s *session) adjustUsed(demand *apiv1.Resources, sign int64) {
	s.used.CpuMilli += sign * demand.GetCpuMilli()
	s.used.MemoryMib += sign * demand.GetMemoryMib()
	s.used.Accelerators += sign * demand.GetAccelerators()
}

func (s *session) finish(r *run, outcome apiv1.Outcome, detail string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A task whose lease has ended may have been started elsewhere: its end
	// comes too late to count, so it is told as a stop.
	if !s.holder.Valid(s.clock()) {
		outcome, detail = apiv1.Outcome_OUTCOME_STOPPED, "lease ended"
	}
	s.endRun(r, outcome, detail)
}

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

// applyStop stops an attempt that runs, and proves of one that never started
// that it never will. An end that is already reported is repeated until it is
// acknowledged, so nothing is to be done for it.
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

// leave stops all tasks and starts no more.
func (s *session) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	s.stopAll("worker leaves")
}

func (s *session) stopAll(reason string) {
	for _, r := range s.running {
		s.endRun(r, apiv1.Outcome_OUTCOME_STOPPED, reason)
	}
}
