package instance

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/oplog"
)

// Guards against calls of other instances and of the product API that are cut when a process stops, so
// that their callers don't learn whether anything was done.
func TestCallsInFlightGetTheirResponseWhenProcessStops(t *testing.T) {
	handlerTime := internalCloseTimeout / 4
	entered := make(chan struct{}, 1)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		entered <- struct{}{}
		time.Sleep(handlerTime)
		w.WriteHeader(http.StatusTeapot)
	})
	for _, called := range []string{"internal", "api"} {
		servers := map[string]*http.Server{"internal": newInternalServer("", handler), "api": newInternalServer("", handler)}
		c := &components{internalServer: servers["internal"], apiServer: servers["api"], metricsServer: newServer("", handler)}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		must.NoError(t, err)
		go func() { _ = servers[called].Serve(listener) }()
		go func() {
			<-entered
			c.close()
		}()
		response, err := http.Get("http://" + listener.Addr().String())
		must.NoError(t, err, must.Sprint(called))
		must.Eq(t, http.StatusTeapot, response.StatusCode)
		must.NoError(t, response.Body.Close())
	}
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
	p := &process{settings: read, settingsPath: path, settingsContent: validSettings, sink: sink, logger: log.NewNopLogger()}
	ctx, cancel := context.WithTimeout(t.Context(), 5*reloadInterval)
	defer cancel()
	var seeds []string
	must.NoError(t, p.watchSettings(ctx, func(next *Settings) {
		seeds = next.seedHosts()
		cancel()
	}))
	must.Eq(t, []string{"10.1.0.16", "10.2.0.33"}, seeds)
}
