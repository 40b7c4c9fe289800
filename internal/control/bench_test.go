package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/dispatch"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// loadedTenure is a tenure with 48 busy workers and queued steps, a fifth of them
// gangs, all permitted on a third of the workers.
func loadedTenure(b *testing.B, queued int) *tenure {
	machine := NewStateMachine()
	l := &fakeLog{state: machine}
	workers := &fakeWorkers{all: map[string]*fakeWorker{}}
	c := New(Config{Address: "own", Workers: workers, Adviser: workers, Logger: log.NewNopLogger(), Counters: noCounters{}}, machine, l)
	apply := func(command *workflow.Command) {
		data, err := command.Encode()
		if err != nil {
			b.Fatal(err)
		}
		if _, err := l.Propose(context.Background(), data); err != nil {
			b.Fatal(err)
		}
	}
	for i := range 48 {
		w := worker(fmt.Sprint("w", i))
		w.Capacity = workflow.Resources{MilliCPU: 64_000, MemoryMB: 256_000}
		apply(&workflow.Command{Worker: &w})
	}
	policy := workflow.Policy{Service: "s", MaxAttempts: 3, Stretch: 2, ObjectiveMS: 1000,
		Advice: &workflow.AdvicePolicy{DecideMS: 10, EachMS: 1, ValidMS: 2000}}
	for i := range queued {
		step := workflow.Step{Count: 6, Need: workflow.Resources{MilliCPU: 18_000, MemoryMB: 20_000}, EstimateMS: 6000, Gang: i%5 == 0}
		apply(&workflow.Command{Submit: &workflow.Submission{
			ID: fmt.Sprint("j", i), Queue: "q", Steps: []workflow.Step{step}, Policy: policy}})
	}
	var runs []workflow.Run
	for i := range min(24, queued/5) {
		for k := range 6 {
			runs = append(runs, workflow.Run{Task: task(fmt.Sprint("j", i*5+1), k), Worker: fmt.Sprint("w", (i*6+k)%48)})
		}
	}
	apply(&workflow.Command{Start: runs})
	t := newTenure(context.Background(), func() {}, c, 7)
	for _, s := range t.sessions {
		s.ready, s.answeredAt = true, time.Now().Add(time.Hour)
	}
	for i := range queued {
		p := t.permitsOf(workflow.StepKey{Job: fmt.Sprint("j", i)})
		for k := range 48 {
			p.known[fmt.Sprint("w", k)] = dispatch.Permit{Granted: k%3 == i%3, Expires: time.Hour}
		}
	}
	return t
}

// BenchmarkDecide measures one decision at 48 workers, its 99th percentile too.
func BenchmarkDecide(b *testing.B) {
	for _, queued := range []int{50, 500} {
		b.Run(fmt.Sprint(queued, "steps"), func(b *testing.B) {
			t := loadedTenure(b, queued)
			now := time.Now()
			took := hdrhistogram.New(1, int64(time.Second), 3)
			for b.Loop() {
				begun := time.Now()
				v := t.snapshot(now)
				dispatch.Decide(now.Sub(t.started), v.steps, v.workers, planLimits)
				must.NoError(b, took.RecordValue(int64(time.Since(begun))))
			}
			b.ReportMetric(float64(took.ValueAtPercentile(99)), "p99-ns")
		})
	}
}
