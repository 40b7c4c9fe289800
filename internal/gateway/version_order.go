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
	// reorderTolerance is the greatest time between two requests whose responses may
	// contradict their order: the earlier request may get a newer configuration version
	// than the later one. Callers expect order between requests that they send at least
	// 250 ms apart; the rest of the 250 ms allows for the delay between a caller and this
	// instance. Few responses are withheld even with such a short tolerance.
	reorderTolerance = 100 * time.Millisecond
	// maxVersionSpans is the maximum number of recorded versions. A request takes 10 s at
	// most, and few versions are committed in that time.
	maxVersionSpans = 8
)

// versionOrder records the configuration versions of the responses that this instance has
// sent to its callers, and withholds responses that contradict the order of the requests.
// The version of a response is the one that was in force when the response was made. A
// versionOrder is safe for concurrent use.
//
// The order is contradicted if a later request gets a response of an older version. An
// example: a request waits at a partitioned leader until the next leader responds, after
// another version has been committed; a later request got its response immediately, with
// the version before. Callers order the responses by the times of their requests, and see
// the instance return to an older version. The second of the two responses is therefore
// withheld; its caller retries and gets a response of the newest version. The response of
// an out-of-date leader is also withheld if an earlier request got a newer version.
type versionOrder struct {
	logger log.Logger

	mu sync.Mutex
	// lastVersion is the version of the last response.
	lastVersion uint64
	// spans holds the newest versions, sorted by version.
	spans []versionSpan
}

// versionSpan holds when the first and the last of the requests that got a response of one
// version were received.
type versionSpan struct {
	version                     uint64
	firstReceived, lastReceived time.Time
}

// Outcome is the outcome of a caller's request.
type Outcome struct {
	Method string
	// ReceivedAt is when the request arrived at this instance.
	ReceivedAt time.Time
	// Version is the configuration version of the response, 0 for none.
	Version uint64
	// RespondedBy is the address of the instance that responded.
	RespondedBy string
	// MaybeExecuted is true if an earlier try may have been executed.
	MaybeExecuted bool
	// Err is nil for success.
	Err error
}

// WithholdOutOfOrder returns o.Err, or another error if the response must be withheld from
// the caller because its version contradicts the order of the requests. The other error is
// of kind Unavailable if nothing was done, and Unknown if a change may have been made.
func (g *Gateway) WithholdOutOfOrder(o Outcome) error {
	if o.Version == 0 || !revealsVersion(o.Err) {
		return o.Err
	}
	withheld := g.versionOrder.admit(o.Version, o.ReceivedAt, o.RespondedBy)
	if withheld != nil {
		g.counters.Add("responses_withheld", 1)
	}
	switch {
	case withheld == nil:
		return o.Err
	case o.Method == control.MethodState:
		return withheld
	default:
		return finalError(withheld, o.MaybeExecuted || o.Err == nil)
	}
}

// revealsVersion reports whether a response with this error shows the caller which version
// is in force, for example by whether a queue exists. An error that says only that nothing
// was done, or that the outcome is unknown, doesn't show it.
func revealsVersion(err error) bool {
	if err == nil {
		return true
	}
	switch fault.KindOf(err) {
	case fault.NotFound, fault.Denied, fault.Cancelled, fault.Conflict, fault.Invalid:
		return true
	default:
		return false
	}
}

// admit records the version of a response. If the version contradicts the order of the
// requests, admit records nothing and returns an error of kind Unavailable. It logs a
// change of version since the last response; respondedBy is the address of the instance
// that responded.
func (o *versionOrder) admit(version uint64, receivedAt time.Time, respondedBy string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if conflicting := o.conflictingVersion(version, receivedAt); conflicting != 0 {
		return fault.Retry(fault.Unavailable, RetryAfter,
			"the response of configuration version %d is withheld, because another request got one of version %d", version, conflicting)
	}
	o.record(version, receivedAt)
	if version != o.lastVersion {
		_ = o.logger.Log("event", "answered_by", "version", version, "before", o.lastVersion, "from", respondedBy,
			"waited_ms", time.Since(receivedAt).Milliseconds())
	}
	o.lastVersion = version
	return nil
}

// conflictingVersion checks a response of version to a request received at receivedAt
// against the recorded responses. It returns an older version that a later request got, or
// a newer version that an earlier request got, if more than reorderTolerance lies between
// the two requests, and 0 if there is none. o.mu must be held.
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

// record adds a request to the span of the version. o.mu must be held.
func (o *versionOrder) record(version uint64, receivedAt time.Time) {
	i, known := slices.BinarySearchFunc(o.spans, version, func(s versionSpan, v uint64) int { return cmp.Compare(s.version, v) })
	if !known {
		o.spans = slices.Insert(o.spans, i, versionSpan{version: version, firstReceived: receivedAt, lastReceived: receivedAt})
		o.dropOldest()
		return
	}
	o.spans[i].extend(receivedAt)
}

// dropOldest drops the span of the oldest version if there are more than maxVersionSpans
// spans. o.mu must be held.
func (o *versionOrder) dropOldest() {
	if len(o.spans) <= maxVersionSpans {
		return
	}
	// The last request of the oldest version still rules out responses of newer versions
	// to earlier requests, so the next span is extended to that request. The first request
	// of the oldest version restricts only responses of older versions.
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
