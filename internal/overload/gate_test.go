package overload

import (
	"bytes"
	"context"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/oplog"
)

// submitOnly are bounds with one submission in service and two waiting.
var submitOnly = Bounds{ClassSubmit: {InService: 1, MinInService: 1, Waiting: 2, MaxWait: 200 * time.Millisecond}}

func classSubmit(string) Class { return ClassSubmit }

// newBusyGate returns a gate with one submission in service, and the function that ends it.
func newBusyGate(t *testing.T, counters Counters) (g *Gate, done func()) {
	g = NewGate(submitOnly, classSubmit, log.NewNopLogger(), counters)
	wait, done, err := g.Arrive("m", 0)
	must.NoError(t, err)
	must.Nil(t, wait)
	return g, done
}

// counterMap counts by metric name.
type counterMap map[string]int64

func (c counterMap) Add(name string, n int64) { c[name] += n }
func (c counterMap) Set(name string, n int64) { c[name] = n }

// Guards against calls that wait although their callers have disconnected, and keep out others.
func TestDisconnectedCallerLeavesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		counters := counterMap{}
		g, done := newBusyGate(t, counters)
		waitFirst, _, err := g.Arrive("m", 0)
		must.NoError(t, err)
		waitSecond, doneSecond, err := g.Arrive("m", 0)
		must.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		firstErr := make(chan error, 1)
		go func() { firstErr <- waitFirst(ctx) }()
		cancel()
		must.Eq(t, fault.Unavailable, fault.KindOf(<-firstErr))
		must.Eq(t, 1, g.limiter.Load(ClassSubmit).Waiting)
		must.MapEmpty(t, counters)
		done()
		must.NoError(t, waitSecond(t.Context()))
		doneSecond()
		must.Eq(t, Load{Bound: 1}, g.limiter.Load(ClassSubmit))
		must.MapEmpty(t, g.waiting)
	})
}

// Guards against calls that are held until the time limit of their callers instead of being refused.
func TestCallIsRefusedAfterMaxWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		counters := counterMap{}
		g, done := newBusyGate(t, counters)
		start := time.Now()
		wait, _, err := g.Arrive("m", 0)
		must.NoError(t, err)
		_, _, err = g.Arrive("m", 0)
		must.NoError(t, err)
		_, _, err = g.Arrive("m", 0)
		must.Eq(t, fault.Overloaded, fault.KindOf(err))
		err = wait(t.Context())
		must.Eq(t, fault.Overloaded, fault.KindOf(err))
		must.Eq(t, time.Second, fault.From(err).RetryAfter)
		must.Eq(t, 200*time.Millisecond, time.Since(start))
		must.Eq(t, 2, counters["calls_refused_submit"])
		done()
	})
}

// Guards against bounds that stay normal after the monitor was suspended, for example with the whole process: the
// calls of that time arrive together afterwards.
func TestSuspendedMonitorReducesBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines bytes.Buffer
		counters := counterMap{}
		g := NewGate(DefaultBounds(), classSubmit, log.NewLogfmtLogger(&lines), counters)
		m := NewMonitor(g.Observe)
		m.latency = func() time.Duration { return 0 }
		samples := 0
		m.sleep = func(_ context.Context, d time.Duration) bool {
			if samples++; samples == 100 {
				d += 2 * time.Second
			}
			time.Sleep(d)
			return samples <= 100
		}
		must.NoError(t, m.Run(t.Context()))
		must.Eq(t, 8, g.limiter.Load(ClassSubmit).Bound)
		must.Eq(t, 2000, counters["scheduling_delay_ms"])
		must.Eq(t, 1, strings.Count(lines.String(), "\n"))
		must.StrContains(t, lines.String(), "event=overload delay_ms=2000 work_bound=2048")
		must.StrContains(t, lines.String(), "submit_bound=8 ")
		// With a measurement every 10 ms, bounds are normal again in the second after the next.
		m.sleep = func(_ context.Context, d time.Duration) bool { time.Sleep(d); samples++; return samples < 600 }
		must.NoError(t, m.Run(t.Context()))
		must.Eq(t, 32, g.limiter.Load(ClassSubmit).Bound)
		must.LessEq(t, 2, strings.Count(lines.String(), "\n"))
		must.Eq(t, 0, counters["scheduling_delay_ms"])
	})
}

// Guards against metrics that the instance doesn't serve.
func TestGaugesAreServed(t *testing.T) {
	var _ Counters = oplog.NewMetrics()
	counters := counterMap{}
	g, done := newBusyGate(t, counters)
	_, _, err := g.Arrive("m", 0)
	must.NoError(t, err)
	g.report.reportedAt = g.report.reportedAt.Add(-reportInterval)
	g.Observe(time.Now(), 3*time.Millisecond)
	must.Eq(t, 1, counters["calls_in_service_submit"])
	must.Eq(t, 1, counters["calls_waiting_submit"])
	must.Eq(t, 3, counters["scheduling_delay_ms"])
	done()
}

// oneProcessor makes goroutines share one processor during a test, as those of a core instance do.
func oneProcessor(t *testing.T) {
	before := runtime.GOMAXPROCS(1)
	t.Cleanup(func() { runtime.GOMAXPROCS(before) })
}

// Guards against a gate that bounds nothing on one processor, because each call that doesn't block ends before the
// next one arrives.
func TestCallsThatDoNotBlockAreBounded(t *testing.T) {
	oneProcessor(t)
	g := NewGate(submitOnly, classSubmit, log.NewNopLogger(), oplog.NewMetrics())
	var refused atomic.Int64
	var calls sync.WaitGroup
	for range 20 {
		calls.Go(func() {
			wait, done, err := g.Arrive("m", 0)
			if err == nil && wait != nil {
				err = wait(t.Context())
			}
			if err != nil {
				refused.Add(1)
				return
			}
			done()
		})
	}
	calls.Wait()
	must.Positive(t, refused.Load())
}

// Guards against a monitor that doesn't see the queue of runnable goroutines, because the runtime prefers a
// goroutine that a timer has woken.
func TestMonitorWaitsForRunnableGoroutines(t *testing.T) {
	oneProcessor(t)
	var delays []time.Duration
	m := NewMonitor(func(_ time.Time, delay time.Duration) { delays = append(delays, delay) })
	m.sleep = func(_ context.Context, d time.Duration) bool {
		for range 300 {
			go spin(time.Millisecond)
		}
		time.Sleep(max(d, latencyInterval))
		return len(delays) < 4
	}
	must.NoError(t, m.Run(t.Context()))
	must.Greater(t, maxDelay, slices.Max(delays))
}

// spin occupies the processor for a duration.
func spin(d time.Duration) {
	for start := time.Now(); time.Since(start) < d; {
	}
}

// Guards against a call that goes on waiting, or is counted as served, after it was refused in favour of another
// flow.
func TestDisplacedCallIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		counters := counterMap{}
		g, done := newBusyGate(t, counters)
		start := time.Now()
		_, _, err := g.Arrive("m", 1)
		must.NoError(t, err)
		waitSecond, _, err := g.Arrive("m", 1)
		must.NoError(t, err)
		waitOther, doneOther, err := g.Arrive("m", 2)
		must.NoError(t, err)
		err = waitSecond(t.Context())
		must.Eq(t, fault.Overloaded, fault.KindOf(err))
		must.Eq(t, "too many calls of the class submit", fault.From(err).Message)
		must.Zero(t, time.Since(start))
		must.Eq(t, 1, counters["calls_refused_submit"])
		done()
		done()
		must.NoError(t, waitOther(t.Context()))
		doneOther()
		must.MapEmpty(t, g.waiting)
	})
}
