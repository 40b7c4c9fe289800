package control

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/dispatch"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// Guards against a new leader that treats a worthless backlog as new work: jobs that were
// accepted under an earlier leader go after new ones once they are late.
func TestNewLeaderKnowsAgesOfJobs(t *testing.T) {
	const age = time.Minute
	cluster := newTestCluster(t, func(cluster *testCluster) {
		cluster.commit(submission("a-old"))
		cluster.controller.state.accepted["a-old"] = time.Now().Add(-age)
	})
	cluster.commit(submission("new"))
	term, err := cluster.controller.currentLeaderTerm(t.Context())
	must.NoError(t, err)
	steps := map[string]*dispatch.Step{}
	input := term.gatherPlanInput(time.Now())
	for i := range input.steps {
		steps[input.steps[i].Key.Job] = &input.steps[i]
	}
	must.Eq(t, latenessWorthless, steps["a-old"].Lateness)
	must.Eq(t, 0, steps["new"].Lateness)
	must.True(t, dispatch.Before(steps["new"], steps["a-old"]))
	must.Between(t, age-time.Second, steps["new"].Due-steps["a-old"].Due, age+time.Second)
}

// Guards against ages that a repeated submission or a snapshot resets, and against records
// that outlive their jobs.
func TestAgesOfJobsFollowTheState(t *testing.T) {
	apply := func(m *StateMachine, index uint64, c *workflow.Command) {
		encoded, err := c.Encode()
		must.NoError(t, err)
		m.Apply(index, encoded)
	}
	leader, behind := NewStateMachine(), NewStateMachine()
	before := time.Now().Add(-time.Hour)
	apply(leader, 1, submission("a"))
	apply(behind, 1, submission("a"))
	leader.accepted["a"], behind.accepted["a"] = before, before
	apply(leader, 2, submission("a"))
	must.Eq(t, before, leader.acceptedAt("a"))
	apply(leader, 3, submission("b"))
	snapshot, err := leader.Snapshot()
	must.NoError(t, err)
	must.NoError(t, behind.Restore(snapshot))
	must.Eq(t, before, behind.acceptedAt("a"))
	must.Less(t, time.Minute, time.Since(behind.acceptedAt("b")))
	apply(behind, 4, &workflow.Command{Cancel: "a"})
	apply(behind, 5, &workflow.Command{DeleteJobs: []string{"a", "b"}})
	must.MapLen(t, 1, behind.accepted, must.Sprint("b hasn't ended and isn't deleted"))
	apply(behind, 6, submission("a"))
	snapshot, err = behind.Snapshot()
	must.NoError(t, err)
	must.NoError(t, leader.Restore(snapshot))
	must.Less(t, time.Minute, time.Since(leader.acceptedAt("a")), must.Sprint("another job of the same ID"))
}

// fakeInstances implements the calls to the instances through which queries are sent; the
// instance "down" doesn't respond.
type fakeInstances struct {
	adviser Adviser
	mu      sync.Mutex
	calls   map[string]int
	// proceed, if set, holds back all responses until it is closed.
	proceed chan struct{}
}

func (f *fakeInstances) Call(ctx context.Context, address, _ string, request, reply any) (err error) {
	f.mu.Lock()
	f.calls[address]++
	proceed := f.proceed
	f.mu.Unlock()
	if proceed != nil {
		<-proceed
	}
	if address == "down" {
		return errNoResponse
	}
	*reply.(*AdviserReply), err = f.adviser.Query(ctx, *request.(*AdviserQuery))
	return err
}

// count returns how many queries were sent through an instance.
func (f *fakeInstances) count(address string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[address]
}

// newLoadControlledCluster returns a cluster with load control on, whose log holds the
// addresses of known instances.
func newLoadControlledCluster(t *testing.T, known ...string) (*testCluster, *fakeInstances, *leaderTerm) {
	instances := &fakeInstances{calls: map[string]int{}}
	cluster := newTestCluster(t, func(cluster *testCluster) {
		instances.adviser = cluster.workers
		cluster.controller.cfg.LoadControl, cluster.controller.cfg.Client = true, instances
		for _, address := range known {
			cluster.commit(&workflow.Command{Instance: &workflow.InstanceChange{Announced: address}})
		}
	})
	term, err := cluster.controller.currentLeaderTerm(t.Context())
	must.NoError(t, err)
	return cluster, instances, term
}

// Guards against a new leader that queries the adviser only through its own connection until
// the instances announce themselves, and against one that keeps sending queries through a
// known instance that is down.
func TestNewLeaderQueriesThroughKnownInstances(t *testing.T) {
	cluster, instances, term := newLoadControlledCluster(t, "down", "up")
	must.Eq(t, 3, term.adviserConns.available(term.started.Add(time.Millisecond)).reachable)
	cluster.workers.add("w1")
	cluster.announce("w1")
	cluster.eventually("the worker is ready", func() bool { return len(term.gatherPlanInput(time.Now()).workers) == 1 })
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		c := submission(id)
		c.Submit.Policy.Advice = &workflow.AdvicePolicy{BaseMS: 100, TicketValidityMS: 2000}
		cluster.commit(c)
	}
	cluster.eventually("all jobs start", func() bool { return cluster.started("w1") == 6 })
	must.Positive(t, instances.count("up"))
	must.Positive(t, instances.count("down"))
	must.LessEq(t, maxInFlightPerConn*int(1+time.Since(term.started)/adviserConnBackoff), instances.count("down"))
	must.Eq(t, 1, term.adviserConns.available(term.started.Add(knownInstanceGrace)).reachable, must.Sprint("none has announced itself"))
}

// Guards against a planned long query that finds no connection, because an interactive query
// of the same plan has taken the only one that was left for it.
func TestEachPlannedQueryFindsAConnection(t *testing.T) {
	cluster, instances, term := newLoadControlledCluster(t, "i1", "i2", "i3")
	for id, base := range map[string]float64{"interactive": 10, "long": 500} {
		c := submission(id)
		c.Submit.Policy.Advice = &workflow.AdvicePolicy{BaseMS: base, TicketValidityMS: 2000}
		cluster.commit(c)
	}
	pool, now := term.adviserConns, time.Now()
	pool.mu.Lock()
	pool.conns["i1"].inFlight, pool.conns["i1"].busyUntil = maxInFlightPerConn-1, now.Add(time.Second)
	pool.conns["i3"].inFlight = maxInFlightPerConn - 1
	pool.conns["i2"].inFlight, pool.conns["own"].inFlight = maxInFlightPerConn, maxInFlightPerConn
	pool.mu.Unlock()
	must.Eq(t, freeConns{total: 2, nonInteractive: 1, long: 1, reachable: 4, reservedInteractive: 1}, pool.available(now))
	// A response before the second query is sent would free the connection of the first.
	proceed := make(chan struct{})
	defer close(proceed)
	instances.mu.Lock()
	instances.proceed = proceed
	instances.mu.Unlock()
	query := func(job string) dispatch.Query {
		return dispatch.Query{Step: workflow.StepKey{Job: job}, Workers: []string{"w1"}}
	}
	term.sendQueries([]dispatch.Query{query("interactive"), query("long")})
	cluster.eventually("both queries are sent", func() bool { return instances.count("i1") == 1 && instances.count("i3") == 1 })
}

// Guards against announcements that wait for the log or commit an address more than once,
// and against a log that keeps the addresses of instances that are gone.
func TestAnnouncedInstancesAreCommittedOnce(t *testing.T) {
	cluster, _, term := newLoadControlledCluster(t, "gone")
	var commits []workflow.InstanceChange
	var mu sync.Mutex
	proceed := make(chan struct{})
	cluster.log.mu.Lock()
	cluster.log.beforeApply = func(c workflow.Command) {
		if c.Instance != nil {
			<-proceed
			mu.Lock()
			commits = append(commits, *c.Instance)
			mu.Unlock()
		}
	}
	cluster.log.mu.Unlock()
	known := func() (addresses []string) {
		cluster.controller.state.read(func(s *workflow.State) { addresses = slices.Clone(s.Instances) })
		return addresses
	}
	announce := func() {
		_, err := cluster.controller.AnnounceInstance(t.Context(), &AnnounceInstanceCall{Address: "new"})
		must.NoError(t, err)
	}
	announce()
	announce()
	close(proceed)
	cluster.eventually("the address is committed", func() bool { return slices.Equal(known(), []string{"gone", "new"}) })
	announce()
	term.adviserConns.recordAnnouncement("new", term.started.Add(instanceRetention))
	term.removeGoneInstances(term.started.Add(instanceRetention + time.Second))
	must.Eq(t, []string{"new"}, known())
	term.removeGoneInstances(term.started.Add(instanceRetention + time.Second))
	mu.Lock()
	defer mu.Unlock()
	must.Eq(t, []workflow.InstanceChange{{Announced: "new"}, {Gone: []string{"gone"}}}, commits)
}

// Guards against commits of addresses where load control is off.
func TestInstancesAreNotCommittedWithoutLoadControl(t *testing.T) {
	cluster := newTestCluster(t, nil)
	_, err := cluster.controller.AnnounceInstance(t.Context(), &AnnounceInstanceCall{Address: "new"})
	must.NoError(t, err)
	time.Sleep(noStartWait)
	cluster.controller.state.read(func(s *workflow.State) { must.SliceEmpty(t, s.Instances) })
}

// Guards against this failure: a task starts again after it was done. A start of an earlier leader is carried out
// late, by an incarnation that began after the change of leader; the new leader doesn't know which starts of the
// earlier one may still be on their way, and gives each incarnation its own fencing token before anything else.
func TestLateStartOfEarlierLeaderIsRefusedByEachLaterIncarnation(t *testing.T) {
	cluster := newTestCluster(t, func(cluster *testCluster) {
		cluster.workers.add("n1")
		cluster.commit(&workflow.Command{Worker: &incarnation("n1", 1).Worker})
	})
	late := StartOrder{Run: workflow.Run{Task: task("a", 0), Number: 1, Worker: "n1"}, Fence: staleFence}
	ids := []string{"n1", "n2", "n3"}
	for i, id := range ids {
		if i > 0 {
			cluster.restart(ids[i-1], id)
			cluster.announceIncarnation(id, int64(i+1))
		}
		cluster.eventually("the incarnation is ready", func() bool { return cluster.isReady(id) })
		cluster.withWorker(id, func(f *fakeWorker) {
			must.Eq(t, fakeLogTerm, f.polls[0].Fence)
			must.EqError(t, f.startRun(late), (&RefusedError{RefusedStaleFence}).Error())
		})
	}
}
