// Package speed learns how fast workers are from the durations of finished runs. It handles a
// load of about 1,000 ends of runs per second on a few hundred workers of which some may be slow or
// fast, where estimates of run times are off by up to 0.9 and 3 runs in 100 take seven times as long.
//
// Tasks of the same step do the same work, so a run is compared with runs of its step on other
// workers. A wrong estimate affects all of them alike and cancels out. The package does no I/O,
// reads no clock and starts no goroutine; a Learner isn't safe for concurrent use.
package speed

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// MinRuns is the number of compared runs that a worker must have finished before it can
	// count as slow or fast. With fewer, two or three unlucky runs would decide.
	MinRuns = 10
	// slowBelow and slowUntil are speeds relative to the median worker. A worker becomes slow
	// below the first and stops being slow above the second. Speeds of 0.8 beside 1.0 and 1.25
	// are ordinary; the gap keeps a worker near the bound from changing its class with each run.
	slowBelow = 0.7
	slowUntil = 0.8
	// A worker becomes fast above fastAbove and stops being fast below fastUntil. Speeds of 1.25 beside
	// 0.8 and 1.0 are ordinary; the gap has the same reason as that of slow workers.
	fastAbove = 1.5
	fastUntil = 1.25
	// verySlowBelow is the relative speed below which a slow worker is very slow.
	verySlowBelow = 0.4
	// deviations is how many standard errors the speed must lie below a bound. With fewer, ordinary
	// workers count as slow by chance; with more, slow workers aren't found within MinRuns.
	deviations = 2
	// maxResidual bounds the logarithm of what one run says about a speed, so that a run that
	// takes seven times as long doesn't make a worker slow.
	maxResidual = 2.5
	// outlier is the ratio of a run's duration to the expected one from which on the run is left
	// out altogether, unless the worker's previous run was as far off. Stragglers take about
	// seven times as long, and one of them in ten runs would hide a speed of 0.55 or feign one.
	outlier = 4
	// maxWeight is the number of runs over which a worker's mean is taken at most. A worker that
	// turns slow is then noticed within about twice MinRuns.
	maxWeight = 12
	// priorDeviation is the assumed spread of the logarithms of run times of one step, and
	// priorWeight is how many runs this assumption counts for in the spread of a worker.
	priorDeviation = 0.3
	priorWeight    = 8
	// maxSteps, maxRunsPerStep and maxWorkers bound the memory. Larger steps keep their latest
	// runs; 32 runs make the mean six times as precise as a run. Incarnations that have ended are
	// forgotten, so maxWorkers bounds those that run at the same time.
	maxSteps       = 2048
	maxRunsPerStep = 32
	maxWorkers     = 4096
	// maxComparisonDelay is how many calls of Classify a run waits at most for the other runs of its
	// step. Runs on fast workers end first; compared at once, they would be compared with each other.
	maxComparisonDelay = 4
	// maxDuration is the longest plausible duration of a run.
	maxDuration = time.Hour
)

// Learner learns the speeds of the workers of one pool.
type Learner struct {
	workers map[string]*worker
	steps   map[workflow.StepKey]*step
	// order holds the keys of steps as a ring, the oldest at next once it is full.
	order []workflow.StepKey
	next  int
	// fresh are the steps with runs that haven't been compared yet.
	fresh []*step
}

// worker is what is known of one worker.
type worker struct {
	// mean is the logarithm of the speed relative to the median worker.
	mean float64
	// weight is the effective number of runs in the mean; runs counts the runs that were compared,
	// including outliers.
	weight float64
	runs   int
	// variance is the weighted variance of what the runs say.
	variance float64
	class    Class
	// restoredPercent is the speed that an earlier leader has learned, until enough runs show
	// the current one; 0 for none.
	restoredPercent int
	// wasOutlier says that the worker's last run was an outlier.
	wasOutlier bool
	forgotten  bool
}

// step holds the latest runs of a step.
type step struct {
	runs []run
	next int
	// fresh says that the step is in Learner.fresh, growing that a run was added since the last call of
	// Classify. delayed counts the calls of Classify that have left the step in Learner.fresh.
	fresh, growing bool
	delayed        int
}

// run is a finished run. compared says that it has been compared with others.
type run struct {
	worker      *worker
	logDuration float64
	compared    bool
}

// Estimate is what is known of the speed of a worker.
type Estimate struct {
	// Relative is the speed relative to the median worker, 1 if unknown. Uncertainty is the
	// standard error of its logarithm, about the relative error; 0 while no run was compared.
	Relative, Uncertainty float64
	// Runs counts the compared runs.
	Runs int
	// Class is the class that the last Classify or Restore gave the worker.
	Class Class
	// VerySlow says that the worker is so slow that several runs at a time would be late.
	VerySlow bool
}

// Class classifies a worker by its speed relative to the median worker.
type Class int8

// Values of Class. The zero value also stands for unknown speeds.
const (
	Fast     Class = -1
	Ordinary Class = 0
	Slow     Class = 1
)

// String returns the name of the class in log lines.
func (c Class) String() string {
	switch c {
	case Fast:
		return "fast"
	case Slow:
		return "slow"
	}
	return "ordinary"
}

// ClassOfPercent returns the class of a worker of which Estimate.Percent has returned percent.
func ClassOfPercent(percent int) Class {
	switch {
	case percent == 0:
		return Ordinary
	case percent < 100:
		return Slow
	}
	return Fast
}

// Percent returns the speed of a slow or fast worker in percent of that of the median worker, 1 to 99
// for a slow one and more than 100 for a fast one; 0 for an ordinary worker.
func (e Estimate) Percent() int {
	percent := int(math.Round(100 * e.Relative))
	switch e.Class {
	case Slow:
		return min(max(percent, 1), 99)
	case Fast:
		return max(percent, 101)
	}
	return 0
}

// Change is a worker that changed its class.
type Change struct {
	Worker   string
	Estimate Estimate
}

// NewLearner returns a Learner that knows no worker.
func NewLearner() *Learner {
	return &Learner{workers: map[string]*worker{}, steps: map[workflow.StepKey]*step{}}
}

// Done records the duration of a run that completed the whole work of a task. The tasks of the
// step must end independently of each other. It ignores impossible durations.
//
// The run is compared in Classify when no more runs of its step end, or maxComparisonDelay calls later:
// the runs on slower workers end later, and the mean over many runs is closer to the median.
func (l *Learner) Done(key workflow.StepKey, workerID string, duration time.Duration) {
	if duration <= 0 || duration > maxDuration {
		return
	}
	w := l.worker(workerID)
	if w == nil {
		return
	}
	s := l.step(key)
	if len(s.runs) == maxRunsPerStep {
		// The run that is replaced must be compared first.
		s.compareAll()
	}
	s.add(run{worker: w, logDuration: math.Log(float64(duration))})
	s.growing = true
	if s.fresh {
		return
	}
	if len(l.fresh) == maxSteps {
		l.compareFresh(0)
	}
	s.fresh = true
	l.fresh = append(l.fresh, s)
}

// compareFresh compares the runs that haven't been compared, except those of growing steps that were
// delayed less than maxDelay times.
func (l *Learner) compareFresh(maxDelay int) {
	delayed := l.fresh[:0]
	for _, s := range l.fresh {
		if s.growing && s.delayed < maxDelay {
			s.growing = false
			s.delayed++
			delayed = append(delayed, s)
			continue
		}
		s.compareAll()
		s.fresh, s.delayed = false, 0
	}
	clear(l.fresh[len(delayed):])
	l.fresh = delayed
}

// compareAll compares the runs of a step that haven't been compared.
func (s *step) compareAll() {
	for i := range s.runs {
		if r := &s.runs[i]; !r.compared && !r.worker.forgotten {
			s.compare(r)
		}
	}
}

// worker returns the state of a worker, nil if too many workers are known.
func (l *Learner) worker(id string) *worker {
	w := l.workers[id]
	if w == nil && len(l.workers) < maxWorkers {
		w = &worker{}
		l.workers[id] = w
	}
	return w
}

// step returns the runs of a step. A new step replaces the oldest one if there are too many.
func (l *Learner) step(key workflow.StepKey) *step {
	if s := l.steps[key]; s != nil {
		return s
	}
	s := &step{}
	l.steps[key] = s
	if len(l.order) < maxSteps {
		l.order = append(l.order, key)
		return s
	}
	delete(l.steps, l.order[l.next])
	l.order[l.next] = key
	l.next = (l.next + 1) % maxSteps
	return s
}

// add keeps a run, instead of the oldest one if there are too many.
func (s *step) add(r run) {
	if len(s.runs) < maxRunsPerStep {
		s.runs = append(s.runs, r)
		return
	}
	s.runs[s.next] = r
	s.next = (s.next + 1) % maxRunsPerStep
}

// compare updates the speed of a run's worker by the runs of its step on other workers, if there are
// any. Runs of the same worker say nothing about its speed.
func (s *step) compare(r *run) {
	var buffer [maxRunsPerStep]float64
	work := buffer[:0]
	for i := range s.runs {
		if other := &s.runs[i]; other.worker != r.worker {
			work = append(work, other.logDuration+other.worker.mean)
		}
	}
	if len(work) == 0 {
		return
	}
	r.compared = true
	r.worker.runs++
	slices.Sort(work)
	middle, limit := medianOf(work), math.Log(maxResidual)
	// Stragglers among the other runs are left out.
	sum, n := 0.0, 0.0
	for _, x := range work {
		if math.Abs(x-middle) <= limit {
			sum, n = sum+x, n+1
		}
	}
	if n == 0 {
		return
	}
	residual := sum/n - r.logDuration - r.worker.mean
	isOutlier, wasOutlier := math.Abs(residual) > math.Log(outlier), r.worker.wasOutlier
	r.worker.wasOutlier = isOutlier
	if isOutlier && !wasOutlier {
		return
	}
	// The mean of few runs is itself uncertain, so their comparison weighs less.
	r.worker.observe(clamp(residual, -limit, limit), n/(n+1))
}

// observe moves the mean by a residual, the difference between what a run says and the mean.
func (w *worker) observe(residual, weight float64) {
	share := weight / (min(w.weight, maxWeight) + weight)
	w.mean += share * residual
	w.variance = (1 - share) * (w.variance + share*residual*residual)
	// An exponentially weighted mean in which the latest run weighs 1/n is as precise as that of
	// 2n-1 runs.
	w.weight = min(w.weight+weight, 2*maxWeight-1)
}

// isMeasured reports whether runs have moved the mean. It is false while all runs were left out, and
// for a restored speed until a run was compared.
func (w *worker) isMeasured() bool { return w.runs > 0 && w.weight > 0 }

// standardError returns the standard error of the mean.
func (w *worker) standardError() float64 {
	if w.weight == 0 {
		return 0
	}
	variance := (w.variance*w.weight + priorDeviation*priorDeviation*priorWeight) / (w.weight + priorWeight)
	return math.Sqrt(variance / w.weight)
}

// Classify updates the classes of the workers and returns the workers that changed theirs, in the order
// of their IDs. It takes time for each worker, so it is called about once a second.
func (l *Learner) Classify() []Change {
	l.compareFresh(maxComparisonDelay)
	l.recentre()
	var changes []Change
	for id, w := range l.workers {
		if w.restoredPercent > 0 && w.runs < MinRuns {
			continue
		}
		w.restoredPercent = 0
		if class := w.classify(); class != w.class {
			w.class = class
			changes = append(changes, Change{Worker: id, Estimate: w.estimate()})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Worker, b.Worker) })
	return changes
}

// classify returns the class that follows from the mean, its uncertainty and the present class.
func (w *worker) classify() Class {
	margin := deviations * w.standardError()
	atMost, atLeast := w.mean+margin, w.mean-margin
	switch {
	case w.class == Slow && atMost <= math.Log(slowUntil):
		return Slow
	case w.class == Fast && atLeast >= math.Log(fastUntil):
		return Fast
	case w.runs < MinRuns:
		return Ordinary
	case atMost < math.Log(slowBelow):
		return Slow
	case atLeast > math.Log(fastAbove):
		return Fast
	}
	return Ordinary
}

// recentre makes the median of all measured workers the unit of speed. Comparisons only show
// ratios of speeds, so without it all means could drift together.
func (l *Learner) recentre() {
	means := make([]float64, 0, len(l.workers))
	for _, w := range l.workers {
		if w.isMeasured() {
			means = append(means, w.mean)
		}
	}
	if len(means) == 0 {
		return
	}
	slices.Sort(means)
	median := medianOf(means)
	for _, w := range l.workers {
		if w.isMeasured() {
			w.mean -= median
		}
	}
}

// Restore records that an earlier leader found a worker slow or fast, with its speed in percent.
func (l *Learner) Restore(workerID string, percent int) {
	if w := l.worker(workerID); w != nil && w.runs == 0 && percent > 0 {
		w.mean, w.weight, w.class, w.restoredPercent = math.Log(float64(percent)/100), MinRuns/2, ClassOfPercent(percent), percent
		w.variance = priorDeviation * priorDeviation
	}
}

// Forget removes what is known of a worker.
func (l *Learner) Forget(workerID string) {
	if w := l.workers[workerID]; w != nil {
		w.forgotten = true
		delete(l.workers, workerID)
	}
}

// Retain forgets the workers for which keep returns false.
func (l *Learner) Retain(keep func(workerID string) bool) {
	for id := range l.workers {
		if !keep(id) {
			l.Forget(id)
		}
	}
}

// Estimate returns what is known of the speed of a worker.
func (l *Learner) Estimate(workerID string) Estimate {
	if w := l.workers[workerID]; w != nil {
		return w.estimate()
	}
	return Estimate{Relative: 1}
}

func (w *worker) estimate() Estimate {
	return Estimate{
		Relative: math.Exp(w.mean), Uncertainty: w.standardError(), Runs: w.runs,
		Class: w.class, VerySlow: w.class == Slow && w.mean < math.Log(verySlowBelow),
	}
}

// medianOf returns the median of sorted values.
func medianOf(sorted []float64) float64 {
	n := len(sorted)
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}

func clamp(x, low, high float64) float64 { return max(low, min(x, high)) }
