package workflow

import "slices"

// MaxInstances bounds the known instances. A deployment has some 40.
const MaxInstances = 1024

// InstanceChange changes the list of known instances.
type InstanceChange struct {
	// Announced is the address of an instance that has announced itself, empty for none. Gone
	// are the addresses of instances that haven't for a long time.
	Announced string   `cbor:"1,keyasint,omitempty"`
	Gone      []string `cbor:"2,keyasint,omitempty"`
}

// changeInstances applies a change of the known instances. When MaxInstances are known, it
// ignores a further one, which a later announcement adds once others are gone.
func (s *State) changeInstances(c *InstanceChange) {
	for _, address := range c.Gone {
		if i, known := slices.BinarySearch(s.Instances, address); known {
			s.Instances = slices.Delete(s.Instances, i, i+1)
		}
	}
	if s.LacksInstance(c.Announced) {
		i, _ := slices.BinarySearch(s.Instances, c.Announced)
		s.Instances = slices.Insert(s.Instances, i, c.Announced)
	}
}

// LacksInstance reports whether an instance is unknown and may be added to the known ones.
func (s *State) LacksInstance(address string) bool {
	_, known := slices.BinarySearch(s.Instances, address)
	return address != "" && !known && len(s.Instances) < MaxInstances
}
