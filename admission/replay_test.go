package admission

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/customer"
	"github.com/bilberryferry/bilberryferry/dispatch"
	"github.com/bilberryferry/bilberryferry/resource"
	"github.com/bilberryferry/bilberryferry/workflow"
)

var withoutAdmission = flag.Bool("replay.unrefused", false, "replay the load with every job accepted, to compare")

// The replay is half of the first deployment in docs/LOAD.md: workers of 16 cores, ten customers of
// the same weight and limit, and jobs of its three queues that decisions of package dispatch start.
// Jobs arrive until replayEnd; goodput counts from replayWarmUp.
const (
	replayWarmUp    = 15 * time.Second
	replayEnd       = 60 * time.Second
	replayWorkers   = 175
	replayCustomers = 10
	replayLimit     = replayWorkers * 16_000 / 4
	replayTick      = 50 * time.Millisecond
	retriesPerCall  = 4
	callTimeLimit   = 3 * time.Second
)

// replayQueue is a queue of the replay; rate is in jobs per second with load 1.
type replayQueue struct {
	priority, width        int
	rate, secondStep, gang float64
	run, constant          time.Duration
	milliCPU               int64
	stretch                float64
}

type replayJob struct {
	Job
	queue   *replayQueue
	steps   []workflow.Step
	pending []int
	live    int
	// arrived is when the caller first called, accepted when the job was accepted or, before that, is
	// to be submitted again.
	arrived, accepted time.Duration
	tries             int
}

type replayRun struct {
	job    *replayJob
	worker int
	end    time.Duration
}

type replay struct {
	random    *rand.Rand
	now       time.Duration
	estimator *Estimator
	queues    []*replayQueue
	// jobs are the accepted jobs that haven't ended, calls the refused ones that are to be submitted
	// again.
	jobs, calls []*replayJob
	runs        []replayRun
	customers   map[string]*customer.Customer
	earmarked   map[string]bool
	// rateOf returns the multiple of the usual rate that a customer sends to a queue.
	rateOf func(customer string, q *replayQueue) float64
	nextID int
	// offered and inTime count jobs by customer; offeredWork and earned are work in the measured time.
	offered, inTime     map[string]int
	offeredWork, earned float64
}

func newReplay(seed uint64) *replay {
	ms := time.Millisecond
	r := &replay{
		random: rand.New(rand.NewPCG(seed, 1)), estimator: NewEstimator(), customers: map[string]*customer.Customer{}, earmarked: map[string]bool{}, offered: map[string]int{}, inTime: map[string]int{},
		queues: []*replayQueue{
			{priority: 0, rate: 51, width: 3, gang: 0.3, run: 640 * ms, milliCPU: 2500, stretch: 1.5, constant: 300 * ms},
			{priority: 1, rate: 2.2, width: 20, secondStep: 0.2, gang: 1, run: 4000 * ms, milliCPU: 4500, stretch: 2.2, constant: 1000 * ms},
			{priority: 2, rate: 8, width: 25, secondStep: 0.5, run: 2200 * ms, milliCPU: 1700, stretch: 4, constant: 3000 * ms},
		},
	}
	for i := range replayCustomers {
		name := fmt.Sprint("c", i)
		r.customers[name] = &customer.Customer{Name: name, Weight: 1, Limit: resource.Amount{MilliCPU: replayLimit}}
	}
	return r
}

// arrive adds the calls of one tick.
func (r *replay) arrive() {
	for _, name := range replayNames {
		for _, q := range r.queues {
			rate := q.rate * r.rateOf(name, q) / replayCustomers * replayTick.Seconds()
			for ; r.random.Float64() < rate; rate-- {
				r.call(r.newJob(name, q))
			}
		}
	}
}

var replayNames = func() (names []string) {
	for i := range replayCustomers {
		names = append(names, fmt.Sprint("c", i))
	}
	return names
}()

func (r *replay) newJob(name string, q *replayQueue) *replayJob {
	r.nextID++
	j := &replayJob{queue: q, arrived: r.now, Job: Job{ID: fmt.Sprint(r.nextID), Class: Class{Service: "s", Customer: name, Priority: q.priority}}}
	gang := r.random.Float64() < q.gang
	steps := 1
	if r.random.Float64() < q.secondStep {
		steps = 2
	}
	for i := range steps {
		step := workflow.Step{Count: 1 + r.random.IntN(2*q.width-1), Need: resource.Amount{MilliCPU: q.milliCPU}, EstimateMS: q.run.Milliseconds(), Gang: gang}
		if i > 0 {
			step.DependsOn = []int{i - 1}
		}
		j.steps = append(j.steps, step)
		j.Work = j.Work.Plus(WorkOf(step.Need, step.Need, step.Count, step.EstimateMS))
		j.Chain += q.run
	}
	j.Objective = time.Duration(q.stretch*float64(j.Chain)) + q.constant
	r.offered[name]++
	if r.now >= replayWarmUp {
		r.offeredWork += float64(j.Work.OnWorkers.MilliCPU)
	}
	return j
}

// call submits a job. A caller whose job is refused retries when it is told to, within its limits.
func (r *replay) call(j *replayJob) {
	j.tries++
	refusal := r.estimator.Check(r.now, &j.Job)
	if *withoutAdmission {
		refusal = nil
	}
	if refusal == nil {
		r.estimator.Add(r.now, &j.Job)
		j.accepted = r.now
		r.jobs = append(r.jobs, j)
		j.setPending()
		return
	}
	if again := r.now + refusal.RetryAfter; j.tries <= retriesPerCall && again-j.arrived < callTimeLimit {
		j.accepted = again
		r.calls = append(r.calls, j)
	}
}

func (j *replayJob) setPending() {
	j.pending = make([]int, j.steps[0].Count)
	for i := range j.pending {
		j.pending[i] = i
	}
}

// retry repeats the calls that are due.
func (r *replay) retry() {
	due := slices.Clone(r.calls)
	r.calls = slices.DeleteFunc(r.calls, func(j *replayJob) bool { return j.accepted <= r.now })
	for _, j := range due {
		if j.accepted <= r.now {
			r.call(j)
		}
	}
}

// end ends runs, and jobs with their last run.
func (r *replay) end() {
	r.runs = slices.DeleteFunc(r.runs, func(run replayRun) bool {
		if run.end > r.now {
			return false
		}
		j := run.job
		j.live--
		if j.live > 0 || len(j.pending) > 0 {
			return true
		}
		if j.steps = j.steps[1:]; len(j.steps) > 0 {
			j.setPending()
			return true
		}
		work := float64(j.Work.OnWorkers.MilliCPU)
		if r.now < replayWarmUp || r.now > replayEnd {
			work = 0
		}
		switch age := r.now - j.accepted; {
		case age <= j.Objective:
			r.earned += work
			r.inTime[j.Customer]++
		case age <= WorthlessAfterObjectives*j.Objective:
			r.earned += work / 5
		}
		return true
	})
	r.jobs = slices.DeleteFunc(r.jobs, func(j *replayJob) bool { return len(j.steps) == 0 })
}

// decide makes a decision, updates the estimator as the leader does and starts the planned runs.
func (r *replay) decide() {
	workers := make([]dispatch.Worker, replayWorkers)
	capacity := resource.Amount{MilliCPU: 16_000}
	pool := Room{}
	for i := range workers {
		workers[i] = dispatch.Worker{Worker: workflow.Worker{ID: fmt.Sprintf("w%03d", i), Service: "s", Capacity: capacity}, Free: capacity}
		pool.Total = pool.Total.Plus(capacity)
	}
	limits := map[string]Room{}
	for name, c := range r.customers {
		limits[name] = Room{Total: c.Limit}
	}
	for _, run := range r.runs {
		need := run.job.steps[0].Need
		w := &workers[run.worker]
		w.Free = w.Free.Minus(need)
		w.Releases = append(w.Releases, dispatch.Release{At: run.end, Resources: need, Priority: run.job.Priority})
		rest := need.Times(run.job.queue.run.Milliseconds() / 2)
		pool.Held, pool.Rest = pool.Held.Plus(need), pool.Rest.Plus(rest)
		limit := limits[run.job.Customer]
		limit.Held, limit.Rest = limit.Held.Plus(need), limit.Rest.Plus(rest)
		limits[run.job.Customer] = limit
	}
	room := map[string]resource.Amount{}
	for name, c := range r.customers {
		room[name] = c.Headroom(limits[name].Held)
	}
	var steps []dispatch.Step
	byID := map[string]*replayJob{}
	queued := Sums{}
	for _, j := range r.jobs {
		byID[j.ID] = j
		age, spec := r.now-j.accepted, &j.steps[0]
		lateness := 0
		switch {
		case age > WorthlessAfterObjectives*j.Objective:
			lateness = 2
		case age+time.Duration(0.6*float64(j.queue.run)) > j.Objective:
			lateness = 1
		}
		if lateness < 2 {
			queued.Add(j.Class, WorkOf(spec.Need, spec.Need, len(j.pending), spec.EstimateMS))
			for _, later := range j.steps[1:] {
				queued.Add(j.Class, WorkOf(later.Need, later.Need, later.Count, later.EstimateMS))
			}
		}
		if len(j.pending) > 0 {
			steps = append(steps, dispatch.Step{Key: workflow.StepKey{Job: j.ID}, Spec: spec, Service: "s", Customer: j.Customer,
				Priority: j.Priority, Lateness: lateness, Due: j.accepted + j.Objective, Pending: slices.Clone(j.pending)})
		}
	}
	for i := range workers {
		workers[i].FreeBeforePlan, workers[i].Earmarked = workers[i].Free, r.earmarked[workers[i].ID]
		slices.SortFunc(workers[i].Releases, func(a, b dispatch.Release) int { return int(a.At - b.At) })
	}
	r.estimator.Update(r.now, Snapshot{Pools: map[string]Room{"s": pool}, Limits: limits, Queued: queued, Customers: r.customers,
		Includes: func(string) bool { return true }})
	plan := dispatch.Decide(r.now, steps, workers, dispatch.Limits{Steps: 128, Round: int(r.now / replayTick), CustomerRoom: room})
	r.earmarked = map[string]bool{}
	for _, id := range plan.Earmarks {
		r.earmarked[id] = true
	}
	for _, s := range plan.Starts {
		j := byID[s.Task.Job]
		j.pending = slices.DeleteFunc(j.pending, func(i int) bool { return i == s.Task.Index })
		j.live++
		var worker int
		fmt.Sscanf(s.Worker, "w%03d", &worker)
		took := time.Duration(float64(j.queue.run) * (0.6 + 0.8*r.random.Float64()))
		r.runs = append(r.runs, replayRun{j, worker, r.now + took})
	}
}

// play replays the load until a time.
func (r *replay) play(until time.Duration) {
	for ; r.now < until; r.now += replayTick {
		r.end()
		r.retry()
		r.arrive()
		r.decide()
	}
}

// Guards against a collapse under overload: with every job accepted (-replay.unrefused), the work of
// jobs that end in time, and a fifth of that of late ones, falls by half at twice the usual load.
func TestGoodputDoesNotCollapse(t *testing.T) {
	capacity := replayWorkers * 16_000 * float64((replayEnd - replayWarmUp).Milliseconds())
	loads := []float64{1, 1.5, 2, 3}
	for seed := range uint64(2) {
		goodput, offered := make([]float64, len(loads)), make([]float64, len(loads))
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			for i, load := range loads {
				t.Run(fmt.Sprint(load), func(t *testing.T) {
					t.Parallel()
					r := newReplay(seed)
					r.rateOf = func(string, *replayQueue) float64 { return load }
					r.play(replayEnd)
					goodput[i], offered[i] = r.earned/capacity, r.offeredWork/capacity
				})
			}
		})
		t.Logf("goodput at loads %v: %.3f of the capacity, offered %.3f", loads, goodput, offered)
		for i := range loads {
			// At the usual load less is offered than the capacity.
			must.GreaterEq(t, 0.9*min(slices.Max(goodput), offered[i]), goodput[i], must.Sprint(loads[i]))
		}
	}
}

// Guards against a burst of one customer, and of one queue, that costs other customers their jobs.
func TestCustomerWithinItsShareKeepsItsJobs(t *testing.T) {
	const burstAt = 10 * time.Second
	share := func(seed uint64, burst bool) float64 {
		r := newReplay(seed)
		r.rateOf = func(name string, q *replayQueue) float64 {
			since := r.now - burstAt
			switch {
			case r.now > 25*time.Second:
				return 0
			case burst && name == "c0" && since >= 0 && since < 6*time.Second:
				return 7.5
			case burst && q.priority == 0 && since >= 0 && since < 4*time.Second:
				return 2.3
			}
			return 1
		}
		r.play(replayEnd)
		offered, inTime := 0, 0
		for _, name := range replayNames[1:] {
			offered, inTime = offered+r.offered[name], inTime+r.inTime[name]
		}
		return float64(inTime) / float64(offered)
	}
	for seed := range uint64(2) {
		without, with := share(seed, false), share(seed, true)
		t.Logf("jobs in time of the other customers: %.3f without the burst, %.3f with it", without, with)
		must.GreaterEq(t, 0.95*without, with)
	}
}
