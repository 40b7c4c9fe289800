package arrivals

import (
	"fmt"

	"github.com/bilberryferry/bilberryferry/placement"
)

// Site is a set of simulated workers and the number of customers that use them.
type Site struct {
	Name           string
	Workers        int
	WorkersPerRack int
	// Capacity is the capacity of every worker, without accelerators.
	Capacity placement.Resources
	// Accelerators is the total number of accelerators. The first workers get
	// acceleratorsPerWorker each, and the worker after them the rest.
	Accelerators int
	Customers    int
}

// Rackwise returns a site of 50 workers with 64 cores and 256 GB each, 8 to a
// rack.
func Rackwise() Site {
	return Site{Name: "rackwise", Workers: 50, WorkersPerRack: 8, Capacity: resources(64, 256), Customers: 6}
}

// Himalaya returns a site of 50 workers with 32 cores and 128 GB each, 6 to a
// rack.
func Himalaya() Site {
	return Site{Name: "himalaya", Workers: 50, WorkersPerRack: 6, Capacity: resources(32, 128), Customers: 6}
}

// GrowthTarget returns a site of the planned size: 450 workers with 32 cores and
// 128 GB each, 8 to a rack, 970 accelerators and 100 customers.
func GrowthTarget() Site {
	return Site{Name: "later", Workers: 450, WorkersPerRack: 8, Capacity: resources(32, 128), Accelerators: 970, Customers: 100}
}

// resources returns an amount of cores and gigabytes of memory.
func resources(cores, gigabytes int64) placement.Resources {
	return placement.Resources{CPU: cores * 1000, Memory: gigabytes * 1024}
}

// acceleratorsPerWorker is the number of devices of a worker with accelerators.
const acceleratorsPerWorker = 4

// workers returns the workers of the site, all live.
func (s Site) workers() []placement.Worker {
	left := s.Accelerators
	workers := make([]placement.Worker, s.Workers)
	for i := range workers {
		capacity := s.Capacity
		capacity.Accelerators = int64(min(left, acceleratorsPerWorker))
		left -= int(capacity.Accelerators)
		workers[i] = placement.Worker{
			ID:       fmt.Sprintf("w%03d", i),
			Rack:     fmt.Sprintf("r%02d", i/s.WorkersPerRack),
			Capacity: capacity,
			Live:     true,
		}
	}
	return workers
}

// total returns the capacity of all workers.
func (s Site) total() placement.Resources {
	n := int64(s.Workers)
	return placement.Resources{CPU: s.Capacity.CPU * n, Memory: s.Capacity.Memory * n, Accelerators: int64(s.Accelerators)}
}
