package gateway

import (
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/bilberryferry/bilberryferry/fault"
)

// answers knows by which versions of the configuration this instance has answered
// its callers. It is safe for concurrent use.
type answers struct {
	logger log.Logger

	mu sync.Mutex
	// last is the version of the last answer.
	last uint64
}

// showsVersion reports whether an outcome tells a caller which version was in force:
// whether its queue is there. That nothing was done, or isn't known, tells nothing.
func showsVersion(err error) bool {
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

// note takes in that a request that began at begun is answered by a version, as
// the instance at address from said, and logs when that isn't the last one's.
func (a *answers) note(version uint64, begun time.Time, from string) {
	a.mu.Lock()
	before := a.last
	a.last = version
	a.mu.Unlock()
	if version != before {
		_ = a.logger.Log("event", "answered_by", "version", version, "before", before, "from", from,
			"waited_ms", time.Since(begun).Milliseconds())
	}
}
