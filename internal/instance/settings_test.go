package instance

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/fault"
)

const validSettings = `instance = "core-1"
data_centre = "naas-hall"
address = "10.1.0.16"
internal_port = "7720"
control = "10.1.0.16:8166"
seeds = ["10.1.0.16:8166","10.2.0.32:8166","10.2.0.32:8167"]
first_start = true
data_folder = "/data"
adviser = "10.200.1.9:8169"
instances_lost = 1
[bounds]
lease_max = "10000ms"
`

func TestSettingsAreRead(t *testing.T) {
	s, err := Parse(validSettings)
	must.NoError(t, err)
	must.Eq(t, 10*time.Second, s.Bounds.MaxLease.Std())
	must.Eq(t, defaultBounds.EndedJobRetention, s.Bounds.EndedJobRetention)
	must.Eq(t, []string{"10.1.0.16", "10.2.0.32"}, s.seedHosts())
	must.Eq(t, []string{"10.1.0.16:7720", "10.2.0.32:7720"}, s.seedAddresses())
}

func TestInvalidSettingsErrorNamesTheField(t *testing.T) {
	for _, c := range []struct{ old, replacement, field string }{
		{`instance = "core-1"`, ``, "instance"},
		{`address = "10.1.0.16"`, `address = "core"`, "address"},
		{`internal_port = "7720"`, ``, "internal_port"},
		{`control = "10.1.0.16:8166"`, `control = "10.1.0.16"`, "control"},
		{`"10.2.0.32:8166"`, `"x"`, "seeds"},
		{`instances_lost = 1`, `instances_lost = -1`, "instances_lost"},
		{`instances_lost = 1`, `api = "10.1.0.16:7400"`, "api_token"},
		{`instances_lost = 1`, `worker_orders = "pull"`, "worker_orders"},
		{`instances_lost = 1`, `direct_calls = -1`, "direct_calls"},
		{`first_start = true`, `first = true`, "first"},
		{`lease_max = "10000ms"`, `lease_max = "10000"`, "settings"},
		{`lease_max = "10000ms"`, `lease_max =`, "settings"},
	} {
		_, err := Parse(strings.Replace(validSettings, c.old, c.replacement, 1))
		must.Error(t, err, must.Sprint(c))
		must.Eq(t, fault.Invalid, fault.KindOf(err))
		must.StrContains(t, err.Error(), c.field)
	}
}

// Guards against this failure: a leader that is to make no calls to workers itself makes as many as without the setting.
func TestDirectCallsOfZeroDifferFromTheDefault(t *testing.T) {
	for text, want := range map[string]int{"": 0, "direct_calls = 0": -1, "direct_calls = 40": 40} {
		s, err := Parse(text + "\n" + validSettings)
		must.NoError(t, err)
		must.Eq(t, want, s.maxDirectCallsPerSecond(), must.Sprint(text))
	}
}

func TestVotersKeepMajorityAfterToleratedFailures(t *testing.T) {
	must.Eq(t, 3, votersFor(0))
	must.Eq(t, 3, votersFor(1))
	must.Eq(t, 5, votersFor(2))
}

// Guards against a setting of the platform that is silently lost: the template that the
// deploy file names lacks the setting, or has it under a name that no code reads.
func TestTemplateHasEverySetting(t *testing.T) {
	text, err := os.ReadFile("../../deploy/settings.toml.tmpl")
	must.NoError(t, err)
	for _, name := range []string{
		"instance", "data_centre", "address", "internal_port", "metrics_address", "entry", "readiness", "control", "seeds",
		"first_start", "data_folder", "adviser", "instances_lost", "lease_max", "shown", "shutdown", "machine_list", "worker_orders", "holder_pause", "maintenance",
	} {
		must.StrContains(t, string(text), name+" = ")
	}
}
