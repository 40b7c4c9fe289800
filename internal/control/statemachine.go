package control

import (
	"fmt"
	"sync"
	"time"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// StateMachine is the state machine of the replicated log. A lock guards its state.
type StateMachine struct {
	mu    sync.Mutex
	state *workflow.State
	// accepted is when this member applied the submission of each job, by its own monotonic
	// clock, or when it restored a snapshot that contained the job. It isn't replicated: the
	// members don't share a clock. A new leader takes the ages of jobs from it.
	accepted map[string]time.Time
	// applied is called with each command after it was applied, without mu held. It must not
	// block.
	applied func(*workflow.Command)
	// configured is called with the version of the configuration when that has changed, without mu
	// held. It must not block.
	configured func(version uint64)
}

// NewStateMachine returns a state machine with an empty state.
func NewStateMachine() *StateMachine {
	return &StateMachine{state: workflow.NewState(), accepted: map[string]time.Time{}, applied: func(*workflow.Command) {}, configured: func(uint64) {}}
}

// Apply applies one committed command and returns its result. It panics if the command
// can't be decoded.
func (m *StateMachine) Apply(index uint64, encoded []byte) any {
	command, err := workflow.Decode(encoded)
	if err != nil {
		// Every member applies the same bytes. A member that skipped them would diverge
		// from the others.
		panic(fmt.Sprintf("control: log entry %d can't be decoded: %v", index, err))
	}
	m.mu.Lock()
	before := m.state.Configuration.Version
	result := m.state.Apply(index, &command)
	m.recordAccepted(&command, result)
	version := m.state.Configuration.Version
	applied, configured := m.applied, m.configured
	// Not deferred: after a panic the state may hold a part of the command, which nobody may read.
	m.mu.Unlock()
	applied(&command)
	if version != before {
		configured(version)
	}
	return result
}

// recordAccepted records a job that a command has added, and removes the records of jobs
// that it has deleted. m.mu must be held.
func (m *StateMachine) recordAccepted(command *workflow.Command, result workflow.Result) {
	if result.Submit == workflow.SubmitAccepted {
		m.accepted[command.Submit.ID] = time.Now()
	}
	for _, id := range command.DeleteJobs {
		if m.state.Jobs[id] == nil {
			delete(m.accepted, id)
		}
	}
}

// acceptedAt returns when this member applied the submission of a job, the zero time if there
// is no such job. Only a function that was passed to read may call it.
func (m *StateMachine) acceptedAt(job string) time.Time { return m.accepted[job] }

// setOnConfigured sets the function that is called when the configuration has changed.
func (m *StateMachine) setOnConfigured(f func(version uint64)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.configured = f
}

// setOnApply sets the function that is called with each command after it was applied.
func (m *StateMachine) setOnApply(f func(*workflow.Command)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applied = f
}

// Snapshot returns the encoded state.
func (m *StateMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Snapshot()
}

// Restore replaces the state by the encoded one. It returns an error and keeps the state
// if encoded can't be decoded. Jobs that this member didn't have yet count as accepted now:
// a member that has fallen behind keeps the ages of the others.
func (m *StateMachine) Restore(encoded []byte) error {
	state, err := workflow.Restore(encoded)
	if err != nil {
		return err
	}
	m.mu.Lock()
	accepted, now := make(map[string]time.Time, len(state.Jobs)), time.Now()
	for id, job := range state.Jobs {
		accepted[id] = now
		// An ID may have been used again for another job meanwhile.
		if known := m.state.Jobs[id]; known != nil && known.Index == job.Index {
			accepted[id] = m.accepted[id]
		}
	}
	m.state, m.accepted = state, accepted
	version, configured := state.Configuration.Version, m.configured
	m.mu.Unlock()
	configured(version)
	return nil
}

// read calls f with the state, which f must neither change nor keep.
func (m *StateMachine) read(f func(*workflow.State)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.state)
}
