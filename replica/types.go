// Package replica implements a replicated log with a deterministic core. The caller
// feeds it messages, ticks and proposals, and carries out what Ready returns: data to
// write and sync, messages to send, entries to apply. The core owns no socket, file,
// clock or goroutine.
package replica

// Member is one voter or learner of a group.
type Member struct {
	ID string `cbor:"1,keyasint"`
	// Address is where the member's peers reach it; the core never reads it.
	Address string `cbor:"2,keyasint,omitempty"`
	// HasDisk says that what the member acknowledges has been synced to disk.
	HasDisk bool `cbor:"3,keyasint,omitempty"`
	// Witness says that the member votes and holds the log but never leads.
	Witness bool `cbor:"4,keyasint,omitempty"`
	// Learner says that the member receives the log but doesn't count for a quorum.
	Learner bool `cbor:"5,keyasint,omitempty"`
	// Incarnation is the latest known start of the member without stored state. Votes
	// and acknowledgements of earlier incarnations no longer count for a quorum.
	Incarnation uint64 `cbor:"6,keyasint,omitempty"`
	// DataCentre is the member's data centre, empty while unknown; the core never reads it.
	DataCentre string `cbor:"7,keyasint,omitempty"`
}

// EntryKind says what an entry carries.
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

// HardState is what a member must remember across restarts besides its snapshot and
// entries. It must be synced before the messages of the same Ready are sent, except
// those whose BeforeSync method reports true.
type HardState struct {
	Term   uint64 `cbor:"1,keyasint"`
	Vote   string `cbor:"2,keyasint,omitempty"`
	Commit uint64 `cbor:"3,keyasint,omitempty"`
	// Incarnation is the member's last start without stored state, or a later number after
	// it has learned of a later incarnation. A restart that finds its state keeps it.
	Incarnation uint64 `cbor:"4,keyasint,omitempty"`
	// Recovering says that the member started without stored state, or learned of a later
	// incarnation of itself, and doesn't know which votes and acknowledgements it gave before.
	Recovering bool `cbor:"5,keyasint,omitempty"`
	// KnownIncarnations holds the latest known incarnation of each member, ordered by
	// ID.
	KnownIncarnations []MemberIncarnation `cbor:"6,keyasint,omitempty"`
}

// MemberIncarnation is the latest known incarnation of a member.
type MemberIncarnation struct {
	ID          string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// Participated says that the member has led or ended a recovery at least once, under
	// this or an earlier incarnation. Its disk may therefore have been the only one that
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

// StoredState is the state that a member with a disk reads at start. A diskless
// member, or one whose disk is empty, starts from the zero value.
type StoredState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// Role is the current role of a member in its group.
type Role uint8

// Roles of a member. A Recovering member has lost its state, or doesn't know what a later
// incarnation of it has done. It neither votes nor acknowledges until it holds everything that
// it may have acknowledged before.
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
	// Snapshot was received from another member; nil when there is none.
	Snapshot *Snapshot
	// Entries are the entries to append to the stored log. An entry whose index is
	// already stored replaces that entry and all later ones.
	Entries []Entry
	// Committed has the committed entries to apply, in order, each exactly once.
	Committed []Entry
	// Messages must be sent after the sync, except those whose BeforeSync method
	// reports true; these may be sent immediately.
	Messages []Message
	// Reads has the confirmed read requests. Each may return once Status.Applied reaches
	// its Index.
	Reads []ReadState
	// MustSync is false when only the commit index changed and no membership became
	// committed. A restart learns the commit index again from the leader.
	MustSync bool
}

// ReadState is a read request for which a quorum has confirmed, after the request
// arrived, that this member still leads.
type ReadState struct {
	// Token is the value that the caller passed to ReadIndex.
	Token uint64
	// Index is the log index that must be applied before the read returns.
	Index uint64
}

// Status is a read-only view of a member's state for logs, metrics and the routing of
// calls. Metrics show the fields under their JSON names.
type Status struct {
	ID      string
	Role    Role
	Term    uint64
	Leader  string
	Commit  uint64
	Applied uint64
	// Last is the index of the last entry in the log, and First is the index of
	// the first entry that isn't compacted.
	Last    uint64
	First   uint64
	Members []Member
	// CanDecide is true only on a leader that has committed an entry of its term and
	// whose lease is valid: a majority replied to a message sent within the lease,
	// counted in the leader's own ticks.
	CanDecide bool
	// Degraded is true on a leader when no voter with a disk acknowledges entries.
	// Entries committed meanwhile don't survive a loss of power of all members.
	Degraded bool
	// NotMember is true on a member that a leader has told that it isn't in the group,
	// because it was removed or not yet added. It is cleared when a leader contacts
	// the member again.
	NotMember bool `json:"Outside"`
}
