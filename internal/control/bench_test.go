package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/bilberryferry/bilberryferry/dispatch"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// loadedTenure is a tenure with 48 busy workers and 200 queued steps, a fifth of
// them gangs, all permitted on a third of the workers.
func loadedTenure(b *testing.B) *tenure {
	machine := NewMachine()
	l := &fakeLog{machine: machine}
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
	for i := range 200 {
		step := workflow.Step{Count: 6, Need: workflow.Resources{MilliCPU: 18_000, MemoryMB: 20_000}, EstimateMS: 6000, Gang: i%5 == 0}
		apply(&workflow.Command{Submit: &workflow.Submission{
			ID: fmt.Sprint("j", i), Queue: "q", Steps: []workflow.Step{step}, Policy: policy}})
	}
	var runs []workflow.Run
	for i := range 24 {
		for k := range 6 {
			runs = append(runs, workflow.Run{Task: task(fmt.Sprint("j", i*5+1), k), Worker: fmt.Sprint("w", (i*6+k)%48)})
		}
	}
	apply(&workflow.Command{Start: runs})
	t := newTenure(context.Background(), func() {}, c, 7)
	for _, s := range t.sessions {
		s.ready, s.answeredAt = true, time.Now().Add(time.Hour)
	}
	for i := range 200 {
		p := t.permitsOf(workflow.StepKey{Job: fmt.Sprint("j", i)})
		for k := range 48 {
			p.known[fmt.Sprint("w", k)] = dispatch.Permit{Granted: k%3 == i%3, Expires: time.Hour}
		}
	}
	return t
}

// BenchmarkDecide measures one decision at 48 workers and 200 queued steps.
func BenchmarkDecide(b *testing.B) {
	t := loadedTenure(b)
	now := time.Now()
	for b.Loop() {
		v := t.snapshot(now)
		dispatch.Decide(now.Sub(t.started), v.steps, v.workers, dispatch.Limits{
			AskWorkers: askWorkers, GangAskWorkers: gangAskWorkers, TicketMargin: ticketMargin,
		})
	}
}
