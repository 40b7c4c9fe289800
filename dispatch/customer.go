package dispatch

import "github.com/bilberryferry/bilberryferry/workflow"

// preparedRoomFactor is the multiple of the room below a customer's limit for which the customer's
// steps may query, reserve and preempt. Steps that wait for a worker would otherwise keep the
// customer's other steps from using the room.
const preparedRoomFactor = 2

// customerRoom is what the limit of a customer leaves to its steps.
type customerRoom struct {
	// free shrinks as the plan starts tasks of the customer.
	free workflow.Resources
	// unclaimed is the part of preparedRoomFactor times free that no step has claimed. It may be
	// negative.
	unclaimed workflow.Resources
}

// newCustomerRooms returns the rooms of customers with a limit, from what their limits leave.
func newCustomerRooms(headroom map[string]workflow.Resources) map[string]*customerRoom {
	rooms := make(map[string]*customerRoom, len(headroom))
	for name, free := range headroom {
		rooms[name] = &customerRoom{free: free, unclaimed: free.Times(preparedRoomFactor)}
	}
	return rooms
}

// setAsideLimited splits the steps of an order: into those that may prepare their start, those that
// may only start with the permits they hold, because more urgent steps of their customer claim the
// room below its limit, and those for which the limit leaves no room at all.
//
// A step that can't start for its customer's limit would otherwise take queries, reservations and a
// place among the steps of a decision from the customers that are below their limits.
func (p *planner) setAsideLimited(order []*Step) (preparing, startingOnly []*Step) {
	preparing = make([]*Step, 0, len(order))
	for _, s := range order {
		room := p.rooms[s.Customer]
		switch {
		case room == nil:
			preparing = append(preparing, s)
		case p.limitFitCount(s) == 0:
			p.addWaiting(s, len(s.Pending), ReasonCustomerLimit)
		case room.claim(s):
			preparing = append(preparing, s)
		default:
			startingOnly = append(startingOnly, s)
		}
	}
	return preparing, startingOnly
}

// claim claims room for the pending tasks of a step, and reports whether there was any left.
func (r *customerRoom) claim(s *Step) bool {
	if !s.Spec.LeastDemand().Fits(r.unclaimed) {
		return false
	}
	r.unclaimed = r.unclaimed.Minus(s.Spec.CustomerDemand().Times(int64(len(s.Pending))))
	return true
}

// limitFitCount returns how many of the pending tasks of s the limit of its customer allows to
// start; for a gang all or none.
func (p *planner) limitFitCount(s *Step) int {
	return p.limitLeft(s, len(s.Pending))
}

// takeCustomerRoom makes the room of one more task of s unavailable to its customer.
func (p *planner) takeCustomerRoom(s *Step) {
	if room := p.rooms[s.Customer]; room != nil {
		room.free = room.free.Minus(s.Spec.CustomerDemand())
	}
}

// startOnly starts what it can of a step that may not prepare.
func (p *planner) startOnly(s *Step) {
	p.setDataCentre(s)
	if left := p.startPending(s); left > 0 {
		p.addWaiting(s, left, ReasonCustomerLimit)
	}
}

// limitLeft returns how many of the left tasks of s the limit of its customer allows to start beside
// what the plan has started.
func (p *planner) limitLeft(s *Step, left int) int {
	room := p.rooms[s.Customer]
	if room == nil {
		return left
	}
	n := min(s.Spec.CustomerDemand().FitCount(room.free), left)
	if s.Spec.Gang && n < left {
		return 0
	}
	return n
}
