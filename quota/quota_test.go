package quota_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"github.com/bilberryferry/bilberryferry/placement"
	"github.com/bilberryferry/bilberryferry/quota"
)

// cpu returns resources with an amount of CPU, in thousandths of a core, and nothing
// else.
func cpu(amount int64) placement.Resources { return placement.Resources{CPU: amount} }

// noUsage reports no usage for any customer.
func noUsage(string) placement.Resources { return placement.Resources{} }

// config returns a configuration with two initial owners and a CPU limit of the
// customer.
func config(version uint64, limit int64) quota.Config {
	return quota.Config{
		Version: version, InitialOwners: []string{"a", "b"},
		Limits: map[string]placement.Resources{customer: cpu(limit)},
	}
}

// newLedgerPair returns two ledgers under the same configuration.
func newLedgerPair(limit int64) (a, b *quota.Ledger) {
	a, b = quota.NewLedger("a"), quota.NewLedger("b")
	_, _ = a.Configure(config(1, limit)), b.Configure(config(1, limit))
	return a, b
}

// Guards against a customer that gets more than a lowered limit: one data centre has
// transferred its half of the old limit to the other and misses the version that
// lowers the limit.
func TestLoweredLimitHoldsAfterTransfer(t *testing.T) {
	a, b := newLedgerPair(100)
	half := b.Request("a", quota.Demand{Customer: customer, Amount: cpu(50)})
	transfer, err := a.Debit(quota.DebitCommand{Request: half}, noUsage)
	must.NoError(t, err)
	must.NoError(t, b.Configure(config(2, 40)))
	must.NoError(t, b.Credit(transfer))
	must.Eq(t, cpu(0), a.Allotment(customer))
	must.Eq(t, cpu(40), b.Allotment(customer))
	must.ErrorIs(t, b.Configure(config(1, 100)), quota.ErrOldVersion)
	must.NoError(t, a.Configure(config(3, 100)))
	must.Eq(t, cpu(0), a.Allotment(customer))
}

// Guards against a data centre that loses its allotment because a duplicated request
// is debited twice.
func TestDuplicateRequestDebitsOnce(t *testing.T) {
	a, b := newLedgerPair(100)
	request := b.Request("a", quota.Demand{Customer: customer, Amount: cpu(20)})
	transfer, err := a.Debit(quota.DebitCommand{Request: request}, noUsage)
	must.NoError(t, err)
	_, err = a.Debit(quota.DebitCommand{Request: request}, noUsage)
	must.ErrorIs(t, err, quota.ErrStale)
	must.NoError(t, b.Credit(transfer))
	a.Acknowledge(b.Request("a"))
	_, err = a.Debit(quota.DebitCommand{Request: request}, noUsage)
	must.ErrorIs(t, err, quota.ErrStale)
	must.Eq(t, cpu(30), a.Allotment(customer))
	must.Eq(t, cpu(70), b.Allotment(customer))
}

// Guards against debiting units that running or waiting work of the donor needs, so
// that the donor keeps less than its used and reserved units.
func TestDebitKeepsUsedAndReserved(t *testing.T) {
	a, b := newLedgerPair(100)
	request := b.Request("a", quota.Demand{Customer: customer, Amount: cpu(40)})
	used := func(string) placement.Resources { return cpu(35) }
	_, err := a.Debit(quota.DebitCommand{Request: request, Reserve: []placement.Resources{cpu(45)}}, used)
	must.NoError(t, err)
	must.Eq(t, cpu(45), a.Allotment(customer))
	_, err = a.Debit(quota.DebitCommand{Request: b.Request("a", request.Demands...)}, used)
	must.ErrorIs(t, err, quota.ErrStale)
}

// Guards against slots with two owners: a delayed transfer of an earlier generation is
// credited although the slots have been divided again.
func TestNewGenerationRejectsOldTransfers(t *testing.T) {
	a, b := newLedgerPair(100)
	request := b.Request("a", quota.Demand{Customer: customer, Amount: cpu(20)})
	transfer, _ := a.Debit(quota.DebitCommand{Request: request}, noUsage)
	next := config(2, 100)
	next.Generation = 1
	must.NoError(t, b.Configure(next))
	must.ErrorIs(t, b.Credit(transfer), quota.ErrOtherGeneration)
	must.NoError(t, a.Configure(next))
	_, err := a.Debit(quota.DebitCommand{Request: request}, noUsage)
	must.ErrorIs(t, err, quota.ErrOtherGeneration)
	must.Eq(t, cpu(50), a.Allotment(customer))
	must.Eq(t, cpu(50), b.Allotment(customer))
}

// Guards against allotments above the limit after a data centre lost its state and
// restarted with an empty one. The sequence numbers of the other data centre reveal
// the loss.
func TestLostStateIsDetected(t *testing.T) {
	a, b := newLedgerPair(100)
	first, _ := a.Debit(quota.DebitCommand{Request: b.Request("a", quota.Demand{Customer: customer, Amount: cpu(5)})}, noUsage)
	must.NoError(t, b.Credit(first))
	second, _ := a.Debit(quota.DebitCommand{Request: b.Request("a", quota.Demand{Customer: customer, Amount: cpu(5)})}, noUsage)
	blankA, blankB := newLedgerPair(100)
	must.ErrorIs(t, blankB.Credit(second), quota.ErrSequenceGap)
	_, err := blankA.Debit(quota.DebitCommand{Request: b.Request("a")}, noUsage)
	must.ErrorIs(t, err, quota.ErrSequenceGap)
}

// Guards against accepting an invalid configuration and against refusing a valid one.
func TestConfigCheckAcceptsOnlyValidSuccessors(t *testing.T) {
	c := config(1, 100)
	next := config(2, 100)
	next.InitialOwners = []string{"a", "c"}
	must.ErrorIs(t, c.Check(next), quota.ErrInitialOwners)
	next.Generation = 1
	must.NoError(t, c.Check(next))
	next.InitialOwners = []string{"a", "a"}
	must.ErrorIs(t, c.Check(next), quota.ErrInitialOwners)
	must.ErrorIs(t, c.Check(config(2, -2)), quota.ErrLimit)
	must.NoError(t, c.Check(config(2, quota.Unlimited)))
}

// Guards against allotments above the limit: two data centres list the initial owners
// in different orders, and both own the slots of the first one.
func TestInitialOwnersOrderDoesNotMatter(t *testing.T) {
	a, _ := newLedgerPair(3)
	b := quota.NewLedger("b")
	reordered := config(1, 3)
	reordered.InitialOwners = []string{"b", "a"}
	must.NoError(t, b.Configure(reordered))
	must.Eq(t, cpu(2), a.Allotment(customer))
	must.Eq(t, cpu(1), b.Allotment(customer))
	must.NoError(t, b.Configure(config(2, 3)))
}

// Guards against a demand that is never met although another data centre has spare
// units: all reports are outdated when the next request is due, and each request goes
// to the same data centre, which has nothing to spare.
func TestPlannerRotatesDonors(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	planner := quota.NewPlanner("a", names)
	ledger := quota.NewLedger("a")
	c := config(1, 100)
	c.InitialOwners = names
	must.NoError(t, ledger.Configure(c))
	donors := map[string]bool{}
	for range names[1:] {
		for range 10 {
			planner.Tick()
		}
		requests := planner.Requests(ledger, []quota.Demand{{Customer: customer, Amount: cpu(30)}})
		must.SliceLen(t, 1, requests)
		donors[requests[0].To] = true
		planner.Observe(quota.Reply{From: requests[0].To, To: "a", Availabilities: []quota.Availability{{Customer: customer}}})
	}
	must.MapLen(t, len(names)-1, donors)
}

// BenchmarkAllotment measures one read of an allotment, as each placement does.
func BenchmarkAllotment(b *testing.B) {
	a, _ := newLedgerPair(1 << 30)
	for b.Loop() {
		a.Allotment(customer)
	}
}

// BenchmarkTransfer measures a complete transfer of CPU slots of one customer: request,
// debit, credit and acknowledgement. It reports the sizes of the request ("ask-B"), of
// the transfer and of the state that the transfer adds to a snapshot.
func BenchmarkTransfer(b *testing.B) {
	donor, recipient := newLedgerPair(1 << 20)
	emptySnapshot, _ := donor.MarshalBinary()
	for n := 0; b.Loop(); n++ {
		if n%100 == 0 {
			donor, recipient = newLedgerPair(1 << 20)
		}
		request := recipient.Request("a", quota.Demand{Customer: customer, Amount: cpu(1 << 12)})
		transfer, _ := donor.Debit(quota.DebitCommand{Request: request}, noUsage)
		_ = recipient.Credit(transfer)
		donor.Acknowledge(recipient.Request("a"))
		if n == 0 {
			requestBytes, _ := cbor.Marshal(request)
			transferBytes, _ := cbor.Marshal(transfer)
			snapshotBytes, _ := donor.MarshalBinary()
			b.ReportMetric(float64(len(requestBytes)), "ask-B")
			b.ReportMetric(float64(len(transferBytes)), "transfer-B")
			b.ReportMetric(float64(len(snapshotBytes)-len(emptySnapshot)), "snapshot-B")
		}
	}
}
