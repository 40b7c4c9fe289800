package lease

import (
	"fmt"
	"slices"
	"time"
)

// Renewal is the Table's decision on one renewal that a worker sent.
type Renewal struct {
	// Accepted reports whether the lease was extended.
	Accepted bool
	// Stale reports whether the renewal is delayed, a duplicate, or of an
	// incarnation that has ended. A stale renewal changes nothing in the table.
	Stale bool
	// NewIncarnation reports whether the renewal ended an earlier incarnation,
	// whose attempts have all ended.
	NewIncarnation bool
	// Unknown reports whether this is the first renewal of the incarnation that
	// the table has accepted, so that the owner needs the worker's announcement.
	Unknown bool
	// Ended reports whether the incarnation has ended: its lease was declared
	// ended, or a higher incarnation has replaced it. The worker must stop all
	// tasks and return with a higher incarnation.
	Ended bool
}

// Grants reports whether the response to the renewal may grant a lease. The response to a
// duplicate of a renewal of the current incarnation may grant a lease too, because the
// worker counts the lease from when it first sent that sequence number.
func (r Renewal) Grants() bool {
	return r.Accepted || (r.Stale && !r.Ended && !r.NewIncarnation && !r.Unknown)
}

// leaseRecord is the owner's record of one worker's lease.
type leaseRecord struct {
	// incarnation is zero while none is known.
	incarnation uint64
	// sequence is the highest accepted sequence number of the incarnation.
	sequence uint64
	// expiresAt is when the worker's lease has certainly expired.
	expiresAt time.Duration
	// granted reports whether this table has granted a lease.
	granted bool
	// ended reports whether the lease was declared ended; that can't be undone
	// for the same incarnation.
	ended bool
}

// Table is the owner's record of the leases of all workers of a data centre. It
// is not persisted: a new leader starts with an empty one and calls TakeOver.
// It is not safe for concurrent use.
type Table struct {
	ttl, drift time.Duration
	// now is the latest reading of the owner's clock that was passed to any method.
	now     time.Duration
	workers map[string]*leaseRecord
}

// NewTable returns an empty table that grants leases for ttl. drift is the most
// that a worker's clock may lose against the owner's over ttl+drift. If ttl is
// lowered between two leaders, the new one must use the old ttl until the
// leases of the previous leader have expired.
func NewTable(ttl, drift time.Duration) *Table {
	return &Table{ttl: ttl, drift: drift, workers: map[string]*leaseRecord{}}
}

// TTL returns the duration of a lease, for the response that grants it.
func (t *Table) TTL() time.Duration {
	return t.ttl
}

// TakeOver adds the workers of the previous leader. now must be read when no other
// leader can commit decisions any more.
//
// Guards against running a task twice: a new leader that considers a worker
// free because it has received no renewal would start the worker's tasks
// elsewhere, while the worker still runs them under a lease that the previous
// leader granted a moment ago. Each worker is therefore assumed to hold a lease
// until now+ttl+drift, which is after every lease of the previous leader has ended.
// A worker that renews with this table is live immediately.
func (t *Table) TakeOver(now time.Duration, workers []string) {
	t.advanceClock(now)
	for _, w := range workers {
		if _, known := t.workers[w]; known {
			continue
		}
		t.workers[w] = &leaseRecord{expiresAt: t.now + t.ttl + t.drift}
	}
}

// RecordIncarnation records the highest incarnation that is committed for a
// worker, so that a new leader recognises a delayed renewal of an earlier incarnation
// as stale. It ignores workers that aren't in the table; call it after TakeOver.
func (t *Table) RecordIncarnation(worker string, incarnation uint64) {
	record := t.workers[worker]
	if record == nil || record.incarnation >= incarnation {
		return
	}
	record.incarnation = incarnation
}

// Renew decides on a renewal that was received at now. Sequence numbers grow from
// 1 within an incarnation.
//
// Guards against three faults: a duplicated renewal extends the lease of a dead
// worker again and again; a renewal that arrives after its worker's restart
// brings the old incarnation back; a renewal that arrives after the lease was
// declared ended makes the incarnation live again, although its attempts may
// run elsewhere by then. A renewal therefore counts only once, only if its
// (incarnation, sequence) is higher than any before, and not for an incarnation
// that has ended.
func (t *Table) Renew(worker string, incarnation, sequence uint64, now time.Duration) Renewal {
	t.advanceClock(now)
	record := t.workers[worker]
	if record == nil {
		record = &leaseRecord{}
		t.workers[worker] = record
	}
	switch {
	case incarnation < record.incarnation:
		return Renewal{Stale: true, Ended: true}
	case incarnation == record.incarnation && record.ended:
		return Renewal{Stale: true, Ended: true}
	case incarnation == record.incarnation && sequence <= record.sequence:
		return Renewal{Stale: true}
	}
	result := Renewal{
		Accepted:       true,
		NewIncarnation: record.incarnation != 0 && incarnation > record.incarnation,
		Unknown:        !record.granted || incarnation > record.incarnation,
	}
	record.incarnation = incarnation
	record.sequence = sequence
	record.granted = true
	record.ended = false
	t.extend(worker, record)
	return result
}

// extend moves the expiry of a lease forward, never back.
func (t *Table) extend(worker string, record *leaseRecord) {
	until := t.now + t.ttl + t.drift
	invariant(until >= record.expiresAt, "the expiry of the lease of worker %s moved back", worker)
	record.expiresAt = until
}

// Live reports whether this table has accepted a renewal of the worker less than ttl
// ago and the lease was not declared ended.
// Only live workers get tasks.
func (t *Table) Live(worker string, now time.Duration) bool {
	record := t.workers[worker]
	return record != nil && record.granted && !record.ended && now < record.expiresAt-t.drift
}

// Incarnation returns the highest known incarnation of a worker, to which the owner assigns
// new attempts and commands. It returns false if none is known.
func (t *Table) Incarnation(worker string) (uint64, bool) {
	record := t.workers[worker]
	if record == nil || record.incarnation == 0 {
		return 0, false
	}
	return record.incarnation, true
}

// Expired declares ended all leases that have expired by now, and returns their workers,
// sorted. It returns a worker only in the call that declares its lease ended. No attempt
// of the worker's current or an earlier incarnation runs or can start any more.
func (t *Table) Expired(now time.Duration) []string {
	t.advanceClock(now)
	var expired []string
	for w, record := range t.workers {
		if record.ended || t.now < record.expiresAt {
			continue
		}
		record.ended = true
		expired = append(expired, w)
	}
	slices.Sort(expired)
	return expired
}

// NextExpiry returns when the next lease expires. It returns false if all leases in the
// table have ended.
func (t *Table) NextExpiry() (time.Duration, bool) {
	var next time.Duration
	found := false
	for _, record := range t.workers {
		if record.ended || (found && record.expiresAt >= next) {
			continue
		}
		next = record.expiresAt
		found = true
	}
	return next, found
}

// Fenced reports whether it is proven that no attempt of a worker's incarnation
// runs or can start: the lease was declared ended, or the worker has a higher
// incarnation. It returns false for a worker that isn't in the table.
func (t *Table) Fenced(worker string, incarnation uint64) bool {
	record := t.workers[worker]
	if record == nil {
		return false
	}
	return incarnation < record.incarnation || (record.ended && incarnation <= record.incarnation) || (record.ended && record.incarnation == 0)
}

// Leave ends the lease of a worker that reports that it has stopped all tasks of
// the incarnation. Delayed renewals of the incarnation are refused from then on. It
// returns false and changes nothing if the worker isn't in the table or has a higher
// incarnation.
func (t *Table) Leave(worker string, incarnation uint64) bool {
	record := t.workers[worker]
	if record == nil || incarnation < record.incarnation {
		return false
	}
	record.incarnation = incarnation
	record.ended = true
	return true
}

// Remove removes a worker that never returns from the table. Don't call it while a
// delayed renewal may still be in flight: the renewal would make the worker live
// again for one ttl.
func (t *Table) Remove(worker string) {
	delete(t.workers, worker)
}

// WorkerCount returns the number of workers in the table.
func (t *Table) WorkerCount() int {
	return len(t.workers)
}

// advanceClock records a reading of the owner's clock. Callers that read the clock
// and then wait for a mutex may arrive out of order; the latest reading is valid for
// all of them, because that time has already passed.
func (t *Table) advanceClock(now time.Duration) {
	t.now = max(t.now, now)
}

// invariant panics if holds is false. If the condition is broken, the package can't
// prevent a task from running twice, whereas a restart of the process is safe.
func invariant(holds bool, format string, args ...any) {
	if !holds {
		panic("lease: invariant broken: " + fmt.Sprintf(format, args...))
	}
}
