// Package resource counts the resources that tasks demand, workers have and customers may use.
package resource

// Amount is what a task demands, a worker has or a customer may use.
type Amount struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int64 `cbor:"1,keyasint,omitempty"`
	MemoryMB int64 `cbor:"2,keyasint,omitempty"`
	// Accelerators is a number of devices.
	Accelerators int64 `cbor:"3,keyasint,omitempty"`
}

// Fits reports whether r fits into free.
func (r Amount) Fits(free Amount) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// Plus returns the sum of r and other.
func (r Amount) Plus(other Amount) Amount {
	return Amount{r.MilliCPU + other.MilliCPU, r.MemoryMB + other.MemoryMB, r.Accelerators + other.Accelerators}
}

// Minus returns the difference of r and other.
func (r Amount) Minus(other Amount) Amount {
	return Amount{r.MilliCPU - other.MilliCPU, r.MemoryMB - other.MemoryMB, r.Accelerators - other.Accelerators}
}

// Max returns the larger of r and other in each resource.
func (r Amount) Max(other Amount) Amount {
	return Amount{
		max(r.MilliCPU, other.MilliCPU), max(r.MemoryMB, other.MemoryMB), max(r.Accelerators, other.Accelerators),
	}
}

// Min returns the smaller of r and other in each resource.
func (r Amount) Min(other Amount) Amount {
	return Amount{
		min(r.MilliCPU, other.MilliCPU), min(r.MemoryMB, other.MemoryMB), min(r.Accelerators, other.Accelerators),
	}
}

// Times returns the amount of n tasks that demand r each.
func (r Amount) Times(n int64) Amount {
	return Amount{r.MilliCPU * n, r.MemoryMB * n, r.Accelerators * n}
}

// FitCount returns how many tasks that demand r fit into free.
func (r Amount) FitCount(free Amount) int {
	if !r.Fits(free) {
		return 0
	}
	count := int64(maxFitCount)
	if r.MilliCPU > 0 {
		count = min(count, free.MilliCPU/r.MilliCPU)
	}
	if r.MemoryMB > 0 {
		count = min(count, free.MemoryMB/r.MemoryMB)
	}
	if r.Accelerators > 0 {
		count = min(count, free.Accelerators/r.Accelerators)
	}
	return int(count)
}

// maxFitCount bounds the fit count of a task that demands nothing.
const maxFitCount = 1 << 20
