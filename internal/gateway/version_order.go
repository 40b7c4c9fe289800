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
	// overtaking is by how much a request may have begun before another one and be
	// answered by a newer version of the configuration all the same. Callers take a
	// request for a later one that is sent 250 ms later; this is less by what the way
	// here may take. It costs little: 0 to 2 answers were withheld in each of seven plays
	// of three days with trouble, of 62 s with 9 edges.
	reorderTolerance = 100 * time.Millisecond
	// maxVersionSpans bounds the versions that are remembered; a request lasts 10 s at most, in
	// which few are committed.
	maxVersionSpans = 8
)

// answers knows by which versions of the configuration this instance has answered
// its callers, and keeps the answers in the order of the requests. It is safe for
// concurrent use.
//
// Failure guarded against: a request is held at a leader that was cut off, and the
// next leader answers it by a version that was committed meanwhile, while one that
// came later was answered at once by the version before. It shows as an instance
// that goes back to an older version: each answer is by the newest version of its
// moment, but callers go by when they asked. The guard withholds the answer that
// comes second, whichever it is; its caller asks again and gets one by the newest
// version. Out-of-date leaders are covered as well: an answer by an older version
// than an earlier request's is withheld.
type versionOrder struct {
	logger log.Logger

	mu sync.Mutex
	// last is the version of the last answer.
	lastVersion uint64
	// spans are in the order of their versions.
	spans []versionSpan
}

// span is when the requests began that were answered by a version: the first one
// and the last one of them.
type versionSpan struct {
	version                     uint64
	firstReceived, lastReceived time.Time
}

// Outcome is what became of a caller's request.
type Outcome struct {
	Method string
	// Begun is when the request came.
	ReceivedAt time.Time
	// Version is that of the configuration by which it was answered, 0 for none, and
	// From the address of the instance that did.
	Version    uint64
	AnsweredBy string
	// Open says that an earlier try may have been carried out.
	MaybeExecuted bool
	// Err is nil for success.
	Err error
}

// WithholdOutOfOrder returns the error of an outcome. It is another one when the outcome is
// withheld because it would be out of order.
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

// revealsVersion reports whether an outcome tells a caller which version was in force:
// whether its queue is there. That nothing was done, or isn't known, tells nothing.
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

// take reports whether a request that began at begun may be answered by a version,
// and takes in that it is. It logs when the version isn't that of the last answer;
// from is the address of the instance that answered.
func (o *versionOrder) admit(version uint64, receivedAt time.Time, answeredBy string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if other := o.conflictingVersion(version, receivedAt); other != 0 {
		return fault.Retry(fault.Unavailable, RetryAfter,
			"an answer by version %d is withheld after one by %d to another request", version, other)
	}
	o.record(version, receivedAt)
	if version != o.lastVersion {
		_ = o.logger.Log("event", "answered_by", "version", version, "before", o.lastVersion, "from", answeredBy,
			"waited_ms", time.Since(receivedAt).Milliseconds())
	}
	o.lastVersion = version
	return nil
}

// conflict returns the version of an answer with which one by version would be in
// the wrong order, 0 for none. a.mu is held.
func (o *versionOrder) conflictingVersion(version uint64, receivedAt time.Time) uint64 {
	for _, s := range o.spans {
		laterByOlder := s.version < version && s.lastReceived.Sub(receivedAt) > reorderTolerance
		earlierByNewer := s.version > version && receivedAt.Sub(s.firstReceived) > reorderTolerance
		if laterByOlder || earlierByNewer {
			return s.version
		}
	}
	return 0
}

// widen takes a request into its version's span. a.mu is held.
func (o *versionOrder) record(version uint64, receivedAt time.Time) {
	i, known := slices.BinarySearchFunc(o.spans, version, func(s versionSpan, v uint64) int { return cmp.Compare(s.version, v) })
	if !known {
		o.spans = slices.Insert(o.spans, i, versionSpan{version: version, firstReceived: receivedAt, lastReceived: receivedAt})
		o.dropOldest()
		return
	}
	o.spans[i].extend(receivedAt)
}

// forget drops the oldest version when there are too many.
func (o *versionOrder) dropOldest() {
	if len(o.spans) <= maxVersionSpans {
		return
	}
	// Its last request still tells which answers by newer versions would be too late; its
	// first one tells nothing of the next version.
	if oldest := o.spans[0]; oldest.lastReceived.After(o.spans[1].lastReceived) {
		o.spans[1].lastReceived = oldest.lastReceived
	}
	o.spans = slices.Delete(o.spans, 0, 1)
}

// add takes in a request that began at begun.
func (s *versionSpan) extend(receivedAt time.Time) {
	if receivedAt.Before(s.firstReceived) {
		s.firstReceived = receivedAt
	}
	if receivedAt.After(s.lastReceived) {
		s.lastReceived = receivedAt
	}
}
