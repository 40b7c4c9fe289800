package overload

import (
	"context"
	"runtime"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/bilberryferry/bilberryferry/fault"
)

const (
	// retryAfter is the delay after which callers are told to retry: the shortest one that Retry-After can
	// express, which lets a caller retry twice within its total time of 3 s. Bounds recover within half of it.
	retryAfter = time.Second
	// reportInterval is the time between two updates of the gauges and between two log lines.
	reportInterval = time.Second
)

// Counters records counters and gauges by metric name.
type Counters interface {
	// Add adds n to a counter.
	Add(name string, n int64)
	// Set sets a gauge to n.
	Set(name string, n int64)
}

// Gate makes calls wait and refuses them as a Limiter decides. It is safe for concurrent use.
type Gate struct {
	classOf  func(method string) Class
	logger   log.Logger
	counters Counters
	now      func() time.Time

	mu      sync.Mutex
	limiter *Limiter
	// waiting holds the channels, each with a buffer of one, that tell waiting calls whether they are served.
	waiting map[CallID]chan bool
	report  report
}

// report is what happened since reportedAt.
type report struct {
	reportedAt time.Time
	maxDelay   time.Duration
	reduced    bool
	// lowestBound and refused are by class.
	lowestBound, refused [classCount]int
}

// NewGate returns a gate with the bounds. classOf returns the class of the calls of a method.
func NewGate(bounds Bounds, classOf func(method string) Class, logger log.Logger, counters Counters) *Gate {
	g := &Gate{
		classOf: classOf, logger: logger, counters: counters, now: time.Now,
		limiter: NewLimiter(bounds), waiting: map[CallID]chan bool{},
	}
	g.startReport(g.now())
	return g
}

// Arrive decides on a call of a method and a flow. An error of kind Overloaded refuses the call. Otherwise done
// must be called after the call has been served. If wait isn't nil, the call may be served only after wait has
// returned nil; if wait returns an error, the call is refused and done must not be called.
//
// Arrive yields the processor once before it returns for a submission or a read that is served, so that the other
// runnable calls reach the gate. On a single processor, calls that don't block would otherwise be served one after
// the other, and the gate would never see more than one of them.
func (g *Gate) Arrive(method string, flow uint64) (wait func(context.Context) error, done func(), err error) {
	class := g.classOf(method)
	wait, done, err = g.arrive(class, flow)
	if wait == nil && err == nil && class >= ClassSubmit {
		runtime.Gosched()
	}
	return wait, done, err
}

func (g *Gate) arrive(class Class, flow uint64) (wait func(context.Context) error, done func(), err error) {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	id, decision := g.limiter.Arrive(now, class, flow)
	g.deliver()
	switch decision {
	case Serve:
		return nil, func() { g.done(class) }, nil
	case Wait:
		served := make(chan bool, 1)
		g.waiting[id] = served
		deadline := now.Add(g.limiter.classes[class].MaxWait)
		wait = func(ctx context.Context) error { return g.wait(ctx, id, class, served, deadline) }
		return wait, func() { g.done(class) }, nil
	default:
		return nil, nil, g.refuse(class)
	}
}

// wait blocks until a call is served, has waited until its deadline, or ctx ends.
func (g *Gate) wait(ctx context.Context, id CallID, class Class, served <-chan bool, deadline time.Time) error {
	timer := time.NewTimer(deadline.Sub(g.now()))
	defer timer.Stop()
	select {
	case ok := <-served:
		return g.waitError(ok, class)
	case <-timer.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	waited := g.limiter.Cancel(g.now(), id, class)
	delete(g.waiting, id)
	g.deliver()
	g.mu.Unlock()
	switch {
	case waited && ctx.Err() != nil:
		return fault.New(fault.Unavailable, "the caller disconnected while the call waited")
	case waited:
		return g.waitError(false, class)
	}
	// The outcome was decided before the call could be removed.
	return g.waitError(<-served, class)
}

func (g *Gate) waitError(served bool, class Class) error {
	if served {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.refuse(class)
}

// refuse counts a refused call and returns its error. g.mu must be held.
func (g *Gate) refuse(class Class) error {
	g.counters.Add("calls_refused_"+class.String(), 1)
	g.report.refused[class]++
	return fault.Retry(fault.Overloaded, retryAfter, "too many calls of the class %s", class)
}

// done ends the service of a call.
func (g *Gate) done(class Class) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.Done(g.now(), class)
	g.deliver()
}

// deliver tells waiting calls their outcomes. g.mu must be held.
func (g *Gate) deliver() {
	for _, outcome := range g.limiter.TakeOutcomes() {
		g.waiting[outcome.ID] <- outcome.Served
		delete(g.waiting, outcome.ID)
	}
}

// Observe adapts the bounds to a scheduling delay, and reports once per reportInterval.
func (g *Gate) Observe(now time.Time, delay time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.Observe(now, delay)
	g.deliver()
	r := &g.report
	r.maxDelay = max(r.maxDelay, delay)
	r.reduced = r.reduced || g.limiter.Reduced()
	for class := range classCount {
		r.lowestBound[class] = min(r.lowestBound[class], g.limiter.Load(class).Bound)
	}
	if now.Sub(r.reportedAt) >= reportInterval {
		g.writeReport()
		g.startReport(now)
	}
}

// startReport starts an empty report. g.mu must be held, except by NewGate.
func (g *Gate) startReport(now time.Time) {
	g.report = report{reportedAt: now, reduced: g.limiter.Reduced()}
	for class := range classCount {
		g.report.lowestBound[class] = g.limiter.Load(class).Bound
	}
}

// writeReport sets the gauges, and logs a line if a bound was reduced. g.mu must be held.
func (g *Gate) writeReport() {
	r := &g.report
	g.counters.Set("scheduling_delay_ms", r.maxDelay.Milliseconds())
	line := []any{"event", "overload", "delay_ms", r.maxDelay.Milliseconds()}
	for class := range classCount {
		load := g.limiter.Load(class)
		g.counters.Set("calls_in_service_"+class.String(), int64(load.InService))
		g.counters.Set("calls_waiting_"+class.String(), int64(load.Waiting))
		if class != ClassLog {
			line = append(line, class.String()+"_bound", r.lowestBound[class], class.String()+"_in_service", load.InService,
				class.String()+"_waiting", load.Waiting, class.String()+"_refused", r.refused[class])
		}
	}
	if r.reduced {
		_ = g.logger.Log(line...)
	}
}
