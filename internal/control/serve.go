package control

import (
	"context"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/admission"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/link"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// commitTimeout bounds a call that waits for the log. A commit takes one disk sync, and
// the total timeout of a client is 3 s.
const commitTimeout = 2 * time.Second

// noConfigurationRetryAfter is the retry delay sent to callers before the first
// configuration has been committed. The sender of that configuration repeats it until it
// is accepted.
const noConfigurationRetryAfter = time.Second

// changedQueueRetryAfter is the retry delay sent to callers of a queue that has just changed.
const changedQueueRetryAfter = time.Second

// Register registers the handlers of the controller's calls on mux.
func (c *Controller) Register(mux *link.Mux) {
	link.Handle(mux, MethodSubmit, c.Submit)
	link.Handle(mux, MethodState, c.State)
	link.Handle(mux, MethodEnded, c.Ended)
	link.Handle(mux, MethodCancel, c.Cancel)
	link.Handle(mux, MethodAnnounce, c.Announce)
	link.Handle(mux, MethodLeave, c.Leave)
	link.Handle(mux, MethodConfigure, c.Configure)
	link.Handle(mux, MethodConfiguration, c.Configuration)
	link.Handle(mux, MethodAnnounceInstance, c.AnnounceInstance)
	link.Handle(mux, MethodStartWave, c.StartWave)
	link.Handle(mux, MethodWaveState, c.WaveState)
	link.Handle(mux, MethodExplain, c.Explain)
	link.Handle(mux, MethodCustomers, c.Customers)
	mux.SetVersion(c.configurationVersion)
}

// configurationVersion returns the version of the configuration that is in force according
// to the local state.
func (c *Controller) configurationVersion() (configurationVersion uint64) {
	c.state.read(func(s *workflow.State) { configurationVersion = s.Configuration.Version })
	return configurationVersion
}

// target is what a call is about, and who makes it.
type target struct {
	queue workflow.Queue
	// id is the ID of the job; it is empty if the call names only a queue.
	id string
	// customer is the name of the customer that calls; empty for a caller who needed no key.
	// operator says that an operator calls.
	customer string
	operator bool
	// versions are the versions of the configuration that give the call this target.
	versions link.Versions
}

// checkAlikeSince returns an error of kind Unavailable if the call would have had another target under
// a version from since on; 0 stands for the version in force.
//
// The calling instance has just responded by that version. It couldn't pass the response to this call on,
// and its caller wouldn't learn what became of the call.
func (t *target) checkAlikeSince(since uint64) error {
	if since == 0 || t.versions.Oldest <= since {
		return nil
	}
	return fault.Retry(fault.Unavailable, changedQueueRetryAfter, "the queue or its keys have just changed")
}

// mayAccess reports whether the caller may see and cancel a job. A job of another customer is
// treated as if it didn't exist.
func (t *target) mayAccess(job *workflow.Job) bool {
	return job != nil && job.Queue == t.queue.Identity() && (t.operator || job.VisibleTo(t.customer))
}

// resolveOnLeader returns the current leader term and the target of a call.
func (c *Controller) resolveOnLeader(ctx context.Context, address JobAddress, principal Principal) (*leaderTerm, target, error) {
	t, err := c.currentLeaderTerm(ctx)
	if err != nil {
		return nil, target{}, err
	}
	called, err := c.resolve(ctx, address, principal)
	return t, called, err
}

// catchUp waits until every command that was committed before the call has been applied
// here. It returns a not-leader error when the log can't confirm the leadership.
func (c *Controller) catchUp(ctx context.Context) error {
	if err := c.log.Barrier(ctx); err != nil {
		return link.NotLeader(c.cfg.Leader())
	}
	return nil
}

// resolve returns the target of a call. It returns NotFound and Denied only after a log barrier has
// shown that the local configuration is the newest: a queue or a key may just have been added.
func (c *Controller) resolve(ctx context.Context, address JobAddress, principal Principal) (target, error) {
	called, err := c.lookUp(ctx, address, principal)
	if !fault.Is(err, fault.NotFound) && !fault.Is(err, fault.Denied) {
		return called, err
	}
	if err := c.catchUp(ctx); err != nil {
		return target{}, err
	}
	return c.lookUp(ctx, address, principal)
}

// lookUp returns the target of a call according to the local configuration, and records the version
// of that configuration for the response.
func (c *Controller) lookUp(ctx context.Context, address JobAddress, principal Principal) (found target, err error) {
	c.state.read(func(s *workflow.State) {
		if s.Configuration.Source == nil {
			err = fault.Retry(fault.Unavailable, noConfigurationRetryAfter, "no configuration yet")
			return
		}
		queue, id := address.find(&s.Configuration)
		versions := versionsOf(s, queue, address, principal)
		link.RecordVersions(ctx, versions)
		if queue == nil {
			err = fault.New(fault.NotFound, "no queue at %s%s%s", address.Host, address.Path, address.Queue)
			return
		}
		found = target{queue: *queue, id: id, operator: principal.Operator, versions: versions}
		found.customer, err = identify(s, queue, principal)
	})
	return found, err
}

// versionsOf returns the versions of the configuration under which a call has the same target: queue, nil
// for none.
func versionsOf(s *workflow.State, queue *workflow.Queue, address JobAddress, principal Principal) link.Versions {
	newest := s.Configuration.Version
	if queue == nil && address.Queue != "" {
		// When a name was last in use isn't known.
		return link.Versions{Oldest: newest, Newest: newest}
	}
	return link.Versions{Oldest: s.UnchangedSince(queue, address.Host, address.Path, principal.Key), Newest: newest}
}

// identify returns the name of the customer that a call is made for. It returns Denied if the queue
// requires a key and the call has none that a customer has.
func identify(s *workflow.State, queue *workflow.Queue, principal Principal) (string, error) {
	if principal.Operator {
		return "", nil
	}
	name, ok := s.Identify(queue, principal.Key)
	if !ok {
		return "", fault.New(fault.Denied, "the queue requires the key of a customer")
	}
	return name, nil
}

// Submit stores a job. It returns once a majority of the replicas has the job on disk. A
// job that is already stored succeeds again if it belongs to the same queue.
func (c *Controller) Submit(ctx context.Context, r *SubmitCall) (SubmitReply, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	t, called, err := c.resolveOnLeader(ctx, r.Address, r.Principal)
	if err != nil {
		return SubmitReply{}, err
	}
	if err := called.checkAlikeSince(r.AlikeSince); err != nil {
		return SubmitReply{}, err
	}
	queue, id := called.queue, called.id
	if err := checkSubmission(id, r); err != nil {
		return SubmitReply{}, err
	}
	start := time.Now()
	submission := workflow.Submission{
		ID: id, Queue: queue.Identity(), Payload: r.Payload, Steps: r.Steps, Schedule: r.Schedule, Policy: queue.Policy,
		Customer: called.customer,
	}
	done, err := t.admitSubmission(&submission, start)
	if err != nil {
		t.logRefused(&submission, queue.Name, err)
		return SubmitReply{}, err
	}
	defer done()
	result, err := c.propose(ctx, &workflow.Command{Submit: &submission})
	if err != nil {
		t.logger.Log("event", "submit", "job", id, "queue", queue.Name, "outcome", fault.KindOf(err), "err", err)
		return SubmitReply{}, err
	}
	switch result.Submit {
	case workflow.SubmitConflict:
		return SubmitReply{}, fault.New(fault.Conflict, "the id %s is taken", id)
	case workflow.SubmitInvalid:
		return SubmitReply{}, fault.Field("job", "refused by the replicated state")
	}
	known := result.Submit == workflow.SubmitKnown
	if !known {
		t.recordAccepted(id, start)
		c.cfg.Counters.Add("jobs_accepted", 1)
	}
	t.logger.Log("event", "submit", "job", id, "queue", queue.Name, "outcome", "accepted", "known", known,
		"steps", len(r.Steps), "tasks", countTasks(r.Steps), "work_core_ms", estimatedCoreMS(r.Steps), "commit_ms", time.Since(start).Milliseconds())
	return SubmitReply{Known: known}, nil
}

// checkSubmission returns a fault for a job that can't be accepted. Instances check what their callers send, in their
// callers' terms; this check also bounds what the log holds of the calls of any other process.
func checkSubmission(id string, r *SubmitCall) error {
	if id == "" {
		return fault.Field("id", "a job needs an id")
	}
	if len(id) > workflow.MaxIDBytes || !utf8.ValidString(id) {
		return fault.Field("id", "not UTF-8 text of at most %d bytes", workflow.MaxIDBytes)
	}
	var invalid *workflow.CheckError
	if errors.As(workflow.Check(r.Payload, r.Steps, r.Schedule), &invalid) {
		return fault.Field(string(invalid.Field), "%s", invalid.Message)
	}
	return nil
}

// countTasks returns the number of tasks of all steps.
func countTasks(steps []workflow.Step) (tasks int) {
	for i := range steps {
		tasks += steps[i].Count
	}
	return tasks
}

// estimatedCoreMS returns the estimated work of all steps in core-milliseconds.
func estimatedCoreMS(steps []workflow.Step) (total int64) {
	for i := range steps {
		work := admission.WorkOf(steps[i].Demand(), workflow.Resources{}, steps[i].Count, steps[i].EstimateMS)
		total += work.OnWorkers.MilliCPU / 1000
	}
	return total
}

// State returns the phase of a job, or the number of waiting jobs of a queue.
func (c *Controller) State(ctx context.Context, r *StateCall) (StateReply, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	t, called, err := c.resolveOnLeader(ctx, r.Address, r.Principal)
	if err != nil {
		return StateReply{}, err
	}
	if called.id == "" {
		return StateReply{Queue: true, Waiting: c.countWaitingJobs(t, called.queue.Identity())}, nil
	}
	phase, err := c.confirmedPhase(ctx, &called)
	if err != nil {
		return StateReply{}, err
	}
	if !phase.Ended() {
		t.awaitEnd(ctx, called.id)
		if phase, err = c.confirmedPhase(ctx, &called); err != nil {
			return StateReply{}, err
		}
	}
	if phase == workflow.PhasePending && t.hasStarted(called.id) {
		phase = workflow.PhaseActive
	}
	return StateReply{Phase: phase}, nil
}

// Ended returns the phase of a job that has ended. Any instance that knows a leader may
// respond, since the phase of an ended job never changes, if it has applied the version of the
// configuration that the call names. The caller must know that version to be the newest.
//
// Callers query the state of their jobs two or three times as often as they submit one,
// mostly after the end.
func (c *Controller) Ended(ctx context.Context, r *EndedCall) (EndedReply, error) {
	if c.log.Status().Leader == "" || c.configurationVersion() < r.Version {
		return EndedReply{}, nil
	}
	called, err := c.lookUp(ctx, r.Address, r.Principal)
	if err != nil || called.id == "" {
		// The caller asks the leader next, which responds after a log barrier.
		return EndedReply{}, nil
	}
	phase, ok := c.phase(&called)
	if !ok || !phase.Ended() {
		return EndedReply{}, nil
	}
	return EndedReply{Known: true, Phase: phase}, nil
}

// confirmedPhase returns the phase of the job that a call names. It returns the error for an
// unknown job only after a log barrier has shown that the local state is up to date.
func (c *Controller) confirmedPhase(ctx context.Context, called *target) (workflow.Phase, error) {
	if phase, ok := c.phase(called); ok {
		return phase, nil
	}
	if err := c.catchUp(ctx); err != nil {
		return 0, err
	}
	phase, ok := c.phase(called)
	if !ok {
		return 0, unknownJob(called.id)
	}
	return phase, nil
}

// unknownJob returns the error for a job that doesn't exist.
func unknownJob(id string) error { return fault.New(fault.Cancelled, "no job %s", id) }

// phase returns the phase of the job that a call names in the local state; ok is false if there is
// no such job that the caller may access.
func (c *Controller) phase(called *target) (phase workflow.Phase, ok bool) {
	c.state.read(func(s *workflow.State) {
		if job := s.Jobs[called.id]; called.mayAccess(job) {
			phase, ok = job.Phase(), true
		}
	})
	return phase, ok
}

// countWaitingJobs counts the accepted jobs of a queue of which no task has started on a
// worker.
func (c *Controller) countWaitingJobs(t *leaderTerm, queue string) (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.state.read(func(s *workflow.State) {
		for id, job := range s.OpenJobsOf(queue) {
			if !job.Started && !t.startedJobs[id] {
				n++
			}
		}
	})
	return n
}

// Cancel cancels a job. It returns after the commit; the runs of the job are stopped
// afterwards.
func (c *Controller) Cancel(ctx context.Context, r *CancelCall) (Empty, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	t, called, err := c.resolveOnLeader(ctx, r.Address, r.Principal)
	if err != nil {
		return Empty{}, err
	}
	if err := called.checkAlikeSince(r.AlikeSince); err != nil {
		return Empty{}, err
	}
	if _, err := c.confirmedPhase(ctx, &called); err != nil {
		return Empty{}, err
	}
	_, err = c.propose(ctx, &workflow.Command{Cancel: called.id})
	t.logger.Log("event", "cancel", "job", called.id, "err", err)
	return Empty{}, err
}

// Configure commits a version of the configuration.
func (c *Controller) Configure(ctx context.Context, r *ConfigureCall) (Empty, error) {
	if len(r.Document.Services) > workflow.MaxServices {
		return Empty{}, fault.Field("services", "%d services, at most %d are allowed", len(r.Document.Services), workflow.MaxServices)
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	t, err := c.currentLeaderTerm(ctx)
	if err != nil {
		return Empty{}, err
	}
	result, err := c.propose(ctx, &workflow.Command{Configuration: &r.Document})
	t.logger.Log("event", "configuration", "version", r.Document.Version, "in_force", result.InForce.Version, "err", err)
	return Empty{}, err
}

// Configuration returns the configuration in force, after a log barrier has shown that it
// is the newest.
func (c *Controller) Configuration(ctx context.Context, _ *Empty) (ConfigurationReply, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if _, err := c.currentLeaderTerm(ctx); err != nil {
		return ConfigurationReply{}, err
	}
	if err := c.catchUp(ctx); err != nil {
		return ConfigurationReply{}, err
	}
	var reply ConfigurationReply
	c.state.read(func(s *workflow.State) {
		reply = ConfigurationReply{Version: s.Configuration.Version, Source: s.Configuration.Source}
	})
	if reply.Source == nil {
		return ConfigurationReply{}, fault.Retry(fault.Unavailable, noConfigurationRetryAfter, "no configuration yet")
	}
	return reply, nil
}

// StartWave commits a maintenance wave: a set of machines that go down for maintenance in
// turn, at most MaxDown at a time.
func (c *Controller) StartWave(ctx context.Context, r *WaveCall) (Empty, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	t, err := c.currentLeaderTerm(ctx)
	if err != nil {
		return Empty{}, err
	}
	wave := r.Wave
	if invalid := workflow.CheckWave(&wave); invalid != nil {
		return Empty{}, fault.Field(string(invalid.Field), "%s", invalid.Message)
	}
	wave.AcceptedAtMS = time.Now().UnixMilli()
	_, err = c.propose(ctx, &workflow.Command{Wave: &wave})
	t.logger.Log("event", "wave", "wave", wave.ID, "machines", len(wave.Machines), "at_once", wave.MaxDown,
		"duration_ms", wave.DurationMS, "err", err)
	t.recordWaveAccepted(wave.ID)
	return Empty{}, err
}

// WaveState returns the progress of a wave. It reports a wave as unknown only after a log
// barrier has shown that the local state is up to date.
func (c *Controller) WaveState(ctx context.Context, r *WaveStateCall) (WaveStateReply, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if _, err := c.currentLeaderTerm(ctx); err != nil {
		return WaveStateReply{}, err
	}
	if err := c.catchUp(ctx); err != nil {
		return WaveStateReply{}, err
	}
	reply, found := WaveStateReply{}, false
	c.state.read(func(s *workflow.State) {
		if wave := s.Wave(r.ID); wave != nil {
			reply.Done, found = wave.Done(), true
			for _, machine := range wave.Machines {
				maintenance := wave.Maintenances[machine]
				maintenance.Machine = machine
				reply.Maintenances = append(reply.Maintenances, maintenance)
			}
		}
	})
	if !found {
		return WaveStateReply{}, fault.New(fault.NotFound, "no wave %d", r.ID)
	}
	return reply, nil
}

// AnnounceInstance records the announcement of an instance. It returns the addresses of
// the core members, the version of the configuration and the time until the next
// announcement.
func (c *Controller) AnnounceInstance(ctx context.Context, r *AnnounceInstanceCall) (AnnounceInstanceReply, error) {
	t, err := c.currentLeaderTerm(ctx)
	if err != nil {
		return AnnounceInstanceReply{}, err
	}
	t.recordInstance(r.Address, time.Now())
	version := c.configurationVersion()
	link.RecordVersions(ctx, link.Versions{Oldest: version, Newest: version})
	return AnnounceInstanceReply{Members: c.cfg.Members(), Version: version, Pause: t.adviserConns.announceInterval()}, nil
}
