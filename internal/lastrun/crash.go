package lastrun

import (
	"io"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/internal/panics"
)

// maxCrashBytes bounds how much of the text of a crash is read. The reason and the goroutine that
// crashed come first.
const maxCrashBytes = 64 << 10

// crashPermissions are those of the file with the text of a crash.
const crashPermissions = 0o640

// beginCrashOutput reads and removes the text of an earlier crash, and makes the runtime write
// that of a later one.
func (r *Run) beginCrashOutput() (panics.Report, error) {
	if !r.cfg.CrashOutput {
		return panics.Report{}, nil
	}
	f, err := os.OpenFile(filepath.Join(r.cfg.Folder, crashFile), os.O_RDWR|os.O_CREATE|os.O_APPEND, crashPermissions)
	if err != nil {
		return panics.Report{}, err
	}
	text, readErr := io.ReadAll(io.LimitReader(f, maxCrashBytes))
	err = errors.CombineErrors(f.Truncate(0), debug.SetCrashOutput(f, debug.CrashOptions{}))
	// The runtime has a descriptor of its own.
	return parseCrash(string(text)), errors.CombineErrors(readErr, errors.CombineErrors(err, f.Close()))
}

// endCrashOutput makes the runtime write crashes to standard error only.
func (r *Run) endCrashOutput() {
	if r.cfg.CrashOutput {
		// Without a file there is nothing that can fail.
		_ = debug.SetCrashOutput(nil, debug.CrashOptions{})
	}
}

// parseCrash describes a crash by the text that the runtime wrote: the reason up to an empty line,
// and then the stacks of goroutines.
func parseCrash(text string) panics.Report {
	reason, stacks, _ := strings.Cut(strings.TrimLeft(text, "\n"), "\n\n")
	return panics.Report{Reason: panics.OneLine(reason), Place: panics.Place(stacks)}
}
