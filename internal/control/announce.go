package control

import (
	"context"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bilberryferry/bilberryferry/replica"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// forwardInterval is how often a heartbeat that says nothing new goes on to the leader,
// which would give a worker up after silentWorkerTimeout.
const forwardInterval = 3 * time.Second

// AnnounceKnown takes in a heartbeat on an instance that doesn't lead, and reports
// whether that will do: the log has the worker as it announces itself, and a
// leader is known.
//
// Load that it answers: hundreds of workers send a heartbeat each every second, and
// hardly any of them says anything new.
func (c *Controller) AnnounceKnown(r *Announcement) (AnnouncementReply, bool) {
	r.Worker.Sequence = r.Sequence
	if c.heartbeats != nil || r.Worker.Draining || c.needsCommit(&r.Worker) {
		return AnnouncementReply{}, false
	}
	status := c.log.Status()
	if status.Role != replica.Follower || status.Leader == "" {
		return AnnouncementReply{}, false
	}
	now := time.Now()
	if !c.heartbeatBuffer.buffer(r.Worker.ID, now) && !c.passedOn.recentlyForwarded(r.Worker.ID, now) {
		return AnnouncementReply{}, false
	}
	return AnnouncementReply{HeartbeatAddress: c.cfg.Public}, true
}

// forwardedHeartbeats is when heartbeats of each worker last went on to a leader that doesn't ask
// for them.
type forwardedHeartbeats struct {
	mu    sync.Mutex
	times forwardTimes
}

// recently reports whether a heartbeat of the worker went on lately; else this one
// is noted as doing so.
func (p *forwardedHeartbeats) recentlyForwarded(worker string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.times.isRecent(worker, now) {
		return true
	}
	p.times.note(worker, now)
	return false
}

// heartbeatAddress is where a worker sends its next heartbeats: to the leader where
// it gets its orders with the answers, else to any other instance.
func (c *Controller) heartbeatAddress(worker string) string {
	if c.heartbeats != nil {
		return c.cfg.Public
	}
	members := slices.DeleteFunc(c.cfg.Members(), func(address string) bool { return address == c.cfg.Address })
	if len(members) == 0 {
		return c.cfg.Public
	}
	member, _, err := net.SplitHostPort(members[xxhash.Sum64String(worker)%uint64(len(members))])
	if err != nil {
		return c.cfg.Public
	}
	_, port, err := net.SplitHostPort(c.cfg.Public)
	if err != nil {
		return c.cfg.Public
	}
	return net.JoinHostPort(member, port)
}

// Announce takes in a worker's heartbeat. One that says something new is
// acknowledged only once that is committed, so that the next leader knows it.
func (c *Controller) Announce(ctx context.Context, r *Announcement) (AnnouncementReply, error) {
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
	t.noteHeartbeat(&r.Worker, r.Remaining)
	reply := AnnouncementReply{HeartbeatAddress: c.heartbeatAddress(r.Worker.ID)}
	if c.heartbeats != nil && r.Report != nil && t.monitors(r.Worker.ID) {
		orders := c.heartbeats.exchange(ctx, r.Worker.ID, t.fence, *r.Report)
		reply.Orders = &orders
	}
	return reply, nil
}

// news reports whether the log doesn't have the worker as it announces itself.
// An incarnation that is over stays over, and one that drains doesn't come back:
// such a heartbeat was delayed on its way, as was one with a lower sequence, or of a life
// before the latest one.
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

// Leave takes note that an incarnation says that it ends. It counts as ended once
// a look shows it.
func (c *Controller) Leave(ctx context.Context, r *LeaveCall) (Empty, error) {
	t, err := c.currentLeaderTerm(ctx)
	if err != nil {
		return Empty{}, err
	}
	t.logger.Log("event", "worker_left", "worker", r.Worker)
	t.noteLeaving(t.latestIncarnation(r.Worker, r.Name))
	return Empty{}, nil
}
