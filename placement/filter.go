package placement

import "time"

// request is the search for a worker for one task, in one evaluation.
type request struct {
	cluster    *Cluster
	entry      *entry
	record     *jobRecord
	now        time.Time
	evaluation uint64
}

// expectedEnd is when the task would end if it started now, at the high
// estimate of its run time.
func (r *request) expectedEnd() time.Time { return r.now.Add(r.entry.runtime.high) }

// filter rejects workers that may not run the task.
type filter struct {
	name    string
	rejects func(*request, *worker) bool
}

// filters lists the filters in the order in which they are applied. Explain counts
// a worker for the first filter that rejects it and shows the names to clients.
var filters = []filter{
	{name: "not announced", rejects: func(_ *request, w *worker) bool { return !w.announced }},
	{name: "lease not held", rejects: func(_ *request, w *worker) bool { return !w.Live }},
	{name: "draining", rejects: func(_ *request, w *worker) bool { return w.Draining }},
	{name: "set aside after failures", rejects: func(_ *request, w *worker) bool { return w.health.quarantined }},
	{name: "too small", rejects: func(r *request, w *worker) bool { return !r.entry.need.within(w.Capacity) }},
	{name: "not enough free cores", rejects: func(r *request, w *worker) bool { return r.entry.need.CPU > w.free.CPU }},
	{name: "not enough free memory", rejects: func(r *request, w *worker) bool { return r.entry.need.Memory > w.free.Memory }},
	{name: "not enough free accelerators", rejects: func(r *request, w *worker) bool {
		return r.entry.need.Accelerators > w.free.Accelerators
	}},
	{name: filterFailedHere, rejects: rejectFailedHere},
	{name: "reserved for waiting work", rejects: rejectReserved},
}

// filterFailedHere names the filter for workers on which the job failed before.
const filterFailedHere = "the job failed here before"

// rejectFailedHere rejects a worker on which the job failed before, unless it
// has failed on all workers.
func rejectFailedHere(r *request, w *worker) bool {
	if r.record == nil || !r.record.failedOn[w.ID] {
		return false
	}
	return len(r.record.failedOn) < len(r.cluster.byID)
}

// rejectReserved protects the reservation of another entry. A task may start on the
// worker only if the task ends by the reserved start time or fits into the
// resources that the reservation leaves free.
func rejectReserved(r *request, w *worker) bool {
	if w.reservedEval != r.evaluation || r.entry == w.reservation.entry {
		return false
	}
	if r.entry.job.Policy != Service && !r.expectedEnd().After(w.reservation.at) {
		return false
	}
	return !r.entry.need.within(w.reservation.remaining)
}

// rejectedBy returns the name of the first filter that rejects the worker, or "" if
// none does.
func (r *request) rejectedBy(w *worker) string {
	for _, f := range filters {
		if f.rejects(r, w) {
			return f.name
		}
	}
	return ""
}
