package control

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// The random streams of a seed that only the simulation with carriers uses: simCarrierStream for
	// the carriers, simPhaseStream for the load and the restarts of workers, simWakeStream for the log.
	simCarrierStream = 8
	simPhaseStream   = 9
	simWakeStream    = 10
	// carrierLease is shorter than the idle phases.
	carrierLease = 4 * time.Second
	// The load comes in bursts, with idle phases between them that are longer than carrierLease.
	minIdlePhase, maxIdlePhase   = carrierLease * 3 / 2, carrierLease * 5 / 2
	minBurstPhase, maxBurstPhase = 100 * time.Millisecond, 400 * time.Millisecond
	simBursts                    = 6
	// maxBurstTasks bounds the tasks of a step, maxBurstEstimateMS their estimates, so that the
	// workers are idle soon after a burst.
	maxBurstTasks      = maxTasksPerStep
	maxBurstEstimateMS = 400
	burstLoad          = 1.5
	// maxWakeDelay bounds the time from the application of a command until its proposer goes on.
	maxWakeDelay = 5 * time.Millisecond
	// minQuickRestart and maxQuickRestart bound how long a worker is down that restarts.
	minQuickRestart, maxQuickRestart = 20 * time.Millisecond, 600 * time.Millisecond
	// quickRestartInterval is the mean time between two of these restarts in a burst.
	quickRestartInterval = 150 * time.Millisecond
	// startsPerCarrierFault is the inverse of the probability that the commit of starts on idle
	// workers is followed by a fault of a carrier at once. If one of these workers has a lease that is
	// over, the fault is the sudden end of its carrier: the only one that a leader learns of at once.
	startsPerCarrierFault = 2
	// maxCarrierStopTime bounds how long a stop takes.
	maxCarrierStopTime = 600 * time.Millisecond
	// carrierFaultInterval is the mean time between two other faults of carriers.
	carrierFaultInterval = 400 * time.Millisecond
)

// carrierFaultLine is a word of the log lines about faults of carriers.
const carrierFaultLine = "fault of"

// SimCarriers are the simulated carriers, which outlive the leaders.
type SimCarriers interface {
	// NewPath returns the path of a new leader's orders, and the function that opens it for a term.
	NewPath() (path Workers, open func(ctx context.Context, term uint64))
	// InjectFault injects faults that are drawn from the seed.
	InjectFault()
	// KillPoller ends, without a word, the carrier that polls a worker.
	KillPoller(worker string)
	// EndFaults ends all faults.
	EndFaults()
	// EndedSince returns whether the carrier that an error names has ended since a time.
	EndedSince(err error, since time.Time) bool
}

// SimCarriersConfig configures simulated carriers.
type SimCarriersConfig struct {
	Random *rand.Rand
	// Workers makes the calls to the simulated workers.
	Workers Workers
	Counts  *SimCarrierCounts
	Logger  log.Logger
	// Logf writes a line that is printed if the simulation fails.
	Logf func(format string, args ...any)
}

// SimulateWithCarriers runs the simulation with carriers for some seeds and checks that these
// have reached all dangerous states, each at least once. Few seeds, as in short mode, may miss some.
func SimulateWithCarriers(t *testing.T, defaultSeeds int, newCarriers func(SimCarriersConfig) SimCarriers) {
	var total SimCarrierCounts
	t.Run("seeds", func(t *testing.T) {
		simulateSeeds(t, defaultSeeds, func(sim *simulation) { sim.useCarriers(newCarriers, &total) })
	})
	if !testing.Short() && envNumber("BILBERRY_SEEDS", defaultSeeds) >= defaultSeeds {
		total.requireAll(t)
	}
}

// simPhases are the idle phases and bursts of the load.
type simPhases struct {
	// bursts holds the beginning and the end of each burst, by the age of the load.
	bursts [][2]time.Duration
}

// drawPhases draws the phases; the first one is a burst.
func drawPhases(random *rand.Rand) (p simPhases) {
	age := time.Duration(0)
	for range simBursts {
		end := age + randomDuration(random, minBurstPhase, maxBurstPhase)
		p.bursts = append(p.bursts, [2]time.Duration{age, end})
		age = end + randomDuration(random, minIdlePhase, maxIdlePhase)
	}
	return p
}

// length returns the time until the end of the last burst.
func (p *simPhases) length() time.Duration { return p.bursts[len(p.bursts)-1][1] }

// isBurst reports whether the load of an age belongs to a burst.
func (p *simPhases) isBurst(age time.Duration) bool {
	for _, burst := range p.bursts {
		if age >= burst[0] && age < burst[1] {
			return true
		}
	}
	return false
}

// useCarriers makes the leaders of a simulation send their orders through carriers, with a load
// of bursts, and adds what it reaches to total.
func (sim *simulation) useCarriers(newCarriers func(SimCarriersConfig) SimCarriers, total *SimCarrierCounts) {
	random := rand.New(rand.NewPCG(sim.seed, simPhaseStream))
	sim.phases = drawPhases(random)
	p := sim.params
	p.lease, p.faultPeriod = carrierLease, sim.phases.length()+time.Second
	p.maxTasks, p.maxEstimateMS, p.load, p.burst = maxBurstTasks, maxBurstEstimateMS, burstLoad, 0
	p.unplaceable, p.refused, p.crashingTaskProbability = 0, 0, 0
	p.workers, p.faultInterval = min(p.workers, maxWorkers), carrierLease/2
	p.faults.lost, p.faults.late, p.faults.unanswered = p.faults.lost/callFaultDivisor, p.faults.late/callFaultDivisor, p.faults.unanswered/callFaultDivisor
	for i := range p.queues {
		p.queues[i].Policy.Advice = nil
	}
	sim.counts = &SimCarrierCounts{total: total}
	sim.carriers = newCarriers(SimCarriersConfig{
		Random: rand.New(rand.NewPCG(sim.seed, simCarrierStream)), Workers: sim.workers, Counts: sim.counts,
		Logger: log.With(log.NewLogfmtLogger(sim.eventLog), "ms", log.Valuer(virtualMS)), Logf: sim.eventLog.logf,
	})
	sim.store.wakeRandom = rand.New(rand.NewPCG(sim.seed, simWakeStream))
	sim.store.onStarts = sim.disturbStarts(random)
	sim.workers.maxStopTime = maxCarrierStopTime
	sim.phaseRandom = random
}

// callFaultDivisor reduces the rates of calls without a response: the next poll of a worker then
// extends its lease, and most leases have to be over at the beginning of a burst.
const callFaultDivisor = 4

// disturbStarts returns a function that injects faults of carriers when starts have just been
// committed. It prefers the carrier of an idle worker whose lease is over.
func (sim *simulation) disturbStarts(random *rand.Rand) func([]workflow.Run) {
	drawn := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
	return func(started []workflow.Run) {
		if !oneIn(drawn, startsPerCarrierFault) {
			return
		}
		time.AfterFunc(randomDuration(drawn, 0, maxWakeDelay), func() {
			if worker := sim.workerAfterLease(started); worker != "" {
				sim.carriers.KillPoller(worker)
				return
			}
			sim.carriers.InjectFault()
		})
	}
}

// workerAfterLease returns a worker of the runs whose lease is over, "" if there is none.
func (sim *simulation) workerAfterLease(runs []workflow.Run) string {
	for _, run := range runs {
		if view := sim.viewSession(run.Worker); view.monitored && time.Now().After(view.leaseEnd) {
			return run.Worker
		}
	}
	return ""
}

// disturb injects faults of carriers, and restarts workers during bursts, until the faults are over.
func (sim *simulation) disturb(ctx context.Context, start time.Time) {
	if sim.carriers == nil {
		return
	}
	nextFault, nextRestart := time.Now(), time.Now()
	for ctx.Err() == nil && !sim.areFaultsOver() {
		time.Sleep(simTick)
		now, burst := time.Now(), sim.phases.isBurst(time.Since(start))
		faultDue := now.After(nextFault)
		if faultDue && burst {
			sim.carriers.InjectFault()
		}
		if faultDue || !burst {
			// The first fault of a burst mustn't always precede its starts.
			nextFault = now.Add(randomDuration(sim.phaseRandom, 0, 2*carrierFaultInterval))
		}
		if now.After(nextRestart) {
			nextRestart = now.Add(sim.restartInterval(burst))
			sim.restartRandomWorker()
		}
	}
}

// idleRestartFactor is how many times rarer restarts are in idle phases.
const idleRestartFactor = 8

func (sim *simulation) restartInterval(burst bool) time.Duration {
	interval := randomDuration(sim.phaseRandom, 0, 2*quickRestartInterval)
	if burst {
		return interval
	}
	return idleRestartFactor * interval
}

// restartRandomWorker ends a worker and starts its next incarnation soon afterwards.
func (sim *simulation) restartRandomWorker() {
	downtime := randomDuration(sim.phaseRandom, minQuickRestart, maxQuickRestart)
	sim.workers.mu.Lock()
	defer sim.workers.mu.Unlock()
	w := sim.workers.incarnations[sim.phaseRandom.IntN(len(sim.workers.incarnations))]
	if w.crashed {
		return
	}
	sim.eventLog.logf("worker %s restarts after %v", w.ID, downtime)
	sim.workers.crash(w)
	sim.workers.scheduleReturn(w, downtime)
}

// orderPath returns the path of a new leader's orders, and the function that opens it for a term.
func (sim *simulation) orderPath() (Workers, func(ctx context.Context, term uint64)) {
	if sim.carriers == nil {
		return sim.workers, nil
	}
	path, open := sim.carriers.NewPath()
	return &observedPath{Workers: path, sim: sim}, open
}

// observedPath counts the dangerous states that the orders of a leader reach.
type observedPath struct {
	Workers
	sim *simulation
}

// Start sends a start, and records for how long the leader waits for it.
func (p *observedPath) Start(ctx context.Context, to Target, order StartOrder) (int64, error) {
	p.sim.counts.beginStart(order.Run)
	defer p.sim.counts.endStart(order.Run)
	return p.Workers.Start(ctx, to, order)
}

// Poll sends a poll, and counts the states in which it gets no response.
func (p *observedPath) Poll(ctx context.Context, to Target, order PollOrder) (Report, error) {
	began := time.Now()
	idleLeaseEnd := p.sim.viewSession(to.Worker).leaseEnd
	report, err := p.Workers.Poll(ctx, to, order)
	if err == nil || ctx.Err() != nil || !outcomeUnknown(err) {
		return report, err
	}
	p.sim.counts.addUnansweredPoll(unansweredPoll{
		failedByCarrier: order.Repeat && p.sim.carriers.EndedSince(err, began),
		idleLeaseOver:   time.Now().After(idleLeaseEnd),
		session:         p.sim.viewSession(to.Worker),
	})
	return report, err
}

// sessionView is what the leader knows of a worker.
type sessionView struct {
	// monitored says that the leader has a session of the worker.
	monitored bool
	leaseEnd  time.Time
	// unsentStarts are the runs of the log whose start hasn't been sent, startsInFlight those whose
	// first start call has got no response.
	unsentStarts, startsInFlight int
}

func (sim *simulation) viewSession(worker string) (view sessionView) {
	c := sim.controller()
	c.mu.Lock()
	term := c.leaderTerm
	c.mu.Unlock()
	if term == nil {
		return view
	}
	term.mu.Lock()
	defer term.mu.Unlock()
	s := term.sessions[worker]
	if s == nil {
		return view
	}
	view.monitored, view.leaseEnd = true, s.leaseEnd
	sim.state.read(func(state *workflow.State) {
		for task, run := range state.Runs[worker] {
			switch o := s.orders[task]; {
			case s.inherited[task] >= run.Number || s.isEndKnown(run):
			case o == nil || o.run.Number < run.Number || o.startInProgress && o.openCalls == 0 && o.startedAt.IsZero():
				view.unsentStarts++
			case o.startInProgress && o.startedAt.IsZero():
				view.startsInFlight++
			}
		}
	})
	return view
}
