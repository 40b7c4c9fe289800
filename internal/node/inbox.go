package node

import (
	"math"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/bilberryferry/bilberryferry/replica"
)

// payloadDecoder has no practical bound on the length of arrays. The default of the library
// is 131,072 elements.
var payloadDecoder = newPayloadDecoder()

func newPayloadDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: math.MaxInt32}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// inbox holds received messages until Run takes them.
type inbox struct {
	mu       sync.Mutex
	messages []replica.Message
}

// push queues messages and returns how many it dropped because they exceed
// maxInboxMessages. The log sends dropped messages again.
func (b *inbox) push(messages []replica.Message) (dropped int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if free := maxInboxMessages - len(b.messages); len(messages) > free {
		dropped = len(messages) - free
		messages = messages[:free]
	}
	b.messages = append(b.messages, messages...)
	return dropped
}

func (b *inbox) take() []replica.Message {
	b.mu.Lock()
	defer b.mu.Unlock()
	taken := b.messages
	b.messages = nil
	return taken
}

// Step queues the messages of a payload. from is the ID of the member whose Transport sent
// the payload. Step returns an error for a payload that can't be decoded or holds messages
// of another member. Replies to the messages go through this member's Transport.
func (g *Group) Step(from string, payload []byte) error {
	var messages []replica.Message
	if err := payloadDecoder.Unmarshal(payload, &messages); err != nil {
		return errors.Wrapf(err, "decode the payload from %s", from)
	}
	for _, m := range messages {
		if m.From != from {
			return errors.Newf("payload from %s holds a message from %s", from, m.From)
		}
	}
	dropped := g.inbox.push(messages)
	g.counters.received.Add(uint64(len(messages) - dropped))
	g.counters.dropped.Add(uint64(dropped))
	g.signal()
	return nil
}

// send passes messages to the transport, one payload per member.
func (g *Group) send(messages []replica.Message) {
	for len(messages) > 0 {
		to := messages[0].To
		var batch, rest []replica.Message
		for _, m := range messages {
			if m.To == to {
				batch = append(batch, m)
			} else {
				rest = append(rest, m)
			}
		}
		payload, err := cbor.Marshal(batch)
		invariant(err == nil, "messages can't be encoded: %v", err)
		g.counters.sent.Add(uint64(len(batch)))
		g.counters.sentBytes.Add(uint64(len(payload)))
		g.cfg.Transport.Send(g.cfg.Group, to, payload)
		messages = rest
	}
}
