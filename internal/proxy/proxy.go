// Package proxy carries the requests of callers to minions over HTTP. It is
// the glue round package routing: routing decides, this package holds the
// sockets, the timers and the lock.
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

// Prefix is the path under which services are reached.
const Prefix = "/s/"

// Defaults of Config.
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

// Config sets up a Handler. Balancer and Authenticate are required.
type Config struct {
	Balancer   *routing.Balancer
	DataCentre string
	// Authenticate names the customer of a request; its errors are faults.
	Authenticate func(*http.Request) (customer string, err error)
	// MaxBody is the largest request body in bytes.
	MaxBody int64
	// MaxBuffered is how many bytes of request bodies are held in all.
	MaxBuffered int64
	// ResponseBuffer is how many bytes of an answer are held back until it is
	// whole. A longer one is passed on while it arrives.
	ResponseBuffer int
	// MaxEntries is how many entry instances share the connections of a minion.
	MaxEntries int
	// Timeout is the time of a request without a deadline.
	Timeout time.Duration
	Logger  log.Logger
	// Now is the monotonic clock of the Balancer.
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

// MonotonicClock returns a clock that counts from the call on.
func MonotonicClock() func() time.Duration {
	origin := time.Now()
	return func() time.Duration { return time.Since(origin) }
}

// Handler serves /s/<service>/<path> from the minions of the service.
type Handler struct {
	cfg           Config
	transport     *http.Transport
	conns         *connCounter
	bufferedBytes atomic.Int64
	stats         *stats
	wake          chan struct{}
	// slotRequestsFailing says that the last slot request failed.
	slotRequestsFailing atomic.Bool

	mu       sync.Mutex // guards the Balancer and the fields below
	balancer *routing.Balancer
	active   int
	drained  chan struct{} // closed when draining and nothing is active
	draining bool
}

// New returns a Handler.
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

// defaultMaxIdleConns bounds the idle connections of one minion where it names no limit.
const defaultMaxIdleConns = 8

// waiter is woken when a ticket leaves the queue.
type waiter struct{ woken chan struct{} }

// locked runs f on the Balancer, wakes whom it concerns and asks for slots if
// f left that urgent.
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

func (h *Handler) wakeSlotRequests() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// ServeHTTP carries one request.
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

// fail answers with a fault and counts it.
func (h *Handler) fail(w http.ResponseWriter, err error) {
	h.stats.countFault(fault.KindOf(err))
	writeFault(w, err)
}

func (h *Handler) beginRequest() {
	h.mu.Lock()
	h.active++
	h.mu.Unlock()
	h.stats.requests.Add(1)
}

func (h *Handler) endRequest() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.active--
	h.checkDrained()
}

// checkDrained closes drained once. The lock is held.
func (h *Handler) checkDrained() {
	if !h.draining || h.active > 0 {
		return
	}
	select {
	case <-h.drained:
	default:
		close(h.drained)
	}
}

// StopAccepting refuses new requests from now on; those in progress go on.
func (h *Handler) StopAccepting() {
	h.withBalancer(func(b *routing.Balancer, _ time.Duration) { b.StopAccepting() })
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining = true
	h.checkDrained()
}

// Wait returns when StopAccepting was called and no request is in progress, or
// with the error of ctx. The slots go back when the context of RenewSlotLeases ends.
func (h *Handler) Wait(ctx context.Context) error {
	select {
	case <-h.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// splitPath returns the service and the path on the minion, still escaped.
func splitPath(r *http.Request) (service, path string, err error) {
	rest, ok := strings.CutPrefix(r.URL.EscapedPath(), Prefix)
	if !ok {
		return "", "", fault.New(fault.NotFound, "no such path")
	}
	service, path, _ = strings.Cut(rest, "/")
	if service == "" {
		return "", "", fault.Field("path", "want %s<service>/<path>", Prefix)
	}
	return service, "/" + path, nil
}
