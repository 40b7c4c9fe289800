package control

import (
	"time"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// runTiming holds the moments of one run that divide the time from the commit of its start to the
// commit of its end.
type runTiming struct {
	startCommittedAt time.Time
	// startedAt is when the worker's response to the start arrived, startClockMS the worker's clock
	// in that response.
	startedAt    time.Time
	startClockMS int64
	// endSeenAt is when the report arrived that first listed the end, endClockMS the worker's clock
	// in that report.
	endSeenAt  time.Time
	endClockMS int64
	// unpolled is how long no poll had been outstanding when the poll was sent whose report first
	// listed the end.
	unpolled time.Duration
}

// recordEndTimings records for the runs of ends that a report lists for the first time when they were
// seen. sent is when the poll was sent, respondedAt when the report before it arrived. t.mu must be held.
func (s *workerSession) recordEndTimings(ends []workflow.RunEnd, report *Report, sent, respondedAt, now time.Time) {
	for _, end := range ends {
		o := s.orders[end.Task]
		if o == nil || o.run.Number != end.Number {
			continue
		}
		o.timing.endSeenAt, o.timing.endClockMS = now, report.ClockMS
		if !respondedAt.IsZero() {
			o.timing.unpolled = sent.Sub(respondedAt)
		}
	}
}

// takeTimings returns the timings of the runs that ends belong to. t.mu must be held.
func (s *workerSession) takeTimings(ends []workflow.RunEnd) map[workflow.TaskKey]runTiming {
	timings := make(map[workflow.TaskKey]runTiming, len(ends))
	for _, end := range ends {
		if o := s.orders[end.Task]; o != nil && o.run.Number == end.Number {
			timing := o.timing
			timing.startedAt = o.startedAt
			timings[end.Task] = timing
		}
	}
	return timings
}

// logFields returns the parts of the time from accepted to now as fields of a log line, nothing for a run
// whose start or end this leader term hasn't seen.
//
// A worker's clock is read only against itself, so it needn't agree with this process's clock.
func (r runTiming) logFields(accepted, now time.Time) []any {
	if r.startCommittedAt.IsZero() || r.startedAt.IsZero() || r.endSeenAt.IsZero() {
		return nil
	}
	atWorker := time.Duration(r.endClockMS-r.startClockMS) * time.Millisecond
	return []any{
		"start_committed_ms", r.startCommittedAt.Sub(accepted).Milliseconds(),
		"start_delivery_ms", r.startedAt.Sub(r.startCommittedAt).Milliseconds(),
		"at_worker_ms", atWorker.Milliseconds(),
		"report_delivery_ms", (r.endSeenAt.Sub(r.startedAt) - atWorker).Milliseconds(),
		"unpolled_ms", r.unpolled.Milliseconds(),
		"end_commit_ms", now.Sub(r.endSeenAt).Milliseconds(),
	}
}
