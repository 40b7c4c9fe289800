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

// forwardResponse sends the minion's response to the caller, complete or as an error. It
// returns false if the call is queued for a retry instead.
//
// Failure guarded against: the minion dies in the middle of its response, and the caller
// takes the first part for the whole. The response is therefore buffered until it is
// complete. A response that exceeds the buffer is streamed, and the caller's connection is
// aborted if the response is truncated. A close-delimited response counts as truncated,
// since its end looks like a broken connection.
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
	// Write fails only if the caller has disconnected.
	_, _ = c.w.Write(prefix)
	return true
}

// isSelfDelimited reports whether the response marks the end of its body: by a
// length, by chunks, or by having no body.
func isSelfDelimited(resp *http.Response) bool {
	return resp.ContentLength >= 0 || slices.Contains(resp.TransferEncoding, "chunked") ||
		!bodyAllowed(resp.Request.Method, resp.StatusCode)
}

// bodyAllowed reports whether a response to the method may have a body.
func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// isServerError reports whether the status stands for a failure of the minion.
func isServerError(status int) bool { return status >= http.StatusInternalServerError }

// responseOutcome returns the outcome of an attempt with a complete response.
func responseOutcome(status int) routing.Outcome {
	if isServerError(status) {
		return routing.AnsweredFailure
	}
	return routing.Answered
}

// retryUnavailable queues an idempotent call for a retry if the status says that
// the minion can't serve it. It returns false if the response must be forwarded.
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

// finish ends the attempt, frees its slot and counts its outcome. If the attempt has
// ended already, it only counts the outcome.
func (c *call) finish(o routing.Outcome) {
	c.h.withBalancer(func(b *routing.Balancer, now time.Duration) { b.Finish(c.ticket, o, now) })
	c.h.stats.countOutcome(o)
}

// copyHeader copies the end-to-end headers of the minion's response.
func (c *call) copyHeader(resp *http.Response) {
	h := c.w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	removeHopHeaders(h)
	// The header marks faults of this system; a minion must not set it.
	h.Del(fault.HeaderKind)
}

// streamResponse forwards a response while it arrives; prefix is the part that has
// already been read. It aborts the connection to the caller if the response is
// truncated.
func (c *call) streamResponse(ctx context.Context, guard *writeGuard, resp *http.Response, prefix []byte) {
	c.attemptTimer.Stop()
	control := http.NewResponseController(c.w)
	// The ResponseWriter of a test may not support deadlines.
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

// streamOutcome returns the outcome of a truncated stream: it distinguishes a
// minion that broke off its response from a caller that stopped reading.
func (c *call) streamOutcome(ctx context.Context, guard *writeGuard, body *errRecordingReader) routing.Outcome {
	if body.err != nil && body.err != io.EOF {
		return c.failureOutcome(ctx, guard)
	}
	return routing.Abandoned
}

// errRecordingReader records the last error of the wrapped reader.
type errRecordingReader struct {
	io.Reader
	err error
}

// Read reads from the wrapped reader and records its error.
func (r *errRecordingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != nil {
		r.err = err
	}
	return n, err
}
