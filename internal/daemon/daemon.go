// Package daemon implements what bilberry-entryd and bilberry-celld share: flags,
// settings, logs, the admin port with metrics, health and profiles, and the order of
// start and shutdown.
package daemon

import (
	"context"
	"expvar"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/pprof"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"github.com/bilberryferry/bilberryferry/hlc"
	"github.com/bilberryferry/bilberryferry/internal/directory"
	"github.com/bilberryferry/bilberryferry/internal/event"
	"github.com/bilberryferry/bilberryferry/internal/peer"
	"github.com/bilberryferry/bilberryferry/internal/rpc"
	"github.com/bilberryferry/bilberryferry/internal/settings"
	"github.com/bilberryferry/bilberryferry/internal/vfs"
)

// cellRole is the role of the process that stores the state of its data centre.
const cellRole = "cell"

// Exit codes of the daemons.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitSettings = 2
)

// softMemoryLimit is the memory in bytes above which the garbage collector runs more
// often. A daemon may use 64 MB. Without the limit, garbage grows to the size of the
// live heap, which exceeds 64 MB during bursts. A daemon that needs more than the limit
// keeps running and uses more processor time. GOMEMLIMIT overrides the limit.
const softMemoryLimit = 48 << 20

// adminHeaderTimeout bounds how long a client of the admin address may take to send the
// header of a request.
const adminHeaderTimeout = 5 * time.Second

// Base holds what each process of an instance needs: its settings, clients, logs and
// metrics.
type Base struct {
	Settings  *settings.Settings
	Instance  *settings.Instance
	Tokens    *settings.TokenSet
	Directory *directory.Directory
	Clock     *hlc.Clock
	Events    *event.Recorder
	Logger    log.Logger
	Metrics   *expvar.Map
	// Dial opens the connections of the process; nil means plain TCP.
	Dial rpc.Dial
	// Listener, if set, is served instead of the address in the settings.
	Listener net.Listener
	// LogClock is the clock of the replicated logs; see node.Config.Now.
	LogClock func() time.Time
	// ForceStart is true if an operator has decided that the missing members of the
	// data centre's log won't come back.
	ForceStart bool
}

// NewBase returns the Base of a process of an instance. role names the process in logs
// and events, such as "entry". dial opens its connections; nil means plain TCP. It
// returns an error if the instance is unknown, or its tokens or its event file can't be
// read.
func NewBase(s *settings.Settings, instance, role string, logs io.Writer, dial rpc.Dial) (*Base, error) {
	ownInstance, err := s.Instance(instance)
	if err != nil {
		return nil, err
	}
	tokens, err := s.LoadTokens()
	if err != nil {
		return nil, err
	}
	clock := new(hlc.Clock)
	name := ownInstance.ID + "/" + role
	eventsFile, err := openEvents(ownInstance, role)
	if err != nil {
		return nil, err
	}
	base := &Base{
		Settings: s, Instance: ownInstance, Tokens: tokens, Clock: clock,
		Events:  event.NewRecorder(event.Config{Instance: name, DataCentre: ownInstance.DataCentre, Clock: clock, File: eventsFile}),
		Logger:  newLogger(logs, s.Log.Level, name),
		Metrics: new(expvar.Map).Init(),
		Dial:    dial,
	}
	if dial == nil {
		dial = (&net.Dialer{Timeout: rpc.DialTimeout}).DialContext
	}
	dialer := &peer.Dialer{Dial: dial}
	base.Directory = directory.New(s, rpc.NewClient(dialer.DialContext))
	base.publishTraffic("dialled", dialer.Bytes)
	return base, nil
}

// Fatal logs an error and ends the process at once.
func (b *Base) Fatal(err error) {
	_ = level.Error(b.Logger).Log("msg", "ending at once", "err", err)
	os.Exit(ExitFailed)
}

// Traffic is the number of bytes on one kind of connections, with the overhead of HTTP
// and without that of TCP and IP.
type Traffic struct {
	BytesSent, BytesReceived uint64
}

// publishTraffic adds the traffic of a kind of connections to the metrics. Accepted
// connections are those of callers, workers and other instances; dialled ones carry
// forwarded calls. The streams of replicated logs and the requests to minions have
// their own connections, which are counted where they are opened.
func (b *Base) publishTraffic(kind string, bytes func() (sent, received uint64)) {
	b.Metrics.Set(kind, expvar.Func(func() any {
		sent, received := bytes()
		return Traffic{BytesSent: sent, BytesReceived: received}
	}))
}

// openEvents opens the event file of the cell process of an instance with a disk. It
// returns nil for other processes.
func openEvents(instance *settings.Instance, role string) (*event.File, error) {
	if instance.DataFolder == "" || role != cellRole {
		return nil, nil
	}
	if err := vfs.MkdirAllDurable(vfs.OS{}, instance.DataFolder); err != nil {
		return nil, err
	}
	return event.OpenFile(filepath.Join(instance.DataFolder, "events.jsonl"), event.DefaultFileBytes)
}

// newLogger returns a logger that writes lines of the minimum level or above, each with the
// time and the instance's name.
func newLogger(w io.Writer, minimum, name string) log.Logger {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(w))
	logger = level.NewFilter(logger, level.Allow(level.ParseDefault(minimum, level.InfoValue())))
	logger = level.NewInjector(logger, level.InfoValue())
	return log.With(logger, "ts", log.DefaultTimestampUTC, "instance", name)
}

// Service is what Serve runs in a process.
type Service struct {
	// Address is where Handler is served.
	Address string
	Handler http.Handler
	// AdminAddress is the address for metrics, health and profiles; if it is empty, they aren't
	// served.
	AdminAddress string
	// Ready reports whether the process may serve callers.
	Ready func() bool
	// Run does the background work of the process until its context ends.
	Run func(context.Context) error
	// BeginShutdown ends readiness and held calls. Requests in flight continue.
	BeginShutdown func()
	// Finish, if set, is called after the server has shut down and before the context of
	// Run ends. Its context ends at the shutdown limit.
	Finish func(context.Context)
}

// Serve runs a service until ctx ends or a part of it fails, and then shuts it down
// gracefully: it ends readiness and held calls, and waits for the requests in flight up
// to the shutdown limit of the settings.
func (b *Base) Serve(ctx context.Context, s Service) error {
	listener := b.Listener
	if listener == nil {
		var err error
		if listener, err = net.Listen("tcp", s.Address); err != nil {
			return err
		}
	}
	counted := peer.NewListener(listener)
	b.publishTraffic("accepted", counted.Bytes)
	server := rpc.NewServer(s.Handler)
	group, groupCtx := errgroup.WithContext(ctx)
	workCtx, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	group.Go(func() error { return ignoreClosed(server.Serve(counted)) })
	group.Go(func() error { return s.Run(workCtx) })
	stopAdmin := b.serveAdmin(group, s)
	group.Go(func() error {
		<-groupCtx.Done()
		b.Logger.Log("msg", "shutting down")
		s.BeginShutdown()
		limit := time.Duration(b.Settings.Timing.Shutdown)
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
		defer cancel()
		err := server.Shutdown(shutdownCtx)
		if s.Finish != nil {
			s.Finish(shutdownCtx)
		}
		stopWork()
		stopAdmin()
		return err
	})
	err := group.Wait()
	b.closeEvents()
	return err
}

// closeEvents writes the last events to the file. A failure is only logged, since
// nothing depends on the events.
func (b *Base) closeEvents() {
	if err := b.Events.Close(); err != nil {
		_ = b.Logger.Log("msg", "could not write the last events to the event file", "err", err)
	}
}

// ignoreClosed returns err, or nil if the server was closed on purpose.
func ignoreClosed(err error) error {
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

// serveAdmin serves metrics, health and profiles on a separate address, so that
// callers can't reach them. It returns a function that closes the server.
func (b *Base) serveAdmin(group *errgroup.Group, s Service) (stop func()) {
	if s.AdminAddress == "" {
		return func() {}
	}
	admin := &http.Server{Addr: s.AdminAddress, Handler: b.adminHandler(s.Ready), ReadHeaderTimeout: adminHeaderTimeout}
	group.Go(func() error { return ignoreClosed(admin.ListenAndServe()) })
	return func() { _ = admin.Close() }
}

// adminHandler returns the handler for metrics, health, readiness and profiles.
func (b *Base) adminHandler(ready func() bool) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintln(w, b.Metrics.String())
	})
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	return mux
}

// Main reads the flags of a daemon, loads its settings and runs it until
// SIGTERM or SIGINT. It returns an exit code: ExitSettings for invalid flags or settings,
// ExitFailed if the service failed.
func Main(role string, run func(ctx context.Context, b *Base) error) int {
	flags := flag.NewFlagSet("bilberry-"+role+"d", flag.ContinueOnError)
	path := flags.String("settings", "", "settings file of the deployment (TOML)")
	instance := flags.String("instance", "", "id of the instance that this process belongs to")
	force := new(bool)
	if role == cellRole {
		force = flags.Bool("force-start", false, "lead the data centre's log alone; only when the other members are lost for good")
	}
	if err := flags.Parse(os.Args[1:]); err != nil {
		return ExitSettings
	}
	if *path == "" || *instance == "" || flags.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "usage: %s --settings FILE --instance ID\n", flags.Name())
		return ExitSettings
	}
	s, err := settings.Load(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitSettings
	}
	base, err := NewBase(s, *instance, role, os.Stderr, nil)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitSettings
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(softMemoryLimit)
	}
	base.ForceStart = *force
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := run(ctx, base); err != nil {
		base.Logger.Log("msg", "failed", "err", err)
		return ExitFailed
	}
	base.Logger.Log("msg", "stopped")
	return ExitOK
}
