package cell

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/internal/directory"
	"github.com/bilberryferry/bilberryferry/internal/rpc"
	"github.com/bilberryferry/bilberryferry/internal/settings"
	"github.com/bilberryferry/bilberryferry/internal/state"
	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/internal/wire"
)

// Timing of handovers.
const (
	// offerRetryInterval is the wait before an unanswered offer is sent again.
	offerRetryInterval = 500 * time.Millisecond
	// probeTimeout bounds a probe, which asks another data centre whether it would accept
	// a job. The caller of the submission waits for the probe.
	probeTimeout = 400 * time.Millisecond
	// unreachableRetryDelay is how long probes skip a data centre after a failed call to
	// it.
	unreachableRetryDelay = 5 * time.Second
)

// findAcceptingDataCentre probes the other data centres in turn, except those in tried,
// and returns the first that would accept a job, or "". A probe commits nothing, so an
// offer is committed only if it is likely to be accepted.
func (c *Cell) findAcceptingDataCentre(ctx context.Context, t *leaderTerm, probe *apiv1.OfferRequest, tried []string) string {
	for _, dataCentre := range c.base.Settings.DataCentres() {
		if dataCentre == c.base.Instance.DataCentre || slices.Contains(tried, dataCentre) || t.isUnreachable(dataCentre, c.now()) {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		answer, err := c.offer(ctx, dataCentre, probe)
		cancel()
		if err != nil {
			t.markUnreachable(dataCentre, c.now().Add(unreachableRetryDelay))
			continue
		}
		if answer.Accepted {
			return dataCentre
		}
	}
	return ""
}

// isUnreachable reports whether probes skip a data centre because a call to it failed.
func (t *leaderTerm) isUnreachable(dataCentre string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.unreachableUntil[dataCentre])
}

// markUnreachable makes probes skip a data centre until a point in time.
func (t *leaderTerm) markUnreachable(dataCentre string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unreachableUntil[dataCentre] = until
}

// offer sends an offer or a probe to the leader of another data centre.
func (c *Cell) offer(ctx context.Context, dataCentre string, r *apiv1.OfferRequest) (*apiv1.OfferResponse, error) {
	ctx, err := rpc.WithBearer(ctx, "Bearer "+c.base.Tokens.Token(settings.Peer))
	if err != nil {
		return nil, err
	}
	var answer *apiv1.OfferResponse
	err = c.base.Directory.CallLeader(ctx, dataCentre, directory.CallOptions{}, func(ctx context.Context, baseURL string) error {
		var err error
		answer, err = apiv1.NewPeerProtobufClient(baseURL, c.base.Directory.Client()).Offer(ctx, r)
		return err
	})
	return answer, err
}

// handOver sends the offers that are pending in the log. It repeats each offer until the
// committed answer of the other data centre is known, however long that data centre is
// unreachable.
func (c *Cell) handOver(ctx context.Context, t *leaderTerm) {
	for ctx.Err() == nil {
		changed := c.stateMachine.Changed()
		if !c.sendPendingOffers(ctx, t) {
			wait.For(ctx, offerRetryInterval)
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// sendPendingOffers sends every pending offer, in parallel to different data centres,
// so that an unreachable data centre doesn't delay the offers to another. It returns
// false when an offer must be sent again.
func (c *Cell) sendPendingOffers(ctx context.Context, t *leaderTerm) bool {
	byDataCentre := make(map[string][]*state.Job)
	for _, j := range c.pendingOffers() {
		byDataCentre[j.HandoverDataCentre] = append(byDataCentre[j.HandoverDataCentre], j)
	}
	var failed atomic.Bool
	var offers sync.WaitGroup
	for _, jobs := range byDataCentre {
		offers.Go(func() {
			for _, j := range jobs {
				if err := c.sendOffer(ctx, t, j); err != nil {
					failed.Store(true)
					return
				}
			}
		})
	}
	offers.Wait()
	return !failed.Load()
}

// pendingOffers returns copies of the jobs that were offered to another data centre and
// have no answer yet.
func (c *Cell) pendingOffers() []*state.Job {
	var pending []*state.Job
	c.stateMachine.View(func(s *state.State) {
		for _, j := range s.Jobs {
			if j.State == state.JobPendingHandover && !j.HandoverDone {
				copied := *j
				pending = append(pending, &copied)
			}
		}
	})
	return pending
}

// sendOffer offers a job to another data centre and commits the answer. With a refusal it
// also commits the data centre to which the job is offered next, if any would accept it.
func (c *Cell) sendOffer(ctx context.Context, t *leaderTerm, j *state.Job) error {
	request := &apiv1.OfferRequest{
		FromDataCentre: c.base.Instance.DataCentre, Job: j.ID, Customer: j.Customer,
		Spec: wire.SpecToAPI(j.Spec, ""), SubmittedUnixMs: j.Submitted, Withdraw: j.Kind == fault.Cancelled,
	}
	answer, err := c.offer(ctx, j.HandoverDataCentre, request)
	if err != nil {
		t.markUnreachable(j.HandoverDataCentre, c.now().Add(unreachableRetryDelay))
		return err
	}
	record := &state.RecordHandoverAnswer{Job: j.ID, To: j.HandoverDataCentre, Accepted: answer.Accepted, Withdrawn: request.Withdraw}
	if !answer.Accepted && !request.Withdraw {
		record.Kind, _ = fault.Parse(answer.ReasonKind)
		record.Detail = answer.Reason
		request.Probe = true
		record.Next = c.findAcceptingDataCentre(ctx, t, request, append(slices.Clone(j.RefusedBy), j.HandoverDataCentre))
	}
	_, err = c.propose(ctx, &state.Command{RecordHandoverAnswer: record})
	return err
}

// peerServer serves the Peer calls of a cell.
type peerServer struct {
	*Cell
	exchange func(context.Context, *apiv1.ExchangeRequest) (*apiv1.ExchangeResponse, error)
}

var _ apiv1.Peer = (*peerServer)(nil)

// Exchange passes messages to the replication groups.
func (p *peerServer) Exchange(ctx context.Context, r *apiv1.ExchangeRequest) (*apiv1.ExchangeResponse, error) {
	if _, err := rpc.Require(ctx, settings.Peer); err != nil {
		return nil, err
	}
	return p.exchange(ctx, r)
}

// Offer commits the answer to a handover offer of another data centre and returns it. The
// first committed answer for a job is final. For a probe, Offer commits nothing and
// returns what the answer would be.
func (p *peerServer) Offer(ctx context.Context, r *apiv1.OfferRequest) (*apiv1.OfferResponse, error) {
	if _, err := rpc.Require(ctx, settings.Peer); err != nil {
		return nil, err
	}
	t, err := p.currentLeaderTerm()
	if err != nil {
		return nil, err
	}
	if answer, ok := p.committedAnswer(r.Job); ok && !r.Probe {
		return answer, p.withdraw(ctx, r, answer)
	}
	command, release := p.evaluateOffer(t, r)
	defer release()
	if r.Probe {
		return offerAnswer(!command.Refused, command.Kind, command.Detail), nil
	}
	if _, err := p.propose(ctx, &state.Command{AnswerHandoverOffer: command}); err != nil {
		return nil, err
	}
	t.wakeUp()
	answer, _ := p.committedAnswer(r.Job)
	return answer, nil
}

// withdraw cancels an accepted job if its offer is withdrawn, because the customer
// cancelled the job in the data centre that handed it over.
func (p *peerServer) withdraw(ctx context.Context, r *apiv1.OfferRequest, answer *apiv1.OfferResponse) error {
	if !r.Withdraw || !answer.Accepted {
		return nil
	}
	cancel := &state.Cancel{
		Request:  state.Request{ID: "withdraw " + r.Job, Customer: r.Customer},
		Customer: r.Customer, IDs: []string{r.Job},
	}
	result, err := p.propose(ctx, &state.Command{Cancel: cancel})
	if err != nil {
		return err
	}
	return result.Err
}

// evaluateOffer decides the answer to an offer, and reserves resources for an accepted
// job until release is called.
func (p *peerServer) evaluateOffer(t *leaderTerm, r *apiv1.OfferRequest) (command *state.AnswerHandoverOffer, release func()) {
	command = &state.AnswerHandoverOffer{Job: r.Job, Customer: r.Customer, From: r.FromDataCentre, Submitted: r.SubmittedUnixMs}
	spec, err := wire.CheckSpec(r.Spec, p.base.Settings.Limits, p.now())
	if err != nil {
		// The deadline may have passed while the offer was in flight.
		command.Refused, command.Kind, command.Detail = true, fault.DeadlineUnreachable, fault.From(err).Error()
		return command, func() {}
	}
	command.Spec = spec
	if r.Withdraw {
		command.Refused, command.Kind, command.Detail = true, fault.Cancelled, "cancelled by the customer"
		return command, func() {}
	}
	decision, release := p.admitAndReserve(t, r.Customer, spec, p.now())
	command.Refused = !decision.Admitted
	command.Kind = faultKind(decision.Reason)
	command.Detail = decision.Detail
	return command, release
}

// committedAnswer returns the committed answer to an offer, and whether there is one.
func (c *Cell) committedAnswer(job string) (*apiv1.OfferResponse, bool) {
	var record state.HandoverAnswerRecord
	var ok bool
	c.stateMachine.View(func(s *state.State) { record, ok = s.HandoverAnswers[job] })
	return offerAnswer(record.Accepted, record.Kind, record.Detail), ok
}

// offerAnswer returns the response that carries the answer to an offer. kind and detail
// are those of a refusal.
func offerAnswer(accepted bool, kind fault.Kind, detail string) *apiv1.OfferResponse {
	if accepted {
		return &apiv1.OfferResponse{Accepted: true}
	}
	return &apiv1.OfferResponse{Refused: true, ReasonKind: kind.String(), Reason: detail}
}
