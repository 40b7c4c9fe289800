package instance

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against the default action of SIGHUP, which ends a process that still reads its settings.
func TestHangupBeforeSettingsAreLoadedDoesNotEndProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	must.NoError(t, syscall.Mkfifo(path, 0o600))
	daemon := startDaemon(t, edgeRole, path)
	// The opening for writing succeeds only once the daemon reads its settings.
	fifo, err := os.OpenFile(path, os.O_WRONLY, 0)
	must.NoError(t, err)
	must.True(t, daemon.signal(syscall.SIGHUP))
	// The kernel delivers the signal at once, but the test must not depend on that.
	time.Sleep(50 * time.Millisecond)
	// The next reads find a regular file.
	settings := newDaemonSettings(t, edgeRole).text()
	must.NoError(t, os.Remove(path))
	must.NoError(t, os.WriteFile(path, []byte(settings), 0o600))
	_, err = fifo.WriteString(settings)
	must.NoError(t, err)
	must.NoError(t, fifo.Close())
	daemon.awaitLog(t, "event=start")
	daemon.stop(t)
}

// Guards against a handler of SIGHUP that is removed before the process has ended.
func TestHangupsWhileStoppingDoNotEndProcess(t *testing.T) {
	daemon := startDaemon(t, coreRole, writeSettings(t, newDaemonSettings(t, coreRole).text(`seeds = ["127.0.0.1:1"]`)))
	daemon.awaitLog(t, "event=start")
	must.True(t, daemon.signal(syscall.SIGTERM))
	for daemon.signal(syscall.SIGHUP) {
		time.Sleep(20 * time.Microsecond)
	}
	must.Eq(t, "exit status 0", daemon.awaitEnd(t).String(), must.Sprint(daemon.output.String()))
}

// Guards against a change of the settings between their load and the first check for changes.
func TestChangeRightAfterLoadIsApplied(t *testing.T) {
	settings := newDaemonSettings(t, edgeRole)
	path := filepath.Join(t.TempDir(), "settings.toml")
	must.NoError(t, syscall.Mkfifo(path, 0o600))
	daemon := startDaemon(t, edgeRole, path)
	fifo, err := os.OpenFile(path, os.O_WRONLY, 0)
	must.NoError(t, err)
	must.NoError(t, os.Remove(path))
	must.NoError(t, os.WriteFile(path, []byte(settings.text(`seeds = ["127.0.0.1:1"]`)), 0o600))
	_, err = fifo.WriteString(settings.text())
	must.NoError(t, err)
	must.NoError(t, fifo.Close())
	daemon.awaitLog(t, "event=reload")
	daemon.stop(t)
}
