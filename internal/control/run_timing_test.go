package control

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against this failure: a worker's clock that differs from the leader's shows up as delivery time.
func TestRunTimingReadsWorkerClockOnlyAgainstItself(t *testing.T) {
	accepted := time.Now()
	at := func(ms int) time.Time { return accepted.Add(time.Duration(ms) * time.Millisecond) }
	timing := runTiming{
		startCommittedAt: at(100), startedAt: at(110), startClockMS: 5_000_000, endSeenAt: at(930), endClockMS: 5_000_800,
		unpolled: 40 * time.Millisecond,
	}
	must.Eq(t, []any{
		"start_committed_ms", int64(100), "start_delivery_ms", int64(10), "at_worker_ms", int64(800),
		"report_delivery_ms", int64(20), "unpolled_ms", int64(40), "end_commit_ms", int64(25),
	}, timing.logFields(accepted, at(955)))
	must.Nil(t, runTiming{}.logFields(accepted, at(955)))
}
