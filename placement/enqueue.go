package placement

// Enqueue adds a job with Tasks tasks still to place, or replaces the entry of
// the same ID. A job with no task left is taken out.
func (c *Cluster) Enqueue(j Job) {
	if c.updateRemaining(j) {
		return
	}
	c.unqueue(j.ID)
	if j.Tasks <= 0 {
		c.dropIdleJobRecord(j.ID)
		return
	}
	c.jobRecordFor(j.ID)
	e := c.newEntry(j)
	c.queue.add(e)
	c.demand.add(e, 1)
	e.account.countQueued(e, 1)
}

// shrink handles the most frequent replacement cheaply: the same batch job
// with some of its tasks started.
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
	e.account.countQueued(e, -1)
	c.queue.setRemaining(e, j.Tasks)
	c.demand.adjust(e, 1)
	e.account.countQueued(e, 1)
	return true
}

// Dequeue takes a job out of the queue; it costs the logarithm of the queue.
func (c *Cluster) Dequeue(job string) {
	c.unqueue(job)
	c.dropIdleJobRecord(job)
}

// DequeueAll takes out every queued job that match names, in one pass, and
// says how many. It is for cancellations that come in waves.
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

func (c *Cluster) unqueue(job string) {
	e, found := c.queue.entries[job]
	if !found {
		return
	}
	c.queue.remove(e)
	c.demand.add(e, -1)
	e.account.countQueued(e, -1)
}

// Queued is the number of tasks that wait.
func (c *Cluster) Queued() int { return c.queue.tasks }

// newEntry computes what the queue needs to know of a job.
func (c *Cluster) newEntry(j Job) *entry {
	run := c.estimator.runtime(j.Customer, j.Name, j.Runtime)
	e := &entry{job: j, need: c.NeedOf(j), runtime: run, class: c.classOf(j), account: c.queue.customer(j.Customer)}
	e.latestStart = farFuture
	e.lastFeasibleStart = farFuture
	if !j.Deadline.IsZero() && j.Policy != Service {
		e.latestStart = j.Deadline.Add(-run.high)
		e.lastFeasibleStart = j.Deadline.Add(-run.low)
	}
	e.large = j.Policy == Batch && c.isLarge(e.need)
	e.latestStartMicros = e.latestStart.UnixMicro()
	e.submittedMicros = j.Submitted.UnixMicro()
	return e
}

// isLarge says whether a need takes a great part of the mean open worker.
func (c *Cluster) isLarge(need Resources) bool {
	return need.share(c.capacity)*float64(len(c.byID)) >= largeTaskShare
}

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
