package control

import (
	"context"
	"math"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// Guards against a leader that commits a job which no member can apply, because the instance that passed the
// call on checks less.
func TestLeaderRefusesInvalidJobs(t *testing.T) {
	cluster := newTestCluster(t, func(*testCluster) {})
	for name, step := range map[string]workflow.Step{
		"fewer than no tasks":                     {Count: -1},
		"too many tasks":                          {Count: math.MaxInt},
		"a dependency on a step that isn't there": {Count: 1, DependsOn: []int{3}},
	} {
		_, err := cluster.controller.Submit(context.Background(), &SubmitCall{
			Address: JobAddress{Host: "h", Path: "/q/a", ID: "a"}, Steps: []workflow.Step{step},
		})
		must.Eq(t, fault.Invalid, fault.KindOf(err), must.Sprint(name))
	}
}
