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
	shareEvery   = 500 * time.Millisecond
	shareGap     = 100 * time.Millisecond
	shareTimeout = time.Second
)

// ShareCall sends a slot request to the leader of the data centre.
type ShareCall func(ctx context.Context, req *apiv1.ShareSlotsRequest) (*apiv1.ShareSlotsResponse, error)

// ShareSlots renews the slot leases until ctx ends, and hands the slots back
// then if the handler is drained. After an error the next renewal follows in
// its time.
func (h *Handler) ShareSlots(ctx context.Context, call ShareCall) {
	gap := shareGap
	for ctx.Err() == nil {
		again, grew := h.shareOnce(ctx, call)
		gap = nextGap(gap, grew)
		h.pause(ctx, again, gap)
	}
	if !h.stopped() {
		return
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), shareTimeout)
	defer cancel()
	h.shareOnce(last, call)
}

func (h *Handler) stopped() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.draining
}

// nextGap makes urgent requests rarer while they bring nothing, as under
// overload, where all slots are given out. One that brings slots makes the next
// ones more frequent by the square of that.
func nextGap(gap time.Duration, grew bool) time.Duration {
	if grew {
		return max(shareGap, gap/4)
	}
	return min(shareEvery, 2*gap)
}

// pause waits for the next renewal, or for the gap when there is need earlier.
func (h *Handler) pause(ctx context.Context, again bool, gap time.Duration) {
	if again {
		return
	}
	early := time.NewTimer(gap)
	defer early.Stop()
	select {
	case <-early.C:
	case <-ctx.Done():
		return
	}
	regular := time.NewTimer(shareEvery - gap)
	defer regular.Stop()
	select {
	case <-h.wake:
	case <-regular.C:
	case <-ctx.Done():
	}
}

// shareOnce makes one slot request. It returns whether the next should follow
// at once and whether the slots grew.
func (h *Handler) shareOnce(ctx context.Context, call ShareCall) (again, grew bool) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	resp, err := call(ctx, h.Demand())
	h.noteShare(err)
	if err != nil {
		return false, false
	}
	return h.Granted(resp)
}

// noteShare logs when slot requests begin to fail and when they work again.
func (h *Handler) noteShare(err error) {
	failing := err != nil
	if h.shareFailing.Swap(failing) == failing {
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
func (h *Handler) Demand() *apiv1.ShareSlotsRequest {
	var req routing.SlotRequest
	h.locked(func(b *routing.Balancer, now time.Duration) { req = b.NextSlotRequest(now) })
	return RequestToWire(req)
}

// Granted takes the answer to a slot request. It returns whether the next
// request should follow at once and whether the slots grew.
func (h *Handler) Granted(resp *apiv1.ShareSlotsResponse) (again, grew bool) {
	h.locked(func(b *routing.Balancer, now time.Duration) {
		before := b.GrantedSlots()
		again = b.HandleSlotResponse(ResponseFromWire(resp), now)
		grew = b.GrantedSlots() > before
	})
	return again, grew
}

// Announce takes a minion's announcement; the leader gets it with the next
// slot request.
func (h *Handler) Announce(a *apiv1.AnnounceRequest) {
	h.locked(func(b *routing.Balancer, now time.Duration) {
		b.Announce(AnnouncementFromWire(a), now)
	})
}

// Leave takes a minion out of use at once.
func (h *Handler) Leave(req *apiv1.LeaveMinionRequest) {
	h.locked(func(b *routing.Balancer, now time.Duration) {
		b.Leave(req.GetMinion(), req.GetIncarnation(), now)
	})
}

// Leader divides the slots of a data centre; it belongs to the leader's
// process. It is safe for concurrent use.
type Leader struct {
	mu      sync.Mutex
	divider *routing.Allocator
	now     func() time.Duration
}

// NewLeader returns a Leader that answers nothing until Lead.
func NewLeader(opts routing.LeaseOptions, now func() time.Duration) *Leader {
	if now == nil {
		now = MonotonicClock()
	}
	return &Leader{divider: routing.NewAllocator(opts), now: now}
}

// Lead begins a leadership; see routing.Divider.Lead.
func (l *Leader) Lead(term uint64, entries []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.divider.Lead(term, entries, l.now())
}

// Resign ends the leadership.
func (l *Leader) Resign() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.divider.Resign()
}

// Share answers a slot request. Its error is Unavailable.
func (l *Leader) Share(req *apiv1.ShareSlotsRequest) (*apiv1.ShareSlotsResponse, error) {
	if req.GetEntry() == "" {
		return nil, fault.Field("entry", "missing")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	resp, err := l.divider.Allocate(RequestFromWire(req), l.now())
	if err != nil {
		return nil, fault.New(fault.Unavailable, "%v", err)
	}
	return ResponseToWire(resp), nil
}

// Minions returns the announcements of the minions in use.
func (l *Leader) Minions() []routing.Announcement {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.divider.Minions()
}
