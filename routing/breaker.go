package routing

import "time"

// Bounds of the circuit breaker of one minion.
const (
	// maxConsecutiveFailures in a row open the breaker: refused or broken connections
	// and missing answers.
	maxConsecutiveFailures = 2
	// maxFailureRate of failure answers opens the breaker, after minRateSamples answers.
	maxFailureRate = 0.5
	minRateSamples = 6
	failureWeight  = 0.15
	// slowFactor over the usual time of the service's minions opens the breaker.
	slowFactor        = 4
	minTimeSamples    = 5
	slowMargin        = 20 * time.Millisecond
	averageTimeWeight = 0.2

	firstBackoff = time.Second
	maxBackoff   = 10 * time.Second
	// cautious is how many backoffs pass before a request that isn't
	// idempotent may be the probe.
	nonIdempotentBackoffs = 3
)

// breaker keeps load away from one minion that fails or is slow.
type breaker struct {
	open     bool
	probing  bool
	openedAt time.Duration
	backoff  time.Duration
	// closed is when the breaker closed last.
	closedAt time.Duration

	consecutiveFailures int
	failureRate         float64
	samples             int
	// usual is the moving average of service times.
	averageTime time.Duration
}

// probeDue says whether a request may try out the minion.
func (b *breaker) probeDue(idempotent bool, now time.Duration) bool {
	if !b.open || b.probing {
		return false
	}
	wait := b.backoff
	if !idempotent {
		wait *= nonIdempotentBackoffs
	}
	return now >= b.openedAt+wait
}

func (b *breaker) trip(now time.Duration) {
	if !b.open && now-b.closedAt > maxBackoff {
		b.backoff = 0
	}
	b.backoff = min(maxBackoff, max(firstBackoff, 2*b.backoff))
	b.open = true
	b.openedAt = now
	b.probing = false
}

// reset closes the breaker and forgets what was measured.
func (b *breaker) reset(now time.Duration) {
	*b = breaker{backoff: b.backoff, closedAt: now}
}

// observe takes the outcome of an attempt. Usual is the usual service time of
// the service's minions and mayTripOnRate whether answers that tell of failures may
// open the breaker. It returns whether the breaker has just closed.
//
// Failure: a minion that fails at once is always free and would attract all
// load; one that is slow or never answers would hold its slots and the
// requests on them. Guard: each of these opens the breaker, and only single
// probes go there until one succeeds in the usual time.
func (b *breaker) observe(a attempt, typicalTime time.Duration, mayTripOnRate bool, now time.Duration) (closed bool) {
	if b.open {
		return a.probe && b.finishProbe(a, typicalTime, now)
	}
	b.record(a.outcome, a.took)
	if b.shouldTrip(typicalTime, mayTripOnRate) {
		b.trip(now)
	}
	return false
}

// attempt is how one attempt ended.
type attempt struct {
	outcome Outcome
	took    time.Duration
	probe   bool
}

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

func (b *breaker) updateAverageTime(took time.Duration) {
	if b.averageTime == 0 {
		b.averageTime = took
		return
	}
	b.averageTime += time.Duration(averageTimeWeight * float64(took-b.averageTime))
}

func (b *breaker) shouldTrip(typicalTime time.Duration, mayTripOnRate bool) bool {
	if b.consecutiveFailures >= maxConsecutiveFailures {
		return true
	}
	if mayTripOnRate && b.samples >= minRateSamples && b.failureRate > maxFailureRate {
		return true
	}
	return b.samples >= minTimeSamples && tooSlow(b.averageTime, typicalTime)
}

func (b *breaker) finishProbe(a attempt, typicalTime, now time.Duration) bool {
	b.probing = false
	if a.outcome.failed() || (a.outcome == Answered && tooSlow(a.took, typicalTime)) {
		b.trip(now)
		return false
	}
	b.reset(now)
	return true
}

func tooSlow(took, typicalTime time.Duration) bool {
	return typicalTime > 0 && took > slowFactor*typicalTime+slowMargin
}
