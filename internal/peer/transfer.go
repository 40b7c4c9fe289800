package peer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/codec"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/rpc"
	"github.com/bilberryferry/bilberryferry/internal/wait"
)

// maxPartFailures is how many calls of one transfer may fail before it is given up.
const maxPartFailures = 16

// startTransfer hands a large payload to runTransfers, unless one is being sent. It is dropped then: the logs send a
// snapshot again until it has arrived, and each would take as long as the one in progress.
func (l *peerLink) startTransfer(p queuedPayload) {
	if !l.transferring.CompareAndSwap(false, true) {
		l.counters.dropped.Add(1)
		return
	}
	l.transfers <- p
}

// runTransfers sends large payloads in parts until ctx ends.
func (l *peerLink) runTransfers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-l.transfers:
			start := time.Now()
			err := l.transfer(ctx, p)
			l.transferring.Store(false)
			l.recordTransfer(p, time.Since(start), err)
		}
	}
}

// recordTransfer counts and logs a transfer that has ended.
func (l *peerLink) recordTransfer(p queuedPayload, took time.Duration, err error) {
	outcome := "sent"
	if err != nil {
		outcome = "failed"
		l.counters.dropped.Add(1)
	} else {
		l.counters.payloads.Add(1)
	}
	l.cfg.log("event", "transfer", "to", l.id, "group", p.group, "outcome", outcome, "bytes", len(p.payload),
		"ms", took.Milliseconds(), "err", err)
}

// transfer sends a payload in parts. After a call without a response it sends the part again. It begins again if the
// receiver doesn't have the parts before, because it has restarted.
func (l *peerLink) transfer(ctx context.Context, p queuedPayload) error {
	next := part{Transfer: rand.Uint64(), Total: len(p.payload), Checksum: xxhash.Sum64(p.payload)}
	backoff, failures := time.Duration(0), 0
	for next.Offset < next.Total {
		next.Data = p.payload[next.Offset:min(next.Offset+partBytes, next.Total)]
		err := l.sendPart(ctx, p.group, &next)
		if err == nil {
			next.Offset += len(next.Data)
			backoff = 0
			continue
		}
		if failures++; failures > maxPartFailures {
			return err
		}
		if fault.Is(err, fault.NotFound) {
			next.Offset = 0
		}
		backoff = min(max(2*backoff, minBackoff), maxBackoff)
		if !wait.For(ctx, backoff) {
			return err
		}
	}
	return nil
}

// sendPart makes one call with a part.
func (l *peerLink) sendPart(ctx context.Context, group string, p *part) error {
	if l.cfg.BlockedPeers.blocked(l.id) {
		return fault.New(fault.Unavailable, "the peer is blocked")
	}
	encoded, err := codec.Marshal(p)
	if err != nil {
		return err
	}
	l.mu.Lock()
	client := l.client
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeoutFor(len(encoded)))
	defer cancel()
	if ctx, err = rpc.WithBearer(ctx, l.cfg.Bearer); err != nil {
		return err
	}
	request := l.cfg.pack(l.id, []queuedPayload{{group + partsSuffix, encoded}})
	l.counters.calls.Add(1)
	if _, err = client.Exchange(ctx, request); err != nil {
		l.counters.failures.Add(1)
	}
	return err
}

// acceptPart adds a part to its payload, and passes a complete one to the handler of its group.
func (m *Mux) acceptPart(r *apiv1.ExchangeRequest, group string, encoded []byte) error {
	if m.blockedPeers.blocked(r.From) {
		return fault.New(fault.Unavailable, "the peer is blocked")
	}
	payload, err := m.parts.add(r.From, group, encoded)
	if err != nil {
		m.refused.Add(1)
		m.cfg.log("event", "transfer", "from", r.From, "group", group, "outcome", "refused", "err", err)
		return err
	}
	if payload != nil {
		m.cfg.log("event", "transfer", "from", r.From, "group", group, "outcome", "received", "bytes", len(payload))
		m.deliverGroup(r.From, &apiv1.GroupMessages{Group: group, Messages: [][]byte{payload}})
	}
	return nil
}
