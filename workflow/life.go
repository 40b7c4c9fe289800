package workflow

// Replaces reports whether w is a later life of the worker that other is a life of.
func (w *Worker) Replaces(other *Worker) bool {
	return w.Name != "" && w.Name == other.Name && w.Born > other.Born
}

// Newest returns the latest life of a worker by its name, nil when none is known.
func (s *State) Newest(name string) *WorkerState { return s.Workers[s.newest[name]] }

// Outlived reports whether a later life of the same worker is known.
func (s *State) Outlived(w *Worker) bool {
	newest := s.Newest(w.Name)
	return newest != nil && newest.Replaces(w)
}

// noteLife keeps the latest life of each worker.
func (s *State) noteLife(w *Worker) {
	if w.Name != "" && !s.Outlived(w) {
		s.newest[w.Name] = w.ID
	}
}
