package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
)

// wrongMessages are the messages that a test of wrong messages sends to one member.
const wrongMessages = 300

// randomMessage returns a message with arbitrary fields, as a faulty or very late member may send it.
func randomMessage(random *rand.Rand) Message {
	small := func() uint64 { return random.Uint64N(8) }
	flag := func() bool { return random.IntN(2) == 0 }
	id := func() string { return fmt.Sprintf("n%d", random.IntN(5)) }
	entries := func() []Entry {
		var out []Entry
		for range random.IntN(4) {
			e := Entry{Term: small(), Kind: EntryKind(random.IntN(3))}
			if e.Kind == EntryMembership {
				e.Data = encodeMembers([]Member{{ID: "n0", HasDisk: flag()}, {ID: id() + "x", Learner: flag()}})
			}
			out = append(out, e)
		}
		return out
	}
	m := Message{
		Type: MessageType(random.IntN(14)), To: "n0", From: id(), Term: small(), Incarnation: 1 + small(), Index: small(), LogTerm: small(),
		Commit: small(), Reject: flag(), RejectHint: small(), Tick: small(), ReadRound: small(), Force: flag(), ColdStart: flag(),
		Recovering: flag(), Nonce: small(), IsLeader: flag(), ReceiverIncarnation: small(), Entries: entries(), IncarnationDigest: small(),
	}
	if flag() {
		m.KnownIncarnations = []MemberIncarnation{{ID: id(), Incarnation: small(), Participated: flag()}}
	}
	if flag() {
		m.Snapshot = &Snapshot{Index: small(), Term: small(), Members: []Member{{ID: id(), Learner: flag(), Witness: flag()}, {ID: "n7"}}}
	}
	if flag() {
		m.Members = []Member{{ID: id()}, {ID: "n7", Learner: flag()}}
	}
	return m
}

// wrongMessageReceiver returns n0 in one of its roles.
func wrongMessageReceiver(t *testing.T, random *rand.Rand) *Core {
	switch random.IntN(4) {
	case 0:
		return candidateCore(t, "n0", "n1", "n2")
	case 1:
		return leaderCore(t, "n0", "n1", "n2")
	case 2:
		return coreWithoutState(t)
	default:
		return followerCore(t)
	}
}

// Guards against a member that a wrong message ends, at each start if it is sent again, or keeps busy
// for good. A leader isn't sent appends of another leader of its term: it must end, or both would
// decide.
func TestWrongMessagesEndNoMember(t *testing.T) {
	seeds, first := envInt("REPLICA_SEEDS", 200), envInt("REPLICA_FIRST", 1)
	for seed := first; seed < first+seeds; seed++ {
		random := rand.New(rand.NewPCG(uint64(seed), 2))
		c := wrongMessageReceiver(t, random)
		var m Message
		defer func() {
			if p := recover(); p != nil {
				t.Fatalf("seed %d: %v: %+v", seed, p, m)
			}
		}()
		for range wrongMessages {
			m = randomMessage(random)
			ofLeader := m.Type == MsgAppend || m.Type == MsgSnapshot
			if c.role == Leader && ofLeader && m.Term == c.term {
				continue
			}
			_ = c.Step(m)
			for range random.IntN(20) {
				c.Tick()
			}
			if c.HasReady() {
				c.Advance(c.Ready())
			}
		}
	}
}

// Guards against a member that is busy for good: a wrong append names a term of the entry before the first.
func TestAppendBeforeFirstEntryIsRejected(t *testing.T) {
	c := coreWithoutState(t)
	stepFromPeer(t, c, Message{Type: MsgAppend, From: "n1", Term: 3, Index: 0, LogTerm: 2})
	reply := c.messages[len(c.messages)-1]
	must.True(t, reply.Reject)
	must.Eq(t, 0, reply.RejectHint)
}
