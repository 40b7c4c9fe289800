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

// Limits of the values that a minion may announce. maxNameLength is in bytes.
const (
	maxSlots       = 10_000
	maxConnections = 100_000
	maxNameLength  = 128
)

// routingOptions returns the options of the balancer for requests to minions.
func (e *Entry) routingOptions() routing.Options {
	options := routing.DefaultOptions()
	options.Entry = e.base.Instance.ID
	options.Incarnation = uint64(e.started.UnixMilli())
	options.Lease = wire.LeaseOptions(e.base.Settings.Timing)
	return options
}

// customerOf returns the customer whose token a request to a service presents. Its error
// is a fault.
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

// renewSlotLeases sends a slot request to the leader of this data centre. An attempt
// takes a quarter of the lease at most.
func (e *Entry) renewSlotLeases(ctx context.Context, r *apiv1.ShareSlotsRequest) (*apiv1.ShareSlotsResponse, error) {
	ctx, err := rpc.WithBearer(ctx, "Bearer "+e.base.Tokens.Token(settings.Peer))
	if err != nil {
		return nil, err
	}
	var response *apiv1.ShareSlotsResponse
	options := directory.CallOptions{AttemptTimeout: time.Duration(e.base.Settings.Timing.SlotLease) / 4}
	err = e.base.Directory.CallLeader(ctx, e.base.Instance.DataCentre, options, func(ctx context.Context, baseURL string) error {
		var err error
		response, err = e.clientsOf(baseURL).peer.ShareSlots(ctx, r)
		return err
	})
	return response, err
}

// Announce applies a minion's announcement. The next slot request forwards it to
// the leader.
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

// checkAnnouncement returns a fault that names the first invalid field.
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
		return fault.Field("address", "%q is not an IP address with a port", r.Address)
	}
	return nil
}

// LeaveMinion stops sending requests to a minion immediately.
func (e *Entry) LeaveMinion(ctx context.Context, r *apiv1.LeaveMinionRequest) (*apiv1.LeaveResponse, error) {
	if _, err := rpc.Require(ctx, settings.Minion); err != nil {
		return nil, err
	}
	e.requestProxy.Leave(r)
	return &apiv1.LeaveResponse{}, nil
}
