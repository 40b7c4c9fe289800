package state

import (
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/placement"
)

// Limits of what commands may contain. Sums of maxTasks amounts fit an integer.
const (
	maxTasks  = 1 << 20
	maxAmount = 1 << 40
)

// check returns a fault of kind Invalid if a job of the specification can't be held in the state.
func (s *Spec) check() error {
	if !isTaskCount(s.Tasks) {
		return fault.Field("tasks", "%d isn't from 0 to %d", s.Tasks, maxTasks)
	}
	if !isNeed(s.Need) {
		return fault.Field("need", "each amount must be from 0 to %d", int64(maxAmount))
	}
	return nil
}

// isTaskCount reports whether a job may have a number of tasks.
func isTaskCount(tasks int) bool { return tasks >= 0 && tasks <= maxTasks }

// isNeed reports whether a task may need the resources.
func isNeed(r placement.Resources) bool {
	most := placement.Resources{CPU: maxAmount, Memory: maxAmount, Accelerators: maxAmount}
	return fits(placement.Resources{}, r) && fits(r, most)
}
