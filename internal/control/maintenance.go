package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/maintenance"
	"github.com/bilberryferry/bilberryferry/workflow"
)

func (t *tenure) noteWave(id int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.machines.waveBegun[id].IsZero() {
		t.machines.waveBegun[id] = time.Now()
	}
}

// openWaves returns copies of the waves that aren't done.
func (t *tenure) openWaves() []workflow.WaveState {
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

// workOn decides on each wave and carries the decisions out. kept gets the workers
// that are given nothing new.
func (t *tenure) workOn(waves []workflow.WaveState, kept map[string]bool, now time.Time) {
	for _, wave := range waves {
		view := t.waveMachines(&wave, kept, now)
		plan := maintenance.Decide(t.waveView(&wave, now), view.machines)
		for _, id := range plan.Cordon {
			worker := t.machines.list[id].Worker
			kept[worker] = true
			if t.cordon(worker, now) {
				t.logMaintenance(wave.ID, id, worker, "cordoned")
			}
		}
		for _, id := range plan.Stop {
			if worker := t.machines.list[id].Worker; t.stopAll(worker) {
				t.logMaintenance(wave.ID, id, worker, "runs stopped")
			}
		}
		for _, id := range plan.Order {
			t.orderMaintenance(wave.ID, t.machines.list[id])
		}
		for _, m := range view.again {
			t.orderMaintenance(wave.ID, m)
		}
		t.dropLeft(&wave)
	}
}

func (t *tenure) logMaintenance(wave int64, machine, worker, outcome string) {
	t.logger.Log("event", "maintenance", "wave", wave, "machine", machine, "worker", worker, "outcome", outcome)
}

// waveView is how much time a wave has left. A leader that didn't accept it goes
// by the time of day, which may be off by some seconds.
func (t *tenure) waveView(w *workflow.WaveState, now time.Time) maintenance.Wave {
	t.mu.Lock()
	begun, known := t.machines.waveBegun[w.ID]
	t.mu.Unlock()
	duration := time.Duration(w.DurationMS) * time.Millisecond
	passed := now.Sub(begun)
	if !known {
		passed = min(max(time.Duration(now.UnixMilli()-w.AcceptedAtMS)*time.Millisecond, 0), duration)
	}
	return maintenance.Wave{Remaining: duration - passed, Length: t.c.cfg.Bounds.Maintenance, MaxDown: w.MaxDown}
}

// waveMachines are the machines of a wave whose maintenance isn't over.
type waveMachines struct {
	machines []maintenance.Machine
	// again are those whose order got no answer. It is repeated, also an order of
	// an earlier leader: it succeeds when it has been carried out.
	again []ListedMachine
}

// waveMachines views the machines of a wave, and adds to kept the workers that
// are given nothing new.
func (t *tenure) waveMachines(w *workflow.WaveState, kept map[string]bool, now time.Time) waveMachines {
	t.mu.Lock()
	defer t.mu.Unlock()
	var view waveMachines
	t.c.state.read(func(s *workflow.State) {
		for _, id := range w.Machines {
			listed, there := t.machines.list[id]
			done := w.Maintenances[id]
			switch {
			case !there || done.Stage == workflow.MaintenanceMoot, done.Stage == workflow.MaintenanceBegun && t.isBack(listed, done, now):
			case done.Stage != 0:
				// An order without an answer may be carried out at any time.
				view.machines = append(view.machines, maintenance.Machine{ID: id, Down: true})
				kept[done.Worker] = true
				if done.Stage == workflow.MaintenanceOrdered {
					view.again = append(view.again, ListedMachine{ID: id, Worker: done.Worker})
				}
			default:
				m := t.maintenanceMachine(s, listed, now)
				view.machines = append(view.machines, m)
				if m.Chosen {
					kept[listed.Worker] = true
				}
			}
		}
	})
	return view
}

// isBack reports whether a machine has come back from its maintenance: the time of one
// has passed since it began, and another incarnation lives on the machine. The
// list may lag, so that it is up isn't enough; and the worker may have restarted
// before the order was carried out, so that another one is shown isn't either.
// t.mu is held.
func (t *tenure) isBack(m ListedMachine, done workflow.Maintenance, now time.Time) bool {
	begun, known := t.machines.begunAt[m.ID]
	if !known {
		begun = t.started
	}
	return now.Sub(begun) >= t.c.cfg.Bounds.Maintenance && m.State == MachineUp && m.Worker != "" && m.Worker != done.Worker
}

// maintenanceMachine is the view of a machine that hasn't been ordered down. t.mu is held.
func (t *tenure) maintenanceMachine(s *workflow.State, listed ListedMachine, now time.Time) maintenance.Machine {
	m := maintenance.Machine{ID: listed.ID, Up: listed.State == MachineUp}
	runs := s.Runs[listed.Worker]
	m.Empty = len(runs) == 0
	if e := t.machines.cordoned[listed.Worker]; e != nil {
		m.Chosen, m.ChosenFor = true, now.Sub(e.since)
	}
	session := t.sessions[listed.Worker]
	for task, run := range runs {
		job := s.Jobs[task.Job]
		if job == nil || session == nil {
			continue
		}
		spec := &job.Steps[task.Step]
		m.Held = m.Held || spec.LongRunning
		m.EmptyIn = max(m.EmptyIn, session.expectedEnd(run, spec, now).Sub(now))
	}
	return m
}

// orderMaintenance commits that a machine goes down and then orders it.
func (t *tenure) orderMaintenance(wave int64, m ListedMachine) {
	if !t.beginOrder(m.ID) {
		return
	}
	listAge := time.Since(t.machines.listedAt)
	t.goTask(func() {
		defer t.endOrder(m.ID)
		t.sendMaintenance(wave, m, listAge)
		wait.For(t.ctx, retryPause)
	})
}

func (t *tenure) sendMaintenance(wave int64, m ListedMachine, listAge time.Duration) {
	if t.noteMaintenance(wave, m, workflow.MaintenanceOrdered) != nil {
		return
	}
	err := t.callMachine(m.ID, func(ctx context.Context, order MachineOrder) error {
		return t.c.cfg.Machines.Maintenance(ctx, order, wave)
	})
	t.logger.Log("event", "maintenance", "wave", wave, "machine", m.ID, "worker", m.Worker, "outcome", "ordered",
		"list_age_ms", listAge.Milliseconds(), "err", err)
	var refused *RefusedError
	switch {
	case err == nil:
		t.mu.Lock()
		t.machines.begunAt[m.ID] = time.Now()
		t.mu.Unlock()
		if t.noteMaintenance(wave, m, workflow.MaintenanceBegun) == nil {
			t.probe(m.Worker)
		}
	case !errors.As(err, &refused):
	case refused.Reason == RefusedWave || refused.Reason == RefusedInvalid:
		_ = t.noteMaintenance(wave, m, workflow.MaintenanceMoot)
	default:
		t.giveWay(refused)
	}
}

func (t *tenure) noteMaintenance(wave int64, m ListedMachine, stage workflow.MaintenanceStage) error {
	_, err := t.propose(&workflow.Command{Maintenance: &workflow.Maintenance{Wave: wave, Machine: m.ID, Stage: stage, Worker: m.Worker}})
	return err
}

// dropLeft settles the machines of a wave that have left the deployment: the list
// was read whole and doesn't hold them.
func (t *tenure) dropLeft(w *workflow.WaveState) {
	for _, id := range w.Machines {
		_, there := t.machines.list[id]
		if !there && w.Maintenances[id].Stage < workflow.MaintenanceBegun {
			t.logMaintenance(w.ID, id, "", "left")
			_ = t.noteMaintenance(w.ID, ListedMachine{ID: id}, workflow.MaintenanceMoot)
		}
	}
}
