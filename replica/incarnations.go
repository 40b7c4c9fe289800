package replica

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// incarnations is the vector of the latest known incarnations. It only grows.
//
// It closes the following hole: a diskless member votes or acknowledges, dies,
// comes back blank and learns nothing of that promise, because the message
// carrying it is still on its way; the late message then completes a quorum
// with a member that no longer keeps the promise. A recovering member leaves
// its new incarnation with a majority, so each quorum that the late message
// could complete has a member that either answered before it promised (then
// its message names the new incarnation and the late one is discarded) or
// promised before it answered (then the recovering member learned the term).
type incarnations struct {
	list   []MemberIncarnation
	digest uint64
}

func newIncarnations(list []MemberIncarnation) incarnations {
	in := incarnations{list: slices.Clone(list)}
	slices.SortFunc(in.list, func(a, b MemberIncarnation) int { return cmp.Compare(a.ID, b.ID) })
	in.updateDigest()
	return in
}

func (in *incarnations) find(id string) (int, bool) {
	return slices.BinarySearchFunc(in.list, id, func(k MemberIncarnation, id string) int { return cmp.Compare(k.ID, id) })
}

// of returns the latest known incarnation of id, or zero.
func (in *incarnations) of(id string) uint64 {
	i, ok := in.find(id)
	if !ok {
		return 0
	}
	return in.list[i].Incarnation
}

// held reports whether id is known to have taken part.
func (in *incarnations) participated(id string) bool {
	i, ok := in.find(id)
	return ok && in.list[i].Participated
}

// latest returns the highest incarnation of all.
func (in *incarnations) highest() uint64 {
	highest := uint64(0)
	for _, k := range in.list {
		highest = max(highest, k.Incarnation)
	}
	return highest
}

// merge notes what k tells and reports whether its incarnation is news. The
// list is copied on change, because HardStates and messages share it.
func (in *incarnations) merge(k MemberIncarnation) bool {
	i, ok := in.find(k.ID)
	next := k
	if ok {
		old := in.list[i]
		next.Incarnation = max(old.Incarnation, k.Incarnation)
		next.Participated = old.Participated || k.Participated
		if next == old {
			return false
		}
	}
	newer := !ok || next.Incarnation > in.list[i].Incarnation
	in.list = slices.Clone(in.list)
	if ok {
		in.list[i] = next
	} else {
		in.list = slices.Insert(in.list, i, next)
	}
	in.updateDigest()
	return newer
}

func (in *incarnations) updateDigest() {
	var buf []byte
	for _, k := range in.list {
		buf = binary.AppendUvarint(buf, uint64(len(k.ID)))
		buf = append(buf, k.ID...)
		buf = binary.BigEndian.AppendUint64(buf, k.Incarnation)
		if k.Participated {
			buf = append(buf, 1)
		} else {
			buf = append(buf, 0)
		}
	}
	in.digest = xxhash.Sum64(buf)
}
