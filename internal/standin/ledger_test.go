package standin

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
)

// A run that overlaps a period only in part, or not at all, counts in the mean usage of
// the period as if it filled the period. Here two runs overlap half of the period each,
// and one ends before it.
func TestMeanUsageWeighsRunsByOverlap(t *testing.T) {
	ledger := NewLedger()
	from := time.Unix(1000, 0)
	need := &apiv1.Resources{CpuMilli: 1000, MemoryMib: 100}
	half := ledger.Start(RunRecord{Job: "half", Demand: need, Start: from.Add(-time.Second)}, false)
	ledger.End(half, apiv1.Outcome_OUTCOME_FINISHED, from.Add(5*time.Second))
	ledger.Start(RunRecord{Job: "open", Demand: need, Start: from.Add(5 * time.Second)}, false)
	before := ledger.Start(RunRecord{Job: "before", Demand: need, Start: from.Add(-2 * time.Second)}, false)
	ledger.End(before, apiv1.Outcome_OUTCOME_FINISHED, from.Add(-time.Second))
	used := ledger.MeanUsage(from, from.Add(10*time.Second))
	must.Eq(t, 1000, used.CpuMilli)
	must.Eq(t, 100, used.MemoryMib)
}

// The submitter receives the job's id, and marks the job as non-idempotent, only after the
// job's task has started twice. The two starts must still count as a violation.
func TestLedgerCountsStartsBeforeMarkNonIdempotent(t *testing.T) {
	ledger := NewLedger()
	for range 2 {
		run := ledger.Start(RunRecord{Job: "issue", Start: time.Now()}, false)
		ledger.End(run, apiv1.Outcome_OUTCOME_FAILED, time.Now())
	}
	must.SliceEmpty(t, ledger.Violations())
	ledger.MarkNonIdempotent("issue")
	must.Len(t, 1, ledger.Violations())
	must.Eq(t, DuplicateStart, ledger.Violations()[0].Kind)
}
