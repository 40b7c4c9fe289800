package control

import (
	"time"

	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// knownInstanceGrace is how long a known instance that hasn't announced itself to a new
	// leader counts as announced: three of the longest announcement intervals, rounded up.
	knownInstanceGrace = 2 * time.Second
	// instanceRetention is how long an instance that doesn't announce itself stays in the
	// log. It outlasts a restart of the instance and a change of leader, so that neither
	// costs a commit.
	instanceRetention = time.Minute
)

// recordInstance records the announcement of an instance. With load control on, it commits
// the address of a new one in the background, for the next leader.
func (t *leaderTerm) recordInstance(address string, now time.Time) {
	t.adviserConns.recordAnnouncement(address, now)
	if !t.c.cfg.LoadControl {
		return
	}
	lacked := false
	t.c.state.read(func(s *workflow.State) { lacked = s.LacksInstance(address) })
	if !lacked || !t.adviserConns.beginCommit(address) {
		return
	}
	t.spawn(func() {
		defer t.adviserConns.endCommit(address)
		// propose logs a failure, and the next announcement tries again.
		_, _ = t.propose(&workflow.Command{Instance: &workflow.InstanceChange{Announced: address}})
	})
}

// removeGoneInstances removes the instances from the log that haven't announced themselves
// within instanceRetention.
func (t *leaderTerm) removeGoneInstances(now time.Time) {
	t.adviserConns.removeGone(now)
	var gone []string
	t.c.state.read(func(s *workflow.State) { gone = t.adviserConns.withoutConn(s.Instances) })
	if len(gone) > 0 {
		// propose logs a failure, and the next round finds the instances again.
		_, _ = t.propose(&workflow.Command{Instance: &workflow.InstanceChange{Gone: gone}})
	}
}

// addKnown adds connections of instances that have announced themselves to earlier leaders.
func (p *adviserPool) addKnown(addresses []string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, address := range addresses {
		if p.conns[address] == nil {
			p.add(&adviserConn{address: address, addedAt: now, knownUntil: now.Add(knownInstanceGrace)})
		}
	}
}

// beginCommit reports whether the caller is to commit the address of a connection; nobody
// else does until endCommit.
func (p *adviserPool) beginCommit(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn := p.conns[address]
	if conn == nil || conn.committing {
		return false
	}
	conn.committing = true
	return true
}

// endCommit lets the address be committed again if needed.
func (p *adviserPool) endCommit(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn := p.conns[address]; conn != nil {
		conn.committing = false
	}
}

// removeGone removes idle connections of other instances that haven't announced themselves
// within instanceRetention.
func (p *adviserPool) removeGone(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conn := range p.conns {
		seenAt := conn.addedAt
		if conn.lastAnnounced.After(seenAt) {
			seenAt = conn.lastAnnounced
		}
		if address != p.ownAddress && conn.inFlight == 0 && !conn.committing && now.Sub(seenAt) > instanceRetention {
			p.remove(conn)
		}
	}
}

// withoutConn returns the addresses that have no connection.
func (p *adviserPool) withoutConn(addresses []string) (without []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, address := range addresses {
		if p.conns[address] == nil {
			without = append(without, address)
		}
	}
	return without
}
