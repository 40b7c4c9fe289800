// Package descriptors allocates the file descriptors of a process to the files of the
// replicated log and to each kind of connection, and limits each use.
//
// It guards against this failure: a process runs out of descriptors. When callers, workers
// or other instances open very many connections at once, the log can't open its files and
// the process exits; after its restart, the same happens again. Therefore descriptors are
// reserved for the files of the log, and each kind of connection has its own limit. At the
// limit of a server, the connection that has been idle for longest is closed for a new one.
package descriptors

import (
	"math"
	"syscall"

	"github.com/bilberryferry/bilberryferry/fault"
)

const (
	// reservedForFiles is the number of descriptors reserved for the log, its snapshots,
	// the connections between the members of the log, and the Go runtime.
	reservedForFiles = 360
	// minConnections is the least number of descriptors that must be left for connections.
	minConnections = 152
	// minDescriptors is the smallest limit of descriptors with which a process starts.
	minDescriptors = reservedForFiles + minConnections
)

// Shares of the descriptors for connections, in percent. Workers and all instances call
// a core instance, and it calls workers. An edge instance mainly serves callers.
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

// Budget is the maximum number of open connections of each kind.
type Budget struct {
	// FromInstances and ToInstances limit the connections from and to other instances.
	FromInstances, ToInstances int
	// FromExternal limits the connections from callers, workers and operators.
	FromExternal int
	// ToExternal limits the connections to workers and to the services of the deployment.
	ToExternal int
}

// ForCore returns the budget of a core instance, which has a disk. limit is the number of
// descriptors that the process may open, 0 for the limit of the operating system. The error
// is of kind Invalid if there are fewer than minDescriptors.
func ForCore(limit int) (Budget, error) {
	return allocate(limit, coreFromInstancesPercent, coreFromExternalPercent, coreToInstancesPercent, coreToExternalPercent)
}

// ForEdge returns the budget of an edge instance, which serves callers and has no disk.
// limit and the error are as for ForCore.
func ForEdge(limit int) (Budget, error) {
	return allocate(limit, edgeFromInstancesPercent, edgeFromExternalPercent, edgeToInstancesPercent, edgeToExternalPercent)
}

// allocate returns the budget for a limit of descriptors and the shares in percent.
func allocate(limit, fromInstancesPercent, fromExternalPercent, toInstancesPercent, toExternalPercent int) (Budget, error) {
	limit = capToRlimit(limit)
	if limit < minDescriptors {
		return Budget{}, fault.Field("max_files", "the process may open %d descriptors, at least %d are needed", limit, minDescriptors)
	}
	forConnections := limit - reservedForFiles
	return Budget{
		FromInstances: forConnections * fromInstancesPercent / 100,
		FromExternal:  forConnections * fromExternalPercent / 100,
		ToInstances:   forConnections * toInstancesPercent / 100,
		ToExternal:    forConnections * toExternalPercent / 100,
	}, nil
}

// capToRlimit returns limit, or the limit of the operating system if that is lower or
// limit is 0. It returns limit unchanged if the operating system's limit can't be read or is
// above math.MaxInt32.
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
