package dev

import (
	"fmt"
	"io"
	"runtime"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/bilberryferry/bilberryferry/internal/standin"
)

// progress prints a line for each change of a job's state.
type progress struct {
	mu        sync.Mutex
	out       io.Writer
	startedAt time.Time
	// lastLines holds the last state printed of each job, by DEPLOYMENT/JOB.
	lastLines map[string]string
}

func newProgress(out io.Writer) *progress {
	return &progress{out: out, startedAt: time.Now(), lastLines: make(map[string]string)}
}

// printJob prints the state of a job unless it equals the state last printed for this job.
func (p *progress) printJob(deployment string, j standin.JobResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key, line := deployment+"/"+j.Name, describeJob(j)
	if line == p.lastLines[key] || line == "" {
		return
	}
	p.lastLines[key] = line
	fmt.Fprintf(p.out, "%6.2fs  %-9s %-22s %s\n", time.Since(p.startedAt).Seconds(), deployment, j.Name, line)
}

// describeJob returns the state of a job with its reason, or "" while the submission has
// no response.
func describeJob(j standin.JobResult) string {
	if j.ID == "" && j.Kind != "" {
		return "refused: " + j.Kind + ": " + j.Reason
	}
	if j.ID == "" {
		return ""
	}
	if j.Kind != "" {
		return j.ID + " " + standin.StateName(j.State) + ": " + j.Kind + ": " + j.Reason
	}
	return j.ID + " " + standin.StateName(j.State)
}

// Layout of the table of results, in characters.
const (
	columnMinWidth = 2
	tabWidth       = 8
	columnPadding  = 2
)

// printResult prints the final table of one deployment.
func printResult(out io.Writer, r *Result) {
	fmt.Fprintf(out, "\n%s\n", r.Name)
	table := tabwriter.NewWriter(out, columnMinWidth, tabWidth, columnPadding, ' ', 0)
	fmt.Fprintln(table, "  work\tcustomer\toutcome\twaited\tbefore deadline")
	for _, j := range r.Jobs {
		fmt.Fprintf(table, "  %s\t%s\t%s\t%s\t%s\n", j.Name, j.Customer, outcome(j), waitingTime(j), timeBeforeDeadline(j))
	}
	table.Flush()
	jobs := r.Report
	fmt.Fprintf(out, "  jobs: %d accepted, %d met and %d missed their deadline, refused %v; waiting time p50 %s p99 %s; submit call p50 %s p99 %s\n",
		jobs.Accepted, jobs.MetDeadline, jobs.MissedDeadline, jobs.Refused, formatMicros(jobs.WaitP50Micros), formatMicros(jobs.WaitP99Micros), formatMicros(jobs.SubmitP50Micros), formatMicros(jobs.SubmitP99Micros))
	requests := r.Requests
	fmt.Fprintf(out, "  requests: %d sent, %d correct responses, %d of them late, %d wrong, %d broken or timed out, refused %v; latency p50 %s p99 %s\n",
		requests.Calls-requests.NotSent, requests.Correct, requests.Late, requests.Wrong, requests.Broken+requests.TimedOut, requests.Refused, formatMicros(requests.LatencyP50Micros), formatMicros(requests.LatencyP99Micros))
	for _, v := range r.Violations {
		fmt.Fprintf(out, "  VIOLATION %+v\n", v)
	}
}

// outcome returns the outcome of a job for the table of results.
func outcome(j standin.JobResult) string {
	if !j.Accepted() {
		return "refused: " + j.Kind
	}
	if j.MissedDeadline() {
		return "MISSED: " + standin.StateName(j.State)
	}
	return standin.StateName(j.State)
}

// waitingTime returns the time from the submission of a job to its start, or "-" if the job
// hasn't started.
func waitingTime(j standin.JobResult) string {
	if j.Started.IsZero() {
		return "-"
	}
	return j.Started.Sub(j.Submitted).Round(100 * time.Microsecond).String()
}

// timeBeforeDeadline returns the time from the end of a job to its deadline, negative if
// the job ended late, or "-" if either is unknown.
func timeBeforeDeadline(j standin.JobResult) string {
	if j.Ended.IsZero() || j.Deadline.IsZero() || !j.Accepted() {
		return "-"
	}
	return j.Deadline.Sub(j.Ended).Round(10 * time.Millisecond).String()
}

func formatMicros(us int64) string { return (time.Duration(us) * time.Microsecond).String() }

// usage measures the CPU and memory usage of the process, including the stand-ins.
type usage struct {
	startedAt time.Time
	// cpuAtStart is the CPU time used until startedAt.
	cpuAtStart time.Duration
}

func startUsage() usage { return usage{startedAt: time.Now(), cpuAtStart: processorTime()} }

// processorTime returns the CPU time that the process has used, or 0 if the system
// doesn't report it.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func (u usage) print(out io.Writer) {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	elapsed := time.Since(u.startedAt)
	fmt.Fprintf(out, "\nresource usage of all roles and stand-ins of both deployments in this process: %.2f cores, %d MiB heap, for %.1fs\n",
		float64(processorTime()-u.cpuAtStart)/float64(elapsed), memory.HeapInuse>>20, elapsed.Seconds())
}

// printExampleCommands prints, for each running deployment, example commands with one of
// its addresses and token files.
func printExampleCommands(out io.Writer, runs []*run) {
	fmt.Fprintln(out, "\nthe deployments keep running; stop them with Ctrl-C. Try from another shell:")
	for _, r := range runs {
		customer := r.deployment.Settings.Tokens.Customers[0]
		fmt.Fprintf(out, "  bilberry status --entry %s --token-file %s\n", r.deployment.Entries()[0], customer.File)
		fmt.Fprintf(out, "  bilberry workers --entry %s --token-file %s\n", r.deployment.Entries()[0], r.deployment.Settings.Tokens.Operator)
	}
}
