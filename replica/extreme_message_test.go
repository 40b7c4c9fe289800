package replica

import (
	"math"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
)

// extremeMessages returns messages of each type from a process that is no member, with an extreme value in one field each.
func extremeMessages(from string) (messages []Message) {
	for kind := range MessageType(20) {
		for _, n := range []uint64{0, 1, math.MaxInt64, math.MaxUint64 - 1, math.MaxUint64} {
			for _, m := range []Message{
				{Term: n}, {Incarnation: n}, {Index: n}, {LogTerm: n}, {Commit: n}, {RejectHint: n}, {Tick: n}, {ReadRound: n}, {Nonce: n},
				{ReceiverIncarnation: n}, {IncarnationDigest: n}, {Term: n, Index: n, LogTerm: n, Commit: n, Incarnation: n, Tick: n, ReadRound: n, RejectHint: n, Nonce: n},
				{KnownIncarnations: []MemberIncarnation{{ID: "n1", Incarnation: n}, {ID: from, Incarnation: n}}}, {Snapshot: &Snapshot{Index: n, Term: n}},
			} {
				m.Type, m.From, m.To = kind, from, "n0"
				messages = append(messages, m)
			}
		}
	}
	return messages
}

// Guards against a message that ends its receiver, and ends it again at each start: the highest term leaves no term for
// a further election.
func TestExtremeMessageEndsNoMember(t *testing.T) {
	for _, m := range extremeMessages("stranger") {
		c := candidateCore(t, "n0", "n1", "n2")
		_ = c.Step(m)
		for range 200 {
			c.Tick()
			// The other members agree to each campaign.
			for _, id := range []string{"n1", "n2"} {
				stepFromPeer(t, c, Message{Type: MsgPreVoteReply, From: id, Term: c.term + 1})
			}
			if c.HasReady() {
				c.Advance(c.Ready())
			}
		}
	}
}

// Guards against a term or an incarnation that is taken from a message although no member reaches it.
func TestImplausibleTermsAndIncarnationsAreRefused(t *testing.T) {
	c := candidateCore(t, "n0", "n1", "n2")
	for _, m := range []Message{
		{Term: math.MaxUint64}, {Term: c.term + maxTermStep + 1}, {Incarnation: maxIncarnation + 1},
		{KnownIncarnations: []MemberIncarnation{{ID: "n2", Incarnation: math.MaxUint64}}},
	} {
		m.Type, m.From, m.To = MsgVote, "n1", "n0"
		must.True(t, errors.Is(c.Step(m), ErrBadMessage), must.Sprintf("%+v", m))
	}
	must.NoError(t, c.Step(Message{Type: MsgVote, From: "n1", To: "n0", Term: c.term + maxTermStep, Incarnation: maxIncarnation}))
}
