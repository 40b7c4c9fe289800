package instance

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"testing"

	"github.com/shoenig/test/must"
)

// limitedCommand returns the command of an edge daemon under limits of descriptors.
func limitedCommand(settingsPath string, soft, hard int) *exec.Cmd {
	script := fmt.Sprintf("ulimit -Sn %d && ulimit -Hn %d && exec \"$0\" \"$1\"", soft, hard)
	cmd := exec.Command("sh", "-c", script, os.Args[0], settingsPath)
	cmd.Env = append(os.Environ(), daemonRoleEnv+"="+edgeRole)
	return cmd
}

// Guards against a process that ends because its soft limit of descriptors is low while its hard
// limit isn't.
func TestSoftLimitOfDescriptorsIsRaised(t *testing.T) {
	settings := newDaemonSettings(t, edgeRole)
	daemon := startCommand(t, limitedCommand(writeSettings(t, settings.text("max_files = 4096")), 256, 1024))
	daemon.awaitListening(t, settings.listenAddresses[0])
	daemon.stop(t)
}

// Guards against a process that ends with nothing on standard error.
func TestCauseOfFailureIsOnStandardError(t *testing.T) {
	cmd := limitedCommand(writeSettings(t, newDaemonSettings(t, edgeRole).text("max_files = 4096")), 256, 256)
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	must.Error(t, cmd.Run())
	must.Eq(t, ExitFailed, cmd.ProcessState.ExitCode())
	must.StrContains(t, stderr.String(), "max_files: the process may open 256 descriptors, at least 512 are needed")
}
