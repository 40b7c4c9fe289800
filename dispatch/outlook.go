package dispatch

// A step is refused everywhere if the adviser has permitted it on none of the workers that at
// least one full query named. It may be permitted on a few others, or on none.

const (
	// minRefusedSteps is how many steps of a queue must be refused everywhere, while none is
	// permitted anywhere, for the queue's other steps to be expected to be refused too.
	minRefusedSteps = 8
	// minExpectedGrants is the least number of grants that the first query of a step is
	// expected to bring; a step with less is expected to be refused.
	minExpectedGrants = 0.5
	// refusedTurnInterval is the number of decisions in which steps that are or will
	// probably be refused send queries by urgency once. In the other decisions they only
	// send the queries that no other step needs.
	refusedTurnInterval = 4
)

// queueOutlook is what the steps of a queue show about the adviser's decisions.
type queueOutlook struct {
	service, queue string
	priority       int
	// refused counts the steps that are refused everywhere, permitted says that some step
	// was permitted somewhere.
	refused   int
	permitted bool
}

// recordOutlook records what a step shows about its queue.
func (p *planner) recordOutlook(s *Step) {
	if !s.NeedsPermit || s.Copy {
		return
	}
	switch {
	case p.refusedEverywhere(s):
		p.outlook(s).refused++
	case s.TicketsExpire > 0 || s.GrantRate > 0:
		p.outlook(s).permitted = true
	}
}

// outlook returns the outlook of the queue of s. It searches a list, since there are few
// queues and thousands of steps.
func (p *planner) outlook(s *Step) *queueOutlook {
	for i := range p.outlooks {
		o := &p.outlooks[i]
		if o.priority == s.Priority && o.queue == s.Queue && o.service == s.Service {
			return o
		}
	}
	p.outlooks = append(p.outlooks, queueOutlook{service: s.Service, queue: s.Queue, priority: s.Priority})
	return &p.outlooks[len(p.outlooks)-1]
}

// refusedEverywhere reports whether s is refused on all workers that it queried, at least as
// many as one query names.
func (p *planner) refusedEverywhere(s *Step) bool {
	return s.NeedsPermit && s.TicketsExpire == 0 && len(s.Permits) >= p.limits.WorkersPerQuery
}

// unpromising reports whether s is refused everywhere, or hasn't had a response from the
// adviser and will probably be refused as other steps of its queue were.
func (p *planner) unpromising(s *Step) bool {
	switch {
	case !s.NeedsPermit || s.TicketsExpire > 0:
		return false
	case len(s.Permits) > 0:
		return p.refusedEverywhere(s)
	case s.GrantRate > 0:
		return s.GrantRate*float64(p.limits.WorkersPerQuery) < minExpectedGrants
	}
	o := p.outlook(s)
	return !o.permitted && o.refused >= minRefusedSteps
}

// yieldsQueries reports whether s leaves the queries of this decision to other steps.
//
// Hundreds of urgent steps that are permitted on no worker would otherwise keep the adviser
// busy with questions that bring nothing. Other steps, which one query could start, would
// wait for their first query behind all of them although the pool is empty.
func (p *planner) yieldsQueries(s *Step) bool {
	return p.limits.Round%refusedTurnInterval != 0 && p.unpromising(s)
}
