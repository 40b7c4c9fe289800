package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// longQuestions is a kind of small jobs whose questions take over a second.
func longQuestions(name string, priority int, permitted float64) *replayKind {
	return &replayKind{
		name: name, priority: priority, steps: 1, width: 1, maxWidth: 1, cores: 4, maxCores: 4, gb: 4, maxGB: 4, work: 2 * time.Second,
		decide: 800 * time.Millisecond, each: 10 * time.Millisecond, valid: 1500 * time.Millisecond, permitted: permitted,
		stretch: 2, objective: time.Hour,
	}
}

// untilAllBegin plays until each job of the kind has begun or a minute has passed, beside
// what comes in, and returns how long the last of them has waited.
func untilAllBegin(r *replay, k *replayKind) time.Duration {
	begun := r.now
	for r.now < begun+time.Minute {
		waits := slices.ContainsFunc(k.all, func(j *replayJob) bool { return j.step == 0 && len(j.pending[0]) == j.specs[0].Count })
		if !waits {
			break
		}
		r.arrive(r.decision)
		r.decide()
		r.advance()
	}
	return r.now - begun
}

// Urgent steps that no worker is permitted for ask about 30 workers after the other, and
// their questions take every lane: others wait behind them on an empty pool, the longer
// the more workers there are.
func TestUrgentStepsThatAreRefusedLeaveOthersQuestions(t *testing.T) {
	for _, pool := range []int{350, 1100, 3000} {
		for _, ahead := range []int{90, 300} {
			t.Run(fmt.Sprintf("%d workers, %d ahead", pool, ahead), func(t *testing.T) {
				t.Parallel()
				refused, others := longQuestions("refused", 0, 0), longQuestions("others", 1, 0.25)
				r := newReplay(1, pool, 44, refused, others)
				for range ahead {
					r.submit(refused)
				}
				r.play(10*time.Second, 0)
				for range 10 {
					r.submit(others)
				}
				must.LessEq(t, mayStandIdle, untilAllBegin(r, others))
			})
		}
	}
}

// A job that is late goes after all others; while urgent ones that are refused keep
// coming it learns of no worker.
func TestALateJobLearnsOfWorkersBesideUrgentOnesThatAreRefused(t *testing.T) {
	refused, late := longQuestions("refused", 0, 0), longQuestions("late", 1, 0.25)
	late.objective, refused.rate = 0, 5
	r := newReplay(1, 1100, 44, refused, late)
	r.play(30*time.Second, 0)
	for range 5 {
		r.submit(late).begin = -time.Minute
	}
	must.LessEq(t, mayStandIdle, untilAllBegin(r, late))
}
