package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// simulation is one run of a cluster in virtual time, with a load and faults that are
// drawn from a seed.
type simulation struct {
	t         *testing.T
	seed      uint64
	params    *simParams
	random    *rand.Rand
	state     *StateMachine
	store     *simStore
	workers   *simWorkers
	adviser   *simAdviser
	lines     *simLog
	startedAt time.Time
	jobs      int
	// workBudget and adviserBudget are how much work, in millicores times milliseconds,
	// and adviser time, in milliseconds, the load may still use.
	workBudget, adviserBudget float64
	// maxBacklog is the largest number of steps that were beyond the bound of a decision.
	maxBacklog int

	mu         sync.Mutex
	steps      map[string][]workflow.Step
	c          *Controller
	log        *simReplica
	stop       func()
	term       uint64
	faultsOver bool
}

// The random sequences of a seed: of the parameters, load and faults, of the log, and of
// the adviser.
const (
	simulationStream = 3
	simStoreStream   = 4
	simAdviserStream = 5
)

func newSimulation(t *testing.T, seed uint64) *simulation {
	random := rand.New(rand.NewPCG(seed, simulationStream))
	x := &simulation{
		t: t, seed: seed, params: drawParams(random), random: random, state: NewStateMachine(), lines: &simLog{},
		startedAt: time.Now(), steps: map[string][]workflow.Step{},
	}
	x.store = &simStore{random: rand.New(rand.NewPCG(seed, simStoreStream)), state: x.state}
	x.workers = &simWorkers{
		params: x.params, seed: seed, stepOf: x.stepOf, lines: x.lines, current: map[string]*simWorker{}, calls: map[string]int{},
		startedAt: map[workflow.TaskKey][]time.Time{}, doneAt: map[workflow.TaskKey]time.Time{}, completeGangs: map[gangRun]bool{},
		lastStart: map[workflow.StepKey]time.Time{}, allowedOrphans: map[string]bool{},
		crashes: map[workflow.TaskKey]int{}, startsAfterThirdCrash: map[workflow.TaskKey]int{},
	}
	x.adviser = &simAdviser{
		params: x.params, seed: seed, policyOf: x.adviceOf, stepOf: x.stepOf, faultsOver: x.areFaultsOver, random: rand.New(rand.NewPCG(seed, simAdviserStream)), busyUntil: map[string]time.Time{}, unreachableUntil: map[string]time.Time{},
	}
	return x
}

func (x *simulation) stepOf(task workflow.TaskKey) *workflow.Step {
	x.mu.Lock()
	defer x.mu.Unlock()
	steps := x.steps[task.Job]
	if task.Step >= len(steps) {
		return nil
	}
	return &steps[task.Step]
}

func (x *simulation) adviceOf(step workflow.StepKey) (advice *workflow.AdvicePolicy) {
	x.state.read(func(s *workflow.State) {
		if job := s.Jobs[step.Job]; job != nil {
			advice = job.Policy.Advice
		}
	})
	return advice
}

func (x *simulation) areFaultsOver() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.faultsOver
}

// controller returns the current leader's controller.
func (x *simulation) controller() *Controller {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.c
}

// startLeader starts the next leader.
func (x *simulation) startLeader() {
	x.store.resolveUnknownOutcomes()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.term++
	x.log = &simReplica{store: x.store, term: x.term, lost: make(chan struct{})}
	x.c = New(Config{
		Address: ownAddress, Bounds: Bounds{MaxLease: x.params.lease, EndedJobRetention: time.Minute}, Workers: x.workers, Adviser: x.adviser, Client: x.adviser,
		Logger: log.With(log.NewLogfmtLogger(x.lines), "ms", log.Valuer(virtualMS)), Counters: noCounters{},
		Leader: func() string { return ownAddress }, Members: func() []string { return nil },
	}, x.state, x.log)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	c := x.c
	go func() {
		defer close(done)
		_ = c.Run(ctx)
	}()
	x.stop = func() { cancel(); <-done }
}

const (
	// maxLeaderlessTime bounds the time without a leader at a change of leader.
	maxLeaderlessTime = 1500 * time.Millisecond
	// simStartupTime is the time before the first job is submitted, in which the workers
	// send their first heartbeats.
	simStartupTime = time.Second
)

// changeLeader makes the leader lose its leadership, which it notices a little later.
func (x *simulation) changeLeader() {
	close(x.log.lost)
	time.Sleep(randomDuration(x.random, 0, statusPollInterval))
	x.stop()
	time.Sleep(randomDuration(x.random, 0, maxLeaderlessTime))
	x.startLeader()
}

// sendHeartbeats sends the heartbeats of the reachable instances and workers until ctx
// ends.
func (x *simulation) sendHeartbeats(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		c := x.controller()
		for i := 1; i < x.params.adviserConns; i++ {
			if address := fmt.Sprint("instance", i); !x.adviser.isUnreachable(address) {
				_, _ = c.AnnounceInstance(ctx, &AnnounceInstanceCall{Address: address})
			}
		}
		x.workers.mu.Lock()
		var announcements []*Announcement
		for i, w := range x.workers.all {
			if w.reachable(time.Now()) && i%heartbeatGroups == round%heartbeatGroups {
				w.Sequence++
				announcements = append(announcements, &Announcement{Worker: w.Worker, Sequence: w.Sequence})
			}
		}
		x.workers.mu.Unlock()
		for _, call := range announcements {
			go func() { _, _ = c.Announce(ctx, call) }()
		}
		select {
		case <-ctx.Done():
		case <-time.After(simHeartbeatInterval):
		}
	}
}

const (
	// simHeartbeatInterval is the time between two rounds of heartbeats. Each worker takes
	// part in one of heartbeatGroups rounds.
	simHeartbeatInterval = 250 * time.Millisecond
	heartbeatGroups      = 4
)

// submit submits a job to a queue.
func (x *simulation) submit(queue *workflow.Queue, steps []workflow.Step) {
	x.jobs++
	id := fmt.Sprint("j", x.jobs, "-", queue.Name)
	x.mu.Lock()
	x.steps[id] = steps
	c := x.c
	x.mu.Unlock()
	go func() {
		_, _ = c.Submit(context.Background(), &SubmitCall{Address: JobAddress{Host: simHost, Path: queue.Prefix + id}, Payload: "p", Steps: steps})
	}()
}

// configure commits the queues.
func (x *simulation) configure() {
	document := &workflow.Document{Version: 1, Source: []byte("{}"), Queues: x.params.queues}
	data, err := (&workflow.Command{Configuration: document}).Encode()
	if err != nil {
		x.t.Fatal(err)
	}
	x.state.Apply(0, data)
}

// run runs the simulation, and returns the violations found, nil for none.
func (x *simulation) run() []string {
	x.configure()
	for i := range x.params.workers {
		x.workers.add(fmt.Sprint("w", i), 1)
	}
	x.startLeader()
	defer func() {
		x.stop()
		// Calls in flight end before the simulation does.
		time.Sleep(2 * commitTimeout)
	}()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go x.workers.runTasks(ctx)
	go x.sendHeartbeats(ctx)
	time.Sleep(simStartupTime)
	for range x.params.unplaceable {
		x.submit(&x.params.queues[0], unplaceableSteps(unknownLabel, ""))
	}
	if queue := x.advisedQueue(); queue != nil {
		for range x.params.refused {
			x.submit(queue, unplaceableSteps("", refusedImage))
		}
	}
	if found := x.runWithFaults(); len(found) > 0 {
		return found
	}
	x.endFaults()
	return x.awaitCompletion()
}

// advisedQueue returns the first queue that needs permits, nil if there is none.
func (x *simulation) advisedQueue() *workflow.Queue {
	for i := range x.params.queues {
		if x.params.queues[i].Policy.Advice != nil {
			return &x.params.queues[i]
		}
	}
	return nil
}

// endFaults ends the load and all faults.
func (x *simulation) endFaults() {
	x.mu.Lock()
	x.faultsOver = true
	x.mu.Unlock()
	x.workers.mu.Lock()
	x.workers.faultsOver = true
	x.workers.restoreCapacities()
	x.workers.mu.Unlock()
	x.store.mu.Lock()
	x.store.slowUntil, x.store.delayedUntil, x.store.fullUntil = time.Time{}, time.Time{}, time.Time{}
	x.store.mu.Unlock()
	x.lines.logf("faults over")
}

// Checks that the leader starts all accepted work for which resources are free. The
// parameters are drawn from the seed. Calls to workers are lost, refused, misdirected or
// carried out late, and their responses are lost or late; workers crash, become
// unreachable and refuse starts; reports are partial; leaders change; the log is slow,
// delayed or full and leaves the outcome of commands unknown; more work arrives than
// fits. Then all faults end, and each ready task with free resources for twice its demand
// has to start within a bound.
//
// The outcome of each call depends only on the seed and the call, time is virtual, and
// all bounds are far above what correct code needs. The order of goroutines that run at
// the same virtual time isn't seeded, so two runs of a seed differ in their details.
//
// BILBERRY_SEEDS sets the number of seeds, BILBERRY_SEED the first one.
func TestSimulationStartsAllPlaceableWork(t *testing.T) {
	defaultSeeds := 6
	if testing.Short() {
		defaultSeeds = 2
	}
	seeds, first := envNumber("BILBERRY_SEEDS", defaultSeeds), envNumber("BILBERRY_SEED", 1)
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				x := newSimulation(t, uint64(seed))
				found := x.run()
				x.logFigures()
				if len(found) > 0 {
					t.Errorf("%s\n%s", strings.Join(found, "\n"), x.lines.linesAbout(jobsNamedIn(found)...))
				}
			})
		})
	}
}

// logFigures logs the drawn parameters of the seed and what happened.
func (x *simulation) logFigures() {
	x.workers.mu.Lock()
	defer x.workers.mu.Unlock()
	d := x.params
	withCrashingTask, withoutCrashingTask := x.countGivenUp()
	x.t.Logf("crashing task chance %.4f, shrinks %t, same names %t; jobs given up: %d with a crashing task, %d without; workers %d, adviser connections %d, permitted share %.2f, lease %v, load %.2f, burst %.2f, unplaceable %d, refused %d, faults %+v; jobs %d, starts %d, queries %d, leaders %d, largest backlog %d, commands refused %d, with unknown outcome %d, virtual time %v",
		d.crashingTaskChance, d.shrinks, d.sameNames, withCrashingTask, withoutCrashingTask, d.workers, d.adviserConns, d.permittedShare, d.lease, d.load, d.burst, d.unplaceable, d.refused, d.faults, x.jobs, x.workers.starts, x.adviser.queries, x.term, x.maxBacklog,
		x.store.refused, x.store.unknownOutcomes, time.Since(x.startedAt).Round(time.Millisecond))
}

// jobsNamedIn returns the words by which log lines name the jobs of the findings.
func jobsNamedIn(found []string) []string {
	var jobs []string
	for _, f := range found {
		for word := range strings.FieldsSeq(f) {
			if job, _, ok := strings.Cut(strings.TrimPrefix(word, "task="), "/"); ok && strings.HasPrefix(job, "j") {
				jobs = append(jobs, job+"/", "job="+job+" ")
			}
		}
	}
	return jobs
}
