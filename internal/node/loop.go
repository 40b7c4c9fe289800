package node

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/internal/wal"
	"github.com/bilberryferry/bilberryferry/internal/worktime"
	"github.com/bilberryferry/bilberryferry/replica"
)

// invariant panics when ok is false: continuing would break a guarantee already given
// to a caller.
func invariant(ok bool, format string, args ...any) {
	if !ok {
		panic("node: invariant broken: " + fmt.Sprintf(format, args...))
	}
}

// Run drives the member until ctx ends or its disk fails. The end of ctx is a clean
// stop and returns nil. Run may be called once.
func (g *Group) Run(ctx context.Context) error {
	g.clock = newClock(g.cfg.Now(), g.cfg.TickInterval)
	g.runCtx = ctx
	g.callsTimer = time.AfterFunc(0, g.signal)
	defer g.callsTimer.Stop()
	ticker := time.NewTicker(g.cfg.TickInterval)
	defer ticker.Stop()
	err := g.loop(ctx, ticker.C)
	if errors.Is(err, wal.ErrDiskRefuses) && ctx.Err() != nil {
		err = nil
	}
	return errors.CombineErrors(err, g.stop())
}

func (g *Group) loop(ctx context.Context, ticks <-chan time.Time) error {
	for {
		if err := g.trackRound(); err != nil {
			return err
		}
		if g.core.HasReady() {
			// The core has another Ready. The next round processes it, after new calls
			// and messages.
			g.signal()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
		case <-g.wake:
		case r := <-g.snapshots.done:
			if err := g.completeSnapshot(r); err != nil {
				return err
			}
		}
	}
}

// trackRound runs a round and adds its time without that of the disk to the ledger.
func (g *Group) trackRound() error {
	start := time.Now()
	g.diskTime = 0
	err := g.runRound()
	g.cfg.Work.Add(worktime.Log, time.Since(start)-g.diskTime)
	return err
}

// runRound processes ticks, messages, calls and the Readys that follow from them. It makes up for missed ticks
// first: a member that was paused must know how much time has passed before it treats a
// message as recent or decides anything.
//
// It processes a Ready before the calls, so that callers of committed commands don't wait for
// the sync of those that have come since.
//
// It takes the messages before it reads the clock. If one arrived between the two, time from before its
// arrival would count against the promise that the reply to it gives, and this member could vote while the
// leader's lease holds.
func (g *Group) runRound() error {
	messages := g.inbox.take()
	g.tick()
	for _, m := range messages {
		if err := g.core.Step(m); err != nil {
			g.counters.dropped.Add(1)
		}
	}
	if err := g.processNextReady(); err != nil {
		return err
	}
	if g.callsDue(time.Now()) {
		g.processCalls(g.calls.take())
		if err := g.processNextReady(); err != nil {
			return err
		}
	}
	g.failSupersededCalls(g.publish())
	return g.maybeSnapshot()
}

// processNextReady processes the core's next Ready, if it has one.
func (g *Group) processNextReady() error {
	if !g.core.HasReady() {
		return nil
	}
	return g.processReady(g.core.Ready())
}

// callsDue reports whether pending calls must be processed now. If they have to wait,
// it schedules a wake-up for when the interval is over.
func (g *Group) callsDue(now time.Time) bool {
	if g.calls.empty() {
		return false
	}
	if remaining := g.callInterval() - now.Sub(g.callsProcessedAt); remaining > 0 {
		g.callsTimer.Reset(remaining)
		return false
	}
	g.callsProcessedAt = now
	return true
}

// callInterval returns the minimum time between two rounds that process calls. It is longer
// while commands of the last such round wait for their commit: the sync of further commands
// would delay the acknowledgements that commit them.
func (g *Group) callInterval() time.Duration {
	interval := callIntervalPerVoter * time.Duration(g.core.VoterCount()-1)
	if len(g.proposals) > 0 {
		return uncommittedCallFactor * interval
	}
	return interval
}

// tick passes the ticks that are due to the core.
func (g *Group) tick() {
	n := g.clock.due(g.cfg.Now())
	for range min(n, uint64(maxCatchUpTimeouts*g.cfg.ElectionTicks)) {
		g.core.Tick()
	}
}

// processReady does the work of a Ready in the order that replica.Ready requires.
func (g *Group) processReady(r replica.Ready) error {
	beforeSync, afterSync := g.splitMessages(r)
	g.send(beforeSync)
	if err := g.save(r); err != nil {
		return err
	}
	g.send(afterSync)
	if r.Snapshot != nil {
		if err := g.installSnapshot(r.Snapshot); err != nil {
			return err
		}
	}
	if err := g.apply(r.Committed); err != nil {
		return err
	}
	g.core.Advance(r)
	g.barriers.confirm(r.Reads, g.applied)
	return nil
}

// splitMessages returns the messages that may be sent before the sync, so that followers
// write while the leader writes, and the messages that must wait for it. All messages wait
// for a sync that makes a new term or vote durable.
func (g *Group) splitMessages(r replica.Ready) (beforeSync, afterSync []replica.Message) {
	if hs := r.HardState; hs != nil && (hs.Term != g.savedHardState.Term || hs.Vote != g.savedHardState.Vote) {
		return nil, r.Messages
	}
	for _, m := range r.Messages {
		if m.BeforeSync() {
			beforeSync = append(beforeSync, m)
		} else {
			afterSync = append(afterSync, m)
		}
	}
	return beforeSync, afterSync
}

// save writes what must survive a restart, and syncs it when the core requires that.
func (g *Group) save(r replica.Ready) error {
	if g.wal != nil {
		start := time.Now()
		err := g.write(r)
		g.diskTime += time.Since(start)
		if err != nil {
			return err
		}
		g.diskRetry.Succeeded()
	}
	if r.HardState != nil {
		g.savedHardState = *r.HardState
	}
	return nil
}

func (g *Group) write(r replica.Ready) error {
	if r.Snapshot != nil {
		if err := g.saveSnapshot(r); err != nil {
			return err
		}
	}
	return g.wal.Save(r.HardState, r.Entries, r.MustSync)
}

// saveSnapshot writes a snapshot from another member. It writes the new term first, since
// no entry may have a later term than the member. Until the snapshot and the entries are
// durable, the hard state must still say that the member is recovering.
func (g *Group) saveSnapshot(r replica.Ready) error {
	if r.HardState != nil {
		interim := *r.HardState
		interim.Recovering = interim.Recovering || g.savedHardState.Recovering
		interim.Commit = g.savedHardState.Commit
		if err := g.wal.Save(&interim, nil, true); err != nil {
			return err
		}
	}
	return g.wal.SaveSnapshot(*r.Snapshot)
}

// waitForDisk waits before the next attempt at an operation that the disk refused with err. It
// returns false when the member must stop.
//
// A disk may be full or faulty only for a short time. If the member failed instead of waiting,
// its process would exit, and fail again after each restart while it lasts. While the member
// waits, it acknowledges nothing and its leader lease expires by its own clock, as on a disk
// that stalls.
func (g *Group) waitForDisk(err error) bool { return g.diskRetry.Wait(g.runCtx, err) }

// stop ends the member: pending calls fail, and the log is synced and closed.
func (g *Group) stop() error {
	g.stopOnce.Do(func() { close(g.done) })
	for _, c := range g.calls.stop() {
		c.reply(nil, unavailable(ErrStopped, "the member has stopped"))
	}
	g.failProposals(func(pendingProposal) bool { return true }, "the member has stopped")
	g.barriers.failAll(unavailable(ErrStopped, "the member has stopped"))
	g.snapshots.wait()
	g.published.set(stoppedStatus(g.core.Status()), time.Time{})
	return g.closeLog()
}

// stoppedStatus returns s changed to the status of a stopped member, which doesn't lead, can't
// decide and knows no leader. Its state machine may hold a part of the effects of an entry, so nobody may take
// its state for that of the group.
func stoppedStatus(s replica.Status) replica.Status {
	s.CanDecide, s.Leader = false, ""
	if s.Role == replica.Leader {
		s.Role = replica.Follower
	}
	return s
}
