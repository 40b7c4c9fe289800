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
	// unresponsiveAfter is how long after a voter's last announcement a learner replaces
	// the voter. It is the time of five announcements, and well below the 4 s within which
	// the learner is expected to be a voter.
	unresponsiveAfter = 2 * time.Second
	// learnerRemovalDelay is how long an unresponsive learner stays in the membership.
	learnerRemovalDelay = 10 * time.Second
	// manageInterval is the time between two checks of the membership.
	manageInterval = 250 * time.Millisecond
	// changeTimeout bounds one change of the membership.
	changeTimeout = time.Second
)

// MethodJoin is the name of the method by which an instance announces itself to the leader of the log.
const MethodJoin = "join"

// JoinRequest announces an instance to the leader.
type JoinRequest struct {
	ID         string `cbor:"1,keyasint"`
	DataCentre string `cbor:"2,keyasint,omitempty"`
}

// JoinResponse is the membership that includes the instance.
type JoinResponse struct {
	Members []replica.Member `cbor:"1,keyasint"`
}

// livenessTracker holds the last announcement of each instance to this leader.
type livenessTracker struct {
	mu       sync.Mutex
	lastSeen map[string]time.Time
	// dataCentres holds the data centre that each instance has announced.
	dataCentres map[string]string
	// leaderSince is when this member became the leader, zero while it doesn't lead.
	leaderSince time.Time
}

// newLivenessTracker returns a tracker without announcements.
func newLivenessTracker() livenessTracker {
	return livenessTracker{lastSeen: map[string]time.Time{}, dataCentres: map[string]string{}}
}

// recordSeen records an announcement.
func (t *livenessTracker) recordSeen(r *JoinRequest, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastSeen[r.ID], t.dataCentres[r.ID] = now, r.DataCentre
}

// setLeading records whether this member leads.
func (t *livenessTracker) setLeading(leads bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case !leads:
		t.leaderSince = time.Time{}
	case t.leaderSince.IsZero():
		t.leaderSince = now
	}
}

// observe returns a member with what its announcements to this leader have shown. The time
// before this member became the leader doesn't count.
func (t *livenessTracker) observe(m replica.Member, now time.Time) observedMember {
	t.mu.Lock()
	defer t.mu.Unlock()
	last := t.lastSeen[m.ID]
	if last.Before(t.leaderSince) {
		last = t.leaderSince
	}
	return observedMember{Member: m, sinceSeen: now.Sub(last), announced: t.dataCentres[m.ID]}
}

// serveJoin records an announcement. It adds an instance that isn't a member as a
// learner.
func (h *Host) serveJoin(ctx context.Context, r *JoinRequest) (JoinResponse, error) {
	group := h.currentGroup()
	if group == nil {
		return JoinResponse{}, link.NotLeader("")
	}
	status := group.Status()
	if !status.CanDecide {
		return JoinResponse{}, link.NotLeader(h.Leader())
	}
	h.liveness.recordSeen(r, time.Now())
	known := slices.ContainsFunc(status.Members, func(m replica.Member) bool { return m.ID == r.ID })
	if known {
		return JoinResponse{Members: status.Members}, nil
	}
	learner := h.member(r.ID)
	learner.Learner, learner.DataCentre = true, r.DataCentre
	members := append(status.Members, learner)
	if err := group.ChangeMembership(ctx, members); err != nil {
		return JoinResponse{}, err
	}
	_ = h.cfg.Logger.Log("event", "member_added", "id", r.ID, "members", len(members))
	return JoinResponse{Members: members}, nil
}

// join announces this instance to the known addresses in turn until a leader has it in its
// membership, and returns that membership. It fails only when ctx ends.
func (h *Host) join(ctx context.Context) ([]replica.Member, error) {
	if len(h.Addresses()) == 0 {
		_ = h.cfg.Logger.Log("event", "join", "outcome", "no_seeds")
	}
	for ctx.Err() == nil {
		for _, address := range h.Addresses() {
			if members, ok := h.joinAt(ctx, address); ok {
				return members, nil
			}
		}
		wait.For(ctx, announceInterval)
	}
	return nil, errors.Wrap(ctx.Err(), "stopped before a leader was found")
}

// joinAt announces this instance to an address and to the leader that the address names, and
// returns the membership if one of them leads.
func (h *Host) joinAt(ctx context.Context, address string) ([]replica.Member, bool) {
	response, leader, err := h.callJoin(ctx, address)
	if err != nil && leader != "" {
		response, _, err = h.callJoin(ctx, leader)
	}
	return response.Members, err == nil
}

// callJoin makes one announcement to an address. If that instance doesn't lead, it returns
// the address of the leader that the instance names, if any.
func (h *Host) callJoin(ctx context.Context, address string) (response JoinResponse, leader string, err error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	err = h.client.Call(ctx, address, MethodJoin, &JoinRequest{ID: h.cfg.ID, DataCentre: h.cfg.DataCentre}, &response)
	return response, link.LeaderOf(err), err
}

// announce keeps announcing this instance to the leader, so that it is added again
// after it was removed while unreachable.
func (h *Host) announce(ctx context.Context) error {
	for wait.For(ctx, announceInterval) {
		addresses := []string{h.Leader()}
		if addresses[0] == "" {
			addresses = h.Addresses()
		}
		if addresses[0] == h.address(h.cfg.ID) {
			continue
		}
		for _, address := range addresses {
			// A failure isn't logged: the next announcement follows after
			// announceInterval, and the leader logs which unresponsive members it
			// removes.
			if _, _, err := h.callJoin(ctx, address); err == nil {
				break
			}
		}
	}
	return nil
}

// manageMembership keeps the number and the spread of the voters while this member leads; see
// voterPlanner.
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

// nextMembership returns the next membership, which differs in one member, and a
// description of the change for the log. It returns nil when no change is due.
func (h *Host) nextMembership(status replica.Status, now time.Time) ([]replica.Member, string) {
	planner := voterPlanner{self: h.cfg.ID, voters: h.cfg.Voters}
	for _, m := range status.Members {
		observed := h.liveness.observe(m, now)
		if m.ID == h.cfg.ID {
			observed.sinceSeen, observed.announced = 0, h.cfg.DataCentre
		}
		planner.members = append(planner.members, observed)
	}
	return planner.next()
}
