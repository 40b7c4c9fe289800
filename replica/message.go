package replica

import "slices"

// MessageType tells the messages of the protocol apart.
type MessageType uint8

// Types of messages between the members of a group.
const (
	// MsgPreVote asks whether a vote would be granted; it changes nothing.
	MsgPreVote MessageType = iota + 1
	// MsgPreVoteReply answers MsgPreVote.
	MsgPreVoteReply
	// MsgVote asks for a vote in Term.
	MsgVote
	// MsgVoteReply answers MsgVote.
	MsgVoteReply
	// MsgAppend carries entries, or none when it serves as a heartbeat.
	MsgAppend
	// MsgAppendReply answers MsgAppend and MsgSnapshot.
	MsgAppendReply
	// MsgSnapshot carries a snapshot for a member behind the leader's log.
	MsgSnapshot
	// MsgTimeoutNow tells the target of a leadership transfer to campaign.
	MsgTimeoutNow
	// MsgState asks for the receiver's state: its term, log end and whether it
	// has forgotten its promises. A recovering member sends it under its new
	// incarnation, which is the nonce that the answer must repeat.
	MsgState
	// MsgStateReply answers MsgState.
	MsgStateReply
	// MsgFetch asks a witness for its log after Index.
	MsgFetch
	// MsgFetchReply answers MsgFetch.
	MsgFetchReply
	// MsgNotMember tells a member that asked that the committed membership, of
	// entry Index, doesn't have it.
	MsgNotMember
)

// Message is everything one member tells another. Fields that a type doesn't
// use are zero and take no room on the wire.
type Message struct {
	Type MessageType `cbor:"1,keyasint"`
	From string      `cbor:"2,keyasint"`
	To   string      `cbor:"3,keyasint"`
	Term uint64      `cbor:"4,keyasint,omitempty"`
	// Incarnation of the sender.
	Incarnation uint64 `cbor:"5,keyasint,omitempty"`
	// Digest stands for the sender's vector of known incarnations.
	IncarnationDigest uint64 `cbor:"6,keyasint,omitempty"`
	// Known is that vector; left out when the receiver's last message showed
	// the same digest.
	KnownIncarnations []MemberIncarnation `cbor:"7,keyasint,omitempty"`
	// Index and LogTerm: of the entry before Entries in an append, of the last
	// entry in a vote request, a state reply or a witness's refusal; in an append reply Index is the
	// last entry known to match, or the refused one.
	Index   uint64 `cbor:"8,keyasint,omitempty"`
	LogTerm uint64 `cbor:"9,keyasint,omitempty"`
	// Entries follow Index. To save room their indexes are left out, and so is
	// a term that equals the one before.
	Entries []Entry `cbor:"10,keyasint,omitempty"`
	Commit  uint64  `cbor:"11,keyasint,omitempty"`
	// Reject refuses the vote or the append.
	Reject bool `cbor:"12,keyasint,omitempty"`
	// Hint is where a refusing follower's log may match.
	RejectHint uint64 `cbor:"13,keyasint,omitempty"`
	// Tick is the leader's tick count when it sent an append; echoed in the reply.
	Tick uint64 `cbor:"14,keyasint,omitempty"`
	// Read is the leader's latest read round; echoed in the reply.
	ReadRound uint64 `cbor:"15,keyasint,omitempty"`
	// Force lets a vote pass although a leader was heard lately; set only in
	// a transfer that the leader itself began.
	Force bool `cbor:"16,keyasint,omitempty"`
	// ColdStart marks a vote that needs every voter's grant.
	ColdStart bool `cbor:"17,keyasint,omitempty"`
	// Recovering says that the sender has forgotten its promises.
	Recovering bool `cbor:"18,keyasint,omitempty"`
	// Nonce repeats the incarnation of the asker in a state reply.
	Nonce uint64 `cbor:"19,keyasint,omitempty"`
	// Leader says that the sender of a state reply leads in Term.
	Leader bool `cbor:"20,keyasint,omitempty"`
	// Members is the latest membership of a leader that answers MsgState.
	Members  []Member  `cbor:"21,keyasint,omitempty"`
	Snapshot *Snapshot `cbor:"22,keyasint,omitempty"`
	// Earlier are the memberships before Members, from the one that the leader
	// knows to be committed on; left out when that is Members itself.
	EarlierMemberships [][]Member `cbor:"23,keyasint,omitempty"`
	// Receiver is the incarnation of the receiver that the message is meant
	// for; any other drops it. Zero when any may take it.
	ReceiverIncarnation uint64 `cbor:"24,keyasint,omitempty"`
	// afterSync holds back a message that BeforeSync would let go; not sent.
	afterSync bool
}

// memberships returns those of a leader's answer, the latest one last.
func (m *Message) memberships() [][]Member {
	return append(slices.Clone(m.EarlierMemberships), m.Members)
}

// pack sets the entries that follow Index in their short form.
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

// unpack returns the entries in full.
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

// BeforeSync reports whether m may be sent before the HardState and Entries of
// its Ready are synced. That holds for what promises nothing: a leader's
// appends (its own acknowledgement counts only after Advance) and questions.
//
// A member that hasn't synced yet that it takes part sends nothing before. Its
// messages say that it does (Known.Held), and were its state lost in a loss of
// power, the others would take its disk for one that held committed entries.
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
