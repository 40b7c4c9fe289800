package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/upkeep"
	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// upkeepPause is the time between two decisions on waves.
	upkeepPause = 250 * time.Millisecond
	// listEvery is the time between two readings of the list of machines while a
	// wave is under way. The deployment allows some tens of calls a second.
	listEvery = 750 * time.Millisecond
	// listStale is the age from which on the list is too old to act on.
	listStale = 3 * time.Second
	// machineCallTimeout bounds a call to the list of machines, which may be slow.
	machineCallTimeout = 2 * time.Second
)

// emptied is a worker that is given nothing new because its machine goes down.
type emptied struct {
	since time.Time
	// stop says that its runs are to be stopped.
	stop bool
}

// upkeepWork is what a tenure does about waves. Its fields are guarded by t.mu,
// but for those of the loop.
type upkeepWork struct {
	// emptied holds the workers that are being emptied, by incarnation.
	emptied map[string]*emptied
	// ordering are the machines with an order under way.
	ordering map[string]bool
	// begun is when this tenure accepted a wave.
	begun map[int64]time.Time

	// machines is the list as it was read at listedAt; both belong to the loop.
	machines map[string]ListedMachine
	listedAt time.Time
	// lost says that the last reading failed.
	lost bool
}

func newUpkeepWork() *upkeepWork {
	return &upkeepWork{emptied: map[string]*emptied{}, ordering: map[string]bool{}, begun: map[int64]time.Time{}}
}

// emptying reports whether a worker is being emptied. t.mu is held.
func (u *upkeepWork) emptying(worker string) bool { return u != nil && u.emptied[worker] != nil }

func (t *tenure) noteWave(id int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.upkeep.begun[id].IsZero() {
		t.upkeep.begun[id] = time.Now()
	}
}

// upkeepLoop works on waves until the tenure ends.
func (t *tenure) upkeepLoop() {
	for wait.For(t.ctx, upkeepPause) {
		waves := t.openWaves()
		if len(waves) == 0 {
			t.emptyOnly(nil)
			continue
		}
		now := time.Now()
		if now.Sub(t.upkeep.listedAt) > listEvery {
			t.readMachines(now)
		}
		if now.Sub(t.upkeep.listedAt) < listStale {
			t.workOn(waves, now)
		}
	}
}

// openWaves returns copies of the waves that aren't done.
func (t *tenure) openWaves() []workflow.WaveState {
	var open []workflow.WaveState
	t.c.machine.read(func(s *workflow.State) {
		for _, wave := range s.Waves {
			if !wave.Done() {
				open = append(open, wave.Clone())
			}
		}
	})
	return open
}

// readMachines reads the whole list. What it doesn't hold has left for good.
func (t *tenure) readMachines(now time.Time) {
	u := t.upkeep
	list, err := t.listMachines()
	if lost := err != nil; lost != u.lost {
		u.lost = lost
		t.logger.Log("event", "machine_list", "lost", lost, "err", err)
	}
	if err == nil {
		u.machines, u.listedAt = list, now
	}
}

func (t *tenure) listMachines() (map[string]ListedMachine, error) {
	ctx, cancel := context.WithTimeout(t.ctx, machineCallTimeout)
	defer cancel()
	list := map[string]ListedMachine{}
	for page := ""; ; {
		t.c.cfg.Counters.Add("machine_lists", 1)
		answer, err := t.c.cfg.Machines.List(ctx, page)
		if err != nil {
			return nil, err
		}
		for _, m := range answer.Machines {
			list[m.ID] = m
		}
		if answer.Next == "" {
			return list, nil
		}
		page = answer.Next
	}
}

// workOn decides on each wave and carries the decisions out.
func (t *tenure) workOn(waves []workflow.WaveState, now time.Time) {
	kept := map[string]bool{}
	for _, wave := range waves {
		view := t.waveMachines(&wave, kept, now)
		plan := upkeep.Decide(t.waveView(&wave, now), view.machines)
		for _, id := range plan.Empty {
			worker := t.upkeep.machines[id].Worker
			kept[worker] = true
			t.empty(wave.ID, id, worker, now)
		}
		for _, id := range plan.Stop {
			t.stopAll(wave.ID, id, t.upkeep.machines[id].Worker)
		}
		for _, id := range plan.Order {
			t.orderUpkeep(wave.ID, t.upkeep.machines[id])
		}
		for _, m := range view.again {
			t.orderUpkeep(wave.ID, m)
		}
		t.dropLeft(&wave)
	}
	t.emptyOnly(kept)
}

// waveView is how much time a wave has left. A leader that didn't accept it goes
// by the time of day, which may be off by some seconds.
func (t *tenure) waveView(w *workflow.WaveState, now time.Time) upkeep.Wave {
	t.mu.Lock()
	begun, known := t.upkeep.begun[w.ID]
	t.mu.Unlock()
	duration := time.Duration(w.DurationMS) * time.Millisecond
	passed := now.Sub(begun)
	if !known {
		passed = min(max(time.Duration(now.UnixMilli()-w.AcceptedAtMS)*time.Millisecond, 0), duration)
	}
	return upkeep.Wave{Remaining: duration - passed, Length: t.c.cfg.Bounds.Upkeep, MaxDown: w.MaxDown}
}

// waveMachines are the machines of a wave whose upkeep isn't over.
type waveMachines struct {
	machines []upkeep.Machine
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
	t.c.machine.read(func(s *workflow.State) {
		for _, id := range w.Machines {
			listed, there := t.upkeep.machines[id]
			done := w.Upkeeps[id]
			switch {
			case !there || done.Stage == workflow.UpkeepMoot, done.Stage == workflow.UpkeepBegun && isBack(listed, done):
			case done.Stage != 0:
				// An order without an answer may be carried out at any time.
				view.machines = append(view.machines, upkeep.Machine{ID: id, Down: true})
				kept[done.Worker] = true
				if done.Stage == workflow.UpkeepOrdered {
					view.again = append(view.again, ListedMachine{ID: id, Worker: done.Worker})
				}
			default:
				m := t.upkeepMachine(s, listed, now)
				view.machines = append(view.machines, m)
				if m.Chosen {
					kept[listed.Worker] = true
				}
			}
		}
	})
	return view
}

// isBack reports whether a machine has come back from its upkeep: another
// incarnation lives on it. The list may lag, so that it is up isn't enough.
func isBack(m ListedMachine, done workflow.Upkeep) bool {
	return m.State == MachineUp && m.Worker != "" && m.Worker != done.Worker
}

// upkeepMachine is the view of a machine that hasn't been ordered down. t.mu is held.
func (t *tenure) upkeepMachine(s *workflow.State, listed ListedMachine, now time.Time) upkeep.Machine {
	m := upkeep.Machine{ID: listed.ID, Up: listed.State == MachineUp}
	runs := s.Runs[listed.Worker]
	m.Empty = len(runs) == 0
	if e := t.upkeep.emptied[listed.Worker]; e != nil {
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

// empty begins to give a worker nothing new.
func (t *tenure) empty(wave int64, machine, worker string, now time.Time) {
	t.mu.Lock()
	t.upkeep.emptied[worker] = &emptied{since: now}
	t.mu.Unlock()
	t.logger.Log("event", "upkeep", "wave", wave, "machine", machine, "worker", worker, "outcome", "emptied")
	t.kick()
}

// stopAll lets the runs of a worker be stopped.
func (t *tenure) stopAll(wave int64, machine, worker string) {
	t.mu.Lock()
	e := t.upkeep.emptied[worker]
	first := e != nil && !e.stop
	if first {
		e.stop = true
	}
	t.mu.Unlock()
	if first {
		t.logger.Log("event", "upkeep", "wave", wave, "machine", machine, "worker", worker, "outcome", "runs stopped")
		t.kick()
	}
}

// emptyOnly gives work again to all workers but the chosen ones.
func (t *tenure) emptyOnly(chosen map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for worker := range t.upkeep.emptied {
		if !chosen[worker] {
			delete(t.upkeep.emptied, worker)
		}
	}
}

// orderUpkeep commits that a machine goes down and then orders it. Orders for a
// machine that another instance may have given orders for a moment ago wait.
func (t *tenure) orderUpkeep(wave int64, m ListedMachine) {
	if time.Since(t.started) < t.c.cfg.Bounds.HolderPause {
		return
	}
	t.mu.Lock()
	if t.upkeep.ordering[m.ID] {
		t.mu.Unlock()
		return
	}
	t.upkeep.ordering[m.ID] = true
	t.mu.Unlock()
	listAge := time.Since(t.upkeep.listedAt)
	t.goTask(func() {
		t.sendUpkeep(wave, m, listAge)
		wait.For(t.ctx, retryPause)
		t.mu.Lock()
		delete(t.upkeep.ordering, m.ID)
		t.mu.Unlock()
	})
}

func (t *tenure) sendUpkeep(wave int64, m ListedMachine, listAge time.Duration) {
	if t.noteUpkeep(wave, m, workflow.UpkeepOrdered) != nil {
		return
	}
	ctx, cancel := context.WithTimeout(t.ctx, machineCallTimeout)
	defer cancel()
	order := MachineOrder{Machine: m.ID, Holder: t.c.cfg.Instance, Fence: t.fence}
	err := t.c.cfg.Machines.Upkeep(ctx, order, wave)
	t.c.cfg.Counters.Add("machine_orders", 1)
	t.logger.Log("event", "upkeep", "wave", wave, "machine", m.ID, "worker", m.Worker, "outcome", "ordered",
		"list_age_ms", listAge.Milliseconds(), "err", err)
	var refused *RefusedError
	switch {
	case err == nil:
		if t.noteUpkeep(wave, m, workflow.UpkeepBegun) == nil {
			t.probe(m.Worker)
		}
	case !errors.As(err, &refused):
	case refused.Reason == RefusedWave || refused.Reason == RefusedInvalid:
		_ = t.noteUpkeep(wave, m, workflow.UpkeepMoot)
	case refused.Reason == RefusedFence:
		t.logger.Log("event", "tenure", "outcome", "given up", "cause", "a machine has orders of a later leader")
		t.end()
	}
}

func (t *tenure) noteUpkeep(wave int64, m ListedMachine, stage workflow.UpkeepStage) error {
	_, err := t.propose(&workflow.Command{Upkeep: &workflow.Upkeep{Wave: wave, Machine: m.ID, Stage: stage, Worker: m.Worker}})
	return err
}

// dropLeft settles the machines of a wave that have left the deployment: the list
// was read whole and doesn't hold them.
func (t *tenure) dropLeft(w *workflow.WaveState) {
	for _, id := range w.Machines {
		_, there := t.upkeep.machines[id]
		if !there && w.Upkeeps[id].Stage < workflow.UpkeepBegun {
			t.logger.Log("event", "upkeep", "wave", w.ID, "machine", id, "outcome", "left")
			_ = t.noteUpkeep(w.ID, ListedMachine{ID: id}, workflow.UpkeepMoot)
		}
	}
}
