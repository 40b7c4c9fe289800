package dispatch

// Disabled lists the mechanisms that are switched off. The zero value has all of them on. The
// switches serve to measure the effect of each mechanism.
type Disabled struct {
	// Copies: speculative copies of tasks whose run is unreachable, stalled or slow.
	Copies bool `toml:"copies"`
	// Preemption: stopping less urgent runs with checkpoints for a gang.
	Preemption bool `toml:"preemption"`
	// Reservation: reserving resources for gangs and for tasks whose ticket is being queried.
	Reservation bool `toml:"reservation"`
	// Earmarks: other steps prefer workers that no gang is about to fill.
	Earmarks bool `toml:"earmarks"`
	// Suspicion: a data centre in which no worker responds gets no new tasks.
	Suspicion bool `toml:"suspicion"`
	// Health: workers that fail, stall or are slow are ranked lower or quarantined.
	Health bool `toml:"health"`
	// Lateness: jobs that can no longer meet their objective go after jobs that can.
	Lateness bool `toml:"lateness"`
	// ResentStarts: a start whose response is overdue is sent again.
	ResentStarts bool `toml:"second_starts"`
	// ShortPolls: long polls are held for a shorter time while calls get lost.
	ShortPolls bool `toml:"short_looks"`
}
