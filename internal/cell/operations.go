package cell

import (
	"context"
	"slices"
	"strings"
	"time"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/conf"
	"github.com/bilberryferry/bilberryferry/internal/event"
	"github.com/bilberryferry/bilberryferry/internal/rpc"
	"github.com/bilberryferry/bilberryferry/internal/settings"
	"github.com/bilberryferry/bilberryferry/internal/state"
	"github.com/bilberryferry/bilberryferry/internal/wire"
	"github.com/bilberryferry/bilberryferry/replica"
)

var _ apiv1.Operations = (*Cell)(nil)

// Bounds of lists and long polls.
const (
	maxEvents           = 5000
	maxFetchLongPoll    = 20 * time.Second
	defaultHistoryLimit = 20
)

// Workers lists the workers of this data centre.
func (c *Cell) Workers(ctx context.Context, _ *apiv1.WorkersRequest) (*apiv1.WorkersResponse, error) {
	if _, err := rpc.Require(ctx, settings.Operator); err != nil {
		return nil, err
	}
	t, err := c.currentLeaderTerm()
	if err != nil {
		return nil, err
	}
	response := &apiv1.WorkersResponse{}
	t.mu.Lock()
	defer t.mu.Unlock()
	quarantined := t.cluster.Quarantined()
	c.stateMachine.View(func(s *state.State) {
		for id := range s.Workers {
			response.Workers = append(response.Workers, c.workerInfo(s, t, id, quarantined))
		}
	})
	slices.SortFunc(response.Workers, func(a, b *apiv1.WorkerInfo) int { return strings.Compare(a.Id, b.Id) })
	return response, nil
}

// workerInfo describes one worker. t.mu must be held.
func (c *Cell) workerInfo(s *state.State, t *leaderTerm, id string, quarantined []string) *apiv1.WorkerInfo {
	w := s.Workers[id]
	return &apiv1.WorkerInfo{
		Id: id, Rack: w.Rack, DataCentre: c.base.Instance.DataCentre, Capacity: wire.ResourcesToAPI(w.Capacity),
		Used: wire.ResourcesToAPI(w.Used), Draining: w.Draining, SetAside: slices.Contains(quarantined, id),
		Connected: !w.Down && t.leases.Live(id, c.monotonic()), Tasks: int32(len(s.AttemptsOnWorker(id))),
	}
}

// Drain stops the placement of tasks on a worker, or allows it again.
func (c *Cell) Drain(ctx context.Context, r *apiv1.DrainRequest) (*apiv1.DrainResponse, error) {
	if _, err := rpc.Require(ctx, settings.Operator); err != nil {
		return nil, err
	}
	request, err := wire.CheckRequest(r.RequestId, "", &apiv1.DrainRequest{Worker: r.Worker, Undo: r.Undo})
	if err != nil {
		return nil, err
	}
	t, err := c.currentLeaderTerm()
	if err != nil {
		return nil, err
	}
	drain := &state.Drain{Request: request, Worker: r.Worker, Undo: r.Undo}
	result, err := c.propose(ctx, &state.Command{Drain: drain})
	if err != nil {
		return nil, err
	}
	if result.Err != nil {
		return nil, result.Err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	response := &apiv1.DrainResponse{}
	c.stateMachine.View(func(s *state.State) { response.Worker = c.workerInfo(s, t, r.Worker, nil) })
	return response, nil
}

// GetConfig returns the latest committed configuration. Instances that don't vote on the
// configuration return Unavailable.
func (c *Cell) GetConfig(ctx context.Context, _ *apiv1.GetConfigRequest) (*apiv1.Config, error) {
	if _, err := rpc.Require(ctx, settings.Operator, settings.Peer); err != nil {
		return nil, err
	}
	if c.configLog == nil {
		return nil, fault.New(fault.Unavailable, "this instance doesn't vote on the configuration")
	}
	if err := barrier(ctx, c.configLog); err != nil {
		return nil, configUnavailable(err)
	}
	return configToAPI(c.register.Current()), nil
}

// configUnavailable replaces the error that no leader of the configuration log is known.
// The new error tells the operator that the configuration in force is unchanged.
func configUnavailable(err error) error {
	if leader, notLeader := rpc.LeaderOf(err); !notLeader || leader.ID != "" {
		return err
	}
	return fault.New(fault.Unavailable, "no majority of the configuration voters is reachable; the configuration in force stays")
}

// SetConfig writes a version of the shared configuration if the expected version is the
// current one (compare-and-set).
func (c *Cell) SetConfig(ctx context.Context, r *apiv1.SetConfigRequest) (*apiv1.Config, error) {
	caller, err := rpc.Require(ctx, settings.Operator)
	if err != nil {
		return nil, err
	}
	if c.configLog == nil {
		return nil, fault.New(fault.Unavailable, "this instance doesn't vote on the configuration")
	}
	write := conf.Write{
		RequestID: r.RequestId, Expected: r.ExpectedVersion, Document: r.Document,
		Author: caller.Role.String(), Accepted: c.now(),
	}
	command, err := write.Encode()
	if err != nil {
		return nil, err
	}
	// The quota check applies only to a write that expects the current version. Any other
	// write either repeats an earlier request, which must get its first response, or fails
	// in the log because of its version.
	if current := c.register.Current(); current.Version == r.ExpectedVersion {
		if err := checkQuota(current, r.Document); err != nil {
			return nil, err
		}
	}
	applied, err := c.configLog.Propose(ctx, command)
	if err != nil {
		return nil, configUnavailable(leaderHint(c.configLog, err))
	}
	outcome := applied.(conf.Outcome)
	if outcome.Err != nil {
		return nil, outcome.Err
	}
	return configToAPI(outcome.Config), nil
}

// ConfigHistory lists versions, the newest first.
func (c *Cell) ConfigHistory(ctx context.Context, r *apiv1.ConfigHistoryRequest) (*apiv1.ConfigHistoryResponse, error) {
	if _, err := rpc.Require(ctx, settings.Operator); err != nil {
		return nil, err
	}
	if c.configLog == nil {
		return nil, fault.New(fault.Unavailable, "this instance doesn't vote on the configuration")
	}
	limit := int(r.Limit)
	if limit <= 0 {
		limit = defaultHistoryLimit
	}
	response := &apiv1.ConfigHistoryResponse{}
	for _, version := range c.register.History(limit) {
		response.Versions = append(response.Versions, configToAPI(version))
	}
	return response, nil
}

// ConfigStatus returns the versions that this instance has committed and adopted.
func (c *Cell) ConfigStatus(ctx context.Context, _ *apiv1.ConfigStatusRequest) (*apiv1.ConfigStatusResponse, error) {
	if _, err := rpc.Require(ctx, settings.Operator); err != nil {
		return nil, err
	}
	response := &apiv1.ConfigStatusResponse{}
	if c.register != nil {
		response.CommittedVersion = c.register.Current().Version
	}
	response.Instances = []*apiv1.InstanceConfig{{
		Instance: c.base.Instance.ID, DataCentre: c.base.Instance.DataCentre, Version: c.adoptedConfig().ConfigVersion, Reachable: true,
	}}
	return response, nil
}

// roleNames are the names of the roles in the API.
var roleNames = map[replica.Role]string{
	replica.Follower: "follower", replica.Candidate: "candidate", replica.Leader: "leader", replica.Recovering: "recovering",
}

// Instances describes this instance.
func (c *Cell) Instances(ctx context.Context, _ *apiv1.InstancesRequest) (*apiv1.InstancesResponse, error) {
	if _, err := rpc.Require(ctx, settings.Operator); err != nil {
		return nil, err
	}
	status := c.log.Status()
	return &apiv1.InstancesResponse{Instances: []*apiv1.Instance{{
		Id: c.base.Instance.ID, DataCentre: c.base.Instance.DataCentre, Address: c.base.Instance.Cell, Role: roleNames[status.Role],
		Reachable: true, Leader: status.CanDecide, Term: status.Term, CommitIndex: status.Commit,
		HasDisk: c.base.Instance.DataFolder != "", Recovering: status.Role == replica.Recovering,
		Degraded: status.CanDecide && status.Degraded,
	}}}, nil
}

// Events returns the events that this instance retains.
func (c *Cell) Events(ctx context.Context, r *apiv1.EventsRequest) (*apiv1.EventsResponse, error) {
	if _, err := rpc.Require(ctx, settings.Operator); err != nil {
		return nil, err
	}
	limit := int(r.Limit)
	if limit <= 0 || limit > maxEvents {
		limit = maxEvents
	}
	return &apiv1.EventsResponse{Events: event.EventsToAPI(c.base.Events.Since(r.Subject, r.SinceUnixMs, limit))}, nil
}
