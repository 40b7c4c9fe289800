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
	silent := t.silentDataCentres(now)
	if t.without.Suspicion || len(silent) == 0 {
		return suspects
	}
	for _, s := range t.sessions {
		dataCentre := s.worker.DataCentre
		if silent[dataCentre] && s.ready && s.doubtful(now) {
			suspects[dataCentre] = true
		}
	}
	return suspects
}

// silentDataCentres returns those of which no worker has answered lately. A worker that
// is ready has answered before. t.mu is held.
func (t *tenure) silentDataCentres(now time.Time) map[string]bool {
	silent := map[string]bool{}
	for dataCentre, last := range t.answered {
		if now.Sub(last) > dataCentreSilence {
			silent[dataCentre] = true
		}
	}
	return silent
}

// suspectMemory is how long a data centre must not be suspected before that is
// said: between two overdue answers it isn't for moments.
const suspectMemory = time.Second

// noteSuspects logs which data centres the leader begins or ends to take for cut
// off. t.mu is held.
func (t *tenure) noteSuspects(suspects map[string]bool, now time.Time) {
	for dataCentre := range suspects {
		if t.suspected[dataCentre].IsZero() {
			t.logger.Log("event", "data_centre_contact", "data_centre", dataCentre, "outcome", "lost",
				"silent_ms", now.Sub(t.answered[dataCentre]).Milliseconds())
		}
		t.suspected[dataCentre] = now
	}
	for dataCentre, last := range t.suspected {
		if now.Sub(last) > suspectMemory {
			delete(t.suspected, dataCentre)
			t.logger.Log("event", "data_centre_contact", "data_centre", dataCentre, "outcome", "regained",
				"silent_ms", now.Sub(t.answered[dataCentre]).Milliseconds())
		}
	}
}
