package carrier

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// shareUpdates is the number of updates after which the moving average has settled.
	shareUpdates = 20
	// updatesPerSecond is the number of updates per second, by membershipInterval.
	updatesPerSecond = 2
	// sampledWorkers is the number of workers of which the direct ones are counted.
	sampledWorkers = 1000
)

// countDirectWorkers returns how many of 1000 workers a leader with a configured bound calls directly after 20
// updates at a constant rate of orders.
func countDirectWorkers(maxDirectCallsPerSecond, ordersPerSecond int) (direct int) {
	s := directShare{maxPerSecond: directLimit(maxDirectCallsPerSecond)}
	now := time.Now()
	s.reset(now)
	for range shareUpdates {
		now = now.Add(membershipInterval)
		for range ordersPerSecond / updatesPerSecond {
			s.countOrder()
		}
		s.update(now, 0)
	}
	for i := range sampledWorkers {
		if s.includes(fmt.Sprint("worker-", i)) {
			direct++
		}
	}
	return direct
}

// Guards against orders that are forwarded at a low rate, which delays the starts and ends of
// tasks. At higher rates the leader must make about 500 calls per second itself.
func TestLeaderWithFewOrdersCallsWorkersDirectly(t *testing.T) {
	must.Eq(t, sampledWorkers, countDirectWorkers(0, 400))
	must.Between(t, 200, countDirectWorkers(0, 2000), 300)
	must.Between(t, 70, countDirectWorkers(0, 5000), 130)
}

// Guards against this failure: the setting for the direct calls has no effect.
func TestDirectCallsAreBoundedAsConfigured(t *testing.T) {
	must.Eq(t, 0, countDirectWorkers(-1, 400))
	must.Eq(t, 0, countDirectWorkers(-1, 0))
	must.Between(t, 200, countDirectWorkers(100, 400), 300)
	must.Eq(t, sampledWorkers, countDirectWorkers(5000, 4000))
}

func TestDirectShareGrowsWhenOrdersDecrease(t *testing.T) {
	s := directShare{maxPerSecond: directLimit(0)}
	now := time.Now()
	s.reset(now)
	must.False(t, s.includes("w"), must.Sprint("a new leader must forward its first polls"))
	s.orderCount.Store(5000)
	s.update(now.Add(time.Second), 0)
	must.Less(t, ^uint64(0)/5, s.hashLimit)
	for i := range 30 {
		s.update(now.Add(time.Duration(2+i)*time.Second), 0)
	}
	must.True(t, s.includes("w"))
}

// Guards against a leader that makes as many calls itself as ever although it is short of processor, while the
// other instances idle.
func TestLeaderShortOfProcessorLeavesCallsToCarriers(t *testing.T) {
	s := directShare{maxPerSecond: directLimit(0)}
	now := time.Now()
	s.reset(now)
	update := func(times int, delay time.Duration) (direct float64) {
		for range times {
			now = now.Add(time.Second)
			s.orderCount.Store(500)
			s.update(now, delay)
		}
		return float64(s.hashLimit) / math.MaxUint64
	}
	must.LessEq(t, 0.1, update(5, 2*longDelay))
	must.Eq(t, 1, update(30, 0))
}
