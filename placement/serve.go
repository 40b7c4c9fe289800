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
		l := p.nextSubqueue(c)
		if l == nil {
			heap.Pop(&byShare)
			continue
		}
		p.serveSubqueue(l)
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
		for _, l := range s.subqueues {
			if l.class != k {
				continue
			}
			c := l.customer
			if c.readyEval != p.id || c.readyClass != k {
				c.readyEval, c.readyClass, c.readySubqueues = p.id, k, c.readySubqueues[:0]
				ready = append(ready, c)
			}
			c.readySubqueues = append(c.readySubqueues, l)
		}
	}
	return ready
}

// nextSubqueue is the line of the customer whose head must start first.
func (p *planner) nextSubqueue(c *customer) *subqueue {
	var best *subqueue
	var first *entry
	kept := c.readySubqueues[:0]
	for _, l := range c.readySubqueues {
		if l.doneEval == p.id || l.state.blocked && l.class != classUrgent || l.state.exhausted(p.id) {
			continue
		}
		e := p.head(l)
		if e == nil || l.state.findsOnlyReserved(p.id, e.run.high) && !p.skipReservedEntries(l) {
			continue
		}
		e = l.cursor
		kept = append(kept, l)
		if first == nil || lessLatestStart(e, first) {
			best, first = l, e
		}
	}
	c.readySubqueues = kept
	return best
}

// head is the first entry of the line that this evaluation is not done with.
func (p *planner) head(l *subqueue) *entry {
	if l.cursorEval != p.id {
		l.cursorEval = p.id
		l.cursor, _ = l.entries.Min()
	}
	if l.cursor == nil || p.remaining(l.cursor) > 0 {
		return l.cursor
	}
	from := l.cursor
	l.cursor = nil
	l.entries.Ascend(from, func(e *entry) bool {
		if p.remaining(e) == 0 {
			return true
		}
		l.cursor = e
		return false
	})
	return l.cursor
}

// skipReservedEntries moves the cursor of a line to an entry that may end before the
// reservation that holds the first one back. It gives up after a few.
func (p *planner) skipReservedEntries(l *subqueue) bool {
	visits := 0
	found := false
	l.entries.Ascend(l.cursor, func(e *entry) bool {
		visits++
		if p.remaining(e) > 0 && !l.state.findsOnlyReserved(p.id, e.run.high) {
			l.cursor, found = e, true
			return false
		}
		return visits < lookahead
	})
	return found
}

// serveSubqueue tries the head of a line. When only reserved room is left for it,
// a few entries behind it that take less time are tried too.
func (p *planner) serveSubqueue(l *subqueue) {
	e := p.head(l)
	if p.place(e) {
		return
	}
	e.skippedEval = p.id
	if e.class == classUrgent && p.preemptFor(e) {
		return
	}
	if !l.customer.allows(e.need) || e.class == classUrgent {
		l.doneEval = p.id
	}
}
