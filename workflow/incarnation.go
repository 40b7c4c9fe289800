package workflow

// Replaces reports whether w is a later life of the worker that other is a life of.
func (w *Worker) Supersedes(other *Worker) bool {
	return w.Name != "" && w.Name == other.Name && w.StartedAtMS > other.StartedAtMS
}

// Newest returns the latest life of a worker by its name, nil when none is known.
func (s *State) NewestIncarnation(name string) *WorkerState { return s.Workers[s.newestByName[name]] }

// Outlived reports whether a later life of the same worker is known.
func (s *State) Superseded(w *Worker) bool {
	newest := s.NewestIncarnation(w.Name)
	return newest != nil && newest.Supersedes(w)
}

// recordIncarnation keeps the latest life of each worker.
func (s *State) recordIncarnation(w *Worker) {
	if w.Name != "" && !s.Superseded(w) {
		s.newestByName[w.Name] = w.ID
	}
}
