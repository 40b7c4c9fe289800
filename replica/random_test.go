package replica

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// randomFaultGroups are the groups that TestGroupSurvivesRandomFaults simulates, by the
// name of the subtest. "changes" stands for membership changes.
var randomFaultGroups = map[string]simOptions{
	"1 disk":                        {voters: 1, disks: 1},
	"2 voters, 1 disk":              {voters: 2, disks: 1},
	"2 voters, no disk":             {voters: 2},
	"3 voters, 1 disk":              {voters: 3, disks: 1},
	"3 voters, no disk":             {voters: 3},
	"3 voters, all disks":           {voters: 3, disks: 3},
	"3 voters, power loss":          {voters: 3, disks: 1, powerLoss: true},
	"3 voters, 1 disk, witness":     {voters: 3, disks: 1, witness: true},
	"4 voters, 2 disks":             {voters: 4, disks: 2},
	"5 voters, 2 disks":             {voters: 5, disks: 2},
	"5 voters, no disk":             {voters: 5},
	"5 voters, power loss":          {voters: 5, disks: 2, powerLoss: true},
	"3 voters, changes":             {voters: 3, disks: 1, spares: 2, membershipChanges: true},
	"3 voters, changes, no disk":    {voters: 3, spares: 2, membershipChanges: true},
	"3 voters, changes, power loss": {voters: 3, disks: 1, spares: 2, membershipChanges: true, powerLoss: true},
	"3 voters, 1 disk, clocks":      {voters: 3, disks: 1, clockSteps: true},
	"3 voters, all disks, clocks":   {voters: 3, disks: 3, clockSteps: true},
	"4 voters, 2 disks, clocks":     {voters: 4, disks: 2, clockSteps: true},
	"5 voters, 2 disks, clocks":     {voters: 5, disks: 2, clockSteps: true},
	"3 voters, changes, clocks":     {voters: 3, disks: 1, spares: 2, membershipChanges: true, clockSteps: true},
	"3 voters, clocks ahead":        {voters: 3, disks: 3, clocksAhead: true},
	"5 voters, no disk, ahead":      {voters: 5, clocksAhead: true},
	"5 voters, 2 disks, ahead":      {voters: 5, disks: 2, clocksAhead: true},
	"5 voters, power loss, ahead":   {voters: 5, disks: 2, powerLoss: true, clocksAhead: true},
	"3 voters, changes, ahead":      {voters: 3, disks: 1, spares: 2, membershipChanges: true, clocksAhead: true},
	"5 voters, changes, ahead":      {voters: 5, spares: 2, membershipChanges: true, clocksAhead: true},
	"3 voters, power and disks":     {voters: 3, disks: 3, powerLoss: true, powerAndDiskLoss: true},
	"5 voters, power and disks":     {voters: 5, disks: 5, powerLoss: true, powerAndDiskLoss: true},
	"5 voters, power, disks, ahead": {voters: 5, disks: 5, powerLoss: true, powerAndDiskLoss: true, clocksAhead: true},
	"3 voters, power, disks, changes, ahead": {
		voters: 3, disks: 5, spares: 2, membershipChanges: true, powerLoss: true, powerAndDiskLoss: true, clocksAhead: true,
	},
}

// faultOutcomeCounts are the values of simOptions.faultOutcomes that the seeds use in turn,
// from frequent to rare faults.
var faultOutcomeCounts = []int{200, 500, 1000, 3000}

// envInt returns the integer in an environment variable, or fallback if there is none.
func envInt(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

// TestGroupSurvivesRandomFaults runs groups under random faults. REPLICA_SEEDS sets the
// number of seeds, REPLICA_STEPS the steps of each, and REPLICA_FIRST the first seed.
func TestGroupSurvivesRandomFaults(t *testing.T) {
	seeds, steps, first := envInt("REPLICA_SEEDS", 6), envInt("REPLICA_STEPS", 3000), envInt("REPLICA_FIRST", 1)
	for name, opt := range randomFaultGroups {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			total := map[string]int{}
			for seed := first; seed < first+seeds; seed++ {
				opt.faults, opt.steps = true, steps
				opt.faultOutcomes = faultOutcomeCounts[seed%len(faultOutcomeCounts)]
				for event, n := range runRandomFaults(t, uint64(seed), opt) {
					total[event] += n
				}
			}
			t.Logf("%d seeds of %d steps, no violations: %v", seeds, steps, total)
		})
	}
}

// runRandomFaults simulates a group from one seed, then ends the faults and checks that it
// makes progress again. It returns the numbers of events by name.
func runRandomFaults(t *testing.T, seed uint64, opt simOptions) map[string]int {
	s := newSim(seed, opt)
	defer func() {
		if p := recover(); p != nil {
			t.Fatalf("seed %d, step %d: %v", seed, s.step, p)
		}
	}()
	s.run(opt.steps)
	if len(s.violations) == 0 {
		s.checkProgress()
	}
	must.SliceEmpty(t, s.violations, must.Sprint(fmt.Sprintf("seed %d: %s", seed, strings.Join(s.violations, "\n"))))
	return s.counts
}
