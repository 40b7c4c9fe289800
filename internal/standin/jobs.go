package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/internal/rpc"
)

// Arrival is one job and the time of its submission.
type Arrival struct {
	// At is the time of the submission, counted from the start of the run.
	At time.Duration
	// Customer is the name of the customer who submits the job; the submission
	// carries this customer's token.
	Customer string
	// Spec is the spec of the job.
	Spec *apiv1.Spec
	// Deadline is the job's deadline, counted from the submission; 0 means the
	// deadline in the spec.
	Deadline time.Duration
}

// RandomArrivals returns count arrivals at a mean rate per second. Each is a copy of a
// random template with a random At. The same seed gives the same arrivals.
func RandomArrivals(seed uint64, rate float64, count int, templates []Arrival) []Arrival {
	random := rand.New(rand.NewPCG(seed, 0))
	arrivals := make([]Arrival, 0, count)
	at := time.Duration(0)
	for range count {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		arrival := templates[random.IntN(len(templates))]
		arrival.At = at
		arrivals = append(arrivals, arrival)
	}
	return arrivals
}

// JobsConfig describes a submitter of jobs.
type JobsConfig struct {
	// Entries are the addresses (IP:port) of the entry instances to which submissions go
	// in round robin.
	Entries []string
	// Tokens are the bearer tokens of customers, by name.
	Tokens map[string]string
	// Arrivals are the jobs, sorted by At.
	Arrivals []Arrival
	// Ledger records which jobs are non-idempotent; nil means a new one. If stand-in
	// workers share the ledger, it also supplies the start times of tasks by the workers'
	// clocks.
	Ledger *Ledger
	// RetryTimeout bounds the retries of a call whose outcome is unknown; 0 means
	// DefaultRetryTimeout.
	RetryTimeout time.Duration
	// KeepServices keeps services running at the end of Run; otherwise Run cancels them.
	KeepServices bool
	// Dial opens connections; nil means TCP.
	Dial rpc.Dial
	// OnChange is called with each changed result, concurrently from many goroutines;
	// it may be nil.
	OnChange func(JobResult)
	// Logger receives the log lines; nil means none.
	Logger log.Logger
}

// DefaultRetryTimeout is the default of JobsConfig.RetryTimeout.
const DefaultRetryTimeout = 30 * time.Second

// JobResult is the state of one arrival's job.
type JobResult struct {
	// Index is the index in JobsConfig.Arrivals.
	Index    int
	Customer string
	Name     string
	Policy   apiv1.Policy
	// ID is empty until the job is accepted.
	ID string
	// State is the last known state; unspecified until the job is accepted.
	State apiv1.JobState
	// Kind and Reason are the error kind and the message if the job was refused or ended
	// in a state other than finished. Reason is also the error of a call that failed.
	Kind   string
	Reason string
	// Submitted is when the submission was first sent. Decided is when the response
	// arrived that accepted or refused it.
	Submitted, Decided time.Time
	// Started is the time of the first start of task 0: from the ledger, or from the
	// job's status if the ledger has no start of the task. It is zero before the start.
	Started time.Time
	// Ended is the time at which the job ended according to its status, or zero before.
	Ended time.Time
	// Deadline is zero for services.
	Deadline time.Time
}

// Accepted reports whether the job was accepted.
func (r JobResult) Accepted() bool { return r.ID != "" }

// Done reports whether Jobs.Run has finished with the job: the job was refused, has
// ended, or is a running service.
func (r JobResult) Done() bool {
	if !r.Accepted() {
		return r.Kind != ""
	}
	if r.Policy == apiv1.Policy_POLICY_SERVICE && r.State == apiv1.JobState_JOB_STATE_RUNNING {
		return true
	}
	return r.State >= apiv1.JobState_JOB_STATE_FINISHED
}

// MissedDeadline reports whether an accepted job didn't finish by its deadline. A service
// has no deadline; the result is true for a service that never started.
func (r JobResult) MissedDeadline() bool {
	if !r.Accepted() {
		return false
	}
	if r.Policy == apiv1.Policy_POLICY_SERVICE {
		return r.Started.IsZero()
	}
	return r.State != apiv1.JobState_JOB_STATE_FINISHED || r.Ended.After(r.Deadline)
}

// JobsReport summarizes the results of Jobs.
type JobsReport struct {
	// Arrived counts all arrivals.
	Arrived int `json:"arrived"`
	// Accepted counts accepted submissions.
	Accepted int `json:"accepted"`
	// MetDeadline counts accepted jobs that met their deadline, and services that
	// started.
	MetDeadline int `json:"finished"`
	// MissedDeadline counts accepted jobs that missed their deadline, and services that
	// didn't start.
	MissedDeadline int `json:"missed"`
	// Refused counts refused submissions by error kind.
	Refused map[string]int `json:"refused"`
	// Ended counts accepted jobs by their last known state.
	Ended map[string]int `json:"ended"`
	// OutcomeUnknown counts submissions whose outcome is unknown.
	OutcomeUnknown int `json:"unanswered"`
	// WaitP50Micros, WaitP99Micros and WaitMaxMicros are the times from JobResult.Submitted to
	// JobResult.Started, in microseconds.
	WaitP50Micros int64 `json:"wait_p50_us"`
	WaitP99Micros int64 `json:"wait_p99_us"`
	WaitMaxMicros int64 `json:"wait_max_us"`
	// SubmitP50Micros and SubmitP99Micros are the times from the first send of a
	// submission to the response that accepted or refused the job, in microseconds.
	SubmitP50Micros int64 `json:"submit_p50_us"`
	SubmitP99Micros int64 `json:"submit_p99_us"`
}

// Jobs is a submitter of jobs.
type Jobs struct {
	cfg JobsConfig
	// runID is the start of each request id.
	runID string
	// clients holds one client per entry address, by customer.
	clients     map[string][]apiv1.Scheduler
	httpClients []*http.Client

	mu      sync.Mutex
	results []JobResult
}

// NewJobs returns a submitter that sends nothing before Run.
func NewJobs(cfg JobsConfig) *Jobs {
	if cfg.Ledger == nil {
		cfg.Ledger = NewLedger()
	}
	if cfg.RetryTimeout == 0 {
		cfg.RetryTimeout = DefaultRetryTimeout
	}
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
	j := &Jobs{
		cfg: cfg,
		// Request ids must differ from those of earlier runs. Otherwise a submission
		// would return the job of an earlier run and start nothing.
		runID:   fmt.Sprintf("standin-%x", time.Now().UnixNano()),
		clients: make(map[string][]apiv1.Scheduler),
	}
	for i, a := range cfg.Arrivals {
		j.addClients(a.Customer)
		j.results = append(j.results, JobResult{
			Index:    i,
			Customer: a.Customer,
			Name:     a.Spec.GetName(),
			Policy:   a.Spec.GetPolicy(),
		})
	}
	return j
}

// addClients creates a customer's clients, one per entry address, unless they exist.
func (j *Jobs) addClients(customer string) {
	if j.clients[customer] != nil {
		return
	}
	client := NewHTTPClient(j.cfg.Tokens[customer], j.cfg.Dial)
	j.httpClients = append(j.httpClients, client)
	j.clients[customer] = newClients(j.cfg.Entries, func(url string) apiv1.Scheduler {
		return apiv1.NewSchedulerProtobufClient(url, client)
	})
}

// Run submits all arrivals. It waits until each job was refused, has ended or is a
// running service, or until a call for the job has failed. It then cancels the running
// services unless KeepServices is set. The error is always nil.
func (j *Jobs) Run(ctx context.Context) error {
	defer func() {
		for _, client := range j.httpClients {
			client.CloseIdleConnections()
		}
	}()
	var jobs sync.WaitGroup
	start := time.Now()
	for i, a := range j.cfg.Arrivals {
		if !sleepUntil(ctx, start.Add(a.At)) {
			break
		}
		jobs.Go(func() { j.runJob(ctx, i, a) })
	}
	jobs.Wait()
	if !j.cfg.KeepServices {
		j.cancelServices(ctx)
	}
	return nil
}

// runJob submits the job of arrival number i and follows it until JobResult.Done holds or
// a call fails.
func (j *Jobs) runJob(ctx context.Context, i int, a Arrival) {
	now := time.Now()
	spec := proto.Clone(a.Spec).(*apiv1.Spec)
	if a.Deadline > 0 {
		spec.DeadlineUnixMs = now.Add(a.Deadline).UnixMilli()
	}
	j.update(i, func(r *JobResult) {
		r.Submitted = now
		if spec.DeadlineUnixMs > 0 {
			r.Deadline = time.UnixMilli(spec.DeadlineUnixMs)
		}
	})
	if id := j.submit(ctx, i, spec); id != "" {
		j.watch(ctx, i, id)
	}
}

// update changes the result of arrival number i and passes it to OnChange.
func (j *Jobs) update(i int, change func(*JobResult)) {
	j.mu.Lock()
	change(&j.results[i])
	result := j.results[i]
	j.mu.Unlock()
	if j.cfg.OnChange != nil {
		j.cfg.OnChange(result)
	}
}

// Results returns the current result of each arrival.
func (j *Jobs) Results() []JobResult {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.results)
}

// Ledger returns the ledger that the run uses.
func (j *Jobs) Ledger() *Ledger { return j.cfg.Ledger }

// Report summarizes the results so far.
func (j *Jobs) Report() JobsReport {
	report := JobsReport{Refused: make(map[string]int), Ended: make(map[string]int)}
	waits := hdrhistogram.New(latencyMin, latencyMax, latencyDigits)
	calls := hdrhistogram.New(latencyMin, latencyMax, latencyDigits)
	for _, r := range j.Results() {
		report.add(r)
		if !r.Started.IsZero() {
			recordDuration(waits, r.Started.Sub(r.Submitted))
		}
		if !r.Decided.IsZero() {
			recordDuration(calls, r.Decided.Sub(r.Submitted))
		}
	}
	report.WaitP50Micros = waits.ValueAtQuantile(50)
	report.WaitP99Micros = waits.ValueAtQuantile(99)
	report.WaitMaxMicros = waits.Max()
	report.SubmitP50Micros = calls.ValueAtQuantile(50)
	report.SubmitP99Micros = calls.ValueAtQuantile(99)
	return report
}

// recordDuration adds d to the histogram, limited to the histogram's bounds.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), latencyMin), latencyMax))
}

// add counts one result.
func (r *JobsReport) add(result JobResult) {
	r.Arrived++
	switch {
	case result.Accepted():
		r.Accepted++
		r.Ended[StateName(result.State)]++
	case result.Kind != "":
		r.Refused[result.Kind]++
		return
	default:
		r.OutcomeUnknown++
		return
	}
	if result.MissedDeadline() {
		r.MissedDeadline++
	} else {
		r.MetDeadline++
	}
}
