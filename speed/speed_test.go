package speed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// pool replays finished runs of workers whose speeds are known.
type pool struct {
	*Learner
	random *rand.Rand
	speeds []float64
	runs   []int
	steps  int
	// deck holds the workers that have had one run less than others.
	deck []int
}

func newPool(seed uint64, workers int, speed func(i int) float64) *pool {
	p := &pool{Learner: NewLearner(), random: rand.New(rand.NewPCG(seed, 1)), runs: make([]int, workers)}
	for i := range workers {
		p.speeds = append(p.speeds, speed(i))
	}
	return p
}

func id(worker int) string { return fmt.Sprintf("w%03d", worker) }

// mixed is a pool in which a quarter of the workers runs at 0.55, the others at 1.2.
func mixed(i int) float64 {
	if i%4 == 0 {
		return 0.55
	}
	return 1.2
}

const poolSize = 350

// step finishes a step of 3 to 25 tasks on random workers. Task times differ by 0.3, 3 in 100 tasks take
// seven times as long, and steps differ by a factor of hundreds, as estimates that are off would.
func (p *pool) step() {
	p.steps++
	work := math.Exp(p.random.NormFloat64() * 2)
	for range 3 + p.random.IntN(23) {
		w := p.nextWorker()
		task := work * math.Exp(0.3*p.random.NormFloat64())
		if p.random.Float64() < 0.03 {
			task *= 7
		}
		p.runs[w]++
		p.Done(workflow.StepKey{Job: fmt.Sprint("j", p.steps)}, id(w), time.Duration(task/p.speeds[w]*float64(time.Second)))
	}
}

// nextWorker draws a worker so that all have the same number of runs.
func (p *pool) nextWorker() int {
	if len(p.deck) == 0 {
		p.deck = p.random.Perm(len(p.speeds))
	}
	w := p.deck[0]
	p.deck = p.deck[1:]
	return w
}

// play finishes steps until the workers have finished n runs on average; it classifies about once a second.
func (p *pool) play(n int) {
	for total := 0; total < n*len(p.speeds); {
		p.step()
		if p.steps%70 == 0 {
			p.Classify()
		}
		total = 0
		for _, r := range p.runs {
			total += r
		}
	}
	// The runs of the last step are compared a second later.
	p.Classify()
	p.Classify()
}

// figures returns the median relative error of the speeds, the number of workers of the given speed that are
// found to be of its class, and the number of others that aren't found ordinary.
func (p *pool) figures(unit, unusual float64, class Class) (medianError float64, found, wrong int) {
	var errors []float64
	for i, speed := range p.speeds {
		e := p.Estimate(id(i))
		errors = append(errors, math.Abs(e.Relative/(speed/unit)-1))
		switch {
		case speed == unusual && e.Class == class:
			found++
		case speed != unusual && e.Class != Ordinary:
			wrong++
		}
	}
	slices.Sort(errors)
	return medianOf(errors), found, wrong
}

// Guards against speeds that follow wrong estimates or stragglers: slow or fast workers that aren't found,
// others that count as slow or fast.
func TestSpeedsOfMixedWorkersAreLearned(t *testing.T) {
	for _, c := range []struct {
		class           Class
		unusual, others float64
		// foundPercent is the percentage of the unusual workers that must be found after ten runs per worker.
		// missed is how many of a pool may still be missing after 20. Most fast workers need more than ten
		// runs; nine of ten must be found within 10 s of 1,000 ends per second, which are 28 runs per worker.
		foundPercent, missed int
	}{{Slow, 0.55, 1.2, 95, 2}, {Fast, 1.2, 0.55, 0, 8}} {
		const seeds, unusualWorkers, otherWorkers = 30, 88, 262
		found, wrong, meanError := 0, 0, 0.0
		for seed := range uint64(seeds) {
			p := newPool(seed, poolSize, func(i int) float64 {
				if i%4 == 0 {
					return c.unusual
				}
				return c.others
			})
			p.play(10)
			medianError, right, others := p.figures(c.others, c.unusual, c.class)
			found, wrong, meanError = found+right, wrong+others, meanError+medianError/seeds
			p.play(20)
			_, right, others = p.figures(c.others, c.unusual, c.class)
			must.GreaterEq(t, unusualWorkers-c.missed, right)
			must.Zero(t, others)
		}
		t.Logf("10 runs a worker: median error %.3f, %d of %d %s workers found, %d of %d others", meanError, found, seeds*unusualWorkers, c.class, wrong, seeds*otherWorkers)
		must.LessEq(t, 0.1, meanError)
		must.GreaterEq(t, seeds*unusualWorkers*c.foundPercent/100, found)
		must.LessEq(t, seeds*otherWorkers/100, wrong)
	}
}

// Guards against workers that count as slow or fast in a pool in which none is, as 9 to 34 of 350 did. Beside
// 1.0 and 1.25, runs of a worker of 0.8 may look like those of a slow one for some time, if rarely: the bound
// is one worker of 350 at a time, and one in 10,000 on average.
func TestNoWorkerOfAnOrdinaryPoolIsSlowOrFast(t *testing.T) {
	for _, speeds := range [][]float64{{1}, {0.8, 1, 1.25}} {
		most, sum, checks := 0, 0, 0
		for seed := range uint64(20) {
			p := newPool(seed, poolSize, func(i int) float64 { return speeds[i%len(speeds)] })
			for runs := 10; runs <= 100; runs++ {
				p.play(runs)
				_, _, wrong := p.figures(1, 0, Ordinary)
				most, sum, checks = max(most, wrong), sum+wrong, checks+poolSize
			}
		}
		t.Logf("speeds %v: at most %d of 350 slow or fast at a time, %d of %d in all", speeds, most, sum, checks)
		must.LessEq(t, len(speeds)/2, most)
		must.LessEq(t, checks/10_000, sum)
	}
}

// Guards against a worker that keeps its class after its speed has changed.
func TestWorkerThatChangesIsFollowed(t *testing.T) {
	p := newPool(1, poolSize, func(int) float64 { return 1 })
	p.play(30)
	for _, change := range []struct {
		speed float64
		slow  bool
		runs  int
	}{{0.45, true, 25}, {1, false, 20}, {0.12, true, 18}} {
		for i := range 10 {
			p.speeds[i], p.runs[i] = change.speed, 0
		}
		var took []int
		for len(took) < 10 {
			p.step()
			p.Classify()
			took = took[:0]
			for i := range 10 {
				if (p.Estimate(id(i)).Class == Slow) == change.slow {
					took = append(took, p.runs[i])
				}
			}
			must.LessEq(t, change.runs, slices.Max(p.runs[:10]))
		}
		t.Logf("speed %.2f is noticed on the last of 10 workers after at most %d runs", change.speed, slices.Max(p.runs[:10]))
		p.play(slices.Max(p.runs) * 2)
	}
	must.True(t, p.Estimate(id(0)).VerySlow)
}

// Guards against durations that can't be real, such as those after a jump of the clock, and against steps
// whose runs can't be compared with another worker.
func TestImpossibleAndLoneRunsAreIgnored(t *testing.T) {
	l := NewLearner()
	for i := range 100 {
		key := workflow.StepKey{Job: fmt.Sprint(i)}
		for _, d := range []time.Duration{0, -time.Second, maxDuration + 1} {
			l.Done(key, id(0), d)
			l.Done(key, id(1), d)
		}
		l.Done(key, id(0), time.Second)
		l.Done(key, id(0), 5*time.Second)
	}
	must.SliceEmpty(t, l.Classify())
	must.Eq(t, Estimate{Relative: 1}, Estimate{Relative: l.Estimate(id(0)).Relative, Runs: l.Estimate(id(0)).Runs})
}

// Guards against a new leader that forgets slow workers or keeps them slow against what runs show, and
// against a new incarnation that inherits a speed.
func TestRestoredSpeedHoldsUntilRunsShowAnother(t *testing.T) {
	p := newPool(2, poolSize, func(i int) float64 { return mixed(i + 1) })
	p.Restore(id(0), 46)
	p.Restore(id(1), 218)
	p.Restore(id(3), 46)
	p.Forget(id(3))
	must.SliceEmpty(t, p.Classify())
	must.Eq(t, 46, p.Estimate(id(0)).Percent())
	must.Eq(t, 218, p.Estimate(id(1)).Percent())
	must.Zero(t, p.Estimate(id(3)).Percent())
	p.play(30)
	must.Eq(t, Ordinary, p.Estimate(id(0)).Class, must.Sprint("the runs of this leader show an ordinary worker"))
	must.Eq(t, Slow, p.Estimate(id(3)).Class)
}

// Guards against memory that grows with the number of steps, tasks or incarnations, and against estimates
// that are no numbers.
func TestMemoryIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLearner()
		steps, workers := rapid.IntRange(1, 2*maxSteps).Draw(t, "steps"), rapid.IntRange(1, 2*maxWorkers).Draw(t, "workers")
		durations := rapid.SliceOfN(rapid.Int64(), 1, 20).Draw(t, "durations")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		for range 3 * maxSteps {
			worker := id(random.IntN(workers))
			l.Done(workflow.StepKey{Step: random.IntN(steps)}, worker, time.Duration(durations[random.IntN(len(durations))]))
			if random.IntN(100) == 0 {
				l.Forget(worker)
				l.Classify()
			}
		}
		must.LessEq(t, maxSteps, len(l.steps))
		must.Len(t, len(l.steps), l.order)
		must.LessEq(t, maxWorkers, len(l.workers))
		for id, w := range l.workers {
			must.False(t, math.IsNaN(w.mean) || math.IsInf(w.mean, 0), must.Sprint(id))
		}
		for _, s := range l.steps {
			must.LessEq(t, maxRunsPerStep, len(s.runs))
		}
	})
}

// Prints what an end of a run costs; the leader handles 1,000 a second.
func BenchmarkDone(b *testing.B) {
	p := newPool(1, poolSize, mixed)
	p.play(10)
	for i := range b.N {
		p.Done(workflow.StepKey{Job: "j", Step: i / 25}, id(p.random.IntN(poolSize)), time.Second)
		if i%1000 == 0 {
			p.Classify()
		}
	}
}

// Guards against a worker that becomes slow although none of its runs could be compared: the runs of its
// steps on other workers differ too much to tell what the step takes, and the median of the other
// workers moves its speed.
func TestRunsWithoutComparisonDontMakeAWorkerSlow(t *testing.T) {
	l := NewLearner()
	for job := range MinRuns {
		for worker := range 30 {
			duration := time.Second
			if worker >= 18 {
				duration = 2400 * time.Millisecond
			}
			l.Done(workflow.StepKey{Job: fmt.Sprint("even", job)}, id(worker), duration)
		}
		key := workflow.StepKey{Job: fmt.Sprint("uneven", job)}
		l.Done(key, id(100), time.Second)
		l.Done(key, id(101), time.Millisecond)
		l.Done(key, id(102), 1000*time.Second)
	}
	l.Classify()
	must.Eq(t, Ordinary, l.Estimate(id(100)).Class)
}

// endingRun is a run that ends at a time.
type endingRun struct {
	at, duration time.Duration
	step, worker int
}

// Guards against fast workers that count as ordinary because their runs end first and are compared with
// each other. Steps of 3 and of 25 tasks begin at the rates of a busy pool; after 10,000 ends, which are 10 s
// of 1,000 ends a second, nine of ten fast workers must be found.
func TestFastWorkersAreFoundWhileStepsRun(t *testing.T) {
	const ends, tick = 10_000, 10 * time.Millisecond
	random, l := rand.New(rand.NewPCG(1, 2)), NewLearner()
	var running []endingRun
	steps := 0
	begin := func(now time.Duration, tasks int, seconds float64) {
		steps++
		work := seconds * math.Exp(0.5*random.NormFloat64())
		for range tasks {
			worker := random.IntN(poolSize)
			task := work * math.Exp(0.3*random.NormFloat64())
			if random.Float64() < 0.03 {
				task *= 7
			}
			// The leader learns of an end up to 100 ms later.
			duration := time.Duration((task/mixedFast(worker) + 0.1*random.Float64()) * float64(time.Second))
			running = append(running, endingRun{now + duration, duration, steps, worker})
		}
	}
	ended := 0
	for now := time.Duration(0); ended < ends; now += tick {
		running = slices.DeleteFunc(running, func(r endingRun) bool {
			if r.at > now {
				return false
			}
			ended++
			l.Done(workflow.StepKey{Job: fmt.Sprint("j", r.step)}, id(r.worker), r.duration)
			return true
		})
		if random.Float64() < 0.7 {
			begin(now, 3, 0.68)
		}
		if random.Float64() < 0.16 {
			begin(now, 25, 1.9)
		}
		if now%time.Second == 0 {
			l.Classify()
		}
	}
	found, wrong := 0, 0
	for i := range poolSize {
		switch class := l.Estimate(id(i)).Class; {
		case mixedFast(i) > 1 && class == Fast:
			found++
		case mixedFast(i) < 1 && class != Ordinary:
			wrong++
		}
	}
	t.Logf("%d of 88 fast workers found, %d others", found, wrong)
	must.GreaterEq(t, 88*9/10, found)
	must.LessEq(t, (poolSize-88)/100, wrong)
}

// mixedFast is a pool in which a quarter of the workers runs at 1/0.55, the others at 1/1.2.
func mixedFast(i int) float64 {
	if i%4 == 0 {
		return 1 / 0.55
	}
	return 1 / 1.2
}
