package instance

import (
	"context"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/oplog"
)

// Guards against a process that ends because its settings file changes, and SIGHUP comes, while it starts.
func TestHangupDuringStartDoesNotEndTheProcess(t *testing.T) {
	const childEnv = "BILBERRY_TEST_CHILD"
	if path := os.Getenv(childEnv); path != "" {
		os.Args = []string{os.Args[0], path}
		os.Exit(Main(NewEdge(EdgeAdapters{})))
	}
	// The process waits in its start until the pipe with its settings is written.
	path := filepath.Join(t.TempDir(), "settings.toml")
	must.NoError(t, syscall.Mkfifo(path, 0o600))
	child := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
	child.Env = append(os.Environ(), childEnv+"="+path)
	must.NoError(t, child.Start())
	settings, err := os.OpenFile(path, os.O_WRONLY, 0)
	must.NoError(t, err)
	must.NoError(t, child.Process.Signal(syscall.SIGHUP))
	_, err = settings.WriteString("instance = \n")
	must.NoError(t, err)
	must.NoError(t, settings.Close())
	_ = child.Wait()
	must.Eq(t, ExitSettings, child.ProcessState.ExitCode(), must.Sprint(child.ProcessState))
}

// Guards against seeds that stay unknown because the settings file changes after the process has read it at its
// start and before it watches the file.
func TestSettingsChangedDuringStartAreApplied(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	read, err := Parse(validSettings)
	must.NoError(t, err)
	changedText := strings.ReplaceAll(validSettings, "10.2.0.32", "10.2.0.33")
	must.NoError(t, os.WriteFile(path, []byte(changedText), 0o600))
	sink := oplog.NewSink(io.Discard)
	defer sink.Close()
	p := &process{settings: read, settingsPath: path, sink: sink, logger: log.NewNopLogger()}
	ctx, cancel := context.WithTimeout(t.Context(), 5*reloadInterval)
	defer cancel()
	var seeds []string
	must.NoError(t, p.watchSettings(ctx, func(next *Settings) {
		seeds = next.seedHosts()
		cancel()
	}))
	must.Eq(t, []string{"10.1.0.16", "10.2.0.33"}, seeds)
}
