// Package apiserver serves the product API of a cell whose log spans its data
// centres: it validates calls, translates them and forwards them to the leader.
package apiserver

import (
	"context"
	"crypto/subtle"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/dispatch"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/control"
	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// callTimeout bounds one call. A commit takes some tens of milliseconds, an
	// election takes a second.
	callTimeout = 5 * time.Second
	// maxBody is the largest request body in bytes. It is enough for the largest job,
	// which has a thousand steps.
	maxBody = 1 << 20
	// maxIDLength is the maximum length of a job ID in bytes.
	maxIDLength = 64
)

// Operations are the calls that are forwarded to the leader.
type Operations interface {
	Submit(ctx context.Context, r *control.SubmitCall) (control.SubmitReply, error)
	State(ctx context.Context, r *control.StateCall) (control.StateReply, error)
	Cancel(ctx context.Context, r *control.CancelCall) error
	Explain(ctx context.Context, r *control.ExplainCall) (control.ExplainReply, error)
	Customers(ctx context.Context) (control.CustomersReply, error)
	StartWave(ctx context.Context, r *control.WaveCall) error
	WaveState(ctx context.Context, r *control.WaveStateCall) (control.WaveStateReply, error)
}

// server implements the service apiv1.Workflows.
type server struct {
	operations Operations
	logger     log.Logger
}

// New returns the handler of the product API. A call without the bearer token is
// rejected with status 401.
func New(operations Operations, token string, logger log.Logger) http.Handler {
	api := apiv1.NewWorkflowsServer(&server{operations: operations, logger: logger})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		presented := []byte(r.Header.Get("Authorization"))
		if subtle.ConstantTimeCompare(presented, []byte("Bearer "+token)) != 1 {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
		defer cancel()
		api.ServeHTTP(w, r.WithContext(ctx))
	})
}

// toAPIError logs a failed call and converts its error to one of the API.
func (s *server) toAPIError(call, queue, id string, err error) error {
	if err != nil {
		_ = s.logger.Log("event", "api_request", "call", call, "queue", queue, "job", id, "outcome", fault.KindOf(err), "err", err)
	}
	return fault.ToTwirp(err)
}

// operator is on whose behalf all calls of the API are made: its callers present the token of the
// operators.
var operator = control.Principal{Operator: true}

func jobAddress(queue, id string) control.JobAddress { return control.JobAddress{Queue: queue, ID: id} }

// checkRef returns a fault that names the invalid field of a reference to a job.
func checkRef(queue, id string) error {
	switch {
	case queue == "":
		return fault.Field("queue", "missing")
	case id == "" || len(id) > maxIDLength:
		return fault.Field("id", "must have 1 to %d bytes", maxIDLength)
	}
	return nil
}

// SubmitWorkflow submits a job.
func (s *server) SubmitWorkflow(ctx context.Context, r *apiv1.SubmitWorkflowRequest) (*apiv1.SubmitWorkflowResponse, error) {
	reply, err := s.submit(ctx, r)
	return &apiv1.SubmitWorkflowResponse{Known: reply.Known}, s.toAPIError("submit", r.GetQueue(), r.GetId(), err)
}

// submit validates and translates a job and submits it.
func (s *server) submit(ctx context.Context, r *apiv1.SubmitWorkflowRequest) (control.SubmitReply, error) {
	if err := checkRef(r.GetQueue(), r.GetId()); err != nil {
		return control.SubmitReply{}, err
	}
	call := &control.SubmitCall{Address: jobAddress(r.GetQueue(), r.GetId()), Principal: operator, Payload: r.GetPayload(), Schedule: workflow.Schedule{
		FirstAtMS: r.GetRepeat().GetFirstUnixMs(), EveryMS: r.GetRepeat().GetEveryMs(), Times: int(r.GetRepeat().GetTimes()),
	}}
	for _, step := range r.GetSteps() {
		call.Steps = append(call.Steps, stepFromAPI(step))
	}
	var invalid *workflow.CheckError
	if errors.As(workflow.Check(call.Payload, call.Steps, call.Schedule), &invalid) {
		return control.SubmitReply{}, fault.Field(string(invalid.Field), "%s", invalid.Message)
	}
	return s.operations.Submit(ctx, call)
}

func stepFromAPI(s *apiv1.Step) workflow.Step {
	step := workflow.Step{
		Count: int(s.GetTasks()), EstimateMS: s.GetEstimateMs(), Gang: s.GetGang(), SameRack: s.GetSameRack(),
		Need: workflow.Resources{
			MilliCPU: s.GetNeed().GetCpuMilli(), MemoryMB: s.GetNeed().GetMemoryMib(), Accelerators: s.GetNeed().GetAccelerators(),
		},
		Label: s.GetLabel(), DataRack: s.GetNearRack(), MaxPerWorker: int(s.GetMaxPerWorker()), Speculative: s.GetCopies(),
		LongRunning: s.GetLongRunning(), Checkpointing: s.GetCheckpointing(), UsesSpareCPU: s.GetSpareProcessors(),
		MaxUnavailable: int(s.GetMaxUnavailable()), Image: s.GetImage(), LatencyObjectiveMS: s.GetLatencyObjectiveMs(),
	}
	for _, dependency := range s.GetAfter() {
		step.DependsOn = append(step.DependsOn, int(dependency))
	}
	return step
}

// CancelWorkflow cancels a job.
func (s *server) CancelWorkflow(ctx context.Context, r *apiv1.WorkflowRef) (*apiv1.CancelWorkflowResponse, error) {
	err := checkRef(r.GetQueue(), r.GetId())
	if err == nil {
		err = s.operations.Cancel(ctx, &control.CancelCall{Address: jobAddress(r.GetQueue(), r.GetId()), Principal: operator})
	}
	return &apiv1.CancelWorkflowResponse{}, s.toAPIError("cancel", r.GetQueue(), r.GetId(), err)
}

// GetWorkflow returns the progress of a job.
func (s *server) GetWorkflow(ctx context.Context, r *apiv1.WorkflowRef) (*apiv1.WorkflowStatus, error) {
	reply, err := s.explain(ctx, r)
	return statusToAPI(&reply), s.toAPIError("get", r.GetQueue(), r.GetId(), err)
}

// ExplainWorkflow returns the progress of a job and why its steps wait.
func (s *server) ExplainWorkflow(ctx context.Context, r *apiv1.WorkflowRef) (*apiv1.ExplainWorkflowResponse, error) {
	reply, err := s.explain(ctx, r)
	return explanationToAPI(&reply), s.toAPIError("explain", r.GetQueue(), r.GetId(), err)
}

// explain returns the progress of a job and why its steps wait, for GetWorkflow and
// ExplainWorkflow.
func (s *server) explain(ctx context.Context, r *apiv1.WorkflowRef) (control.ExplainReply, error) {
	if err := checkRef(r.GetQueue(), r.GetId()); err != nil {
		return control.ExplainReply{}, err
	}
	return s.operations.Explain(ctx, &control.ExplainCall{Address: jobAddress(r.GetQueue(), r.GetId()), Principal: operator})
}

func statusToAPI(reply *control.ExplainReply) *apiv1.WorkflowStatus {
	status := &apiv1.WorkflowStatus{Queue: reply.Queue, Id: reply.ID, Phase: reply.Phase.String()}
	for _, step := range reply.Steps {
		stepStatus := &apiv1.StepStatus{
			Occurrence: int32(step.Key.Occurrence), Step: int32(step.Key.Step), Tasks: int32(step.Tasks),
			Done: int32(step.Done), Running: int32(step.Running), Failures: int32(step.Failures),
		}
		for _, crashes := range step.Crashes {
			stepStatus.Crashes = append(stepStatus.Crashes, &apiv1.TaskCrashes{
				Task: int32(crashes.Task), Workers: crashes.Workers, GivenUp: crashes.GivenUp,
			})
		}
		status.Steps = append(status.Steps, stepStatus)
	}
	return status
}

func explanationToAPI(reply *control.ExplainReply) *apiv1.ExplainWorkflowResponse {
	response := &apiv1.ExplainWorkflowResponse{Status: statusToAPI(reply)}
	for _, waiting := range reply.Waiting {
		step := &apiv1.StepExplanation{
			Occurrence: int32(waiting.Key.Occurrence), Step: int32(waiting.Key.Step), Tasks: int32(waiting.Tasks),
			Reason: reasonText(waiting.Reason, reply), Permitted: int32(waiting.Permitted), Refused: int32(waiting.Refused),
			Unknown: int32(waiting.Unknown),
		}
		for _, count := range waiting.Workers {
			step.Workers = append(step.Workers, &apiv1.FilterCount{
				Filter: string(count.Reason), Workers: int32(count.Workers), ExampleWorker: count.Example,
			})
		}
		if len(waiting.SlowWorkers) > 0 {
			step.Workers = append(step.Workers, &apiv1.FilterCount{
				Filter: waiting.SlowWorkers[0].String(), Workers: int32(waiting.SlowCount), ExampleWorker: waiting.SlowWorkers[0].Worker,
			})
		}
		response.Steps = append(response.Steps, step)
	}
	return response
}

// reasonText returns the reason why a step waits, followed by the expected wait of new jobs if that
// is estimated.
func reasonText(reason dispatch.Reason, reply *control.ExplainReply) string {
	if reason == "" || reply.Bottleneck == "" {
		return string(reason)
	}
	return fmt.Sprintf("%s; a new job of the queue is expected to wait %d ms for %s", reason, reply.ExpectedWait.Milliseconds(), reply.Bottleneck)
}

// GetQueue returns the state of a queue.
func (s *server) GetQueue(ctx context.Context, r *apiv1.QueueRef) (*apiv1.QueueStatus, error) {
	if r.GetQueue() == "" {
		return nil, s.toAPIError("queue", "", "", fault.Field("queue", "missing"))
	}
	reply, err := s.operations.State(ctx, &control.StateCall{Address: jobAddress(r.GetQueue(), ""), Principal: operator})
	return &apiv1.QueueStatus{Waiting: int32(reply.Waiting)}, s.toAPIError("queue", r.GetQueue(), "", err)
}

// StartWave starts a maintenance wave and returns its progress.
func (s *server) StartWave(ctx context.Context, r *apiv1.Wave) (*apiv1.WaveStatus, error) {
	wave := workflow.Wave{ID: r.GetId(), Machines: r.GetMachines(), DurationMS: r.GetDurationMs(), MaxDown: int(r.GetMaxDown())}
	if err := workflow.CheckWave(&wave); err != nil {
		return nil, s.toAPIError("start wave", "", "", fault.Field(string(err.Field), "%s", err.Message))
	}
	if err := s.operations.StartWave(ctx, &control.WaveCall{Wave: wave}); err != nil {
		return nil, s.toAPIError("start wave", "", "", err)
	}
	return s.GetWave(ctx, &apiv1.WaveRef{Id: r.GetId()})
}

// GetWave returns the progress of a maintenance wave.
func (s *server) GetWave(ctx context.Context, r *apiv1.WaveRef) (*apiv1.WaveStatus, error) {
	reply, err := s.operations.WaveState(ctx, &control.WaveStateCall{ID: r.GetId()})
	status := &apiv1.WaveStatus{Id: r.GetId(), Done: reply.Done}
	for _, maintenance := range reply.Maintenances {
		status.Machines = append(status.Machines, &apiv1.MachineMaintenance{Machine: maintenance.Machine, Stage: maintenance.Stage.String()})
	}
	return status, s.toAPIError("wave", "", "", err)
}
