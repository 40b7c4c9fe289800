package routing

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// model simulates a leader, entry instances and minions, and a network that loses,
// duplicates and delays messages. A message is never removed from requests or
// responses; it is lost if it isn't delivered.
type model struct {
	t         *rapid.T
	now       time.Duration
	allocator *Allocator
	term      uint64
	entries   []*modelEntry
	minions   []Announcement
	requests  []SlotRequest
	responses []modelResponse
	// orphans are the requests of terminated processes that a minion may still be
	// processing.
	orphans []orphan
	// granted sums the granted slots after each delivered response, to prove that
	// the run granted any.
	granted int
}

// modelEntry is an entry instance of the model.
type modelEntry struct {
	id          string
	incarnation uint64
	// rate is the rate of the process's clock relative to the leader's.
	rate      float64
	startedAt time.Duration
	balancer  *Balancer
	running   []*Ticket
}

// modelResponse is a slot response in flight to a process of the entry instance with
// index to.
type modelResponse struct {
	to          int
	incarnation uint64
	resp        SlotResponse
}

// orphan is a request of a terminated process that its minion may still be processing
// until a time.
type orphan struct {
	minion string
	until  time.Duration
}

// newModel returns a model with three minions, three entry instances and a
// leader.
func newModel(t *rapid.T) *model {
	w := &model{t: t, now: time.Minute, allocator: NewAllocator(LeaseOptions{})}
	for i := range 3 {
		a := Announcement{Minion: fmt.Sprint("m", i), Service: "s", Address: "a", Slots: 3, Incarnation: 1}
		w.minions = append(w.minions, a)
	}
	for i := range 3 {
		w.entries = append(w.entries, &modelEntry{id: fmt.Sprint("e", i)})
		w.start(w.entries[i])
	}
	w.changeLeader()
	return w
}

// start starts a new process of an entry instance. Its clock has its own origin
// and is up to 0.8 % too fast or too slow.
func (w *model) start(e *modelEntry) {
	e.incarnation++
	e.startedAt = w.now
	e.rate = 1 + float64(rapid.IntRange(-8, 8).Draw(w.t, "rate"))/1000
	e.balancer = NewBalancer(Options{Entry: e.id, Incarnation: e.incarnation, Seed: e.incarnation})
	e.running = nil
}

// clock returns the time on the clock of an entry process.
func (w *model) clock(e *modelEntry) time.Duration {
	return time.Duration(float64(w.now-e.startedAt) * e.rate)
}

// drawEntry returns a random entry instance.
func (w *model) drawEntry() *modelEntry {
	return w.entries[rapid.IntRange(0, len(w.entries)-1).Draw(w.t, "entry")]
}

// changeLeader replaces the leader by one of the next term without state.
func (w *model) changeLeader() {
	w.term++
	w.allocator = NewAllocator(LeaseOptions{})
	var ids []string
	if rapid.Bool().Draw(w.t, "entries known") {
		ids = []string{"e0", "e1", "e2"}
	}
	w.allocator.Lead(w.term, ids, w.now)
	for _, a := range w.minions {
		if rapid.Bool().Draw(w.t, "announced") {
			w.allocator.Announce(a, w.now)
		}
	}
}

// collect records the tickets that the Balancer started.
func (w *model) collect(e *modelEntry) {
	for _, t := range e.balancer.TakeChanged() {
		if t.State() == Started {
			e.running = append(e.running, t)
		}
	}
}

// finishAttempt ends a running request of an entry instance.
func (w *model) finishAttempt(e *modelEntry, i int, o Outcome) {
	t := e.running[i]
	e.running = append(e.running[:i:i], e.running[i+1:]...)
	e.balancer.Finish(t, o, w.clock(e))
	w.collect(e)
}

// advance moves the time forward and times out requests past their deadline.
func (w *model) advance(step time.Duration) {
	w.now += step
	for _, e := range w.entries {
		for i := 0; i < len(e.running); {
			if w.clock(e) < e.running[i].Deadline {
				i++
				continue
			}
			w.finishAttempt(e, i, TimedOut)
		}
	}
}

// check asserts that no minion has more requests in flight than slots.
func (w *model) check(t *rapid.T) {
	count := make(map[string]int)
	for _, e := range w.entries {
		for _, m := range e.balancer.minions {
			m.expireLingering(w.clock(e))
			count[m.Minion] += m.inFlight()
		}
	}
	for _, o := range w.orphans {
		if w.now < o.until {
			count[o.minion]++
		}
	}
	for _, m := range w.minions {
		if count[m.Minion] > m.Slots {
			t.Fatalf("%s has %d requests in flight on %d slots", m.Minion, count[m.Minion], m.Slots)
		}
	}
}

// actions returns the random actions by name. rapid calls the one without a name after
// every action; it checks the invariant. exchange2 and submit2 double the frequency of
// exchange and submit. "demand" sends a slot request into the network.
func (w *model) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":        w.check,
		"advance": func(t *rapid.T) { w.advance(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond) },
		"sleep":   func(t *rapid.T) { w.advance(time.Duration(rapid.IntRange(1, 9).Draw(t, "s")) * time.Second) },
		"demand": func(*rapid.T) {
			e := w.drawEntry()
			w.requests = append(w.requests, e.balancer.NextSlotRequest(w.clock(e)))
		},
		"exchange":  w.exchange,
		"exchange2": w.exchange,
		"toLeader":  w.toLeader,
		"toEntry":   w.toEntry,
		"submit":    w.submit,
		"submit2":   w.submit,
		"finish":    w.finish,
		"announce": func(t *rapid.T) {
			a := w.minions[rapid.IntRange(0, len(w.minions)-1).Draw(t, "minion")]
			w.allocator.Announce(a, w.now)
			e := w.drawEntry()
			e.balancer.Announce(a, w.clock(e))
			w.collect(e)
		},
		"restart": w.restart,
		"leader": func(t *rapid.T) {
			if rapid.IntRange(0, 3).Draw(t, "rarely") == 0 {
				w.changeLeader()
			}
		},
		"drain": func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "rarely") == 0 {
				w.drawEntry().balancer.StopAccepting()
			}
		},
	}
}

// exchange delivers a slot request and its response without faults.
func (w *model) exchange(*rapid.T) {
	e := w.drawEntry()
	resp, err := w.allocator.Allocate(e.balancer.NextSlotRequest(w.clock(e)), w.now)
	if err != nil {
		return
	}
	w.deliverResponse(e, resp)
}

// deliverResponse delivers a slot response to an entry process.
func (w *model) deliverResponse(e *modelEntry, resp SlotResponse) {
	e.balancer.HandleSlotResponse(resp, w.clock(e))
	w.collect(e)
	w.granted += e.balancer.GrantedSlots()
}

// toLeader delivers any earlier slot request to the leader. The request stays
// in the network, so that it may be delivered again.
func (w *model) toLeader(t *rapid.T) {
	if len(w.requests) == 0 {
		t.Skip()
	}
	req := w.requests[rapid.IntRange(0, len(w.requests)-1).Draw(t, "request")]
	resp, err := w.allocator.Allocate(req, w.now)
	if err != nil {
		return
	}
	for i, e := range w.entries {
		if e.id == req.Entry {
			w.responses = append(w.responses, modelResponse{to: i, incarnation: req.Incarnation, resp: resp})
		}
	}
}

// toEntry delivers any earlier slot response to the process that requested it.
func (w *model) toEntry(t *rapid.T) {
	if len(w.responses) == 0 {
		t.Skip()
	}
	pending := w.responses[rapid.IntRange(0, len(w.responses)-1).Draw(t, "response")]
	e := w.entries[pending.to]
	if e.incarnation == pending.incarnation {
		w.deliverResponse(e, pending.resp)
	}
}

// submit submits a burst of requests to an entry instance.
func (w *model) submit(t *rapid.T) {
	e := w.drawEntry()
	left := time.Duration(rapid.IntRange(1, 12).Draw(t, "deadline")) * time.Second
	for range rapid.IntRange(1, 4).Draw(t, "burst") {
		now := w.clock(e)
		e.balancer.Submit(Request{Service: "s", Customer: "c", Deadline: now + left}, now)
	}
	w.collect(e)
}

// finish ends a running request with a random outcome.
func (w *model) finish(t *rapid.T) {
	e := w.drawEntry()
	if len(e.running) == 0 {
		t.Skip()
	}
	outcomes := []Outcome{Answered, Answered, Broken, Abandoned, AnsweredFailure}
	o := outcomes[rapid.IntRange(0, len(outcomes)-1).Draw(t, "outcome")]
	w.finishAttempt(e, rapid.IntRange(0, len(e.running)-1).Draw(t, "which"), o)
}

// restart replaces the process of an entry instance. Minions stop working on the
// old process's requests within restartLinger.
func (w *model) restart(t *rapid.T) {
	e := w.drawEntry()
	for _, r := range e.running {
		w.orphans = append(w.orphans, orphan{minion: r.minion.Minion, until: w.now + restartLinger})
	}
	w.start(e)
}

// Guards against two entry instances that use the same slot of a minion, so that the
// minion has more requests in flight than slots. Messages are lost, duplicated and
// delayed, entry processes restart and drain, and leaders are replaced, in any order.
func TestInFlightNeverExceedsSlots(t *testing.T) {
	granted := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newModel(t)
		t.Repeat(w.actions())
		granted += w.granted
	})
	if granted == 0 {
		t.Fatal("no run granted any slot")
	}
}
