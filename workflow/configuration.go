package workflow

import (
	"strings"

	"github.com/bilberryferry/bilberryferry/customer"
)

// AdvicePolicy describes the adviser of a queue: a response takes BaseMS plus PerWorkerMS
// for each worker of the query, and a ticket is valid for TicketValidityMS. All are in
// milliseconds.
type AdvicePolicy struct {
	BaseMS           float64 `cbor:"1,keyasint"`
	PerWorkerMS      float64 `cbor:"2,keyasint"`
	TicketValidityMS int64   `cbor:"3,keyasint"`
}

// Policy defines how the jobs of a queue are scheduled.
type Policy struct {
	// Service is the pool of workers that run the tasks.
	Service string `cbor:"1,keyasint"`
	// Priority orders the queues; 0 is the most urgent.
	Priority int `cbor:"2,keyasint,omitempty"`
	// MaxAttempts is how many runs of a task may fail before its job fails; 0 for no limit.
	MaxAttempts int `cbor:"3,keyasint,omitempty"`
	// Stretch and ObjectiveMS define the objective of a job: it takes at most Stretch times
	// its longest chain of dependent work plus ObjectiveMS milliseconds.
	Stretch     float64 `cbor:"4,keyasint,omitempty"`
	ObjectiveMS int64   `cbor:"5,keyasint,omitempty"`
	// Advice describes the adviser that decides which workers may run a step; nil if any
	// worker of the service may run any step.
	Advice *AdvicePolicy `cbor:"6,keyasint,omitempty"`
}

// Queue accepts the jobs that are submitted under a host and a path prefix.
type Queue struct {
	Name   string `cbor:"1,keyasint"`
	Host   string `cbor:"2,keyasint"`
	Prefix string `cbor:"3,keyasint"`
	Policy Policy `cbor:"4,keyasint"`
	// Open says that calls to the queue need no key.
	Open bool `cbor:"5,keyasint,omitempty"`
	// Since is the version of the configuration since which the queue admits the same callers and has
	// the same service. It is set when a document is applied.
	Since uint64 `cbor:"6,keyasint,omitempty"`
}

// Identity returns host and prefix of the queue, which identify it even if its name
// changes.
func (q *Queue) Identity() string { return q.Host + q.Prefix }

// Service is a pool of workers.
type Service struct {
	Name string `cbor:"1,keyasint"`
	// Standby says that the pool runs nothing: its machines are off until they are moved to
	// another pool.
	Standby bool `cbor:"2,keyasint,omitempty"`
}

// Document is a version of the configuration.
type Document struct {
	Version uint64 `cbor:"1,keyasint"`
	// Source is the document as it was submitted, nil before the first one.
	Source []byte  `cbor:"2,keyasint"`
	Queues []Queue `cbor:"3,keyasint"`
	// Services are the pools of workers that the policies of queues name.
	Services []Service `cbor:"4,keyasint,omitempty"`
	// KeysRequired says that a call to a queue that isn't open needs the key of one of the
	// Customers.
	KeysRequired bool                `cbor:"5,keyasint,omitempty"`
	Customers    []customer.Customer `cbor:"6,keyasint,omitempty"`
}

// queuesByIdentity returns the queues of the document by identity.
func (d *Document) queuesByIdentity() map[string]*Queue {
	queues := make(map[string]*Queue, len(d.Queues))
	for i := range d.Queues {
		queues[d.Queues[i].Identity()] = &d.Queues[i]
	}
	return queues
}

// Queue returns the queue with a name; ok is false if there is none.
func (d *Document) Queue(name string) (queue *Queue, ok bool) {
	for i := range d.Queues {
		if d.Queues[i].Name == name {
			return &d.Queues[i], true
		}
	}
	return nil, false
}

// Resolve returns the queue of the host with the longest prefix of path, and the rest of the
// path after the prefix; ok is false if there is none.
func (d *Document) Resolve(host, path string) (queue *Queue, rest string, ok bool) {
	for i := range d.Queues {
		q := &d.Queues[i]
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (queue == nil || len(q.Prefix) > len(queue.Prefix)) {
			queue = q
		}
	}
	if queue == nil {
		return nil, "", false
	}
	return queue, path[len(queue.Prefix):], true
}
