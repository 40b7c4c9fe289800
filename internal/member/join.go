package member

import (
	"context"
	"slices"
	"strings"
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
	// joinLogInterval is the minimum time between two log lines of an instance that waits to be
	// added.
	joinLogInterval = 10 * time.Second
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
	var lastLogged time.Time
	for ctx.Err() == nil {
		addresses := h.joinAddresses()
		var err error
		for _, address := range addresses {
			var response JoinResponse
			if response, err = h.callJoinThrough(ctx, address); err == nil {
				return response.Members, nil
			}
		}
		if time.Since(lastLogged) >= joinLogInterval {
			lastLogged = time.Now()
			h.logJoin(addresses, err)
		}
		wait.For(ctx, announceInterval)
	}
	return nil, errors.Wrap(ctx.Err(), "stopped before a leader was found")
}

// logJoin logs that no leader was found at the addresses.
func (h *Host) logJoin(addresses []string, err error) {
	outcome := "waiting for a leader"
	if len(addresses) == 0 {
		outcome = "no_seeds"
	}
	_ = h.cfg.Logger.Log("event", "join", "outcome", outcome, "asked", strings.Join(addresses, ","), "err", err)
}

// joinAddresses returns the known addresses, and that of the last sender of messages of the log.
//
// A seed that has lost its state is still in the membership, so the leader sends it messages of
// the log. They may be all that names the leader: the other seeds may be down, removed, or
// without state too.
func (h *Host) joinAddresses() []string {
	addresses := h.Addresses()
	if sender := h.sender(); sender != "" && !slices.Contains(addresses, h.address(sender)) {
		addresses = append(addresses, h.address(sender))
	}
	return addresses
}

// recordSender records the instance that sent a message of the log.
func (h *Host) recordSender(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastSender = id
}

func (h *Host) sender() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastSender
}

// callJoinThrough makes an announcement to an address and, if that instance names another one as
// the leader, to that one.
func (h *Host) callJoinThrough(ctx context.Context, address string) (JoinResponse, error) {
	response, leader, err := h.callJoin(ctx, address)
	if err != nil && leader != "" {
		response, _, err = h.callJoin(ctx, leader)
	}
	return response, err
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
		h.announceOnce(ctx)
	}
	return nil
}

// announceOnce announces this instance to the leader. While no leader is known, it tries the
// other known members in turn until a leader has this instance in its membership.
//
// A failure isn't logged: the next announcement follows after announceInterval, and the leader
// logs which unresponsive members it removes.
func (h *Host) announceOnce(ctx context.Context) {
	own, leader := h.address(h.cfg.ID), h.Leader()
	if leader == own {
		return
	}
	if leader != "" {
		_, _, _ = h.callJoin(ctx, leader)
		return
	}
	for _, address := range h.Addresses() {
		if address == own {
			continue
		}
		if _, err := h.callJoinThrough(ctx, address); err == nil {
			return
		}
	}
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
