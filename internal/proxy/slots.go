package proxy

import (
	"context"
	"sync"
	"time"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/routing"
)

// Times of the slot requests of an entry instance.
const (
	slotRequestInterval   = 500 * time.Millisecond
	minSlotRequestBackoff = 100 * time.Millisecond
	slotRequestTimeout    = time.Second
)

// SlotRequestFunc sends a slot request to the leader of the data centre.
type SlotRequestFunc func(ctx context.Context, req *apiv1.ShareSlotsRequest) (*apiv1.ShareSlotsResponse, error)

// RenewSlotLeases renews the slot leases until ctx ends, and hands the slots back
// then if the handler is drained. After an error the next renewal follows in
// its time.
func (h *Handler) RenewSlotLeases(ctx context.Context, call SlotRequestFunc) {
	backoff := minSlotRequestBackoff
	for ctx.Err() == nil {
		followUp, grew := h.requestSlots(ctx, call)
		backoff = nextBackoff(backoff, grew)
		h.waitForNextRequest(ctx, followUp, backoff)
	}
	if !h.isDraining() {
		return
	}
	finalCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), slotRequestTimeout)
	defer cancel()
	h.requestSlots(finalCtx, call)
}

func (h *Handler) isDraining() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.draining
}

// nextBackoff makes urgent requests rarer while they bring nothing, as under
// overload, where all slots are given out. One that brings slots makes the next
// ones more frequent by the square of that.
func nextBackoff(backoff time.Duration, grew bool) time.Duration {
	if grew {
		return max(minSlotRequestBackoff, backoff/4)
	}
	return min(slotRequestInterval, 2*backoff)
}

// pause waits for the next renewal, or for the gap when there is need earlier.
func (h *Handler) waitForNextRequest(ctx context.Context, followUp bool, backoff time.Duration) {
	if followUp {
		return
	}
	backoffTimer := time.NewTimer(backoff)
	defer backoffTimer.Stop()
	select {
	case <-backoffTimer.C:
	case <-ctx.Done():
		return
	}
	intervalTimer := time.NewTimer(slotRequestInterval - backoff)
	defer intervalTimer.Stop()
	select {
	case <-h.wake:
	case <-intervalTimer.C:
	case <-ctx.Done():
	}
}

// requestSlots makes one slot request. It returns whether the next should follow
// at once and whether the slots grew.
func (h *Handler) requestSlots(ctx context.Context, call SlotRequestFunc) (followUp, grew bool) {
	ctx, cancel := context.WithTimeout(ctx, slotRequestTimeout)
	defer cancel()
	resp, err := call(ctx, h.NextSlotRequest())
	h.logSlotRequestState(err)
	if err != nil {
		return false, false
	}
	return h.HandleSlotResponse(resp)
}

// logSlotRequestState logs when slot requests begin to fail and when they work again.
func (h *Handler) logSlotRequestState(err error) {
	failing := err != nil
	if h.slotRequestsFailing.Swap(failing) == failing {
		return
	}
	state := "renewed"
	if failing {
		state = "failing"
	}
	// A log that can't be written has nowhere else to be told.
	_ = h.cfg.Logger.Log("event", "slot-leases", "state", state, "data_centre", h.cfg.DataCentre, "err", err)
}

// Demand builds the next slot request, to be sent at once.
func (h *Handler) NextSlotRequest() *apiv1.ShareSlotsRequest {
	var req routing.SlotRequest
	h.withBalancer(func(b *routing.Balancer, now time.Duration) { req = b.NextSlotRequest(now) })
	return RequestToWire(req)
}

// Granted takes the answer to a slot request. It returns whether the next
// request should follow at once and whether the slots grew.
func (h *Handler) HandleSlotResponse(resp *apiv1.ShareSlotsResponse) (followUp, grew bool) {
	h.withBalancer(func(b *routing.Balancer, now time.Duration) {
		slotsBefore := b.GrantedSlots()
		followUp = b.HandleSlotResponse(ResponseFromWire(resp), now)
		grew = b.GrantedSlots() > slotsBefore
	})
	return followUp, grew
}

// Announce takes a minion's announcement; the leader gets it with the next
// slot request.
func (h *Handler) Announce(a *apiv1.AnnounceRequest) {
	h.withBalancer(func(b *routing.Balancer, now time.Duration) {
		b.Announce(AnnouncementFromWire(a), now)
	})
}

// Leave takes a minion out of use at once.
func (h *Handler) Leave(req *apiv1.LeaveMinionRequest) {
	h.withBalancer(func(b *routing.Balancer, now time.Duration) {
		b.Leave(req.GetMinion(), req.GetIncarnation(), now)
	})
}

// Leader divides the slots of a data centre; it belongs to the leader's
// process. It is safe for concurrent use.
type Leader struct {
	mu        sync.Mutex
	allocator *routing.Allocator
	now       func() time.Duration
}

// NewLeader returns a Leader that answers nothing until Lead.
func NewLeader(opts routing.LeaseOptions, now func() time.Duration) *Leader {
	if now == nil {
		now = MonotonicClock()
	}
	return &Leader{allocator: routing.NewAllocator(opts), now: now}
}

// Lead begins a leadership; see routing.Divider.Lead.
func (l *Leader) Lead(term uint64, entries []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.allocator.Lead(term, entries, l.now())
}

// Resign ends the leadership.
func (l *Leader) Resign() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.allocator.Resign()
}

// Share answers a slot request. Its error is Unavailable.
func (l *Leader) Allocate(req *apiv1.ShareSlotsRequest) (*apiv1.ShareSlotsResponse, error) {
	if req.GetEntry() == "" {
		return nil, fault.Field("entry", "missing")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	resp, err := l.allocator.Allocate(RequestFromWire(req), l.now())
	if err != nil {
		return nil, fault.New(fault.Unavailable, "%v", err)
	}
	return ResponseToWire(resp), nil
}

// Minions returns the announcements of the minions in use.
func (l *Leader) Minions() []routing.Announcement {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.allocator.Minions()
}
