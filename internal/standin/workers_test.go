package standin

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
)

const testWorker = "hall-w000"

// workerCPUMilli is the CPU capacity of each worker, in millicores. It is enough for two
// tasks of taskCPUMilli.
const workerCPUMilli = 2000

// startWorkers runs count workers whose entry addresses are those of the owners, and
// waits until all hold a lease.
func startWorkers(t *testing.T, count int, faults WorkerFaults, owners ...*fakeOwner) *Workers {
	t.Helper()
	dataCentre := DataCentre{Name: "hall"}
	for _, owner := range owners {
		dataCentre.Entries = append(dataCentre.Entries, serve(t, apiv1.NewWorkerGatewayServer(owner)))
	}
	fleet := NewWorkers(WorkersConfig{
		DataCentres: []DataCentre{dataCentre},
		Count:       count,
		Capacity:    &apiv1.Resources{CpuMilli: workerCPUMilli, MemoryMib: 1024},
		RenewHold:   100 * time.Millisecond,
		Seed:        1,
		Faults:      faults,
		FaultyCount: count,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- fleet.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		must.NoError(t, <-done)
	})
	eventually(t, "all workers hold a lease", func() bool { return fleet.Ready() == count })
	return fleet
}

// A task isn't run, or its outcome is reported wrongly. One payload is JSON and the task
// must finish, the other is TOML and asks for a failure.
func TestWorkerRunsTaskAndReports(t *testing.T) {
	owner := newFakeOwner(time.Second)
	fleet := startWorkers(t, 1, WorkerFaults{}, owner)
	owner.queueStart(testWorker, "good", 1, `{"runtime_ms": 5}`)
	owner.queueStart(testWorker, "bad", 1, "runtime_ms = 5\nfail = true")
	eventually(t, "both reports", func() bool {
		return len(owner.outcomes("good")) == 1 && len(owner.outcomes("bad")) == 1
	})
	must.Eq(t, []apiv1.Outcome{apiv1.Outcome_OUTCOME_FINISHED}, owner.outcomes("good"))
	must.Eq(t, []apiv1.Outcome{apiv1.Outcome_OUTCOME_FAILED}, owner.outcomes("bad"))
	must.SliceEmpty(t, fleet.Ledger().Violations())
}

// A service's task has no run time and must end when it is stopped. An attempt whose stop
// arrives before its start must be reported as not started, and the later start must
// neither run nor cause a second report. Reports are blocked until the start has been
// processed, because an owner issues no start of an attempt whose end it has acknowledged.
func TestStopCommandEndsRunOrPreventsStart(t *testing.T) {
	owner := newFakeOwner(time.Second)
	fleet := startWorkers(t, 1, WorkerFaults{}, owner)
	owner.queueStart(testWorker, "service", 1, "")
	eventually(t, "service runs", func() bool { return fleet.Running() == 1 })
	release := owner.blockReports()
	owner.queueStop(testWorker, "service", 1)
	owner.queueStop(testWorker, "never", 1)
	owner.queueStart(testWorker, "never", 1, "")
	eventually(t, "all commands processed", func() bool { return owner.processedAll(testWorker) })
	release()
	owner.queueStart(testWorker, "last", 1, "runtime_ms = 1")
	eventually(t, "last report", func() bool { return len(owner.outcomes("last")) == 1 })
	must.Eq(t, []apiv1.Outcome{apiv1.Outcome_OUTCOME_STOPPED}, owner.outcomes("service"))
	must.Eq(t, []apiv1.Outcome{apiv1.Outcome_OUTCOME_NOT_STARTED}, owner.outcomes("never"))
	must.Eq(t, 2, fleet.Ledger().Starts())
}

// A worker process hangs while its task runs. Its lease expires and the owner starts the
// task on another worker. Two attempts run at the same time if the first worker hasn't
// stopped its task when its lease expires.
func TestPausedWorkerStopsWhenLeaseExpires(t *testing.T) {
	owner := newFakeOwner(300 * time.Millisecond)
	fleet := startWorkers(t, 2, WorkerFaults{}, owner)
	owner.queueStart(testWorker, "report", 1, "")
	eventually(t, "task runs", func() bool { return fleet.Running() == 1 })
	fleet.All()[0].Pause()
	eventually(t, "lease check stops the task", func() bool { return fleet.Running() == 0 })
	must.False(t, fleet.All()[0].HoldsLease())
	must.SliceEmpty(t, owner.outcomes("report"))
	owner.queueStart("hall-w001", "report", 2, "runtime_ms = 1")
	eventually(t, "second attempt reported", func() bool { return len(owner.outcomes("report")) == 1 })
	fleet.All()[0].Resume()
	eventually(t, "stop reported on resume", func() bool { return len(owner.outcomes("report")) == 2 })
	eventually(t, "a lease of a new incarnation", func() bool { return fleet.Ready() == 2 })
	must.SliceEmpty(t, fleet.Ledger().Violations())
}

// A faulty owner starts a second attempt of a non-idempotent task while the first attempt
// runs. The ledger must record both the concurrent runs and the duplicate start.
func TestLedgerDetectsConcurrentRuns(t *testing.T) {
	owner := newFakeOwner(time.Second)
	fleet := startWorkers(t, 2, WorkerFaults{}, owner)
	owner.queueStart(testWorker, "issue", 1, "once = true")
	eventually(t, "first runs", func() bool { return fleet.Running() == 1 })
	owner.queueStart("hall-w001", "issue", 2, "once = true")
	eventually(t, "second runs", func() bool { return fleet.Running() == 2 })
	violations := fleet.Ledger().Violations()
	must.Len(t, 2, violations)
	must.Eq(t, ConcurrentRuns, violations[0].Kind)
	must.Eq(t, DuplicateStart, violations[1].Kind)
}

// An owner overcommits a worker: it starts three tasks where two fit. The worker must
// report the third as not started, and the ledger must record a violation.
func TestWorkerRefusesTaskBeyondCapacity(t *testing.T) {
	owner := newFakeOwner(time.Second)
	fleet := startWorkers(t, 1, WorkerFaults{}, owner)
	for _, job := range []string{"a", "b", "c"} {
		owner.queueStart(testWorker, job, 1, "")
	}
	eventually(t, "refusal", func() bool { return len(owner.outcomes("c")) == 1 })
	must.Eq(t, apiv1.Outcome_OUTCOME_NOT_STARTED, owner.outcomes("c")[0])
	must.Eq(t, Overcommitted, fleet.Ledger().Violations()[0].Kind)
}

// A worker crashes and restarts with less capacity. It must announce a new
// incarnation, send no reports of its lost tasks, and ignore commands that were
// addressed to the predecessor incarnation.
func TestRestartedWorkerIgnoresCommandsOfPredecessorIncarnation(t *testing.T) {
	owner := newFakeOwner(time.Second)
	fleet := startWorkers(t, 1, WorkerFaults{}, owner)
	predecessorIncarnation, _ := owner.lastSeen(testWorker)
	owner.queueStart(testWorker, "lost", 1, "")
	eventually(t, "task runs", func() bool { return fleet.Running() == 1 })
	const reducedCPUMilli = 1000
	fleet.All()[0].Restart(&apiv1.Resources{CpuMilli: reducedCPUMilli, MemoryMib: 512})
	eventually(t, "new incarnation announces its capacity", func() bool {
		incarnation, cpuMilli := owner.lastSeen(testWorker)
		return incarnation > predecessorIncarnation && cpuMilli == reducedCPUMilli
	})
	owner.mu.Lock()
	owner.staleCommands = []*apiv1.Command{{Number: 1, Term: 1, Incarnation: predecessorIncarnation, Body: &apiv1.Command_Start{
		Start: &apiv1.StartTask{Attempt: &apiv1.AttemptRef{Job: "stale", Attempt: 1}},
	}}}
	owner.mu.Unlock()
	owner.queueStart(testWorker, "fresh", 1, "runtime_ms = 1")
	eventually(t, "fresh report", func() bool { return len(owner.outcomes("fresh")) == 1 })
	must.SliceEmpty(t, owner.outcomes("lost"))
	must.SliceEmpty(t, owner.outcomes("stale"))
	must.Eq(t, 2, fleet.Ledger().Starts())
}

// Half of all responses are lost, and reports are sent twice and with a delay. Each
// task must still run once, and its report must be retried until it is acknowledged.
func TestTasksRunOnceDespiteLostResponsesAndDuplicateReports(t *testing.T) {
	owner := newFakeOwner(time.Minute)
	faults := WorkerFaults{LoseResponses: 0.5, DuplicateReports: true, ReportDelay: 5 * time.Millisecond}
	fleet := startWorkers(t, 1, faults, owner)
	for _, job := range []string{"a", "b", "c", "d"} {
		owner.queueStart(testWorker, job, 1, "runtime_ms = 1")
		eventually(t, "report of "+job, func() bool { return len(owner.outcomes(job)) >= 2 })
	}
	session := fleet.All()[0].current()
	eventually(t, "all acknowledged", func() bool { return session.reports.empty() })
	must.Eq(t, 4, fleet.Ledger().Starts())
	must.SliceEmpty(t, fleet.Ledger().Violations())
}

// The first entry address refuses connections. The worker must get its lease, report its
// task and leave through the second address.
func TestWorkerFailsOverToNextEntryAndLeaves(t *testing.T) {
	unreachable := "127.0.0.1:1"
	owner := newFakeOwner(time.Second)
	reachable := serve(t, apiv1.NewWorkerGatewayServer(owner))
	fleet := NewWorkers(WorkersConfig{
		DataCentres: []DataCentre{{Name: "hall", Entries: []string{unreachable, reachable}}},
		Count:       1,
		Capacity:    &apiv1.Resources{CpuMilli: 1000, MemoryMib: 64},
		Faults:      WorkerFaults{FailAll: true},
		FaultyCount: 1,
	})
	done := make(chan error, 1)
	go func() { done <- fleet.Run(t.Context()) }()
	eventually(t, "lease through the second address", func() bool { return fleet.Ready() == 1 })
	owner.queueStart(testWorker, "job", 1, "")
	eventually(t, "failure reported", func() bool { return len(owner.outcomes("job")) == 1 })
	must.Eq(t, apiv1.Outcome_OUTCOME_FAILED, owner.outcomes("job")[0])
	must.NoError(t, fleet.Leave(t.Context()))
	must.NoError(t, <-done)
	must.True(t, owner.leftWorkers[testWorker])
}

// A worker hangs while a start command is in flight to it. It reads the command only after
// its lease has expired, when the owner may have started the task on another worker.
// Neither this incarnation nor its successor may execute the command.
func TestStartReceivedAfterLeaseExpiryIsIgnored(t *testing.T) {
	owner := newFakeOwner(300 * time.Millisecond)
	fleet := startWorkers(t, 1, WorkerFaults{}, owner)
	worker := fleet.All()[0]
	pausedIncarnation, _ := owner.lastSeen(testWorker)
	worker.Pause()
	owner.queueStart(testWorker, "reassigned", 1, "")
	eventually(t, "lease ends", func() bool { return !worker.HoldsLease() })
	worker.Resume()
	eventually(t, "lease of a new incarnation", func() bool {
		incarnation, _ := owner.lastSeen(testWorker)
		return incarnation > pausedIncarnation && worker.HoldsLease()
	})
	must.Zero(t, fleet.Ledger().Starts())
	must.SliceEmpty(t, owner.outcomes("reassigned"))
}

// The owner crashes twice after it received a report and before it committed the report.
// If the worker doesn't send the report again, the task counts as running forever.
func TestReportsAreRetriedUntilAcknowledged(t *testing.T) {
	owner := newFakeOwner(time.Minute)
	owner.reportsToIgnore = 2
	fleet := startWorkers(t, 1, WorkerFaults{}, owner)
	owner.queueStart(testWorker, "job", 1, "runtime_ms = 1")
	eventually(t, "third report", func() bool { return len(owner.outcomes("job")) == 3 })
	session := fleet.All()[0].current()
	eventually(t, "acknowledged", func() bool { return session.reports.empty() })
}

// A lease counts from the send of its renewal. If renewals are held for half of the lease,
// each response arrives just as the previous lease expires, and a healthy worker drops its
// tasks every few seconds. The response to a renewal sent right after another response
// must arrive before the lease granted by that response expires, also if the first try of
// the renewal is lost.
func TestRenewHoldLeavesTimeForNextRenewal(t *testing.T) {
	// At least a quarter of the lease must remain after two held renewals.
	const spareLeaseDivisor = 4
	worker := newWorker(WorkersConfig{DataCentres: []DataCentre{{}}, RenewHold: time.Hour}.withDefaults(), 0)
	for _, ttl := range []time.Duration{300 * time.Millisecond, 6 * time.Second, time.Minute} {
		s := newSession(worker, 1, nil)
		s.applyResponse(1, &apiv1.RenewResponse{Term: 1, LeaseMs: ttl.Milliseconds()})
		heldRenewal, timeout := s.nextRenewal()
		hold := time.Duration(heldRenewal.HoldMs) * time.Millisecond
		must.Positive(t, hold)
		must.LessEq(t, ttl, 2*hold+ttl/spareLeaseDivisor)
		must.Less(t, ttl+minCallSlack, timeout)
		s.recordRenewal(errResponseLost)
		retriedRenewal, _ := s.nextRenewal()
		must.Zero(t, retriedRenewal.HoldMs)
	}
}

// A worker's lease expires while the worker can't deliver the report of an ended attempt.
// If the announcement of the successor incarnation reaches the owner before the report,
// the owner declares the attempt dead although it has ended.
func TestReportsPrecedeSuccessorIncarnation(t *testing.T) {
	const rounds = 10
	for range rounds {
		owner := newFakeOwner(150 * time.Millisecond)
		fleet := startWorkers(t, 1, WorkerFaults{}, owner)
		worker := fleet.All()[0]
		owner.queueStart(testWorker, "job", 1, "")
		eventually(t, "task runs", func() bool { return fleet.Running() == 1 })
		worker.Pause()
		eventually(t, "lease ends", func() bool { return !worker.HoldsLease() })
		worker.Resume()
		eventually(t, "a lease again", worker.HoldsLease)
		eventually(t, "report", func() bool { return len(owner.outcomes("job")) == 1 })
		must.Zero(t, owner.lateReports)
	}
}
