package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// lateJob returns the submission of a job of many tasks that is due in a day.
func lateJob(id string) *SubmitCall {
	return &SubmitCall{
		Address: JobAddress{Host: "h", Path: "/q/" + id, ID: id}, Steps: []workflow.Step{{Count: 10_000, Need: workflow.Resources{MilliCPU: 1}}},
		Schedule: workflow.Schedule{FirstAtMS: time.Now().Add(24 * time.Hour).UnixMilli(), Times: 1},
	}
}

// Guards against accepted work that takes the memory of every member at once: jobs that are due later aren't in the
// queue, and were accepted without bound.
func TestJobsThatDontFitMemoryAreRefused(t *testing.T) {
	cluster := newTestCluster(t, func(cluster *testCluster) { cluster.controller.cfg.MemoryBytes = 12 << 20 })
	submit := func(i int) error {
		_, err := cluster.controller.Submit(context.Background(), lateJob(fmt.Sprint("j", i)))
		return err
	}
	accepted := 0
	for ; accepted < 100; accepted++ {
		if err := submit(accepted); err != nil {
			must.Eq(t, fault.Overloaded, fault.KindOf(err))
			must.Positive(t, fault.From(err).RetryAfter)
			break
		}
	}
	must.Between(t, 2, accepted, 8)
	must.NoError(t, submit(0), must.Sprint("an accepted job is never refused"))
	cluster.submit("small", oneTask)
	must.Error(t, submit(accepted), must.Sprint("a refused job doesn't take the memory that is left"))
}

// Guards against a new leader that accepts as much again, and against memory that is never free again.
func TestJobMemoryFollowsTheState(t *testing.T) {
	cluster := newTestCluster(t, func(cluster *testCluster) {
		cluster.controller.cfg.MemoryBytes = 12 << 20
		for i := range 4 {
			cluster.commit(&workflow.Command{Submit: &workflow.Submission{ID: fmt.Sprint("j", i), Queue: "h/q/", Steps: lateJob("").Steps, Schedule: lateJob("").Schedule}})
		}
	})
	_, err := cluster.controller.Submit(context.Background(), lateJob("more"))
	must.Eq(t, fault.Overloaded, fault.KindOf(err))
	for i := range 4 {
		cluster.commit(&workflow.Command{Cancel: fmt.Sprint("j", i)})
		cluster.commit(&workflow.Command{DeleteJobs: []string{fmt.Sprint("j", i)}})
	}
	cluster.currentTerm().expireEndedJobs(time.Now())
	_, err = cluster.controller.Submit(context.Background(), lateJob("more"))
	must.NoError(t, err)
}
