package placement

import "fmt"

// plus adds two amounts.
func (r Resources) plus(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, Memory: r.Memory + o.Memory, Accelerators: r.Accelerators + o.Accelerators}
}

// minus subtracts o; fields may become negative.
func (r Resources) minus(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, Memory: r.Memory - o.Memory, Accelerators: r.Accelerators - o.Accelerators}
}

// times multiplies every field by n.
func (r Resources) times(n int64) Resources {
	return Resources{CPU: r.CPU * n, Memory: r.Memory * n, Accelerators: r.Accelerators * n}
}

// within reports whether r fits into o in every field.
func (r Resources) within(o Resources) bool {
	return r.CPU <= o.CPU && r.Memory <= o.Memory && r.Accelerators <= o.Accelerators
}

// atMost returns the smaller amount of each resource.
func (r Resources) atMost(o Resources) Resources {
	return Resources{CPU: min(r.CPU, o.CPU), Memory: min(r.Memory, o.Memory), Accelerators: min(r.Accelerators, o.Accelerators)}
}

// atLeast returns the larger amount of each resource.
func (r Resources) atLeast(o Resources) Resources {
	return Resources{CPU: max(r.CPU, o.CPU), Memory: max(r.Memory, o.Memory), Accelerators: max(r.Accelerators, o.Accelerators)}
}

// fitCount returns how many tasks of the given need fit into r, at most limit.
func (r Resources) fitCount(need Resources, limit int) int {
	n := int64(limit)
	if need.CPU > 0 {
		n = min(n, r.CPU/need.CPU)
	}
	if need.Memory > 0 {
		n = min(n, r.Memory/need.Memory)
	}
	if need.Accelerators > 0 {
		n = min(n, r.Accelerators/need.Accelerators)
	}
	return int(max(n, 0))
}

// share returns the dominant share: the largest fraction that r takes of total
// in any resource.
func (r Resources) share(total Resources) float64 {
	s := ratio(r.CPU, total.CPU)
	s = max(s, ratio(r.Memory, total.Memory))
	return max(s, ratio(r.Accelerators, total.Accelerators))
}

// ratio returns part divided by whole, or zero if whole is not positive.
func ratio(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// String formats cores, memory and accelerators for people.
func (r Resources) String() string {
	return fmt.Sprintf("%.1f cores, %d MiB, %d accelerators", float64(r.CPU)/1000, r.Memory, r.Accelerators)
}
