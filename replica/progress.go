package replica

// flowState tells how entries are sent to a member.
type flowState uint8

const (
	// probing sends one append at a time until one matches.
	probing flowState = iota
	// streaming sends appends without waiting for the answers.
	streaming
	// snapshotting waits for a snapshot to be taken in.
	snapshotting
)

// progress is what a leader knows of another member.
type progress struct {
	// match is the last index that the member is known to hold; next the one
	// to be sent next.
	match uint64
	next  uint64
	flow  flowState
	// probeSent holds back a second probe until the next heartbeat.
	probeSent bool
	// inflight are the last indexes of appends not yet answered.
	inflight []uint64
	// snapshotIndex and snapshotTick are of the last snapshot sent.
	snapshotIndex uint64
	snapshotTick  uint64
	// heard is the own tick at which the latest answered message was sent.
	ackedTick uint64
	// contact is the own tick at which any answer came, counted or not.
	lastReplyTick uint64
	// readRound is the latest read round that the member answered.
	readRound uint64
	// recovering members hold entries but acknowledge nothing.
	recovering bool
	// lagging disk voters aren't waited for.
	lagging bool
}

func newProgress(next uint64) *progress {
	return &progress{next: next}
}

// forget drops what a forgotten incarnation had told.
func (p *progress) resetForIncarnation() {
	*p = progress{next: p.match + 1, recovering: true, lagging: p.lagging}
}

// probe falls back to one append at a time from next on.
func (p *progress) probe(next uint64) {
	p.flow = probing
	p.next = max(p.match+1, next)
	p.probeSent = false
	p.inflight = nil
}

// matched notes that the member holds the log up to index.
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

// refused handles a refusal of the append after index. Late refusals, of
// something that has matched since, are ignored.
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
