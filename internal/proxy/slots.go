package proxy

import (
	"context"
	"sync"
	"time"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/fault"
	"github.com/bilberryferry/bilberryferry/routing"
)

// Times of the slot requests of an entry instance: the interval between regular
// requests, the shortest backoff between urgent requests, and the timeout of a request.
const (
	slotRequestInterval   = 500 * time.Millisecond
	minSlotRequestBackoff = 100 * time.Millisecond
	slotRequestTimeout    = time.Second
)

// SlotRequestFunc sends a slot request to the data centre's leader and returns
// its response.
type SlotRequestFunc func(ctx context.Context, req *apiv1.ShareSlotsRequest) (*apiv1.ShareSlotsResponse, error)

// RenewSlotLeases renews the slot leases until ctx ends. If the handler is draining at
// that time, a last request releases the slots. After an error the next renewal follows
// at the usual interval.
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

// isDraining reports whether StopAccepting was called.
func (h *Handler) isDraining() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.draining
}

// nextBackoff doubles the backoff between urgent slot requests while they gain no
// slots, as under overload, when all slots are allocated. A request that gains
// slots divides the backoff by four.
func nextBackoff(backoff time.Duration, grew bool) time.Duration {
	if grew {
		return max(minSlotRequestBackoff, backoff/4)
	}
	return min(slotRequestInterval, 2*backoff)
}

// waitForNextRequest waits until the next regular slot request, or only for the backoff
// if an urgent request becomes due. It returns immediately if followUp is set.
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

// requestSlots sends one slot request. It returns whether a follow-up request is
// due immediately and whether the number of granted slots grew.
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

// logSlotRequestState logs the first failure of slot requests in a row and the
// first success after it.
func (h *Handler) logSlotRequestState(err error) {
	failing := err != nil
	if h.slotRequestsFailing.Swap(failing) == failing {
		return
	}
	state := "renewed"
	if failing {
		state = "failing"
	}
	// An error of the logger is dropped, since there is no other place to report it.
	_ = h.cfg.Logger.Log("event", "slot-leases", "state", state, "data_centre", h.cfg.DataCentre, "err", err)
}

// NextSlotRequest builds the next slot request. The caller sends it immediately.
func (h *Handler) NextSlotRequest() *apiv1.ShareSlotsRequest {
	var req routing.SlotRequest
	h.withBalancer(func(b *routing.Balancer, now time.Duration) { req = b.NextSlotRequest(now) })
	return SlotRequestToWire(req)
}

// HandleSlotResponse applies the response to a slot request. It returns whether a
// follow-up request is due immediately and whether the number of granted slots grew.
func (h *Handler) HandleSlotResponse(resp *apiv1.ShareSlotsResponse) (followUp, grew bool) {
	h.withBalancer(func(b *routing.Balancer, now time.Duration) {
		slotsBefore := b.GrantedSlots()
		followUp = b.HandleSlotResponse(SlotResponseFromWire(resp), now)
		grew = b.GrantedSlots() > slotsBefore
	})
	return followUp, grew
}

// Announce applies a minion's announcement. The next slot request forwards it to
// the leader.
func (h *Handler) Announce(a *apiv1.AnnounceRequest) {
	h.withBalancer(func(b *routing.Balancer, now time.Duration) {
		b.Announce(AnnouncementFromWire(a), now)
	})
}

// Leave stops sending requests to a minion immediately.
func (h *Handler) Leave(req *apiv1.LeaveMinionRequest) {
	h.withBalancer(func(b *routing.Balancer, now time.Duration) {
		b.Leave(req.GetMinion(), req.GetIncarnation(), now)
	})
}

// SlotAllocator allocates the slots of a data centre's minions to its entry instances. It
// runs in the process of the data centre's leader and is safe for concurrent use.
type SlotAllocator struct {
	mu        sync.Mutex
	allocator *routing.Allocator
	now       func() time.Duration
}

// NewSlotAllocator returns a SlotAllocator that rejects slot requests until Lead is
// called. A nil now means MonotonicClock.
func NewSlotAllocator(opts routing.LeaseOptions, now func() time.Duration) *SlotAllocator {
	if now == nil {
		now = MonotonicClock()
	}
	return &SlotAllocator{allocator: routing.NewAllocator(opts), now: now}
}

// Lead starts a leader term; see routing.Allocator.Lead.
func (a *SlotAllocator) Lead(term uint64, entries []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.allocator.Lead(term, entries, a.now())
}

// Resign ends the leader term. Slot requests are rejected until Lead is called again.
func (a *SlotAllocator) Resign() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.allocator.Resign()
}

// Allocate responds to a slot request. Its error is a fault: Invalid without an
// entry instance, Unavailable if the slots can't be allocated now.
func (a *SlotAllocator) Allocate(req *apiv1.ShareSlotsRequest) (*apiv1.ShareSlotsResponse, error) {
	if req.GetEntry() == "" {
		return nil, fault.Field("entry", "missing")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	resp, err := a.allocator.Allocate(SlotRequestFromWire(req), a.now())
	if err != nil {
		return nil, fault.New(fault.Unavailable, "%v", err)
	}
	return SlotResponseToWire(resp), nil
}

// Minions returns the announcements of the minions that may get requests.
func (a *SlotAllocator) Minions() []routing.Announcement {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.allocator.Minions()
}
