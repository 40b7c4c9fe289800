package overload

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Synthetic processor times on 0.64 of a core, and the time of a commit.
const (
	headerTime  = 100 * time.Microsecond
	refusalTime = 50 * time.Microsecond
	logTime     = 100 * time.Microsecond
	commitTime  = 30 * time.Millisecond
)

// callRates are the usual calls per second. serviceTimes are the processor times of a call: before the
// commit, for a submission, and after it.
var (
	callRates    = [classCount]float64{ClassWork: 200, ClassSubmit: 120, ClassRead: 350}
	serviceTimes = [classCount]time.Duration{ClassWork: 300 * time.Microsecond, ClassSubmit: 400 * time.Microsecond, ClassRead: 500 * time.Microsecond}
)

// timer is an event of a replay.
type timer struct {
	at   time.Duration
	fire func()
}

type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// goroutine is runnable for cost of processor time and then does next.
type goroutine struct {
	cost time.Duration
	next func()
}

// replay models an instance whose goroutines share one processor, in the order in which they become
// runnable. A call becomes runnable again after its arrival was decided, as Gate.Arrive yields. A nil
// limiter bounds nothing.
type replay struct {
	limiter  *Limiter
	random   *rand.Rand
	now      time.Duration
	timers   timers
	runnable []goroutine
	waiting  map[CallID]func(served bool)
	// rates are the calls per second now.
	rates     [classCount]float64
	logDelays []time.Duration
	served    [classCount]int
	refused   [classCount]int
	waited    [classCount]int
}

func newReplay(limiter *Limiter) *replay {
	r := &replay{limiter: limiter, random: rand.New(rand.NewPCG(1, 2)), waiting: map[CallID]func(bool){}, rates: callRates}
	for _, class := range []Class{ClassWork, ClassSubmit, ClassRead} {
		r.arrive(class)
	}
	r.runLog()
	r.monitor(0)
	return r
}

func (r *replay) after(d time.Duration, fire func()) { heap.Push(&r.timers, timer{r.now + d, fire}) }
func (r *replay) run(cost time.Duration, next func()) {
	r.runnable = append(r.runnable, goroutine{cost, next})
}
func (r *replay) time() time.Time { return time.Time{}.Add(r.now) }

// until runs the instance until a time.
func (r *replay) until(end time.Duration) {
	for r.now < end {
		if len(r.runnable) == 0 {
			r.advance(r.timers[0].at)
			continue
		}
		first := r.runnable[0]
		r.runnable = r.runnable[1:]
		r.advance(r.now + first.cost)
		first.next()
	}
}

// advance fires the timers up to a time.
func (r *replay) advance(to time.Duration) {
	for len(r.timers) > 0 && r.timers[0].at <= to {
		next := heap.Pop(&r.timers).(timer)
		r.now = max(r.now, next.at)
		next.fire()
	}
	r.now = to
}

// runLog makes the goroutine of the log runnable every 10 ms and records how long it waits.
func (r *replay) runLog() {
	runnableAt := r.now
	r.run(logTime, func() { r.logDelays = append(r.logDelays, r.now-logTime-runnableAt) })
	r.after(10*time.Millisecond, r.runLog)
}

// monitor measures the delay as Monitor does.
func (r *replay) monitor(before time.Duration) {
	r.after(sampleInterval, func() {
		r.run(0, func() {
			if r.limiter != nil {
				r.limiter.Observe(r.time(), r.now-before-sampleInterval)
				r.deliver()
			}
			r.monitor(r.now)
		})
	})
}

// arrive generates calls of a class with random intervals.
func (r *replay) arrive(class Class) {
	r.after(time.Duration(r.random.ExpFloat64()/r.rates[class]*float64(time.Second)), func() {
		r.run(headerTime, func() { r.decide(class) })
		r.arrive(class)
	})
}

func (r *replay) decide(class Class) {
	id, decision := CallID(0), Serve
	if r.limiter != nil {
		id, decision = r.limiter.Arrive(r.time(), class, 0)
	}
	outcome := func(served bool) {
		if served {
			r.serve(class)
			return
		}
		r.refused[class]++
		r.run(refusalTime, func() {})
	}
	if decision == Wait {
		r.waited[class]++
		r.waiting[id] = outcome
	} else {
		outcome(decision == Serve)
	}
	r.deliver()
}

func (r *replay) serve(class Class) {
	done := func() {
		r.served[class]++
		if r.limiter != nil {
			r.limiter.Done(r.time(), class)
			r.deliver()
		}
	}
	r.run(serviceTimes[class], func() {
		if class == ClassSubmit {
			r.after(commitTime, func() { r.run(serviceTimes[class], done) })
			return
		}
		done()
	})
}

func (r *replay) deliver() {
	if r.limiter == nil {
		return
	}
	for _, outcome := range r.limiter.TakeOutcomes() {
		r.waiting[outcome.ID](outcome.Served)
		delete(r.waiting, outcome.ID)
	}
}

// burst replays two seconds of usual load, four seconds with ten times the usual submissions and reads, and two
// seconds of usual load. It returns the delays of the log during the burst.
func (r *replay) burst() []time.Duration {
	r.until(2 * time.Second)
	r.rates[ClassSubmit], r.rates[ClassRead] = 10*callRates[ClassSubmit], 10*callRates[ClassRead]
	before := len(r.logDelays)
	r.until(6 * time.Second)
	r.rates = callRates
	during := slices.Clone(r.logDelays[before:])
	r.until(8 * time.Second)
	slices.Sort(during)
	return during
}

// Guards against a leader that loses its authority to decide under ten times the usual calls, because its log
// waits for the processor for longer than an election takes, and against bounds that stay low afterwards.
func TestBurstLeavesProcessorToLog(t *testing.T) {
	limiter := NewLimiter(DefaultBounds())
	r := newReplay(limiter)
	delays := r.burst()
	p90, longest := delays[len(delays)*9/10], delays[len(delays)-1]
	t.Logf("delay of the log: p90 %v, longest %v; served %v, refused %v", p90, longest, r.served, r.refused)
	must.Less(t, 50*time.Millisecond, p90, must.Sprint("a tick"))
	must.Less(t, 125*time.Millisecond, longest, must.Sprint("half of the shortest election"))
	must.Zero(t, r.refused[ClassWork])
	must.Positive(t, r.refused[ClassSubmit])
	must.False(t, limiter.Reduced())

	unbounded := newReplay(nil).burst()
	must.Greater(t, time.Second, unbounded[len(unbounded)-1], must.Sprint("the load isn't an overload"))
}

// Guards against bounds that delay or refuse calls on a day without overload.
func TestUsualLoadNeverWaits(t *testing.T) {
	r := newReplay(NewLimiter(DefaultBounds()))
	r.until(30 * time.Second)
	must.Eq(t, [classCount]int{}, r.waited)
	must.Eq(t, [classCount]int{}, r.refused)
	must.Greater(t, 3000, r.served[ClassSubmit])
}
