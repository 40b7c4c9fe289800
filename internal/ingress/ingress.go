// Package ingress decides which submissions an edge instance refuses by itself, before it reads
// or forwards them.
//
// It handles this load: one customer sends ten times its usual calls for some seconds, while the
// leader refuses most of them or doesn't respond. The instance has a small share of a processor, little
// memory and few connections. A call that is forwarded only to be refused takes all three from
// the calls of others, and so does a call that is held.
//
// Throttle refuses calls that the leader would most likely refuse. InFlight bounds the calls that are
// held at a time. Both are deterministic: the time and the random numbers are arguments. They aren't
// safe for concurrent use.
package ingress

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/customer"
	"github.com/bilberryferry/bilberryferry/fault"
)

// Caller identifies who makes a call. The zero value is a caller without a key.
type Caller struct {
	// Key is the digest of the key that the caller presented, the zero value for none.
	Key customer.Digest
	// Operator says that an operator of the system calls.
	Operator bool
}

// Outcome is what the outcome of a submission says about the load.
type Outcome uint8

const (
	// Neutral outcomes say nothing about the load: the leader wasn't reached, or the queue or the
	// key doesn't exist.
	Neutral Outcome = iota
	// Accepted outcomes show that the leader had time for the call, even if it refused the job for
	// a reason that lies in the job.
	Accepted
	// Refused outcomes are refusals because of load, and calls without an outcome.
	Refused
)

// OutcomeOf returns what the error of a submission says about the load; nil is the error of a submission
// that succeeded.
//
// Names that don't exist are neutral, so that calls with invented keys or queues don't evict
// the entries of others.
func OutcomeOf(err error) Outcome {
	if err == nil {
		return Accepted
	}
	switch fault.KindOf(err) {
	case fault.Overloaded, fault.Unknown:
		return Refused
	case fault.Unavailable, fault.NotFound, fault.Denied:
		return Neutral
	default:
		return Accepted
	}
}

const (
	minRetryAfter = time.Second
	maxRetryAfter = 2 * time.Second
)

// RetryAfter returns the retry delay of a throttled call, 1 or 2 s by a random number draw in [0, 1).
// Callers that are refused together don't retry together, and with a total time limit of 3 s
// each can still retry.
func RetryAfter(draw float64) time.Duration {
	if draw < 0.5 {
		return minRetryAfter
	}
	return maxRetryAfter
}

// countedError is the error of a refused call that appears in counters and not in a log line of its own.
type countedError struct{ error }

func (e countedError) Unwrap() error { return e.error }

// Counted marks the error of a refused call as one that gets no log line of its own.
func Counted(err error) error { return countedError{err} }

// IsCounted reports whether an error was marked with Counted.
func IsCounted(err error) bool {
	var counted countedError
	return errors.As(err, &counted)
}
