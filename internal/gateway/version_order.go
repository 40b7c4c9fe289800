package gateway

import (
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/control"
	"github.com/bilberryferry/bilberryferry/internal/link"
)

// orderMargin is how much later than another request a request must have been read for its response to
// show a newer version of the configuration.
//
// Callers order responses by when they sent the requests, and expect order between requests that they
// sent at least 250 ms apart. This instance only knows when it read them. A request waits unread while the
// instance is suspended or gets no processor time; the order holds if no request waits for more than
// orderMargin and those 250 ms.
const orderMargin = time.Second

// versionOrder records the configuration versions of the responses that this instance has
// sent to its callers, and withholds responses that contradict the order of the requests.
// A versionOrder is safe for concurrent use.
//
// The order is contradicted if a later request gets a response that only an older version
// gives. An example: a request waits at a partitioned leader until the next leader responds,
// after another version has been committed; a later request got its response immediately,
// with the version before. Callers order the responses by the times of their requests, and
// see the instance return to an older version. The second of the two responses is therefore
// withheld; its caller retries and gets a response of the newest version. The response of
// an out-of-date leader is also withheld if a request got a newer version.
//
// Most responses are the same under many versions and contradict none of them. Only calls to
// queues, or with keys, that a version has just changed are withheld for orderMargin.
type versionOrder struct {
	logger log.Logger

	mu sync.Mutex
	// newest is the newest version of the last response.
	newest uint64
	// lastRead holds, by the newest version of responses, when the last of their requests was read.
	// firstRead holds, by the oldest version of responses, when the first one was read.
	lastRead, firstRead readTimes
}

// Outcome is the outcome of a caller's request.
type Outcome struct {
	Method string
	// ReceivedAt is when the request arrived at this instance.
	ReceivedAt time.Time
	// Versions are the configuration versions that the response names.
	Versions link.Versions
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
	if o.Versions.Newest == 0 || !revealsVersion(o.Err) {
		return o.Err
	}
	withheld := g.versionOrder.admit(o.Versions, o.ReceivedAt, o.RespondedBy)
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

// AlikeSince returns the oldest version of the configuration that may still show in responses to requests
// sent after one that was read at receivedAt, 0 for none. A response that this version doesn't give
// would be withheld.
func (g *Gateway) AlikeSince(receivedAt time.Time) uint64 {
	o := &g.versionOrder
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lastRead.firstAfter(receivedAt.Add(-orderMargin))
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

// admit records the versions of a response. If they contradict the order of the requests,
// admit records nothing and returns an error of kind Unavailable. It logs a
// change of version since the last response; respondedBy is the address of the instance
// that responded.
func (o *versionOrder) admit(v link.Versions, receivedAt time.Time, respondedBy string) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if conflicting := o.conflictingVersion(v, receivedAt); conflicting != 0 {
		return fault.Retry(fault.Unavailable, RetryAfter,
			"the response of configuration versions %d to %d is withheld, because another request got one of version %d", v.Oldest, v.Newest, conflicting)
	}
	o.lastRead.raise(v.Newest, receivedAt)
	o.firstRead.lower(v.Oldest, receivedAt)
	if v.Newest != o.newest {
		_ = o.logger.Log("event", "answered_by", "version", v.Newest, "before", o.newest, "from", respondedBy,
			"waited_ms", time.Since(receivedAt).Milliseconds())
	}
	o.newest = v.Newest
	return nil
}

// conflictingVersion checks a response to a request read at receivedAt against the recorded
// responses. It returns the version of one that is older than all of v although its request was
// read less than orderMargin before receivedAt, or newer than all of v although its request was
// read less than orderMargin after it, and 0 if there is none. o.mu must be held.
func (o *versionOrder) conflictingVersion(v link.Versions, receivedAt time.Time) uint64 {
	if older, at, ok := o.lastRead.before(v.Oldest); ok && receivedAt.Sub(at) < orderMargin {
		return older
	}
	if newer, at, ok := o.firstRead.after(v.Newest); ok && at.Sub(receivedAt) < orderMargin {
		return newer
	}
	return 0
}
