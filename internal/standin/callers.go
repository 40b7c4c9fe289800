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
	DefaultCallRate     = 100.0 // calls per second
	DefaultDeadline     = 2 * time.Second
	DefaultResponseSize = 256  // bytes
	DefaultMaxInFlight  = 4096 // calls
)

// CallersConfig describes an open-loop load of requests to one service: calls are
// sent at seeded random times, whether or not earlier calls have ended.
type CallersConfig struct {
	// Entries are the addresses (IP:port) of entry instances. Each call goes to a random
	// one.
	Entries []string
	// Direct sends the calls directly to minions. Entries must hold the addresses of these
	// minions. The latency of direct calls is the baseline for that of calls through the
	// system.
	Direct bool
	// Service is the name of the service.
	Service string
	// Token is the customer's bearer token.
	Token string
	// Rate is the mean number of calls per second; 0 means DefaultCallRate.
	Rate float64
	// Count is the number of calls after which the load ends; 0 means no bound.
	Count int
	// Duration is the time after which the load ends; 0 means no bound.
	Duration time.Duration
	// Deadline is the time from the scheduled send of a call to its deadline; 0
	// means DefaultDeadline.
	Deadline time.Duration
	// NonIdempotentShare is the share of calls that are non-idempotent, from 0 to 1.
	NonIdempotentShare float64
	// Size and BodySize are the bytes of filler in each response and in the body of each
	// request. A Size of 0 means DefaultResponseSize, a BodySize of 0 no body.
	Size, BodySize int
	// Work is the service time that a call requests; 0 means MinionsConfig.Work.
	Work time.Duration
	// Resend makes callers retry on the next address as a load balancer in front of
	// the entry instances would: any call when no connection opens, an idempotent
	// call also when its connection breaks.
	Resend bool
	// MaxInFlight bounds the calls in flight; a call beyond the bound is counted in
	// NotSent. 0 means DefaultMaxInFlight.
	MaxInFlight int
	// Dial opens connections; nil means TCP.
	Dial rpc.Dial
	// Seed makes send times, the choice of addresses and nonces repeatable.
	Seed uint64
	// Ledger records violations; nil means a new one.
	Ledger *Ledger
	// Logger receives the log lines; nil means none.
	Logger log.Logger
}

// CallersReport summarizes a load. Each call counts in Calls and in exactly one of
// Correct, Refused, Broken, TimedOut, Wrong and NotSent.
type CallersReport struct {
	// Calls is the number of calls that were due and have ended or weren't sent.
	Calls int64 `json:"calls"`
	// Correct is the number of complete and correct responses.
	Correct int64 `json:"whole"`
	// Late is the number of correct responses that arrived after the deadline.
	Late int64 `json:"late"`
	// Refused counts responses with an error status by their error kind, or by
	// the status code where the response names no kind.
	Refused map[string]int64 `json:"refused"`
	// Broken is the number of calls whose connection broke before the response.
	Broken int64 `json:"broken"`
	// BrokenNonIdempotent is the number of non-idempotent calls in Broken.
	BrokenNonIdempotent int64 `json:"broken_once"`
	// TimedOut is the number of calls that had no response one second after the
	// deadline.
	TimedOut int64 `json:"timed_out"`
	// Wrong is the number of responses that were altered, truncated or swapped.
	Wrong int64 `json:"wrong"`
	// NotSent is the number of calls that weren't sent because MaxInFlight calls
	// were in flight.
	NotSent int64 `json:"not_sent"`
	// Resent is the number of retries.
	Resent int64 `json:"resent"`
	// LatencyP50Micros, LatencyP99Micros and LatencyMaxMicros are latencies in
	// microseconds, from the scheduled send of a call to its correct response.
	LatencyP50Micros int64 `json:"latency_p50_us"`
	LatencyP99Micros int64 `json:"latency_p99_us"`
	LatencyMaxMicros int64 `json:"latency_max_us"`
}

// Callers generates a load of calls.
type Callers struct {
	cfg    CallersConfig
	client *http.Client
	random *rand.Rand
	// inFlight is a semaphore of MaxInFlight calls.
	inFlight chan struct{}

	mu      sync.Mutex
	report  CallersReport
	latency *hdrhistogram.Histogram
}

// Parameters of the histograms of latencies and other durations: their bounds, in
// microseconds, and their precision, in significant decimal digits.
const (
	latencyMin    = 1
	latencyMax    = int64(10 * time.Minute / time.Microsecond)
	latencyDigits = 3
)

// NewCallers returns a load generator that sends nothing before Run.
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

// Run sends calls until the count or the duration is reached or the context ends,
// then waits for the calls in flight. The error is always nil.
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

// startCall sends one call in the background unless MaxInFlight calls are in flight.
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

// Report returns the counts and latencies so far.
func (c *Callers) Report() CallersReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	report := c.report
	report.Refused = make(map[string]int64, len(c.report.Refused))
	for kind, n := range c.report.Refused {
		report.Refused[kind] = n
	}
	report.LatencyP50Micros = c.latency.ValueAtQuantile(50)
	report.LatencyP99Micros = c.latency.ValueAtQuantile(99)
	report.LatencyMaxMicros = c.latency.Max()
	return report
}

// Ledger returns the ledger that records violations.
func (c *Callers) Ledger() *Ledger { return c.cfg.Ledger }

// sleepUntil waits until the time at or the end of the context. It reports whether the
// context is still active.
func sleepUntil(ctx context.Context, at time.Time) bool {
	if d := time.Until(at); d > 0 {
		wait.For(ctx, d)
	}
	return ctx.Err() == nil
}
