package overload

import (
	"context"
	"runtime"
	"time"

	"github.com/bilberryferry/bilberryferry/internal/wait"
)

// sampleInterval is how long the monitor sleeps: less than half of maxDelay, so that a delay is noticed
// before the next heartbeat of the log is due.
const sampleInterval = 10 * time.Millisecond

// yields is how often the monitor lets other goroutines run. The runtime keeps up to 256 runnable goroutines in the
// queue of a processor, and takes one that has yielded after at most 61 of them.
const yields = 5

// Monitor measures how late a sleeping goroutine wakes, which is how long the goroutine of the log waits for
// the processor too. If the process is suspended, the first measurement afterwards contains that time.
type Monitor struct {
	observe func(now time.Time, delay time.Duration)
	now     func() time.Time
	// sleep returns false if ctx has ended.
	sleep func(ctx context.Context, d time.Duration) bool
}

// NewMonitor returns a monitor that passes each measured delay to observe.
func NewMonitor(observe func(now time.Time, delay time.Duration)) *Monitor {
	return &Monitor{observe: observe, now: time.Now, sleep: wait.For}
}

// Run measures until ctx ends. It always returns nil.
func (m *Monitor) Run(ctx context.Context) error {
	before := m.now()
	for m.sleep(ctx, sampleInterval) {
		// A goroutine that a timer has woken runs before the other runnable ones, unlike the goroutine of the log.
		for range yields {
			runtime.Gosched()
		}
		now := m.now()
		m.observe(now, now.Sub(before)-sampleInterval)
		before = now
	}
	return nil
}
