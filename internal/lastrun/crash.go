package lastrun

import (
	"io"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	// maxCrashBytes bounds how much of the text of a crash is read. The reason and the goroutine that
	// crashed come first.
	maxCrashBytes = 64 << 10
	// maxReasonBytes and maxPlaceFrames bound the description of a crash.
	maxReasonBytes = 500
	maxPlaceFrames = 6
	// crashPermissions are those of the file with the text of a crash.
	crashPermissions = 0o640
)

// modulePath is the start of the names of this module's functions.
const modulePath = "github.com/bilberryferry/bilberryferry/"

// Crash describes the end of a process by the Go runtime.
type Crash struct {
	// Reason is the text of the panic or fatal error, as one line; "" if there was none.
	Reason string
	// Place names the innermost functions of this module on the stack, the innermost first.
	Place string
}

// beginCrashOutput reads and removes the text of an earlier crash, and makes the runtime write
// that of a later one.
func (r *Run) beginCrashOutput() (Crash, error) {
	if !r.cfg.CrashOutput {
		return Crash{}, nil
	}
	f, err := os.OpenFile(filepath.Join(r.cfg.Folder, crashFile), os.O_RDWR|os.O_CREATE|os.O_APPEND, crashPermissions)
	if err != nil {
		return Crash{}, err
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
// and then the stacks of goroutines, each with an empty line at its end.
func parseCrash(text string) Crash {
	reason, stacks, _ := strings.Cut(strings.TrimLeft(text, "\n"), "\n\n")
	var lines []string
	for line := range strings.Lines(reason) {
		lines = append(lines, strings.TrimSpace(line))
	}
	return Crash{Reason: shorten(strings.Join(lines, "; "), maxReasonBytes), Place: firstPlace(stacks)}
}

// firstPlace names the functions of this module on the first stack that has any.
func firstPlace(stacks string) string {
	for stack := range strings.SplitSeq(stacks, "\n\n") {
		if place := framesOfModule(stack); len(place) > 0 {
			return strings.Join(place, " < ")
		}
	}
	return ""
}

// framesOfModule returns the innermost frames of this module on a stack.
func framesOfModule(stack string) []string {
	var frames []string
	lines := strings.Split(stack, "\n")
	for i, line := range lines[:len(lines)-1] {
		if strings.HasPrefix(line, modulePath) && len(frames) < maxPlaceFrames {
			frames = append(frames, frameName(line, lines[i+1]))
		}
	}
	return frames
}

// frameName returns a frame of a stack as package, function, file and line, without arguments.
func frameName(call, position string) string {
	function := strings.TrimPrefix(call, modulePath)
	if end := strings.LastIndex(function, "("); end > 0 {
		function = function[:end]
	}
	position, _, _ = strings.Cut(strings.TrimSpace(position), " ")
	return function + " " + filepath.Base(position)
}
