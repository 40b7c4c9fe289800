package instance

import (
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/bilberryferry/bilberryferry/internal/lastrun"
	"github.com/bilberryferry/bilberryferry/internal/panics"
	"github.com/bilberryferry/bilberryferry/internal/vfs"
)

// runRecordTimeout bounds how long the start and the end of a process wait for a disk that
// doesn't respond.
const runRecordTimeout = 100 * time.Millisecond

// recordedRun records a run of the process in its data folder. A nil recordedRun records
// nothing.
type recordedRun struct {
	logger log.Logger
	// begun is closed once run is set.
	begun chan struct{}
	run   *lastrun.Run
}

// beginRun records that this run begins and logs how the previous one ended. ownsProcess says that
// the crashes of the process are those of this run.
func (p *process) beginRun(ownsProcess bool) {
	if p.settings.DataFolder == "" {
		return
	}
	cfg := lastrun.Config{Folder: p.settings.DataFolder, Files: p.files, Now: time.Now()}
	if cfg.Files == nil {
		cfg.Files, cfg.CrashOutput = vfs.OS{}, ownsProcess
	}
	p.run = &recordedRun{logger: p.logger, begun: make(chan struct{})}
	go p.run.begin(cfg)
	waitAtMost(p.run.begun, runRecordTimeout)
}

// begin records the begin of the run and logs how the previous one ended.
func (r *recordedRun) begin(cfg lastrun.Config) {
	defer close(r.begun)
	defer panics.Handle()
	run, previous, err := lastrun.Begin(cfg)
	r.run = run
	logPreviousRun(r.logger, previous)
	r.logFailure(err)
}

// logPreviousRun logs how the previous run ended.
func logPreviousRun(logger log.Logger, previous lastrun.Previous) {
	fields := []any{"event", "previous_run", "outcome", previous.Outcome, "starts_without_stop", previous.StartsWithoutStop}
	if !previous.Started.IsZero() {
		fields = append(fields, "started", previous.Started.Format(time.RFC3339Nano))
	}
	if previous.Err != "" {
		fields = append(fields, "err", previous.Err)
	}
	if previous.Crash.Reason != "" {
		fields = append(fields, "reason", previous.Crash.Reason, "place", previous.Crash.Place)
	}
	_ = logger.Log(fields...)
}

// end records that the run has ended: with err, or because the process was asked to stop.
func (r *recordedRun) end(err error) {
	if r == nil {
		return
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer panics.Handle()
		<-r.begun
		r.logFailure(r.run.End(err))
	}()
	waitAtMost(ended, runRecordTimeout)
}

// logFailure logs that the run can't be recorded, which changes nothing else.
func (r *recordedRun) logFailure(err error) {
	if err != nil {
		_ = level.Warn(r.logger).Log("event", "run_record", "outcome", "failed", "err", err)
	}
}

// waitAtMost waits until done is closed, for limit at most.
func waitAtMost(done <-chan struct{}, limit time.Duration) {
	select {
	case <-done:
	case <-time.After(limit):
	}
}
