package instance

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/boottime"
	"github.com/bilberryferry/bilberryferry/internal/control"
	"github.com/bilberryferry/bilberryferry/internal/descriptors"
	"github.com/bilberryferry/bilberryferry/internal/gateway"
	"github.com/bilberryferry/bilberryferry/internal/ingress"
	"github.com/bilberryferry/bilberryferry/internal/wait"
)

const (
	// refusalLogInterval is the time between two lines that sum up the refusals.
	refusalLogInterval = time.Second
	// maxRefusalLines is how many refused calls per refusalLogInterval get a log line of their own, so that
	// single refusals can be traced by the ID of the job and a flood of them costs little.
	maxRefusalLines = 10
	// inFlightRetryAfter is the retry delay of a submission beyond the bounds on those in progress, which end
	// within some tens of milliseconds while the leader responds.
	inFlightRetryAfter = time.Second
)

// Errors of submissions that are refused before anything was sent. They record no stack, because a refusal
// must cost little.
var (
	errNotReached = &fault.Error{Kind: fault.Unavailable, Message: "no leader is reached", RetryAfter: gateway.RetryAfter}
	errInFlight   = &fault.Error{Kind: fault.Overloaded, Message: "too many submissions are in progress at this instance", RetryAfter: inFlightRetryAfter}
)

// loadControl bounds what submissions take of an edge instance. Its methods may be called on nil,
// which stands for load control that is off, except admit. It is safe for concurrent use.
type loadControl struct {
	counters control.Counters
	logger   log.Logger

	mu       sync.Mutex
	throttle *ingress.Throttle
	inFlight *ingress.InFlight
	// refusals are those since the last line of logRefusals.
	refusals refusals
}

// refusals counts refused calls.
type refusals struct {
	// throttled and inFlight are submissions that were refused here because of load. byLeader are
	// calls that the leader refused because of load. unavailable are calls that weren't executed for
	// another reason, mostly because no leader was reached.
	throttled, inFlight, byLeader, unavailable int
	// lines are the refused calls that got a log line of their own.
	lines int
}

// newLoadControl returns a loadControl for at most maxSubmissions submissions in progress.
func newLoadControl(maxSubmissions int, counters control.Counters, logger log.Logger) *loadControl {
	return &loadControl{counters: counters, logger: logger, throttle: ingress.NewThrottle(), inFlight: ingress.NewInFlight(maxSubmissions)}
}

// maxSubmissions returns how many submissions may be in progress on an edge instance. The memory bounds
// them, and the connections to the leader: each forwarded submission takes one until its response.
func (s *Settings) maxSubmissions(budget descriptors.Budget) int {
	return min(ingress.MaxInFlight(int64(s.MemoryMB)<<20), budget.ToInstances)
}

// admit begins a submission, or returns an error if it is refused here. Nothing was sent then.
func (l *loadControl) admit(p control.Principal, address control.JobAddress, inContact bool) (done func(), err error) {
	key := throttleKey(p, address)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !inContact:
		l.refusals.unavailable++
		l.counters.Add("submissions_refused_not_reached", 1)
		return nil, l.markCounted(errNotReached)
	case !l.inFlight.Begin(key.Caller):
		l.refusals.inFlight++
		l.counters.Add("submissions_refused_in_flight", 1)
		return nil, l.markCounted(errInFlight)
	case !l.throttle.Allow(boottime.Now(), key, rand.Float64()):
		l.inFlight.End(key.Caller)
		l.refusals.throttled++
		l.counters.Add("submissions_refused_here", 1)
		return nil, l.markCounted(&fault.Error{
			Kind: fault.Overloaded, Message: "the leader has just refused most submissions of the caller to this queue",
			RetryAfter: ingress.RetryAfter(rand.Float64()),
		})
	}
	l.counters.Set("submissions_in_progress", int64(l.inFlight.Total()))
	return func() { l.end(key.Caller) }, nil
}

// end ends a submission that admit has begun.
func (l *loadControl) end(caller ingress.Caller) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight.End(caller)
	l.counters.Set("submissions_in_progress", int64(l.inFlight.Total()))
}

// throttleKey returns the key by which a submission is counted.
func throttleKey(p control.Principal, address control.JobAddress) ingress.ThrottleKey {
	key := ingress.ThrottleKey{Caller: ingress.Caller{Operator: p.Operator}, Queue: cmp.Or(address.Queue, address.Host+address.Prefix())}
	if p.Key != nil {
		key.Caller.Key = *p.Key
	}
	return key
}

// recordSubmission records the outcome of a submission that was passed on, and returns its error as
// countRefusal does.
func (l *loadControl) recordSubmission(r *control.SubmitCall, err error) error {
	if l == nil {
		return err
	}
	l.mu.Lock()
	l.throttle.Record(boottime.Now(), throttleKey(r.Principal, r.Address), ingress.OutcomeOf(err))
	l.mu.Unlock()
	return l.countRefusal(err)
}

// countRefusal counts the error of a call that was passed on if it says that nothing was done, and returns
// it.
func (l *loadControl) countRefusal(err error) error {
	if l == nil || err == nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch fault.KindOf(err) {
	case fault.Overloaded:
		l.refusals.byLeader++
	case fault.Unavailable:
		l.refusals.unavailable++
	default:
		return err
	}
	return l.markCounted(err)
}

// markCounted marks the error of a refused call, except the first maxRefusalLines ones since the last line
// of logRefusals. l.mu must be held.
func (l *loadControl) markCounted(err error) error {
	if l.refusals.lines < maxRefusalLines {
		l.refusals.lines++
		return err
	}
	return ingress.Counted(err)
}

// logRefusals logs each refusalLogInterval how many calls were refused, if any were, until ctx ends. It
// always returns nil.
func (l *loadControl) logRefusals(ctx context.Context) error {
	if l == nil {
		return nil
	}
	for wait.For(ctx, refusalLogInterval) {
		l.mu.Lock()
		r, inProgress := l.refusals, l.inFlight.Total()
		l.refusals = refusals{}
		l.mu.Unlock()
		if r != (refusals{}) {
			_ = l.logger.Log("event", "ingress", "refused_here", r.throttled, "refused_in_flight", r.inFlight,
				"refused_by_leader", r.byLeader, "unavailable", r.unavailable, "in_progress", inProgress)
		}
	}
	return nil
}
