package control

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/workflow"
)

// Guards against a log line for an end in each report that lists it while it can't be committed.
func TestUncommittedEndIsSeenFirstOnce(t *testing.T) {
	s := &workerSession{uncommittedEnds: map[workflow.TaskKey]workflow.RunEnd{}}
	first := workflow.RunEnd{Task: task("j", 0), Number: 1, Outcome: workflow.OutcomeFailed}
	next := workflow.RunEnd{Task: task("j", 0), Number: 2, Outcome: workflow.OutcomeDone}
	must.Eq(t, []workflow.RunEnd{first}, s.recordUncommittedEnds([]workflow.RunEnd{first}))
	must.SliceEmpty(t, s.recordUncommittedEnds([]workflow.RunEnd{first}))
	must.Eq(t, []workflow.RunEnd{next}, s.recordUncommittedEnds([]workflow.RunEnd{first, next}[1:]))
}
