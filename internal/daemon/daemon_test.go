package daemon

import (
	"bytes"
	"context"
	"expvar"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/hlc"
	"github.com/bilberryferry/bilberryferry/internal/event"
	"github.com/bilberryferry/bilberryferry/internal/settings"
)

// Guards against lost events: the last events before a shutdown are queued for the disk,
// and the process exits before they are written to the event file.
func TestLastEventsAreWrittenOnShutdown(t *testing.T) {
	const events = 500
	path := filepath.Join(t.TempDir(), "events.jsonl")
	file, err := event.OpenFile(path, event.DefaultFileBytes)
	must.NoError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	recorder := event.NewRecorder(event.Config{Clock: new(hlc.Clock), File: file})
	b := &Base{
		Settings: &settings.Settings{Timing: settings.Timing{Shutdown: settings.Duration(time.Minute)}},
		Events:   recorder, Logger: log.NewNopLogger(), Metrics: new(expvar.Map).Init(), Listener: listener,
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	must.NoError(t, b.Serve(ctx, Service{
		Handler:       http.NotFoundHandler(),
		Run:           func(ctx context.Context) error { <-ctx.Done(); return nil },
		BeginShutdown: func() {},
		Finish: func(context.Context) {
			for range events {
				recorder.Record("ends", "")
			}
		},
	}))
	text, err := os.ReadFile(path)
	must.NoError(t, err)
	must.Eq(t, events, bytes.Count(text, []byte{'\n'}))
}
