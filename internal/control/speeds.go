package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/bilberryferry/bilberryferry/speed"
	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// speedInterval is the time between two classifications of the workers by their speeds. It
	// also bounds the commits of slow workers to one per interval.
	speedInterval = time.Second
	// maxExplainedSlowWorkers bounds the slow workers that an explanation lists.
	maxExplainedSlowWorkers = 10
	// maxSpeedLogLines bounds the log lines about changes in one classification. A hundred
	// workers may become slow or fast within a few seconds after a leader has begun.
	maxSpeedLogLines = 50
)

// learnerOf returns the learner of the speeds of a service's workers. Workers of different
// services share no steps, so their speeds can't be compared. t.mu must be held.
func (t *leaderTerm) learnerOf(service string) *speed.Learner {
	learner := t.learners[service]
	if learner == nil {
		learner = speed.NewLearner()
		if t.learners == nil {
			t.learners = map[string]*speed.Learner{}
		}
		t.learners[service] = learner
	}
	return learner
}

// classifySpeeds updates which workers are slow or fast, at most once per speedInterval, and commits
// the changes. t.mu must be held.
func (t *leaderTerm) classifySpeeds(s *workflow.State, now time.Time) {
	if now.Sub(t.speedsAt) < speedInterval {
		return
	}
	t.speedsAt = now
	t.restoreSpeeds(s)
	for service, learner := range t.learners {
		learner.Retain(func(id string) bool { return t.sessions[id] != nil })
		changes := learner.Classify()
		for _, change := range changes[:min(len(changes), maxSpeedLogLines)] {
			e := change.Estimate
			t.logger.Log("event", "worker_speed", "worker", change.Worker, "service", service, "class", e.Class, "very_slow", e.VerySlow,
				"relative", e.Relative, "uncertainty", e.Uncertainty, "runs", e.Runs)
		}
	}
	countByClass := map[speed.Class]int64{}
	var changed []workflow.WorkerSpeed
	for id, session := range t.sessions {
		estimate := t.learnerOf(session.worker.Service).Estimate(id)
		if estimate.Class != session.speed.Class {
			t.view.markChanged(id)
		}
		session.speed = estimate
		countByClass[session.speed.Class]++
		if state := s.Workers[id]; state != nil && !state.Gone && speed.ClassOfPercent(state.SpeedPercent) != session.speed.Class {
			changed = append(changed, workflow.WorkerSpeed{Worker: id, SpeedPercent: session.speed.Percent()})
		}
	}
	t.c.cfg.Counters.Set("slow_workers", countByClass[speed.Slow])
	t.c.cfg.Counters.Set("fast_workers", countByClass[speed.Fast])
	t.commitSpeeds(changed)
}

// restoreSpeeds takes over the slow and fast workers from the log: those that an earlier leader found,
// and those whose session had ended. t.mu must be held.
func (t *leaderTerm) restoreSpeeds(s *workflow.State) {
	for id, session := range t.sessions {
		state := s.Workers[id]
		if state == nil || state.Gone || state.SpeedPercent == 0 {
			continue
		}
		learner := t.learnerOf(session.worker.Service)
		if e := learner.Estimate(id); e.Runs == 0 && e.Class == speed.Ordinary {
			learner.Restore(id, state.SpeedPercent)
		}
	}
}

// commitSpeeds commits the workers that changed their class, unless a commit is in flight. A failed
// commit needs no retry: the next classification compares with the log again. t.mu must be held.
func (t *leaderTerm) commitSpeeds(changed []workflow.WorkerSpeed) {
	if len(changed) == 0 || t.speedsInFlight {
		return
	}
	t.speedsInFlight = true
	t.spawn(func() {
		// propose logs the failure.
		_, _ = t.propose(&workflow.Command{Speeds: changed})
		t.mu.Lock()
		defer t.mu.Unlock()
		t.speedsInFlight = false
	})
}

// explainSpeeds returns the slow workers of a service, the slowest first, and how many there are.
// t.mu must be held.
func (t *leaderTerm) explainSpeeds(service string) (slow []SlowWorker, count int) {
	for id, session := range t.sessions {
		if e := session.speed; e.Class == speed.Slow && session.worker.Service == service {
			slow = append(slow, SlowWorker{Worker: id, Speed: e.Relative, Uncertainty: e.Uncertainty, Runs: e.Runs})
		}
	}
	slices.SortFunc(slow, func(a, b SlowWorker) int {
		return cmp.Or(cmp.Compare(a.Speed, b.Speed), cmp.Compare(a.Worker, b.Worker))
	})
	return slow[:min(len(slow), maxExplainedSlowWorkers)], len(slow)
}
