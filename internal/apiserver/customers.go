package apiserver

import (
	"context"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/internal/control"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// GetCustomers returns the figures of all customers.
func (s *server) GetCustomers(ctx context.Context, _ *apiv1.CustomersRequest) (*apiv1.CustomersStatus, error) {
	reply, err := s.operations.Customers(ctx)
	status := &apiv1.CustomersStatus{
		Term: reply.Term, CountedSinceUnixMs: reply.CountedSinceMS, CountedForMs: reply.CountedFor.Milliseconds(), Capacity: resourcesToAPI(reply.Capacity),
	}
	for i := range reply.Customers {
		status.Customers = append(status.Customers, customerToAPI(&reply.Customers[i]))
	}
	return status, s.toAPIError("customers", "", "", err)
}

func customerToAPI(c *control.CustomerStatus) *apiv1.CustomerStatus {
	return &apiv1.CustomerStatus{
		Name: c.Name, Removed: c.Removed, Offered: c.Submissions.Offered(), Admitted: c.Submissions.Admitted,
		RefusedQueue: c.Submissions.RefusedQueue, RefusedLimit: c.Submissions.RefusedLimit, RefusedCluster: c.Submissions.RefusedCluster,
		Running: resourcesToAPI(c.Running), Limit: limitToAPI(c.Limit), Weight: c.Weight, Share: c.Share, Due: resourcesToAPI(c.Due),
		QueuedTasks: int32(c.QueuedTasks), QueuedCoreMs: c.QueuedCoreMS, WaitingJobs: int32(c.WaitingJobs), OldestWaitMs: c.OldestWait.Milliseconds(),
	}
}

func resourcesToAPI(r workflow.Resources) *apiv1.Resources {
	return &apiv1.Resources{CpuMilli: r.MilliCPU, MemoryMib: r.MemoryMB, Accelerators: r.Accelerators}
}

// limitToAPI translates a limit. The API shows no limit as -1, because 0 is an amount there.
func limitToAPI(limit workflow.Resources) *apiv1.Resources {
	orUnlimited := func(n int64) int64 {
		if n == 0 {
			return -1
		}
		return n
	}
	return &apiv1.Resources{
		CpuMilli: orUnlimited(limit.MilliCPU), MemoryMib: orUnlimited(limit.MemoryMB), Accelerators: orUnlimited(limit.Accelerators),
	}
}
