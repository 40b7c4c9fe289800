package routing

import "time"

// State is where a request stands.
type State uint8

// States.
const (
	// Queued requests wait for a slot.
	Queued State = iota + 1
	// Started requests hold a slot of a minion.
	Started
	// Refused requests have their final answer in Ticket.Refusal.
	Refused
	// Finished requests hold nothing.
	Finished
)

// Request is what the Balancer needs to know of a request.
type Request struct {
	Service  string
	Customer string
	// Deadline is on the clock of the caller of Submit.
	Deadline time.Duration
	// Idempotent requests may be sent again after their fate became unknown.
	Idempotent bool
	// Tag is the caller's own.
	Tag any
}

// Ticket follows one request through the Balancer.
type Ticket struct {
	Request

	state   State
	refusal *Refusal
	minion  *minion
	number  uint64
	// attempts counts the starts.
	attempts  int
	queuedAt  time.Duration
	startedAt time.Duration
	// avoid is the minion of the attempt that failed.
	failedMinion *minion
	probe        bool
}

// State returns where the request stands.
func (t *Ticket) State() State { return t.state }

// Refusal returns why the request was refused, or nil.
func (t *Ticket) Refusal() *Refusal { return t.refusal }

// Attempts returns how many times the request was given a slot.
func (t *Ticket) Attempts() int { return t.attempts }

// Waited returns how long the request waited for its last slot.
func (t *Ticket) Waited() time.Duration { return t.startedAt - t.queuedAt }

// Target is the minion that a started request goes to.
type Target struct {
	Minion         string
	Address        string
	Slots          int
	MaxConnections int
}

// Outcome is how an attempt on a minion ended.
type Outcome uint8

// Outcomes.
const (
	// Answered: the whole answer arrived and tells of no failure of the minion.
	Answered Outcome = iota + 1
	// AnsweredFailure: the whole answer arrived and tells that the minion failed.
	AnsweredFailure
	// Streamed: the whole answer arrived at the pace of the caller, so that its
	// time says nothing about the minion.
	Streamed
	// NotSent: no byte of the request was written, since the minion couldn't be reached.
	NotSent
	// LeaseEnded: no byte of the request was written, since the slot lease ended first.
	LeaseEnded
	// Broken: the connection broke before the answer was whole.
	Broken
	// TimedOut: the answer was not whole in time.
	TimedOut
	// Abandoned: the caller went away.
	Abandoned
)

// failed says whether the outcome speaks against the minion.
func (o Outcome) failed() bool {
	return o == AnsweredFailure || o == NotSent || o == Broken || o == TimedOut
}

// mayStillRun says whether the minion may still be working on the request.
func (o Outcome) mayStillRun() bool { return o == TimedOut || o == Abandoned }
