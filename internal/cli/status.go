package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/wait"
)

const (
	// defaultLimit and maxLimit are the default and largest value of --limit.
	defaultLimit = 200
	maxLimit     = 100_000
	// watchPollDuration is how long an entry instance holds a watch call as a long poll
	// when the job doesn't change.
	watchPollDuration = 20 * time.Second
	// watchRetryDelay is the delay before the next watch call when no entry instance
	// responds or the job hasn't changed.
	watchRetryDelay = 500 * time.Millisecond
)

func checkLimit(limit int) error {
	if limit < 1 || limit > maxLimit {
		return fault.Field("--limit", "must be from 1 to %d, is %d", maxLimit, limit)
	}
	return nil
}

func statusCommand() *command {
	var tasks, ended bool
	var limit int
	return &command{
		name:        "status",
		synopsis:    "Show jobs and their state",
		usage:       "[--tasks] [--ended] [id...]",
		description: "Without ids it lists the jobs of the token's customer, or all jobs for an operator.",
		example:     "bilberry status --tasks naas-hall-1a2b",
		flags: func(f *flag.FlagSet) {
			f.BoolVar(&tasks, "tasks", false, "show each task")
			f.BoolVar(&ended, "ended", false, "show ended jobs too")
			f.IntVar(&limit, "limit", defaultLimit, "show at most this `number` of jobs")
		},
		run: func(ctx context.Context, s *session, args []string) error {
			if err := checkLimit(limit); err != nil {
				return err
			}
			if err := requireDistinct("id", args); err != nil {
				return err
			}
			request := &apiv1.StatusRequest{WithTasks: tasks, IncludeEnded: ended || len(args) > 0, Limit: int32(limit)}
			response, err := s.status(ctx, request, args)
			if err != nil {
				return err
			}
			s.warnUnreachable("data centres", response.GetUnreachableDataCentres())
			return s.show(response, func(out io.Writer) { s.showJobs(out, response.GetJobs(), tasks) })
		},
	}
}

// status makes one call for all jobs if there are no ids, or one call for each id, and joins
// the responses.
func (s *session) status(ctx context.Context, request *apiv1.StatusRequest, ids []string) (*apiv1.StatusResponse, error) {
	c, err := s.client()
	if err != nil {
		return nil, err
	}
	ctx, cancel := s.withTimeout(ctx)
	defer cancel()
	if len(ids) == 0 {
		return statusOnce(ctx, c, request)
	}
	joined := &apiv1.StatusResponse{}
	for _, id := range ids {
		request.Id = id
		response, err := statusOnce(ctx, c, request)
		if err != nil {
			return nil, err
		}
		joined.Jobs = append(joined.Jobs, response.GetJobs()...)
		joined.UnreachableDataCentres = response.GetUnreachableDataCentres()
	}
	return joined, nil
}

func statusOnce(ctx context.Context, c *client, request *apiv1.StatusRequest) (*apiv1.StatusResponse, error) {
	return schedulerCall(ctx, c, request, func(api apiv1.Scheduler) func(context.Context, *apiv1.StatusRequest) (*apiv1.StatusResponse, error) {
		return api.Status
	})
}

func (s *session) showJobs(out io.Writer, jobs []*apiv1.Job, tasks bool) {
	t := newTable("ID", "NAME", "CUSTOMER", "POLICY", "STATE", "TASKS", "DEADLINE", "REASON")
	for _, job := range jobs {
		spec := job.GetSpec()
		t.add(textCell("%s", job.GetId()), textCell("%s", spec.GetName()), textCell("%s", job.GetCustomer()),
			textCell("%s", enumName(spec.GetPolicy().String(), "POLICY_")), jobStateCell(job.GetState()),
			textCell("%s", formatProgress(job)), textCell("%s", formatUnixTime(spec.GetDeadlineUnixMs())), textCell("%s", formatReason(job)))
	}
	t.print(s)
	if !tasks {
		return
	}
	for _, job := range jobs {
		fmt.Fprintf(out, "\n%s\n", oneLine(job.GetId()))
		s.showTasks(job)
	}
}

func (s *session) showTasks(job *apiv1.Job) {
	t := newTable("TASK", "STATE", "ATTEMPT", "WORKER", "STARTED", "ENDED")
	for _, task := range job.GetTasks() {
		t.add(textCell("%d", task.GetIndex()), textCell("%s", enumName(task.GetState().String(), "TASK_STATE_")),
			textCell("%d", task.GetAttempt()), textCell("%s", task.GetWorker()),
			textCell("%s", formatUnixTime(task.GetStartedUnixMs())), textCell("%s", formatUnixTime(task.GetEndedUnixMs())))
	}
	t.print(s)
}

// formatProgress returns the numbers of a job's queued, running and ended tasks.
func formatProgress(job *apiv1.Job) string {
	return fmt.Sprintf("%d queued, %d running, %d ended", job.GetTasksQueued(), job.GetTasksRunning(), job.GetTasksEnded())
}

// formatReason returns the reason of a job's state, with its kind in front.
func formatReason(job *apiv1.Job) string {
	if job.GetReasonKind() == "" {
		return job.GetReason()
	}
	return job.GetReasonKind() + ": " + job.GetReason()
}

func watchCommand() *command {
	return &command{
		name:        "watch",
		synopsis:    "Follow a job until it has ended",
		usage:       "id",
		description: "The exit code tells how the job ended. --timeout bounds only the time during which\nno entry instance responds.",
		example:     "bilberry watch naas-hall-1a2b",
		run: func(ctx context.Context, s *session, args []string) error {
			if err := requireArgs(args, "id"); err != nil {
				return err
			}
			return s.watch(ctx, args[0])
		},
	}
}

// watch prints the progress of one job until it has ended. It returns nil when the
// job has finished successfully, and otherwise an error that describes how it ended.
func (s *session) watch(ctx context.Context, id string) error {
	c, err := s.client()
	if err != nil {
		return err
	}
	request := &apiv1.WatchRequest{Id: id, WaitMs: watchPollDuration.Milliseconds()}
	lastResponse := s.app.Now()
	for {
		job, err := watchOnce(ctx, c, request)
		switch {
		case err == nil:
			lastResponse = s.app.Now()
		case !fault.Is(err, fault.Unavailable) || s.app.Now().Sub(lastResponse) >= s.globals.timeout:
			return err
		case !wait.For(ctx, watchRetryDelay):
			return fault.New(fault.Unavailable, "interrupted; the job continues")
		default:
			continue
		}
		if job.GetRevision() > request.AfterRevision || request.AfterRevision == 0 {
			if err := s.showProgress(job); err != nil {
				return err
			}
		}
		if hasEnded(job.GetState()) {
			s.endProgress()
			return outcomeError(job)
		}
		if job.GetRevision() <= request.AfterRevision && !wait.For(ctx, watchRetryDelay) {
			return fault.New(fault.Unavailable, "interrupted; the job continues")
		}
		request.AfterRevision = max(request.AfterRevision, job.GetRevision())
	}
}

// watchOnce makes one watch call and returns the job.
func watchOnce(ctx context.Context, c *client, request *apiv1.WatchRequest) (*apiv1.Job, error) {
	response, err := call(ctx, c, watchPollDuration+attemptTimeout, request, func(e *endpoint) func(context.Context, *apiv1.WatchRequest) (*apiv1.StatusResponse, error) {
		return e.scheduler.Watch
	})
	if err != nil {
		return nil, err
	}
	if len(response.GetJobs()) != 1 {
		return nil, fault.New(fault.Unavailable, "the response contains %d jobs instead of one", len(response.GetJobs()))
	}
	return response.GetJobs()[0], nil
}

// eraseLine is the terminal escape sequence that moves the cursor to the start of the line
// and erases the line.
const eraseLine = "\r\x1b[K"

// showProgress prints one line for a revision of the job. On a terminal it overwrites
// the previous line.
func (s *session) showProgress(job *apiv1.Job) error {
	if s.globals.json {
		return s.printJSON(job)
	}
	state := jobStateCell(job.GetState())
	line := fmt.Sprintf("%s  %s  %s", oneLine(job.GetId()), s.paint(state.colour, state.text), s.progressBar(job))
	if s.app.IsTerminal {
		_, err := fmt.Fprintf(s.app.Stdout, eraseLine+"%s", line)
		return err
	}
	_, err := fmt.Fprintln(s.app.Stdout, line)
	return err
}

// endProgress ends the line that showProgress overwrites on a terminal.
func (s *session) endProgress() {
	if s.app.IsTerminal && !s.globals.json {
		fmt.Fprintln(s.app.Stdout)
	}
}

// barWidth is the width of the progress bar in characters.
const barWidth = 20

// progressBar returns a bar of the ended tasks on a terminal, and the numbers of tasks.
func (s *session) progressBar(job *apiv1.Job) string {
	total := job.GetTasksQueued() + job.GetTasksRunning() + job.GetTasksEnded()
	if !s.app.IsTerminal || total <= 0 || job.GetTasksEnded() < 0 {
		return formatProgress(job)
	}
	filled := int(int64(job.GetTasksEnded()) * barWidth / int64(total))
	filled = max(0, min(barWidth, filled))
	return "[" + strings.Repeat("#", filled) + strings.Repeat(".", barWidth-filled) + "] " + formatProgress(job)
}

func hasEnded(state apiv1.JobState) bool {
	return !unfinishedStates[state]
}

// unfinishedStates are the states of jobs that haven't ended.
var unfinishedStates = map[apiv1.JobState]bool{
	apiv1.JobState_JOB_STATE_UNSPECIFIED:      true,
	apiv1.JobState_JOB_STATE_QUEUED:           true,
	apiv1.JobState_JOB_STATE_PENDING_HANDOVER: true,
	apiv1.JobState_JOB_STATE_RUNNING:          true,
}

// endFaultKinds maps the states of jobs that ended without success to error kinds, for jobs
// whose reason has no kind.
var endFaultKinds = map[apiv1.JobState]fault.Kind{
	apiv1.JobState_JOB_STATE_FAILED:    fault.Failed,
	apiv1.JobState_JOB_STATE_CANCELLED: fault.Cancelled,
	apiv1.JobState_JOB_STATE_NOT_RUN:   fault.NotRun,
	apiv1.JobState_JOB_STATE_UNKNOWN:   fault.Unknown,
}

// outcomeError returns an error that describes how a job ended, or nil when the job has
// finished successfully.
func outcomeError(job *apiv1.Job) error {
	if job.GetState() == apiv1.JobState_JOB_STATE_FINISHED {
		return nil
	}
	kind, ok := fault.Parse(job.GetReasonKind())
	if !ok {
		kind, ok = endFaultKinds[job.GetState()]
	}
	if !ok {
		kind = fault.Unknown
	}
	message := job.GetReason()
	if message == "" {
		message = "the job has ended as " + jobStateCell(job.GetState()).text
	}
	return withHint(fault.New(kind, "%s: %s", job.GetId(), message), "run \"bilberry timeline --job "+job.GetId()+"\" for the events of the job")
}

func explainCommand() *command {
	var logs string
	return &command{
		name:     "explain",
		synopsis: "Explain why a job waits or was refused",
		usage:    "[--log files] [id]",
		description: "It lists the reasons that exclude workers and how many workers each excludes. With --log it\n" +
			"shows from the instances' log lines how a job ended and where its time went, or, without an\n" +
			"id, how many jobs of each queue were late and where their time went.",
		example: "bilberry explain naas-hall-1a2b\nbilberry explain --log day.log 5c0e7a21d94b36f8\nbilberry explain --log day.log",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&logs, "log", "", "read log lines from these `files`, separated by commas, and call no instance")
		},
		run: func(ctx context.Context, s *session, args []string) error {
			if logs != "" && len(args) == 0 {
				return s.summarizeLogs(logs)
			}
			if err := requireArgs(args, "id"); err != nil {
				return err
			}
			if logs != "" {
				return s.explainFromLogs(logs, args[0])
			}
			c, err := s.client()
			if err != nil {
				return err
			}
			ctx, cancel := s.withTimeout(ctx)
			defer cancel()
			request := &apiv1.ExplainRequest{Id: args[0]}
			response, err := schedulerCall(ctx, c, request, func(api apiv1.Scheduler) func(context.Context, *apiv1.ExplainRequest) (*apiv1.ExplainResponse, error) {
				return api.Explain
			})
			if err != nil {
				return err
			}
			return s.show(response, func(out io.Writer) { s.showExplanation(out, response) })
		},
	}
}

func (s *session) showExplanation(out io.Writer, response *apiv1.ExplainResponse) {
	fmt.Fprintln(out, oneLine(response.GetSummary()))
	if response.GetExpectedStartUnixMs() != 0 {
		fmt.Fprintf(out, "expected start: %s\n", formatUnixTime(response.GetExpectedStartUnixMs()))
	}
	if len(response.GetFilters()) == 0 {
		return
	}
	t := newTable("RULED OUT BY", "WORKERS", "FOR EXAMPLE")
	for _, filter := range response.GetFilters() {
		t.add(textCell("%s", filter.GetFilter()), textCell("%d", filter.GetWorkers()), textCell("%s", filter.GetExampleWorker()))
	}
	t.print(s)
}
