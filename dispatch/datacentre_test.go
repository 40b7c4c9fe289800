package dispatch

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// poolOfThree returns workers with room for 9 tasks of one core each, in turn in three data centres.
func poolOfThree(n int) []Worker {
	free := make([]int64, n)
	for i := range free {
		free[i] = 9
	}
	pool := workers(free...)
	for i := range pool {
		pool[i].DataCentre = fmt.Sprint("dc", i%3)
	}
	return pool
}

// dataCentresOf counts the starts of a plan by data centre.
func dataCentresOf(plan *Plan, pool []Worker) map[string]int {
	byID, counts := map[string]string{}, map[string]int{}
	for i := range pool {
		byID[pool[i].ID] = pool[i].DataCentre
	}
	for _, start := range plan.Starts {
		counts[byID[start.Worker]]++
	}
	return counts
}

// Guards against jobs of which nearly each has a task in a data centre that is lost.
func TestTasksOfJobStartInOneDataCentre(t *testing.T) {
	preferred := map[string]int{}
	for i := range 60 {
		// Each worker has room for one task, so that packing doesn't keep them together.
		pool := poolOfThree(15)
		plan := Decide(0, []Step{step(fmt.Sprint("j", i), 4, 5)}, pool, limits)
		must.Len(t, 4, plan.Starts)
		counts := dataCentresOf(&plan, pool)
		must.MapLen(t, 1, counts)
		for dataCentre := range counts {
			preferred[dataCentre]++
		}
	}
	for dataCentre, jobs := range preferred {
		must.GreaterEq(t, 10, jobs, must.Sprint(dataCentre))
	}
}

// Guards against tasks that wait for room in one data centre while others have room.
func TestTasksStartElsewhereWhereDataCentreIsFull(t *testing.T) {
	pool := poolOfThree(3)
	plan := Decide(0, []Step{step("j", 20, 1)}, pool, limits)
	must.Len(t, 20, plan.Starts)
	must.MapLen(t, 3, dataCentresOf(&plan, pool))
}

// Guards against queries that ask about a full data centre: the workers with room come first.
func TestQueryAsksAboutWorkersWithRoomFirst(t *testing.T) {
	pool := poolOfThree(90)
	s := withPermits(step("j", 4, 1), nil)
	p := &planner{byService: map[string][]*Worker{"s": sortedByID(pool)}}
	p.recordDataCentres()
	p.setDataCentre(&s)
	for i := range pool {
		if pool[i].DataCentre == s.dataCentre {
			pool[i].Free = cores(0)
		}
	}
	for _, query := range Decide(0, []Step{s}, pool, limits).Queries {
		for _, id := range query.Workers {
			for i := range pool {
				must.False(t, pool[i].ID == id && pool[i].Free.MilliCPU == 0)
			}
		}
	}
}
