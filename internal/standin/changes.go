package standin

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/wait"
)

// ChangesConfig describes a load of configuration changes.
type ChangesConfig struct {
	// Entries are the addresses (IP:port) of the entry instances to which writes go in
	// round robin.
	Entries []string
	// Token is the operators' bearer token.
	Token string
	// Rate is the number of changes per second.
	Rate float64
	// Count is the total number of changes.
	Count int
	// PollInterval is the interval at which the versions in force are polled; 0 means never.
	PollInterval time.Duration
}

// ChangesReport summarizes a load of configuration changes.
type ChangesReport struct {
	// Accepted counts the accepted changes.
	Accepted int `json:"accepted"`
	// Failed counts changes that weren't accepted after maxChangeAttempts tries (20), or
	// that failed with an error after which the same request can't succeed.
	Failed int `json:"failed"`
	// LastError is the error of the last failed change.
	LastError string `json:"last_error,omitempty"`
	// Seconds is the duration of the load.
	Seconds float64 `json:"seconds"`
	// WriteP50Micros and WriteMaxMicros are the durations of accepted changes, each with
	// its retries, in microseconds.
	WriteP50Micros int64 `json:"write_p50_us"`
	WriteMaxMicros int64 `json:"write_max_us"`
	// InForce counts changes that a poll has found in force on every instance.
	InForce int64 `json:"in_force"`
	// InForceP50Micros and InForceMaxMicros are the times from the acceptance of a change
	// to the first poll that found it in force on every instance, in microseconds. They
	// exceed the true times by up to one poll interval.
	InForceP50Micros int64 `json:"in_force_p50_us"`
	InForceMaxMicros int64 `json:"in_force_max_us"`
	// Reverted counts how often an instance had an older version than at its previous
	// poll.
	Reverted int `json:"reverted"`
}

const (
	// maxChangeAttempts bounds the tries of one change.
	maxChangeAttempts = 20
	// changeTimeout bounds one SetConfig, GetConfig or ConfigStatus call.
	changeTimeout = 5 * time.Second
	// inForceTimeout bounds the wait until all changes are in force on every instance.
	inForceTimeout = 30 * time.Second
)

// configWriter writes the whole configuration document repeatedly, each time with a new
// comment at its end, so that each write has the size of a full configuration.
type configWriter struct {
	cfg     ChangesConfig
	clients []apiv1.Operations
	// runID is the start of each request id, which makes request ids unique.
	runID string
	// document is the configuration document at the start of the load.
	document string
	// version is the version that the next change expects to replace.
	version uint64

	mu sync.Mutex
	// accepted holds the acceptance time of each version that isn't yet in force on
	// every instance.
	accepted map[uint64]time.Time
	inForce  *hdrhistogram.Histogram
	// lastVersions holds the last polled version of each instance.
	lastVersions map[string]uint64
	report       ChangesReport
}

// RunChanges writes the changes and returns the report on them. It returns an error only
// when the first read of the configuration fails.
func RunChanges(ctx context.Context, cfg ChangesConfig) (ChangesReport, error) {
	client := NewHTTPClient(cfg.Token, nil)
	defer client.CloseIdleConnections()
	c := &configWriter{
		cfg:          cfg,
		runID:        fmt.Sprintf("standin-%x", time.Now().UnixNano()),
		accepted:     make(map[uint64]time.Time),
		inForce:      hdrhistogram.New(latencyMin, latencyMax, latencyDigits),
		lastVersions: make(map[string]uint64),
	}
	c.clients = newClients(cfg.Entries, func(url string) apiv1.Operations {
		return apiv1.NewOperationsProtobufClient(url, client)
	})
	if err := c.readConfig(ctx, 0); err != nil {
		return c.report, err
	}
	polling, stop := context.WithCancel(ctx)
	var polls sync.WaitGroup
	if cfg.PollInterval > 0 {
		polls.Go(func() { c.pollLoop(polling) })
	}
	c.writeAll(ctx)
	c.awaitInForce(ctx)
	stop()
	polls.Wait()
	c.report.InForce = c.inForce.TotalCount()
	c.report.InForceP50Micros = c.inForce.ValueAtQuantile(50)
	c.report.InForceMaxMicros = c.inForce.Max()
	return c.report, nil
}

// readConfig reads the version in force from entry address number i, and the
// document on the first read.
func (c *configWriter) readConfig(ctx context.Context, i int) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	current, err := c.clients[i%len(c.clients)].GetConfig(ctx, &apiv1.GetConfigRequest{})
	if err != nil {
		return err
	}
	c.version = current.Version
	if c.document == "" {
		c.document = current.Document
	}
	return nil
}

// writeAll writes the changes at the configured rate.
func (c *configWriter) writeAll(ctx context.Context) {
	writeTimes := hdrhistogram.New(latencyMin, latencyMax, latencyDigits)
	start := time.Now()
	for i := range c.cfg.Count {
		at := start.Add(time.Duration(float64(i) / c.cfg.Rate * float64(time.Second)))
		if !sleepUntil(ctx, at) {
			break
		}
		started := time.Now()
		if c.write(ctx, i) {
			recordDuration(writeTimes, time.Since(started))
		}
	}
	c.report.Seconds = time.Since(start).Seconds()
	c.report.WriteP50Micros = writeTimes.ValueAtQuantile(50)
	c.report.WriteMaxMicros = writeTimes.Max()
}

// write writes change number i and reports whether it was accepted. A call whose outcome
// is unknown is retried with the same request id. After any other error, such as a
// Conflict with the write of another client, the change counts as failed and the version
// is read again.
func (c *configWriter) write(ctx context.Context, i int) bool {
	request := &apiv1.SetConfigRequest{
		RequestId: fmt.Sprintf("%s-%d", c.runID, i), ExpectedVersion: c.version,
		Document: fmt.Sprintf("%s\n# change %d\n", c.document, i),
	}
	var err error
	for try := range maxChangeAttempts {
		var config *apiv1.Config
		callCtx, cancel := context.WithTimeout(ctx, changeTimeout)
		config, err = c.clients[(i+try)%len(c.clients)].SetConfig(callCtx, request)
		cancel()
		if err == nil {
			c.recordAccepted(config.Version)
			return true
		}
		if fault.KindOf(err).RetryAdvice() != fault.SameRequestID {
			break
		}
		wait.For(ctx, initialBackoff)
	}
	c.report.Failed++
	c.report.LastError = err.Error()
	_ = c.readConfig(ctx, i)
	return false
}

// recordAccepted records that a change was accepted as the given version.
func (c *configWriter) recordAccepted(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version = version
	c.report.Accepted++
	c.accepted[version] = time.Now()
}

// pollLoop polls the versions in force until the context ends.
func (c *configWriter) pollLoop(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		callCtx, cancel := context.WithTimeout(ctx, changeTimeout)
		status, err := c.clients[i%len(c.clients)].ConfigStatus(callCtx, &apiv1.ConfigStatusRequest{})
		cancel()
		if err == nil {
			c.recordStatus(status, time.Now())
		}
		wait.For(ctx, c.cfg.PollInterval)
	}
}

// recordStatus finds the changes that are in force on every instance and records how long
// they took since their acceptance. An unreachable instance counts with its last known
// version.
func (c *configWriter) recordStatus(status *apiv1.ConfigStatusResponse, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, instance := range status.Instances {
		if instance.Reachable {
			if instance.Version < c.lastVersions[instance.Instance] {
				c.report.Reverted++
			}
			c.lastVersions[instance.Instance] = instance.Version
		}
	}
	oldest := status.CommittedVersion
	for _, instance := range status.Instances {
		oldest = min(oldest, c.lastVersions[instance.Instance])
	}
	for version, at := range c.accepted {
		if version <= oldest {
			recordDuration(c.inForce, now.Sub(at))
			delete(c.accepted, version)
		}
	}
}

// awaitInForce waits until polls have found every accepted change in force on every
// instance, for inForceTimeout at most. Without polls it returns immediately.
func (c *configWriter) awaitInForce(ctx context.Context) {
	deadline := time.Now().Add(inForceTimeout)
	for c.cfg.PollInterval > 0 && time.Now().Before(deadline) && ctx.Err() == nil {
		c.mu.Lock()
		pending := len(c.accepted)
		c.mu.Unlock()
		if pending == 0 {
			return
		}
		wait.For(ctx, c.cfg.PollInterval)
	}
}
