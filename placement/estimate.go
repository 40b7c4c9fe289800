package placement

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// ratioUnit is how one is written in the histograms of measured to
	// declared run times; a step is a fiftieth.
	ratioUnit = 50
	// maxRatioValue is the largest ratio that is told apart, 40 times.
	maxRatioValue = 40 * ratioUnit
	// ratioDigits keeps a histogram near 1 KB; a bucket is 6% wide at most.
	ratioDigits = 1
	// priorWeightSamples is when the samples of a name are believed alone; below
	// it those of the customer fill in, and below that the declaration.
	priorWeightSamples = 8
	// generationSamples is the length of a generation. Estimates come from the
	// running and the last one, so that a change of habit shows.
	generationSamples = 400
	// maxNamesPerCustomer bounds the memory for one customer.
	maxNamesPerCustomer = 256

	lowQuantile  = 0.02
	highQuantile = 0.95
)

// estimate is a corrected run time: hardly ever shorter than low, mean in the
// long run, seldom longer than high.
type estimate struct {
	low  time.Duration
	mean time.Duration
	high time.Duration
}

// history holds two generations of ratios.
type runtimeHistory struct {
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
	low      float64
	mean     float64
	high     float64
	samples  int64
	// peak is the largest use above the declared need, as a ratio by field.
	peakCPU    float64
	peakMemory float64
}

func newHistory() *runtimeHistory {
	return &runtimeHistory{current: hdrhistogram.New(1, maxRatioValue, ratioDigits)}
}

// record adds a ratio and recomputes the quantiles, so that reading is cheap.
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

// estimator corrects declarations by what was measured.
type estimator struct {
	disabled  bool
	customers map[string]*customerHistory
}

type customerHistory struct {
	all   *runtimeHistory
	names map[string]*runtimeHistory
}

func newEstimator(opts Options) estimator {
	return estimator{disabled: opts.NoCorrection, customers: map[string]*customerHistory{}}
}

// Learn takes in the measured run of a finished task.
func (c *Cluster) Learn(s Sample) {
	if s.Declared <= 0 || s.Measured < 0 {
		return
	}
	c.estimator.learn(s)
}

func (m *estimator) learn(s Sample) {
	customerHist, found := m.customers[s.Customer]
	if !found {
		customerHist = &customerHistory{all: newHistory(), names: map[string]*runtimeHistory{}}
		m.customers[s.Customer] = customerHist
	}
	ratio := float64(s.Measured) / float64(s.Declared)
	customerHist.all.record(ratio)
	named, found := customerHist.names[s.Name]
	if !found {
		if len(customerHist.names) >= maxNamesPerCustomer {
			return
		}
		named = newHistory()
		customerHist.names[s.Name] = named
	}
	named.record(ratio)
	named.peakCPU = max(named.peakCPU, peakRatio(s.Peak.CPU, s.Need.CPU))
	named.peakMemory = max(named.peakMemory, peakRatio(s.Peak.Memory, s.Need.Memory))
}

func peakRatio(peak, need int64) float64 {
	if need <= 0 {
		return 0
	}
	return float64(peak) / float64(need)
}

// runtime corrects a declared run time. The prior is the declaration, held
// with the weight of priorWeightSamples; then what the customer's other work
// showed; then what work of this name showed.
func (m *estimator) runtime(customer, name string, declared time.Duration) estimate {
	result := estimate{low: declared, mean: declared, high: declared}
	if m.disabled || declared <= 0 {
		return result
	}
	// Nothing is known of an unknown customer: only a run time five times
	// shorter than declared makes work hopeless.
	result.low = declared / 5
	customerHist, found := m.customers[customer]
	if !found {
		return result
	}
	result = customerHist.all.blend(result, declared)
	if named, found := customerHist.names[name]; found {
		result = named.blend(result, declared)
	}
	return result
}

// blend weighs the history against a prior by the number of samples.
func (h *runtimeHistory) blend(prior estimate, declared time.Duration) estimate {
	weight := float64(h.samples) / float64(h.samples+priorWeightSamples)
	if h.samples >= 4*priorWeightSamples {
		weight = 1
	}
	interpolate := func(priorValue time.Duration, ratio float64) time.Duration {
		return time.Duration((1-weight)*float64(priorValue) + weight*ratio*float64(declared))
	}
	return estimate{low: interpolate(prior.low, h.low), mean: interpolate(prior.mean, h.mean), high: interpolate(prior.high, h.high)}
}

// NeedOf is the need that the account of workers should carry for a task of
// the job: the declared one, raised where earlier tasks of the same name used
// more, at most to what the largest worker has. It is never lower than
// declared: a task may always use what it asked for.
func (c *Cluster) NeedOf(j Job) Resources {
	if c.opts.NoCorrection {
		return j.Need
	}
	customerHist, found := c.estimator.customers[j.Customer]
	if !found {
		return j.Need
	}
	named, found := customerHist.names[j.Name]
	if !found {
		return j.Need
	}
	raised := j.Need
	raised.CPU = scaleNeed(j.Need.CPU, named.peakCPU)
	raised.Memory = scaleNeed(j.Need.Memory, named.peakMemory)
	if raised == j.Need || c.fitsSomeWorker(raised) {
		return raised
	}
	return j.Need.atLeast(raised.atMost(c.largestFor(j.Need)))
}

func scaleNeed(need int64, ratio float64) int64 {
	if ratio <= 1 {
		return need
	}
	return int64(float64(need)*ratio + 0.5)
}

func (c *Cluster) fitsSomeWorker(need Resources) bool {
	for _, w := range c.byID {
		if w.announced && need.within(w.Capacity) {
			return true
		}
	}
	return false
}

// largestFor is the capacity of the largest known worker that holds need.
func (c *Cluster) largestFor(need Resources) Resources {
	best := need
	for _, w := range c.byID {
		if w.announced && need.within(w.Capacity) && best.within(w.Capacity) {
			best = w.Capacity
		}
	}
	return best
}
