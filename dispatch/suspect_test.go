package dispatch

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a crash suspect that ends the runs placed alongside it when it crashes its
// worker.
func TestCrashSuspectStartsAlone(t *testing.T) {
	pool := workers(4, 16)
	pool[0].Releases = []Release{{}}
	s := step("a", 2, 1)
	s.Suspects = map[int]bool{0: true}
	plan := Decide(0, []Step{s}, pool, Limits{})
	must.SliceLen(t, 2, plan.Starts)
	must.Eq(t, pool[1].ID, plan.Starts[0].Worker)
	must.Eq(t, pool[0].ID, plan.Starts[1].Worker)
}
