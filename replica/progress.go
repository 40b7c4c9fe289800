package replica

// flowState says how a leader replicates to a member.
type flowState uint8

const (
	// probing sends one append at a time until one matches.
	probing flowState = iota
	// streaming sends appends without waiting for the replies.
	streaming
	// snapshotting waits until the member has installed a snapshot.
	snapshotting
)

// progress is a leader's view of another member.
type progress struct {
	// match is the last index that the member is known to hold, and next is the first
	// index to send.
	match uint64
	next  uint64
	flow  flowState
	// probeSent is set after a probe and delays the next one until the next heartbeat.
	probeSent bool
	// heartbeatDue says that a learner gets a heartbeat at its next turn.
	heartbeatDue bool
	// inflight holds the last index of each append in flight.
	inflight []uint64
	// snapshotIndex is the index of the last snapshot sent, and snapshotTick is the tick
	// at which it was sent.
	snapshotIndex uint64
	snapshotTick  uint64
	// ackedTick is the leader's tick at which it sent the latest message to which the
	// member has replied, not counting replies while the member was recovering.
	ackedTick uint64
	// lastReplyTick is the leader's tick of the latest reply, including replies while the
	// member was recovering.
	lastReplyTick uint64
	// readRound is the latest read round that the member confirmed.
	readRound uint64
	// recovering says that the member has lost its state: it receives entries but
	// acknowledges nothing.
	recovering bool
	// lagging says that the member is a disk voter that misses entries committed
	// without it; commits don't wait for it.
	lagging bool
}

func newProgress(next uint64) *progress {
	return &progress{next: next}
}

// resetForIncarnation drops the state that a superseded incarnation reported.
func (p *progress) resetForIncarnation() {
	*p = progress{next: p.match + 1, recovering: true, lagging: p.lagging}
}

// probe returns to one append at a time, from next on.
func (p *progress) probe(next uint64) {
	p.flow = probing
	p.next = max(p.match+1, next)
	p.probeSent = false
	p.inflight = nil
}

// matched records that the member holds the log up to index.
func (p *progress) matched(index uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	for len(p.inflight) > 0 && p.inflight[0] <= p.match {
		p.inflight = p.inflight[1:]
	}
	if p.flow == snapshotting && p.match < p.snapshotIndex {
		return
	}
	if p.flow != streaming {
		p.flow = streaming
		p.next = p.match + 1
		p.inflight = nil
	}
}

// rejected handles the rejection of the append after index. It ignores delayed
// rejections of entries that have matched since.
func (p *progress) rejected(index, hint uint64) {
	switch p.flow {
	case streaming:
		if index > p.match {
			p.probe(min(index, hint+1))
		}
	case probing:
		if index == p.next-1 {
			p.probe(min(index, hint+1))
		}
	case snapshotting:
	}
}
