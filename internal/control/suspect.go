package control

import "time"

// dataCentreSilence is how long none of a data centre's workers may answer
// while one of them is overdue, before all of them count as cut off. Sixteen
// busy workers answer some fifty calls a second.
const dataCentreSilence = 200 * time.Millisecond

// noteAnswer takes in that a worker has answered. t.mu is held.
func (s *session) noteAnswer(now time.Time) {
	s.t.answered[s.worker.DataCentre] = now
}

// suspects returns the data centres that seem to be cut off. t.mu is held.
//
// Failure guarded against: a data centre is cut off, and each of its workers
// swallows a task before its own answer is overdue. Those tasks are blocked
// until the leases end.
func (t *tenure) suspects(now time.Time) map[string]bool {
	suspects := map[string]bool{}
	for _, s := range t.sessions {
		dataCentre := s.worker.DataCentre
		silent := now.Sub(t.answered[dataCentre]) > dataCentreSilence
		if silent && s.ready && s.doubtful(now) {
			suspects[dataCentre] = true
		}
	}
	return suspects
}
