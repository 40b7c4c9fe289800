package workflow

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

// recordIncarnation updates the latest incarnation of the worker.
func (s *State) recordIncarnation(w *Worker) {
	if w.Name != "" && !s.Superseded(w) {
		s.newestByName[w.Name] = w.ID
	}
}
