package maintenance

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a wave that ends the leader, and each leader after it: the bound of machines is so high that sums with
// it overflow.
func TestHugeBoundOfMachinesIsHandled(t *testing.T) {
	machines := []Machine{idle("a"), idle("b"), idle("c"), idle("d"), cordoned(idle("e"), time.Second)}
	for _, remaining := range []time.Duration{-time.Second, 0, 1, time.Second, math.MaxInt64} {
		plan := Decide(Wave{Remaining: remaining, MachineDowntime: 2 * time.Second, MaxDown: math.MaxInt}, machines)
		must.Eq(t, []string{"e"}, plan.TakeDown, must.Sprint(remaining))
	}
}

// Guards against a wave that takes down one machine at a time although it is nearly late: the number of machines that
// must be down at the same time is too high for an integer.
func TestNearlyLateWaveTakesAllMachinesDown(t *testing.T) {
	machines := []Machine{idle("a"), idle("b"), idle("c")}
	plan := Decide(Wave{Remaining: 1, MachineDowntime: math.MaxInt64 / 2, MaxDown: math.MaxInt}, machines)
	must.Len(t, 3, plan.Cordon)
}
