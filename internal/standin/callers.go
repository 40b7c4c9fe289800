package standin

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-kit/log"

	"github.com/bilberryferry/bilberryferry/internal/rpc"
	"github.com/bilberryferry/bilberryferry/internal/wait"
)

// Defaults of CallersConfig.
const (
	DefaultCallRate     = 100.0
	DefaultDeadline     = 2 * time.Second
	DefaultResponseSize = 256
	DefaultMaxInFlight  = 4096
)

// CallersConfig describes an open-loop load of requests to one service: calls
// begin at seeded random times, whether or not earlier ones are answered.
type CallersConfig struct {
	// Entries are addresses (IP:port) over which the calls are spread at random.
	Entries []string
	// Direct sends the calls straight to minions, whose addresses Entries then
	// holds; it gives the base line for what the request path adds.
	Direct bool
	// Service is the name of the service.
	Service string
	// Token is the customer's bearer token.
	Token string
	// Rate is the mean number of calls in a second; 0 means DefaultCallRate.
	Rate float64
	// Count ends the load after so many calls; 0 means no bound.
	Count int
	// Duration ends the load after a time; 0 means no bound.
	Duration time.Duration
	// Deadline is the time that each call has; 0 means DefaultDeadline.
	Deadline time.Duration
	// NonIdempotentShare is the share of calls that are non-idempotent, from 0 to 1.
	NonIdempotentShare float64
	// Size and BodySize are the bytes of filler in answers and requests; 0
	// means DefaultResponseSize for answers and no body.
	Size, BodySize int
	// Work is the time that a minion takes for a call; 0 leaves it to the minion.
	Work time.Duration
	// Resend sends idempotent calls again, to another address, when the
	// connection breaks, as a balancer before the entry instances would.
	Resend bool
	// MaxInFlight bounds the calls on their way; calls above it are counted as
	// not sent. 0 means DefaultMaxInFlight.
	MaxInFlight int
	// Dial opens connections; nil means TCP.
	Dial rpc.Dial
	// Seed makes times, targets and nonces repeatable.
	Seed uint64
	// Ledger takes violations; nil means a new one.
	Ledger *Ledger
	// Logger takes lines for changes of state; nil means none.
	Logger log.Logger
}

// CallersReport sums up a load.
type CallersReport struct {
	// Calls is the number of calls that were due.
	Calls int64 `json:"calls"`
	// Whole is the number of whole and right answers.
	Correct int64 `json:"whole"`
	// Late is the number of whole answers that came after the deadline.
	Late int64 `json:"late"`
	// Refused counts error answers by the kind that they name; an answer with
	// an error status and no kind counts under its status.
	Refused map[string]int64 `json:"refused"`
	// Broken is the number of calls whose connection broke without an answer.
	Broken int64 `json:"broken"`
	// BrokenNonIdempotent is the part of Broken that was non-idempotent.
	BrokenNonIdempotent int64 `json:"broken_once"`
	// TimedOut is the number of calls without an answer in time.
	TimedOut int64 `json:"timed_out"`
	// Wrong is the number of answers that weren't the right ones.
	Wrong int64 `json:"wrong"`
	// NotSent is the number of calls above MaxInFlight.
	NotSent int64 `json:"not_sent"`
	// Resent is the number of calls that were sent again.
	Resent int64 `json:"resent"`
	// Latency in microseconds from when a call was due to its whole answer.
	P50 int64 `json:"latency_p50_us"`
	P99 int64 `json:"latency_p99_us"`
	Max int64 `json:"latency_max_us"`
}

// Callers is a load of calls.
type Callers struct {
	cfg      CallersConfig
	client   *http.Client
	random   *rand.Rand
	inFlight chan struct{}

	mu      sync.Mutex
	report  CallersReport
	latency *hdrhistogram.Histogram
}

// Bounds of the latency histogram, in microseconds, and its precision.
const (
	latencyMin    = 1
	latencyMax    = int64(10 * time.Minute / time.Microsecond)
	latencyDigits = 3
)

// NewCallers makes a load. Nothing is sent before Run.
func NewCallers(cfg CallersConfig) *Callers {
	cfg = cfg.withDefaults()
	return &Callers{
		cfg:      cfg,
		client:   newCallerClient(cfg),
		random:   rand.New(rand.NewPCG(cfg.Seed, 0)),
		inFlight: make(chan struct{}, cfg.MaxInFlight),
		report:   CallersReport{Refused: make(map[string]int64)},
		latency:  hdrhistogram.New(latencyMin, latencyMax, latencyDigits),
	}
}

func (cfg CallersConfig) withDefaults() CallersConfig {
	if cfg.Rate == 0 {
		cfg.Rate = DefaultCallRate
	}
	if cfg.Deadline == 0 {
		cfg.Deadline = DefaultDeadline
	}
	if cfg.Size == 0 {
		cfg.Size = DefaultResponseSize
	}
	if cfg.MaxInFlight == 0 {
		cfg.MaxInFlight = DefaultMaxInFlight
	}
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{Timeout: callerDialTimeout}).DialContext
	}
	if cfg.Ledger == nil {
		cfg.Ledger = NewLedger()
	}
	if cfg.Logger == nil {
		cfg.Logger = log.NewNopLogger()
	}
	return cfg
}

// Run sends calls until the count, the duration or the context ends, then waits
// for those on their way.
func (c *Callers) Run(ctx context.Context) error {
	defer c.client.CloseIdleConnections()
	var calls sync.WaitGroup
	defer calls.Wait()
	start := time.Now()
	due := time.Duration(0)
	for i := 0; c.cfg.Count == 0 || i < c.cfg.Count; i++ {
		due += time.Duration(c.random.ExpFloat64() / c.cfg.Rate * float64(time.Second))
		if c.cfg.Duration > 0 && due > c.cfg.Duration {
			return nil
		}
		if !sleepUntil(ctx, start.Add(due)) {
			return nil
		}
		c.startCall(ctx, &calls, c.newCall(i, start.Add(due)))
	}
	return nil
}

// begin sends one call in the background unless too many are on their way.
func (c *Callers) startCall(ctx context.Context, calls *sync.WaitGroup, call *call) {
	select {
	case c.inFlight <- struct{}{}:
	default:
		c.updateReport(func(r *CallersReport) { r.Calls++; r.NotSent++ })
		return
	}
	calls.Go(func() {
		defer func() { <-c.inFlight }()
		c.recordOutcome(call, c.send(context.WithoutCancel(ctx), call))
	})
}

func (c *Callers) updateReport(change func(*CallersReport)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.report)
}

// Report returns the sums so far.
func (c *Callers) Report() CallersReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	report := c.report
	report.Refused = make(map[string]int64, len(c.report.Refused))
	for kind, n := range c.report.Refused {
		report.Refused[kind] = n
	}
	report.P50 = c.latency.ValueAtQuantile(50)
	report.P99 = c.latency.ValueAtQuantile(99)
	report.Max = c.latency.Max()
	return report
}

// Ledger returns the ledger that takes violations.
func (c *Callers) Ledger() *Ledger { return c.cfg.Ledger }

// sleepUntil waits for a time and reports whether the context outlived it.
func sleepUntil(ctx context.Context, at time.Time) bool {
	if d := time.Until(at); d > 0 {
		wait.For(ctx, d)
	}
	return ctx.Err() == nil
}
