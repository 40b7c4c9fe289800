// Package replica is a replicated log with a deterministic core. The caller
// feeds it messages, ticks and proposals, and carries out what Ready returns:
// what to write and sync, what to send, what to apply. The core owns no
// socket, file, clock or goroutine.
package replica

// Member is one voter or learner of a group.
type Member struct {
	ID string `cbor:"1,keyasint"`
	// Address is where the member's peers reach it; the core never reads it.
	Address string `cbor:"2,keyasint,omitempty"`
	// HasDisk says that what the member acknowledges has been synced to disk.
	HasDisk bool `cbor:"3,keyasint,omitempty"`
	// Witness members vote and hold the log but never lead.
	Witness bool `cbor:"4,keyasint,omitempty"`
	// Learner members receive the log and don't count for a quorum.
	Learner bool `cbor:"5,keyasint,omitempty"`
	// Incarnation is the latest known start of the member. What an earlier
	// incarnation promised no longer counts for a quorum.
	Incarnation uint64 `cbor:"6,keyasint,omitempty"`
}

// EntryKind tells what an entry carries.
type EntryKind uint8

// Kinds of entries.
const (
	// EntryCommand carries a command of the state machine.
	EntryCommand EntryKind = iota
	// EntryMembership carries an encoded membership.
	EntryMembership
	// EntryNoop is written by a new leader to commit entries of earlier terms.
	EntryNoop
)

// Entry is one record of the log.
type Entry struct {
	Index uint64    `cbor:"1,keyasint,omitempty"`
	Term  uint64    `cbor:"2,keyasint,omitempty"`
	Kind  EntryKind `cbor:"3,keyasint,omitempty"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
}

// HardState is what must be synced before messages of the same Ready are sent.
type HardState struct {
	Term   uint64 `cbor:"1,keyasint"`
	Vote   string `cbor:"2,keyasint,omitempty"`
	Commit uint64 `cbor:"3,keyasint,omitempty"`
	// Incarnation is the start since which this member has forgotten nothing.
	// A restart that finds its state keeps it.
	Incarnation uint64 `cbor:"4,keyasint,omitempty"`
	// Recovering says that the member started blank and may have made promises
	// that it no longer knows.
	Recovering bool `cbor:"5,keyasint,omitempty"`
	// Known holds the latest incarnations heard of, ordered by ID.
	KnownIncarnations []MemberIncarnation `cbor:"6,keyasint,omitempty"`
}

// Known is the latest incarnation of a member that somebody has heard of.
type MemberIncarnation struct {
	ID          string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// Held says that the member has taken part without having to recover,
	// under this or an earlier incarnation: its disk may have been the one that
	// held a committed entry.
	Participated bool `cbor:"3,keyasint,omitempty"`
}

// Snapshot is the state of the state machine after entry Index.
type Snapshot struct {
	Index   uint64   `cbor:"1,keyasint"`
	Term    uint64   `cbor:"2,keyasint"`
	Members []Member `cbor:"3,keyasint"`
	Data    []byte   `cbor:"4,keyasint,omitempty"`
}

// Stored is what a member with a disk finds at start. A diskless member, or
// one whose disk is empty, starts from the zero value.
type StoredState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// Role is what a member currently is in its group.
type Role uint8

// Roles. A Recovering member has forgotten its promises and neither votes nor
// acknowledges until it holds what it may have acknowledged before.
const (
	Follower Role = iota
	Candidate
	Leader
	Recovering
)

// Ready is the work that the caller must do, in this order: write and sync
// Snapshot, Entries and HardState; send Messages; apply Snapshot, then
// Committed; call Advance.
type Ready struct {
	// HardState is nil when unchanged.
	HardState *HardState
	// Snapshot was received from a leader; nil when there is none.
	Snapshot *Snapshot
	// Entries are to be appended; an entry whose index is already in the file
	// replaces that one and all later ones.
	Entries []Entry
	// Committed entries are to be applied, in order, each exactly once.
	Committed []Entry
	// Messages are to be sent after the sync, but for those whose BeforeSync
	// method says that they may go at once.
	Messages []Message
	// Reads are confirmed; each may be answered once Applied reaches its Index.
	Reads []ReadState
	// MustSync is false when nothing but the commit index changed, which a
	// restart learns again from the leader, and no membership became committed.
	MustSync bool
}

// ReadState is a read request whose leadership a quorum has confirmed after
// the request came in.
type ReadState struct {
	// Token is the value that the caller gave to ReadIndex.
	Token uint64
	// Index must be applied before the read is answered.
	Index uint64
}

// Status is a read-only view for logs, metrics and routing of calls.
type Status struct {
	ID      string
	Role    Role
	Term    uint64
	Leader  string
	Commit  uint64
	Applied uint64
	Last    uint64
	First   uint64
	Members []Member
	// CanDecide is true only on a leader that has heard from a majority within
	// its lease, counted by its own ticks, and has committed an entry of its term.
	CanDecide bool
	// Degraded is true on a leader none of whose disk members acknowledges at
	// present: what is committed now doesn't outlive a loss of power everywhere.
	Degraded bool
	// Outside is true on a member that a leader has told that it isn't in the
	// group, removed or not yet added, until a leader is heard again.
	Outside bool
}
