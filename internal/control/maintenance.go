package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/maintenance"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// recordWaveAccepted records when this leader term first accepted a wave.
func (t *leaderTerm) recordWaveAccepted(id int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.machines.waveAcceptedAt[id].IsZero() {
		t.machines.waveAcceptedAt[id] = time.Now()
	}
}

// openWaves returns copies of the waves that aren't done.
func (t *leaderTerm) openWaves() []workflow.WaveState {
	var open []workflow.WaveState
	t.c.state.read(func(s *workflow.State) {
		for _, wave := range s.Waves {
			if !wave.Done() {
				open = append(open, wave.Clone())
			}
		}
	})
	return open
}

// processWaves decides for each maintenance wave which of its machines are cordoned, stop
// their runs or go down, and carries the decisions out. It adds the cordoned workers to
// keepCordoned.
func (t *leaderTerm) processWaves(waves []workflow.WaveState, keepCordoned map[string]bool, now time.Time) {
	for _, wave := range waves {
		input := t.waveMachines(&wave, keepCordoned, now)
		plan := maintenance.Decide(t.maintenanceWave(&wave, now), input.machines)
		for _, id := range plan.Cordon {
			worker := t.machines.byID[id].Worker
			keepCordoned[worker] = true
			if t.cordon(worker, now) {
				t.logMaintenance(wave.ID, id, worker, "cordoned")
			}
		}
		for _, id := range plan.Stop {
			if worker := t.machines.byID[id].Worker; t.stopRunsOn(worker) {
				t.logMaintenance(wave.ID, id, worker, "runs stopped")
			}
		}
		for _, id := range plan.TakeDown {
			t.orderMaintenance(wave.ID, t.machines.byID[id])
		}
		for _, m := range input.resend {
			t.orderMaintenance(wave.ID, m)
		}
		t.dropRemovedMachines(&wave)
	}
}

// logMaintenance logs that a machine has reached a stage of its maintenance.
func (t *leaderTerm) logMaintenance(wave int64, machine, worker, outcome string) {
	t.logger.Log("event", "maintenance", "wave", wave, "machine", machine, "worker", worker, "outcome", outcome)
}

// maintenanceWave returns the remaining time and the limits of a wave. A leader that didn't
// accept the wave itself uses the wall clock, which may be off by some seconds.
func (t *leaderTerm) maintenanceWave(w *workflow.WaveState, now time.Time) maintenance.Wave {
	t.mu.Lock()
	acceptedAt, known := t.machines.waveAcceptedAt[w.ID]
	t.mu.Unlock()
	duration := time.Duration(w.DurationMS) * time.Millisecond
	elapsed := now.Sub(acceptedAt)
	if !known {
		elapsed = min(max(time.Duration(now.UnixMilli()-w.AcceptedAtMS)*time.Millisecond, 0), duration)
	}
	return maintenance.Wave{Remaining: duration - elapsed, MachineDowntime: t.c.cfg.Bounds.MaintenanceDuration, MaxDown: w.MaxDown}
}

// waveMachines are the machines of a wave whose maintenance isn't over.
type waveMachines struct {
	machines []maintenance.Machine
	// resend are the machines whose maintenance order got no response. The order is
	// repeated, even if an earlier leader sent it: the repetition succeeds if the order has
	// been carried out.
	resend []ListedMachine
}

// waveMachines returns the state of the machines of a wave whose maintenance isn't over.
// It adds the workers that must get no new tasks to keepCordoned.
func (t *leaderTerm) waveMachines(w *workflow.WaveState, keepCordoned map[string]bool, now time.Time) waveMachines {
	t.mu.Lock()
	defer t.mu.Unlock()
	var input waveMachines
	t.c.state.read(func(s *workflow.State) {
		for _, id := range w.Machines {
			listed, exists := t.machines.byID[id]
			recorded := w.Maintenances[id]
			switch {
			case !exists && recorded.Stage == 0, t.maintenanceOver(listed, exists, recorded, now):
			case recorded.Stage != 0:
				// An order without a response may still be carried out, so the machine counts as
				// down.
				input.machines = append(input.machines, maintenance.Machine{ID: id, Down: true})
				keepCordoned[recorded.Worker] = true
				if recorded.Stage == workflow.MaintenanceOrdered {
					input.resend = append(input.resend, ListedMachine{ID: id, Worker: recorded.Worker})
				}
			default:
				m := t.maintenanceMachine(s, listed, now)
				input.machines = append(input.machines, m)
				if m.Cordoned {
					keepCordoned[listed.Worker] = true
				}
			}
		}
	})
	return input
}

// maintenanceOver reports whether the maintenance of a machine is over or not needed any more. A
// machine that the list lacks has left if all entries could be read. t.mu must be held.
func (t *leaderTerm) maintenanceOver(listed ListedMachine, exists bool, recorded workflow.Maintenance, now time.Time) bool {
	switch {
	case recorded.Stage == workflow.MaintenanceNotNeeded:
		return true
	case !exists:
		return t.machines.unreadable == 0
	default:
		return recorded.Stage == workflow.MaintenanceStarted && t.backFromMaintenance(listed, recorded, now)
	}
}

// backFromMaintenance reports whether a machine is back from its maintenance: the duration
// of a maintenance has passed since it began, and another incarnation runs on the machine.
// Neither is sufficient alone: the list may lag and still show the machine as up, and the
// worker may have restarted before the order was carried out. t.mu must be held.
func (t *leaderTerm) backFromMaintenance(m ListedMachine, recorded workflow.Maintenance, now time.Time) bool {
	startedAt, known := t.machines.maintenanceStartedAt[m.ID]
	if !known {
		startedAt = t.started
	}
	return now.Sub(startedAt) >= t.c.cfg.Bounds.MaintenanceDuration && m.State == MachineUp && m.Worker != "" && m.Worker != recorded.Worker
}

// maintenanceMachine returns the state of a machine that hasn't been ordered down. t.mu
// must be held.
func (t *leaderTerm) maintenanceMachine(s *workflow.State, listed ListedMachine, now time.Time) maintenance.Machine {
	m := maintenance.Machine{ID: listed.ID, Up: listed.State == MachineUp}
	runs := s.Runs[listed.Worker]
	m.Empty = len(runs) == 0
	if state := t.machines.cordoned[listed.Worker]; state != nil {
		m.Cordoned, m.CordonedFor = true, now.Sub(state.since)
	}
	session := t.sessions[listed.Worker]
	for task, run := range runs {
		job := s.Jobs[task.Job]
		if job == nil || session == nil {
			continue
		}
		spec := &job.Steps[task.Step]
		m.Uninterruptible = m.Uninterruptible || spec.LongRunning
		m.EmptyIn = max(m.EmptyIn, session.expectedEnd(run, spec, now).Sub(now))
	}
	return m
}

// orderMaintenance commits that a machine goes down and then sends the order, in the
// background. It does nothing while another order for the machine is in flight.
func (t *leaderTerm) orderMaintenance(wave int64, m ListedMachine) {
	if !t.beginOrder(m.ID) {
		return
	}
	listAge := time.Since(t.machines.listedAt)
	t.spawn(func() {
		defer t.endOrder(m.ID)
		t.sendMaintenance(wave, m, listAge)
		wait.For(t.ctx, retryInterval)
	})
}

// sendMaintenance commits and sends a maintenance order, and commits its outcome. If the
// deployment refuses the wave or the machine, the maintenance is recorded as not needed.
// listAge is the age of the machine list that the order is based on.
func (t *leaderTerm) sendMaintenance(wave int64, m ListedMachine, listAge time.Duration) {
	if t.commitMaintenance(wave, m, workflow.MaintenanceOrdered) != nil {
		return
	}
	err := t.callMachine(m.ID, func(ctx context.Context, order MachineOrder) error {
		return t.c.cfg.Machines.StartMaintenance(ctx, order, wave)
	})
	t.logger.Log("event", "maintenance", "wave", wave, "machine", m.ID, "worker", m.Worker, "outcome", "ordered",
		"list_age_ms", listAge.Milliseconds(), "err", err)
	var refused *RefusedError
	switch {
	case err == nil:
		t.mu.Lock()
		t.machines.maintenanceStartedAt[m.ID] = time.Now()
		t.mu.Unlock()
		if t.commitMaintenance(wave, m, workflow.MaintenanceStarted) == nil {
			t.recordMachineDown(m.Worker)
		}
	case !errors.As(err, &refused):
	case refused.Reason == RefusedWave || refused.Reason == RefusedInvalid:
		_ = t.commitMaintenance(wave, m, workflow.MaintenanceNotNeeded)
	default:
		t.stepDownIfFenced(refused)
	}
}

// commitMaintenance commits the stage of a machine's maintenance.
func (t *leaderTerm) commitMaintenance(wave int64, m ListedMachine, stage workflow.MaintenanceStage) error {
	_, err := t.propose(&workflow.Command{Maintenance: &workflow.Maintenance{Wave: wave, Machine: m.ID, Stage: stage, Worker: m.Worker}})
	return err
}

// dropRemovedMachines commits that machines which have left the deployment need no
// maintenance any more: the machine list doesn't contain them, and all of its entries could be
// read. While some couldn't, the machine of such an entry may be among the missing ones.
func (t *leaderTerm) dropRemovedMachines(w *workflow.WaveState) {
	if t.machines.unreadable > 0 {
		return
	}
	for _, id := range w.Machines {
		_, exists := t.machines.byID[id]
		if !exists && w.Maintenances[id].Stage < workflow.MaintenanceStarted {
			t.logMaintenance(w.ID, id, "", "left")
			_ = t.commitMaintenance(w.ID, ListedMachine{ID: id}, workflow.MaintenanceNotNeeded)
		}
	}
}
