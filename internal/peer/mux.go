package peer

import (
	"context"
	"sync"
	"sync/atomic"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/fault"
)

// PayloadHandler processes a payload of a group, sent by the instance with the ID from. It
// must not block. If it returns an error, the payload counts as refused.
type PayloadHandler func(from string, payload []byte) error

// Mux passes received payloads to the handlers of their groups. A daemon embeds it in
// its implementation of apiv1.Peer, behind its check of bearer tokens.
type Mux struct {
	cfg          Config
	parts        *assembler
	id           string
	clock        Clock
	blockedPeers *BlockedPeers

	mu         sync.RWMutex
	groups     map[string]PayloadHandler
	sequencers map[string]*sequencer

	// received and refused are the results of Counters.
	received, refused atomic.Uint64
}

// NewMux returns a Mux without groups. It uses all of cfg but Bearer and Dial.
func NewMux(cfg Config) *Mux {
	return &Mux{cfg: cfg, parts: newAssembler(cfg.MaxTransferBytes), id: cfg.ID, clock: cfg.Clock, blockedPeers: cfg.BlockedPeers, groups: map[string]PayloadHandler{}, sequencers: map[string]*sequencer{}}
}

// Register sets the handler of a group and replaces an earlier one; nil removes the
// group.
func (m *Mux) Register(group string, handler PayloadHandler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if handler == nil {
		delete(m.groups, group)
		return
	}
	m.groups[group] = handler
}

// Exchange accepts the payloads of one call and passes them to the handlers of their
// groups, in the order of the sender's calls where possible. It may return before the
// handlers are called. The error is of kind Invalid if the call has another format version
// or is meant for another instance, as happens when a new instance gets the address of an
// old one, or of the kind of assembler.add if a part of a payload is refused. Payloads of unknown groups and
// those that a handler refuses are counted and dropped.
func (m *Mux) Exchange(_ context.Context, r *apiv1.ExchangeRequest) (*apiv1.ExchangeResponse, error) {
	if r.FormatVersion != FormatVersion {
		return nil, fault.Field("format_version", "%d, this program supports %d", r.FormatVersion, FormatVersion)
	}
	if r.To != m.id {
		return nil, fault.Field("to", "meant for %q, this is %q", r.To, m.id)
	}
	if group, encoded, ok := partOf(r); ok {
		return &apiv1.ExchangeResponse{}, m.acceptPart(r, group, encoded)
	}
	if r.Session == 0 || r.Sequence == 0 {
		m.deliverCall(r)
	} else {
		m.sequencerOf(r.From).accept(r)
	}
	return &apiv1.ExchangeResponse{}, nil
}

// sequencerOf returns the sequencer for the calls of a sender, and creates it if needed.
func (m *Mux) sequencerOf(from string) *sequencer {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.sequencers[from]
	if s == nil {
		s = &sequencer{deliver: m.deliverCall, drop: m.countRefused}
		m.sequencers[from] = s
	}
	return s
}

// deliverCall passes the payloads of a call to the handlers of their groups.
func (m *Mux) deliverCall(r *apiv1.ExchangeRequest) {
	if m.blockedPeers.blocked(r.From) {
		return
	}
	if m.clock != nil && r.WallMs != 0 {
		m.clock.Observe(r.WallMs, r.Logical)
	}
	for _, g := range r.Groups {
		m.deliverGroup(r.From, g)
	}
}

// countRefused counts the payloads of a call as refused.
func (m *Mux) countRefused(r *apiv1.ExchangeRequest) {
	for _, g := range r.Groups {
		m.refused.Add(uint64(len(g.Messages)))
	}
}

// deliverGroup passes payloads to the handler of their group.
func (m *Mux) deliverGroup(from string, g *apiv1.GroupMessages) {
	m.mu.RLock()
	handler := m.groups[g.Group]
	m.mu.RUnlock()
	for _, payload := range g.Messages {
		if handler == nil || handler(from, payload) != nil {
			m.refused.Add(1)
			continue
		}
		m.received.Add(1)
	}
}

// Counters returns how many payloads a handler accepted, and how many were dropped
// because of an unknown group, a handler's error or a duplicate call.
func (m *Mux) Counters() (received, refused uint64) {
	return m.received.Load(), m.refused.Load()
}
