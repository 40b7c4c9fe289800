package carrier

import "time"

// abandonedAfter is the time without a collect call after which a carrier repeats no more polls:
// the leader has ended, or counts the polls as unanswered.
const abandonedAfter = time.Second

// startRepeating records the polls of a call that are repeated, and those that no longer are.
func (c *Carrier) startRepeating(call *CarryCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range call.Orders {
		if poll := call.Orders[i].Poll; poll != nil && poll.Repeat {
			c.repeating[call.Orders[i].ID] = true
		}
	}
	for _, id := range call.Withdrawn {
		delete(c.repeating, id)
	}
}

// repeats reports whether a poll that an idle worker has answered is to be repeated, and records
// that it is.
func (c *Carrier) repeats(term, id uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.repeating[id] || term != c.term || time.Since(c.collectedAt) > abandonedAfter {
		delete(c.repeating, id)
		return false
	}
	c.repeated = append(c.repeated, id)
	return true
}

// recordCollect records that the leader collects.
func (c *Carrier) recordCollect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.collectedAt = time.Now()
}

// takeRepeated returns the polls that were repeated since the last reply in this term.
func (c *Carrier) takeRepeated(term uint64) []uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if term != c.term {
		return nil
	}
	repeated := c.repeated
	c.repeated = nil
	return repeated
}

// applyRepeated tells the senders of repeated polls that their workers have responded. Polls that
// nobody waits for any more are withdrawn.
func (r *route) applyRepeated(ids []uint64) {
	var responded []func()
	r.mu.Lock()
	for _, id := range ids {
		p := r.pending[id]
		switch {
		case p == nil:
			r.withdrawn = append(r.withdrawn, id)
			r.signal()
		case p.onResponse != nil:
			responded = append(responded, p.onResponse)
		}
	}
	r.mu.Unlock()
	for _, f := range responded {
		f()
	}
}

// takeWithdrawn returns the polls to withdraw, and forgets them. A poll whose withdrawal is lost
// is withdrawn again after its next repetition.
func (r *route) takeWithdrawn() []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	withdrawn := r.withdrawn
	r.withdrawn = nil
	return withdrawn
}
