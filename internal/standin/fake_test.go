package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/internal/rpc"
	"github.com/bilberryferry/bilberryferry/lease"
)

// serve runs the handler as a server of HTTP/1 and HTTP/2 without TLS on a free
// port and returns its address.
func serve(t *testing.T, handler http.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := rpc.NewServer(handler)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// fakeOwner stands for both an entry instance and the owner of the workers' leases: it
// grants leases, sends commands and records reports.
type fakeOwner struct {
	mu sync.Mutex
	// ttl is the duration of each granted lease.
	ttl time.Duration
	// commands holds the unacknowledged commands, by worker.
	commands map[string][]*apiv1.Command
	// staleCommands are sent before the other commands in every response.
	staleCommands []*apiv1.Command
	// changed is closed and replaced when a command is queued.
	changed chan struct{}
	// issued holds, by worker, the number of the last queued command, and in Term the
	// incarnation to which the command is addressed.
	issued            map[string]lease.Position
	lastRenewals      map[string]*apiv1.RenewRequest
	announcedCPUMilli map[string]int64 // by worker, of the latest announcement
	reports           []*apiv1.AttemptReport
	leftWorkers       map[string]bool
	// lateReports counts reports that arrived after a renewal of a successor
	// incarnation.
	lateReports int
	// reportsToIgnore is the number of further reports to record without acknowledging
	// them.
	reportsToIgnore int
	// reportGate blocks Report calls until it is closed; nil blocks none.
	reportGate chan struct{}
}

func newFakeOwner(ttl time.Duration) *fakeOwner {
	return &fakeOwner{
		ttl:               ttl,
		commands:          make(map[string][]*apiv1.Command),
		changed:           make(chan struct{}),
		lastRenewals:      make(map[string]*apiv1.RenewRequest),
		announcedCPUMilli: make(map[string]int64),
		issued:            make(map[string]lease.Position),
		leftWorkers:       make(map[string]bool),
	}
}

func (f *fakeOwner) Renew(ctx context.Context, r *apiv1.RenewRequest) (*apiv1.RenewResponse, error) {
	f.mu.Lock()
	f.lastRenewals[r.Worker] = r
	if r.Announcement != nil {
		f.announcedCPUMilli[r.Worker] = r.Announcement.Capacity.CpuMilli
	}
	var unacknowledged []*apiv1.Command
	for _, c := range f.commands[r.Worker] {
		if c.Number > r.CommandAck && c.Incarnation == r.Incarnation {
			unacknowledged = append(unacknowledged, c)
		}
	}
	f.commands[r.Worker] = unacknowledged
	changed := f.changed
	f.mu.Unlock()
	if len(unacknowledged) == 0 && r.HoldMs > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(r.HoldMs) * time.Millisecond):
		case <-ctx.Done():
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return &apiv1.RenewResponse{
		Term:     1,
		LeaseMs:  f.ttl.Milliseconds(),
		Commands: append(f.staleCommands[:len(f.staleCommands):len(f.staleCommands)], f.commands[r.Worker]...),
		Sequence: r.Sequence,
	}, nil
}

func (f *fakeOwner) Report(ctx context.Context, r *apiv1.ReportRequest) (*apiv1.ReportResponse, error) {
	f.waitReportGate(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	response := &apiv1.ReportResponse{UntilTerm: 1, UntilNumber: f.issued[r.Worker].Number}
	for _, report := range r.Reports {
		if f.lastRenewals[r.Worker].GetIncarnation() > r.Incarnation {
			f.lateReports++
		}
		f.reports = append(f.reports, report)
		if f.reportsToIgnore > 0 {
			f.reportsToIgnore--
			continue
		}
		response.Acknowledged = append(response.Acknowledged, report.Attempt)
	}
	return response, nil
}

// blockReports makes Report calls wait until the returned function is called. Until then,
// their reports aren't recorded.
func (f *fakeOwner) blockReports() (release func()) {
	gate := make(chan struct{})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reportGate = gate
	return func() { close(gate) }
}

func (f *fakeOwner) waitReportGate(ctx context.Context) {
	f.mu.Lock()
	gate := f.reportGate
	f.mu.Unlock()
	if gate == nil {
		return
	}
	select {
	case <-gate:
	case <-ctx.Done():
	}
}

// processedAll reports whether the worker's last renewal acknowledges all commands issued
// to the worker.
func (f *fakeOwner) processedAll(worker string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastRenewals[worker].GetCommandAck() == f.issued[worker].Number
}

func (f *fakeOwner) LeaveWorker(_ context.Context, r *apiv1.LeaveWorkerRequest) (*apiv1.LeaveResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leftWorkers[r.Worker] = true
	return &apiv1.LeaveResponse{}, nil
}

// queueCommand queues a command for the incarnation of the worker's last renewal.
func (f *fakeOwner) queueCommand(worker string, command *apiv1.Command) {
	f.mu.Lock()
	defer f.mu.Unlock()
	last := f.issued[worker]
	if incarnation := f.lastRenewals[worker].GetIncarnation(); last.Term != incarnation {
		last = lease.Position{Term: incarnation}
		f.commands[worker] = nil
	}
	last.Number++
	f.issued[worker] = last
	command.Number = last.Number
	command.Term = 1
	command.Incarnation = last.Term
	f.commands[worker] = append(f.commands[worker], command)
	close(f.changed)
	f.changed = make(chan struct{})
}

// taskCPUMilli is the CPU demand of each task that queueStart starts, in millicores.
const taskCPUMilli = 1000

// queueStart queues a command that starts an attempt of the job's task 0.
func (f *fakeOwner) queueStart(worker, job string, attempt int32, payload string) {
	f.queueCommand(worker, &apiv1.Command{Body: &apiv1.Command_Start{Start: &apiv1.StartTask{
		Attempt: &apiv1.AttemptRef{Job: job, Attempt: attempt},
		Need:    &apiv1.Resources{CpuMilli: taskCPUMilli, MemoryMib: 64},
		Payload: []byte(payload),
	}}})
}

// queueStop queues a command that stops an attempt of the job's task 0.
func (f *fakeOwner) queueStop(worker, job string, attempt int32) {
	f.queueCommand(worker, &apiv1.Command{Body: &apiv1.Command_Stop{Stop: &apiv1.StopTask{
		Attempt: &apiv1.AttemptRef{Job: job, Attempt: attempt},
	}}})
}

// outcomes returns the reported outcomes of a job's attempts in the order of arrival.
func (f *fakeOwner) outcomes(job string) []apiv1.Outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	var outcomes []apiv1.Outcome
	for _, r := range f.reports {
		if r.Attempt.Job == job {
			outcomes = append(outcomes, r.Outcome)
		}
	}
	return outcomes
}

// lastSeen returns the incarnation of the worker's last renewal and the CPU capacity
// that it last announced.
func (f *fakeOwner) lastSeen(worker string) (incarnation uint64, cpuMilli int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastRenewals[worker].GetIncarnation(), f.announcedCPUMilli[worker]
}

// eventually waits for a condition and fails the test after 10 seconds.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(
		wait.BoolFunc(condition),
		wait.Timeout(10*time.Second),
		wait.Gap(2*time.Millisecond),
	), must.Sprint(description))
}
