package instance

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/vfs"
)

// endWith ends a core daemon by a signal once it runs.
func endWith(t *testing.T, path string, signal syscall.Signal) {
	t.Helper()
	d := startDaemon(t, coreRole, path)
	d.awaitLog(t, "event=join")
	must.True(t, d.signal(signal))
	d.awaitEnd(t)
}

// Guards against a process that ends without its own words and whose next start doesn't say how.
func TestNextStartTellsHowProcessEnded(t *testing.T) {
	path := writeSettings(t, newDaemonSettings(t, coreRole).text())
	expected := func(text string) {
		t.Helper()
		d := startDaemon(t, coreRole, path)
		d.awaitLog(t, "event=previous_run "+text)
		d.stop(t)
	}
	expected("outcome=none starts_without_stop=0")
	expected("outcome=stopped starts_without_stop=0 started=")
	endWith(t, path, syscall.SIGKILL)
	endWith(t, path, syscall.SIGKILL)
	expected("outcome=killed starts_without_stop=2 started=")
	endWith(t, path, syscall.SIGABRT)
	crashed := startDaemon(t, coreRole, path)
	crashed.awaitLog(t, "event=previous_run outcome=panic starts_without_stop=1 started=")
	crashed.awaitLog(t, ` reason="SIGABRT: abort`)
	crashed.stop(t)
	expected("outcome=stopped starts_without_stop=0 started=")
}

// Guards against a panic whose reason and place are only on standard error, as text of many lines.
func TestNextStartTellsReasonAndPlaceOfPanic(t *testing.T) {
	path := writeSettings(t, newDaemonSettings(t, coreRole).text())
	for range 2 {
		panicked := startDaemon(t, panickingRole, path)
		must.Eq(t, "exit status 2", panicked.awaitEnd(t).String())
		panicked.awaitLog(t, `event=panic role=core reason="`+clientPanic+`" place="internal/instance.newPanickingDeployment daemon_test.go:`)
		must.StrContains(t, panicked.output.String(), "panic: "+clientPanic)
	}
	d := startDaemon(t, coreRole, path)
	d.awaitLog(t, "event=previous_run outcome=panic starts_without_stop=2 started=")
	d.awaitLog(t, ` reason="panic: `+clientPanic+` [recovered, repanicked]" place="internal/instance.newPanickingDeployment daemon_test.go:`)
	d.stop(t)
}

// Guards against a data folder that can't hold the record of a run and thereby ends the process.
func TestProcessStartsWhenItsRunCannotBeRecorded(t *testing.T) {
	settings := newDaemonSettings(t, coreRole)
	parsed, err := Parse(settings.text())
	must.NoError(t, err)
	must.NoError(t, os.Mkdir(filepath.Join(parsed.DataFolder, "last_run"), 0o700))
	must.NoError(t, os.Mkdir(filepath.Join(parsed.DataFolder, "last_run"+vfs.TemporarySuffix), 0o700))
	must.NoError(t, os.Mkdir(filepath.Join(parsed.DataFolder, "last_crash"), 0o700))
	d := startDaemon(t, coreRole, writeSettings(t, settings.text()))
	d.awaitLog(t, "event=run_record outcome=failed")
	d.awaitLog(t, "event=join")
	d.stop(t)
}

// Guards against an end without a line that says what asked for it.
func TestStopLineTellsWhatAskedForIt(t *testing.T) {
	causes := map[syscall.Signal]string{syscall.SIGTERM: "terminated", syscall.SIGINT: "interrupt"}
	for _, role := range []string{coreRole, edgeRole} {
		for signal, name := range causes {
			d := startDaemon(t, role, writeSettings(t, newDaemonSettings(t, role).text()))
			d.awaitLog(t, "event=start")
			must.True(t, d.signal(signal))
			must.Eq(t, "exit status 0", d.awaitEnd(t).String())
			d.awaitLog(t, "event=stop role="+role+` cause="`+name+` signal received" err=null`)
		}
	}
	failing := startDaemon(t, edgeRole, writeSettings(t, newDaemonSettings(t, edgeRole).text("max_files = 16")))
	must.Eq(t, "exit status 1", failing.awaitEnd(t).String())
	failing.awaitLog(t, "event=stop role=edge cause=failure err=")
}
