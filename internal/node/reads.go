package node

import "github.com/bilberryferry/bilberryferry/replica"

// pendingBarriers holds, by read token, the barriers whose leadership isn't confirmed
// yet.
type pendingBarriers struct {
	lastToken uint64
	byToken   map[uint64]barrierBatch
}

type barrierBatch struct {
	term  uint64
	calls []*call
}

func (r *pendingBarriers) nextToken() uint64 {
	r.lastToken++
	return r.lastToken
}

func (r *pendingBarriers) add(token, term uint64, calls []*call) {
	if r.byToken == nil {
		r.byToken = map[uint64]barrierBatch{}
	}
	r.byToken[token] = barrierBatch{term: term, calls: calls}
}

// confirm answers the barriers that the core has confirmed. The read index, the
// leader's commit index at the time of the call, is never beyond what the same Ready
// applies.
func (r *pendingBarriers) confirm(states []replica.ReadState, applied uint64) {
	for _, s := range states {
		o, ok := r.byToken[s.Token]
		if !ok {
			continue
		}
		invariant(s.Index <= applied, "read of entry %d confirmed when only %d entries are applied", s.Index, applied)
		delete(r.byToken, s.Token)
		replyAll(o.calls, nil)
	}
}

func (r *pendingBarriers) failUnless(current func(term uint64) bool, err error) {
	for token, o := range r.byToken {
		if !current(o.term) {
			delete(r.byToken, token)
			replyAll(o.calls, err)
		}
	}
}

func (r *pendingBarriers) failAll(err error) {
	r.failUnless(func(uint64) bool { return false }, err)
}
