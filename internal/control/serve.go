package control

import (
	"context"
	"time"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/link"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// commitTimeout bounds a call that waits for the log. A commit takes one sync,
// and a client waits for 3 s in all.
const commitTimeout = 2 * time.Second

// noConfigurationRetryAfter is when a caller is told to come back that met no configuration:
// the first version is sent again until it is accepted.
const noConfigurationRetryAfter = time.Second

// Register serves the controller's calls on mux.
func (c *Controller) Register(mux *link.Mux) {
	link.Handle(mux, MethodSubmit, c.Submit)
	link.Handle(mux, MethodState, c.State)
	link.Handle(mux, MethodEnded, c.Ended)
	link.Handle(mux, MethodCancel, c.Cancel)
	link.Handle(mux, MethodAnnounce, c.Announce)
	link.Handle(mux, MethodLeave, c.Leave)
	link.Handle(mux, MethodConfigure, c.Configure)
	link.Handle(mux, MethodConfiguration, c.Configuration)
	link.Handle(mux, MethodFollow, c.Follow)
	link.Handle(mux, MethodStartWave, c.StartWave)
	link.Handle(mux, MethodWaveState, c.WaveState)
	link.Handle(mux, MethodExplain, c.Explain)
	mux.SetVersion(c.version)
}

// version is that of the configuration here.
func (c *Controller) version() (version uint64) {
	c.state.read(func(s *workflow.State) { version = s.Configuration.Version })
	return version
}

// addressed returns the tenure that decides on what a place names, with the queue
// and the rest of the path, which is a job's id or empty.
func (c *Controller) resolveOnLeader(ctx context.Context, address JobAddress) (*leaderTerm, workflow.Queue, string, error) {
	t, err := c.currentLeaderTerm(ctx)
	if err != nil {
		return nil, workflow.Queue{}, "", err
	}
	queue, id, err := c.resolve(ctx, address)
	return t, queue, id, err
}

// catchUp waits until all that was committed before the call is applied here.
func (c *Controller) catchUp(ctx context.Context) error {
	if err := c.log.Barrier(ctx); err != nil {
		return link.NotLeader(c.cfg.Leader())
	}
	return nil
}

// resolve finds the queue of a place. NotFound is said only after the log has
// shown that the configuration here is the newest.
func (c *Controller) resolve(ctx context.Context, address JobAddress) (workflow.Queue, string, error) {
	queue, id, err := c.lookUp(ctx, address)
	if !fault.Is(err, fault.NotFound) {
		return queue, id, err
	}
	if err := c.catchUp(ctx); err != nil {
		return workflow.Queue{}, "", err
	}
	return c.lookUp(ctx, address)
}

// lookUp finds the queue of a place in the configuration here, and notes by which
// version it answers.
func (c *Controller) lookUp(ctx context.Context, address JobAddress) (found workflow.Queue, id string, err error) {
	c.state.read(func(s *workflow.State) {
		if s.Configuration.Source == nil {
			err = fault.Retry(fault.Unavailable, noConfigurationRetryAfter, "no configuration yet")
			return
		}
		link.NoteVersion(ctx, s.Configuration.Version)
		queue, remaining, ok := s.Configuration.Resolve(address.Host, address.Path)
		if address.Queue != "" {
			queue, ok = s.Configuration.Queue(address.Queue)
			remaining = address.ID
		}
		if !ok {
			err = fault.New(fault.NotFound, "no queue at %s%s%s", address.Host, address.Path, address.Queue)
			return
		}
		found, id = *queue, remaining
	})
	return found, id, err
}

// Submit stores a job. It returns once a majority of the disks has it.
func (c *Controller) Submit(ctx context.Context, r *SubmitCall) (SubmitReply, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	t, queue, id, err := c.resolveOnLeader(ctx, r.Address)
	if err != nil {
		return SubmitReply{}, err
	}
	if id == "" {
		return SubmitReply{}, fault.Field("id", "a job needs an id")
	}
	if err := t.admit(id); err != nil {
		t.logger.Log("event", "submit", "job", id, "queue", queue.Name, "outcome", "refused", "err", err)
		return SubmitReply{}, err
	}
	defer t.beginSubmission(id)()
	start := time.Now()
	submission := workflow.Submission{
		ID: id, Queue: queue.Identity(), Payload: r.Payload, Steps: r.Steps, Schedule: r.Schedule, Policy: queue.Policy,
	}
	result, err := c.propose(ctx, &workflow.Command{Submit: &submission})
	if err != nil {
		t.logger.Log("event", "submit", "job", id, "queue", queue.Name, "outcome", fault.KindOf(err), "err", err)
		return SubmitReply{}, err
	}
	if result.Submit == workflow.SubmitConflict {
		return SubmitReply{}, fault.New(fault.Conflict, "job %s belongs to another queue", id)
	}
	known := result.Submit == workflow.SubmitKnown
	if !known {
		t.noteAccepted(id, start)
		c.cfg.Counters.Add("jobs_accepted", 1)
	}
	t.logger.Log("event", "submit", "job", id, "queue", queue.Name, "outcome", "accepted", "known", known,
		"steps", len(r.Steps), "commit_ms", time.Since(start).Milliseconds())
	return SubmitReply{Known: known}, nil
}

// State returns the phase of a job, or how many jobs of a queue wait.
func (c *Controller) State(ctx context.Context, r *StateCall) (StateReply, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	t, queue, id, err := c.resolveOnLeader(ctx, r.Address)
	if err != nil {
		return StateReply{}, err
	}
	if id == "" {
		return StateReply{Queue: true, Waiting: c.countWaitingJobs(t, queue.Identity())}, nil
	}
	phase, err := c.confirmedPhase(ctx, id, queue.Identity())
	if err != nil {
		return StateReply{}, err
	}
	if phase == workflow.PhasePending && t.hasStarted(id) {
		phase = workflow.PhaseActive
	}
	return StateReply{Phase: phase}, nil
}

// Ended returns the phase of a job that has ended, on any instance that hears a
// leader: what has ended stays so.
//
// Load that it answers: callers ask for their jobs two or three times as often as
// they hand one in, mostly after the end.
func (c *Controller) Ended(ctx context.Context, r *EndedCall) (EndedReply, error) {
	if c.log.Status().Leader == "" || c.version() < r.Version {
		return EndedReply{}, nil
	}
	queue, id, err := c.lookUp(ctx, r.Address)
	if err != nil || id == "" {
		// The leader says so, with proof.
		return EndedReply{}, nil
	}
	phase, ok := c.phase(id, queue.Identity())
	if !ok || phase < workflow.PhaseDone {
		return EndedReply{}, nil
	}
	return EndedReply{Known: true, Phase: phase}, nil
}

// confirmedPhase returns the phase of a queue's job. That it isn't known is said
// only after the log has shown that nothing is missing here.
func (c *Controller) confirmedPhase(ctx context.Context, id, queue string) (workflow.Phase, error) {
	if phase, ok := c.phase(id, queue); ok {
		return phase, nil
	}
	if err := c.catchUp(ctx); err != nil {
		return 0, err
	}
	phase, ok := c.phase(id, queue)
	if !ok {
		return 0, unknownJob(id)
	}
	return phase, nil
}

func unknownJob(id string) error { return fault.New(fault.Cancelled, "no job %s", id) }

func (c *Controller) phase(id, queue string) (phase workflow.Phase, ok bool) {
	c.state.read(func(s *workflow.State) {
		job := s.Jobs[id]
		if job != nil && job.Queue == queue {
			phase, ok = job.Phase(), true
		}
	})
	return phase, ok
}

// waiting counts the accepted jobs of a queue of which no worker has begun a task.
func (c *Controller) countWaitingJobs(t *leaderTerm, queue string) (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.state.read(func(s *workflow.State) {
		for id, job := range s.OpenJobs() {
			if job.Queue == queue && !job.Begun && !t.startedJobs[id] {
				n++
			}
		}
	})
	return n
}

// Cancel ends a job. The answer comes after the commit; runs are stopped then.
func (c *Controller) Cancel(ctx context.Context, r *CancelCall) (Empty, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	t, queue, id, err := c.resolveOnLeader(ctx, r.Address)
	if err != nil {
		return Empty{}, err
	}
	if _, err := c.confirmedPhase(ctx, id, queue.Identity()); err != nil {
		return Empty{}, err
	}
	_, err = c.propose(ctx, &workflow.Command{Cancel: id})
	t.logger.Log("event", "cancel", "job", id, "err", err)
	return Empty{}, err
}

// Configure stores a version of the configuration.
func (c *Controller) Configure(ctx context.Context, r *ConfigureCall) (Empty, error) {
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

// Configuration returns the newest version, after the log has shown that it is.
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

// StartWave stores a wave of maintenance; its machines go down one after the other.
func (c *Controller) StartWave(ctx context.Context, r *WaveCall) (Empty, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	t, err := c.currentLeaderTerm(ctx)
	if err != nil {
		return Empty{}, err
	}
	wave := r.Wave
	wave.AcceptedAtMS = time.Now().UnixMilli()
	_, err = c.propose(ctx, &workflow.Command{Wave: &wave})
	t.logger.Log("event", "wave", "wave", wave.ID, "machines", len(wave.Machines), "at_once", wave.MaxDown,
		"duration_ms", wave.DurationMS, "err", err)
	t.recordWaveAccepted(wave.ID)
	return Empty{}, err
}

// WaveState returns how far a wave has come. That it isn't known is said only
// after the log has shown that nothing is missing here.
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

// Follow answers an instance that stays in touch.
func (c *Controller) Follow(ctx context.Context, r *FollowCall) (FollowReply, error) {
	t, err := c.currentLeaderTerm(ctx)
	if err != nil {
		return FollowReply{}, err
	}
	t.adviserConns.recordAnnouncement(r.Address, time.Now())
	return FollowReply{Members: c.cfg.Members(), Version: c.version(), Pause: t.adviserConns.announceInterval()}, nil
}
