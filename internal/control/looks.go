package control

import "time"

const (
	// losingFor is how long after a call without an answer, from a worker that answers
	// others, looks are held shorter.
	losingFor = 5 * time.Second
	// shortWait is how long they are held then, and shortSlack what is allowed for
	// their way: the end of a run is noticed that much later at most.
	shortWait  = 250 * time.Millisecond
	shortSlack = 200 * time.Millisecond
	// shortLooks bounds the looks a second at all workers while they are held shorter:
	// a look takes some 0.3 ms of the leader.
	shortLooks = 200
	// answerFactor times as long as answers take of late, an answer is overdue, and as
	// many times their delay the next look waits after a report of ends.
	answerFactor = 8
	// answerWeight is that of the latest answer in their moving mean.
	answerWeight = 0.05
)

// losing reports whether calls have got lost lately that workers in reach should have
// answered. t.mu is held.
//
// Load that it answers: one call in twenty gets no answer. A look that is held for
// 1.5 s hides the ends of its worker for 2 s when its answer is lost, with four looks
// a second and worker for two fifths of the time.
func (t *tenure) losing(now time.Time) bool {
	return now.Sub(t.lostAt) < losingFor && !t.without.ShortLooks
}

// noteLost takes in that a call got no answer. From a worker that has answered since the
// call was sent it has got lost. t.mu is held.
func (s *session) noteLost(sent, now time.Time) {
	s.doubted = true
	if !s.answeredAt.After(sent) && !s.clockAt.After(sent) {
		return
	}
	if !s.t.losing(now) {
		s.t.logger.Log("event", "calls_lost", "worker", s.worker.ID, "sent_ms_ago", now.Sub(sent).Milliseconds())
	}
	s.t.lostAt = now
}

// lookTimes returns how long a look is held, and how much longer its answer may
// take. t.mu is held.
func (s *session) lookTimes(now time.Time) (hold, slack time.Duration) {
	hold, slack = lookWait, callTimeout
	if s.t.losing(now) {
		fewest := time.Duration(len(s.t.sessions)) * time.Second / shortLooks
		hold = min(max(shortWait, fewest), lookWait)
		slack = s.t.asAnswersTake(shortSlack, callTimeout)
	}
	if s.still() {
		hold = min(hold, stillWait)
	}
	if s.throttle.watched() {
		hold = min(hold, throttleWait)
	}
	if s.settles() {
		hold = 0
	}
	if len(s.earlier) > 0 {
		hold = min(hold, earlierWait)
	}
	return hold, slack
}

// settles reports whether the next lists settle a run: its stop was acknowledged, and no
// list has shown it, so that none of its ends will end a held look. t.mu is held.
func (s *session) settles() bool {
	for _, o := range s.orders {
		if !o.stopAcked.IsZero() && !o.listed {
			return true
		}
	}
	return false
}

// longestLookPause is the most that a look waits after a report of ends: a worker has
// some three a second.
const longestLookPause = 300 * time.Millisecond

// pauseAfterEnds is the time between a report of ends and the next look: longer where
// answers come later of late than the quickest did, so that more ends share a look.
//
// Load that it answers: the leader has more to do than its processor can, which shows
// in answers that it reads late. Half of its calls are looks, and each end that is
// seen at once brings it another decision and commit.
func (s *session) pauseAfterEnds() time.Duration {
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	// The quickest answer shows the way alone, which is longer through another instance.
	delay := s.t.answerTime - s.t.quickest
	return manyTimes(delay, lookPause, longestLookPause)
}

// asAnswersTake is a time that grows with how long answers take of late, between
// bounds. t.mu is held.
func (t *tenure) asAnswersTake(least, most time.Duration) time.Duration {
	return manyTimes(t.answerTime, least, most)
}

// manyTimes is answerFactor times as long as answers take, between bounds.
func manyTimes(took, least, most time.Duration) time.Duration {
	return min(max(least, answerFactor*took), most)
}

// noteAnswerTime takes in how long a start took to be answered. t.mu is held.
func (t *tenure) noteAnswerTime(took time.Duration) {
	t.answerTime += time.Duration(answerWeight * float64(took-t.answerTime))
	if t.quickest == 0 || took < t.quickest {
		t.quickest = took
	}
}

// overdueAfter is how long an order may be without an answer before it counts as
// overdue: longer where answers take long of late. t.mu is held.
//
// Failure guarded against: the leader has more to do than it can, and sees answers
// late. Taken for lost, each order is sent again and its worker given nothing, which
// makes more to do.
func (t *tenure) overdueAfter() time.Duration {
	return t.asAnswersTake(promptAnswer, callTimeout/2)
}

// unheard reports whether a look has gone without an answer for longer than it may be
// held. t.mu is held.
//
// Failure guarded against: the time since the last answer counts, and a look that began
// late, after a report of ends, makes a sound worker seem out of reach.
func (s *session) unheard(now time.Time) bool {
	silent := now.Sub(s.answeredAt) > copySilence && now.Sub(s.t.started) > copySilence
	return silent && now.After(s.lookDue)
}
