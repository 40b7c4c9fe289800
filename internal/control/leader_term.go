package control

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/bilberryferry/bilberryferry/dispatch"
	"github.com/bilberryferry/bilberryferry/internal/link"
	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// driftFactor is how much slower than this process's a worker's steady clock
	// may run: 2 %.
	driftFactor = 1 / 0.98
	// leaseSlack is added to every lease of a worker before it counts as ended: a
	// call's round trip and the scheduling of both processes.
	leaseSlack = 300 * time.Millisecond
	// predecessorSlack is how long a predecessor may have gone on giving leases
	// after this tenure began: until its own right to decide ended, which is
	// within one election timeout.
	predecessorSlack = 1500 * time.Millisecond
	// planInterval is the longest time between two decisions; due times and leases
	// change without an event.
	planInterval = 100 * time.Millisecond
	// forgetInterval is the time between two looks for ended jobs to forget.
	forgetInterval = 5 * time.Second
)

// tenure is one leadership of this member.
type leaderTerm struct {
	c       *Controller
	ctx     context.Context
	end     func()
	fence   uint64
	started time.Time
	// suspendedBefore is how long the machine had been suspended when the tenure began.
	suspendedBefore time.Duration
	suspendedTime   func() (time.Duration, error)
	lease           time.Duration
	logger          log.Logger
	disabled        dispatch.Disabled
	adviserConns    *adviserPool
	wakePlanner     chan struct{}
	// freshened says that there are fresh jobs.
	jobsChanged chan struct{}
	tasks       goroutineGroup
	// loadLoggedAt is when the load was logged last, turn counts the decisions, left is what
	// the last whole decision has left over of the workers' room, leavingSince its time, and
	// backlog says that more waited than it went into, next is the most urgent step of
	// those that it had no place for; all belong to planLoop.
	loadLoggedAt    time.Time
	decisions       int
	leftoverWorkers []dispatch.Worker
	leftoverAt      time.Time
	backlog         bool
	nextUrgentStep  *dispatch.Step

	mu sync.Mutex
	// queued is how many steps were ready and not whole at the last decision.
	incompleteSteps int
	// answerTime is a moving mean of how long starts take to be answered, quickest the
	// least that one took.
	answerTime, minAnswerTime time.Duration
	// callLostAt is when a call was last found to have got lost.
	callLostAt time.Time
	// runsCheckedAt is when runs to stop or to copy were looked for last.
	runsCheckedAt time.Time
	// waiting is what is known of the steps that wait, behind how many the last decision
	// didn't go into.
	waiting          map[workflow.StepKey]*waitingStep
	stepsBeyondBound int
	sessions         map[string]*workerSession
	permits          map[workflow.StepKey]*stepPermits
	// grantShares is, by queue, the share of workers asked about that the adviser has
	// permitted of late.
	grantShares map[string]movingMean
	// answered is when a worker of each data centre last answered.
	dataCentreAnsweredAt map[string]time.Time
	// suspected is when a data centre was last taken for cut off, of those that the
	// last line on it said so.
	dataCentreSuspectedAt map[string]time.Time
	// accepted is when jobs were accepted; those of earlier tenures count from
	// the start of this one, in the order of the log.
	acceptedAt map[string]time.Time
	// pendingSubmits counts the calls that commit a job, by its ID.
	pendingSubmits map[string]int
	// reported are jobs whose end was logged.
	loggedEnds map[string]bool
	// fresh are the jobs for which something has come up since the last decision.
	changedJobs map[string]bool
	// earmarked are the workers on which the last decision kept room for a gang.
	earmarked map[string]bool
	// begun are jobs of which a worker has acknowledged or listed a run.
	startedJobs map[string]bool
	// ended is when this tenure first saw that a job had ended.
	endedAt map[string]time.Time
	// pace is that of all workers.
	pace movingMean
	// proposed are the starts that are being committed, by task.
	proposedStarts map[workflow.TaskKey]string
	machines       *machines
	fleet          *pools
	// checkpoints are the latest that running tasks reported.
	checkpoints map[workflow.TaskKey]string
	// unaccounted is since when runs have been unaccounted for; see accountsFor.
	unaccountedSince map[workflow.Run]time.Time
	runCounts        runCounts
}

func newLeaderTerm(ctx context.Context, end func(), c *Controller, term uint64) *leaderTerm {
	t := &leaderTerm{
		c: c, ctx: ctx, end: end, fence: term, started: time.Now(), suspendedTime: suspendedTime,
		logger:                log.With(c.cfg.Logger, "term", term),
		disabled:              c.cfg.Disabled,
		wakePlanner:           make(chan struct{}, 1),
		jobsChanged:           make(chan struct{}, 1),
		changedJobs:           map[string]bool{},
		sessions:              map[string]*workerSession{},
		permits:               map[workflow.StepKey]*stepPermits{},
		grantShares:           map[string]movingMean{},
		dataCentreAnsweredAt:  map[string]time.Time{},
		dataCentreSuspectedAt: map[string]time.Time{},
		acceptedAt:            map[string]time.Time{},
		pendingSubmits:        map[string]int{},
		loggedEnds:            map[string]bool{},
		startedJobs:           map[string]bool{},
		endedAt:               map[string]time.Time{},
		checkpoints:           map[workflow.TaskKey]string{},
		proposedStarts:        map[workflow.TaskKey]string{},
	}
	if slept, err := t.suspendedTime(); err == nil {
		t.suspendedBefore = slept
	}
	t.lease = leaseLength(c.cfg.Bounds)
	t.machines, t.fleet = newMachines(), newPools()
	t.adviserConns = newAdviserPool(c.cfg.Address, c.cfg.Adviser, c.cfg.Client)
	c.state.read(func(s *workflow.State) {
		for id, worker := range s.Workers {
			if !worker.Gone {
				t.addSession(worker.Worker, s.Runs[id])
			}
		}
		for _, session := range t.sessions {
			t.linkToSuccessor(session, s)
		}
	})
	return t
}

// leaseLength is the longest that a worker grants: work behind a cut goes on for
// as long, and its ends count when the cut has healed. A worker that is gone for good
// blocks its tasks for as long, but one that crashed is back under another incarnation
// before, which settles them at once.
func leaseLength(b Bounds) time.Duration { return b.MaxLease - leaseSlack }

// leaseUpperBound is how long by this process's clock a lease takes to end at most, whose length
// is measured by a worker's.
func leaseUpperBound(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*driftFactor) + leaseSlack
}

// run works until the tenure ends.
func (t *leaderTerm) run() {
	t.mu.Lock()
	for _, s := range t.sessions {
		t.spawn(s.run)
	}
	t.mu.Unlock()
	t.spawn(t.forgetLoop)
	if t.c.cfg.Machines != nil {
		t.spawn(t.machineLoop)
	}
	t.planLoop()
	t.tasks.wait()
}

func (t *leaderTerm) spawn(f func()) { t.tasks.start(f) }

// kick wakes the planner.
func (t *leaderTerm) wake() {
	select {
	case t.wakePlanner <- struct{}{}:
	default:
	}
}

// addSession begins to look after a worker. inherited are the runs that earlier
// leaders may have ordered. t.mu is held, or t isn't shared yet.
func (t *leaderTerm) addSession(w workflow.Worker, inherited map[workflow.TaskKey]workflow.Run) *workerSession {
	s := &workerSession{
		t: t, worker: w,
		inherited:   map[workflow.TaskKey]int{},
		orders:      map[workflow.TaskKey]*runOrder{},
		unknownRuns: map[workflow.Run]time.Time{},
		heartbeatAt: time.Now(),
		// What answers first may be another life than the log knows.
		incarnationUnconfirmed: true,
		throttle:               throttle{share: fullShare},
		startSlots:             make(chan struct{}, maxConcurrentStarts),
		// A predecessor may have given a whole lease just before its right ended.
		leaseEnd: t.started.Add(leaseUpperBound(t.lease) + predecessorSlack),
	}
	for task, run := range inherited {
		s.inherited[task] = run.Number
	}
	t.sessions[w.ID] = s
	return s
}

// heard takes in an acknowledged heartbeat.
func (t *leaderTerm) noteHeartbeat(w *workflow.Worker, remaining time.Duration) {
	gone := false
	t.c.state.read(func(s *workflow.State) {
		gone = s.Workers[w.ID] != nil && s.Workers[w.ID].Gone || s.Superseded(w)
	})
	if gone || t.ctx.Err() != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.sessions[w.ID]
	if s == nil {
		s = t.addSession(*w, nil)
		t.takeOverPredecessors(s)
		t.spawn(s.run)
		t.probeAddress(w)
	}
	s.revokeLeaving(w)
	s.heartbeatAt = time.Now()
	s.worker.Draining = s.worker.Draining || w.Draining
	if remaining > 0 {
		s.leavesAt = s.heartbeatAt.Add(remaining)
	}
	t.wake()
}

// monitors reports whether a worker's incarnation is looked after.
func (t *leaderTerm) monitors(worker string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sessions[worker] != nil
}

// probeAddress lets sessions with other incarnations at the same address find
// out at once that theirs is over. t.mu is held.
func (t *leaderTerm) probeAddress(w *workflow.Worker) {
	for _, other := range t.sessions {
		if other.worker.Address == w.Address && other.worker.ID != w.ID {
			other.interruptPoll()
		}
	}
}

// probe looks at a worker that says that it ends.
func (t *leaderTerm) noteLeaving(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.sessions[id]; s != nil {
		s.leaving, s.leavingSince = true, time.Now()
		s.interruptPoll()
	}
}

// hasStarted reports whether a worker has shown that a run of the job is alive.
func (t *leaderTerm) hasStarted(job string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.startedJobs[job]
}

func (t *leaderTerm) noteAccepted(job string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.acceptedAt[job] = at
	t.markChanged(job)
}

// propose commits a command of this tenure. A failure ends nothing here: the
// tenure ends by itself when the leadership does.
//
// Failure guarded against: the log's goroutine is held up for some milliseconds, and
// nothing shows that the member still leads. The log refuses what is proposed at that
// moment, though the tenure goes on, and each start and end among it is lost. It has done
// nothing, so the command is proposed again once the log has told that it still leads.
func (t *leaderTerm) propose(command *workflow.Command) (workflow.Result, error) {
	result, err := t.c.propose(t.ctx, command)
	for errors.Is(err, link.ErrNotLeader) && t.confirmLeadership() {
		t.c.cfg.Counters.Add("commits_repeated", 1)
		result, err = t.c.propose(t.ctx, command)
	}
	if err != nil && t.ctx.Err() == nil {
		t.logger.Log("event", "commit", "outcome", "failed", "err", err)
	}
	return result, err
}

// confirmLeadership waits until the log has told whether this member leads, and reports whether
// it does in the term of this tenure.
func (t *leaderTerm) confirmLeadership() bool {
	if t.c.catchUp(t.ctx) != nil {
		return false
	}
	return t.ctx.Err() == nil && t.c.log.Status().Term == t.fence
}

// forgetLoop drops what ended jobs no longer need.
func (t *leaderTerm) forgetLoop() {
	for wait.For(t.ctx, forgetInterval) {
		if t.c.heartbeats != nil {
			t.c.heartbeats.forget(t.monitors)
		}
		if old := t.forget(time.Now()); len(old) > 0 {
			// A failure is logged by propose; the jobs are found again next time.
			_, _ = t.propose(&workflow.Command{Forget: old})
		}
	}
}

// forget drops the permits of jobs that have ended, which are the largest part
// of what a tenure knows of them, and returns the jobs that need no longer be
// shown.
func (t *leaderTerm) forget(now time.Time) (old []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.c.state.read(func(s *workflow.State) {
		for id, job := range s.Jobs {
			if !job.Ended() {
				continue
			}
			if t.endedAt[id].IsZero() {
				t.endedAt[id] = now
			}
			if now.Sub(t.endedAt[id]) > t.c.cfg.Bounds.EndedJobRetention+forgetInterval {
				old = append(old, id)
			}
		}
		for key := range t.permits {
			if job := s.Jobs[key.Job]; job == nil || job.Ended() {
				delete(t.permits, key)
			}
		}
	})
	for _, id := range old {
		delete(t.endedAt, id)
		delete(t.acceptedAt, id)
		delete(t.startedJobs, id)
		delete(t.loggedEnds, id)
	}
	return old
}
