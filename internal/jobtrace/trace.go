package jobtrace

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Span is the total time that a job spent in one activity.
type Span struct {
	Activity string
	Duration time.Duration
}

// Trace is the outcome of a job and how it spent its time.
type Trace struct {
	// Outcome is one sentence: the outcome that the caller saw and its largest cause.
	Outcome string
	// Spans are the job's activities, longest first. They add up to the time from the
	// start of the submission's commit to the job's end, or to its last line.
	Spans []Span
	// Lines are the log lines that concern the job.
	Lines []Line
}

// Activities in which a job spends its time.
const (
	spanCommit           = "in the commit of the submission"
	spanAdviserWait      = "waiting for the adviser"
	spanNoLeader         = "without a leader"
	spanUnsuccessfulRuns = "in unsuccessful runs"
	spanSuccessfulRuns   = "in runs that did the work"
	spanDecisionToCommit = "between decisions and their commits"
	// spanWaiting is the prefix of the activity of a waiting step. The reason for the wait
	// follows it.
	spanWaiting = "waiting: "
)

// Explain returns the trace of a job from the log lines of all instances, which must
// be sorted by time.
func Explain(lines []Line, job string) Trace {
	var jobLines []Line
	for i := range lines {
		if lines[i].Concerns(job) {
			jobLines = append(jobLines, lines[i])
		}
	}
	t := Trace{Lines: jobLines}
	accepted, ended := findOutcome(jobLines, "submit", "accepted"), findEvent(jobLines, "job_ended")
	switch {
	case len(jobLines) == 0:
		t.Outcome = "no line names the job"
		return t
	case accepted < 0:
		t.Outcome = describeRefusal(lines, jobLines)
		return t
	}
	end := len(jobLines) - 1
	if ended >= 0 {
		end = ended
	}
	t.Spans = sumSpans(lines, jobLines[accepted:end+1])
	t.Outcome = describeOutcome(jobLines, accepted, ended, t.Spans)
	if len(t.Spans) > 0 && strings.HasPrefix(t.Spans[0].Activity, spanWaiting) {
		t.Outcome += describePeakLoad(lines, jobLines[accepted].Time, jobLines[end].Time)
	}
	return t
}

// findOutcome returns the index of the first line with an event and outcome, or -1.
func findOutcome(lines []Line, event, outcome string) int {
	return slices.IndexFunc(lines, func(l Line) bool { return l.Event == event && l.Get("outcome") == outcome })
}

// findEvent returns the index of the first line with an event, or -1.
func findEvent(lines []Line, event string) int {
	return slices.IndexFunc(lines, func(l Line) bool { return l.Event == event })
}

// describeRefusal describes a job that no line shows as accepted: the last response to its
// request, and whether the instance that sent the response was in contact with a leader. A
// job with a permit or a run was stored even though its caller got an error.
func describeRefusal(allLines, jobLines []Line) string {
	var last *Line
	for i := range jobLines {
		if jobLines[i].Event == "request" {
			last = &jobLines[i]
		}
	}
	stored := findEvent(jobLines, "permit") >= 0 || findEvent(jobLines, "run_started") >= 0
	switch {
	case last == nil && stored:
		return "stored, as later lines show; no line shows its submission"
	case last == nil:
		return "no line shows a submission of the job"
	}
	text := fmt.Sprintf("%s answered %s (%s)", last.Instance, last.Get("outcome"), last.Get("err"))
	if stored {
		return "stored, as later lines show, though its caller wasn't told: " + text
	}
	return "not accepted: " + text + describeLostLeaderContact(allLines, last)
}

// describeLostLeaderContact returns a text that says since when the instance that wrote the
// line last had been without contact with a leader. It returns "" if the instance was in
// contact with a leader when it wrote the line.
func describeLostLeaderContact(allLines []Line, last *Line) string {
	for i := len(allLines) - 1; i >= 0; i-- {
		l := &allLines[i]
		if l.Event != "leader_contact" || l.Instance != last.Instance || l.Time.After(last.Time) {
			continue
		}
		if l.Get("in_touch") != "false" {
			return ""
		}
		return fmt.Sprintf("; that instance had had no contact with a leader since %s", l.Time.Format(time.TimeOnly))
	}
	return ""
}

// describeOutcome describes how an accepted job ended, and the largest cause of its
// duration or failure. accepted and ended are indexes of jobLines; ended is -1 if no line
// shows the end.
func describeOutcome(jobLines []Line, accepted, ended int, spans []Span) string {
	if ended < 0 {
		return describeUnfinished(jobLines, accepted)
	}
	end := jobLines[ended]
	took := end.Time.Sub(jobLines[accepted].Time).Round(time.Millisecond)
	text := fmt.Sprintf("%s after %s, objective %s ms", end.Get("phase"), took, end.Get("objective_ms"))
	if end.Get("phase") == "failed" {
		return text + "; " + describeFailures(jobLines)
	}
	if len(spans) == 0 {
		return text
	}
	text += fmt.Sprintf("; longest: %s %s", spans[0].Duration.Round(time.Millisecond), spans[0].Activity)
	if spans[0].Activity == spanSuccessfulRuns {
		text += describeLongestRun(jobLines)
	}
	return text
}

// describeUnfinished describes a job that no line shows to have ended.
func describeUnfinished(jobLines []Line, accepted int) string {
	for i := range jobLines {
		if jobLines[i].Event == "cancel" && jobLines[i].Get("err") == "null" {
			return fmt.Sprintf("cancelled by its caller %s after it was accepted", jobLines[i].Time.Sub(jobLines[accepted].Time).Round(time.Millisecond))
		}
	}
	return "accepted; no line shows its end; last: " + jobLines[len(jobLines)-1].Event
}

// describePeakLoad describes the line with the event "load" that has the most waiting tasks
// between two times, or returns "" when there is no such line.
func describePeakLoad(allLines []Line, from, to time.Time) string {
	var peak *Line
	maxTasks := -1
	for i := range allLines {
		l := &allLines[i]
		if l.Event != "load" || l.Time.Before(from) || l.Time.After(to) {
			continue
		}
		if tasks, err := strconv.Atoi(l.Get("tasks")); err == nil && tasks > maxTasks {
			peak, maxTasks = l, tasks
		}
	}
	if peak == nil {
		return ""
	}
	text := fmt.Sprintf("; meanwhile up to %d tasks waited for %s workers", maxTasks, peak.Get("usable_workers"))
	if keptBack := peak.Get("kept_back"); keptBack != "" {
		text += " (kept back: " + keptBack + ")"
	}
	if waiting := peak.Get("waiting_by"); waiting != "" {
		text += " (steps that waited: " + waiting + ")"
	}
	return text
}

// describeLongestRun names the duration and worker of the longest successful run.
func describeLongestRun(jobLines []Line) string {
	started := map[string]time.Time{}
	worker, longest := "", time.Duration(0)
	for i := range jobLines {
		l := &jobLines[i]
		switch {
		case l.Event == "run_started":
			started[runKey(l)] = l.Time
		case l.Event == "run_ended" && l.Get("outcome") == "done" && l.Time.Sub(started[runKey(l)]) > longest && !started[runKey(l)].IsZero():
			worker, longest = l.Get("worker"), l.Time.Sub(started[runKey(l)])
		}
	}
	if worker == "" {
		return ""
	}
	return fmt.Sprintf(", %s of it on %s: see that worker's timeline", longest.Round(time.Millisecond), worker)
}

// describeFailures names the task that failed most often and the workers of its failed
// runs. A single worker indicates a fault of the worker, several indicate one of the job.
func describeFailures(jobLines []Line) string {
	workers := map[string][]string{}
	mostFailed := ""
	for i := range jobLines {
		l := &jobLines[i]
		if l.Event != "run_ended" || l.Get("outcome") != "failed" {
			continue
		}
		task := l.Get("task")
		workers[task] = append(workers[task], l.Get("worker"))
		if len(workers[task]) > len(workers[mostFailed]) {
			mostFailed = task
		}
	}
	if mostFailed == "" {
		return "no line shows a run that failed"
	}
	sorted := slices.Clone(workers[mostFailed])
	slices.Sort(sorted)
	distinct := slices.Compact(sorted)
	if len(distinct) == 1 {
		return fmt.Sprintf("task %s failed %d times, each time on %s: check that worker", mostFailed, len(workers[mostFailed]), distinct[0])
	}
	return fmt.Sprintf("task %s failed %d times on %d workers (%s): the job itself is the likely cause", mostFailed, len(workers[mostFailed]), len(distinct),
		strings.Join(distinct, ", "))
}

// spanAccumulator goes through a job's lines and adds up the time of each activity.
type spanAccumulator struct {
	// leaderless holds the intervals without a leader.
	leaderless []interval
	// outcomes holds the outcome of each run, by runKey.
	outcomes map[string]string
	// durations holds the time of each activity.
	durations map[string]time.Duration
	// running holds the runs in flight, by runKey.
	running map[string]bool
	// waitReason is the reason for which a step waits, empty when none does.
	waitReason string
	// permitted is true once a line shows the adviser's response for a step.
	permitted bool
}

// interval is the time between two lines.
type interval struct{ from, to time.Time }

// sumSpans adds up the time between consecutive lines of a job by its activity, and returns
// the sums, longest first. When steps of the job differ, a run takes priority over the wait
// of a step, and the wait of a step over the wait for the adviser.
func sumSpans(allLines, jobLines []Line) []Span {
	return sumSpansBetween(leaderlessIntervals(allLines), jobLines)
}

// sumSpansBetween is sumSpans for known intervals without a leader.
func sumSpansBetween(leaderless []interval, jobLines []Line) []Span {
	s := &spanAccumulator{leaderless: leaderless, outcomes: runOutcomes(jobLines), durations: map[string]time.Duration{}, running: map[string]bool{}}
	s.durations[spanCommit] = commitTime(&jobLines[0])
	for i := range jobLines {
		if i > 0 {
			s.addInterval(jobLines[i-1].Time, jobLines[i].Time)
		}
		s.observe(&jobLines[i])
	}
	return sortedSpans(s.durations)
}

// sortedSpans returns the times of activities, longest first.
func sortedSpans(durations map[string]time.Duration) []Span {
	var spans []Span
	for activity, took := range durations {
		if took > 0 {
			spans = append(spans, Span{activity, took})
		}
	}
	slices.SortFunc(spans, func(a, b Span) int {
		return cmp.Or(cmp.Compare(b.Duration, a.Duration), cmp.Compare(a.Activity, b.Activity))
	})
	return spans
}

// commitTime returns how long the commit of an accepted submission took.
func commitTime(l *Line) time.Duration {
	took, err := time.ParseDuration(l.Get("commit_ms") + "ms")
	if err != nil {
		return 0
	}
	return took
}

// runKey returns the key of a line's run: the task and the number of the run.
func runKey(l *Line) string { return l.Get("task") + " " + l.Get("run") }

// runOutcomes returns the outcome of each run, by runKey.
func runOutcomes(jobLines []Line) map[string]string {
	outcomes := map[string]string{}
	for i := range jobLines {
		if jobLines[i].Event == "run_ended" {
			outcomes[runKey(&jobLines[i])] = jobLines[i].Get("outcome")
		}
	}
	return outcomes
}

// leaderlessIntervals returns the intervals between two leader terms, which the lines with
// the event "tenure" show.
func leaderlessIntervals(allLines []Line) []interval {
	var leaderless []interval
	var ended time.Time
	for i := range allLines {
		l := &allLines[i]
		if l.Event != "tenure" {
			continue
		}
		switch l.Get("outcome") {
		case "begun":
			if !ended.IsZero() {
				leaderless = append(leaderless, interval{ended, l.Time})
			}
			ended = time.Time{}
		case "ended", "given up":
			if ended.IsZero() {
				ended = l.Time
			}
		}
	}
	return leaderless
}

// observe updates the runs in flight and the waiting reason from one line.
func (s *spanAccumulator) observe(l *Line) {
	switch l.Event {
	case "run_started":
		s.running[runKey(l)] = true
		s.waitReason = ""
	case "run_ended":
		delete(s.running, runKey(l))
	case "step_waiting":
		s.waitReason = l.Get("reason")
	case "permit":
		s.permitted = true
	}
}

// addInterval adds the time between two lines to the job's activity. Time without a
// leader counts separately unless a run was in flight.
func (s *spanAccumulator) addInterval(from, to time.Time) {
	took := to.Sub(from)
	if len(s.running) == 0 {
		for _, gap := range s.leaderless {
			withoutLeader := overlap(interval{from, to}, gap)
			s.durations[spanNoLeader] += withoutLeader
			took -= withoutLeader
		}
	}
	s.durations[s.activity()] += took
}

// overlap returns how long two intervals overlap.
func overlap(a, b interval) time.Duration {
	from, to := a.from, a.to
	if b.from.After(from) {
		from = b.from
	}
	if b.to.Before(to) {
		to = b.to
	}
	return max(to.Sub(from), 0)
}

// activity returns the activity of the job after the lines observed so far.
func (s *spanAccumulator) activity() string {
	for run := range s.running {
		if s.outcomes[run] == "done" {
			return spanSuccessfulRuns
		}
	}
	switch {
	case len(s.running) > 0:
		return spanUnsuccessfulRuns
	case s.waitReason != "":
		return spanWaiting + s.waitReason
	case !s.permitted:
		return spanAdviserWait
	}
	return spanDecisionToCommit
}
