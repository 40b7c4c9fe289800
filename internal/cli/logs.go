package cli

import (
	"fmt"
	"os"
	"strings"
	"time"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/event"
	"github.com/bilberryferry/bilberryferry/internal/jobtrace"
)

// readLogs reads the log lines of files, whose names are separated by commas, and
// sorts them by time.
func readLogs(files string) ([]jobtrace.Line, error) {
	var lines []jobtrace.Line
	for _, name := range strings.Split(files, ",") {
		fileLines, err := readLog(name)
		if err != nil {
			return nil, fault.Field("--log", "%v", err)
		}
		lines = append(lines, fileLines...)
	}
	jobtrace.Sort(lines)
	return lines, nil
}

// readLog reads the log lines of one file.
func readLog(name string) ([]jobtrace.Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return jobtrace.Read(file)
}

// explainFromLogs reads the instances' log files and prints a job's outcome, its time in
// each activity, and its events.
func (s *session) explainFromLogs(files, job string) error {
	lines, err := readLogs(files)
	if err != nil {
		return err
	}
	trace := jobtrace.Explain(lines, job)
	out := s.app.Stdout
	fmt.Fprintln(out, oneLine(trace.Outcome))
	if len(trace.Spans) > 0 {
		t := newTable("TIME", "ACTIVITY")
		for _, span := range trace.Spans {
			t.add(textCell("%s", span.Duration.Round(time.Millisecond)), textCell("%s", span.Activity))
		}
		t.print(s)
	}
	s.writeEvents(out, jobtrace.Events(trace.Lines))
	return nil
}

// summarizeLogs reads the instances' log files and prints, for each queue, how its jobs ended, how
// many were served by size, and where the late ones spent their time.
func (s *session) summarizeLogs(files string) error {
	lines, err := readLogs(files)
	if err != nil {
		return err
	}
	out := s.app.Stdout
	for _, q := range jobtrace.Summarize(lines) {
		fmt.Fprintf(out, "%s: %d in time, %d late by %s in all, %d failed, %d without an end\n",
			oneLine(q.Queue), q.InTime, q.Late, q.Lateness.Round(time.Second), q.Failed, q.Unfinished)
		fmt.Fprintf(out, "served: %s of all, %s of the largest tenth, %s of the fifth below it\n",
			formatServed(q.All), formatServed(q.Largest), formatServed(q.NextLargest))
		fmt.Fprintf(out, "adviser time for each job that started: %s of all, %s of the largest tenth, %s of the fifth below it\n",
			formatAdviserTime(q.All), formatAdviserTime(q.Largest), formatAdviserTime(q.NextLargest))
		t := newTable("TIME OF LATE JOBS", "ACTIVITY")
		for _, span := range q.Spans {
			t.add(textCell("%s", span.Duration.Round(time.Millisecond)), textCell("%s", span.Activity))
		}
		t.print(s)
	}
	return nil
}

// formatServed formats how many jobs were served.
func formatServed(s jobtrace.ServedJobs) string {
	return fmt.Sprintf("%d/%d (%.2f)", s.Served, s.Jobs, s.Share())
}

// formatAdviserTime formats the adviser time for each job that had a start.
func formatAdviserTime(s jobtrace.ServedJobs) string {
	return s.AdviserTimePerStart().Round(time.Millisecond).String()
}

// timelineOfLogs reads the named log files and shows the events in them that match the
// request.
func (s *session) timelineOfLogs(files string, request *apiv1.EventsRequest, subject, htmlFile string) error {
	lines, err := readLogs(files)
	if err != nil {
		return err
	}
	var selected []event.Event
	for _, e := range jobtrace.Events(lines) {
		if e.Concerns(request.GetSubject()) && e.Timestamp.Wall >= request.GetSinceUnixMs() {
			selected = append(selected, e)
		}
	}
	if limit := int(request.GetLimit()); len(selected) > limit {
		selected = selected[len(selected)-limit:]
	}
	return s.showTimeline(&apiv1.EventsResponse{Events: event.EventsToAPI(selected)}, subject, htmlFile)
}
