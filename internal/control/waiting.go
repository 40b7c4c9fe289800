package control

import (
	"fmt"
	"strings"
	"time"

	"github.com/bilberryferry/bilberryferry/dispatch"
	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// waitingLogInterval is the minimum time between two log lines about one waiting step.
	// Its reason may change with each of ten decisions a second.
	waitingLogInterval = time.Second
	// maxBacklogLogLinesPerSecond bounds the log lines per second about steps that no decision has
	// considered yet. It is a twentieth of the lines that a process may write.
	maxBacklogLogLinesPerSecond = 100
)

// waitingStep records why and for how long one step has been waiting.
type waitingStep struct {
	// reason is the reason found by the last decision that considered the step, reasonAt is
	// when it was first found.
	reason   dispatch.Reason
	reasonAt time.Time
	// since is when the step was first found waiting, or when a task of it last started.
	since time.Time
	// seenAt is the time of the last decision that found the step waiting.
	seenAt time.Time
	// earlierWaits is the time that the step has waited for each earlier reason.
	earlierWaits []waitPeriod
	// loggedReason is the reason that was logged last, loggedAt is the time of that log
	// line.
	loggedReason dispatch.Reason
	loggedAt     time.Time
}

// waitPeriod is the total time waited for one reason.
type waitPeriod struct {
	reason   dispatch.Reason
	duration time.Duration
}

func newWaitingStep(reason dispatch.Reason, now time.Time) *waitingStep {
	return &waitingStep{reason: reason, reasonAt: now, since: now, seenAt: now}
}

// update records the reason that a decision found, and adds the time since the previous
// change of reason to earlierWaits.
func (w *waitingStep) update(reason dispatch.Reason, now time.Time) {
	w.seenAt = now
	if reason == w.reason {
		return
	}
	w.addWait(w.reason, now.Sub(w.reasonAt))
	w.reason, w.reasonAt = reason, now
}

// addWait adds a duration to the time waited for a reason.
func (w *waitingStep) addWait(reason dispatch.Reason, duration time.Duration) {
	for i := range w.earlierWaits {
		if w.earlierWaits[i].reason == reason {
			w.earlierWaits[i].duration += duration
			return
		}
	}
	w.earlierWaits = append(w.earlierWaits, waitPeriod{reason, duration})
}

// restart resets the waiting times after a task of the step has started while others still
// wait.
func (w *waitingStep) restart(now time.Time) {
	w.since, w.reasonAt, w.earlierWaits, w.loggedReason = now, now, nil, ""
}

// logDue reports whether the reason needs a log line. Waiting for the adviser needs none,
// since each query is logged.
func (w *waitingStep) logDue(now time.Time) bool {
	return w.reason != dispatch.ReasonAwaitsAdviser && w.reason != w.loggedReason && now.Sub(w.loggedAt) >= waitingLogInterval
}

// formatEarlierWaits formats the time that the step has waited for each earlier reason,
// for a log line.
func (w *waitingStep) formatEarlierWaits() string {
	parts := make([]string, len(w.earlierWaits))
	for i, s := range w.earlierWaits {
		parts[i] = fmt.Sprintf("%d ms: %s", s.duration.Milliseconds(), s.reason)
	}
	return strings.Join(parts, "; ")
}

// updateWaiting records why steps wait, and logs each new reason of a step. If the
// decision considered all steps, a step that the plan doesn't name no longer waits.
func (t *leaderTerm) updateWaiting(plan *dispatch.Plan, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	previous := t.waiting
	t.stepsBeyondBound = plan.BeyondBound
	if plan.BeyondBound == 0 || previous == nil {
		t.waiting = make(map[workflow.StepKey]*waitingStep, len(plan.Waiting))
	}
	for i := range plan.Waiting {
		w := &plan.Waiting[i]
		state := previous[w.Step]
		if state == nil {
			state = newWaitingStep(w.Reason, now)
		}
		state.update(w.Reason, now)
		t.waiting[w.Step] = state
		t.logWaiting(w, state, now)
	}
	for i := range plan.Starts {
		key := plan.Starts[i].Task.StepKey
		switch state := t.waiting[key]; {
		case state == nil:
		case state.seenAt.Equal(now):
			state.restart(now)
		default:
			delete(t.waiting, key)
		}
	}
}

// logWaiting logs why a step waits, if a line is due.
func (t *leaderTerm) logWaiting(w *dispatch.Waiting, state *waitingStep, now time.Time) {
	if !state.logDue(now) {
		return
	}
	state.loggedReason, state.loggedAt = state.reason, now
	t.logger.Log("event", "step_waiting", "step", w.Step, "tasks", w.Tasks, "reason", state.reason, "service", w.Service, "label", w.Label,
		"waited_ms", now.Sub(state.since).Milliseconds(), "earlier", state.formatEarlierWaits())
}

// waitingReason returns why a step waits, or "" when it doesn't. t.mu must be held.
func (t *leaderTerm) waitingReason(key workflow.StepKey) dispatch.Reason {
	if state := t.waiting[key]; state != nil {
		return state.reason
	}
	if t.stepsBeyondBound > 0 {
		return dispatch.ReasonBeyondBound
	}
	return ""
}

// addBacklog adds the steps that no decision has considered yet to t.waiting, and removes
// those that no longer wait. It scans all steps, so it runs once a second and only while
// decisions don't consider all of them. t.mu must be held.
func (t *leaderTerm) addBacklog(input *planInput, plan *dispatch.Plan, now time.Time) {
	if plan.BeyondBound == 0 {
		return
	}
	started := make(map[workflow.StepKey]bool, len(plan.Starts))
	for i := range plan.Starts {
		started[plan.Starts[i].Task.StepKey] = true
	}
	ready := make(map[workflow.StepKey]bool, len(input.steps))
	lines := 0
	for i := range input.steps {
		s := &input.steps[i]
		ready[s.Key] = true
		if s.Copy || started[s.Key] || t.waiting[s.Key] != nil {
			continue
		}
		state := newWaitingStep(dispatch.ReasonBeyondBound, now)
		t.waiting[s.Key] = state
		if lines++; lines > maxBacklogLogLinesPerSecond {
			continue
		}
		t.logWaiting(&dispatch.Waiting{Step: s.Key, Tasks: len(s.Pending), Service: s.Service, Label: s.Spec.Label}, state, now)
	}
	for key := range t.waiting {
		if !ready[key] {
			delete(t.waiting, key)
		}
	}
}

// oldestWaiting returns the step that has waited longest and its waiting state, nil when
// none waits. t.mu must be held.
func (t *leaderTerm) oldestWaiting(input *planInput) (*dispatch.Step, *waitingStep) {
	var oldest *dispatch.Step
	var oldestState *waitingStep
	for i := range input.steps {
		s := &input.steps[i]
		w := t.waiting[s.Key]
		if s.Copy || w == nil {
			continue
		}
		if oldest == nil || w.since.Before(oldestState.since) || w.since.Equal(oldestState.since) && workflow.CompareSteps(s.Key, oldest.Key) < 0 {
			oldest, oldestState = s, w
		}
	}
	return oldest, oldestState
}
