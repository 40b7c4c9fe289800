package control

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// simParams are the parameters that a seed draws: the size of the cluster, the load and
// the faults.
type simParams struct {
	workers int
	// capacity is the capacity of each worker.
	capacity workflow.Resources
	// adviserConns is the number of instances through which queries reach the adviser.
	// permittedShare is the share of the workers on which a step is permitted.
	adviserConns   int
	permittedShare float64
	lease          time.Duration
	// maxTasks bounds the tasks of a step, maxEstimateMS the estimates in milliseconds.
	maxTasks, maxEstimateMS float64
	// queues differ in priority, objective and adviser policy.
	queues []workflow.Queue
	// faultPeriod is how long load is submitted and faults are injected.
	faultPeriod time.Duration
	// load is the submitted work as a multiple of the capacity. From burstStart on for
	// burstDuration, burst replaces load if burst is higher.
	load, burst               float64
	burstStart, burstDuration time.Duration
	// unplaceable and refused are the numbers of steps that are submitted first and never
	// run: no worker can run the former, and the adviser permits the latter on no worker.
	unplaceable, refused int
	// faults are the fault rates of single calls, faultInterval is the mean time between
	// two other faults.
	faults        faultRates
	faultInterval time.Duration
	// crashingTaskProbability is the probability that a task crashes each worker that
	// starts it. capacityShrinks enables changes of the workers' capacity.
	crashingTaskProbability float64
	capacityShrinks         bool
	// keepsWorkerNames makes a worker return under its previous name.
	keepsWorkerNames bool
	// callDelay, unless 0, is how long a call to a worker takes one way. Calls then use
	// connections, and have no other faults.
	callDelay time.Duration
}

// faultRates are the probabilities of the faults of one call: a lost call never arrives,
// an unanswered one is carried out without a response, a late one is carried out after
// its caller has given up, a slow one is carried out and its response is delayed, a
// refused one is a start that the worker refuses, a misdirected one is a start that gets
// the response of another incarnation. queryLost is the probability that an adviser query
// gets no response, failed that a run fails.
type faultRates struct {
	lost, unanswered, late, slow, refused, misdirected, queryLost, failed float64
}

const (
	simHost = "h"
	// minWorkers and maxWorkers bound the usual cluster size. One in largeClusterOneIn
	// clusters has largeClusterWorkers workers and largeClusterConns adviser connections.
	minWorkers, maxWorkers                 = 8, 60
	largeClusterWorkers, largeClusterOneIn = 350, 25
	largeClusterConns                      = 44
	// repeatedQueries is how many queries of a step are repeated to renew tickets,
	// gangQueryRounds how many times a gang may query about all workers.
	repeatedQueries = 2
	gangQueryRounds = 3
)

// logUniform draws a number between low and high whose logarithm is uniformly
// distributed.
func logUniform(random *rand.Rand, low, high float64) float64 {
	return low * math.Pow(high/low, random.Float64())
}

// randomDuration draws a duration between low and high.
func randomDuration(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Float64()*float64(high-low))
}

// oneIn returns true with probability 1/n.
func oneIn(random *rand.Rand, n int) bool { return random.IntN(n) == 0 }

// drawParams draws the parameters of a simulation.
func drawParams(random *rand.Rand) *simParams {
	p := &simParams{
		workers:        minWorkers + random.IntN(maxWorkers-minWorkers+1),
		capacity:       workflow.Resources{MilliCPU: int64(4+random.IntN(28)) * 1000, MemoryMB: 64_000},
		adviserConns:   1 + random.IntN(12),
		permittedShare: 0.2 + 0.8*random.Float64(),
		lease:          []time.Duration{4 * time.Second, 6 * time.Second, 10 * time.Second}[random.IntN(3)],
		maxTasks:       logUniform(random, 2, maxTasksPerStep+1),
		maxEstimateMS:  logUniform(random, 60, 3000),
		faultPeriod:    randomDuration(random, 4*time.Second, 10*time.Second),
		load:           0.2 + 0.7*random.Float64(),
		faultInterval:  randomDuration(random, 150*time.Millisecond, 1500*time.Millisecond),
	}
	if oneIn(random, largeClusterOneIn) {
		p.workers, p.adviserConns = largeClusterWorkers, largeClusterConns
	}
	if oneIn(random, 2) {
		p.burst = logUniform(random, 1.2, 8)
		p.burstStart = randomDuration(random, 0, p.faultPeriod*3/4)
		p.burstDuration = randomDuration(random, 500*time.Millisecond, 3*time.Second)
	}
	if oneIn(random, 4) {
		p.unplaceable = 20 + random.IntN(200)
	}
	if oneIn(random, 4) {
		p.refused = 20 + random.IntN(200)
	}
	p.drawFaults(random)
	if oneIn(random, 2) {
		p.crashingTaskProbability = logUniform(random, 0.001, 0.02)
	}
	p.capacityShrinks, p.keepsWorkerNames = oneIn(random, 2), oneIn(random, 2)
	for i := range 1 + random.IntN(4) {
		p.queues = append(p.queues, drawQueue(random, i))
	}
	return p
}

// drawFaults makes each kind of fault frequent in some simulations and absent in others.
func (p *simParams) drawFaults(random *rand.Rand) {
	chance := func(maxChance float64) float64 {
		if oneIn(random, 2) {
			return 0
		}
		return logUniform(random, maxChance/30, maxChance)
	}
	p.faults = faultRates{
		lost: chance(0.1), unanswered: chance(0.1), late: chance(0.1), slow: chance(0.2), refused: chance(0.2),
		misdirected: chance(0.03), queryLost: chance(0.1), failed: chance(0.2),
	}
}

func drawQueue(random *rand.Rand, i int) workflow.Queue {
	q := workflow.Queue{
		Name: fmt.Sprint("q", i), Host: simHost, Prefix: fmt.Sprintf("/q%d/", i),
		Policy: workflow.Policy{
			Service: "s", Priority: random.IntN(3), MaxAttempts: 3 + random.IntN(4),
			Stretch: 1.2 + 3*random.Float64(), ObjectiveMS: int64(logUniform(random, 20, 3000)),
		},
	}
	if !oneIn(random, 5) {
		q.Policy.Advice = &workflow.AdvicePolicy{
			BaseMS: logUniform(random, 2, 700), PerWorkerMS: logUniform(random, 0.1, 8), TicketValidityMS: int64(logUniform(random, 800, 20_000)),
		}
	}
	return q
}

// drawJob draws the steps of a job; a second step depends on the first.
func (p *simParams) drawJob(random *rand.Rand) []workflow.Step {
	steps := []workflow.Step{p.drawStep(random)}
	if oneIn(random, 4) {
		next := p.drawStep(random)
		next.DependsOn = []int{0}
		steps = append(steps, next)
	}
	return steps
}

const maxTasksPerStep = 60

func (p *simParams) drawStep(random *rand.Rand) workflow.Step {
	step := workflow.Step{
		Count:      int(logUniform(random, 1, p.maxTasks)),
		Need:       workflow.Resources{MilliCPU: int64(logUniform(random, 500, float64(p.capacity.MilliCPU)/1.5)), MemoryMB: 100},
		EstimateMS: int64(logUniform(random, 40, p.maxEstimateMS)),
	}
	switch random.IntN(6) {
	case 0, 1:
		step.Gang = true
		// A gang with more tasks never fits twice into the free resources, so
		// awaitCompletion would not check how long that gang waits.
		step.Count = min(step.Count, max(1, p.workers/3))
	case 2:
		step.Speculative = true
	case 3:
		step.MaxPerWorker = 1 + random.IntN(3)
	}
	return step
}

const (
	// unknownLabel is a label that no worker has, refusedImage an image that the adviser
	// refuses everywhere.
	unknownLabel = "nowhere"
	refusedImage = "refused"
)

// unplaceableSteps returns the single step of a job that no worker may run.
func unplaceableSteps(label, image string) []workflow.Step {
	return []workflow.Step{{
		Count: 1, Need: workflow.Resources{MilliCPU: 500, MemoryMB: 10}, EstimateMS: 60_000, Label: label, Image: image,
	}}
}

// workOf returns the work of the tasks of a job, in millicores times milliseconds.
func workOf(steps []workflow.Step) float64 {
	work := 0.0
	for i := range steps {
		work += float64(steps[i].Count) * float64(steps[i].Need.MilliCPU) * float64(steps[i].EstimateMS)
	}
	return work
}

// queriesPerStep returns the number of queries that a step other than a gang may need:
// each names workersPerQuery of all workers, and some are repeated to renew tickets.
func (p *simParams) queriesPerStep() int {
	return (p.workers+workersPerQuery-1)/workersPerQuery + repeatedQueries
}

// adviserTime returns the longest time for which a step occupies the adviser.
func (p *simParams) adviserTime(q *workflow.Queue, step *workflow.Step) time.Duration {
	if q.Policy.Advice == nil {
		return 0
	}
	if step.Gang {
		workers := min(p.workers, gangWorkersPerQuery)
		queries := (p.workers + gangWorkersPerQuery - 1) / gangWorkersPerQuery
		return time.Duration(gangQueryRounds*queries) * queryDuration(q.Policy.Advice, workers)
	}
	return time.Duration(p.queriesPerStep()) * queryDuration(q.Policy.Advice, min(workersPerQuery, p.workers))
}
