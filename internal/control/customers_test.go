package control

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/customer"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// configureCustomers puts a version with a closed queue, an open one and these customers in force.
func (cluster *testCluster) configureCustomers(version uint64, customers ...customer.Customer) {
	policy := workflow.Policy{Service: "s", MaxAttempts: 3, Stretch: 2, ObjectiveMS: 100}
	cluster.commit(&workflow.Command{Configuration: &workflow.Document{
		Version: version, Source: []byte("{}"), KeysRequired: true, Customers: customers,
		Queues: []workflow.Queue{{Name: "q", Host: "h", Prefix: "/q/", Policy: policy}, {Name: "o", Host: "h", Prefix: "/o/", Policy: policy, Open: true}},
	}})
}

// holder returns a customer with keys and a CPU limit in thousandths of a core; 0 for none.
func holder(name string, milliCPU int64, keys ...string) customer.Customer {
	c := customer.Customer{Name: name, Limit: workflow.Resources{MilliCPU: milliCPU}}
	for _, key := range keys {
		c.Keys = append(c.Keys, customer.DigestOf(key))
	}
	return c
}

// addressOf returns the address of a path whose queue ends with a slash.
func addressOf(path string) JobAddress {
	return JobAddress{Host: "h", Path: path, ID: path[strings.LastIndexByte(path, '/')+1:]}
}

// submitWith submits a job of one step with a key.
func (cluster *testCluster) submitWith(key, path string, step workflow.Step) error {
	_, err := cluster.controller.Submit(context.Background(), &SubmitCall{
		Address: addressOf(path), Payload: "payload", Steps: []workflow.Step{step}, Principal: principalWith(key),
	})
	return err
}

// queryWith requests the state of a job or a queue.
func (cluster *testCluster) queryWith(principal Principal, path string) error {
	_, err := cluster.controller.State(context.Background(), &StateCall{Address: addressOf(path), Principal: principal})
	return err
}

func newCustomerCluster(t *testing.T) *testCluster {
	cluster := newTestCluster(t, nil)
	cluster.configureCustomers(2, holder("a", 2000, "a1", "a2"), holder("b", 0, "b1"))
	return cluster
}

// Guards against a call that is served with a key that no version holds, or without one.
func TestClosedQueueRequiresAKnownKey(t *testing.T) {
	cluster := newCustomerCluster(t)
	for _, key := range []string{"", "unknown"} {
		must.Eq(t, fault.Denied, fault.KindOf(cluster.submitWith(key, "/q/x", oneTask)))
		must.Eq(t, fault.Denied, fault.KindOf(cluster.queryWith(principalWith(key), "/q/x")))
		must.Eq(t, fault.Denied, fault.KindOf(cluster.queryWith(principalWith(key), "/q/")))
		must.NoError(t, cluster.submitWith(key, "/o/open"+key, oneTask))
	}
	must.NoError(t, cluster.submitWith("a1", "/q/x", oneTask))
	must.NoError(t, cluster.queryWith(principalWith("a2"), "/q/x"))
	must.Eq(t, fault.NotFound, fault.KindOf(cluster.queryWith(principalWith("unknown"), "/nowhere/x")))
}

// Guards against a customer that sees, cancels or takes over the job of another: the responses are
// those for an unknown job.
func TestJobOfAnotherCustomerIsUnknown(t *testing.T) {
	cluster := newCustomerCluster(t)
	must.NoError(t, cluster.submitWith("a1", "/q/x", oneTask))
	foreign, unknown := cluster.queryWith(principalWith("b1"), "/q/x"), cluster.queryWith(principalWith("b1"), "/q/y")
	must.Eq(t, fault.Cancelled, fault.KindOf(foreign))
	must.Eq(t, fmt.Sprint(unknown), fmt.Sprint(foreign)[:len(fmt.Sprint(foreign))-1]+"y")
	_, err := cluster.controller.Cancel(context.Background(), &CancelCall{Address: JobAddress{Host: "h", Path: "/q/x", ID: "x"}, Principal: principalWith("b1")})
	must.Eq(t, fault.Cancelled, fault.KindOf(err))
	must.Eq(t, fault.Conflict, fault.KindOf(cluster.submitWith("b1", "/q/x", oneTask)))
	must.StrNotContains(t, fmt.Sprint(cluster.submitWith("b1", "/q/x", oneTask)), "customer")
	reply, err := cluster.controller.Ended(context.Background(), &EndedCall{Address: JobAddress{Host: "h", Path: "/q/x", ID: "x"}, Principal: principalWith("b1")})
	must.NoError(t, err)
	must.False(t, reply.Known)
	must.NoError(t, cluster.queryWith(Principal{Operator: true}, "/q/x"))
	must.Eq(t, workflow.PhasePending, cluster.phaseOf("a", "x"))
}

// phaseOf returns the phase of a job as a customer sees it.
func (cluster *testCluster) phaseOf(name, id string) workflow.Phase {
	phase, _ := cluster.controller.phase(&target{queue: workflow.Queue{Host: "h", Prefix: "/q/"}, id: id, customer: name})
	return phase
}

// Guards against accepted work that ends with a key: calls with a revoked key are refused, the job of
// the customer goes on and its other keys reach it.
func TestRevokedKeyEndsCallsNotWork(t *testing.T) {
	cluster := newCustomerCluster(t)
	cluster.workers.add("w1")
	cluster.announce("w1")
	must.NoError(t, cluster.submitWith("a1", "/q/x", oneTask))
	cluster.eventually("the task starts", func() bool { return cluster.started("w1") == 1 })
	cluster.configureCustomers(3, holder("a", 2000, "a2"), holder("b", 0, "b1", "a1"))
	must.Eq(t, fault.Cancelled, fault.KindOf(cluster.queryWith(principalWith("a1"), "/q/x")), must.Sprint("the key belongs to another customer"))
	must.NoError(t, cluster.queryWith(principalWith("a2"), "/q/x"))
	cluster.configureCustomers(4, holder("a", 2000), holder("b", 0, "b1"))
	must.Eq(t, fault.Denied, fault.KindOf(cluster.queryWith(principalWith("a1"), "/q/x")))
	cluster.withWorker("w1", func(f *fakeWorker) { f.finish(task("x", 0), workflow.OutcomeDone) })
	cluster.eventually("the job is done", func() bool { return cluster.phaseOf("a", "x") == workflow.PhaseDone })
}

// Guards against a customer that runs more than its limit, and against a step that doesn't start when
// room below the limit comes free.
func TestCustomerRunsUpToItsLimit(t *testing.T) {
	cluster := newCustomerCluster(t)
	cluster.workers.add("w1")
	cluster.announce("w1")
	wide := oneTask
	wide.Count = 5
	must.NoError(t, cluster.submitWith("a1", "/q/x", wide))
	must.NoError(t, cluster.submitWith("b1", "/q/y", wide))
	cluster.eventually("both run as much as they may", func() bool { return cluster.started("w1") == 7 })
	cluster.eventually("the reason is told", func() bool {
		reply, err := cluster.controller.Explain(context.Background(), &ExplainCall{Address: JobAddress{Host: "h", Path: "/q/x", ID: "x"}, Principal: principalWith("a1")})
		return err == nil && len(reply.Waiting) == 1 && reply.Waiting[0].Reason == "its customer is at its limit"
	})
	cluster.withWorker("w1", func(f *fakeWorker) { f.finish(task("x", 0), workflow.OutcomeDone) })
	cluster.eventually("the next task starts", func() bool { return cluster.started("w1") == 8 })
	cluster.configureCustomers(3, holder("a", 4000, "a1"), holder("b", 0, "b1"))
	cluster.eventually("the raised limit is used", func() bool { return cluster.started("w1") == 10 })
}

// Guards against a job that is accepted and never ends, because its customer's limit holds no task of
// it or not the whole gang.
func TestJobBeyondLimitIsRefusedAtOnce(t *testing.T) {
	cluster := newCustomerCluster(t)
	large := oneTask
	large.Need.MilliCPU = 2001
	gang := oneTask
	gang.Count, gang.Gang = 3, true
	for _, step := range []workflow.Step{large, gang} {
		err := cluster.submitWith("a1", "/q/x", step)
		must.Eq(t, fault.Infeasible, fault.KindOf(err))
		must.StrContains(t, fmt.Sprint(err), "limit")
		must.NoError(t, cluster.submitWith("b1", fmt.Sprint("/q/b", step.Count), step))
	}
	gang.Count = 2
	must.NoError(t, cluster.submitWith("a1", "/q/x", gang))
	cluster.configureCustomers(3, holder("a", 1000, "a1"))
	must.NoError(t, cluster.submitWith("a1", "/q/x", gang), must.Sprint("an accepted job is never refused"))
}
