package replica

import (
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Core is one member of a group. It is deterministic: the same calls in the same
// order give the same results. It isn't safe for concurrent use.
//
// The caller calls Tick at a steady rate. After a pause of the process, the caller must
// first call Tick once for each missed tick. Otherwise a leader could make a decision
// before it notices that its lease has expired.
type Core struct {
	cfg         Config
	incarnation uint64
	rand        *rand.Rand

	role   Role
	term   uint64
	vote   string
	leader string
	// notMember is set while this member believes that it isn't in the group.
	notMember bool

	log          entryLog
	snapshot     Snapshot
	commit       uint64
	applied      uint64
	members      membershipHistory
	incarnations incarnations

	// now counts this member's ticks. ticksSinceLeader counts the ticks since the last
	// contact from a leader, and ticksSinceReset counts the ticks since the election
	// timer was reset.
	now                  uint64
	ticksSinceLeader     int
	ticksSinceReset      int
	electionTimeoutTicks int
	heartbeatGaps        heartbeatGaps

	campaign    campaign
	leaderState leaderState
	recovery    recovery
	logFetch    logFetch

	// peerDigest is the incarnation digest of the last message of each peer.
	peerDigest map[string]uint64
	messages   []Message
	reads      []ReadState

	// savedState is the hard state that the caller has stored.
	savedState HardState
	// newSnapshot is a snapshot from another member that the caller hasn't stored yet.
	newSnapshot *Snapshot
	// readyPending is set between Ready and Advance.
	readyPending bool
}

// initialClockTimeouts is the initial tick count, in election timeouts. It is high
// enough for tick zero, which stands for "never", to be long past.
const initialClockTimeouts = 2

// New returns a member after a start. A member without stored state starts as
// Recovering, unless it is the only voter. Errors: ErrConfig and ErrStoredState.
func New(cfg Config, stored StoredState) (*Core, error) {
	if err := cfg.normalize(); err != nil {
		return nil, err
	}
	c := &Core{cfg: cfg, peerDigest: map[string]uint64{}}
	c.now = initialClockTimeouts * uint64(cfg.ElectionTicks)
	c.rand = rand.New(rand.NewPCG(cfg.Seed, xxhash.Sum64String(cfg.ID)))
	if err := c.restore(stored); err != nil {
		return nil, err
	}
	c.resetTimers()
	if c.soleVoter() {
		c.campaignAsSoleVoter()
	}
	return c, nil
}

// Empty reports whether the member starts without stored state.
func (s *StoredState) Empty() bool {
	hs := &s.HardState
	noState := hs.Term == 0 && hs.Vote == "" && hs.Incarnation == 0
	return noState && s.Snapshot.Index == 0 && len(s.Entries) == 0
}

// restore loads the stored state, or the initial membership when there is none.
func (c *Core) restore(stored StoredState) error {
	base := stored.Snapshot.Members
	if stored.Snapshot.Index == 0 {
		base = c.cfg.Members
	}
	if err := checkMembers(base); err != nil {
		return err
	}
	var err error
	if c.log, err = newEntryLog(stored); err != nil {
		return err
	}
	hs := stored.HardState
	c.term, c.vote = hs.Term, hs.Vote
	c.snapshot = stored.Snapshot
	c.commit = max(hs.Commit, stored.Snapshot.Index)
	if c.commit > c.log.last() {
		return errors.Wrapf(ErrStoredState, "commit %d after the last entry %d", c.commit, c.log.last())
	}
	c.applied = stored.Snapshot.Index
	c.members = newMembershipHistory(stored.Snapshot.Index, slices.Clone(base))
	if err := c.recordMemberships(c.log.slice(max(c.log.first(), stored.Snapshot.Index+1), c.log.last())); err != nil {
		return err
	}
	c.incarnations = newIncarnations(hs.KnownIncarnations)
	c.restoreIncarnation(stored)
	return nil
}

// restoreIncarnation sets the incarnation. A member that finds its state knows its
// votes and acknowledgements and keeps its incarnation. A member without stored state
// takes a new one, so that its earlier votes and acknowledgements no longer count.
func (c *Core) restoreIncarnation(stored StoredState) {
	c.incarnation = stored.HardState.Incarnation
	if c.incarnation == 0 {
		c.incarnation = c.cfg.Incarnation
	}
	c.incarnations.merge(MemberIncarnation{ID: c.cfg.ID, Incarnation: c.incarnation})
	if stored.Empty() || stored.HardState.Recovering {
		c.role = Recovering
	}
	if !stored.Empty() {
		c.savedState = stored.HardState
	}
	c.recordMemberIncarnations(stored.Snapshot.Members)
}

// recordMemberIncarnations records the incarnations that a snapshot's members carry.
func (c *Core) recordMemberIncarnations(members []Member) {
	for _, m := range members {
		if m.Incarnation > 0 {
			c.recordIncarnation(MemberIncarnation{ID: m.ID, Incarnation: m.Incarnation})
		}
	}
}

// recordMemberships adds the memberships that entries carry to the history.
func (c *Core) recordMemberships(entries []Entry) error {
	for _, e := range entries {
		if e.Kind != EntryMembership {
			continue
		}
		members, err := decodeMembers(e.Data)
		if err != nil {
			return err
		}
		c.members.push(e.Index, members)
	}
	return nil
}

// Tick advances the member's clock by one tick.
func (c *Core) Tick() {
	c.now++
	if c.role == Leader {
		c.tickLeader()
		return
	}
	c.ticksSinceLeader++
	c.ticksSinceReset++
	if c.role == Recovering {
		c.tickRecovering()
		return
	}
	if c.ticksSinceReset >= c.electionTimeoutTicks {
		c.onElectionTimeout()
	}
}

// resetTimers restarts the election timer with a new random timeout.
func (c *Core) resetTimers() {
	c.ticksSinceReset = 0
	minTimeout := c.minElectionTimeoutTicks()
	c.electionTimeoutTicks = (minTimeout + c.rand.IntN(minTimeout)) * c.requestIntervalFactor()
}

// hasRecentLeader reports whether a leader's lease may still be valid because this member
// replied to a heartbeat. It is true just after a start as well, because the member may
// have replied to a heartbeat right before it stopped.
func (c *Core) hasRecentLeader() bool {
	return c.role == Leader || c.ticksSinceLeader < c.cfg.ElectionTicks
}

// soleVoter reports whether this member is the only voter of the current membership.
func (c *Core) soleVoter() bool {
	electorate := c.members.currentVoters()
	return len(electorate) == 1 && electorate[0].ID == c.cfg.ID
}

// hardState returns the state that must survive a restart.
func (c *Core) hardState() HardState {
	return HardState{
		Term:              c.term,
		Vote:              c.vote,
		Commit:            c.commit,
		Incarnation:       c.incarnation,
		Recovering:        c.role == Recovering,
		KnownIncarnations: c.incarnations.known,
	}
}

// equalExceptCommit reports whether a and b are equal except for the commit index.
func (a *HardState) equalExceptCommit(b *HardState) bool {
	return a.Term == b.Term && a.Vote == b.Vote && a.Incarnation == b.Incarnation &&
		a.Recovering == b.Recovering && slices.Equal(a.KnownIncarnations, b.KnownIncarnations)
}

// follow makes the member a follower of leader (empty when unknown) in term. A
// recovering member only adopts the term and stays Recovering.
func (c *Core) follow(term uint64, leader string) {
	c.setTerm(term)
	if c.role == Leader {
		// The lease of this former leader may still be valid, so it refuses votes for a
		// whole election timeout.
		c.ticksSinceLeader = 0
		c.clearLeaderState()
	}
	if c.role != Recovering {
		c.role = Follower
	}
	c.leader = leader
	c.campaign = campaign{}
	c.resetTimers()
}

// setTerm moves the member to term and clears its vote if the term is new.
func (c *Core) setTerm(term uint64) {
	invariant(term >= c.term, "%s: term goes back from %d to %d", c.cfg.ID, c.term, term)
	if term > c.term {
		c.term = term
		c.vote = ""
	}
}

// commitTo advances the commit index. It never moves it back.
func (c *Core) commitTo(index uint64) {
	if index <= c.commit {
		return
	}
	invariant(index <= c.log.last(), "%s: commit %d after the last entry %d", c.cfg.ID, index, c.log.last())
	c.commit = index
}

// send queues m with the sender's incarnation and known incarnations.
func (c *Core) send(m Message) {
	m.From = c.cfg.ID
	m.Incarnation = c.incarnation
	m.IncarnationDigest = c.incarnations.digest
	if c.peerDigest[m.To] != c.incarnations.digest || m.ColdStart {
		m.KnownIncarnations = c.incarnations.known
	}
	m.afterSync = c.savedState.Incarnation != c.incarnation || c.savedState.Recovering
	c.messages = append(c.messages, m)
}

// peers returns the IDs of all other members that this member knows.
func (c *Core) peers() []string {
	var out []string
	add := func(members []Member) {
		for _, m := range members {
			if m.ID != c.cfg.ID && !slices.Contains(out, m.ID) {
				out = append(out, m.ID)
			}
		}
	}
	for _, members := range c.members.since(c.commit) {
		add(members)
	}
	if c.role == Recovering {
		add(c.cfg.Members)
		for _, members := range c.recovery.memberships {
			add(members)
		}
	}
	return out
}

// VoterCount returns the number of voters of the latest membership.
func (c *Core) VoterCount() int { return len(c.members.currentVoters()) }

// Status returns the current state of the member.
func (c *Core) Status() Status {
	members := slices.Clone(c.members.current())
	for i := range members {
		members[i].Incarnation = max(members[i].Incarnation, c.incarnations.of(members[i].ID))
	}
	return Status{
		ID:        c.cfg.ID,
		Role:      c.role,
		Term:      c.term,
		Leader:    c.leader,
		Commit:    c.commit,
		Applied:   c.applied,
		Last:      c.log.last(),
		First:     c.log.first(),
		Members:   members,
		CanDecide: c.canDecide(),
		Degraded:  c.role == Leader && !c.diskVoterAvailable(),
		NotMember: c.notMember,
	}
}
