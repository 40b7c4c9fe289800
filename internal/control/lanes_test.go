package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// manyLanes returns n lanes, the own one among them, at the time now.
func manyLanes(n int, now time.Time) *lanes {
	l := newLanes("own", nil, nil)
	for i := 1; i < n; i++ {
		l.note(fmt.Sprintf("10.1.0.%02d", i), now)
	}
	return l
}

// longOnes puts long questions on all lanes that they may use, one each, and returns
// how many that were.
func longOnes(l *lanes, now time.Time) int {
	used := map[string]bool{}
	for {
		through, _ := l.take(now, time.Second)
		if through == nil || used[through.address] {
			return len(used)
		}
		used[through.address] = true
	}
}

// A user's gang waits for its permits though half of the instances that could ask for
// them are idle: these were left to short questions, of which there were few.
func TestLongQuestionsLeaveTheLanesThatShortOnesNeed(t *testing.T) {
	start := time.Now()
	must.Eq(t, 43, longOnes(manyLanes(44, start), start))
	must.Eq(t, 1, longOnes(manyLanes(2, start), start))
	must.Eq(t, 1, longOnes(manyLanes(1, start), start))
	for _, c := range []struct{ perSecond, least, most int }{{10, 40, 43}, {110, 36, 39}, {2000, 22, 22}} {
		l := manyLanes(44, start)
		now := start
		for range 9 * c.perSecond {
			now = now.Add(time.Second / time.Duration(c.perSecond))
			through, _ := l.take(now, 17*time.Millisecond)
			must.NotNil(t, through)
			l.give(through, now, false)
			for _, known := range l.all {
				known.heard = now
			}
		}
		long := longOnes(l, now)
		must.Between(t, c.least, long, c.most, must.Sprintf("%d a second", c.perSecond))
	}
}

// An urgent job is late though lanes are idle: its question waits behind a gang's.
func TestShortQuestionsKeepToTheLanesThatLongOnesLeave(t *testing.T) {
	now := time.Now()
	l := manyLanes(8, now)
	for range 100 {
		through, answered := l.take(now, 17*time.Millisecond)
		must.Eq(t, "10.1.0.01", through.address)
		must.Eq(t, now.Add(17*time.Millisecond), answered)
		now = now.Add(17 * time.Millisecond)
		l.give(through, now, false)
		l.note("10.1.0.01", now)
	}
}
