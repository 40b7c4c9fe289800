package routing

import (
	"math/rand/v2"
	"time"
)

// Balancer decides for one entry instance which request goes to which minion.
// It is not safe for concurrent use.
type Balancer struct {
	opts  Options
	rng   *rand.Rand
	lease slotLease

	minions  map[string]*minion
	byNumber map[uint32]*minion
	services map[string]*service

	draining bool
	// urgent says that a slot request should go out at once.
	slotRequestDue   bool
	lastTicketNumber uint64
	// retries is the retry budget in whole and parts of retries.
	retryBudget float64
	changed     []*Ticket
	// candidates is kept between picks to save allocations.
	candidates []*minion
	counts     Counts
}

// Counts are running totals of a Balancer.
type Counts struct {
	Submitted uint64
	Started   uint64
	Refused   uint64
	Retried   uint64
	// RetriesDenied counts retries that the budget or the deadline forbade.
	RetriesDenied uint64
	// Tripped counts circuit breakers that opened.
	Tripped uint64
}

// NewBalancer returns a Balancer without slots.
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

// Submit takes a request. Afterwards the ticket is Started, Queued or Refused.
func (b *Balancer) Submit(r Request, now time.Duration) *Ticket {
	b.releaseLingering(now)
	b.lastTicketNumber++
	b.counts.Submitted++
	t := &Ticket{Request: r, number: b.lastTicketNumber}
	t.Deadline = min(t.Deadline, now+b.opts.Lease.MaxRequest)
	s, ok := b.services[r.Service]
	if b.draining {
		b.refuse(nil, t, Draining, now)
		return t
	}
	if !ok && b.lease.everAnswered {
		b.refuse(nil, t, NoSuchService, now)
		return t
	}
	if !ok && len(b.services) >= maxUnknownServices {
		b.refuse(nil, t, QueueFull, now)
		return t
	}
	if !ok {
		// No leader has answered yet: the service may well exist.
		s = newService(r.Service, b.opts.FirstEstimate, now)
		b.services[r.Service] = s
	}
	b.earnRetry()
	b.enqueue(s, t, now)
	return t
}

// maxUnknownServices bounds the services that callers may name before any
// leader has told which exist, so that made up names can't fill the memory.
const maxUnknownServices = 64

// enqueue queues the ticket, gives out free slots and then refuses what the
// queue can't carry.
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

// Cancel gives up a queued request: its caller went away. A started one is
// ended by Finish with Abandoned.
func (b *Balancer) Cancel(t *Ticket, now time.Duration) {
	if t.state != Queued {
		return
	}
	b.services[t.Service].dequeue(t)
	t.state = Finished
	b.releaseLingering(now)
}

// Expire refuses a queued request that can't be answered in time any more. It
// does nothing before QueueDeadline.
func (b *Balancer) Expire(t *Ticket, now time.Duration) {
	if t.state != Queued || now < b.QueueDeadline(t) {
		return
	}
	s := b.services[t.Service]
	s.dequeue(t)
	b.refuse(s, t, TooLate, now)
}

// QueueDeadline is when a queued request gets its refusal if it isn't started by then.
func (b *Balancer) QueueDeadline(t *Ticket) time.Duration {
	s, ok := b.services[t.Service]
	if !ok {
		return t.Deadline
	}
	latest := t.queuedAt + maxWaitFactor*b.maxWait(s)
	return min(b.latestStart(s, t), latest)
}

// maxWait is the longest estimated wait at which a request is accepted.
func (b *Balancer) maxWait(s *service) time.Duration {
	return max(b.opts.MaxWait, 2*s.serviceTimes.mean)
}

// maxWaitFactor times MaxWait is the longest real wait of a request.
const maxWaitFactor = 2

// SendDeadline is when the request may no longer be sent: not one byte of it may
// be written after that.
func (b *Balancer) SendDeadline(t *Ticket) time.Duration {
	return min(b.lease.expiresAt, t.minion.usableUntil(b.opts.Lease.MinionTTL))
}

// Target returns where a started request goes.
func (b *Balancer) Target(t *Ticket) Target { return t.minion.target() }

// Changed returns the tickets that became Started or Refused since the last call.
func (b *Balancer) TakeChanged() []*Ticket {
	changed := b.changed
	b.changed = nil
	return changed
}

// Urgent says whether a slot request should go out at once.
func (b *Balancer) SlotRequestDue() bool { return b.slotRequestDue }

// StopAccepting refuses every request from now on. Queued and started ones go on.
func (b *Balancer) StopAccepting() {
	b.draining = true
	b.slotRequestDue = true
}

// Tick brings everything that depends on the time up to now.
func (b *Balancer) Tick(now time.Duration) {
	b.releaseLingering(now)
	b.dispatchAllServices(now)
}

// QueueLength returns how many requests wait.
func (b *Balancer) QueueLength() int {
	n := 0
	for _, s := range b.services {
		n += len(s.queue)
	}
	return n
}

// Running returns how many requests are in progress.
func (b *Balancer) InFlight() int {
	n := 0
	for _, s := range b.services {
		n += s.running
	}
	return n
}

// GrantedSlots returns how many slots the adopted grants allow.
func (b *Balancer) GrantedSlots() int {
	n := 0
	for _, m := range b.minions {
		n += m.slots
	}
	return n
}

// OpenBreakers returns how many minions are kept out by their circuit breaker.
func (b *Balancer) OpenBreakers() int {
	n := 0
	for _, m := range b.minions {
		if m.breaker.open {
			n++
		}
	}
	return n
}

// Counts returns the running totals.
func (b *Balancer) Counts() Counts { return b.counts }

func (b *Balancer) releaseLingering(now time.Duration) {
	for _, m := range b.minions {
		if len(m.lingeringUntil) > 0 {
			m.expireLingering(now)
		}
	}
}

func (b *Balancer) dispatchAllServices(now time.Duration) {
	for _, s := range b.services {
		if len(s.queue) > 0 {
			b.dispatch(s, now)
		}
	}
}

// dispatch gives free slots to queued requests.
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

// sharedSlots is the number of slots that customers share; only needed when there
// are several.
func (b *Balancer) sharedSlots(s *service, now time.Duration) int {
	if len(s.customers) <= 1 {
		return 0
	}
	return b.usableSlots(s, now)
}

// latestStart is when a request must start to be answered by its deadline. One
// that never had more time than that may still be tried at once; one that has
// waited until then takes the slot from others for little hope.
//
// Failure: a service was slow for a while; then every request that has less time
// is refused for it, none is started, and nothing tells that it is fast again.
// Guard: with nothing known of late, one at a time is tried.
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

func (b *Balancer) start(s *service, t *Ticket, m *minion, now time.Duration) {
	invariant(m.inFlight() < m.slots, "no free slot on the minion")
	invariant(now < b.lease.expiresAt, "slot lease has ended")
	s.dequeue(t)
	s.running++
	s.customer(t.Customer).running++
	m.running = append(m.running, t)
	if t.probe {
		m.breaker.probing = true
	}
	t.state = Started
	t.minion = m
	t.startedAt = now
	t.attempts++
	b.counts.Started++
	b.changed = append(b.changed, t)
}

// refuse gives a ticket its final answer. It is in no queue.
func (b *Balancer) refuse(s *service, t *Ticket, reason Reason, now time.Duration) {
	t.state = Refused
	t.refusal = &Refusal{Reason: reason, RetryAfter: b.retryAfter(s, reason, now)}
	b.counts.Refused++
	b.changed = append(b.changed, t)
}
