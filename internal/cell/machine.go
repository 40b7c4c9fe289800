// Package cell implements bilberry-celld: a replica of its data centre's log and, on a
// configuration voter, of the configuration log. The leader of the data centre admits
// jobs, places tasks and grants leases.
package cell

import (
	"sync"

	"github.com/bilberryferry/bilberryferry/hlc"
	"github.com/bilberryferry/bilberryferry/internal/event"
	"github.com/bilberryferry/bilberryferry/internal/state"
)

// StateMachine is the state machine of a data centre's log. It is safe for concurrent use.
type StateMachine struct {
	mu    sync.RWMutex
	state *state.State
	// changed is closed and replaced after each applied command.
	changed chan struct{}
	// collecting is true while this replica leads and its caches need the changes.
	collecting bool
	// pending holds the changes since the last call of TakeChanges.
	pending state.Changes
	events  *event.Recorder
}

// NewStateMachine returns the state machine of a data centre without jobs and workers.
func NewStateMachine(dataCentre string, events *event.Recorder) *StateMachine {
	return &StateMachine{state: state.New(dataCentre), changed: make(chan struct{}), events: events}
}

// Apply applies one committed command and returns its state.Result. It panics if it can't
// decode the command.
func (m *StateMachine) Apply(index uint64, data []byte) any {
	command, err := state.Decode(data)
	if err != nil {
		// A newer version of the program wrote this command, which is committed. Skipping
		// it would let the replicas diverge.
		panic("cell: " + err.Error())
	}
	m.mu.Lock()
	result := m.state.Apply(index, command)
	m.publishChanges(command)
	close(m.changed)
	m.changed = make(chan struct{})
	// Not deferred: after a panic the state may hold a part of the command, which nobody may read.
	m.mu.Unlock()
	return result
}

// publishChanges passes the changes of one command to the leader's caches and to the
// event timeline. Every replica records the same events under the proposer's timestamp,
// so that they survive the loss of the instance that proposed the command. m.mu must be
// held.
func (m *StateMachine) publishChanges(command *state.Command) {
	c := m.state.TakeChanges()
	timestamp := hlc.Timestamp{Wall: command.Now, Logical: command.Logical}
	for _, e := range c.Events {
		m.events.RecordAt(timestamp, command.Proposer, e.Kind, e.Detail, e.Subjects...)
	}
	if !m.collecting {
		return
	}
	mergeChanges(&m.pending, c)
}

func mergeChanges(into *state.Changes, c state.Changes) {
	into.Placed = append(into.Placed, c.Placed...)
	into.Unplaced = append(into.Unplaced, c.Unplaced...)
	into.Stops = append(into.Stops, c.Stops...)
	into.Samples = append(into.Samples, c.Samples...)
	into.AttemptResults = append(into.AttemptResults, c.AttemptResults...)
	into.QuotaChanged = into.QuotaChanged || c.QuotaChanged
	for id := range c.ChangedJobs {
		into.ChangedJobs[id] = struct{}{}
	}
	for id := range c.Workers {
		into.Workers[id] = struct{}{}
	}
}

// Snapshot encodes the state.
func (m *StateMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Encode()
}

// Restore replaces the state by that of a snapshot.
func (m *StateMachine) Restore(data []byte) error {
	s, err := state.DecodeState(data)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = s
	m.pending = emptyChanges()
	close(m.changed)
	m.changed = make(chan struct{})
	return nil
}

func emptyChanges() state.Changes {
	return state.Changes{ChangedJobs: make(map[string]struct{}), Workers: make(map[string]struct{})}
}

// View calls f with the state under a read lock. f must neither keep nor change it.
func (m *StateMachine) View(f func(*state.State)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	f(m.state)
}

// Changed returns a channel that is closed when the next command is applied.
func (m *StateMachine) Changed() <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.changed
}

// Collect begins to collect changes and calls f with the state at that point. No change
// is lost between the two, since both happen under the lock.
func (m *StateMachine) Collect(f func(*state.State)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.collecting = true
	m.pending = emptyChanges()
	f(m.state)
}

// StopCollecting drops the collected changes and collects no more.
func (m *StateMachine) StopCollecting() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.collecting = false
	m.pending = emptyChanges()
}

// TakeChanges returns the changes collected since the last call.
func (m *StateMachine) TakeChanges() state.Changes {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.pending
	m.pending = emptyChanges()
	return c
}
