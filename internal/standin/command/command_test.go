package command

import (
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
)

// A command with missing, unreadable or invalid arguments must exit with 2. With 1, a
// script would take a usage error for a violation.
func TestUsageErrorsExitWithCodeTwo(t *testing.T) {
	for _, args := range [][]string{
		{"nonsense"},
		{"workers"},
		{"workers", "-entries", "127.0.0.1:1"},
		{"workers", "-settings", "missing.toml"},
		{"minions", "-entries", "127.0.0.1:1"},
		{"callers", "-entries", "127.0.0.1:1"},
		{"jobs", "-entries", "127.0.0.1:1"},
		{"measure"},
		{"measure", "x=y"},
		{"changes"},
		{"fit"},
		{"fit", "1=missing.json"},
	} {
		must.Eq(t, 2, Main(args, io.Discard, io.Discard), must.Sprint(args))
	}
}

// A line of the file of -processes has no admin address and more fields than expected. The
// measurement must accept such a line and print the process.
func TestMeasureIgnoresFurtherFieldsOfProcessesFile(t *testing.T) {
	processesFile := filepath.Join(t.TempDir(), "processes")
	must.NoError(t, os.WriteFile(processesFile, []byte("self "+strconv.Itoa(os.Getpid())+" - 12345\n"), 0o600))
	var out strings.Builder
	must.Eq(t, 0, Main([]string{"measure", "-processes", processesFile, "-duration", "1ms"}, &out, io.Discard))
	must.StrContains(t, out.String(), "self")
}

// A field of a job file is lost or converted wrongly, such as memory in GiB or a deadline
// relative to the submission.
func TestReadTemplateConvertsJobFile(t *testing.T) {
	path := filepath.Join("..", "..", "..", "examples", "rackwise", "jobs", "bay-recalculation.toml")
	arrival, err := readTemplate(path)
	must.NoError(t, err)
	must.Eq(t, apiv1.Policy_POLICY_GANG, arrival.Spec.Policy)
	must.Eq(t, 8, arrival.Spec.Tasks)
	must.Eq(t, 8000, arrival.Spec.Need.CpuMilli)
	must.Eq(t, 16384, arrival.Spec.Need.MemoryMib)
	must.Eq(t, 20*time.Second, arrival.Deadline.Round(time.Second))
	must.False(t, arrival.Spec.Idempotent)
}
