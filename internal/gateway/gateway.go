// Package gateway carries calls to the leader of the core from instances that
// don't lead: it finds the leader, follows it when it changes, and tells a call
// that nobody has carried out from one whose fate is open.
package gateway

import (
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
)

const (
	// tryTimeout bounds one try: a commit takes some tens of milliseconds, and a
	// slow disk of a follower doesn't hold it up.
	tryTimeout = 900 * time.Millisecond
	// tryPause lies between two rounds through the members: a tenth of an election.
	tryPause = 60 * time.Millisecond
	// followPause is the time between two announcements to the leader.
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
type Gateway struct {
	client *link.Client
	own    string
	logger log.Logger

	mu      sync.Mutex
	seeds   []string
	members []string
	leader  string
	heard   time.Time
	touch   bool
}

// New returns a gateway for the instance at address own that knows the core's
// seeds.
func New(client *link.Client, own string, seeds []string, logger log.Logger) *Gateway {
	return &Gateway{client: client, own: own, seeds: seeds, members: seeds, logger: logger}
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
	for _, address := range slices.Concat([]string{g.leader}, g.members, g.seeds) {
		if address != "" && !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	return list
}

// noteLeader remembers which instance answered as the leader.
func (g *Gateway) noteLeader(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leader = address
	g.heard = time.Now()
}

// Call makes a call of the leader within the time of ctx. It goes on to other
// members while no leader answers. The error is of kind Unknown when some try
// may have been carried out, and otherwise says that none was.
func Call[Reply any](ctx context.Context, g *Gateway, method string, request any) (Reply, error) {
	var reply Reply
	open := false
	for {
		for _, address := range g.targets() {
			err := g.try(ctx, address, method, request, &reply)
			if hint := link.LeaderOf(err); hint != "" && hint != address {
				address = hint
				err = g.try(ctx, address, method, request, &reply)
			}
			switch {
			case err == nil:
				g.noteLeader(address)
				return reply, nil
			case errors.Is(err, link.ErrNotLeader), errors.Is(err, link.ErrUnsent):
			case fault.Is(err, fault.Unknown):
				open = true
			default:
				return reply, settled(err, open)
			}
			if ctx.Err() != nil {
				return reply, outOfTime(method, open)
			}
		}
		if !wait.For(ctx, tryPause) {
			return reply, outOfTime(method, open)
		}
	}
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

func (g *Gateway) try(ctx context.Context, address, method string, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	return g.client.Call(ctx, address, method, request, reply)
}

// Follow announces this instance to the leader until ctx ends, and so learns
// who leads and who the members are.
func (g *Gateway) Follow(ctx context.Context) error {
	ticker := time.NewTicker(followPause)
	defer ticker.Stop()
	for {
		g.followOnce(ctx)
		g.logTouch()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (g *Gateway) followOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	reply, err := Call[control.FollowReply](ctx, g, control.MethodFollow, &control.FollowCall{Address: g.own})
	if err != nil {
		g.forgetLeader()
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(reply.Members) > 0 {
		g.members = reply.Members
	}
}

// forgetLeader makes the next call try the members in another order: one that
// has gone silent would otherwise take the whole time of each call.
func (g *Gateway) forgetLeader() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leader = ""
	if len(g.members) > 1 {
		g.members = append(slices.Clone(g.members[1:]), g.members[0])
	}
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
