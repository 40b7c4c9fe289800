package workflow

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/bilberryferry/bilberryferry/customer"
)

// memberView holds whatever later commands and decisions read from a state.
type memberView struct {
	Jobs          map[string]*Job
	OpenJobs      []string
	Workers       map[string]*WorkerState
	Runs          map[string]map[TaskKey]Run
	Loads         map[string]loadView
	Placed        map[StepKey]map[string]int
	Usage         customer.Usage
	Newest        map[string]string
	Configuration Document
	Customers     map[string]*customer.Customer
	Waves         map[int64]*WaveState
	Changes       Changes
	Instances     []string `cbor:",omitempty"`
}

// loadView is the load of a worker.
type loadView struct {
	Used    Resources
	Demands map[TaskKey]demandView
}

// demandView is the demand of a run.
type demandView struct {
	OnWorker, OfCustomer Resources
	Customer             string
}

// view returns what later commands and decisions read from the state. Entries that read like
// missing ones are left out.
func (s *State) view() memberView {
	v := memberView{
		Jobs: s.Jobs, OpenJobs: slices.Sorted(maps.Keys(s.openJobs)), Workers: s.Workers,
		Runs: map[string]map[TaskKey]Run{}, Loads: map[string]loadView{}, Placed: s.placed, Usage: customer.Usage{},
		Newest: s.newestByName, Configuration: s.Configuration, Customers: s.customers.All(),
		Waves: s.Waves, Changes: s.Changes, Instances: s.Instances,
	}
	for worker, runs := range s.Runs {
		if len(runs) > 0 {
			v.Runs[worker] = runs
		}
	}
	for name, used := range s.usage {
		if used != (Resources{}) {
			v.Usage[name] = used
		}
	}
	for worker, load := range s.loads {
		if load.used == (Resources{}) && len(load.demands) == 0 {
			continue
		}
		demands := map[TaskKey]demandView{}
		for task, d := range load.demands {
			demands[task] = demandView{d.onWorker, d.ofCustomer, d.customer}
		}
		v.Loads[worker] = loadView{load.used, demands}
	}
	return v
}

// canonical returns an encoding of the state that is equal for equal states.
func (s *State) canonical(t must.T) string {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	must.NoError(t, err)
	encoded, err := mode.Marshal(s.view())
	must.NoError(t, err)
	readable, err := cbor.Diagnose(encoded)
	if err != nil {
		// The notation has no form for text that isn't UTF-8.
		return string(encoded)
	}
	return readable
}

// checkOpenJobs checks that the open jobs are the jobs that haven't ended.
func (s *State) checkOpenJobs(t must.T) {
	for id, job := range s.Jobs {
		must.Eq(t, !job.Ended(), s.openJobs[id] == job, must.Sprintf("job %s ended=%v", id, job.Ended()))
	}
	byQueue := 0
	for id, job := range s.openJobs {
		must.NotNil(t, s.Jobs[id], must.Sprintf("open job %s isn't in the state", id))
		must.True(t, s.OpenJobsOf(job.Queue)[id] == job, must.Sprintf("open job %s isn't among those of its queue", id))
	}
	for _, jobs := range s.openJobsByQueue {
		byQueue += len(jobs)
	}
	must.Eq(t, len(s.openJobs), byQueue)
}

// applyEncoded applies a command as a member reads it from the log.
func (s *State) applyEncoded(t must.T, index uint64, encoded []byte) Result {
	command, err := Decode(encoded)
	must.NoError(t, err)
	return s.Apply(index, &command)
}

// copied returns the state that a member has after it restored a snapshot of s.
func (s *State) copied(t must.T) *State {
	encoded, err := s.Snapshot()
	must.NoError(t, err)
	restored, err := Restore(encoded)
	must.NoError(t, err)
	return restored
}

// commandSource draws commands that leaders propose, also late ones and repeated ones.
type commandSource struct {
	t *rapid.T
	s *State
	// past are the commands that were proposed, and pastRuns the runs that were started.
	past     []*Command
	pastRuns []Run
	sequence uint64
}

func pick[T any](c *commandSource, what string, values ...T) T {
	return rapid.SampledFrom(values).Draw(c.t, what)
}

func (c *commandSource) number(what string, from, to int) int {
	return rapid.IntRange(from, to).Draw(c.t, what)
}

func (c *commandSource) oneIn(n int) bool { return c.number("one in", 1, n) == 1 }

// next returns the next command.
func (c *commandSource) next() *Command {
	if len(c.past) > 0 && c.oneIn(8) {
		return pick(c, "repeated", c.past...)
	}
	draws := []func() *Command{
		c.submission, c.startOfRuns, c.startOfRuns, c.startOfRuns, c.runEnds, c.runEnds, c.announcement, c.announcement,
		c.goneWorker, c.cancellation, c.deletion, c.configuration, c.wave, c.instances, c.speeds,
	}
	command := draws[c.number("command", 0, len(draws)-1)]()
	c.past = append(c.past, command)
	return command
}

func (c *commandSource) job() string { return fmt.Sprint("j", c.number("job", 0, 2)) }

func (c *commandSource) worker() string {
	return fmt.Sprint(pick(c, "worker", "a", "b", "c"), ".", c.number("incarnation", 1, 3))
}

func (c *commandSource) customer() string { return pick(c, "customer", "", "x", "y") }

func (c *commandSource) submission() *Command {
	var steps []Step
	for i := range c.number("steps", 1, 3) {
		step := Step{
			Count: c.number("tasks", 1, 3), Gang: c.oneIn(3), Speculative: c.oneIn(2), LongRunning: c.oneIn(6),
			UsesSpareCPU: c.oneIn(3), MaxPerWorker: c.number("max per worker", 0, 2),
			Need: Resources{MilliCPU: int64(c.number("cpu", 0, 3)), MemoryMB: int64(c.number("memory", 0, 3))},
		}
		if i > 0 && c.oneIn(3) {
			step.DependsOn = []int{c.number("dependency", 0, i-1)}
		}
		steps = append(steps, step)
	}
	return &Command{Submit: &Submission{
		ID: c.job(), Queue: "h" + c.job(), Steps: steps, Customer: c.customer(),
		Schedule: Schedule{Times: c.number("occurrences", 0, 2)}, Policy: c.policy(),
	}}
}

func (c *commandSource) policy() Policy {
	p := Policy{Service: pick(c, "service", "s", "r"), Priority: c.number("priority", 0, 1), MaxAttempts: c.number("attempts", 0, 2)}
	if c.oneIn(2) {
		p.Advice = &AdvicePolicy{TicketValidityMS: int64(c.number("validity", 0, 1))}
	}
	return p
}

// startOfRuns returns a start of one task or of all tasks of a step.
func (c *commandSource) startOfRuns() *Command {
	ids := slices.Sorted(maps.Keys(c.s.openJobs))
	if len(ids) == 0 {
		return c.submission()
	}
	job := c.s.Jobs[pick(c, "job", ids...)]
	key := StepKey{job.ID, c.number("occurrence", 0, len(job.Occurrences)-1), c.number("step", 0, len(job.Steps)-1)}
	spec, runs := &job.Steps[key.Step], []Run(nil)
	first, last := 0, spec.Count-1
	if !spec.Gang {
		first = c.number("task", 0, last)
		last = first
	}
	for index := first; index <= last; index++ {
		runs = append(runs, Run{Task: TaskKey{key, index}, Worker: c.worker()})
	}
	return &Command{Start: runs}
}

// runEnds returns ends of live runs and of runs that have ended before.
func (c *commandSource) runEnds() *Command {
	runs := slices.Clone(c.pastRuns)
	for _, worker := range slices.Sorted(maps.Keys(c.s.Runs)) {
		runs = append(runs, sortedRuns(c.s.Runs[worker])...)
	}
	if len(runs) == 0 {
		return c.startOfRuns()
	}
	run := pick(c, "run", runs...)
	end := RunEnd{
		Task: run.Task, Number: run.Number, Outcome: Outcome(c.number("outcome", 1, int(OutcomeCrashed))),
		Suspicion: Suspicion(c.number("suspicion", 0, int(SuspicionStrong))), Checkpoint: pick(c, "checkpoint", "", "p"),
	}
	c.sequence++
	return &Command{Ends: &RunEnds{
		Worker: run.Worker, LastEnd: c.sequence, Ends: []RunEnd{end}, Returned: c.oneIn(6), Unmonitored: c.oneIn(6),
	}}
}

func (c *commandSource) announcement() *Command {
	id := c.worker()
	c.sequence++
	return &Command{Worker: &Worker{
		ID: id, Name: pick(c, "name", id[:1], id[:1], id[:1], "", "d"), StartedAtMS: int64(c.number("started", 0, 2)), Service: "s",
		Capacity: Resources{MilliCPU: int64(c.number("capacity", 0, 8)), MemoryMB: int64(c.number("memory", 0, 8))},
		Draining: c.oneIn(5), Sequence: c.sequence,
	}}
}

func (c *commandSource) goneWorker() *Command {
	return &Command{GoneWorker: c.worker(), Crashed: c.oneIn(2)}
}

func (c *commandSource) cancellation() *Command { return &Command{Cancel: c.job()} }

func (c *commandSource) deletion() *Command {
	return &Command{DeleteJobs: []string{c.job(), c.job()}}
}

func (c *commandSource) configuration() *Command {
	c.sequence++
	document := &Document{Version: c.sequence, Source: []byte{}, KeysRequired: c.oneIn(3), Queues: []Queue{{Name: "q", Host: "h", Prefix: c.job(), Policy: c.policy()}}}
	for _, name := range []string{"x", "y"} {
		limit := Resources{MilliCPU: int64(c.number("limit", 0, 8)), MemoryMB: int64(c.number("limit", 0, 8))}
		document.Customers = append(document.Customers, customer.Customer{Name: name, Keys: []customer.Digest{customer.DigestOf(name + c.job())}, Weight: 1, Limit: limit})
	}
	return &Command{Configuration: document}
}

func (c *commandSource) wave() *Command {
	id := int64(c.number("wave", 1, 2))
	if c.oneIn(2) {
		return &Command{Wave: &Wave{ID: id, Machines: []string{"a", "b"}, DurationMS: 1, MaxDown: 1}}
	}
	stage := MaintenanceStage(c.number("stage", 0, int(MaintenanceNotNeeded)))
	return &Command{Maintenance: &Maintenance{Wave: id, Machine: pick(c, "machine", "a", "b", "c"), Stage: stage, Worker: c.worker()}}
}

func (c *commandSource) instances() *Command {
	return &Command{Instance: &InstanceChange{Announced: pick(c, "announced", "", "1", "2", "3"), Gone: []string{pick(c, "gone", "1", "2")}}}
}

func (c *commandSource) speeds() *Command {
	return &Command{Speeds: []WorkerSpeed{{Worker: c.worker(), SpeedPercent: c.number("speed", 0, 200)}}}
}

// Guards against commands that end every member which applies them, and against members that
// decide differently because one applied the whole log and another restored a snapshot first.
func TestRestoredMemberEqualsMemberThatAppliedAllCommands(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		live := NewState()
		members := []*State{NewState()}
		source := &commandSource{t: rt, s: live}
		for index := range uint64(rapid.IntRange(1, 120).Draw(rt, "commands")) {
			command := source.next()
			encoded, err := command.Encode()
			must.NoError(rt, err)
			result := live.applyEncoded(rt, index, encoded)
			source.pastRuns = append(source.pastRuns, result.Started...)
			for i, member := range members {
				must.Eq(rt, result, member.applyEncoded(rt, index, encoded), must.Sprintf("results of members differ after %+v", command))
				if source.oneIn(6) {
					members[i] = member.copied(rt)
				}
			}
			if len(members) < 3 && source.oneIn(10) {
				members = append(members, live.copied(rt))
			}
			want := live.canonical(rt)
			for _, member := range members {
				must.Eq(rt, want, member.canonical(rt), must.Sprintf("members differ after %+v", command))
			}
			live.checkOpenJobs(rt)
			live.checkCounts(rt)
		}
	})
}
