package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// countAdmitted returns how many of 1000 jobs of a priority are admitted.
func countAdmitted(s *Shedder, priority int) (admitted int) {
	for i := range 1000 {
		if s.Admits(fmt.Sprint("job-", i), priority) {
			admitted++
		}
	}
	return admitted
}

func observe(s *Shedder, delay, duration time.Duration) {
	for at := time.Duration(0); at < duration; at += ShedInterval {
		s.Observe(delay)
	}
}

func newTestShedder() *Shedder {
	s := &Shedder{}
	s.SetPriorities([]int{0, 2, 1, 2})
	return s
}

// Guards against a leader short of processor that admits all jobs and makes the urgent ones late, or that refuses the
// urgent ones first.
func TestLessUrgentJobsAreShedFirst(t *testing.T) {
	s := newTestShedder()
	must.Eq(t, 1000, countAdmitted(s, 2))
	for s.Level() < 1 {
		s.Observe(2 * sheddingDelay)
	}
	must.Between(t, 400, countAdmitted(s, 2), 500)
	must.Between(t, 950, countAdmitted(s, 1), 1000)
	must.Eq(t, 1000, countAdmitted(s, 0))
	observe(s, time.Second, 10*time.Second)
	must.Between(t, 400, countAdmitted(s, 2), 500)
	must.Between(t, 500, countAdmitted(s, 1), 600)
	must.Between(t, 600, countAdmitted(s, 0), 700)
}

// Guards against refusals that go on for long after the load has gone.
func TestSheddingEndsWithinThreeSecondsOfTheLoad(t *testing.T) {
	s := newTestShedder()
	observe(s, time.Second, 10*time.Second)
	observe(s, time.Millisecond, 3*time.Second)
	must.Eq(t, 0, s.Level())
	must.Eq(t, 1000, countAdmitted(s, 2))
}

// Guards against a refused job that is admitted at its retry, which adds calls and sheds nothing.
func TestRetriesOfShedJobsAreShed(t *testing.T) {
	s := newTestShedder()
	observe(s, 2*sheddingDelay, 2*time.Second)
	for i := range 100 {
		job := fmt.Sprint("job-", i)
		first := s.Admits(job, 2)
		s.Observe((sheddingDelay + calmDelay) / 2)
		must.Eq(t, first, s.Admits(job, 2))
	}
	must.GreaterEq(t, 2*time.Second, s.RetryAfter())
}

// Guards against jobs of a priority that no queue has, as after a change of the configuration, that are refused.
func TestJobsOfUnknownPriorityAreAdmitted(t *testing.T) {
	s := newTestShedder()
	observe(s, time.Second, 10*time.Second)
	must.Eq(t, 1000, countAdmitted(s, 9))
}

// Guards against jobs that are refused for a stall that is over when they arrive.
func TestOneStallShedsLittle(t *testing.T) {
	s := newTestShedder()
	s.Observe(time.Minute)
	observe(s, 0, time.Second)
	must.Eq(t, 0, s.Level())
}
