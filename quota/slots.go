package quota

import (
	"math/bits"

	"github.com/cockroachdb/errors"
)

// Slots is the number of slots to which the units of one limit are assigned.
const Slots = 1024

// Sizes of the bitmap of a SlotSet.
const (
	wordBits  = 64
	wordBytes = 8
	byteBits  = 8
	wordCount = Slots / wordBits
)

// SlotSet is a set of slots. Its binary form is a bitmap without trailing zero
// bytes.
type SlotSet [wordCount]uint64

// initialSlots returns the slots that an initial owner owns before any transfer. index is
// its index among the initial owners, and owners is their number.
func initialSlots(index, owners int) SlotSet {
	var s SlotSet
	for slot := index; slot < Slots; slot += owners {
		s.add(slot)
	}
	return s
}

func (s *SlotSet) add(slot int) {
	s[slot/wordBits] |= 1 << (slot % wordBits)
}

// has reports whether a slot is in the set.
func (s *SlotSet) has(slot int) bool {
	return s[slot/wordBits]&(1<<(slot%wordBits)) != 0
}

// overlaps reports whether the sets have a slot in common.
func (s *SlotSet) overlaps(t SlotSet) bool {
	for i := range s {
		if s[i]&t[i] != 0 {
			return true
		}
	}
	return false
}

// addAll adds all slots of t.
func (s *SlotSet) addAll(t SlotSet) {
	for i := range s {
		s[i] |= t[i]
	}
}

// remove removes all slots of t.
func (s *SlotSet) remove(t SlotSet) {
	for i := range s {
		s[i] &^= t[i]
	}
}

// countBelow returns the number of slots in the set below bound.
func (s *SlotSet) countBelow(bound int) int64 {
	var n int
	for i := range bound / wordBits {
		n += bits.OnesCount64(s[i])
	}
	if remainingBits := bound % wordBits; remainingBits != 0 {
		n += bits.OnesCount64(s[bound/wordBits] & (1<<remainingBits - 1))
	}
	return int64(n)
}

// units returns the number of units below a limit that belong to the set.
func (s *SlotSet) units(limit int64) int64 {
	return s.countBelow(Slots)*(limit/Slots) + s.countBelow(int(limit%Slots))
}

// unitsOf returns the number of units below a limit that belong to one slot.
func unitsOf(slot int, limit int64) int64 {
	if int64(slot) < limit%Slots {
		return limit/Slots + 1
	}
	return limit / Slots
}

// selectUnits returns slots of the set that hold up to want units of a limit. The
// units of the returned slots may exceed want by less than the units of one slot, but
// never exceed spare. It selects no slots without units, and none if the limit is
// Unlimited.
func (s *SlotSet) selectUnits(limit, want, spare int64) SlotSet {
	var chosen SlotSet
	if limit == Unlimited {
		return chosen
	}
	for slot := 0; slot < Slots && want > 0; slot++ {
		units := unitsOf(slot, limit)
		if units == 0 {
			break
		}
		if !s.has(slot) || units > spare {
			continue
		}
		chosen.add(slot)
		want -= units
		spare -= units
	}
	return chosen
}

// MarshalBinary returns the bitmap. The error is always nil.
func (s SlotSet) MarshalBinary() ([]byte, error) {
	data := make([]byte, 0, Slots/wordBytes)
	used := 0
	for _, word := range s {
		for range wordBytes {
			data = append(data, byte(word))
			if byte(word) != 0 {
				used = len(data)
			}
			word >>= byteBits
		}
	}
	return data[:used], nil
}

// UnmarshalBinary replaces the set by a bitmap that MarshalBinary returned. It returns
// an error if the bitmap has more than Slots bits.
func (s *SlotSet) UnmarshalBinary(data []byte) error {
	if len(data) > Slots/wordBytes {
		return errors.Newf("quota: slot set of %d bytes is too long", len(data))
	}
	*s = SlotSet{}
	for i, b := range data {
		s[i/wordBytes] |= uint64(b) << (byteBits * (i % wordBytes))
	}
	return nil
}
