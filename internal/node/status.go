package node

import (
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/bilberryferry/bilberryferry/replica"
)

// publishedStatus is the status that other goroutines read.
type publishedStatus struct {
	mu     sync.Mutex
	status replica.Status
	// validUntil is when status.CanDecide is no longer valid.
	validUntil time.Time
	changed    chan struct{}
}

func (p *publishedStatus) init(s replica.Status) {
	p.status, p.changed = s, make(chan struct{})
}

// set publishes a status and reports whether role, leader, term or CanDecide changed.
func (p *publishedStatus) set(s replica.Status, validUntil time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.status
	p.status, p.validUntil = s, validUntil
	same := old.Role == s.Role && old.Leader == s.Leader && old.Term == s.Term && old.CanDecide == s.CanDecide
	if !same {
		close(p.changed)
		p.changed = make(chan struct{})
	}
	return !same
}

// Status returns the member's view of the group. CanDecide is also false when Run
// hasn't finished a round in time: after a pause of the process, the first caller must
// not see a lease that has expired meanwhile.
func (g *Group) Status() replica.Status {
	p := &g.published
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.status
	s.Members = slices.Clone(s.Members)
	s.CanDecide = s.CanDecide && g.cfg.Now().Before(p.validUntil)
	return s
}

// Changed returns a channel that is closed at the next change of role, leader, term or
// CanDecide. Take the channel before reading Status, or a change between the two is
// missed.
func (g *Group) Changed() <-chan struct{} {
	p := &g.published
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

func (g *Group) publish() replica.Status {
	s := g.core.Status()
	g.reportLostState(s)
	if g.published.set(s, g.clock.statusExpiry()) {
		_ = g.logger.Log("event", "leadership", "role", roleName(s.Role), "term", s.Term,
			"leader", s.Leader, "can_decide", s.CanDecide)
	}
	return s
}

// reportLostState logs that this member leads a group that has lost all its state: the member
// expected state and found none, and the first entry of its log is that of its own election, so
// no voter that elected it had an entry.
func (g *Group) reportLostState(s replica.Status) {
	if !g.lostState || s.Last == 0 {
		return
	}
	g.lostState = false
	if s.Role == replica.Leader {
		_ = level.Error(g.logger).Log("event", "state_lost", "reason", "no voter kept any state of an earlier run", "term", s.Term)
	}
}

func roleName(r replica.Role) string {
	switch r {
	case replica.Follower:
		return "follower"
	case replica.Candidate:
		return "candidate"
	case replica.Leader:
		return "leader"
	default:
		return "recovering"
	}
}
