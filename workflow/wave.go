package workflow

import (
	"maps"
	"slices"
)

// Wave is a request to take each of the Machines down for maintenance within DurationMS.
type Wave struct {
	// ID is chosen by the operator and serves as an idempotency key: the same ID is the same
	// wave.
	ID       int64    `cbor:"1,keyasint"`
	Machines []string `cbor:"2,keyasint"`
	// DurationMS is how long the whole wave may take, in milliseconds.
	DurationMS int64 `cbor:"3,keyasint"`
	// MaxDown is how many of the machines may be down at the same time.
	MaxDown int `cbor:"4,keyasint"`
	// AcceptedAtMS is the wall clock time of the accepting leader, in Unix milliseconds.
	// Later leaders derive from it roughly how much time is left.
	AcceptedAtMS int64 `cbor:"5,keyasint"`
}

// MaintenanceStage is the progress of the maintenance of one machine.
type MaintenanceStage uint8

// Stages of a maintenance.
const (
	// MaintenanceOrdered: the order may have been sent; whether it is carried out is unknown.
	MaintenanceOrdered MaintenanceStage = iota + 1
	// MaintenanceStarted: the machine has gone down for maintenance.
	MaintenanceStarted
	// MaintenanceNotNeeded: the machine has left, or the deployment reports that it isn't part
	// of the wave.
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

// Maintenance is the maintenance of one machine in a wave.
type Maintenance struct {
	Wave    int64            `cbor:"1,keyasint"`
	Machine string           `cbor:"2,keyasint"`
	Stage   MaintenanceStage `cbor:"3,keyasint"`
	// Worker is the incarnation on the machine when the maintenance was ordered.
	Worker string `cbor:"4,keyasint,omitempty"`
}

// WaveState is a wave and the progress of its machines, by name; a machine without an entry
// waits.
type WaveState struct {
	Wave
	Maintenances map[string]Maintenance `cbor:"6,keyasint,omitempty"`
}

// Done reports whether the maintenance of every machine has started or isn't needed.
func (w *WaveState) Done() bool {
	return !slices.ContainsFunc(w.Machines, func(machine string) bool {
		return w.Maintenances[machine].Stage < MaintenanceStarted
	})
}

// Wave returns the wave with an ID, nil if there is none.
func (s *State) Wave(id int64) *WaveState { return s.Waves[id] }

// startWave records a wave, unless a wave with the same ID is already known.
func (s *State) startWave(w *Wave) {
	if s.Waves[w.ID] == nil {
		s.Waves[w.ID] = &WaveState{Wave: *w, Maintenances: map[string]Maintenance{}}
	}
}

// recordMaintenance records the progress of a maintenance. A delayed older update never
// sets the stage back.
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

// Clone returns a copy whose Maintenances later commands don't change.
func (w *WaveState) Clone() WaveState {
	clone := *w
	clone.Maintenances = maps.Clone(w.Maintenances)
	return clone
}
