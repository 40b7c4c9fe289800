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
	// planPause is the longest time between two decisions; due times and leases
	// change without an event.
	planPause = 100 * time.Millisecond
	// forgetPause is the time between two looks for ended jobs to forget.
	forgetPause = 5 * time.Second
)

// tenure is one leadership of this member.
type tenure struct {
	c       *Controller
	ctx     context.Context
	end     func()
	fence   uint64
	started time.Time
	// sleptBefore is how long the machine had been suspended when the tenure began.
	sleptBefore time.Duration
	sleepTime   func() (time.Duration, error)
	lease       time.Duration
	logger      log.Logger
	without     dispatch.Without
	lanes       *lanes
	kicked      chan struct{}
	// freshened says that there are fresh jobs.
	freshened chan struct{}
	tasks     tasks
	// loadAt is when the load was logged last, turn counts the decisions, left is what
	// the last whole decision has left over of the workers' room, leftAt its time, and
	// backlog says that more waited than it went into, next is the most urgent step of
	// those that it had no place for; all belong to planLoop.
	loadAt  time.Time
	turn    int
	left    []dispatch.Worker
	leftAt  time.Time
	backlog bool
	next    *dispatch.Step

	mu sync.Mutex
	// queued is how many steps were ready and not whole at the last decision.
	queued int
	// answerTime is a moving mean of how long starts take to be answered, quickest the
	// least that one took.
	answerTime, quickest time.Duration
	// lostAt is when a call was last found to have got lost.
	lostAt time.Time
	// sweptAt is when runs to stop or to copy were looked for last.
	sweptAt time.Time
	// waiting is what is known of the steps that wait, behind how many the last decision
	// didn't go into.
	waiting  map[workflow.StepKey]*waitingStep
	behind   int
	sessions map[string]*session
	permits  map[workflow.StepKey]*stepPermits
	// grantShares is, by queue, the share of workers asked about that the adviser has
	// permitted of late.
	grantShares map[string]movingMean
	// answered is when a worker of each data centre last answered.
	answered map[string]time.Time
	// suspected is when a data centre was last taken for cut off, of those that the
	// last line on it said so.
	suspected map[string]time.Time
	// accepted is when jobs were accepted; those of earlier tenures count from
	// the start of this one, in the order of the log.
	accepted map[string]time.Time
	// handedIn counts the calls that commit a job, by its ID.
	handedIn map[string]int
	// reported are jobs whose end was logged.
	reported map[string]bool
	// fresh are the jobs for which something has come up since the last decision.
	fresh map[string]bool
	// earmarked are the workers on which the last decision kept room for a gang.
	earmarked map[string]bool
	// begun are jobs of which a worker has acknowledged or listed a run.
	begun map[string]bool
	// ended is when this tenure first saw that a job had ended.
	ended map[string]time.Time
	// pace is that of all workers.
	pace movingMean
	// proposed are the starts that are being committed, by task.
	proposed map[workflow.TaskKey]string
	machines *machines
	fleet    *pools
	// checkpoints are the latest that running tasks reported.
	checkpoints map[workflow.TaskKey]string
	// unaccounted is since when runs have been unaccounted for; see accountsFor.
	unaccounted map[workflow.Run]time.Time
	runCounts   runCounts
}

func newTenure(ctx context.Context, end func(), c *Controller, term uint64) *tenure {
	t := &tenure{
		c: c, ctx: ctx, end: end, fence: term, started: time.Now(), sleepTime: sleepTime,
		logger:      log.With(c.cfg.Logger, "term", term),
		without:     c.cfg.Without,
		kicked:      make(chan struct{}, 1),
		freshened:   make(chan struct{}, 1),
		fresh:       map[string]bool{},
		sessions:    map[string]*session{},
		permits:     map[workflow.StepKey]*stepPermits{},
		grantShares: map[string]movingMean{},
		answered:    map[string]time.Time{},
		suspected:   map[string]time.Time{},
		accepted:    map[string]time.Time{},
		handedIn:    map[string]int{},
		reported:    map[string]bool{},
		begun:       map[string]bool{},
		ended:       map[string]time.Time{},
		checkpoints: map[workflow.TaskKey]string{},
		proposed:    map[workflow.TaskKey]string{},
	}
	if slept, err := t.sleepTime(); err == nil {
		t.sleptBefore = slept
	}
	t.lease = leaseLength(c.cfg.Bounds)
	t.machines, t.fleet = newMachines(), newPools()
	t.lanes = newLanes(c.cfg.Address, c.cfg.Adviser, c.cfg.Client)
	c.state.read(func(s *workflow.State) {
		for id, worker := range s.Workers {
			if !worker.Gone {
				t.addSession(worker.Worker, s.Runs[id])
			}
		}
		for _, session := range t.sessions {
			t.noteOutlived(session, s)
		}
	})
	return t
}

// leaseLength is the longest that a worker grants: work behind a cut goes on for
// as long, and its ends count when the cut has healed. A worker that is gone for good
// blocks its tasks for as long, but one that crashed is back under another incarnation
// before, which settles them at once.
func leaseLength(b Bounds) time.Duration { return b.LeaseMax - leaseSlack }

// lapsesWithin is how long by this process's clock a lease takes to end at most, whose length
// is measured by a worker's.
func lapsesWithin(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*driftFactor) + leaseSlack
}

// run works until the tenure ends.
func (t *tenure) run() {
	t.mu.Lock()
	for _, s := range t.sessions {
		t.goTask(s.run)
	}
	t.mu.Unlock()
	t.goTask(t.forgetLoop)
	if t.c.cfg.Machines != nil {
		t.goTask(t.machineLoop)
	}
	t.planLoop()
	t.tasks.wait()
}

func (t *tenure) goTask(f func()) { t.tasks.run(f) }

// kick wakes the planner.
func (t *tenure) kick() {
	select {
	case t.kicked <- struct{}{}:
	default:
	}
}

// addSession begins to look after a worker. inherited are the runs that earlier
// leaders may have ordered. t.mu is held, or t isn't shared yet.
func (t *tenure) addSession(w workflow.Worker, inherited map[workflow.TaskKey]workflow.Run) *session {
	s := &session{
		t: t, worker: w,
		inherited: map[workflow.TaskKey]int{},
		orders:    map[workflow.TaskKey]*order{},
		strangers: map[workflow.Run]time.Time{},
		heardAt:   time.Now(),
		// What answers first may be another life than the log knows.
		doubted:  true,
		throttle: throttle{share: wholeShare},
		starting: make(chan struct{}, startsAtOnce),
		// A predecessor may have given a whole lease just before its right ended.
		leaseEnd: t.started.Add(lapsesWithin(t.lease) + predecessorSlack),
	}
	for task, run := range inherited {
		s.inherited[task] = run.Number
	}
	t.sessions[w.ID] = s
	return s
}

// heard takes in an acknowledged heartbeat.
func (t *tenure) heard(w *workflow.Worker, remaining time.Duration) {
	gone := false
	t.c.state.read(func(s *workflow.State) {
		gone = s.Workers[w.ID] != nil && s.Workers[w.ID].Gone || s.Outlived(w)
	})
	if gone || t.ctx.Err() != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.sessions[w.ID]
	if s == nil {
		s = t.addSession(*w, nil)
		t.takeOverAll(s)
		t.goTask(s.run)
		t.probeAddress(w)
	}
	s.noteStays(w)
	s.heardAt = time.Now()
	s.worker.Draining = s.worker.Draining || w.Draining
	if remaining > 0 {
		s.leavesAt = s.heardAt.Add(remaining)
	}
	t.kick()
}

// looksAfter reports whether a worker's incarnation is looked after.
func (t *tenure) looksAfter(worker string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sessions[worker] != nil
}

// probeAddress lets sessions with other incarnations at the same address find
// out at once that theirs is over. t.mu is held.
func (t *tenure) probeAddress(w *workflow.Worker) {
	for _, other := range t.sessions {
		if other.worker.Address == w.Address && other.worker.ID != w.ID {
			other.hurry()
		}
	}
}

// probe looks at a worker that says that it ends.
func (t *tenure) probe(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.sessions[id]; s != nil {
		s.leaving, s.leftAt = true, time.Now()
		s.hurry()
	}
}

// hasBegun reports whether a worker has shown that a run of the job is alive.
func (t *tenure) hasBegun(job string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.begun[job]
}

func (t *tenure) noteAccepted(job string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.accepted[job] = at
	t.noteFresh(job)
}

// propose commits a command of this tenure. A failure ends nothing here: the
// tenure ends by itself when the leadership does.
//
// Failure guarded against: the log's goroutine is held up for some milliseconds, and
// nothing shows that the member still leads. The log refuses what is proposed at that
// moment, though the tenure goes on, and each start and end among it is lost. It has done
// nothing, so the command is proposed again once the log has told that it still leads.
func (t *tenure) propose(command *workflow.Command) (workflow.Result, error) {
	result, err := t.c.propose(t.ctx, command)
	for errors.Is(err, link.ErrNotLeader) && t.stillLeads() {
		t.c.cfg.Counters.Add("commits_repeated", 1)
		result, err = t.c.propose(t.ctx, command)
	}
	if err != nil && t.ctx.Err() == nil {
		t.logger.Log("event", "commit", "outcome", "failed", "err", err)
	}
	return result, err
}

// stillLeads waits until the log has told whether this member leads, and reports whether
// it does in the term of this tenure.
func (t *tenure) stillLeads() bool {
	if t.c.catchUp(t.ctx) != nil {
		return false
	}
	return t.ctx.Err() == nil && t.c.log.Status().Term == t.fence
}

// forgetLoop drops what ended jobs no longer need.
func (t *tenure) forgetLoop() {
	for wait.For(t.ctx, forgetPause) {
		if t.c.beats != nil {
			t.c.beats.forget(t.looksAfter)
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
func (t *tenure) forget(now time.Time) (old []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.c.state.read(func(s *workflow.State) {
		for id, job := range s.Jobs {
			if !job.Ended() {
				continue
			}
			if t.ended[id].IsZero() {
				t.ended[id] = now
			}
			if now.Sub(t.ended[id]) > t.c.cfg.Bounds.Shown+forgetPause {
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
		delete(t.ended, id)
		delete(t.accepted, id)
		delete(t.begun, id)
		delete(t.reported, id)
	}
	return old
}
