package cell

import (
	"context"
	"time"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/rpc"
	"github.com/bilberryferry/bilberryferry/internal/settings"
	"github.com/bilberryferry/bilberryferry/internal/state"
	"github.com/bilberryferry/bilberryferry/internal/wire"
	"github.com/bilberryferry/bilberryferry/lease"
)

var _ apiv1.WorkerGateway = (*Cell)(nil)

// currentLeaderTerm returns the current leader term. If this replica may not decide, its
// error names the leader.
func (c *Cell) currentLeaderTerm() (*leaderTerm, error) {
	status := c.log.Status()
	t := c.leaderTerm.Load()
	if t == nil || !status.CanDecide || status.Term != t.term {
		return nil, rpc.NotLeader(rpc.LeaderIn(status))
	}
	return t, nil
}

// Renew registers a worker or renews its lease. The call is held until there are
// commands or its hold time ends.
func (c *Cell) Renew(ctx context.Context, r *apiv1.RenewRequest) (*apiv1.RenewResponse, error) {
	received := c.monotonic()
	if _, err := rpc.Require(ctx, settings.Worker); err != nil {
		return nil, err
	}
	if r.Worker == "" || r.Incarnation == 0 {
		return nil, fault.Field("worker", "name and incarnation are needed")
	}
	t, err := c.currentLeaderTerm()
	if err != nil {
		return nil, err
	}
	c.stats.Renewals.Add(1)
	response := &apiv1.RenewResponse{Term: t.term, Sequence: r.Sequence}
	switch status, err := c.registerWorker(ctx, r); {
	case err != nil:
		return nil, err
	case status == incarnationEnded:
		response.Ended = true
		return response, nil
	case status == incarnationUnknown || c.needsAnnouncement(t, r):
		response.Announce = true
		return response, nil
	}
	workerOutbox, renewal := c.renew(t, r, received)
	response.Ended = renewal.Ended
	if workerOutbox == nil {
		return response, nil
	}
	response.LeaseMs = t.leases.TTL().Milliseconds()
	response.Commands = c.awaitCommands(ctx, t, workerOutbox, r)
	return response, nil
}

// incarnationStatus is the status of a worker incarnation in the committed state.
type incarnationStatus int

const (
	incarnationUnknown incarnationStatus = iota
	incarnationKnown
	incarnationEnded
)

// registerWorker commits an incarnation that announces itself for the first time, and
// ends one that runs unknown attempts. It returns the status of the incarnation.
func (c *Cell) registerWorker(ctx context.Context, r *apiv1.RenewRequest) (incarnationStatus, error) {
	status := c.incarnationStatusOf(r.Worker, r.Incarnation)
	if status == incarnationKnown && c.hasUnknownAttempts(r) {
		down := &state.WorkerDown{ID: r.Worker, Incarnation: r.Incarnation}
		_, err := c.propose(ctx, &state.Command{WorkerDown: down})
		return incarnationEnded, err
	}
	if status != incarnationUnknown {
		return status, nil
	}
	a := r.Announcement
	if a == nil {
		return incarnationUnknown, nil
	}
	if len(a.Running) > 0 {
		// A new incarnation runs no attempts. An incarnation that is unknown to the state
		// but runs attempts must have been registered before, and the state has lost the
		// records of the incarnation and of its attempts; see needsAnnouncement.
		return incarnationEnded, nil
	}
	capacity := wire.ResourcesFromAPI(a.Capacity)
	if capacity.CPU <= 0 || capacity.Memory <= 0 || capacity.Accelerators < 0 {
		return incarnationUnknown, fault.Field("announcement.capacity", "must be positive")
	}
	up := &state.WorkerUp{ID: r.Worker, Incarnation: r.Incarnation, Rack: a.Rack, Capacity: capacity}
	if _, err := c.propose(ctx, &state.Command{WorkerUp: up}); err != nil {
		return incarnationUnknown, err
	}
	return c.incarnationStatusOf(r.Worker, r.Incarnation), nil
}

// needsAnnouncement reports whether the worker must announce the attempts that it runs.
// Each incarnation must do so with its first renewal in a leader term.
//
// Failure guarded against: the log continued without a disk, the whole data centre lost
// power, and starts that were committed in memory are lost while their workers run them.
// Such a worker looks free and would get more tasks than fit. Its announcement contains
// attempts that the state doesn't know; its incarnation ends, and the worker returns with
// a new one that runs nothing.
func (c *Cell) needsAnnouncement(t *leaderTerm, r *apiv1.RenewRequest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	workerOutbox := t.outboxes[r.Worker]
	firstRenewal := workerOutbox == nil || workerOutbox.incarnation != r.Incarnation
	return firstRenewal && r.Announcement == nil
}

// hasUnknownAttempts reports whether a worker announces an attempt that was never
// committed here. An attempt whose end is already committed counts as known.
func (c *Cell) hasUnknownAttempts(r *apiv1.RenewRequest) bool {
	unknown := false
	c.stateMachine.View(func(s *state.State) {
		for _, ref := range r.GetAnnouncement().GetRunning() {
			j := s.Jobs[ref.GetJob()]
			if j == nil || int(ref.GetTask()) >= len(j.Tasks) || j.Tasks[ref.GetTask()].Attempt < ref.GetAttempt() {
				unknown = true
			}
		}
	})
	return unknown
}

// incarnationStatusOf returns the status of a worker incarnation. An incarnation has ended
// if the worker is down or has a newer incarnation.
func (c *Cell) incarnationStatusOf(worker string, incarnation uint64) incarnationStatus {
	status := incarnationUnknown
	c.stateMachine.View(func(s *state.State) {
		w := s.Workers[worker]
		switch {
		case w == nil || w.Incarnation < incarnation:
			return
		case w.Incarnation > incarnation || w.Down:
			status = incarnationEnded
		default:
			status = incarnationKnown
		}
	})
	return status
}

// renew renews the lease of a worker and returns its outbox, or no outbox if the renewal
// grants no lease. The caller has checked, after the renewal was received, that this
// replica may decide: a leader that resumes after a pause must not grant a lease whose
// expiry its successor doesn't wait for.
func (c *Cell) renew(t *leaderTerm, r *apiv1.RenewRequest, received time.Duration) (*outbox, lease.Renewal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	wasLive := t.leases.Live(r.Worker, received)
	renewal := t.leases.Renew(r.Worker, r.Incarnation, r.Sequence, received)
	if !renewal.Grants() {
		return nil, renewal
	}
	var workerOutbox *outbox
	c.stateMachine.View(func(s *state.State) {
		workerOutbox = t.openOutbox(s, r.Worker, r.Incarnation)
		if !wasLive || renewal.NewIncarnation {
			t.syncWorker(s, r.Worker, received)
			t.wakeUp()
		}
	})
	workerOutbox.Acknowledge(lease.Position{Term: r.Term, Number: r.CommandAck})
	return workerOutbox, renewal
}

// awaitCommands holds a renewal until there are commands, the hold is over or the leader
// term ends. It returns the commands.
func (c *Cell) awaitCommands(ctx context.Context, t *leaderTerm, workerOutbox *outbox, r *apiv1.RenewRequest) []*apiv1.Command {
	hold := min(time.Duration(r.HoldMs)*time.Millisecond, time.Duration(c.base.Settings.Timing.RenewHold))
	timer := time.NewTimer(max(hold, 0))
	defer timer.Stop()
	for {
		t.mu.Lock()
		pending := workerOutbox.commands()
		changed := workerOutbox.changed
		t.mu.Unlock()
		if len(pending) > 0 || hold <= 0 {
			return pending
		}
		select {
		case <-changed:
			if c.leaderTerm.Load() != t {
				return nil
			}
		case <-timer.C:
			hold = 0
		case <-c.draining:
			hold = 0
		case <-ctx.Done():
			return nil
		}
	}
}

// Report commits the ends of attempts and acknowledges them.
func (c *Cell) Report(ctx context.Context, r *apiv1.ReportRequest) (*apiv1.ReportResponse, error) {
	if _, err := rpc.Require(ctx, settings.Worker); err != nil {
		return nil, err
	}
	t, err := c.currentLeaderTerm()
	if err != nil {
		return nil, err
	}
	end := &state.End{Worker: r.Worker, Incarnation: r.Incarnation}
	for _, report := range r.Reports {
		if report.Outcome <= apiv1.Outcome_OUTCOME_UNSPECIFIED || report.Outcome > apiv1.Outcome_OUTCOME_NOT_STARTED {
			return nil, fault.Field("reports.outcome", "unknown outcome %d", report.Outcome)
		}
		end.Reports = append(end.Reports, state.Report{
			Ref: wire.RefFromAPI(report.Attempt), Outcome: state.Outcome(report.Outcome), Detail: report.Detail,
			Runtime: time.Duration(report.RuntimeMs) * time.Millisecond, Peak: wire.ResourcesFromAPI(report.PeakUsage),
		})
	}
	result, err := c.propose(ctx, &state.Command{End: end})
	if err != nil {
		return nil, err
	}
	c.stats.Reports.Add(int64(len(end.Reports)))
	response := t.acknowledgement(r)
	for _, ref := range result.Acknowledged {
		response.Acknowledged = append(response.Acknowledged, wire.RefToAPI(ref))
	}
	return response, nil
}

// LeaveWorker ends an incarnation that has stopped all its tasks.
func (c *Cell) LeaveWorker(ctx context.Context, r *apiv1.LeaveWorkerRequest) (*apiv1.LeaveResponse, error) {
	if _, err := rpc.Require(ctx, settings.Worker); err != nil {
		return nil, err
	}
	t, err := c.currentLeaderTerm()
	if err != nil {
		return nil, err
	}
	c.endLease(t, r)
	down := &state.WorkerDown{ID: r.Worker, Incarnation: r.Incarnation, Left: true}
	if _, err := c.propose(ctx, &state.Command{WorkerDown: down}); err != nil {
		return nil, err
	}
	return &apiv1.LeaveResponse{}, nil
}

func (c *Cell) endLease(t *leaderTerm, r *apiv1.LeaveWorkerRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leases.Leave(r.Worker, r.Incarnation)
}

// acknowledgement returns a response with the position of the last command issued to the
// incarnation. The reported ends must have been applied before the call.
func (t *leaderTerm) acknowledgement(r *apiv1.ReportRequest) *apiv1.ReportResponse {
	response := &apiv1.ReportResponse{UntilTerm: t.term}
	t.mu.Lock()
	defer t.mu.Unlock()
	if workerOutbox := t.outboxes[r.Worker]; workerOutbox != nil && workerOutbox.incarnation == r.Incarnation {
		response.UntilNumber = workerOutbox.Position().Number
	}
	return response
}
