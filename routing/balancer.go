package routing

import (
	"math/rand/v2"
	"time"
)

// Balancer decides, for one entry instance, which request goes to which minion.
// It is not safe for concurrent use.
type Balancer struct {
	opts  Options
	rng   *rand.Rand
	lease slotLease

	minions  map[string]*minion
	byNumber map[uint32]*minion
	services map[string]*service

	draining bool
	// slotRequestDue reports whether a slot request should be sent immediately.
	slotRequestDue   bool
	lastTicketNumber uint64
	// retryBudget is the number of retries allowed now. Each request adds a
	// fraction of a retry.
	retryBudget float64
	// changed has the tickets that the next TakeChanged returns.
	changed []*Ticket
	// candidates is reused by each call of pick to save allocations.
	candidates []*minion
	counts     Counts
}

// Counts holds the running totals of a Balancer.
type Counts struct {
	Submitted uint64
	Started   uint64
	Refused   uint64
	Retried   uint64
	// RetriesDenied counts retries that the retry budget or the deadline forbade.
	RetriesDenied uint64
	// Tripped counts how often a circuit breaker opened.
	Tripped uint64
}

// NewBalancer returns a Balancer that has no slots yet.
func NewBalancer(opts Options) *Balancer {
	opts = opts.withDefaults()
	b := &Balancer{
		opts:        opts,
		rng:         rand.New(rand.NewPCG(opts.Seed, opts.Incarnation)),
		minions:     make(map[string]*minion),
		byNumber:    make(map[uint32]*minion),
		services:    make(map[string]*service),
		retryBudget: opts.RetryBurst,
	}
	b.lease.granted = make(map[uint32]int)
	b.lease.fullRequestNeeded = true
	return b
}

// Submit starts a request if a slot is free, and queues or refuses it otherwise. The
// returned ticket is Started, Queued or Refused.
func (b *Balancer) Submit(r Request, now time.Duration) *Ticket {
	b.releaseLingeringSlots(now)
	b.lastTicketNumber++
	b.counts.Submitted++
	t := &Ticket{Request: r, number: b.lastTicketNumber}
	t.Deadline = min(t.Deadline, now+b.opts.Lease.MaxRequestDuration)
	s, ok := b.services[r.Service]
	if b.draining {
		b.refuse(nil, t, Draining, now)
		return t
	}
	if !ok && b.lease.everAdopted {
		b.refuse(nil, t, NoSuchService, now)
		return t
	}
	if !ok && len(b.services) >= maxUnknownServices {
		b.refuse(nil, t, QueueFull, now)
		return t
	}
	if !ok {
		// No leader has responded yet, so the service may exist.
		s = newService(r.Service, b.opts.InitialServiceTime, now)
		b.services[r.Service] = s
	}
	b.earnRetry()
	b.enqueue(s, t, now)
	return t
}

// maxUnknownServices is the most services that are recorded for the names in requests
// before a leader has reported which services exist. Without the bound, invented names
// could fill the memory.
const maxUnknownServices = 64

// enqueue queues the ticket and starts queued tickets on free slots. If t isn't
// started, enqueue calls admit, which may refuse t or another ticket.
func (b *Balancer) enqueue(s *service, t *Ticket, now time.Duration) {
	t.queuedAt = now
	s.enqueue(t)
	b.dispatch(s, now)
	if t.state != Queued {
		return
	}
	b.slotRequestDue = true
	if b.opts.Baseline {
		return
	}
	b.admit(s, t, now)
}

// Cancel removes a queued request whose caller has disconnected. It does nothing for a
// started request, which the caller ends by Finish with the outcome Abandoned.
func (b *Balancer) Cancel(t *Ticket, now time.Duration) {
	if t.state != Queued {
		return
	}
	b.services[t.Service].dequeue(t)
	t.state = Finished
	b.releaseLingeringSlots(now)
}

// Expire refuses a queued request that has not started by its QueueDeadline. It does
// nothing before that time.
func (b *Balancer) Expire(t *Ticket, now time.Duration) {
	if t.state != Queued || now < b.QueueDeadline(t) {
		return
	}
	s := b.services[t.Service]
	s.dequeue(t)
	b.refuse(s, t, TooLate, now)
}

// QueueDeadline returns when a queued request is refused unless it has started.
func (b *Balancer) QueueDeadline(t *Ticket) time.Duration {
	s, ok := b.services[t.Service]
	if !ok {
		return t.Deadline
	}
	latest := t.queuedAt + maxWaitFactor*b.maxWait(s)
	return min(b.latestStart(s, t), latest)
}

// maxWait returns the longest estimated wait at which a request of the service
// is accepted.
func (b *Balancer) maxWait(s *service) time.Duration {
	return max(b.opts.MaxWait, 2*s.serviceTimes.mean)
}

// maxWaitFactor times maxWait is the longest time that a request stays queued.
const maxWaitFactor = 2

// SendDeadline returns the time until which a started request may be sent to its minion.
// The caller must not write any byte of the request after this time.
func (b *Balancer) SendDeadline(t *Ticket) time.Duration {
	return min(b.lease.expiresAt, t.minion.usableUntil(b.opts.Lease.MinionTTL))
}

// Target returns the minion that a started request is sent to.
func (b *Balancer) Target(t *Ticket) Target { return t.minion.target() }

// TakeChanged returns the tickets that became Started or Refused since the last
// call.
func (b *Balancer) TakeChanged() []*Ticket {
	changed := b.changed
	b.changed = nil
	return changed
}

// SlotRequestDue reports whether a slot request should be sent immediately.
func (b *Balancer) SlotRequestDue() bool { return b.slotRequestDue }

// StopAccepting makes the Balancer refuse every new request. Queued and started
// requests continue.
func (b *Balancer) StopAccepting() {
	b.draining = true
	b.slotRequestDue = true
}

// Tick releases lingering slots and starts queued requests on free ones.
func (b *Balancer) Tick(now time.Duration) {
	b.releaseLingeringSlots(now)
	b.dispatchAllServices(now)
}

// QueueLength returns the number of queued requests.
func (b *Balancer) QueueLength() int {
	n := 0
	for _, s := range b.services {
		n += len(s.queue)
	}
	return n
}

// InFlight returns the number of started requests that have not finished.
func (b *Balancer) InFlight() int {
	n := 0
	for _, s := range b.services {
		n += s.running
	}
	return n
}

// GrantedSlots returns the number of slots in the adopted grants.
func (b *Balancer) GrantedSlots() int {
	n := 0
	for _, m := range b.minions {
		n += m.slots
	}
	return n
}

// OpenBreakers returns the number of minions with an open circuit breaker.
func (b *Balancer) OpenBreakers() int {
	n := 0
	for _, m := range b.minions {
		if m.breaker.open {
			n++
		}
	}
	return n
}

// Counts returns the running totals since the start.
func (b *Balancer) Counts() Counts { return b.counts }

// releaseLingeringSlots releases the lingering slots whose time has passed.
func (b *Balancer) releaseLingeringSlots(now time.Duration) {
	for _, m := range b.minions {
		if len(m.lingeringUntil) > 0 {
			m.expireLingering(now)
		}
	}
}

// dispatchAllServices dispatches the queue of every service.
func (b *Balancer) dispatchAllServices(now time.Duration) {
	for _, s := range b.services {
		if len(s.queue) > 0 {
			b.dispatch(s, now)
		}
	}
}

// dispatch starts queued requests of a service while slots are free. It refuses those
// that can no longer be completed by their deadline.
func (b *Balancer) dispatch(s *service, now time.Duration) {
	for len(s.queue) > 0 {
		t := s.nextTicket(b.sharedSlots(s, now))
		if now >= b.latestStart(s, t) {
			s.dequeue(t)
			b.refuse(s, t, TooLate, now)
			continue
		}
		m := b.pick(s, t, now)
		if m == nil {
			return
		}
		b.start(s, t, m, now)
	}
}

// sharedSlots returns the number of slots that the customers of a service share. It
// returns 0 if at most one customer has requests, because the slots need not be shared
// then.
func (b *Balancer) sharedSlots(s *service, now time.Duration) int {
	if len(s.customers) <= 1 {
		return 0
	}
	return b.usableSlots(s, now)
}

// latestStart returns when a request must start at the latest: its deadline less the
// tail service time. A request that starts later would take a slot from others with
// little chance to complete in time. If that time had already passed when the request
// was queued, the request may start until its deadline less the mean service time.
//
// Guards against refusing a service's requests forever: after a slow period the
// estimated service times are so long that all requests with short deadlines are
// refused, so none starts and the estimate never improves. If the estimate has no
// recent samples, one request at a time may therefore start until its deadline.
func (b *Balancer) latestStart(s *service, t *Ticket) time.Duration {
	if b.opts.Baseline {
		return t.Deadline
	}
	latestSafeStart := t.Deadline - s.serviceTimes.tail
	switch {
	case latestSafeStart > t.queuedAt:
		return latestSafeStart
	case s.running == 0 && s.serviceTimes.stale(t.queuedAt):
		return t.Deadline
	default:
		return t.Deadline - s.serviceTimes.mean
	}
}

// start gives the ticket a slot of minion m.
func (b *Balancer) start(s *service, t *Ticket, m *minion, now time.Duration) {
	invariant(m.inFlight() < m.slots, "no free slot on the minion")
	invariant(now < b.lease.expiresAt, "slot lease has expired")
	s.dequeue(t)
	s.running++
	s.customer(t.Customer).running++
	m.running = append(m.running, t)
	if t.probe {
		m.breaker.probeInFlight = true
	}
	t.state = Started
	t.minion = m
	t.startedAt = now
	t.attempts++
	b.counts.Started++
	b.changed = append(b.changed, t)
}

// refuse refuses a ticket that is in no queue, with a reason and a retry delay.
func (b *Balancer) refuse(s *service, t *Ticket, reason Reason, now time.Duration) {
	t.state = Refused
	t.refusal = &Refusal{Reason: reason, RetryAfter: b.retryAfter(s, reason, now)}
	b.counts.Refused++
	b.changed = append(b.changed, t)
}
