package dispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// largeLoad returns the kinds of jobs that load a pool of 1,100 workers: large gangs,
// builds with checkpoints and urgent lookups, which together occupy 0.88 of its cores on
// average.
func largeLoad() (recalc, build, lookup *replayKind) {
	ms := time.Millisecond
	recalc = &replayKind{name: "recalc", value: 9.18, rate: 7.46, steps: 1.2, width: 32, widthCV: 0.6, maxWidth: 160, cores: 18, coresCV: 0.4, maxCores: 30,
		gb: 33, gbCV: 0.5, maxGB: 66, runTime: 6200 * ms, runTimeCV: 0.5, objective: 1000 * ms, stretch: 2.2, priority: 1, gangShare: 1, checkpointingShare: 0.5,
		baseLatency: 624 * ms, perWorkerLatency: 8970 * time.Microsecond, ticketValidity: 2000 * ms, grantedShare: 0.3, failingShare: 0.02}
	build = &replayKind{name: "build", value: 3.47, rate: 12.3, steps: 1.5, width: 32, widthCV: 0.6, maxWidth: 160, cores: 11, coresCV: 0.45, maxCores: 33,
		gb: 11, gbCV: 0.6, maxGB: 34, runTime: 3400 * ms, runTimeCV: 0.5, objective: 3000 * ms, stretch: 4, priority: 2, checkpointingShare: 0.8,
		baseLatency: 182 * ms, perWorkerLatency: 2600 * time.Microsecond, ticketValidity: 2000 * ms, grantedShare: 0.45, failingShare: 0.02}
	lookup = &replayKind{name: "lookup", value: 0.384, rate: 156, steps: 1, width: 4.5, widthCV: 0.8, maxWidth: 27, cores: 16, coresCV: 0.45, maxCores: 47,
		gb: 16, gbCV: 0.6, maxGB: 48, runTime: 800 * ms, runTimeCV: 0.5, objective: 250 * ms, stretch: 1.5, gangShare: 0.3,
		baseLatency: 14300 * time.Microsecond, perWorkerLatency: 208 * time.Microsecond, ticketValidity: 2000 * ms, grantedShare: 0.7, failingShare: 0.02}
	return recalc, build, lookup
}

// Guards against a backlog that remains after the burst that caused it. Lookups arrive at
// twice the usual rate for four seconds; full decisions come every 150 ms and consider 128
// steps. If each changed job beyond Limits.Steps waits for two full decisions, urgent jobs
// stay late although a quarter of the cores is free.
func TestBacklogOfBurstDrains(t *testing.T) {
	const burstStart, burstEnd, usualRate, end = 8 * time.Second, 12 * time.Second, 156, 16 * time.Second
	// maxFreeShare bounds the share of the cores that is free at the end. A larger share
	// would show that the load doesn't fill the pool.
	const maxFreeShare = 0.2
	recalc, build, lookup := largeLoad()
	r := newReplay(1, largePoolWorkers, largePoolConnections, recalc, build, lookup)
	r.decisionInterval = 150 * time.Millisecond
	r.playIncremental(burstStart, incrementalTick)
	lookup.rate = 2 * usualRate
	r.playIncremental(burstEnd, incrementalTick)
	lookup.rate = usualRate
	r.playIncremental(end, incrementalTick)
	steps, gangs := r.waiting()
	t.Logf("waiting %d, gangs %d, free %.2f", steps, gangs, r.freeShare())
	must.Less(t, r.limits.Steps, steps)
	must.Less(t, maxFreeShare, r.freeShare(), must.Sprint("the load fills the pool"))
}

// incrementalTick is the interval between two incremental decisions.
const incrementalTick = 15 * time.Millisecond
