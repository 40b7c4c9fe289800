package proxy

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/routing"
)

// answer passes the minion's answer on, whole or as an error.
//
// Failure: the minion dies in the middle of its answer and the caller takes the
// first part for all of it. Guard: the answer is held back until it is whole;
// one too long for that is passed on while it arrives, and the caller's
// connection is aborted when it is cut. An answer whose end can't be told from
// a broken connection counts as cut.
func (c *call) forwardResponse(ctx context.Context, guard *writeGuard, resp *http.Response) (done bool) {
	if resp.StatusCode == http.StatusSwitchingProtocols || !isSelfDelimited(resp) {
		return c.finishOrRetry(routing.Broken, true)
	}
	prefix, err := io.ReadAll(io.LimitReader(resp.Body, int64(c.h.cfg.ResponseBuffer)))
	if err != nil {
		return c.finishWithoutResponse(ctx, guard)
	}
	if len(prefix) == c.h.cfg.ResponseBuffer {
		c.streamResponse(ctx, guard, resp, prefix)
		return true
	}
	if c.retryUnavailable(resp.StatusCode) {
		return false
	}
	c.finish(responseOutcome(resp.StatusCode))
	c.copyHeader(resp)
	if bodyAllowed(c.r.Method, resp.StatusCode) {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(prefix)))
	}
	c.w.WriteHeader(resp.StatusCode)
	// An error means that the caller is gone.
	_, _ = c.w.Write(prefix)
	return true
}

// isSelfDelimited says whether the end of the body is marked, by length or by chunks.
func isSelfDelimited(resp *http.Response) bool {
	return resp.ContentLength >= 0 || slices.Contains(resp.TransferEncoding, "chunked") ||
		!bodyAllowed(resp.Request.Method, resp.StatusCode)
}

func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// isServerError says whether the status tells of a failure of the minion.
func isServerError(status int) bool { return status >= http.StatusInternalServerError }

func responseOutcome(status int) routing.Outcome {
	if isServerError(status) {
		return routing.AnsweredFailure
	}
	return routing.Answered
}

// retryUnavailable queues an idempotent call again when the minion says that it
// can't serve. It returns false when the answer must be passed on.
func (c *call) retryUnavailable(status int) bool {
	unavailable := status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
	if !unavailable || !c.request.Idempotent {
		return false
	}
	retried := false
	c.h.withBalancer(func(b *routing.Balancer, now time.Duration) {
		b.Finish(c.ticket, routing.AnsweredFailure, now)
		retried = b.Retry(c.ticket, routing.AnsweredFailure, now)
	})
	if retried {
		c.h.stats.retries.Add(1)
	}
	return retried
}

// finish frees the slot; a second call does nothing.
func (c *call) finish(o routing.Outcome) {
	c.h.withBalancer(func(b *routing.Balancer, now time.Duration) { b.Finish(c.ticket, o, now) })
	c.h.stats.countOutcome(o)
}

// copyHeader copies the minion's headers.
func (c *call) copyHeader(resp *http.Response) {
	h := c.w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	removeHopHeaders(h)
	// Only we speak of errors of the closed list.
	h.Del(fault.HeaderKind)
}

// stream passes a long answer on while it arrives.
func (c *call) streamResponse(ctx context.Context, guard *writeGuard, resp *http.Response, prefix []byte) {
	c.attemptTimer.Stop()
	control := http.NewResponseController(c.w)
	// Test recorders have no deadlines.
	_ = control.SetWriteDeadline(time.Now().Add(c.remaining()))
	c.copyHeader(resp)
	c.w.WriteHeader(resp.StatusCode)
	body := &errRecordingReader{Reader: resp.Body}
	_, err := c.w.Write(prefix)
	if err == nil {
		_, err = io.Copy(c.w, body)
	}
	if err == nil {
		c.finish(routing.Streamed)
		_ = control.SetWriteDeadline(time.Time{})
		return
	}
	c.finish(c.streamOutcome(ctx, guard, body))
	c.h.stats.aborted.Add(1)
	panic(http.ErrAbortHandler)
}

// streamOutcome tells a minion that cut its answer from a caller that stopped reading.
func (c *call) streamOutcome(ctx context.Context, guard *writeGuard, body *errRecordingReader) routing.Outcome {
	if body.err != nil && body.err != io.EOF {
		return c.failureOutcome(ctx, guard)
	}
	return routing.Abandoned
}

// errRecordingReader remembers the error of its reader.
type errRecordingReader struct {
	io.Reader
	err error
}

// Read reads and keeps the error.
func (r *errRecordingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != nil {
		r.err = err
	}
	return n, err
}
