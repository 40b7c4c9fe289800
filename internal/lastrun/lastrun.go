// Package lastrun records in a folder how the runs of a process end, so that the next start
// can say how the one before ended. The records are a help for operators only: they are never
// synced, and a loss of power may take them.
package lastrun

import (
	"encoding/json"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/internal/panics"
	"github.com/bilberryferry/bilberryferry/internal/vfs"
)

// Names in the folder.
const (
	recordFile = "last_run"
	crashFile  = "last_crash"
)

// Outcome says how a run ended.
type Outcome string

// Outcomes of a run.
const (
	// None means that there is no record of a run.
	None Outcome = "none"
	// Unknown means that the record can't be read.
	Unknown Outcome = "unknown"
	// Stopped means that the process was asked to stop.
	Stopped Outcome = "stopped"
	// Failed means that the process ended itself, with an error.
	Failed Outcome = "failed"
	// Panic means that the Go runtime ended the process: a panic or a fatal error.
	Panic Outcome = "panic"
	// Killed means that the process ended without a trace: a signal such as SIGKILL, the memory
	// limit, a loss of power. A process that is still running looks the same.
	Killed Outcome = "killed"
)

// Previous is what is known of the run before.
type Previous struct {
	Outcome Outcome
	// Started is when the run started; zero if that isn't known.
	Started time.Time
	// Err is the error of a run that failed.
	Err string
	// Crash describes the end of a run with outcome Panic.
	Crash panics.Report
	// StartsWithoutStop is the number of runs in a row, up to this one, that nobody asked to
	// stop.
	StartsWithoutStop int
}

// record is the content of the record of a run.
type record struct {
	Started time.Time `json:"started"`
	// Ended is the zero time until the run has ended.
	Ended time.Time `json:"ended,omitzero"`
	// Err is the error that ended the run, "" if it was asked to stop.
	Err string `json:"err,omitempty"`
	// StartsWithoutStop is that of the Previous of this run.
	StartsWithoutStop int `json:"starts_without_stop"`
}

// Config holds what Begin needs.
type Config struct {
	// Folder has the records. Begin creates it if it is missing.
	Folder string
	Files  vfs.FS
	// CrashOutput makes the Go runtime also write the text of a panic or fatal error into the
	// folder. It applies to the whole process and to the operating system's files.
	CrashOutput bool
	// Now is the time of the start.
	Now time.Time
}

// Run is a run of a process that is recorded. It is safe for concurrent use.
type Run struct {
	cfg Config

	mu sync.Mutex
	// own is the record of this run, the zero record if there is no folder for it.
	own record
}

// Begin reads how the previous run ended and records that a run has begun. The error is for the
// log: the run and what is known of the previous one are valid in any case.
func Begin(cfg Config) (*Run, Previous, error) {
	run := &Run{cfg: cfg}
	if err := run.createFolder(); err != nil {
		return run, Previous{Outcome: Unknown}, err
	}
	last, readErr := run.read()
	crash, crashErr := run.beginCrashOutput()
	previous := describe(last, readErr, crash)
	run.own = record{Started: cfg.Now.UTC(), StartsWithoutStop: previous.StartsWithoutStop}
	if errors.Is(readErr, os.ErrNotExist) {
		readErr = nil
	}
	return run, previous, errors.CombineErrors(readErr, errors.CombineErrors(crashErr, run.write(run.own)))
}

// createFolder creates the folder if it is missing, with a durable name: the process stores state
// in it, and finds it there.
func (r *Run) createFolder() error {
	_, err := r.cfg.Files.List(r.cfg.Folder)
	if !errors.Is(err, os.ErrNotExist) {
		return err
	}
	return vfs.MkdirAllDurable(r.cfg.Files, r.cfg.Folder)
}

// describe returns what a record and the text of a crash say about the run before.
func describe(last record, readErr error, crash panics.Report) Previous {
	previous := Previous{Started: last.Started, Err: last.Err, StartsWithoutStop: last.StartsWithoutStop + 1}
	switch {
	case readErr == nil && !last.Ended.IsZero() && last.Err == "":
		previous.Outcome, previous.StartsWithoutStop = Stopped, 0
	case readErr == nil && !last.Ended.IsZero():
		previous.Outcome = Failed
	case crash.Reason != "":
		previous.Outcome, previous.Crash = Panic, crash
	case errors.Is(readErr, os.ErrNotExist):
		previous.Outcome, previous.StartsWithoutStop = None, 0
	case readErr != nil:
		previous.Outcome = Unknown
	default:
		previous.Outcome = Killed
	}
	return previous
}

// End records that the run has ended: with err, or because it was asked to stop. It does nothing
// if another process has begun a run in the same folder meanwhile.
func (r *Run) End(err error) error {
	r.endCrashOutput()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.own.Started.IsZero() {
		return nil
	}
	last, readErr := r.read()
	if readErr != nil && !errors.Is(readErr, os.ErrNotExist) {
		return readErr
	}
	if readErr == nil && !last.Started.Equal(r.own.Started) {
		return nil
	}
	r.own.Ended = time.Now().UTC()
	if err != nil {
		r.own.Err = panics.OneLine(err.Error())
	}
	return r.write(r.own)
}

func (r *Run) path() string { return filepath.Join(r.cfg.Folder, recordFile) }

// read returns the record in the folder.
func (r *Run) read() (record, error) {
	data, err := r.cfg.Files.ReadFile(r.path())
	if err != nil {
		return record{}, err
	}
	var last record
	if err := json.Unmarshal(data, &last); err != nil {
		return record{}, errors.Wrapf(err, "decode %s", recordFile)
	}
	return last, nil
}

// write replaces the record. If that fails, it removes the one that is there, which says nothing
// about this run.
func (r *Run) write(own record) error {
	data, err := json.Marshal(own)
	if err != nil {
		return err
	}
	temporary := r.path() + vfs.TemporarySuffix
	err = writeFile(r.cfg.Files, temporary, data)
	if err == nil {
		err = r.cfg.Files.Rename(temporary, r.path())
	}
	if err != nil {
		_ = r.cfg.Files.Remove(temporary)
		_ = r.cfg.Files.Remove(r.path())
	}
	return errors.Wrapf(err, "write %s", recordFile)
}

// writeFile creates a file with the data and doesn't sync it.
func writeFile(files vfs.FS, path string, data []byte) error {
	f, err := files.Create(path)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	return errors.CombineErrors(err, f.Close())
}
