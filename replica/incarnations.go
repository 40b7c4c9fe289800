package replica

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// incarnations is the vector of the latest known incarnations of all members. Its
// values only grow.
//
// The vector guards against the following failure. A diskless member votes or
// acknowledges, fails and restarts without state. The message with its vote is still in
// flight, so no other member can tell it about the vote. The delayed message then
// completes a quorum, although its sender no longer remembers the vote. To prevent this, a
// recovering member registers its new incarnation with a majority. Each quorum that the
// delayed message could complete has another member in that majority. If the other member
// replied to the recovering member before it voted, its vote names the new incarnation, so
// the delayed message is discarded. If it voted before it replied, the recovering member
// learned the term from the reply.
type incarnations struct {
	known  []MemberIncarnation // ordered by ID
	digest uint64
}

// newIncarnations returns the vector of the incarnations in known, sorted by ID.
func newIncarnations(known []MemberIncarnation) incarnations {
	in := incarnations{known: slices.Clone(known)}
	slices.SortFunc(in.known, func(a, b MemberIncarnation) int { return cmp.Compare(a.ID, b.ID) })
	in.updateDigest()
	return in
}

// find returns the position of id in known and true, or where to insert it and false.
func (in *incarnations) find(id string) (int, bool) {
	return slices.BinarySearchFunc(in.known, id, func(k MemberIncarnation, id string) int { return cmp.Compare(k.ID, id) })
}

// of returns the latest known incarnation of id, or zero.
func (in *incarnations) of(id string) uint64 {
	i, ok := in.find(id)
	if !ok {
		return 0
	}
	return in.known[i].Incarnation
}

// participated reports whether id is known to have taken part in the group.
func (in *incarnations) participated(id string) bool {
	i, ok := in.find(id)
	return ok && in.known[i].Participated
}

// highest returns the highest incarnation of all members.
func (in *incarnations) highest() uint64 {
	highest := uint64(0)
	for _, k := range in.known {
		highest = max(highest, k.Incarnation)
	}
	return highest
}

// merge adds k and reports whether its incarnation is newer than the known one. It
// copies known before a change, because HardStates and messages share the slice.
func (in *incarnations) merge(k MemberIncarnation) bool {
	i, ok := in.find(k.ID)
	next := k
	if ok {
		old := in.known[i]
		next.Incarnation = max(old.Incarnation, k.Incarnation)
		next.Participated = old.Participated || k.Participated
		if next == old {
			return false
		}
	}
	newer := !ok || next.Incarnation > in.known[i].Incarnation
	in.known = slices.Clone(in.known)
	if ok {
		in.known[i] = next
	} else {
		in.known = slices.Insert(in.known, i, next)
	}
	in.updateDigest()
	return newer
}

// updateDigest recomputes the digest of the vector.
func (in *incarnations) updateDigest() {
	var buf []byte
	for _, k := range in.known {
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
