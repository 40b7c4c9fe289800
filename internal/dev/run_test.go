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

// size is the size of the run. With the race detector both deployments and their
// stand-ins, in one process, need most of a small machine at full size. The short
// run carries a fifth of the load under the same check.
func testSize() Size {
	full := FullSize()
	if testing.Short() {
		return Size{Workers: full.Workers / 5, Minions: full.Minions / 5, RequestRate: full.RequestRate / 5}
	}
	return full
}

// Both example deployments carry their sample work in time, and what can't be done
// is refused with its reason. Time is virtual: what is late here waited for the
// deployments, and never for a processor that another process had.
func TestSampleWorkMeetsDeadlines(t *testing.T) {
	useOneProcessor(t)
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		results, err := runOver(t.Context(), newMemoryNetwork(), &out, io.Discard, testSize(), false)
		must.NoError(t, err)
		must.True(t, allResults(results, (*Result).Passed), must.Sprint(out.String()))
		must.True(t, allResults(results, allRequestsCorrect), must.Sprint(out.String()))
		mustShowRefusals(t, out.String())
	})
}

// allRequestsCorrect reports whether no request was refused: nothing is short here.
func allRequestsCorrect(r *Result) bool { return r.Requests.Correct == r.Requests.Calls }

// useOneProcessor keeps the timers of a bubble on one thread at a time: the race
// detector has one context for all of them and crashes when two threads use it.
func useOneProcessor(t *testing.T) {
	before := runtime.GOMAXPROCS(1)
	t.Cleanup(func() { runtime.GOMAXPROCS(before) })
}

func mustShowRefusals(t *testing.T, out string) {
	for _, name := range []string{"refused: Infeasible", "refused: DeadlineUnreachable", "finished"} {
		must.StrContains(t, out, name)
	}
}

// The command that the README names first does the same over real sockets and in
// real time. The same check holds wherever calls that go past the deployments, from
// the same process and all the while, are quick. Where they aren't, only the promises
// are judged that have nothing to do with time.
func TestSampleWorkOverSockets(t *testing.T) {
	baseline := startBaseline(t)
	var out bytes.Buffer
	results, err := runOver(t.Context(), Loopback{}, &out, io.Discard, testSize(), false)
	fast := baseline.stopAndCheck(t)
	t.Log(out.String())
	must.True(t, allResults(results, (*Result).correct))
	if !fast {
		t.Logf("no deadline is judged on this machine, now: %v", err)
		return
	}
	must.NoError(t, err)
	must.True(t, allResults(results, (*Result).Passed))
	mustShowRefusals(t, out.String())
}

// baselineMaxLatency is how long a call past the deployments takes at most on a machine
// that serves: a request is handed on twice as often, there and back.
const baselineMaxLatency = requestDeadline / 2

// machine is a load of calls that go straight to a minion of their own, and wait
// for the processors as the requests do.
type baseline struct {
	callers *standin.Callers
	// stopCallers ends the callers, and stop the minion after their last call.
	stopCallers, stopMinion  context.CancelFunc
	callerGroup, minionGroup errgroup.Group
}

func startBaseline(t *testing.T) *baseline {
	callerCtx, stopCallers := context.WithCancel(t.Context())
	minionCtx, stopMinion := context.WithCancel(t.Context())
	m := &baseline{stopCallers: stopCallers, stopMinion: stopMinion}
	minions := standin.NewMinions(standin.MinionsConfig{
		DataCentres: []standin.DataCentre{{}}, Count: 1,
		Slots: standin.DefaultMaxInFlight, MaxConnections: standin.DefaultMaxInFlight,
	})
	m.minionGroup.Go(func() error { return ignoreAfterCancel(minionCtx, minions.Run(minionCtx)) })
	minion := minions.All()[0]
	for minion.Address() == "" {
		time.Sleep(time.Millisecond)
	}
	m.callers = standin.NewCallers(standin.CallersConfig{
		Entries: []string{minion.Address()}, Direct: true,
		Rate: testSize().RequestRate, Deadline: requestDeadline, Seed: 1,
	})
	m.callerGroup.Go(func() error { return m.callers.Run(callerCtx) })
	return m
}

// end reports whether every call was quick.
func (m *baseline) stopAndCheck(t *testing.T) bool {
	m.stopCallers()
	must.NoError(t, m.callerGroup.Wait())
	m.stopMinion()
	must.NoError(t, m.minionGroup.Wait())
	r := m.callers.Report()
	t.Logf("straight to a minion: %d calls, %d whole, p50 %s p99 %s, slowest %s",
		r.Calls, r.Correct, formatMicros(r.P50), formatMicros(r.P99), formatMicros(r.Max))
	return r.Correct == r.Calls && time.Duration(r.Max)*time.Microsecond <= baselineMaxLatency
}
