package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/directory"
	"github.com/bilberryferry/bilberryferry/internal/rpc"
	"github.com/bilberryferry/bilberryferry/internal/settings"
	"github.com/bilberryferry/bilberryferry/internal/wire"
	"github.com/bilberryferry/bilberryferry/routing"
)

var _ apiv1.MinionGateway = (*Entry)(nil)

// Bounds of what a minion may announce.
const (
	maxSlots       = 10_000
	maxConnections = 100_000
	maxNameLength  = 128
)

// routingOptions are the options of the request path from the settings.
func (e *Entry) routingOptions() routing.Options {
	options := routing.DefaultOptions()
	options.Entry = e.base.Instance.ID
	options.Incarnation = uint64(e.started.UnixMilli())
	options.Lease = wire.LeaseOptions(e.base.Settings.Timing)
	return options
}

// customerOf names the customer of a request to a service.
func (e *Entry) customerOf(r *http.Request) (string, error) {
	identity, err := e.base.Tokens.Authenticate(r.Header.Get("Authorization"))
	if err != nil {
		return "", err
	}
	if identity.Role != settings.Customer {
		return "", fault.New(fault.Denied, "a token of role %s may not call services", identity.Role)
	}
	return identity.Customer, nil
}

// renewSlotLeases renews the slot leases at the leader of this data centre.
func (e *Entry) renewSlotLeases(ctx context.Context, r *apiv1.ShareSlotsRequest) (*apiv1.ShareSlotsResponse, error) {
	ctx, err := rpc.WithBearer(ctx, "Bearer "+e.base.Tokens.Token(settings.Peer))
	if err != nil {
		return nil, err
	}
	var answer *apiv1.ShareSlotsResponse
	options := directory.CallOptions{AttemptTimeout: time.Duration(e.base.Settings.Timing.SlotLease) / 4}
	err = e.base.Directory.CallLeader(ctx, e.base.Instance.DataCentre, options, func(ctx context.Context, base string) error {
		var err error
		answer, err = e.clientsOf(base).peer.ShareSlots(ctx, r)
		return err
	})
	return answer, err
}

// Announce takes a minion's announcement. The leader hears of it with the next
// slot request.
func (e *Entry) Announce(ctx context.Context, r *apiv1.AnnounceRequest) (*apiv1.AnnounceResponse, error) {
	if _, err := rpc.Require(ctx, settings.Minion); err != nil {
		return nil, err
	}
	if err := checkAnnouncement(r); err != nil {
		return nil, err
	}
	e.requestProxy.Announce(r)
	return &apiv1.AnnounceResponse{TtlMs: time.Duration(e.base.Settings.Timing.MinionTTL).Milliseconds()}, nil
}

func checkAnnouncement(r *apiv1.AnnounceRequest) error {
	switch {
	case r.Minion == "" || len(r.Minion) > maxNameLength:
		return fault.Field("minion", "must have 1 to %d bytes", maxNameLength)
	case r.Service == "" || len(r.Service) > maxNameLength:
		return fault.Field("service", "must have 1 to %d bytes", maxNameLength)
	case r.Slots <= 0 || r.Slots > maxSlots:
		return fault.Field("slots", "must be 1 to %d", maxSlots)
	case r.MaxConnections < 0 || r.MaxConnections > maxConnections:
		return fault.Field("max_connections", "must be 0 to %d", maxConnections)
	case r.Incarnation == 0:
		return fault.Field("incarnation", "missing")
	}
	host, _, err := net.SplitHostPort(r.Address)
	if err != nil || net.ParseIP(host) == nil {
		return fault.Field("address", "%q is no IP address with a port", r.Address)
	}
	return nil
}

// LeaveMinion takes a minion out of use at once.
func (e *Entry) LeaveMinion(ctx context.Context, r *apiv1.LeaveMinionRequest) (*apiv1.LeaveResponse, error) {
	if _, err := rpc.Require(ctx, settings.Minion); err != nil {
		return nil, err
	}
	e.requestProxy.Leave(r)
	return &apiv1.LeaveResponse{}, nil
}
