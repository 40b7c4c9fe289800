package placement

import "container/heap"

// turn is a customer that may have an entry to serve.
type shareItem struct {
	customer *customer
	share    float64
}

// turns is a heap with the customer that uses the smallest share for its weight
// on top. The
// order depends on what a customer runs and not on how much it queues, so a
// flood only lengthens the wait of its own customer.
type shareHeap []shareItem

func (t shareHeap) Len() int      { return len(t) }
func (t shareHeap) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t shareHeap) Less(i, j int) bool {
	if t[i].share != t[j].share {
		return t[i].share < t[j].share
	}
	return t[i].customer.name < t[j].customer.name
}
func (t *shareHeap) Push(x any) { *t = append(*t, x.(shareItem)) }
func (t *shareHeap) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// serve places the entries of a class, in turns between the customers and by
// latest start within each.
func (p *planner) serve(k class) {
	var byShare shareHeap
	for _, c := range p.readyCustomers(k) {
		byShare = append(byShare, shareItem{customer: c, share: c.share(p.cluster.capacity)})
	}
	heap.Init(&byShare)
	for byShare.Len() > 0 && p.budget > 0 {
		c := byShare[0].customer
		sq := p.nextSubqueue(c)
		if sq == nil {
			heap.Pop(&byShare)
			continue
		}
		p.serveSubqueue(sq)
		byShare[0].share = c.share(p.cluster.capacity)
		heap.Fix(&byShare, 0)
	}
}

// readyCustomers finds the customers with a line whose shape may fit. A full
// cluster has few such shapes, however many customers and entries wait.
func (p *planner) readyCustomers(k class) []*customer {
	var ready []*customer
	for _, s := range p.cluster.queue.shapeList {
		if s.blocked && k != classUrgent {
			continue
		}
		for _, sq := range s.subqueues {
			if sq.class != k {
				continue
			}
			c := sq.customer
			if c.readyEval != p.evaluation || c.readyClass != k {
				c.readyEval, c.readyClass, c.readySubqueues = p.evaluation, k, c.readySubqueues[:0]
				ready = append(ready, c)
			}
			c.readySubqueues = append(c.readySubqueues, sq)
		}
	}
	return ready
}

// nextSubqueue is the line of the customer whose head must start first.
func (p *planner) nextSubqueue(c *customer) *subqueue {
	var best *subqueue
	var first *entry
	kept := c.readySubqueues[:0]
	for _, sq := range c.readySubqueues {
		if sq.doneEval == p.evaluation || sq.shapeState.blocked && sq.class != classUrgent || sq.shapeState.exhausted(p.evaluation) {
			continue
		}
		e := p.head(sq)
		if e == nil || sq.shapeState.findsOnlyReserved(p.evaluation, e.runtime.high) && !p.skipReservedEntries(sq) {
			continue
		}
		e = sq.cursor
		kept = append(kept, sq)
		if first == nil || lessLatestStart(e, first) {
			best, first = sq, e
		}
	}
	c.readySubqueues = kept
	return best
}

// head is the first entry of the line that this evaluation is not done with.
func (p *planner) head(sq *subqueue) *entry {
	if sq.cursorEval != p.evaluation {
		sq.cursorEval = p.evaluation
		sq.cursor, _ = sq.entries.Min()
	}
	if sq.cursor == nil || p.remaining(sq.cursor) > 0 {
		return sq.cursor
	}
	from := sq.cursor
	sq.cursor = nil
	sq.entries.Ascend(from, func(e *entry) bool {
		if p.remaining(e) == 0 {
			return true
		}
		sq.cursor = e
		return false
	})
	return sq.cursor
}

// skipReservedEntries moves the cursor of a line to an entry that may end before the
// reservation that holds the first one back. It gives up after a few.
func (p *planner) skipReservedEntries(sq *subqueue) bool {
	visits := 0
	found := false
	sq.entries.Ascend(sq.cursor, func(e *entry) bool {
		visits++
		if p.remaining(e) > 0 && !sq.shapeState.findsOnlyReserved(p.evaluation, e.runtime.high) {
			sq.cursor, found = e, true
			return false
		}
		return visits < lookahead
	})
	return found
}

// serveSubqueue tries the head of a line. When only reserved room is left for it,
// a few entries behind it that take less time are tried too.
func (p *planner) serveSubqueue(sq *subqueue) {
	e := p.head(sq)
	if p.place(e) {
		return
	}
	e.skippedEval = p.evaluation
	if e.class == classUrgent && p.preemptFor(e) {
		return
	}
	if !sq.customer.allows(e.need) || e.class == classUrgent {
		sq.doneEval = p.evaluation
	}
}
