package jobfile

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/fault"
)

const validJob = `name = "recalculation"
policy = "batch"
tasks = 3
cpu = "0.5"
memory = "4GiB"
runtime = "2s"
deadline = "+45s"
idempotent = true
payload = "bay 7"
max_attempts = 2
`

var now = time.Date(2030, 1, 2, 3, 4, 5, 0, time.UTC)

func TestParseFillsSpecFromFile(t *testing.T) {
	s, err := Parse([]byte(validJob), now)
	must.NoError(t, err)
	must.Eq(t, apiv1.Policy_POLICY_BATCH, s.Policy)
	must.Eq(t, 3, s.Tasks)
	must.Eq(t, 500, s.Need.CpuMilli)
	must.Eq(t, 4096, s.Need.MemoryMib)
	must.Eq(t, 2000, s.RuntimeMs)
	must.Eq(t, now.Add(45*time.Second).UnixMilli(), s.DeadlineUnixMs)
	must.Eq(t, "bay 7", string(s.Payload))
	for _, deadline := range []string{`"2030-01-02T06:00:00+01:00"`, `2030-01-02T05:00:00Z`} {
		s, err = Parse([]byte(strings.Replace(validJob, `"+45s"`, deadline, 1)), now)
		must.NoError(t, err)
		must.Eq(t, time.Date(2030, 1, 2, 5, 0, 0, 0, time.UTC).UnixMilli(), s.DeadlineUnixMs)
	}
	s, err = Parse([]byte("name = \"hub\"\npolicy = \"service\"\ncpu = 2\n"), now)
	must.NoError(t, err)
	must.Eq(t, 1, s.Tasks)
	must.True(t, s.Idempotent)
	_, err = Parse([]byte("name = \"hub\"\npolicy = \"service\"\ncpu = 2\nidempotent = false\n"), now)
	must.ErrorContains(t, err, "line 4: tasks of a service")
	must.Eq(t, 2000, s.Need.CpuMilli)
}

func TestParseRejectsInvalidValues(t *testing.T) {
	cases := []struct{ original, replacement, field, message string }{
		{"recalculation", "a b", "name", "line 1"},
		{"batch", "cron", "policy", `line 2: "cron" is none of`},
		{"tasks = 3", "tasks = 0", "tasks", "line 3"},
		{"tasks = 3", "tasks = 99999999999", "tasks", "line 3"},
		{"0.5", "half", "cpu", "line 4"},
		{"4GiB", "4", "memory", "line 5"},
		{`"2s"`, "2", "runtime", "isn't a duration with a unit"},
		{"2s", "0s", "runtime", "must be from 1ms"},
		{"+45s", "45s", "deadline", "neither a span"},
		{"+45s", "-45s", "deadline", "neither a span"},
		{"+45s", "+99999h", "deadline", "more than a year"},
		{"+45s", "2029-01-01T00:00:00Z", "deadline", "has passed"},
		{`"+45s"`, "7", "deadline", `"7" is neither a span`},
		{"deadline = \"+45s\"\n", "", "deadline", "is missing"},
		{"idempotent = true\n", "", "max_attempts", "only work with idempotent"},
		{"batch", "service", "runtime", "a service runs until"},
		{"deadline", "dedline", "dedline", `line 7: unknown key; did you mean "deadline"?`},
		{"\"4GiB\"\n", "\"4G", "", "line 5: "},
		{"cpu = \"0.5\"\nmemory = \"4GiB\"\n", "", "cpu", "the job needs nothing"},
	}
	for _, c := range cases {
		_, err := ParseNamed("f.toml", []byte(strings.Replace(validJob, c.original, c.replacement, 1)), now)
		must.Error(t, err)
		must.Eq(t, fault.Invalid, fault.KindOf(err))
		must.Eq(t, c.field, fault.From(err).Field)
		must.StrContains(t, fault.From(err).Message, c.message)
	}
}

// Any text must either be rejected with an error of kind Invalid or give a spec with tasks,
// a demand that isn't negative and, unless it is a service, a deadline in the future.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validJob))
	f.Add([]byte("name = \"hub\"\npolicy = \"service\"\ncpu = 2\n"))
	f.Add([]byte("deadline = 2030-01-02\n[a]\nb.c = 1"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(data, now)
		if err != nil {
			must.Eq(t, fault.Invalid, fault.KindOf(err))
			return
		}
		must.Positive(t, s.Tasks)
		must.True(t, s.Policy == apiv1.Policy_POLICY_SERVICE || s.DeadlineUnixMs > now.UnixMilli())
		must.True(t, s.Need.CpuMilli >= 0 && s.Need.MemoryMib >= 0 && s.Need.Accelerators >= 0)
	})
}
