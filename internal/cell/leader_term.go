package cell

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/internal/state"
	"github.com/bilberryferry/bilberryferry/lease"
	"github.com/bilberryferry/bilberryferry/placement"
	"github.com/bilberryferry/bilberryferry/quota"
)

// Timing and bounds of the leader's work.
const (
	// maxStarts bounds the starts of one command, so that its size and the time to
	// apply it stay small compared with the commit itself.
	maxStarts = 512
	// leaseCheckInterval is the interval of checks for expired leases.
	leaseCheckInterval = 100 * time.Millisecond
	// overdueCheckInterval is the interval of checks for deadlines that have passed.
	overdueCheckInterval = 500 * time.Millisecond
	// endedJobRetention is how long ended jobs and first responses to requests are kept.
	endedJobRetention = 24 * time.Hour
	// pruneInterval is the interval of removals of records older than
	// endedJobRetention.
	pruneInterval = 10 * time.Minute
	// proposeTimeout bounds how long the leader waits for its own commits.
	proposeTimeout = 5 * time.Second
)

// leaderTerm is what a leader holds besides the replicated state, from its election
// until it loses the leadership: caches, leases and commands in flight to workers. All
// of it can be rebuilt from the state and from the workers' renewals.
type leaderTerm struct {
	term uint64

	mu      sync.Mutex
	cluster *placement.Cluster
	leases  *lease.Table
	// outboxes holds the outbox of each worker that renewed in this leader term.
	outboxes map[string]*outbox
	// unreachableUntil holds, by data centre, the time until which probes skip it.
	unreachableUntil map[string]time.Time

	// wake makes the leader's loop start its next iteration.
	wake chan struct{}
	// reservationCount is the number of reservations made so far; see admitAndReserve.
	reservationCount atomic.Uint64
	// degraded is the state in the last event of recordDegraded: true if committed commands
	// are only in memory.
	degraded bool
	// nextOverdueCheck is the time of the next check for deadlines that have passed.
	nextOverdueCheck time.Time

	// plannerMu guards planner, which plans quota transfers.
	plannerMu sync.Mutex
	planner   *quota.Planner
}

// wakeUp makes the leader's loop start its next iteration immediately.
func (t *leaderTerm) wakeUp() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// runLeaderTerm leads for one term. It returns when ctx ends or the replica loses the
// leadership.
func (c *Cell) runLeaderTerm(ctx context.Context, term uint64) {
	t := c.newLeaderTerm(term)
	c.leaderTerm.Store(t)
	c.slots.Lead(term, c.entryInstances())
	c.base.Events.Record("leader elected", "", c.groupName)
	c.base.Logger.Log("msg", "leads", "term", term)
	defer func() {
		c.leaderTerm.Store(nil)
		c.slots.Resign()
		c.stateMachine.StopCollecting()
		t.wakeHeldRenewals()
		c.base.Logger.Log("msg", "leads no more", "term", term)
	}()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go c.handOver(ctx, t)
	go c.adoptConfig(ctx)
	go c.runQuotaTransfers(ctx, t)
	go c.prune(ctx)
	c.runDecisions(ctx, t)
}

// newLeaderTerm fills the caches from the replicated state and begins to collect the
// changes that follow.
func (c *Cell) newLeaderTerm(term uint64) *leaderTerm {
	timing := c.base.Settings.Timing
	t := &leaderTerm{
		term:             term,
		leases:           lease.NewTable(time.Duration(timing.WorkerLease), time.Duration(timing.Drift)),
		outboxes:         make(map[string]*outbox),
		unreachableUntil: make(map[string]time.Time),
		wake:             make(chan struct{}, 1),
		planner:          quota.NewPlanner(c.base.Instance.DataCentre, c.base.Settings.DataCentres()),
	}
	c.stateMachine.Collect(func(s *state.State) {
		t.takeOverLeases(s, c.monotonic())
		c.rebuildCache(t, s, c.monotonic())
	})
	return t
}

// takeOverLeases takes over the predecessor's leases. Any worker that isn't known to be
// down may hold a lease, so the leader waits until that lease has expired or the worker
// has renewed it at this leader.
func (t *leaderTerm) takeOverLeases(s *state.State, now time.Duration) {
	var workers []string
	for _, w := range s.Workers {
		if !w.Down {
			workers = append(workers, w.ID)
		}
	}
	t.leases.TakeOver(now, workers)
	for _, w := range s.Workers {
		t.leases.RecordIncarnation(w.ID, w.Incarnation)
	}
}

// rebuildCache fills a new placement cache from the replicated state.
func (c *Cell) rebuildCache(t *leaderTerm, s *state.State, now time.Duration) {
	t.cluster = placement.NewCluster(c.placementOptions())
	for id := range s.Workers {
		t.syncWorker(s, id, now)
	}
	for _, placed := range s.Placed() {
		if err := t.cluster.Place(placed); err != nil {
			panic("cell: the committed tasks don't fit their workers: " + err.Error())
		}
	}
	t.syncQuota(s)
	for id := range s.Jobs {
		t.syncQueue(s, id)
	}
}

// syncWorker copies a worker from the replicated state to the placement cache. A worker
// that is down is removed from the cache.
func (t *leaderTerm) syncWorker(s *state.State, id string, now time.Duration) {
	w := s.Workers[id]
	if w == nil || w.Down {
		t.cluster.RemoveWorker(id)
		return
	}
	live := t.leases.Live(w.ID, now)
	t.cluster.SetWorker(placement.Worker{
		ID: w.ID, Rack: w.Rack, Capacity: w.Capacity, Draining: w.Draining, Live: live, AwaitingRenewal: !live,
	})
}

// syncQueue copies the waiting tasks of a job from the replicated state to the queue of
// the placement cache.
func (t *leaderTerm) syncQueue(s *state.State, id string) {
	j := s.Jobs[id]
	if j == nil {
		t.cluster.Dequeue(id)
		return
	}
	queued, waits := j.PlacementJob()
	if !waits {
		t.cluster.Dequeue(id)
		return
	}
	t.cluster.Enqueue(queued)
}

// refresh applies the collected changes to the caches.
func (c *Cell) refresh(t *leaderTerm) {
	changes := c.stateMachine.TakeChanges()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range changes.Unplaced {
		t.cluster.Unplace(u.Job, u.Task)
	}
	c.stateMachine.View(func(s *state.State) {
		for id := range changes.Workers {
			t.syncWorker(s, id, c.monotonic())
		}
		for _, p := range slices.Backward(changes.Placed) {
			if stillRunning(s, p) {
				c.placeCommitted(t, s, p)
				c.enqueueStart(t, s, p)
			}
		}
		for id := range changes.ChangedJobs {
			t.syncQueue(s, id)
		}
		if changes.QuotaChanged {
			t.syncQuota(s)
		}
	})
	for _, sample := range changes.Samples {
		t.cluster.AddSample(sample)
	}
	for _, result := range changes.AttemptResults {
		t.recordAttemptResult(result, c.now())
	}
	for _, stop := range changes.Stops {
		t.cluster.MarkStopping(stop.Ref.Job, int(stop.Ref.Task))
		t.enqueueCommand(stop.Worker, stop.Incarnation, stopCommand(stop.Ref))
	}
}

func (t *leaderTerm) recordAttemptResult(result state.AttemptResult, now time.Time) {
	if result.Failed {
		t.cluster.ReportFailure(result.Worker, result.Job, now)
		return
	}
	t.cluster.ReportSuccess(result.Worker, result.Job, now)
}

// stillRunning reports whether a task that was started by one of the collected changes
// still runs on its worker. A later change of the same batch may have ended the attempt.
func stillRunning(s *state.State, p placement.Placed) bool {
	j := s.Jobs[p.Job]
	if j == nil || p.Task >= len(j.Tasks) {
		return false
	}
	t := &j.Tasks[p.Task]
	return t.State == state.TaskRunning && t.Worker == p.Worker
}

// placeCommitted adds a committed start to the placement cache. If a task ended and
// started again between two refreshes, the collected changes contain both starts; the
// later start is added first, and the earlier one is ignored.
//
// The replicated state has accepted the start, so a cache that refuses it has diverged
// from the state, and every later plan would be wrong: the cache is rebuilt from the
// state. t.mu must be held.
func (c *Cell) placeCommitted(t *leaderTerm, s *state.State, p placement.Placed) {
	err := t.cluster.Place(p)
	if err == nil || errors.Is(err, placement.ErrPlacedTwice) {
		return
	}
	c.stats.Rebuilds.Add(1)
	c.base.Logger.Log("msg", "placement cache diverged from the state; rebuilding it", "job", p.Job, "worker", p.Worker, "err", err)
	c.rebuildCache(t, s, c.monotonic())
}

// enqueueStart adds a committed start to its worker's outbox.
//
// Failure guarded against: the leader doesn't learn of its own commit in time, or the
// result of the proposal is lost, and the attempt is committed but never sent. Commands
// are therefore built from the applied log, not from the results of proposals. t.mu must
// be held.
func (c *Cell) enqueueStart(t *leaderTerm, s *state.State, p placement.Placed) {
	j := s.Jobs[p.Job]
	task := &j.Tasks[p.Task]
	ref := state.AttemptRef{Job: p.Job, Task: int32(p.Task), Attempt: task.Attempt}
	if start := startCommand(s, ref); start != nil {
		t.enqueueCommand(p.Worker, task.Incarnation, start)
	}
	c.stats.Starts.Add(1)
	c.recordQueueTime(j)
}
