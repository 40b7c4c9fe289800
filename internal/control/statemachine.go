package control

import (
	"fmt"
	"sync"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// StateMachine is the state machine of the replicated log. A lock guards its state.
type StateMachine struct {
	mu    sync.Mutex
	state *workflow.State
	// applied is called after each command, without mu held. It must not block.
	applied func()
}

// NewStateMachine returns a state machine with an empty state.
func NewStateMachine() *StateMachine {
	return &StateMachine{state: workflow.NewState(), applied: func() {}}
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
	result := m.state.Apply(index, &command)
	applied := m.applied
	m.mu.Unlock()
	applied()
	return result
}

// setOnApply sets the function that is called after each command.
func (m *StateMachine) setOnApply(f func()) {
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
// if encoded can't be decoded.
func (m *StateMachine) Restore(encoded []byte) error {
	state, err := workflow.Restore(encoded)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = state
	return nil
}

// read calls f with the state, which f must neither change nor keep.
func (m *StateMachine) read(f func(*workflow.State)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.state)
}
