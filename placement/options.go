package placement

import "time"

// Options are the limits and switches of a Cluster. Shares are fractions
// between 0 and 1.
type Options struct {
	// MaxQueue is the maximum number of queued tasks; jobs beyond it are
	// refused at submission. Zero means no limit.
	MaxQueue int
	// DueWindow is how long before its latest start time an accepted job gets
	// priority over the fair order between customers.
	DueWindow time.Duration
	// Reservations is how many blocked gangs or due jobs may hold a
	// reservation.
	Reservations int
	// FairReservations is how many of the least served customers may hold a
	// reservation for a task that fits no worker now.
	FairReservations int
	// LargeReservations is how many large tasks may hold a reservation, in
	// order of submission.
	LargeReservations int
	// Efficiency is the share of the capacity not used by running tasks that
	// admission expects queued work to get. It accounts for fragmentation, errors
	// of estimated run times and the fair order between customers. A lower value
	// causes earlier refusals under overload, of large jobs before small ones.
	Efficiency float64
	// MaxCustomerShare is the largest share of the queue, and of the capacity that
	// admission expects queued work to get, that the queued work of one customer
	// may take.
	MaxCustomerShare float64
	// FailuresBeforeQuarantine is the number of consecutive failures after
	// which a worker is quarantined.
	FailuresBeforeQuarantine int
	// ProbeBackoff is the time from the quarantine of a worker to its first
	// probe. Each failed probe doubles it, up to MaxProbeBackoff.
	ProbeBackoff    time.Duration
	MaxProbeBackoff time.Duration

	// The switches below turn the scheduler into the baseline for comparisons.

	// FirstComeFirstServed orders the queue by submission only. The first task
	// that does not fit blocks all later ones.
	FirstComeFirstServed bool
	// FirstFit chooses the first worker by ID on which a task fits.
	FirstFit bool
	// NoAdmission accepts every job.
	NoAdmission bool
	// NoCorrection uses declared run times and needs without estimates.
	NoCorrection bool
	// NoQuarantine keeps starting tasks on workers on which every task fails.
	NoQuarantine bool
}

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{
		MaxQueue:                 50_000,
		DueWindow:                10 * time.Minute,
		Reservations:             2,
		FairReservations:         4,
		LargeReservations:        8,
		Efficiency:               0.4,
		MaxCustomerShare:         0.5,
		FailuresBeforeQuarantine: 3,
		ProbeBackoff:             30 * time.Second,
		MaxProbeBackoff:          30 * time.Minute,
	}
}

// BaselineOptions returns the options of the baseline: a plain first come, first
// served scheduler with first fit.
func BaselineOptions() Options {
	o := DefaultOptions()
	o.MaxQueue = 0
	o.FirstComeFirstServed = true
	o.FirstFit = true
	o.NoAdmission = true
	o.NoCorrection = true
	o.NoQuarantine = true
	return o
}
