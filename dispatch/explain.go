package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// ReasonCount is the number of workers that one reason rules out for a task.
type ReasonCount struct {
	Reason  Reason
	Workers int
	// Example is the ID of one of the workers that the reason rules out.
	Example string
}

// Explain counts the workers of the step's service by the reason why one more task of s
// can't start on them now, the most frequent reason first. Workers on which a task could
// start are counted under the empty reason.
func Explain(now time.Duration, s *Step, workers []Worker, limits Limits) []ReasonCount {
	p := &planner{now: now, limits: limits}
	var counts []ReasonCount
	for i := range workers {
		w := &workers[i]
		if w.Service != s.Service {
			continue
		}
		reason := p.blockingReason(s, w)
		at := slices.IndexFunc(counts, func(c ReasonCount) bool { return c.Reason == reason })
		if at < 0 {
			at = len(counts)
			counts = append(counts, ReasonCount{Reason: reason, Example: w.ID})
		}
		counts[at].Workers++
	}
	slices.SortStableFunc(counts, func(a, b ReasonCount) int { return cmp.Compare(b.Workers, a.Workers) })
	return counts
}

// blockingReason returns the first reason that rules out w for one more task of s; empty
// for none.
func (p *planner) blockingReason(s *Step, w *Worker) Reason {
	if reason := unmetRequirement(s, w); reason != "" {
		return reason
	}
	permit, known := s.Permits[w.ID]
	switch {
	case s.NeedsPermit && !known:
		return ReasonNotQueried
	case s.NeedsPermit && !permit.Granted:
		return ReasonWorkerRefused
	case s.Spec.MaxPerWorker > 0 && s.Placed[w.ID] >= s.Spec.MaxPerWorker:
		return ReasonMaxPerWorker
	case s.Copy && slices.Contains(slices.Collect(maps.Values(s.Avoid)), w.ID):
		return ReasonRunPresent
	case fitCount(s, w) == 0:
		return ReasonWorkerFull
	case !p.mayStartOn(s, w):
		return ReasonTicketExpired
	}
	return ""
}
