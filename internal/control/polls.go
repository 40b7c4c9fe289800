package control

import "time"

const (
	// lossWindow is how long after a call without an answer, from a worker that answers
	// others, looks are held shorter.
	lossWindow = 5 * time.Second
	// lossyPollHold is how long they are held then, and lossyPollSlack what is allowed for
	// their way: the end of a run is noticed that much later at most.
	lossyPollHold  = 250 * time.Millisecond
	lossyPollSlack = 200 * time.Millisecond
	// maxLossyPolls bounds the looks a second at all workers while they are held shorter:
	// a look takes some 0.3 ms of the leader.
	maxLossyPolls = 200
	// overdueFactor times as long as answers take of late, an answer is overdue, and as
	// many times their delay the next look waits after a report of ends.
	overdueFactor = 8
	// answerTimeWeight is that of the latest answer in their moving mean.
	answerTimeWeight = 0.05
)

// losing reports whether calls have got lost lately that workers in reach should have
// answered. t.mu is held.
//
// Load that it answers: one call in twenty gets no answer. A look that is held for
// 1.5 s hides the ends of its worker for 2 s when its answer is lost, with four looks
// a second and worker for two fifths of the time.
func (t *leaderTerm) losingCalls(now time.Time) bool {
	return now.Sub(t.callLostAt) < lossWindow && !t.disabled.ShortLooks
}

// recordLostCall takes in that a call got no answer. From a worker that has answered since the
// call was sent it has got lost. t.mu is held.
func (s *workerSession) recordLostCall(sent, now time.Time) {
	s.incarnationUnconfirmed = true
	if !s.answeredAt.After(sent) && !s.clockAt.After(sent) {
		return
	}
	if !s.t.losingCalls(now) {
		s.t.logger.Log("event", "calls_lost", "worker", s.worker.ID, "sent_ms_ago", now.Sub(sent).Milliseconds())
	}
	s.t.callLostAt = now
}

// pollTimes returns how long a look is held, and how much longer its answer may
// take. t.mu is held.
func (s *workerSession) pollTimes(now time.Time) (hold, slack time.Duration) {
	hold, slack = pollHold, callTimeout
	if s.t.losingCalls(now) {
		minHold := time.Duration(len(s.t.sessions)) * time.Second / maxLossyPolls
		hold = min(max(lossyPollHold, minHold), pollHold)
		slack = s.t.scaledAnswerTime(lossyPollSlack, callTimeout)
	}
	if s.isStalled() {
		hold = min(hold, stalledPollHold)
	}
	if s.throttle.active() {
		hold = min(hold, throttledPollWait)
	}
	if s.pollSettlesStop() {
		hold = 0
	}
	if len(s.predecessors) > 0 {
		hold = min(hold, supersededPollHold)
	}
	return hold, slack
}

// settles reports whether the next lists settle a run: its stop was acknowledged, and no
// list has shown it, so that none of its ends will end a held look. t.mu is held.
func (s *workerSession) pollSettlesStop() bool {
	for _, o := range s.orders {
		if !o.stopAcked.IsZero() && !o.listed {
			return true
		}
	}
	return false
}

// maxPollPauseAfterEnds is the most that a look waits after a report of ends: a worker has
// some three a second.
const maxPollPauseAfterEnds = 300 * time.Millisecond

// pauseAfterEnds is the time between a report of ends and the next look: longer where
// answers come later of late than the quickest did, so that more ends share a look.
//
// Load that it answers: the leader has more to do than its processor can, which shows
// in answers that it reads late. Half of its calls are looks, and each end that is
// seen at once brings it another decision and commit.
func (s *workerSession) pauseAfterEnds() time.Duration {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	// The quickest answer shows the way alone, which is longer through another instance.
	delay := s.t.answerTime - s.t.minAnswerTime
	return boundedMultiple(delay, pollPauseAfterEnds, maxPollPauseAfterEnds)
}

// scaledAnswerTime is a time that grows with how long answers take of late, between
// bounds. t.mu is held.
func (t *leaderTerm) scaledAnswerTime(least, most time.Duration) time.Duration {
	return boundedMultiple(t.answerTime, least, most)
}

// boundedMultiple is overdueFactor times as long as answers take, between bounds.
func boundedMultiple(took, least, most time.Duration) time.Duration {
	return min(max(least, overdueFactor*took), most)
}

// noteAnswerTime takes in how long a start took to be answered. t.mu is held.
func (t *leaderTerm) noteAnswerTime(took time.Duration) {
	t.answerTime += time.Duration(answerTimeWeight * float64(took-t.answerTime))
	if t.minAnswerTime == 0 || took < t.minAnswerTime {
		t.minAnswerTime = took
	}
}

// overdueAfter is how long an order may be without an answer before it counts as
// overdue: longer where answers take long of late. t.mu is held.
//
// Failure guarded against: the leader has more to do than it can, and sees answers
// late. Taken for lost, each order is sent again and its worker given nothing, which
// makes more to do.
func (t *leaderTerm) overdueAfter() time.Duration {
	return t.scaledAnswerTime(minOverdueTime, callTimeout/2)
}

// unheard reports whether a look has gone without an answer for longer than it may be
// held. t.mu is held.
//
// Failure guarded against: the time since the last answer counts, and a look that began
// late, after a report of ends, makes a sound worker seem out of reach.
func (s *workerSession) isUnresponsive(now time.Time) bool {
	silent := now.Sub(s.answeredAt) > copySilenceTimeout && now.Sub(s.t.started) > copySilenceTimeout
	return silent && now.After(s.pollDue)
}
