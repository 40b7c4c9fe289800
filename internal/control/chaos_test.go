package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/link"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// chaosRun is one test run of controllers in real time, with jobs and faults that are
// drawn from a seed.
type chaosRun struct {
	t            *testing.T
	random       *rand.Rand
	state        *StateMachine
	workers      *chaosWorkers
	term         uint64
	incarnations int
	controller   *Controller
	stop         func()
}

// msSinceProgramStart returns the milliseconds since the start of the test program, for log
// lines.
func msSinceProgramStart() any { return time.Since(programStart).Milliseconds() }

var programStart = time.Now()

// startLeader starts a controller in the next term and waits until it leads.
func (chaos *chaosRun) startLeader() {
	chaos.term++
	replicated := &fakeTermLog{fakeLog: fakeLog{state: chaos.state}, term: chaos.term}
	chaos.controller = New(Config{
		Address: "own", Bounds: Bounds{MaxLease: testMaxLease, EndedJobRetention: time.Minute}, Workers: chaos.workers, Adviser: chaos.workers,
		Client: link.NewClient(testMaxConns), Logger: log.With(log.NewLogfmtLogger(&chaos.workers.eventLog), "ms", log.Valuer(msSinceProgramStart), "term", chaos.term), Counters: noCounters{},
		Leader: func() string { return "own" }, Members: func() []string { return nil },
	}, chaos.state, replicated)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := chaos.controller.Run(ctx); err != nil {
			chaos.t.Error(err)
		}
	}()
	chaos.stop = func() { cancel(); <-done }
	for {
		if _, err := chaos.controller.currentLeaderTerm(context.Background()); err == nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// addWorker adds a worker and announces it.
func (chaos *chaosRun) addWorker() {
	chaos.incarnations++
	id := fmt.Sprint("w", chaos.incarnations)
	chaos.workers.mu.Lock()
	chaos.workers.byID[id] = &chaosWorker{
		id: id, capacity: tenCores, running: map[workflow.TaskKey]*chaosWorkerRun{}, stopped: map[workflow.TaskKey]int{},
	}
	chaos.workers.mu.Unlock()
	chaos.announce(id)
}

func (chaos *chaosRun) announce(id string) {
	_, err := chaos.controller.Announce(context.Background(), &Announcement{Worker: worker(id)})
	must.NoError(chaos.t, err)
}

// The kinds of faults that injectFault draws. chaosFaultKinds is their number, including
// the kind without a constant, which injects no fault.
const (
	crashFault        = 0
	unreachableFault  = 1
	leaderChangeFault = 2
	chaosFaultKinds   = 4
)

// injectFault injects one random fault: a crash, an unreachable worker, a leader change,
// or none.
func (chaos *chaosRun) injectFault() {
	ws := chaos.workers
	ws.mu.Lock()
	var up []*chaosWorker
	for _, w := range ws.byID {
		if !w.crashed {
			up = append(up, w)
		}
	}
	chosen := up[chaos.random.IntN(len(up))]
	kind := chaos.random.IntN(chaosFaultKinds)
	switch kind {
	case crashFault:
		chosen.crashed = true
	case unreachableFault:
		chosen.unreachableUntil = time.Now().Add(time.Duration(100+chaos.random.IntN(900)) * time.Millisecond)
	}
	ws.mu.Unlock()
	switch kind {
	case crashFault:
		chaos.addWorker()
	case leaderChangeFault:
		chaos.stop()
		chaos.startLeader()
	}
}

// randomStep returns a plain step, a gang, or a step that allows copies.
func randomStep(random *rand.Rand) workflow.Step {
	step := workflow.Step{
		Count:      1 + random.IntN(4),
		Need:       workflow.Resources{MilliCPU: int64(1000 + random.IntN(4000)), MemoryMB: 10},
		EstimateMS: 40,
	}
	switch random.IntN(3) {
	case 0:
		step.Gang = true
	case 1:
		step.Speculative = true
	}
	return step
}

// Checks the invariants under random faults: orders are lost, delayed and carried out
// twice, responses are lost, workers crash and become unreachable, and leaders change. No
// task may run twice at a time or after it is done, the runs on a worker may not need
// more than its capacity, and all jobs must end once the faults are over.
//
// BILBERRY_SEEDS sets the number of seeds, BILBERRY_SEED the first one.
func TestNoTaskRunsTwiceUnderRandomFaults(t *testing.T) {
	seeds, first := envNumber("BILBERRY_SEEDS", 3), envNumber("BILBERRY_SEED", 1)
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			randomFaults(t, uint64(seed))
		})
	}
}

// envNumber returns the number in an environment variable, or fallback if it holds none.
func envNumber(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

const (
	// chaosFaultStream and chaosCallStream select the random streams of a seed: the
	// former for jobs and faults, the latter for the outcomes of calls.
	chaosFaultStream = 1
	chaosCallStream  = 2
	// chaosWorkerCount is how many workers are up at a time.
	chaosWorkerCount = 4
	// chaosRounds is how many faults are injected, jobsPerRound how many jobs are submitted
	// before each.
	chaosRounds  = 25
	jobsPerRound = 2
	// maxRoundPauseMS bounds the pause after a fault, in milliseconds.
	maxRoundPauseMS = 80
)

func randomFaults(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, chaosFaultStream))
	chaos := &chaosRun{t: t, random: random, state: NewStateMachine(), workers: &chaosWorkers{
		t: t, random: rand.New(rand.NewPCG(seed, chaosCallStream)), byID: map[string]*chaosWorker{}, specs: map[string]workflow.Step{},
		completeGangs: map[gangRun]bool{}, startedAt: map[workflow.TaskKey][]time.Time{}, doneAt: map[workflow.TaskKey]time.Time{},
	}}
	chaos.startLeader()
	defer func() { chaos.stop() }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go chaos.workers.runTasks(ctx)
	must.NoError(t, chaos.propose(&workflow.Command{Configuration: &workflow.Document{Version: 1, Source: []byte("{}"), Queues: []workflow.Queue{
		{Name: "q", Host: "h", Prefix: "/q/", Policy: workflow.Policy{Service: "s", MaxAttempts: 9, Stretch: 2, ObjectiveMS: 100,
			Advice: &workflow.AdvicePolicy{BaseMS: 1, TicketValidityMS: chaosTicketValidityMS}}},
	}}}))
	for range chaosWorkerCount {
		chaos.addWorker()
	}
	jobs := 0
	for range chaosRounds {
		for range jobsPerRound {
			jobs++
			chaos.submit(fmt.Sprint("j", jobs))
		}
		chaos.injectFault()
		time.Sleep(time.Duration(random.IntN(maxRoundPauseMS)) * time.Millisecond)
	}
	chaos.workers.mu.Lock()
	chaos.workers.faultsOver = true
	chaos.workers.mu.Unlock()
	chaos.awaitAllEnded()
	chaos.workers.mu.Lock()
	defer chaos.workers.mu.Unlock()
	must.SliceEmpty(t, chaos.workers.violations, must.Sprint(chaos.workers.violations), must.Sprint(chaos.workers.eventLog.linesAbout(chaos.workers.violations)))
}

func (chaos *chaosRun) propose(c *workflow.Command) error {
	_, err := chaos.controller.propose(context.Background(), c)
	return err
}

func (chaos *chaosRun) submit(id string) {
	step := randomStep(chaos.random)
	chaos.workers.mu.Lock()
	chaos.workers.specs[id] = step
	chaos.workers.mu.Unlock()
	_, err := chaos.controller.Submit(context.Background(), &SubmitCall{
		Address: JobAddress{Host: "h", Path: "/q/" + id, ID: id}, Payload: "p", Steps: []workflow.Step{step},
	})
	must.NoError(chaos.t, err)
}

const (
	// openJobChecks is how often awaitAllEnded checks for open jobs, every
	// openJobCheckInterval.
	openJobChecks        = 200
	openJobCheckInterval = 50 * time.Millisecond
)

// awaitAllEnded waits until no job is open, and sends the heartbeats of the running
// workers meanwhile. It fails the test if jobs are still open after the last check.
func (chaos *chaosRun) awaitAllEnded() {
	var open []string
	for range openJobChecks {
		chaos.workers.mu.Lock()
		var up []string
		for id, w := range chaos.workers.byID {
			if !w.crashed {
				up = append(up, id)
			}
		}
		chaos.workers.mu.Unlock()
		for _, id := range up {
			chaos.announce(id)
		}
		open = nil
		chaos.state.read(func(s *workflow.State) {
			for id, job := range s.OpenJobs() {
				open = append(open, fmt.Sprint(id, " ", job.Unfinished))
			}
		})
		if len(open) == 0 {
			return
		}
		time.Sleep(openJobCheckInterval)
	}
	chaos.t.Fatalf("jobs that have not ended: %v", open)
}
