package placement

import (
	"time"

	"github.com/tidwall/btree"
)

// work is resources times seconds.
type resourceSeconds struct {
	cpu          float64
	memory       float64
	accelerators float64
}

func resourceSecondsOf(need Resources, seconds float64) resourceSeconds {
	return resourceSeconds{
		cpu:          float64(need.CPU) * seconds,
		memory:       float64(need.Memory) * seconds,
		accelerators: float64(need.Accelerators) * seconds,
	}
}

func (a resourceSeconds) plus(b resourceSeconds) resourceSeconds {
	return resourceSeconds{cpu: a.cpu + b.cpu, memory: a.memory + b.memory, accelerators: a.accelerators + b.accelerators}
}

func (a resourceSeconds) times(x float64) resourceSeconds {
	return resourceSeconds{cpu: a.cpu * x, memory: a.memory * x, accelerators: a.accelerators * x}
}

// exceeds says whether a is more than b in a field that the need asks for.
func (a resourceSeconds) exceeds(b resourceSeconds, need Resources) bool {
	return need.CPU > 0 && a.cpu > b.cpu ||
		need.Memory > 0 && a.memory > b.memory ||
		need.Accelerators > 0 && a.accelerators > b.accelerators
}

const (
	// minBucketSeconds is the width in seconds of the slices that deadlines close
	// by are rounded down to.
	minBucketSeconds = 1
	// bucketsPerOctave makes a slice at most 1/32 of the time to the deadline.
	bucketsPerOctave = 32
)

// demand sums the corrected work of the queue by deadline. Deadlines are
// rounded down to slices that widen with their distance, so the number of
// slices stays small however long the queue is.
type demand struct {
	buckets btree.Map[int64, *demandBucket]
	total   resourceSeconds
}

type demandBucket struct {
	demand  resourceSeconds
	entries int
}

func newDemand() demand { return demand{} }

// add books (sign 1) or releases (sign -1) the work of an entry.
func (d *demand) add(e *entry, sign float64) {
	if e.job.Policy == Service || e.job.Deadline.IsZero() {
		return
	}
	if sign > 0 {
		e.demandBucketKey = bucketOf(e.job.Deadline, e.job.Submitted)
	}
	s, found := d.buckets.Get(e.demandBucketKey)
	if !found {
		s = &demandBucket{}
		d.buckets.Set(e.demandBucketKey, s)
	}
	s.entries += int(sign)
	d.adjust(e, sign)
	if s.entries == 0 {
		d.buckets.Delete(e.demandBucketKey)
	}
	if d.buckets.Len() == 0 {
		d.total = resourceSeconds{}
	}
}

// expected is the corrected work of all tasks of an entry.
func (e *entry) expectedDemand() resourceSeconds {
	return resourceSecondsOf(e.need, e.runtime.mean.Seconds()*float64(e.job.Tasks))
}

// book counts an entry in (sign 1) or out (sign -1) of what its customer has
// waiting.
func (c *customer) countQueued(e *entry, sign float64) {
	c.entries += int(sign)
	c.tasks += int(sign) * e.job.Tasks
	c.queuedDemand = c.queuedDemand.plus(e.expectedDemand().times(sign))
	if e.job.Deadline.After(c.horizon) {
		c.horizon = e.job.Deadline
	}
	if c.entries == 0 {
		c.queuedDemand, c.horizon = resourceSeconds{}, time.Time{}
	}
}

// change adds or subtracts the work of an entry that is booked.
func (d *demand) adjust(e *entry, sign float64) {
	if e.job.Policy == Service || e.job.Deadline.IsZero() {
		return
	}
	s, found := d.buckets.Get(e.demandBucketKey)
	if !found {
		return
	}
	w := e.expectedDemand().times(sign)
	s.demand = s.demand.plus(w)
	d.total = d.total.plus(w)
}

// bucketOf rounds a deadline down; the result is in Unix seconds.
func bucketOf(deadline, submitted time.Time) int64 {
	distance := int64(deadline.Sub(submitted) / time.Second)
	width := int64(minBucketSeconds)
	for width*bucketsPerOctave < distance {
		width *= 2
	}
	return deadline.Unix() / width * width
}
