package workflow

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/customer"
)

func queueAt(prefix string) Queue { return Queue{Name: prefix, Host: "h", Prefix: prefix} }

// configured returns a state after the documents, whose versions are 10, 20, 30 and so on.
func configured(documents ...Document) *State {
	s := NewState()
	for i, d := range documents {
		d.Version, d.Source = uint64(10*(i+1)), []byte("{}")
		s.Apply(uint64(i+1), &Command{Configuration: &d})
	}
	return s
}

// since returns since which version a call to a path without a key is handled as it is now.
func since(s *State, path string, key *customer.Digest) uint64 {
	queue, _, _ := s.Configuration.Resolve("h", path)
	return s.UnchangedSince(queue, "h", path, key)
}

// Guards against responses that are taken to be the same under a version that handles the call in
// another way: its queue was added, removed, moved to another service, or hidden by a queue with a longer prefix.
func TestCallIsUnchangedSinceItsQueueChanged(t *testing.T) {
	moved := queueAt("/changed/")
	moved.Policy.Service = "other"
	s := configured(
		Document{Queues: []Queue{queueAt("/a/"), queueAt("/changed/"), queueAt("/a/inner/"), queueAt("/back/")}},
		Document{Queues: []Queue{queueAt("/a/"), queueAt("/changed/")}},
		Document{Queues: []Queue{queueAt("/a/"), moved, queueAt("/added/"), queueAt("/back/")}},
		Document{Queues: []Queue{moved, queueAt("/added/"), queueAt("/back/")}},
	)
	encoded, err := s.Snapshot()
	must.NoError(t, err)
	restored, err := Restore(encoded)
	must.NoError(t, err)
	for _, state := range []*State{s, restored} {
		for path, version := range map[string]uint64{
			"/added/1": 30, "/changed/1": 30, "/back/1": 30, "/a/1": 40, "/a/inner/1": 40, "/never/1": 0,
		} {
			must.Eq(t, version, since(state, path, nil), must.Sprint(path))
		}
	}
	// While the shorter prefix is there, calls below the longer one are handled differently since its removal.
	must.Eq(t, 20, since(configured(
		Document{Queues: []Queue{queueAt("/a/"), queueAt("/a/inner/")}}, Document{Queues: []Queue{queueAt("/a/")}},
	), "/a/inner/1", nil))
}

// Guards against a key that was revoked or given to another customer in a version under which the
// response is taken to be the same.
func TestCallIsUnchangedSinceItsKeyChanged(t *testing.T) {
	key := func(text string) customer.Digest { return customer.DigestOf(text) }
	a := func(keys ...customer.Digest) customer.Customer { return customer.Customer{Name: "a", Keys: keys} }
	b := func(keys ...customer.Digest) customer.Customer { return customer.Customer{Name: "b", Keys: keys} }
	document := func(customers ...customer.Customer) Document {
		return Document{Queues: []Queue{queueAt("/q/")}, KeysRequired: true, Customers: customers}
	}
	s := configured(
		Document{Queues: []Queue{queueAt("/q/")}},
		document(a(key("stays"), key("revoked"), key("moves")), b()),
		document(a(key("stays"), key("added")), b(key("moves"))),
	)
	encoded, err := s.Snapshot()
	must.NoError(t, err)
	restored, err := Restore(encoded)
	must.NoError(t, err)
	for _, state := range []*State{s, restored} {
		for text, version := range map[string]uint64{"stays": 20, "revoked": 30, "moves": 30, "added": 30, "unknown": 20} {
			digest := key(text)
			must.Eq(t, version, since(state, "/q/1", &digest), must.Sprint(text))
		}
		must.Eq(t, 20, since(state, "/q/1", nil))
	}
}

// Guards against memory that grows with each removed queue. A call whose removal is forgotten counts as
// changed by the newest version that was forgotten.
func TestRememberedRemovalsAreBounded(t *testing.T) {
	var queues []Queue
	for i := range maxRemovals {
		queues = append(queues, queueAt(fmt.Sprintf("/many/%d/", i)))
	}
	s := configured(Document{Queues: []Queue{queueAt("/first/")}}, Document{Queues: queues}, Document{}, Document{Queues: queues[:1]}, Document{})
	must.MapLen(t, maxRemovals, s.Changes.RemovedQueues)
	must.Eq(t, 20, since(s, "/first/1", nil))
	must.Eq(t, 30, since(s, "/many/7/1", nil))
	must.Eq(t, 50, since(s, "/many/0/1", nil))
}
