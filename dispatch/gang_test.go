package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// adviser is an adviser that permits a fixed set of workers and counts the queries.
type adviser struct {
	permitted map[string]bool
	queries   int
}

// randomAdviser returns an adviser that permits a random share of the workers, drawn again
// until the tasks of the step fit on them.
func randomAdviser(random *rand.Rand, share float64, s *Step, pool []Worker, tasks int) *adviser {
	for {
		a := &adviser{permitted: map[string]bool{}}
		fits := 0
		for i := range pool {
			if random.Float64() < share {
				a.permitted[pool[i].ID] = true
				fits += fitCount(s, &pool[i])
			}
		}
		if fits >= tasks {
			return a
		}
	}
}

// respond adds the responses to the queries of a plan to the permits of s.
func (a *adviser) respond(s *Step, plan Plan) {
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

// Guards against gangs that start late with a quarter of the pool free. Of 350 workers
// three quarters are occupied, the free resources are fragmented, and a gang of 30 to 60
// tasks is permitted on a quarter of the workers. If the gang queries 60 workers at a
// time, 0.9 s each, and sends no further query once its 15 permitted workers are expected
// to come free soon, one gang in five is late.
func TestLargeGangQueriesEnoughWorkersInParallel(t *testing.T) {
	const (
		// grantedShare is the share of the workers on which a gang is permitted.
		grantedShare = 0.25
		// triedRounds is the number of decisions after which a gang that hasn't started is
		// given up; maxRounds is how many decisions may pass before the gang starts.
		triedRounds = 4
		maxRounds   = 2
	)
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
			gang.Spec.Gang, gang.NeedsPermit, gang.Permits, gang.GrantRate = true, true, map[string]Permit{}, grantedShare
			a := randomAdviser(random, grantedShare, &gang, workers(free...), tasks)
			bounds := Limits{WorkersPerQuery: 30, WorkersPerGangQuery: 60, Queries: 40, TicketMargin: 100 * time.Millisecond}
			rounds := 0
			for ; rounds < triedRounds; rounds++ {
				pool := workers(free...)
				for i := range pool {
					// The runs on the worker are expected to end soon, but keep running.
					pool[i].Releases = []Release{{At: 300 * time.Millisecond, Resources: cores(16 - free[i])}}
				}
				plan := Decide(0, []Step{gang}, pool, bounds)
				if len(plan.Starts) == tasks {
					break
				}
				a.respond(&gang, plan)
			}
			must.LessEq(t, maxRounds, rounds, must.Sprintf("seed %d, %d tasks", seed, tasks))
			must.LessEq(t, 2*maxGangQueries, a.queries)
		}
	}
}

// Guards against needless queries: a gang must send a single query if that covers all
// workers.
func TestGangInSmallPoolSendsOneQuery(t *testing.T) {
	gang := step("a", 20, 4)
	gang.Spec.Gang, gang.NeedsPermit, gang.GrantRate = true, true, 0.25
	plan := Decide(0, []Step{gang}, workers(make([]int64, 48)...), Limits{WorkersPerGangQuery: 60, Queries: 9})
	must.SliceLen(t, 1, plan.Queries)
	must.SliceLen(t, 48, plan.Queries[0].Workers)
}
