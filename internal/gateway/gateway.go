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
	// searchPause lies between two rounds through the members: a quarter of the shortest
	// election.
	searchPause = 60 * time.Millisecond
	// slowAfter is how long a call waits before members are asked whether another
	// one leads: several commits, and less than the shortest election.
	slowAfter = 200 * time.Millisecond
	// followPause is the time between two announcements to the leader, unless it names
	// another one.
	followPause = 300 * time.Millisecond
	// followTimeout bounds one of them.
	followTimeout = 500 * time.Millisecond
	// inTouchFor is how long after the leader's last answer this instance takes
	// itself for connected: three announcements. The balancer needs two misses of
	// a check a second besides.
	inTouchFor = 1200 * time.Millisecond
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
	client *link.Client
	own    string
	logger log.Logger
	// search has room for one: whoever fills it may go through the members.
	search chan struct{}
	// asking is held by the one call that asks members who leads.
	asking  sync.Mutex
	answers answers

	mu      sync.Mutex
	seeds   []string
	members []string
	leader  string
	// changed is closed when leader changes.
	changed chan struct{}
	heard   time.Time
	touch   bool
	// turn picks the member that is asked for jobs that have ended; those in
	// avoidUntil gave no answer lately.
	turn       int
	avoidUntil map[string]time.Time
}

// New returns a gateway for the instance at address own that knows the core's
// seeds.
func New(client *link.Client, own string, seeds []string, logger log.Logger) *Gateway {
	return &Gateway{
		client: client, own: own, seeds: seeds, members: seeds, logger: logger,
		search: make(chan struct{}, 1), changed: make(chan struct{}),
		answers:    answers{logger: logger},
		avoidUntil: map[string]time.Time{},
	}
}

// SetSeeds replaces the seeds, as new settings name them.
func (g *Gateway) SetSeeds(seeds []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seeds = seeds
}

// InTouch reports whether the leader has answered lately.
func (g *Gateway) InTouch() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Since(g.heard) < inTouchFor
}

// targets lists where the leader may be, the likeliest first.
func (g *Gateway) targets() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []string
	for _, address := range slices.Concat(g.members, g.seeds) {
		if address != "" && !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	return list
}

// known returns the leader, empty while it is searched for, and a channel that is
// closed when that changes.
func (g *Gateway) known() (leader string, changed <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leader, g.changed
}

// setLeader takes an instance for the leader. g.mu is held.
func (g *Gateway) setLeader(address string) {
	if g.leader == address {
		return
	}
	g.leader = address
	close(g.changed)
	g.changed = make(chan struct{})
}

// Suggest takes in that a member of the log knows the leader.
func (g *Gateway) Suggest(leader string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setLeader(leader)
}

// noteLeader remembers which instance answered as the leader.
func (g *Gateway) noteLeader(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.heard = time.Now()
	g.setLeader(address)
}

// lost forgets a leader that gave no useful answer, and lets searches begin with
// another member.
func (g *Gateway) lost(address string) {
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
func (g *Gateway) Follow(ctx context.Context) error {
	for {
		pause := g.followOnce(ctx)
		g.logTouch()
		if !wait.For(ctx, pause) {
			return nil
		}
	}
}

// followOnce announces this instance once, and returns when to do so again.
func (g *Gateway) followOnce(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	reply, err := Call[control.FollowReply](ctx, g, control.MethodFollow, &control.FollowCall{Address: g.own})
	if err != nil {
		return followPause
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(reply.Members) > 0 {
		g.members = reply.Members
	}
	return cmp.Or(reply.Pause, followPause)
}

// logTouch logs when the leader is lost or found again.
func (g *Gateway) logTouch() {
	touch := g.InTouch()
	g.mu.Lock()
	changed, leader := touch != g.touch, g.leader
	g.touch = touch
	g.mu.Unlock()
	if changed {
		_ = g.logger.Log("event", "leader_contact", "in_touch", touch, "leader", leader)
	}
}
