package placement_test

import (
	"fmt"
	"time"

	"github.com/bilberryferry/bilberryferry/placement"
)

// ExampleCluster admits, plans and starts a job. It refuses another one, which
// is too large for every worker, with a reason.
func ExampleCluster() {
	now := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	c := placement.NewCluster(placement.DefaultOptions())
	c.SetWorker(placement.Worker{ID: "w1", Rack: "r1", Live: true, Capacity: placement.Resources{CPU: 8000, Memory: 16384}})

	job := placement.Job{
		ID: "reports", Customer: "inspectors", Name: "report", Policy: placement.Batch, Tasks: 2,
		Need: placement.Resources{CPU: 2000, Memory: 1024}, Runtime: time.Minute,
		Submitted: now, Deadline: now.Add(time.Hour), Idempotent: true,
	}
	unlimited := placement.Resources{CPU: -1, Memory: -1, Accelerators: -1}
	fmt.Println("admitted:", c.Admit(job, now, unlimited).Admitted)
	c.Enqueue(job)
	for _, start := range c.Evaluate(now, 10).Starts {
		fmt.Println("start", start.Job, "on", start.Worker)
	}

	job.Need.CPU = 64_000
	fmt.Println(c.Admit(job, now, unlimited).Detail)
	// Output:
	// admitted: true
	// start reports on w1
	// start reports on w1
	// a task needs 64.0 cores, 1024 MiB, 0 accelerators and no worker has that much
}
