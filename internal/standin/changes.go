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
	// Entries are addresses (IP:port) over which writes are spread in turn.
	Entries []string
	// Token is the operators' bearer token.
	Token string
	// Rate is the number of changes in a second, Count their total.
	Rate  float64
	Count int
	// Poll is how often the versions in force are asked for; 0: never.
	Poll time.Duration
}

// ChangesReport sums up a load of configuration changes.
type ChangesReport struct {
	Accepted int `json:"accepted"`
	// Failed counts changes that weren't accepted after all tries.
	Failed    int    `json:"failed"`
	LastError string `json:"last_error,omitempty"`
	// Seconds is how long the load lasted.
	Seconds float64 `json:"seconds"`
	// WriteP50 and so on are times of the writing call, in microseconds.
	WriteP50 int64 `json:"write_p50_us"`
	WriteMax int64 `json:"write_max_us"`
	// InForce counts changes that were seen in force on every instance; the
	// times are from the acceptance, up to one poll too long, in microseconds.
	InForce    int64 `json:"in_force"`
	InForceP50 int64 `json:"in_force_p50_us"`
	InForceMax int64 `json:"in_force_max_us"`
	// Reverted counts polls that saw an instance with an older version than before.
	Reverted int `json:"reverted"`
}

const (
	maxChangeAttempts = 20
	changeTimeout     = 5 * time.Second
	// inForceTimeout is how long the last change may take to be seen everywhere.
	inForceTimeout = 30 * time.Second
)

// changer writes the present document again with a comment of its own, so that
// each change has the size of the real one.
type configWriter struct {
	cfg      ChangesConfig
	clients  []apiv1.Operations
	runID    string
	document string
	version  uint64

	mu           sync.Mutex
	accepted     map[uint64]time.Time
	inForce      *hdrhistogram.Histogram
	lastVersions map[string]uint64
	report       ChangesReport
}

// RunChanges makes the changes and reports on them. The error is that of the
// first read of the configuration.
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
	c.clients = newClients(cfg.Entries, func(base string) apiv1.Operations {
		return apiv1.NewOperationsProtobufClient(base, client)
	})
	if err := c.readConfig(ctx, 0); err != nil {
		return c.report, err
	}
	polling, stop := context.WithCancel(ctx)
	var polls sync.WaitGroup
	if cfg.Poll > 0 {
		polls.Go(func() { c.pollLoop(polling) })
	}
	c.writeAll(ctx)
	c.awaitInForce(ctx)
	stop()
	polls.Wait()
	c.report.InForce = c.inForce.TotalCount()
	c.report.InForceP50 = c.inForce.ValueAtQuantile(50)
	c.report.InForceMax = c.inForce.Max()
	return c.report, nil
}

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
	c.report.WriteP50 = writeTimes.ValueAtQuantile(50)
	c.report.WriteMax = writeTimes.Max()
}

// write makes one change. A call whose fate is open is made again by the same
// request id; a Conflict means that the version was read before another write.
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
		if fault.KindOf(err).Advice() != fault.SameRequestID {
			break
		}
		wait.For(ctx, initialBackoff)
	}
	c.report.Failed++
	c.report.LastError = err.Error()
	_ = c.readConfig(ctx, i)
	return false
}

func (c *configWriter) recordAccepted(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version = version
	c.report.Accepted++
	c.accepted[version] = time.Now()
}

func (c *configWriter) pollLoop(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		callCtx, cancel := context.WithTimeout(ctx, changeTimeout)
		status, err := c.clients[i%len(c.clients)].ConfigStatus(callCtx, &apiv1.ConfigStatusRequest{})
		cancel()
		if err == nil {
			c.recordStatus(status, time.Now())
		}
		wait.For(ctx, c.cfg.Poll)
	}
}

// take notes which changes are in force on every instance.
func (c *configWriter) recordStatus(status *apiv1.ConfigStatusResponse, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, i := range status.Instances {
		if i.Reachable {
			if i.Version < c.lastVersions[i.Instance] {
				c.report.Reverted++
			}
			c.lastVersions[i.Instance] = i.Version
		}
	}
	oldest := status.CommittedVersion
	for _, i := range status.Instances {
		oldest = min(oldest, c.lastVersions[i.Instance])
	}
	for version, at := range c.accepted {
		if version <= oldest {
			recordDuration(c.inForce, now.Sub(at))
			delete(c.accepted, version)
		}
	}
}

// settle waits until the polls have seen every change in force.
func (c *configWriter) awaitInForce(ctx context.Context) {
	deadline := time.Now().Add(inForceTimeout)
	for c.cfg.Poll > 0 && time.Now().Before(deadline) && ctx.Err() == nil {
		c.mu.Lock()
		pending := len(c.accepted)
		c.mu.Unlock()
		if pending == 0 {
			return
		}
		wait.For(ctx, c.cfg.Poll)
	}
}
