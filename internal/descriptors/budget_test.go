package descriptors

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/bilberryferry/bilberryferry/fault"
)

func TestABudgetLeavesDescriptorsForFiles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(fewest, 1024).Draw(t, "limit")
		for _, divided := range []func(int) (Budget, error){ForCore, ForEdge} {
			b, err := divided(limit)
			must.NoError(t, err)
			must.LessEq(t, limit-forFiles, b.FromInstances+b.FromOutside+b.ToInstances+b.ToOutside)
			must.Positive(t, min(b.FromInstances, b.FromOutside, b.ToInstances, b.ToOutside))
		}
	})
}

func TestTooFewDescriptorsAreRefusedWithTheNumberNeeded(t *testing.T) {
	_, err := ForCore(fewest - 1)
	must.True(t, fault.Is(err, fault.Invalid))
	must.StrContains(t, err.Error(), "at least 512 are needed")
}
