package routing

import (
	"slices"
	"time"
)

// spareSlotDemand are asked for beyond the demand, for the next requests to come.
const spareSlotDemand = 2

// customerLoad counts the requests of one customer at one service.
type customerLoad struct {
	running int
	queued  int
}

func (c customerLoad) total() int { return c.running + c.queued }

// service is the queue and the minions of one service.
type service struct {
	name    string
	minions []*minion
	// queue is ordered by deadline, equal ones by arrival.
	queue        []*Ticket
	customers    map[string]*customerLoad
	running      int
	serviceTimes *estimator
	// usual is the median of the minions' usual service times.
	medianTime   time.Duration
	medianReadAt time.Duration
	// returns is when the last refused caller was told to come back.
	lastReturnAt time.Duration
	// peopled is when the service was last seen with minions.
	lastPopulatedAt time.Duration
	everPopulated   bool
}

func newService(name string, first, now time.Duration) *service {
	return &service{
		name:         name,
		customers:    make(map[string]*customerLoad),
		serviceTimes: newEstimator(first, now),
	}
}

func (s *service) idle() bool { return len(s.queue) == 0 && s.running == 0 }

// wanted is how many slots the entry instance could use.
func (s *service) slotDemand() int {
	n := s.running + len(s.queue)
	if n == 0 {
		return 0
	}
	return n + spareSlotDemand
}

func (s *service) customer(customer string) *customerLoad {
	c, ok := s.customers[customer]
	if !ok {
		c = &customerLoad{}
		s.customers[customer] = c
	}
	return c
}

// settle forgets a customer without requests.
func (s *service) dropIdleCustomer(customer string) {
	if c, ok := s.customers[customer]; ok && c.total() == 0 {
		delete(s.customers, customer)
	}
}

// before orders tickets by deadline, then by arrival.
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

// push queues a ticket and returns how many are before it.
func (s *service) enqueue(t *Ticket) int {
	at, _ := slices.BinarySearchFunc(s.queue, t, compareTickets)
	s.queue = slices.Insert(s.queue, at, t)
	s.customer(t.Customer).queued++
	t.state = Queued
	return at
}

// drop takes a ticket out of the queue.
func (s *service) dequeue(t *Ticket) {
	at, found := slices.BinarySearchFunc(s.queue, t, compareTickets)
	if !found {
		return
	}
	s.queue = slices.Delete(s.queue, at, at+1)
	s.customer(t.Customer).queued--
	s.dropIdleCustomer(t.Customer)
}

// next returns the queued ticket that gets the next slot: the earliest deadline
// among customers that have less than their share in progress, else the
// earliest of all.
//
// Failure: one customer floods the service with short deadlines and the others
// miss theirs. Guard: a customer with its share in progress goes behind the
// others, whatever its deadlines.
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

// share is the equal part of n for each customer with requests here, rounded up.
func (s *service) customerShare(n int) int {
	customers := max(1, len(s.customers))
	return (n + customers - 1) / customers
}

// largest returns the customer with the most requests here.
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

// latestOf returns the queued ticket of a customer with the latest deadline.
func (s *service) latestOf(customer string) *Ticket {
	for _, t := range slices.Backward(s.queue) {
		if t.Customer == customer {
			return t
		}
	}
	return nil
}

// queuedBefore counts the queued tickets of the same customer before t.
func (s *service) queuedBefore(t *Ticket, at int) int {
	n := 0
	for _, other := range s.queue[:at] {
		if other.Customer == t.Customer {
			n++
		}
	}
	return n
}

// refreshMedianTime works out the median of the usual service times again.
func (s *service) refreshMedianTime(now time.Duration) {
	if now-s.medianReadAt < estimateInterval && s.medianTime > 0 {
		return
	}
	s.medianReadAt = now
	times := make([]time.Duration, 0, len(s.minions))
	for _, m := range s.minions {
		if m.breaker.averageTime > 0 {
			times = append(times, m.breaker.averageTime)
		}
	}
	s.medianTime = median(times)
}

// mayTripOnRate says whether answers that tell of failures may open one more breaker.
//
// Failure: requests that fail on every minion, for example bad input of one
// customer, would open all breakers and take the service down for everyone.
// Guard: at most half of the minions are kept out for their answers.
func (s *service) mayTripOnRate() bool {
	open := 0
	for _, m := range s.minions {
		if m.breaker.open {
			open++
		}
	}
	return 2*(open+1) <= len(s.minions)
}

// position returns how many tickets are queued before t.
func (s *service) queueIndex(t *Ticket) int {
	at, _ := slices.BinarySearchFunc(s.queue, t, compareTickets)
	return at
}
