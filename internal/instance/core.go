package instance

import (
	"context"
	"net/http"

	"github.com/go-kit/log"
	"golang.org/x/sync/errgroup"

	"github.com/bilberryferry/bilberryferry/internal/carrier"
	"github.com/bilberryferry/bilberryferry/internal/control"
	"github.com/bilberryferry/bilberryferry/internal/descriptors"
	"github.com/bilberryferry/bilberryferry/internal/member"
	replicatedlog "github.com/bilberryferry/bilberryferry/internal/node"
)

// Outside is how a deployment's workers, adviser and list of machines are spoken to.
type Outside interface {
	control.Workers
	control.Adviser
	control.Machines
}

// OutsideAddresses are those of the deployment's own services, empty for none.
type OutsideAddresses struct {
	Adviser, Machines string
	// Connections is how many may be open to these and to workers.
	Connections int
}

// CoreAdapters translate between a deployment's own protocol and the core.
type CoreAdapters struct {
	// Outside returns the client of the deployment.
	Outside func(OutsideAddresses) Outside
	// Control returns the handler of the control address.
	Control func(operations *Operations, logger log.Logger) http.Handler
}

// NewCore returns the daemon of a core instance.
func NewCore(adapters CoreAdapters) Daemon {
	return Daemon{"core", func(ctx context.Context, p *process) error { return p.runCore(ctx, adapters) }}
}

func (p *process) runCore(ctx context.Context, adapters CoreAdapters) error {
	s := p.settings
	budget, err := descriptors.ForCore(s.MaxFiles)
	if err != nil {
		return err
	}
	n := p.openNode(adapters.Outside, budget)
	machine := control.NewStateMachine()
	host := member.New(member.Config{
		ID: s.Address, Port: s.InternalPort, Seeds: s.seedHosts(), First: s.FirstStart,
		Folder: s.DataFolder, Voters: votersFor(s.InstancesLost), Machine: machine, Logger: p.logger,
	}, n.client, n.mux)
	public := newServer(s.Control, adapters.Control(n.operations, p.logger))
	descriptors.BoundServer(public, "control", budget.FromOutside, true, p.metrics)

	working, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	group, groupCtx := errgroup.WithContext(working)
	p.serveNode(groupCtx, group, n)
	serve(group, public)
	group.Go(func() error { return p.takePart(ctx, groupCtx, n, host, machine) })
	group.Go(func() error {
		awaitStop(ctx, groupCtx)
		p.stopCore(host, public, n, stopWork)
		return nil
	})
	return group.Wait()
}

// takePart opens the log and runs this member of it until working ends. Opening
// waits for a leader on an instance that joins; stopping ends the wait.
func (p *process) takePart(stopping, working context.Context, n *node, host *member.Host, machine *control.StateMachine) error {
	opening, cancel := context.WithCancel(working)
	defer cancel()
	keepOpening := context.AfterFunc(stopping, cancel)
	replicated, err := host.Open(opening)
	if err != nil {
		if stopping.Err() != nil {
			return nil
		}
		return err
	}
	keepOpening()
	s := p.settings
	cfg := control.Config{
		Address: n.own, Public: s.Control, Workers: n.outside, Adviser: n.outside, Client: n.client,
		Logger: p.logger, Counters: p.metrics, Leader: host.Leader, Members: host.Addresses,
		Bounds: s.controlBounds(), Disabled: s.Without, Instance: s.Instance, OrdersByHeartbeat: s.WorkerOrders == ordersHeartbeat,
	}
	if s.MachineList != "" {
		cfg.Machines = n.outside
	}
	controller := p.newController(cfg, machine, replicated, n)
	n.operations.lead(controller)
	running, ctx := errgroup.WithContext(working)
	running.Go(func() error { return controller.Run(ctx) })
	running.Go(func() error { return n.gateway.Follow(ctx) })
	running.Go(func() error { return host.Run(ctx) })
	return running.Wait()
}

// newController returns a controller that serves calls. Where workers are called, other
// core instances do so while this one leads, and this one for whoever else does.
func (p *process) newController(cfg control.Config, machine *control.StateMachine, replicated replicatedlog.Log, n *node) *control.Controller {
	var controller *control.Controller
	var own *carrier.Carrier
	if !cfg.OrdersByHeartbeat {
		own = carrier.NewCarrier(carrier.CarrierConfig{
			Workers: n.outside, DataCentre: p.settings.DataCentre, Counters: p.metrics,
			TakeHeard: func() []control.BufferedHeartbeat { return controller.CollectHeartbeats() },
		})
		spread := carrier.NewSpread(carrier.Config{
			Own: n.own, Members: cfg.Members, Transport: n.client, Direct: n.outside,
			Heard:  func(heard []control.BufferedHeartbeat) { controller.ApplyCollectedHeartbeats(heard) },
			Logger: p.logger, Counters: p.metrics,
		})
		cfg.Workers, cfg.OnElected = spread, spread.Lead
	}
	controller = control.New(cfg, machine, replicated)
	controller.Register(n.mux)
	if own != nil {
		own.Register(n.mux)
	}
	return controller
}

func (s *Settings) controlBounds() control.Bounds {
	return control.Bounds{
		MaxLease: s.Bounds.LeaseMax.Std(), EndedJobRetention: s.Bounds.Shown.Std(),
		MachineHandoverDelay: s.Bounds.HolderPause.Std(), MaintenanceDuration: s.Bounds.Maintenance.Std(),
	}
}

// stopCore hands the leadership over while the others are still answered, and
// then ends the servers.
func (p *process) stopCore(host *member.Host, public *http.Server, n *node, stopWork func()) {
	limit, cancel := context.WithTimeout(context.Background(), p.settings.Bounds.Shutdown.Std()/2)
	defer cancel()
	host.HandOver(limit)
	// Shutdown fails when the time is over; what is open then is cut off, as the
	// end of the process would do.
	_ = public.Shutdown(limit)
	stopWork()
	n.close()
}
