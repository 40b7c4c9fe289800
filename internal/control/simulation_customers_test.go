package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/bilberryferry/bilberryferry/customer"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// simCustomerStream is the random stream of the customers, their keys and limits.
	simCustomerStream = 6
	// maxSimCustomers bounds the customers of a simulation, keysPerCustomer the keys of each.
	maxSimCustomers = 5
	keysPerCustomer = 3
	// customerInterval is the mean time between two changes of customers or probes of their keys.
	customerInterval = 200 * time.Millisecond
	// floodCalls is how many calls with unknown keys a flood makes at a time.
	floodCalls = 20
	// maxStartAge is how long after its commit a start may be carried out: when two calls in a row
	// are late.
	maxStartAge = 2*callTimeout + maxLateness + commitTimeout
	// finalLimitDivisor is the divisor of the cluster's resources that gives each limit after the
	// faults: work of one customer then still finishes in the estimated time.
	finalLimitDivisor = 2
)

// simCustomers changes the customers of a simulation, calls with their keys, and checks by what
// callers and workers see that a call is served only for the customer that its key identifies, that
// jobs are told only to their owners and that no customer runs more than its limit.
type simCustomers struct {
	sim *simulation
	// random is used by run, and after its end by finish. submitRandom draws the keys of jobs.
	random, submitRandom *rand.Rand
	names                []string
	// ended is closed when run has ended.
	ended chan struct{}

	mu sync.Mutex
	// versions are all versions of the configuration that were sent, in their order.
	versions   []*simVersion
	violations []string
	// submittedWith holds the submitted jobs and the keys that they were submitted with.
	submittedWith map[string]string
	served        int
	refused       int
}

// simVersion is a version of the configuration with the times at which it was sent and confirmed.
type simVersion struct {
	document            workflow.Document
	sentAt, confirmedAt time.Time
	directory           *customer.Directory
}

// newSimCustomers draws the customers of a simulation: none in half of the seeds.
func newSimCustomers(sim *simulation, seed uint64) *simCustomers {
	random := rand.New(rand.NewPCG(seed, simCustomerStream))
	c := &simCustomers{
		sim: sim, random: random, submitRandom: rand.New(rand.NewPCG(seed, simCustomerStream+1)), ended: make(chan struct{}), submittedWith: map[string]string{},
	}
	if oneIn(random, 2) {
		return c
	}
	for i := range 1 + random.IntN(maxSimCustomers) {
		c.names = append(c.names, fmt.Sprint("customer", i))
	}
	return c
}

// enabled reports whether the simulation has customers.
func (c *simCustomers) enabled() bool { return len(c.names) > 0 }

// keyOf returns a key; the number may be that of no customer, for a key that no version ever held.
func keyOf(number int) string { return fmt.Sprint("key", number) }

// nextDocument draws the next version: each key goes to a customer or to none, limits fall and rise.
func (c *simCustomers) nextDocument(limit func() int64) workflow.Document {
	d := workflow.Document{Version: uint64(len(c.versions) + 1), Source: []byte("{}"), Queues: c.sim.params.queues, KeysRequired: c.enabled()}
	for _, name := range c.names {
		d.Customers = append(d.Customers, customer.Customer{Name: name, Weight: 1, Limit: workflow.Resources{MilliCPU: limit()}})
	}
	for key := range len(c.names) * keysPerCustomer {
		owner := key / keysPerCustomer
		if oneIn(c.random, 4) {
			owner = c.random.IntN(len(c.names))
		}
		if !oneIn(c.random, 6) {
			d.Customers[owner].Keys = append(d.Customers[owner].Keys, customer.DigestOf(keyOf(key)))
		}
	}
	return d
}

// drawLimit draws a limit between a twentieth of the cluster and all of it, or none.
func (c *simCustomers) drawLimit() int64 {
	if oneIn(c.random, 4) {
		return 0
	}
	return int64(logUniform(c.random, 0.05, 1) * float64(c.clusterCPU()))
}

func (c *simCustomers) clusterCPU() int64 {
	return int64(c.sim.params.workers) * c.sim.params.capacity.MilliCPU
}

// addVersion records a version as sent. c.mu must be held.
func (c *simCustomers) addVersion(d workflow.Document) *simVersion {
	v := &simVersion{document: d, sentAt: time.Now(), directory: customer.NewDirectory(d.Customers)}
	c.versions = append(c.versions, v)
	return v
}

// firstVersion returns the version that is in force from the beginning.
func (c *simCustomers) firstVersion() *workflow.Document {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.addVersion(c.nextDocument(c.drawLimit))
	v.confirmedAt = v.sentAt
	return &v.document
}

// change sends a new version, and records when it is confirmed.
func (c *simCustomers) change(limit func() int64) {
	c.mu.Lock()
	v := c.addVersion(c.nextDocument(limit))
	c.mu.Unlock()
	_, err := c.sim.controller().Configure(context.Background(), &ConfigureCall{Document: v.document})
	if err == nil {
		c.mu.Lock()
		v.confirmedAt = time.Now()
		c.mu.Unlock()
	}
}

// possible returns the versions that may have been in force at a time between from and to. c.mu must
// be held.
func (c *simCustomers) possible(from, to time.Time) (versions []*simVersion) {
	for i, v := range c.versions {
		if v.sentAt.After(to) {
			break
		}
		overtaken := slices.ContainsFunc(c.versions[i+1:], func(later *simVersion) bool {
			return !later.confirmedAt.IsZero() && later.confirmedAt.Before(from)
		})
		if !overtaken {
			versions = append(versions, v)
		}
	}
	return versions
}

// ownersOf returns the customers that a key may have identified between from and to, "" for none.
// c.mu must be held.
func (c *simCustomers) ownersOf(key string, from, to time.Time) (owners []string) {
	for _, v := range c.possible(from, to) {
		owner := ""
		if found := v.directory.ByKey(customer.DigestOf(key)); found != nil {
			owner = found.Name
		}
		owners = append(owners, owner)
	}
	return owners
}

// drawKey draws a key that some version may hold.
func (c *simCustomers) drawKey(random *rand.Rand) string {
	if !c.enabled() {
		return ""
	}
	return keyOf(random.IntN(len(c.names) * keysPerCustomer))
}

// principalWith returns the principal of a call with a key.
func principalWith(key string) Principal {
	if key == "" {
		return Principal{}
	}
	digest := customer.DigestOf(key)
	return Principal{Key: &digest}
}

// checkCall records a violation if the outcome of a call, sent at a time with a key, contradicts all
// versions that may have been in force.
func (c *simCustomers) checkCall(what, key string, sentAt time.Time, err error) {
	if !c.enabled() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	owners := c.ownersOf(key, sentAt, time.Now())
	known := slices.ContainsFunc(owners, func(owner string) bool { return owner != "" })
	switch {
	case fault.Is(err, fault.Denied):
		c.refused++
		if !slices.Contains(owners, "") {
			c.violations = append(c.violations, fmt.Sprintf("%s with %s is denied, which belonged to %v", what, key, owners))
		}
	case err == nil, fault.Is(err, fault.Cancelled), fault.Is(err, fault.Conflict):
		c.served++
		if !known {
			c.violations = append(c.violations, fmt.Sprintf("%s with %s is served, which belonged to nobody", what, key))
		}
	}
}

// checkOwner records a violation if a job that was submitted with a key between from and now belongs
// to a customer that the key didn't identify.
func (c *simCustomers) checkOwner(job, key string, from time.Time) {
	owner := ""
	c.sim.state.read(func(s *workflow.State) {
		if j := s.Jobs[job]; j != nil {
			owner = j.Customer
		}
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.submittedWith[job] = key
	if owners := c.ownersOf(key, from, time.Now()); c.enabled() && !slices.Contains(owners, owner) {
		c.violations = append(c.violations, fmt.Sprintf("job %s with %s belongs to %q, not to one of %v", job, key, owner, owners))
	}
}

// run changes customers and calls with known and unknown keys until the faults are over.
func (c *simCustomers) run() {
	defer close(c.ended)
	for c.enabled() && !c.sim.areFaultsOver() {
		time.Sleep(randomDuration(c.random, 0, 2*customerInterval))
		switch c.random.IntN(4) {
		case 0:
			c.change(c.drawLimit)
		case 1:
			c.flood()
		default:
			c.probe()
		}
	}
}

// flood calls with keys that no version ever held.
func (c *simCustomers) flood() {
	for i := range floodCalls {
		key := keyOf(-1 - c.random.IntN(1<<30))
		go c.query(fmt.Sprint("j", i), key)
	}
}

// probe asks for a job with a key, which may be that of another customer than its owner.
func (c *simCustomers) probe() {
	key := c.drawKey(c.random)
	c.mu.Lock()
	n := len(c.submittedWith)
	c.mu.Unlock()
	if n == 0 {
		return
	}
	queue := c.sim.params.queues[c.random.IntN(len(c.sim.params.queues))]
	go c.query(fmt.Sprint("j", 1+c.random.IntN(n), "-", queue.Name), key)
}

// query requests the state of a job and checks the response: a job is told to its owner only.
func (c *simCustomers) query(job, key string) {
	queue := &c.sim.params.queues[0]
	for i := range c.sim.params.queues {
		if q := &c.sim.params.queues[i]; len(job) > len(q.Name) && job[len(job)-len(q.Name):] == q.Name {
			queue = q
		}
	}
	sentAt := time.Now()
	_, err := c.sim.controller().State(context.Background(), &StateCall{
		Address: JobAddress{Host: simHost, Path: queue.Prefix + job, ID: job}, Principal: principalWith(key),
	})
	c.checkCall("a query", key, sentAt, err)
	if err != nil {
		return
	}
	owner := ""
	c.sim.state.read(func(s *workflow.State) { owner = s.Jobs[job].Customer })
	c.mu.Lock()
	defer c.mu.Unlock()
	if owners := c.ownersOf(key, sentAt, time.Now()); !slices.Contains(owners, owner) {
		c.violations = append(c.violations, fmt.Sprintf("job %s of %q is told to the holder of %s, one of %v", job, owner, key, owners))
	}
}

// finish puts limits in force that let all work finish.
func (c *simCustomers) finish() {
	if !c.enabled() {
		return
	}
	<-c.ended
	final := func() int64 { return c.clusterCPU() / finalLimitDivisor }
	for {
		c.change(final)
		c.mu.Lock()
		confirmed := !c.versions[len(c.versions)-1].confirmedAt.IsZero()
		c.mu.Unlock()
		if confirmed {
			return
		}
		time.Sleep(customerInterval)
	}
}

// checkLimits records a violation if a customer has more running on the workers than every limit
// allows that may have been in force when a start was committed. workers.mu must be held.
func (c *simCustomers) checkLimits() {
	if !c.enabled() {
		return
	}
	running := c.runningOnWorkers()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for name, used := range running {
		allowed := int64(0)
		for _, v := range c.possible(now.Add(-maxStartAge), now) {
			limit := v.directory.ByName(name).Limit.MilliCPU
			if limit == 0 {
				limit = customer.Unlimited
			}
			allowed = max(allowed, limit)
		}
		if used > allowed {
			c.violations = append(c.violations, fmt.Sprintf("%s has %d thousandths of a core running and may have %d", name, used, allowed))
		}
	}
}

// runningOnWorkers returns the CPU of the runs on all workers by customer. workers.mu must be held.
func (c *simCustomers) runningOnWorkers() map[string]int64 {
	running := map[string]int64{}
	c.sim.state.read(func(s *workflow.State) {
		for _, w := range c.sim.workers.incarnations {
			for task, run := range w.running {
				if job := s.Jobs[task.Job]; job != nil && job.Customer != "" {
					running[job.Customer] += run.step.CustomerDemand().MilliCPU
				}
			}
		}
	})
	return running
}

// found returns the violations found so far.
func (c *simCustomers) found() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}

// nearLimit reports whether the customer of a job uses half of its limit or more, so that its steps
// needn't start soon.
func (c *simCustomers) nearLimit(id string) (near bool) {
	c.sim.state.read(func(s *workflow.State) {
		job := s.Jobs[id]
		if job == nil {
			return
		}
		owner := s.Customer(job.Customer)
		near = owner != nil && owner.Limited() && 2*s.CustomerUsage()[owner.Name].MilliCPU >= owner.Limit.MilliCPU
	})
	return near
}
