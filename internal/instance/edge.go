package instance

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/sync/errgroup"

	"github.com/bilberryferry/bilberryferry/internal/descriptors"
	"github.com/bilberryferry/bilberryferry/internal/wait"
)

// unreadyGrace is how long an instance that stops goes on taking connections:
// the balancer needs two misses of a check a second.
const unreadyGrace = 2200 * time.Millisecond

// exitReserve is kept of the time for a shutdown, for what comes after the last
// answer.
const exitReserve = time.Second

// EdgeAdapters translate between a deployment's own protocol and the product.
type EdgeAdapters struct {
	NewDeploymentClient func(DeploymentAddresses) DeploymentClient
	// Entry returns the handler of the callers' address.
	NewEntryHandler func(operations *Operations, logger log.Logger) http.Handler
	// ReadinessPath is what the balancer asks for.
	ReadinessPath string
}

// NewEdge returns the daemon of an instance that faces callers.
func NewEdge(adapters EdgeAdapters) Daemon {
	return Daemon{"edge", func(ctx context.Context, p *process) error { return p.runEdge(ctx, adapters) }}
}

func (p *process) runEdge(ctx context.Context, adapters EdgeAdapters) error {
	s := p.settings
	budget, err := descriptors.ForEdge(s.MaxFiles)
	if err != nil {
		return err
	}
	n := p.newComponents(adapters.NewDeploymentClient, budget)
	var stopping atomic.Bool
	entry := newServer(s.Entry, adapters.NewEntryHandler(n.operations, p.logger))
	descriptors.LimitServer(entry, "entry", budget.FromExternal, false, p.metrics)
	readiness := newServer(s.Readiness, readinessHandler(adapters.ReadinessPath, func() bool {
		return !stopping.Load() && n.gateway.InContact()
	}))
	descriptors.LimitServer(readiness, "readiness", maxAuxiliaryConnections, false, p.metrics)

	workCtx, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	group, groupCtx := errgroup.WithContext(workCtx)
	p.serveComponents(groupCtx, group, n)
	serve(group, entry)
	serve(group, readiness)
	group.Go(func() error { return n.gateway.AnnounceToLeader(groupCtx) })
	group.Go(func() error {
		awaitStop(ctx, groupCtx)
		stopping.Store(true)
		_ = p.logger.Log("event", "unready", "cause", "stopping")
		wait.For(groupCtx, unreadyGrace)
		p.stopEdge(entry)
		stopWork()
		_ = readiness.Close()
		n.close()
		return nil
	})
	return group.Wait()
}

// stopEdge answers the requests in progress.
func (p *process) stopEdge(entry *http.Server) {
	timeout := p.settings.Bounds.Shutdown.Std() - unreadyGrace - exitReserve
	shutdownCtx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	// Shutdown fails when the time is over; what is open then is cut off, as the
	// end of the process would do.
	_ = entry.Shutdown(shutdownCtx)
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
