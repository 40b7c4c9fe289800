package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Count is how many workers one reason keeps from running a task.
type Count struct {
	Reason  Reason
	Workers int
	// Example is one of them.
	Example string
}

// Explain counts the workers of the step's service by what keeps them from
// running one more task of s now, the most frequent reason first. Workers that
// could are counted under the empty reason.
func Explain(now time.Duration, s *Step, workers []Worker, limits Limits) []Count {
	p := &planner{now: now, limits: limits}
	var counts []Count
	for i := range workers {
		w := &workers[i]
		if w.Service != s.Service {
			continue
		}
		reason := p.obstacle(s, w)
		at := slices.IndexFunc(counts, func(c Count) bool { return c.Reason == reason })
		if at < 0 {
			at = len(counts)
			counts = append(counts, Count{Reason: reason, Example: w.ID})
		}
		counts[at].Workers++
	}
	slices.SortStableFunc(counts, func(a, b Count) int { return cmp.Compare(b.Workers, a.Workers) })
	return counts
}

// obstacle returns the first thing that keeps one more task of s off w.
func (p *planner) obstacle(s *Step, w *Worker) Reason {
	if reason := rejection(s, w); reason != "" {
		return reason
	}
	permit, known := s.Permits[w.ID]
	switch {
	case s.NeedsPermit && !known:
		return ReasonUnasked
	case s.NeedsPermit && !permit.Granted:
		return ReasonDenied
	case s.Spec.MaxPerWorker > 0 && s.Placed[w.ID] >= s.Spec.MaxPerWorker:
		return ReasonAffinity
	case s.Copy && slices.Contains(slices.Collect(maps.Values(s.Avoid)), w.ID):
		return ReasonBeside
	case copies(s, w) == 0:
		return ReasonFull
	case !p.usable(s, w):
		return ReasonTicket
	}
	return ""
}
