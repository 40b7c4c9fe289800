package placement

import "time"

// Options are the limits and switches of a Cluster.
type Options struct {
	// MaxQueue is the number of tasks that may wait; more are refused at
	// submission. Zero means no limit.
	MaxQueue int
	// DueWindow is how long before its latest start accepted work goes ahead
	// of the fair order between customers.
	DueWindow time.Duration
	// Reservations is how many blocked gangs may hold a computed start time.
	Reservations int
	// FairReservations is how many customers that use least may hold a
	// computed start time for a task that fits nowhere now.
	FairReservations int
	// LargeReservations is how many tasks that need a great part of a worker
	// may hold a computed start time, in order of submission.
	LargeReservations int
	// Efficiency is the part of the free capacity that admission expects
	// waiting work to get. It covers fragmentation, errors of run times and
	// the order of shares between customers. A lower value refuses earlier in
	// an overload, and large jobs before small ones.
	Efficiency float64
	// MaxCustomerShare is the part of what admission counts on that one customer's
	// waiting work may take.
	MaxCustomerShare float64
	// FailuresBeforeQuarantine is how many starts in a row must fail on a worker
	// before it gets no more work.
	FailuresBeforeQuarantine int
	// ProbeBackoff and MaxProbeBackoff bound the pause between the probes of a
	// worker that is set aside; each failed probe doubles it.
	ProbeBackoff    time.Duration
	MaxProbeBackoff time.Duration

	// The switches below make the baseline that measurements compare with.

	// FirstComeFirstServed orders the queue by submission only; the first task that does
	// not fit holds back all that follow.
	FirstComeFirstServed bool
	// FirstFit takes the first worker by ID that has room.
	FirstFit bool
	// NoAdmission accepts everything.
	NoAdmission bool
	// NoCorrection believes declared run times and needs.
	NoCorrection bool
	// NoQuarantine goes on using workers that fail everything.
	NoQuarantine bool
}

// DefaultOptions are the settings that the measurements were made with.
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

// BaselineOptions switch off everything that this package adds to first come
// first served with first fit.
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
