package instance

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/bilberryferry/bilberryferry/internal/descriptors"
	"github.com/bilberryferry/bilberryferry/internal/panics"
	"github.com/bilberryferry/bilberryferry/internal/wait"
)

// unreadyGrace is how long a stopping instance still accepts connections. The
// platform's balancer checks readiness once a second and removes the instance after
// two failed checks.
const unreadyGrace = 2200 * time.Millisecond

// exitReserve is the part of the shutdown time that is kept for the work after the last
// response.
const exitReserve = time.Second

// EdgeAdapters translate between a deployment's protocol and an edge instance.
type EdgeAdapters struct {
	// NewDeploymentClient returns the client of the deployment.
	NewDeploymentClient func(DeploymentAddresses) DeploymentClient
	// NewEntryHandler returns the handler of the callers' address.
	NewEntryHandler func(operations *Operations, logger log.Logger) http.Handler
	// ReadinessPath is the path of the readiness check of the platform's balancer.
	ReadinessPath string
}

// NewEdge returns the daemon of an edge instance, which serves callers and has no
// disk.
func NewEdge(adapters EdgeAdapters) Daemon {
	return Daemon{role: "edge", run: func(ctx context.Context, p *process) error { return p.runEdge(ctx, adapters) }}
}

// runEdge runs an edge instance until ctx ends or a part of it fails.
func (p *process) runEdge(ctx context.Context, adapters EdgeAdapters) error {
	s := p.settings
	budget, err := descriptors.ForEdge(s.MaxFiles)
	if err != nil {
		return err
	}
	c := p.newComponents(adapters.NewDeploymentClient, budget)
	if s.LoadControl {
		c.gateway.LimitUnsent()
		c.operations.loadControl = newLoadControl(s.maxSubmissions(budget), p.metrics, p.logger)
	}
	var entryListens, stopping atomic.Bool
	entryServer := newServer(s.EntryAddress, adapters.NewEntryHandler(c.operations, p.logger))
	entryDrainer := newDrainer(entryServer)
	p.limitServer(entryServer, "entry", budget.FromExternal, false, externalMemory)
	readinessServer := newServer(s.ReadinessAddress, readinessHandler(adapters.ReadinessPath, func() bool {
		return entryListens.Load() && !stopping.Load() && c.gateway.InContact()
	}))
	p.limitServer(readinessServer, "readiness", maxAuxiliaryConnections, false, auxiliaryMemory)

	workCtx, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	group, groupCtx := panics.NewGroup(workCtx)
	p.serveComponents(groupCtx, group, c, func(next *Settings) { c.gateway.SetSeeds(next.seedAddresses()) })
	p.serveAndNotify(groupCtx, group, entryServer, func() { entryListens.Store(true) })
	p.serve(groupCtx, group, readinessServer)
	group.Go(func() error { return c.gateway.AnnounceToLeader(groupCtx) })
	group.Go(func() error { return c.operations.loadControl.logRefusals(groupCtx) })
	group.Go(func() error {
		awaitStop(ctx, groupCtx)
		stopping.Store(true)
		_ = p.logger.Log("event", "unready", "cause", "stopping")
		p.stopEdge(groupCtx, entryDrainer)
		stopWork()
		_ = readinessServer.Close()
		c.close()
		return nil
	})
	return group.Wait()
}

// stopEdge accepts requests for unreadyGrace, unless workCtx ends before, and then waits until
// those in flight have got their responses. It leaves exitReserve of the shutdown time, of
// which the last responses take finalResponseTime less cancelLead at most.
func (p *process) stopEdge(workCtx context.Context, entryDrainer *drainer) {
	shutdownCtx, cancel := context.WithTimeout(context.Background(), p.settings.Bounds.ShutdownTimeout.Std()-exitReserve-cancelLead)
	defer cancel()
	wait.For(workCtx, unreadyGrace-settleInterval)
	entryDrainer.settle(shutdownCtx)
	entryDrainer.drain(shutdownCtx)
}

// readinessHandler responds to the readiness check with status 200, or with 503 while
// ready returns false.
func readinessHandler(path string, ready func() bool) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}
