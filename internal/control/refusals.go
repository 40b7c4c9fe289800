package control

import (
	"time"

	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// minRefusalPause and maxRefusalPause bound how long a worker that has refused the starts of a step
	// repeatedly gets none of them. The pause doubles with each further refusal.
	minRefusalPause = 20 * time.Millisecond
	maxRefusalPause = time.Second
)

// startRefusals counts how often in a row a worker has refused starts of a step.
type startRefusals struct {
	count int
	// until is when the next start may be sent.
	until time.Time
}

// stepRefusals holds the refusals of a step by worker.
type stepRefusals map[string]startRefusals

// add records a refusal at the given time. The first one causes no pause, since most refusals are over at once. One that
// arrives during a pause belongs to a start that was sent before it.
func (r stepRefusals) add(worker string, now time.Time) {
	refusals := r[worker]
	if now.Before(refusals.until) {
		return
	}
	refusals.count++
	if refusals.count > 1 {
		refusals.until = now.Add(refusalPause(refusals.count))
	}
	r[worker] = refusals
}

// refusalPause returns the pause after a number of refusals in a row, at least 2.
func refusalPause(count int) time.Duration {
	pause := minRefusalPause
	for i := 2; i < count && pause < maxRefusalPause; i++ {
		pause *= 2
	}
	return min(pause, maxRefusalPause)
}

// paused returns the set of the workers to which no start may be sent now, nil for none.
func (r stepRefusals) paused(now time.Time) (workers map[string]bool) {
	for worker, refusals := range r {
		if !now.Before(refusals.until) {
			continue
		}
		if workers == nil {
			workers = map[string]bool{}
		}
		workers[worker] = true
	}
	return workers
}

// addRefusal records that a worker has refused a start of a step.
//
// The next decision would choose the same worker again: a worker that refuses all starts looks the most free. t.mu must be
// held.
func (t *leaderTerm) addRefusal(step workflow.StepKey, worker string, now time.Time) {
	refusals := t.refusals[step]
	if refusals == nil {
		refusals = stepRefusals{}
		t.refusals[step] = refusals
	}
	refusals.add(worker, now)
}

// clearRefusals records that a worker has accepted a start of a step. t.mu must be held.
func (t *leaderTerm) clearRefusals(step workflow.StepKey, worker string) {
	refusals := t.refusals[step]
	delete(refusals, worker)
	if len(refusals) == 0 {
		delete(t.refusals, step)
	}
}
