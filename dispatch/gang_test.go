package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// adviser answers the questions of a plan; which workers it permits is fixed.
type adviser struct {
	permitted map[string]bool
	queries   int
}

// randomAdviser draws a share of the workers to be permitted, again until tasks of the
// step fit there.
func randomAdviser(random *rand.Rand, share float64, s *Step, pool []Worker, tasks int) *adviser {
	for {
		a := &adviser{permitted: map[string]bool{}}
		room := 0
		for i := range pool {
			if random.Float64() < share {
				a.permitted[pool[i].ID] = true
				room += fitCount(s, &pool[i])
			}
		}
		if room >= tasks {
			return a
		}
	}
}

func (a *adviser) answer(s *Step, plan Plan) {
	for _, query := range plan.Queries {
		a.queries++
		for _, worker := range query.Workers {
			if _, known := s.Permits[worker]; known {
				continue
			}
			s.Permits[worker] = Permit{Granted: a.permitted[worker], Ticket: "k", Expires: time.Hour}
		}
	}
}

// A calm day with 350 workers of which three quarters are taken, in pieces. A gang of
// 30 to 60 tasks is permitted on a quarter of the workers. It asked about 60 of them
// at a time, 0.9 s each, and about no more once the 15 permitted ones seemed to come
// free soon: one in five gangs came too late with a quarter of the pool free.
func TestLargeGangQueriesEnoughWorkersInParallel(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		for _, tasks := range []int{30, 60} {
			free := make([]int64, 350)
			for i := range free {
				if random.IntN(10) < 4 {
					free[i] = 9 + random.Int64N(8)
				}
			}
			gang := step("a", tasks, 4)
			gang.Spec.Gang, gang.NeedsPermit, gang.Permits, gang.GrantRate = true, true, map[string]Permit{}, 0.25
			a := randomAdviser(random, 0.25, &gang, workers(free...), tasks)
			bounds := Limits{WorkersPerQuery: 30, WorkersPerGangQuery: 60, Queries: 40, TicketMargin: 100 * time.Millisecond}
			rounds := 0
			for ; rounds < 4; rounds++ {
				list := workers(free...)
				for i := range list {
					// What runs there seems to end soon, and doesn't.
					list[i].Releases = []Release{{At: 300 * time.Millisecond, Resources: cores(16 - free[i])}}
				}
				plan := Decide(0, []Step{gang}, list, bounds)
				if len(plan.Starts) == tasks {
					break
				}
				a.answer(&gang, plan)
			}
			must.LessEq(t, 2, rounds, must.Sprintf("seed %d, %d tasks", seed, tasks))
			must.LessEq(t, 2*maxGangQueries, a.queries)
		}
	}
}

// Where one question covers all workers, a gang puts one.
func TestGangInSmallPoolSendsOneQuery(t *testing.T) {
	gang := step("a", 20, 4)
	gang.Spec.Gang, gang.NeedsPermit, gang.GrantRate = true, true, 0.25
	plan := Decide(0, []Step{gang}, workers(make([]int64, 48)...), Limits{WorkersPerGangQuery: 60, Queries: 9})
	must.SliceLen(t, 1, plan.Queries)
	must.SliceLen(t, 48, plan.Queries[0].Workers)
}
