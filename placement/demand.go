package placement

import (
	"time"

	"github.com/tidwall/btree"
)

// resourceSeconds is an amount of work: resources times seconds of use.
type resourceSeconds struct {
	cpu          float64
	memory       float64
	accelerators float64
}

// resourceSecondsOf returns the work of using need for a number of seconds.
func resourceSecondsOf(need Resources, seconds float64) resourceSeconds {
	return resourceSeconds{
		cpu:          float64(need.CPU) * seconds,
		memory:       float64(need.Memory) * seconds,
		accelerators: float64(need.Accelerators) * seconds,
	}
}

// plus adds two amounts of work.
func (a resourceSeconds) plus(b resourceSeconds) resourceSeconds {
	return resourceSeconds{cpu: a.cpu + b.cpu, memory: a.memory + b.memory, accelerators: a.accelerators + b.accelerators}
}

// times multiplies every field by x.
func (a resourceSeconds) times(x float64) resourceSeconds {
	return resourceSeconds{cpu: a.cpu * x, memory: a.memory * x, accelerators: a.accelerators * x}
}

// exceeds reports whether a is larger than b in a resource that need asks for.
func (a resourceSeconds) exceeds(b resourceSeconds, need Resources) bool {
	return need.CPU > 0 && a.cpu > b.cpu ||
		need.Memory > 0 && a.memory > b.memory ||
		need.Accelerators > 0 && a.accelerators > b.accelerators
}

const (
	// minBucketSeconds is the width of the buckets for the closest deadlines.
	minBucketSeconds = 1
	// maxBucketsToDeadline is the maximum number of bucket widths between the
	// submission and the deadline. A bucket wider than minBucketSeconds thus spans
	// 1/32 to 1/16 of that time.
	maxBucketsToDeadline = 32
)

// demand sums the estimated work of the queue by deadline. Deadlines are rounded
// down to buckets, which are wider for more distant deadlines, so the number of
// buckets stays small however long the queue is.
type demand struct {
	buckets btree.Map[int64, *demandBucket]
	total   resourceSeconds
}

// demandBucket is the work of all entries whose deadlines round down to the
// same time.
type demandBucket struct {
	demand  resourceSeconds
	entries int
}

// newDemand returns a demand without entries.
func newDemand() demand { return demand{} }

// add adds (sign 1) or removes (sign -1) an entry. It ignores services and entries
// without a deadline.
func (d *demand) add(e *entry, sign float64) {
	if e.job.Policy == Service || e.job.Deadline.IsZero() {
		return
	}
	if sign > 0 {
		e.demandBucketKey = bucketOf(e.job.Deadline, e.job.Submitted)
	}
	bucket, found := d.buckets.Get(e.demandBucketKey)
	if !found {
		bucket = &demandBucket{}
		d.buckets.Set(e.demandBucketKey, bucket)
	}
	bucket.entries += int(sign)
	d.adjust(e, sign)
	if bucket.entries == 0 {
		d.buckets.Delete(e.demandBucketKey)
	}
	if d.buckets.Len() == 0 {
		d.total = resourceSeconds{}
	}
}

// expectedDemand is the work of all tasks of the entry at the mean estimate of
// the run time.
func (e *entry) expectedDemand() resourceSeconds {
	return resourceSecondsOf(e.need, e.runtime.mean.Seconds()*float64(e.job.Tasks))
}

// countQueued adds (sign 1) or subtracts (sign -1) an entry in the customer's
// queued totals.
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

// adjust adds (sign 1) or subtracts (sign -1) the work of an entry that already
// belongs to a bucket.
func (d *demand) adjust(e *entry, sign float64) {
	if e.job.Policy == Service || e.job.Deadline.IsZero() {
		return
	}
	bucket, found := d.buckets.Get(e.demandBucketKey)
	if !found {
		return
	}
	work := e.expectedDemand().times(sign)
	bucket.demand = bucket.demand.plus(work)
	d.total = d.total.plus(work)
}

// bucketOf returns the key of the bucket of a deadline: the deadline rounded down
// to the width of the bucket, in Unix seconds.
func bucketOf(deadline, submitted time.Time) int64 {
	distance := int64(deadline.Sub(submitted) / time.Second)
	width := int64(minBucketSeconds)
	for width*maxBucketsToDeadline < distance {
		width *= 2
	}
	return deadline.Unix() / width * width
}
