package instance

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/sync/errgroup"

	"github.com/bilberryferry/bilberryferry/internal/control"
	"github.com/bilberryferry/bilberryferry/internal/gateway"
	"github.com/bilberryferry/bilberryferry/internal/link"
)

// unreadyGrace is how long an instance that stops goes on taking connections:
// the balancer needs two misses of a check a second.
const unreadyGrace = 2200 * time.Millisecond

// EdgeAdapters translate between a deployment's own protocol and the product.
type EdgeAdapters struct {
	Outside func(adviser string) Outside
	// Entry returns the handler of the callers' address.
	Entry func(operations *Operations, logger log.Logger) http.Handler
	// ReadinessPath is what the balancer asks for.
	ReadinessPath string
}

// NewEdge returns the daemon of an instance that faces callers.
func NewEdge(adapters EdgeAdapters) Daemon {
	return Daemon{"edge", func(ctx context.Context, p *process) error { return p.runEdge(ctx, adapters) }}
}

func (p *process) runEdge(ctx context.Context, adapters EdgeAdapters) error {
	s := p.settings
	own := s.internal(s.Address)
	client := link.NewClient()
	mux := link.NewMux()
	outside := adapters.Outside(s.Adviser)
	link.Handle(mux, control.MethodAsk, func(ctx context.Context, call *control.AskCall) (control.AskReply, error) {
		return outside.Ask(ctx, *call)
	})
	leader := gateway.New(client, own, s.seedAddresses(), p.logger)
	operations := &Operations{gateway: leader}
	var stopping atomic.Bool

	working, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	group, groupCtx := errgroup.WithContext(working)
	internal := newInternalServer(own, mux)
	serve(group, internal)
	entry := newServer(s.Entry, adapters.Entry(operations, p.logger))
	serve(group, entry)
	readiness := newServer(s.Readiness, readinessHandler(adapters.ReadinessPath, func() bool {
		return !stopping.Load() && leader.InTouch()
	}))
	serve(group, readiness)
	metrics := p.serveMetrics(group)
	group.Go(func() error { return leader.Follow(groupCtx) })
	group.Go(func() error {
		return p.watchSettings(groupCtx, func(next *Settings) { leader.SetSeeds(next.seedAddresses()) })
	})
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-groupCtx.Done():
		}
		stopping.Store(true)
		_ = p.logger.Log("event", "unready", "cause", "stopping")
		entry.SetKeepAlivesEnabled(true)
		sleep(groupCtx, unreadyGrace)
		limit, cancel := context.WithTimeout(context.Background(), p.settings.Bounds.Shutdown.Std()-unreadyGrace-time.Second)
		defer cancel()
		// Shutdown fails when the time is over; what is open then is cut off, as the
		// end of the process would do.
		_ = entry.Shutdown(limit)
		stopWork()
		_ = internal.Close()
		_ = readiness.Close()
		_ = metrics.Close()
		return nil
	})
	return group.Wait()
}

func readinessHandler(path string, ready func() bool) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}
