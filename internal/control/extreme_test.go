package control

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/admission"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// extremeSubmission draws a job that Check accepts, with values at the ends of their ranges.
func extremeSubmission(random *rand.Rand, id string) *workflow.Submission {
	amount := func() int64 {
		return []int64{0, 0, 1, 1000, 1000, 1 << 40, math.MaxInt64}[random.IntN(7)]
	}
	submission := &workflow.Submission{
		ID: id, Queue: "q", Schedule: workflow.Schedule{Times: random.IntN(2) * 2, EveryMS: amount(), FirstAtMS: amount()},
		Policy: workflow.Policy{
			Service: "s", Priority: []int{math.MinInt, 0, math.MaxInt}[random.IntN(3)], MaxAttempts: random.IntN(3),
			Stretch: []float64{0, 1, 1e308}[random.IntN(3)], ObjectiveMS: amount(),
		},
	}
	if random.IntN(3) == 0 {
		submission.Policy.Advice = &workflow.AdvicePolicy{BaseMS: []float64{0, 1e308}[random.IntN(2)], PerWorkerMS: []float64{0, 1e308}[random.IntN(2)], TicketValidityMS: amount()}
	}
	for i := range 1 + random.IntN(3) {
		step := workflow.Step{
			Count: 1 + random.IntN(3), Need: workflow.Resources{MilliCPU: amount(), MemoryMB: amount(), Accelerators: amount() % 2}, EstimateMS: amount(),
			Gang: random.IntN(3) == 0, Speculative: random.IntN(3) == 0, LongRunning: random.IntN(4) == 0, Checkpointing: random.IntN(2) == 0,
			UsesSpareCPU: random.IntN(4) == 0, MaxPerWorker: random.IntN(2), MaxUnavailable: random.IntN(2), LatencyObjectiveMS: amount(),
		}
		if i > 0 && random.IntN(2) == 0 {
			step.DependsOn = []int{i - 1}
		}
		submission.Steps = append(submission.Steps, step)
	}
	return submission
}

// Guards against a leader that ends, hangs or overcommits a worker for jobs at the ends of what is accepted: each
// leader that takes over would do the same.
func TestDecisionsOnExtremeJobs(t *testing.T) {
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 1))
		term := loadedTerm(t, benchmarkLoad{workers: 1 + random.IntN(3)})
		term.admission, term.admissionCounts = admission.NewEstimator(), newAdmissionCounts()
		for i := range 8 {
			submission := extremeSubmission(random, fmt.Sprint("x", i))
			must.NoError(t, workflow.Check(submission.Payload, submission.Steps, submission.Schedule))
			if _, err := term.admitSubmission(submission, time.Now()); err != nil && random.IntN(2) == 0 {
				continue
			}
			_, err := term.propose(&workflow.Command{Submit: submission})
			must.NoError(t, err)
			term.mu.Lock()
			term.markJobChanged(submission.ID)
			term.mu.Unlock()
			term.decide()
			term.decideIncrementally(time.Now())
		}
		term.c.state.read(func(s *workflow.State) {
			for id, w := range s.Workers {
				used, _ := s.Used(id)
				must.True(t, used.Fits(w.Capacity), must.Sprintf("seed %d: %+v of %+v is used on %s", seed, used, w.Capacity, id))
			}
		})
	}
}

// Guards against a job that counts as late or worthless at once because its objective is beyond what a duration can hold.
func TestHugeObjectiveIsNeverMissed(t *testing.T) {
	for _, policy := range []workflow.Policy{{Stretch: 1e308}, {Stretch: 1e18}, {ObjectiveMS: math.MaxInt64}, {Stretch: 1e308, ObjectiveMS: math.MaxInt64}} {
		for _, estimate := range []int64{1, 1000, math.MaxInt64} {
			steps := []workflow.Step{{Count: 1, EstimateMS: estimate}, {Count: 1, EstimateMS: estimate, DependsOn: []int{0}}}
			objective := objectiveFor(&policy, criticalPathMS(steps))
			must.Greater(t, 24*time.Hour, objective, must.Sprintf("%+v, %d ms", policy, estimate))
			must.Greater(t, 24*time.Hour, admission.WorthlessAfterObjectives*objective, must.Sprintf("%+v, %d ms", policy, estimate))
		}
	}
	must.Positive(t, queryDuration(&workflow.AdvicePolicy{BaseMS: 1e308, PerWorkerMS: 1e308}, 100))
}
