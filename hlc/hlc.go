// Package hlc implements a hybrid logical clock. Its timestamps stay close to wall
// time, never go back within one process, and order an event after every event that
// may have caused it. They sort the event timeline. No safety property depends on a
// timestamp: leases use monotonic clocks, and the replicated log orders decisions.
package hlc

import (
	"cmp"
	"fmt"
	"math"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxAhead is the furthest that a remote timestamp may lie ahead of the local wall
// clock. The clock doesn't adopt a timestamp further ahead.
const MaxAhead = 10 * time.Second

// ErrMalformed is wrapped by the errors of Parse.
var ErrMalformed = errors.New("malformed timestamp")

// Timestamp is one reading of the clock. The zero Timestamp is before all others.
type Timestamp struct {
	// Wall is the wall time in Unix milliseconds.
	Wall int64 `cbor:"1,keyasint,omitempty"`
	// Logical orders the timestamps of one millisecond.
	Logical uint32 `cbor:"2,keyasint,omitempty"`
}

// Compare returns -1 if s is before t, 0 if they are equal, and +1 if s is after t.
func (s Timestamp) Compare(t Timestamp) int {
	if c := cmp.Compare(s.Wall, t.Wall); c != 0 {
		return c
	}
	return cmp.Compare(s.Logical, t.Logical)
}

// IsZero reports whether s is the zero Timestamp.
func (s Timestamp) IsZero() bool {
	return s == Timestamp{}
}

// Time returns the wall time of s, without its logical counter.
func (s Timestamp) Time() time.Time {
	return time.UnixMilli(s.Wall)
}

// String returns the milliseconds and the logical counter, as in "1796236685000.0".
// Parse reads this form.
func (s Timestamp) String() string {
	return fmt.Sprintf("%d.%d", s.Wall, s.Logical)
}

// Parse parses the form that String returns. Its error wraps ErrMalformed.
func Parse(text string) (Timestamp, error) {
	wall, logical, found := strings.Cut(text, ".")
	if !found {
		return Timestamp{}, errors.Wrapf(ErrMalformed, "%q has no logical counter", text)
	}
	w, err := strconv.ParseInt(wall, 10, 64)
	if err != nil {
		return Timestamp{}, errors.Wrapf(ErrMalformed, "wall time of %q", text)
	}
	l, err := strconv.ParseUint(logical, 10, 32)
	if err != nil {
		return Timestamp{}, errors.Wrapf(ErrMalformed, "logical counter of %q", text)
	}
	return Timestamp{Wall: w, Logical: uint32(l)}, nil
}

// next returns the smallest timestamp after s.
func (s Timestamp) next() Timestamp {
	if s.Logical == math.MaxUint32 {
		return Timestamp{Wall: s.Wall + 1}
	}
	return Timestamp{Wall: s.Wall, Logical: s.Logical + 1}
}

// Clock issues timestamps. Its zero value is ready to use. It is safe for concurrent
// use.
type Clock struct {
	mu sync.Mutex
	// last is the latest timestamp that the clock has returned or adopted.
	last Timestamp
	// rejected counts the remote timestamps that Observe has ignored.
	rejected uint64
}

// Now returns a timestamp for a local event. It is after every timestamp that the
// clock has returned or adopted, and not before wall.
func (c *Clock) Now(wall time.Time) Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.advance(Timestamp{Wall: wall.UnixMilli()})
}

// Observe adopts the timestamp of a received message and returns the timestamp of its
// receipt, which is after both remote and every earlier timestamp of the clock.
//
// Guards against one process whose wall clock runs hours ahead: if every process adopted
// its timestamps and passed them on, the event timeline of the whole system would move
// into the future. If remote is more than MaxAhead ahead of the local wall clock, Observe
// ignores remote, treats the receipt as a local event and counts it in Rejected. Each
// process compares remote with its own wall clock, so errors can't add up over several
// processes.
func (c *Clock) Observe(remote Timestamp, wall time.Time) Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	local := Timestamp{Wall: wall.UnixMilli()}
	if remote.Wall > local.Wall+MaxAhead.Milliseconds() {
		c.rejected++
		return c.advance(local)
	}
	if remote.Compare(c.last) > 0 {
		c.last = remote
	}
	return c.advance(local)
}

// Rejected returns the number of remote timestamps that Observe has ignored because
// they were more than MaxAhead ahead of the local wall clock.
func (c *Clock) Rejected() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rejected
}

// advance sets last to local if local is after last, and otherwise to the smallest
// timestamp after last. It returns the new last. c.mu must be held.
func (c *Clock) advance(local Timestamp) Timestamp {
	if local.Compare(c.last) > 0 {
		c.last = local
	} else {
		c.last = c.last.next()
	}
	return c.last
}
