package control

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/node"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// Guards against this failure: an accepted job never ends, or the members of a gang wait
// for one that never starts. A worker refuses a start; the log is delayed and refuses the
// commit of the refused run's end, or leaves the outcome of the commit unknown; the
// leader stays the same. The end must be proposed again, or the run counts as alive from
// then on.
func TestEndKnownOnlyToLeaderIsCommittedAfterRetries(t *testing.T) {
	for name, errs := range map[string][]error{
		"refused once":    {node.ErrNotLeader},
		"refused often":   {node.ErrNotLeader, node.ErrNotLeader, node.ErrNotLeader},
		"outcome unknown": {node.ErrOutcomeUnknown},
		"mixed errors":    {node.ErrOutcomeUnknown, node.ErrNotLeader, node.ErrOutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			cluster := clusterWithStartedTask(t)
			term, err := cluster.controller.currentLeaderTerm(context.Background())
			must.NoError(t, err)
			term.mu.Lock()
			s := term.sessions["w1"]
			term.mu.Unlock()
			// The worker reports no run, as after a refused start.
			cluster.withWorker("w1", func(f *fakeWorker) { clear(f.running) })
			cluster.log.failEnds(errs...)
			s.commitEnds(0, []workflow.RunEnd{{Task: task("a", 0), Number: 1, Outcome: workflow.OutcomeNotStarted}})
			cluster.eventually("the task is started again", func() bool { return cluster.started("w1") == 2 })
		})
	}
}

// Guards against this failure: tasks sometimes start a tenth of a second late. The log
// refuses the commit of a command briefly while the leader stays the same, and the
// command is dropped instead of proposed again, so that a start waits for the next
// decision.
func TestCommandRefusedByLogIsProposedAgain(t *testing.T) {
	cluster := clusterWithStartedTask(t)
	term, err := cluster.controller.currentLeaderTerm(context.Background())
	must.NoError(t, err)
	cluster.log.failEnds(node.ErrNotLeader)
	_, err = term.propose(&workflow.Command{Ends: &workflow.RunEnds{Worker: "w1", LastEnd: 1}})
	must.NoError(t, err)
}
