package gateway

import (
	"context"
	"time"

	"github.com/bilberryferry/bilberryferry/internal/control"
	"github.com/bilberryferry/bilberryferry/internal/link"
	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// probeForNewLeader asks members who leads while the leader takes long to answer, and
// ends the calls under way there when it is another one by now.
//
// Failure guarded against: a leader vanishes without a word, and calls wait for
// it after the others have elected another one.
func (g *Gateway) probeForNewLeader(ctx context.Context, leader string) {
	if !g.probing.TryLock() {
		return
	}
	defer g.probing.Unlock()
	for ctx.Err() == nil {
		for _, address := range g.candidates() {
			if address == leader {
				continue
			}
			hint := g.leaderKnownBy(ctx, address)
			if hint != "" && hint != leader && ctx.Err() == nil {
				g.SuggestLeader(hint)
				return
			}
			wait.For(ctx, searchInterval)
		}
		wait.For(ctx, searchInterval)
	}
}

// leaderKnownBy returns the leader that a member knows, empty for none.
func (g *Gateway) leaderKnownBy(ctx context.Context, address string) string {
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	var reply control.FollowReply
	err := g.client.Call(ctx, address, control.MethodFollow, &control.FollowCall{Address: g.ownAddress}, &reply)
	if err == nil {
		return address
	}
	return link.LeaderOf(err)
}

// Version returns the highest version of the configuration that another instance has
// answered by.
func (g *Gateway) Version() uint64 { return g.client.Version() }

// endedTimeout bounds a question to an instance that needn't lead; the leader knows too.
const endedTimeout = 150 * time.Millisecond

// Ended asks a member other than the leader for a job that may have ended, for a
// request that a caller made at begun. Without an answer the leader has to be asked.
func (g *Gateway) Ended(ctx context.Context, receivedAt time.Time, jobAddress control.JobAddress) (phase workflow.Phase, known bool) {
	member := g.nextFollower()
	if member == "" {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, endedTimeout)
	defer cancel()
	var reply control.EndedReply
	call := &control.EndedCall{Address: jobAddress, Version: g.Version()}
	version, err := g.client.CallVersioned(ctx, member, control.MethodEnded, call, &reply)
	if err != nil {
		g.markUnresponsive(member)
		return 0, false
	}
	if !reply.Known || g.versionOrder.admit(version, receivedAt, member) != nil {
		return 0, false
	}
	return reply.Phase, true
}

// other returns a member that doesn't lead and has answered lately, another one each
// time; empty for none.
func (g *Gateway) nextFollower() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for range g.members {
		g.nextMember++
		member := g.members[g.nextMember%len(g.members)]
		if member != g.leader && member != g.ownAddress && now.After(g.unresponsiveUntil[member]) {
			return member
		}
	}
	return ""
}

// unresponsiveFor is how long a member that gave no answer isn't asked, as long as a
// data centre's shortest cut.
const unresponsiveFor = 2 * time.Second

func (g *Gateway) markUnresponsive(member string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unresponsiveUntil[member] = time.Now().Add(unresponsiveFor)
}
