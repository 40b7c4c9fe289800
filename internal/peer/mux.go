package peer

import (
	"context"
	"sync"
	"sync/atomic"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/fault"
)

// PayloadHandler takes in a payload of a group. It must not block.
type PayloadHandler func(from string, payload []byte) error

// Mux hands received payloads to the groups they are meant for. A daemon
// embeds it in its implementation of apiv1.Peer, behind its check of bearer
// tokens.
type Mux struct {
	id           string
	clock        Clock
	blockedPeers *BlockedPeers

	mu         sync.RWMutex
	groups     map[string]PayloadHandler
	sequencers map[string]*sequencer

	received, refused atomic.Uint64
}

// NewMux returns a mux without groups. ID, Stamper and Blocks of cfg are used.
func NewMux(cfg Config) *Mux {
	return &Mux{id: cfg.ID, clock: cfg.Clock, blockedPeers: cfg.BlockedPeers, groups: map[string]PayloadHandler{}, sequencers: map[string]*sequencer{}}
}

// Register gives the payloads of a group to step, in place of an earlier one;
// nil takes the group out.
func (m *Mux) Register(group string, handle PayloadHandler) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if handle == nil {
		delete(m.groups, group)
		return
	}
	m.groups[group] = handle
}

// Exchange takes in the payloads of one call, in the order of the sender's
// calls where it can; it may return before its payloads' turn has come. Invalid
// when the call is of another format version or meant for another instance, as
// happens when an address passes to a new instance. Payloads of groups that
// aren't here (yet) and those that a group refuses are counted and dropped.
func (m *Mux) Exchange(_ context.Context, r *apiv1.ExchangeRequest) (*apiv1.ExchangeResponse, error) {
	if r.FormatVersion != FormatVersion {
		return nil, fault.Field("format_version", "%d, this program speaks %d", r.FormatVersion, FormatVersion)
	}
	if r.To != m.id {
		return nil, fault.Field("to", "meant for %q, this is %q", r.To, m.id)
	}
	if r.Session == 0 || r.Sequence == 0 {
		m.deliverCall(r)
	} else {
		m.sequencerOf(r.From).accept(r)
	}
	return &apiv1.ExchangeResponse{}, nil
}

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

// deliverCall hands the payloads of a call whose turn has come to their groups.
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

func (m *Mux) countRefused(r *apiv1.ExchangeRequest) {
	for _, g := range r.Groups {
		m.refused.Add(uint64(len(g.Messages)))
	}
}

func (m *Mux) deliverGroup(from string, g *apiv1.GroupMessages) {
	m.mu.RLock()
	handle := m.groups[g.Group]
	m.mu.RUnlock()
	for _, payload := range g.Messages {
		if handle == nil || handle(from, payload) != nil {
			m.refused.Add(1)
			continue
		}
		m.received.Add(1)
	}
}

// Counters returns how many payloads were handed to a group, and how many
// were dropped because no group took them.
func (m *Mux) Counters() (received, refused uint64) {
	return m.received.Load(), m.refused.Load()
}
