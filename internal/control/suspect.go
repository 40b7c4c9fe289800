package control

import "time"

// dataCentreResponseTimeout is how long a data centre may go without a response of any
// worker, while one of them has an overdue order, before the whole data centre is
// suspected to be unreachable. Sixteen busy workers respond to about fifty calls a
// second.
const dataCentreResponseTimeout = 200 * time.Millisecond

// recordResponse records the time of a response from the worker's data centre. t.mu must
// be held.
func (s *workerSession) recordResponse(now time.Time) {
	s.t.dataCentreRespondedAt[s.worker.DataCentre] = now
}

// suspectedDataCentres returns the data centres that are suspected to be unreachable.
// t.mu must be held.
//
// When a data centre becomes unreachable, each of its workers would otherwise be sent
// another task before its own response is overdue. Those tasks would be blocked until the
// leases expire.
func (t *leaderTerm) suspectedDataCentres(now time.Time) map[string]bool {
	suspected := map[string]bool{}
	unresponsive := t.unresponsiveDataCentres(now)
	if t.disabled.Suspicion || len(unresponsive) == 0 {
		return suspected
	}
	for _, s := range t.sessions {
		dataCentre := s.worker.DataCentre
		if unresponsive[dataCentre] && s.ready && s.hasOverdueOrder(now) {
			suspected[dataCentre] = true
		}
	}
	return suspected
}

// unresponsiveDataCentres returns the data centres in which no worker has responded
// within dataCentreResponseTimeout. A data centre whose workers have never responded in
// this leader term isn't included; none of its workers is ready. t.mu must be held.
func (t *leaderTerm) unresponsiveDataCentres(now time.Time) map[string]bool {
	unresponsive := map[string]bool{}
	for dataCentre, last := range t.dataCentreRespondedAt {
		if now.Sub(last) > dataCentreResponseTimeout {
			unresponsive[dataCentre] = true
		}
	}
	return unresponsive
}

// suspicionClearDelay is how long a data centre must not be suspected before contact with
// it counts as regained. The suspicion briefly disappears between two overdue responses.
const suspicionClearDelay = time.Second

// recordSuspectedDataCentres records the suspected data centres and logs each change. t.mu
// must be held.
func (t *leaderTerm) recordSuspectedDataCentres(suspected map[string]bool, now time.Time) {
	for dataCentre := range suspected {
		if t.dataCentreSuspectedAt[dataCentre].IsZero() {
			t.logger.Log("event", "data_centre_contact", "data_centre", dataCentre, "outcome", "lost",
				"silent_ms", now.Sub(t.dataCentreRespondedAt[dataCentre]).Milliseconds())
		}
		t.dataCentreSuspectedAt[dataCentre] = now
	}
	for dataCentre, last := range t.dataCentreSuspectedAt {
		if now.Sub(last) > suspicionClearDelay {
			delete(t.dataCentreSuspectedAt, dataCentre)
			t.logger.Log("event", "data_centre_contact", "data_centre", dataCentre, "outcome", "regained",
				"silent_ms", now.Sub(t.dataCentreRespondedAt[dataCentre]).Milliseconds())
		}
	}
}
