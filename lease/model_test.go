package lease_test

import (
	"errors"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/bilberryferry/bilberryferry/lease"
)

const (
	ttl   = 10 * time.Second
	drift = 2 * time.Second
	// minClockRatePerMille is the lowest rate of a worker's clock, in thousandths of the
	// rate of the leader's clock. A clock of this rate loses almost drift over
	// ttl+drift. maxClockRatePerMille is the highest rate.
	minClockRatePerMille = 834
	maxClockRatePerMille = 1200
	// leaderClockRatePerMille is the rate of the leader's clock, in thousandths.
	leaderClockRatePerMille = 1000

	// maxWorkers and modelTasks are the largest number of workers and the number of
	// tasks in the model.
	maxWorkers = 3
	modelTasks = 3
	// maxCommands is the largest number of commands in a response.
	maxCommands = 4
	// maxClockOriginMillis and maxStepMillis bound the origin of a leader's clock
	// and one step of the simulated time, in milliseconds.
	maxClockOriginMillis = 100000
	maxStepMillis        = 1500
	actionsPerRun        = 400
)

// command is the body of a command.
type command struct {
	stop    bool
	attempt lease.Attempt
}

// message is a message in flight. kind is "renewal", "response", "report" or
// "acknowledgement", and determines which of the other fields are set.
type message struct {
	kind        string
	worker      int
	process     int
	incarnation uint64
	sequence    uint64
	position    lease.Position
	granted     bool
	ended       bool
	commands    []lease.NumberedCommand[command]
	attempt     lease.Attempt
	outcome     string
}

// process is one process of a worker.
type process struct {
	id int
	// clockRatePerMille is the rate of the process's clock, in thousandths.
	clockRatePerMille time.Duration
	holder            lease.Holder
	guard             *lease.Guard
	sequence          uint64
	paused            bool
	// reports are the outcomes that the owner has not acknowledged.
	reports map[lease.Attempt]string
}

// record is the committed state of one attempt: "assigned", "ended", "not started" or
// "lost".
type record struct {
	worker      int
	incarnation uint64
	state       string
}

// model simulates a leader, workers and the network. A new leader keeps the committed
// state (records, lastAttempt and announcedIncarnations) and loses the rest.
type model struct {
	t             *rapid.T
	now           time.Duration
	workers       []*process
	lastProcessID int
	network       []message

	term uint64
	// clockOrigin is the reading of the leader's clock at simulated time 0.
	clockOrigin           time.Duration
	table                 *lease.Table
	outboxes              map[int]*lease.Outbox[command]
	outboxIncarnation     map[int]uint64
	records               map[lease.Attempt]*record
	lastAttempt           []int32
	announcedIncarnations map[int]uint64
	// started has the attempts that a worker has started.
	started map[lease.Attempt]bool
	// eventCounts has the number of simulated events by their names, for the log.
	eventCounts map[string]int
}

// uniform draws from [0, n) without the bias of rapid's ranges towards small
// values, which would leave out most actions of the model.
func uniform(n int) *rapid.Generator[int] {
	const bits = 12
	return rapid.Custom(func(t *rapid.T) int {
		value := 0
		for range bits {
			value <<= 1
			if rapid.Bool().Draw(t, "bit") {
				value++
			}
		}
		return value % n
	})
}

// workerNames returns the names of the first n workers.
func workerNames(n int) []string {
	return []string{"w0", "w1", "w2"}[:n]
}

// newModel returns a model with one to three workers and a leader.
func newModel(t *rapid.T, eventCounts map[string]int) *model {
	m := &model{
		t: t, records: map[lease.Attempt]*record{}, announcedIncarnations: map[int]uint64{},
		started: map[lease.Attempt]bool{}, lastAttempt: make([]int32, modelTasks), eventCounts: eventCounts,
	}
	for range rapid.IntRange(1, maxWorkers).Draw(t, "workers") {
		m.workers = append(m.workers, nil)
		m.restart(len(m.workers) - 1)
	}
	m.changeLeader()
	return m
}

// clock returns the time on a worker's monotonic clock.
func (m *model) clock(p *process) time.Duration {
	return m.now * p.clockRatePerMille / leaderClockRatePerMille
}

// restart replaces the process of a worker. The tasks of the old process end with it.
func (m *model) restart(i int) {
	incarnation := uint64(1)
	if old := m.workers[i]; old != nil {
		incarnation = old.guard.Incarnation() + 1
	}
	m.lastProcessID++
	rate := rapid.IntRange(minClockRatePerMille, maxClockRatePerMille).Draw(m.t, "rate")
	m.workers[i] = &process{
		id: m.lastProcessID, clockRatePerMille: time.Duration(rate),
		guard: lease.NewGuard(incarnation), reports: map[lease.Attempt]string{},
	}
}

// changeLeader starts a new leader, which has only the committed state.
func (m *model) changeLeader() {
	m.term++
	m.clockOrigin = time.Duration(rapid.IntRange(0, maxClockOriginMillis).Draw(m.t, "origin")) * time.Millisecond
	m.table = lease.NewTable(ttl, drift)
	m.outboxes = map[int]*lease.Outbox[command]{}
	m.outboxIncarnation = map[int]uint64{}
	m.table.TakeOver(m.leaderNow(), workerNames(len(m.workers)))
	for i, incarnation := range m.announcedIncarnations {
		m.table.RecordIncarnation(workerNames(maxWorkers)[i], incarnation)
	}
}

// leaderNow returns the time on the leader's monotonic clock.
func (m *model) leaderNow() time.Duration { return m.now + m.clockOrigin }

// send puts a message into the network.
func (m *model) send(msg message) { m.network = append(m.network, msg) }

// renew sends a renewal of worker i.
func (m *model) renew(i int) {
	p := m.workers[i]
	p.sequence++
	p.holder.RecordSent(p.sequence, m.clock(p))
	m.send(message{
		kind: "renewal", worker: i, process: p.id, incarnation: p.guard.Incarnation(),
		sequence: p.sequence, position: p.guard.Position(),
	})
}

// valid reports whether the worker holds its lease. If the lease has expired, the
// worker stops all tasks and takes a higher incarnation.
func (m *model) valid(p *process) bool {
	valid := p.holder.Valid(m.clock(p))
	if p.holder.Expired() {
		m.eventCounts["lease expired"]++
		m.endIncarnation(p)
	}
	return valid
}

// endIncarnation stops all tasks of a worker and takes a higher incarnation.
func (m *model) endIncarnation(p *process) {
	for _, a := range p.guard.Running() {
		p.reports[a] = "ended"
	}
	p.guard.Restart(p.guard.Incarnation() + 1)
	p.holder.Reset()
}

// step lets every running task of a worker perform a step, and asserts that the task's
// attempt is still committed as assigned, so that it doesn't run elsewhere.
func (m *model) step(p *process) {
	if !m.valid(p) {
		return
	}
	for _, a := range p.guard.Running() {
		m.eventCounts["step"]++
		if state := m.records[a].state; state != "assigned" {
			m.t.Fatalf("%v runs a step after the owner committed it as %s", a, state)
		}
	}
}

// deliver delivers a message to its receiver.
func (m *model) deliver(msg message) {
	p := m.workers[msg.worker]
	switch msg.kind {
	case "renewal":
		m.handleRenewal(msg)
	case "report":
		m.handleReport(msg)
	case "response":
		if msg.process == p.id {
			m.handleResponse(p, msg)
		}
	case "acknowledgement":
		if msg.process == p.id && msg.incarnation == p.guard.Incarnation() {
			p.guard.Acknowledge([]lease.Attempt{msg.attempt}, msg.position)
		}
		if msg.process == p.id {
			delete(p.reports, msg.attempt)
		}
	}
}

// handleRenewal handles a renewal at the leader.
func (m *model) handleRenewal(msg message) {
	name := workerNames(maxWorkers)[msg.worker]
	r := m.table.Renew(name, msg.incarnation, msg.sequence, m.leaderNow())
	if r.Accepted && m.outboxIncarnation[msg.worker] != msg.incarnation {
		m.announcedIncarnations[msg.worker] = max(m.announcedIncarnations[msg.worker], msg.incarnation)
		m.outboxIncarnation[msg.worker] = msg.incarnation
		m.outboxes[msg.worker] = lease.NewOutbox[command](m.term, msg.incarnation)
		m.resend(msg.worker)
	}
	m.commitLostAttempts()
	response := message{
		kind: "response", worker: msg.worker, process: msg.process, incarnation: msg.incarnation,
		sequence: msg.sequence, granted: r.Grants(), ended: r.Ended, position: lease.Position{Term: m.term},
	}
	if r.Accepted {
		outbox := m.outboxes[msg.worker]
		outbox.Acknowledge(msg.position)
		response.commands = slices.Clone(outbox.Pending(maxCommands))
	}
	m.send(response)
}

// resend adds start or stop commands for the latest attempts that were assigned to a
// worker, because a new leader doesn't know which commands arrived.
func (m *model) resend(i int) {
	for task := range m.lastAttempt {
		a := m.latestAttempt(task)
		if r := m.records[a]; r != nil && r.worker == i {
			m.addCommand(a, command{stop: uniform(3).Draw(m.t, "stop") == 0, attempt: a})
		}
	}
}

// latestAttempt returns the newest attempt of a task. Only this attempt may be in the
// state "assigned".
func (m *model) latestAttempt(task int) lease.Attempt {
	return lease.Attempt{Job: "j", Task: int32(task), Attempt: m.lastAttempt[task]}
}

// addCommand adds a command for an assigned attempt to the outbox of its worker if the
// outbox is for the incarnation to which the attempt was assigned.
func (m *model) addCommand(a lease.Attempt, c command) {
	r := m.records[a]
	if r.state == "assigned" && m.outboxIncarnation[r.worker] == r.incarnation {
		m.outboxes[r.worker].Add(c)
	}
}

// commitLostAttempts commits the attempts of fenced incarnations as lost, so that their
// tasks can start elsewhere.
func (m *model) commitLostAttempts() {
	for _, r := range m.records {
		if r.state == "assigned" && m.table.Fenced(workerNames(maxWorkers)[r.worker], r.incarnation) {
			m.eventCounts["lost"]++
			r.state = "lost"
		}
	}
}

// handleReport handles a report at the leader and acknowledges it.
func (m *model) handleReport(msg message) {
	r := m.records[msg.attempt]
	if r.state == "assigned" {
		r.state = msg.outcome
	}
	if msg.outcome == "not started" && m.started[msg.attempt] {
		m.t.Fatalf("%v was reported as not started, but it was started", msg.attempt)
	}
	ack := message{
		kind: "acknowledgement", worker: msg.worker, process: msg.process,
		incarnation: msg.incarnation, attempt: msg.attempt, position: lease.Position{Term: m.term},
	}
	if m.outboxIncarnation[msg.worker] == msg.incarnation {
		ack.position = m.outboxes[msg.worker].Position()
	}
	m.send(ack)
}

// handleResponse handles the response to a renewal at the worker.
func (m *model) handleResponse(p *process, msg message) {
	if p.guard.ObserveTerm(msg.position.Term) != nil {
		return
	}
	if msg.ended && msg.incarnation == p.guard.Incarnation() {
		m.endIncarnation(p)
		return
	}
	if msg.granted {
		p.holder.RecordGranted(msg.sequence, ttl, m.clock(p))
	}
	if !m.valid(p) {
		return
	}
	for _, c := range msg.commands {
		m.handleCommand(p, c)
	}
}

// handleCommand executes a command if the guard permits it.
func (m *model) handleCommand(p *process, c lease.NumberedCommand[command]) {
	a := c.Body.attempt
	if c.Body.stop {
		result, err := p.guard.Stop(c.Header, a)
		if err != nil {
			return
		}
		if result == lease.StopBeforeStart {
			m.eventCounts["not started"]++
			p.reports[a] = "not started"
		}
		if result == lease.StopRunning {
			m.end(p, a)
		}
		return
	}
	err := p.guard.Start(c.Header, a)
	var refusal lease.Refusal
	if errors.As(err, &refusal) {
		m.eventCounts[refusal.Error()]++
		return
	}
	if m.started[a] {
		m.t.Fatalf("%v is started twice", a)
	}
	if state := m.records[a].state; state != "assigned" {
		m.t.Fatalf("%v is started after the owner committed it as %s", a, state)
	}
	m.started[a] = true
	m.eventCounts["start"]++
}

// end ends a running attempt.
func (m *model) end(p *process, a lease.Attempt) {
	must.NoError(m.t, p.guard.End(a))
	p.reports[a] = "ended"
}

// assign commits a new attempt of a random task on a random worker, unless the task
// has an assigned attempt or the worker isn't live.
func (m *model) assign() {
	task := uniform(len(m.lastAttempt)).Draw(m.t, "task")
	i := uniform(len(m.workers)).Draw(m.t, "worker")
	last := m.records[m.latestAttempt(task)]
	if (last != nil && last.state == "assigned") || !m.table.Live(workerNames(maxWorkers)[i], m.leaderNow()) {
		return
	}
	incarnation, _ := m.table.Incarnation(workerNames(maxWorkers)[i])
	m.lastAttempt[task]++
	a := m.latestAttempt(task)
	m.records[a] = &record{worker: i, incarnation: incarnation, state: "assigned"}
	m.addCommand(a, command{attempt: a})
}

// act performs one random action.
func (m *model) act() {
	i := uniform(len(m.workers)).Draw(m.t, "worker")
	p := m.workers[i]
	switch action := uniform(100).Draw(m.t, "action"); {
	case action < 12:
		m.now += time.Duration(uniform(maxStepMillis).Draw(m.t, "ms")) * time.Millisecond
	case action < 50:
		m.takeMessage()
	case action < 58:
		m.assign()
	case action < 64:
		a := m.latestAttempt(uniform(len(m.lastAttempt)).Draw(m.t, "task"))
		if m.records[a] != nil {
			m.addCommand(a, command{stop: action >= 61, attempt: a})
		}
	case action < 69:
		m.table.Expired(m.leaderNow())
		m.commitLostAttempts()
	case action < 70:
		m.changeLeader()
	case action < 72:
		p.paused = !p.paused
	case action < 73:
		m.restart(i)
	case p.paused:
	case action < 86:
		m.renew(i)
	case action < 92:
		m.step(p)
	case action < 95:
		if running := p.guard.Running(); m.valid(p) && len(running) > 0 {
			m.end(p, running[0])
		}
	default:
		for _, a := range slices.SortedFunc(maps.Keys(p.reports), lease.Attempt.Compare) {
			m.send(message{
				kind: "report", worker: i, process: p.id,
				incarnation: p.guard.Incarnation(), attempt: a, outcome: p.reports[a],
			})
		}
	}
}

// takeMessage loses, duplicates or delivers a message in the network. In two of three
// calls it takes the newest message, otherwise a random one.
func (m *model) takeMessage() {
	if len(m.network) == 0 {
		return
	}
	i := len(m.network) - 1
	if uniform(3).Draw(m.t, "late") == 2 {
		i = uniform(i+1).Draw(m.t, "message")
	}
	msg := m.network[i]
	toWorker := msg.kind == "response" || msg.kind == "acknowledgement"
	if toWorker && m.workers[msg.worker].paused {
		return
	}
	delivery := uniform(10).Draw(m.t, "delivery")
	if delivery >= 3 {
		m.network = slices.Delete(m.network, i, i+1)
	}
	if delivery > 0 && delivery < 9 {
		m.deliver(msg)
	}
}

// Guards against a task that runs in two places, and against an attempt that is
// reported as not started although it ran. Workers pause and restart and leaders
// change in any order, while messages are lost, duplicated, delayed and reordered and
// clocks diverge within drift.
func TestAttemptNeverRunsTwice(t *testing.T) {
	eventCounts := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, eventCounts)
		for range actionsPerRun {
			m.act()
		}
	})
	t.Log(eventCounts)
}
