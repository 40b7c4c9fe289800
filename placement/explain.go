package placement

import (
	"fmt"
	"time"
)

// Explain reports why a job is queued and how many workers each filter rejects. It
// visits all workers, so it is meant for requests of users, not for scheduling.
func (c *Cluster) Explain(job string, now time.Time) Explanation {
	e, found := c.queue.entries[job]
	if !found {
		return Explanation{Summary: "the job is not in the queue"}
	}
	counts := c.countFilters(e, now)
	return Explanation{
		Summary:       c.summary(e, counts, now),
		Filters:       counts,
		ExpectedStart: c.expectedStart(e, now),
	}
}

// countFilters counts, for each filter, the workers of which it is the first to
// reject the entry.
func (c *Cluster) countFilters(e *entry, now time.Time) []FilterCount {
	r := &request{cluster: c, entry: e, record: c.jobs[e.job.ID], now: now, evaluation: c.evaluations}
	indexOf := map[string]int{}
	var counts []FilterCount
	for _, w := range c.byID {
		name := r.rejectedBy(w)
		if name == "" {
			continue
		}
		i, seen := indexOf[name]
		if !seen {
			i = len(counts)
			indexOf[name] = i
			counts = append(counts, FilterCount{Filter: name, Example: w.ID})
		}
		counts[i].Workers++
	}
	return counts
}

// summary describes in one sentence why the entry is queued.
func (c *Cluster) summary(e *entry, counts []FilterCount, now time.Time) string {
	rejected := 0
	for _, f := range counts {
		rejected += f.Workers
	}
	record := c.queue.customer(e.job.Customer)
	switch {
	case e.delayed:
		return fmt.Sprintf("in backoff until %s after a failed attempt", e.job.NotBefore.UTC().Format(time.RFC3339))
	case c.JobSuspect(e.job.ID):
		return fmt.Sprintf("the job failed on %d workers and succeeded on none: the job is probably at fault, not the workers", len(c.jobs[e.job.ID].failedOn))
	case !record.allows(e.need):
		return fmt.Sprintf("the customer's running tasks use up its limit of %v", record.limit)
	case len(c.byID) == 0:
		return "no worker is known"
	case rejected == len(c.byID):
		return fmt.Sprintf("%d tasks are queued: none of %d workers can run one now", e.job.Tasks, len(c.byID))
	case e.job.Policy == Gang:
		return fmt.Sprintf("the gang starts when all its %d tasks fit at once", e.job.Tasks)
	}
	return fmt.Sprintf("%d tasks are queued behind others; %d of %d workers could run one now", e.job.Tasks, len(c.byID)-rejected, len(c.byID))
}
