package instance

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/hangup"
)

const (
	// daemonRoleEnv makes the test binary run as a daemon of this role.
	daemonRoleEnv = "INSTANCE_TEST_ROLE"
	edgeRole      = "edge"
	coreRole      = "core"
	// panickingRole is a core daemon that panics at its start, with clientPanic.
	panickingRole = "panicking_core"
	clientPanic   = "no client for tests"
	// daemonTimeout bounds each wait for a daemon.
	daemonTimeout = 20 * time.Second
	readinessPath = "/ready"
)

func TestMain(m *testing.M) {
	switch os.Getenv(daemonRoleEnv) {
	case edgeRole:
		os.Exit(Main(testEdge(), hangup.Signals))
	case coreRole:
		os.Exit(Main(testCore(), hangup.Signals))
	case panickingRole:
		os.Exit(Main(NewCore(CoreAdapters{NewDeploymentClient: newPanickingDeployment, NewControlHandler: emptyHandler}), hangup.Signals))
	}
	os.Exit(m.Run())
}

// noDeployment is the client of a deployment that no test calls.
type noDeployment struct{ DeploymentClient }

func newNoDeployment(DeploymentAddresses) DeploymentClient { return noDeployment{} }

func newPanickingDeployment(DeploymentAddresses) DeploymentClient { panic(clientPanic) }

func emptyHandler(*Operations, log.Logger) http.Handler { return http.NewServeMux() }

func testEdge() Daemon {
	return NewEdge(EdgeAdapters{NewDeploymentClient: newNoDeployment, NewEntryHandler: emptyHandler, ReadinessPath: readinessPath})
}

func testCore() Daemon {
	return NewCore(CoreAdapters{NewDeploymentClient: newNoDeployment, NewControlHandler: emptyHandler})
}

// daemonProcess is a daemon that runs as a process of its own.
type daemonProcess struct {
	cmd    *exec.Cmd
	output lockedBuffer
	// ended is closed when the process has ended.
	ended chan struct{}
}

// startDaemon starts a daemon of a role with the settings file at path.
func startDaemon(t *testing.T, role, path string) *daemonProcess {
	return startCommand(t, daemonCommand(role, path))
}

// startCommand starts a command that runs a daemon. It collects the output unless the command
// has one already.
func startCommand(t *testing.T, cmd *exec.Cmd) *daemonProcess {
	d := &daemonProcess{ended: make(chan struct{}), cmd: cmd}
	if cmd.Stdout == nil {
		cmd.Stdout, cmd.Stderr = &d.output, &d.output
	}
	must.NoError(t, d.cmd.Start())
	go func() {
		_ = d.cmd.Wait()
		close(d.ended)
	}()
	t.Cleanup(func() {
		_ = d.cmd.Process.Kill()
		<-d.ended
	})
	return d
}

func daemonCommand(role, path string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], path)
	cmd.Env = append(os.Environ(), daemonRoleEnv+"="+role)
	return cmd
}

// signal sends a signal and returns false if the process has ended.
func (d *daemonProcess) signal(s os.Signal) bool { return d.cmd.Process.Signal(s) == nil }

// awaitLog waits until the output contains text.
func (d *daemonProcess) awaitLog(t *testing.T, text string) {
	t.Helper()
	deadline := time.Now().Add(daemonTimeout)
	for !strings.Contains(d.output.String(), text) {
		select {
		case <-d.ended:
			must.StrContains(t, d.output.String(), text, must.Sprint("the process ended: ", d.cmd.ProcessState))
			return
		case <-time.After(time.Millisecond):
		}
		must.True(t, time.Now().Before(deadline), must.Sprintf("no %q in %s", text, d.output.String()))
	}
}

// awaitEnd waits until the process has ended and returns how.
func (d *daemonProcess) awaitEnd(t *testing.T) *os.ProcessState {
	t.Helper()
	select {
	case <-d.ended:
	case <-time.After(daemonTimeout):
		t.Fatalf("the process didn't end: %s", d.output.String())
	}
	return d.cmd.ProcessState
}

// stop stops the process with SIGTERM and requires a regular end.
func (d *daemonProcess) stop(t *testing.T) {
	t.Helper()
	must.True(t, d.signal(syscall.SIGTERM))
	must.Eq(t, "exit status 0", d.awaitEnd(t).String(), must.Sprint(d.output.String()))
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(data)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// daemonSettings are the settings of a daemon on loopback with addresses of its own.
type daemonSettings struct {
	internalPort, listeners string
	// listenAddresses are the addresses that listeners name.
	listenAddresses []string
}

// newDaemonSettings returns the settings of a daemon of a role with free addresses.
func newDaemonSettings(t *testing.T, role string) daemonSettings {
	_, port, err := net.SplitHostPort(freeAddress(t))
	must.NoError(t, err)
	first, second := freeAddress(t), freeAddress(t)
	if role == edgeRole {
		listeners := fmt.Sprintf("entry = %q\nreadiness = %q\n", first, second)
		return daemonSettings{internalPort: port, listeners: listeners, listenAddresses: []string{first, second}}
	}
	listeners := fmt.Sprintf("control = %q\ndata_folder = %q\n", first, t.TempDir())
	return daemonSettings{internalPort: port, listeners: listeners, listenAddresses: []string{first}}
}

// addresses returns all addresses that the daemon listens on.
func (s daemonSettings) addresses() []string {
	return append([]string{net.JoinHostPort("127.0.0.1", s.internalPort)}, s.listenAddresses...)
}

// text returns the settings file, with further lines at its end.
func (s daemonSettings) text(lines ...string) string {
	return fmt.Sprintf("instance = \"a\"\ndata_centre = \"d\"\naddress = \"127.0.0.1\"\ninternal_port = %q\n", s.internalPort) +
		s.listeners + strings.Join(append(lines, ""), "\n")
}

// freeAddress returns an address on loopback that no socket uses.
func freeAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// writeSettings writes a settings file and returns its path.
func writeSettings(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "settings.toml")
	must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}
