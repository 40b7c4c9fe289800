package dispatch

// Without names the mechanisms of deciding that are switched off. The zero value has
// all of them on; each is there to be measured by what is lost without it.
type Disabled struct {
	// Copies: second runs of tasks whose first one is out of reach, still or slow.
	Copies bool `toml:"copies"`
	// Preemption: stops of less urgent runs with checkpoints for a gang.
	Preemption bool `toml:"preemption"`
	// Reservation: room that is kept for gangs, and for tasks whose ticket is asked for.
	Reservation bool `toml:"reservation"`
	// Earmarks: other steps prefer other workers than those a gang is about to fill.
	Earmarks bool `toml:"earmarks"`
	// Suspicion: a data centre in which nobody answers gets nothing new.
	Suspicion bool `toml:"suspicion"`
	// Health: workers that fail, stand still or are slow are set back or aside.
	Health bool `toml:"health"`
	// Lateness: what can't be in time any more goes after what still can.
	Lateness bool `toml:"lateness"`
	// ResentStarts: a start is sent again beside one that is overdue.
	ResentStarts bool `toml:"second_starts"`
	// ShortLooks: looks are held shorter while calls get lost.
	ShortLooks bool `toml:"short_looks"`
}
