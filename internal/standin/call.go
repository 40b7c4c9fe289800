package standin

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/fault"
)

// Headers of the request path.
const (
	// headerDeadline carries the milliseconds that are left.
	headerDeadline = "Bilberry-Deadline"
	// headerIdempotent says that a request may be run again.
	headerIdempotent = "Bilberry-Idempotent"
)

// lateResponseGrace is how much longer than its deadline a caller waits, so that a
// late answer is seen as late and not as lost.
const lateResponseGrace = time.Second

const callerDialTimeout = time.Second

func newCallerClient(cfg CallersConfig) *http.Client {
	transport := &http.Transport{
		DialContext:         cfg.Dial,
		MaxIdleConns:        cfg.MaxInFlight,
		MaxIdleConnsPerHost: cfg.MaxInFlight,
		DisableCompression:  true,
	}
	return &http.Client{Transport: &bearerTransport{token: cfg.Token, next: transport}}
}

// call is one request of a load.
type call struct {
	nonce         string
	nonIdempotent bool
	body          []byte
	due           time.Time
	target        int
	resends       int
}

func (c *Callers) newCall(i int, due time.Time) *call {
	nonce := fmt.Sprintf("%x-%d-%x", c.cfg.Seed, i, c.random.Uint64())
	return &call{
		nonce:         nonce,
		nonIdempotent: c.random.Float64() < c.cfg.NonIdempotentShare,
		body:          newFiller(nonce, c.cfg.BodySize),
		due:           due,
		target:        c.random.IntN(len(c.cfg.Entries)),
	}
}

func (k *call) deadline(cfg CallersConfig) time.Time { return k.due.Add(cfg.Deadline) }

// send makes the call, again on another address where that is allowed. It
// returns the error of the last try, or nil for a whole and right answer.
func (c *Callers) send(ctx context.Context, k *call) error {
	ctx, cancel := context.WithDeadline(ctx, k.deadline(c.cfg).Add(lateResponseGrace))
	defer cancel()
	for {
		err := c.try(ctx, k)
		if !c.mayResend(ctx, k, err) {
			return err
		}
		k.resends++
		k.target = (k.target + 1) % len(c.cfg.Entries)
		c.updateReport(func(r *CallersReport) { r.Resent++ })
	}
}

// mayResend: only a broken connection leaves a call without an answer, and only
// an idempotent call may be sent again then. A refused connection carried
// nothing, so that any call may be.
func (c *Callers) mayResend(ctx context.Context, k *call, err error) bool {
	if !c.cfg.Resend || !errors.Is(err, errConnectionBroken) || ctx.Err() != nil {
		return false
	}
	if k.nonIdempotent && !failedToConnect(err) {
		return false
	}
	return k.resends < 2*len(c.cfg.Entries) && time.Now().Before(k.deadline(c.cfg))
}

func failedToConnect(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

var (
	errConnectionBroken = errors.New("connection broke")
	errWrongResponse    = errors.New("wrong answer")
)

// refusedError is an answer with an error status.
type refusedError struct{ kind string }

func (e *refusedError) Error() string { return "refused: " + e.kind }

func (c *Callers) try(ctx context.Context, k *call) error {
	request, err := c.newRequest(ctx, k)
	if err != nil {
		return err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return errors.Mark(err, errConnectionBroken)
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Mark(err, errConnectionBroken)
	}
	if response.StatusCode != http.StatusOK {
		return &refusedError{kind: errorKind(response)}
	}
	if err := checkResponseBody(responseBody, k.nonce, k.body, c.cfg.Size); err != nil {
		return errors.Mark(err, errWrongResponse)
	}
	return nil
}

func errorKind(response *http.Response) string {
	if kind := response.Header.Get(fault.HeaderKind); kind != "" {
		return kind
	}
	return strconv.Itoa(response.StatusCode)
}

func (c *Callers) newRequest(ctx context.Context, k *call) (*http.Request, error) {
	method := http.MethodGet
	if k.nonIdempotent || len(k.body) > 0 {
		method = http.MethodPost
	}
	request, err := http.NewRequestWithContext(ctx, method, c.url(k), bytes.NewReader(k.body))
	if err != nil {
		return nil, err
	}
	remaining := max(time.Until(k.deadline(c.cfg)).Milliseconds(), 1)
	request.Header.Set(headerDeadline, strconv.FormatInt(remaining, 10))
	request.Header.Set(headerIdempotent, strconv.FormatBool(!k.nonIdempotent))
	return request, nil
}

func (c *Callers) url(k *call) string {
	query := url.Values{
		paramNonce: {k.nonce},
		paramSize:  {strconv.Itoa(c.cfg.Size)},
	}
	if c.cfg.Work > 0 {
		query.Set(paramWork, strconv.FormatInt(c.cfg.Work.Milliseconds(), 10))
	}
	if k.nonIdempotent {
		query.Set(paramNonIdempotent, "1")
	}
	path := "/s/" + url.PathEscape(c.cfg.Service) + "/work"
	if c.cfg.Direct {
		path = "/work"
	}
	return baseURL(c.cfg.Entries[k.target]) + path + "?" + query.Encode()
}

// finish counts the end of a call.
func (c *Callers) recordOutcome(k *call, err error) {
	latency := time.Since(k.due)
	if errors.Is(err, errWrongResponse) {
		c.cfg.Ledger.Add(WrongResponse, k.nonce, err.Error())
	}
	c.updateReport(func(r *CallersReport) {
		r.Calls++
		c.countOutcome(r, k, err, latency)
	})
}

func (c *Callers) countOutcome(r *CallersReport, k *call, err error, latency time.Duration) {
	var refused *refusedError
	switch {
	case err == nil:
		r.Correct++
		_ = c.latency.RecordValue(max(latency.Microseconds(), latencyMin))
		if latency > c.cfg.Deadline {
			r.Late++
		}
	case errors.As(err, &refused):
		r.Refused[refused.kind]++
	case errors.Is(err, errWrongResponse):
		r.Wrong++
	case errors.Is(err, context.DeadlineExceeded):
		r.TimedOut++
	default:
		r.Broken++
		if k.nonIdempotent {
			r.BrokenNonIdempotent++
		}
	}
}
