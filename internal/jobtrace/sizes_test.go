package jobtrace

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a summary that doesn't show that the largest jobs of a queue are served less often
// than the others, or that each of their starts costs more of the adviser's time.
func TestSummaryShowsServedJobsBySize(t *testing.T) {
	const jobs = 20
	var log strings.Builder
	for i := range jobs {
		fmt.Fprintf(&log, "ts=2026-01-01T00:00:00Z event=submit job=j%d queue=q outcome=accepted work_core_ms=%d\n", i, 1000*(jobs-i))
	}
	// j1 starts after two queries, j0 never does.
	for _, query := range []string{"j0/0/0 ms=700", "j1/0/0 ms=1200", "j1/0/0 ms=300"} {
		fmt.Fprintf(&log, "ts=2026-01-01T00:00:01Z event=permit step=%s\n", query)
	}
	fmt.Fprintln(&log, "ts=2026-01-01T00:00:01Z event=run_started task=j1/0/0/0")
	// j0 and j1 are the largest tenth, j2 to j5 the fifth below it: j0 has no end, j1 ends too late, j2 fails.
	for i := 1; i < jobs; i++ {
		end, phase := "02", "done"
		switch i {
		case 1:
			end = "07"
		case 2:
			phase = "failed"
		}
		fmt.Fprintf(&log, "ts=2026-01-01T00:00:%sZ event=job_ended job=j%d phase=%s objective_ms=2000\n", end, i, phase)
	}
	lines, err := Read(strings.NewReader(log.String()))
	must.NoError(t, err)
	summaries := Summarize(lines)
	must.SliceLen(t, 1, summaries)
	must.Eq(t, ServedJobs{Jobs: jobs, Started: 1, Served: 17, AdviserTime: 2200 * time.Millisecond}, summaries[0].All)
	must.Eq(t, ServedJobs{Jobs: 2, Started: 1, AdviserTime: 2200 * time.Millisecond}, summaries[0].Largest)
	must.Eq(t, ServedJobs{Jobs: 4, Served: 3}, summaries[0].NextLargest)
	must.Eq(t, 2200*time.Millisecond, summaries[0].Largest.AdviserTimePerStart())
	must.Eq(t, 0.75, summaries[0].NextLargest.Share())
}
