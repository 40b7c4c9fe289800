package control

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/bilberryferry/bilberryferry/admission"
	"github.com/bilberryferry/bilberryferry/dispatch"
	"github.com/bilberryferry/bilberryferry/internal/link"
	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/speed"
	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// driftFactor allows for a worker's monotonic clock that runs up to 2 % slower than the
	// clock of this process.
	driftFactor = 1 / 0.98
	// leaseSlack is added to each worker's lease before it counts as expired. It covers the
	// round trip of a call and the scheduling delay of both processes.
	leaseSlack = 300 * time.Millisecond
	// predecessorSlack is how long after the start of this leader term the previous leader
	// may still have granted leases: until its right to decide lapsed, at most one election
	// timeout.
	predecessorSlack = 1500 * time.Millisecond
	// planInterval is the longest time between two decisions. Jobs become due and leases
	// expire without an event that triggers a decision.
	planInterval = 100 * time.Millisecond
	// cleanupInterval is the time between two removals of ended jobs.
	cleanupInterval = 5 * time.Second
)

// leaderTerm is the state of one period of leadership of this member. Nothing in it
// outlives the leadership.
type leaderTerm struct {
	c   *Controller
	ctx context.Context
	// end cancels ctx, which ends the leader term.
	end func()
	// fence is the fencing token of all orders of this leader term: its term in the log.
	fence   uint64
	started time.Time
	// suspendedBefore is how long the machine had been suspended, in total, before the log
	// confirmed the leadership.
	suspendedBefore time.Duration
	suspendedTime   func() (time.Duration, error)
	// lease is the duration of the leases that this leader term grants to workers.
	lease        time.Duration
	logger       log.Logger
	disabled     dispatch.Disabled
	adviserConns *adviserPool
	// wakePlanner requests a full decision.
	wakePlanner chan struct{}
	// jobsChanged signals that changedJobs isn't empty.
	jobsChanged chan struct{}
	goroutines  goroutineGroup
	view        *workerView
	// Only planLoop uses the following fields. yielder is that of the current decision.
	// loadLoggedAt is when the load was last logged, decisions counts the full decisions. leftoverWorkers holds the workers with
	// the free resources that the last full decision left over, leftoverAt is its time.
	// backlog says that more steps waited than that decision considered. firstSkippedStep
	// is the most urgent step that it didn't consider.
	yielder          *yielder
	loadLoggedAt     time.Time
	decisions        int
	leftoverWorkers  []dispatch.Worker
	leftoverAt       time.Time
	backlog          bool
	firstSkippedStep *dispatch.Step

	mu sync.Mutex
	// queuedSteps is how many ready steps had tasks to start at the last full decision, without
	// speculative copies and steps that wait only for their customer's limit.
	queuedSteps int
	// queuedByCustomer counts the queued steps of each customer, including those that wait only for
	// their customer's limit; the empty name stands for none.
	queuedByCustomer map[string]int
	// shedder decides which new jobs are refused while this process is short of processor.
	shedder admission.Shedder
	// admission estimates the waits of new jobs; it is nil without load control. The other
	// fields hold what reportAdmission needs.
	admission         *admission.Estimator
	admissionSnapshot admission.Snapshot
	admissionCounts   admissionCounts
	admissionLoggedAt time.Time
	// submissions counts submissions by customer since the start of the term; the empty name stands
	// for none. customerGaugesAt is when the gauges by customer were last set.
	submissions      map[string]*SubmissionCounts
	customerGaugesAt time.Time
	// usableCapacity is the capacity of the workers that the last full decision could use.
	usableCapacity workflow.Resources
	// survey sums up the workers of a large fleet; nil before the first survey.
	survey *fleetSurvey
	// responseTime is the moving mean of the response times of start calls, minResponseTime
	// is the shortest of them.
	responseTime, minResponseTime time.Duration
	// callLostAt is when a call was last found to have been lost.
	callLostAt time.Time
	// reasonsAt is when a decision last determined why each gang waits. Only planLoop uses it.
	reasonsAt time.Time
	// runsCheckedAt is when all runs were last checked for stops and copies, runCheckInterval
	// the time until the next check.
	runsCheckedAt    time.Time
	runCheckInterval time.Duration
	// waiting holds the reason and the waiting time of each waiting step. stepsBeyondBound
	// is how many further steps the last decision didn't consider.
	waiting          map[workflow.StepKey]*waitingStep
	stepsBeyondBound int
	// gatheredSteps is the number of steps in the input of the last full decision.
	gatheredSteps int
	// sessions holds the session of each monitored worker, by the ID of its incarnation.
	sessions map[string]*workerSession
	// openStarts holds, by worker name, the runs that have ended although a call of their
	// start got no response, with the time of that end. A later incarnation of the worker may
	// carry out such a call.
	openStarts map[string]map[workflow.Run]time.Time
	permits    map[workflow.StepKey]*stepPermits
	// refusals holds the steps of which workers have refused starts.
	refusals map[workflow.StepKey]stepRefusals
	// grantRates is the moving mean of the share of workers that the adviser permits, by
	// queue.
	grantRates map[string]movingMean
	// dataCentreRespondedAt is when a worker last responded, by data centre.
	dataCentreRespondedAt map[string]time.Time
	// dataCentreSuspectedAt is when each data centre was last suspected to be unreachable. A
	// data centre is removed once the regained contact has been logged.
	dataCentreSuspectedAt map[string]time.Time
	// acceptedAt is when each submit call that this leader term accepted arrived. The state
	// machine has the times of other jobs; see acceptedTime.
	acceptedAt map[string]time.Time
	// pendingSubmits counts the submit calls in progress, by job ID.
	pendingSubmits map[string]int
	// jobMemory is counted again in each round of cleanupLoop.
	jobMemory jobMemory
	// loggedEnds holds the jobs whose end has been logged.
	loggedEnds map[string]bool
	// endWaits holds the callers that wait for the end of a job.
	endWaits endWaits
	// changedJobs holds the jobs that changed since the last decision.
	changedJobs map[string]bool
	// earmarked holds the workers on which the last decision earmarked free resources for a
	// gang.
	earmarked map[string]bool
	// startedJobs holds the jobs with at least one run that a worker has acknowledged or
	// reported.
	startedJobs map[string]bool
	// endedAt is when this leader term first saw that a job had ended.
	endedAt map[string]time.Time
	// pace is the moving mean over all workers of run time divided by estimate.
	pace movingMean
	// learners learn the speeds of the workers, by service. speedsAt is when the workers were
	// last classified, and speedsInFlight says that a change of the slow workers is being
	// committed.
	learners       map[string]*speed.Learner
	speedsAt       time.Time
	speedsInFlight bool
	// proposedStarts maps each task whose start is being committed to its worker.
	proposedStarts map[workflow.TaskKey]string
	machines       *machines
	poolMoves      *poolMoves
	// checkpoints are the latest checkpoints that live runs reported.
	checkpoints map[workflow.TaskKey]string
	// unaccountedSince holds the time since which each unaccounted run has had no pending
	// event that would report its end; see accountsFor.
	unaccountedSince map[workflow.Run]time.Time
	runCounts        runCounts
}

// newLeaderTerm returns a leader term with a session for each worker in the replicated
// state that isn't gone. end must cancel ctx; term becomes the fencing token of its
// orders.
func newLeaderTerm(ctx context.Context, end func(), c *Controller, term uint64) *leaderTerm {
	t := &leaderTerm{
		c: c, ctx: ctx, end: end, fence: term, started: time.Now(), suspendedTime: c.suspendedTime,
		logger:                log.With(c.cfg.Logger, "term", term),
		disabled:              c.cfg.Disabled,
		wakePlanner:           make(chan struct{}, 1),
		jobsChanged:           make(chan struct{}, 1),
		changedJobs:           map[string]bool{},
		sessions:              map[string]*workerSession{},
		openStarts:            map[string]map[workflow.Run]time.Time{},
		permits:               map[workflow.StepKey]*stepPermits{},
		refusals:              map[workflow.StepKey]stepRefusals{},
		grantRates:            map[string]movingMean{},
		dataCentreRespondedAt: map[string]time.Time{},
		dataCentreSuspectedAt: map[string]time.Time{},
		acceptedAt:            map[string]time.Time{},
		pendingSubmits:        map[string]int{},
		loggedEnds:            map[string]bool{},
		endWaits:              newEndWaits(),
		startedJobs:           map[string]bool{},
		endedAt:               map[string]time.Time{},
		checkpoints:           map[workflow.TaskKey]string{},
		proposedStarts:        map[workflow.TaskKey]string{},
		submissions:           map[string]*SubmissionCounts{},
		view:                  newWorkerView(),
	}
	if suspended, err := t.suspendedTime(); err == nil {
		t.suspendedBefore = suspended
	}
	if c.cfg.LoadControl {
		t.admission, t.admissionCounts = admission.NewEstimator(), newAdmissionCounts()
	}
	t.lease = leaseLength(c.cfg.Bounds)
	t.machines, t.poolMoves = newMachines(), newPoolMoves()
	t.adviserConns = newAdviserPool(c.cfg.Address, c.cfg.Adviser, c.cfg.Client, c.cfg.LoadControl, t.started)
	c.state.read(func(s *workflow.State) {
		for id, worker := range s.Workers {
			if !worker.Gone {
				t.addSession(worker.Worker, s.Runs[id])
			}
		}
		for _, session := range t.sessions {
			t.linkToSuccessor(session, s)
		}
		if c.cfg.LoadControl {
			t.adviserConns.addKnown(s.Instances, t.started)
		}
	})
	return t
}

// leaseLength returns the lease that the leader grants: the longest that workers accept,
// less the slack. With a long lease, runs survive a network partition and their ends
// still count when it heals. In return, tasks on a worker that never returns stay blocked
// for that time. A worker that crashed usually returns earlier as another incarnation,
// which shows immediately that its runs have ended.
func leaseLength(b Bounds) time.Duration { return b.MaxLease - leaseSlack }

// leaseUpperBound returns how long a lease may last by the clock of this process if the
// worker measures it by its own clock.
func leaseUpperBound(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*driftFactor) + leaseSlack
}

// run does the leader's work until the leader term ends.
func (t *leaderTerm) run() {
	t.mu.Lock()
	for _, s := range t.sessions {
		t.spawn(s.run)
	}
	t.mu.Unlock()
	t.spawn(t.cleanupLoop)
	t.spawn(t.surveyLoop)
	if t.c.cfg.LoadControl && t.c.cfg.SchedulingDelay != nil {
		t.spawn(t.shedLoop)
	}
	if t.c.cfg.Machines != nil {
		t.spawn(t.machineLoop)
	}
	t.planLoop()
	t.goroutines.wait()
	t.clearCustomerGauges()
}

// spawn runs f in a goroutine that run waits for.
func (t *leaderTerm) spawn(f func()) { t.goroutines.start(f) }

// onApply records the workers that a committed command changes, and makes the planner decide
// again.
func (t *leaderTerm) onApply(command *workflow.Command) {
	t.view.markCommand(command)
	t.wake()
}

// wake makes the planner decide again.
func (t *leaderTerm) wake() {
	select {
	case t.wakePlanner <- struct{}{}:
	default:
	}
}

// addSession adds a session for a worker; the caller starts its run method. inherited are
// the worker's runs that earlier leaders may have ordered. t.mu must be held, or t isn't
// shared yet.
func (t *leaderTerm) addSession(w workflow.Worker, inherited map[workflow.TaskKey]workflow.Run) *workerSession {
	s := &workerSession{
		t: t, worker: w,
		inherited:       map[workflow.TaskKey]int{},
		orders:          map[workflow.TaskKey]*runOrder{},
		uncommittedEnds: map[workflow.TaskKey]workflow.RunEnd{},
		endsKnown:       map[workflow.TaskKey]int{},
		unknownRuns:     map[workflow.Run]time.Time{},
		heartbeatAt:     time.Now(),
		// The first response may come from an incarnation that the log doesn't have.
		incarnationUnconfirmed: true,
		throttle:               throttle{share: fullShare},
		startSlots:             make(chan struct{}, maxConcurrentStarts),
		// The previous leader may have granted a full lease just before its right to decide
		// ended.
		leaseEnd: t.started.Add(leaseUpperBound(t.lease) + predecessorSlack),
	}
	for task, run := range inherited {
		s.inherited[task] = run.Number
	}
	t.sessions[w.ID] = s
	t.view.markChanged(w.ID)
	return s
}

// recordHeartbeat records a heartbeat of a worker and starts monitoring the worker if
// needed. remaining is the shortest time for which a draining worker keeps running, 0 if
// unknown.
func (t *leaderTerm) recordHeartbeat(w *workflow.Worker, remaining time.Duration) {
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
		s.stopOpenStarts()
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

// monitors reports whether this leader term monitors the incarnation.
func (t *leaderTerm) monitors(worker string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sessions[worker] != nil
}

// probeAddress polls all other incarnations at the worker's address immediately, so that
// their sessions detect the end of these incarnations. t.mu must be held.
func (t *leaderTerm) probeAddress(w *workflow.Worker) {
	for _, other := range t.sessions {
		if other.worker.Address == w.Address && other.worker.ID != w.ID {
			other.interruptPoll()
		}
	}
}

// hasStarted reports whether a worker has acknowledged or reported a run of the job.
func (t *leaderTerm) hasStarted(job string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.startedJobs[job]
}

// recordAccepted records that a job was accepted and marks it as changed.
func (t *leaderTerm) recordAccepted(job string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.acceptedAt[job] = at
	t.markJobChanged(job)
}

// acceptedTime returns when a job was accepted, in this leader term or in an earlier one.
// t.mu must be held, and only a function that was passed to StateMachine.read may call it.
func (t *leaderTerm) acceptedTime(job string) time.Time {
	if at, ok := t.acceptedAt[job]; ok {
		return at
	}
	return t.c.state.acceptedAt(job)
}

// propose commits a command in this leader term. An error doesn't end the leader term;
// only the loss of the leadership does.
//
// A short delay of the log's goroutine makes the log refuse commands although the member
// still leads. Without a retry, the starts and ends of runs in them would be lost. A
// refused command has had no effect, so it is proposed again once the log confirms the
// leadership.
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

// confirmLeadership waits until the log knows whether this member leads, and reports
// whether this leader term is still current.
func (t *leaderTerm) confirmLeadership() bool {
	if t.c.catchUp(t.ctx) != nil {
		return false
	}
	return t.ctx.Err() == nil && t.c.log.Status().Term == t.fence
}

// cleanupLoop periodically removes the mailboxes of workers that aren't monitored and the
// state of ended jobs.
func (t *leaderTerm) cleanupLoop() {
	for wait.For(t.ctx, cleanupInterval) {
		if t.c.heartbeats != nil {
			t.c.heartbeats.removeMailboxes(t.monitors)
		}
		if t.c.cfg.LoadControl {
			t.removeGoneInstances(time.Now())
		}
		if expired := t.expireEndedJobs(time.Now()); len(expired) > 0 {
			// propose logs the failure, and the next round finds the jobs again.
			_, _ = t.propose(&workflow.Command{DeleteJobs: expired})
		}
	}
}

// expireEndedJobs removes the permits of ended jobs, which take most of the memory that a
// leader term uses for a job. It returns the jobs whose retention has expired, and
// removes their remaining state.
func (t *leaderTerm) expireEndedJobs(now time.Time) (expired []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.countJobMemory()
	t.c.state.read(func(s *workflow.State) {
		for id, job := range s.Jobs {
			if !job.Ended() {
				continue
			}
			if t.endedAt[id].IsZero() {
				t.endedAt[id] = now
			}
			if now.Sub(t.endedAt[id]) > t.c.cfg.Bounds.EndedJobRetention+cleanupInterval && !job.HasLiveRuns() {
				expired = append(expired, id)
			}
		}
		hasEnded := func(key workflow.StepKey) bool {
			job := s.Jobs[key.Job]
			return job == nil || job.Ended()
		}
		maps.DeleteFunc(t.permits, func(key workflow.StepKey, _ *stepPermits) bool { return hasEnded(key) })
		maps.DeleteFunc(t.refusals, func(key workflow.StepKey, _ stepRefusals) bool { return hasEnded(key) })
	})
	for _, id := range expired {
		delete(t.endedAt, id)
		delete(t.acceptedAt, id)
		delete(t.startedJobs, id)
		delete(t.loggedEnds, id)
	}
	return expired
}
