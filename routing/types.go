// Package routing decides which request goes to which minion, and when. It does
// no input or output, reads no clock and starts no goroutine: every method takes
// the time as a duration since an arbitrary origin of the caller's monotonic
// clock.
//
// An Allocator runs on the leader of a data centre and allocates the slots of
// its minions to the entry instances by slot leases. A Balancer runs on each
// entry instance: it holds the slot leases, queues requests by deadline, refuses
// those that can't be answered in time and selects minions for the others.
package routing

import "time"

// Announcement is what a minion reports about itself.
type Announcement struct {
	Minion  string
	Service string
	// Address is the host:port of the minion's HTTP server.
	Address string
	// Slots is how many requests the minion processes at a time.
	Slots int
	// MaxConnections is how many connections the minion accepts; 0 means no
	// limit.
	MaxConnections int
	// Incarnation grows with each start of the minion.
	Incarnation uint64
	// Leaving reports whether the minion wants no more requests. It can't be
	// undone within the incarnation.
	Leaving bool
}

// ServiceDemand is how many slots an entry instance could use for a service.
type ServiceDemand struct {
	Service string
	Wanted  int
}

// MinionLoad is how many requests an entry instance has in flight on a minion,
// which is identified by its number in the leader's term.
type MinionLoad struct {
	Number   uint32
	InFlight int
}

// Claim reports to a new leader the slots of a minion that an entry instance
// holds and its requests in flight there.
type Claim struct {
	Minion   string
	Service  string
	Held     int
	InFlight int
}

// SlotRequest renews the slot lease of one entry instance.
type SlotRequest struct {
	Entry string
	// Incarnation grows with each start of the entry process.
	Incarnation uint64
	// Sequence grows with each request of an incarnation.
	Sequence uint64
	// Term is the highest term that the entry instance has seen.
	Term uint64
	// Adopted is the sequence of the response whose grants are in use.
	Adopted uint64
	// Full reports whether Claims lists everything that the entry instance
	// holds.
	Full    bool
	Demands []ServiceDemand
	// Loads lists the minions with requests in flight, by their numbers in Term.
	Loads  []MinionLoad
	Claims []Claim
	// Alive lists the minions that announced themselves since the last request,
	// by their numbers in Term.
	Alive []uint32
	// Announcements lists the announcements that the leader may not have.
	Announcements []Announcement
	// ReleaseAll reports whether the entry instance is draining and gives up
	// all slots.
	ReleaseAll bool
}

// Grant sets how many slots of one minion an entry instance may use. The minion
// is identified by its number in the leader's term.
type Grant struct {
	Number uint32
	Slots  int
	// HasAnnouncement reports whether Announcement is set.
	HasAnnouncement bool
	Announcement    Announcement
	// Gone reports whether the minion left or stopped announcing itself.
	Gone bool
}

// SlotResponse answers a SlotRequest.
type SlotResponse struct {
	Term     uint64
	Sequence uint64
	// Lease is the duration of the lease, counted from when the entry instance
	// sent the request.
	Lease time.Duration
	// Base is the sequence of the response that Grants modifies. 0 means that
	// Grants is complete.
	Base uint64
	// Resync asks for a full request; the response grants nothing.
	Resync bool
	Grants []Grant
}

// LeaseOptions are the durations on which Allocator and Balancer must agree.
type LeaseOptions struct {
	// Lease is how long granted slots may be used.
	Lease time.Duration
	// MaxRequest bounds how long a request may be in flight on a minion. It
	// must not be shorter than Lease.
	MaxRequest time.Duration
	// Drift bounds how far two monotonic clocks diverge over Lease + MaxRequest.
	Drift time.Duration
	// MinionTTL is how long a minion stays usable without an announcement.
	MinionTTL time.Duration
}

// DefaultLeaseOptions returns the durations that apply without settings.
func DefaultLeaseOptions() LeaseOptions {
	return LeaseOptions{
		Lease:      5 * time.Second,
		MaxRequest: 10 * time.Second,
		Drift:      250 * time.Millisecond,
		MinionTTL:  2500 * time.Millisecond,
	}
}

// withDefaults replaces unset durations by their defaults and raises MaxRequest
// to at least Lease.
func (o LeaseOptions) withDefaults() LeaseOptions {
	d := DefaultLeaseOptions()
	if o.Lease <= 0 {
		o.Lease = d.Lease
	}
	if o.MaxRequest <= 0 {
		o.MaxRequest = d.MaxRequest
	}
	if o.Drift <= 0 {
		o.Drift = d.Drift
	}
	if o.MinionTTL <= 0 {
		o.MinionTTL = d.MinionTTL
	}
	o.MaxRequest = max(o.MaxRequest, o.Lease)
	return o
}
