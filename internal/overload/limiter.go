// Package overload bounds the calls that an instance serves at the same time, by their class.
//
// The load it handles: callers send ten times the usual number of calls for some seconds, or all the calls
// that waited while the instance was frozen arrive at once. All goroutines of the leader share one
// processor. If the handlers of all these calls are runnable together, the goroutine of the replicated
// log waits behind them, sends heartbeats late, and the leader loses its authority to decide.
//
// Often a single customer sends most of these calls. So waiting submissions and reads are served round robin by
// flow, which stands for their caller, and the flow with the most waiting calls is refused first.
package overload

import (
	"math"
	"slices"
	"time"
)

// Class is the class of a call. A class has precedence over those with higher values.
type Class uint8

const (
	// ClassLog is for the members of the log. It is never bounded.
	ClassLog Class = iota
	// ClassWork is for workers, their carriers, the adviser, and operators.
	ClassWork
	// ClassSubmit is for submissions of jobs.
	ClassSubmit
	// ClassRead is for calls that change nothing.
	ClassRead
	classCount
)

var classNames = [classCount]string{"log", "work", "submit", "read"}

// String returns the name of the class in metrics and log lines.
func (c Class) String() string { return classNames[c] }

// ClassBounds are the bounds of a class.
type ClassBounds struct {
	// InService is the normal bound on calls in service, MinInService the bound to which overload may
	// reduce it. The bound is constant if both are equal.
	InService, MinInService int
	// Waiting bounds the waiting calls while the bound on calls in service is normal. It is reduced in
	// the same proportion, because calls then leave the queue more slowly.
	Waiting int
	// MaxWait is the longest wait.
	MaxWait time.Duration
}

// Bounds are the bounds of all classes.
type Bounds [classCount]ClassBounds

// maxDelay is the scheduling delay above which bounds are reduced: half a tick of the log, so that
// heartbeats, which are sent every tick, stay well within the shortest election (five ticks).
const maxDelay = 25 * time.Millisecond

// DefaultBounds returns the bounds of a core instance.
//
// At most 32 submissions and 32 reads can be runnable at once, which take about maxDelay until each blocks
// again. A hundred submissions per second with commits of 30 ms keep 3 calls in service, so a quarter of the
// bounds is enough for usual loads.
func DefaultBounds() Bounds {
	return Bounds{
		ClassLog: {InService: math.MaxInt, MinInService: math.MaxInt},
		// Each worker may keep one heartbeat open until there are orders for it, so a bound below the number of
		// workers would let leases expire. A gateway gives up a try after 900 ms.
		ClassWork: {InService: 2048, MinInService: 2048, Waiting: 4096, MaxWait: 800 * time.Millisecond},
		// 32 submissions per commit of 30 ms leave the queue, so 213 within the longest wait. After 200 ms
		// without a response, a gateway searches for another leader.
		ClassSubmit: {InService: 32, MinInService: 1, Waiting: 213, MaxWait: 200 * time.Millisecond},
		// After 150 ms without a response, a gateway asks the leader instead of a follower. As many reads may
		// wait as leave the queue within the longest wait if each takes a millisecond.
		ClassRead: {InService: 32, MinInService: 1, Waiting: 100, MaxWait: 100 * time.Millisecond},
	}
}

// CallID identifies a waiting call.
type CallID uint64

// Decision is what happens to a call on its arrival.
type Decision uint8

// Values of Decision.
const (
	// Serve means that the call is in service until Done.
	Serve Decision = iota
	// Wait means that an Outcome follows, unless the call is cancelled.
	Wait
	// Refuse means that the call must not be served.
	Refuse
)

// Outcome ends the wait of a call. The call is in service if Served is true, and refused otherwise.
type Outcome struct {
	ID     CallID
	Class  Class
	Served bool
}

// Limiter decides which calls are served, wait or are refused. It isn't safe for concurrent use, and the
// times passed to it must not decrease.
type Limiter struct {
	classes  [classCount]classState
	lastID   CallID
	outcomes []Outcome
}

type classState struct {
	ClassBounds
	// bound is the current bound on calls in service.
	bound     int
	inService int
	// waiting is the number of waiting calls.
	waiting int
	// flows holds the flows that have waiting calls. The first one is served next.
	flows []*flowQueue
}

// flowQueue holds the waiting calls of a flow in the order of arrival.
type flowQueue struct {
	flow  uint64
	calls []waitingCall
}

type waitingCall struct {
	id       CallID
	deadline time.Time
}

// NewLimiter returns a Limiter without calls whose bounds are normal.
func NewLimiter(bounds Bounds) *Limiter {
	l := &Limiter{}
	for i := range l.classes {
		l.classes[i] = classState{ClassBounds: bounds[i], bound: bounds[i].InService}
	}
	return l
}

// Arrive decides on a new call of a flow, which stands for its caller; 0 is for calls without one. Calls of
// classes other than ClassSubmit and ClassRead are all of one flow. The ID is valid if the call waits.
//
// If no more calls may wait, a call of the flow with the most waiting calls is refused.
func (l *Limiter) Arrive(now time.Time, class Class, flow uint64) (CallID, Decision) {
	l.settle(now)
	c := &l.classes[class]
	if c.inService < l.limit(class) {
		c.inService++
		return 0, Serve
	}
	if class != ClassSubmit && class != ClassRead {
		flow = 0
	}
	if c.waiting >= c.waitingBound() && !l.displace(class, flow) {
		return 0, Refuse
	}
	l.lastID++
	c.push(flow, waitingCall{id: l.lastID, deadline: now.Add(c.MaxWait)})
	return l.lastID, Wait
}

// displace refuses the newest waiting call of the flow with the most waiting calls in favour of a call of another
// flow. It returns false if that other flow doesn't have fewer waiting calls. Among flows with equally many, it
// selects the one whose turn is the latest, so that the others are served as if the call hadn't arrived.
func (l *Limiter) displace(class Class, flow uint64) bool {
	c := &l.classes[class]
	own, most, longest := 0, 0, -1
	for i, f := range c.flows {
		if f.flow == flow {
			own = len(f.calls)
		}
		if len(f.calls) >= most {
			most, longest = len(f.calls), i
		}
	}
	if own >= most {
		return false
	}
	l.endWait(class, longest, most-1, false)
	return true
}

// push adds a waiting call of a flow. A flow without waiting calls gets the last turn.
func (c *classState) push(flow uint64, call waitingCall) {
	c.waiting++
	for _, f := range c.flows {
		if f.flow == flow {
			f.calls = append(f.calls, call)
			return
		}
	}
	c.flows = append(c.flows, &flowQueue{flow: flow, calls: []waitingCall{call}})
}

// remove removes call j of flow i, and the flow if it has no other waiting calls.
func (c *classState) remove(i, j int) {
	c.waiting--
	f := c.flows[i]
	if j == 0 {
		f.calls = f.calls[1:] // in constant time, because thousands of calls may wait
	} else {
		f.calls = slices.Delete(f.calls, j, j+1)
	}
	if len(f.calls) == 0 {
		c.flows = slices.Delete(c.flows, i, i+1)
	}
}

// Done ends the service of a call.
func (l *Limiter) Done(now time.Time, class Class) {
	l.classes[class].inService--
	l.settle(now)
}

// Cancel removes a waiting call. It returns false if the call no longer waits: its Outcome has been or will
// be returned by TakeOutcomes.
func (l *Limiter) Cancel(now time.Time, id CallID, class Class) bool {
	c := &l.classes[class]
	for i, f := range c.flows {
		if j := slices.IndexFunc(f.calls, func(w waitingCall) bool { return w.id == id }); j >= 0 {
			c.remove(i, j)
			l.settle(now)
			return true
		}
	}
	l.settle(now)
	return false
}

// Observe adapts the bounds to a measured scheduling delay. A delay beyond maxDelay halves them, and one beyond
// twice maxDelay halves them twice. A shorter one increases them by 1.
func (l *Limiter) Observe(now time.Time, delay time.Duration) {
	for i := range l.classes {
		c := &l.classes[i]
		if delay > maxDelay {
			c.bound = max(c.bound>>min(delay/maxDelay, maxHalvings), c.MinInService)
		} else if c.bound < c.InService {
			c.bound++
		}
	}
	l.settle(now)
}

// maxHalvings bounds the reduction by one measurement. After a single stall, a quarter of the normal bounds
// remains, which is enough for the usual load.
const maxHalvings = 2

// TakeOutcomes returns the outcomes of waiting calls since it was last called.
func (l *Limiter) TakeOutcomes() []Outcome {
	outcomes := l.outcomes
	l.outcomes = nil
	return outcomes
}

// Load is the state of a class: the current bound on calls in service, and the numbers of calls in service and
// waiting.
type Load struct{ Bound, InService, Waiting int }

// Load returns the state of a class.
func (l *Limiter) Load(class Class) Load {
	c := &l.classes[class]
	return Load{Bound: c.bound, InService: c.inService, Waiting: c.waiting}
}

// Reduced reports whether a bound is below its normal value.
func (l *Limiter) Reduced() bool {
	return slices.ContainsFunc(l.classes[:], func(c classState) bool { return c.bound < c.InService })
}

// limit returns how many calls of a class may be in service now. While bounds are reduced, calls of the class
// leave the processor to waiting calls with precedence, except for MinInService of them, so that no class
// is starved. While they are normal, the classes don't compete: a submission that waits for the disk takes
// nothing from reads.
func (l *Limiter) limit(class Class) int {
	if l.Reduced() {
		for i := range l.classes[:class] {
			if l.classes[i].waiting > 0 {
				return l.classes[class].MinInService
			}
		}
	}
	return l.classes[class].bound
}

// waitingBound returns how many calls of the class may wait now.
func (c *classState) waitingBound() int {
	if c.bound == c.InService {
		return c.Waiting
	}
	return max(c.Waiting*c.bound/c.InService, 1)
}

// settle refuses the calls that have waited for too long, and then serves as many of the others as the bounds
// allow, by class, round robin by flow, and in the order of arrival within a flow.
func (l *Limiter) settle(now time.Time) {
	for i := range l.classes {
		c := &l.classes[i]
		for j := len(c.flows) - 1; j >= 0; j-- {
			for f := c.flows[j]; len(f.calls) > 0 && !now.Before(f.calls[0].deadline); {
				l.endWait(Class(i), j, 0, false)
			}
		}
	}
	for i := range l.classes {
		c := &l.classes[i]
		for c.waiting > 0 && c.inService < l.limit(Class(i)) {
			c.inService++
			f := c.flows[0]
			l.endWait(Class(i), 0, 0, true)
			if len(f.calls) > 0 {
				copy(c.flows, c.flows[1:])
				c.flows[len(c.flows)-1] = f
			}
		}
	}
}

// endWait ends the wait of call j of flow i of a class.
func (l *Limiter) endWait(class Class, i, j int, served bool) {
	c := &l.classes[class]
	l.outcomes = append(l.outcomes, Outcome{ID: c.flows[i].calls[j].id, Class: class, Served: served})
	c.remove(i, j)
}
