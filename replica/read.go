package replica

import "github.com/cockroachdb/errors"

// readRounds groups read requests into rounds. Requests that arrive between two Readys
// share a round. Each append carries the number of the latest round, and each reply
// repeats it.
type readRounds struct {
	round   uint64
	due     bool
	pending []pendingRead
}

// pendingRead is a read that waits for a majority to confirm its round.
type pendingRead struct {
	ReadState
	round uint64
}

// ReadIndex requests a linearizable read. Ready.Reads returns the token with the index to
// wait for once a majority has confirmed, after this call, that this member still leads.
// A leader that is deposed before that never returns the token: the caller stops waiting
// when Status shows another role or term. It returns ErrNotLeader when this member isn't
// a leader that may decide.
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

// confirmReads moves the reads of the rounds that a majority has confirmed to Ready.
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
