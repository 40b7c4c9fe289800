package dispatch

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a gang that loses the resources that it has collected while no connection is free to renew
// its tickets.
func TestGangKeepsResourcesWithoutConnection(t *testing.T) {
	gang := waitingGang("gang", 2, 4, map[string]Permit{"w0": {Granted: true}, "w1": {Granted: true}})
	small := step("small", 4, 1)
	small.Due = time.Second
	noQueries := limits
	noQueries.Queries = 0
	plan := Decide(0, []Step{gang, small}, workers(4, 4), noQueries)
	must.SliceEmpty(t, started(plan))
	must.Eq(t, []string{"w0", "w1"}, plan.Earmarks)
}

// Guards against urgent steps that get tickets only for the workers on which a gang collects its
// resources: these have the most free ones.
func TestQueriesAvoidEarmarkedWorkers(t *testing.T) {
	pool := workers(8, 4, 4, 0)
	pool[0].Earmarked = true
	twoWorkers := limits
	twoWorkers.WorkersPerQuery = 2
	queries := Decide(0, []Step{withPermits(step("urgent", 1, 4), nil)}, pool, twoWorkers).Queries
	must.SliceLen(t, 1, queries)
	must.Eq(t, []string{"w1", "w2"}, queries[0].Workers)
	twoWorkers.WorkersPerQuery = 3
	queries = Decide(0, []Step{withPermits(step("urgent", 1, 4), nil)}, pool, twoWorkers).Queries
	must.Eq(t, []string{"w1", "w2", "w0"}, queries[0].Workers, must.Sprint("earmarked room is better than none"))
}

// Guards against a wide gang that queries its workers one part after the other, since one connection was
// free when it began.
func TestGangQueriesFurtherWorkersWhileQueryIsInFlight(t *testing.T) {
	gang := waitingGang("gang", 8, 8, map[string]Permit{"w0": {Granted: true}})
	gang.GrantRate, gang.AwaitsResponse, gang.Querying = 0.5, true, map[string]bool{"w1": true, "w2": true}
	queries := Decide(0, []Step{gang}, workers(0, 0, 0, 0, 0), limits).Queries
	must.SliceLen(t, 1, queries)
	must.Eq(t, []string{"w3", "w4"}, queries[0].Workers)
}

// Guards against reservations for so many gangs that a large part of the pool lies idle.
func TestStandingReservationsAreBounded(t *testing.T) {
	const gangs, tasks = 20, 4
	free := make([]int64, 100)
	var steps []Step
	for i := range gangs {
		gang := waitingGang(string(rune('a'+i)), tasks, 16, map[string]Permit{"w0": {Granted: true}})
		gang.Due = time.Duration(gangs-i) * time.Second
		steps = append(steps, gang)
	}
	noQueries := limits
	noQueries.Queries = 0
	Decide(0, steps, workers(free...), noQueries)
	reserving := 0
	for i := range steps {
		if steps[i].reserving {
			reserving++
			must.Eq(t, gangs-1, i, must.Sprint("the gang that has waited longest"))
		}
	}
	must.Eq(t, 1, reserving)
}
