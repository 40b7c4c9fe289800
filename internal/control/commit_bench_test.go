package control

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"

	"github.com/bilberryferry/bilberryferry/internal/node"
	"github.com/bilberryferry/bilberryferry/internal/oplog"
	"github.com/bilberryferry/bilberryferry/replica"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// memoryNetwork connects the members of a log in one process.
type memoryNetwork struct {
	mu      sync.Mutex
	members map[string]*node.Group
}

func (n *memoryNetwork) member(id string) *node.Group {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members[id]
}

// memoryTransport is the Transport of one member of a memoryNetwork.
type memoryTransport struct {
	network *memoryNetwork
	from    string
}

func (t memoryTransport) Send(_, to string, payload []byte) {
	if g := t.network.member(to); g != nil {
		_ = g.Step(t.from, payload)
	}
}

// idleMachine is the state machine of a follower. It does nothing, so that the measured processor time
// doesn't contain it.
type idleMachine struct{}

func (idleMachine) Apply(uint64, []byte) any  { return nil }
func (idleMachine) Snapshot() ([]byte, error) { return nil, nil }
func (idleMachine) Restore([]byte) error      { return nil }

// startLog runs a log with three members without disks, waits until one leads, and returns
// it with its state machine. Only the leader's state machine applies commands: they are
// committed after the election.
func startLog(b *testing.B) (*node.Group, *StateMachine) {
	network := &memoryNetwork{members: map[string]*node.Group{}}
	var members []replica.Member
	for _, id := range []string{"a", "b", "c"} {
		members = append(members, replica.Member{ID: id})
	}
	machine := NewStateMachine()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	b.Cleanup(func() { cancel(); running.Wait() })
	for i, m := range members {
		cfg := node.Config{
			Group: "bench", ID: m.ID, Incarnation: uint64(i + 1), Members: members, Seed: uint64(i),
			Machine: idleMachine{}, Transport: memoryTransport{network, m.ID},
			// A snapshot of the whole state isn't part of a commit.
			SnapshotEntries: 1 << 40, SnapshotBytes: 1 << 40, KeepEntries: 20_000,
		}
		if i == 0 {
			cfg.Machine = machine
		}
		g, err := node.Open(ctx, cfg)
		must.NoError(b, err)
		network.mu.Lock()
		network.members[m.ID] = g
		network.mu.Unlock()
		running.Go(func() { _ = g.Run(ctx) })
	}
	// The first member has the state machine; another one that is elected hands over to it.
	first := network.member("a")
	for !first.Status().CanDecide {
		for _, m := range members[1:] {
			if g := network.member(m.ID); g.Status().CanDecide {
				_ = g.Transfer(ctx)
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	return first, machine
}

// Sizes of BenchmarkCommitEnd. Each worker has benchLiveRuns runs when it begins to report
// benchReports ends, one per report.
const (
	benchWorkers  = 100
	benchReports  = 5
	benchLiveRuns = 7
	benchJobTasks = 6
)

// endsBench is the leader term of BenchmarkCommitEnd. ends counts the reported ends of each
// worker.
type endsBench struct {
	b       *testing.B
	term    *leaderTerm
	machine *StateMachine
	ends    [benchWorkers]uint64
	jobs    int
	index   uint64
}

func newEndsBench(b *testing.B) *endsBench {
	group, machine := startLog(b)
	metrics := oplog.NewMetrics()
	logger := oplog.NewLogger(oplog.NewSink(io.Discard), "bench")
	controller := New(Config{
		Address: "own", Logger: logger, Counters: metrics, Leader: func() string { return "own" },
	}, machine, group)
	e := &endsBench{b: b, machine: machine}
	for i := range benchWorkers {
		w := worker(fmt.Sprint("w", i))
		w.Capacity = workflow.Resources{MilliCPU: 64_000, MemoryMB: 256_000}
		e.apply(&workflow.Command{Worker: &w})
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	e.term = newLeaderTerm(ctx, cancel, controller, group.Status().Term)
	controller.setLeaderTerm(e.term)
	return e
}

// apply applies a command without the log.
func (e *endsBench) apply(c *workflow.Command) workflow.Result {
	encoded, err := c.Encode()
	must.NoError(e.b, err)
	e.index++
	return e.machine.Apply(e.index, encoded).(workflow.Result)
}

// removeJobs ends the runs of all jobs and removes the jobs.
func (e *endsBench) removeJobs() {
	var ids []string
	e.machine.read(func(s *workflow.State) {
		for id := range s.Jobs {
			ids = append(ids, id)
		}
	})
	for _, id := range ids {
		e.apply(&workflow.Command{Cancel: id})
	}
	for _, s := range e.term.sessions {
		left := e.machine.state.Runs[s.worker.ID]
		stopped := &workflow.RunEnds{Worker: s.worker.ID}
		for task, run := range left {
			stopped.Ends = append(stopped.Ends, workflow.RunEnd{Task: task, Number: run.Number, Outcome: workflow.OutcomeStopped})
		}
		e.apply(&workflow.Command{Ends: stopped})
		clear(s.orders)
	}
	if len(ids) > 0 {
		e.apply(&workflow.Command{DeleteJobs: ids})
	}
	clear(e.term.startedJobs)
	clear(e.term.loggedEnds)
}

// startRuns submits jobs and starts benchLiveRuns runs on each worker. It returns the runs by worker.
func (e *endsBench) startRuns() [][]workflow.Run {
	var runs []workflow.Run
	step := workflow.Step{Count: benchJobTasks, Need: workflow.Resources{MilliCPU: 9_000, MemoryMB: 6_000}, EstimateMS: 6000}
	for len(runs) < benchWorkers*benchLiveRuns {
		id := fmt.Sprint("job-", e.jobs)
		e.jobs++
		e.apply(&workflow.Command{Submit: &workflow.Submission{
			ID: id, Queue: "q", Steps: []workflow.Step{step}, Policy: workflow.Policy{Service: "s", MaxAttempts: 3, Stretch: 2, ObjectiveMS: 1000},
		}})
		for k := range benchJobTasks {
			runs = append(runs, workflow.Run{Task: task(id, k), Worker: fmt.Sprint("w", len(runs)%benchWorkers)})
		}
	}
	byWorker := make([][]workflow.Run, benchWorkers)
	for i, run := range e.apply(&workflow.Command{Start: runs}).Started {
		s := e.term.sessions[run.Worker]
		s.orders[run.Task] = &runOrder{run: run, startedAt: time.Now(), share: fullShare, estimate: 6 * time.Second}
		byWorker[i%benchWorkers] = append(byWorker[i%benchWorkers], run)
	}
	return byWorker
}

// report applies a report of a worker. The runs before the index first have ended, the last of them
// since the previous report.
func (e *endsBench) report(worker int, runs []workflow.Run, first int) {
	e.ends[worker]++
	ended := runs[first-1]
	report := Report{ClockMS: int64(e.ends[worker]), Ended: []Ended{{
		Position: e.ends[worker],
		RunEnd:   workflow.RunEnd{Task: ended.Task, Number: ended.Number, Outcome: workflow.OutcomeDone},
	}}}
	for _, run := range runs[first:] {
		report.Running = append(report.Running, Running{Task: run.Task, Number: run.Number, Percent: 10 * first})
	}
	e.term.sessions[ended.Worker].applyReport(report, time.Now())
}

// cpuTime returns the processor time of this process.
func cpuTime(b *testing.B) time.Duration {
	var usage unix.Rusage
	must.NoError(b, unix.Getrusage(unix.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkCommitEnd measures the processor time of one committed end of a run, from the
// worker's report until its commit is applied and logged, with a log of three members and
// one end per report. The figures contain the log loops of the two followers, but not
// their state machines.
//
// The sub-benchmark's number is how many reports are in flight. With 100, rounds of the log
// commit many ends; with 8, they commit as few as on a leader with 1,000 ends per second.
func BenchmarkCommitEnd(b *testing.B) {
	for _, inFlight := range []int{8, benchWorkers} {
		b.Run(fmt.Sprint(inFlight), func(b *testing.B) { commitEnds(b, inFlight) })
	}
}

func commitEnds(b *testing.B, inFlight int) {
	e := newEndsBench(b)
	b.ReportAllocs()
	b.ResetTimer()
	used := time.Duration(0)
	for reported := 0; reported < b.N; {
		b.StopTimer()
		e.removeJobs()
		runs := e.startRuns()
		b.StartTimer()
		start := cpuTime(b)
		var reporters sync.WaitGroup
		count := min(b.N-reported, benchWorkers*benchReports)
		for i := range inFlight {
			reporters.Go(func() {
				for k := i; k < count; k += inFlight {
					e.report(k%benchWorkers, runs[k%benchWorkers], k/benchWorkers+1)
				}
			})
		}
		reporters.Wait()
		used += cpuTime(b) - start
		must.Eq(b, e.term.fence, e.term.c.log.Status().Term, must.Sprint("the leadership was lost"))
		reported += count
	}
	b.ReportMetric(float64(used.Nanoseconds())/float64(b.N), "cpu-ns/op")
}
