package instance

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/sync/errgroup"

	"github.com/bilberryferry/bilberryferry/internal/control"
	"github.com/bilberryferry/bilberryferry/internal/gateway"
	"github.com/bilberryferry/bilberryferry/internal/link"
	"github.com/bilberryferry/bilberryferry/internal/member"
)

// Outside is how a deployment's workers and adviser are spoken to.
type Outside interface {
	control.Workers
	control.Adviser
}

// CoreAdapters translate between a deployment's own protocol and the core.
type CoreAdapters struct {
	// Outside returns the client for workers and the adviser.
	Outside func(adviser string) Outside
	// Control returns the handler of the control address.
	Control func(operations *Operations, logger log.Logger) http.Handler
}

// NewCore returns the daemon of a core instance.
func NewCore(adapters CoreAdapters) Daemon {
	return Daemon{"core", func(ctx context.Context, p *process) error { return p.runCore(ctx, adapters) }}
}

func (p *process) runCore(ctx context.Context, adapters CoreAdapters) error {
	s := p.settings
	own := s.internal(s.Address)
	client := link.NewClient()
	mux := link.NewMux()
	machine := control.NewMachine()
	host := member.New(member.Config{
		ID: s.Address, Port: s.InternalPort, Seeds: s.seedHosts(), First: s.FirstStart,
		Folder: s.DataFolder, Voters: votersFor(s.InstancesLost), Machine: machine, Logger: p.logger,
	}, client, mux)
	outside := adapters.Outside(s.Adviser)
	link.Handle(mux, control.MethodAsk, func(ctx context.Context, call *control.AskCall) (control.AskReply, error) {
		return outside.Ask(ctx, *call)
	})
	leader := gateway.New(client, own, s.seedAddresses(), p.logger)
	operations := &Operations{gateway: leader}

	working, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	group, groupCtx := errgroup.WithContext(working)
	internal := newInternalServer(own, mux)
	serve(group, internal)
	public := newServer(s.Control, adapters.Control(operations, p.logger))
	serve(group, public)
	metrics := p.serveMetrics(group)
	group.Go(func() error {
		return p.watchSettings(groupCtx, func(next *Settings) { leader.SetSeeds(next.seedAddresses()) })
	})
	group.Go(func() error {
		// Opening waits for a leader on an instance that joins; it must not keep the
		// process from stopping.
		opening, cancel := context.WithCancel(groupCtx)
		defer cancel()
		stopOpening := context.AfterFunc(ctx, cancel)
		replicated, err := host.Open(opening)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		stopOpening()
		controller := control.New(control.Config{
			Address: own, Public: s.Control, Workers: outside, Adviser: outside, Client: client,
			Logger: p.logger, Counters: p.metrics, Leader: host.Leader, Members: host.Addresses,
			Bounds: control.Bounds{
				LeaseMax: s.Bounds.LeaseMax.Std(), Contact: s.Bounds.Contact.Std(),
				StopMax: s.Bounds.StopMax.Std(), Shown: s.Bounds.Shown.Std(),
			},
		}, machine, replicated)
		controller.Register(mux)
		operations.lead(controller)
		group.Go(func() error { return controller.Run(groupCtx) })
		group.Go(func() error { return leader.Follow(groupCtx) })
		return host.Run(groupCtx)
	})
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-groupCtx.Done():
		}
		p.stopCore(host, public, internal, metrics, stopWork)
		return nil
	})
	return group.Wait()
}

// stopCore hands the leadership over while the others are still answered, and
// then ends the servers.
func (p *process) stopCore(host *member.Host, public, internal, metrics *http.Server, stopWork func()) {
	limit, cancel := context.WithTimeout(context.Background(), p.settings.Bounds.Shutdown.Std()/2)
	defer cancel()
	host.HandOver(limit)
	// Shutdown fails when the time is over; what is open then is cut off, as the
	// end of the process would do.
	_ = public.Shutdown(limit)
	stopWork()
	_ = internal.Close()
	_ = metrics.Close()
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
