package workflow

import (
	"maps"
	"slices"
)

// Wave asks that each of some machines is taken down for its upkeep in time.
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

// UpkeepStage is how far the upkeep of one machine has come.
type UpkeepStage uint8

// Stages of an upkeep.
const (
	// UpkeepOrdered: the order may have been sent; whether it is carried out is open.
	UpkeepOrdered UpkeepStage = iota + 1
	// UpkeepBegun: the machine has gone down for its upkeep.
	UpkeepBegun
	// UpkeepMoot: the machine has left, or the deployment says that it isn't of this wave.
	UpkeepMoot
)

// String returns the stage as logs show it.
func (s UpkeepStage) String() string {
	names := [...]string{"waiting", "ordered", "begun", "moot"}
	if int(s) < len(names) {
		return names[s]
	}
	return "unknown"
}

// Upkeep is a machine's upkeep in a wave.
type Upkeep struct {
	Wave    int64       `cbor:"1,keyasint"`
	Machine string      `cbor:"2,keyasint"`
	Stage   UpkeepStage `cbor:"3,keyasint"`
	// Worker is the incarnation that lived on the machine when it was ordered.
	Worker string `cbor:"4,keyasint,omitempty"`
}

// WaveState is a wave and what has become of its machines.
type WaveState struct {
	Wave
	Upkeeps map[string]Upkeep `cbor:"6,keyasint,omitempty"`
}

// Done reports whether no machine's upkeep is outstanding.
func (w *WaveState) Done() bool {
	return !slices.ContainsFunc(w.Machines, func(machine string) bool {
		return w.Upkeeps[machine].Stage < UpkeepBegun
	})
}

// Wave returns a wave, nil when there is none of that ID.
func (s *State) Wave(id int64) *WaveState { return s.Waves[id] }

func (s *State) startWave(w *Wave) {
	if s.Waves[w.ID] == nil {
		s.Waves[w.ID] = &WaveState{Wave: *w, Upkeeps: map[string]Upkeep{}}
	}
}

// noteUpkeep takes in how far an upkeep has come; it never goes back.
func (s *State) noteUpkeep(u *Upkeep) {
	wave := s.Waves[u.Wave]
	if wave == nil || !slices.Contains(wave.Machines, u.Machine) || u.Stage <= wave.Upkeeps[u.Machine].Stage {
		return
	}
	if wave.Upkeeps == nil {
		wave.Upkeeps = map[string]Upkeep{}
	}
	known := *u
	if known.Worker == "" {
		known.Worker = wave.Upkeeps[u.Machine].Worker
	}
	wave.Upkeeps[u.Machine] = known
}

// Clone returns a copy that the state doesn't change.
func (w *WaveState) Clone() WaveState {
	clone := *w
	clone.Upkeeps = maps.Clone(w.Upkeeps)
	return clone
}
