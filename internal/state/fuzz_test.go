package state

import (
	"math"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/placement"
	"github.com/bilberryferry/bilberryferry/quota"
)

// batchSpec returns a specification of a job with a number of tasks.
func batchSpec(policy placement.Policy, tasks int) Spec {
	return Spec{Name: "n", Policy: policy, Tasks: tasks, Need: placement.Resources{CPU: 1, Memory: 1}, Idempotent: true}
}

// fuzzedState returns a state with jobs d.1 to d.4 of all policies, three workers, running tasks and a quota.
func fuzzedState() *State {
	s := New("d")
	limits := map[string]placement.Resources{"c": {CPU: 100, Memory: -1, Accelerators: -1}}
	capacity := placement.Resources{CPU: 4, Memory: 4}
	for i, command := range []*Command{
		{AdoptConfig: &AdoptConfig{ConfigVersion: 1, Quota: quota.Config{Version: 1, InitialOwners: []string{"d"}, Limits: limits}}},
		{WorkerUp: &WorkerUp{ID: "w1", Incarnation: 1, Capacity: capacity}}, {WorkerUp: &WorkerUp{ID: "w2", Incarnation: 1, Capacity: capacity}},
		{WorkerUp: &WorkerUp{ID: "w3", Incarnation: 1, Capacity: placement.Resources{CPU: math.MaxInt64, Memory: math.MaxInt64}}},
		{Submit: &Submit{Request: Request{ID: "1"}, Customer: "c", Spec: batchSpec(placement.Batch, 2)}},
		{Submit: &Submit{Request: Request{ID: "2"}, Customer: "c", Spec: batchSpec(placement.Service, 2)}},
		{Submit: &Submit{Request: Request{ID: "3"}, Customer: "c", Spec: batchSpec(placement.Gang, 2)}},
		{Submit: &Submit{Request: Request{ID: "4"}, Customer: "c", Spec: batchSpec(placement.Batch, 1), HandoverTo: "e"}},
		{Start: &Start{Items: []StartItem{{Job: "d.1", Worker: "w1"}, {Job: "d.2", Worker: "w2"}, {Job: "d.2", Worker: "w3"}}}},
	} {
		s.Apply(uint64(i), command)
	}
	return s
}

// malformedCommands returns commands that no proposer makes.
func malformedCommands() map[string]*Command {
	huge, negative := placement.Resources{CPU: math.MaxInt64}, placement.Resources{CPU: math.MinInt64, Memory: -1}
	submit := func(spec Spec) *Submit { return &Submit{Request: Request{ID: "x"}, Customer: "c", Spec: spec} }
	spec := func(tasks int, need placement.Resources) Spec {
		return Spec{Name: "n", Policy: placement.Batch, Tasks: tasks, Need: need, Idempotent: true}
	}
	return map[string]*Command{
		"fewer than no tasks":         {Submit: submit(spec(-1, placement.Resources{}))},
		"too many tasks":              {Submit: submit(spec(math.MaxInt, placement.Resources{}))},
		"negative need":               {Submit: submit(spec(1, negative))},
		"huge need":                   {Submit: submit(spec(2, huge))},
		"taken over with no tasks":    {AnswerHandoverOffer: &AnswerHandoverOffer{Job: "e.1", Customer: "c", Spec: spec(-1, placement.Resources{})}},
		"scaled to too many tasks":    {Scale: &Scale{Request: Request{ID: "x"}, Customer: "c", Job: "d.2", Tasks: math.MaxInt}},
		"scaled to fewer than none":   {Scale: &Scale{Request: Request{ID: "x"}, Customer: "c", Job: "d.2", Tasks: -5}},
		"worker of less than nothing": {WorkerUp: &WorkerUp{ID: "w4", Incarnation: 1, Capacity: negative}},
		"huge raised need":            {Start: &Start{Items: []StartItem{{Job: "d.1", Worker: "w1", RaisedNeed: &huge}}}},
		"huge raised needs of a gang": {Start: &Start{Items: []StartItem{{Job: "d.3", Worker: "w1", RaisedNeed: &huge}, {Job: "d.3", Worker: "w1", RaisedNeed: &huge}}}},
	}
}

// checkApplied applies a command, then starts whatever can be started and ends all workers, on a state and on its copy.
func checkApplied(t must.T, c *Command) {
	encoded, err := c.Encode()
	must.NoError(t, err)
	live := fuzzedState()
	restored := live.copied(t)
	starts := &Start{}
	for _, job := range []string{"d.1", "d.2", "d.3", "d.3", "d.4", "d.5", "d.5", "e.1"} {
		starts.Items = append(starts.Items, StartItem{Job: job, Worker: "w1"}, StartItem{Job: job, Worker: "w3"}, StartItem{Job: job, Worker: "w4"})
	}
	commands := []*Command{c, {Now: math.MaxInt64, Start: starts}, c}
	for _, id := range []string{"w1", "w2", "w3", "w4"} {
		commands = append(commands, &Command{WorkerDown: &WorkerDown{ID: id, Incarnation: 1}})
	}
	commands = append(commands, &Command{Prune: &Prune{Before: math.MaxInt64}})
	for index, command := range commands {
		if index == 0 {
			command, err = Decode(encoded)
			must.NoError(t, err)
		}
		live.Apply(uint64(index), command)
		restored.Apply(uint64(index), command)
		must.Eq(t, live.canonical(t), restored.canonical(t))
		restored = live.copied(t)
		must.Eq(t, live.canonical(t), restored.canonical(t))
	}
}

// Guards against the end of every member that applies a malformed command.
func TestMalformedCommandsAreApplied(t *testing.T) {
	for name, command := range malformedCommands() {
		t.Run(name, func(t *testing.T) { checkApplied(t, command) })
	}
}

// FuzzApply guards against a log entry that ends every member which applies it, and against a state that
// can't be written, read again or told from its copy.
func FuzzApply(f *testing.F) {
	commands := []*Command{
		{Cancel: &Cancel{Request: Request{ID: "x"}, Customer: "c", All: true}}, {Drain: &Drain{Request: Request{ID: "x"}, Worker: "w1"}},
		{Refuse: &Refuse{Job: "d.1"}}, {Preempt: &Preempt{Items: []placement.Preemption{{Job: "d.1", Worker: "w1"}, {Job: "d.1", Task: -1}}}},
		{RecordHandoverAnswer: &RecordHandoverAnswer{Job: "d.4", To: "e"}},
		{End: &End{Worker: "w1", Incarnation: 1, Reports: []Report{{Ref: AttemptRef{Job: "d.1", Attempt: 1}, Outcome: math.MaxUint8}, {Ref: AttemptRef{Job: "d.1", Task: -1}}}}},
		{Quota: &Quota{Credit: &quota.Transfer{From: "e", To: "d", Sequence: 1, Customers: []quota.CustomerSlots{{Customer: "c", CPU: quota.SlotSet{1}}}}}},
		{Quota: &Quota{Debit: &quota.DebitCommand{Request: quota.TransferRequest{From: "e", To: "d", Demands: []quota.Demand{{Customer: "c", Amount: placement.Resources{CPU: 10}}}}}}},
	}
	for _, command := range malformedCommands() {
		commands = append(commands, command)
	}
	for _, command := range commands {
		encoded, err := command.Encode()
		must.NoError(f, err)
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		if command, err := Decode(encoded); err == nil {
			checkApplied(t, command)
		}
	})
}
