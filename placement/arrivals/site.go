package arrivals

import (
	"fmt"

	"github.com/bilberryferry/bilberryferry/placement"
)

// Site is a set of workers and the customers that use it.
type Site struct {
	Name           string
	Workers        int
	WorkersPerRack int
	// Capacity is that of every worker, without accelerators.
	Capacity placement.Resources
	// Accelerators are dealt out in fours, and the rest in twos, to the first
	// workers.
	Accelerators int
	Customers    int
}

// Rackwise has 50 workers of 64 cores and 256 GB, 8 to a rack.
func Rackwise() Site {
	return Site{Name: "rackwise", Workers: 50, WorkersPerRack: 8, Capacity: resources(64, 256), Customers: 6}
}

// Himalaya has 50 workers of 32 cores and 128 GB, 6 to a rack.
func Himalaya() Site {
	return Site{Name: "himalaya", Workers: 50, WorkersPerRack: 6, Capacity: resources(32, 128), Customers: 6}
}

// Later is the size to grow to: 450 workers, 970 accelerators, 100 customers.
func GrowthTarget() Site {
	return Site{Name: "later", Workers: 450, WorkersPerRack: 8, Capacity: resources(32, 128), Accelerators: 970, Customers: 100}
}

// size makes an amount of cores and GB.
func resources(cores, gigabytes int64) placement.Resources {
	return placement.Resources{CPU: cores * 1000, Memory: gigabytes * 1024}
}

// acceleratorsPerWorker is how many devices an accelerated worker carries.
const acceleratorsPerWorker = 4

// workers lists the workers of the site, all alive.
func (s Site) workers() []placement.Worker {
	left := s.Accelerators
	list := make([]placement.Worker, s.Workers)
	for i := range list {
		capacity := s.Capacity
		capacity.Accelerators = int64(min(left, acceleratorsPerWorker))
		left -= int(capacity.Accelerators)
		list[i] = placement.Worker{
			ID:       fmt.Sprintf("w%03d", i),
			Rack:     fmt.Sprintf("r%02d", i/s.WorkersPerRack),
			Capacity: capacity,
			Live:     true,
		}
	}
	return list
}

// total is the capacity of all workers.
func (s Site) total() placement.Resources {
	n := int64(s.Workers)
	return placement.Resources{CPU: s.Capacity.CPU * n, Memory: s.Capacity.Memory * n, Accelerators: int64(s.Accelerators)}
}
