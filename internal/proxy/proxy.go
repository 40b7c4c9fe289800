// Package proxy forwards the HTTP requests of callers to minions. Package
// routing decides where each request goes; package proxy holds the connections,
// the timers and the lock that guards the routing.Balancer.
package proxy

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/rpc"
	"github.com/bilberryferry/bilberryferry/routing"
)

// Prefix begins the path of each request to a service: /s/<service>/<path>.
const Prefix = "/s/"

// Defaults of Config, and limits of the connections to minions. Sizes are in
// bytes.
const (
	defaultMaxBody        = 1 << 20
	defaultMaxBuffered    = 16 << 20
	defaultResponseBuffer = 64 << 10
	defaultMaxEntries     = 9
	defaultTimeout        = 10 * time.Second
	dialTimeout           = time.Second
	idleConnTimeout       = 15 * time.Second
	maxHeaderBytes        = 64 << 10
)

// Config configures a Handler. Balancer and Authenticate are required, the
// other fields have defaults.
type Config struct {
	Balancer   *routing.Balancer
	DataCentre string
	// Authenticate returns the customer of a request. Its errors are faults.
	Authenticate func(*http.Request) (customer string, err error)
	// MaxBody is the largest request body in bytes.
	MaxBody int64
	// MaxBuffered limits the bytes of all request bodies in memory together.
	MaxBuffered int64
	// ResponseBuffer is the size in bytes from which a minion's response is
	// streamed to the caller. A shorter response is buffered until it is complete.
	ResponseBuffer int
	// MaxEntries is the number of entry instances among which the connections
	// that a minion allows are divided.
	MaxEntries int
	// Timeout bounds a request that has no deadline header.
	Timeout time.Duration
	Logger  log.Logger
	// Now is the monotonic clock whose time is passed to the Balancer.
	Now func() time.Duration
	// Dial opens connections to minions.
	Dial rpc.Dial
}

func (c Config) withDefaults() Config {
	if c.MaxBody <= 0 {
		c.MaxBody = defaultMaxBody
	}
	if c.MaxBuffered <= 0 {
		c.MaxBuffered = defaultMaxBuffered
	}
	if c.ResponseBuffer <= 0 {
		c.ResponseBuffer = defaultResponseBuffer
	}
	if c.MaxEntries <= 0 {
		c.MaxEntries = defaultMaxEntries
	}
	if c.Timeout <= 0 {
		c.Timeout = defaultTimeout
	}
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.Now == nil {
		c.Now = MonotonicClock()
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return c
}

// MonotonicClock returns a monotonic clock, which shows the time since the call of
// MonotonicClock.
func MonotonicClock() func() time.Duration {
	origin := time.Now()
	return func() time.Duration { return time.Since(origin) }
}

// Handler forwards requests for /s/<service>/<path> to the minions of the
// service. It is safe for concurrent use.
type Handler struct {
	cfg           Config
	transport     *http.Transport
	conns         *connCounter
	bufferedBytes atomic.Int64
	stats         *stats
	wake          chan struct{} // ends the wait of RenewSlotLeases for its next slot request
	// slotRequestsFailing is true after the last slot request failed.
	slotRequestsFailing atomic.Bool

	mu       sync.Mutex // guards the Balancer and the fields below
	balancer *routing.Balancer
	inFlight int           // number of requests in flight
	drained  chan struct{} // closed while draining once no request is in flight
	draining bool
}

// New returns a Handler for a configuration.
func New(cfg Config) *Handler {
	cfg = cfg.withDefaults()
	h := &Handler{
		cfg:      cfg,
		balancer: cfg.Balancer,
		conns:    newConnCounter(),
		stats:    newStats(),
		wake:     make(chan struct{}, 1),
		drained:  make(chan struct{}),
	}
	h.transport = &http.Transport{
		DialContext:            guardDial(cfg.Dial, h.conns),
		DisableCompression:     true,
		MaxIdleConnsPerHost:    defaultMaxIdleConns,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return h
}

// defaultMaxIdleConns is the number of idle connections kept to a minion that
// announces no limit of connections.
const defaultMaxIdleConns = 8

// waiter wakes the goroutine of a call when its ticket leaves the queue.
type waiter struct{ woken chan struct{} }

// withBalancer runs f on the Balancer under the lock. Afterwards it wakes the calls whose
// tickets f changed, and the slot request loop if a request is due immediately.
func (h *Handler) withBalancer(f func(b *routing.Balancer, now time.Duration)) {
	h.mu.Lock()
	f(h.balancer, h.cfg.Now())
	changed := h.balancer.TakeChanged()
	urgent := h.balancer.SlotRequestDue()
	h.mu.Unlock()
	for _, t := range changed {
		select {
		case t.Tag.(*waiter).woken <- struct{}{}:
		default:
		}
	}
	if urgent {
		h.wakeSlotRequests()
	}
}

// wakeSlotRequests ends the wait of RenewSlotLeases for its next slot request.
func (h *Handler) wakeSlotRequests() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// ServeHTTP forwards one request to a minion and its response to the caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.beginRequest()
	defer h.endRequest()
	c, err := h.newCall(w, r)
	if err != nil {
		h.fail(w, err)
		return
	}
	defer c.releaseBody()
	if err := c.readBody(); err != nil {
		h.fail(w, err)
		return
	}
	c.serve(r.Context())
}

// fail responds with the fault of err and counts it.
func (h *Handler) fail(w http.ResponseWriter, err error) {
	h.stats.countFault(fault.KindOf(err))
	writeFault(w, err)
}

// beginRequest counts a request as in flight until endRequest.
func (h *Handler) beginRequest() {
	h.mu.Lock()
	h.inFlight++
	h.mu.Unlock()
	h.stats.requests.Add(1)
}

// endRequest removes a request from the count of requests in flight.
func (h *Handler) endRequest() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inFlight--
	h.checkDrained()
}

// checkDrained closes drained if the handler is draining and no request is in flight.
// h.mu must be held.
func (h *Handler) checkDrained() {
	if !h.draining || h.inFlight > 0 {
		return
	}
	select {
	case <-h.drained:
	default:
		close(h.drained)
	}
}

// StopAccepting starts draining: new requests are rejected, requests in flight
// continue.
func (h *Handler) StopAccepting() {
	h.withBalancer(func(b *routing.Balancer, _ time.Duration) { b.StopAccepting() })
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining = true
	h.checkDrained()
}

// Wait returns nil once StopAccepting was called and no request is in flight, or the
// error of ctx if ctx ends first. The slots are released only when the context of
// RenewSlotLeases ends.
func (h *Handler) Wait(ctx context.Context) error {
	select {
	case <-h.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// splitPath returns the service and the path on the minion, still escaped. Its
// error is a fault: NotFound outside Prefix, Invalid without a service.
func splitPath(r *http.Request) (service, path string, err error) {
	rest, ok := strings.CutPrefix(r.URL.EscapedPath(), Prefix)
	if !ok {
		return "", "", fault.New(fault.NotFound, "no such path; requests to services begin with /s/")
	}
	service, path, _ = strings.Cut(rest, "/")
	if service == "" {
		return "", "", fault.Field("path", "want %s<service>/<path>", Prefix)
	}
	return service, "/" + path, nil
}
