package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/speed"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// measuredPool is a leader term with ten workers whose runs end as the test says.
type measuredPool struct {
	t     *testing.T
	term  *leaderTerm
	state *workflow.State
	now   time.Time
	steps int
}

func newMeasuredPool(t *testing.T) *measuredPool {
	term, _, _ := observedTerm()
	term.sessions = map[string]*workerSession{}
	for i := range 10 {
		id := fmt.Sprint("w", i)
		term.sessions[id] = &workerSession{t: term, worker: worker(id), ready: true, orders: map[workflow.TaskKey]*runOrder{}, endsKnown: map[workflow.TaskKey]int{}}
	}
	return &measuredPool{t: t, term: term, state: workflow.NewState(), now: time.Now()}
}

// finishSteps ends a run of each of n steps on every worker; those on w0 take factor times as long.
// Estimates are off by a factor of up to 20. change may change the order of each run.
func (p *measuredPool) finishSteps(n int, factor float64, change func(s *workerSession, o *runOrder)) {
	for range n {
		p.steps++
		job, index := fmt.Sprint("j", p.steps), 0
		for id, s := range p.term.sessions {
			took := time.Second
			if id == "w0" {
				took = time.Duration(factor * float64(time.Second))
			}
			o := &runOrder{run: workflow.Run{Number: 1}, startedAt: p.now.Add(-took), estimate: time.Duration(1+p.steps%20) * 100 * time.Millisecond}
			if change != nil {
				change(s, o)
			}
			s.orders[task(job, index)] = o
			s.recordHealth(workflow.RunEnd{Task: task(job, index), Number: 1, Outcome: workflow.OutcomeDone}, p.now)
			index++
		}
		p.now = p.now.Add(speedInterval)
		p.term.classifySpeeds(p.state, p.now)
	}
}

// slow returns how many of the workers are slow, and whether w0 is.
func (p *measuredPool) slow() (workers int, first bool) {
	for _, s := range p.term.sessions {
		if s.speedClass() == speed.Slow {
			workers++
		}
	}
	return workers, p.term.sessions["w0"].speedClass() == speed.Slow
}

// Guards against this failure: a slow worker isn't detected, a healthy one counts as slow because of a wrong
// estimate, a very slow one gets several runs at a time, or a worker that is fast again still counts as slow.
func TestSlowWorkerIsDetectedByComparison(t *testing.T) {
	p := newMeasuredPool(t)
	w := p.term.sessions["w0"]
	p.finishSteps(9, 2, nil)
	must.False(t, w.speedClass() == speed.Slow, must.Sprint("nine slow runs may be chance"))
	p.finishSteps(6, 2, nil)
	workers, first := p.slow()
	must.True(t, first)
	must.Eq(t, 1, workers)
	w.respondedAt = p.now
	must.Eq(t, "", w.unschedulableReason(p.now, nil, 1))
	estimate := workflow.Step{EstimateMS: 1000}
	must.Between(t, 1800*time.Millisecond, 2*w.expectedEnd(workflow.Run{}, &estimate, p.now).Sub(p.now), 2200*time.Millisecond)
	p.finishSteps(30, 5, nil)
	w.respondedAt = p.now
	must.Eq(t, reasonSlow, w.unschedulableReason(p.now, nil, 1))
	must.Eq(t, "", w.unschedulableReason(p.now, nil, 0))
	p.finishSteps(25, 1, nil)
	workers, _ = p.slow()
	must.Zero(t, workers)
	must.Eq(t, p.now.Add(500*time.Millisecond), w.expectedEnd(workflow.Run{}, &estimate, p.now))
}

// Guards against speeds learned from durations that say nothing about the worker: the members of a gang end
// together, ends are reported late or again, a run resumes from a checkpoint or gets spare CPU.
func TestRunsThatSayNothingAboutSpeedAreIgnored(t *testing.T) {
	for name, change := range map[string]func(*workerSession, *runOrder){
		"gang": func(_ *workerSession, o *runOrder) { o.gang = true },
		"reported": func(s *workerSession, o *runOrder) {
			s.markKnownEnds([]workflow.RunEnd{{Task: o.run.Task, Number: o.run.Number}})
		},
		"resumed":    func(_ *workerSession, o *runOrder) { o.resumed = true },
		"spare":      func(_ *workerSession, o *runOrder) { o.usesSpareCPU = true },
		"late":       func(s *workerSession, _ *runOrder) { s.endsDelayed = true },
		"impossible": func(_ *workerSession, o *runOrder) { o.startedAt = o.startedAt.Add(-2 * time.Hour) },
		"backwards":  func(_ *workerSession, o *runOrder) { o.startedAt = o.startedAt.Add(time.Hour) },
	} {
		p := newMeasuredPool(t)
		p.finishSteps(30, 4, change)
		workers, _ := p.slow()
		must.Zero(t, workers, must.Sprint(name))
		must.Zero(t, p.term.sessions["w0"].speed.Runs, must.Sprint(name))
	}
}

// Guards against this failure: a new leader puts tight work on slow workers until it has learned their speeds
// again, or a failed commit leaves the log without a slow worker.
func TestNewLeaderKnowsSlowWorkers(t *testing.T) {
	cluster := newTestCluster(t, nil)
	for i := range 10 {
		id := fmt.Sprint("w", i)
		cluster.workers.add(id)
		cluster.announce(id)
	}
	term, err := cluster.controller.currentLeaderTerm(context.Background())
	must.NoError(t, err)
	term.mu.Lock()
	for step := range 20 {
		for i := range 10 {
			took := time.Second
			if i == 0 {
				took = 2 * time.Second
			}
			term.learnerOf("s").Done(workflow.StepKey{Job: fmt.Sprint("j", step)}, fmt.Sprint("w", i), took)
		}
	}
	term.mu.Unlock()
	percent := func() (percent int) {
		cluster.controller.state.read(func(s *workflow.State) { percent = s.Workers["w0"].SpeedPercent })
		return percent
	}
	cluster.eventually("the slow worker is committed", func() bool { return percent() > 0 })
	must.Between(t, 45, percent(), 55)
	successor := newLeaderTerm(context.Background(), func() {}, cluster.controller, fakeLogTerm+1)
	input := successor.gatherPlanInput(time.Now())
	must.SliceEmpty(t, input.workers, must.Sprint("no worker has responded to the successor"))
	for id, s := range successor.sessions {
		must.Eq(t, id == "w0", s.speedClass() == speed.Slow, must.Sprint(id))
	}
	slow, count := successor.explainSpeeds("s")
	must.Eq(t, 1, count)
	must.StrContains(t, slow[0].String(), "0.5")
}
