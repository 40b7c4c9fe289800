package control

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// What a user sees: the leader's process ends by itself at a change of leader.
// Order: a tenure ends and waits for its goroutines; a worker's heartbeat comes
// in and begins another one.
// Cause: a goroutine was added to a group that was being waited for.
func TestGoroutineGroupStartsNothingAfterWait(t *testing.T) {
	var running goroutineGroup
	ended := false
	running.start(func() {
		time.Sleep(time.Millisecond)
		ended = true
	})
	running.wait()
	must.True(t, ended)
	running.start(func() { t.Error("begun after the end") })
	running.wait()
}
