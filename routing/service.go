package routing

import (
	"slices"
	"time"
)

// headroomSlots is the number of slots that an entry instance demands for a service in
// addition to one for each current request, so that the next requests find a free slot.
const headroomSlots = 2

// customerLoad counts the requests of one customer for one service.
type customerLoad struct {
	running int
	queued  int
}

// total returns the number of queued and running requests.
func (c customerLoad) total() int { return c.running + c.queued }

// service holds the queue and the minions of one service.
type service struct {
	name    string
	minions []*minion
	// queue is ordered by deadline, then by arrival.
	queue        []*Ticket
	customers    map[string]*customerLoad
	running      int
	serviceTimes *estimator
	// medianTime is the median of the minions' average service times.
	medianTime        time.Duration
	medianRefreshedAt time.Duration
	// lastReturnAt is the latest time reserved for the return of a refused
	// caller.
	lastReturnAt time.Duration
	// lastPopulatedAt is when the service last had a minion.
	lastPopulatedAt time.Duration
	// everPopulated reports whether the service has ever had a minion.
	everPopulated bool
}

// newService returns a service without minions, whose estimated service time is
// initialServiceTime.
func newService(name string, initialServiceTime, now time.Duration) *service {
	return &service{
		name:         name,
		customers:    make(map[string]*customerLoad),
		serviceTimes: newEstimator(initialServiceTime, now),
	}
}

// idle reports whether the service has no requests.
func (s *service) idle() bool { return len(s.queue) == 0 && s.running == 0 }

// slotDemand returns how many slots the entry instance could use.
func (s *service) slotDemand() int {
	n := s.running + len(s.queue)
	if n == 0 {
		return 0
	}
	return n + headroomSlots
}

// customer returns the request counts of a customer. It creates them if there are
// none.
func (s *service) customer(customer string) *customerLoad {
	c, ok := s.customers[customer]
	if !ok {
		c = &customerLoad{}
		s.customers[customer] = c
	}
	return c
}

// dropIdleCustomer deletes the counts of a customer that has no requests.
func (s *service) dropIdleCustomer(customer string) {
	if c, ok := s.customers[customer]; ok && c.total() == 0 {
		delete(s.customers, customer)
	}
}

// compareTickets orders tickets by deadline, then by arrival.
func compareTickets(a, b *Ticket) int {
	if a.Deadline != b.Deadline {
		return int(min(1, max(-1, a.Deadline-b.Deadline)))
	}
	if a.number < b.number {
		return -1
	}
	if a.number > b.number {
		return 1
	}
	return 0
}

// enqueue adds a ticket to the queue and returns the number of tickets before it.
func (s *service) enqueue(t *Ticket) int {
	at, _ := slices.BinarySearchFunc(s.queue, t, compareTickets)
	s.queue = slices.Insert(s.queue, at, t)
	s.customer(t.Customer).queued++
	t.state = Queued
	return at
}

// dequeue removes a ticket from the queue. It does nothing if the ticket is not queued.
func (s *service) dequeue(t *Ticket) {
	at, found := slices.BinarySearchFunc(s.queue, t, compareTickets)
	if !found {
		return
	}
	s.queue = slices.Delete(s.queue, at, at+1)
	s.customer(t.Customer).queued--
	s.dropIdleCustomer(t.Customer)
}

// nextTicket returns the queued ticket that gets the next free slot, or nil if the queue
// is empty. It is the ticket with the earliest deadline among the customers that have
// fewer running requests than their share of slots, or among all customers if there is no
// such customer.
//
// Guards against starvation: a customer that floods the service with short deadlines
// would make the requests of all other customers miss their deadlines. A customer that
// already uses its share of the slots is therefore served after customers below their
// share, whatever its deadlines.
func (s *service) nextTicket(slots int) *Ticket {
	if len(s.queue) == 0 {
		return nil
	}
	if len(s.customers) <= 1 {
		return s.queue[0]
	}
	share := s.customerShare(slots)
	for _, t := range s.queue {
		if s.customers[t.Customer].running < share {
			return t
		}
	}
	return s.queue[0]
}

// customerShare returns each customer's equal share of n slots, rounded up.
func (s *service) customerShare(n int) int {
	customers := max(1, len(s.customers))
	return (n + customers - 1) / customers
}

// largestCustomer returns, among the customers with queued requests, the one with the
// most queued and running requests, and the number of its requests.
func (s *service) largestCustomer() (string, int) {
	name, most := "", -1
	for customer, c := range s.customers {
		if c.queued == 0 {
			continue
		}
		if c.total() > most || (c.total() == most && customer < name) {
			name, most = customer, c.total()
		}
	}
	return name, most
}

// latestTicketOf returns a customer's queued ticket with the latest deadline, or nil.
func (s *service) latestTicketOf(customer string) *Ticket {
	for _, t := range slices.Backward(s.queue) {
		if t.Customer == customer {
			return t
		}
	}
	return nil
}

// queuedBefore counts the tickets of the same customer in the queue before t; at is the
// queue index of t.
func (s *service) queuedBefore(t *Ticket, at int) int {
	n := 0
	for _, other := range s.queue[:at] {
		if other.Customer == t.Customer {
			n++
		}
	}
	return n
}

// refreshMedianTime recomputes medianTime at most once per estimateInterval.
func (s *service) refreshMedianTime(now time.Duration) {
	if now-s.medianRefreshedAt < estimateInterval && s.medianTime > 0 {
		return
	}
	s.medianRefreshedAt = now
	times := make([]time.Duration, 0, len(s.minions))
	for _, m := range s.minions {
		if m.breaker.averageTime > 0 {
			times = append(times, m.breaker.averageTime)
		}
	}
	s.medianTime = median(times)
}

// mayTripOnRate reports whether the failure rate of a minion may open its
// circuit breaker.
//
// Guards against taking a whole service down: requests that fail on every minion, such as
// a customer's bad input, would open all breakers. A failure rate may open a breaker only
// if at most half of the service's breakers are open afterwards.
func (s *service) mayTripOnRate() bool {
	openCount := 0
	for _, m := range s.minions {
		if m.breaker.open {
			openCount++
		}
	}
	return 2*(openCount+1) <= len(s.minions)
}

// queueIndex returns the number of tickets queued before t.
func (s *service) queueIndex(t *Ticket) int {
	at, _ := slices.BinarySearchFunc(s.queue, t, compareTickets)
	return at
}
