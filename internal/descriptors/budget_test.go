package descriptors

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/bilberryferry/bilberryferry/fault"
)

func TestBudgetLeavesDescriptorsForFiles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(minDescriptors, 1024).Draw(t, "limit")
		for _, budgetFor := range []func(int) (Budget, error){ForCore, ForEdge} {
			b, err := budgetFor(limit)
			must.NoError(t, err)
			must.LessEq(t, limit-reservedForFiles, b.FromInstances+b.FromExternal+b.ToInstances+b.ToExternal)
			must.Positive(t, min(b.FromInstances, b.FromExternal, b.ToInstances, b.ToExternal))
		}
	})
}

func TestTooFewDescriptorsErrorNamesTheMinimum(t *testing.T) {
	_, err := ForCore(minDescriptors - 1)
	must.True(t, fault.Is(err, fault.Invalid))
	must.StrContains(t, err.Error(), "at least 512 are needed")
}
