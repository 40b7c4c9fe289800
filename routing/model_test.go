package routing

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// model simulates a leader, entry instances and minions, and a network that loses,
// duplicates and delays messages. requests and responses keep every message, so that a
// message may be delivered several times; a message that is never delivered is lost.
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
	// granted is the sum, over all delivered responses, of the slots granted after the
	// response. The test fails if it is 0 in all runs.
	granted int
}

// modelEntry is an entry instance of the model.
type modelEntry struct {
	id          string
	incarnation uint64
	// clockRate is the rate of the process's clock relative to the leader's.
	clockRate float64
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
	m := &model{t: t, now: time.Minute, allocator: NewAllocator(LeaseOptions{})}
	for i := range 3 {
		a := Announcement{Minion: fmt.Sprint("m", i), Service: "s", Address: "a", Slots: 3, Incarnation: 1}
		m.minions = append(m.minions, a)
	}
	for i := range 3 {
		m.entries = append(m.entries, &modelEntry{id: fmt.Sprint("e", i)})
		m.start(m.entries[i])
	}
	m.changeLeader()
	return m
}

// start starts a new process of an entry instance. Its clock has its own origin
// and is up to 0.8 % too fast or too slow.
func (m *model) start(e *modelEntry) {
	e.incarnation++
	e.startedAt = m.now
	e.clockRate = 1 + float64(rapid.IntRange(-8, 8).Draw(m.t, "rate"))/1000
	e.balancer = NewBalancer(Options{Entry: e.id, Incarnation: e.incarnation, Seed: e.incarnation})
	e.running = nil
}

// clock returns the time on the clock of an entry process.
func (m *model) clock(e *modelEntry) time.Duration {
	return time.Duration(float64(m.now-e.startedAt) * e.clockRate)
}

// drawEntry returns a random entry instance.
func (m *model) drawEntry() *modelEntry {
	return m.entries[rapid.IntRange(0, len(m.entries)-1).Draw(m.t, "entry")]
}

// changeLeader replaces the leader by a new one, which has the next term and no state.
func (m *model) changeLeader() {
	m.term++
	m.allocator = NewAllocator(LeaseOptions{})
	var ids []string
	if rapid.Bool().Draw(m.t, "entries known") {
		ids = []string{"e0", "e1", "e2"}
	}
	m.allocator.Lead(m.term, ids, m.now)
	for _, a := range m.minions {
		if rapid.Bool().Draw(m.t, "announced") {
			m.allocator.Announce(a, m.now)
		}
	}
}

// collect records the tickets that the Balancer started.
func (m *model) collect(e *modelEntry) {
	for _, t := range e.balancer.TakeChanged() {
		if t.State() == Started {
			e.running = append(e.running, t)
		}
	}
}

// finishAttempt ends a running request of an entry instance.
func (m *model) finishAttempt(e *modelEntry, i int, o Outcome) {
	t := e.running[i]
	e.running = append(e.running[:i:i], e.running[i+1:]...)
	e.balancer.Finish(t, o, m.clock(e))
	m.collect(e)
}

// advance moves the time forward and times out requests past their deadline.
func (m *model) advance(step time.Duration) {
	m.now += step
	for _, e := range m.entries {
		for i := 0; i < len(e.running); {
			if m.clock(e) < e.running[i].Deadline {
				i++
				continue
			}
			m.finishAttempt(e, i, TimedOut)
		}
	}
}

// check asserts that no minion has more requests in flight than slots.
func (m *model) check(t *rapid.T) {
	count := make(map[string]int)
	for _, e := range m.entries {
		for _, minion := range e.balancer.minions {
			minion.expireLingering(m.clock(e))
			count[minion.Minion] += minion.inFlight()
		}
	}
	for _, o := range m.orphans {
		if m.now < o.until {
			count[o.minion]++
		}
	}
	for _, minion := range m.minions {
		if count[minion.Minion] > minion.Slots {
			t.Fatalf("%s has %d requests in flight on %d slots", minion.Minion, count[minion.Minion], minion.Slots)
		}
	}
}

// actions returns the random actions by name. rapid calls the action with the empty name,
// which checks the invariant, after every other action. exchange2 and submit2 double the
// frequency of exchange and submit. "demand" sends a slot request into the network.
func (m *model) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":        m.check,
		"advance": func(t *rapid.T) { m.advance(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond) },
		"sleep":   func(t *rapid.T) { m.advance(time.Duration(rapid.IntRange(1, 9).Draw(t, "s")) * time.Second) },
		"demand": func(*rapid.T) {
			e := m.drawEntry()
			m.requests = append(m.requests, e.balancer.NextSlotRequest(m.clock(e)))
		},
		"exchange":  m.exchange,
		"exchange2": m.exchange,
		"toLeader":  m.deliverToLeader,
		"toEntry":   m.deliverToEntry,
		"submit":    m.submit,
		"submit2":   m.submit,
		"finish":    m.finish,
		"announce": func(t *rapid.T) {
			a := m.minions[rapid.IntRange(0, len(m.minions)-1).Draw(t, "minion")]
			m.allocator.Announce(a, m.now)
			e := m.drawEntry()
			e.balancer.Announce(a, m.clock(e))
			m.collect(e)
		},
		"restart": m.restart,
		"leader": func(t *rapid.T) {
			if rapid.IntRange(0, 3).Draw(t, "rarely") == 0 {
				m.changeLeader()
			}
		},
		"drain": func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "rarely") == 0 {
				m.drawEntry().balancer.StopAccepting()
			}
		},
	}
}

// exchange delivers a slot request and its response without faults.
func (m *model) exchange(*rapid.T) {
	e := m.drawEntry()
	resp, err := m.allocator.Allocate(e.balancer.NextSlotRequest(m.clock(e)), m.now)
	if err != nil {
		return
	}
	m.deliverResponse(e, resp)
}

// deliverResponse delivers a slot response to an entry process.
func (m *model) deliverResponse(e *modelEntry, resp SlotResponse) {
	e.balancer.HandleSlotResponse(resp, m.clock(e))
	m.collect(e)
	m.granted += e.balancer.GrantedSlots()
}

// deliverToLeader delivers a random earlier slot request to the leader. The request
// stays in the network, so that it may be delivered again.
func (m *model) deliverToLeader(t *rapid.T) {
	if len(m.requests) == 0 {
		t.Skip()
	}
	req := m.requests[rapid.IntRange(0, len(m.requests)-1).Draw(t, "request")]
	resp, err := m.allocator.Allocate(req, m.now)
	if err != nil {
		return
	}
	for i, e := range m.entries {
		if e.id == req.Entry {
			m.responses = append(m.responses, modelResponse{to: i, incarnation: req.Incarnation, resp: resp})
		}
	}
}

// deliverToEntry delivers a random earlier slot response to the process that requested it.
func (m *model) deliverToEntry(t *rapid.T) {
	if len(m.responses) == 0 {
		t.Skip()
	}
	pending := m.responses[rapid.IntRange(0, len(m.responses)-1).Draw(t, "response")]
	e := m.entries[pending.to]
	if e.incarnation == pending.incarnation {
		m.deliverResponse(e, pending.resp)
	}
}

// submit submits a burst of requests to an entry instance.
func (m *model) submit(t *rapid.T) {
	e := m.drawEntry()
	untilDeadline := time.Duration(rapid.IntRange(1, 12).Draw(t, "deadline")) * time.Second
	for range rapid.IntRange(1, 4).Draw(t, "burst") {
		now := m.clock(e)
		e.balancer.Submit(Request{Service: "s", Customer: "c", Deadline: now + untilDeadline}, now)
	}
	m.collect(e)
}

// finish ends a running request with a random outcome.
func (m *model) finish(t *rapid.T) {
	e := m.drawEntry()
	if len(e.running) == 0 {
		t.Skip()
	}
	outcomes := []Outcome{Answered, Answered, Broken, Abandoned, AnsweredFailure}
	o := outcomes[rapid.IntRange(0, len(outcomes)-1).Draw(t, "outcome")]
	m.finishAttempt(e, rapid.IntRange(0, len(e.running)-1).Draw(t, "which"), o)
}

// restart replaces the process of an entry instance. Minions stop working on the
// old process's requests within restartLinger.
func (m *model) restart(t *rapid.T) {
	e := m.drawEntry()
	for _, r := range e.running {
		m.orphans = append(m.orphans, orphan{minion: r.minion.Minion, until: m.now + restartLinger})
	}
	m.start(e)
}

// Guards against two entry instances that use the same slot of a minion, so that the
// minion has more requests in flight than slots. Messages are lost, duplicated and
// delayed, entry processes restart and drain, and leaders are replaced, in any order.
func TestInFlightNeverExceedsSlots(t *testing.T) {
	granted := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(m.actions())
		granted += m.granted
	})
	if granted == 0 {
		t.Fatal("no run granted any slot")
	}
}
