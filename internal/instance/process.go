package instance

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"golang.org/x/sync/errgroup"

	"github.com/bilberryferry/bilberryferry/internal/apiserver"
	"github.com/bilberryferry/bilberryferry/internal/control"
	"github.com/bilberryferry/bilberryferry/internal/descriptors"
	"github.com/bilberryferry/bilberryferry/internal/gateway"
	"github.com/bilberryferry/bilberryferry/internal/link"
	"github.com/bilberryferry/bilberryferry/internal/oplog"
	"github.com/bilberryferry/bilberryferry/internal/rpc"
	"github.com/bilberryferry/bilberryferry/internal/settings"
	"github.com/bilberryferry/bilberryferry/internal/vfs"
)

// Limits of the servers and of the resources of a process.
const (
	headerTimeout = 3 * time.Second
	idleTimeout   = 60 * time.Second
	// reloadInterval is how often the settings file is checked for changes, since the
	// file may change without a SIGHUP.
	reloadInterval = time.Second
	// memoryLimitPercent is the soft memory limit of the garbage collector in percent of
	// the memory that the machine allows. The rest is for stacks and for memory that only
	// the operating system counts.
	memoryLimitPercent = 57
	// gcPercent makes the garbage collector run less often than by default, since memory
	// is cheaper here than processor time.
	gcPercent = 300
	// maxAuxiliaryConnections limits the connections of each of the servers for metrics,
	// readiness and the product API. The descriptor budget has no share for these
	// connections; they use descriptors that it reserves for files.
	maxAuxiliaryConnections = 32
)

// Exit codes of the daemons.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitSettings = 2
)

// process holds the settings, the log and the metrics of a running daemon.
type process struct {
	settings     *Settings
	settingsPath string
	sink         *oplog.Sink
	logger       log.Logger
	metrics      *oplog.Metrics
	files        vfs.FS
}

// Daemon is one of the two daemons, core or edge; see NewCore and NewEdge.
type Daemon struct {
	role string
	// loadControlTerms are the terms of a deployment's contract that call for load control.
	loadControlTerms []string
	run              func(context.Context, *process) error
	files            vfs.FS
}

// WithFiles returns the daemon with another file system for its data folder than that of the
// operating system.
func (d Daemon) WithFiles(files vfs.FS) Daemon {
	d.files = files
	return d
}

// Main loads the settings, runs a daemon until SIGTERM or SIGINT and returns the exit
// code. The path of the settings file is the first argument, or else SettingsEnv.
func Main(d Daemon) int {
	path := os.Getenv(SettingsEnv)
	if len(os.Args) > 1 {
		path = os.Args[1]
	}
	debug.SetGCPercent(gcPercent)
	ignoreUnhandledHangups()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err := d.Run(ctx, path, os.Stdout)
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errSettings):
		fmt.Fprintln(os.Stderr, err)
		return ExitSettings
	default:
		return ExitFailed
	}
}

// ignoreUnhandledHangups makes SIGHUP have no effect while watchSettings doesn't receive it. By
// default it would end the process, for instance if the settings file changes while the process
// starts.
func ignoreUnhandledHangups() { signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP) }

// errSettings marks errors of the settings file.
var errSettings = errors.New("settings")

// Run runs a daemon with the settings file at path until ctx ends. It writes its log to
// out.
func (d Daemon) Run(ctx context.Context, path string, out io.Writer) error {
	settings, err := Load(path)
	if err != nil {
		return errors.Mark(err, errSettings)
	}
	settings.LoadControl = settings.LoadControl || slices.ContainsFunc(settings.Terms, func(term string) bool { return slices.Contains(d.loadControlTerms, term) })
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(settings.MemoryMB) << 20 * memoryLimitPercent / 100)
	}
	sink := oplog.NewSink(out)
	defer sink.Close()
	p := &process{settings: settings, settingsPath: path, sink: sink, metrics: oplog.NewMetrics(), files: d.files}
	p.logger = oplog.NewLogger(sink, settings.Instance)
	_ = p.logger.Log("event", "start", "role", d.role, "address", settings.Address, "data_centre", settings.DataCentre,
		"seeds", len(settings.Seeds), "first_start", settings.FirstStart, "load_control", settings.LoadControl)
	err = d.run(ctx, p)
	_ = p.logger.Log("event", "stop", "role", d.role, "err", err)
	return err
}

// newServer returns a server with time limits against stalled and idle connections.
func newServer(address string, handler http.Handler) *http.Server {
	return &http.Server{
		Addr: address, Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
	}
}

// newInternalServer returns a server for other instances, which send messages of the
// replicated log over HTTP/2.
func newInternalServer(address string, handler http.Handler) *http.Server {
	server := rpc.NewServer(handler)
	server.Addr = address
	return server
}

// serve runs a server in group until Shutdown or Close is called.
func serve(group *errgroup.Group, server *http.Server) {
	group.Go(func() error {
		if err := server.ListenAndServe(); err != http.ErrServerClosed {
			return err
		}
		return nil
	})
}

// serveMetrics serves the metrics if the settings name an address. It returns the server
// in either case.
func (p *process) serveMetrics(group *errgroup.Group) *http.Server {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", p.metrics)
	server := newServer(p.settings.MetricsAddress, mux)
	descriptors.LimitServer(server, "metrics", maxAuxiliaryConnections, false, p.metrics)
	if p.settings.MetricsAddress != "" {
		serve(group, server)
	}
	return server
}

// serveAPI serves the product API if the settings name an address.
func (p *process) serveAPI(group *errgroup.Group, c *components) {
	c.apiServer = newInternalServer(p.settings.APIAddress, nil)
	descriptors.LimitServer(c.apiServer, "api", maxAuxiliaryConnections, false, p.metrics)
	if p.settings.APIAddress == "" {
		return
	}
	token, err := settings.ReadToken(p.settings.APITokenFile)
	if err != nil {
		group.Go(func() error { return err })
		return
	}
	c.apiServer.Handler = apiserver.New(c.operations, token, p.logger)
	serve(group, c.apiServer)
}

// components are the clients and servers that both daemons have.
type components struct {
	// internalAddress is where other instances reach this one.
	internalAddress string
	client          *link.Client
	mux             *link.Mux
	deployment      DeploymentClient
	gateway         *gateway.Gateway
	operations      *Operations
	internalServer  *http.Server
	metricsServer   *http.Server
	apiServer       *http.Server
}

// newComponents returns the components of this process. Every instance, including those
// that don't lead, queries the adviser on behalf of the leader.
func (p *process) newComponents(newDeploymentClient func(DeploymentAddresses) DeploymentClient, budget descriptors.Budget) *components {
	s := p.settings
	addresses := DeploymentAddresses{Adviser: s.AdviserAddress, Machines: s.MachineListAddress, MaxConnections: budget.ToExternal}
	c := &components{
		internalAddress: s.internalAddress(s.Address), client: link.NewClient(budget.ToInstances), mux: link.NewMux(),
		deployment: newDeploymentClient(addresses),
	}
	link.Handle(c.mux, control.MethodQueryAdviser, func(ctx context.Context, call *control.AdviserQuery) (control.AdviserReply, error) {
		return c.deployment.Query(ctx, *call)
	})
	c.gateway = gateway.New(c.client, c.internalAddress, s.seedAddresses(), p.logger)
	c.gateway.SetCounters(p.metrics)
	c.operations = newOperations(c.gateway)
	c.internalServer = newInternalServer(c.internalAddress, c.mux)
	descriptors.LimitServer(c.internalServer, "internal", budget.FromInstances, true, p.metrics)
	return c
}

// serveComponents serves other instances, the metrics and the product API, and applies
// changed settings.
func (p *process) serveComponents(ctx context.Context, group *errgroup.Group, c *components) {
	serve(group, c.internalServer)
	c.metricsServer = p.serveMetrics(group)
	p.serveAPI(group, c)
	group.Go(func() error {
		return p.watchSettings(ctx, func(next *Settings) { c.gateway.SetSeeds(next.seedAddresses()) })
	})
}

// close ends the servers of serveComponents.
func (c *components) close() {
	_ = c.internalServer.Close()
	_ = c.metricsServer.Close()
	_ = c.apiServer.Close()
}

// awaitStop waits until the process is asked to stop (ctx ends) or a part of the process
// has failed (workCtx ends).
func awaitStop(ctx, workCtx context.Context) {
	select {
	case <-ctx.Done():
	case <-workCtx.Done():
	}
}

// watchSettings calls changed with the new settings when the file has changed since the
// process read it at its start. It checks the file at SIGHUP and at each reloadInterval. A file that is unreadable or invalid
// changes nothing.
func (p *process) watchSettings(ctx context.Context, changed func(*Settings)) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	lastContent := p.settings.text
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hangups:
		case <-ticker.C:
		}
		p.logDropped()
		data, err := os.ReadFile(p.settingsPath)
		if err != nil || string(data) == lastContent {
			continue
		}
		lastContent = string(data)
		settings, err := Parse(lastContent)
		_ = p.logger.Log("event", "reload", "err", err)
		if err == nil {
			changed(settings)
		}
	}
}

// logDropped logs how many log lines were dropped since the last call.
func (p *process) logDropped() {
	if n := p.sink.TakeDropped(); n > 0 {
		_ = p.logger.Log("event", "log_lines_dropped", "lines", n)
	}
}
