package standin

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/fault"
)

// fakeScheduler accepts jobs and finishes them at their deadline, or starts them if they
// are services. It refuses jobs named "never", and finishes jobs named "late" one
// millisecond after their deadline.
type fakeScheduler struct {
	apiv1.Scheduler
	mu sync.Mutex
	// requests counts the tries of each submission, by request id.
	requests  map[string]int
	jobs      map[string]*apiv1.Job
	cancelled []string
	// loseFirstResponse makes the first try of each submission fail with Unavailable
	// although the job is accepted.
	loseFirstResponse bool
}

func (f *fakeScheduler) Home(context.Context, *apiv1.HomeRequest) (*apiv1.HomeResponse, error) {
	return &apiv1.HomeResponse{DataCentre: "hall"}, nil
}

func (f *fakeScheduler) Submit(_ context.Context, r *apiv1.SubmitRequest) (*apiv1.SubmitResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests[r.RequestId]++
	if r.Spec.Name == "never" {
		return nil, fault.ToTwirp(fault.New(fault.Infeasible, "no worker is that large"))
	}
	f.jobs[r.RequestId] = &apiv1.Job{
		Id: r.RequestId, Spec: r.Spec, Revision: 1,
		State:         apiv1.JobState_JOB_STATE_FINISHED,
		StartedUnixMs: time.Now().UnixMilli(),
		EndedUnixMs:   r.Spec.DeadlineUnixMs,
	}
	switch {
	case r.Spec.Name == "late":
		f.jobs[r.RequestId].EndedUnixMs++
	case r.Spec.Policy == apiv1.Policy_POLICY_SERVICE:
		f.jobs[r.RequestId].State = apiv1.JobState_JOB_STATE_RUNNING
	}
	if f.loseFirstResponse && f.requests[r.RequestId] == 1 {
		return nil, fault.ToTwirp(fault.New(fault.Unavailable, "response lost"))
	}
	return &apiv1.SubmitResponse{Id: r.RequestId, State: apiv1.JobState_JOB_STATE_QUEUED}, nil
}

func (f *fakeScheduler) Watch(_ context.Context, r *apiv1.WatchRequest) (*apiv1.StatusResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &apiv1.StatusResponse{Jobs: []*apiv1.Job{f.jobs[r.Id]}}, nil
}

func (f *fakeScheduler) Cancel(_ context.Context, r *apiv1.CancelRequest) (*apiv1.CancelResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelled = append(f.cancelled, r.Ids...)
	return &apiv1.CancelResponse{Ids: r.Ids}, nil
}

func newTemplate(name string, policy apiv1.Policy) Arrival {
	return Arrival{
		Customer: "north",
		Spec:     &apiv1.Spec{Name: name, Policy: policy, Tasks: 1},
		Deadline: time.Minute,
	}
}

// The first response to every submission is lost. A retry with another request id would
// submit the job twice. The report must count each job once, and count refused jobs,
// missed deadlines and running services separately.
func TestJobsReportCountsOutcomes(t *testing.T) {
	scheduler := &fakeScheduler{requests: make(map[string]int), jobs: make(map[string]*apiv1.Job), loseFirstResponse: true}
	jobs := NewJobs(JobsConfig{
		Entries: []string{"127.0.0.1:1", serve(t, apiv1.NewSchedulerServer(scheduler))},
		Arrivals: []Arrival{
			newTemplate("good", apiv1.Policy_POLICY_BATCH),
			newTemplate("never", apiv1.Policy_POLICY_GANG),
			newTemplate("late", apiv1.Policy_POLICY_BATCH),
			newTemplate("service", apiv1.Policy_POLICY_SERVICE),
		},
	})
	must.NoError(t, jobs.Run(t.Context()))
	report := jobs.Report()
	must.Eq(t, 4, report.Arrived)
	must.Eq(t, 3, report.Accepted)
	must.Eq(t, 2, report.MetDeadline)
	must.Eq(t, 1, report.MissedDeadline)
	must.Eq(t, map[string]int{"Infeasible": 1}, report.Refused)
	must.Eq(t, map[string]int{"finished": 2, "running": 1}, report.Ended)
	must.MapLen(t, 4, scheduler.requests)
	must.Eq(t, []string{jobs.Results()[3].ID}, scheduler.cancelled)
}

// A failed run can't be repeated, because the same seed gives other times or other jobs.
func TestRandomArrivalsAreRepeatable(t *testing.T) {
	templates := []Arrival{newTemplate("a", apiv1.Policy_POLICY_BATCH), newTemplate("b", apiv1.Policy_POLICY_GANG)}
	const seed, perSecond, count = 7, 100, 500
	arrivals := RandomArrivals(seed, perSecond, count, templates)
	must.Eq(t, len(arrivals), count)
	for i, a := range RandomArrivals(seed, perSecond, count, templates) {
		must.Eq(t, arrivals[i].At, a.At)
		must.Eq(t, arrivals[i].Spec.Name, a.Spec.Name)
	}
}
