package descriptors

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// childEnv is the environment variable that makes the test binary run as the child
	// process. Its value is the folder in which the child creates files.
	childEnv = "DESCRIPTORS_TEST_CHILD"
	// childLimit is the descriptor limit of the child process.
	childLimit = 600
	// openedConnections is the number of connections that are opened to the child.
	openedConnections = 900
	// filesPerRequest is how many files the child has open during a request.
	filesPerRequest = 100
	// requestTimeout bounds one request.
	requestTimeout = 10 * time.Second
)

func TestMain(m *testing.M) {
	if folder := os.Getenv(childEnv); folder != "" {
		if err := runChild(folder); err != nil {
			fmt.Println("failed:", err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// runChild serves with a low limit of descriptors. Each request opens files, as a log does.
// The parent kills the process.
func runChild(folder string) error {
	limit := &syscall.Rlimit{Cur: childLimit, Max: childLimit}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, limit); err != nil {
		return err
	}
	budget, err := ForCore(0)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if err := openFiles(folder); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
		}
	})}
	LimitServer(server, "child", budget.FromExternal, false, &fakeCounter{})
	fmt.Println(listener.Addr())
	return server.Serve(listener)
}

// openFiles creates the files of one request and holds them open until it returns.
func openFiles(folder string) error {
	for i := range filesPerRequest {
		file, err := os.Create(filepath.Join(folder, fmt.Sprint(i)))
		if err != nil {
			return err
		}
		defer file.Close()
	}
	return nil
}

// Guards against running out of descriptors: more callers connect to a leader than the
// leader has descriptors. It stops accepting connections, and it exits when its log can't
// open the file of a snapshot.
func TestProcessServesAndOpensFilesDuringConnectionStorm(t *testing.T) {
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), childEnv+"="+t.TempDir())
	output, err := child.StdoutPipe()
	must.NoError(t, err)
	must.NoError(t, child.Start())
	t.Cleanup(func() {
		_ = child.Process.Kill()
		_ = child.Wait()
	})
	address, err := bufio.NewReader(output).ReadString('\n')
	must.NoError(t, err)
	address = strings.TrimSpace(address)

	for range openedConnections {
		conn, err := net.Dial("tcp", address)
		must.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
	}
	client := &http.Client{Timeout: requestTimeout}
	response, err := client.Get("http://" + address)
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, response.StatusCode)
	must.NoError(t, response.Body.Close())
}
