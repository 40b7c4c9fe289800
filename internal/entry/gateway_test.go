package entry

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/hlc"
	"github.com/bilberryferry/bilberryferry/internal/daemon"
	"github.com/bilberryferry/bilberryferry/internal/directory"
	"github.com/bilberryferry/bilberryferry/internal/rpc"
	"github.com/bilberryferry/bilberryferry/internal/settings"
)

// fakeGateway is the worker gateway of a fake cell, which responds to renewals with the
// result of renew.
type fakeGateway struct {
	apiv1.WorkerGateway
	renew func(context.Context, *apiv1.RenewRequest) (*apiv1.RenewResponse, error)
}

func (g *fakeGateway) Renew(ctx context.Context, r *apiv1.RenewRequest) (*apiv1.RenewResponse, error) {
	return g.renew(ctx, r)
}

// startFakeCell serves a fakeGateway and returns its address.
func startFakeCell(t *testing.T, renew func(context.Context, *apiv1.RenewRequest) (*apiv1.RenewResponse, error)) string {
	server := httptest.NewUnstartedServer(apiv1.NewWorkerGatewayServer(&fakeGateway{renew: renew}))
	server.Config = rpc.NewServer(server.Config.Handler)
	server.Start()
	t.Cleanup(server.CloseClientConnections)
	return server.Listener.Addr().String()
}

// Guards against the expiry of a healthy worker's lease, which makes the outcome of the
// worker's tasks unknown: the leader freezes while it holds the renewal, the entry instance
// retries at the new leader, and the new leader holds the renewal again. Two holds in a
// row outlast the lease.
func TestRetriedRenewalIsNotHeldAgain(t *testing.T) {
	frozen := startFakeCell(t, func(ctx context.Context, _ *apiv1.RenewRequest) (*apiv1.RenewResponse, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	holds := make(chan int64, 1)
	healthy := startFakeCell(t, func(_ context.Context, r *apiv1.RenewRequest) (*apiv1.RenewResponse, error) {
		holds <- r.HoldMs
		return &apiv1.RenewResponse{Term: 2}, nil
	})
	s := settings.Default()
	s.Timing.RenewHold = settings.Duration(100 * time.Millisecond)
	s.Instances = []settings.Instance{
		{ID: "a", DataCentre: "dc", Cell: frozen},
		{ID: "b", DataCentre: "dc", Cell: healthy},
	}
	e := New(&daemon.Base{
		Settings: &s, Instance: &s.Instances[0], Directory: directory.New(&s, rpc.NewClient(nil)),
		Clock: new(hlc.Clock), Logger: log.NewNopLogger(),
	})
	ctx := rpc.WithCaller(t.Context(), rpc.Caller{Identity: settings.Identity{Role: settings.Worker}, Bearer: "Bearer x"})
	response, err := e.Renew(ctx, &apiv1.RenewRequest{Worker: "w", Incarnation: 1, HoldMs: 10_000})
	must.NoError(t, err)
	must.Eq(t, 2, response.Term)
	must.Eq(t, 0, <-holds)
}
