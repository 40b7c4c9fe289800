// Package peermem bounds the memory that a server holds for its clients.
//
// It guards against this failure: many clients send large requests at the same time, or most of a request and
// then nothing, and the process runs out of memory. Limits on the number of connections and on the size of one
// request don't prevent that. Therefore each server has a budget in bytes. It counts what clients have sent of their
// current requests, in whatever form, and what they have announced.
package peermem

import (
	"container/list"
	"sync"
	"time"

	"github.com/go-kit/log"
)

const (
	// smallRequest is the size up to which requests may use the whole budget. Larger ones leave a quarter of it.
	smallRequest      = 16 << 10
	largeShareDivisor = 4
	// reserveStep is the least number of bytes by which a request's reservation grows.
	reserveStep = 4 << 10
	// http2Reservation is what an HTTP/2 connection reserves for its receive buffer, the default of net/http. With a
	// smaller one a member of the log that is behind waits for a window update many times while it catches up.
	http2Reservation = 1 << 20
	// stalledAfter is the age from which an incomplete request may be ended for another one.
	stalledAfter = time.Second
	// logInterval is the time between two log lines about a budget.
	logInterval = time.Second
)

// Counter counts events by name.
type Counter interface {
	Add(name string, n int64)
}

// Budget bounds the bytes that a server holds for its clients. When it is used up, the oldest incomplete request
// that has stalled is ended, or else the new one is refused. It is safe for concurrent use.
type Budget struct {
	name  string
	limit int64
	// receiveBuffer is the size in bytes of the receive buffer of each connection.
	receiveBuffer int
	logger        log.Logger
	counters      Counter
	now           func() time.Time

	mu   sync.Mutex
	used int64
	// incomplete holds the connections with incomplete requests, those that began first at the front.
	incomplete *list.List
	// refused and ended count requests since the last log line, at loggedAt.
	refused, ended int
	loggedAt       time.Time
}

// NewBudget returns a budget of limit bytes. receiveBuffer is the size in bytes of the receive buffer of each
// connection, which the operating system holds beside the budget. name is the prefix of the counters.
func NewBudget(name string, limit int64, receiveBuffer int, logger log.Logger, counters Counter) *Budget {
	return &Budget{name: name, limit: limit, receiveBuffer: receiveBuffer, logger: logger, counters: counters, now: time.Now, incomplete: list.New()}
}

// ReceiveBuffer returns the size in bytes of the receive buffer of each connection.
func (b *Budget) ReceiveBuffer() int { return b.receiveBuffer }

// reservation is what a connection holds of a budget. The budget's mu guards it.
type reservation struct {
	// end makes reading of the request fail.
	end func()
	// received counts the bytes of the current request, reserved what is reserved for it.
	received, reserved int64
	since              time.Time
	// element is the connection's element in incomplete, nil if it has no incomplete request.
	element *list.Element
	// fixed says that the reservation doesn't depend on what is received.
	fixed bool
	ended bool
}

// begin records that a request has begun, unless it has already.
func (b *Budget) begin(r *reservation) {
	if r.element == nil {
		r.since = b.now()
		r.element = b.incomplete.PushBack(r)
	}
}

// receive counts n bytes of a connection. It returns false if they don't fit into the budget.
func (b *Budget) receive(r *reservation, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.ended {
		return false
	}
	if r.fixed {
		return true
	}
	if r.received == 0 {
		b.begin(r)
	}
	r.received += int64(n)
	return b.reserve(r, r.received)
}

// announce reserves the size of a body that a request has announced.
func (b *Budget) announce(r *reservation, size int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !r.ended && (r.fixed || b.reserve(r, r.received+size))
}

// fix replaces the reservation of a connection by a constant one.
func (b *Budget) fix(r *reservation) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.fixed = true
	b.leaveIncomplete(r)
	return b.reserve(r, http2Reservation)
}

// reserve raises a reservation to size. mu must be held.
func (b *Budget) reserve(r *reservation, size int64) bool {
	if size <= r.reserved {
		return true
	}
	more := max(size-r.reserved, reserveStep)
	limit := b.limit
	if r.reserved+more > smallRequest && !r.fixed {
		limit -= limit / largeShareDivisor
	}
	for b.used+more > limit {
		if !b.endStalled(r) {
			b.refused++
			b.counters.Add(b.name+"_requests_refused_memory", 1)
			b.report()
			return false
		}
	}
	b.used += more
	r.reserved += more
	return true
}

// endStalled ends the oldest incomplete request other than that of r, and reports whether one has stalled. mu must
// be held.
func (b *Budget) endStalled(r *reservation) bool {
	for element := b.incomplete.Front(); element != nil; element = element.Next() {
		oldest := element.Value.(*reservation)
		if b.now().Sub(oldest.since) < stalledAfter {
			return false
		}
		if oldest == r {
			continue
		}
		oldest.ended = true
		b.release(oldest)
		oldest.end()
		b.ended++
		b.counters.Add(b.name+"_requests_ended_memory", 1)
		b.report()
		return true
	}
	return false
}

// complete records that the current request of a connection has been received whole.
func (b *Budget) complete(r *reservation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaveIncomplete(r)
}

// finish gives back what the current request of a connection has reserved.
func (b *Budget) finish(r *reservation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !r.fixed {
		b.release(r)
	}
}

// close gives back what a connection has reserved.
func (b *Budget) close(r *reservation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.ended = true
	b.release(r)
}

// release gives back a reservation. mu must be held.
func (b *Budget) release(r *reservation) {
	b.leaveIncomplete(r)
	b.used -= r.reserved
	r.reserved, r.received = 0, 0
}

// leaveIncomplete removes a connection from the incomplete requests. mu must be held.
func (b *Budget) leaveIncomplete(r *reservation) {
	if r.element != nil {
		b.incomplete.Remove(r.element)
		r.element = nil
	}
}

// report logs what was refused and ended, once per logInterval at most. mu must be held.
func (b *Budget) report() {
	now := b.now()
	if now.Sub(b.loggedAt) < logInterval {
		return
	}
	_ = b.logger.Log("event", "memory", "server", b.name, "used_kb", b.used>>10, "limit_kb", b.limit>>10, "refused", b.refused, "ended", b.ended)
	b.refused, b.ended, b.loggedAt = 0, 0, now
}
