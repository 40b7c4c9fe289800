package workflow

import (
	"cmp"
	"maps"
	"slices"

	"github.com/bilberryferry/bilberryferry/customer"
)

// maxRemovals bounds how many removed queues, and how many removed keys, are remembered.
const maxRemovals = 4096

// Changes say since which version of the configuration each part of it is as it is now.
type Changes struct {
	// RemovedQueues and RemovedKeys hold the versions that removed queues, by identity, and keys.
	RemovedQueues map[string]uint64          `cbor:"1,keyasint,omitempty"`
	RemovedKeys   map[customer.Digest]uint64 `cbor:"2,keyasint,omitempty"`
	// Keys holds the versions that gave the keys to their customers.
	Keys map[customer.Digest]uint64 `cbor:"3,keyasint,omitempty"`
	// KeysRequired is the version that first required keys.
	KeysRequired uint64 `cbor:"4,keyasint,omitempty"`
	// Forgotten is the newest version of which a removal is no longer remembered.
	Forgotten uint64 `cbor:"5,keyasint,omitempty"`
}

// record records what a version changes. before and after are the queues of previous and next by identity.
// It sets Since of the queues of next.
func (c *Changes) record(previous, next *Document, before, after map[string]*Queue) {
	if next.KeysRequired && !previous.KeysRequired {
		c.KeysRequired = next.Version
	}
	c.recordQueues(next, before, after)
	c.recordKeys(previous, next)
}

func (c *Changes) recordQueues(next *Document, before, after map[string]*Queue) {
	for i := range next.Queues {
		queue := &next.Queues[i]
		identity := queue.Identity()
		queue.Since = next.Version
		if known := before[identity]; known != nil && known.handlesAlike(queue) {
			queue.Since = known.Since
		}
		delete(c.RemovedQueues, identity)
	}
	for identity := range before {
		if after[identity] != nil {
			continue
		}
		if c.RemovedQueues == nil {
			c.RemovedQueues = map[string]uint64{}
		}
		c.RemovedQueues[identity] = next.Version
	}
	c.Forgotten = max(c.Forgotten, forgetOldest(c.RemovedQueues))
}

// handlesAlike reports whether two queues of the same identity admit the same callers and run their jobs
// on the same workers.
func (q *Queue) handlesAlike(other *Queue) bool {
	return q.Open == other.Open && q.Policy.Service == other.Policy.Service
}

func (c *Changes) recordKeys(previous, next *Document) {
	owners := keyOwners(previous.Customers)
	present := make(map[customer.Digest]uint64, len(c.Keys))
	for key, owner := range keyOwners(next.Customers) {
		present[key] = next.Version
		if owners[key] == owner {
			present[key] = c.Keys[key]
		}
		delete(owners, key)
		delete(c.RemovedKeys, key)
	}
	for key := range owners {
		if c.RemovedKeys == nil {
			c.RemovedKeys = map[customer.Digest]uint64{}
		}
		c.RemovedKeys[key] = next.Version
	}
	c.Keys = present
	c.Forgotten = max(c.Forgotten, forgetOldest(c.RemovedKeys))
}

// keyOwners returns the names of the customers by their keys.
func keyOwners(customers []customer.Customer) map[customer.Digest]string {
	owners := map[customer.Digest]string{}
	for i := range customers {
		for _, key := range customers[i].Keys {
			owners[key] = customers[i].Name
		}
	}
	return owners
}

// forgetOldest deletes the removals of the oldest versions until at most maxRemovals are left, and
// returns the newest version of which one was deleted, 0 for none.
func forgetOldest[K comparable](removals map[K]uint64) (forgotten uint64) {
	if len(removals) <= maxRemovals {
		return 0
	}
	versions := slices.Sorted(maps.Values(removals))
	forgotten = versions[len(versions)-maxRemovals-1]
	maps.DeleteFunc(removals, func(_ K, version uint64) bool { return cmp.Compare(version, forgotten) <= 0 })
	return forgotten
}

// UnchangedSince returns the oldest version of the configuration since which a call to a host and path,
// with a key or without one, is handled as it is now. queue is the queue to which the call goes, nil if
// there is none.
func (s *State) UnchangedSince(queue *Queue, host, path string, key *customer.Digest) uint64 {
	c := &s.Changes
	since, prefix := c.Forgotten, 0
	if queue != nil {
		since, prefix = max(since, queue.Since), len(queue.Prefix)
	}
	// A removed queue with a longer prefix had these calls before.
	address := host + path
	for end := len(host) + prefix + 1; end <= len(address) && len(c.RemovedQueues) > 0; end++ {
		since = max(since, c.RemovedQueues[address[:end]])
	}
	if queue == nil || queue.Open {
		return since
	}
	since = max(since, c.KeysRequired)
	if key != nil {
		since = max(since, c.Keys[*key], c.RemovedKeys[*key])
	}
	return since
}
