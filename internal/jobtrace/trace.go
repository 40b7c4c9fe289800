package jobtrace

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Span is time that a job spent in one way.
type Span struct {
	What string
	Took time.Duration
}

// Trace is what became of a job.
type Trace struct {
	// Verdict is one sentence: what the caller saw, and the largest cause.
	Verdict string
	// Spans add up to the time from acceptance to the end, the longest first.
	Spans []Span
	// Lines are those that concern the job.
	Lines []Line
}

// Ways in which a job spends its time.
const (
	spanCommit   = "being stored"
	spanAdviser  = "waiting for the adviser"
	spanNoLeader = "without a leader"
	spanLost     = "in runs that came to nothing"
	spanWork     = "in runs that did the work"
	spanBetween  = "between decisions and their commits"
	// spanWaiting begins the name of a time in which a step waited for the reason
	// that follows.
	spanWaiting = "waiting: "
)

// Of returns the trace of a job. Lines are those of all instances, in order of
// time.
func Of(lines []Line, job string) Trace {
	var own []Line
	for i := range lines {
		if lines[i].Concerns(job) {
			own = append(own, lines[i])
		}
	}
	t := Trace{Lines: own}
	begun, ended := find(own, "submit", "accepted"), findEvent(own, "job_ended")
	switch {
	case len(own) == 0:
		t.Verdict = "no line names the job"
		return t
	case begun < 0:
		t.Verdict = refusal(lines, own)
		return t
	}
	end := len(own) - 1
	if ended >= 0 {
		end = ended
	}
	t.Spans = spans(lines, own[begun:end+1])
	t.Verdict = verdict(own, begun, ended, t.Spans)
	if len(t.Spans) > 0 && strings.HasPrefix(t.Spans[0].What, spanWaiting) {
		t.Verdict += loadDuring(lines, own[begun].Time, own[end].Time)
	}
	return t
}

func find(lines []Line, event, outcome string) int {
	return slices.IndexFunc(lines, func(l Line) bool { return l.Event == event && l.Get("outcome") == outcome })
}

func findEvent(lines []Line, event string) int {
	return slices.IndexFunc(lines, func(l Line) bool { return l.Event == event })
}

// refusal explains a request that no leader said to have accepted: by the last
// instance that answered it, and what that instance knew of the leader then. A
// job that is worked on was stored all the same.
func refusal(all, own []Line) string {
	var last *Line
	for i := range own {
		if own[i].Event == "request" {
			last = &own[i]
		}
	}
	stored := findEvent(own, "permit") >= 0 || findEvent(own, "run_started") >= 0
	switch {
	case last == nil && stored:
		return "stored, as later lines show; none shows who handed it in"
	case last == nil:
		return "no line shows that the job was handed in"
	}
	text := fmt.Sprintf("%s answered %s (%s)", last.Instance, last.Get("outcome"), last.Get("err"))
	if stored {
		return "stored, as later lines show, though its caller wasn't told: " + text
	}
	return "not accepted: " + text + contact(all, last)
}

// contact tells since when the instance of a line had had no contact to a leader.
func contact(all []Line, last *Line) string {
	for i := len(all) - 1; i >= 0; i-- {
		l := &all[i]
		if l.Event != "leader_contact" || l.Instance != last.Instance || l.Time.After(last.Time) {
			continue
		}
		if l.Get("in_touch") != "false" {
			return ""
		}
		return fmt.Sprintf("; that instance had had no contact to a leader since %s", l.Time.Format(time.TimeOnly))
	}
	return ""
}

func verdict(own []Line, begun, ended int, spans []Span) string {
	if ended < 0 {
		return unended(own, begun)
	}
	end := own[ended]
	took := end.Time.Sub(own[begun].Time).Round(time.Millisecond)
	text := fmt.Sprintf("%s after %s, objective %s ms", end.Get("phase"), took, end.Get("objective_ms"))
	if end.Get("phase") == "failed" {
		return text + "; " + failures(own)
	}
	if len(spans) == 0 {
		return text
	}
	text += fmt.Sprintf("; longest: %s %s", spans[0].Took.Round(time.Millisecond), spans[0].What)
	if spans[0].What == spanWork {
		text += longestRun(own)
	}
	return text
}

// unended tells what is known of a job whose end no line shows.
func unended(own []Line, begun int) string {
	for i := range own {
		if own[i].Event == "cancel" && own[i].Get("err") == "null" {
			return fmt.Sprintf("cancelled by its caller %s after it was accepted", own[i].Time.Sub(own[begun].Time).Round(time.Millisecond))
		}
	}
	return "accepted; no line shows its end; last: " + own[len(own)-1].Event
}

// loadDuring tells the load at its worst while a job waited: the line with the
// most tasks waiting.
func loadDuring(all []Line, from, to time.Time) string {
	var worst *Line
	most := -1
	for i := range all {
		l := &all[i]
		if l.Event != "load" || l.Time.Before(from) || l.Time.After(to) {
			continue
		}
		if tasks, err := strconv.Atoi(l.Get("tasks")); err == nil && tasks > most {
			worst, most = l, tasks
		}
	}
	if worst == nil {
		return ""
	}
	text := fmt.Sprintf("; meanwhile up to %d tasks waited for %s workers", most, worst.Get("usable_workers"))
	if kept := worst.Get("kept_back"); kept != "" {
		text += " (kept back: " + kept + ")"
	}
	if waiting := worst.Get("waiting_by"); waiting != "" {
		text += " (steps that waited: " + waiting + ")"
	}
	return text
}

// longestRun names the worker of the run that took longest and was done.
func longestRun(own []Line) string {
	begun := map[string]time.Time{}
	worker, longest := "", time.Duration(0)
	for i := range own {
		l := &own[i]
		switch {
		case l.Event == "run_started":
			begun[runKey(l)] = l.Time
		case l.Event == "run_ended" && l.Get("outcome") == "done" && l.Time.Sub(begun[runKey(l)]) > longest && !begun[runKey(l)].IsZero():
			worker, longest = l.Get("worker"), l.Time.Sub(begun[runKey(l)])
		}
	}
	if worker == "" {
		return ""
	}
	return fmt.Sprintf(", %s of it on %s: see that worker's time line", longest.Round(time.Millisecond), worker)
}

// failures names the task that failed most often, and where.
func failures(own []Line) string {
	workers := map[string][]string{}
	worst := ""
	for i := range own {
		l := &own[i]
		if l.Event != "run_ended" || l.Get("outcome") != "failed" {
			continue
		}
		task := l.Get("task")
		workers[task] = append(workers[task], l.Get("worker"))
		if len(workers[task]) > len(workers[worst]) {
			worst = task
		}
	}
	if worst == "" {
		return "no line shows a run that failed"
	}
	on := slices.Clone(workers[worst])
	slices.Sort(on)
	distinct := slices.Compact(on)
	if len(distinct) == 1 {
		return fmt.Sprintf("task %s failed %d times, each time on %s: look at that worker", worst, len(workers[worst]), distinct[0])
	}
	return fmt.Sprintf("task %s failed %d times on %d workers (%s): the job itself", worst, len(workers[worst]), len(distinct),
		strings.Join(distinct, ", "))
}

// sweep walks through a job's lines and adds up how it spends its time.
type sweep struct {
	leaderless []interval
	outcomes   map[string]string
	took       map[string]time.Duration
	running    map[string]bool
	waiting    string
	stored     bool
}

type interval struct{ from, to time.Time }

// spans adds up the time between consecutive lines of a job by what it was
// doing: running before asking before waiting.
func spans(all, own []Line) []Span {
	s := &sweep{leaderless: leaderless(all), outcomes: outcomes(own), took: map[string]time.Duration{}, running: map[string]bool{}}
	s.took[spanCommit] = commitTime(&own[0])
	for i := range own {
		if i > 0 {
			s.account(own[i-1].Time, own[i].Time)
		}
		s.take(&own[i])
	}
	var list []Span
	for what, took := range s.took {
		if took > 0 {
			list = append(list, Span{what, took})
		}
	}
	slices.SortFunc(list, func(a, b Span) int {
		return cmp.Or(cmp.Compare(b.Took, a.Took), cmp.Compare(a.What, b.What))
	})
	return list
}

func commitTime(l *Line) time.Duration {
	took, err := time.ParseDuration(l.Get("commit_ms") + "ms")
	if err != nil {
		return 0
	}
	return took
}

func runKey(l *Line) string { return l.Get("task") + " " + l.Get("run") }

// outcomes returns how each run ended.
func outcomes(own []Line) map[string]string {
	ends := map[string]string{}
	for i := range own {
		if own[i].Event == "run_ended" {
			ends[runKey(&own[i])] = own[i].Get("outcome")
		}
	}
	return ends
}

// leaderless returns the times between two tenures.
func leaderless(all []Line) []interval {
	var gaps []interval
	var ended time.Time
	for i := range all {
		l := &all[i]
		if l.Event != "tenure" {
			continue
		}
		switch l.Get("outcome") {
		case "begun":
			if !ended.IsZero() {
				gaps = append(gaps, interval{ended, l.Time})
			}
			ended = time.Time{}
		case "ended", "given up":
			if ended.IsZero() {
				ended = l.Time
			}
		}
	}
	return gaps
}

func (s *sweep) take(l *Line) {
	switch l.Event {
	case "run_started":
		s.running[runKey(l)] = true
		s.waiting = ""
	case "run_ended":
		delete(s.running, runKey(l))
	case "step_waiting":
		s.waiting = l.Get("reason")
	case "permit":
		s.stored = true
	}
}

// account adds the time between two lines to what the job was doing.
func (s *sweep) account(from, to time.Time) {
	took := to.Sub(from)
	if len(s.running) == 0 {
		for _, gap := range s.leaderless {
			missing := overlap(interval{from, to}, gap)
			s.took[spanNoLeader] += missing
			took -= missing
		}
	}
	s.took[s.doing()] += took
}

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

func (s *sweep) doing() string {
	for run := range s.running {
		if s.outcomes[run] == "done" {
			return spanWork
		}
	}
	switch {
	case len(s.running) > 0:
		return spanLost
	case s.waiting != "":
		return spanWaiting + s.waiting
	case !s.stored:
		return spanAdviser
	}
	return spanBetween
}
