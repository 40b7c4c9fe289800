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

// Pace of the leader's work.
const (
	// maxStarts bounds the starts of one command, so that one command's bytes
	// and its apply stay small beside the commit itself.
	maxStarts = 512
	// leaseCheckInterval is how often leases are checked for their end.
	leaseCheckInterval = 100 * time.Millisecond
	// overdueCheckInterval is how often deadlines are looked through.
	overdueCheckInterval = 500 * time.Millisecond
	// endedJobRetention is how long the ends of jobs and first answers are remembered.
	endedJobRetention = 24 * time.Hour
	pruneInterval     = 10 * time.Minute
	// proposeTimeout bounds how long the leader waits for its own commits.
	proposeTimeout = 5 * time.Second
)

// tenure is what a leader holds beside the replicated state, from its election
// until it is deposed: caches, leases and commands under way to workers. All
// of it can be rebuilt from the state and from what workers say.
type leaderTerm struct {
	term uint64

	mu       sync.Mutex
	cluster  *placement.Cluster
	leases   *lease.Table
	outboxes map[string]*outbox
	// away holds data centres that can't be reached for handovers, until when.
	unreachableUntil map[string]time.Time

	wake chan struct{}
	// bookings numbers the jobs that are being accepted.
	reservations atomic.Uint64
	// degraded is whether the log went on without a disk when it was last noted.
	degraded bool
	// nextOverdue is when the deadlines of accepted work are looked through next.
	nextOverdue time.Time

	// planning guards the planner of quota transfers.
	plannerMu sync.Mutex
	planner   *quota.Planner
}

// poke makes the leader look at its work again.
func (t *leaderTerm) wakeUp() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// lead runs one tenure: it ends when the context does, or when this replica
// may no longer decide.
func (c *Cell) runLeaderTerm(ctx context.Context, term uint64) {
	t := c.newLeaderTerm(term)
	c.leaderTerm.Store(t)
	c.slots.Lead(term, c.entryInstances())
	c.base.Events.Record("leader elected", "", c.groupName)
	c.base.Logger.Log("msg", "leads", "term", term)
	defer func() {
		c.leaderTerm.Store(nil)
		c.slots.Resign()
		c.machine.StopCollecting()
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
	c.machine.Collect(func(s *state.State) {
		t.takeOverLeases(s, c.monotonic())
		c.rebuildCache(t, s, c.monotonic())
	})
	return t
}

// takeOverLeases takes the leases over. Any worker that isn't known to be down may
// hold one granted by a predecessor, so each is waited out unless it renews here
// first.
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

// load fills the placement cache from the replicated state.
func (c *Cell) rebuildCache(t *leaderTerm, s *state.State, now time.Duration) {
	t.cluster = placement.NewCluster(c.placementOptions())
	for id := range s.Workers {
		t.syncWorker(s, id, now)
	}
	for _, placed := range s.Placed() {
		if err := t.cluster.Place(placed); err != nil {
			panic("cell: the state's account doesn't fit its workers: " + err.Error())
		}
	}
	t.syncQuota(s)
	for id := range s.Jobs {
		t.syncQueue(s, id)
	}
}

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

// refresh brings the caches up to the applied state.
func (c *Cell) refresh(t *leaderTerm) {
	changes := c.machine.TakeChanges()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range changes.Unplaced {
		t.cluster.Unplace(u.Job, u.Task)
	}
	c.machine.View(func(s *state.State) {
		for id := range changes.Workers {
			t.syncWorker(s, id, c.monotonic())
		}
		for _, p := range slices.Backward(changes.Placed) {
			if stillRunning(s, p) {
				c.placeCommitted(t, s, p)
				c.enqueueStart(t, s, p)
			}
		}
		for id := range changes.Queues {
			t.syncQueue(s, id)
		}
		if changes.Quota {
			t.syncQuota(s)
		}
	})
	for _, sample := range changes.Samples {
		t.cluster.Learn(sample)
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

// running reports whether a start among the changes still stands: it may have
// ended again within the same batch of changes.
func stillRunning(s *state.State, p placement.Placed) bool {
	j := s.Jobs[p.Job]
	if j == nil || p.Task >= len(j.Tasks) {
		return false
	}
	t := &j.Tasks[p.Task]
	return t.State == state.TaskRunning && t.Worker == p.Worker
}

// place notes a committed start in the cache. The caller holds t.mu. The same
// task may be among the changes twice, when it ended and started again between
// two refreshes; the later start is noted first and stands.
//
// The state's account has taken the start already, so a cache that refuses it
// has drifted from the state and every later plan would be wrong: it is thrown
// away and built anew from the state.
func (c *Cell) placeCommitted(t *leaderTerm, s *state.State, p placement.Placed) {
	err := t.cluster.Place(p)
	if err == nil || errors.Is(err, placement.ErrPlacedTwice) {
		return
	}
	c.stats.Rebuilds.Add(1)
	c.base.Logger.Log("msg", "placement cache drifted, built anew", "job", p.Job, "worker", p.Worker, "err", err)
	c.rebuildCache(t, s, c.monotonic())
}

// command hands a committed start to its worker's outbox. The caller holds t.mu.
//
// Failure guarded against: the leader doesn't hear of its own commit in time, or
// the proposal's answer is lost, and the attempt is committed but never sent.
// Commands follow from what was applied, not from the answers of proposals.
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
