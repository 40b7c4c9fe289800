package routing

import "time"

// State is the state of a request.
type State uint8

// The states.
const (
	// Queued requests wait for a slot.
	Queued State = iota + 1
	// Started requests hold a slot of a minion.
	Started
	// Refused requests are not attempted, or not attempted again; Ticket.Refusal says
	// why.
	Refused
	// Finished requests were cancelled, or their last attempt has ended.
	Finished
)

// Request is what the Balancer needs to know about a request.
type Request struct {
	Service  string
	Customer string
	// Deadline is when the request must be completed, on the clock of the caller
	// of Submit.
	Deadline time.Duration
	// Idempotent requests may be sent again when it is unknown whether they ran.
	Idempotent bool
	// Tag is an arbitrary value of the caller; the Balancer doesn't use it.
	Tag any
}

// Ticket tracks one request through the Balancer.
type Ticket struct {
	Request

	state   State
	refusal *Refusal
	minion  *minion
	number  uint64
	// attempts counts how many times the request started.
	attempts  int
	queuedAt  time.Duration
	startedAt time.Duration
	// failedMinion is the minion of the previous attempt, or nil before the
	// first retry.
	failedMinion *minion
	// probe reports whether the attempt is the probe of an open circuit breaker.
	probe bool
}

// State returns the state of the request.
func (t *Ticket) State() State { return t.state }

// Refusal returns why the request was refused, or nil if it was not.
func (t *Ticket) Refusal() *Refusal { return t.refusal }

// Attempts returns how many times the request started.
func (t *Ticket) Attempts() int { return t.attempts }

// Waited returns how long the request was queued before its last start. Call it only
// after a start.
func (t *Ticket) Waited() time.Duration { return t.startedAt - t.queuedAt }

// Target is the minion that a started request is sent to.
type Target struct {
	Minion         string
	Address        string
	Slots          int
	MaxConnections int
}

// Outcome is how an attempt on a minion ended.
type Outcome uint8

// The outcomes.
const (
	// Answered: the complete response arrived and reports no failure of the
	// minion.
	Answered Outcome = iota + 1
	// AnsweredFailure: the complete response arrived and reports that the minion
	// failed.
	AnsweredFailure
	// Streamed: the complete response arrived at the pace of the caller, so its
	// duration doesn't count as a service time of the minion.
	Streamed
	// NotSent: the minion was unreachable, and no byte of the request was
	// written.
	NotSent
	// LeaseEnded: the slot lease expired before any byte of the request was
	// written.
	LeaseEnded
	// Broken: the connection broke before the response was complete.
	Broken
	// TimedOut: the response was not complete by the attempt's deadline.
	TimedOut
	// Abandoned: the caller disconnected.
	Abandoned
)

// failed reports whether the outcome is a failure of the minion.
func (o Outcome) failed() bool {
	return o == AnsweredFailure || o == NotSent || o == Broken || o == TimedOut
}

// mayStillRun reports whether the minion may still be working on the request.
func (o Outcome) mayStillRun() bool { return o == TimedOut || o == Abandoned }
