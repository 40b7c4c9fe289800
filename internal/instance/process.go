package instance

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/bilberryferry/bilberryferry/internal/apiserver"
	"github.com/bilberryferry/bilberryferry/internal/control"
	"github.com/bilberryferry/bilberryferry/internal/descriptors"
	"github.com/bilberryferry/bilberryferry/internal/gateway"
	"github.com/bilberryferry/bilberryferry/internal/link"
	"github.com/bilberryferry/bilberryferry/internal/oplog"
	"github.com/bilberryferry/bilberryferry/internal/overload"
	"github.com/bilberryferry/bilberryferry/internal/panics"
	"github.com/bilberryferry/bilberryferry/internal/peermem"
	"github.com/bilberryferry/bilberryferry/internal/rpc"
	"github.com/bilberryferry/bilberryferry/internal/settings"
	"github.com/bilberryferry/bilberryferry/internal/vfs"
	"github.com/bilberryferry/bilberryferry/internal/worktime"
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

// internalCloseTimeout bounds how long calls in flight of other instances, and of the product API, may
// still respond when the process stops.
const internalCloseTimeout = 200 * time.Millisecond

// Exit codes of the daemons.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitSettings = 2
)

// process holds the settings, the log and the metrics of a running daemon.
type process struct {
	role     string
	settings *Settings
	// settingsContent is the content of the file at settingsPath that settings were read from.
	settingsPath, settingsContent string
	// hangups receives SIGHUP; nil if the daemon doesn't own the signals of its process.
	hangups <-chan os.Signal
	sink    *oplog.Sink
	logger  log.Logger
	metrics *oplog.Metrics
	files   vfs.FS
	// run is this run of the process as it is recorded in the data folder; nil without one.
	run *recordedRun
	// budgets bound the memory that each server holds for its clients.
	budgets map[*http.Server]*peermem.Budget
	// work sums up the time of a core instance's parts. The scheduling delays are measured while load control is
	// on: each reader has a mean of its own, since the time of its last reading.
	work                             *worktime.Ledger
	delayForCarriers, delayForLeader overload.MeanDelay
}

// Daemon is one of the two daemons, core or edge; see NewCore and NewEdge.
type Daemon struct {
	role    string
	run     func(context.Context, *process) error
	files   vfs.FS
	hangups <-chan os.Signal
	// ownsProcess says that the process runs nothing but this daemon.
	ownsProcess bool
}

// WithFiles returns the daemon with another file system for its data folder than that of the
// operating system.
func (d Daemon) WithFiles(files vfs.FS) Daemon {
	d.files = files
	return d
}

// Main loads the settings, runs a daemon until SIGTERM or SIGINT and returns the exit
// code. The path of the settings file is the first argument, or else SettingsEnv. Each signal
// of hangups makes it check that file for changes.
func Main(d Daemon, hangups <-chan os.Signal) int {
	d.hangups, d.ownsProcess = hangups, true
	// Otherwise a write to standard output or error ends the process once the reader is gone.
	signal.Ignore(syscall.SIGPIPE)
	path := os.Getenv(SettingsEnv)
	if len(os.Args) > 1 {
		path = os.Args[1]
	}
	debug.SetGCPercent(gcPercent)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err := d.Run(ctx, path, os.Stdout)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(os.Stderr, err)
	if errors.Is(err, errSettings) {
		return ExitSettings
	}
	return ExitFailed
}

// errSettings marks errors of the settings file.
var errSettings = errors.New("settings")

// Run runs a daemon with the settings file at path until ctx ends. It writes its log to
// out.
func (d Daemon) Run(ctx context.Context, path string, out io.Writer) error {
	settings, content, err := Load(ctx, path)
	if err != nil {
		return errors.Mark(err, errSettings)
	}
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(settings.MemoryMB) << 20 * memoryLimitPercent / 100)
	}
	sink := oplog.NewSink(out)
	p := &process{
		role: d.role, settings: settings, settingsPath: path, settingsContent: content, hangups: d.hangups,
		sink: sink, metrics: oplog.NewMetrics(), files: d.files, work: worktime.NewLedger(),
		budgets: map[*http.Server]*peermem.Budget{},
	}
	p.logger = oplog.NewLogger(sink, settings.Instance)
	_ = p.logger.Log("event", "start", "role", d.role, "address", settings.Address, "data_centre", settings.DataCentre,
		"seeds", len(settings.Seeds), "first_start", settings.FirstStart, "load_control", settings.LoadControl)
	if d.ownsProcess {
		panics.SetReporter(p.logPanic)
	}
	defer panics.Handle()
	p.beginRun(d.ownsProcess)
	err = d.run(ctx, p)
	p.recordEnd(stopCause(ctx), err)
	return err
}

// causeFailure is the cause of a stop that nothing asked for.
const causeFailure = "failure"

// stopCause returns what asked the process to stop, such as a signal by its name; if nothing has, a
// part of the process failed.
func stopCause(ctx context.Context) string {
	if ctx.Err() == nil {
		return causeFailure
	}
	return context.Cause(ctx).Error()
}

// recordEnd records the end of the process, which cause asked for, and logs it as the last line.
func (p *process) recordEnd(cause string, err error) {
	p.run.end(err)
	p.logLast(oplog.CloseTimeout, "event", "stop", "role", p.role, "cause", cause, "err", err)
}

// fatal ends the process at once, after a line with the reason.
func (p *process) fatal(err error) {
	p.recordEnd(causeFailure, err)
	os.Exit(ExitFailed)
}

// panicLogTimeout bounds how long a panic waits for its line to be written. Other goroutines still
// run meanwhile, with whatever state the panic has left.
const panicLogTimeout = 50 * time.Millisecond

// logPanic logs a panic, which ends the process, as its last line.
func (p *process) logPanic(report panics.Report) {
	p.logLast(panicLogTimeout, "event", "panic", "role", p.role, "reason", report.Reason, "place", report.Place)
}

// logLast logs the last line of the process, whatever the limits of the log say, and waits for
// timeout at most until all lines are written.
func (p *process) logLast(timeout time.Duration, fields ...any) {
	var line bytes.Buffer
	_ = oplog.NewLogger(&line, p.settings.Instance).Log(fields...)
	p.sink.CloseWith(line.Bytes(), timeout)
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

// memoryShare is what a server may hold for its clients: a share of the memory of the process, as a divisor, and the
// receive buffer of each connection in bytes.
type memoryShare struct {
	divisor       int64
	receiveBuffer int
}

// Shares of the servers. A request takes up to three times its size while it is decoded. Other instances send parts of
// the log, which a member that is behind must receive faster than the log grows.
var (
	externalMemory  = memoryShare{divisor: 8, receiveBuffer: 16 << 10}
	internalMemory  = memoryShare{divisor: 8, receiveBuffer: 128 << 10}
	auxiliaryMemory = memoryShare{divisor: 32, receiveBuffer: 16 << 10}
)

// defaultMemoryMB is assumed for a process without a memory limit.
const defaultMemoryMB = 1024

// memoryRetryAfter is when a client should retry, in seconds, whose request was refused for want of memory.
const memoryRetryAfter = "1"

// refuseForMemory responds to a request that was refused for want of memory and hasn't run.
func refuseForMemory(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Retry-After", memoryRetryAfter)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// limitServer bounds the connections of a server and the memory that it holds for its clients.
func (p *process) limitServer(server *http.Server, name string, connections int, perHost bool, memory memoryShare) {
	descriptors.LimitServer(server, name, connections, perHost, p.metrics)
	available := int64(cmp.Or(p.settings.MemoryMB, defaultMemoryMB)) << 20
	p.budgets[server] = peermem.NewBudget(name, available/memory.divisor, memory.receiveBuffer, p.logger, p.metrics)
}

// serve runs a server in group until Shutdown or Close is called.
func (p *process) serve(ctx context.Context, group *panics.Group, server *http.Server) {
	p.serveAndNotify(ctx, group, server, func() {})
}

// serveAndNotify is like serve and calls listening once the server listens.
func (p *process) serveAndNotify(ctx context.Context, group *panics.Group, server *http.Server, listening func()) {
	budget := p.budgets[server]
	logServerErrors(server, p.logger)
	budget.Serve(server, refuseForMemory)
	group.Go(func() error { return listenAndServe(ctx, server, budget, p.logger, listening) })
}

// serveMetrics serves the metrics if the settings name an address. It returns the server
// in either case.
func (p *process) serveMetrics(ctx context.Context, group *panics.Group) *http.Server {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", p.metrics)
	server := newServer(p.settings.MetricsAddress, mux)
	p.limitServer(server, "metrics", maxAuxiliaryConnections, false, auxiliaryMemory)
	if p.settings.MetricsAddress != "" {
		p.serve(ctx, group, server)
	}
	return server
}

// serveAPI serves the product API if the settings name an address.
func (p *process) serveAPI(ctx context.Context, group *panics.Group, c *components) {
	c.apiServer = newInternalServer(p.settings.APIAddress, nil)
	p.limitServer(c.apiServer, "api", maxAuxiliaryConnections, false, auxiliaryMemory)
	if p.settings.APIAddress == "" {
		return
	}
	token, err := settings.ReadToken(p.settings.APITokenFile)
	if err != nil {
		group.Go(func() error { return err })
		return
	}
	c.apiServer.Handler = apiserver.New(c.operations, token, p.logger)
	p.serve(ctx, group, c.apiServer)
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
	c.operations = newOperations(c.gateway, p.logger)
	c.internalServer = newInternalServer(c.internalAddress, c.mux)
	p.limitServer(c.internalServer, "internal", budget.FromInstances, true, internalMemory)
	return c
}

// serveComponents serves other instances, the metrics and the product API, and calls changed
// with changed settings.
func (p *process) serveComponents(ctx context.Context, group *panics.Group, c *components, changed func(*Settings)) {
	p.serve(ctx, group, c.internalServer)
	c.metricsServer = p.serveMetrics(ctx, group)
	p.serveAPI(ctx, group, c)
	group.Go(func() error { return p.watchSettings(ctx, changed) })
}

// close ends the servers of serveComponents. Calls in flight have internalCloseTimeout to respond:
// the work that they wait for has ended, so they fail at once, and their callers learn whether
// anything was done.
func (c *components) close() {
	ctx, cancel := context.WithTimeout(context.Background(), internalCloseTimeout)
	defer cancel()
	closing, _ := panics.NewGroup(ctx)
	for _, server := range []*http.Server{c.internalServer, c.metricsServer, c.apiServer} {
		closing.Go(func() error { return errors.CombineErrors(server.Shutdown(ctx), server.Close()) })
	}
	_ = closing.Wait()
}

// awaitStop waits until the process is asked to stop (ctx ends) or a part of the process
// has failed (workCtx ends).
func awaitStop(ctx, workCtx context.Context) {
	select {
	case <-ctx.Done():
	case <-workCtx.Done():
	}
}

// watchSettings calls changed with the new settings when the file has changed since its load. It
// checks the file at SIGHUP and at each reloadInterval. A file that is unreadable or invalid
// changes nothing.
func (p *process) watchSettings(ctx context.Context, changed func(*Settings)) error {
	lastContent := p.settingsContent
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.hangups:
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
