package control

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a crash of the leader's process when the leader changes: a leader term
// ends and waits for its goroutines, and a heartbeat arrives and starts another one.
// Adding to a sync.WaitGroup that is being waited for panics.
func TestGoroutineGroupStartsNothingAfterWait(t *testing.T) {
	var running goroutineGroup
	ended := false
	running.start(func() {
		time.Sleep(time.Millisecond)
		ended = true
	})
	running.wait()
	must.True(t, ended)
	running.start(func() { t.Error("a goroutine started after wait") })
	running.wait()
}
