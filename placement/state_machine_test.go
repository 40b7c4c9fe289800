package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// stateMachine is a rapid state machine that calls methods of a cluster in random
// order. After each call it compares the totals that the cluster updates
// incrementally with a recount.
type stateMachine struct {
	cluster  *Cluster
	now      time.Time
	nextTask map[string]int
}

// drawResources draws resources with up to max cores and max GiB.
func (m *stateMachine) drawResources(t *rapid.T, max int64) Resources {
	return Resources{
		CPU:          1000 * rapid.Int64Range(1, max).Draw(t, "cpu"),
		Memory:       1024 * rapid.Int64Range(0, max).Draw(t, "memory"),
		Accelerators: rapid.SampledFrom([]int64{0, 0, 0, 1, 2}).Draw(t, "accelerators"),
	}
}

// workerID draws the ID of a worker.
func workerID(t *rapid.T) string { return fmt.Sprintf("w%d", rapid.IntRange(0, 5).Draw(t, "worker")) }

// jobID draws the ID of a job.
func jobID(t *rapid.T) string { return fmt.Sprintf("j%d", rapid.IntRange(0, 9).Draw(t, "job")) }

// SetWorker adds a random worker or changes one.
func (m *stateMachine) SetWorker(t *rapid.T) {
	id := workerID(t)
	capacity := m.drawResources(t, 8)
	// A worker must not shrink below what its tasks use.
	if w, found := m.cluster.workers[id]; found {
		capacity = capacity.atLeast(w.used)
	}
	m.cluster.SetWorker(Worker{
		ID: id, Rack: rapid.SampledFrom([]string{"r0", "r1"}).Draw(t, "rack"), Capacity: capacity,
		Live: rapid.IntRange(0, 4).Draw(t, "live") > 0, Draining: rapid.IntRange(0, 5).Draw(t, "draining") == 0,
	})
}

// RemoveWorker removes a worker, which may not exist.
func (m *stateMachine) RemoveWorker(t *rapid.T) { m.cluster.RemoveWorker(workerID(t)) }

// Enqueue queues a random job if admission accepts it, and sometimes even if
// admission refuses it.
func (m *stateMachine) Enqueue(t *rapid.T) {
	runtime := time.Duration(rapid.IntRange(1, 600).Draw(t, "seconds")) * time.Second
	j := Job{
		ID: jobID(t), Customer: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"), Name: "n",
		Policy: Policy(rapid.IntRange(1, 3).Draw(t, "policy")), Tasks: rapid.IntRange(0, 5).Draw(t, "tasks"),
		Need: m.drawResources(t, 8), Runtime: runtime, Submitted: m.now, Deadline: m.now.Add(runtime + time.Duration(rapid.IntRange(0, 3000).Draw(t, "slack"))*time.Second),
		Urgent: rapid.IntRange(0, 3).Draw(t, "urgent") == 0, Idempotent: rapid.Bool().Draw(t, "idempotent"),
	}
	if rapid.IntRange(0, 3).Draw(t, "held") == 0 {
		j.NotBefore = m.now.Add(time.Minute)
	}
	if m.cluster.Admit(j, m.now, unlimited).Admitted || rapid.Bool().Draw(t, "anyway") {
		m.cluster.Enqueue(j)
	}
}

// Dequeue removes a job from the queue.
func (m *stateMachine) Dequeue(t *rapid.T) { m.cluster.Dequeue(jobID(t)) }

// Unplace ends the first placed task of a job.
func (m *stateMachine) Unplace(t *rapid.T) {
	id := jobID(t)
	for n := 1; n <= m.nextTask[id]; n++ {
		if m.cluster.Placed(id, n).Job == id {
			m.cluster.Unplace(id, n)
			return
		}
	}
}

// Place places a random task on a worker. On an announced worker the cluster must
// accept the task if the task fits there, and only then.
func (m *stateMachine) Place(t *rapid.T) {
	id := jobID(t)
	m.nextTask[id]++
	w := workerID(t)
	need := m.drawResources(t, 4)
	record, found := m.cluster.workers[w]
	fits := found && record.announced && need.within(record.free)
	err := m.cluster.Place(Placed{Job: id, Task: m.nextTask[id], Worker: w, Customer: "a", Name: "n", Policy: Batch, Need: need, Started: m.now, Runtime: time.Minute,
		Idempotent: rapid.Bool().Draw(t, "idempotent")})
	if found && record.announced {
		must.EqOp(t, fits, err == nil)
	}
}

// Report reports the success or failure of a job on a worker.
func (m *stateMachine) Report(t *rapid.T) {
	if rapid.IntRange(0, 2).Draw(t, "success") == 0 {
		m.cluster.ReportSuccess(workerID(t), jobID(t), m.now)
		return
	}
	m.cluster.ReportFailure(workerID(t), jobID(t), m.now)
}

// MeasureTask adds the sample of a random finished task.
func (m *stateMachine) MeasureTask(t *rapid.T) {
	need := m.drawResources(t, 4)
	m.cluster.AddSample(Sample{Customer: "a", Name: "n", DeclaredRuntime: time.Minute, MeasuredRuntime: time.Duration(rapid.IntRange(1, 600).Draw(t, "measured")) * time.Second,
		Need: need, Peak: need.times(rapid.Int64Range(0, 2).Draw(t, "peak"))})
}

// SetLimit sets a random CPU limit, or none, for one customer.
func (m *stateMachine) SetLimit(t *rapid.T) {
	m.cluster.SetLimit("b", Resources{CPU: rapid.Int64Range(-1, 8000).Draw(t, "limit"), Memory: -1, Accelerators: -1})
}

// PassTime advances the time by up to 400 s.
func (m *stateMachine) PassTime(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "pass")) * time.Second)
}

// Evaluate plans with a random number of decisions, checks the plan against the
// cluster and commits or drops the plan.
func (m *stateMachine) Evaluate(t *rapid.T) {
	before := m.recount()
	plan := m.cluster.Evaluate(m.now, rapid.IntRange(1, 30).Draw(t, "max"))
	must.Eq(t, before, m.recount())
	allocated := map[string]Resources{}
	starts := map[string]int{}
	for _, s := range plan.Starts {
		allocated[s.Worker] = allocated[s.Worker].plus(s.Need)
		starts[s.Job]++
		w := m.cluster.workers[s.Worker]
		must.True(t, w.announced && w.Live && !w.Draining)
		must.True(t, !w.health.quarantined || !w.health.probing)
	}
	for id, need := range allocated {
		must.True(t, need.within(m.cluster.workers[id].free), must.Sprintf("plan overloads worker %s", id))
	}
	for id, n := range starts {
		j := m.cluster.queue.entries[id].job
		must.True(t, n <= j.Tasks && (j.Policy != Gang || n == j.Tasks), must.Sprintf("%d of %d tasks of %s", n, j.Tasks, id))
		must.False(t, j.NotBefore.After(m.now))
	}
	for _, p := range plan.Preemptions {
		must.True(t, m.cluster.placed[taskKey{job: p.Job, task: p.Task}].preemptible())
	}
	if rapid.Bool().Draw(t, "commit") {
		m.commit(t, plan)
	}
}

// commit applies the plan as the owner of the committed state does.
func (m *stateMachine) commit(t *rapid.T, plan Plan) {
	for _, s := range plan.Starts {
		j := m.cluster.queue.entries[s.Job].job
		m.nextTask[j.ID]++
		must.NoError(t, m.cluster.Place(Placed{Job: j.ID, Task: m.nextTask[j.ID], Worker: s.Worker, Customer: j.Customer, Name: j.Name, Policy: j.Policy,
			Need: s.Need, Urgent: j.Urgent, Idempotent: j.Idempotent, Started: m.now, Runtime: j.Runtime, Deadline: j.Deadline}))
		j.Tasks--
		m.cluster.Enqueue(j)
	}
	for _, p := range plan.Preemptions {
		m.cluster.MarkStopping(p.Job, p.Task)
	}
	for _, r := range plan.Refusals {
		m.cluster.Dequeue(r.Job)
	}
}

// recountedState is the totals of a cluster, recounted from its workers, placed
// tasks and entries.
type recountedState struct {
	Capacity, Unbounded, Running, ServiceNeed Resources
	Used, Stopping, Preemptible               map[string]Resources
	Customers                                 map[string]Resources
	Entries                                   map[string]int
	Queued, Indexed, ExpectedEnds             int
}

// recount computes the totals from the workers, placed tasks and entries.
func (m *stateMachine) recount() recountedState {
	a := recountedState{Used: map[string]Resources{}, Stopping: map[string]Resources{}, Preemptible: map[string]Resources{}, Customers: map[string]Resources{}, Entries: map[string]int{}}
	for id, w := range m.cluster.workers {
		a.Used[id], a.Stopping[id], a.Preemptible[id] = Resources{}, Resources{}, Resources{}
		if w.schedulable() {
			a.Capacity = a.Capacity.plus(w.Capacity)
			a.Indexed++
		}
	}
	for _, p := range m.cluster.placed {
		a.Used[p.Worker] = a.Used[p.Worker].plus(p.Need)
		a.Customers[p.Customer] = a.Customers[p.Customer].plus(p.Need)
		schedulable := m.cluster.workers[p.Worker].schedulable()
		switch {
		case p.unbounded && schedulable:
			a.Unbounded = a.Unbounded.plus(p.Need)
		case !p.unbounded && schedulable:
			a.Running = a.Running.plus(p.Need)
		}
		if !p.unbounded {
			a.ExpectedEnds++
		}
		if p.stopping {
			a.Stopping[p.Worker] = a.Stopping[p.Worker].plus(p.Need)
		}
		if p.preemptible() {
			a.Preemptible[p.Worker] = a.Preemptible[p.Worker].plus(p.Need)
		}
	}
	for _, e := range m.cluster.queue.entries {
		a.Queued += e.job.Tasks
		a.Entries[e.job.Customer]++
		if e.job.Policy == Service {
			a.ServiceNeed = a.ServiceNeed.plus(e.need.times(int64(e.job.Tasks)))
		}
	}
	return a
}

// Check compares the recount with the totals of the cluster.
func (m *stateMachine) Check(t *rapid.T) {
	a := m.recount()
	must.EqOp(t, a.Capacity, m.cluster.capacity)
	must.EqOp(t, a.Unbounded, m.cluster.unboundedUsage)
	must.EqOp(t, a.Running, m.cluster.running.need)
	must.EqOp(t, a.ServiceNeed, m.cluster.queue.serviceNeed)
	must.EqOp(t, a.Queued, m.cluster.queue.tasks)
	must.EqOp(t, a.Indexed, m.cluster.free.withoutAccelerators.Len()+m.cluster.free.withAccelerators.Len())
	must.EqOp(t, a.ExpectedEnds, m.cluster.byExpectedEnd.Len())
	for id, w := range m.cluster.workers {
		must.EqOp(t, a.Used[id], w.used)
		must.EqOp(t, a.Stopping[id], w.stopping)
		must.EqOp(t, a.Preemptible[id], w.preemptible)
		must.EqOp(t, w.Capacity.minus(w.used), w.free)
		must.EqOp(t, w.schedulable(), w.indexed)
	}
	for name, c := range m.cluster.queue.customers {
		must.EqOp(t, a.Customers[name], c.used)
		must.EqOp(t, a.Entries[name], c.entries)
	}
	for id, r := range m.cluster.jobs {
		must.True(t, r.running > 0 || m.cluster.queue.entries[id] != nil, must.Sprintf("record of idle job %s was not dropped", id))
	}
	if len(m.cluster.queue.entries) == 0 {
		must.SliceEmpty(t, m.cluster.queue.shapeList)
		must.EqOp(t, 0, m.cluster.demand.buckets.Len())
	}
	for _, s := range m.cluster.queue.shapeList {
		m.checkBlocked(t, s)
	}
}

// checkBlocked fails if a shape is marked as blocked although its tasks fit on the
// workers: evaluations would never again try the entries of this shape.
func (m *stateMachine) checkBlocked(t *rapid.T, s *shapeState) {
	if !s.blocked {
		return
	}
	// countLimit is more than the tasks of any gang.
	const countLimit = 100
	slots := 0
	for _, w := range m.cluster.workers {
		if w.schedulable() {
			slots += w.free.fitCount(s.shape.need, countLimit)
		}
	}
	must.True(t, slots < max(1, s.shape.gang), must.Sprintf("shape %v is blocked although %d tasks fit", s.shape, slots))
}

// After any sequence of calls the totals of a cluster must match its workers, tasks
// and queue, no plan may overload a worker, and no shape that fits may stay
// blocked.
func TestClusterTotalsMatchWorkersTasksAndQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &stateMachine{cluster: NewCluster(DefaultOptions()), now: start, nextTask: map[string]int{}}
		t.Repeat(rapid.StateMachineActions(m))
	})
}
