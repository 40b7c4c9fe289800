package control

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/dispatch"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// gauges records the values of gauges.
type gauges map[string]int64

func (gauges) Add(string, int64)             {}
func (g gauges) Set(name string, n int64)    { g[name] = n }
func (gauges) Observe(string, time.Duration) {}

// SetByLabel records the number of values.
func (g gauges) SetByLabel(name, _ string, values map[string]int64) { g[name] = int64(len(values)) }

// observedTerm returns a leader term, the buffer that receives its log lines, and its
// gauges.
func observedTerm() (*leaderTerm, *bytes.Buffer, gauges) {
	logOutput, counters := &bytes.Buffer{}, gauges{}
	term := &leaderTerm{
		c:      New(Config{Counters: counters, Logger: log.NewNopLogger()}, NewStateMachine(), nil),
		logger: log.NewLogfmtLogger(logOutput),
		view:   newWorkerView(),
	}
	return term, logOutput, counters
}

// pendingStep returns a step whose tasks are all pending. Each task needs 4 cores and 8000
// MB.
func pendingStep(job string, tasks int, gang bool) dispatch.Step {
	s := dispatch.Step{
		Key: workflow.StepKey{Job: job}, Service: "s",
		Spec: &workflow.Step{Count: tasks, Gang: gang, Need: workflow.Resources{MilliCPU: 4000, MemoryMB: 8000}},
	}
	for i := range tasks {
		s.Pending = append(s.Pending, i)
	}
	return s
}

// fragmentedWorkers returns three workers with 3, 9 and 6 free cores. The last one has too
// little memory for a second task.
func fragmentedWorkers() []dispatch.Worker {
	var workers []dispatch.Worker
	for i, free := range []workflow.Resources{{MilliCPU: 3000, MemoryMB: 50_000}, {MilliCPU: 9000, MemoryMB: 50_000, Accelerators: 1}, {MilliCPU: 6000, MemoryMB: 9000}} {
		workers = append(workers, dispatch.Worker{
			Worker: workflow.Worker{ID: fmt.Sprint("w", i), Service: "s", Capacity: workflow.Resources{MilliCPU: 16_000, MemoryMB: 64_000, Accelerators: 2}},
			Free:   free, FreeBeforePlan: free,
		})
	}
	return workers
}

// Checks that the load line and the gauges show the fragmentation of the free resources
// and the waiting steps, so that an operator can tell a full cluster from one whose free
// resources are too fragmented for the waiting steps.
func TestLoadReportShowsFragmentationAndWaitingSteps(t *testing.T) {
	term, logOutput, counters := observedTerm()
	now := time.Now()
	small, large := pendingStep("small", 2, true), pendingStep("large", 9, true)
	large.Lateness, large.NeedsPermit, large.Permits = latenessMissed, true, map[string]dispatch.Permit{"w2": {Granted: true}, "w1": {}}
	input := &planInput{steps: []dispatch.Step{small, large, pendingStep("behind", 1, false)}, workers: fragmentedWorkers()}
	input.workers[1].Free, input.workers[1].Reserved = workflow.Resources{MilliCPU: 1000, MemoryMB: 34_000, Accelerators: 1}, workflow.Resources{MilliCPU: 8000, MemoryMB: 16_000}
	plan := &dispatch.Plan{BeyondBound: 1, Waiting: []dispatch.Waiting{
		{Step: large.Key, Tasks: 9, Reason: dispatch.ReasonGangCannotQuery}, {Step: small.Key, Tasks: 2, Reason: dispatch.ReasonNoCapacity},
	}}
	term.updateWaiting(&dispatch.Plan{BeyondBound: 2, Waiting: plan.Waiting[:1]}, now)
	now = now.Add(3 * time.Second)
	term.updateWaiting(plan, now)
	logOutput.Reset()
	term.reportLoad(input, plan, now)
	for _, want := range []string{
		"milli_cpu=48000 free_milli_cpu=18000 memory_mb=192000 free_memory_mb=109000 accelerators=6 free_accelerators=1",
		"kept_milli_cpu=8000 kept_memory_mb=16000 largest_free=9000/50000/1",
		`waiting=2 behind=1 waiting_by="1: behind the steps that one decision goes into; 1: doesn't fit on the workers it knows of, and can't ask now; 1: no room on a worker that may run the step"`,
		"waiting_gangs=2 late_gangs=1 largest_gang=large/0/0 largest_gang_tasks=9 largest_gang_each=4000/8000/0 free_pieces=3 permitted_pieces=1",
		`oldest=large/0/0 oldest_ms=3000 oldest_reason="doesn't fit on the workers it knows of, and can't ask now" oldest_tasks=9 oldest_gang=true`,
		"oldest_pieces=3 oldest_permitted_pieces=1",
	} {
		must.StrContains(t, logOutput.String(), want)
	}
	for name, want := range map[string]int64{
		"free_memory_mb": 109_000, "kept_milli_cpu": 8000, "free_pieces": 3, "waiting_gangs": 2, "late_gangs": 1, "oldest_waiting_ms": 3000,
		"waiting_steps": 3, "waiting_turn": 1, "waiting_gangs_before": 1, "waiting_room": 1, "waiting_kept": 0,
	} {
		must.Eq(t, want, counters[name], must.Sprint(name))
	}
	logOutput.Reset()
	term.reportLoad(input, plan, now.Add(loadLogInterval/2))
	must.Eq(t, "", logOutput.String(), must.Sprint("at most one line a second"))
}

// Checks that the gauges of waiting steps are reset once nothing waits.
func TestLoadReportOfEmptyQueue(t *testing.T) {
	term, logOutput, counters := observedTerm()
	counters["oldest_waiting_ms"], counters["waiting_room"] = 5, 5
	term.updateWaiting(&dispatch.Plan{}, time.Now())
	term.reportLoad(&planInput{workers: fragmentedWorkers()}, &dispatch.Plan{}, time.Now())
	must.StrContains(t, logOutput.String(), "waiting=0 behind=0 waiting_by= waiting_gangs=0 late_gangs=0 kept_back=")
	must.Eq(t, int64(0), counters["oldest_waiting_ms"])
	must.Eq(t, int64(0), counters["waiting_room"])
}

// Checks that steps which no decision has considered are logged, at most
// maxBacklogLogLinesPerSecond a second, and forgotten once they no longer wait.
func TestBacklogStepsAreLoggedUntilConsidered(t *testing.T) {
	term, logOutput, _ := observedTerm()
	now := time.Now()
	input := &planInput{}
	for i := range 3 * maxBacklogLogLinesPerSecond {
		input.steps = append(input.steps, pendingStep(fmt.Sprint("j", i), 1, false))
	}
	plan := &dispatch.Plan{BeyondBound: len(input.steps), Starts: []dispatch.Start{{Task: workflow.TaskKey{StepKey: input.steps[0].Key}}}}
	term.updateWaiting(plan, now)
	term.reportLoad(input, plan, now)
	must.Eq(t, maxBacklogLogLinesPerSecond, bytes.Count(logOutput.Bytes(), []byte(`reason="behind the steps that one decision goes into"`))-1,
		must.Sprint("one of the lines is the load line"))
	must.Eq(t, dispatch.ReasonBeyondBound, term.waitingReason(input.steps[5].Key))
	must.MapLen(t, len(input.steps)-1, term.waiting, must.Sprint("the started step is not waiting"))
	input.steps = input.steps[:2]
	term.reportLoad(input, &dispatch.Plan{BeyondBound: 1}, now.Add(2*loadLogInterval))
	must.MapLen(t, 2, term.waiting)
	term.updateWaiting(&dispatch.Plan{}, now)
	must.MapLen(t, 0, term.waiting)
	must.Eq(t, "", term.waitingReason(input.steps[1].Key))
}

// Checks that the log line of a waiting step lists for how long it waited for each earlier
// reason.
func TestWaitingLogShowsEarlierReasons(t *testing.T) {
	term, logOutput, _ := observedTerm()
	begin := time.Now()
	update := func(after time.Duration, reason dispatch.Reason, started bool) string {
		logOutput.Reset()
		plan := &dispatch.Plan{Waiting: []dispatch.Waiting{{Step: workflow.StepKey{Job: "a"}, Tasks: 4, Reason: reason}}}
		if started {
			plan.Starts = []dispatch.Start{{Task: workflow.TaskKey{StepKey: workflow.StepKey{Job: "a"}}}}
		}
		term.updateWaiting(plan, begin.Add(after))
		return logOutput.String()
	}
	must.StrContains(t, update(0, dispatch.ReasonNoCapacity, false), "waited_ms=0 earlier=\n")
	must.Eq(t, "", update(100*time.Millisecond, dispatch.ReasonReserved, false), must.Sprint("the previous line is less than a second old"))
	must.Eq(t, "", update(900*time.Millisecond, dispatch.ReasonAwaitsAdviser, false))
	must.Eq(t, "", update(1100*time.Millisecond, dispatch.ReasonAwaitsAdviser, false), must.Sprint("each query is logged anyway"))
	must.StrContains(t, update(1500*time.Millisecond, dispatch.ReasonReserved, false), "waited_ms=1500 "+
		`earlier="100 ms: no room on a worker that may run the step; 800 ms: the room that would do is kept for steps before it; 600 ms: waiting for the adviser"`)
	must.Eq(t, "", update(3*time.Second, dispatch.ReasonReserved, true), must.Sprint("the reason is unchanged"))
	must.StrContains(t, update(4*time.Second, dispatch.ReasonReserved, false), "waited_ms=1000 earlier=\n", must.Sprint("the wait counts from the last start of a task"))
}
