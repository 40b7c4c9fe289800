package peermem

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"
)

type testCounter map[string]int64

func (c testCounter) Add(name string, n int64) { c[name] += n }

// newTestBudget returns a budget of a megabyte and a function that moves its clock.
func newTestBudget() (b *Budget, counter testCounter, advance func(time.Duration)) {
	counter = testCounter{}
	b = NewBudget("test", 1<<20, 16<<10, log.NewNopLogger(), counter)
	now := time.Unix(1000, 0)
	b.now = func() time.Time { return now }
	return b, counter, func(d time.Duration) { now = now.Add(d) }
}

// newTestReservation returns a reservation and whether it was ended.
func newTestReservation() (r *reservation, ended *bool) {
	ended = new(bool)
	return &reservation{end: func() { *ended = true }}, ended
}

// Guards against large requests that leave no room for ordinary ones.
func TestLargeRequestsLeaveRoomForSmallOnes(t *testing.T) {
	b, counter, _ := newTestBudget()
	large := 0
	for {
		r, _ := newTestReservation()
		if !b.announce(r, 100<<10) {
			break
		}
		large++
	}
	must.Eq(t, 7, large)
	must.Eq(t, 1, counter["test_requests_refused_memory"])
	small, _ := newTestReservation()
	must.True(t, b.receive(small, 2000))
}

// Guards against requests that stall and keep the budget from those that don't.
func TestOldestStalledRequestIsEndedForNewOne(t *testing.T) {
	b, counter, advance := newTestBudget()
	oldest, oldestEnded := newTestReservation()
	must.True(t, b.receive(oldest, 400<<10))
	advance(stalledAfter / 2)
	younger, youngerEnded := newTestReservation()
	must.True(t, b.receive(younger, 300<<10))
	refused, _ := newTestReservation()
	must.False(t, b.receive(refused, 200<<10))
	advance(stalledAfter / 2)
	admitted, _ := newTestReservation()
	must.True(t, b.receive(admitted, 200<<10))
	must.True(t, *oldestEnded)
	must.False(t, *youngerEnded)
	must.False(t, b.receive(oldest, 1))
	must.Eq(t, 1, counter["test_requests_ended_memory"])
}

// Guards against a request that is being served and is ended as if its client had stalled.
func TestCompleteRequestIsNotEnded(t *testing.T) {
	b, _, advance := newTestBudget()
	served, ended := newTestReservation()
	must.True(t, b.receive(served, 700<<10))
	b.complete(served)
	advance(time.Hour)
	refused, _ := newTestReservation()
	must.False(t, b.receive(refused, 200<<10))
	must.False(t, *ended)
}

// Guards against a budget that is used up by requests that have ended.
func TestEndedRequestsGiveBackTheirBytes(t *testing.T) {
	b, _, _ := newTestBudget()
	for range 100 {
		r, _ := newTestReservation()
		must.True(t, b.receive(r, 500<<10))
		b.finish(r)
		must.True(t, b.receive(r, 500<<10))
		b.close(r)
	}
	must.Eq(t, 0, b.used)
	must.Eq(t, 0, b.incomplete.Len())
}
