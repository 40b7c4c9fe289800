package workflow

import (
	"maps"
	"slices"
)

// Wave asks that each of some machines is taken down for its maintenance in time.
type Wave struct {
	// ID is chosen by the operator; the same ID is the same wave.
	ID       int64    `cbor:"1,keyasint"`
	Machines []string `cbor:"2,keyasint"`
	// DurationMS is how long the whole wave may take.
	DurationMS int64 `cbor:"3,keyasint"`
	// MaxDown is how many of the machines may be down at the same time.
	MaxDown int `cbor:"4,keyasint"`
	// AcceptedAtMS is the accepting leader's time of day, in Unix milliseconds. It
	// tells later leaders roughly how much time is left.
	AcceptedAtMS int64 `cbor:"5,keyasint"`
}

// MaintenanceStage is how far the maintenance of one machine has come.
type MaintenanceStage uint8

// Stages of a maintenance.
const (
	// MaintenanceOrdered: the order may have been sent; whether it is carried out is open.
	MaintenanceOrdered MaintenanceStage = iota + 1
	// MaintenanceBegun: the machine has gone down for its maintenance.
	MaintenanceBegun
	// MaintenanceNotNeeded: the machine has left, or the deployment says that it isn't of this wave.
	MaintenanceNotNeeded
)

// String returns the stage as logs show it.
func (s MaintenanceStage) String() string {
	names := [...]string{"waiting", "ordered", "begun", "moot"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}

// Maintenance is a machine's maintenance in a wave.
type Maintenance struct {
	Wave    int64            `cbor:"1,keyasint"`
	Machine string           `cbor:"2,keyasint"`
	Stage   MaintenanceStage `cbor:"3,keyasint"`
	// Worker is the incarnation that lived on the machine when it was ordered.
	Worker string `cbor:"4,keyasint,omitempty"`
}

// WaveState is a wave and what has become of its machines.
type WaveState struct {
	Wave
	Maintenances map[string]Maintenance `cbor:"6,keyasint,omitempty"`
}

// Done reports whether no machine's maintenance is outstanding.
func (w *WaveState) Done() bool {
	return !slices.ContainsFunc(w.Machines, func(machine string) bool {
		return w.Maintenances[machine].Stage < MaintenanceBegun
	})
}

// Wave returns a wave, nil when there is none of that ID.
func (s *State) Wave(id int64) *WaveState { return s.Waves[id] }

func (s *State) startWave(w *Wave) {
	if s.Waves[w.ID] == nil {
		s.Waves[w.ID] = &WaveState{Wave: *w, Maintenances: map[string]Maintenance{}}
	}
}

// recordMaintenance takes in how far a maintenance has come; it never goes back.
func (s *State) recordMaintenance(update *Maintenance) {
	wave := s.Waves[update.Wave]
	if wave == nil || !slices.Contains(wave.Machines, update.Machine) || update.Stage <= wave.Maintenances[update.Machine].Stage {
		return
	}
	if wave.Maintenances == nil {
		wave.Maintenances = map[string]Maintenance{}
	}
	known := *update
	if known.Worker == "" {
		known.Worker = wave.Maintenances[update.Machine].Worker
	}
	wave.Maintenances[update.Machine] = known
}

// Clone returns a copy that the state doesn't change.
func (w *WaveState) Clone() WaveState {
	clone := *w
	clone.Maintenances = maps.Clone(w.Maintenances)
	return clone
}
