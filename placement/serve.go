package placement

import "container/heap"

// customerShare is a customer and its share of the capacity, which orders customers.
type customerShare struct {
	customer *customer
	share    float64
}

// shareHeap is a heap with the smallest weighted share on top. Shares depend on
// what a customer runs, not on how much it queues, so a flood of jobs delays only
// the jobs of its own customer.
type shareHeap []customerShare

func (h shareHeap) Len() int      { return len(h) }
func (h shareHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h shareHeap) Less(i, j int) bool {
	if h[i].share != h[j].share {
		return h[i].share < h[j].share
	}
	return h[i].customer.name < h[j].customer.name
}
func (h *shareHeap) Push(x any) { *h = append(*h, x.(customerShare)) }
func (h *shareHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// serve places the entries of a class. The customer with the smallest share
// goes next, and within a customer the entry with the earliest latest start.
func (p *planner) serve(k class) {
	var byShare shareHeap
	for _, c := range p.readyCustomers(k) {
		byShare = append(byShare, customerShare{customer: c, share: c.share(p.cluster.capacity)})
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

// readyCustomers returns the customers with a subqueue of the class whose shape is
// not blocked, and sets their readySubqueues. For the urgent class, blocked shapes
// count too, since urgent entries may preempt. A full cluster has few unblocked
// shapes, however many customers and entries are queued.
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

// nextSubqueue returns the customer's subqueue whose head has the earliest
// latest start, or nil. It drops subqueues from which this evaluation can start
// nothing more.
func (p *planner) nextSubqueue(c *customer) *subqueue {
	var best *subqueue
	var first *entry
	kept := c.readySubqueues[:0]
	for _, sq := range c.readySubqueues {
		if sq.doneEval == p.evaluation || sq.shapeState.blocked && sq.class != classUrgent || sq.shapeState.lookaheadExhausted(p.evaluation) {
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

// head returns the first entry of the subqueue that has tasks left for this
// evaluation, or nil.
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

// skipReservedEntries moves the cursor to the next entry that is not known to fit
// only into reserved resources: one with a shorter run time, which may end by the
// reserved start time. It examines up to lookahead entries and reports whether it
// found one.
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

// serveSubqueue tries to place the head of a subqueue, and plans preemptions if the
// entry is urgent. An entry that cannot be placed is skipped for the rest of the
// evaluation. If it fits only into reserved resources, nextSubqueue continues with
// later entries that have shorter run times.
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
