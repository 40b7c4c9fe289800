package replica

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Load, snapshots and network of a simulation. Each probability applies to one step of a
// member or to one message.
const (
	proposalProbability = 0.3
	// readProbability is the probability of a read request after each proposal.
	readProbability = 0.3
	// readyOnDeliveryProbability is the probability that a member works on its Ready
	// right after a message and not only at its next tick.
	readyOnDeliveryProbability = 0.7
	snapshotInterval           = 20 // entries
	keptEntries                = 3

	// The following constants apply only under faults. The bounds are exclusive.
	duplicateProbability  = 0.03
	delayProbability      = 0.05
	maxDelaySteps         = 60
	maxSyncSteps          = 3
	missedTickProbability = 0.05
)

// Crashes of a simulation. storedBeforeCrashProbability is the probability that a member
// with a disk has stored its pending Ready before a crash. maxDownSteps is the maximum
// downtime of a member.
const (
	storedBeforeCrashProbability = 0.5
	// clockStepProbability is the probability that the wall clock of a member is set back
	// before its start.
	clockStepProbability = 0.5
	// maxClockStep bounds how far a wall clock is set ahead or back if clocksAhead is set.
	maxClockStep = 200 * incarnationsPerTerm
	maxDownSteps = 60
)

// simOptions selects the group and the faults of a simulation.
type simOptions struct {
	voters, disks, spares int
	witness               bool
	steps                 int
	// faultOutcomes is the number of equally likely outcomes of which each step draws
	// one. About 70 of them start or end a fault, the others do nothing.
	faultOutcomes     int
	faults            bool
	powerLoss         bool
	membershipChanges bool
	// clockSteps sets the wall clock of a member back before some of its starts.
	clockSteps bool
	// clocksAhead sets the wall clock of a member ahead or back by up to maxClockStep before
	// some of its starts.
	clocksAhead bool
	// powerAndDiskLoss erases as many disks as the group tolerates at some losses of power.
	powerAndDiskLoss bool
}

// sim simulates a group on an in-memory network and in-memory disks. All random
// choices come from one seed.
type sim struct {
	opt          simOptions
	rand         *rand.Rand
	step         int
	nodes        []*simNode
	inTransit    []simMessage
	blockedLinks map[[2]string]bool
	lossRate     float64

	// leaders holds the leader of each term.
	leaders map[uint64]string
	// stateHashes holds the hash of the state machine after each index.
	stateHashes map[uint64]uint64
	// reads holds, by token, the last index that any member had applied at the call.
	reads map[uint64]uint64
	// intercept, when set, removes the messages for which it returns true from the
	// network; intercepted holds them.
	intercept   func(Message) bool
	intercepted []Message
	// lastApplied is the last index applied by any member, and lastDurable is the last
	// index committed while a disk voter was available.
	lastApplied uint64
	lastDurable uint64
	// counts holds the numbers of events by name.
	counts      map[string]int
	violations  []string
	nextCommand uint64
}

// simMessage is a message in flight, delivered at step dueStep.
type simMessage struct {
	m       Message
	dueStep int
}

// simNode is a member of the simulated group.
type simNode struct {
	s             *sim
	id            string
	disk          bool
	core          *Core
	incarnation   uint64
	stored        StoredState
	paused        bool
	clockStopped  bool // the member doesn't tick, so its lease doesn't expire
	missedTicks   int
	ready         *Ready
	readyDoneStep int
	stateHash     uint64
	commit        uint64
	role          Role
	restartStep   int // step at which a crashed member restarts
	// fixedIncarnation is the incarnation of the next start if it isn't 0, as after a clock
	// that was set back.
	fixedIncarnation uint64
}

func newSim(seed uint64, opt simOptions) *sim {
	s := &sim{
		opt: opt, rand: rand.New(rand.NewPCG(seed, 1)), blockedLinks: map[[2]string]bool{},
		leaders: map[uint64]string{}, stateHashes: map[uint64]uint64{0: 0}, counts: map[string]int{}, reads: map[uint64]uint64{},
	}
	for i := range opt.voters + opt.spares {
		n := &simNode{s: s, id: fmt.Sprintf("n%d", i), disk: i < opt.disks}
		s.nodes = append(s.nodes, n)
	}
	for _, n := range s.nodes {
		n.start()
	}
	return s
}

func (s *sim) initialMembers() []Member {
	var members []Member
	for i, n := range s.nodes[:s.opt.voters] {
		members = append(members, Member{ID: n.id, HasDisk: n.disk, Witness: s.opt.witness && i == s.opt.voters-1})
	}
	return members
}

// failf records a violation of a guarantee, which ends the simulation.
func (s *sim) failf(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("step %d: ", s.step)+fmt.Sprintf(format, args...))
}

// chance returns true with probability p.
func (s *sim) chance(p float64) bool { return s.rand.Float64() < p }

func (n *simNode) start() {
	n.incarnation = uint64(n.s.step+1) * incarnationsPerTerm
	if n.s.opt.clockSteps && n.s.chance(clockStepProbability) {
		n.s.counts["clocks set back"]++
		n.incarnation = 1 + uint64(n.s.rand.Int64N(int64(n.incarnation)))
	}
	if n.s.opt.clocksAhead && n.s.chance(clockStepProbability) {
		n.s.counts["clocks stepped"]++
		n.incarnation = max(n.incarnation+uint64(n.s.rand.IntN(2*maxClockStep)), maxClockStep+1) - maxClockStep
	}
	if n.fixedIncarnation != 0 {
		n.incarnation, n.fixedIncarnation = n.fixedIncarnation, 0
	}
	stored := StoredState{HardState: n.stored.HardState, Snapshot: n.stored.Snapshot, Entries: slices.Clone(n.stored.Entries)}
	core, err := New(Config{
		ID: n.id, Incarnation: n.incarnation, HasDisk: n.disk, Members: n.s.initialMembers(), Seed: n.incarnation + uint64(n.s.rand.Uint32()),
		MaxEntriesPerMessage: 8, MaxInflight: 4, KeepEntries: keptEntries,
	}, stored)
	if err != nil {
		n.s.failf("%s: start: %v", n.id, err)
		return
	}
	n.core, n.ready, n.paused, n.missedTicks = core, nil, false, 0
	n.stateHash, n.commit, n.role = 0, core.commit, core.role
	if stored.Snapshot.Index > 0 {
		n.stateHash = binary.BigEndian.Uint64(stored.Snapshot.Data)
	}
}

// crash stops the member for some steps. Its disk, if it has one, may or may not have
// received the pending Ready; loseDisk erases the disk.
func (n *simNode) crash(loseDisk bool) {
	if n.ready != nil && n.disk && n.s.chance(storedBeforeCrashProbability) {
		n.persist(*n.ready)
	}
	n.core, n.ready, n.paused, n.missedTicks = nil, nil, false, 0
	n.restartStep = n.s.step + 1 + n.s.rand.IntN(maxDownSteps)
	if !n.disk || loseDisk {
		n.stored = StoredState{}
	}
}

// persist writes a Ready to the simulated disk.
func (n *simNode) persist(r Ready) {
	if r.Snapshot != nil {
		n.stored.Snapshot, n.stored.Entries = *r.Snapshot, nil
	}
	if len(r.Entries) > 0 {
		first := r.Entries[0].Index
		n.stored.Entries = slices.DeleteFunc(n.stored.Entries, func(e Entry) bool { return e.Index >= first })
		n.stored.Entries = append(n.stored.Entries, r.Entries...)
	}
	if r.HardState != nil {
		n.stored.HardState = *r.HardState
	}
}

// processReady starts or completes the work of a Ready. Under faults it completes some
// steps after its start.
func (n *simNode) processReady() {
	n.checkStatus()
	if n.core == nil || n.paused {
		return
	}
	if n.ready != nil {
		if n.s.step >= n.readyDoneStep {
			n.finishReady()
		}
		return
	}
	if !n.core.HasReady() {
		return
	}
	r := n.core.Ready()
	n.ready = &r
	n.readyDoneStep = n.s.step
	if n.s.opt.faults && n.disk {
		n.readyDoneStep += n.s.rand.IntN(maxSyncSteps)
	}
	n.sendAll(r, true)
	if n.s.step >= n.readyDoneStep {
		n.finishReady()
	}
}

// finishReady completes the pending Ready: sync, send, apply, advance, compact.
func (n *simNode) finishReady() {
	r := *n.ready
	if n.disk {
		n.persist(r)
	}
	n.sendAll(r, false)
	if r.Snapshot != nil {
		n.stateHash = binary.BigEndian.Uint64(r.Snapshot.Data)
		n.checkApplied(r.Snapshot.Index)
	}
	for _, e := range r.Committed {
		n.stateHash = xxhash.Sum64(binary.BigEndian.AppendUint64(fmt.Appendf(nil, "%d/%d/%s/", e.Index, e.Term, e.Data), n.stateHash))
		n.checkApplied(e.Index)
	}
	for _, read := range r.Reads {
		n.s.counts["reads"]++
		if read.Index < n.s.reads[read.Token] {
			n.s.failf("%s: read at index %d, but %d was applied before it arrived", n.id, read.Index, n.s.reads[read.Token])
		}
	}
	n.ready = nil
	n.core.Advance(r)
	n.checkStatus()
	n.compact()
}

// checkApplied checks state machine safety: after an index, every member has the same
// state. It also detects the loss of a committed entry, because the next one
// committed at that index differs.
func (n *simNode) checkApplied(index uint64) {
	want, ok := n.s.stateHashes[index]
	if !ok {
		n.s.stateHashes[index] = n.stateHash
		n.s.lastApplied = max(n.s.lastApplied, index)
		n.s.counts["committed"]++
	} else if want != n.stateHash {
		n.s.failf("%s: state after %d differs", n.id, index)
	}
}

// compact takes a snapshot of a member that has applied enough entries since its last
// snapshot.
func (n *simNode) compact() {
	st := n.core.Status()
	if st.Applied < n.core.snapshot.Index+snapshotInterval || n.core.newSnapshot != nil {
		return
	}
	snapshot, err := n.core.SnapshotAt(st.Applied, binary.BigEndian.AppendUint64(nil, n.stateHash))
	if err != nil {
		n.s.failf("%s: snapshot: %v", n.id, err)
		return
	}
	n.core.Compact(snapshot)
	n.s.counts["snapshots"]++
	if n.disk {
		n.stored.Snapshot = snapshot
		n.stored.Entries = slices.DeleteFunc(n.stored.Entries, func(e Entry) bool { return e.Index+keptEntries < snapshot.Index })
	}
}

// sendAll sends the messages of r that may be sent before the sync if early is true, and
// otherwise the messages that must be sent after it.
func (n *simNode) sendAll(r Ready, early bool) {
	for _, m := range r.Messages {
		if m.BeforeSync() != early {
			continue
		}
		n.s.transmit(m)
		if n.s.opt.faults && n.s.chance(duplicateProbability) {
			n.s.transmit(m)
		}
	}
}

// transmit puts m on the network, with random loss and delay under faults.
func (s *sim) transmit(m Message) {
	if s.intercept != nil && s.intercept(m) {
		s.intercepted = append(s.intercepted, m)
		return
	}
	if s.chance(s.lossRate) {
		return
	}
	delay := s.rand.IntN(2)
	if s.opt.faults && s.chance(delayProbability) {
		delay += s.rand.IntN(maxDelaySteps)
	}
	s.inTransit = append(s.inTransit, simMessage{m, s.step + 1 + delay})
}

func (s *sim) node(id string) *simNode {
	for _, n := range s.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// run makes steps, each with deliveries, ticks, proposals, faults and checks. It stops at
// the first violation.
func (s *sim) run(steps int) {
	for range steps {
		if len(s.violations) > 0 {
			return
		}
		s.step++
		s.deliver()
		for _, n := range s.nodes {
			s.tick(n)
			n.processReady()
		}
		s.propose()
		if s.opt.faults {
			s.injectFault()
		}
		s.checkLease()
	}
}

// deliver passes the messages that are due to their receivers.
func (s *sim) deliver() {
	var due []simMessage
	s.inTransit = slices.DeleteFunc(s.inTransit, func(m simMessage) bool {
		if m.dueStep <= s.step {
			due = append(due, m)
		}
		return m.dueStep <= s.step
	})
	slices.SortStableFunc(due, func(a, b simMessage) int { return cmp.Compare(a.dueStep, b.dueStep) })
	for _, d := range due {
		n := s.node(d.m.To)
		if s.blockedLinks[[2]string{d.m.From, d.m.To}] || n.core == nil || n.paused {
			continue
		}
		if err := n.core.Step(d.m); err != nil {
			s.failf("%s: %v", n.id, err)
		}
		n.checkStatus()
		if s.chance(readyOnDeliveryProbability) {
			n.processReady()
		}
	}
}

// tick ticks a member, or restarts it once it has been down long enough. Under faults the
// member misses some ticks at random, so that clocks drift apart.
func (s *sim) tick(n *simNode) {
	if n.core == nil {
		if s.step >= n.restartStep {
			n.start()
		}
		return
	}
	if n.paused {
		n.missedTicks++
		return
	}
	if n.clockStopped || s.opt.faults && s.chance(missedTickProbability) {
		return
	}
	n.core.Tick()
}

// resume ends a pause. It first ticks the member once for each missed tick.
func (n *simNode) resume() {
	n.paused = false
	for range n.missedTicks {
		n.core.Tick()
	}
	n.missedTicks = 0
}

// propose makes proposals and read requests on random members.
func (s *sim) propose() {
	for _, n := range s.nodes {
		if n.core == nil || n.paused || !s.chance(proposalProbability) {
			continue
		}
		s.nextCommand++
		if _, _, err := n.core.Propose(fmt.Appendf(nil, "c%d", s.nextCommand)); err == nil {
			s.counts["proposed"]++
		}
		if s.chance(readProbability) && n.core.ReadIndex(s.nextCommand) == nil {
			s.reads[s.nextCommand] = s.lastApplied
		}
	}
}

// leader returns the member that may decide, or nil.
func (s *sim) leader() *simNode {
	for _, n := range s.nodes {
		if n.core != nil && !n.clockStopped && n.core.Status().CanDecide {
			return n
		}
	}
	return nil
}
