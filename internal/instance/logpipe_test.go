package instance

import (
	"net"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// startWithOutput starts an edge daemon whose standard output and error are file.
func startWithOutput(t *testing.T, settings daemonSettings, file *os.File) *daemonProcess {
	cmd := daemonCommand(edgeRole, writeSettings(t, settings.text()))
	cmd.Stdout, cmd.Stderr = file, file
	return startCommand(t, cmd)
}

// awaitListening waits until the daemon listens on an address.
func (d *daemonProcess) awaitListening(t *testing.T, address string) {
	t.Helper()
	for deadline := time.Now().Add(daemonTimeout); ; time.Sleep(time.Millisecond) {
		if conn, err := net.Dial("tcp", address); err == nil {
			must.NoError(t, conn.Close())
			return
		}
		select {
		case <-d.ended:
			t.Fatalf("the process ended: %s", d.cmd.ProcessState)
		default:
		}
		must.True(t, time.Now().Before(deadline))
	}
}

// Guards against SIGPIPE, which ends a process whose log has lost its reader.
func TestClosedLogPipeDoesNotEndProcess(t *testing.T) {
	reader, writer, err := os.Pipe()
	must.NoError(t, err)
	must.NoError(t, reader.Close())
	settings := newDaemonSettings(t, edgeRole)
	daemon := startWithOutput(t, settings, writer)
	must.NoError(t, writer.Close())
	daemon.awaitListening(t, settings.listenAddresses[0])
	daemon.stop(t)
}

// Guards against a process that stands still because nobody reads its log.
func TestBlockedLogPipeDoesNotStopProcess(t *testing.T) {
	reader, writer, err := os.Pipe()
	must.NoError(t, err)
	defer reader.Close()
	fillPipe(t, writer)
	settings := newDaemonSettings(t, edgeRole)
	daemon := startWithOutput(t, settings, writer)
	must.NoError(t, writer.Close())
	daemon.awaitListening(t, settings.listenAddresses[0])
	daemon.stop(t)
}

// fillPipe writes to a pipe until a write would block.
func fillPipe(t *testing.T, pipe *os.File) {
	must.NoError(t, pipe.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
	_, err := pipe.Write(make([]byte, 1<<21))
	must.ErrorIs(t, err, os.ErrDeadlineExceeded)
}
