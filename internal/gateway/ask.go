package gateway

import (
	"context"
	"time"

	"github.com/bilberryferry/bilberryferry/internal/control"
	"github.com/bilberryferry/bilberryferry/internal/link"
	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// askAround asks members who leads while the leader takes long to answer, and
// ends the calls under way there when it is another one by now.
//
// Failure guarded against: a leader vanishes without a word, and calls wait for
// it after the others have elected another one.
func (g *Gateway) askAround(ctx context.Context, leader string) {
	if !g.asking.TryLock() {
		return
	}
	defer g.asking.Unlock()
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

// Version returns the highest version of the configuration that another instance has
// answered by.
func (g *Gateway) Version() uint64 { return g.client.Version() }

// askTimeout bounds a question to an instance that needn't lead; the leader knows too.
const askTimeout = 150 * time.Millisecond

// Ended asks a member other than the leader for a job that may have ended, for a
// request that a caller made at begun. Without an answer the leader has to be asked.
func (g *Gateway) Ended(ctx context.Context, begun time.Time, place control.JobAddress) (phase workflow.Phase, known bool) {
	member := g.other()
	if member == "" {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var reply control.EndedReply
	call := &control.EndedCall{Address: place, Version: g.Version()}
	version, err := g.client.CallVersioned(ctx, member, control.MethodEnded, call, &reply)
	if err != nil {
		g.avoid(member)
		return 0, false
	}
	if !reply.Known || g.answers.take(version, begun, member) != nil {
		return 0, false
	}
	return reply.Phase, true
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
