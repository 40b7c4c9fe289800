package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"regexp"
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
	// maxWholeFleet is Config.MaxWholeFleet of the leaders.
	maxWholeFleet int
	// leaveInterval is the mean time between two planned shutdowns.
	leaveInterval time.Duration
	// tenureInterval is the mean time between two ends of a tenure whose member still leads, 0 for none.
	// tenureEnds counts them.
	tenureInterval time.Duration
	tenureEnds     int
	t              *testing.T
	seed           uint64
	params         *simParams
	random         *rand.Rand
	state          *StateMachine
	store          *simStore
	workers        *simWorkers
	adviser        *simAdviser
	eventLog       *simLog
	customers      *simCustomers
	// carriers make the calls to the workers, with phases of the load, draws from phaseRandom and
	// counts; without carriers the leader calls the workers itself.
	carriers    SimCarriers
	phases      simPhases
	phaseRandom *rand.Rand
	counts      *SimCarrierCounts
	startedAt   time.Time
	jobs        int
	// workBudget and adviserBudget are how much work, in millicores times milliseconds,
	// and adviser time, in milliseconds, the load may still use.
	workBudget, adviserBudget float64
	// maxBacklog is the largest number of waiting steps that one decision did not consider.
	maxBacklog int

	mu         sync.Mutex
	steps      map[string][]workflow.Step
	leader     *Controller
	log        *simReplica
	stop       func()
	faultsOver bool
}

// The random streams of a seed: simulationStream for the parameters, load and faults,
// simStoreStream for the log, and simAdviserStream for the adviser.
const (
	simulationStream = 3
	simStoreStream   = 4
	simAdviserStream = 5
)

func newSimulation(t *testing.T, seed uint64) *simulation {
	random := rand.New(rand.NewPCG(seed, simulationStream))
	sim := &simulation{
		t: t, seed: seed, params: drawParams(random), random: random, state: NewStateMachine(), eventLog: &simLog{},
		startedAt: time.Now(), steps: map[string][]workflow.Step{}, leaveInterval: meanLeaveInterval,
	}
	sim.customers = newSimCustomers(sim, seed)
	sim.store = &simStore{random: rand.New(rand.NewPCG(seed, simStoreStream)), state: sim.state, member: newSimMember()}
	sim.workers = &simWorkers{
		checkLimits: sim.customers.checkLimits,
		params:      sim.params, seed: seed, stepOf: sim.stepOf, eventLog: sim.eventLog, current: map[string]*simWorker{}, conns: map[string]*simWorker{}, calls: map[string]int{},
		startedAt: map[workflow.TaskKey][]time.Time{}, doneAt: map[workflow.TaskKey]time.Time{}, completeGangs: map[gangRun]bool{},
		lastStart: map[workflow.StepKey]time.Time{}, allowedOrphans: map[string]bool{},
		crashes: map[workflow.TaskKey]int{}, startsAfterThirdCrash: map[workflow.TaskKey]int{},
	}
	sim.adviser = &simAdviser{
		params: sim.params, seed: seed, policyOf: sim.adviceOf, stepOf: sim.stepOf, faultsOver: sim.areFaultsOver, random: rand.New(rand.NewPCG(seed, simAdviserStream)), busyUntil: map[string]time.Time{}, unreachableUntil: map[string]time.Time{},
	}
	return sim
}

func (sim *simulation) stepOf(task workflow.TaskKey) *workflow.Step {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	steps := sim.steps[task.Job]
	if task.Step >= len(steps) {
		return nil
	}
	return &steps[task.Step]
}

func (sim *simulation) adviceOf(step workflow.StepKey) (advice *workflow.AdvicePolicy) {
	sim.state.read(func(s *workflow.State) {
		if job := s.Jobs[step.Job]; job != nil {
			advice = job.Policy.Advice
		}
	})
	return advice
}

func (sim *simulation) areFaultsOver() bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.faultsOver
}

// controller returns the current leader's controller.
func (sim *simulation) controller() *Controller {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.leader
}

// startLeader starts the next leader.
func (sim *simulation) startLeader() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.log = newSimReplica(sim.store)
	path, openPath := sim.orderPath()
	sim.leader = New(Config{
		Address: ownAddress, Bounds: Bounds{MaxLease: sim.params.lease, EndedJobRetention: time.Minute}, Workers: path, OnElected: openPath, Adviser: sim.adviser, Client: sim.adviser,
		Logger: log.With(log.NewLogfmtLogger(sim.eventLog), "ms", log.Valuer(virtualMS)), Counters: noCounters{},
		Leader: func() string { return ownAddress }, Members: func() []string { return nil }, MaxWholeFleet: sim.maxWholeFleet,
	}, sim.state, sim.log)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	c := sim.leader
	go func() {
		defer close(done)
		_ = c.Run(ctx)
	}()
	sim.stop = func() { cancel(); <-done }
}

const (
	// maxLeaderlessTime bounds the time without a leader at a change of leader.
	maxLeaderlessTime = 1500 * time.Millisecond
	// simStartupTime is the time before the first job is submitted, in which the workers
	// send their first heartbeats.
	simStartupTime = time.Second
)

// changeLeader makes the leader lose its leadership. The leader notices within
// statusPollInterval, and another one starts up to maxLeaderlessTime later.
func (sim *simulation) changeLeader() {
	sim.log.replace()
	time.Sleep(randomDuration(sim.random, 0, statusPollInterval))
	sim.stop()
	time.Sleep(randomDuration(sim.random, 0, maxLeaderlessTime))
	sim.startLeader()
}

// sendHeartbeats sends the heartbeats of the reachable instances and workers until ctx
// ends.
func (sim *simulation) sendHeartbeats(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		c := sim.controller()
		for i := 1; i < sim.params.adviserConns; i++ {
			if address := fmt.Sprint("instance", i); !sim.adviser.isUnreachable(address) {
				_, _ = c.AnnounceInstance(ctx, &AnnounceInstanceCall{Address: address})
			}
		}
		sim.workers.mu.Lock()
		var announcements []*Announcement
		for i, w := range sim.workers.incarnations {
			if w.reachable(time.Now()) && i%heartbeatGroups == round%heartbeatGroups {
				w.Sequence++
				announcements = append(announcements, &Announcement{Worker: w.Worker, Sequence: w.Sequence})
			}
		}
		sim.workers.mu.Unlock()
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
func (sim *simulation) submit(queue *workflow.Queue, steps []workflow.Step) {
	sim.jobs++
	id := fmt.Sprint("j", sim.jobs, "-", queue.Name)
	sim.mu.Lock()
	sim.steps[id] = steps
	c := sim.leader
	sim.mu.Unlock()
	key, sentAt := sim.customers.drawKey(sim.customers.submitRandom), time.Now()
	go func() {
		_, err := c.Submit(context.Background(), &SubmitCall{
			Address: JobAddress{Host: simHost, Path: queue.Prefix + id, ID: id}, Payload: "p", Steps: steps, Principal: principalWith(key),
		})
		sim.customers.checkCall("a submission", key, sentAt, err)
		if err == nil {
			sim.customers.checkOwner(id, key, sentAt)
		}
	}()
}

// configure commits the queues.
func (sim *simulation) configure() {
	encoded, err := (&workflow.Command{Configuration: sim.customers.firstVersion()}).Encode()
	if err != nil {
		sim.t.Fatal(err)
	}
	sim.store.mu.Lock()
	defer sim.store.mu.Unlock()
	sim.store.apply(encoded)
}

// run runs the simulation, and returns the violations found, nil for none.
func (sim *simulation) run() []string {
	sim.configure()
	for i := range sim.params.workers {
		sim.workers.add(fmt.Sprint("w", i), 1)
	}
	sim.startLeader()
	defer func() {
		sim.setFaultsOver()
		sim.stop()
		// Calls in flight end before the simulation does.
		time.Sleep(2 * commitTimeout)
	}()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go sim.workers.runTasks(ctx)
	go sim.sendHeartbeats(ctx)
	go sim.customers.run()
	go sim.leaveWorkers(ctx)
	go sim.endTenures(ctx)
	time.Sleep(simStartupTime)
	for range sim.params.unplaceable {
		sim.submit(&sim.params.queues[0], unplaceableSteps(unknownLabel, ""))
	}
	if queue := sim.advisedQueue(); queue != nil {
		for range sim.params.refused {
			sim.submit(queue, unplaceableSteps("", refusedImage))
		}
	}
	found := sim.runWithFaults()
	// Also after a violation: the goroutines that change customers must end before the simulation does.
	sim.endFaults()
	if len(found) > 0 {
		return found
	}
	if difference := sim.memberDifference(); difference != "" {
		return []string{difference}
	}
	found = sim.awaitCompletion()
	if difference := sim.memberDifference(); difference != "" {
		found = append(found, difference)
	}
	return found
}

// memberDifference says how another member that applied the same commands differs, empty if it doesn't.
func (sim *simulation) memberDifference() string {
	sim.store.mu.Lock()
	defer sim.store.mu.Unlock()
	sim.store.member.compare(sim.store.index, sim.state)
	if sim.store.member.difference == "" {
		return ""
	}
	return "the members differ: " + sim.store.member.difference
}

// advisedQueue returns the first queue that needs permits, nil if there is none.
func (sim *simulation) advisedQueue() *workflow.Queue {
	for i := range sim.params.queues {
		if sim.params.queues[i].Policy.Advice != nil {
			return &sim.params.queues[i]
		}
	}
	return nil
}

// setFaultsOver ends the goroutines that make faults.
func (sim *simulation) setFaultsOver() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.faultsOver = true
}

// endFaults ends the load and all faults.
func (sim *simulation) endFaults() {
	sim.setFaultsOver()
	sim.workers.mu.Lock()
	sim.workers.faultsOver = true
	sim.workers.restoreCapacities()
	sim.workers.mu.Unlock()
	sim.store.mu.Lock()
	sim.store.slowUntil, sim.store.delayedUntil, sim.store.fullUntil = time.Time{}, time.Time{}, time.Time{}
	sim.store.mu.Unlock()
	if sim.carriers != nil {
		sim.carriers.EndFaults()
	}
	sim.customers.finish()
	sim.eventLog.logf("faults over")
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
func TestSimulationStartsAllPlaceableWork(t *testing.T) { simulateSeeds(t, 6, func(*simulation) {}) }

// Checks the same where decisions consider a selection of the workers, as in a large fleet.
func TestSimulationWithSelectedWorkersStartsAllPlaceableWork(t *testing.T) {
	simulateSeeds(t, 4, func(sim *simulation) { sim.maxWholeFleet = 1 })
}

// Checks the same where workers shut down all the time.
func TestSimulationWithFrequentShutdownsStartsAllPlaceableWork(t *testing.T) {
	seeds := 6
	if testing.Short() {
		seeds = 1
	}
	simulateSeeds(t, seeds, func(sim *simulation) { sim.leaveInterval = frequentLeaveInterval })
}

// simulateSeeds runs the simulation for some seeds, fewer in short mode. adjust changes it before its start.
func simulateSeeds(t *testing.T, defaultSeeds int, adjust func(*simulation)) {
	if testing.Short() {
		defaultSeeds = min(defaultSeeds, 2)
	}
	seeds, first := envNumber("BILBERRY_SEEDS", defaultSeeds), envNumber("BILBERRY_SEED", 1)
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				sim := newSimulation(t, uint64(seed))
				if testing.Short() {
					sim.leaveInterval = 0
				}
				adjust(sim)
				found := sim.run()
				sim.logSummary()
				if len(found) > 0 {
					t.Errorf("%s\n%s", strings.Join(found, "\n"), sim.eventLog.linesAbout(jobsNamedIn(found)...))
					t.Logf("the tasks and workers:\n%s", sim.eventLog.linesAbout(tasksNamedIn(found)...))
					t.Logf("the carriers:\n%s", sim.eventLog.linesAbout(carrierFaultLine))
				}
			})
		})
	}
}

// logSummary logs the drawn parameters of the seed and what happened.
func (sim *simulation) logSummary() {
	sim.workers.mu.Lock()
	defer sim.workers.mu.Unlock()
	p := sim.params
	withCrashingTask, withoutCrashingTask := sim.countGivenUp()
	sim.t.Logf("shutdowns %d, crashing task chance %.4f, shrinks %t, same names %t; jobs given up: %d with a crashing task, %d without; workers %d, adviser connections %d, permitted share %.2f, lease %v, load %.2f, burst %.2f, unplaceable %d, refused %d, faults %+v; jobs %d, starts %d, queries %d, leaders %d, tenures that ended alone %d, largest backlog %d, commands refused %d, with unknown outcome %d, virtual time %v",
		sim.workers.shutdowns, p.crashingTaskProbability, p.capacityShrinks, p.keepsWorkerNames, withCrashingTask, withoutCrashingTask, p.workers, p.adviserConns, p.permittedShare, p.lease, p.load, p.burst, p.unplaceable, p.refused, p.faults, sim.jobs, sim.workers.starts, sim.adviser.queries, sim.store.term, sim.tenureEnds, sim.maxBacklog,
		sim.store.refused, sim.store.unknownOutcomes, time.Since(sim.startedAt).Round(time.Millisecond))
	if sim.counts != nil {
		sim.t.Log("reached: ", sim.counts)
	}
}

// tasksNamedIn returns the words by which log lines name the tasks and the workers of the findings.
func tasksNamedIn(found []string) (tasks []string) {
	for _, f := range found {
		for word := range strings.FieldsSeq(f) {
			if task := strings.TrimPrefix(word, "task="); strings.Contains(task, "/") {
				tasks = append(tasks, "task="+task+" ")
			}
			if id := strings.TrimPrefix(word, "worker="); workerID.MatchString(id) {
				tasks = append(tasks, "worker="+id, "worker "+id, "to "+id)
			}
		}
	}
	return tasks
}

// workerID matches the ID of a simulated worker.
var workerID = regexp.MustCompile(`^w\d+\.\d+$`)

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
