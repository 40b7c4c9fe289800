package dispatch

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// replayKind is a kind of job: how often it is submitted, what its steps need, and on which
// share of the workers the adviser permits them. Sizes are means; each CV is a coefficient
// of variation.
type replayKind struct {
	name string
	// rate is in jobs per second. steps is the number of steps of a job, width the number
	// of tasks of a step.
	rate, steps, width float64
	// cores and gb are the cores and GiB of memory of a task, runTime is its run time.
	cores, gb              float64
	runTime                time.Duration
	widthCV, coresCV, gbCV float64
	runTimeCV              float64
	maxWidth               float64
	maxCores, maxGB        float64
	// stretch and objective define how long a job may take: stretch times the summed run
	// times of its steps, plus objective.
	stretch   float64
	objective time.Duration
	priority  int
	// value is the value of a job of mean size.
	value float64
	// gangShare and checkpointingShare are shares of the steps, grantedShare is a share of
	// the workers, failingShare a share of the runs.
	gangShare, checkpointingShare, grantedShare, failingShare float64
	// baseLatency plus perWorkerLatency for each worker is the time that a query takes;
	// tickets are valid for ticketValidity.
	baseLatency, perWorkerLatency, ticketValidity time.Duration

	// grantRate is the moving mean of the share of workers that the adviser permits, over
	// grantSamples responses.
	grantRate, grantSamples float64
	// jobs are the jobs submitted so far; inTime and late count those that ended in time or
	// late.
	jobs         []*replayJob
	inTime, late int
}

// replayJob is a job whose steps run one after the other.
type replayJob struct {
	kind             *replayKind
	id               string
	begin, objective time.Duration
	// step is the index of the current step. By step, specs are the specifications,
	// runTimes the run times of a task, pending the tasks to start and unfinished the
	// numbers of tasks that haven't ended.
	step       int
	specs      []*workflow.Step
	runTimes   []time.Duration
	pending    [][]int
	unfinished []int
	// saved is the share of a task's work that the checkpoint of a preempted run holds.
	saved map[workflow.TaskKey]float64
	// permits are the adviser's decisions for the current step so far. inFlight are the step's
	// queries in flight, lastQueryAt is when the last one was sent,
	// renewing are the workers whose tickets are being renewed, and ticketsExpire is when
	// the step's last ticket expires.
	permits       map[string]Permit
	inFlight      []Query
	lastQueryAt   time.Duration
	renewing      []string
	ticketsExpire time.Duration
	// ended is when the job ended, 0 before. earnedShare is the share of its value that it
	// earned.
	ended       time.Duration
	earnedShare float64
	// idleSince is the time from which on the job has had no run although twice its
	// resources were free; -1 while it has a run or they aren't free.
	idleSince time.Duration
}

// querying returns the set of the workers that the queries in flight name.
func (j *replayJob) querying() map[string]bool {
	workers := map[string]bool{}
	for _, query := range j.inFlight {
		for _, w := range query.Workers {
			workers[w] = true
		}
	}
	return workers
}

// logNormal draws a log-normal random number with a mean and a coefficient of variation,
// but returns at most limit.
func (r *replay) logNormal(mean, cv, limit float64) float64 {
	sigma := math.Sqrt(math.Log(1 + cv*cv))
	x := mean * math.Exp(sigma*r.random.NormFloat64()-sigma*sigma/2)
	return min(x, limit)
}

const (
	// stepsCV is the coefficient of variation of the number of steps of a job.
	stepsCV = 0.4
	// maxStepsFactor and maxRunTimeFactor bound the number of steps of a job and the run time of
	// a task, as multiples of their means.
	maxStepsFactor   = 3
	maxRunTimeFactor = 2.5
	// minEstimateFactor is the smallest ratio of an estimated run time to the real one; the
	// largest ratio is 1 more.
	minEstimateFactor = 0.5
)

// submit submits a job of the kind.
func (r *replay) submit(k *replayKind) *replayJob {
	j := &replayJob{kind: k, id: fmt.Sprintf("%s%06d", k.name, len(k.jobs)), begin: r.now, lastQueryAt: r.now, saved: map[workflow.TaskKey]float64{},
		permits: map[string]Permit{}, idleSince: -1}
	chain := time.Duration(0)
	for range max(1, int(math.Round(r.logNormal(k.steps, stepsCV, maxStepsFactor*k.steps)))) {
		count := max(1, int(math.Round(r.logNormal(k.width, k.widthCV, k.maxWidth))))
		runTime := time.Duration(r.logNormal(float64(k.runTime), k.runTimeCV, maxRunTimeFactor*float64(k.runTime)))
		spec := &workflow.Step{
			Count: count, EstimateMS: int64(float64(runTime.Milliseconds()) * r.estimateFactor()),
			Need: workflow.Resources{MilliCPU: int64(1000 * r.logNormal(k.cores, k.coresCV, k.maxCores)), MemoryMB: int64(1024 * r.logNormal(k.gb, k.gbCV, k.maxGB))},
			Gang: r.random.Float64() < k.gangShare, Checkpointing: r.random.Float64() < k.checkpointingShare,
		}
		indexes := make([]int, count)
		for i := range indexes {
			indexes[i] = i
		}
		j.specs, j.runTimes, j.pending, j.unfinished = append(j.specs, spec), append(j.runTimes, runTime), append(j.pending, indexes), append(j.unfinished, count)
		chain += runTime
	}
	j.objective = time.Duration(k.stretch*float64(chain)) + k.objective
	r.jobs = append(r.jobs, j)
	r.markChanged(j)
	k.jobs = append(k.jobs, j)
	return j
}

// estimateFactor draws the ratio of an estimated run time to the real one.
func (r *replay) estimateFactor() float64 {
	if r.speeds != nil {
		return minWrongEstimateFactor + 2*(1-minWrongEstimateFactor)*r.random.Float64()
	}
	return minEstimateFactor + r.random.Float64()
}

// submitArrivals submits the jobs that arrive within an interval.
func (r *replay) submitArrivals(interval time.Duration) {
	for _, k := range r.kinds {
		n := k.rate * interval.Seconds()
		for ; n > 0; n-- {
			if r.random.Float64() < n {
				r.submit(k)
			}
		}
	}
}

// coreTime returns the work of the job in thousandths of a core times nanoseconds.
func (j *replayJob) coreTime() float64 {
	total := 0.0
	for i, s := range j.specs {
		total += float64(s.Count) * float64(s.Need.MilliCPU) * float64(j.runTimes[i])
	}
	return total
}

const (
	// fixedValueShare is the share of a job's value that doesn't depend on its size, and
	// sizeValueShare is the share that grows with the size, for a job of mean size.
	fixedValueShare = 0.3
	sizeValueShare  = 0.7
	// maxRelativeValue bounds the value of a job, as a multiple of that of a job of mean size.
	maxRelativeValue = 4
)

// earned returns the total value of the kind's jobs, the value that they earned, and the shares
// earned by all of them, the largest tenth and the next fifth. A larger job has more value.
func (k *replayKind) earned() (total, earned float64, shares [3]float64) {
	bySize, n := k.sortBySize(), len(k.jobs)
	mean := 0.0
	for _, j := range bySize {
		mean += j.coreTime() / float64(n)
	}
	sum := func(jobs []*replayJob) (total, earned float64) {
		for _, j := range jobs {
			value := k.value * min(maxRelativeValue, fixedValueShare+sizeValueShare*j.coreTime()/mean)
			total += value
			earned += value * j.earnedShare
		}
		return total, earned
	}
	for i, part := range [][]*replayJob{bySize, bySize[:n/10], bySize[n/10 : n*3/10]} {
		partTotal, partEarned := sum(part)
		shares[i] = partEarned / partTotal
	}
	total, earned = sum(bySize)
	return total, earned, shares
}

// sortBySize sorts the kind's jobs by their work, the largest first, and returns them.
func (k *replayKind) sortBySize() []*replayJob {
	slices.SortFunc(k.jobs, func(a, b *replayJob) int { return cmp.Compare(b.coreTime(), a.coreTime()) })
	return k.jobs
}

// servedShares returns the shares of the kind's jobs that ended while they had some value left: of all,
// of the largest tenth and of the fifth below it.
func (k *replayKind) servedShares() (all, largest, nextLargest float64) {
	bySize, n := k.sortBySize(), len(k.jobs)
	share := func(jobs []*replayJob) float64 {
		served := 0
		for _, j := range jobs {
			if j.earnedShare > 0 {
				served++
			}
		}
		return float64(served) / float64(len(jobs))
	}
	return share(bySize), share(bySize[:n/10]), share(bySize[n/10 : n*3/10])
}
