package control

import "github.com/bilberryferry/bilberryferry/workflow"

// customerRoom returns what each customer with a limit may start beside what it has running. Starts
// that are being committed count as running. t.mu must be held.
func (t *leaderTerm) customerRoom(s *workflow.State) map[string]workflow.Resources {
	rooms := map[string]workflow.Resources{}
	usage := s.CustomerUsage()
	for name, c := range s.Customers() {
		if c.Limited() {
			rooms[name] = c.Headroom(usage[name])
		}
	}
	for task, worker := range t.proposedStarts {
		job := s.Jobs[task.Job]
		if job == nil || s.Runs[worker][task].Number != 0 {
			continue
		}
		if room, limited := rooms[job.Customer]; limited {
			rooms[job.Customer] = room.Minus(job.Steps[task.Step].CustomerDemand())
		}
	}
	return rooms
}
