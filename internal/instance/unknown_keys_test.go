package instance

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/customer"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/control"
)

// holderOf returns the principal of a call with a key.
func holderOf(key string) control.Principal {
	digest := customer.DigestOf(key)
	return control.Principal{Key: &digest}
}

// stoppedClock keeps denied calls from being allowed again while a flood goes on.
func stoppedClock() time.Time { return time.Unix(0, 0) }

var errDenied = fault.New(fault.Denied, "no such key")

// flood makes calls with random keys, all denied, and returns how many were passed on.
func flood(k *unknownKeys, calls int) (passed int) {
	for i := range calls {
		done, err := k.admit(holderOf(fmt.Sprint("random", i)))
		if err == nil {
			passed++
			done(errDenied)
		}
	}
	return passed
}

// Guards against a flood of random keys, each of which costs the leader a round of the log, and
// against customers that are shut out by it.
func TestFloodOfUnknownKeysIsBounded(t *testing.T) {
	k := newUnknownKeys(stoppedClock)
	done, err := k.admit(holderOf("customer"))
	must.NoError(t, err)
	done(nil)
	const calls = 100 * deniedCallsBurst
	must.Eq(t, deniedCallsBurst, flood(k, calls))
	_, err = k.admit(holderOf("another"))
	must.Eq(t, fault.Unavailable, fault.KindOf(err))
	must.Eq(t, unknownKeyRetryAfter, fault.From(err).RetryAfter)
	_, err = k.admit(holderOf("customer"))
	must.NoError(t, err)
	_, err = k.admit(control.Principal{})
	must.NoError(t, err)
}

// Guards against a flood whose calls are all passed on before the first is denied.
func TestUnknownKeysInFlightAreBounded(t *testing.T) {
	k := newUnknownKeys(stoppedClock)
	var passed []func(error)
	for i := range 10 * deniedCallsBurst {
		if done, err := k.admit(holderOf(fmt.Sprint("random", i))); err == nil {
			passed = append(passed, done)
		}
	}
	must.LessEq(t, deniedCallsBurst, len(passed))
	for _, done := range passed {
		done(nil)
	}
	_, err := k.admit(holderOf("another"))
	must.NoError(t, err, must.Sprint("calls that weren't denied use up nothing"))
}

// Guards against a key that stays exempt after it was taken from its customer.
func TestDeniedKeyIsForgotten(t *testing.T) {
	k := newUnknownKeys(stoppedClock)
	for _, outcome := range []error{nil, errDenied} {
		done, err := k.admit(holderOf("customer"))
		must.NoError(t, err)
		done(outcome)
	}
	flood(k, 10*deniedCallsBurst)
	_, err := k.admit(holderOf("customer"))
	must.Eq(t, fault.Unavailable, fault.KindOf(err))
}
