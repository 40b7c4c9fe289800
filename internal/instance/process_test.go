package instance

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/internal/oplog"
)

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
