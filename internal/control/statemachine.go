package control

import (
	"fmt"
	"sync"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// StateMachine is the replicated state with the lock that lets readers in.
type StateMachine struct {
	mu    sync.Mutex
	state *workflow.State
	// applied is called without the lock after each command; it must not block.
	applied func()
}

// NewStateMachine returns an empty state.
func NewStateMachine() *StateMachine {
	return &StateMachine{state: workflow.NewState(), applied: func() {}}
}

// Apply takes in one committed command.
func (m *StateMachine) Apply(index uint64, data []byte) any {
	command, err := workflow.Decode(data)
	if err != nil {
		// Every member applies the same bytes; one that goes on without them
		// would differ from the others.
		panic(fmt.Sprintf("control: entry %d can't be decoded: %v", index, err))
	}
	m.mu.Lock()
	result := m.state.Apply(index, &command)
	applied := m.applied
	m.mu.Unlock()
	applied()
	return result
}

// setOnApply sets what is called after each command.
func (m *StateMachine) setOnApply(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applied = f
}

// Snapshot encodes the state.
func (m *StateMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Snapshot()
}

// Restore replaces the state.
func (m *StateMachine) Restore(data []byte) error {
	state, err := workflow.Restore(data)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = state
	return nil
}

// read calls f with the state, which must not be changed or kept.
func (m *StateMachine) read(f func(*workflow.State)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.state)
}
