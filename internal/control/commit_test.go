package control

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/node"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// What a user sees: an accepted job never runs to its end, or a gang's tasks begin and
// wait in vain for one of them, on a calm day.
// Order: a worker refuses a start; the log is held up for a moment just then and refuses
// the commit of that end, or its outcome stays open; the leader goes on leading.
// Cause: the end was proposed once, and the run counted as alive from then on.
func TestEndKnownOnlyToLeaderIsCommittedAfterRetries(t *testing.T) {
	for name, errs := range map[string][]error{
		"refused once":   {node.ErrNotLeader},
		"refused often":  {node.ErrNotLeader, node.ErrNotLeader, node.ErrNotLeader},
		"the fate open":  {node.ErrFateOpen},
		"one then other": {node.ErrFateOpen, node.ErrNotLeader, node.ErrFateOpen},
	} {
		t.Run(name, func(t *testing.T) {
			w := clusterWithStartedTask(t)
			term, err := w.c.currentLeaderTerm(context.Background())
			must.NoError(t, err)
			term.mu.Lock()
			s := term.sessions["w1"]
			term.mu.Unlock()
			// The worker has nothing of the run, as after a start that it refused.
			w.withWorker("w1", func(f *fakeWorker) { clear(f.running) })
			w.log.failEnds(errs...)
			s.commitEnds(0, []workflow.RunEnd{{Task: task("a", 0), Number: 1, Outcome: workflow.OutcomeNotStarted}})
			w.eventually("the task is begun again", func() bool { return w.started("w1") == 2 })
		})
	}
}

// What a user sees: tasks begin a tenth of a second late now and then.
// Order: the log refuses the commit of a start for a moment; the leader goes on leading.
// Cause: the start was dropped and left to the next decision.
func TestCommandRefusedByLogIsProposedAgain(t *testing.T) {
	w := clusterWithStartedTask(t)
	term, err := w.c.currentLeaderTerm(context.Background())
	must.NoError(t, err)
	w.log.failEnds(node.ErrNotLeader)
	_, err = term.propose(&workflow.Command{Ends: &workflow.RunEnds{Worker: "w1", LastEnd: 1}})
	must.NoError(t, err)
}
