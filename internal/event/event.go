// Package event records the state changes of a process, each with a hybrid logical clock
// timestamp and the ids that the change concerns. The events of all processes, sorted by
// timestamp, are the event timeline of the system.
package event

import (
	"cmp"
	"slices"
	"sync"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/hlc"
)

// Event is one change of state.
type Event struct {
	Timestamp  hlc.Timestamp `cbor:"1,keyasint"`
	Instance   string        `cbor:"2,keyasint"`
	DataCentre string        `cbor:"3,keyasint,omitempty"`
	// Kind is a short name for the change, such as "leader" or "task started".
	Kind string `cbor:"4,keyasint"`
	// Subjects are the ids of the jobs, requests, workers, minions and versions concerned.
	Subjects []string `cbor:"5,keyasint,omitempty"`
	// Detail is a text for the reader of the timeline.
	Detail string `cbor:"6,keyasint,omitempty"`
}

// Concerns reports whether the event has the subject. The empty subject matches every event.
func (e *Event) Concerns(subject string) bool {
	return subject == "" || slices.Contains(e.Subjects, subject)
}

// ToAPI converts the event to its API message.
func (e *Event) ToAPI() *apiv1.Event {
	return &apiv1.Event{
		WallMs:     e.Timestamp.Wall,
		Logical:    e.Timestamp.Logical,
		Instance:   e.Instance,
		DataCentre: e.DataCentre,
		Kind:       e.Kind,
		Subjects:   e.Subjects,
		Detail:     e.Detail,
	}
}

// FromAPI converts an API message to an event.
func FromAPI(message *apiv1.Event) Event {
	return Event{
		Timestamp:  hlc.Timestamp{Wall: message.GetWallMs(), Logical: message.GetLogical()},
		Instance:   message.GetInstance(),
		DataCentre: message.GetDataCentre(),
		Kind:       message.GetKind(),
		Subjects:   message.GetSubjects(),
		Detail:     message.GetDetail(),
	}
}

// EventsToAPI converts events to their API messages.
func EventsToAPI(events []Event) []*apiv1.Event {
	messages := make([]*apiv1.Event, len(events))
	for i := range events {
		messages[i] = events[i].ToAPI()
	}
	return messages
}

// EventsFromAPI converts API messages to events. It skips nil elements.
func EventsFromAPI(messages []*apiv1.Event) []Event {
	events := make([]Event, 0, len(messages))
	for _, message := range messages {
		if message != nil {
			events = append(events, FromAPI(message))
		}
	}
	return events
}

// Merge sorts the events of several instances into causal order: by timestamp, then by
// instance. Only causally unrelated events can have equal timestamps. Merge removes
// duplicates, which occur when two instances return the same event.
func Merge(perInstance ...[]Event) []Event {
	var merged []Event
	for _, events := range perInstance {
		merged = append(merged, events...)
	}
	slices.SortStableFunc(merged, compareEvents)
	return slices.CompactFunc(merged, equalEvents)
}

// compareEvents orders events by timestamp, then by their remaining fields.
func compareEvents(a, b Event) int {
	if c := a.Timestamp.Compare(b.Timestamp); c != 0 {
		return c
	}
	return cmp.Or(
		cmp.Compare(a.Instance, b.Instance),
		cmp.Compare(a.Kind, b.Kind),
		cmp.Compare(a.Detail, b.Detail),
		slices.Compare(a.Subjects, b.Subjects),
	)
}

// equalEvents reports whether two events are duplicates.
func equalEvents(a, b Event) bool { return compareEvents(a, b) == 0 }

// Ring is a ring buffer of a process's newest events. It is safe for concurrent
// use.
type Ring struct {
	mu     sync.Mutex
	events []Event
	// next is the index of the oldest event in a full ring, which is overwritten next; 0
	// until the ring is full.
	next int
}

// NewRing returns an empty ring for capacity events, at least one.
func NewRing(capacity int) *Ring {
	return &Ring{events: make([]Event, 0, max(1, capacity))}
}

// Append adds an event. It overwrites the oldest event when the ring is full.
func (r *Ring) Append(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % len(r.events)
}

// Since returns, oldest first, the events that concern subject and have a wall
// time of sinceMs (Unix milliseconds) or later. The empty subject matches every
// event. If there are more than limit, Since returns the newest limit events; a
// limit of zero or less means no limit.
func (r *Ring) Since(subject string, sinceMs int64, limit int) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Event
	for i := len(r.events) - 1; i >= 0; i-- {
		e := r.events[(r.next+i)%len(r.events)]
		if e.Timestamp.Wall < sinceMs || !e.Concerns(subject) {
			continue
		}
		found = append(found, e)
		if limit > 0 && len(found) == limit {
			break
		}
	}
	slices.Reverse(found)
	return found
}

// Len returns the number of events in the ring.
func (r *Ring) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.events)
}
