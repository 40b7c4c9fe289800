package control

import (
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
