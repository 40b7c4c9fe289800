package entry

import (
	"context"

	"github.com/bilberryferry/bilberryferry/internal/daemon"
)

// Serve runs bilberry-entryd until ctx ends.
func Serve(ctx context.Context, b *daemon.Base) error {
	e := New(b)
	e.Publish(b.Metrics)
	return b.Serve(ctx, daemon.Service{
		Address: b.Instance.Entry, AdminAddress: b.Instance.EntryAdmin, Handler: e.Handler(),
		Ready: e.Ready, Run: e.Run, BeginShutdown: e.BeginShutdown, Finish: e.finish,
	})
}

// finish rejects new requests and waits for those in flight. The slots of minions are
// released afterwards, when Run ends.
func (e *Entry) finish(ctx context.Context) {
	e.requestProxy.StopAccepting()
	if err := e.requestProxy.Wait(ctx); err != nil {
		e.base.Logger.Log("msg", "the shutdown limit was reached with requests in flight", "err", err)
	}
}
