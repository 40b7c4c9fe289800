package instance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/admission"
	"github.com/bilberryferry/bilberryferry/internal/overload"
)

// Processor times of a leader with the whole processor, and times that don't depend on it.
const (
	refusalCost = 100 * time.Microsecond
	submitCost  = 400 * time.Microsecond
	// hopCost is the processor time of each of the hopsPerRun steps on the way of a run through the leader.
	hopCost    = 100 * time.Microsecond
	hopsPerRun = 8
	logCost    = 200 * time.Microsecond
	roundTrip  = 15 * time.Millisecond
	// lostLease is the wait of the log for the processor after which the leader may not decide, and
	// lostLeaseTime how long that lasts.
	lostLease     = 200 * time.Millisecond
	lostLeaseTime = 500 * time.Millisecond
	// tryTime is after what time without a response a caller tries again, maxTries how often.
	tryTime  = 900 * time.Millisecond
	maxTries = 4

	burstStart  = 4 * time.Second
	burstEnd    = 8 * time.Second
	burstFactor = 3
	// servedFrom is when full service is expected again.
	servedFrom = burstEnd + 3*time.Second
	replayEnd  = servedFrom + 10*time.Second
)

// jobKind is a kind of job with its rate without a burst.
type jobKind struct {
	priority, tasks int
	perSecond       float64
	// slack is how long after its first submission all tasks of a job must have begun.
	slack time.Duration
	burst bool
}

var jobKinds = []jobKind{
	{priority: 0, tasks: 3, perSecond: 100, slack: 600 * time.Millisecond, burst: true},
	{priority: 1, tasks: 30, perSecond: 13, slack: 3 * time.Second},
}

// replayEvent is something that happens at a time.
type replayEvent struct {
	at   time.Duration
	fire func()
}

type replayEvents []replayEvent

func (e replayEvents) Len() int           { return len(e) }
func (e replayEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e replayEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *replayEvents) Push(x any)        { *e = append(*e, x.(replayEvent)) }
func (e *replayEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// runnableStep is a goroutine that needs cost of processor time and then does next.
type runnableStep struct {
	since time.Duration
	cost  time.Duration
	next  func()
}

// leaderReplay models a leader whose goroutines share one processor of a speed, in the order in which they become
// runnable: submissions, the runs of the jobs, and the log. With protected, its calls pass a limiter and its
// jobs a shedder.
type leaderReplay struct {
	speed     float64
	protected bool
	random    *rand.Rand
	now       time.Duration
	events    replayEvents
	runnable  []runnableStep
	limiter   *overload.Limiter
	shedder   *admission.Shedder
	waiting   map[overload.CallID]func(served bool)
	// waits are those for the processor since the last measurement, decidesFrom is when the leader may decide again.
	waits       []time.Duration
	decidesFrom time.Duration
	jobs        int
	// owed and served count tasks of jobs that were submitted from servedFrom on, by priority.
	owed, served [2]int
}

func newLeaderReplay(speed float64, protected bool) *leaderReplay {
	r := &leaderReplay{
		speed: speed, protected: protected, random: rand.New(rand.NewPCG(1, 2)), limiter: overload.NewLimiter(overload.DefaultBounds()),
		shedder: &admission.Shedder{}, waiting: map[overload.CallID]func(bool){},
	}
	r.shedder.SetPriorities([]int{0, 1})
	for _, kind := range jobKinds {
		r.arrive(kind)
	}
	r.runLog()
	r.measure()
	return r
}

func (r *leaderReplay) after(d time.Duration, fire func()) {
	heap.Push(&r.events, replayEvent{r.now + d, fire})
}

func (r *leaderReplay) run(cost time.Duration, next func()) {
	r.runnable = append(r.runnable, runnableStep{r.now, time.Duration(float64(cost) / r.speed), next})
}

func (r *leaderReplay) time() time.Time { return time.Time{}.Add(r.now) }

func (r *leaderReplay) until(end time.Duration) {
	for r.now < end {
		if len(r.runnable) == 0 {
			r.advance(r.events[0].at)
			continue
		}
		first := r.runnable[0]
		r.runnable = r.runnable[1:]
		r.waits = append(r.waits, r.now-first.since)
		r.advance(r.now + first.cost)
		first.next()
	}
}

func (r *leaderReplay) advance(to time.Duration) {
	for len(r.events) > 0 && r.events[0].at <= to {
		next := heap.Pop(&r.events).(replayEvent)
		r.now = max(r.now, next.at)
		next.fire()
	}
	r.now = to
}

// runLog makes the goroutine of the log runnable every 10 ms. A long wait costs the leader its authority.
func (r *leaderReplay) runLog() {
	since := r.now
	r.run(logCost, func() {
		if r.now-since > lostLease {
			r.decidesFrom = r.now + lostLeaseTime
		}
	})
	r.after(10*time.Millisecond, r.runLog)
}

// measure passes the 90th percentile of the waits of a tick to the limiter and to the shedder.
func (r *leaderReplay) measure() {
	r.after(50*time.Millisecond, func() {
		slices.Sort(r.waits)
		delay := time.Duration(0)
		if n := len(r.waits); n > 0 {
			delay = r.waits[n*9/10]
		}
		r.waits = r.waits[:0]
		for range 5 {
			r.limiter.Observe(r.time(), delay)
		}
		if r.now%admission.ShedInterval < 50*time.Millisecond {
			r.shedder.Observe(delay)
		}
		r.deliver()
		r.measure()
	})
}

// arrive submits jobs of a kind with random intervals.
func (r *leaderReplay) arrive(kind jobKind) {
	rate := kind.perSecond
	if kind.burst && r.now >= burstStart && r.now < burstEnd {
		rate *= burstFactor
	}
	r.after(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), func() {
		r.jobs++
		job := &replayJob{kind: kind, id: fmt.Sprint("job-", r.jobs), submittedAt: r.now}
		if job.counts() {
			r.owed[kind.priority] += kind.tasks
		}
		r.submit(job, 1)
		r.arrive(kind)
	})
}

// replayJob is one job.
type replayJob struct {
	kind        jobKind
	id          string
	submittedAt time.Duration
	answered    bool
	begun       int
}

func (j *replayJob) counts() bool {
	return j.submittedAt >= servedFrom && j.submittedAt < replayEnd-j.kind.slack
}

// submit makes a try. A caller without an answer tries again.
func (r *leaderReplay) submit(job *replayJob, try int) {
	r.after(tryTime, func() {
		if !job.answered && try < maxTries {
			r.submit(job, try+1)
		}
	})
	r.run(refusalCost, func() {
		if !r.protected {
			r.serve(job)
			return
		}
		id, decision := r.limiter.Arrive(r.time(), overload.ClassSubmit, 0)
		outcome := func(served bool) {
			switch {
			case !served:
				job.answered = true
			case !r.shedder.Admits(job.id, job.kind.priority):
				job.answered = true
				r.limiter.Done(r.time(), overload.ClassSubmit)
			default:
				r.serve(job)
			}
		}
		if decision == overload.Wait {
			r.waiting[id] = outcome
		} else {
			outcome(decision == overload.Serve)
		}
		r.deliver()
	})
}

func (r *leaderReplay) deliver() {
	for _, outcome := range r.limiter.TakeOutcomes() {
		r.waiting[outcome.ID](outcome.Served)
		delete(r.waiting, outcome.ID)
	}
}

// serve commits a submission and runs the tasks of the job.
func (r *leaderReplay) serve(job *replayJob) {
	r.run(submitCost, func() {
		r.after(roundTrip, func() {
			r.run(submitCost, func() {
				if r.protected {
					r.limiter.Done(r.time(), overload.ClassSubmit)
					r.deliver()
				}
				if job.answered {
					return
				}
				job.answered = true
				for range job.kind.tasks {
					r.hop(job, 0)
				}
			})
		})
	})
}

// hop makes one step of a run. The first half leads to its begin, the rest to the commit of its end.
func (r *leaderReplay) hop(job *replayJob, n int) {
	if r.now < r.decidesFrom {
		r.after(r.decidesFrom-r.now, func() { r.hop(job, n) })
		return
	}
	r.run(hopCost, func() {
		if n == hopsPerRun/2 {
			r.begin(job)
		}
		if n < hopsPerRun {
			r.after(roundTrip, func() { r.hop(job, n+1) })
		}
	})
}

// begin counts a run that has begun, and the job if it was the last one and in time.
func (r *leaderReplay) begin(job *replayJob) {
	job.begun++
	if job.begun == job.kind.tasks && job.counts() && r.now <= job.submittedAt+job.kind.slack {
		r.served[job.kind.priority] += job.kind.tasks
	}
}

// servedShare replays a leader and returns the share of the owed tasks that were served in time from 3 s after the
// burst on, in total and of the urgent ones.
func servedShare(t *testing.T, speed float64, protected bool) (total, urgent float64) {
	r := newLeaderReplay(speed, protected)
	r.until(replayEnd)
	total = float64(r.served[0]+r.served[1]) / float64(r.owed[0]+r.owed[1])
	urgent = float64(r.served[0]) / float64(r.owed[0])
	t.Logf("speed %.1f, protected %t: served %.3f, urgent %.3f, level %.2f", speed, protected, total, urgent, r.shedder.Level())
	return total, urgent
}

// Guards against a leader that is short of processor after a burst and serves next to nothing instead of less.
func TestShortProcessorServesLessNotNothing(t *testing.T) {
	full, _ := servedShare(t, 1, true)
	must.GreaterEq(t, 0.95, full)
	most, urgent := servedShare(t, 0.8, true)
	must.GreaterEq(t, 0.9*full, most)
	must.GreaterEq(t, most, urgent)
	less, urgent := servedShare(t, 0.6, true)
	must.GreaterEq(t, 2.0/3*full, less)
	must.GreaterEq(t, less, urgent)
	collapsed, _ := servedShare(t, 0.6, false)
	must.Less(t, 0.1, collapsed, must.Sprint("the load isn't an overload"))
}
