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

// Request headers that entry instances read.
const (
	// headerDeadline carries the time until the request's deadline, in milliseconds.
	headerDeadline = "Bilberry-Deadline"
	// headerIdempotent tells whether the request is idempotent, that is, safe to execute
	// twice.
	headerIdempotent = "Bilberry-Idempotent"
)

// lateResponseGrace is how long after the deadline a caller still waits for the
// response. A response in this time counts as CallersReport.Late and not as TimedOut.
const lateResponseGrace = time.Second

// callerDialTimeout bounds the time in which a caller opens a connection.
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

// call is one request of a load, with all its tries.
type call struct {
	// nonce identifies the call; a correct response repeats it.
	nonce         string
	nonIdempotent bool
	body          []byte
	// due is the scheduled send time; deadline and latency count from it.
	due time.Time
	// entryIndex is the index in CallersConfig.Entries of the address to which the next
	// try goes.
	entryIndex int
	// resends is the number of tries after the first.
	resends int
}

// newCall returns call number i of the load, which is due at the given time.
func (c *Callers) newCall(i int, due time.Time) *call {
	nonce := fmt.Sprintf("%x-%d-%x", c.cfg.Seed, i, c.random.Uint64())
	return &call{
		nonce:         nonce,
		nonIdempotent: c.random.Float64() < c.cfg.NonIdempotentShare,
		body:          newFiller(nonce, c.cfg.BodySize),
		due:           due,
		entryIndex:    c.random.IntN(len(c.cfg.Entries)),
	}
}

func (c *call) deadline(cfg CallersConfig) time.Time { return c.due.Add(cfg.Deadline) }

// send sends the call, and sends it again to the next address where mayResend
// allows it. It returns the error of the last try, or nil for a correct response.
func (c *Callers) send(ctx context.Context, call *call) error {
	ctx, cancel := context.WithDeadline(ctx, call.deadline(c.cfg).Add(lateResponseGrace))
	defer cancel()
	for {
		err := c.try(ctx, call)
		if !c.mayResend(ctx, call, err) {
			return err
		}
		call.resends++
		call.entryIndex = (call.entryIndex + 1) % len(c.cfg.Entries)
		c.updateReport(func(r *CallersReport) { r.Resent++ })
	}
}

// mayResend reports whether the call may be sent again after err. A call may be sent
// again until its deadline, and at most 2*len(Entries) times. A connection that broke may
// have delivered the request, so only an idempotent call is sent again. If no connection
// was opened, nothing was delivered, so any call may be sent again.
func (c *Callers) mayResend(ctx context.Context, call *call, err error) bool {
	if !c.cfg.Resend || !errors.Is(err, errConnectionBroken) || ctx.Err() != nil {
		return false
	}
	if call.nonIdempotent && !failedToConnect(err) {
		return false
	}
	return call.resends < 2*len(c.cfg.Entries) && time.Now().Before(call.deadline(c.cfg))
}

// failedToConnect reports whether err arose before the connection was open.
func failedToConnect(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// errConnectionBroken and errWrongResponse mark the errors of try with their cause.
var (
	errConnectionBroken = errors.New("connection broke")
	errWrongResponse    = errors.New("wrong response")
)

// refusedError is a response with an error status. kind is the value of
// fault.HeaderKind, or the status code where that header is missing.
type refusedError struct{ kind string }

func (e *refusedError) Error() string { return "refused: " + e.kind }

// try sends the request once and checks the response. It returns a refusedError for an
// error status, and marks other errors with errConnectionBroken or errWrongResponse.
func (c *Callers) try(ctx context.Context, call *call) error {
	request, err := c.newRequest(ctx, call)
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
	if err := checkResponseBody(responseBody, call.nonce, call.body, c.cfg.Size); err != nil {
		return errors.Mark(err, errWrongResponse)
	}
	return nil
}

// errorKind returns the error kind that a response names, or else its status code.
func errorKind(response *http.Response) string {
	if kind := response.Header.Get(fault.HeaderKind); kind != "" {
		return kind
	}
	return strconv.Itoa(response.StatusCode)
}

// newRequest returns the HTTP request of the call's next try.
func (c *Callers) newRequest(ctx context.Context, call *call) (*http.Request, error) {
	method := http.MethodGet
	if call.nonIdempotent || len(call.body) > 0 {
		method = http.MethodPost
	}
	request, err := http.NewRequestWithContext(ctx, method, c.url(call), bytes.NewReader(call.body))
	if err != nil {
		return nil, err
	}
	remaining := max(time.Until(call.deadline(c.cfg)).Milliseconds(), 1)
	request.Header.Set(headerDeadline, strconv.FormatInt(remaining, 10))
	request.Header.Set(headerIdempotent, strconv.FormatBool(!call.nonIdempotent))
	return request, nil
}

// url returns the URL of the call's next try: a path of an entry instance, or of a minion
// if cfg.Direct is set.
func (c *Callers) url(call *call) string {
	query := url.Values{
		paramNonce: {call.nonce},
		paramSize:  {strconv.Itoa(c.cfg.Size)},
	}
	if c.cfg.Work > 0 {
		query.Set(paramWork, strconv.FormatInt(c.cfg.Work.Milliseconds(), 10))
	}
	if call.nonIdempotent {
		query.Set(paramNonIdempotent, "1")
	}
	path := "/s/" + url.PathEscape(c.cfg.Service) + "/work"
	if c.cfg.Direct {
		path = "/work"
	}
	return baseURL(c.cfg.Entries[call.entryIndex]) + path + "?" + query.Encode()
}

// recordOutcome counts the outcome of a call and records a wrong response as a
// violation.
func (c *Callers) recordOutcome(call *call, err error) {
	latency := time.Since(call.due)
	if errors.Is(err, errWrongResponse) {
		c.cfg.Ledger.Add(WrongResponse, call.nonce, err.Error())
	}
	c.updateReport(func(r *CallersReport) {
		r.Calls++
		c.countOutcome(r, call, err, latency)
	})
}

// countOutcome counts the outcome of a call in the report. err is the result of send.
func (c *Callers) countOutcome(r *CallersReport, call *call, err error, latency time.Duration) {
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
		if call.nonIdempotent {
			r.BrokenNonIdempotent++
		}
	}
}
