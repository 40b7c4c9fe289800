package lease

import (
	"fmt"
	"slices"
	"time"
)

// Renewal is the owner's decision on one renewal.
type Renewal struct {
	// Accepted says that the lease was prolonged.
	Accepted bool
	// Stale says that the renewal is a copy, late, or of an incarnation that
	// has been replaced. It changed nothing.
	Stale bool
	// NewIncarnation says that the renewal ended an earlier incarnation, all
	// attempts of which are dead.
	NewIncarnation bool
	// Unknown says that the table had not heard of this incarnation: the owner
	// needs the worker's announcement.
	Unknown bool
	// Ended says that the lease of this incarnation has been declared over. The
	// worker must stop all tasks and come back with a higher incarnation.
	Ended bool
}

// Grants says whether the answer to the renewal may carry a time to live. A
// copy of a renewal of the present incarnation may be answered like the first:
// the worker counts from when it sent that sequence number.
func (r Renewal) Grants() bool {
	return r.Accepted || (r.Stale && !r.Ended && !r.NewIncarnation && !r.Unknown)
}

// holding is what the owner knows of one worker's lease.
type leaseRecord struct {
	// incarnation is zero while none is known.
	incarnation uint64
	sequence    uint64
	// until is when the worker's lease has ended for certain.
	expiresAt time.Duration
	// heard says that this table itself has granted a lease.
	granted bool
	// ended says that the lease was declared over; that is never taken back
	// for the same incarnation.
	ended bool
}

// Table is the owner's view of the leases of all workers of a data centre. It
// is volatile: a new leader starts with an empty one and calls Own. It is not
// safe for concurrent use.
type Table struct {
	ttl, drift time.Duration
	now        time.Duration
	workers    map[string]*leaseRecord
}

// NewTable returns an empty table. Leases are granted for ttl; drift is the
// most that a worker's clock may lose against the owner's over ttl+drift. When
// ttl is lowered between two leaders, the new one must still use the old ttl
// until its predecessor's leases are over.
func NewTable(ttl, drift time.Duration) *Table {
	return &Table{ttl: ttl, drift: drift, workers: map[string]*leaseRecord{}}
}

// TTL returns the time to live that goes into a granting answer.
func (t *Table) TTL() time.Duration {
	return t.ttl
}

// Own takes workers over from a predecessor. now must be read after the caller
// has become the one that may decide.
//
// Failure guarded against: a new leader counts a worker that it hasn't heard
// from as free, and starts the worker's tasks elsewhere, while the worker runs
// on under a lease that the predecessor granted a moment ago. Each worker is
// therefore taken to hold a lease until now+ttl+drift; see the package comment
// for why that is enough. A worker that renews here is live at once.
func (t *Table) TakeOver(now time.Duration, workers []string) {
	t.advanceClock(now)
	for _, w := range workers {
		if _, known := t.workers[w]; known {
			continue
		}
		t.workers[w] = &leaseRecord{expiresAt: t.now + t.ttl + t.drift}
	}
}

// Expect tells the table the highest incarnation that is committed for a
// worker, so that a late renewal of an earlier one is known as stale by a new
// leader too. It is called after Own.
func (t *Table) RecordIncarnation(worker string, incarnation uint64) {
	h := t.workers[worker]
	if h == nil || h.incarnation >= incarnation {
		return
	}
	h.incarnation = incarnation
}

// Renew decides on a renewal that was received at now. Sequence numbers grow
// from 1 within an incarnation.
//
// Failures guarded against: a copy of a renewal prolongs the lease of a worker
// that is dead, again and again; a renewal that was overtaken by its worker's
// restart brings the old incarnation back. A renewal counts once, and only if
// its (incarnation, sequence) is higher than any before. And a renewal that
// arrives after the lease was declared over must not make the incarnation live
// again, because its attempts may run elsewhere by then.
func (t *Table) Renew(worker string, incarnation, sequence uint64, now time.Duration) Renewal {
	t.advanceClock(now)
	h := t.workers[worker]
	if h == nil {
		h = &leaseRecord{}
		t.workers[worker] = h
	}
	switch {
	case incarnation < h.incarnation:
		return Renewal{Stale: true, Ended: true}
	case incarnation == h.incarnation && h.ended:
		return Renewal{Stale: true, Ended: true}
	case incarnation == h.incarnation && sequence <= h.sequence:
		return Renewal{Stale: true}
	}
	result := Renewal{
		Accepted:       true,
		NewIncarnation: h.incarnation != 0 && incarnation > h.incarnation,
		Unknown:        !h.granted || incarnation > h.incarnation,
	}
	h.incarnation = incarnation
	h.sequence = sequence
	h.granted = true
	h.ended = false
	t.extend(worker, h)
	return result
}

// prolong moves the end of a lease. An end never moves back.
func (t *Table) extend(worker string, h *leaseRecord) {
	until := t.now + t.ttl + t.drift
	invariant(until >= h.expiresAt, "the lease of worker %s moved back", worker)
	h.expiresAt = until
}

// Live says whether the worker has renewed with this table less than ttl ago.
// Tasks go to live workers only.
func (t *Table) Live(worker string, now time.Duration) bool {
	h := t.workers[worker]
	return h != nil && h.granted && !h.ended && now < h.expiresAt-t.drift
}

// Incarnation returns the highest incarnation known of a worker; commands and
// attempts carry it. It is false while none is known.
func (t *Table) Incarnation(worker string) (uint64, bool) {
	h := t.workers[worker]
	if h == nil || h.incarnation == 0 {
		return 0, false
	}
	return h.incarnation, true
}

// Expired returns, sorted, the workers whose leases have become over by now,
// each once. From then on no attempt of the worker's present or an earlier
// incarnation runs or can start.
func (t *Table) Expired(now time.Duration) []string {
	t.advanceClock(now)
	var expired []string
	for w, h := range t.workers {
		if h.ended || t.now < h.expiresAt {
			continue
		}
		h.ended = true
		expired = append(expired, w)
	}
	slices.Sort(expired)
	return expired
}

// NextExpiry returns when Expired will next have something to tell. It is
// false when no lease is open.
func (t *Table) NextExpiry() (time.Duration, bool) {
	var next time.Duration
	found := false
	for _, h := range t.workers {
		if h.ended || (found && h.expiresAt >= next) {
			continue
		}
		next = h.expiresAt
		found = true
	}
	return next, found
}

// Over is the proof that no attempt of a worker's incarnation runs or can
// start: the lease was declared over, or the worker announced a higher
// incarnation. Absence of a worker is no proof.
func (t *Table) Fenced(worker string, incarnation uint64) bool {
	h := t.workers[worker]
	if h == nil {
		return false
	}
	return incarnation < h.incarnation || (h.ended && incarnation <= h.incarnation) || (h.ended && h.incarnation == 0)
}

// Leave ends the lease of a worker that has stopped all tasks of the
// incarnation and says so. It returns false for an incarnation that is not the
// present one. Late renewals of the incarnation are refused.
func (t *Table) Leave(worker string, incarnation uint64) bool {
	h := t.workers[worker]
	if h == nil || incarnation < h.incarnation {
		return false
	}
	h.incarnation = incarnation
	h.ended = true
	return true
}

// Forget drops all knowledge of a worker that is gone for good. It must not be
// called while a late renewal may still be under way: that would bring the
// worker back for one ttl.
func (t *Table) Forget(worker string) {
	delete(t.workers, worker)
}

// Workers returns the number of workers that the table knows.
func (t *Table) Workers() int {
	return len(t.workers)
}

// advance takes over a reading of the owner's clock. Callers that read the
// clock and then wait for a mutex come out of order; the later reading is then
// right for both, since it has passed already.
func (t *Table) advanceClock(now time.Duration) {
	t.now = max(t.now, now)
}

// invariant panics when a condition that the package's proof rests on doesn't
// hold: going on would risk running a task twice, while a restart is safe.
func invariant(holds bool, format string, args ...any) {
	if !holds {
		panic("lease: invariant broken: " + fmt.Sprintf(format, args...))
	}
}
