package cell

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/conf"
	"github.com/bilberryferry/bilberryferry/internal/directory"
	"github.com/bilberryferry/bilberryferry/internal/rpc"
	"github.com/bilberryferry/bilberryferry/internal/settings"
	"github.com/bilberryferry/bilberryferry/internal/state"
	"github.com/bilberryferry/bilberryferry/internal/wire"
	"github.com/bilberryferry/bilberryferry/placement"
	"github.com/bilberryferry/bilberryferry/quota"
)

// Timing and format of quota transfers.
const (
	// quotaTickInterval is the interval of the planner's ticks. The planner expects one tick
	// per second.
	quotaTickInterval = time.Second
	// transferRequestTimeout bounds one transfer request to another data centre.
	transferRequestTimeout = 700 * time.Millisecond
	// quotaFormat is the version of the encoded messages of quota transfers.
	quotaFormat = 1
)

// quotaConfig reads the quotas from a configuration document. A document without a quota
// division limits nothing.
func quotaConfig(version uint64, document string) (quota.Config, error) {
	parsed, err := conf.Parse(document)
	if err != nil {
		return quota.Config{}, err
	}
	config := quota.Config{
		Version: version, Generation: parsed.Quota.Generation, InitialOwners: parsed.Quota.DataCentres,
		Limits: make(map[string]placement.Resources),
	}
	for _, customer := range parsed.Customers {
		config.Limits[customer.Name] = placement.Resources{
			CPU: customer.CPU, Memory: customer.Memory, Accelerators: customer.Accelerators,
		}
	}
	return config, nil
}

// checkQuota refuses a document whose quota division differs from the one in force
// without a higher generation.
func checkQuota(current conf.Config, document string) error {
	before, err := quotaConfig(current.Version, current.Text)
	if err != nil {
		return err
	}
	next, err := quotaConfig(current.Version+1, document)
	if err != nil {
		return err
	}
	if len(before.InitialOwners) == 0 && len(next.InitialOwners) == 0 {
		return nil
	}
	if len(before.InitialOwners) == 0 {
		before.Version = 0
	}
	if err := before.Check(next); err != nil {
		return fault.Field("quota", "%v; to divide the quotas again, raise quota.generation", err)
	}
	return nil
}

// syncQuota updates each customer's allotment and weight in the placement cache. t.mu
// must be held.
func (t *leaderTerm) syncQuota(s *state.State) {
	for name := range s.Customers() {
		t.cluster.SetLimit(name, s.Allotment(name))
	}
	document, err := conf.Parse(s.Config.Document)
	if err != nil {
		return
	}
	for _, customer := range document.Customers {
		t.cluster.SetWeight(customer.Name, customer.Weight)
	}
}

// customerLimit returns what a customer may use in all data centres together. A job that
// needs more can never run. If only the allotment of this data centre is too small, the
// difference is requested from the other data centres.
func (c *Cell) customerLimit(customer string) placement.Resources {
	limit := placement.Resources{CPU: quota.Unlimited, Memory: quota.Unlimited, Accelerators: quota.Unlimited}
	c.stateMachine.View(func(s *state.State) {
		if s.Quota().Version() > 0 {
			limit = s.Quota().Limit(customer)
		}
	})
	return limit
}

// runQuotaTransfers requests allotments from the other data centres for customers whose
// demand exceeds their allotment here, while this replica leads.
func (c *Cell) runQuotaTransfers(ctx context.Context, t *leaderTerm) {
	ticker := time.NewTicker(quotaTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, request := range c.planTransferRequests(t) {
			go c.requestTransfer(ctx, t, request)
		}
	}
}

// planTransferRequests determines each customer's shortfall here and plans the transfer
// requests for it.
func (c *Cell) planTransferRequests(t *leaderTerm) []quota.TransferRequest {
	var requests []quota.TransferRequest
	t.plannerMu.Lock()
	defer t.plannerMu.Unlock()
	c.stateMachine.View(func(s *state.State) {
		if s.Quota().Version() == 0 {
			return
		}
		demand := s.Demand()
		t.planner.Tick()
		var shortfalls []quota.Demand
		for customer, wanted := range demand {
			if missing, short := shortfall(wanted, s.Allotment(customer)); short {
				shortfalls = append(shortfalls, quota.Demand{Customer: customer, Amount: missing})
			}
		}
		slices.SortFunc(shortfalls, func(a, b quota.Demand) int { return strings.Compare(a.Customer, b.Customer) })
		requests = t.planner.Requests(s.Quota(), shortfalls)
	})
	return requests
}

// demandOf returns a function that gives the demand of a customer's running and waiting
// work here. That amount is reserved when other data centres request a transfer.
func demandOf(s *state.State) func(customer string) placement.Resources {
	demand := s.Demand()
	return func(customer string) placement.Resources { return demand[customer] }
}

// shortfall returns how much a demand exceeds an allotment. A negative amount in an
// allotment is unlimited.
func shortfall(demand, allotment placement.Resources) (missing placement.Resources, short bool) {
	excess := func(amount, limit int64) int64 {
		if limit < 0 || amount <= limit {
			return 0
		}
		short = true
		return amount - limit
	}
	missing.CPU = excess(demand.CPU, allotment.CPU)
	missing.Memory = excess(demand.Memory, allotment.Memory)
	missing.Accelerators = excess(demand.Accelerators, allotment.Accelerators)
	return missing, short
}

// requestTransfer sends one transfer request, commits the credit of the transfer that it
// gets, and acknowledges the transfer.
func (c *Cell) requestTransfer(ctx context.Context, t *leaderTerm, request quota.TransferRequest) {
	reply, err := c.sendTransferRequest(ctx, request)
	if err != nil {
		return
	}
	t.plannerMu.Lock()
	t.planner.Observe(reply)
	t.plannerMu.Unlock()
	if reply.Transfer.Sequence == 0 {
		return
	}
	result, err := c.propose(ctx, &state.Command{Quota: &state.Quota{Credit: &reply.Transfer}})
	if err != nil || result.Err != nil && !errors.Is(result.Err, quota.ErrDuplicate) {
		return
	}
	t.wakeUp()
	var acknowledgement quota.TransferRequest
	c.stateMachine.View(func(s *state.State) { acknowledgement = s.Quota().Request(request.To) })
	// The next request repeats an acknowledgement that was lost.
	_, _ = c.sendTransferRequest(ctx, acknowledgement)
}

// sendTransferRequest sends a transfer request to the leader of the data centre in its To
// field and returns the reply.
func (c *Cell) sendTransferRequest(ctx context.Context, transfer quota.TransferRequest) (quota.Reply, error) {
	var reply quota.Reply
	message, err := cbor.Marshal(transfer)
	if err != nil {
		return reply, err
	}
	ctx, cancel := context.WithTimeout(ctx, transferRequestTimeout)
	defer cancel()
	ctx, err = rpc.WithBearer(ctx, "Bearer "+c.base.Tokens.Token(settings.Peer))
	if err != nil {
		return reply, err
	}
	request := &apiv1.MoveQuotaRequest{FromDataCentre: c.base.Instance.DataCentre, Message: message, FormatVersion: quotaFormat}
	err = c.base.Directory.CallLeader(ctx, transfer.To, directory.CallOptions{}, func(ctx context.Context, baseURL string) error {
		response, err := apiv1.NewPeerProtobufClient(baseURL, c.base.Directory.Client()).MoveQuota(ctx, request)
		if err != nil {
			return err
		}
		return cbor.Unmarshal(response.Message, &reply)
	})
	return reply, err
}

// MoveQuota responds to another data centre's transfer request. A request without demands
// only acknowledges earlier transfers.
func (p *peerServer) MoveQuota(ctx context.Context, r *apiv1.MoveQuotaRequest) (*apiv1.MoveQuotaResponse, error) {
	if _, err := rpc.Require(ctx, settings.Peer); err != nil {
		return nil, err
	}
	t, err := p.currentLeaderTerm()
	if err != nil {
		return nil, err
	}
	var request quota.TransferRequest
	if r.FormatVersion != quotaFormat {
		return nil, fault.Field("format_version", "is %d, this program supports %d", r.FormatVersion, quotaFormat)
	}
	if err := cbor.Unmarshal(r.Message, &request); err != nil {
		return nil, fault.Field("message", "%v", err)
	}
	if err := p.applyTransferRequest(ctx, t, request); err != nil {
		return nil, err
	}
	var reply quota.Reply
	t.plannerMu.Lock()
	p.stateMachine.View(func(s *state.State) { reply = t.planner.Reply(s.Quota(), request, demandOf(s)) })
	t.plannerMu.Unlock()
	message, err := cbor.Marshal(reply)
	return &apiv1.MoveQuotaResponse{Message: message}, err
}

// applyTransferRequest commits the debit that a transfer request asks for, or the
// acknowledgement alone if it asks for nothing.
func (p *peerServer) applyTransferRequest(ctx context.Context, t *leaderTerm, request quota.TransferRequest) error {
	command := &state.Quota{Acknowledge: &request}
	if len(request.Demands) > 0 {
		var debit quota.DebitCommand
		t.plannerMu.Lock()
		p.stateMachine.View(func(s *state.State) { debit = t.planner.DebitCommand(request, demandOf(s)) })
		t.plannerMu.Unlock()
		command = &state.Quota{Debit: &debit}
	}
	// The ledger may refuse the command, for example if there is nothing to transfer. The
	// refusal is in the result, which is dropped here; MoveQuota reports it in its reply.
	_, err := p.propose(ctx, &state.Command{Quota: command})
	return err
}

// Quotas lists the quotas and allotments of this data centre.
func (c *Cell) Quotas(ctx context.Context, _ *apiv1.QuotasRequest) (*apiv1.QuotasResponse, error) {
	caller, err := rpc.Require(ctx, settings.Operator, settings.Customer)
	if err != nil {
		return nil, err
	}
	if _, err := c.currentLeaderTerm(); err != nil {
		return nil, err
	}
	response := &apiv1.QuotasResponse{}
	c.stateMachine.View(func(s *state.State) {
		for name := range s.Customers() {
			if caller.Role == settings.Customer && caller.Customer != name {
				continue
			}
			response.Quotas = append(response.Quotas, &apiv1.Quota{
				Customer: name, DataCentre: c.base.Instance.DataCentre, Limit: wire.ResourcesToAPI(s.Quota().Limit(name)),
				Allotment: wire.ResourcesToAPI(s.Allotment(name)), Used: wire.ResourcesToAPI(s.Used(name)),
			})
		}
	})
	slices.SortFunc(response.Quotas, func(a, b *apiv1.Quota) int { return strings.Compare(a.Customer, b.Customer) })
	return response, nil
}
