package node

import "github.com/bilberryferry/bilberryferry/replica"

// pendingBarriers holds, by read token, the barriers whose leadership isn't confirmed
// yet.
type pendingBarriers struct {
	lastToken uint64
	byToken   map[uint64]barrierBatch
}

// barrierBatch holds the barriers that share a read token, and the term in which they were
// called.
type barrierBatch struct {
	term  uint64
	calls []*call
}

func (b *pendingBarriers) nextToken() uint64 {
	b.lastToken++
	return b.lastToken
}

func (b *pendingBarriers) add(token, term uint64, calls []*call) {
	if b.byToken == nil {
		b.byToken = map[uint64]barrierBatch{}
	}
	b.byToken[token] = barrierBatch{term: term, calls: calls}
}

// confirm replies to the barriers whose reads the core has confirmed. The index of a read
// is the leader's commit index at the time of the call, so it is already applied: the
// entries committed in the same Ready are applied before.
func (b *pendingBarriers) confirm(states []replica.ReadState, applied uint64) {
	for _, s := range states {
		batch, ok := b.byToken[s.Token]
		if !ok {
			continue
		}
		invariant(s.Index <= applied, "read of entry %d confirmed when only %d entries are applied", s.Index, applied)
		delete(b.byToken, s.Token)
		replyAll(batch.calls, nil)
	}
}

// failUnless fails the barriers of the terms for which current returns false.
func (b *pendingBarriers) failUnless(current func(term uint64) bool, err error) {
	for token, batch := range b.byToken {
		if !current(batch.term) {
			delete(b.byToken, token)
			replyAll(batch.calls, err)
		}
	}
}

func (b *pendingBarriers) failAll(err error) {
	b.failUnless(func(uint64) bool { return false }, err)
}
