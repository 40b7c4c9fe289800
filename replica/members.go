package replica

import (
	"slices"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/bilberryferry/bilberryferry/codec"
)

// membershipHistory holds the memberships in the log, so that truncating an
// uncommitted entry also reverts its membership. The latest membership is in force as
// soon as it is in the log, before it is committed.
type membershipHistory struct {
	versions []membershipVersion
}

// membershipVersion is the membership that the entry at index set. voters are its members
// that aren't learners; a leader needs them for each message that it receives.
type membershipVersion struct {
	index   uint64
	members []Member
	voters  []Member
}

func newMembershipHistory(index uint64, members []Member) membershipHistory {
	var m membershipHistory
	m.push(index, members)
	return m
}

func (m *membershipHistory) current() []Member { return m.versions[len(m.versions)-1].members }

// currentVoters returns the voters of the latest membership. The caller must not change them.
func (m *membershipHistory) currentVoters() []Member { return m.versions[len(m.versions)-1].voters }

func (m *membershipHistory) currentIndex() uint64 { return m.versions[len(m.versions)-1].index }

// at returns the membership in force at index.
func (m *membershipHistory) at(index uint64) []Member { return m.versions[m.versionAt(index)].members }

// indexAt returns the index of the entry that set the membership in force at index.
func (m *membershipHistory) indexAt(index uint64) uint64 { return m.versions[m.versionAt(index)].index }

// versionAt returns the position in versions of the membership in force at index.
func (m *membershipHistory) versionAt(index uint64) int {
	for i := len(m.versions) - 1; i > 0; i-- {
		if m.versions[i].index <= index {
			return i
		}
	}
	return 0
}

// since returns the memberships in force from index on, the latest one last.
func (m *membershipHistory) since(index uint64) [][]Member {
	var out [][]Member
	for _, h := range m.versions[m.versionAt(index):] {
		out = append(out, h.members)
	}
	return out
}

// push adds the membership that the entry at index sets.
func (m *membershipHistory) push(index uint64, members []Member) {
	m.versions = append(m.versions, membershipVersion{index: index, members: members, voters: voters(members)})
}

// truncate drops the memberships that entries from index on set.
func (m *membershipHistory) truncate(index uint64) {
	for len(m.versions) > 1 && m.currentIndex() >= index {
		m.versions = m.versions[:len(m.versions)-1]
	}
}

// compact drops the memberships that aren't needed from index on.
func (m *membershipHistory) compact(index uint64) {
	for len(m.versions) > 1 && m.versions[1].index <= index {
		m.versions = m.versions[1:]
	}
}

func (m *membershipHistory) find(id string) (Member, bool) {
	return findMember(m.current(), id)
}

func findMember(members []Member, id string) (Member, bool) {
	i := slices.IndexFunc(members, func(m Member) bool { return m.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return members[i], true
}

func isVoter(members []Member, id string) bool {
	m, ok := findMember(members, id)
	return ok && !m.Learner
}

// voters returns the members that aren't learners.
func voters(members []Member) []Member {
	var out []Member
	for _, m := range members {
		if !m.Learner {
			out = append(out, m)
		}
	}
	return out
}

// votersOfAll returns each voter of any of the memberships once, starting with the voters
// of the latest membership.
func votersOfAll(memberships [][]Member) []Member {
	var out []Member
	for _, members := range slices.Backward(memberships) {
		for _, m := range voters(members) {
			if _, ok := findMember(out, m.ID); !ok {
				out = append(out, m)
			}
		}
	}
	return out
}

// majority returns the size of a quorum of the voters among the members.
func majority(members []Member) int { return len(voters(members))/2 + 1 }

func encodeMembers(members []Member) []byte {
	data, err := cbor.Marshal(members)
	invariant(err == nil, "membership can't be encoded: %v", err)
	return data
}

func decodeMembers(data []byte) ([]Member, error) {
	var members []Member
	if err := codec.Unmarshal(data, &members); err != nil {
		return nil, errors.Wrap(err, "decode membership entry")
	}
	return members, nil
}

// CommittedMembers returns the last membership that the stored state knows to be committed, or
// nil if it has none. It may take the place of Config.Members, because the memberships before it
// can't come into force again.
func (s *StoredState) CommittedMembers() ([]Member, error) {
	for _, e := range slices.Backward(s.Entries) {
		if e.Kind == EntryMembership && e.Index <= s.HardState.Commit {
			return decodeMembers(e.Data)
		}
	}
	return s.Snapshot.Members, nil
}

// checkMembers returns ErrConfig for a membership with an empty or duplicate ID, with text that isn't
// valid UTF-8 or without a voter that may lead.
func checkMembers(members []Member) error {
	seen := make(map[string]bool, len(members))
	leaders := 0
	for _, m := range members {
		if m.ID == "" || seen[m.ID] {
			return errors.Wrapf(ErrConfig, "member ID %q is empty or duplicate", m.ID)
		}
		// Few decoders accept such text.
		if !utf8.ValidString(m.ID) || !utf8.ValidString(m.Address) || !utf8.ValidString(m.DataCentre) {
			return errors.Wrapf(ErrConfig, "member %q has text that isn't valid UTF-8", m.ID)
		}
		seen[m.ID] = true
		if !m.Learner && !m.Witness {
			leaders++
		}
	}
	if leaders == 0 {
		return errors.Wrap(ErrConfig, "no member is a voter that may lead")
	}
	return nil
}
