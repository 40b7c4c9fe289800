package control

import (
	"context"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/replica"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// forwardInterval is the minimum time between two unchanged heartbeats of a worker that a
// follower forwards to the leader. The leader stops monitoring an unresponsive worker
// without runs after unresponsiveWorkerTimeout without a heartbeat.
const forwardInterval = 3 * time.Second

// AcknowledgeHeartbeat processes a heartbeat on a follower, and reports whether the
// follower may acknowledge it: the log already has its content, a leader is known, and
// the heartbeat is buffered for the leader or an earlier one was forwarded recently.
// Otherwise the heartbeat has to be forwarded to the leader.
//
// Hundreds of workers send a heartbeat every second, and almost none of them contains
// anything new.
func (c *Controller) AcknowledgeHeartbeat(r *Announcement) (AnnouncementReply, bool) {
	r.Worker.Sequence = r.Sequence
	if c.heartbeats != nil || r.Worker.Draining || c.needsCommit(&r.Worker) {
		return AnnouncementReply{}, false
	}
	status := c.log.Status()
	if status.Role != replica.Follower || status.Leader == "" {
		return AnnouncementReply{}, false
	}
	now := time.Now()
	if !c.heartbeatBuffer.buffer(r.Worker.ID, now) && !c.forwarded.recentlyForwarded(r.Worker.ID, now) {
		return AnnouncementReply{}, false
	}
	return AnnouncementReply{HeartbeatAddress: c.cfg.PublicAddress}, true
}

// forwardedHeartbeats records when a heartbeat of each worker was last forwarded to the
// leader. It limits forwarding while the leader doesn't collect buffered heartbeats.
type forwardedHeartbeats struct {
	mu    sync.Mutex
	times forwardTimes
}

// recentlyForwarded reports whether a heartbeat of the worker was forwarded within
// forwardInterval. Otherwise it records that a heartbeat is forwarded now.
func (f *forwardedHeartbeats) recentlyForwarded(worker string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.times.isRecent(worker, now) {
		return true
	}
	f.times.record(worker, now)
	return false
}

// heartbeatAddress returns the address for a worker's next heartbeats: the leader's own
// if orders are delivered in the responses to heartbeats, else that of another core
// member.
func (c *Controller) heartbeatAddress(worker string) string {
	if c.heartbeats != nil {
		return c.cfg.PublicAddress
	}
	members := slices.DeleteFunc(c.cfg.Members(), func(address string) bool { return address == c.cfg.Address })
	if len(members) == 0 {
		return c.cfg.PublicAddress
	}
	member, _, err := net.SplitHostPort(members[xxhash.Sum64String(worker)%uint64(len(members))])
	if err != nil {
		return c.cfg.PublicAddress
	}
	_, port, err := net.SplitHostPort(c.cfg.PublicAddress)
	if err != nil {
		return c.cfg.PublicAddress
	}
	return net.JoinHostPort(member, port)
}

// Announce processes a worker's heartbeat on the leader. It acknowledges a heartbeat with
// new content only after committing it, so that the next leader has the content too.
func (c *Controller) Announce(ctx context.Context, r *Announcement) (AnnouncementReply, error) {
	if err := workflow.CheckWorker(&r.Worker); err != nil {
		return AnnouncementReply{}, fault.Field(string(err.Field), "%s", err.Message)
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	t, err := c.currentLeaderTerm(ctx)
	if err != nil {
		return AnnouncementReply{}, err
	}
	r.Worker.Sequence = r.Sequence
	if c.needsCommit(&r.Worker) {
		if _, err := c.propose(ctx, &workflow.Command{Worker: &r.Worker}); err != nil {
			return AnnouncementReply{}, err
		}
		t.logger.Log("event", "worker", "worker", r.Worker.ID, "address", r.Worker.Address,
			"draining", r.Worker.Draining, "capacity", formatResources(r.Worker.Capacity), "sequence", r.Sequence, "labels", strings.Join(r.Worker.Labels, ","))
	}
	t.recordHeartbeat(&r.Worker, r.Remaining)
	reply := AnnouncementReply{HeartbeatAddress: c.heartbeatAddress(r.Worker.ID)}
	if c.heartbeats != nil && r.Report != nil && t.monitors(r.Worker.ID) {
		orders := c.heartbeats.exchange(ctx, r.Worker.ID, t.fence, r.Sequence, *r.Report)
		reply.Orders = &orders
	}
	return reply, nil
}

// needsCommit reports whether a heartbeat differs from what the log has about the worker.
// It ignores delayed heartbeats: those of an incarnation that is gone, draining or
// superseded, and those with a lower sequence number.
func (c *Controller) needsCommit(w *workflow.Worker) (isNew bool) {
	c.state.read(func(s *workflow.State) {
		known := s.Workers[w.ID]
		switch {
		case s.Superseded(w):
		case known == nil:
			isNew = true
		case known.Gone || known.Draining || w.Sequence < known.Sequence:
		default:
			isNew = known.Draining != w.Draining || known.Address != w.Address || known.Capacity != w.Capacity
		}
	})
	return isNew
}

// Leave processes the announcement that an incarnation shuts down now, and stops its runs. The
// incarnation counts as ended once it has no runs or its lease has expired, and a poll gets no
// response.
func (c *Controller) Leave(ctx context.Context, r *LeaveCall) (LeaveReply, error) {
	t, err := c.currentLeaderTerm(ctx)
	if err != nil {
		return LeaveReply{}, err
	}
	s := t.recordLeaving(t.latestIncarnation(r.Worker, r.Name))
	if s == nil {
		t.logger.Log("event", "worker_left", "worker", r.Worker, "monitored", false)
		return LeaveReply{}, nil
	}
	reply := LeaveReply{RunsEnding: s.stopLeavingRuns(ctx)}
	t.logger.Log("event", "worker_left", "worker", r.Worker, "monitored", true, "live_runs", len(s.liveRuns()), "confirmed", !reply.RunsEnding)
	return reply, nil
}
