package dev

import (
	"bytes"
	"context"
	"io"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"

	"github.com/bilberryferry/bilberryferry/internal/standin"
)

// shortTestDivisor divides the load of a run with -short.
const shortTestDivisor = 5

// testSize returns the size of the tests' runs. With the race detector, a run at full size
// uses most of a small machine, because one process runs both deployments and their
// stand-ins. With -short, a run has a fifth of the load and the same checks.
func testSize() Size {
	full := FullSize()
	if testing.Short() {
		return Size{Workers: full.Workers / shortTestDivisor, Minions: full.Minions / shortTestDivisor, RequestRate: full.RequestRate / shortTestDivisor}
	}
	return full
}

// The deployments miss a deadline of the sample work, or accept jobs that can't meet their
// deadlines. Time is virtual, so the cause of late work is a delay in the deployments and
// never a busy machine.
func TestSampleWorkMeetsDeadlines(t *testing.T) {
	useOneProcessor(t)
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		results, err := runOnNetwork(t.Context(), newMemoryNetwork(), &out, io.Discard, testSize(), false)
		must.NoError(t, err)
		must.True(t, allResultsSatisfy(results, (*Result).Passed), must.Sprint(out.String()))
		must.True(t, allResultsSatisfy(results, allRequestsCorrect), must.Sprint(out.String()))
		mustShowRefusals(t, out.String())
	})
}

// allRequestsCorrect reports whether every request got a correct response. The minions have
// enough slots for the load, so no request may be refused.
func allRequestsCorrect(r *Result) bool { return r.Requests.Correct == r.Requests.Calls }

// useOneProcessor limits the test to one thread at a time. The race detector has one
// context for all timers of a synctest bubble and crashes when two threads use it.
func useOneProcessor(t *testing.T) {
	before := runtime.GOMAXPROCS(1)
	t.Cleanup(func() { runtime.GOMAXPROCS(before) })
}

// mustShowRefusals checks that the output shows finished jobs and both refusals that
// the sample jobs cause: one infeasible job and one with an unreachable deadline.
func mustShowRefusals(t *testing.T, out string) {
	for _, name := range []string{"refused: Infeasible", "refused: DeadlineUnreachable", "finished"} {
		must.StrContains(t, out, name)
	}
}

// `bilberry dev`, the first command in the README, fails over real sockets and in real
// time. Missed deadlines fail the test only if calls from the same process directly to a
// minion are fast during the whole run. On a slower machine the test checks only
// violations and wrong responses, which don't depend on speed.
func TestSampleWorkMeetsDeadlinesOverSockets(t *testing.T) {
	baseline := startBaseline(t)
	var out bytes.Buffer
	results, err := runOnNetwork(t.Context(), Loopback{}, &out, io.Discard, testSize(), false)
	fast := baseline.stopAndCheck(t)
	t.Log(out.String())
	must.True(t, allResultsSatisfy(results, (*Result).correct))
	if !fast {
		t.Logf("the machine is too slow at present to check deadlines; error of the run: %v", err)
		return
	}
	must.NoError(t, err)
	must.True(t, allResultsSatisfy(results, (*Result).Passed))
	mustShowRefusals(t, out.String())
}

// baselineMaxLatency is the largest latency of a direct call at which deadlines are
// checked: a request through a deployment takes twice as many hops as a direct call.
const baselineMaxLatency = requestDeadline / 2

// baseline is a load of calls directly to a separate minion. The calls compete for the
// processors with the deployments, like the requests through the deployments.
type baseline struct {
	callers *standin.Callers
	// stopCallers ends the load; stopMinion ends the minion after the last call.
	stopCallers, stopMinion  context.CancelFunc
	callerGroup, minionGroup errgroup.Group
}

// startBaseline starts a minion and a load of calls to it, at the rate and with the
// deadline of the requests to one deployment.
func startBaseline(t *testing.T) *baseline {
	callerCtx, stopCallers := context.WithCancel(t.Context())
	minionCtx, stopMinion := context.WithCancel(t.Context())
	b := &baseline{stopCallers: stopCallers, stopMinion: stopMinion}
	minions := standin.NewMinions(standin.MinionsConfig{
		DataCentres: []standin.DataCentre{{}}, Count: 1,
		Slots: standin.DefaultMaxInFlight, MaxConnections: standin.DefaultMaxInFlight,
	})
	b.minionGroup.Go(func() error { return ignoreAfterCancel(minionCtx, minions.Run(minionCtx)) })
	minion := minions.All()[0]
	const addressPollInterval = time.Millisecond
	for minion.Address() == "" {
		time.Sleep(addressPollInterval)
	}
	b.callers = standin.NewCallers(standin.CallersConfig{
		Entries: []string{minion.Address()}, Direct: true,
		Rate: testSize().RequestRate, Deadline: requestDeadline, Seed: 1,
	})
	b.callerGroup.Go(func() error { return b.callers.Run(callerCtx) })
	return b
}

// stopAndCheck ends the load and reports whether every call got a correct response
// within baselineMaxLatency.
func (b *baseline) stopAndCheck(t *testing.T) bool {
	b.stopCallers()
	must.NoError(t, b.callerGroup.Wait())
	b.stopMinion()
	must.NoError(t, b.minionGroup.Wait())
	r := b.callers.Report()
	t.Logf("calls straight to a minion: %d, correct responses %d, latency p50 %s p99 %s max %s",
		r.Calls, r.Correct, formatMicros(r.LatencyP50Micros), formatMicros(r.LatencyP99Micros), formatMicros(r.LatencyMaxMicros))
	return r.Correct == r.Calls && time.Duration(r.LatencyMaxMicros)*time.Microsecond <= baselineMaxLatency
}
