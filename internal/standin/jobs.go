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

// Arrival is one job and when it is submitted.
type Arrival struct {
	// At counts from the start of the run.
	At time.Duration
	// Customer submits the job, with its own token.
	Customer string
	Spec     *apiv1.Spec
	// Deadline counts from the submission; 0 keeps the one in the spec.
	Deadline time.Duration
}

// Arrivals draws count arrivals at a mean rate per second from templates, whose
// own At is ignored. The same seed gives the same list.
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
	// Entries are addresses (IP:port) over which submissions are spread in turn.
	Entries []string
	// Tokens are the bearer tokens of customers, by name.
	Tokens map[string]string
	// Arrivals are the jobs, ordered by At.
	Arrivals []Arrival
	// Ledger gives the true starts when the workers run in the same process,
	// and learns which jobs are non-idempotent; nil means a new one.
	Ledger *Ledger
	// Patience is for how long a call is repeated while no entry instance
	// answers it; 0 means DefaultRetryTimeout.
	RetryTimeout time.Duration
	// KeepServices leaves services running at the end of the run.
	KeepServices bool
	// Dial opens connections; nil means TCP.
	Dial rpc.Dial
	// OnChange is called with each new result; it may be nil. Calls come from
	// many goroutines.
	OnChange func(JobResult)
	// Logger takes lines for changes of state; nil means none.
	Logger log.Logger
}

// DefaultRetryTimeout is for how long calls are repeated.
const DefaultRetryTimeout = 30 * time.Second

// JobResult is what became of one arrival.
type JobResult struct {
	// Index is the place in the list of arrivals.
	Index    int
	Customer string
	Name     string
	Policy   apiv1.Policy
	// ID is empty when the job was refused.
	ID string
	// State is the last one known; unspecified when the job was refused.
	State apiv1.JobState
	// Kind and Reason tell of a refusal or of an end other than finished.
	Kind   string
	Reason string
	// Submitted is when the submission was first sent; Answered when its answer came.
	Submitted, Answered time.Time
	// Started is when the first task started: by the ledger where it knows, else
	// as the system tells. Zero when nothing started.
	Started time.Time
	// Ended is as the system tells.
	Ended time.Time
	// Deadline is zero for services.
	Deadline time.Time
}

// Accepted reports whether the system took the job.
func (r JobResult) Accepted() bool { return r.ID != "" }

// Settled reports whether nothing more is to be waited for: the job was
// refused, has ended, or is a service that runs.
func (r JobResult) Done() bool {
	if !r.Accepted() {
		return r.Kind != ""
	}
	if r.Policy == apiv1.Policy_POLICY_SERVICE && r.State == apiv1.JobState_JOB_STATE_RUNNING {
		return true
	}
	return r.State >= apiv1.JobState_JOB_STATE_FINISHED
}

// Missed reports whether an accepted job didn't finish by its deadline. A
// service that was asked for must run or have run.
func (r JobResult) MissedDeadline() bool {
	if !r.Accepted() {
		return false
	}
	if r.Policy == apiv1.Policy_POLICY_SERVICE {
		return r.Started.IsZero()
	}
	return r.State != apiv1.JobState_JOB_STATE_FINISHED || r.Ended.After(r.Deadline)
}

// JobsReport sums up a run.
type JobsReport struct {
	Arrived  int `json:"arrived"`
	Accepted int `json:"accepted"`
	// Finished counts accepted work that met its deadline, services included.
	MetDeadline int `json:"finished"`
	// Missed counts accepted work that didn't.
	MissedDeadline int `json:"missed"`
	// Refused counts refusals at submission by error kind.
	Refused map[string]int `json:"refused"`
	// Ended counts accepted work by its last state.
	Ended map[string]int `json:"ended"`
	// Unanswered counts submissions whose fate stayed open.
	Unanswered int `json:"unanswered"`
	// Waiting from submission to the first start, in microseconds.
	WaitP50 int64 `json:"wait_p50_us"`
	WaitP99 int64 `json:"wait_p99_us"`
	WaitMax int64 `json:"wait_max_us"`
	// Time of the submitting call, in microseconds.
	SubmitP50 int64 `json:"submit_p50_us"`
	SubmitP99 int64 `json:"submit_p99_us"`
}

// Jobs is a submitter of jobs.
type Jobs struct {
	cfg         JobsConfig
	runID       string
	clients     map[string][]apiv1.Scheduler
	httpClients []*http.Client

	mu      sync.Mutex
	results []JobResult
}

// NewJobs makes a submitter. Nothing is sent before Run.
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
		// Request ids of one run must not meet those of an earlier one.
		runID:   fmt.Sprintf("standin-%x", time.Now().UnixNano()),
		clients: make(map[string][]apiv1.Scheduler),
	}
	for i, a := range cfg.Arrivals {
		j.dial(a.Customer)
		j.results = append(j.results, JobResult{
			Index:    i,
			Customer: a.Customer,
			Name:     a.Spec.GetName(),
			Policy:   a.Spec.GetPolicy(),
		})
	}
	return j
}

func (j *Jobs) dial(customer string) {
	if j.clients[customer] != nil {
		return
	}
	client := NewHTTPClient(j.cfg.Tokens[customer], j.cfg.Dial)
	j.httpClients = append(j.httpClients, client)
	j.clients[customer] = newClients(j.cfg.Entries, func(base string) apiv1.Scheduler {
		return apiv1.NewSchedulerProtobufClient(base, client)
	})
}

// Run submits all arrivals, waits until each is settled and then cancels the
// services, unless they are to be kept.
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

func (j *Jobs) update(i int, change func(*JobResult)) {
	j.mu.Lock()
	change(&j.results[i])
	result := j.results[i]
	j.mu.Unlock()
	if j.cfg.OnChange != nil {
		j.cfg.OnChange(result)
	}
}

// Results returns what became of each arrival so far.
func (j *Jobs) Results() []JobResult {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.results)
}

// Ledger returns the ledger that the run uses.
func (j *Jobs) Ledger() *Ledger { return j.cfg.Ledger }

// Report sums up the results so far.
func (j *Jobs) Report() JobsReport {
	report := JobsReport{Refused: make(map[string]int), Ended: make(map[string]int)}
	waits := hdrhistogram.New(latencyMin, latencyMax, latencyDigits)
	calls := hdrhistogram.New(latencyMin, latencyMax, latencyDigits)
	for _, r := range j.Results() {
		report.add(r)
		if !r.Started.IsZero() {
			recordDuration(waits, r.Started.Sub(r.Submitted))
		}
		if !r.Answered.IsZero() {
			recordDuration(calls, r.Answered.Sub(r.Submitted))
		}
	}
	report.WaitP50 = waits.ValueAtQuantile(50)
	report.WaitP99 = waits.ValueAtQuantile(99)
	report.WaitMax = waits.Max()
	report.SubmitP50 = calls.ValueAtQuantile(50)
	report.SubmitP99 = calls.ValueAtQuantile(99)
	return report
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), latencyMin), latencyMax))
}

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
		r.Unanswered++
		return
	}
	if result.MissedDeadline() {
		r.MissedDeadline++
	} else {
		r.MetDeadline++
	}
}
