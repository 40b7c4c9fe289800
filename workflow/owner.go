package workflow

import (
	"math"

	"github.com/bilberryferry/bilberryferry/customer"
)

// Identify returns the name of the customer that a call to a queue is made for, according to the
// digest of the key in the call; key is nil if the call has none. The name is empty if the key
// belongs to no customer. ok says whether the call may be served: the key is known, or the queue
// needs none.
func (s *State) Identify(queue *Queue, key *customer.Digest) (name string, ok bool) {
	if key != nil {
		if c := s.customers.ByKey(*key); c != nil {
			return c.Name, true
		}
	}
	return "", queue.Open || !s.Configuration.KeysRequired
}

// Customer returns the customer with a name in the current configuration; nil if there is none.
func (s *State) Customer(name string) *customer.Customer { return s.customers.ByName(name) }

// Customers returns the customers of the current configuration by name. The caller must not change
// the map.
func (s *State) Customers() map[string]*customer.Customer { return s.customers.All() }

// QueueShare returns how many of n places in a full queue are a customer's share; see
// customer.Directory.
func (s *State) QueueShare(n int, name string, queued map[string]int) int {
	return s.customers.QueueShare(n, name, queued)
}

// CustomerShare returns the share of a customer as a part of 1; see customer.Directory.
func (s *State) CustomerShare(name string, queued map[string]int) float64 {
	return s.customers.Share(name, queued)
}

// VisibleTo reports whether a customer may see and cancel the job: its owner may, and anybody if it
// belongs to nobody.
func (j *Job) VisibleTo(customer string) bool { return j.Customer == "" || j.Customer == customer }

// limitFitCount returns how many more tasks of a step the limit of the job's customer allows.
func (s *State) limitFitCount(job *Job, spec *Step) int {
	c := s.customers.ByName(job.Customer)
	if c == nil || !c.Limited() {
		return math.MaxInt
	}
	return spec.CustomerDemand().FitCount(c.Headroom(s.usage[c.Name]))
}
