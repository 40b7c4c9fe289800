package ingress

import (
	"container/list"
	"strings"
	"time"
)

const (
	// throttleWindow is how long an outcome counts. It is also the longest time for which calls are
	// refused after the leader has begun to accept all of them.
	throttleWindow = 2 * time.Second
	// throttleBuckets is the number of intervals into which the window is divided. An outcome
	// counts for the whole window or up to one interval less, never longer.
	throttleBuckets = 8
	bucketInterval  = throttleWindow / throttleBuckets
	// probeInterval is the longest time between two calls of one key that are let through while
	// calls arrive. The window then always has the outcomes of several probes, so it shows both that the
	// leader still refuses and that it accepts again.
	probeInterval = 500 * time.Millisecond
	// acceptedFactor is how many calls are let through per accepted one: twice as many as are
	// accepted, so that the leader and not the instance decides how many that is.
	acceptedFactor = 2
	// maxThrottleEntries bounds the entries; the least recently used is evicted.
	maxThrottleEntries = 256
	// maxQueueBytes bounds the length of a queue's path in an entry. Longer paths that begin alike
	// share an entry; the header of a request may be as long as 1 MB.
	maxQueueBytes = 256
)

// ThrottleKey is what a Throttle counts calls by: the caller and the path of the queue.
type ThrottleKey struct {
	Caller Caller
	Queue  string
}

// Throttle refuses calls locally with a probability that follows from the recent outcomes of calls of
// the same key (client-side adaptive throttling).
type Throttle struct {
	entries map[ThrottleKey]*list.Element
	// recent holds the entries, the most recently used first.
	recent *list.List
}

// entry holds the counts of one key.
type entry struct {
	key     ThrottleKey
	buckets [throttleBuckets]bucket
	// lastForwarded is when a call was last let through.
	lastForwarded time.Duration
}

// bucket holds the counts of one interval: the calls that ended or were refused locally, those of them that
// the leader accepted, and those that it refused.
type bucket struct {
	// interval is the number of the interval.
	interval                 int64
	calls, accepted, refused int
}

// NewThrottle returns a Throttle that lets all calls through until it is told of refusals.
func NewThrottle() *Throttle {
	return &Throttle{entries: map[ThrottleKey]*list.Element{}, recent: list.New()}
}

// Allow reports whether a call is let through. now is the time on a monotonic clock, draw a
// random number in [0, 1).
//
// The call is refused with probability max(0, (calls - 2*accepted) / (calls + 1)) over the window, but
// never if the leader has refused none in the window or nothing was let through for probeInterval.
// Calls that were refused locally count as calls; without the first exception, a key with
// many of them would still be refused after the leader accepts all that it gets.
func (t *Throttle) Allow(now time.Duration, key ThrottleKey, draw float64) bool {
	element := t.entries[key.bounded()]
	if element == nil {
		return true
	}
	t.recent.MoveToFront(element)
	e := element.Value.(*entry)
	if now-e.lastForwarded < probeInterval && draw < e.refusalProbability(now) {
		e.bucketAt(now).calls++
		return false
	}
	e.lastForwarded = now
	return true
}

// Record records the outcome of a call that was let through.
func (t *Throttle) Record(now time.Duration, key ThrottleKey, outcome Outcome) {
	if outcome == Neutral {
		return
	}
	b := t.entry(now, key.bounded()).bucketAt(now)
	b.calls++
	if outcome == Accepted {
		b.accepted++
	} else {
		b.refused++
	}
}

// bounded returns the key with a path of at most maxQueueBytes.
func (k ThrottleKey) bounded() ThrottleKey {
	k.Queue = k.Queue[:min(len(k.Queue), maxQueueBytes)]
	return k
}

// entry returns the entry of a key as the most recently used one. It creates the entry if needed.
func (t *Throttle) entry(now time.Duration, key ThrottleKey) *entry {
	if element := t.entries[key]; element != nil {
		t.recent.MoveToFront(element)
		return element.Value.(*entry)
	}
	if len(t.entries) >= maxThrottleEntries {
		oldest := t.recent.Remove(t.recent.Back()).(*entry)
		delete(t.entries, oldest.key)
	}
	// The path is part of a longer string, which the entry must not keep in memory.
	key.Queue = strings.Clone(key.Queue)
	e := &entry{key: key, lastForwarded: now}
	t.entries[key] = t.recent.PushFront(e)
	return e
}

// bucketAt returns the bucket of the current interval. It clears a bucket that has left the window.
func (e *entry) bucketAt(now time.Duration) *bucket {
	interval := int64(now / bucketInterval)
	b := &e.buckets[interval%throttleBuckets]
	if b.interval != interval {
		*b = bucket{interval: interval}
	}
	return b
}

// refusalProbability returns the probability with which a call is refused.
func (e *entry) refusalProbability(now time.Duration) float64 {
	oldest := int64(now/bucketInterval) - throttleBuckets + 1
	var sum bucket
	for _, b := range e.buckets {
		if b.interval >= oldest {
			sum.calls += b.calls
			sum.accepted += b.accepted
			sum.refused += b.refused
		}
	}
	if sum.refused == 0 {
		return 0
	}
	return max(0, float64(sum.calls-acceptedFactor*sum.accepted)/float64(sum.calls+1))
}
