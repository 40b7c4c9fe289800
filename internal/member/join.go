package member

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/internal/link"
	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/replica"
)

const (
	// unresponsiveAfter is how long a member may fail to announce itself before another
	// takes its place: five announcements, and well under the 4 s after which a
	// successor is expected to count.
	unresponsiveAfter = 2 * time.Second
	// learnerRemovalDelay is how long a silent learner stays in the membership.
	learnerRemovalDelay = 10 * time.Second
	// manageInterval is the time between two looks at the membership.
	manageInterval = 250 * time.Millisecond
	// changeTimeout bounds one change of the membership.
	changeTimeout = time.Second
)

// JoinRequest announces an instance to the leader.
type JoinRequest struct {
	ID string `cbor:"1,keyasint"`
}

// JoinReply is the membership that has the instance in it.
type JoinReply struct {
	Members []replica.Member `cbor:"1,keyasint"`
}

// roster is when the leader last heard from each instance.
type livenessTracker struct {
	mu       sync.Mutex
	lastSeen map[string]time.Time
	// since is when this member began to lead, zero while it doesn't.
	leaderSince time.Time
}

func (r *livenessTracker) recordSeen(id string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastSeen[id] = now
}

// lead notes whether this member leads.
func (r *livenessTracker) setLeading(leads bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !leads:
		r.leaderSince = time.Time{}
	case r.leaderSince.IsZero():
		r.leaderSince = now
	}
}

// silence is how long an instance has said nothing to this leader.
func (r *livenessTracker) timeSinceSeen(id string, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := r.lastSeen[id]
	if last.Before(r.leaderSince) {
		last = r.leaderSince
	}
	return now.Sub(last)
}

// serveJoin adds an instance as a learner that isn't a member.
func (h *Host) serveJoin(ctx context.Context, r *JoinRequest) (JoinReply, error) {
	group := h.currentGroup()
	if group == nil {
		return JoinReply{}, link.NotLeader("")
	}
	status := group.Status()
	if !status.CanDecide {
		return JoinReply{}, link.NotLeader(h.Leader())
	}
	h.liveness.recordSeen(r.ID, time.Now())
	known := slices.ContainsFunc(status.Members, func(m replica.Member) bool { return m.ID == r.ID })
	if known {
		return JoinReply{Members: status.Members}, nil
	}
	learner := h.member(r.ID)
	learner.Learner = true
	members := append(status.Members, learner)
	if err := group.ChangeMembership(ctx, members); err != nil {
		return JoinReply{}, err
	}
	_ = h.cfg.Logger.Log("event", "member_added", "id", r.ID, "members", len(members))
	return JoinReply{Members: members}, nil
}

// join asks until a leader has this instance in its membership.
func (h *Host) join(ctx context.Context) ([]replica.Member, error) {
	targets := h.Addresses()
	for i := 0; ctx.Err() == nil; i++ {
		reply, leader, err := h.callJoin(ctx, targets[i%len(targets)])
		if err == nil {
			return reply.Members, nil
		}
		if leader != "" {
			if reply, _, err := h.callJoin(ctx, leader); err == nil {
				return reply.Members, nil
			}
		}
		if i%len(targets) == len(targets)-1 {
			wait.For(ctx, announceInterval)
		}
	}
	return nil, errors.Wrap(ctx.Err(), "stopped before a leader was found")
}

func (h *Host) callJoin(ctx context.Context, address string) (reply JoinReply, leader string, err error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	err = h.client.Call(ctx, address, "join", &JoinRequest{ID: h.cfg.ID}, &reply)
	return reply, link.LeaderOf(err), err
}

// announce tells the leader that this instance is there, so that it is added
// again after it was removed while it was cut off.
func (h *Host) announce(ctx context.Context) error {
	for wait.For(ctx, announceInterval) {
		targets := []string{h.Leader()}
		if targets[0] == "" {
			targets = h.Addresses()
		}
		if targets[0] == h.address(h.cfg.ID) {
			continue
		}
		for _, address := range targets {
			// A failure is repeated after announceInterval; the leader's view of who is
			// silent is what gets logged.
			if _, _, err := h.callJoin(ctx, address); err == nil {
				break
			}
		}
	}
	return nil
}

// manage keeps Voters voters, on the leader: a member that has fallen silent
// is replaced by a learner that has caught up.
func (h *Host) manageMembership(ctx context.Context) error {
	for wait.For(ctx, manageInterval) {
		status := h.group.Status()
		h.liveness.setLeading(status.CanDecide, time.Now())
		if !status.CanDecide {
			continue
		}
		members, change := h.nextMembership(status, time.Now())
		if members == nil {
			continue
		}
		changing, cancel := context.WithTimeout(ctx, changeTimeout)
		err := h.group.ChangeMembership(changing, members)
		cancel()
		if err != nil && (errors.Is(err, replica.ErrNotCaughtUp) || errors.Is(err, replica.ErrChangePending)) {
			continue
		}
		_ = h.cfg.Logger.Log("event", "membership", "change", change, "err", err)
	}
	return nil
}

// nextMembership returns the next change, one member at a time, or nil.
func (h *Host) nextMembership(status replica.Status, now time.Time) ([]replica.Member, string) {
	voters, unresponsiveVoter, learner, staleLearner := 0, -1, -1, -1
	for i, m := range status.Members {
		sinceSeen := h.liveness.timeSinceSeen(m.ID, now)
		if m.ID == h.cfg.ID {
			sinceSeen = 0
		}
		switch {
		case !m.Learner:
			voters++
			if sinceSeen > unresponsiveAfter {
				unresponsiveVoter = i
			}
		case sinceSeen > learnerRemovalDelay:
			staleLearner = i
		case sinceSeen < unresponsiveAfter:
			learner = i
		}
	}
	members := slices.Clone(status.Members)
	switch {
	case voters > h.cfg.Voters && unresponsiveVoter >= 0:
		return slices.Delete(members, unresponsiveVoter, unresponsiveVoter+1), "removed " + status.Members[unresponsiveVoter].ID
	case learner >= 0 && (voters < h.cfg.Voters || unresponsiveVoter >= 0):
		members[learner].Learner = false
		return members, "promoted " + members[learner].ID
	case staleLearner >= 0:
		return slices.Delete(members, staleLearner, staleLearner+1), "removed " + status.Members[staleLearner].ID
	}
	return nil, ""
}
