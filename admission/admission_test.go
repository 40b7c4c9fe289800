package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/bilberryferry/bilberryferry/customer"
	"github.com/bilberryferry/bilberryferry/resource"
)

// cores returns an amount of CPU.
func cores(n int64) resource.Amount { return resource.Amount{MilliCPU: 1000 * n} }

// job returns a job that takes a number of core-seconds in one step of a second, with an objective
// of 2 s.
func job(id, customerName string, priority int, coreSeconds int64) *Job {
	return &Job{
		ID: id, Class: Class{Service: "s", Customer: customerName, Priority: priority},
		Work: WorkOf(cores(1), cores(1), int(coreSeconds), 1000), Chain: time.Second, Objective: 2 * time.Second,
	}
}

// snapshot returns a snapshot of an idle pool with queued work, of which no accepted job is part.
func snapshot(capacity int64, queued Sums) Snapshot {
	return Snapshot{Pools: map[string]Room{"s": {Total: cores(capacity)}}, Queued: queued, Includes: func(string) bool { return false }}
}

// updated returns an estimator with a snapshot.
func updated(s Snapshot) *Estimator {
	e := NewEstimator()
	e.Update(0, s)
	return e
}

// Guards against the refusal of a job that could be worth something: the work ahead, and the rest of
// what is running, are less than what the capacity and the limit do within the objective. The room is
// what arriving work that goes before the job leaves, if any arrives.
func TestNeverRefusesWhatTheRoomDoesWithinTheObjective(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Int64Range(1, 1000).Draw(t, "capacity")
		arriving := rapid.Int64Range(0, capacity*8/10).Draw(t, "arriving")
		objective := time.Duration(rapid.IntRange(1, 60_000).Draw(t, "objective")) * time.Millisecond
		room := Room{Total: cores(capacity), Held: cores(rapid.Int64Range(0, capacity).Draw(t, "held"))}
		j := job("j", "a", 1, 1)
		j.Objective, j.Chain = objective, time.Duration(rapid.IntRange(0, 120_000).Draw(t, "chain"))*time.Millisecond
		left := float64(1000*capacity-1000*arriving) - 0.1*float64(1000*capacity)
		budget := int64(left * milliseconds(objective))
		room.Rest.MilliCPU = rapid.Int64Range(0, budget).Draw(t, "rest")
		queued := Sums{}
		for i, left := 0, budget-room.Rest.MilliCPU; i < 5; i++ {
			work := rapid.Int64Range(0, left).Draw(t, "work")
			left -= work
			class := Class{"s", rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "customer"), rapid.IntRange(0, 3).Draw(t, "priority")}
			queued.Add(class, Work{resource.Amount{MilliCPU: work}, resource.Amount{MilliCPU: work}})
		}
		e := updated(Snapshot{Pools: map[string]Room{"s": room}, Limits: map[string]Room{"a": room}, Queued: queued})
		// Arriving work that the next snapshot has counted.
		rate := cores(arriving).Times(int64(milliseconds(arrivalPeriod)))
		e.arrivals.add(0, Class{"s", "a", 0}, Work{rate, rate})
		must.Nil(t, e.Check(0, j))
	})
}

// Guards against an estimate that drifts, and against reservations without bound.
func TestSumsReturnToZeroAndReservationsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e, now := updated(snapshot(10, nil)), time.Duration(0)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond
			j := job(fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "id")), rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "customer"), rapid.IntRange(0, 2).Draw(t, "priority"), rapid.Int64Range(0, 60).Draw(t, "work"))
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				e.Remove(j.ID)
			case 1:
				e.Update(now, snapshot(10, nil))
			default:
				if refusal := e.Check(now, j); refusal == nil {
					e.Add(now, j)
				} else {
					must.Positive(t, refusal.RetryAfter)
				}
			}
			reserved := Sums{}
			for _, r := range e.reserved {
				must.LessEq(t, maxReservationTime, r.retryAt-now)
				reserved.Add(r.job.Class, r.job.Work)
			}
			must.Eq(t, reserved, e.reservedWork)
		}
		for id := range e.added {
			e.Remove(id)
		}
		e.Update(now+maxReservationTime+2*reservationGrace, snapshot(10, nil))
		must.MapEmpty(t, e.addedWork)
		must.MapEmpty(t, e.reservedWork)
		must.Zero(t, e.Reservations())
	})
}

// Guards against memory that grows with the number of refused jobs.
func TestReservationsHaveAnUpperBound(t *testing.T) {
	e := updated(snapshot(1, nil))
	e.Add(0, job("ahead", "", 0, 6))
	for i := range 2 * maxReservations {
		e.reserve(0, job(fmt.Sprint(i), "", 0, 1), time.Second)
	}
	must.Eq(t, maxReservations, e.Reservations())
}

// coreSecondsAhead returns a snapshot of a pool of ten cores with queued work.
func coreSecondsAhead(n int64) Snapshot {
	queued := Sums{}
	queued.Add(Class{Service: "s"}, Work{OnWorkers: cores(n).Times(1000)})
	return snapshot(10, queued)
}

// Guards against newcomers that take the room which refused jobs were told to come back for.
func TestRefusedJobsThatRetryInTimeGoBeforeNewcomers(t *testing.T) {
	e := updated(coreSecondsAhead(50))
	for i := range 3 {
		refusal := e.Check(0, job(fmt.Sprint("refused", i), "", 0, 8))
		must.NotNil(t, refusal)
		must.Eq(t, time.Duration(i+1)*time.Second, refusal.RetryAfter, must.Sprint("retries are spread"))
	}
	early := e.Check(time.Second/2, job("refused2", "", 0, 8))
	must.NotNil(t, early)
	must.Eq(t, 3*time.Second, early.RetryAfter)
	must.Eq(t, 3*time.Second, e.reserved["refused2"].retryAt, must.Sprint("an early retry doesn't change the time"))
	for i := range 2 {
		now := time.Duration(i+1) * time.Second
		e.Update(now, coreSecondsAhead(50-9*int64(i+1)))
		must.NotNil(t, e.Check(now, job("newcomer", "", 0, 8)))
		e.release("newcomer")
		must.Nil(t, e.Check(now, job(fmt.Sprint("refused", i), "", 0, 8)))
	}
}

// Guards against a state in which a newcomer is accepted and a job that retries in time isn't.
func TestNoNewcomerIsAcceptedBeforeARetry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := updated(coreSecondsAhead(rapid.Int64Range(50, 80).Draw(t, "ahead")))
		var retry *Job
		var retryAt time.Duration
		for i := range rapid.IntRange(1, 20).Draw(t, "jobs") {
			j := job(fmt.Sprint(i), "", rapid.IntRange(0, 2).Draw(t, "priority"), rapid.Int64Range(1, 9).Draw(t, "work"))
			if refusal := e.Check(0, j); refusal == nil {
				e.Add(0, j)
			} else if rapid.Bool().Draw(t, "retries") {
				retry, retryAt = j, refusal.RetryAfter
			}
		}
		if retry == nil || retryAt > maxReservationTime {
			return
		}
		e.Update(retryAt, coreSecondsAhead(rapid.Int64Range(0, 80).Draw(t, "ahead later")))
		newcomer := *retry
		newcomer.ID = "newcomer"
		if e.Check(retryAt, &newcomer) == nil {
			must.Nil(t, e.Check(retryAt, retry))
		}
	})
}

// Guards against a wait for less urgent work, and for what runs while there is free room.
func TestOnlyMoreUrgentWorkIsAhead(t *testing.T) {
	queued := Sums{}
	queued.Add(Class{Service: "s", Priority: 2}, Work{OnWorkers: cores(10_000).Times(1000)})
	queued.Add(Class{Service: "other"}, Work{OnWorkers: cores(10_000).Times(1000)})
	s := snapshot(10, queued)
	s.Pools["s"] = Room{Total: cores(10), Held: cores(5), Rest: cores(5).Times(100_000)}
	e := updated(s)
	wait, _ := e.Wait(0, Class{Service: "s", Priority: 1})
	must.Zero(t, wait)
	e.Add(0, job("a", "", 1, 4))
	wait, _ = e.Wait(0, Class{Service: "s", Priority: 1})
	must.Less(t, 1100*time.Millisecond, wait, must.Sprint("the free room does the work ahead"))
	must.NotNil(t, e.Check(0, job("b", "", 2, 1)))
}

// Guards against a customer at its limit that is told to wait for the cluster, and against refusing
// others for the work that waits for that limit.
func TestLimitOfACustomerBindsOnlyThatCustomer(t *testing.T) {
	queued := Sums{}
	queued.Add(Class{Service: "s", Customer: "limited"}, Work{cores(20).Times(1000), cores(20).Times(1000)})
	s := snapshot(100, queued)
	s.Limits = map[string]Room{"limited": {Total: cores(2)}}
	e := updated(s)
	refusal := e.Check(0, job("a", "limited", 0, 1))
	must.NotNil(t, refusal)
	must.Eq(t, CustomerLimit, refusal.Bottleneck)
	must.Nil(t, e.Check(0, job("b", "other", 0, 1)))
}

// Guards against refusing a customer for the backlog that others' limits hold back, which occupies nothing.
func TestBacklogBehindLimitsDoesntRefuseOthers(t *testing.T) {
	queued, limits := Sums{}, map[string]Room{}
	customers := map[string]*customer.Customer{"other": {Name: "other", Weight: 1}}
	for i := range 4 {
		name := fmt.Sprint("limited", i)
		queued.Add(Class{Service: "s", Customer: name}, Work{cores(1000).Times(1000), cores(1000).Times(1000)})
		limits[name] = Room{Total: cores(2)}
		customers[name] = &customer.Customer{Name: name, Weight: 1}
	}
	s := snapshot(20, queued)
	s.Limits, s.Customers = limits, customers
	e := updated(s)
	e.Add(0, job("a", "other", 0, 20))
	must.Nil(t, e.Check(0, job("b", "other", 0, 1)))
	limits["other"], limits["limited0"] = Room{}, Room{}
	must.NotNil(t, e.Check(0, job("c", "limited0", 0, 1)), must.Sprint("without its limit, the backlog counts"))
}

// Guards against refusing a customer within its share for the queue of another without a limit.
func TestOverfullQueueOfOneCustomerDoesntRefuseOthers(t *testing.T) {
	queued := Sums{}
	queued.Add(Class{Service: "s", Customer: "large"}, Work{cores(1000).Times(1000), cores(1000).Times(1000)})
	s := snapshot(10, queued)
	s.Customers = map[string]*customer.Customer{"large": {Name: "large", Weight: 1}, "small": {Name: "small", Weight: 1}}
	e := updated(s)
	must.NotNil(t, e.Check(0, job("a", "large", 0, 1)))
	must.Nil(t, e.Check(0, job("b", "small", 0, 5)))
	e.Add(0, job("c", "small", 0, 100))
	must.NotNil(t, e.Check(0, job("d", "small", 0, 5)), must.Sprint("beyond its share"))
}

// Guards against an overload that sustains itself because refused jobs that retry count as further offered work.
func TestRetriesDontCountAsOfferedWork(t *testing.T) {
	s := snapshot(10, nil)
	s.Pools["s"] = Room{Total: cores(10)}
	e := updated(s)
	e.Add(0, job("queued", "", 0, 1000))
	refused := job("refused", "", 0, 1)
	for i := range 10 {
		must.NotNil(t, e.Check(time.Duration(i)*100*time.Millisecond, refused))
	}
	offered, _ := e.offered.rates(time.Second, refused.Class, nil)
	must.LessEq(t, refused.Work.OnWorkers.MilliCPU, offered.all.MilliCPU)
}

// Guards against refusing for what ran seconds ago, while the leader can't decide.
func TestRunningWorkEndsWithoutDecisions(t *testing.T) {
	s := snapshot(10, nil)
	s.Pools["s"] = Room{Total: cores(10), Held: cores(10), Rest: cores(10).Times(2000)}
	e := updated(s)
	e.Add(0, job("a", "", 0, 18))
	before, _ := e.Wait(0, Class{Service: "s"})
	after, _ := e.Wait(4*time.Second, Class{Service: "s"})
	must.Greater(t, 3*time.Second, before)
	must.Eq(t, 2*time.Second, after)
}

// BenchmarkCheck estimates with a hundred customers, three priorities and half of the reservations.
func BenchmarkCheck(b *testing.B) {
	s := snapshot(1000, Sums{})
	for i := range 300 {
		s.Queued.Add(Class{"s", fmt.Sprint("c", i%100), i / 100}, WorkOf(cores(1), cores(1), 3000, 1000))
	}
	e := updated(s)
	for i := range maxReservations / 2 {
		e.reserve(0, job(fmt.Sprint(i), fmt.Sprint("c", i%100), i%3, 1), time.Second)
	}
	j := job("x", "c1", 2, 1)
	for b.Loop() {
		_ = e.Check(0, j)
	}
}

// Guards against a longer wait for a call whose time is before the snapshot, because it waited for the
// lock during the decision: the runs would seem to hold more than the pool has.
func TestCallsFromBeforeTheSnapshotSeeItsRoom(t *testing.T) {
	e := NewEstimator()
	room := Room{Total: cores(100), Held: cores(50), Rest: resource.Amount{MilliCPU: 50_000 * 5}}
	queued := Sums{{Service: "s"}: {OnWorkers: cores(100).Times(500)}}
	e.Update(time.Second, Snapshot{Pools: map[string]Room{"s": room}, Queued: queued})
	const early = 800 * time.Millisecond
	must.Eq(t, e.estimate(time.Second, job("j", "", 0, 10)), e.estimate(early, job("j", "", 0, 10)))
	must.Nil(t, e.Check(early, job("j", "", 0, 10)))
}

// Guards against arriving work that isn't counted because the rate of each class is less than one unit of the
// resource: a job waits behind it all the same.
func TestArrivalsOfScarceResourcesAddUp(t *testing.T) {
	e := NewEstimator()
	one := resource.Amount{Accelerators: 1}
	for i := range 100 {
		// Each arrives at half an accelerator.
		e.Add(0, &Job{ID: fmt.Sprint(i), Class: Class{"s", fmt.Sprint("c", i), 0}, Work: WorkOf(one, one, 1, arrivalPeriod.Milliseconds()/2)})
	}
	inPool, ofCustomer := e.arrivals.rates(0, Class{"s", "c1", 1}, nil)
	must.InDelta(t, 50, inPool.of(amountFields[2]).urgent, 0.01)
	must.InDelta(t, 0.5, ofCustomer.of(amountFields[2]).all, 0.01)
}
