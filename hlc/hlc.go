// Package hlc gives a hybrid logical clock: stamps that stay close to wall
// time, never go back on one process, and order an event after every event
// that it can have been caused by. The time line of events is sorted by them.
// Nothing that must be safe depends on a stamp: leases count on monotonic
// clocks, and decisions are ordered by the replicated log.
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

// MaxAhead is how far a remote stamp may lie ahead of the local wall clock. A
// stamp further ahead is not taken over.
const MaxAhead = 10 * time.Second

// ErrMalformed is what Parse wraps for text that is not a stamp.
var ErrMalformed = errors.New("malformed stamp")

// Stamp is one reading of the clock. The zero Stamp is before all others.
type Timestamp struct {
	// Wall is in Unix milliseconds.
	Wall int64 `cbor:"1,keyasint,omitempty"`
	// Logical orders the stamps of one millisecond.
	Logical uint32 `cbor:"2,keyasint,omitempty"`
}

// Compare returns -1, 0 or +1 as s is before, equal to or after t.
func (s Timestamp) Compare(t Timestamp) int {
	if c := cmp.Compare(s.Wall, t.Wall); c != 0 {
		return c
	}
	return cmp.Compare(s.Logical, t.Logical)
}

// IsZero says whether s is the zero Stamp.
func (s Timestamp) IsZero() bool {
	return s == Timestamp{}
}

// Time returns the wall part.
func (s Timestamp) Time() time.Time {
	return time.UnixMilli(s.Wall)
}

// String gives the milliseconds and the logical counter, as in
// "1796236685000.0". Parse reads it back.
func (s Timestamp) String() string {
	return fmt.Sprintf("%d.%d", s.Wall, s.Logical)
}

// Parse reads the form that String writes. Its error wraps ErrMalformed.
func Parse(text string) (Timestamp, error) {
	wall, logical, found := strings.Cut(text, ".")
	if !found {
		return Timestamp{}, errors.Wrapf(ErrMalformed, "%q has no logical part", text)
	}
	w, err := strconv.ParseInt(wall, 10, 64)
	if err != nil {
		return Timestamp{}, errors.Wrapf(ErrMalformed, "wall part of %q", text)
	}
	l, err := strconv.ParseUint(logical, 10, 32)
	if err != nil {
		return Timestamp{}, errors.Wrapf(ErrMalformed, "logical part of %q", text)
	}
	return Timestamp{Wall: w, Logical: uint32(l)}, nil
}

// next returns the smallest stamp after s.
func (s Timestamp) next() Timestamp {
	if s.Logical == math.MaxUint32 {
		return Timestamp{Wall: s.Wall + 1}
	}
	return Timestamp{Wall: s.Wall, Logical: s.Logical + 1}
}

// Clock makes stamps. Its zero value is ready; it may be used by several
// goroutines at once.
type Clock struct {
	mu       sync.Mutex
	last     Timestamp
	rejected uint64
}

// Now returns a stamp for a local event: after every stamp that the clock has
// returned or taken over, and not before wall.
func (c *Clock) Now(wall time.Time) Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.advance(Timestamp{Wall: wall.UnixMilli()})
}

// Observe takes over the stamp of a received message and returns the stamp of
// its receipt, which is after both remote and every earlier stamp.
//
// Failure guarded against: a process whose wall clock runs hours ahead sends
// one message, every process takes the stamp over and hands it on, and the
// time line of the whole system is in the future until that time has come. A
// stamp more than MaxAhead before the local wall clock is therefore left out:
// the receipt is then stamped as a local event and Rejected counts it. Since
// each process compares with its own wall clock, stamps can't creep ahead by
// being handed on either.
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

// Rejected counts the stamps that lay too far ahead.
func (c *Clock) Rejected() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rejected
}

// advance moves the clock to local, or by one step where local is not ahead.
func (c *Clock) advance(local Timestamp) Timestamp {
	if local.Compare(c.last) > 0 {
		c.last = local
	} else {
		c.last = c.last.next()
	}
	return c.last
}
