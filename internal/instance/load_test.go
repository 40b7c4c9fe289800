package instance

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a process that ends because its settings are still being written.
func TestProcessWaitsForSettingsThatAreBeingWritten(t *testing.T) {
	text := newDaemonSettings(t, edgeRole).text()
	for _, cut := range []int{0, 5, strings.Index(text, "internal_port")} {
		path := writeSettings(t, text[:cut])
		time.AfterFunc(loadTimeout/2, func() { _ = os.WriteFile(path, []byte(text), 0o600) })
		daemon := startDaemon(t, edgeRole, path)
		daemon.awaitLog(t, "event=start")
		daemon.stop(t)
	}
}

// Guards against a process that waits for ever for settings that stay invalid.
func TestProcessEndsWithInvalidSettings(t *testing.T) {
	text := newDaemonSettings(t, edgeRole).text()
	daemon := startDaemon(t, edgeRole, writeSettings(t, text[:strings.Index(text, "internal_port")]))
	must.Eq(t, fmt.Sprintf("exit status %d", ExitSettings), daemon.awaitEnd(t).String())
	must.StrContains(t, daemon.output.String(), "internal_port")
}

// renderedSettings is the template of the deploy file as it is rendered.
const renderedSettings = `data_centre = "thamel-hall"
address = "10.1.0.15"
internal_port = "7720"
metrics_address = "10.1.0.15:9464"
control = "10.1.0.15:8166"
seeds = ["10.1.0.15:8166","10.2.0.32:8166","10.3.0.37:8166"]
memory_mb = 280
max_files = 4096
first_start = true
data_folder = "/data/core"
adviser = "10.200.1.9:8169"
machine_list = "10.200.0.79:8169"
worker_orders = "push"
terms = ["base","drain","config"]
instances_lost = 1
bounds.lease_max = "6000ms"
bounds.shown = "120s"
bounds.holder_pause = "3000ms"
bounds.maintenance = "2s"
bounds.shutdown = "6s"
# Required and last, so that a file that is still being written is never valid.
instance = "core-thamel-hall-1"`

// Guards against a process that runs with defaults in place of settings that weren't written yet.
func TestCutOffSettingsAreNeverValid(t *testing.T) {
	_, err := Parse(renderedSettings)
	must.NoError(t, err)
	for end := range len(renderedSettings) {
		_, err := Parse(renderedSettings[:end])
		must.Error(t, err, must.Sprint(renderedSettings[:end]))
	}
	template, err := os.ReadFile("../../deploy/settings.toml.tmpl")
	must.NoError(t, err)
	must.StrHasSuffix(t, "\ninstance = \"{{node}}\"\n", string(template))
}

// Guards against a template that renders a key without a value, which isn't TOML, where a value is
// empty or absent.
func TestTemplateQuotesOrSkipsEachAbsentValue(t *testing.T) {
	template, err := os.ReadFile("../../deploy/settings.toml.tmpl")
	must.NoError(t, err)
	for _, line := range strings.Split(string(template), "\n") {
		must.False(t, strings.Contains(line, "= {{") && !strings.Contains(line, "= {{.}}"), must.Sprint(line))
		must.StrNotContains(t, line, "|json", must.Sprint("null isn't TOML"))
	}
}
