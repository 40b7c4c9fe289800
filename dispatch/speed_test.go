package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/speed"
	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// minWrongEstimateFactor is the smallest ratio of an estimate to the real run time where estimates are
	// off by up to 0.9.
	minWrongEstimateFactor = 0.1
	// slowSpeed and fastSpeed are the speeds of every fourth worker and of the others.
	slowSpeed, fastSpeed = 0.55, 1.2
	// taskSpread is the spread of the task times of a step, and stragglerShare is the share of the tasks that
	// take stragglerFactor times as long.
	taskSpread, stragglerShare, stragglerFactor = 0.3, 0.03, 7
)

// replaySpeeds are the speeds of the workers of a replay, and what the decisions know of them.
type replaySpeeds struct {
	random  *rand.Rand
	learner *speed.Learner
	// told says that decisions know the speeds, ignored that they know nothing.
	told, ignored bool
	classifiedAt  time.Duration
}

func workerSpeed(w int) float64 {
	if w%4 == 0 {
		return slowSpeed
	}
	return fastSpeed
}

// runTime returns how long a run of some work takes on a worker.
func (s *replaySpeeds) runTime(work float64, w int) time.Duration {
	work *= math.Exp(taskSpread * s.random.NormFloat64())
	if s.random.Float64() < stragglerShare {
		work *= stragglerFactor
	}
	return time.Duration(work / workerSpeed(w))
}

// done learns from a run that ended on its own.
func (s *replaySpeeds) done(r *replay, run *replayRun) {
	if s != nil && !run.job.specs[run.task.Step].Gang && run.job.saved[run.task] == 0 {
		s.learner.Done(run.task.StepKey, r.workers[run.worker].ID, run.duration)
	}
}

// classify says which workers are slow, as decisions learn it about once a second.
func (s *replaySpeeds) classify(now time.Duration, workers []Worker) {
	if s == nil || s.ignored {
		return
	}
	if now >= s.classifiedAt+time.Second {
		s.classifiedAt = now
		s.learner.Classify()
	}
	for i := range workers {
		w := &workers[i]
		w.SpeedPercent = s.learner.Estimate(w.ID).Percent()
		if s.told {
			w.SpeedPercent = int(100 * workerSpeed(i) / fastSpeed)
			if workerSpeed(i) == fastSpeed {
				w.SpeedPercent = 0
			}
		}
		w.SpeedClass = speed.ClassOfPercent(w.SpeedPercent)
	}
}

// estimatedObjective is the objective as the leader computes it, from estimates.
func (j *replayJob) estimatedObjective(r *replay) time.Duration {
	if r.speeds == nil {
		return j.objective
	}
	chain := int64(0)
	for _, s := range j.specs {
		chain += s.EstimateMS
	}
	return time.Duration(j.kind.stretch*float64(chain)*1e6) + j.kind.objective
}

// unequalLoad returns the kinds of jobs of a deployment whose workers differ in speed.
func unequalLoad(load float64) []*replayKind {
	ms := time.Millisecond
	kinds := mixedLoad(load)
	sprites, posters, previews := kinds[0], kinds[1], kinds[2]
	sprites.rate, sprites.runTime, sprites.baseLatency, sprites.perWorkerLatency = 4.4*load, 4200*ms, 559*ms, 8060*time.Microsecond
	posters.rate, posters.runTime, posters.baseLatency, posters.perWorkerLatency = 16*load, 1900*ms, 104*ms, 1430*time.Microsecond
	previews.rate, previews.runTime, previews.objective = 103*load, 680*ms, 300*ms
	return kinds
}

// unequalShares plays the load and returns the shares of the jobs of each kind that ended in time. Jobs of
// the first seconds don't count: decisions learn the speeds from them.
func unequalShares(seed uint64, load float64, speeds replaySpeeds) []float64 {
	const learning, tick = 25 * time.Second, 10 * time.Millisecond
	kinds := unequalLoad(load)
	r := newReplay(seed, mixedPoolWorkers, usualConnections, kinds...)
	speeds.random, speeds.learner = rand.New(rand.NewPCG(seed, 8)), speed.NewLearner()
	r.speeds, r.decisionInterval = &speeds, 50*time.Millisecond
	r.playIncremental(learning+12*time.Second, tick)
	for _, k := range kinds {
		k.rate = 0
	}
	r.playIncremental(learning+20*time.Second, tick)
	var shares []float64
	for _, k := range kinds {
		jobs := slices.DeleteFunc(slices.Clone(k.jobs), func(j *replayJob) bool { return j.begin < learning })
		inTime := 0
		for _, j := range jobs {
			if j.earnedShare == 1 {
				inTime++
			}
		}
		shares = append(shares, float64(inTime)/float64(len(jobs)))
	}
	return shares
}

// Guards against short steps that are late because they run on slow workers: 20 to 35 in 100 previews were.
// Prints the shares in time of sprites, posters and previews.
func TestTightWorkIsInTimeOnUnequalWorkers(t *testing.T) {
	const load = 0.8
	for seed := range uint64(2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			before := unequalShares(seed, load, replaySpeeds{ignored: true})
			learned := unequalShares(seed, load, replaySpeeds{})
			told := unequalShares(seed, load, replaySpeeds{told: true})
			t.Logf("in time: before %.3f, learned %.3f, told %.3f", before, learned, told)
			must.GreaterEq(t, told[2]-0.05, learned[2])
			must.Greater(t, before[2], learned[2])
		})
	}
}

// unequalPool returns workers of 16 cores of which the first slow ones are slow, and a step of one-core tasks
// that has its permits for all of them, or none.
func unequalPool(workers, slow, tasks int, permitted bool) ([]Worker, Step) {
	s := Step{Key: workflow.StepKey{Job: "j"}, Service: "s", Spec: &workflow.Step{Count: tasks, EstimateMS: 640, Need: workflow.Resources{MilliCPU: 1000}},
		Due: 1260 * time.Millisecond, Stretch: 1.5, NeedsPermit: true, Permits: map[string]Permit{}, ResponseTime: func(int) time.Duration { return 0 }}
	for i := range tasks {
		s.Pending = append(s.Pending, i)
	}
	pool := make([]Worker, workers)
	for i := range pool {
		free := workflow.Resources{MilliCPU: 16_000}
		pool[i] = Worker{Worker: workflow.Worker{ID: fmt.Sprintf("w%02d", i), Service: "s", Capacity: free}, Free: free}
		if i < slow {
			pool[i].SpeedClass, pool[i].SpeedPercent = speed.Slow, 46
		}
		if permitted {
			s.Permits[pool[i].ID] = Permit{Granted: true, Expires: time.Minute}
		}
	}
	return pool, s
}

// makeOthersFast makes the first slow workers ordinary and the others fast, at the same ratio.
func makeOthersFast(pool []Worker, slow int) {
	for i := range pool {
		if i < slow {
			pool[i].SpeedClass, pool[i].SpeedPercent = speed.Ordinary, 0
		} else {
			pool[i].SpeedClass, pool[i].SpeedPercent = speed.Fast, 218
		}
	}
}

// slowCount counts the slow workers, those below the index slow, among IDs.
func slowCount(ids []string, slow int) (n int) {
	for _, id := range ids {
		if id < fmt.Sprintf("w%02d", slow) {
			n++
		}
	}
	return n
}

// Guards against permits that a tight step can't use because its query names slow workers, and against a
// query that names fast workers without room while slow ones have room.
func TestTightStepQueriesFastWorkersWithRoom(t *testing.T) {
	const slow = 30
	for _, gang := range []bool{false, true} {
		pool, s := unequalPool(70, slow, 3, false)
		s.Spec.Gang = gang
		limits := Limits{WorkersPerQuery: 30, WorkersPerGangQuery: 30, Queries: 1}
		must.Zero(t, slowCount(Decide(0, []Step{s}, pool, limits).Queries[0].Workers, slow), must.Sprint("gang ", gang))
		pool, _ = unequalPool(70, slow, 3, false)
		for i := slow; i < len(pool); i++ {
			pool[i].Free = workflow.Resources{}
		}
		must.Eq(t, slow, slowCount(Decide(0, []Step{s}, pool, limits).Queries[0].Workers, slow), must.Sprint("gang ", gang))
	}
}

// Guards against tight steps that start on slow workers beside fast ones or wait for fast ones, against steps
// with slack that take what is left on fast workers, and against steps that prefer slow ones without need.
func TestStartsPreferWorkersBySpeed(t *testing.T) {
	const slow = 2
	for _, c := range []struct {
		name       string
		change     func(pool []Worker, s *Step)
		slowStarts int
		// onlySlow says that the case doesn't hold where the slower workers are ordinary.
		onlySlow bool
	}{
		{"tight", func([]Worker, *Step) {}, 0, false},
		{"tight by the rest of its time", func(_ []Worker, s *Step) { s.Stretch, s.Due = 4, time.Second }, 0, true},
		{"tight by the rest of its time, on ordinary workers too", func(_ []Worker, s *Step) { s.Stretch, s.Due = 4, 600*time.Millisecond }, 0, false},
		{"tight though a short estimate seems to leave time", func(_ []Worker, s *Step) { s.Spec.EstimateMS = 64 }, 0, false},
		{"tight gang", func(_ []Worker, s *Step) { s.Spec.Gang = true }, 0, false},
		{"tight, no room elsewhere", func(pool []Worker, _ *Step) { pool[2].Free, pool[3].Free = workflow.Resources{}, workflow.Resources{} }, 8, false},
		{"tight, the fast ones fail", func(pool []Worker, _ *Step) { pool[2].Penalty, pool[3].Penalty = 1, 1 }, 8, false},
		{"late", func(pool []Worker, s *Step) { s.Lateness, pool[2].Free.MilliCPU, pool[3].Free.MilliCPU = 1, 3000, 3000 }, 8, false},
		{"slack, little room elsewhere", func(pool []Worker, s *Step) {
			s.Stretch, s.Due, pool[2].Free.MilliCPU, pool[3].Free.MilliCPU = 4, time.Minute, 3000, 3000
		}, 8, false},
		{"copy", func(_ []Worker, s *Step) { s.Copy, s.Stretch, s.Due = true, 4, time.Minute }, 0, false},
		{"slack, much room elsewhere", func(pool []Worker, s *Step) { s.Stretch, s.Due, pool[3].Free.MilliCPU = 4, time.Minute, 12_000 }, 0, false},
	} {
		for _, fastPool := range []bool{false, true} {
			pool, s := unequalPool(4, slow, 8, true)
			if fastPool && c.onlySlow {
				continue
			}
			if fastPool {
				makeOthersFast(pool, slow)
			}
			c.change(pool, &s)
			var ids []string
			for _, start := range Decide(0, []Step{s}, pool, Limits{WorkersPerQuery: 30}).Starts {
				ids = append(ids, start.Worker)
			}
			must.Len(t, 8, ids, must.Sprint(c.name))
			must.Eq(t, c.slowStarts, slowCount(ids, slow), must.Sprint(c.name, ", fast workers: ", fastPool))
		}
	}
}

// Guards against tight steps of a whole pool that prefer a few workers found fast by chance, and against
// steps with slack that then take what is left on ordinary workers instead of slow ones.
func TestFewFastWorkersDontCount(t *testing.T) {
	const slow = 10
	pool, s := unequalPool(40, slow, 3, true)
	pool[slow].SpeedClass, pool[slow].SpeedPercent = speed.Fast, 160
	s.Stretch, s.Due = 4, time.Minute
	for i := slow + 1; i < len(pool); i++ {
		pool[i].Free.MilliCPU = 3000
	}
	var ids []string
	for _, start := range Decide(0, []Step{s}, pool, Limits{WorkersPerQuery: 30}).Starts {
		ids = append(ids, start.Worker)
	}
	must.Eq(t, 3, slowCount(ids, slow))
}
