package lastrun

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/panics"
	"github.com/bilberryferry/bilberryferry/internal/vfs"
	"github.com/bilberryferry/bilberryferry/internal/vfs/faulty"
)

// firstStart is when the first run of a test starts.
var firstStart = time.Date(2026, 1, 2, 3, 4, 5, 6, time.UTC)

// begin begins a run that starts some seconds after firstStart, and requires that it is recorded.
func begin(t *testing.T, folder string, seconds int) (*Run, Previous) {
	t.Helper()
	run, previous, err := Begin(configAt(folder, seconds))
	must.NoError(t, err)
	return run, previous
}

func configAt(folder string, seconds int) Config {
	return Config{Folder: folder, Files: vfs.OS{}, Now: firstStart.Add(time.Duration(seconds) * time.Second)}
}

// Guards against a start that doesn't say how the run before ended.
func TestStartTellsHowPreviousRunEnded(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "missing", "data")
	run, previous := begin(t, folder, 0)
	must.Eq(t, Previous{Outcome: None}, previous)
	must.NoError(t, run.End(nil))

	run, previous = begin(t, folder, 1)
	must.Eq(t, Previous{Outcome: Stopped, Started: firstStart}, previous)
	must.NoError(t, run.End(errors.New("no disk")))

	_, previous = begin(t, folder, 2)
	must.Eq(t, Previous{Outcome: Failed, Started: firstStart.Add(time.Second), Err: "no disk", StartsWithoutStop: 1}, previous)

	run, previous = begin(t, folder, 3)
	must.Eq(t, Previous{Outcome: Killed, Started: firstStart.Add(2 * time.Second), StartsWithoutStop: 2}, previous)
	must.NoError(t, run.End(nil))

	_, previous = begin(t, folder, 4)
	must.Eq(t, Previous{Outcome: Stopped, Started: firstStart.Add(3 * time.Second)}, previous)
}

// Guards against the end of a process that is taken for that of the process that has been started meanwhile.
func TestEndOfEarlierProcessLeavesLaterRecord(t *testing.T) {
	folder := t.TempDir()
	earlier, _ := begin(t, folder, 0)
	_, _ = begin(t, folder, 1)
	must.NoError(t, earlier.End(nil))
	_, previous := begin(t, folder, 2)
	must.Eq(t, Killed, previous.Outcome)
	must.Eq(t, 2, previous.StartsWithoutStop)
}

// Guards against a damaged record that ends a process or stays damaged.
func TestUnreadableRecordIsReplaced(t *testing.T) {
	for _, content := range []string{"", "\x00\x00\x00", `{"started":`, `{"started":1}`} {
		folder := t.TempDir()
		must.NoError(t, os.WriteFile(filepath.Join(folder, recordFile), []byte(content), 0o600))
		_, previous, err := Begin(configAt(folder, 0))
		must.Error(t, err)
		must.Eq(t, Unknown, previous.Outcome)
		_, previous = begin(t, folder, 1)
		must.Eq(t, Killed, previous.Outcome)
	}
}

// Guards against a full disk on which the record of an earlier run is taken for that of the last one.
func TestRecordThatCannotBeWrittenIsNotMistaken(t *testing.T) {
	folder := t.TempDir()
	stopped, _ := begin(t, folder, 0)
	must.NoError(t, stopped.End(nil))
	cfg := configAt(folder, 1)
	cfg.Files = faulty.New(vfs.OS{}, 0, 1, syscall.ENOSPC)
	_, previous, err := Begin(cfg)
	must.True(t, vfs.IsDiskFull(err))
	must.Eq(t, Stopped, previous.Outcome)
	_, previous = begin(t, folder, 2)
	must.Eq(t, None, previous.Outcome)
}

// Guards against a folder that can't be used and thereby ends the process.
func TestFolderThatCannotBeUsedIsAnErrorOnly(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file")
	must.NoError(t, os.WriteFile(path, nil, 0o600))
	cfg := configAt(path, 0)
	cfg.CrashOutput = true
	run, previous, err := Begin(cfg)
	must.Error(t, err)
	must.Eq(t, Unknown, previous.Outcome)
	must.NoError(t, run.End(nil))
}

// crashOfApply is the text of a panic as the runtime writes it.
const crashOfApply = `panic: control: log entry 8 can't be decoded:
	invalid UTF-8 string [recovered, repanicked]

goroutine 35 [running]:
panic({0xb2c4e0?, 0xc0001a2030?})
	/go/src/runtime/panic.go:783 +0x132
github.com/bilberryferry/bilberryferry/internal/control.(*StateMachine).Apply(0xc00011c000, {0xc0003a4000, 0x60, 0x200})
	/home/u/internal/control/statemachine.go:57 +0x1d4
golang.org/x/sync/errgroup.(*Group).Go.func1()
	/home/u/errgroup.go:93 +0x50
github.com/bilberryferry/bilberryferry/internal/node.(*Group).Run.func2(...)
	/home/u/internal/node/loop.go:12
created by github.com/bilberryferry/bilberryferry/internal/node.Open in goroutine 1
	/home/u/internal/node/node.go:99 +0x85
`

// outOfMemory is the text of a fatal error that has several stacks.
const outOfMemory = `fatal error: runtime: out of memory

runtime stack:
runtime.throw({0x8e4a2b?, 0x2030?})
	/go/src/runtime/panic.go:1094 +0x48

goroutine 7 [running]:
github.com/bilberryferry/bilberryferry/replica.(*Core).Step(0xc00011c000)
	/home/u/replica/core.go:7 +0x1d4

goroutine 1 [chan receive]:
github.com/bilberryferry/bilberryferry/internal/instance.Main()
	/home/u/internal/instance/process.go:110 +0x50
`

// Guards against a crash whose reason and place aren't in the line of the next start.
func TestCrashIsToldByReasonAndPlace(t *testing.T) {
	must.Eq(t, panics.Report{
		Reason: "panic: control: log entry 8 can't be decoded:; invalid UTF-8 string [recovered, repanicked]",
		Place:  "internal/control.(*StateMachine).Apply statemachine.go:57 < internal/node.(*Group).Run.func2 loop.go:12",
	}, parseCrash(crashOfApply))
	must.Eq(t, panics.Report{Reason: "fatal error: concurrent map writes"}, parseCrash("fatal error: concurrent map writes\n\ngoroutine 1 [running]:\n"))
	must.Eq(t, panics.Report{
		Reason: "fatal error: runtime: out of memory",
		Place:  "replica.(*Core).Step core.go:7",
	}, parseCrash(outOfMemory))
	must.Eq(t, panics.Report{}, parseCrash(""))
}
