package peer

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
)

// receiver is a Mux that records the payloads delivered to its group.
type receiver struct {
	*Mux
	mu       sync.Mutex
	payloads []string
}

func (r *receiver) delivered() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.payloads)
}

func newReceiver() *receiver {
	r := &receiver{Mux: NewMux(Config{ID: "b"})}
	r.Register("log", func(_ string, payload []byte) error {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.payloads = append(r.payloads, string(payload))
		return nil
	})
	return r
}

// call makes a call whose payload names its session and sequence number.
func (r *receiver) call(t must.T, session uint32, sequence uint64) {
	_, err := r.Exchange(context.Background(), &apiv1.ExchangeRequest{
		FormatVersion: FormatVersion, From: "a", To: "b", Session: session, Sequence: sequence,
		Groups: []*apiv1.GroupMessages{{Group: "log", Messages: [][]byte{fmt.Appendf(nil, "%d/%d", session, sequence)}}},
	})
	must.NoError(t, err)
}

func (r *receiver) calls(t must.T, session uint32, sequences ...uint64) {
	for _, s := range sequences {
		r.call(t, session, s)
	}
}

// Under load, a later one of several concurrent calls is served first. If it were
// delivered immediately, the log would reject its entries because earlier ones are
// missing, and commits would take several round trips.
func TestOvertakingCallsAreDeliveredInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReceiver()
		r.calls(t, 7, 1, 4, 3)
		must.Eq(t, []string{"7/1"}, r.delivered())
		r.calls(t, 7, 2, 6, 5)
		must.Eq(t, []string{"7/1", "7/2", "7/3", "7/4", "7/5", "7/6"}, r.delivered())
		must.Nil(t, r.sequencers["a"].holdTimer)
	})
}

// A call is lost. If all later calls waited for it, the group's heartbeats would stop until
// a new connection is opened. Calls that are held for it must be delivered after holdTime,
// and later ones immediately. A call that is only slow, such as a large snapshot, must
// still be delivered when it arrives.
func TestLostCallDelaysLaterCallsByHoldTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReceiver()
		r.calls(t, 7, 1, 3)
		time.Sleep(holdTime / 2)
		r.calls(t, 7, 5)
		time.Sleep(holdTime/2 - time.Nanosecond)
		synctest.Wait()
		must.Eq(t, []string{"7/1"}, r.delivered())
		time.Sleep(time.Nanosecond)
		synctest.Wait()
		must.Eq(t, []string{"7/1", "7/3", "7/5"}, r.delivered())
		r.calls(t, 7, 6, 2)
		must.Eq(t, []string{"7/1", "7/3", "7/5", "7/6", "7/2"}, r.delivered())
	})
}

// The HTTP client repeats a call after the connection broke although the first had
// arrived. It must be delivered once, whether it comes early, in order or late.
func TestDuplicateCallIsDeliveredOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReceiver()
		r.calls(t, 7, 1, 1, 3, 3)
		time.Sleep(holdTime)
		synctest.Wait()
		r.calls(t, 7, 2, 2, 3, 1)
		must.Eq(t, []string{"7/1", "7/3", "7/2"}, r.delivered())
		received, refused := r.Counters()
		must.Eq(t, 3, received)
		must.Eq(t, 5, refused)
	})
}

// The sender restarts and numbers its calls from 1 again. These calls must not be taken for
// duplicates, and calls of the old process must be dropped.
func TestRestartedSenderStartsNewSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReceiver()
		r.calls(t, 7, 1, 2, 4)
		r.calls(t, 8, 1, 3)
		r.calls(t, 7, 3, 5)
		r.calls(t, 8, 2)
		must.Eq(t, []string{"7/1", "7/2", "7/4", "8/1", "8/2", "8/3"}, r.delivered())
	})
}

// The receiver restarts in the middle of a session. The first call that arrives has
// overtaken others; all of them must be delivered without delay.
func TestRestartedReceiverDeliversCallsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReceiver()
		r.calls(t, 7, 1003, 1001, 1002, 1002, 1004)
		must.Eq(t, []string{"7/1003", "7/1001", "7/1002", "7/1004"}, r.delivered())
	})
}

// gapBits is the binary logarithm of 1<<gapBits, the sequence number after the first large
// gap.
const gapBits = 40

// A sender numbers its calls with gaps. The calls that the receiver holds and remembers
// as missing must stay bounded.
func TestHeldAndMissingCallsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReceiver()
		r.call(t, 7, 1)
		for i := range uint64(maxHeldCalls) {
			r.call(t, 7, 3+i)
		}
		must.Len(t, 1, r.delivered())
		r.call(t, 7, 3+maxHeldCalls)
		must.Len(t, maxHeldCalls+2, r.delivered())
		must.MapEmpty(t, r.sequencers["a"].held)
		for i := range uint64(3) {
			r.call(t, 7, 1<<(gapBits+i))
			time.Sleep(holdTime)
			synctest.Wait()
		}
		must.Len(t, maxHeldCalls+5, r.delivered())
		must.LessEq(t, missingWindow, len(r.sequencers["a"].missing))
		// This call is older than missingWindow, so it isn't recognised as a duplicate.
		r.call(t, 7, 2)
		must.Len(t, maxHeldCalls+6, r.delivered())
	})
}

// Calls are lost, duplicated, late and out of order. Each call that arrives must be
// delivered once, and in order unless the wait for an earlier one timed out.
func TestRandomArrivalsAreDeliveredOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			r := newReceiver()
			r.call(rt, 7, 1)
			arrived := map[string]bool{"7/1": true}
			waited := false
			for range rapid.IntRange(1, 60).Draw(rt, "calls") {
				s := rapid.Uint64Range(1, 40).Draw(rt, "sequence")
				if rapid.IntRange(0, 9).Draw(rt, "wait") == 0 {
					time.Sleep(holdTime)
					synctest.Wait()
					waited = true
				}
				r.call(rt, 7, s)
				arrived[fmt.Sprintf("7/%d", s)] = true
			}
			if !waited {
				for i, got := range r.delivered() {
					must.Eq(rt, fmt.Sprintf("7/%d", i+1), got)
				}
			}
			time.Sleep(holdTime)
			synctest.Wait()
			must.Len(rt, len(arrived), r.delivered())
			for _, got := range r.delivered() {
				must.True(rt, arrived[got])
			}
		})
	})
}

// A new sender's second call arrives before its first. If the receiver took the call that
// arrives first for the start of the session, the log would need another round trip at the
// start of each process.
func TestFirstCallsOfSessionAreDeliveredInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReceiver()
		r.calls(t, 7, 2)
		must.SliceEmpty(t, r.delivered())
		r.calls(t, 7, 1)
		must.Eq(t, []string{"7/1", "7/2"}, r.delivered())
	})
}
