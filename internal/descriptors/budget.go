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
	// forFiles are kept for the log, its snapshots, the connections between logs, and
	// what the runtime opens.
	forFiles = 360
	// leastConnections is how many connections a process must be able to hold.
	leastConnections = 152
	// fewest is the smallest limit under which a process starts.
	fewest = forFiles + leastConnections
)

// Shares of the descriptors that are left for connections, in percent. An instance
// with a disk is called by workers and all instances, and calls workers.
const (
	coreFromInstances = 30
	coreFromOutside   = 20
	coreToInstances   = 12
	coreToOutside     = 38

	edgeFromInstances = 12
	edgeFromOutside   = 60
	edgeToInstances   = 20
	edgeToOutside     = 8
)

// Budget is how many connections of each kind a process may have open.
type Budget struct {
	// FromInstances and ToInstances are those between the system's own processes.
	FromInstances, ToInstances int
	// FromOutside are those of callers, workers and operators.
	FromOutside int
	// ToOutside are those to workers and to the deployment's own services.
	ToOutside int
}

// ForCore divides the descriptors of an instance with a disk; limit is how many it
// may have open, 0 for what the operating system says. It fails if they are too few.
func ForCore(limit int) (Budget, error) {
	return divide(limit, coreFromInstances, coreFromOutside, coreToInstances, coreToOutside)
}

// ForEdge is ForCore for an instance that faces callers.
func ForEdge(limit int) (Budget, error) {
	return divide(limit, edgeFromInstances, edgeFromOutside, edgeToInstances, edgeToOutside)
}

func divide(limit, fromInstances, fromOutside, toInstances, toOutside int) (Budget, error) {
	limit = atMostAllowed(limit)
	if limit < fewest {
		return Budget{}, fault.Field("max_files", "%d, at least %d are needed", limit, fewest)
	}
	left := limit - forFiles
	return Budget{
		FromInstances: left * fromInstances / 100,
		FromOutside:   left * fromOutside / 100,
		ToInstances:   left * toInstances / 100,
		ToOutside:     left * toOutside / 100,
	}, nil
}

// atMostAllowed returns limit, or the operating system's own where that is lower or
// limit is 0.
func atMostAllowed(limit int) int {
	var allowed syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &allowed); err != nil || allowed.Cur > math.MaxInt32 {
		return limit
	}
	if limit == 0 {
		return int(allowed.Cur)
	}
	return min(limit, int(allowed.Cur))
}
