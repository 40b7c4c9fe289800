package placement

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// ratioUnit is the histogram value of a measured run time equal to the
	// declared one. The resolution is 1/50.
	ratioUnit = 50
	// maxRatioValue is the largest histogram value. It stands for a run time of 40
	// times the declared one.
	maxRatioValue = 40 * ratioUnit
	// ratioDigits is the number of significant digits of a histogram. With 1 a
	// histogram takes about 1 KB and a bucket is at most 6% wide.
	ratioDigits = 1
	// priorWeightSamples is the weight of the prior, in samples.
	priorWeightSamples = 8
	// historyOnlySamples is the number of samples from which on the prior has no
	// weight.
	historyOnlySamples = 4 * priorWeightSamples
	// generationSamples is the number of samples in one generation of a
	// history. Estimates use the current and the previous generation, so that
	// they follow a change of behaviour.
	generationSamples = 400
	// maxNamesPerCustomer bounds the memory for the histories of one customer.
	maxNamesPerCustomer = 256

	// lowQuantile and highQuantile of the measured ratios give the low and the
	// high estimate.
	lowQuantile  = 0.02
	highQuantile = 0.95
)

// estimate is an estimated run time. Runs are rarely shorter than low, take
// mean on average and are rarely longer than high.
type estimate struct {
	low  time.Duration
	mean time.Duration
	high time.Duration
}

// runtimeHistory holds two generations of ratios of measured to declared run
// times, and the peak use of resources. low, mean and high describe the
// distribution of the ratios, and samples is their number.
type runtimeHistory struct {
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
	low      float64
	mean     float64
	high     float64
	samples  int64
	// peakCPU and peakMemory are the largest measured use as a ratio of the
	// declared need.
	peakCPU    float64
	peakMemory float64
}

// newRuntimeHistory returns an empty history.
func newRuntimeHistory() *runtimeHistory {
	return &runtimeHistory{current: hdrhistogram.New(1, maxRatioValue, ratioDigits)}
}

// record adds a ratio and recomputes the quantiles, so that reading them is
// cheap.
func (h *runtimeHistory) record(ratio float64) {
	value := min(max(int64(ratio*ratioUnit+0.5), 1), maxRatioValue)
	if h.current.RecordValue(value) != nil {
		return
	}
	if h.current.TotalCount() >= generationSamples {
		h.previous = h.current
		h.current = hdrhistogram.New(1, maxRatioValue, ratioDigits)
	}
	merged := h.current
	if h.previous != nil {
		merged = hdrhistogram.New(1, maxRatioValue, ratioDigits)
		merged.Merge(h.previous)
		merged.Merge(h.current)
	}
	h.samples = merged.TotalCount()
	h.low = float64(merged.ValueAtQuantile(100*lowQuantile)) / ratioUnit
	h.mean = merged.Mean() / ratioUnit
	h.high = float64(merged.ValueAtQuantile(100*highQuantile)) / ratioUnit
}

// estimator estimates run times and resource needs from declarations and
// measurements.
type estimator struct {
	disabled  bool
	customers map[string]*customerHistory
}

// customerHistory is the history of all jobs of a customer and of each job
// name.
type customerHistory struct {
	allJobs *runtimeHistory
	byName  map[string]*runtimeHistory
}

// newEstimator returns an estimator without samples. With NoCorrection it
// returns declarations unchanged.
func newEstimator(opts Options) estimator {
	return estimator{disabled: opts.NoCorrection, customers: map[string]*customerHistory{}}
}

// AddSample adds the measured run of a finished task to the histories on which the
// estimates are based. It ignores samples without a declared run time.
func (c *Cluster) AddSample(s Sample) {
	if s.DeclaredRuntime <= 0 || s.MeasuredRuntime < 0 {
		return
	}
	c.estimator.addSample(s)
}

// addSample adds a sample to the histories of its customer and its job name.
func (e *estimator) addSample(s Sample) {
	customerHist, found := e.customers[s.Customer]
	if !found {
		customerHist = &customerHistory{allJobs: newRuntimeHistory(), byName: map[string]*runtimeHistory{}}
		e.customers[s.Customer] = customerHist
	}
	ratio := float64(s.MeasuredRuntime) / float64(s.DeclaredRuntime)
	customerHist.allJobs.record(ratio)
	named, found := customerHist.byName[s.Name]
	if !found {
		if len(customerHist.byName) >= maxNamesPerCustomer {
			return
		}
		named = newRuntimeHistory()
		customerHist.byName[s.Name] = named
	}
	named.record(ratio)
	named.peakCPU = max(named.peakCPU, peakRatio(s.Peak.CPU, s.Need.CPU))
	named.peakMemory = max(named.peakMemory, peakRatio(s.Peak.Memory, s.Need.Memory))
}

// peakRatio is peak use divided by declared need, or zero without a declared
// need.
func peakRatio(peak, need int64) float64 {
	if need <= 0 {
		return 0
	}
	return float64(peak) / float64(need)
}

// runtime estimates a run time. The declaration is combined with the history of all
// the customer's jobs, and the result with the history of the job's name.
func (e *estimator) runtime(customer, name string, declared time.Duration) estimate {
	result := estimate{low: declared, mean: declared, high: declared}
	if e.disabled || declared <= 0 {
		return result
	}
	// Without any history, low is a fifth of the declaration: a job is refused as
	// infeasible only if it would have to run more than five times faster than
	// declared.
	result.low = declared / 5
	customerHist, found := e.customers[customer]
	if !found {
		return result
	}
	result = customerHist.allJobs.blend(result, declared)
	if named, found := customerHist.byName[name]; found {
		result = named.blend(result, declared)
	}
	return result
}

// blend combines the history with a prior estimate. The weight of the history
// grows with its number of samples.
func (h *runtimeHistory) blend(prior estimate, declared time.Duration) estimate {
	weight := float64(h.samples) / float64(h.samples+priorWeightSamples)
	if h.samples >= historyOnlySamples {
		weight = 1
	}
	interpolate := func(priorValue time.Duration, ratio float64) time.Duration {
		return time.Duration((1-weight)*float64(priorValue) + weight*ratio*float64(declared))
	}
	return estimate{low: interpolate(prior.low, h.low), mean: interpolate(prior.mean, h.mean), high: interpolate(prior.high, h.high)}
}

// NeedOf returns the resources to reserve for a task of the job: the declared
// need, raised to the peak use of earlier tasks of the same name, but at most
// to the capacity of the largest worker. It is never below the declared need,
// since a task may always use what it declared.
func (c *Cluster) NeedOf(j Job) Resources {
	if c.opts.NoCorrection {
		return j.Need
	}
	customerHist, found := c.estimator.customers[j.Customer]
	if !found {
		return j.Need
	}
	named, found := customerHist.byName[j.Name]
	if !found {
		return j.Need
	}
	raised := j.Need
	raised.CPU = scaleNeed(j.Need.CPU, named.peakCPU)
	raised.Memory = scaleNeed(j.Need.Memory, named.peakMemory)
	if raised == j.Need || c.fitsSomeWorker(raised) {
		return raised
	}
	return j.Need.atLeast(raised.atMost(c.largestCapacityFor(j.Need)))
}

// scaleNeed multiplies need by ratio if that raises it.
func scaleNeed(need int64, ratio float64) int64 {
	if ratio <= 1 {
		return need
	}
	return int64(float64(need)*ratio + 0.5)
}

// fitsSomeWorker reports whether need fits an announced worker if it were
// empty.
func (c *Cluster) fitsSomeWorker(need Resources) bool {
	for _, w := range c.byID {
		if w.announced && need.within(w.Capacity) {
			return true
		}
	}
	return false
}

// largestCapacityFor returns the capacity of the largest announced worker that could
// hold need, or need itself if there is none.
func (c *Cluster) largestCapacityFor(need Resources) Resources {
	best := need
	for _, w := range c.byID {
		if w.announced && need.within(w.Capacity) && best.within(w.Capacity) {
			best = w.Capacity
		}
	}
	return best
}
