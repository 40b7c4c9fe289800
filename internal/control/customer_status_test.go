package control

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/customer"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// customerStatus returns the figures of one customer, and of all.
func (cluster *testCluster) customerStatus(name string) (CustomerStatus, CustomersReply) {
	reply, err := cluster.controller.Customers(context.Background(), &Empty{})
	must.NoError(cluster.t, err)
	i := slices.IndexFunc(reply.Customers, func(c CustomerStatus) bool { return c.Name == name })
	must.NonNegative(cluster.t, i, must.Sprint(name))
	return reply.Customers[i], reply
}

// Guards against figures that leave out or mix up customers or contain their keys, and against repeated calls
// that count twice.
func TestCustomersShowWhatRunsAndWaits(t *testing.T) {
	cluster := newCustomerCluster(t)
	cluster.workers.add("w1")
	cluster.announce("w1")
	wide := oneTask
	wide.Count, wide.EstimateMS = 5, 1000
	must.NoError(t, cluster.submitWith("a1", "/q/x", wide))
	cluster.eventually("as much runs as may", func() bool { return cluster.started("w1") == 2 })
	must.NoError(t, cluster.submitWith("a2", "/q/x", wide))
	must.NoError(t, cluster.submitWith("a2", "/q/y", wide))
	wide.Need.MilliCPU = 2001
	must.Eq(t, fault.Infeasible, fault.KindOf(cluster.submitWith("a1", "/q/z", wide)))
	a, reply := cluster.customerStatus("a")
	must.Eq(t, CustomerStatus{
		Name: "a", Submissions: SubmissionCounts{Admitted: 2, RefusedLimit: 1}, Running: a.Running, Limit: workflow.Resources{MilliCPU: 2000}, Share: 1, Due: a.Due,
		QueuedTasks: 8, QueuedCoreMS: 8 * oneTask.Need.MilliCPU, WaitingJobs: 1, OldestWait: a.OldestWait,
	}, a)
	must.Eq(t, []any{int64(2000), min(2000, reply.Capacity.MilliCPU), true}, []any{a.Running.MilliCPU, a.Due.MilliCPU, a.OldestWait > 0})
	b, _ := cluster.customerStatus("b")
	must.Eq(t, CustomerStatus{Name: "b", Share: b.Share, Due: b.Due}, b)
	must.StrNotContains(t, fmt.Sprintf("%+v", reply), "a1")
	must.StrNotContains(t, fmt.Sprintf("%+v", reply), fmt.Sprint(customer.DigestOf("a1")))
}

// Guards against a changed weight or limit that shows only after the next decision, and against a removed
// customer whose work no figure shows.
func TestCustomersFollowTheConfigurationAtOnce(t *testing.T) {
	cluster := newCustomerCluster(t)
	must.NoError(t, cluster.submitWith("b1", "/q/y", oneTask))
	changed := customer.Customer{Name: "a", Weight: 3, Limit: workflow.Resources{MilliCPU: 7000}}
	cluster.configureCustomers(3, changed, customer.Customer{Name: "b", Weight: 1})
	a, _ := cluster.customerStatus("a")
	must.Eq(t, []any{int64(7000), 3.0, 0.75}, []any{a.Limit.MilliCPU, a.Weight, a.Share})
	cluster.configureCustomers(4, changed)
	b, _ := cluster.customerStatus("b")
	must.Eq(t, []any{true, 1}, []any{b.Removed, b.QueuedTasks})
}

// Guards against refusals that are counted for the wrong reason.
func TestCustomersShowRefusalsByReason(t *testing.T) {
	term := controlledTerm(t)
	term.decide()
	must.Error(t, fill(t, term))
	term.queuedSteps = overfullFactor * maxQueuedSteps
	must.Error(t, term.admit("x", ""))
	counts := term.submissionsOf("")
	must.Positive(t, counts.Admitted)
	must.Eq(t, SubmissionCounts{Admitted: counts.Admitted, RefusedQueue: 1, RefusedCluster: 1}, *counts)
}

// Guards against a new leader that shows counters without their beginning, or forgets what is queued.
func TestCustomersOfANewLeaderCountFromItsTerm(t *testing.T) {
	old := controlledTerm(t)
	old.countRefused("")
	_, err := old.propose(&workflow.Command{Submit: longJob("x")})
	must.NoError(t, err)
	term := newLeaderTerm(old.ctx, old.end, old.c, fakeLogTerm+1)
	reply := term.customerStatuses(term.started.Add(time.Second))
	must.Eq(t, []any{uint64(fakeLogTerm + 1), time.Second, term.started.UnixMilli(), int64(0), 640}, []any{
		reply.Term, reply.CountedFor, reply.CountedSinceMS, reply.Customers[0].Submissions.Offered(), reply.Customers[0].QueuedTasks})
}

// Guards against gauges and counts that grow with each customer that was ever configured, and against
// gauges that a former leader goes on showing.
func TestCustomerGaugesAreBounded(t *testing.T) {
	term, shown, now := controlledTerm(t), gauges{}, time.Now()
	term.c.cfg.Counters = shown
	for i, n := range []int{30, 1} {
		document := &workflow.Document{Version: 1<<41 + uint64(i), Source: []byte("{}")}
		for k := range n {
			document.Customers = append(document.Customers, customer.Customer{Name: fmt.Sprint("c", k), Weight: 1})
			term.countRefused(fmt.Sprint("c", k))
		}
		_, err := term.propose(&workflow.Command{Configuration: document})
		must.NoError(t, err)
		term.reportCustomers(now.Add(time.Duration(i) * customerGaugeInterval))
		must.Eq(t, int64(min(n, maxGaugeCustomers)), shown["customer_submissions_refused_queue"])
		must.MapLen(t, n, term.submissions)
	}
	term.clearCustomerGauges()
	must.Eq(t, 0, shown["customer_submissions_refused_queue"])
}
