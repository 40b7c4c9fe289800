// Package routing decides which request goes to which minion, and when. It has
// no input or output, reads no clock and starts no goroutine: every method
// takes the time as a duration since an arbitrary origin of the caller's
// monotonic clock.
//
// The Divider runs on the leader of a data centre and divides the slots of
// minions among the entry instances by slot leases. A Balancer runs on each
// entry instance: it holds the leases, queues requests by deadline, refuses
// those that can't make it and picks minions for the others.
package routing

import "time"

// Announcement is what a minion says about itself.
type Announcement struct {
	Minion  string
	Service string
	// Address is host:port of the minion's HTTP server.
	Address string
	// Slots is how many requests the minion takes at a time.
	Slots int
	// MaxConnections is how many connections the minion takes; 0 for no limit.
	MaxConnections int
	// Incarnation grows with each start of the minion.
	Incarnation uint64
	// Leaving asks for no more requests. It lasts for the incarnation.
	Leaving bool
}

// ServiceDemand is how many slots an entry instance could use for a service.
type ServiceDemand struct {
	Service string
	Wanted  int
}

// Use is how many requests an entry instance has in progress on a minion.
type MinionLoad struct {
	Number   uint32
	InFlight int
}

// Claim is what an entry instance holds of a minion, told to a new leader.
type Claim struct {
	Minion   string
	Service  string
	Held     int
	InFlight int
}

// SlotRequest renews the slot leases of one entry instance.
type SlotRequest struct {
	Entry string
	// Incarnation grows with each start of the entry process.
	Incarnation uint64
	// Sequence grows with each request of an incarnation.
	Sequence uint64
	// Term is the highest term from which the entry instance has heard.
	Term uint64
	// Adopted is the sequence of the response whose grants are in use.
	Adopted uint64
	// Full says that Claims holds all that the entry instance holds.
	Full    bool
	Demands []ServiceDemand
	// Uses lists minions of the term with requests in progress.
	Loads  []MinionLoad
	Claims []Claim
	// Alive lists the minions of the term heard since the last request.
	Alive []uint32
	// Announcements are those that the leader isn't known to have.
	Announcements []Announcement
	// ReleaseAll says that the entry instance drains and wants no slots.
	ReleaseAll bool
}

// Grant changes what an entry instance may use of one minion.
type Grant struct {
	Number uint32
	Slots  int
	// Described is set when Minion holds the minion's announcement.
	HasAnnouncement bool
	Announcement    Announcement
	// Gone says that the minion has left or fell silent.
	Gone bool
}

// SlotResponse answers a SlotRequest.
type SlotResponse struct {
	Term     uint64
	Sequence uint64
	// Lease is counted by the entry instance from when it sent the request.
	Lease time.Duration
	// Base is the sequence of the response that Grants change. 0: Grants are complete.
	Base uint64
	// Resync asks for a full request; nothing is granted.
	Resync bool
	Grants []Grant
}

// LeaseOptions are the durations on which Divider and Balancer must agree.
type LeaseOptions struct {
	// Lease is how long granted slots may be used.
	Lease time.Duration
	// MaxRequest bounds how long a request may be in progress on a minion. It
	// must not be shorter than Lease.
	MaxRequest time.Duration
	// Drift bounds how much two monotonic clocks differ over Lease + MaxRequest.
	Drift time.Duration
	// MinionTTL is after how long without an announcement a minion is gone.
	MinionTTL time.Duration
}

// DefaultLeaseOptions returns the durations used where settings say nothing.
func DefaultLeaseOptions() LeaseOptions {
	return LeaseOptions{
		Lease:      5 * time.Second,
		MaxRequest: 10 * time.Second,
		Drift:      250 * time.Millisecond,
		MinionTTL:  2500 * time.Millisecond,
	}
}

// withDefaults fills in zero fields and keeps MaxRequest >= Lease.
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
