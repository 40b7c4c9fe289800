package lease_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/lease"
)

// at returns a reading of a monotonic clock in seconds as a duration.
func at(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// header returns the header of a command.
func header(incarnation, term, number uint64) lease.Header {
	return lease.Header{Incarnation: incarnation, Position: lease.Position{Term: term, Number: number}}
}

// testAttempt is the attempt that most tests use.
var testAttempt = lease.Attempt{Job: "folio", Attempt: 1}

// Guards against a task that still runs after it was started elsewhere: the worker's
// process is suspended, its lease expires, and the leader declares the lease ended
// and dies. The process resumes and renews, and the new leader, which doesn't know
// that the lease has ended, grants one.
func TestGrantAfterExpiryIsIgnored(t *testing.T) {
	for _, sentAt := range []float64{9, 13} {
		var h lease.Holder
		h.RecordSent(1, at(0))
		h.RecordGranted(1, ttl, at(1))
		h.RecordSent(2, at(sentAt))
		h.RecordGranted(2, ttl, at(14))
		must.False(t, h.Valid(at(14)))
		must.True(t, h.Expired())
	}
}

// Guards against a task that still runs after it was started elsewhere: the response
// to a renewal takes longer than the lease, and the worker counts the lease from the
// arrival of the response.
func TestLeaseCountsFromSending(t *testing.T) {
	var h lease.Holder
	h.RecordSent(1, at(0))
	h.RecordSent(1, at(5))
	h.RecordGranted(1, ttl, at(9))
	must.Eq(t, at(10), h.ExpiresAt())
	must.True(t, h.Valid(at(9.9)))
	must.False(t, h.Valid(at(10)))
	h.RecordSent(2, at(9))
	h.RecordGranted(2, ttl, at(9.5))
	must.False(t, h.Valid(at(9.6)), must.Sprint("the lease was found expired and must stay so until Reset"))
}

// Guards against a lease that the owner didn't grant: the worker takes a delayed
// response to a renewal of its old incarnation for a grant to the new one.
func TestResponseToEarlierIncarnationIsIgnored(t *testing.T) {
	var h lease.Holder
	h.RecordSent(1, at(0))
	h.Reset()
	h.RecordSent(1, at(9))
	h.RecordGranted(1, ttl, at(9))
	must.False(t, h.Valid(at(9)))
	h.RecordSent(2, at(9))
	h.RecordGranted(2, ttl, at(9))
	must.True(t, h.Valid(at(9)))
}

// Guards against a dead worker that counts as live, so that its tasks aren't started
// elsewhere, as long as duplicates of its last renewal arrive.
func TestDuplicateRenewalIsIgnored(t *testing.T) {
	table := lease.NewTable(ttl, drift)
	must.Eq(t, lease.Renewal{Accepted: true, Unknown: true}, table.Renew("w", 3, 7, at(0)))
	must.Eq(t, lease.Renewal{Stale: true}, table.Renew("w", 3, 7, at(9)))
	must.Eq(t, lease.Renewal{Stale: true}, table.Renew("w", 3, 6, at(9)))
	must.Eq(t, lease.Renewal{Stale: true, Ended: true}, table.Renew("w", 2, 9, at(9)))
	must.True(t, table.Live("w", at(9.9)))
	must.False(t, table.Live("w", at(10)))
	must.SliceEmpty(t, table.Expired(at(11.9)))
	must.False(t, table.Fenced("w", 3))
	must.Eq(t, []string{"w"}, table.Expired(at(12)))
	must.SliceEmpty(t, table.Expired(at(13)), must.Sprint("each expiry must be returned only once"))
	must.True(t, table.Fenced("w", 3))
}

// Guards against a task that runs twice: its worker's lease was declared ended, the
// task was started elsewhere, and a delayed renewal makes the old incarnation live
// again.
func TestEndedIncarnationStaysEnded(t *testing.T) {
	table := lease.NewTable(ttl, drift)
	table.Renew("w", 3, 1, at(0))
	table.Expired(at(12))
	late := table.Renew("w", 3, 2, at(13))
	must.True(t, late.Ended)
	must.False(t, late.Grants())
	must.True(t, table.Fenced("w", 3))
	renewed := table.Renew("w", 4, 3, at(14))
	must.True(t, renewed.Accepted && renewed.NewIncarnation)
	must.True(t, table.Fenced("w", 3))
	must.False(t, table.Fenced("w", 4))
	must.False(t, table.Leave("w", 3))
	must.True(t, table.Leave("w", 4))
	must.True(t, table.Renew("w", 4, 9, at(15)).Ended)
}

// Guards against a task that runs twice: a new leader has received no renewal from a
// worker and starts the worker's task elsewhere, while the worker still runs the task
// under a lease of the previous leader.
func TestNewLeaderWaitsForWorkersThatHaveNotRenewed(t *testing.T) {
	table := lease.NewTable(ttl, drift)
	table.TakeOver(at(100), []string{"renewed", "unresponsive"})
	table.RecordIncarnation("renewed", 6)
	table.RecordIncarnation("unresponsive", 6)
	must.True(t, table.Renew("renewed", 5, 1, at(101)).Stale, must.Sprint("incarnation 6 is committed"))
	must.False(t, table.Live("renewed", at(101)))
	must.True(t, table.Renew("renewed", 6, 1, at(101)).Unknown)
	must.True(t, table.Live("renewed", at(101)))
	must.False(t, table.Fenced("unresponsive", 6))
	must.SliceEmpty(t, table.Expired(at(111.9)))
	next, found := table.NextExpiry()
	must.True(t, found)
	must.Eq(t, at(112), next)
	must.Eq(t, []string{"unresponsive"}, table.Expired(at(112)))
	must.True(t, table.Fenced("unresponsive", 6))
	must.False(t, table.Fenced("never seen", 1))
}

// Guards against a task that runs twice on one worker: its start is issued twice, the
// task runs and ends, the owner acknowledges the end, and the second start arrives
// after that.
func TestAcknowledgedAttemptRejectsLateStart(t *testing.T) {
	guard, outbox := lease.NewGuard(1), lease.NewOutbox[string](1, 1)
	first, second := outbox.Add("start"), outbox.Add("start")
	must.NoError(t, guard.Start(first, testAttempt))
	must.NoError(t, guard.End(testAttempt))
	guard.Acknowledge([]lease.Attempt{testAttempt}, lease.Position{})
	guard.Acknowledge([]lease.Attempt{testAttempt}, outbox.Position())
	must.ErrorIs(t, guard.Start(second, testAttempt), lease.ErrEnded)
	must.Eq(t, 0, guard.AttemptCount())
	must.ErrorIs(t, guard.Start(second, testAttempt), lease.ErrDuplicate)
}

// Guards against a task that runs after it was reported as not started: a stop
// overtakes the start that an earlier leader sent, or a duplicate of the start
// arrives after the owner has acknowledged the report.
func TestStopBeforeStartIsFinal(t *testing.T) {
	guard := lease.NewGuard(1)
	result, err := guard.Stop(header(1, 2, 1), testAttempt)
	must.NoError(t, err)
	must.Eq(t, lease.StopBeforeStart, result)
	must.ErrorIs(t, guard.Start(header(1, 1, 1), testAttempt), lease.ErrOldTerm)
	must.ErrorIs(t, guard.Start(header(1, 2, 2), testAttempt), lease.ErrStopped)
	must.Eq(t, []lease.Attempt{testAttempt}, guard.Unacknowledged())
	guard.Acknowledge([]lease.Attempt{testAttempt}, lease.Position{Term: 3})
	must.Eq(t, 0, guard.AttemptCount())
	must.ErrorIs(t, guard.Start(header(1, 2, 3), testAttempt), lease.ErrOldTerm)
}

// Guards against executing a command that is for another incarnation, of an earlier
// leader term, a duplicate or out of order.
func TestGuardRefusesInvalidCommands(t *testing.T) {
	guard := lease.NewGuard(4)
	must.ErrorIs(t, guard.Start(header(3, 1, 1), testAttempt), lease.ErrOtherIncarnation)
	must.ErrorIs(t, guard.Start(header(5, 1, 1), testAttempt), lease.ErrOtherIncarnation)
	must.ErrorIs(t, guard.Start(header(4, 1, 2), testAttempt), lease.ErrSequenceGap)
	must.NoError(t, guard.Start(header(4, 1, 1), testAttempt))
	must.ErrorIs(t, guard.Start(header(4, 1, 1), testAttempt), lease.ErrDuplicate)
	must.ErrorIs(t, guard.Start(header(4, 2, 1), testAttempt), lease.ErrRunning)
	must.ErrorIs(t, guard.Start(header(4, 1, 2), testAttempt), lease.ErrOldTerm)
	must.ErrorIs(t, guard.ObserveTerm(1), lease.ErrOldTerm)
	must.NoError(t, guard.ObserveTerm(3))
	must.ErrorIs(t, guard.Start(header(4, 2, 2), testAttempt), lease.ErrOldTerm)
	must.Eq(t, []lease.Attempt{testAttempt}, guard.Running())
	must.NoError(t, guard.End(testAttempt))
	must.ErrorIs(t, guard.End(testAttempt), lease.ErrNotRunning)
	guard.Restart(5)
	must.ErrorIs(t, guard.Start(header(4, 3, 1), testAttempt), lease.ErrOtherIncarnation)
}

// Guards against attempt records that grow without bound while the owner acknowledges
// nothing, and against losing a command that was refused because of the limit: sent
// again later, it must be accepted.
func TestGuardLimitsAttemptRecords(t *testing.T) {
	guard := lease.NewGuard(1)
	for i := range lease.MaxAttemptRecords {
		a := lease.Attempt{Job: "j", Task: int32(i)}
		must.NoError(t, guard.Start(header(1, 1, uint64(i+1)), a))
		must.NoError(t, guard.End(a))
	}
	next := header(1, 1, lease.MaxAttemptRecords+1)
	must.ErrorIs(t, guard.Start(next, testAttempt), lease.ErrFull)
	guard.Acknowledge([]lease.Attempt{{Job: "j"}}, lease.Position{Term: 1, Number: 1})
	must.NoError(t, guard.Start(next, testAttempt))
}

// Example shows a worker that renews its lease and executes a command once, and the
// expiry of the lease at the worker and at the owner.
func Example() {
	table := lease.NewTable(10*time.Second, 2*time.Second)
	var holder lease.Holder
	guard := lease.NewGuard(1)

	// The worker sends a renewal; the owner responds with a command.
	holder.RecordSent(1, 0)
	renewal := table.Renew("worker-1", 1, 1, 500*time.Second)
	outbox := lease.NewOutbox[string](7, 1)
	outbox.Add("start")
	if renewal.Grants() {
		holder.RecordGranted(1, table.TTL(), time.Second)
	}
	start := outbox.Pending(1)[0]
	attempt := lease.Attempt{Job: "folio", Attempt: 1}
	fmt.Println(holder.Valid(time.Second), guard.Start(start.Header, attempt))
	fmt.Println(guard.Start(start.Header, attempt))

	// The lease expires because no more renewals arrive.
	fmt.Println(holder.ExpiresAt(), holder.Valid(11*time.Second))
	fmt.Println(table.Expired(512*time.Second), table.Fenced("worker-1", 1))
	// Output:
	// true <nil>
	// lease: command was processed before
	// 10s false
	// [worker-1] true
}

// BenchmarkRenew measures one renewal at the owner with 450 workers.
func BenchmarkRenew(b *testing.B) {
	const workers = 450
	table := lease.NewTable(ttl, drift)
	var ids [workers]string
	for i := range ids {
		ids[i] = fmt.Sprintf("worker-%03d", i)
	}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		table.Renew(ids[n%workers], 1, uint64(n/workers+1), time.Duration(n)*time.Millisecond)
		n++
	}
	b.ReportMetric(float64(n)/b.Elapsed().Seconds(), "renewals/s")
}

// BenchmarkExpired measures one check for expired leases among 450.
func BenchmarkExpired(b *testing.B) {
	const workers = 450
	table := lease.NewTable(ttl, drift)
	for i := range workers {
		table.Renew(fmt.Sprintf("worker-%03d", i), 1, 1, 0)
	}
	for b.Loop() {
		table.Expired(0)
	}
}

// BenchmarkGuard measures all calls of a Guard for one attempt.
func BenchmarkGuard(b *testing.B) {
	guard := lease.NewGuard(1)
	n := uint64(0)
	for b.Loop() {
		n++
		_ = guard.Start(header(1, 1, n), testAttempt)
		_ = guard.End(testAttempt)
		guard.Acknowledge([]lease.Attempt{testAttempt}, lease.Position{Term: 1, Number: n})
	}
}

// BenchmarkRenewalBytes reports the sizes of a renewal without reports and of its
// response without commands, both without the framing of the transport.
func BenchmarkRenewalBytes(b *testing.B) {
	request := &apiv1.RenewRequest{Worker: "rackwise-naas-042", Incarnation: 1796236685000, Sequence: 30000, HoldMs: 3000, Term: 12, CommandAck: 5000}
	response := &apiv1.RenewResponse{Term: 12, LeaseMs: 10000, Sequence: 30000}
	for b.Loop() {
		b.ReportMetric(float64(proto.Size(request)), "request-B")
		b.ReportMetric(float64(proto.Size(response)), "answer-B")
	}
}
