package cell

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/state"
	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/placement"
	"github.com/bilberryferry/bilberryferry/replica"
)

// runDecisions is the leader's loop: it updates the caches, ends expired leases, makes a
// plan, commits it, and sends what was committed. It pauses while this replica may not
// decide, and returns when the term or the role changes.
//
// Failure guarded against: the leader loses contact with the other members for a moment
// and continues in the same term. A new leaderTerm would number its commands from 1
// again, workers would refuse those commands as duplicates, and their tasks would count
// as running for ever. Within a term no other replica can have granted leases or issued
// commands, so this leaderTerm is still valid when the replica may decide again.
func (c *Cell) runDecisions(ctx context.Context, t *leaderTerm) {
	timer := time.NewTimer(leaseCheckInterval)
	defer timer.Stop()
	for ctx.Err() == nil {
		status := c.log.Status()
		if status.Term != t.term || status.Role != replica.Leader {
			return
		}
		if status.CanDecide {
			c.recordDegraded(t, status.Degraded)
			c.endOverdueJobs(ctx, t)
			c.decideOnce(ctx, t)
		}
		timer.Reset(leaseCheckInterval)
		select {
		case <-ctx.Done():
		case <-c.log.Changed():
		case <-c.stateMachine.Changed():
		case <-t.wake:
		case <-timer.C:
		}
	}
}

// recordDegraded records an event when the last voter with a disk stops acknowledging
// entries, so that committed commands are only in memory, and another event when a voter
// with a disk resumes.
func (c *Cell) recordDegraded(t *leaderTerm, degraded bool) {
	if degraded == t.degraded {
		return
	}
	t.degraded = degraded
	kind := "disk answers again"
	if degraded {
		kind = "no disk answers"
	}
	c.base.Events.Record(kind, "", c.groupName)
	c.base.Logger.Log("msg", kind, "term", t.term)
}

// decideOnce makes and commits plans until a plan is empty, starts fewer than maxStarts
// tasks, or can't be committed.
func (c *Cell) decideOnce(ctx context.Context, t *leaderTerm) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	for {
		c.refresh(t)
		c.endExpiredLeases(ctx, t)
		plan := t.plan(c.now())
		if len(plan.Starts)+len(plan.Preemptions)+len(plan.Refusals) == 0 {
			return
		}
		if err := c.commitPlan(ctx, t, plan); err != nil {
			return
		}
		if len(plan.Starts) < maxStarts {
			return
		}
	}
}

// endOverdueJobs refuses jobs whose deadline has passed while they ran or waited: a
// late result is useless, and other jobs need the workers.
func (c *Cell) endOverdueJobs(ctx context.Context, t *leaderTerm) {
	now := c.now()
	if now.Before(t.nextOverdueCheck) {
		return
	}
	t.nextOverdueCheck = now.Add(overdueCheckInterval)
	var overdue []string
	c.stateMachine.View(func(s *state.State) { overdue = s.OverdueJobs(now.UnixMilli()) })
	for _, id := range overdue {
		refuse := &state.Refuse{Job: id, Kind: fault.DeadlineUnreachable, Detail: "the deadline has passed"}
		if _, err := c.propose(ctx, &state.Command{Refuse: refuse}); err != nil {
			return
		}
	}
}

// endExpiredLeases commits the end of each worker incarnation whose lease has expired.
// Until the end is committed, the attempts of a dead worker count as running, so the next
// iteration of the leader's loop repeats a proposal that fails.
func (c *Cell) endExpiredLeases(ctx context.Context, t *leaderTerm) {
	expired := c.expiredLeases(t)
	for _, down := range expired {
		if _, err := c.propose(ctx, &state.Command{WorkerDown: down}); err != nil {
			c.base.Logger.Log("msg", "end of an expired lease not committed; trying again", "worker", down.ID, "err", err)
		}
	}
	if len(expired) > 0 {
		c.refresh(t)
	}
}

// expiredLeases returns the commands that end the incarnations whose lease has expired.
func (c *Cell) expiredLeases(t *leaderTerm) []*state.WorkerDown {
	var expired []*state.WorkerDown
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leases.Expired(c.monotonic())
	c.stateMachine.View(func(s *state.State) {
		for id, w := range s.Workers {
			if !w.Down && t.leases.Fenced(id, w.Incarnation) {
				expired = append(expired, &state.WorkerDown{ID: id, Incarnation: w.Incarnation})
			}
		}
	})
	return expired
}

// plan returns the starts, preemptions and refusals that are due. It omits refusals of
// reservations, which the log doesn't contain.
func (t *leaderTerm) plan(now time.Time) placement.Plan {
	t.mu.Lock()
	defer t.mu.Unlock()
	plan := t.cluster.Evaluate(now, maxStarts)
	plan.Refusals = slices.DeleteFunc(plan.Refusals, func(r placement.Refusal) bool {
		return strings.HasPrefix(r.Job, reservationPrefix)
	})
	return plan
}

// commitPlan proposes the commands of a plan. Starts are sent to workers only after they
// are applied, so a leader that was superseded in the meantime, whose proposals fail,
// sends none.
func (c *Cell) commitPlan(ctx context.Context, t *leaderTerm, plan placement.Plan) error {
	for _, refusal := range plan.Refusals {
		command := &state.Refuse{Job: refusal.Job, Kind: faultKind(refusal.Reason), Detail: refusal.Detail}
		if _, err := c.propose(ctx, &state.Command{Refuse: command}); err != nil {
			return err
		}
	}
	if len(plan.Preemptions) > 0 {
		if _, err := c.propose(ctx, &state.Command{Preempt: &state.Preempt{Items: plan.Preemptions}}); err != nil {
			return err
		}
	}
	if len(plan.Starts) == 0 {
		return nil
	}
	_, err := c.propose(ctx, &state.Command{Start: &state.Start{Items: c.startItems(plan.Starts)}})
	c.refresh(t)
	return err
}

// startItems converts the starts of a plan into those of a command. RaisedNeed is set
// only where the need differs from the declared one.
func (c *Cell) startItems(starts []placement.Start) []state.StartItem {
	items := make([]state.StartItem, 0, len(starts))
	c.stateMachine.View(func(s *state.State) {
		for _, start := range starts {
			item := state.StartItem{Job: start.Job, Worker: start.Worker}
			if j := s.Jobs[start.Job]; j != nil && start.Need != j.Spec.Need {
				item.RaisedNeed = &start.Need
			}
			items = append(items, item)
		}
	})
	return items
}

// faultKind maps a reason of placement to one of the fixed set of fault kinds.
func faultKind(reason placement.Reason) fault.Kind {
	switch reason {
	case placement.ReasonTooLarge, placement.ReasonTooManyTasks:
		return fault.Infeasible
	case placement.ReasonDeadline:
		return fault.DeadlineUnreachable
	case placement.ReasonQuota:
		return fault.QuotaExceeded
	case placement.ReasonNoWorkers, placement.ReasonQueueFull:
		return fault.Overloaded
	}
	return fault.Internal
}

// prune removes ended jobs, first responses and other records that are older than
// endedJobRetention, once per pruneInterval.
func (c *Cell) prune(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, pruneInterval)
		before := c.now().Add(-endedJobRetention).UnixMilli()
		if _, err := c.propose(ctx, &state.Command{Prune: &state.Prune{Before: before}}); err != nil && ctx.Err() == nil {
			c.base.Logger.Log("msg", "ended jobs not pruned; trying again at the next interval", "err", err)
		}
	}
}
