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

// The replay is a ninth of the first deployment in docs/LOAD.md: workers of 16 cores, ten customers
// of the same weight and limit, and jobs of its three queues that decisions of package dispatch start.
const (
	replayWorkers   = 175
	replayCustomers = 10
	replayLimit     = replayWorkers * 16_000 / 4
	replayTick      = 50 * time.Millisecond
	retriesPerCall  = 4
	callTimeLimit   = 3 * time.Second
)

// replayQueue is a queue of the replay; rate is in jobs per second with load 1.
type replayQueue struct {
	name                       string
	priority, width            int
	rate, secondStep, gang     float64
	run, constant              time.Duration
	milliCPU                   int64
	stretch                    float64
	offered, earned, inTime, n float64
}

type replayJob struct {
	Job
	queue   *replayQueue
	steps   []workflow.Step
	pending []int
	live    int
	// arrived is when the caller first called, accepted when the job was accepted.
	arrived, accepted time.Duration
	tries             int
	// newcomer says that the job was accepted at its first call.
	newcomer bool
}

type replayRun struct {
	job    *replayJob
	worker int
	end    time.Duration
}

type replay struct {
	random          *rand.Rand
	now             time.Duration
	estimator       *Estimator
	queues          []*replayQueue
	jobs            []*replayJob
	calls           []*replayJob
	runs            []replayRun
	customers       map[string]*customer.Customer
	earmarked       map[string]bool
	busy, decisions float64
	refused         int
	inTime          map[string]int
	ended           map[string]int
	// rateOf returns the multiple of the usual rate that a customer sends to a queue.
	rateOf    func(customer string, q *replayQueue) float64
	nextID    int
	observeIn func(j *replayJob, refusal *Refusal)
}

func newReplay(seed uint64) *replay {
	ms := time.Millisecond
	r := &replay{
		random: rand.New(rand.NewPCG(seed, 1)), estimator: NewEstimator(), customers: map[string]*customer.Customer{}, inTime: map[string]int{}, ended: map[string]int{},
		queues: []*replayQueue{
			{name: "preview", priority: 0, rate: 51, width: 3, gang: 0.3, run: 640 * ms, milliCPU: 2500, stretch: 1.5, constant: 300 * ms},
			{name: "rebuild", priority: 1, rate: 2.2, width: 20, secondStep: 0.2, gang: 1, run: 4000 * ms, milliCPU: 4500, stretch: 2.2, constant: 1000 * ms},
			{name: "backfill", priority: 2, rate: 8, width: 25, secondStep: 0.5, run: 2200 * ms, milliCPU: 1700, stretch: 4, constant: 3000 * ms},
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
	q.offered, q.n = q.offered+float64(j.Work.OnWorkers.MilliCPU), q.n+1
	return j
}

// call submits a job. A caller whose job is refused retries when it is told to, within its limits.
func (r *replay) call(j *replayJob) {
	j.tries++
	refusal := r.estimator.Check(r.now, &j.Job)
	if *withoutAdmission {
		refusal = nil
	}
	if r.observeIn != nil {
		r.observeIn(j, refusal)
	}
	if refusal == nil {
		r.estimator.Add(r.now, &j.Job)
		j.accepted = r.now
		r.jobs = append(r.jobs, j)
		j.setPending()
		return
	}
	r.refused++
	if again := r.now + refusal.RetryAfter; j.tries <= retriesPerCall && again-j.arrived < callTimeLimit {
		retry := j
		retry.accepted = again
		r.calls = append(r.calls, retry)
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
		r.ended[j.Customer]++
		work := float64(j.Work.OnWorkers.MilliCPU)
		if r.now < 15*time.Second || r.now > 60*time.Second {
			work = 0
		}
		switch age := r.now - j.accepted; {
		case age <= j.Objective:
			j.queue.earned, j.queue.inTime = j.queue.earned+work, j.queue.inTime+1
			r.inTime[j.Customer]++
		case age <= worthlessAfterObjectives*j.Objective:
			j.queue.earned += work / 5
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
		case age > worthlessAfterObjectives*j.Objective:
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
	r.busy, r.decisions = r.busy+float64(pool.Held.MilliCPU)/float64(pool.Total.MilliCPU), r.decisions+1
	for i := range workers {
		workers[i].FreeBeforePlan, workers[i].Earmarked = workers[i].Free, r.earmarked[workers[i].ID]
		slices.SortFunc(workers[i].Releases, func(a, b dispatch.Release) int { return int(a.At - b.At) })
	}
	r.estimator.Update(r.now, Snapshot{Pools: map[string]Room{"s": pool}, Limits: limits, Queued: queued, Customers: r.customers,
		Includes: func(id string) bool { return byID[id] != nil || true }})
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

// goodput returns the earned share of what the capacity could do in a duration: work of jobs in time, and
// a fifth of the work of late ones.
func (r *replay) goodput(over time.Duration) float64 {
	earned := 0.0
	for _, q := range r.queues {
		earned += q.earned
	}
	return earned / (replayWorkers * 16_000 * float64(over.Milliseconds()))
}

func TestGoodputDoesNotCollapse(t *testing.T) {
	for seed := uint64(5); seed < 7; seed++ {
		for _, load := range []float64{1, 1.5, 2, 3} {
			r := newReplay(seed)
			r.rateOf = func(string, *replayQueue) float64 { return load }
			r.play(60 * time.Second)
			busy := r.busy / r.decisions
			r.rateOf = func(string, *replayQueue) float64 { return 0 }
			r.play(75 * time.Second)
			line := ""
			for _, q := range r.queues {
				line += fmt.Sprintf(" %s %.0f offered, %.2f earned, %.2f in time;", q.name, q.n, q.earned/q.offered, q.inTime/q.n)
			}
			t.Logf("load %v busy %.2f refused %d goodput %.3f jobs %d%s", load, busy, r.refused, r.goodput(45*time.Second), len(r.jobs), line)
		}
	}
	must.True(t, true)
}
