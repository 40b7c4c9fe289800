package instance

import (
	"context"
	"runtime"
	"syscall"
	"time"

	"github.com/go-kit/log"

	"github.com/bilberryferry/bilberryferry/internal/link"
	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/internal/worktime"
)

// workLogInterval is the time between two log lines about where the processor's time went.
const workLogInterval = time.Second

// workLog logs once a second what a core instance worked on, so that a second in which its processor was short
// says what took it.
type workLog struct {
	logger log.Logger
	// parts sums up the work of the instance's own parts, calls the calls of other instances by method, with
	// their waits, and abandoned those of them whose callers had disconnected before the response.
	parts, calls, abandoned *worktime.Ledger
	// processorTime is that of the process at the last line.
	processorTime time.Duration
}

// newWorkLog returns a workLog of parts and of the calls that mux serves.
func newWorkLog(logger log.Logger, parts *worktime.Ledger, mux *link.Mux) *workLog {
	w := &workLog{logger: logger, parts: parts, calls: worktime.NewLedger(), abandoned: worktime.NewLedger()}
	mux.SetRecorder(w.recordCall)
	return w
}

func (w *workLog) recordCall(method string, took time.Duration, abandoned bool) {
	w.calls.Add(worktime.Kind(method), took)
	if abandoned {
		w.abandoned.Add(worktime.Kind(method), took)
	}
}

// run logs until ctx ends. It always returns nil.
func (w *workLog) run(ctx context.Context) error {
	w.processorTime = processorTime()
	for wait.For(ctx, workLogInterval) {
		before := w.processorTime
		w.processorTime = processorTime()
		_ = w.logger.Log("event", "work", "processor_ms", (w.processorTime - before).Milliseconds(), "goroutines", runtime.NumGoroutine(),
			"parts", worktime.Format(w.parts.Take()), "calls", worktime.Format(w.calls.Take()), "abandoned", worktime.Format(w.abandoned.Take()))
	}
	return nil
}

// processorTime returns the time for which this process has had a processor, 0 if that can't be told.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
