package settings

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/fault"
)

// deploymentTOML returns the settings of a deployment of n data centres with three
// instances each.
func deploymentTOML(n int) string {
	var b strings.Builder
	b.WriteString("deployment = \"test\"\n")
	for dc := range n {
		for i := range 3 {
			fmt.Fprintf(&b, "[[instance]]\nid = \"dc%d-%d\"\ndata_centre = \"dc%d\"\n", dc, i, dc)
			fmt.Fprintf(&b, "entry = \"10.0.%d.%d:7400\"\nentry_admin = \"127.0.0.1:7401\"\n", dc, i+1)
			fmt.Fprintf(&b, "cell = \"10.0.%d.%d:7402\"\n", dc, i+1)
			if i == 0 {
				b.WriteString("data_folder = \"data\"\nconfig_voter = true\n")
			}
		}
	}
	b.WriteString("[tokens]\noperator_file = \"op\"\nworker_file = \"wk\"\nminion_file = \"mn\"\npeer_file = \"pr\"\n")
	b.WriteString("[[tokens.customer]]\nname = \"rackwise\"\nfile = \"cu\"\n")
	return b.String()
}

// writeDeployment writes a settings file and its token files to a new folder and
// returns the settings file's path.
func writeDeployment(t *testing.T, text string) string {
	t.Helper()
	folder := t.TempDir()
	for _, name := range []string{"op", "wk", "mn", "pr", "cu"} {
		must.NoError(t, os.WriteFile(filepath.Join(folder, name), []byte("secret-"+name+"\n"), 0o600))
	}
	path := filepath.Join(folder, "bilberry.toml")
	must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestLoadFillsDefaultsAndResolvesPaths(t *testing.T) {
	path := writeDeployment(t, deploymentTOML(3))
	s, err := Load(path)
	must.NoError(t, err)
	must.Eq(t, Default().Timing, s.Timing)
	must.Eq(t, Default().Limits, s.Limits)
	must.Eq(t, filepath.Join(filepath.Dir(path), "data"), s.Instances[0].DataFolder)
	must.Eq(t, []string{"dc0", "dc1", "dc2"}, s.DataCentres())
	must.Len(t, 3, s.ConfigVoters())
	must.Len(t, 3, s.CellMembers("dc1"))
	must.SliceEmpty(t, s.Warnings())
	_, err = s.Instance("absent")
	must.True(t, fault.Is(err, fault.NotFound))

	tokens, err := s.LoadTokens()
	must.NoError(t, err)
	identity, err := tokens.Authenticate("Bearer secret-cu")
	must.NoError(t, err)
	must.Eq(t, Identity{Role: Customer, Customer: "rackwise"}, identity)
	must.Eq(t, "secret-pr", tokens.Token(Peer))
	for _, wrong := range []string{"", "Bearer", "Bearer ", "secret-c", "secret-cu2", strings.Repeat("x", 1<<16)} {
		_, err = tokens.Authenticate(wrong)
		must.True(t, fault.Is(err, fault.Denied))
	}
	must.StrNotContains(t, fmt.Sprintf("%v %+v %#v", tokens, tokens, tokens), "secret")
}

func TestPrintedSettingsParseUnchanged(t *testing.T) {
	s, err := Load(writeDeployment(t, deploymentTOML(3)+"[timing]\ntick = \"20ms\"\n"))
	must.NoError(t, err)
	var firstOutput, secondOutput bytes.Buffer
	must.NoError(t, s.Print(&firstOutput))
	must.StrContains(t, firstOutput.String(), `tick           = "20ms"  # default "50ms"`)
	must.StrNotContains(t, firstOutput.String(), "secret-")
	reparsed, err := Parse("printed", firstOutput.Bytes(), "/elsewhere")
	must.NoError(t, err)
	must.NoError(t, reparsed.Print(&secondOutput))
	must.Eq(t, firstOutput.String(), secondOutput.String())
}

// cutBytes is how much of a half-written file is missing.
const cutBytes = 20

// An operator must be able to correct a settings file by the error message alone. It must
// name the file, the line and the key and say what is wrong.
func TestParseRejectsMistakes(t *testing.T) {
	valid := deploymentTOML(3)
	cases := []struct{ name, text, field, message string }{
		{"unknown key", valid + "[timing]\nheartbeet = \"1s\"\n", "timing.heartbeet", `line 71: unknown key; did you mean "heartbeat"?`},
		{"unknown key of one instance", strings.Replace(valid, "entry_admin", "entry_admni", 1), "instance.entry_admni", `line 6: unknown key; did you mean "entry_admin"?`},
		{"wrong case", strings.Replace(valid, "deployment", "Deployment", 1), "Deployment", `did you mean "deployment"?`},
		{"key of another table", valid + "[limits]\nheartbeat = \"1s\"\n", "limits.heartbeat", `did you mean "timing.heartbeat"?`},
		{"no unit", valid + "[timing]\ntick = 50\n", "timing.tick", `line 71: "50" isn't a duration with a unit`},
		{"wrong unit", valid + "[limits]\nbody = \"1ms\"\n", "limits.body", `line 71: "1ms" isn't a size with a unit`},
		{"wrong type", valid + "[limits]\nqueue = \"20k\"\n", "", `line 71`},
		{"not TOML", "deployment = \n", "deployment", "line 1"},
		{"duplicate key", valid + "[log]\nlevel = \"info\"\nlevel = \"info\"\n", "", "line 72: Key 'log.level' has already been defined"},
		{"half-written file", valid[:len(valid)-cutBytes], "", "line"},
		{"duplicate id", strings.Replace(valid, "dc1-0", "dc0-0", 1), "instance[3].id", `line 23: "dc0-0" is already the id of instance[0]`},
		{"duplicate address", strings.Replace(valid, "10.0.1.1:7400", "10.0.0.1:7402", 1), "instance[3].entry", "is already instance[0].cell"},
		{"host name", strings.Replace(valid, "10.0.0.1:7400", "localhost:7400", 1), "instance[0].entry", "isn't an IP address with a port"},
		{"every address", strings.Replace(valid, "10.0.0.1:7400", "0.0.0.0:7400", 1), "instance[0].entry", "can't be dialled"},
		{"path as id", strings.Replace(valid, "dc0-0", "../etc", 1), "instance[0].id", "isn't a name"},
		{"short election", valid + "[timing]\nelection = \"1s\"\n", "timing.election", "must be longer than twice timing.heartbeat"},
		{"lease below hold", valid + "[timing]\nworker_lease = \"3s\"\n", "timing.worker_lease", "must be longer than twice timing.renew_hold and a second"},
		{"negative", valid + "[timing]\ndrift = \"-1s\"\n", "timing.drift", "is negative"},
		{"unknown level", valid + "[log]\nlevel = \"loud\"\n", "log.level", "is none of"},
		{"voter majority", strings.ReplaceAll(valid, "cell = \"10.0.0.", "config_voter = true\ncell = \"10.0.0."), "config_voter", ""},
		{"no tokens", strings.Replace(valid, "peer_file = \"pr\"\n", "", 1), "tokens.peer_file", "the token file is missing"},
		{"customer twice", valid + "[[tokens.customer]]\nname = \"rackwise\"\nfile = \"x\"\n", "tokens.customer[1].name", "named twice"},
		{"deep nesting", "a = " + strings.Repeat("[", 100_000), "", "nest deeper"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("bilberry.toml", []byte(c.text), "/")
			must.Error(t, err)
			f := fault.From(err)
			must.Eq(t, fault.Invalid, f.Kind)
			if c.field != "" {
				must.StrContains(t, f.Field+f.Message, c.field)
			}
			must.StrContains(t, f.Message, c.message)
			must.StrContains(t, f.Message, "bilberry.toml")
			must.StrNotContains(t, f.Message, "\n")
		})
	}
}

// A data centre with the majority of the configuration voters is lost, and the
// configuration can't be changed any more. Such settings must be rejected.
func TestNoDataCentreHoldsConfigMajority(t *testing.T) {
	text := strings.Replace(deploymentTOML(3), "id = \"dc0-1\"\n", "id = \"dc0-1\"\nconfig_voter = true\n", 1)
	_, err := Parse("x", []byte(text), "/")
	must.NoError(t, err)
	text = strings.Replace(text, "id = \"dc0-2\"\n", "id = \"dc0-2\"\nconfig_voter = true\n", 1)
	_, err = Parse("x", []byte(text), "/")
	must.ErrorContains(t, err, "no single one may hold a majority")
}

// Witnesses in other data centres are the majority of the voters of a data centre's log.
// When the data centre is partitioned from all others, it can't commit. Such settings must
// be rejected.
func TestWitnessesAreAMinority(t *testing.T) {
	text := deploymentTOML(2)
	text = strings.Replace(text, "cell = \"10.0.0.3:7402\"\n", "", 1)
	s, err := Parse("x", []byte(text), "/")
	must.NoError(t, err)
	must.StrContains(t, strings.Join(s.Warnings(), "\n"), `data centre "dc0" has an even number of voters`)
	withWitness := strings.Replace(text, "id = \"dc1-2\"\n", "id = \"dc1-2\"\nwitness_for = [\"dc0\"]\n", 1)
	s, err = Parse("x", []byte(withWitness), "/")
	must.NoError(t, err)
	must.Len(t, 3, s.CellMembers("dc0"))
	must.StrNotContains(t, strings.Join(s.Warnings(), "\n"), `"dc0"`)
	twoWitnesses := strings.Replace(withWitness, "id = \"dc1-1\"\n", "id = \"dc1-1\"\nwitness_for = [\"dc0\"]\n", 1)
	_, err = Parse("x", []byte(twoWitnesses), "/")
	must.ErrorContains(t, err, "partitioned from the others, it could commit nothing")
}

func TestLoadRejectsInvalidFiles(t *testing.T) {
	for name, content := range map[string]string{"empty": " \n", "two lines": "a\nb\n", "same": "secret-cu"} {
		t.Run(name, func(t *testing.T) {
			path := writeDeployment(t, deploymentTOML(3))
			must.NoError(t, os.WriteFile(filepath.Join(filepath.Dir(path), "op"), []byte(content), 0o600))
			_, err := Load(path)
			must.True(t, fault.Is(err, fault.Invalid))
			must.StrNotContains(t, err.Error(), "secret")
		})
	}
	_, err := Load(filepath.Join(t.TempDir(), "absent.toml"))
	must.True(t, fault.Is(err, fault.Invalid))
	_, err = Load(t.TempDir())
	must.ErrorContains(t, err, "isn't a regular file")
}

// Any text must either be rejected with an error of kind Invalid on one line or give
// settings that Print writes in a form that Parse accepts.
func FuzzParse(f *testing.F) {
	f.Add([]byte(deploymentTOML(1)))
	f.Add([]byte("deployment = \"x\"\n[timing]\ntick = \"1h\"\n"))
	f.Add([]byte("[[instance]]\n[[instance.x]]\na.b = {c = [1,2]}\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse("fuzz", text, "/")
		if err != nil {
			must.Eq(t, fault.Invalid, fault.KindOf(err))
			must.StrNotContains(t, fault.From(err).Message, "\n")
			return
		}
		var out bytes.Buffer
		must.NoError(t, s.Print(&out))
		reparsedSettings, err := Parse("again", out.Bytes(), "/")
		must.NoError(t, err)
		must.Eq(t, s.Timing, reparsedSettings.Timing)
		must.Greater(t, 0, time.Duration(reparsedSettings.Timing.Tick))
	})
}
