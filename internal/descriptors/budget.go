// Package descriptors divides the file descriptors of a process by what they are
// used for, and bounds each use.
//
// Failure guarded against: a process runs out of descriptors. A storm of new
// connections, from callers, workers or other instances, then keeps the log from
// opening its files, which ends the process, and its successor meets the same storm.
// Files of the log have descriptors that no connection can take; each kind of
// connection has its own bound, at which the connection that has been idle for
// longest makes room.
package descriptors

import (
	"math"
	"syscall"

	"github.com/bilberryferry/bilberryferry/fault"
)

const (
	// reservedForFiles are kept for the log, its snapshots, the connections between logs, and
	// what the runtime opens.
	reservedForFiles = 360
	// minConnections is how many connections a process must be able to hold.
	minConnections = 152
	// fewest is the smallest limit under which a process starts.
	minDescriptors = reservedForFiles + minConnections
)

// Shares of the descriptors that are left for connections, in percent. An instance
// with a disk is called by workers and all instances, and calls workers.
const (
	coreFromInstancesPercent = 30
	coreFromExternalPercent  = 20
	coreToInstancesPercent   = 12
	coreToExternalPercent    = 38

	edgeFromInstancesPercent = 12
	edgeFromExternalPercent  = 60
	edgeToInstancesPercent   = 20
	edgeToExternalPercent    = 8
)

// Budget is how many connections of each kind a process may have open.
type Budget struct {
	// FromInstances and ToInstances are those between the system's own processes.
	FromInstances, ToInstances int
	// FromExternal are those of callers, workers and operators.
	FromExternal int
	// ToExternal are those to workers and to the deployment's own services.
	ToExternal int
}

// ForCore divides the descriptors of an instance with a disk; limit is how many it
// may have open, 0 for what the operating system says. It fails if they are too few.
func ForCore(limit int) (Budget, error) {
	return allocate(limit, coreFromInstancesPercent, coreFromExternalPercent, coreToInstancesPercent, coreToExternalPercent)
}

// ForEdge is ForCore for an instance that faces callers.
func ForEdge(limit int) (Budget, error) {
	return allocate(limit, edgeFromInstancesPercent, edgeFromExternalPercent, edgeToInstancesPercent, edgeToExternalPercent)
}

func allocate(limit, fromInstancesPercent, fromExternalPercent, toInstancesPercent, toExternalPercent int) (Budget, error) {
	limit = capToRlimit(limit)
	if limit < minDescriptors {
		return Budget{}, fault.Field("max_files", "%d, at least %d are needed", limit, minDescriptors)
	}
	forConnections := limit - reservedForFiles
	return Budget{
		FromInstances: forConnections * fromInstancesPercent / 100,
		FromExternal:  forConnections * fromExternalPercent / 100,
		ToInstances:   forConnections * toInstancesPercent / 100,
		ToExternal:    forConnections * toExternalPercent / 100,
	}, nil
}

// capToRlimit returns limit, or the operating system's own where that is lower or
// limit is 0.
func capToRlimit(limit int) int {
	var rlimit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &rlimit); err != nil || rlimit.Cur > math.MaxInt32 {
		return limit
	}
	if limit == 0 {
		return int(rlimit.Cur)
	}
	return min(limit, int(rlimit.Cur))
}
