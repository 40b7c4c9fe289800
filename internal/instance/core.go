package instance

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log"

	"github.com/bilberryferry/bilberryferry/internal/carrier"
	"github.com/bilberryferry/bilberryferry/internal/control"
	"github.com/bilberryferry/bilberryferry/internal/descriptors"
	"github.com/bilberryferry/bilberryferry/internal/member"
	replicatedlog "github.com/bilberryferry/bilberryferry/internal/node"
	"github.com/bilberryferry/bilberryferry/internal/overload"
	"github.com/bilberryferry/bilberryferry/internal/panics"
)

// DeploymentClient calls the workers, the adviser and the machine list of a
// deployment in its own protocol.
type DeploymentClient interface {
	control.Workers
	control.Adviser
	control.Machines
}

// DeploymentAddresses are the addresses of a deployment's services. The address of a service
// that the deployment lacks is empty.
type DeploymentAddresses struct {
	Adviser, Machines string
	// MaxConnections limits the open connections to these services and to workers.
	MaxConnections int
}

// CoreAdapters translate between a deployment's protocol and a core instance.
type CoreAdapters struct {
	// NewDeploymentClient returns the client of the deployment.
	NewDeploymentClient func(DeploymentAddresses) DeploymentClient
	// NewControlHandler returns the handler of the control address.
	NewControlHandler func(operations *Operations, logger log.Logger) http.Handler
}

// transferMemoryDivisor gives the share of the memory that a snapshot of another member may take while it arrives.
const transferMemoryDivisor = 2

// NewCore returns the daemon of a core instance, which has a disk and is a member
// of the log.
func NewCore(adapters CoreAdapters) Daemon {
	return Daemon{role: "core", run: func(ctx context.Context, p *process) error { return p.runCore(ctx, adapters) }}
}

// runCore runs a core instance until ctx ends or a part of it fails.
func (p *process) runCore(ctx context.Context, adapters CoreAdapters) error {
	s := p.settings
	budget, err := descriptors.ForCore(s.MaxFiles)
	if err != nil {
		return err
	}
	c := p.newComponents(adapters.NewDeploymentClient, budget)
	stateMachine := control.NewStateMachine()
	work := newWorkLog(p.logger, p.work, c.mux)
	logMember := member.New(member.Config{
		ID: s.Address, Port: s.InternalPort, DataCentre: s.DataCentre, Seeds: s.seedHosts(), FirstStart: s.FirstStart,
		Folder: s.DataFolder, Files: p.files, Voters: votersFor(s.ToleratedFailures), Machine: stateMachine, Work: p.work, Logger: p.logger,
		Fatal: p.fatal, MaxTransferBytes: int64(s.MemoryMB) << 20 / transferMemoryDivisor,
	}, c.client, c.mux)
	var monitor *overload.Monitor
	if s.LoadControl {
		gate := overload.NewGate(overload.DefaultBounds(), callClass, p.logger, p.metrics)
		c.mux.SetGate(gate)
		monitor = overload.NewMonitor(func(now time.Time, delay time.Duration) {
			gate.Observe(now, delay)
			p.delayForCarriers.Add(delay)
			p.delayForLeader.Add(delay)
		})
	}
	controlServer := newServer(s.ControlAddress, adapters.NewControlHandler(c.operations, p.logger))
	controlDrainer := newDrainer(controlServer)
	p.limitServer(controlServer, "control", budget.FromExternal, true, externalMemory)

	workCtx, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	group, groupCtx := panics.NewGroup(workCtx)
	p.serveComponents(groupCtx, group, c, func(next *Settings) {
		c.gateway.SetSeeds(next.seedAddresses())
		logMember.SetSeeds(next.seedHosts())
	})
	if monitor != nil {
		group.Go(func() error { return monitor.Run(groupCtx) })
	}
	p.serve(groupCtx, group, controlServer)
	group.Go(func() error { return work.run(groupCtx) })
	group.Go(func() error { return p.runLogMember(ctx, groupCtx, c, logMember, stateMachine) })
	group.Go(func() error {
		awaitStop(ctx, groupCtx)
		p.stopCore(logMember, controlDrainer, c, stopWork)
		return nil
	})
	return group.Wait()
}

// runLogMember opens the log and runs this member of it until workCtx ends. On an
// instance that joins the log, opening waits for a leader. If stopCtx ends during that
// wait, runLogMember returns nil.
func (p *process) runLogMember(stopCtx, workCtx context.Context, c *components, logMember *member.Host, stateMachine *control.StateMachine) error {
	openCtx, cancelOpen := context.WithCancel(workCtx)
	defer cancelOpen()
	detachStop := context.AfterFunc(stopCtx, cancelOpen)
	replicatedLog, err := logMember.Open(openCtx)
	if err != nil {
		if stopCtx.Err() != nil {
			return nil
		}
		return err
	}
	detachStop()
	s := p.settings
	cfg := control.Config{
		Address: c.internalAddress, PublicAddress: s.ControlAddress, Workers: c.deployment, Adviser: c.deployment, Client: c.client,
		Logger: p.logger, Counters: p.metrics, Leader: logMember.Leader, Members: logMember.Addresses,
		Bounds: s.controlBounds(), Disabled: s.DisabledMechanisms, Instance: s.Instance, LoadControl: s.LoadControl, OrdersByHeartbeat: s.WorkerOrders == ordersHeartbeat,
		Work: p.work, SchedulingDelay: p.delayForLeader.Take, MemoryBytes: int64(s.MemoryMB) << 20,
	}
	if s.MachineListAddress != "" {
		cfg.Machines = c.deployment
	}
	controller := p.newController(cfg, stateMachine, replicatedLog, c)
	c.operations.setLocalController(controller)
	group, ctx := panics.NewGroup(workCtx)
	group.Go(func() error { return controller.Run(ctx) })
	group.Go(func() error { return c.gateway.AnnounceToLeader(ctx) })
	group.Go(func() error { return logMember.Run(ctx) })
	return group.Wait()
}

// newController returns a controller that serves calls. Unless workers get their orders in
// the responses to heartbeats, it also sets up the distribution of orders: a forwarder,
// which sends the orders through the carriers of the other core instances while this
// instance leads, and the local carrier, which sends orders of another leader to workers.
func (p *process) newController(cfg control.Config, stateMachine *control.StateMachine, replicatedLog replicatedlog.Log, c *components) *control.Controller {
	var controller *control.Controller
	var localCarrier *carrier.Carrier
	if !cfg.OrdersByHeartbeat {
		localCarrier = carrier.NewCarrier(carrier.CarrierConfig{
			Workers: c.deployment, DataCentre: p.settings.DataCentre, Counters: p.metrics, Logger: p.logger,
			CollectHeartbeats: func() []control.BufferedHeartbeat { return controller.CollectHeartbeats() },
		})
		forwarder := carrier.NewForwarder(carrier.ForwarderConfig{
			OwnAddress: c.internalAddress, Members: cfg.Members, Transport: c.client, DirectWorkers: c.deployment,
			ApplyHeartbeats: func(heartbeats []control.BufferedHeartbeat) { controller.ApplyCollectedHeartbeats(heartbeats) },
			Logger:          p.logger, Counters: p.metrics, Work: p.work,
			MaxDirectCallsPerSecond: p.settings.maxDirectCallsPerSecond(), SchedulingDelay: p.delayForCarriers.Take,
		})
		cfg.Workers, cfg.OnElected = forwarder, forwarder.Lead
	}
	controller = control.New(cfg, stateMachine, replicatedLog)
	controller.Register(c.mux)
	if localCarrier != nil {
		localCarrier.Register(c.mux)
	}
	return controller
}

// controlBounds returns the times of the settings that the controller needs.
func (s *Settings) controlBounds() control.Bounds {
	return control.Bounds{
		MaxLease: s.Bounds.MaxLease.Std(), EndedJobRetention: s.Bounds.EndedJobRetention.Std(),
		MachineHandoverDelay: s.Bounds.MachineHandoverDelay.Std(), MaintenanceDuration: s.Bounds.MaintenanceDuration.Std(),
	}
}

// stopCore transfers the leadership while this instance still responds to other instances,
// stops the servers and ends the background work. The transfer and the wait for requests in
// flight take half of the shutdown time at most, and the last responses finalResponseTime
// less cancelLead.
func (p *process) stopCore(logMember *member.Host, controlDrainer *drainer, c *components, stopWork func()) {
	shutdownCtx, cancel := context.WithTimeout(context.Background(), p.settings.Bounds.ShutdownTimeout.Std()/2-cancelLead)
	defer cancel()
	logMember.TransferLeadership(shutdownCtx)
	controlDrainer.settle(shutdownCtx)
	controlDrainer.drain(shutdownCtx)
	stopWork()
	c.close()
}
