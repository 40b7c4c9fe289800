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

// Pace of handovers.
const (
	// offerPause is the wait before an unanswered offer is made again.
	offerPause = 500 * time.Millisecond
	// probeTimeout bounds the question whether another data centre would take a
	// job; the caller is waiting.
	probeTimeout = 400 * time.Millisecond
	// awayFor is how long a data centre that didn't answer isn't asked again by
	// callers' submissions.
	awayFor = 5 * time.Second
)

// findTaker asks the other data centres in turn whether they would take a job
// and returns the first that would, or "". Nothing is committed by it: the
// question spares the log offers that would only be refused.
func (c *Cell) findTaker(ctx context.Context, t *tenure, probe *apiv1.OfferRequest, tried []string) string {
	for _, dataCentre := range c.base.Settings.DataCentres() {
		if dataCentre == c.base.Instance.DataCentre || slices.Contains(tried, dataCentre) || t.isAway(dataCentre, c.now()) {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		answer, err := c.offer(ctx, dataCentre, probe)
		cancel()
		if err != nil {
			t.setAway(dataCentre, c.now().Add(awayFor))
			continue
		}
		if answer.Accepted {
			return dataCentre
		}
	}
	return ""
}

func (t *tenure) isAway(dataCentre string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.away[dataCentre])
}

func (t *tenure) setAway(dataCentre string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.away[dataCentre] = until
}

func (c *Cell) offer(ctx context.Context, dataCentre string, r *apiv1.OfferRequest) (*apiv1.OfferResponse, error) {
	ctx, err := rpc.WithBearer(ctx, "Bearer "+c.base.Tokens.Token(settings.Peer))
	if err != nil {
		return nil, err
	}
	var answer *apiv1.OfferResponse
	err = c.base.Directory.Leader(ctx, dataCentre, directory.Effort{}, func(ctx context.Context, base string) error {
		var err error
		answer, err = apiv1.NewPeerProtobufClient(base, c.base.Directory.Client()).Offer(ctx, r)
		return err
	})
	return answer, err
}

// handOver makes the offers that the log says are open, again and again until
// the other data centre's committed answer is known, however long it is cut off.
func (c *Cell) handOver(ctx context.Context, t *tenure) {
	for ctx.Err() == nil {
		changed := c.machine.Changed()
		if !c.settleOffers(ctx, t) {
			wait.For(ctx, offerPause)
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// settleOffers makes every open offer, side by side to different data centres,
// so that one which is cut off doesn't hold back the offers to another. It
// returns false when an offer must be made again.
func (c *Cell) settleOffers(ctx context.Context, t *tenure) bool {
	byTaker := make(map[string][]*state.Job)
	for _, j := range c.openOffers() {
		byTaker[j.HandoverDataCentre] = append(byTaker[j.HandoverDataCentre], j)
	}
	var failed atomic.Bool
	var offers sync.WaitGroup
	for _, jobs := range byTaker {
		offers.Go(func() {
			for _, j := range jobs {
				if err := c.settleOffer(ctx, t, j); err != nil {
					failed.Store(true)
					return
				}
			}
		})
	}
	offers.Wait()
	return !failed.Load()
}

func (c *Cell) openOffers() []*state.Job {
	var open []*state.Job
	c.machine.View(func(s *state.State) {
		for _, j := range s.Jobs {
			if j.State == state.JobPendingHandover && !j.HandoverDone {
				copied := *j
				open = append(open, &copied)
			}
		}
	})
	return open
}

func (c *Cell) settleOffer(ctx context.Context, t *tenure, j *state.Job) error {
	request := &apiv1.OfferRequest{
		FromDataCentre: c.base.Instance.DataCentre, Job: j.ID, Customer: j.Customer,
		Spec: wire.SpecToAPI(j.Spec, ""), SubmittedUnixMs: j.Submitted, Withdraw: j.Kind == fault.Cancelled,
	}
	answer, err := c.offer(ctx, j.HandoverDataCentre, request)
	if err != nil {
		t.setAway(j.HandoverDataCentre, c.now().Add(awayFor))
		return err
	}
	offered := &state.RecordHandoverAnswer{Job: j.ID, To: j.HandoverDataCentre, Accepted: answer.Accepted, Withdrawn: request.Withdraw}
	if !answer.Accepted && !request.Withdraw {
		offered.Kind, _ = fault.Parse(answer.ReasonKind)
		offered.Detail = answer.Reason
		request.Probe = true
		offered.Next = c.findTaker(ctx, t, request, append(slices.Clone(j.RefusedBy), j.HandoverDataCentre))
	}
	_, err = c.propose(ctx, &state.Command{RecordHandoverAnswer: offered})
	return err
}

// peerServer serves the Peer calls of a cell.
type peerServer struct {
	*Cell
	exchange func(context.Context, *apiv1.ExchangeRequest) (*apiv1.ExchangeResponse, error)
}

var _ apiv1.Peer = (*peerServer)(nil)

// Exchange hands messages to the replication groups.
func (p *peerServer) Exchange(ctx context.Context, r *apiv1.ExchangeRequest) (*apiv1.ExchangeResponse, error) {
	if _, err := rpc.Require(ctx, settings.Peer); err != nil {
		return nil, err
	}
	return p.exchange(ctx, r)
}

// Offer answers another data centre's handover, or only says what the answer
// would be. The first committed answer for a job stands.
func (p *peerServer) Offer(ctx context.Context, r *apiv1.OfferRequest) (*apiv1.OfferResponse, error) {
	if _, err := rpc.Require(ctx, settings.Peer); err != nil {
		return nil, err
	}
	t, err := p.leading()
	if err != nil {
		return nil, err
	}
	if answer, ok := p.answered(r.Job); ok && !r.Probe {
		return answer, p.withdraw(ctx, r, answer)
	}
	take, release := p.judgeOffer(t, r)
	defer release()
	if r.Probe {
		return offerAnswer(!take.Refused, take.Kind, take.Detail), nil
	}
	if _, err := p.propose(ctx, &state.Command{AnswerHandoverOffer: take}); err != nil {
		return nil, err
	}
	t.poke()
	answer, _ := p.answered(r.Job)
	return answer, nil
}

// withdraw cancels a job that was taken over, at the wish of its customer,
// which reached the data centre that handed it over.
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

// judgeOffer says what the answer to an offer is, and books what it needs.
func (p *peerServer) judgeOffer(t *tenure, r *apiv1.OfferRequest) (take *state.AnswerHandoverOffer, release func()) {
	take = &state.AnswerHandoverOffer{Job: r.Job, Customer: r.Customer, From: r.FromDataCentre, Submitted: r.SubmittedUnixMs}
	spec, err := wire.CheckSpec(r.Spec, p.base.Settings.Limits, p.now())
	if err != nil {
		// The deadline may have passed while the offer was under way.
		take.Refused, take.Kind, take.Detail = true, fault.DeadlineUnreachable, fault.From(err).Error()
		return take, func() {}
	}
	take.Spec = spec
	if r.Withdraw {
		take.Refused, take.Kind, take.Detail = true, fault.Cancelled, "cancelled by the customer"
		return take, func() {}
	}
	verdict, release := p.judge(t, r.Customer, spec, p.now())
	take.Refused = !verdict.Admitted
	take.Kind = kindOf(verdict.Reason)
	take.Detail = verdict.Detail
	return take, release
}

// answered returns the committed answer to an offer.
func (c *Cell) answered(job string) (*apiv1.OfferResponse, bool) {
	var record state.HandoverAnswerRecord
	var ok bool
	c.machine.View(func(s *state.State) { record, ok = s.HandoverAnswers[job] })
	return offerAnswer(record.Accepted, record.Kind, record.Detail), ok
}

func offerAnswer(accepted bool, kind fault.Kind, detail string) *apiv1.OfferResponse {
	if accepted {
		return &apiv1.OfferResponse{Accepted: true}
	}
	return &apiv1.OfferResponse{Refused: true, ReasonKind: kind.String(), Reason: detail}
}
