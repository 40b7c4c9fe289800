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

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/control"
	"github.com/bilberryferry/bilberryferry/internal/link"
	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// tryTimeout bounds one try: a commit takes some tens of milliseconds, and a
	// slow disk of a follower doesn't hold it up.
	tryTimeout = 900 * time.Millisecond
	// searchTimeout bounds a try while the leader is searched for: a member that
	// doesn't lead says so within some milliseconds.
	searchTimeout = 250 * time.Millisecond
	// searchPause lies between two rounds through the members: a tenth of an election.
	searchPause = 60 * time.Millisecond
	// slowAfter is how long a call waits before members are asked whether another
	// one leads: several commits, and half of the shortest election.
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
// 60 ms, becomes a hundred; with 350 workers all members were kept from electing
// anybody, for good. So one call at a time searches, and the others wait for what
// it finds.
type Gateway struct {
	client *link.Client
	own    string
	logger log.Logger
	// search has room for one: whoever fills it may go through the members.
	search chan struct{}

	mu      sync.Mutex
	seeds   []string
	members []string
	leader  string
	// changed is closed when leader changes.
	changed chan struct{}
	heard   time.Time
	touch   bool
	// asking says that a member is being asked who leads.
	asking bool
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

// attempt is one call on its way through the tries that it takes.
type attempt struct {
	g       *Gateway
	method  string
	request any
	// open says that some try may have been carried out.
	open bool
}

// Call makes a call of the leader within the time of ctx. It goes on to other
// members while no leader answers. The error is of kind Unknown when some try
// may have been carried out, and otherwise says that none was.
func Call[Reply any](ctx context.Context, g *Gateway, method string, request any) (Reply, error) {
	var reply Reply
	a := &attempt{g: g, method: method, request: request}
	for {
		leader, changed := g.known()
		var done bool
		var err error
		if leader != "" {
			done, err = a.tryLeader(ctx, leader, changed, &reply)
		} else {
			done, err = a.find(ctx, changed, &reply)
		}
		switch {
		case done:
			return reply, err
		case ctx.Err() != nil:
			return reply, outOfTime(method, a.open)
		}
	}
}

// tryLeader makes a try at the leader, and reports whether that settles the call.
// A try without an answer ends when another leader is found.
func (a *attempt) tryLeader(ctx context.Context, leader string, changed <-chan struct{}, reply any) (done bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	slow := time.AfterFunc(slowAfter, func() {
		a.g.askAround(ctx, leader)
		if wait.Closed(ctx, changed) {
			cancel()
		}
	})
	defer slow.Stop()
	done, err = a.try(ctx, leader, tryTimeout, reply)
	if !done {
		a.follow(leader, err)
	}
	return done, err
}

// follow goes on to the leader that a refusal names, or to a search.
func (a *attempt) follow(tried string, err error) {
	hint := link.LeaderOf(err)
	if hint != "" && hint != tried {
		a.g.Suggest(hint)
		return
	}
	a.g.lost(tried)
}

// find goes through the members, if no other call does; else it waits for what
// that one finds.
func (a *attempt) find(ctx context.Context, changed <-chan struct{}, reply any) (done bool, err error) {
	select {
	case a.g.search <- struct{}{}:
	case <-changed:
		return false, nil
	case <-ctx.Done():
		return false, nil
	}
	defer func() { <-a.g.search }()
	if leader, _ := a.g.known(); leader != "" {
		return false, nil
	}
	for _, address := range a.g.targets() {
		done, err := a.try(ctx, address, searchTimeout, reply)
		hint := link.LeaderOf(err)
		switch {
		case done:
			return true, err
		case hint != "" && hint != address:
			a.g.Suggest(hint)
			return false, nil
		case ctx.Err() != nil:
			return false, nil
		}
	}
	wait.For(ctx, searchPause)
	return false, nil
}

// try makes one try, and reports whether its outcome settles the call.
func (a *attempt) try(ctx context.Context, address string, limit time.Duration, reply any) (done bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err = a.g.client.Call(ctx, address, a.method, a.request, reply)
	switch {
	case err == nil:
		a.g.noteLeader(address)
		return true, nil
	case errors.Is(err, link.ErrNotLeader), errors.Is(err, link.ErrUnsent):
		return false, err
	case fault.Is(err, fault.Unknown):
		a.open = true
		return false, err
	default:
		return true, settled(err, a.open)
	}
}

// askAround asks members who leads while the leader takes long to answer, and
// ends the calls under way there when it is another one by now.
//
// Failure guarded against: a leader vanishes without a word, and calls wait for
// it after the others have elected another one.
func (g *Gateway) askAround(ctx context.Context, leader string) {
	if !g.beginAsking() {
		return
	}
	defer g.endAsking()
	for ctx.Err() == nil {
		for _, address := range g.targets() {
			if address == leader {
				continue
			}
			hint := g.askWhoLeads(ctx, address)
			if hint != "" && hint != leader && ctx.Err() == nil {
				g.Suggest(hint)
				return
			}
			wait.For(ctx, searchPause)
		}
		wait.For(ctx, searchPause)
	}
}

func (g *Gateway) beginAsking() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	free := !g.asking
	g.asking = true
	return free
}

func (g *Gateway) endAsking() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.asking = false
}

// askWhoLeads returns the leader that a member knows, empty for none.
func (g *Gateway) askWhoLeads(ctx context.Context, address string) string {
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	var reply control.FollowReply
	err := g.client.Call(ctx, address, control.MethodFollow, &control.FollowCall{Address: g.own}, &reply)
	if err == nil {
		return address
	}
	return link.LeaderOf(err)
}

// askTimeout bounds a question to an instance that needn't lead; the leader knows too.
const askTimeout = 150 * time.Millisecond

// Ended asks a member other than the leader for a job that may have ended. Without
// an answer the leader has to be asked.
func (g *Gateway) Ended(ctx context.Context, place control.Place) (phase workflow.Phase, known bool) {
	member := g.other()
	if member == "" {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var reply control.EndedReply
	call := &control.EndedCall{Place: place, Version: g.client.Version()}
	if err := g.client.Call(ctx, member, control.MethodEnded, call, &reply); err != nil {
		g.avoid(member)
		return 0, false
	}
	return reply.Phase, reply.Known
}

// other returns a member that doesn't lead and has answered lately, another one each
// time; empty for none.
func (g *Gateway) other() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for range g.members {
		g.turn++
		member := g.members[g.turn%len(g.members)]
		if member != g.leader && member != g.own && now.After(g.avoidUntil[member]) {
			return member
		}
	}
	return ""
}

// avoidFor is how long a member that gave no answer isn't asked, as long as a
// data centre's shortest cut.
const avoidFor = 2 * time.Second

func (g *Gateway) avoid(member string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.avoidUntil[member] = time.Now().Add(avoidFor)
}

// settled is the error of a call that the leader refused. After a try whose fate
// is open, a refusal of the next one doesn't say that nothing was done.
func settled(err error, open bool) error {
	kind := fault.KindOf(err)
	if open && (kind == fault.Unavailable || kind == fault.Overloaded) {
		return fault.New(fault.Unknown, "an earlier try may have been carried out: %v", err)
	}
	return err
}

func outOfTime(method string, open bool) error {
	if open {
		return fault.New(fault.Unknown, "%s: no answer from the leader", method)
	}
	return fault.Retry(fault.Unavailable, RetryAfter, "%s: no leader is reached", method)
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
