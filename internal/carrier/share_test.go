package carrier

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// ownOf returns how many of a thousand workers a leader calls by itself after a while at a
// rate of orders.
func ownOf(ordersPerSecond int) (own int) {
	var s ownShare
	now := time.Now()
	s.begin(now)
	for range 20 {
		now = now.Add(membersPause)
		for range ordersPerSecond / 2 {
			s.noteOrder()
		}
		s.adapt(now)
	}
	for i := range 1000 {
		if s.has(fmt.Sprint("worker-", i)) {
			own++
		}
	}
	return own
}

// What a user sees: on a small deployment, urgent tasks begin and end later than before.
// Order: fifty workers are called through other instances though the leader is idle.
// Cause: orders were handed over whether or not the leader had too many.
func TestALeaderWithFewOrdersCallsItself(t *testing.T) {
	must.Eq(t, 1000, ownOf(400))
	must.Between(t, 200, ownOf(2000), 300)
	must.Between(t, 70, ownOf(5000), 130)
}

func TestALeaderWhoseOrdersBecomeFewCallsItselfAgain(t *testing.T) {
	var s ownShare
	now := time.Now()
	s.begin(now)
	must.False(t, s.has("w"), must.Sprint("a new leader hands its first looks over"))
	s.orders.Store(5000)
	s.adapt(now.Add(time.Second))
	must.Less(t, ^uint64(0)/5, s.bound)
	for i := range 30 {
		s.adapt(now.Add(time.Duration(2+i) * time.Second))
	}
	must.True(t, s.has("w"))
}
