// Package routing decides which request goes to which minion, and when. A minion is a
// server of one service; it has one slot for each request that it can process at a
// time. Entry instances are the instances that accept the requests of callers. The
// package does no input or output, reads no clock and starts no goroutine: every method
// takes the time as a duration since an arbitrary origin of the caller's monotonic
// clock.
//
// An Allocator runs on the leader of a data centre and allocates the slots of its
// minions to the entry instances by slot leases. A Balancer runs on each entry
// instance: it holds a slot lease, queues requests by deadline, refuses those that
// can't be completed in time and selects minions for the others.
package routing

import "time"

// Announcement is what a minion reports about itself.
type Announcement struct {
	Minion  string
	Service string
	// Address is the host:port of the minion's HTTP server.
	Address string
	// Slots is the number of requests that the minion processes at a time.
	Slots int
	// MaxConnections is the number of connections that the minion accepts; 0
	// means no limit.
	MaxConnections int
	// Incarnation grows with each start of the minion.
	Incarnation uint64
	// Leaving reports whether the minion wants no more requests. It can't be
	// undone within the incarnation.
	Leaving bool
}

// ServiceDemand is the number of slots that an entry instance could use for a service.
type ServiceDemand struct {
	Service string
	Wanted  int
}

// MinionLoad is the number of requests that an entry instance has in flight on a
// minion. The minion is identified by the number that the leader of the term gave it.
type MinionLoad struct {
	Number   uint32
	InFlight int
}

// Claim reports to a new leader how many slots of a minion an entry instance holds and
// how many requests it has in flight there.
type Claim struct {
	Minion   string
	Service  string
	Held     int
	InFlight int
}

// SlotRequest renews the slot lease of one entry instance.
type SlotRequest struct {
	// Entry is the ID of the entry instance.
	Entry string
	// Incarnation grows with each start of the entry process.
	Incarnation uint64
	// Sequence grows with each request of an incarnation.
	Sequence uint64
	// Term is the highest term that the entry instance has seen.
	Term uint64
	// Adopted is the sequence of the response whose grants are in use.
	Adopted uint64
	// Full reports whether Claims lists all minions on which the entry instance
	// holds slots or has requests in flight.
	Full bool
	// Demands lists the services of which the entry instance could use slots.
	Demands []ServiceDemand
	// Loads lists the minions with requests in flight.
	Loads  []MinionLoad
	Claims []Claim
	// Alive lists the minions that announced themselves since the last request, by the
	// numbers that the leader of Term gave them.
	Alive []uint32
	// Announcements lists the announcements of minions that the leader may not have
	// received.
	Announcements []Announcement
	// ReleaseAll reports whether the entry instance is draining and gives up
	// all slots.
	ReleaseAll bool
}

// Grant sets how many slots of one minion an entry instance may use. The minion is
// identified by the number that the leader of the term gave it.
type Grant struct {
	Number uint32
	Slots  int
	// HasAnnouncement reports whether Announcement is set.
	HasAnnouncement bool
	Announcement    Announcement
	// Gone reports whether the minion left or stopped announcing itself.
	Gone bool
}

// SlotResponse is the response to a SlotRequest.
type SlotResponse struct {
	// Term is the leader term.
	Term uint64
	// Sequence is the sequence of the request.
	Sequence uint64
	// TTL is the duration of the lease, counted from when the entry instance
	// sent the request.
	TTL time.Duration
	// Base is the sequence of the response that Grants modifies. 0 means that
	// Grants is complete.
	Base uint64
	// Resync reports that the next request must be a full one. A response with
	// Resync grants nothing.
	Resync bool
	// Grants lists the grants that differ from those of Base.
	Grants []Grant
}

// LeaseOptions has the durations that must be equal for an Allocator and its
// Balancers.
type LeaseOptions struct {
	// TTL is how long granted slots may be used, counted from when the slot
	// request was sent.
	TTL time.Duration
	// MaxRequestDuration bounds how long a request may be in flight on a minion. It
	// must not be shorter than TTL.
	MaxRequestDuration time.Duration
	// Drift bounds how far two monotonic clocks diverge over TTL + MaxRequestDuration.
	Drift time.Duration
	// MinionTTL is how long a minion stays usable without an announcement.
	MinionTTL time.Duration
}

// DefaultLeaseOptions returns the durations that apply without settings.
func DefaultLeaseOptions() LeaseOptions {
	return LeaseOptions{
		TTL:                5 * time.Second,
		MaxRequestDuration: 10 * time.Second,
		Drift:              250 * time.Millisecond,
		MinionTTL:          2500 * time.Millisecond,
	}
}

// withDefaults replaces unset durations by their defaults and raises MaxRequestDuration
// to at least TTL.
func (o LeaseOptions) withDefaults() LeaseOptions {
	d := DefaultLeaseOptions()
	if o.TTL <= 0 {
		o.TTL = d.TTL
	}
	if o.MaxRequestDuration <= 0 {
		o.MaxRequestDuration = d.MaxRequestDuration
	}
	if o.Drift <= 0 {
		o.Drift = d.Drift
	}
	if o.MinionTTL <= 0 {
		o.MinionTTL = d.MinionTTL
	}
	o.MaxRequestDuration = max(o.MaxRequestDuration, o.TTL)
	return o
}
