// Package event keeps what has happened on a process: changes of state with a
// hybrid logical clock stamp and the ids that they concern. The events of all
// processes together, sorted by stamp, are the time line of the system.
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
	// Kind is a short name of what happened, such as "leader" or "task started".
	Kind string `cbor:"4,keyasint"`
	// Subjects are the ids of jobs, requests, workers, minions and versions concerned.
	Subjects []string `cbor:"5,keyasint,omitempty"`
	Detail   string   `cbor:"6,keyasint,omitempty"`
}

// Concerns says whether the event has the subject. The empty subject stands for all.
func (e *Event) Concerns(subject string) bool {
	return subject == "" || slices.Contains(e.Subjects, subject)
}

// ToAPI returns the event as it crosses the wire.
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

// FromAPI reads an event from the wire.
func FromAPI(wire *apiv1.Event) Event {
	return Event{
		Timestamp:  hlc.Timestamp{Wall: wire.GetWallMs(), Logical: wire.GetLogical()},
		Instance:   wire.GetInstance(),
		DataCentre: wire.GetDataCentre(),
		Kind:       wire.GetKind(),
		Subjects:   wire.GetSubjects(),
		Detail:     wire.GetDetail(),
	}
}

// ListToAPI returns events as they cross the wire.
func ListToAPI(events []Event) []*apiv1.Event {
	wire := make([]*apiv1.Event, len(events))
	for i := range events {
		wire[i] = events[i].ToAPI()
	}
	return wire
}

// ListFromAPI reads events from the wire. Missing elements are left out.
func ListFromAPI(wire []*apiv1.Event) []Event {
	events := make([]Event, 0, len(wire))
	for _, w := range wire {
		if w != nil {
			events = append(events, FromAPI(w))
		}
	}
	return events
}

// Merge puts the events of many instances into one causal order: by stamp, and
// by instance where stamps are equal, which only unrelated events can be.
// Events that came twice, asked for on two ways, are kept once.
func Merge(lists ...[]Event) []Event {
	var all []Event
	for _, list := range lists {
		all = append(all, list...)
	}
	slices.SortStableFunc(all, compareEvents)
	return slices.CompactFunc(all, equalEvents)
}

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

func equalEvents(a, b Event) bool { return compareEvents(a, b) == 0 }

// Ring keeps the last events of a process, bounded in number. It is safe for
// use by many goroutines.
type Ring struct {
	mu     sync.Mutex
	events []Event
	next   int
}

// NewRing returns a ring of a capacity of at least one event.
func NewRing(capacity int) *Ring {
	return &Ring{events: make([]Event, 0, max(1, capacity))}
}

// Append adds an event and drops the oldest when the ring is full.
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

// Since returns the events that concern a subject (all for the empty one) and
// whose wall time is sinceMs or later, in order. Of more than limit the newest
// are kept; a limit of zero or less stands for no limit.
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

// Len returns the number of events kept.
func (r *Ring) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.events)
}
