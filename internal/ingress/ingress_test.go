package ingress

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/bilberryferry/bilberryferry/customer"
	"github.com/bilberryferry/bilberryferry/fault"
)

// callerNamed returns the caller with a key.
func callerNamed(key string) Caller { return Caller{Key: customer.DigestOf(key)} }

const (
	usualRate     = 20 // calls of each caller per second
	burstFactor   = 10
	burstDuration = 4 * time.Second
	replayEnd     = 8 * time.Second
	replayLatency = 100 * time.Millisecond
	replayLimit   = 40 // calls in progress
	// leaderRate is how many calls of one caller the leader accepts per second.
	leaderRate = usualRate * 3 / 2
)

// replayCaller is a caller in the replay, with what became of its calls in each half second.
type replayCaller struct {
	key                          ThrottleKey
	nextCall                     time.Duration
	tokens                       float64
	calls, forwarded, acceptedBy [replayEnd / probeInterval]int
}

// pendingCall is a forwarded call of the replay.
type pendingCall struct {
	caller  *replayCaller
	end     time.Duration
	outcome Outcome
}

// replay sends the usual calls of five callers through the cores for replayEnd, and of the first one
// burstFactor times as many for burstDuration.
func replay(seed uint64) []*replayCaller {
	random := rand.New(rand.NewPCG(seed, 1))
	throttle, inFlight := NewThrottle(), NewInFlight(replayLimit)
	callers := make([]*replayCaller, 5)
	for i := range callers {
		callers[i] = &replayCaller{key: ThrottleKey{callerNamed(strconv.Itoa(i)), "h/q/"}, tokens: leaderRate}
	}
	var pending []pendingCall
	for now := time.Duration(0); now < replayEnd; now += time.Millisecond {
		for len(pending) > 0 && pending[0].end <= now {
			p := pending[0]
			pending = pending[1:]
			inFlight.End(p.caller.key.Caller)
			throttle.Record(now, p.caller.key, p.outcome)
		}
		for i, c := range callers {
			c.tokens = min(c.tokens+leaderRate/1000.0, leaderRate)
			rate := float64(usualRate)
			if i == 0 && now < burstDuration {
				rate *= burstFactor
			}
			for ; c.nextCall <= now; c.nextCall += time.Duration(random.ExpFloat64() / rate * float64(time.Second)) {
				slot := now / probeInterval
				c.calls[slot]++
				if !inFlight.Begin(c.key.Caller) {
					continue
				}
				if !throttle.Allow(now, c.key, random.Float64()) {
					inFlight.End(c.key.Caller)
					continue
				}
				c.forwarded[slot]++
				outcome := Refused
				if c.tokens >= 1 {
					c.tokens--
					outcome = Accepted
					c.acceptedBy[slot]++
				}
				pending = append(pending, pendingCall{c, now + replayLatency, outcome})
			}
		}
	}
	return callers
}

func sum(counts []int) (total int) {
	for _, n := range counts {
		total += n
	}
	return total
}

// Guards against a burst of one caller that costs other callers their calls, that is forwarded to
// the leader only to be refused, or that leaves the caller refused after it has ended.
func TestBurstOfOneCallerTakesNothingFromOthers(t *testing.T) {
	const burstSlots = int(burstDuration / probeInterval)
	for seed := range uint64(20) {
		callers := replay(seed)
		for _, c := range callers[1:] {
			must.GreaterEq(t, 95*sum(c.calls[:]), 100*sum(c.acceptedBy[:]), must.Sprint("seed", seed))
		}
		c := callers[0]
		for slot := range burstSlots {
			must.Positive(t, c.forwarded[slot], must.Sprint("probes, seed", seed, "slot", slot))
		}
		calls, forwarded := sum(c.calls[2:burstSlots]), sum(c.forwarded[2:burstSlots])
		must.Less(t, calls/2, forwarded, must.Sprint("forwarded during the burst, seed", seed))
		after := burstSlots + int(throttleWindow/probeInterval)
		must.Eq(t, sum(c.calls[after:]), sum(c.acceptedBy[after:]), must.Sprint("after the burst, seed", seed))
	}
}

// Guards against calls that stay refused although the leader is back: an instance was cut off and the calls
// that it had forwarded ended without an outcome.
func TestThrottleLetsAllCallsThroughAfterWindow(t *testing.T) {
	throttle, key, now := NewThrottle(), ThrottleKey{}, time.Minute
	for range 100 {
		throttle.Record(now, key, Refused)
	}
	must.False(t, throttle.Allow(now, key, 0.98))
	for range 1000 {
		throttle.Allow(now+throttleWindow-bucketInterval, key, 0)
	}
	must.True(t, throttle.Allow(now+throttleWindow, key, 0))
}

// Guards against local refusals while the leader has time for calls: it refuses jobs for reasons that lie in the
// job, or accepts half of the calls.
func TestOutcomesOfOneJobDoNotThrottle(t *testing.T) {
	for kind, want := range map[fault.Kind]Outcome{
		fault.Overloaded: Refused, fault.Unknown: Refused, fault.Infeasible: Accepted, fault.Conflict: Accepted,
		fault.Unavailable: Neutral, fault.NotFound: Neutral, fault.Denied: Neutral,
	} {
		must.Eq(t, want, OutcomeOf(fault.New(kind, "x")), must.Sprint(kind))
	}
	must.Eq(t, Accepted, OutcomeOf(nil))
	throttle, key := NewThrottle(), ThrottleKey{}
	for range 50 {
		throttle.Record(0, key, Refused)
		throttle.Record(0, key, Accepted)
	}
	must.True(t, throttle.Allow(0, key, 0))
	must.Eq(t, minRetryAfter, RetryAfter(0.49))
	must.Eq(t, maxRetryAfter, RetryAfter(0.5))
}

// Guards against a Throttle whose memory grows with the callers, or that forgets the one that calls most.
func TestThrottleEvictsLeastRecentlyUsed(t *testing.T) {
	throttle := NewThrottle()
	for i := range 4 * maxThrottleEntries {
		throttle.Record(0, ThrottleKey{Queue: strconv.Itoa(i)}, Refused)
		must.False(t, throttle.Allow(0, ThrottleKey{Queue: "0"}, 0))
	}
	must.MapLen(t, maxThrottleEntries, throttle.entries)
	must.Eq(t, maxThrottleEntries, throttle.recent.Len())
}

// Guards against a Throttle whose entries are unbounded, whose counts contradict each other, or that refuses
// without a refusal of the leader in the window or without probes.
func TestThrottleInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		throttle := NewThrottle()
		lastRefused, lastAllowed := map[ThrottleKey]time.Duration{}, map[ThrottleKey]time.Duration{}
		now := time.Hour
		for range rapid.IntRange(1, 400).Draw(t, "calls") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond
			key := ThrottleKey{Queue: strings.Repeat("x", rapid.IntRange(0, 2*maxQueueBytes).Draw(t, "queue"))}.bounded()
			if rapid.Bool().Draw(t, "burst") {
				key.Queue = ""
			}
			if throttle.Allow(now, key, rapid.Float64Range(0, 0.999).Draw(t, "draw")) {
				lastAllowed[key] = now
				outcome := Outcome(rapid.IntRange(0, 2).Draw(t, "outcome"))
				if throttle.Record(now, key, outcome); outcome == Refused {
					lastRefused[key] = now
				}
			} else {
				at, refused := lastRefused[key]
				must.True(t, refused && now-at < throttleWindow)
				must.Less(t, probeInterval, now-lastAllowed[key])
			}
			for _, element := range throttle.entries {
				e := element.Value.(*entry)
				must.LessEq(t, maxQueueBytes, len(e.key.Queue))
				must.Between(t, 0, e.refusalProbability(now), 0.9999)
				for _, b := range e.buckets {
					must.True(t, b.accepted >= 0 && b.refused >= 0 && b.calls >= b.accepted+b.refused)
				}
			}
		}
	})
}

// Guards against one caller that takes all places while others have calls in progress, against counts
// that run away, and against a caller that finds no place because of one other.
func TestInFlightInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit, lastCaller := rapid.IntRange(4, 40).Draw(t, "limit"), rapid.IntRange(0, 5).Draw(t, "last caller")
		f := NewInFlight(limit)
		for range 200 {
			c := callerNamed(strconv.Itoa(rapid.IntRange(0, lastCaller).Draw(t, "caller")))
			own, total := f.byCaller[c], f.Total()
			if own > 0 && rapid.IntRange(0, 2).Draw(t, "end") == 0 {
				f.End(c)
				must.Eq(t, total-1, f.Total())
				continue
			}
			began := f.Begin(c)
			switch {
			case total >= limit, own < total && own >= limit/callerDivisor:
				must.False(t, began)
			case own == 0 && len(f.byCaller) <= 1:
				must.True(t, began)
			}
			counted := 0
			for _, n := range f.byCaller {
				must.Positive(t, n)
				counted += n
			}
			must.Eq(t, counted, f.Total())
			must.LessEq(t, limit, counted)
		}
		if len(f.byCaller) <= 1 {
			must.True(t, f.Begin(callerNamed("new")))
		}
	})
}

// Guards against a bound that doesn't follow the memory: a process of 144 MB may hold 18 MB of calls.
func TestInFlightFollowsMemory(t *testing.T) {
	must.Eq(t, 288, MaxInFlight(144<<20))
	must.Eq(t, callerDivisor, MaxInFlight(1))
	must.Eq(t, 2048, MaxInFlight(0))
}
