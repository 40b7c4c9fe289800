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
	// minClockRate is the lowest rate of a worker's clock, in thousandths of the
	// rate of the leader's clock. A clock of this rate loses almost drift over
	// ttl+drift. maxClockRate is the highest rate.
	minClockRate = 834
	maxClockRate = 1200
	// perMille is the rate of the leader's clock, in thousandths.
	perMille = 1000

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
	// rate is the rate of the process's clock, in thousandths.
	rate     time.Duration
	holder   lease.Holder
	guard    *lease.Guard
	sequence uint64
	paused   bool
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
	w := &model{
		t: t, records: map[lease.Attempt]*record{}, announcedIncarnations: map[int]uint64{},
		started: map[lease.Attempt]bool{}, lastAttempt: make([]int32, modelTasks), eventCounts: eventCounts,
	}
	for range rapid.IntRange(1, maxWorkers).Draw(t, "workers") {
		w.workers = append(w.workers, nil)
		w.restart(len(w.workers) - 1)
	}
	w.changeLeader()
	return w
}

// clock returns the time on a worker's monotonic clock.
func (w *model) clock(p *process) time.Duration { return w.now * p.rate / perMille }

// restart replaces the process of a worker. The tasks of the old process end with it.
func (w *model) restart(i int) {
	incarnation := uint64(1)
	if old := w.workers[i]; old != nil {
		incarnation = old.guard.Incarnation() + 1
	}
	w.lastProcessID++
	rate := rapid.IntRange(minClockRate, maxClockRate).Draw(w.t, "rate")
	w.workers[i] = &process{
		id: w.lastProcessID, rate: time.Duration(rate),
		guard: lease.NewGuard(incarnation), reports: map[lease.Attempt]string{},
	}
}

// changeLeader starts a new leader, which has only the committed state.
func (w *model) changeLeader() {
	w.term++
	w.clockOrigin = time.Duration(rapid.IntRange(0, maxClockOriginMillis).Draw(w.t, "origin")) * time.Millisecond
	w.table = lease.NewTable(ttl, drift)
	w.outboxes = map[int]*lease.Outbox[command]{}
	w.outboxIncarnation = map[int]uint64{}
	w.table.TakeOver(w.ownerNow(), workerNames(len(w.workers)))
	for i, incarnation := range w.announcedIncarnations {
		w.table.RecordIncarnation(workerNames(maxWorkers)[i], incarnation)
	}
}

// ownerNow returns the time on the leader's monotonic clock.
func (w *model) ownerNow() time.Duration { return w.now + w.clockOrigin }

// send puts a message into the network.
func (w *model) send(m message) { w.network = append(w.network, m) }

// renew sends a renewal of worker i.
func (w *model) renew(i int) {
	p := w.workers[i]
	p.sequence++
	p.holder.RecordSent(p.sequence, w.clock(p))
	w.send(message{
		kind: "renewal", worker: i, process: p.id, incarnation: p.guard.Incarnation(),
		sequence: p.sequence, position: p.guard.Position(),
	})
}

// valid reports whether the worker holds its lease. If the lease has expired, the
// worker stops all tasks and takes a higher incarnation.
func (w *model) valid(p *process) bool {
	valid := p.holder.Valid(w.clock(p))
	if p.holder.Expired() {
		w.eventCounts["lease expired"]++
		w.endIncarnation(p)
	}
	return valid
}

// endIncarnation stops all tasks of a worker and takes a higher incarnation.
func (w *model) endIncarnation(p *process) {
	for _, a := range p.guard.Running() {
		p.reports[a] = "ended"
	}
	p.guard.Restart(p.guard.Incarnation() + 1)
	p.holder.Reset()
}

// step lets every running task of a worker perform a step, and asserts that the task's
// attempt is still committed as assigned, so that it doesn't run elsewhere.
func (w *model) step(p *process) {
	if !w.valid(p) {
		return
	}
	for _, a := range p.guard.Running() {
		w.eventCounts["step"]++
		if state := w.records[a].state; state != "assigned" {
			w.t.Fatalf("%v runs a step after the owner committed it as %s", a, state)
		}
	}
}

// deliver delivers a message to its receiver.
func (w *model) deliver(m message) {
	p := w.workers[m.worker]
	switch m.kind {
	case "renewal":
		w.handleRenewal(m)
	case "report":
		w.handleReport(m)
	case "response":
		if m.process == p.id {
			w.handleResponse(p, m)
		}
	case "acknowledgement":
		if m.process == p.id && m.incarnation == p.guard.Incarnation() {
			p.guard.Acknowledge([]lease.Attempt{m.attempt}, m.position)
		}
		if m.process == p.id {
			delete(p.reports, m.attempt)
		}
	}
}

// handleRenewal handles a renewal at the leader.
func (w *model) handleRenewal(m message) {
	name := workerNames(maxWorkers)[m.worker]
	r := w.table.Renew(name, m.incarnation, m.sequence, w.ownerNow())
	if r.Accepted && w.outboxIncarnation[m.worker] != m.incarnation {
		w.announcedIncarnations[m.worker] = max(w.announcedIncarnations[m.worker], m.incarnation)
		w.outboxIncarnation[m.worker] = m.incarnation
		w.outboxes[m.worker] = lease.NewOutbox[command](w.term, m.incarnation)
		w.resend(m.worker)
	}
	w.commitLost()
	response := message{
		kind: "response", worker: m.worker, process: m.process, incarnation: m.incarnation,
		sequence: m.sequence, granted: r.Grants(), ended: r.Ended, position: lease.Position{Term: w.term},
	}
	if r.Accepted {
		outbox := w.outboxes[m.worker]
		outbox.Acknowledge(m.position)
		response.commands = slices.Clone(outbox.Pending(maxCommands))
	}
	w.send(response)
}

// resend adds start or stop commands for the latest attempts that were assigned to a
// worker, because a new leader doesn't know which commands arrived.
func (w *model) resend(i int) {
	for task := range w.lastAttempt {
		a := w.latestAttempt(task)
		if r := w.records[a]; r != nil && r.worker == i {
			w.addCommand(a, command{stop: uniform(3).Draw(w.t, "stop") == 0, attempt: a})
		}
	}
}

// latestAttempt returns the newest attempt of a task. Only this attempt may be in the
// state "assigned".
func (w *model) latestAttempt(task int) lease.Attempt {
	return lease.Attempt{Job: "j", Task: int32(task), Attempt: w.lastAttempt[task]}
}

// addCommand adds a command for an assigned attempt to the outbox of its worker if the
// outbox is for the incarnation to which the attempt was assigned.
func (w *model) addCommand(a lease.Attempt, c command) {
	r := w.records[a]
	if r.state == "assigned" && w.outboxIncarnation[r.worker] == r.incarnation {
		w.outboxes[r.worker].Add(c)
	}
}

// commitLost commits the attempts of fenced incarnations as lost, so that their
// tasks can start elsewhere.
func (w *model) commitLost() {
	for _, r := range w.records {
		if r.state == "assigned" && w.table.Fenced(workerNames(maxWorkers)[r.worker], r.incarnation) {
			w.eventCounts["lost"]++
			r.state = "lost"
		}
	}
}

// handleReport handles a report at the leader and acknowledges it.
func (w *model) handleReport(m message) {
	r := w.records[m.attempt]
	if r.state == "assigned" {
		r.state = m.outcome
	}
	if m.outcome == "not started" && w.started[m.attempt] {
		w.t.Fatalf("%v was reported as not started, but it was started", m.attempt)
	}
	ack := message{
		kind: "acknowledgement", worker: m.worker, process: m.process,
		incarnation: m.incarnation, attempt: m.attempt, position: lease.Position{Term: w.term},
	}
	if w.outboxIncarnation[m.worker] == m.incarnation {
		ack.position = w.outboxes[m.worker].Position()
	}
	w.send(ack)
}

// handleResponse handles the response to a renewal at the worker.
func (w *model) handleResponse(p *process, m message) {
	if p.guard.ObserveTerm(m.position.Term) != nil {
		return
	}
	if m.ended && m.incarnation == p.guard.Incarnation() {
		w.endIncarnation(p)
		return
	}
	if m.granted {
		p.holder.RecordGranted(m.sequence, ttl, w.clock(p))
	}
	if !w.valid(p) {
		return
	}
	for _, c := range m.commands {
		w.handleCommand(p, c)
	}
}

// handleCommand executes a command if the guard permits it.
func (w *model) handleCommand(p *process, c lease.NumberedCommand[command]) {
	a := c.Body.attempt
	if c.Body.stop {
		result, err := p.guard.Stop(c.Header, a)
		if err != nil {
			return
		}
		if result == lease.StopBeforeStart {
			w.eventCounts["not started"]++
			p.reports[a] = "not started"
		}
		if result == lease.StopRunning {
			w.end(p, a)
		}
		return
	}
	err := p.guard.Start(c.Header, a)
	var refusal lease.Refusal
	if errors.As(err, &refusal) {
		w.eventCounts[refusal.Error()]++
		return
	}
	if w.started[a] {
		w.t.Fatalf("%v is started twice", a)
	}
	if state := w.records[a].state; state != "assigned" {
		w.t.Fatalf("%v is started after the owner committed it as %s", a, state)
	}
	w.started[a] = true
	w.eventCounts["start"]++
}

// end ends a running attempt.
func (w *model) end(p *process, a lease.Attempt) {
	must.NoError(w.t, p.guard.End(a))
	p.reports[a] = "ended"
}

// assign commits a new attempt of a random task on a random worker, unless the task
// has an assigned attempt or the worker isn't live.
func (w *model) assign() {
	task := uniform(len(w.lastAttempt)).Draw(w.t, "task")
	i := uniform(len(w.workers)).Draw(w.t, "worker")
	last := w.records[w.latestAttempt(task)]
	if (last != nil && last.state == "assigned") || !w.table.Live(workerNames(maxWorkers)[i], w.ownerNow()) {
		return
	}
	incarnation, _ := w.table.Incarnation(workerNames(maxWorkers)[i])
	w.lastAttempt[task]++
	a := w.latestAttempt(task)
	w.records[a] = &record{worker: i, incarnation: incarnation, state: "assigned"}
	w.addCommand(a, command{attempt: a})
}

// act performs one random action.
func (w *model) act() {
	i := uniform(len(w.workers)).Draw(w.t, "worker")
	p := w.workers[i]
	switch action := uniform(100).Draw(w.t, "action"); {
	case action < 12:
		w.now += time.Duration(uniform(maxStepMillis).Draw(w.t, "ms")) * time.Millisecond
	case action < 50:
		w.takeMessage()
	case action < 58:
		w.assign()
	case action < 64:
		a := w.latestAttempt(uniform(len(w.lastAttempt)).Draw(w.t, "task"))
		if w.records[a] != nil {
			w.addCommand(a, command{stop: action >= 61, attempt: a})
		}
	case action < 69:
		w.table.Expired(w.ownerNow())
		w.commitLost()
	case action < 70:
		w.changeLeader()
	case action < 72:
		p.paused = !p.paused
	case action < 73:
		w.restart(i)
	case p.paused:
	case action < 86:
		w.renew(i)
	case action < 92:
		w.step(p)
	case action < 95:
		if running := p.guard.Running(); w.valid(p) && len(running) > 0 {
			w.end(p, running[0])
		}
	default:
		for _, a := range slices.SortedFunc(maps.Keys(p.reports), lease.Attempt.Compare) {
			w.send(message{
				kind: "report", worker: i, process: p.id,
				incarnation: p.guard.Incarnation(), attempt: a, outcome: p.reports[a],
			})
		}
	}
}

// takeMessage loses, duplicates or delivers a message in the network, more often the
// newest than another one.
func (w *model) takeMessage() {
	if len(w.network) == 0 {
		return
	}
	i := len(w.network) - 1
	if uniform(3).Draw(w.t, "late") == 2 {
		i = uniform(i+1).Draw(w.t, "message")
	}
	m := w.network[i]
	toWorker := m.kind == "response" || m.kind == "acknowledgement"
	if toWorker && w.workers[m.worker].paused {
		return
	}
	delivery := uniform(10).Draw(w.t, "delivery")
	if delivery >= 3 {
		w.network = slices.Delete(w.network, i, i+1)
	}
	if delivery > 0 && delivery < 9 {
		w.deliver(m)
	}
}

// Guards against a task that runs in two places, and against an attempt that is
// reported as not started although it ran. Workers pause and restart and leaders
// change in any order, while messages are lost, duplicated, delayed and reordered and
// clocks diverge within drift.
func TestAttemptNeverRunsTwice(t *testing.T) {
	eventCounts := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := newModel(t, eventCounts)
		for range actionsPerRun {
			w.act()
		}
	})
	t.Log(eventCounts)
}
