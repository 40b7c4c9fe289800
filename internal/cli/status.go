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
	defaultLimit = 200
	maxLimit     = 100_000
	// watchPollDuration is how long an entry instance holds a watch without news.
	watchPollDuration = 20 * time.Second
	// watchRetryDelay lies between attempts while no entry instance answers.
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
		synopsis:    "Show jobs and what has become of them",
		usage:       "[--tasks] [--ended] [id...]",
		description: "Without ids it lists the jobs of the token's customer; of an operator's token, all.",
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
			answer, err := s.status(ctx, request, args)
			if err != nil {
				return err
			}
			s.warnUnreachable("data centres", answer.GetUnreachableDataCentres())
			return s.show(answer, func(out io.Writer) { s.showJobs(out, answer.GetJobs(), tasks) })
		},
	}
}

// status asks once for all jobs, or once for each id, and joins the answers.
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
		answer, err := statusOnce(ctx, c, request)
		if err != nil {
			return nil, err
		}
		joined.Jobs = append(joined.Jobs, answer.GetJobs()...)
		joined.UnreachableDataCentres = answer.GetUnreachableDataCentres()
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

// progress writes a job's tasks as queued, running and ended.
func formatProgress(job *apiv1.Job) string {
	return fmt.Sprintf("%d queued, %d running, %d ended", job.GetTasksQueued(), job.GetTasksRunning(), job.GetTasksEnded())
}

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
		description: "The exit code tells how the job ended. --timeout bounds only how long it goes on\nwhile no entry instance answers.",
		example:     "bilberry watch naas-hall-1a2b",
		run: func(ctx context.Context, s *session, args []string) error {
			if err := requireArgs(args, "id"); err != nil {
				return err
			}
			return s.watch(ctx, args[0])
		},
	}
}

// watch follows one job. It returns nil when the job has finished, and a fault
// that tells how it ended otherwise.
func (s *session) watch(ctx context.Context, id string) error {
	c, err := s.client()
	if err != nil {
		return err
	}
	request := &apiv1.WatchRequest{Id: id, WaitMs: watchPollDuration.Milliseconds()}
	lastAnswer := s.app.Now()
	for {
		job, err := watchOnce(ctx, c, request)
		switch {
		case err == nil:
			lastAnswer = s.app.Now()
		case !fault.Is(err, fault.Unavailable) || s.app.Now().Sub(lastAnswer) >= s.globals.timeout:
			return err
		case !wait.For(ctx, watchRetryDelay):
			return fault.New(fault.Unavailable, "interrupted; the job goes on")
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
			return fault.New(fault.Unavailable, "interrupted; the job goes on")
		}
		request.AfterRevision = max(request.AfterRevision, job.GetRevision())
	}
}

func watchOnce(ctx context.Context, c *client, request *apiv1.WatchRequest) (*apiv1.Job, error) {
	answer, err := call(ctx, c, watchPollDuration+attemptTimeout, request, func(e *endpoint) func(context.Context, *apiv1.WatchRequest) (*apiv1.StatusResponse, error) {
		return e.scheduler.Watch
	})
	if err != nil {
		return nil, err
	}
	if len(answer.GetJobs()) != 1 {
		return nil, fault.New(fault.Unavailable, "the answer holds %d jobs instead of one", len(answer.GetJobs()))
	}
	return answer.GetJobs()[0], nil
}

// showProgress writes one line for each revision; on a terminal the line is
// written over.
func (s *session) showProgress(job *apiv1.Job) error {
	if s.globals.json {
		return s.printJSON(job)
	}
	state := jobStateCell(job.GetState())
	line := fmt.Sprintf("%s  %s  %s", oneLine(job.GetId()), s.paint(state.colour, state.text), s.progressBar(job))
	if s.app.Terminal {
		_, err := fmt.Fprintf(s.app.Stdout, "\r\x1b[K%s", line)
		return err
	}
	_, err := fmt.Fprintln(s.app.Stdout, line)
	return err
}

func (s *session) endProgress() {
	if s.app.Terminal && !s.globals.json {
		fmt.Fprintln(s.app.Stdout)
	}
}

// barWidth is the width of the progress bar in characters.
const barWidth = 20

func (s *session) progressBar(job *apiv1.Job) string {
	all := job.GetTasksQueued() + job.GetTasksRunning() + job.GetTasksEnded()
	if !s.app.Terminal || all <= 0 || job.GetTasksEnded() < 0 {
		return formatProgress(job)
	}
	full := int(int64(job.GetTasksEnded()) * barWidth / int64(all))
	full = max(0, min(barWidth, full))
	return "[" + strings.Repeat("#", full) + strings.Repeat(".", barWidth-full) + "] " + formatProgress(job)
}

func hasEnded(state apiv1.JobState) bool {
	return !unfinishedStates[state]
}

var unfinishedStates = map[apiv1.JobState]bool{
	apiv1.JobState_JOB_STATE_UNSPECIFIED:      true,
	apiv1.JobState_JOB_STATE_QUEUED:           true,
	apiv1.JobState_JOB_STATE_PENDING_HANDOVER: true,
	apiv1.JobState_JOB_STATE_RUNNING:          true,
}

// endFaultKinds is the kind that stands for an end when the job names none.
var endFaultKinds = map[apiv1.JobState]fault.Kind{
	apiv1.JobState_JOB_STATE_FAILED:    fault.Failed,
	apiv1.JobState_JOB_STATE_CANCELLED: fault.Cancelled,
	apiv1.JobState_JOB_STATE_NOT_RUN:   fault.NotRun,
	apiv1.JobState_JOB_STATE_UNKNOWN:   fault.Unknown,
}

// outcome turns the end of a job into an error, or nil when it has finished.
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
	return withHint(fault.New(kind, "%s: %s", job.GetId(), message), "bilberry timeline --job "+job.GetId()+" tells what happened")
}

func explainCommand() *command {
	var logs string
	return &command{
		name:     "explain",
		synopsis: "Tell why a job waits or was refused",
		usage:    "[--log files] id",
		description: "It names the reasons that ruled workers out, and how many each. With --log it tells from\n" +
			"the instances' lines what became of a job and where its time went.",
		example: "bilberry explain naas-hall-1a2b\nbilberry explain --log day.log 5c0e7a21d94b36f8",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&logs, "log", "", "read the lines in these `files`, with commas between, and call no instance")
		},
		run: func(ctx context.Context, s *session, args []string) error {
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
			answer, err := schedulerCall(ctx, c, request, func(api apiv1.Scheduler) func(context.Context, *apiv1.ExplainRequest) (*apiv1.ExplainResponse, error) {
				return api.Explain
			})
			if err != nil {
				return err
			}
			return s.show(answer, func(out io.Writer) { s.showExplanation(out, answer) })
		},
	}
}

func (s *session) showExplanation(out io.Writer, answer *apiv1.ExplainResponse) {
	fmt.Fprintln(out, oneLine(answer.GetSummary()))
	if answer.GetExpectedStartUnixMs() != 0 {
		fmt.Fprintf(out, "expected start: %s\n", formatUnixTime(answer.GetExpectedStartUnixMs()))
	}
	if len(answer.GetFilters()) == 0 {
		return
	}
	t := newTable("RULED OUT BY", "WORKERS", "FOR EXAMPLE")
	for _, filter := range answer.GetFilters() {
		t.add(textCell("%s", filter.GetFilter()), textCell("%d", filter.GetWorkers()), textCell("%s", filter.GetExampleWorker()))
	}
	t.print(s)
}
