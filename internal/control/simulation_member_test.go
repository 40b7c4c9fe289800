package control

import (
	"fmt"
	"maps"
	"reflect"

	"github.com/bilberryferry/bilberryferry/customer"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// restoreInterval is the number of commands after which a simMember restores a snapshot.
const restoreInterval = 200

// simMember is another member of the group: it applies the commands of the log, and restores a snapshot of the
// state now and then.
type simMember struct {
	state *StateMachine
	// applied counts the commands since the last snapshot. difference is how the member first differed.
	applied    int
	difference string
}

func newSimMember() *simMember { return &simMember{state: NewStateMachine()} }

// apply applies a command with which another member got the given state and result.
func (m *simMember) apply(index uint64, encoded []byte, state *StateMachine, result any) {
	if got := m.state.Apply(index, encoded); !reflect.DeepEqual(got, result) {
		m.report("entry %d: result %+v, of the other member %+v", index, got, result)
	}
	if m.applied++; m.applied < restoreInterval {
		return
	}
	m.applied = 0
	m.compare(index, state)
	snapshot, err := state.Snapshot()
	if err == nil {
		err = m.state.Restore(snapshot)
	}
	if err != nil {
		m.report("entry %d: %v", index, err)
		return
	}
	m.compare(index, state)
}

// compare compares what decisions read of the states of both members.
func (m *simMember) compare(index uint64, other *StateMachine) {
	want, got := readByDecisions(other), readByDecisions(m.state)
	for name, value := range want {
		if !reflect.DeepEqual(value, got[name]) {
			m.report("entry %d: %s differ: %+v and %+v", index, name, value, got[name])
		}
	}
}

// report records the first difference.
func (m *simMember) report(format string, args ...any) {
	if m.difference == "" {
		m.difference = fmt.Sprintf(format, args...)
	}
}

// readByDecisions returns what decisions read of a state, by name.
func readByDecisions(machine *StateMachine) map[string]any {
	used, placed, newest := map[string]workflow.Resources{}, map[workflow.StepKey]map[string]int{}, map[string]string{}
	runs, phases, open := map[workflow.Run]bool{}, map[string]workflow.Phase{}, map[string]bool{}
	usage := customer.Usage{}
	machine.read(func(s *workflow.State) {
		for id, w := range s.Workers {
			used[id], _ = s.Used(id)
			if latest := s.NewestIncarnation(w.Name); latest != nil {
				newest[w.Name] = latest.ID
			}
			for task, run := range s.Runs[id] {
				runs[run] = true
				if counts := s.Placed(task.StepKey); len(counts) > 0 {
					placed[task.StepKey] = maps.Clone(counts)
				}
			}
		}
		for id, job := range s.Jobs {
			phases[id], open[id] = job.Phase(), s.OpenJobs()[id] == job
		}
		for name, amount := range s.CustomerUsage() {
			if amount != (workflow.Resources{}) {
				usage[name] = amount
			}
		}
	})
	return map[string]any{
		"used resources": used, "placed runs": placed, "newest incarnations": newest, "runs": runs, "phases": phases,
		"open jobs": open, "usage of customers": usage,
	}
}
