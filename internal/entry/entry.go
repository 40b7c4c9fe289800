// Package entry implements bilberry-entryd, the daemon that callers, operators,
// workers and minions connect to. It forwards each call to the data centre that
// owns the job or worker, and requests for services to minions. It keeps no
// durable state.
package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/twitchtv/twirp"
	"golang.org/x/sync/errgroup"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/conf"
	"github.com/bilberryferry/bilberryferry/internal/daemon"
	"github.com/bilberryferry/bilberryferry/internal/directory"
	"github.com/bilberryferry/bilberryferry/internal/proxy"
	"github.com/bilberryferry/bilberryferry/internal/rpc"
	"github.com/bilberryferry/bilberryferry/internal/settings"
	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/routing"
)

// Time limits of the calls that an entry instance forwards.
const (
	// leaderSearchTimeout is how long a forwarded call searches for a leader. That is
	// long enough for an election and the first decisions of the new leader.
	leaderSearchTimeout = 4 * time.Second
	// holdMargin is how much longer a held call may take than the leader may hold
	// it.
	holdMargin = 500 * time.Millisecond
	// submitAttemptTimeout bounds one attempt of a submission. It is longer than the
	// timeout of other calls, since a submission may wait for another data centre to
	// answer a handover offer.
	submitAttemptTimeout = 2500 * time.Millisecond
)

// Entry is the entry process of one instance. It is safe for concurrent use.
type Entry struct {
	base    *daemon.Base
	config  conf.Holder
	started time.Time

	// requestProxy forwards requests for services to minions.
	requestProxy *proxy.Handler
	stats        Stats

	mu      sync.Mutex
	clients map[string]clients

	ready     atomic.Bool
	readyOnce sync.Once
	draining  chan struct{} // closed when held calls must end
	drainOnce sync.Once
}

// clients are the API clients for one process of an instance.
type clients struct {
	scheduler  apiv1.Scheduler
	operations apiv1.Operations
	workers    apiv1.WorkerGateway
	peer       apiv1.Peer
}

// New returns an Entry that isn't running or ready yet.
func New(b *daemon.Base) *Entry {
	e := &Entry{
		base: b, started: time.Now(), clients: make(map[string]clients), draining: make(chan struct{}),
	}
	e.requestProxy = proxy.New(proxy.Config{
		Balancer: routing.NewBalancer(e.routingOptions()), DataCentre: b.Instance.DataCentre,
		Authenticate: e.customerOf, MaxBody: int64(b.Settings.Limits.Body), Logger: b.Logger,
		Dial: b.Dial,
	})
	return e
}

// Handler returns the handler for callers, operators, workers and minions.
func (e *Entry) Handler() http.Handler {
	hooks := twirp.WithServerInterceptors(rpc.ErrorInterceptor())
	servers := []apiv1.TwirpServer{
		apiv1.NewSchedulerServer(e, hooks),
		apiv1.NewOperationsServer(e, hooks),
		apiv1.NewWorkerGatewayServer(e, hooks),
		apiv1.NewMinionGatewayServer(e, hooks),
	}
	mux := http.NewServeMux()
	for _, server := range servers {
		mux.Handle(server.PathPrefix(), server)
	}
	outer := http.NewServeMux()
	outer.Handle("/", rpc.Authenticate(e.base.Tokens, int64(e.base.Settings.Limits.Body), e.countCalls(mux)))
	outer.Handle(proxy.Prefix, e.requestProxy)
	return outer
}

// countCalls counts the calls that next serves.
func (e *Entry) countCalls(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.stats.Calls.Add(1)
		next.ServeHTTP(w, r)
	})
}

// Ready reports whether the instance may serve callers: it knows the configuration
// in force in its data centre and isn't shutting down.
func (e *Entry) Ready() bool { return e.ready.Load() }

// BeginShutdown ends readiness, waits until the platform's balancer has had time to
// notice that, and then ends held calls. Requests in flight continue.
func (e *Entry) BeginShutdown() {
	e.drainOnce.Do(func() {
		e.ready.Store(false)
		time.Sleep(time.Duration(e.base.Settings.Timing.UnreadyGrace))
		close(e.draining)
	})
}

// Run follows the configuration and renews slot leases until ctx ends.
func (e *Entry) Run(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error {
		e.followConfig(ctx)
		return nil
	})
	group.Go(func() error {
		e.requestProxy.RenewSlotLeases(ctx, e.renewSlotLeases)
		return nil
	})
	return group.Wait()
}

// clientsOf returns the clients for the process at a base URL. It creates them once.
func (e *Entry) clientsOf(baseURL string) clients {
	e.mu.Lock()
	defer e.mu.Unlock()
	c, ok := e.clients[baseURL]
	if !ok {
		client := e.base.Directory.Client()
		c = clients{
			scheduler:  apiv1.NewSchedulerProtobufClient(baseURL, client),
			operations: apiv1.NewOperationsProtobufClient(baseURL, client),
			workers:    apiv1.NewWorkerGatewayProtobufClient(baseURL, client),
			peer:       apiv1.NewPeerProtobufClient(baseURL, client),
		}
		e.clients[baseURL] = c
	}
	return c
}

// forward makes a call on the leader of a data centre with the credentials of the
// caller.
func forward[T any](ctx context.Context, e *Entry, dataCentre string, options directory.CallOptions, call func(context.Context, clients) (T, error)) (T, error) {
	var response T
	ctx, err := rpc.WithCallerBearer(ctx)
	if err != nil {
		return response, err
	}
	err = e.base.Directory.CallLeader(ctx, dataCentre, options, func(ctx context.Context, baseURL string) error {
		var err error
		response, err = call(ctx, e.clientsOf(baseURL))
		return err
	})
	return response, err
}

// fanOut makes a call on the leaders of all data centres in parallel. It returns the
// responses and the names of the data centres that were unreachable. Any other error
// fails the whole call.
func fanOut[T any](ctx context.Context, e *Entry, call func(context.Context, clients) (T, error)) ([]T, []string, error) {
	names := e.base.Settings.DataCentres()
	responses := make([]T, len(names))
	errs := make([]error, len(names))
	var group sync.WaitGroup
	for i, name := range names {
		group.Go(func() { responses[i], errs[i] = forward(ctx, e, name, directory.CallOptions{}, call) })
	}
	group.Wait()
	var reached []T
	var unreachable []string
	for i, err := range errs {
		switch {
		case err == nil:
			reached = append(reached, responses[i])
		case fault.Is(err, fault.Unavailable):
			unreachable = append(unreachable, names[i])
		default:
			return nil, nil, err
		}
	}
	return reached, unreachable, nil
}

// followConfig keeps the configuration in force up to date by long polls of the leader.
// The instance becomes ready only after the first response: it has no disk, so after a
// restart it doesn't know which version it applied before, and it must not serve an older
// one.
func (e *Entry) followConfig(ctx context.Context) {
	hold := time.Duration(e.base.Settings.Timing.RenewHold)
	for ctx.Err() == nil {
		authCtx, err := rpc.WithBearer(ctx, "Bearer "+e.base.Tokens.Token(settings.Peer))
		if err != nil {
			return
		}
		var adopted *apiv1.Config
		knownVersion := e.config.Current().Version
		request := &apiv1.FetchConfigRequest{Adopted: true, AfterVersion: knownVersion}
		if e.ready.Load() {
			request.WaitMs = hold.Milliseconds()
		}
		options := directory.CallOptions{AttemptTimeout: hold + holdMargin}
		err = e.base.Directory.CallLeader(authCtx, e.base.Instance.DataCentre, options, func(ctx context.Context, baseURL string) error {
			var err error
			adopted, err = e.clientsOf(baseURL).peer.FetchConfig(ctx, request)
			return err
		})
		if err != nil {
			wait.For(ctx, configRetryDelay)
			continue
		}
		e.applyConfig(adopted)
	}
}

// configRetryDelay is the wait after a failed attempt to fetch the configuration.
const configRetryDelay = 200 * time.Millisecond

// applyConfig applies a configuration of the leader if it is newer than the current one.
// The first call makes the instance ready.
func (e *Entry) applyConfig(adopted *apiv1.Config) {
	if adopted.Version > e.config.Current().Version {
		e.setConfig(adopted)
	}
	e.readyOnce.Do(func() {
		e.ready.Store(true)
		e.base.Logger.Log("msg", "ready", "config", e.config.Current().Version)
	})
}

// setConfig puts a configuration in force. If its document can't be parsed, the
// previous document stays in force, and the configuration records the error.
func (e *Entry) setConfig(adopted *apiv1.Config) {
	document, err := conf.Parse(adopted.Document)
	config := conf.Config{
		Version: adopted.Version, Text: adopted.Document, Document: document,
		Author: adopted.Author, Accepted: time.UnixMilli(adopted.AcceptedUnixMs),
	}
	if err != nil {
		config.Document = e.config.Current().Document
		config.Unreadable = err.Error()
	}
	e.config.Set(config)
	e.base.Events.Record("configuration in force", "", "config")
}
