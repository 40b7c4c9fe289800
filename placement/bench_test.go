package placement

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/shoenig/test/must"
)

// benchCluster is a full cluster of 450 workers with 10,000 queued tasks.
type benchCluster struct {
	cluster *Cluster
	rand    *rand.Rand
	now     time.Time
	running []Placed
	jobs    int
}

const (
	benchWorkers     = 450
	benchQueuedTasks = 10_000
	benchCustomers   = 100
	// benchWorkersPerRack is the number of workers in each rack.
	benchWorkersPerRack = 8
	// benchAccelerators is the total number of accelerators. The first workers have
	// benchAcceleratorsPerWorker each.
	benchAccelerators          = 970
	benchAcceleratorsPerWorker = 4
	// benchMaxDecisions is the maximum number of decisions in one evaluation.
	benchMaxDecisions = 64
	// benchJobsPerGang is the number of jobs of which one is a gang.
	benchJobsPerGang = 50
	// benchRoundInterval is the simulated time between two evaluations.
	benchRoundInterval = 50 * time.Millisecond
	// benchHistogramDigits is the number of significant digits of the measured
	// durations.
	benchHistogramDigits = 3
)

// newBenchCluster returns a benchCluster whose workers and queue are full.
func newBenchCluster(b testing.TB) *benchCluster {
	o := DefaultOptions()
	o.MaxQueue = 0
	g := &benchCluster{cluster: NewCluster(o), rand: rand.New(rand.NewPCG(1, 2)), now: start}
	for i := range benchWorkers {
		w := Worker{ID: fmt.Sprintf("w%03d", i), Rack: fmt.Sprintf("r%02d", i/benchWorkersPerRack), Capacity: cores(32), Live: true}
		w.Capacity.Memory *= 4
		w.Capacity.Accelerators = int64(min(benchAcceleratorsPerWorker, max(0, benchAccelerators-benchAcceleratorsPerWorker*i)))
		g.cluster.SetWorker(w)
	}
	for g.cluster.Queued() < benchQueuedTasks {
		g.enqueueJob()
		g.evaluateAndPlace(b, benchMaxDecisions)
	}
	return g
}

// enqueueJob queues a job with one task; every fiftieth job is a gang of eight.
func (g *benchCluster) enqueueJob() Job {
	g.jobs++
	kind := g.rand.IntN(8)
	need := cores(int64(1 + kind))
	need.Memory *= int64(1 + kind%4)
	if kind == 3 {
		need.Accelerators = 1
	}
	j := Job{
		ID: fmt.Sprintf("j%07d", g.jobs), Customer: fmt.Sprintf("c%02d", g.rand.IntN(benchCustomers)), Name: fmt.Sprint(kind),
		Policy: Batch, Tasks: 1, Need: need, Runtime: time.Duration(1+g.rand.IntN(600)) * time.Second,
		Submitted: g.now, Deadline: g.now.Add(12*time.Hour + time.Duration(g.rand.IntN(36000))*time.Second), Idempotent: true,
	}
	if g.jobs%benchJobsPerGang == 0 {
		j.Policy, j.Tasks = Gang, 8
	}
	g.cluster.Enqueue(j)
	return j
}

// evaluateAndPlace runs one evaluation, places the planned tasks and returns their
// number.
func (g *benchCluster) evaluateAndPlace(b testing.TB, max int) int {
	plan := g.cluster.Evaluate(g.now, max)
	for _, s := range plan.Starts {
		e := g.cluster.queue.entries[s.Job]
		p := Placed{Job: s.Job, Task: e.job.Tasks, Worker: s.Worker, Customer: e.job.Customer, Name: e.job.Name, Policy: e.job.Policy,
			Need: s.Need, Idempotent: true, Started: g.now, Runtime: e.job.Runtime, Deadline: e.job.Deadline}
		must.NoError(b, g.cluster.Place(p))
		g.running = append(g.running, p)
		j := e.job
		j.Tasks--
		g.cluster.Enqueue(j)
	}
	return len(plan.Starts)
}

// unplaceRandom ends a random running task.
func (g *benchCluster) unplaceRandom() {
	i := g.rand.IntN(len(g.running))
	p := g.running[i]
	g.running[i] = g.running[len(g.running)-1]
	g.running = g.running[:len(g.running)-1]
	g.cluster.Unplace(p.Job, p.Task)
}

// BenchmarkEvaluate measures rounds in which some tasks end, new jobs fill the
// queue up to 10,000 tasks, and one evaluation is computed and its starts are
// placed. It reports the starts per second of whole rounds, the 99th percentile of
// the time to evaluate and place, and the number of running tasks.
//
// With several ends per evaluation, as under group commit, the fixed cost of an
// evaluation is shared.
func BenchmarkEvaluate(b *testing.B) {
	for _, ends := range []int{1, 8} {
		b.Run(fmt.Sprintf("ends=%d", ends), func(b *testing.B) { benchmarkEvaluate(b, ends) })
	}
}

// benchmarkEvaluate runs BenchmarkEvaluate with the given number of task ends per
// evaluation.
func benchmarkEvaluate(b *testing.B, ends int) {
	g := newBenchCluster(b)
	durations := hdrhistogram.New(1, int64(time.Second), benchHistogramDigits)
	starts := 0
	b.ResetTimer()
	for b.Loop() {
		g.now = g.now.Add(benchRoundInterval)
		for range ends {
			g.unplaceRandom()
		}
		for g.cluster.Queued() < benchQueuedTasks {
			g.enqueueJob()
		}
		begin := time.Now()
		n := g.evaluateAndPlace(b, benchMaxDecisions)
		_ = durations.RecordValue(int64(time.Since(begin)))
		starts += n
	}
	b.ReportMetric(float64(starts)/b.Elapsed().Seconds(), "starts/s")
	b.ReportMetric(float64(durations.ValueAtQuantile(99))/1000, "p99-µs")
	b.ReportMetric(float64(len(g.running)), "running")
}

// BenchmarkAdmit measures the admission check of one job with 10,000 queued
// tasks.
func BenchmarkAdmit(b *testing.B) {
	g := newBenchCluster(b)
	durations := hdrhistogram.New(1, int64(time.Second), benchHistogramDigits)
	j := g.enqueueJob()
	b.ResetTimer()
	for b.Loop() {
		j.Deadline = g.now.Add(time.Duration(1+g.rand.IntN(20)) * time.Hour)
		begin := time.Now()
		g.cluster.Admit(j, g.now, unlimited)
		_ = durations.RecordValue(int64(time.Since(begin)))
	}
	b.ReportMetric(float64(durations.ValueAtQuantile(99))/1000, "p99-µs")
}

// BenchmarkDequeueAll measures the removal of all jobs of a queue of 10,000
// tasks with one call.
func BenchmarkDequeueAll(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		g := newBenchCluster(b)
		b.StartTimer()
		g.cluster.DequeueAll(func(Job) bool { return true })
	}
}

// BenchmarkMemory reports the heap size of queued jobs and placed tasks.
func BenchmarkMemory(b *testing.B) {
	heapBytes := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for b.Loop() {
		before := heapBytes()
		g := newBenchCluster(b)
		full := heapBytes()
		queued := len(g.cluster.queue.entries)
		g.cluster.DequeueAll(func(Job) bool { return true })
		placed := heapBytes()
		b.ReportMetric((full-before)/1e6, "MB")
		b.ReportMetric((full-placed)/float64(queued), "B/queued-job")
		b.ReportMetric((placed-before)/float64(len(g.running)), "B/placed-task")
		runtime.KeepAlive(g)
	}
}
