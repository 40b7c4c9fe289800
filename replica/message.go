package replica

import "slices"

// MessageType is the type of a protocol message.
type MessageType uint8

// Types of messages between the members of a group.
const (
	// MsgPreVote asks whether a vote would be granted; it changes no state.
	MsgPreVote MessageType = iota + 1
	// MsgPreVoteReply replies to MsgPreVote.
	MsgPreVoteReply
	// MsgVote asks for a vote in Term.
	MsgVote
	// MsgVoteReply replies to MsgVote.
	MsgVoteReply
	// MsgAppend carries entries, or none when it serves as a heartbeat.
	MsgAppend
	// MsgAppendReply replies to MsgAppend and MsgSnapshot.
	MsgAppendReply
	// MsgSnapshot carries a snapshot for a member that lacks entries which the
	// leader's log no longer holds.
	MsgSnapshot
	// MsgTimeoutNow tells the new leader of a leadership transfer to campaign.
	MsgTimeoutNow
	// MsgState requests the receiver's state: its term, log end and whether it is
	// recovering. A recovering member sends it under its new incarnation, which is
	// the nonce that the reply must repeat.
	MsgState
	// MsgStateReply replies to MsgState.
	MsgStateReply
	// MsgFetch requests a witness's log after Index.
	MsgFetch
	// MsgFetchReply replies to MsgFetch.
	MsgFetchReply
	// MsgNotMember replies to a request of a member that isn't in the committed
	// membership; Index is the index of the entry that set that membership.
	MsgNotMember
)

// Message is any message between members. Fields that a type doesn't use are zero and
// take no space on the wire.
type Message struct {
	Type MessageType `cbor:"1,keyasint"`
	From string      `cbor:"2,keyasint"`
	To   string      `cbor:"3,keyasint"`
	// Term is the sender's term. In a pre-vote request and a granted pre-vote it is the
	// term of the election that would follow.
	Term uint64 `cbor:"4,keyasint,omitempty"`
	// Incarnation is the sender's incarnation.
	Incarnation uint64 `cbor:"5,keyasint,omitempty"`
	// IncarnationDigest is the digest of the sender's vector of known incarnations.
	IncarnationDigest uint64 `cbor:"6,keyasint,omitempty"`
	// KnownIncarnations is the sender's vector of known incarnations. It is left out
	// when the receiver's last message carried the same digest.
	KnownIncarnations []MemberIncarnation `cbor:"7,keyasint,omitempty"`
	// Index and LogTerm identify the entry before Entries in an append and the last
	// entry of the log in a vote request, a state reply or a witness's rejection. In
	// an append reply Index is the last entry known to match, or the rejected one.
	Index   uint64 `cbor:"8,keyasint,omitempty"`
	LogTerm uint64 `cbor:"9,keyasint,omitempty"`
	// Entries are the log entries after Index. To save space their indexes are left out,
	// and so is the term of an entry if it equals the term of the previous entry.
	Entries []Entry `cbor:"10,keyasint,omitempty"`
	// Commit is the leader's commit index.
	Commit uint64 `cbor:"11,keyasint,omitempty"`
	// Reject says that the vote, the append or the log request is rejected.
	Reject bool `cbor:"12,keyasint,omitempty"`
	// RejectHint is an index at which the log of a rejecting member may match.
	RejectHint uint64 `cbor:"13,keyasint,omitempty"`
	// Tick is the leader's tick when it sent an append; the reply repeats it. In a
	// MsgFetchReply it is the term of the last entry of the sender's log.
	Tick uint64 `cbor:"14,keyasint,omitempty"`
	// ReadRound is the leader's latest read round; the reply repeats it. In a
	// MsgFetchReply it is the index of the last entry of the sender's log.
	ReadRound uint64 `cbor:"15,keyasint,omitempty"`
	// Force lets a vote request pass although a leader made contact recently. It is
	// set only in a leadership transfer that the leader started.
	Force bool `cbor:"16,keyasint,omitempty"`
	// ColdStart marks an election that needs the vote of every voter.
	ColdStart bool `cbor:"17,keyasint,omitempty"`
	// Recovering says that the sender has lost its state and is recovering.
	Recovering bool `cbor:"18,keyasint,omitempty"`
	// Nonce is, in a state reply, the incarnation of the requester in its request.
	Nonce uint64 `cbor:"19,keyasint,omitempty"`
	// IsLeader says that the sender of a state reply leads in Term.
	IsLeader bool `cbor:"20,keyasint,omitempty"`
	// Members is, in a leader's state reply, its latest membership.
	Members  []Member  `cbor:"21,keyasint,omitempty"`
	Snapshot *Snapshot `cbor:"22,keyasint,omitempty"`
	// EarlierMemberships are the memberships before Members, from the last one that the
	// leader knows to be committed on. They are left out if the leader knows that Members
	// itself is committed.
	EarlierMemberships [][]Member `cbor:"23,keyasint,omitempty"`
	// ReceiverIncarnation is the incarnation that the message is meant for; a receiver
	// with another incarnation drops it. Zero when any incarnation may handle it.
	ReceiverIncarnation uint64 `cbor:"24,keyasint,omitempty"`
	// afterSync makes BeforeSync report false for any type. The field isn't part of the
	// encoded message.
	afterSync bool
}

// memberships returns the memberships of a leader's state reply, the latest one last.
func (m *Message) memberships() [][]Member {
	return append(slices.Clone(m.EarlierMemberships), m.Members)
}

// pack sets Entries to entries in their short form, without indexes and repeated
// terms.
func (m *Message) pack(entries []Entry) {
	term := m.LogTerm
	m.Entries = make([]Entry, len(entries))
	for i, e := range entries {
		m.Entries[i] = Entry{Kind: e.Kind, Data: e.Data}
		if e.Term != term {
			m.Entries[i].Term = e.Term
			term = e.Term
		}
	}
}

// unpack returns Entries with their indexes and terms restored.
func (m *Message) unpack() []Entry {
	term := m.LogTerm
	out := make([]Entry, len(m.Entries))
	for i, e := range m.Entries {
		if e.Term != 0 {
			term = e.Term
		}
		out[i] = Entry{Index: m.Index + 1 + uint64(i), Term: term, Kind: e.Kind, Data: e.Data}
	}
	return out
}

// BeforeSync reports whether m may be sent before the HardState and Entries of its
// Ready are synced. That holds for a leader's appends, whose own acknowledgement
// counts only after Advance, and for pre-vote requests: neither commits the sender to
// anything.
//
// A member whose synced state doesn't say yet that it takes part in the group sends
// nothing before the sync, because its messages already report the participation
// (MemberIncarnation.Participated). If it lost its state in a loss of power after sending
// such a message, the other members would assume that its lost disk may have held
// committed entries.
func (m Message) BeforeSync() bool {
	if m.afterSync {
		return false
	}
	switch m.Type {
	case MsgAppend, MsgSnapshot, MsgPreVote:
		return true
	default:
		return false
	}
}
