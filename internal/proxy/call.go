package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/routing"
)

// defaultRetryAfter is the time after which a caller may retry a request that failed for
// a reason other than a refusal by the Balancer.
const defaultRetryAfter = time.Second

// connsPerSlot is the number of connections to a minion that are set aside for each of
// its slots. The remaining connections that the minion allows may stay open idle.
const connsPerSlot = 2

// call is one request of a caller, with all its attempts on minions.
type call struct {
	h             *Handler
	w             http.ResponseWriter
	r             *http.Request
	path          string
	request       routing.Request
	reservedBytes int64
	body          []byte
	ticket        *routing.Ticket
	waiter        *waiter
	// sent is true once any attempt may have written to a minion.
	sent bool
	// attemptTimer cancels the current attempt if its response is not complete in
	// time. It is stopped once the response is streamed.
	attemptTimer *time.Timer
}

// newCall authenticates the caller, checks path and headers, and reserves memory
// for the body. Its errors are faults.
func (h *Handler) newCall(w http.ResponseWriter, r *http.Request) (*call, error) {
	customer, err := h.cfg.Authenticate(r)
	if err != nil {
		return nil, err
	}
	service, path, err := splitPath(r)
	if err != nil {
		return nil, err
	}
	remaining, err := parseDeadline(r.Header, h.cfg.Timeout, time.Now())
	if err != nil {
		return nil, err
	}
	isIdempotent, err := parseIdempotent(r.Header)
	if err != nil {
		return nil, err
	}
	c := &call{h: h, w: w, r: r, path: path, waiter: &waiter{woken: make(chan struct{}, 1)}}
	c.request = routing.Request{
		Service:    service,
		Customer:   customer,
		Deadline:   h.cfg.Now() + remaining,
		Idempotent: isIdempotent,
		Tag:        c.waiter,
	}
	return c, c.reserveBody()
}

// remaining returns the time until the deadline of the call.
func (c *call) remaining() time.Duration { return c.request.Deadline - c.h.cfg.Now() }

// reserveBody reserves memory for the body within the limit of all bodies, so
// that many large ones can't exhaust memory.
func (c *call) reserveBody() error {
	size := c.r.ContentLength
	if size > c.h.cfg.MaxBody {
		return fault.Field("body", "%d bytes, the limit is %d", size, c.h.cfg.MaxBody)
	}
	if size < 0 {
		size = c.h.cfg.MaxBody
	}
	if c.h.bufferedBytes.Add(size) > c.h.cfg.MaxBuffered {
		c.h.bufferedBytes.Add(-size)
		return fault.Retry(fault.Overloaded, defaultRetryAfter, "the limit on memory for request bodies is reached")
	}
	c.reservedBytes = size
	return nil
}

// releaseBody releases what reserveBody reserved.
func (c *call) releaseBody() { c.h.bufferedBytes.Add(-c.reservedBytes) }

// readBody reads the whole body before the deadline of the call. Its errors are
// faults.
func (c *call) readBody() error {
	if c.r.Body == nil || c.r.ContentLength == 0 {
		return nil
	}
	control := http.NewResponseController(c.w)
	// The ResponseWriter of a test may not support deadlines. The limit on the
	// size of the body holds anyway.
	_ = control.SetReadDeadline(time.Now().Add(c.remaining()))
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, c.h.cfg.MaxBody))
	_ = control.SetReadDeadline(time.Time{})
	if err == nil {
		c.body = body
		return nil
	}
	if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
		return fault.Field("body", "the limit is %d bytes", tooLarge.Limit)
	}
	return fault.Field("body", "incomplete: the connection ended or the deadline passed")
}

// serve queues the call, sends it to minions until an attempt is final, and
// responds to the caller.
func (c *call) serve(parent context.Context) {
	c.h.withBalancer(func(b *routing.Balancer, now time.Duration) {
		c.ticket = b.Submit(c.request, now)
		c.request.Deadline = c.ticket.Deadline
	})
	ctx, cancel := context.WithTimeout(parent, c.remaining())
	defer cancel()
	for {
		if !c.awaitSlot(ctx) {
			return
		}
		if c.attempt(ctx) {
			return
		}
	}
}

// awaitSlot waits until the ticket is started. It returns false if the call was rejected and
// the rejection sent to the caller. If the caller disconnects, it panics with
// http.ErrAbortHandler.
func (c *call) awaitSlot(ctx context.Context) bool {
	for {
		state, refusal, queueDeadline := c.ticketState()
		switch state {
		case routing.Started:
			c.h.stats.recordWait(c.ticket.Waited())
			return true
		case routing.Refused:
			c.refuse(refusal)
			return false
		}
		timer := time.NewTimer(max(0, queueDeadline-c.h.cfg.Now()))
		select {
		case <-c.waiter.woken:
		case <-timer.C:
			c.h.withBalancer(func(b *routing.Balancer, now time.Duration) { b.Expire(c.ticket, now) })
		case <-c.r.Context().Done():
			timer.Stop()
			c.cancelTicket()
			panic(http.ErrAbortHandler)
		}
		timer.Stop()
	}
}

// ticketState returns the state of the ticket, its refusal if any, and the time by
// which it must have left the queue.
func (c *call) ticketState() (state routing.State, refusal *routing.Refusal, queueDeadline time.Duration) {
	c.h.mu.Lock()
	defer c.h.mu.Unlock()
	return c.ticket.State(), c.ticket.Refusal(), c.h.balancer.QueueDeadline(c.ticket)
}

// cancelTicket ends the ticket of a caller that disconnected while the call was
// queued.
func (c *call) cancelTicket() {
	c.h.stats.callersDisconnected.Add(1)
	c.h.withBalancer(func(b *routing.Balancer, now time.Duration) {
		b.Cancel(c.ticket, now)
		b.Finish(c.ticket, routing.LeaseEnded, now)
	})
}

// refuse responds with the reason of the refusal.
func (c *call) refuse(refusal *routing.Refusal) {
	if c.sent {
		// An earlier attempt may have run, so the response must not say that the request
		// was rejected without effect.
		c.h.fail(c.w, lostResponseFault(refusal.RetryAfter))
		return
	}
	c.h.fail(c.w, refusalFault(refusal))
}

// lostResponseFault returns the error of an idempotent request that may have run and has
// no response. The caller may retry the request.
func lostResponseFault(retryAfter time.Duration) error {
	return fault.Retry(fault.Unavailable, retryAfter, "the response of the minion was lost")
}

// refusalFault returns the fault of a refused ticket: NotFound for an unknown service,
// otherwise Overloaded.
func refusalFault(refusal *routing.Refusal) error {
	if refusal.Reason == routing.NoSuchService {
		return fault.New(fault.NotFound, "%s", refusal.Error())
	}
	return fault.Retry(fault.Overloaded, refusal.RetryAfter, "%s", refusal.Error())
}

// attempt makes one attempt on the minion of the ticket. It returns false if the
// call is queued for a retry.
func (c *call) attempt(parent context.Context) (done bool) {
	var (
		target   routing.Target
		deadline time.Duration
		guard    = &writeGuard{now: c.h.cfg.Now}
	)
	c.h.withBalancer(func(b *routing.Balancer, _ time.Duration) {
		target = b.Target(c.ticket)
		deadline = b.AttemptDeadline(c.ticket)
		guard.validUntil = b.SendDeadline(c.ticket)
	})
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	c.attemptTimer = time.AfterFunc(deadline-c.h.cfg.Now(), cancel)
	defer c.attemptTimer.Stop()
	resp, err := c.h.transport.RoundTrip(c.minionRequest(guard.attachToConn(ctx), target))
	c.sent = c.sent || guard.wrote()
	if err != nil {
		return c.finishWithoutResponse(ctx, guard)
	}
	defer resp.Body.Close()
	return c.forwardResponse(ctx, guard, resp)
}

// minionRequest builds the request to the minion. It has no GetBody, so that the
// transport can't rewind the body and send it again.
func (c *call) minionRequest(ctx context.Context, target routing.Target) *http.Request {
	// The path is part of a parsed URL, so unescaping it does not fail.
	unescaped, _ := url.PathUnescape(c.path)
	out := &http.Request{
		Method:     c.r.Method,
		URL:        &url.URL{Scheme: "http", Host: target.Address, Path: unescaped, RawPath: c.path, RawQuery: c.r.URL.RawQuery},
		Header:     requestHeader(c.r, c.request.Customer, c.remaining()),
		Host:       target.Address,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
	}
	out.Body = http.NoBody
	if len(c.body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(c.body))
		out.ContentLength = int64(len(c.body))
	}
	out.Close = c.h.conns.count(target.Address) > c.h.maxIdleConns(target)
	return out.WithContext(ctx)
}

// maxIdleConns returns the number of connections to the minion above which this
// entry instance closes a connection after its request, so that all entry
// instances together stay under the minion's limit.
func (h *Handler) maxIdleConns(target routing.Target) int {
	if target.MaxConnections == 0 {
		return defaultMaxIdleConns
	}
	return max(0, (target.MaxConnections-connsPerSlot*target.Slots)/h.cfg.MaxEntries)
}

// finishWithoutResponse ends an attempt that has no complete response. It returns
// false if the call is queued for a retry.
func (c *call) finishWithoutResponse(ctx context.Context, guard *writeGuard) (done bool) {
	return c.finishOrRetry(c.failureOutcome(ctx, guard), guard.wrote())
}

// failureOutcome returns the outcome of an attempt without a complete response.
func (c *call) failureOutcome(ctx context.Context, guard *writeGuard) routing.Outcome {
	callerDisconnected := c.r.Context().Err() != nil
	wrote := guard.wrote()
	switch {
	case !wrote && (callerDisconnected || guard.expiredUnsent()):
		return routing.LeaseEnded
	case !wrote:
		return routing.NotSent
	case callerDisconnected:
		return routing.Abandoned
	case ctx.Err() != nil:
		return routing.TimedOut
	default:
		return routing.Broken
	}
}

// finishOrRetry ends a failed attempt. It returns false if it queued the call for
// a retry, which is safe if no byte of the request was written or the request is
// idempotent.
func (c *call) finishOrRetry(o routing.Outcome, wrote bool) (done bool) {
	callerDisconnected := c.r.Context().Err() != nil
	retried := false
	c.h.withBalancer(func(b *routing.Balancer, now time.Duration) {
		b.Finish(c.ticket, o, now)
		if !callerDisconnected && (!wrote || c.request.Idempotent) {
			retried = b.Retry(c.ticket, o, now)
		}
	})
	if retried {
		c.h.stats.retries.Add(1)
		return false
	}
	if callerDisconnected {
		c.h.stats.callersDisconnected.Add(1)
		panic(http.ErrAbortHandler)
	}
	c.respondWithFailure()
	return true
}

// respondWithFailure responds to a call whose last attempt failed.
func (c *call) respondWithFailure() {
	switch {
	case !c.sent && c.refusal() != nil:
		c.refuse(c.refusal())
	case !c.sent:
		c.h.fail(c.w, fault.Retry(fault.NotRun, defaultRetryAfter, "no minion could be reached; the request was not sent"))
	case c.request.Idempotent:
		c.h.fail(c.w, lostResponseFault(defaultRetryAfter))
	default:
		c.h.fail(c.w, fault.New(fault.Unknown, "the response of the minion was lost; the request may have run"))
	}
}

// refusal returns the refusal of the ticket, or nil if the ticket wasn't refused.
func (c *call) refusal() *routing.Refusal {
	c.h.mu.Lock()
	defer c.h.mu.Unlock()
	return c.ticket.Refusal()
}
