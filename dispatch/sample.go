package dispatch

// unaskedFactor is how many workers a decision should know of for each worker that a step may
// have to ask about, since other steps take room on some of them.
const unaskedFactor = 2

// WantedWorkers returns of how many workers, beside those with a known permit, a decision
// should know to start the pending tasks of s or to send its queries. A step that is refused by
// all workers that it has asked about is offered twice as many each time.
func (s *Step) WantedWorkers(limits *Limits) int {
	wanted := unaskedFactor * (limits.WorkersPerQuery + len(s.Pending))
	if s.Spec.Gang {
		roomy := int(float64(wantedEmptyFactor*len(s.Pending)) / s.expectedGrantRate())
		wanted = min(limits.WorkersPerGangQuery+roomy, maxGangQueries*limits.WorkersPerGangQuery)
	}
	if s.NeedsPermit && s.TicketsExpire == 0 {
		wanted = max(wanted, unaskedFactor*len(s.Permits))
	}
	return wanted
}
