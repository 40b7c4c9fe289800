package standin

import (
	"fmt"
	"sync"
	"time"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
)

// ViolationKind names the guarantee that a violation breaks.
type ViolationKind string

// Violations that stand-ins can detect.
const (
	// ConcurrentRuns means that two attempts of a task ran at the same time.
	ConcurrentRuns ViolationKind = "two-at-once"
	// DuplicateStart means that a non-idempotent task or request started more than
	// once.
	DuplicateStart ViolationKind = "more-than-once"
	// Overcommitted means that the demands of a worker's tasks exceeded its capacity.
	Overcommitted ViolationKind = "overcommitted"
	// SlotsExceeded means that a minion had more requests in flight than slots.
	SlotsExceeded ViolationKind = "slots-exceeded"
	// ConnectionsExceeded means that a minion had more open connections than its limit.
	ConnectionsExceeded ViolationKind = "connections-exceeded"
	// RequestAfterLeave means that a minion received a new request later than
	// MinionsConfig.LeaveGrace after it told the entry instances that it leaves.
	RequestAfterLeave ViolationKind = "late-request"
	// WrongResponse means that a response was altered, truncated, or belonged to another
	// request.
	WrongResponse ViolationKind = "wrong-answer"
)

// Violation is one breach of a guarantee.
type Violation struct {
	Kind ViolationKind
	// Subject is the task, the id of the worker or minion, or the nonce of the request.
	Subject string
	Detail  string
	// At is when the violation was found.
	At time.Time
}

// String returns the violation as one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s %s: %s", v.Kind, v.Subject, v.Detail)
}

// maxRecords bounds the run records that a ledger holds. The counts of starts and the
// checks for violations cover all runs, also those whose records were dropped.
const maxRecords = 100_000

// RunRecord records the run of one attempt on one worker.
type RunRecord struct {
	Job     string
	Task    int32
	Attempt int32
	Worker  string
	// Demand is the resources that the task demands.
	Demand *apiv1.Resources
	Start  time.Time
	// End is zero until the run ends.
	End     time.Time
	Outcome apiv1.Outcome
}

// taskKey identifies a task of a job.
type taskKey struct {
	job  string
	task int32
}

func (k taskKey) String() string { return fmt.Sprintf("%s/%d", k.job, k.task) }

// taskHistory counts the starts of one task and holds its running attempts.
type taskHistory struct {
	starts  int
	running map[*RunRecord]struct{}
	// firstStart is when the first attempt started.
	firstStart    time.Time
	nonIdempotent bool
}

// Ledger records the runs of all tasks on the stand-in workers of one process. It
// reports a violation when two attempts of a task run at the same time or a
// non-idempotent task starts twice. It is safe for concurrent use.
type Ledger struct {
	mu                sync.Mutex
	tasks             map[taskKey]*taskHistory
	nonIdempotentJobs map[string]bool
	records           []*RunRecord
	starts            int
	violations        []Violation
	onViolation       func(Violation)
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		tasks:             make(map[taskKey]*taskHistory),
		nonIdempotentJobs: make(map[string]bool),
	}
}

// OnViolation sets a function that is called with each violation when it is found. The
// function must not call the ledger, because the ledger's lock is held during the call.
func (l *Ledger) OnViolation(f func(Violation)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onViolation = f
}

// MarkNonIdempotent declares that each task of the job must start at most once. Starts
// before this declaration count as well.
func (l *Ledger) MarkNonIdempotent(job string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nonIdempotentJobs[job] = true
	for key, t := range l.tasks {
		if key.job != job || t.nonIdempotent {
			continue
		}
		t.nonIdempotent = true
		if t.starts > 1 {
			l.addLocked(DuplicateStart, key.String(), fmt.Sprintf("%d starts of non-idempotent work", t.starts))
		}
	}
}

// Start records the start of a run. nonIdempotent declares that the task must start at
// most once. The result identifies the run in a call of End.
func (l *Ledger) Start(r RunRecord, nonIdempotent bool) *RunRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	run := &r
	key := taskKey{r.Job, r.Task}
	t := l.tasks[key]
	if t == nil {
		t = &taskHistory{running: make(map[*RunRecord]struct{}), firstStart: r.Start}
		l.tasks[key] = t
	}
	t.starts++
	t.nonIdempotent = t.nonIdempotent || nonIdempotent || l.nonIdempotentJobs[r.Job]
	l.checkStart(key, t, run)
	t.running[run] = struct{}{}
	l.starts++
	l.appendRecord(run)
	return run
}

// checkStart records the violations that the start of a run causes. l.mu must be held.
func (l *Ledger) checkStart(key taskKey, t *taskHistory, run *RunRecord) {
	for concurrent := range t.running {
		l.addLocked(ConcurrentRuns, key.String(), fmt.Sprintf("attempt %d on %s starts while attempt %d runs on %s",
			run.Attempt, run.Worker, concurrent.Attempt, concurrent.Worker))
	}
	if t.nonIdempotent && t.starts > 1 {
		l.addLocked(DuplicateStart, key.String(), fmt.Sprintf("start %d, attempt %d on %s, of non-idempotent work",
			t.starts, run.Attempt, run.Worker))
	}
}

// appendRecord adds the record of a run. If the ledger holds maxRecords records, it drops
// the older half of them first. l.mu must be held.
func (l *Ledger) appendRecord(run *RunRecord) {
	if len(l.records) >= maxRecords {
		l.records = append(l.records[:0], l.records[maxRecords/2:]...)
	}
	l.records = append(l.records, run)
}

// End records the end of a run. A second end of the same run is ignored.
func (l *Ledger) End(run *RunRecord, outcome apiv1.Outcome, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !run.End.IsZero() {
		return
	}
	run.End = at
	run.Outcome = outcome
	delete(l.tasks[taskKey{run.Job, run.Task}].running, run)
}

// Add records a violation that a check outside the ledger has found.
func (l *Ledger) Add(kind ViolationKind, subject, detail string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addLocked(kind, subject, detail)
}

// addLocked records a violation. l.mu must be held.
func (l *Ledger) addLocked(kind ViolationKind, subject, detail string) {
	v := Violation{Kind: kind, Subject: subject, Detail: detail, At: time.Now()}
	l.violations = append(l.violations, v)
	if l.onViolation != nil {
		l.onViolation(v)
	}
}

// Violations returns all violations found so far.
func (l *Ledger) Violations() []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Violation(nil), l.violations...)
}

// Records returns copies of the run records, oldest first. After more than maxRecords
// (100,000) runs, older records are missing, but at least the latest 50,000 are returned.
func (l *Ledger) Records() []RunRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	records := make([]RunRecord, 0, len(l.records))
	for _, run := range l.records {
		records = append(records, *run)
	}
	return records
}

// MeanUsage returns the mean over time of the demands of all runs between two times, a
// measure of how densely workers are packed. It counts the runs that Records returns.
func (l *Ledger) MeanUsage(from, to time.Time) *apiv1.Resources {
	var cpu, memory, accelerators float64
	seconds := to.Sub(from).Seconds()
	if seconds <= 0 {
		return &apiv1.Resources{}
	}
	for _, r := range l.Records() {
		share := overlap(r, from, to).Seconds() / seconds
		cpu += share * float64(r.Demand.GetCpuMilli())
		memory += share * float64(r.Demand.GetMemoryMib())
		accelerators += share * float64(r.Demand.GetAccelerators())
	}
	return &apiv1.Resources{CpuMilli: int64(cpu), MemoryMib: int64(memory), Accelerators: int64(accelerators)}
}

// overlap returns how much of a run falls between two times.
func overlap(r RunRecord, from, to time.Time) time.Duration {
	end := r.End
	if end.IsZero() || end.After(to) {
		end = to
	}
	if r.Start.After(from) {
		from = r.Start
	}
	return max(end.Sub(from), 0)
}

// Starts returns the number of runs started.
func (l *Ledger) Starts() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts
}

// FirstStart returns when a task of a job first started, by its worker's clock. The second
// result is false when the task hasn't started.
func (l *Ledger) FirstStart(job string, task int32) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.tasks[taskKey{job, task}]
	if t == nil {
		return time.Time{}, false
	}
	return t.firstStart, true
}
