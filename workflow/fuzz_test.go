package workflow

import (
	"math"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/customer"
)

// fuzzedState returns a state with jobs of all kinds, workers, live runs, a wave and a configuration.
func fuzzedState(t testing.TB) *State {
	gang := smallStep(2)
	gang.Gang = true
	dependent := smallStep(1)
	dependent.DependsOn = []int{0}
	s := newState(t, smallStep(2), gang, dependent)
	document := &Document{Version: 1, Source: []byte("x"), Customers: []customer.Customer{{Name: "a", Limit: Resources{MilliCPU: 3000}}}}
	repeated := Submission{ID: "k", Queue: "q", Steps: []Step{smallStep(1)}, Schedule: Schedule{Times: 2}, Customer: "a"}
	for index, command := range []*Command{
		{Configuration: document}, {Submit: &repeated}, {Wave: &Wave{ID: 1, Machines: []string{"m"}, MaxDown: 1}},
		{Worker: &Worker{ID: "n.1", Name: "n", StartedAtMS: 1}}, {Instance: &InstanceChange{Announced: "i"}},
	} {
		s.Apply(uint64(index), command)
	}
	s.startRuns("w1", key(0, 0), key(1, 0), key(1, 1))
	s.finishRun(s.startRuns("w2", key(0, 1))[0], OutcomeLost)
	return s
}

// fuzzedCommands returns commands of all kinds, some of them malformed.
func fuzzedCommands() []*Command {
	run := Run{Task: key(0, 0), Number: 1, Worker: "w1"}
	end := RunEnd{Task: run.Task, Number: 1, Outcome: OutcomeLost, Suspicion: SuspicionStrong}
	impossible := Run{Task: TaskKey{StepKey{"j", -1, -1}, -1}, Worker: "w1"}
	return []*Command{
		{}, {Cancel: "j"}, {DeleteJobs: []string{"j", "j", ""}}, {GoneWorker: "w1", Crashed: true},
		{Submit: &Submission{ID: "l", Steps: []Step{{Count: -1}}, Schedule: Schedule{Times: math.MaxInt}}},
		{Submit: &Submission{ID: "l", Schedule: Schedule{Times: math.MaxInt}}},
		{Submit: &Submission{ID: "l", Steps: []Step{{Count: 1, DependsOn: []int{1}}}}},
		{Start: []Run{run, impossible}}, {Start: []Run{{Task: key(1, 0), Worker: "w2"}, {Task: key(1, 0), Worker: "w2"}}},
		{Ends: &RunEnds{Worker: "w1", LastEnd: math.MaxUint64, Ends: []RunEnd{end, end}, Returned: true, Unmonitored: true}},
		{Ends: &RunEnds{Worker: "w2", Ends: []RunEnd{{Task: impossible.Task}}, Unmonitored: true}},
		{Worker: &Worker{ID: "n.2", Name: "n", Capacity: Resources{MilliCPU: math.MinInt64, MemoryMB: math.MaxInt64}}},
		{Worker: &Worker{ID: "\xff", Name: "\xfe"}},
		{Configuration: &Document{Version: math.MaxUint64, Source: []byte{}, Queues: []Queue{{}, {}}, Customers: []customer.Customer{{}, {}}}},
		{Wave: &Wave{ID: -1, MaxDown: -1}}, {Maintenance: &Maintenance{Wave: 1, Machine: "m", Stage: math.MaxUint8}},
		{Instance: &InstanceChange{Gone: []string{"", "i", "i"}}}, {Speeds: []WorkerSpeed{{"w1", math.MinInt}, {}}},
	}
}

// FuzzApply guards against a log entry that ends every member which applies it, and against a state that
// can't be written, read again or told from its copy.
func FuzzApply(f *testing.F) {
	for _, command := range fuzzedCommands() {
		encoded, err := command.Encode()
		must.NoError(f, err)
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		if _, err := Decode(encoded); err != nil {
			return
		}
		live := fuzzedState(t)
		restored := live.copied(t)
		for index := range uint64(2) {
			live.applyEncoded(t, index, encoded)
			restored.applyEncoded(t, index, encoded)
			want := live.canonical(t)
			must.Eq(t, want, restored.canonical(t))
			restored = live.copied(t)
			must.Eq(t, want, restored.canonical(t))
			for worker := range live.Workers {
				live.Apply(index, &Command{GoneWorker: worker, Crashed: true})
			}
			restored = live.copied(t)
		}
	})
}
