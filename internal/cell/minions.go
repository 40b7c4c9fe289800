package cell

import (
	"context"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/internal/rpc"
	"github.com/bilberryferry/bilberryferry/internal/settings"
)

// entryInstances returns the IDs of the entry instances of the data centre. A new leader
// waits for their slot requests.
func (c *Cell) entryInstances() []string {
	var entries []string
	for _, instance := range c.base.Settings.InDataCentre(c.base.Instance.DataCentre) {
		if instance.Entry != "" {
			entries = append(entries, instance.ID)
		}
	}
	return entries
}

// ShareSlots renews the slot leases of one entry instance.
func (p *peerServer) ShareSlots(ctx context.Context, r *apiv1.ShareSlotsRequest) (*apiv1.ShareSlotsResponse, error) {
	if _, err := rpc.Require(ctx, settings.Peer); err != nil {
		return nil, err
	}
	if _, err := p.currentLeaderTerm(); err != nil {
		return nil, err
	}
	return p.slots.Allocate(r)
}
