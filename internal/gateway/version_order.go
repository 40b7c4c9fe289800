package gateway

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/control"
)

const (
	// reorderTolerance is how much earlier than another request a request may have been
	// received and still be answered by a newer version of the configuration. Callers
	// expect order between requests that are sent at least 250 ms apart; the rest of
	// that time is left for the delay to this instance. The limit costs little, as few
	// answers are withheld.
	reorderTolerance = 100 * time.Millisecond
	// maxVersionSpans bounds the recorded versions. A request takes 10 s at most, and
	// few versions are committed in that time.
	maxVersionSpans = 8
)

// versionOrder records which versions of the configuration this instance has answered
// its callers by, and withholds answers that contradict the order of the requests. It
// is safe for concurrent use.
//
// Without it, a request may be held at a leader that was partitioned until the next
// leader answers it by a version that was committed meanwhile, while a later request
// was answered immediately by the version before. Each answer is by the version that is
// newest when it is given, but callers compare by the time of their requests and see
// the instance return to an older version. The second of two such answers is withheld;
// its caller retries and gets an answer by the newest version. An answer of an
// out-of-date leader is withheld too if an earlier request was answered by a newer
// version.
type versionOrder struct {
	logger log.Logger

	mu sync.Mutex
	// lastVersion is the version of the last answer.
	lastVersion uint64
	// spans are sorted by version.
	spans []versionSpan
}

// versionSpan holds when the first and the last of the requests answered by a version
// were received.
type versionSpan struct {
	version                     uint64
	firstReceived, lastReceived time.Time
}

// Outcome is the result of a caller's request.
type Outcome struct {
	Method string
	// ReceivedAt is when the request arrived at this instance.
	ReceivedAt time.Time
	// Version is the version of the configuration by which the request was answered, 0
	// for none.
	Version uint64
	// AnsweredBy is the address of the instance that answered.
	AnsweredBy string
	// MaybeExecuted says that an earlier try may have been executed.
	MaybeExecuted bool
	// Err is nil for success.
	Err error
}

// WithholdOutOfOrder returns the error of an outcome, or another one if the outcome is
// withheld because its version contradicts the order of the requests. That error is of
// kind Unavailable if nothing was done, and Unknown if a change may have been made.
func (g *Gateway) WithholdOutOfOrder(o Outcome) error {
	if o.Version == 0 || !revealsVersion(o.Err) {
		return o.Err
	}
	withheld := g.versionOrder.admit(o.Version, o.ReceivedAt, o.AnsweredBy)
	switch {
	case withheld == nil:
		return o.Err
	case o.Method == control.MethodState:
		return withheld
	default:
		return finalError(withheld, o.MaybeExecuted || o.Err == nil)
	}
}

// revealsVersion reports whether an outcome shows the caller which version is in force,
// by whether its queue exists. Errors that say that nothing was done, or that this is
// unknown, don't.
func revealsVersion(err error) bool {
	if err == nil {
		return true
	}
	switch fault.KindOf(err) {
	case fault.NotFound, fault.Cancelled, fault.Conflict, fault.Invalid:
		return true
	default:
		return false
	}
}

// admit records the answer to a request by a version. The error is of kind Unavailable
// if the answer contradicts the order of the requests; nothing is recorded then. A
// change of version since the last answer is logged; answeredBy is the address of the
// instance that answered.
func (o *versionOrder) admit(version uint64, receivedAt time.Time, answeredBy string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if other := o.conflictingVersion(version, receivedAt); other != 0 {
		return fault.Retry(fault.Unavailable, RetryAfter,
			"the answer by configuration version %d is withheld, because another request was answered by version %d", version, other)
	}
	o.record(version, receivedAt)
	if version != o.lastVersion {
		_ = o.logger.Log("event", "answered_by", "version", version, "before", o.lastVersion, "from", answeredBy,
			"waited_ms", time.Since(receivedAt).Milliseconds())
	}
	o.lastVersion = version
	return nil
}

// conflictingVersion returns the version of an earlier answer that contradicts an
// answer by version, 0 for none. o.mu is held.
func (o *versionOrder) conflictingVersion(version uint64, receivedAt time.Time) uint64 {
	for _, span := range o.spans {
		laterRequestGotOlder := span.version < version && span.lastReceived.Sub(receivedAt) > reorderTolerance
		earlierRequestGotNewer := span.version > version && receivedAt.Sub(span.firstReceived) > reorderTolerance
		if laterRequestGotOlder || earlierRequestGotNewer {
			return span.version
		}
	}
	return 0
}

// record adds a request to its version's span. o.mu is held.
func (o *versionOrder) record(version uint64, receivedAt time.Time) {
	i, known := slices.BinarySearchFunc(o.spans, version, func(s versionSpan, v uint64) int { return cmp.Compare(s.version, v) })
	if !known {
		o.spans = slices.Insert(o.spans, i, versionSpan{version: version, firstReceived: receivedAt, lastReceived: receivedAt})
		o.dropOldest()
		return
	}
	o.spans[i].extend(receivedAt)
}

// dropOldest drops the span of the oldest version if there are more than
// maxVersionSpans. o.mu is held.
func (o *versionOrder) dropOldest() {
	if len(o.spans) <= maxVersionSpans {
		return
	}
	// The last request of the oldest version still shows which answers by newer
	// versions would contradict the order of the requests, so the next span is extended
	// by it. Its first request says nothing about the next version.
	if oldest := o.spans[0]; oldest.lastReceived.After(o.spans[1].lastReceived) {
		o.spans[1].lastReceived = oldest.lastReceived
	}
	o.spans = slices.Delete(o.spans, 0, 1)
}

// extend adds a request to the span.
func (s *versionSpan) extend(receivedAt time.Time) {
	if receivedAt.Before(s.firstReceived) {
		s.firstReceived = receivedAt
	}
	if receivedAt.After(s.lastReceived) {
		s.lastReceived = receivedAt
	}
}
