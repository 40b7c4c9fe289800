// Package gateway calls the leader of the core instances from instances that don't lead.
// It finds the leader, follows changes of leadership, and distinguishes calls that were
// certainly not executed from those whose outcome is unknown.
package gateway

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/bilberryferry/bilberryferry/internal/boottime"
	"github.com/bilberryferry/bilberryferry/internal/control"
	"github.com/bilberryferry/bilberryferry/internal/link"
	"github.com/bilberryferry/bilberryferry/internal/wait"
)

const (
	// tryTimeout bounds one try of a call at the leader. The leader responds after a
	// commit, which takes some tens of milliseconds and isn't delayed by a follower with a
	// slow disk.
	tryTimeout = 900 * time.Millisecond
	// searchTimeout bounds a try at a member during a search for the leader. A member that
	// doesn't lead refuses the call within some milliseconds.
	searchTimeout = 250 * time.Millisecond
	// searchInterval is the pause after searchLeader has tried all members, and between
	// two members that probeForNewLeader asks: a quarter of the shortest election.
	searchInterval = 60 * time.Millisecond
	// probeAfter is how long a try at the leader takes before other members are asked for
	// another leader: longer than several commits, and shorter than the shortest election.
	probeAfter = 200 * time.Millisecond
	// announceInterval is the time between two announcements to the leader, unless the
	// leader sets another one.
	announceInterval = 300 * time.Millisecond
	// announceTimeout bounds one announcement.
	announceTimeout = 500 * time.Millisecond
	// contactTimeout is how long after the leader's last response this instance counts as
	// in contact with the leader. It allows for three announcements. A load balancer takes
	// longer to exclude the instance, since it needs two failed checks and makes one per
	// second.
	contactTimeout = 1200 * time.Millisecond
	// denialTime is how long an instance that denied that it leads isn't taken for the leader because
	// others name it. Meanwhile only the call that searches tries it.
	denialTime = 500 * time.Millisecond
	// RetryAfter is the delay after which callers are told to retry if no leader could be
	// reached: the duration of an election.
	RetryAfter = time.Second
)

// Gateway finds and calls the leader. It is safe for concurrent use.
//
// Only one call at a time searches for the leader, and the others wait for its result. If
// each waiting call searched, it would call all members every 60 ms. A leader that refuses
// calls for a tenth of a second would thereby turn each call into a hundred, and that load
// can keep the members from ever electing a leader.
type Gateway struct {
	client     *link.Client
	ownAddress string
	logger     log.Logger
	counters   Counters
	// searchSlot has a buffer of one; the call that fills it may search for the leader.
	searchSlot chan struct{}
	// probeMu is held by the call that asks members who leads; see probeForNewLeader.
	probeMu      sync.Mutex
	versionOrder versionOrder
	// limitUnsent says that submissions of which nothing was sent end early; see LimitUnsent.
	limitUnsent bool

	mu sync.Mutex
	// seeds are the configured addresses of core instances, members the addresses that
	// the leader sent last. leader is the leader's address, "" while none is known.
	seeds   []string
	members []string
	leader  string
	// leaderChanged is closed, and replaced, when leader changes.
	leaderChanged chan struct{}
	// lastResponse is when the leader last responded. inContact is the result of
	// InContact that was logged last.
	lastResponse time.Time
	inContact    bool
	// informedAt is when the last call was sent whose response named the version that the leader has
	// in force, by the clock of package boottime. Each version that was confirmed before then is at
	// most Version.
	informedAt time.Duration
	// followerCursor is the round-robin position of nextFollower: modulo the number of
	// members, it is the index of the member that was considered last. unresponsiveUntil
	// holds the members that failed a call, with the time until which nextFollower skips
	// each of them.
	followerCursor    int
	unresponsiveUntil map[string]time.Time
	// deniedAt holds when instances have denied that they lead.
	deniedAt map[string]time.Time
}

// Counters counts by metric name.
type Counters interface {
	// Add adds n to a counter.
	Add(name string, n int64)
}

// noCounters counts nothing.
type noCounters struct{}

func (noCounters) Add(string, int64) {}

// New returns a gateway for the instance at ownAddress. seeds are the addresses of core
// instances at which it first searches for the leader.
func New(client *link.Client, ownAddress string, seeds []string, logger log.Logger) *Gateway {
	return &Gateway{
		client: client, ownAddress: ownAddress, seeds: seeds, members: seeds, logger: logger, counters: noCounters{},
		searchSlot: make(chan struct{}, 1), leaderChanged: make(chan struct{}),
		versionOrder:      versionOrder{logger: logger},
		unresponsiveUntil: map[string]time.Time{},
		deniedAt:          map[string]time.Time{},
	}
}

// SetCounters makes the gateway count what it withholds and who responds. It must be called before
// any other method.
func (g *Gateway) SetCounters(counters Counters) { g.counters = counters }

// SetSeeds replaces the configured addresses of core instances.
func (g *Gateway) SetSeeds(seeds []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seeds = seeds
}

// InContact reports whether the leader has responded within the last contactTimeout.
func (g *Gateway) InContact() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Since(g.lastResponse) < contactTimeout
}

// maxVersionAge is how long after a call to the leader the version that its response named counts as the
// newest: shorter than the 2 s in which callers expect a confirmed version to be in force.
const maxVersionAge = 1500 * time.Millisecond

// Informed reports whether the leader has named the newest version within maxVersionAge. Only then may
// an instance that doesn't lead respond to a caller by that version: what an instance names as its leader
// doesn't show how old its state is.
func (g *Gateway) Informed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.informedAt > 0 && boottime.Now()-g.informedAt < maxVersionAge
}

// recordInformed records that the response to a call sent at a time named the leader's version.
func (g *Gateway) recordInformed(sentAt time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.informedAt = max(g.informedAt, sentAt)
}

// candidates returns the addresses at which the leader may be, the likeliest first.
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

// currentLeader returns the leader's address, "" while none is known, and a channel that
// is closed when the leader changes.
func (g *Gateway) currentLeader() (leader string, leaderChanged <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leader, g.leaderChanged
}

// setLeader records the leader's address, "" for none. g.mu must be held.
func (g *Gateway) setLeader(address string) {
	if g.leader == address {
		return
	}
	g.leader = address
	close(g.leaderChanged)
	g.leaderChanged = make(chan struct{})
}

// SuggestLeader records the address of the leader that a member names, before that leader
// has responded itself. It records nothing and reports false if that instance has denied within
// denialTime that it leads.
//
// A member names a leader that can't decide yet, or no longer. If that made it the leader again, each
// waiting call would try it at once, and that load can keep it from ever deciding.
func (g *Gateway) SuggestLeader(leader string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if deniedAt, denied := g.deniedAt[leader]; denied && time.Since(deniedAt) < denialTime {
		return false
	}
	g.setLeader(leader)
	return true
}

// recordDenial records that the instance at address has denied that it leads.
func (g *Gateway) recordDenial(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for other, deniedAt := range g.deniedAt {
		if time.Since(deniedAt) >= denialTime {
			delete(g.deniedAt, other)
		}
	}
	g.deniedAt[address] = time.Now()
}

// forgetDenial records that the instance at address has responded as the leader to a question for the leader.
func (g *Gateway) forgetDenial(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.deniedAt, address)
}

// recordLeader records that the instance at address has responded as the leader.
func (g *Gateway) recordLeader(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastResponse = time.Now()
	delete(g.deniedAt, address)
	g.setLeader(address)
}

// clearLeader forgets the leader if it is at address, where a try has failed. If address is
// the first of the members, it becomes the last, so that a search starts with another one.
func (g *Gateway) clearLeader(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leader == address {
		g.setLeader("")
	}
	if len(g.members) > 1 && g.members[0] == address {
		g.members = append(slices.Clone(g.members[1:]), address)
	}
}

// AnnounceToLeader announces this instance to the leader periodically until ctx ends. The
// responses keep the leader and the members up to date. It always returns nil.
func (g *Gateway) AnnounceToLeader(ctx context.Context) error {
	for {
		pause := g.announceOnce(ctx)
		g.logContact()
		if !wait.For(ctx, pause) {
			return nil
		}
	}
}

// announceOnce announces this instance once, and returns the pause before the next
// announcement.
func (g *Gateway) announceOnce(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	reply, err := Call[control.AnnounceInstanceReply](ctx, g, control.MethodAnnounceInstance, &control.AnnounceInstanceCall{Address: g.ownAddress})
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

// logContact logs when contact with the leader is lost or regained.
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
