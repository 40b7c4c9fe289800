package gateway

import (
	"context"
	"time"

	"github.com/bilberryferry/bilberryferry/internal/control"
	"github.com/bilberryferry/bilberryferry/internal/link"
	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// probeForNewLeader asks the other members who leads until one of them names another
// leader or ctx ends. The other leader is recorded, which cancels the calls in flight to
// the old one. Only one call at a time probes.
//
// It runs while the leader is slow to respond. A leader may vanish without closing its
// connections, and calls would then wait for its response after another leader has been
// elected.
func (g *Gateway) probeForNewLeader(ctx context.Context, leader string) {
	if !g.probeMu.TryLock() {
		return
	}
	defer g.probeMu.Unlock()
	for ctx.Err() == nil {
		for _, address := range g.candidates() {
			if address == leader {
				continue
			}
			hint := g.leaderKnownBy(ctx, address)
			if hint != "" && hint != leader && ctx.Err() == nil && g.adoptLeader(ctx, hint) {
				return
			}
			wait.For(ctx, searchInterval)
		}
		wait.For(ctx, searchInterval)
	}
}

// leaderKnownBy returns the address of the leader that a member names, which is the
// member's own address if it leads, or "" if it names none.
func (g *Gateway) leaderKnownBy(ctx context.Context, address string) string {
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	var reply control.AnnounceInstanceReply
	err := g.client.Call(ctx, address, control.MethodAnnounceInstance, &control.AnnounceInstanceCall{Address: g.ownAddress}, &reply)
	if err == nil {
		g.forgetDenial(address)
		return address
	}
	return link.LeaderOf(err)
}

// adoptLeader records the leader that a member names, and reports whether it did. An instance that has denied lately that
// it leads is asked itself.
func (g *Gateway) adoptLeader(ctx context.Context, leader string) bool {
	if g.SuggestLeader(leader) {
		return true
	}
	return g.leaderKnownBy(ctx, leader) == leader && g.SuggestLeader(leader)
}

// Version returns the highest configuration version that a response of another instance
// has named, 0 for none.
func (g *Gateway) Version() uint64 { return g.client.Version() }

// followerTimeout bounds a call to a follower. It is short because the leader can be asked
// instead.
const followerTimeout = 150 * time.Millisecond

// EndedJobPhase asks a follower for the phase of a job that may have ended, on behalf of a
// caller's request that was received at receivedAt. If known is false, the leader has to be
// asked: the newest version isn't known, the follower doesn't know the phase or didn't respond, or its
// response contradicts the order of the requests.
func (g *Gateway) EndedJobPhase(ctx context.Context, receivedAt time.Time, r *control.StateCall) (phase workflow.Phase, known bool) {
	if !g.Informed() {
		g.counters.Add("ended_not_informed", 1)
		return 0, false
	}
	member := g.nextFollower()
	if member == "" {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, followerTimeout)
	defer cancel()
	var reply control.EndedReply
	call := &control.EndedCall{Address: r.Address, Version: g.Version(), Principal: r.Principal}
	versions, err := g.client.CallVersioned(ctx, member, control.MethodEnded, call, &reply)
	if err != nil {
		g.markUnresponsive(member)
		return 0, false
	}
	if !reply.Known || g.versionOrder.admit(versions, receivedAt, member) != nil {
		return 0, false
	}
	g.counters.Add("ended_from_follower", 1)
	return reply.Phase, true
}

// nextFollower returns the address of the next member, in round robin, that isn't the
// leader, this instance or marked as unresponsive. It returns "" if there is none.
func (g *Gateway) nextFollower() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for range g.members {
		g.followerCursor++
		member := g.members[g.followerCursor%len(g.members)]
		if member != g.leader && member != g.ownAddress && now.After(g.unresponsiveUntil[member]) {
			return member
		}
	}
	return ""
}

// unresponsiveFor is how long a member isn't asked after a call to it failed: the duration
// of the shortest partition of a data centre.
const unresponsiveFor = 2 * time.Second

// markUnresponsive excludes a member from nextFollower for unresponsiveFor.
func (g *Gateway) markUnresponsive(member string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unresponsiveUntil[member] = time.Now().Add(unresponsiveFor)
}
