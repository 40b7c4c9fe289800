package dispatch

// Disabled lists the mechanisms that are switched off. The zero value has all of them on. The
// switches serve to measure the effect of each mechanism.
type Disabled struct {
	// Copies switches off speculative copies of tasks whose run is unreachable, stalled
	// or slow.
	Copies bool `toml:"copies"`
	// Preemption switches off stopping less urgent runs with checkpoints for a gang.
	Preemption bool `toml:"preemption"`
	// Reservation switches off reserving resources for gangs and for tasks whose ticket
	// is being queried.
	Reservation bool `toml:"reservation"`
	// Earmarks switches off the preference of other steps for workers that no gang is
	// about to fill.
	Earmarks bool `toml:"earmarks"`
	// Suspicion switches off withholding new tasks from a data centre in which no worker
	// responds.
	Suspicion bool `toml:"suspicion"`
	// Health switches off ranking lower, or quarantining, workers that fail, stall or are
	// slow.
	Health bool `toml:"health"`
	// Lateness switches off ordering jobs that can no longer meet their objective after
	// jobs that can.
	Lateness bool `toml:"lateness"`
	// ResentStarts switches off sending a start again when its response is overdue.
	ResentStarts bool `toml:"second_starts"`
	// ShortPolls switches off shortening the long polls while calls get lost.
	ShortPolls bool `toml:"short_looks"`
}
