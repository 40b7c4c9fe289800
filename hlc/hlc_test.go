package hlc_test

import (
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/bilberryferry/bilberryferry/hlc"
)

// ExampleClock shows that a receipt is ordered after its send although the receiver's
// wall clock is behind.
func ExampleClock() {
	var sender, receiver hlc.Clock
	sent := sender.Now(time.UnixMilli(2000))
	// The receiver's wall clock is a second behind.
	received := receiver.Observe(sent, time.UnixMilli(1000))
	fmt.Println(sent, received, sent.Compare(received))
	// Output: 2000.0 2000.1 -1
}

// Guards against a receipt that is ordered before its send, timestamps of a process
// that don't grow, and timestamps further ahead of the process's own wall clock than
// MaxAhead, when processes with skewed wall clocks exchange messages.
func TestReceiptIsAfterSend(t *testing.T) {
	const maxSkewMillis = 30_000
	rapid.Check(t, func(t *rapid.T) {
		skew := rapid.SliceOfN(rapid.Int64Range(-maxSkewMillis, maxSkewMillis), 2, 4).Draw(t, "skew")
		clocks := make([]hlc.Clock, len(skew))
		last := make([]hlc.Timestamp, len(skew))
		now := int64(1_000_000)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Int64Range(0, 5).Draw(t, "passed")
			from := rapid.IntRange(0, len(skew)-1).Draw(t, "from")
			to := rapid.IntRange(0, len(skew)-1).Draw(t, "to")
			sent := clocks[from].Now(time.UnixMilli(now + skew[from]))
			must.Eq(t, 1, sent.Compare(last[from]))
			last[from] = sent
			wall := now + skew[to]
			rejected := clocks[to].Rejected()
			received := clocks[to].Observe(sent, time.UnixMilli(wall))
			must.Eq(t, 1, received.Compare(last[to]))
			last[to] = received
			if clocks[to].Rejected() == rejected {
				must.Eq(t, 1, received.Compare(sent))
			}
			must.LessEq(t, wall+hlc.MaxAhead.Milliseconds(), received.Wall)
		}
	})
}

// Guards against timestamps that go back when the wall clock is set back, or when the
// logical counter has reached its maximum.
func TestTimestampsNeverGoBack(t *testing.T) {
	var c hlc.Clock
	first := c.Now(time.UnixMilli(5000))
	second := c.Now(time.UnixMilli(4000))
	must.Eq(t, hlc.Timestamp{Wall: 5000, Logical: 1}, second)
	must.Eq(t, -1, first.Compare(second))
	maxLogical := hlc.Timestamp{Wall: 6000, Logical: math.MaxUint32}
	must.Eq(t, hlc.Timestamp{Wall: 6001}, c.Observe(maxLogical, time.UnixMilli(5500)))
}

// Guards against timestamps that change when they are formatted and parsed again, and
// against malformed texts that are accepted.
func TestParseReadsStringAndRejectsMalformed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := hlc.Timestamp{Wall: rapid.Int64().Draw(t, "wall"), Logical: rapid.Uint32().Draw(t, "logical")}
		parsed, err := hlc.Parse(s.String())
		must.NoError(t, err)
		must.Eq(t, s, parsed)
	})
	for _, text := range []string{"", "7", "a.1", "1.b", "1.-1", "1.4294967296"} {
		_, err := hlc.Parse(text)
		must.ErrorIs(t, err, hlc.ErrMalformed)
	}
}

// Guards against equal timestamps of one clock that several goroutines use at the
// same time.
func TestConcurrentTimestampsDiffer(t *testing.T) {
	const goroutines, perGoroutine = 4, 200
	var c hlc.Clock
	var mu sync.Mutex
	var group sync.WaitGroup
	seen := map[hlc.Timestamp]bool{}
	for range goroutines {
		group.Go(func() {
			for range perGoroutine {
				s := c.Now(time.UnixMilli(1))
				mu.Lock()
				seen[s] = true
				mu.Unlock()
			}
		})
	}
	group.Wait()
	must.MapLen(t, goroutines*perGoroutine, seen)
}

// BenchmarkNow measures issuing one timestamp.
func BenchmarkNow(b *testing.B) {
	var c hlc.Clock
	wall := time.UnixMilli(1)
	for b.Loop() {
		c.Now(wall)
	}
}
