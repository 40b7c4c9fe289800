package arrivals

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bilberryferry/bilberryferry/placement"
)

// Workload describes the jobs that arrive. Shares are fractions between 0 and
// 1.
type Workload struct {
	Seed uint64
	// Load is the actual work that arrives, divided by the capacity of the
	// workers.
	Load float64
	// Duration is the period over which jobs arrive.
	Duration time.Duration
	// UrgentShare and GangShare are the shares of urgent jobs and of gangs.
	UrgentShare float64
	GangShare   float64
	// MisdeclaringCustomerShare is the share of the customers that always declare
	// wrong run times, by a factor between 0.2 and 5 that is fixed per job
	// name.
	MisdeclaringCustomerShare float64
	// MisdeclaredNameShare is the share of the job names whose declared run times are
	// wrong, by a factor between 0.2 and 5 per job name, among the customers that do not
	// belong to MisdeclaringCustomerShare.
	MisdeclaredNameShare float64
	// DeclarationNoise is the standard deviation of the logarithm of a random
	// error on every declared run time.
	DeclarationNoise float64
	// ServiceShare is the share of the capacity that services occupy throughout.
	ServiceShare float64
	// NonIdempotentShare is the share of the jobs whose tasks may run only once.
	NonIdempotentShare float64
	// TightDeadlineShare is the share of the jobs that must start within a few run times;
	// all other jobs have one to six hours until they must start.
	TightDeadlineShare float64
	// UrgentNeed is the resource need of an urgent task.
	UrgentNeed placement.Resources
	// ExactDeclarations makes every declared run time equal the actual one.
	ExactDeclarations bool
}

// DefaultWorkload returns the standard workload at a load.
func DefaultWorkload(seed uint64, load float64) Workload {
	return Workload{
		Seed: seed, Load: load, Duration: 6 * time.Hour,
		UrgentShare: 0.1, GangShare: 0.05,
		MisdeclaringCustomerShare: 0.3, MisdeclaredNameShare: 0.2, DeclarationNoise: 0.1,
		ServiceShare: 0.1, NonIdempotentShare: 0.2,
		TightDeadlineShare: 0.4, UrgentNeed: resources(1, 2),
	}
}

// Arrival is one job with its actual run time and use.
type Arrival struct {
	// At is the time of submission, from the start of the simulation.
	At  time.Duration
	Job placement.Job
	// ActualRuntime is the run time of each task.
	ActualRuntime time.Duration
	// Peak is the maximum use of a task.
	Peak placement.Resources
}

// epoch is the wall clock time at which a simulation starts.
var epoch = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// namesPerCustomer is the number of recurring jobs of each customer.
const namesPerCustomer = 8

// Parameters of the random jobs. A ...Range is the width of a uniform distribution that
// begins at the value named before it.
const (
	// maxDeclarationFactor bounds the factor of wrong declarations, which lies between
	// 1/maxDeclarationFactor and maxDeclarationFactor.
	maxDeclarationFactor = 5
	// acceleratorShare is the share of the recurring jobs that need accelerators, at a
	// site that has some.
	acceleratorShare = 0.25
	// typicalRuntime is the median of the median run times of all recurring jobs.
	typicalRuntime = 4 * time.Minute
	// medianRuntimeLogStdDev is the standard deviation of the logarithm of the median run
	// times of all recurring jobs. runtimeLogStdDev is the standard deviation of the
	// logarithm of the run times of one recurring job.
	medianRuntimeLogStdDev = 0.7
	runtimeLogStdDev       = 0.25
	minRuntime             = 5 * time.Second
	maxRuntime             = time.Hour
	// minPeakRatio is the lowest peak use as a fraction of the need.
	minPeakRatio   = 0.4
	peakRatioRange = 0.7
	// meanExtraTasks is the mean number of tasks of a job beyond the first one, before
	// rounding down.
	meanExtraTasks = 6
	minGangTasks   = 4
	gangTasksRange = 13
	// minUrgentSeconds is the shortest run time of an urgent task.
	minUrgentSeconds   = 3
	urgentSecondsRange = 12
	// urgentSlack is the time from the earliest end of an urgent job to its deadline.
	// gangExtraSlack is added to the drawn slack of a gang.
	urgentSlack    = 2 * time.Minute
	gangExtraSlack = 30 * time.Minute
	// A tight deadline leaves minTightSlack and, in addition, between 1 and
	// 1+tightRuntimesRange run times. Any other leaves minLooseSlack or more.
	minTightSlack      = 2 * time.Minute
	tightRuntimesRange = 5
	minLooseSlack      = time.Hour
	looseHoursRange    = 5
)

// jobTemplate is a recurring job of a customer: its name, need, median run
// time, factor of its declared run times and peak use relative to its need.
type jobTemplate struct {
	customer        int
	name            string
	need            placement.Resources
	median          time.Duration
	declarationBias float64
	peakRatio       float64
}

// generator draws the arrivals of one workload.
type generator struct {
	site      Site
	workload  Workload
	rand      *rand.Rand
	templates []jobTemplate
}

// Generate returns the arrivals at a site, ordered by time. The times between
// arrivals are scaled so that the actual work matches the load.
func Generate(site Site, workload Workload) []Arrival {
	g := &generator{site: site, workload: workload, rand: rand.New(rand.NewPCG(workload.Seed, 1))}
	g.makeTemplates()
	rate := workload.Load - workload.ServiceShare
	budget := rate * workload.Duration.Seconds()
	var arrivals []Arrival
	var unscaledSeconds float64
	var generated siteSeconds
	for n := 0; generated.largest() < budget; n++ {
		a := g.newArrival(n)
		generated = generated.plus(siteSecondsOf(a, site.total()))
		unscaledSeconds += g.rand.ExpFloat64()
		arrivals = append(arrivals, a)
		arrivals[n].At = time.Duration(unscaledSeconds * float64(time.Second))
	}
	stretch := workload.Duration.Seconds() / unscaledSeconds
	for i := range arrivals {
		arrivals[i].resolveTimes(stretch)
	}
	return arrivals
}

// resolveTimes scales the arrival time and makes the relative deadline
// absolute.
func (a *Arrival) resolveTimes(stretch float64) {
	a.At = time.Duration(float64(a.At) * stretch)
	now := epoch.Add(a.At)
	a.Job.Submitted = now
	a.Job.Deadline = now.Add(a.Job.Deadline.Sub(time.Time{}))
}

// siteSeconds is an amount of work by resource. The unit is one second of all
// workers of the site.
type siteSeconds struct{ cpu, memory, accelerators float64 }

// siteSecondsOf returns the work of all tasks of an arrival.
func siteSecondsOf(a Arrival, total placement.Resources) siteSeconds {
	seconds := a.ActualRuntime.Seconds() * float64(a.Job.Tasks)
	w := siteSeconds{
		cpu:    seconds * float64(a.Job.Need.CPU) / float64(total.CPU),
		memory: seconds * float64(a.Job.Need.Memory) / float64(total.Memory),
	}
	if total.Accelerators > 0 {
		w.accelerators = seconds * float64(a.Job.Need.Accelerators) / float64(total.Accelerators)
	}
	return w
}

// plus adds two amounts of work.
func (s siteSeconds) plus(o siteSeconds) siteSeconds {
	return siteSeconds{cpu: s.cpu + o.cpu, memory: s.memory + o.memory, accelerators: s.accelerators + o.accelerators}
}

// largest returns the work of the resource with the highest demand.
func (s siteSeconds) largest() float64 { return max(s.cpu, s.memory, s.accelerators) }

// makeTemplates draws the recurring jobs of all customers.
func (g *generator) makeTemplates() {
	for c := range g.site.Customers {
		misdeclaring := float64(c) < g.workload.MisdeclaringCustomerShare*float64(g.site.Customers)
		for n := range namesPerCustomer {
			g.templates = append(g.templates, g.newTemplate(c, n, misdeclaring))
		}
	}
}

// newTemplate draws recurring job n of a customer. If misdeclaring is set, its
// declared run times are wrong.
func (g *generator) newTemplate(customer, n int, misdeclaring bool) jobTemplate {
	bias := 1.0
	if misdeclaring || g.rand.Float64() < g.workload.MisdeclaredNameShare {
		bias = math.Exp((2*g.rand.Float64() - 1) * math.Log(maxDeclarationFactor))
	}
	cpu := []int64{1, 2, 2, 4, 4, 6, 8, 12}[g.rand.IntN(8)]
	gigabytes := cpu * []int64{2, 3, 4, 5}[g.rand.IntN(4)]
	need := resources(cpu, gigabytes)
	if g.site.Accelerators > 0 && g.rand.Float64() < acceleratorShare {
		need.Accelerators = 1 + g.rand.Int64N(2)
	}
	return jobTemplate{
		customer:        customer,
		name:            fmt.Sprintf("job-%d", n),
		need:            need,
		median:          time.Duration(math.Exp(g.rand.NormFloat64()*medianRuntimeLogStdDev) * float64(typicalRuntime)),
		declarationBias: bias,
		peakRatio:       minPeakRatio + peakRatioRange*g.rand.Float64(),
	}
}

// newArrival draws one job. Its deadline is relative to the zero time until
// resolveTimes.
func (g *generator) newArrival(n int) Arrival {
	template := g.templates[g.rand.IntN(len(g.templates))]
	runtime := time.Duration(math.Exp(g.rand.NormFloat64()*runtimeLogStdDev) * float64(template.median))
	runtime = min(max(runtime, minRuntime), maxRuntime)
	j := placement.Job{
		ID:         fmt.Sprintf("j%06d", n),
		Customer:   fmt.Sprintf("c%03d", template.customer),
		Name:       template.name,
		Policy:     placement.Batch,
		Tasks:      1 + int(g.rand.ExpFloat64()*meanExtraTasks),
		Need:       template.need,
		Idempotent: g.rand.Float64() >= g.workload.NonIdempotentShare,
	}
	draw := g.rand.Float64()
	slack := g.slack(runtime)
	switch {
	case draw < g.workload.UrgentShare:
		j.Urgent = true
		j.Tasks = 1
		j.Need = g.workload.UrgentNeed
		j.Name += "-urgent"
		runtime = time.Duration((minUrgentSeconds + urgentSecondsRange*g.rand.Float64()) * float64(time.Second))
		slack = urgentSlack
	case draw < g.workload.UrgentShare+g.workload.GangShare:
		j.Policy = placement.Gang
		j.Tasks = minGangTasks + g.rand.IntN(gangTasksRange)
		slack += gangExtraSlack
	}
	j.Runtime = g.declaredRuntime(runtime, template.declarationBias)
	j.Deadline = time.Time{}.Add(runtime + slack)
	peak := placement.Resources{CPU: int64(float64(j.Need.CPU) * template.peakRatio), Memory: int64(float64(j.Need.Memory) * template.peakRatio)}
	return Arrival{Job: j, ActualRuntime: runtime, Peak: peak}
}

// slack draws the time from the earliest end to the deadline of a job with the given
// run time.
func (g *generator) slack(runtime time.Duration) time.Duration {
	if g.rand.Float64() < g.workload.TightDeadlineShare {
		return minTightSlack + time.Duration((1+tightRuntimesRange*g.rand.Float64())*float64(runtime))
	}
	return minLooseSlack + time.Duration(g.rand.Float64()*looseHoursRange*float64(time.Hour))
}

// declaredRuntime draws the declared run time for an actual one. The random error
// is drawn even if ExactDeclarations leaves it out, so that the arrivals are the
// same otherwise.
func (g *generator) declaredRuntime(runtime time.Duration, bias float64) time.Duration {
	noise := math.Exp(g.rand.NormFloat64() * g.workload.DeclarationNoise)
	if g.workload.ExactDeclarations {
		return runtime
	}
	return time.Duration(float64(runtime)*bias*noise).Round(time.Second) + time.Second
}

// Flood is a burst of jobs of one customer, spread evenly over a period.
type Flood struct {
	Customer string
	// Load is the work of the flood, divided by the capacity of the workers in
	// that period.
	Load float64
	// From and Until are times since the start of the simulation.
	From  time.Duration
	Until time.Duration
}

// floodTaskRuntime is the run time of each task of a flood.
const floodTaskRuntime = 3 * time.Minute

// Add returns the arrivals merged with the jobs of the flood, ordered by time.
func (f Flood) Add(site Site, arrivals []Arrival) []Arrival {
	need := resources(4, 12)
	const tasks = 10
	perJob := floodTaskRuntime.Seconds() * tasks * float64(need.CPU) / float64(site.total().CPU)
	count := int(f.Load * (f.Until - f.From).Seconds() / perJob)
	for i := range count {
		at := f.From + (f.Until-f.From)*time.Duration(i)/time.Duration(count)
		now := epoch.Add(at)
		arrivals = append(arrivals, Arrival{At: at, ActualRuntime: floodTaskRuntime, Job: placement.Job{
			ID: fmt.Sprintf("f%06d", i), Customer: f.Customer, Name: "flood", Policy: placement.Batch, Tasks: tasks,
			Need: need, Runtime: floodTaskRuntime, Submitted: now, Deadline: now.Add(12 * time.Hour), Idempotent: true,
		}})
	}
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return arrivals
}
