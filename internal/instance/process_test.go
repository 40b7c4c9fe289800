package instance

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
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
