package control

import "time"

// dataCentreSilenceTimeout is how long none of a data centre's workers may answer
// while one of them is overdue, before all of them count as cut off. Sixteen
// busy workers answer some fifty calls a second.
const dataCentreSilenceTimeout = 200 * time.Millisecond

// recordAnswer takes in that a worker has answered. t.mu is held.
func (s *workerSession) recordAnswer(now time.Time) {
	s.t.dataCentreAnsweredAt[s.worker.DataCentre] = now
}

// suspects returns the data centres that seem to be cut off. t.mu is held.
//
// Failure guarded against: a data centre is cut off, and each of its workers
// swallows a task before its own answer is overdue. Those tasks are blocked
// until the leases end.
func (t *leaderTerm) suspectedDataCentres(now time.Time) map[string]bool {
	suspected := map[string]bool{}
	silent := t.silentDataCentres(now)
	if t.disabled.Suspicion || len(silent) == 0 {
		return suspected
	}
	for _, s := range t.sessions {
		dataCentre := s.worker.DataCentre
		if silent[dataCentre] && s.ready && s.hasOverdueOrder(now) {
			suspected[dataCentre] = true
		}
	}
	return suspected
}

// silentDataCentres returns those of which no worker has answered lately. A worker that
// is ready has answered before. t.mu is held.
func (t *leaderTerm) silentDataCentres(now time.Time) map[string]bool {
	silent := map[string]bool{}
	for dataCentre, last := range t.dataCentreAnsweredAt {
		if now.Sub(last) > dataCentreSilenceTimeout {
			silent[dataCentre] = true
		}
	}
	return silent
}

// suspicionHold is how long a data centre must not be suspected before that is
// said: between two overdue answers it isn't for moments.
const suspicionHold = time.Second

// updateSuspected logs which data centres the leader begins or ends to take for cut
// off. t.mu is held.
func (t *leaderTerm) updateSuspected(suspected map[string]bool, now time.Time) {
	for dataCentre := range suspected {
		if t.dataCentreSuspectedAt[dataCentre].IsZero() {
			t.logger.Log("event", "data_centre_contact", "data_centre", dataCentre, "outcome", "lost",
				"silent_ms", now.Sub(t.dataCentreAnsweredAt[dataCentre]).Milliseconds())
		}
		t.dataCentreSuspectedAt[dataCentre] = now
	}
	for dataCentre, last := range t.dataCentreSuspectedAt {
		if now.Sub(last) > suspicionHold {
			delete(t.dataCentreSuspectedAt, dataCentre)
			t.logger.Log("event", "data_centre_contact", "data_centre", dataCentre, "outcome", "regained",
				"silent_ms", now.Sub(t.dataCentreAnsweredAt[dataCentre]).Milliseconds())
		}
	}
}
