package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/admission"
	"github.com/bilberryferry/bilberryferry/customer"
	"github.com/bilberryferry/bilberryferry/dispatch"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// benchmarkLoad is the number of workers, of queued steps and of runs in progress on the
// cluster of a benchmark. noPermits means that no permit for a queued step has been
// queried yet. customers is the number of customers to whom the steps and runs belong.
type benchmarkLoad struct {
	workers, queued, runs int
	noPermits             bool
	customers             int
}

// ownerOf returns the customer of the i-th job, empty without customers.
func (l *benchmarkLoad) ownerOf(i int) string {
	if l.customers == 0 {
		return ""
	}
	return fmt.Sprint("customer", i%l.customers)
}

// document returns a configuration with the customers of the load, whose limits leave room.
func (l *benchmarkLoad) document() *workflow.Document {
	d := &workflow.Document{Version: 1, Source: []byte("{}")}
	for i := range l.customers {
		d.Customers = append(d.Customers, customer.Customer{Name: l.ownerOf(i), Weight: 1, Limit: workflow.Resources{MilliCPU: 1 << 40, MemoryMB: 1 << 40}})
	}
	return d
}

// loadedTerm returns a leader term with busy workers and queued steps. A fifth of the
// steps are gangs, and each step is permitted on a third of the workers unless
// size.noPermits is set.
func loadedTerm(b testing.TB, size benchmarkLoad) *leaderTerm {
	queued := size.queued
	machine := NewStateMachine()
	l := &fakeLog{state: machine}
	workers := &fakeWorkers{byID: map[string]*fakeWorker{}}
	controller := New(Config{Address: "own", Workers: workers, Adviser: workers, Logger: log.NewNopLogger(), Counters: noCounters{}}, machine, l)
	apply := func(command *workflow.Command) {
		encoded, err := command.Encode()
		if err != nil {
			b.Fatal(err)
		}
		if _, err := l.Propose(context.Background(), encoded); err != nil {
			b.Fatal(err)
		}
	}
	apply(&workflow.Command{Configuration: size.document()})
	for i := range size.workers {
		w := worker(fmt.Sprint("w", i))
		workers.add(w.ID)
		w.Capacity = workflow.Resources{MilliCPU: 64_000, MemoryMB: 256_000}
		apply(&workflow.Command{Worker: &w})
	}
	policy := workflow.Policy{Service: "s", MaxAttempts: 3, Stretch: 2, ObjectiveMS: 1000,
		Advice: &workflow.AdvicePolicy{BaseMS: 10, PerWorkerMS: 1, TicketValidityMS: 2000}}
	for i := range queued {
		step := workflow.Step{Count: 6, Need: workflow.Resources{MilliCPU: 18_000, MemoryMB: 20_000}, EstimateMS: 6000, Gang: i%5 == 0}
		apply(&workflow.Command{Submit: &workflow.Submission{
			ID: fmt.Sprint("j", i), Queue: "q", Steps: []workflow.Step{step}, Policy: policy, Customer: size.ownerOf(i)}})
	}
	var runs []workflow.Run
	const tasksPerRunningStep = 6
	for i := range size.runs / tasksPerRunningStep {
		id := fmt.Sprint("running", i)
		step := workflow.Step{Count: tasksPerRunningStep, Need: workflow.Resources{MilliCPU: 9_000, MemoryMB: 20_000}, EstimateMS: 6000}
		apply(&workflow.Command{Submit: &workflow.Submission{ID: id, Queue: "q", Steps: []workflow.Step{step}, Policy: policy, Customer: size.ownerOf(i)}})
		for k := range tasksPerRunningStep {
			runs = append(runs, workflow.Run{Task: task(id, k), Worker: fmt.Sprint("w", (i*tasksPerRunningStep+k)%size.workers)})
		}
	}
	apply(&workflow.Command{Start: runs})
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	term := newLeaderTerm(ctx, cancel, controller, fakeLogTerm)
	for _, s := range term.sessions {
		s.ready, s.respondedAt = true, time.Now().Add(time.Hour)
	}
	for _, run := range runs {
		term.sessions[run.Worker].orders[run.Task] = &runOrder{run: run, startedAt: time.Now(), listed: true, share: fullShare}
	}
	for i := range queued {
		if size.noPermits {
			break
		}
		p := term.permitsOf(workflow.StepKey{Job: fmt.Sprint("j", i)})
		for k := range size.workers {
			p.known[fmt.Sprint("w", k)] = dispatch.Permit{Granted: k%3 == i%3, Expires: time.Hour}
		}
		p.setKnown(p.known)
	}
	return term
}

// BenchmarkDecide measures the time of one full decision, and its 99th percentile in
// nanoseconds.
func BenchmarkDecide(b *testing.B) {
	for _, size := range []benchmarkLoad{
		{48, 50, 144, false, 0}, {48, 500, 144, false, 0}, {350, 50, 1800, false, 0}, {350, 3000, 1800, false, 0}, {350, 3000, 1800, true, 0},
		{1100, 50, 5500, false, 0}, {1100, 10_000, 5500, true, 0}, {350, 20, 1800, true, 0}, {6000, 20, 3000, true, 0}, {12_000, 20, 6000, true, 0},
		{350, 50, 1800, false, 20}, {350, 50, 1800, false, 100}, {350, 3000, 1800, false, 20}, {350, 3000, 1800, false, 100},
	} {
		b.Run(fmt.Sprintf("%dworkers/%dsteps/unasked=%v/customers=%d", size.workers, size.queued, size.noPermits, size.customers), func(b *testing.B) {
			term := loadedTerm(b, size)
			now := time.Now()
			const significantDigits = 3
			durations := hdrhistogram.New(1, int64(time.Second), significantDigits)
			for b.Loop() {
				start := time.Now()
				input := term.gatherPlanInput(now)
				dispatch.Decide(now.Sub(term.started), input.steps, input.workers, planLimits)
				must.NoError(b, durations.RecordValue(int64(time.Since(start))))
			}
			b.ReportMetric(float64(durations.ValueAtPercentile(99)), "p99-ns")
		})
	}
}

// BenchmarkDecideMixedLoad measures one decision at the usual load of a large deployment:
// each worker has five runs, gangs wait and have responses from the adviser for 60 workers
// each, and some steps are new.
func BenchmarkDecideMixedLoad(b *testing.B) {
	for _, workers := range []int{350, 1100, 6000, 12_000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) { decideMixedLoad(b, workers) })
	}
}

func decideMixedLoad(b *testing.B, workers int) {
	term := loadedTerm(b, benchmarkLoad{workers: workers, queued: 0, runs: 5 * workers})
	policy := workflow.Policy{Service: "s", MaxAttempts: 3, Stretch: 2, ObjectiveMS: 1000, Priority: 1,
		Advice: &workflow.AdvicePolicy{BaseMS: 450, PerWorkerMS: 6, TicketValidityMS: 1500}}
	submit := func(id string, count int, gang bool) {
		step := workflow.Step{Count: count, Need: workflow.Resources{MilliCPU: 18_000, MemoryMB: 20_000}, EstimateMS: 4000, Gang: gang}
		command := &workflow.Command{Submit: &workflow.Submission{ID: id, Queue: "q", Steps: []workflow.Step{step}, Policy: policy}}
		_, err := term.propose(command)
		must.NoError(b, err)
	}
	const gangs, permitsPerGang, newSteps = 30, 60, 8
	for i := range gangs {
		id := fmt.Sprint("gang", i)
		submit(id, 20, true)
		p := term.permitsOf(workflow.StepKey{Job: id})
		for k := range permitsPerGang {
			p.known[fmt.Sprint("w", (i*permitsPerGang+k)%workers)] = dispatch.Permit{Granted: k%4 == 0, Expires: time.Hour}
		}
		p.setKnown(p.known)
	}
	for i := range newSteps {
		submit(fmt.Sprint("new", i), 3, false)
	}
	limits := planLimits
	limits.Queries = 30
	for b.Loop() {
		now := time.Now()
		input := term.gatherPlanInput(now)
		dispatch.Decide(now.Sub(term.started), input.steps, input.workers, limits)
	}
}

// BenchmarkDecideBacklog measures one decision with load control on while gangs have piled up: they wait for
// room on the workers that permit them, among steps of many small tasks and seven runs on each worker.
func BenchmarkDecideBacklog(b *testing.B) {
	const workers, gangs, smallSteps, permitsPerGang, permitsPerStep = 350, 140, 60, 200, 60
	term := loadedTerm(b, benchmarkLoad{workers: workers, queued: 0, runs: 7 * workers, customers: 20})
	term.c.cfg.LoadControl = true
	term.admission, term.admissionCounts = admission.NewEstimator(), newAdmissionCounts()
	submit := func(id string, step workflow.Step, priority, asked, grantedEach int) {
		policy := workflow.Policy{Service: "s", MaxAttempts: 3, Stretch: 2.2, ObjectiveMS: 1000, Priority: priority,
			Advice: &workflow.AdvicePolicy{BaseMS: 455, PerWorkerMS: 6.5, TicketValidityMS: 2000}}
		command := &workflow.Command{Submit: &workflow.Submission{ID: id, Queue: "q", Steps: []workflow.Step{step}, Policy: policy, Customer: "customer0"}}
		_, err := term.propose(command)
		must.NoError(b, err)
		p := term.permitsOf(workflow.StepKey{Job: id})
		for k := range asked {
			p.known[fmt.Sprint("w", (len(id)*37+k)%workers)] = dispatch.Permit{Granted: k%grantedEach == 0, Expires: time.Hour}
		}
		p.setKnown(p.known)
	}
	for i := range gangs {
		submit(fmt.Sprint("gang", i), workflow.Step{Count: 20, Need: workflow.Resources{MilliCPU: 9_500, MemoryMB: 17_000}, EstimateMS: 4000, Gang: true}, 1, permitsPerGang, 3)
	}
	for i := range smallSteps {
		submit(fmt.Sprint("small", i), workflow.Step{Count: 25, Need: workflow.Resources{MilliCPU: 9_000, MemoryMB: 6_400}, EstimateMS: 2200}, 2, permitsPerStep, 2)
	}
	limits := planLimits
	limits.Queries, limits.KeepReasons = 30, true
	for b.Loop() {
		now := time.Now()
		// Two decisions are an eighth of a second apart. Meanwhile runs start or end on half of the workers.
		term.runsCheckedAt = time.Time{}
		for i := range workers / 2 {
			term.sessions[fmt.Sprint("w", i)].runSummary.at = time.Time{}
		}
		input := term.gatherPlanInput(now)
		plan := dispatch.Decide(now.Sub(term.started), input.steps, input.workers, limits)
		term.updateWaiting(&plan, now)
	}
}
