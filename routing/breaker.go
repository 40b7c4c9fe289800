package routing

import "time"

// Settings of the circuit breaker of one minion.
const (
	// maxConsecutiveFailures is the number of consecutive attempts with the
	// outcome NotSent, Broken or TimedOut that opens the breaker.
	maxConsecutiveFailures = 2
	// maxFailureRate is the moving average of failed attempts above which the
	// breaker opens, once there are minRateSamples attempts. failureWeight is the
	// weight of the newest attempt.
	maxFailureRate = 0.5
	minRateSamples = 6
	failureWeight  = 0.15
	// slowFactor times the typical service time of the service's minions, plus
	// slowMargin, is the average service time above which the breaker opens, once
	// there are minTimeSamples attempts. averageTimeWeight is the weight of the
	// newest attempt in the average.
	slowFactor        = 4
	minTimeSamples    = 5
	slowMargin        = 20 * time.Millisecond
	averageTimeWeight = 0.2

	// firstBackoff is the time from opening to the first probe. The time doubles
	// with each failed probe, up to maxBackoff.
	firstBackoff = time.Second
	maxBackoff   = 10 * time.Second
	// nonIdempotentBackoffs times the backoff is the time from opening after
	// which a request that isn't idempotent may be the probe.
	nonIdempotentBackoffs = 3
)

// breaker is the circuit breaker of one minion. It keeps requests away from a
// minion that fails or is slow.
type breaker struct {
	open          bool
	probeInFlight bool
	openedAt      time.Duration
	// backoff is the time from opening to the next probe.
	backoff time.Duration
	// closedAt is when the breaker last closed.
	closedAt time.Duration

	consecutiveFailures int
	// failureRate is the moving average of failed attempts, from 0 to 1.
	failureRate float64
	// samples is the number of attempts since the breaker was last reset.
	samples int
	// averageTime is the moving average of the service times.
	averageTime time.Duration
}

// probeDue reports whether a request may be sent to the minion as the probe of an open
// breaker.
func (b *breaker) probeDue(idempotent bool, now time.Duration) bool {
	if !b.open || b.probeInFlight {
		return false
	}
	wait := b.backoff
	if !idempotent {
		wait *= nonIdempotentBackoffs
	}
	return now >= b.openedAt+wait
}

// trip opens the breaker and doubles its backoff. The backoff starts over if the
// breaker has been closed for longer than maxBackoff.
func (b *breaker) trip(now time.Duration) {
	if !b.open && now-b.closedAt > maxBackoff {
		b.backoff = 0
	}
	b.backoff = min(maxBackoff, max(firstBackoff, 2*b.backoff))
	b.open = true
	b.openedAt = now
	b.probeInFlight = false
}

// reset closes the breaker and clears its failure counts and average service time.
func (b *breaker) reset(now time.Duration) {
	*b = breaker{backoff: b.backoff, closedAt: now}
}

// observe records the end of an attempt. typicalTime is the median service time
// of the service's minions; mayTripOnRate allows the breaker to open because of
// its failure rate. It returns whether the breaker has just closed.
//
// Guards against two faults. A minion that fails immediately is always free and would
// attract all requests. A minion that is slow or never responds would hold its slots
// and the requests in them. Either fault opens the breaker, after which only single
// probes are sent to the minion until one succeeds and isn't too slow.
func (b *breaker) observe(a attemptResult, typicalTime time.Duration, mayTripOnRate bool, now time.Duration) (closed bool) {
	if b.open {
		return a.probe && b.finishProbe(a, typicalTime, now)
	}
	b.record(a.outcome, a.took)
	if b.shouldTrip(typicalTime, mayTripOnRate) {
		b.trip(now)
	}
	return false
}

// attemptResult is the result of one attempt. probe reports whether the attempt was a
// probe of an open breaker.
type attemptResult struct {
	outcome Outcome
	took    time.Duration
	probe   bool
}

// record updates the failure counts and the average service time with one attempt.
func (b *breaker) record(o Outcome, took time.Duration) {
	b.samples++
	failure := 0.0
	switch o {
	case AnsweredFailure:
		failure = 1
		b.consecutiveFailures = 0
	case NotSent, Broken, TimedOut:
		failure = 1
		b.consecutiveFailures++
	case Streamed:
		b.consecutiveFailures = 0
	default:
		b.consecutiveFailures = 0
		b.updateAverageTime(took)
	}
	b.failureRate += failureWeight * (failure - b.failureRate)
}

// updateAverageTime adds a service time to the moving average.
func (b *breaker) updateAverageTime(took time.Duration) {
	if b.averageTime == 0 {
		b.averageTime = took
		return
	}
	b.averageTime += time.Duration(averageTimeWeight * float64(took-b.averageTime))
}

// shouldTrip reports whether the failures or the average service time require the
// breaker to open.
func (b *breaker) shouldTrip(typicalTime time.Duration, mayTripOnRate bool) bool {
	if b.consecutiveFailures >= maxConsecutiveFailures {
		return true
	}
	if mayTripOnRate && b.samples >= minRateSamples && b.failureRate > maxFailureRate {
		return true
	}
	return b.samples >= minTimeSamples && tooSlow(b.averageTime, typicalTime)
}

// finishProbe closes the breaker after a successful probe and opens it again
// after a failed or slow one. It returns whether the breaker closed.
func (b *breaker) finishProbe(a attemptResult, typicalTime, now time.Duration) bool {
	b.probeInFlight = false
	if a.outcome.failed() || (a.outcome == Answered && tooSlow(a.took, typicalTime)) {
		b.trip(now)
		return false
	}
	b.reset(now)
	return true
}

// tooSlow reports whether took is above slowFactor times the typical service time plus
// slowMargin. It is false while the typical time is unknown.
func tooSlow(took, typicalTime time.Duration) bool {
	return typicalTime > 0 && took > slowFactor*typicalTime+slowMargin
}
