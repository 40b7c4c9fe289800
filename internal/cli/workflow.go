package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strconv"
	"strings"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/jobfile"
	"github.com/bilberryferry/bilberryferry/internal/tomlfile"
	"github.com/bilberryferry/bilberryferry/internal/units"
)

// workflowsCall calls a method of the Workflows service with a new client, within
// --timeout. The service is offered by cells whose replicated log spans their data
// centres.
func workflowsCall[Req, Resp any](ctx context.Context, s *session, request Req, method func(apiv1.Workflows) func(context.Context, Req) (Resp, error)) (Resp, error) {
	var none Resp
	c, err := s.client()
	if err != nil {
		return none, err
	}
	ctx, cancel := s.withTimeout(ctx)
	defer cancel()
	return call(ctx, c, attemptTimeout, request, func(e *endpoint) func(context.Context, Req) (Resp, error) { return method(e.workflows) })
}

// workflowActions are the action words of "bilberry workflow".
var workflowActions = []string{"submit", "status", "cancel", "explain", "waiting"}

func workflowCommand() *command {
	return &command{
		name:     "workflow",
		synopsis: "Submit, follow and cancel jobs of dependent steps",
		usage:    "submit file... | status queue id | cancel queue id | explain queue id | waiting queue",
		description: "For cells whose log spans their data centres; --entry takes their api addresses.\n" +
			"A file holds queue, id and steps. Submissions with the same id are the same job, so\n" +
			"a submission without a response can be sent again.",
		example: "bilberry workflow submit reports.toml\nbilberry workflow explain reports reports-7",
		run: func(ctx context.Context, s *session, args []string) error {
			if len(args) == 0 {
				return fault.New(fault.Invalid, "give one of: %s", strings.Join(workflowActions, ", "))
			}
			return s.workflow(ctx, args[0], args[1:])
		},
	}
}

// workflow executes one action of "bilberry workflow".
func (s *session) workflow(ctx context.Context, action string, args []string) error {
	switch action {
	case "submit":
		return s.submitWorkflows(ctx, args)
	case "waiting":
		return s.queueStatus(ctx, args)
	}
	handlers := map[string]func(context.Context, *apiv1.WorkflowRef) error{
		"status": s.workflowStatus, "cancel": s.cancelWorkflow, "explain": s.explainWorkflow,
	}
	handler, ok := handlers[action]
	if !ok {
		return unknownAction("workflow", action, workflowActions)
	}
	if err := requireArgs(args, "queue", "id"); err != nil {
		return err
	}
	return handler(ctx, &apiv1.WorkflowRef{Queue: args[0], Id: args[1]})
}

// unknownAction returns an error that suggests a similar action of the command.
func unknownAction(command, action string, known []string) error {
	err := fault.New(fault.Invalid, "unknown action %q", shorten(action))
	if near := tomlfile.Nearest(action, known); near != "" {
		return withHint(err, fmt.Sprintf("did you mean \"%s %s %s\"?", programName, command, near))
	}
	return err
}

// submitWorkflows submits the workflows that the files describe. All files are read and
// checked before the first is sent.
func (s *session) submitWorkflows(ctx context.Context, files []string) error {
	if len(files) == 0 {
		return fault.Field("file", "is missing")
	}
	var requests []*apiv1.SubmitWorkflowRequest
	for _, file := range files {
		content, err := s.readInput(file, maxJobFileBytes)
		if err != nil {
			return err
		}
		request, err := jobfile.ParseWorkflow(file, content)
		if err != nil {
			return err
		}
		requests = append(requests, request)
	}
	for i, request := range requests {
		response, err := workflowsCall(ctx, s, request, func(api apiv1.Workflows) func(context.Context, *apiv1.SubmitWorkflowRequest) (*apiv1.SubmitWorkflowResponse, error) {
			return api.SubmitWorkflow
		})
		if fault.Is(err, fault.Unavailable) || fault.Is(err, fault.Unknown) {
			err = withHint(err, "the job may have been accepted; send the same file again, its id prevents a duplicate")
		}
		if err != nil {
			return s.warnPartial(err, i, len(requests))
		}
		if err := s.show(response, func(out io.Writer) { showSubmitted(out, request, response) }); err != nil {
			return err
		}
	}
	return nil
}

func showSubmitted(out io.Writer, request *apiv1.SubmitWorkflowRequest, response *apiv1.SubmitWorkflowResponse) {
	outcome := "accepted"
	if response.GetKnown() {
		outcome = "was accepted before"
	}
	fmt.Fprintln(out, oneLine(fmt.Sprintf("%s in %s: %s", request.GetId(), request.GetQueue(), outcome)))
}

func (s *session) workflowStatus(ctx context.Context, ref *apiv1.WorkflowRef) error {
	response, err := workflowsCall(ctx, s, ref, func(api apiv1.Workflows) func(context.Context, *apiv1.WorkflowRef) (*apiv1.WorkflowStatus, error) {
		return api.GetWorkflow
	})
	if err != nil {
		return err
	}
	return s.show(response, func(out io.Writer) { s.showWorkflow(out, response) })
}

// showWorkflow prints the steps of a workflow and the workers that crashed.
func (s *session) showWorkflow(out io.Writer, status *apiv1.WorkflowStatus) {
	fmt.Fprintln(out, oneLine(fmt.Sprintf("%s in %s: %s", status.GetId(), status.GetQueue(), status.GetPhase())))
	t := newTable("OCCURRENCE", "STEP", "TASKS", "DONE", "RUNNING", "FAILURES")
	for _, step := range status.GetSteps() {
		t.add(textCell("%d", step.GetOccurrence()), textCell("%d", step.GetStep()), textCell("%d", step.GetTasks()),
			textCell("%d", step.GetDone()), textCell("%d", step.GetRunning()), textCell("%d", step.GetFailures()))
	}
	t.print(s)
	for _, step := range status.GetSteps() {
		for _, crashes := range step.GetCrashes() {
			fmt.Fprintln(out, oneLine(describeCrashes(step, crashes)))
		}
	}
}

// describeCrashes returns a line with the workers that crashed while they ran a task,
// and whether the job failed because of that.
func describeCrashes(step *apiv1.StepStatus, crashes *apiv1.TaskCrashes) string {
	line := fmt.Sprintf("step %d, task %d: workers that crashed while running it: %s", step.GetStep(), crashes.GetTask(), strings.Join(crashes.GetWorkers(), ", "))
	if crashes.GetGivenUp() {
		line += "; the job failed because of that"
	}
	return line
}

func (s *session) cancelWorkflow(ctx context.Context, ref *apiv1.WorkflowRef) error {
	response, err := workflowsCall(ctx, s, ref, func(api apiv1.Workflows) func(context.Context, *apiv1.WorkflowRef) (*apiv1.CancelWorkflowResponse, error) {
		return api.CancelWorkflow
	})
	if err != nil {
		return err
	}
	return s.show(response, func(out io.Writer) { fmt.Fprintln(out, oneLine(ref.GetId()), "cancelled") })
}

func (s *session) explainWorkflow(ctx context.Context, ref *apiv1.WorkflowRef) error {
	response, err := workflowsCall(ctx, s, ref, func(api apiv1.Workflows) func(context.Context, *apiv1.WorkflowRef) (*apiv1.ExplainWorkflowResponse, error) {
		return api.ExplainWorkflow
	})
	if err != nil {
		return err
	}
	return s.show(response, func(out io.Writer) { s.showWaiting(out, response) })
}

// showWaiting prints, for each step with tasks that could start, the reasons that
// exclude workers.
func (s *session) showWaiting(out io.Writer, response *apiv1.ExplainWorkflowResponse) {
	s.showWorkflow(out, response.GetStatus())
	if len(response.GetSteps()) == 0 {
		fmt.Fprintln(out, "no step waits")
	}
	for _, step := range response.GetSteps() {
		fmt.Fprintln(out, oneLine(fmt.Sprintf("\nstep %d: %d tasks could start; %s", step.GetStep(), step.GetTasks(), reasonOrNothing(step.GetReason()))))
		if step.GetPermitted()+step.GetRefused() > 0 {
			fmt.Fprintf(out, "adviser: %d workers permitted, %d refused, %d not queried\n", step.GetPermitted(), step.GetRefused(), step.GetUnknown())
		}
		t := newTable("WORKERS", "RULED OUT BY", "FOR EXAMPLE")
		for _, count := range step.GetWorkers() {
			t.add(textCell("%d", count.GetWorkers()), textCell("%s", reasonOrNothing(count.GetFilter())), textCell("%s", count.GetExampleWorker()))
		}
		t.print(s)
	}
}

// reasonOrNothing returns a reason, or "nothing" for an empty one.
func reasonOrNothing(reason string) string {
	if reason == "" {
		return "nothing"
	}
	return reason
}

func (s *session) queueStatus(ctx context.Context, args []string) error {
	if err := requireArgs(args, "queue"); err != nil {
		return err
	}
	response, err := workflowsCall(ctx, s, &apiv1.QueueRef{Queue: args[0]}, func(api apiv1.Workflows) func(context.Context, *apiv1.QueueRef) (*apiv1.QueueStatus, error) {
		return api.GetQueue
	})
	if err != nil {
		return err
	}
	return s.show(response, func(out io.Writer) { fmt.Fprintf(out, "%d jobs wait\n", response.GetWaiting()) })
}

// waveActions are the action words of "bilberry wave".
var waveActions = []string{"start", "status"}

// waveFlags are the flags of "bilberry wave start".
type waveFlags struct {
	machines, duration string
	maxDown            int
}

func waveCommand() *command {
	var flags waveFlags
	return &command{
		name:     "wave",
		synopsis: "Take machines down for maintenance, a few at a time",
		usage:    "start [flags] number | status number",
		description: "Machines are cordoned first: they get no new tasks, and their running tasks end or\n" +
			"are moved while there is time. The number identifies the wave.",
		example: "bilberry wave start --machines m-0a3f1,m-141e8 --duration 20m --max-down 1 7\nbilberry wave status 7",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&flags.machines, "machines", "", "start: the `names` of the machines, separated by commas")
			f.StringVar(&flags.duration, "duration", "", "start: the `time` that the whole wave may take, such as 20m")
			f.IntVar(&flags.maxDown, "max-down", 1, "start: at most this `number` of machines are down at a time")
		},
		run: func(ctx context.Context, s *session, args []string) error {
			if len(args) == 0 {
				return fault.New(fault.Invalid, "give one of: %s", strings.Join(waveActions, ", "))
			}
			return s.wave(ctx, &flags, args[0], args[1:])
		},
	}
}

// wave executes one action of "bilberry wave".
func (s *session) wave(ctx context.Context, flags *waveFlags, action string, args []string) error {
	if action != "start" && action != "status" {
		return unknownAction("wave", action, waveActions)
	}
	if err := requireArgs(args, "number"); err != nil {
		return err
	}
	id, err := strconv.ParseInt(args[0], 10, 64)
	if err != nil || id < 1 {
		return fault.Field("number", "%q isn't a number above 0", shorten(args[0]))
	}
	if action == "status" {
		return s.showWave(workflowsCall(ctx, s, &apiv1.WaveRef{Id: id}, func(api apiv1.Workflows) func(context.Context, *apiv1.WaveRef) (*apiv1.WaveStatus, error) {
			return api.GetWave
		}))
	}
	wave, err := flags.toRequest(id)
	if err != nil {
		return err
	}
	return s.showWave(workflowsCall(ctx, s, wave, func(api apiv1.Workflows) func(context.Context, *apiv1.Wave) (*apiv1.WaveStatus, error) {
		return api.StartWave
	}))
}

// toRequest checks the flags and converts them to a wave with the given id.
func (f *waveFlags) toRequest(id int64) (*apiv1.Wave, error) {
	if f.machines == "" {
		return nil, fault.Field("--machines", "is missing; name the machines")
	}
	duration, err := units.ParseDuration(f.duration)
	if err != nil {
		return nil, fault.Field("--duration", "%v", err)
	}
	if f.maxDown < 1 || f.maxDown > maxCount {
		return nil, fault.Field("--max-down", "must be from 1 to %d, is %d", maxCount, f.maxDown)
	}
	return &apiv1.Wave{Id: id, Machines: strings.Split(f.machines, ","), DurationMs: duration.Milliseconds(), MaxDown: int32(f.maxDown)}, nil
}

// showWave prints the state of a wave's machines. If err isn't nil, it returns err and
// prints nothing.
func (s *session) showWave(status *apiv1.WaveStatus, err error) error {
	if err != nil {
		return err
	}
	return s.show(status, func(out io.Writer) {
		state := "active"
		if status.GetDone() {
			state = "done"
		}
		fmt.Fprintf(out, "wave %d: %s\n", status.GetId(), state)
		t := newTable("MACHINE", "MAINTENANCE")
		for _, m := range status.GetMachines() {
			t.add(textCell("%s", m.GetMachine()), textCell("%s", m.GetStage()))
		}
		t.print(s)
	})
}
