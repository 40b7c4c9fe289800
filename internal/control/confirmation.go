package control

import "time"

const (
	// minRestartTime is the shortest time from the crash of a worker until its next
	// incarnation serves calls.
	minRestartTime = 40 * time.Millisecond
	// maxConfirmingPolls bounds the confirming polls in a row to a worker that always
	// responds late.
	maxConfirmingPolls = 2
	// clockResolution is the resolution of a worker's clock in reports.
	clockResolution = time.Millisecond
)

// confirmation is the last proof that the monitored incarnation of a worker was alive.
type confirmation struct {
	// at is a time at or before which the worker made its last report. clockMS is the
	// worker's clock in that report, in milliseconds; 0 if unknown.
	at      time.Time
	clockMS int64
	// confirmingPolls counts the confirming polls since the last poll that acknowledged ends.
	confirmingPolls int
}

// record records a report that has just arrived. sent is when its poll was sent, wait how
// long the worker was allowed to hold it.
//
// A response may be delayed, so its arrival doesn't show when the worker made it. A worker
// that lists no ends has held the poll to the end. The time between two reports is known
// from the worker's clock.
func (c *confirmation) record(report Report, sent time.Time, wait time.Duration, now time.Time) {
	madeAt := sent
	if heldUntil := sent.Add(wait); len(report.Ended) == 0 && !heldUntil.After(now) {
		madeAt = heldUntil
	}
	if c.clockMS > 0 && report.ClockMS > c.clockMS {
		elapsed := time.Duration(report.ClockMS-c.clockMS)*time.Millisecond - clockResolution
		if byClock := c.at.Add(time.Duration(float64(elapsed) / driftFactor)); byClock.After(madeAt) {
			madeAt = byClock
		}
	}
	if madeAt.After(now) {
		madeAt = now
	}
	c.at, c.clockMS = madeAt, report.ClockMS
}

// needsConfirmation reports whether the worker may have restarted since its last report. The
// next poll then acknowledges no ends and isn't held; it only confirms the incarnation.
// t.mu must be held.
//
// Incarnations with the same name can't be told apart by an address, and each numbers its
// ends from 1. An incarnation that receives the acknowledgement of its predecessor forgets
// as many ends of its own before they are listed, and their tasks would start again after
// they were done. Right after a report of the predecessor no successor can be there yet.
func (s *workerSession) needsConfirmation(now time.Time) bool {
	if s.worker.StartedAtMS == 0 || s.t.c.heartbeats != nil || s.confirmation.confirmingPolls >= maxConfirmingPolls {
		return false
	}
	// No confirmation is newer than a round trip.
	return now.Sub(s.confirmation.at) > max(minRestartTime, 2*s.t.responseTime)
}
