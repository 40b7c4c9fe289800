package replica

import "github.com/cockroachdb/errors"

// readRounds groups read requests: those that come in between two Readys share
// a round, which each append carries and each answer repeats.
type readRounds struct {
	round   uint64
	due     bool
	pending []pendingRead
}

type pendingRead struct {
	ReadState
	round uint64
}

// ReadIndex asks for a linearizable read. Ready.Reads returns the token with
// the index to wait for once a majority has confirmed, after this call, that
// this member still leads. A leader that is deposed first never returns it:
// the caller gives up when Status shows another role or term. ErrNotLeader
// when this member isn't a leader that may decide.
func (c *Core) ReadIndex(token uint64) error {
	if !c.canDecide() {
		return errors.Wrapf(ErrNotLeader, "leader is %q", c.leader)
	}
	r := &c.leaderState.reads
	if !r.due {
		r.round++
		r.due = true
	}
	r.pending = append(r.pending, pendingRead{ReadState{Token: token, Index: c.commit}, r.round})
	c.confirmReads()
	return nil
}

// confirmReads hands out the reads of the rounds that a majority has answered.
func (c *Core) confirmReads() {
	r := &c.leaderState.reads
	if len(r.pending) == 0 {
		return
	}
	confirmed := c.quorumValue(r.round, func(p *progress) uint64 { return p.readRound })
	n := 0
	for n < len(r.pending) && r.pending[n].round <= confirmed {
		c.reads = append(c.reads, r.pending[n].ReadState)
		n++
	}
	r.pending = r.pending[n:]
}
