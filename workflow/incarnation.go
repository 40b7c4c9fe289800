package workflow

import (
	"cmp"
	"strings"
)

// Supersedes reports whether w is a later incarnation of the same worker as other.
func (w *Worker) Supersedes(other *Worker) bool {
	return w.Name != "" && w.Name == other.Name && w.StartedAtMS > other.StartedAtMS
}

// NewestIncarnation returns the latest incarnation of a worker by its name, nil if none is
// known.
func (s *State) NewestIncarnation(name string) *WorkerState { return s.Workers[s.newestByName[name]] }

// Superseded reports whether a later incarnation of the same worker is known.
func (s *State) Superseded(w *Worker) bool {
	newest := s.NewestIncarnation(w.Name)
	return newest != nil && newest.Supersedes(w)
}

// recordIncarnation updates the latest incarnation of the worker. The result doesn't depend on the order in
// which incarnations are recorded: a snapshot doesn't keep that order.
func (s *State) recordIncarnation(w *Worker) {
	if w.Name == "" {
		return
	}
	newest := s.NewestIncarnation(w.Name)
	if newest == nil || compareIncarnations(w, &newest.Worker) > 0 {
		s.newestByName[w.Name] = w.ID
	}
}

// compareIncarnations orders incarnations of one worker by their start, and those with the same start by ID.
func compareIncarnations(a, b *Worker) int {
	return cmp.Or(cmp.Compare(a.StartedAtMS, b.StartedAtMS), strings.Compare(a.ID, b.ID))
}
