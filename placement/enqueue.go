package placement

// Enqueue adds a job to the queue, or replaces the entry with the same ID. j.Tasks
// is the number of tasks that are still to be placed; a job with none is removed.
func (c *Cluster) Enqueue(j Job) {
	if c.updateRemaining(j) {
		return
	}
	c.unqueue(j.ID)
	if j.Tasks <= 0 {
		c.removeIdleJobRecord(j.ID)
		return
	}
	c.jobRecordFor(j.ID)
	e := c.newEntry(j)
	c.queue.add(e)
	c.demand.add(e, 1)
	e.customer.countQueued(e, 1)
}

// updateRemaining replaces a queued batch job of which only the number of tasks has
// changed, and reports whether it did. This is the most frequent replacement, and
// it needs no new entry.
func (c *Cluster) updateRemaining(j Job) bool {
	e, found := c.queue.entries[j.ID]
	if !found || j.Tasks <= 0 || j.Policy != Batch || e.delayed {
		return false
	}
	same := e.job
	same.Tasks = j.Tasks
	if same != j {
		return false
	}
	c.demand.adjust(e, -1)
	e.customer.countQueued(e, -1)
	c.queue.setRemaining(e, j.Tasks)
	c.demand.adjust(e, 1)
	e.customer.countQueued(e, 1)
	return true
}

// Dequeue removes a job from the queue, in time logarithmic in the length of
// the queue.
func (c *Cluster) Dequeue(job string) {
	c.unqueue(job)
	c.removeIdleJobRecord(job)
}

// DequeueAll removes every queued job for which match returns true, in one pass
// over the queue, and returns how many jobs it removed. It serves bulk
// cancellations.
func (c *Cluster) DequeueAll(match func(Job) bool) int {
	var matched []string
	for id, e := range c.queue.entries {
		if match(e.job) {
			matched = append(matched, id)
		}
	}
	for _, id := range matched {
		c.Dequeue(id)
	}
	return len(matched)
}

// unqueue removes the queue entry of a job and keeps the job record.
func (c *Cluster) unqueue(job string) {
	e, found := c.queue.entries[job]
	if !found {
		return
	}
	c.queue.remove(e)
	c.demand.add(e, -1)
	e.customer.countQueued(e, -1)
}

// Queued returns the number of queued tasks.
func (c *Cluster) Queued() int { return c.queue.tasks }

// newEntry computes the queue entry of a job without adding it to the queue.
func (c *Cluster) newEntry(j Job) *entry {
	runtime := c.estimator.runtime(j.Customer, j.Name, j.Runtime)
	e := &entry{job: j, need: c.NeedOf(j), runtime: runtime, class: c.classOf(j), customer: c.queue.customer(j.Customer)}
	e.latestStart = farFuture
	e.lastFeasibleStart = farFuture
	if !j.Deadline.IsZero() && j.Policy != Service {
		e.latestStart = j.Deadline.Add(-runtime.high)
		e.lastFeasibleStart = j.Deadline.Add(-runtime.low)
	}
	e.large = j.Policy == Batch && c.isLarge(e.need)
	e.latestStartMicros = e.latestStart.UnixMicro()
	e.submittedMicros = j.Submitted.UnixMicro()
	return e
}

// isLarge reports whether one task needs at least largeTaskShare of an average
// worker.
func (c *Cluster) isLarge(need Resources) bool {
	return need.share(c.capacity)*float64(len(c.byID)) >= largeTaskShare
}

// classOf returns the priority class of a job.
func (c *Cluster) classOf(j Job) class {
	switch {
	case c.opts.FirstComeFirstServed:
		return classNormal
	case j.Urgent:
		return classUrgent
	case j.Policy == Service:
		return classService
	}
	return classNormal
}
