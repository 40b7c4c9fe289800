package routing

import (
	"fmt"
	"time"
)

// Policy is the rule by which one of the minions with a free slot is selected.
type Policy uint8

// The policies.
const (
	// LeastLoaded selects the minion with the lowest score, which is its load
	// weighted by its average service time.
	LeastLoaded Policy = iota
	// TwoChoices selects, of two random minions, the one with the lower score.
	TwoChoices
	// Random selects a random minion.
	Random
)

// Options configures a Balancer. Zero fields take the values of DefaultOptions.
type Options struct {
	// Entry and Incarnation identify the entry process in slot requests.
	Entry       string
	Incarnation uint64
	// Seed seeds the random choices among minions and the retry jitter.
	Seed   uint64
	Lease  LeaseOptions
	Policy Policy
	// MaxQueue is the largest number of queued requests of one service.
	MaxQueue int
	// MaxWait is the longest estimated wait for a slot at which a request is
	// accepted. A service whose mean service time is longer than half of MaxWait
	// accepts requests up to twice its mean service time.
	MaxWait time.Duration
	// InitialServiceTime is the service time assumed before any is measured.
	InitialServiceTime time.Duration
	// RetryRatio is the number of retries that each request adds to the retry
	// budget.
	RetryRatio float64
	// RetryBurst is the largest retry budget.
	RetryBurst float64
	// SlowStart is how long the load of a new minion takes to rise to its full
	// slots.
	SlowStart time.Duration
	// Baseline disables admission control and circuit breakers, so that a benchmark can
	// compare a Balancer with and without them.
	Baseline bool
}

// DefaultOptions returns the options that apply without settings.
func DefaultOptions() Options {
	return Options{
		Lease:              DefaultLeaseOptions(),
		MaxQueue:           1000,
		MaxWait:            200 * time.Millisecond,
		InitialServiceTime: 50 * time.Millisecond,
		RetryRatio:         0.1,
		RetryBurst:         10,
		SlowStart:          2 * time.Second,
	}
}

// withDefaults replaces unset options by their defaults.
func (o Options) withDefaults() Options {
	d := DefaultOptions()
	o.Lease = o.Lease.withDefaults()
	if o.MaxQueue <= 0 {
		o.MaxQueue = d.MaxQueue
	}
	if o.MaxWait <= 0 {
		o.MaxWait = d.MaxWait
	}
	if o.InitialServiceTime <= 0 {
		o.InitialServiceTime = d.InitialServiceTime
	}
	if o.RetryRatio <= 0 {
		o.RetryRatio = d.RetryRatio
	}
	if o.RetryBurst <= 0 {
		o.RetryBurst = d.RetryBurst
	}
	if o.SlowStart <= 0 {
		o.SlowStart = d.SlowStart
	}
	return o
}

// Reason is why a request was refused. A refused request has reached no minion, unless
// an earlier attempt failed and Retry queued the request again.
type Reason uint8

// The reasons.
const (
	// NoSuchService: no minion of the service is known.
	NoSuchService Reason = iota + 1
	// QueueFull: the queue of the service is full or its wait too long. It is
	// also the reason if no leader has responded yet and requests have named too
	// many services.
	QueueFull
	// TooLate: the request can't be completed by its deadline.
	TooLate
	// OverShare: the queue of the service is full or its wait too long, and the
	// customer has the most requests.
	OverShare
	// Draining: the entry instance is shutting down.
	Draining
)

// reasonTexts are the error texts of the reasons.
var reasonTexts = map[Reason]string{
	NoSuchService: "no minion of the service is known",
	QueueFull:     "too many requests wait for the service",
	TooLate:       "the request can't be answered by its deadline",
	OverShare:     "the customer has more than its share of a busy service",
	Draining:      "the entry instance is shutting down",
}

// Refusal is the error of a request that was refused instead of being sent to a
// minion.
type Refusal struct {
	Reason Reason
	// RetryAfter is the delay after which to retry; 0 if a retry is useless.
	RetryAfter time.Duration
}

// Error returns the reason and the retry delay as a sentence.
func (r *Refusal) Error() string {
	if r.RetryAfter == 0 {
		return reasonTexts[r.Reason]
	}
	return fmt.Sprintf("%s; retry after %v", reasonTexts[r.Reason], r.RetryAfter)
}
