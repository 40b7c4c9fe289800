package control

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a decision that keeps the processor from calls and reports while a backlog makes
// it long, and against one that waits for other goroutines after each step.
func TestLongDecisionYieldsEveryTwoMilliseconds(t *testing.T) {
	now, yields := time.Now(), 0
	// Other goroutines keep the processor for a while.
	y := newYielder(func() time.Time { return now }, func() { yields++; now = now.Add(5 * time.Millisecond) })
	const steps, perStep = 128, 200 * time.Microsecond
	for range steps {
		now = now.Add(perStep)
		y.yield()
	}
	must.Eq(t, int(steps*perStep/maxUninterruptedPlanning), yields)
}
