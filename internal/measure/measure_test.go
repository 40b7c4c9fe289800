package measure

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestRunMeasuresOwnProcess(t *testing.T) {
	requests := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests++
		_, _ = w.Write([]byte(`{"calls": ` + strings.Repeat("1", requests) + `, "peers": {"a": {"sent": ` + strconv.Itoa(requests) + `}, "b": {"sent": 5}, "c": 1}, "name": "x"}`))
	}))
	t.Cleanup(server.Close)
	usages, err := Run(t.Context(), Config{
		Processes: []Process{{Name: "self", PID: os.Getpid(), Admin: strings.TrimPrefix(server.URL, "http://")}},
		Interval:  5 * time.Millisecond,
		Duration:  20 * time.Millisecond,
		Counters:  []string{"calls", "peers.*.sent", "name", "missing"},
	})
	must.NoError(t, err)
	must.Len(t, 1, usages)
	must.Positive(t, usages[0].MemoryMiB)
	must.Positive(t, usages[0].ReadBytes)
	must.Positive(t, usages[0].Counters["calls"])
	must.Positive(t, usages[0].Counters["peers.*.sent"])
	must.MapLen(t, 2, usages[0].Counters)
	var text strings.Builder
	must.NoError(t, WriteUsages(&text, usages))
	must.StrContains(t, text.String(), "peers.*.sent/s")
}

// On a busy machine the first sample takes longer than the whole measurement. If Run ended
// after that sample, all rates would be zero and a busy process would be reported as idle.
func TestRunTakesTwoSamplesWhenFirstIsSlow(t *testing.T) {
	usages, err := Run(t.Context(), Config{
		Processes: []Process{{Name: "self", PID: os.Getpid()}},
		Interval:  5 * time.Millisecond,
		Duration:  time.Nanosecond,
	})
	must.NoError(t, err)
	must.Positive(t, usages[0].ReadBytes)
}

func TestRunReportsMissingProcess(t *testing.T) {
	_, err := Run(context.Background(), Config{Processes: []Process{{Name: "ghost", PID: -1}}})
	must.ErrorContains(t, err, "ghost")
}
