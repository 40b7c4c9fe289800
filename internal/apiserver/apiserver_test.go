package apiserver

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/dispatch"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/control"
	"github.com/bilberryferry/bilberryferry/workflow"
)

const token = "secret"

// fakeLeader implements Operations with fixed responses, records the last submission and
// wave, and returns err from each call.
type fakeLeader struct {
	submitted *control.SubmitCall
	wave      *control.WaveCall
	err       error
}

func (f *fakeLeader) Submit(_ context.Context, r *control.SubmitCall) (control.SubmitReply, error) {
	f.submitted = r
	return control.SubmitReply{Known: true}, f.err
}

func (f *fakeLeader) State(context.Context, *control.StateCall) (control.StateReply, error) {
	return control.StateReply{Queue: true, Waiting: 7}, f.err
}

func (f *fakeLeader) Cancel(context.Context, *control.CancelCall) error { return f.err }

func (f *fakeLeader) Explain(_ context.Context, r *control.ExplainCall) (control.ExplainReply, error) {
	key := workflow.StepKey{Job: r.Address.ID, Step: 1}
	return control.ExplainReply{
		Queue: r.Address.Queue, ID: r.Address.ID, Phase: workflow.PhaseActive,
		Steps: []control.StepProgress{{
			Key: key, Tasks: 4, Done: 1, Running: 2, Failures: 3,
			Crashes: []control.TaskCrashes{{Task: 2, Workers: []string{"w1", "w2"}, GivenUp: true}},
		}},
		Waiting: []control.StepExplanation{{
			Key: key, Tasks: 1, Reason: dispatch.ReasonNoCapacity, Permitted: 5, Refused: 6, Unknown: 7,
			Workers: []dispatch.ReasonCount{{Reason: dispatch.ReasonWorkerFull, Workers: 5, Example: "w1"}},
		}},
	}, f.err
}

func (f *fakeLeader) Customers(context.Context) (control.CustomersReply, error) {
	return control.CustomersReply{Term: 3, CountedSinceMS: 5000, CountedFor: 2 * time.Second, Capacity: workflow.Resources{MilliCPU: 8}, Customers: []control.CustomerStatus{{
		Name: "c", Removed: true, Submissions: control.SubmissionCounts{Admitted: 1, RefusedQueue: 2, RefusedLimit: 3, RefusedCluster: 4},
		Running: workflow.Resources{MilliCPU: 5}, Limit: workflow.Resources{MilliCPU: 6}, Weight: 1.5, Share: 0.25, Due: workflow.Resources{MilliCPU: 2},
		QueuedTasks: 7, QueuedCoreMS: 8, WaitingJobs: 9, OldestWait: 10 * time.Millisecond,
	}}}, f.err
}

func (f *fakeLeader) StartWave(_ context.Context, r *control.WaveCall) error {
	f.wave = r
	return f.err
}

func (f *fakeLeader) WaveState(context.Context, *control.WaveStateCall) (control.WaveStateReply, error) {
	return control.WaveStateReply{Done: true, Maintenances: []workflow.Maintenance{{Machine: "m1", Stage: workflow.MaintenanceStarted}}}, f.err
}

// newClient starts a server of the API in front of f and returns a client of that server,
// which presents the given token.
func newClient(t *testing.T, f *fakeLeader, presented string) apiv1.Workflows {
	server := httptest.NewServer(New(f, token, log.NewNopLogger()))
	t.Cleanup(server.Close)
	client := &http.Client{Transport: bearerTransport(presented)}
	return apiv1.NewWorkflowsProtobufClient(server.URL, client)
}

// bearerTransport is a transport that adds a bearer token to each request.
type bearerTransport string

func (w bearerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+string(w))
	return http.DefaultTransport.RoundTrip(r)
}

func TestCallWithWrongTokenIsRejected(t *testing.T) {
	f := &fakeLeader{}
	_, err := newClient(t, f, "other").StartWave(t.Context(), &apiv1.Wave{Id: 1, Machines: []string{"m1"}, DurationMs: 1, MaxDown: 1})
	must.Error(t, err)
	must.Nil(t, f.wave)
}

func TestSubmissionIsTranslated(t *testing.T) {
	f := &fakeLeader{}
	response, err := newClient(t, f, token).SubmitWorkflow(t.Context(), &apiv1.SubmitWorkflowRequest{
		Id: "a", Queue: "q", Payload: "p", Repeat: &apiv1.Repeat{FirstUnixMs: 5, EveryMs: 6, Times: 2},
		Steps: []*apiv1.Step{{Tasks: 1, EstimateMs: 9}, {
			Tasks: 2, Need: &apiv1.Resources{CpuMilli: 500, MemoryMib: 64, Accelerators: 1}, EstimateMs: 10, After: []int32{0}, Gang: true,
			SameRack: true, Label: "l", NearRack: "r", MaxPerWorker: 3, Copies: true, LongRunning: true, Checkpointing: true,
			SpareProcessors: true, MaxUnavailable: 4, Image: "i", LatencyObjectiveMs: 50,
		}},
	})
	must.NoError(t, err)
	must.True(t, response.GetKnown())
	must.Eq(t, &control.SubmitCall{
		Address: control.JobAddress{Queue: "q", ID: "a"}, Principal: control.Principal{Operator: true}, Payload: "p", Schedule: workflow.Schedule{FirstAtMS: 5, EveryMS: 6, Times: 2},
		Steps: []workflow.Step{{Count: 1, EstimateMS: 9}, {
			Count: 2, Need: workflow.Resources{MilliCPU: 500, MemoryMB: 64, Accelerators: 1}, EstimateMS: 10, DependsOn: []int{0}, Gang: true,
			SameRack: true, Label: "l", DataRack: "r", MaxPerWorker: 3, Speculative: true, LongRunning: true, Checkpointing: true,
			UsesSpareCPU: true, MaxUnavailable: 4, Image: "i", LatencyObjectiveMS: 50,
		}},
	}, f.submitted)
}

// Guards against figures of customers in the wrong field.
func TestCustomersAreTranslated(t *testing.T) {
	status, err := newClient(t, &fakeLeader{}, token).GetCustomers(t.Context(), &apiv1.CustomersRequest{})
	must.NoError(t, err)
	must.True(t, proto.Equal(&apiv1.CustomersStatus{
		Term: 3, CountedSinceUnixMs: 5000, CountedForMs: 2000, Capacity: &apiv1.Resources{CpuMilli: 8}, Customers: []*apiv1.CustomerStatus{{
			Name: "c", Removed: true, Offered: 10, Admitted: 1, RefusedQueue: 2, RefusedLimit: 3, RefusedCluster: 4,
			Running: &apiv1.Resources{CpuMilli: 5}, Limit: &apiv1.Resources{CpuMilli: 6, MemoryMib: -1, Accelerators: -1}, Weight: 1.5, Share: 0.25,
			Due: &apiv1.Resources{CpuMilli: 2}, QueuedTasks: 7, QueuedCoreMs: 8, WaitingJobs: 9, OldestWaitMs: 10,
		}},
	}, status), must.Sprint(status))
}

func TestInvalidCallErrorNamesTheField(t *testing.T) {
	validSteps := []*apiv1.Step{{Tasks: 1}}
	for field, r := range map[string]*apiv1.SubmitWorkflowRequest{
		"queue": {Id: "a", Steps: validSteps},
		"id":    {Queue: "q", Steps: validSteps},
		"steps": {Id: "a", Queue: "q"},
		"tasks": {Id: "a", Queue: "q", Steps: []*apiv1.Step{{}}},
		"after": {Id: "a", Queue: "q", Steps: []*apiv1.Step{{Tasks: 1, After: []int32{0}}}},
		"need":  {Id: "a", Queue: "q", Steps: []*apiv1.Step{{Tasks: 1, Need: &apiv1.Resources{CpuMilli: -1}}}},
	} {
		f := &fakeLeader{}
		_, err := newClient(t, f, token).SubmitWorkflow(t.Context(), r)
		must.Eq(t, fault.Invalid, fault.KindOf(err), must.Sprint(field))
		must.Eq(t, field, fault.From(err).Field)
		must.Nil(t, f.submitted)
	}
	f := &fakeLeader{}
	_, err := newClient(t, f, token).StartWave(t.Context(), &apiv1.Wave{Id: 1, Machines: []string{"m1"}, DurationMs: 1})
	must.Eq(t, "max_down", fault.From(err).Field)
	must.Nil(t, f.wave)
}

func TestResponsesAreTranslated(t *testing.T) {
	f := &fakeLeader{}
	api := newClient(t, f, token)
	ref := &apiv1.WorkflowRef{Queue: "q", Id: "a"}
	explained, err := api.ExplainWorkflow(t.Context(), ref)
	must.NoError(t, err)
	must.Eq(t, "active", explained.GetStatus().GetPhase())
	must.Eq(t, int32(2), explained.GetStatus().GetSteps()[0].GetRunning())
	crashes := explained.GetStatus().GetSteps()[0].GetCrashes()[0]
	must.Eq(t, int32(2), crashes.GetTask())
	must.Eq(t, []string{"w1", "w2"}, crashes.GetWorkers())
	must.True(t, crashes.GetGivenUp())
	must.Eq(t, string(dispatch.ReasonNoCapacity), explained.GetSteps()[0].GetReason())
	must.Eq(t, int32(5), explained.GetSteps()[0].GetWorkers()[0].GetWorkers())
	must.Eq(t, int32(7), explained.GetSteps()[0].GetUnknown())
	queue, err := api.GetQueue(t.Context(), &apiv1.QueueRef{Queue: "q"})
	must.NoError(t, err)
	must.Eq(t, int32(7), queue.GetWaiting())
	wave, err := api.GetWave(t.Context(), &apiv1.WaveRef{Id: 1})
	must.NoError(t, err)
	must.Eq(t, "begun", wave.GetMachines()[0].GetStage())
	f.err = fault.Retry(fault.Unavailable, 2*time.Second, "no leader")
	_, err = api.CancelWorkflow(t.Context(), ref)
	must.Eq(t, fault.Unavailable, fault.KindOf(err))
	must.Eq(t, 2*time.Second, fault.From(err).RetryAfter)
}
