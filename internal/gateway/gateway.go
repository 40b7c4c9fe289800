// Package gateway carries calls to the leader of the core from instances that
// don't lead: it finds the leader, follows it when it changes, and tells a call
// that nobody has carried out from one whose fate is open.
package gateway

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/bilberryferry/bilberryferry/internal/control"
	"github.com/bilberryferry/bilberryferry/internal/link"
	"github.com/bilberryferry/bilberryferry/internal/wait"
)

const (
	// tryTimeout bounds one try: a commit takes some tens of milliseconds, and a
	// slow disk of a follower doesn't hold it up.
	tryTimeout = 900 * time.Millisecond
	// searchTimeout bounds a try while the leader is searched for: a member that
	// doesn't lead says so within some milliseconds.
	searchTimeout = 250 * time.Millisecond
	// searchInterval lies between two rounds through the members: a quarter of the shortest
	// election.
	searchInterval = 60 * time.Millisecond
	// probeAfter is how long a call waits before members are asked whether another
	// one leads: several commits, and less than the shortest election.
	probeAfter = 200 * time.Millisecond
	// announceInterval is the time between two announcements to the leader, unless it names
	// another one.
	announceInterval = 300 * time.Millisecond
	// announceTimeout bounds one of them.
	announceTimeout = 500 * time.Millisecond
	// contactTimeout is how long after the leader's last answer this instance takes
	// itself for connected: three announcements. The balancer needs two misses of
	// a check a second besides.
	contactTimeout = 1200 * time.Millisecond
	// RetryAfter is when a caller is told to come back that was refused because no
	// leader could be reached: an election later.
	RetryAfter = time.Second
)

// Gateway finds the leader. It is safe for concurrent use.
//
// Failure guarded against: a leader that is busy for a tenth of a second refuses
// calls for that time, and each call, going through the members by itself every
// 60 ms, becomes a hundred; all members are kept from electing anybody, for good. So
// one call at a time searches, and the others wait for what it finds.
type Gateway struct {
	client     *link.Client
	ownAddress string
	logger     log.Logger
	// search has room for one: whoever fills it may go through the members.
	searchSlot chan struct{}
	// asking is held by the one call that asks members who leads.
	probing      sync.Mutex
	versionOrder versionOrder

	mu      sync.Mutex
	seeds   []string
	members []string
	leader  string
	// changed is closed when leader changes.
	leaderChanged chan struct{}
	lastAnswer    time.Time
	inContact     bool
	// turn picks the member that is asked for jobs that have ended; those in
	// unresponsiveUntil gave no answer lately.
	nextMember        int
	unresponsiveUntil map[string]time.Time
}

// New returns a gateway for the instance at address own that knows the core's
// seeds.
func New(client *link.Client, ownAddress string, seeds []string, logger log.Logger) *Gateway {
	return &Gateway{
		client: client, ownAddress: ownAddress, seeds: seeds, members: seeds, logger: logger,
		searchSlot: make(chan struct{}, 1), leaderChanged: make(chan struct{}),
		versionOrder:      versionOrder{logger: logger},
		unresponsiveUntil: map[string]time.Time{},
	}
}

// SetSeeds replaces the seeds, as new settings name them.
func (g *Gateway) SetSeeds(seeds []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seeds = seeds
}

// InContact reports whether the leader has answered lately.
func (g *Gateway) InContact() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Since(g.lastAnswer) < contactTimeout
}

// targets lists where the leader may be, the likeliest first.
func (g *Gateway) candidates() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var candidates []string
	for _, address := range slices.Concat(g.members, g.seeds) {
		if address != "" && !slices.Contains(candidates, address) {
			candidates = append(candidates, address)
		}
	}
	return candidates
}

// known returns the leader, empty while it is searched for, and a channel that is
// closed when that changes.
func (g *Gateway) currentLeader() (leader string, leaderChanged <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leader, g.leaderChanged
}

// setLeader takes an instance for the leader. g.mu is held.
func (g *Gateway) setLeader(address string) {
	if g.leader == address {
		return
	}
	g.leader = address
	close(g.leaderChanged)
	g.leaderChanged = make(chan struct{})
}

// Suggest takes in that a member of the log knows the leader.
func (g *Gateway) SuggestLeader(leader string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setLeader(leader)
}

// recordLeader remembers which instance answered as the leader.
func (g *Gateway) recordLeader(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastAnswer = time.Now()
	g.setLeader(address)
}

// lost forgets a leader that gave no useful answer, and lets searches begin with
// another member.
func (g *Gateway) leaderLost(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leader == address {
		g.setLeader("")
	}
	if len(g.members) > 1 && g.members[0] == address {
		g.members = append(slices.Clone(g.members[1:]), address)
	}
}

// Follow announces this instance to the leader until ctx ends, and so learns
// who leads and who the members are.
func (g *Gateway) AnnounceToLeader(ctx context.Context) error {
	for {
		pause := g.announceOnce(ctx)
		g.logContact()
		if !wait.For(ctx, pause) {
			return nil
		}
	}
}

// announceOnce announces this instance once, and returns when to do so again.
func (g *Gateway) announceOnce(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	reply, err := Call[control.FollowReply](ctx, g, control.MethodFollow, &control.FollowCall{Address: g.ownAddress})
	if err != nil {
		return announceInterval
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(reply.Members) > 0 {
		g.members = reply.Members
	}
	return cmp.Or(reply.Pause, announceInterval)
}

// logContact logs when the leader is lost or found again.
func (g *Gateway) logContact() {
	inContact := g.InContact()
	g.mu.Lock()
	changed, leader := inContact != g.inContact, g.leader
	g.inContact = inContact
	g.mu.Unlock()
	if changed {
		_ = g.logger.Log("event", "leader_contact", "in_touch", inContact, "leader", leader)
	}
}
