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

// call is one request of a caller.
type call struct {
	h        *Handler
	w        http.ResponseWriter
	r        *http.Request
	path     string
	request  routing.Request
	reserved int64
	body     []byte
	ticket   *routing.Ticket
	waiter   *waiter
	// sent says that any attempt wrote to a minion.
	sent bool
	// patience ends the current attempt while no whole answer is there.
	patience *time.Timer
}

// newCall checks the request line and the headers.
func (h *Handler) newCall(w http.ResponseWriter, r *http.Request) (*call, error) {
	customer, err := h.cfg.Authenticate(r)
	if err != nil {
		return nil, err
	}
	service, path, err := splitPath(r)
	if err != nil {
		return nil, err
	}
	left, err := timeLeft(r.Header, h.cfg.Timeout, time.Now())
	if err != nil {
		return nil, err
	}
	again, err := idempotent(r.Header)
	if err != nil {
		return nil, err
	}
	c := &call{h: h, w: w, r: r, path: path, waiter: &waiter{woken: make(chan struct{}, 1)}}
	c.request = routing.Request{
		Service:    service,
		Customer:   customer,
		Deadline:   h.cfg.Now() + left,
		Idempotent: again,
		Tag:        c.waiter,
	}
	return c, c.reserve()
}

func (c *call) left() time.Duration { return c.request.Deadline - c.h.cfg.Now() }

// reserve keeps room for the body, so that many large ones can't exhaust memory.
func (c *call) reserve() error {
	size := c.r.ContentLength
	if size > c.h.cfg.MaxBody {
		return fault.Field("body", "%d bytes, the limit is %d", size, c.h.cfg.MaxBody)
	}
	if size < 0 {
		size = c.h.cfg.MaxBody
	}
	if c.h.buffered.Add(size) > c.h.cfg.MaxBuffered {
		c.h.buffered.Add(-size)
		return fault.Retry(fault.Overloaded, time.Second, "too many request bodies are held")
	}
	c.reserved = size
	return nil
}

func (c *call) release() { c.h.buffered.Add(-c.reserved) }

// readBody reads the whole body within the time of the request.
func (c *call) readBody() error {
	if c.r.Body == nil || c.r.ContentLength == 0 {
		return nil
	}
	control := http.NewResponseController(c.w)
	// Test recorders have no deadlines; the limit on the body still holds.
	_ = control.SetReadDeadline(time.Now().Add(c.left()))
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, c.h.cfg.MaxBody))
	_ = control.SetReadDeadline(time.Time{})
	if err == nil {
		c.body = body
		return nil
	}
	if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
		return fault.Field("body", "the limit is %d bytes", tooLarge.Limit)
	}
	return fault.Field("body", "not received whole")
}

// serve queues the call, sends it to minions and answers.
func (c *call) serve(parent context.Context) {
	c.h.locked(func(b *routing.Balancer, now time.Duration) {
		c.ticket = b.Submit(c.request, now)
		c.request.Deadline = c.ticket.Deadline
	})
	ctx, cancel := context.WithTimeout(parent, c.left())
	defer cancel()
	for {
		if !c.awaitSlot(ctx) {
			return
		}
		if c.try(ctx) {
			return
		}
	}
}

// awaitSlot waits until the ticket is started. It returns false when the call
// has had its final answer instead.
func (c *call) awaitSlot(ctx context.Context) bool {
	for {
		state, refusal, giveUp := c.peek()
		switch state {
		case routing.Started:
			c.h.stats.waited(c.ticket.Waited())
			return true
		case routing.Refused:
			c.refuse(refusal)
			return false
		}
		timer := time.NewTimer(max(0, giveUp-c.h.cfg.Now()))
		select {
		case <-c.waiter.woken:
		case <-timer.C:
			c.h.locked(func(b *routing.Balancer, now time.Duration) { b.Expire(c.ticket, now) })
		case <-c.r.Context().Done():
			timer.Stop()
			c.giveUp()
			panic(http.ErrAbortHandler)
		}
		timer.Stop()
	}
}

// peek reads the ticket under the lock.
func (c *call) peek() (state routing.State, refusal *routing.Refusal, giveUp time.Duration) {
	c.h.mu.Lock()
	defer c.h.mu.Unlock()
	return c.ticket.State(), c.ticket.Refusal(), c.h.balancer.QueueDeadline(c.ticket)
}

// giveUp ends the ticket of a caller that went away before anything was sent.
func (c *call) giveUp() {
	c.h.stats.gone.Add(1)
	c.h.locked(func(b *routing.Balancer, now time.Duration) {
		b.Cancel(c.ticket, now)
		b.Finish(c.ticket, routing.LeaseEnded, now)
	})
}

// refuse answers with the reason of the refusal.
func (c *call) refuse(refusal *routing.Refusal) {
	if c.sent {
		// An earlier attempt may have run, so this is no plain refusal.
		c.h.fail(c.w, lostAnswer(refusal.RetryAfter))
		return
	}
	c.h.fail(c.w, refusalFault(refusal))
}

// lostAnswer is the end of an idempotent request that may have run.
func lostAnswer(after time.Duration) error {
	return fault.Retry(fault.Unavailable, after, "the answer was lost")
}

func refusalFault(refusal *routing.Refusal) error {
	if refusal.Reason == routing.NoSuchService {
		return fault.New(fault.NotFound, "%s", refusal.Error())
	}
	return fault.Retry(fault.Overloaded, refusal.RetryAfter, "%s", refusal.Error())
}

// try makes one attempt. It returns false when the call is queued again.
func (c *call) try(parent context.Context) (done bool) {
	var (
		target routing.Target
		until  time.Duration
		send   = &sending{now: c.h.cfg.Now}
	)
	c.h.locked(func(b *routing.Balancer, _ time.Duration) {
		target = b.Target(c.ticket)
		until = b.AttemptDeadline(c.ticket)
		send.validUntil = b.SendDeadline(c.ticket)
	})
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	c.patience = time.AfterFunc(until-c.h.cfg.Now(), cancel)
	defer c.patience.Stop()
	resp, err := c.h.transport.RoundTrip(c.outgoing(send.trace(ctx), target))
	c.sent = c.sent || send.wrote()
	if err != nil {
		return c.lost(ctx, send)
	}
	defer resp.Body.Close()
	return c.answer(ctx, send, resp)
}

// outgoing builds the request to the minion. It has no GetBody, so that the
// transport can't rewind the body.
func (c *call) outgoing(ctx context.Context, target routing.Target) *http.Request {
	// The path was parsed before, so that it unescapes.
	plain, _ := url.PathUnescape(c.path)
	out := &http.Request{
		Method:     c.r.Method,
		URL:        &url.URL{Scheme: "http", Host: target.Address, Path: plain, RawPath: c.path, RawQuery: c.r.URL.RawQuery},
		Header:     requestHeader(c.r, c.request.Customer, c.left()),
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
	out.Close = c.h.conns.count(target.Address) > c.h.idleShare(target)
	return out.WithContext(ctx)
}

// idleShare is how many connections to the minion this entry instance may keep,
// so that all entry instances together stay under the minion's limit.
func (h *Handler) idleShare(target routing.Target) int {
	if target.MaxConnections == 0 {
		return idleLimit
	}
	return max(0, (target.MaxConnections-2*target.Slots)/h.cfg.MaxEntries)
}

// lost handles an attempt without an answer.
func (c *call) lost(ctx context.Context, send *sending) (done bool) {
	return c.end(c.lostOutcome(ctx, send), send.wrote())
}

func (c *call) lostOutcome(ctx context.Context, send *sending) routing.Outcome {
	gone := c.r.Context().Err() != nil
	wrote := send.wrote()
	switch {
	case !wrote && (gone || send.wasLate()):
		return routing.LeaseEnded
	case !wrote:
		return routing.NotSent
	case gone:
		return routing.Abandoned
	case ctx.Err() != nil:
		return routing.TimedOut
	default:
		return routing.Broken
	}
}

// end finishes a failed attempt and tries again where that is safe: when no
// byte of the request was written, or when the request is idempotent.
func (c *call) end(o routing.Outcome, wrote bool) (done bool) {
	gone := c.r.Context().Err() != nil
	again := false
	c.h.locked(func(b *routing.Balancer, now time.Duration) {
		b.Finish(c.ticket, o, now)
		if !gone && (!wrote || c.request.Idempotent) {
			again = b.Retry(c.ticket, o, now)
		}
	})
	if again {
		c.h.stats.retries.Add(1)
		return false
	}
	if gone {
		c.h.stats.gone.Add(1)
		panic(http.ErrAbortHandler)
	}
	c.failed()
	return true
}

// failed answers a call whose last attempt failed.
func (c *call) failed() {
	switch {
	case !c.sent && c.refusal() != nil:
		c.refuse(c.refusal())
	case !c.sent:
		c.h.fail(c.w, fault.Retry(fault.NotRun, time.Second, "no minion could be reached; the request was not sent"))
	case c.request.Idempotent:
		c.h.fail(c.w, lostAnswer(time.Second))
	default:
		c.h.fail(c.w, fault.New(fault.Unknown, "the answer was lost; the request may have run"))
	}
}

func (c *call) refusal() *routing.Refusal {
	c.h.mu.Lock()
	defer c.h.mu.Unlock()
	return c.ticket.Refusal()
}
