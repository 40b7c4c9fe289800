package control

import "time"

const (
	// lossWindow is how long poll holds stay shortened after a call was lost, that is, got
	// no response from a worker that responded to other calls.
	lossWindow = 5 * time.Second
	// lossyPollHold is the hold of a poll during the loss window, lossyPollSlack is the
	// least time allowed for its round trip. Together they bound how late the end of a run
	// is noticed.
	lossyPollHold  = 250 * time.Millisecond
	lossyPollSlack = 200 * time.Millisecond
	// maxLossyPollsPerSecond bounds the polls per second to all workers together during the loss
	// window. Each poll costs the leader about 0.3 ms.
	maxLossyPollsPerSecond = 200
	// overdueFactor is the multiple of the mean response time after which a response
	// counts as overdue. It is also the pause between a report with ended runs and the
	// next poll, as a multiple of the mean delay of responses.
	overdueFactor = 8
	// responseTimeWeight is the weight of the latest sample in the moving mean of response
	// times.
	responseTimeWeight = 0.05
)

// losingCalls reports whether a call to a reachable worker was lost within the loss
// window. t.mu must be held.
//
// If one call in twenty is lost, a poll held for 1.5 s hides the ends of its worker's
// runs for 2 s whenever its response is lost. At four polls per second and worker, ends
// would be hidden for two fifths of the time.
func (t *leaderTerm) losingCalls(now time.Time) bool {
	return now.Sub(t.callLostAt) < lossWindow && !t.disabled.ShortPolls
}

// recordLostCall records that a call got no response. The call counts as lost only if the
// worker has responded to another one since it was sent. t.mu must be held.
func (s *workerSession) recordLostCall(sent, now time.Time) {
	s.incarnationUnconfirmed = true
	if !s.respondedAt.After(sent) && !s.clockAt.After(sent) {
		return
	}
	if !s.t.losingCalls(now) {
		s.t.logger.Log("event", "calls_lost", "worker", s.worker.ID, "sent_ms_ago", now.Sub(sent).Milliseconds())
	}
	s.t.callLostAt = now
}

// pollTimes returns how long the worker may hold the next poll, and how much longer the
// response may take. t.mu must be held.
func (s *workerSession) pollTimes(now time.Time) (hold, slack time.Duration) {
	hold, slack = pollHold, callTimeout
	if s.t.losingCalls(now) {
		minHold := time.Duration(len(s.t.sessions)) * time.Second / maxLossyPollsPerSecond
		hold = min(max(lossyPollHold, minHold), pollHold)
		slack = s.t.scaledResponseTime(lossyPollSlack, callTimeout)
	}
	if s.isStalled() {
		hold = min(hold, stalledPollHold)
	}
	if s.throttle.active() {
		hold = min(hold, throttledPollHold)
	}
	if s.pollSettlesStop() {
		hold = 0
	}
	if len(s.predecessors) > 0 {
		hold = min(hold, supersededPollHold)
	}
	return hold, slack
}

// pollSettlesStop reports whether the next report can prove that a stopped run never
// starts: the worker has acknowledged the stop and has never listed the run. Such a run
// has no end to report that would complete a held poll. t.mu must be held.
func (s *workerSession) pollSettlesStop() bool {
	for _, o := range s.orders {
		if !o.stopAckedAt.IsZero() && !o.listed {
			return true
		}
	}
	return false
}

// maxPollPauseAfterEnds is the longest pause between a report with ended runs and the
// next poll. About three runs per second end on one worker.
const maxPollPauseAfterEnds = 300 * time.Millisecond

// nextPollAt returns when to send the next poll after a report with new ends. The first
// such report is acknowledged immediately, while it confirms the worker's incarnation, and
// so is a report that answers a confirming poll. A worker that shuts down waits for the ends of
// its runs. After reports that follow shortly, polls are pauseAfterEnds apart.
func (s *workerSession) nextPollAt(now time.Time) time.Time {
	pause := s.pauseAfterEnds()
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	if s.confirmation.confirmingPolls > 0 || s.leaving {
		return now
	}
	next := s.endsPolledAt.Add(pause)
	if next.Before(now) {
		next = now
	}
	s.endsPolledAt = next
	return next
}

// pauseAfterEnds returns the pause between two reports with ended runs. The pause grows
// with the delay of responses, so that more ends share a poll.
//
// An overloaded leader reads responses late. Half of its calls are polls, and each end
// that it sees immediately costs another decision and commit.
func (s *workerSession) pauseAfterEnds() time.Duration {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	// minResponseTime approximates the network round trip alone, which is longer if another
	// instance relays the call.
	delay := s.t.responseTime - s.t.minResponseTime
	return boundedMultiple(delay, pollPauseAfterEnds, maxPollPauseAfterEnds)
}

// scaledResponseTime returns overdueFactor times the mean response time, limited to the
// range from lower to upper. t.mu must be held.
func (t *leaderTerm) scaledResponseTime(lower, upper time.Duration) time.Duration {
	return boundedMultiple(t.responseTime, lower, upper)
}

// boundedMultiple returns overdueFactor times responseTime, limited to the range from
// lower to upper.
func boundedMultiple(responseTime, lower, upper time.Duration) time.Duration {
	return min(max(lower, overdueFactor*responseTime), upper)
}

// recordResponseTime records the response time of a start call. t.mu must be held.
func (t *leaderTerm) recordResponseTime(took time.Duration) {
	t.responseTime += time.Duration(responseTimeWeight * float64(took-t.responseTime))
	if t.minResponseTime == 0 || took < t.minResponseTime {
		t.minResponseTime = took
	}
}

// overdueAfter returns how long an order may stay without a response before it counts as
// overdue. The time grows with the mean response time. t.mu must be held.
//
// An overloaded leader reads responses late. With a fixed time it would consider them
// lost, send each order again and assign nothing to the workers, which would add to the
// load.
func (t *leaderTerm) overdueAfter() time.Duration {
	return t.scaledResponseTime(minOverdueTime, callTimeout/2)
}

// isUnresponsive reports whether the response to a poll is overdue and the worker hasn't
// responded to any poll recently. t.mu must be held.
//
// The time since the last response alone isn't enough: after a report with ended runs the
// next poll is sent late, and a healthy worker would count as unresponsive.
func (s *workerSession) isUnresponsive(now time.Time) bool {
	noRecentResponse := now.Sub(s.respondedAt) > workerResponseTimeout && now.Sub(s.t.started) > workerResponseTimeout
	return noRecentResponse && now.After(s.pollDue)
}
