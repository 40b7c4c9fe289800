package instance

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/bilberryferry/bilberryferry/customer"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/control"
)

const (
	// deniedCallsPerSecond is how many calls with a key that isn't known to this instance may be
	// denied per second, and deniedCallsBurst how many at once. The burst lets the first calls of
	// all customers through after a start.
	deniedCallsPerSecond = 20
	deniedCallsBurst     = 100
	// maxKnownKeys bounds the keys that an instance remembers.
	maxKnownKeys = 16_384
	// unknownKeyRetryAfter is the retry delay of a call that isn't passed on: by then some denied
	// calls are allowed again.
	unknownKeyRetryAfter = time.Second
)

// unknownKeys bounds the calls with unknown keys that an instance passes on. Each costs the leader a
// round of the log, because a key may just have been added; a flood of random keys would otherwise
// keep it from its work. Calls with keys that were accepted before aren't bounded, nor are calls
// without a key, which a queue may be open to. It is safe for concurrent use.
type unknownKeys struct {
	denied *rate.Limiter
	now    func() time.Time

	mu sync.Mutex
	// known are the keys of which a call was accepted. inFlight counts the calls in flight with
	// other keys.
	known    map[customer.Digest]bool
	inFlight int
}

func newUnknownKeys(now func() time.Time) *unknownKeys {
	return &unknownKeys{
		denied: rate.NewLimiter(deniedCallsPerSecond, deniedCallsBurst),
		now:    now,
		known:  map[customer.Digest]bool{},
	}
}

// admit returns a fault of kind Unavailable for a call with an unknown key while too many of them were
// denied. Otherwise done must be called with the outcome of the call.
func (k *unknownKeys) admit(p control.Principal) (done func(err error), err error) {
	if p.Key == nil {
		return func(error) {}, nil
	}
	key := *p.Key
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.known[key] {
		return func(err error) { k.record(key, err) }, nil
	}
	if float64(k.inFlight+1) > k.denied.TokensAt(k.now()) {
		return nil, fault.Retry(fault.Unavailable, unknownKeyRetryAfter, "too many calls with unknown keys")
	}
	k.inFlight++
	return func(err error) {
		k.record(key, err)
		k.mu.Lock()
		defer k.mu.Unlock()
		k.inFlight--
	}, nil
}

// record remembers a key whose call was accepted, and counts and forgets one whose call was denied.
// Other errors say nothing about the key.
func (k *unknownKeys) record(key customer.Digest, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case err == nil, fault.Is(err, fault.Cancelled):
		if len(k.known) >= maxKnownKeys {
			clear(k.known)
		}
		k.known[key] = true
	case fault.Is(err, fault.Denied):
		delete(k.known, key)
		k.denied.AllowN(k.now(), 1)
	}
}
