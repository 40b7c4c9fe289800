package jobtrace

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// QueueSummary counts how the jobs of a queue ended, and adds up where the late ones spent their
// time.
type QueueSummary struct {
	Queue string
	// InTime, Late, Failed and Unfinished count the accepted jobs: those that met their objective,
	// those that were done after it, those that failed, and those without a line that shows their
	// end.
	InTime, Late, Failed, Unfinished int
	// Lateness is the total time by which the late jobs passed their objectives.
	Lateness time.Duration
	// Spans are the activities of the late jobs, longest first.
	Spans []Span
	// All, Largest and NextLargest say how many jobs were served: of all, of the tenth with the most
	// estimated work, and of the fifth below it.
	All, Largest, NextLargest ServedJobs
}

// Summarize returns a summary of each queue, by name, from the log lines of all instances, which
// must be sorted by time.
func Summarize(lines []Line) []QueueSummary {
	gaps := leaderlessIntervals(lines)
	summaries := map[string]*QueueSummary{}
	durations := map[string]map[string]time.Duration{}
	sizes := map[string][]jobSize{}
	for _, jobLines := range groupByJob(lines) {
		accepted := findOutcome(jobLines, "submit", "accepted")
		if accepted < 0 {
			continue
		}
		queue := jobLines[accepted].Get("queue")
		if summaries[queue] == nil {
			summaries[queue], durations[queue] = &QueueSummary{Queue: queue}, map[string]time.Duration{}
		}
		sizes[queue] = append(sizes[queue], sizeOf(jobLines, accepted))
		late := summaries[queue].countJob(jobLines, accepted)
		if late == nil {
			continue
		}
		for _, span := range sumSpansBetween(gaps, late) {
			durations[queue][span.Activity] += span.Duration
		}
	}
	var sorted []QueueSummary
	for queue, summary := range summaries {
		summary.Spans = sortedSpans(durations[queue])
		summary.setServedBySize(sizes[queue])
		sorted = append(sorted, *summary)
	}
	slices.SortFunc(sorted, func(a, b QueueSummary) int { return cmp.Compare(a.Queue, b.Queue) })
	return sorted
}

// groupByJob returns the lines of each job, by the ID of the job.
func groupByJob(lines []Line) map[string][]Line {
	groups := map[string][]Line{}
	for i := range lines {
		for _, id := range lines[i].subjects() {
			groups[id] = append(groups[id], lines[i])
		}
	}
	return groups
}

// countJob counts one accepted job. It returns the lines of a late job from its acceptance to its
// end, nil for any other job.
func (s *QueueSummary) countJob(jobLines []Line, accepted int) []Line {
	ended := findEvent(jobLines, "job_ended")
	if ended < accepted {
		s.Unfinished++
		return nil
	}
	end := &jobLines[ended]
	objectiveMS, err := strconv.ParseInt(strings.TrimSpace(end.Get("objective_ms")), 10, 64)
	took := end.Time.Sub(jobLines[accepted].Time)
	objective := time.Duration(objectiveMS) * time.Millisecond
	switch {
	case end.Get("phase") == "failed":
		s.Failed++
	case err != nil || took <= objective:
		s.InTime++
	default:
		s.Late++
		s.Lateness += took - objective
		return jobLines[accepted : ended+1]
	}
	return nil
}
