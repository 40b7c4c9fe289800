package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// fixture is one leader and one entry instance on the same clock.
type fixture struct {
	allocator *Allocator
	balancer  *Balancer
	now       time.Duration
}

// newFixture returns a fixture whose entry instance has been granted all slots of the
// minions and whose minions have passed slow start.
func newFixture(minions, slots int) *fixture {
	f := &fixture{
		allocator: NewAllocator(LeaseOptions{}),
		balancer:  NewBalancer(Options{Entry: "e", Incarnation: 1, Seed: 1}),
		now:       time.Hour,
	}
	f.allocator.Lead(1, nil, 0)
	for i := range minions {
		f.allocator.Announce(Announcement{
			Minion: fmt.Sprint("m", i), Service: "s", Address: fmt.Sprint("a", i), Slots: slots, Incarnation: 1,
		}, f.now)
	}
	f.exchangeSlotRequests()
	// After slow start the minions may use all their slots.
	f.advance(DefaultOptions().SlowStart)
	return f
}

// exchangeSlotRequests delivers slot requests and their responses until the Balancer
// needs no further request, or the Allocator refuses one.
func (f *fixture) exchangeSlotRequests() {
	for again := true; again; {
		resp, err := f.allocator.Allocate(f.balancer.NextSlotRequest(f.now), f.now)
		if err != nil {
			return
		}
		again = f.balancer.HandleSlotResponse(resp, f.now)
	}
}

// advance moves the time forward; all minions announce themselves to the leader.
func (f *fixture) advance(step time.Duration) {
	f.now += step
	for _, m := range f.allocator.Minions() {
		f.allocator.Announce(m, f.now)
	}
	f.exchangeSlotRequests()
}

// submit submits a request whose deadline is untilDeadline from now.
func (f *fixture) submit(untilDeadline time.Duration) *Ticket {
	r := Request{Service: "s", Customer: "c", Deadline: f.now + untilDeadline}
	return f.balancer.Submit(r, f.now)
}

// finish moves the time forward by took and ends a started request with an outcome.
func (f *fixture) finish(t *Ticket, took time.Duration, o Outcome) {
	f.now += took
	f.balancer.Finish(t, o, f.now)
}

// Guards against sending requests to a minion that left or died. The entry instance
// learns that the minion is gone from the minion itself, from missing announcements or
// from the leader.
func TestNoRequestsToLeavingMinion(t *testing.T) {
	leaveReceived := newFixture(1, 8)
	must.Eq(t, Started, leaveReceived.submit(time.Second).State())
	leaveReceived.balancer.Leave("m0", 1, leaveReceived.now)
	must.Eq(t, Queued, leaveReceived.submit(time.Second).State())

	partitioned := newFixture(1, 8)
	partitioned.now += 3 * time.Second // after the TTL, before the slot lease of 5 s expires
	must.Eq(t, Queued, partitioned.submit(time.Second).State())

	leaveFromLeader := newFixture(1, 8)
	leaveFromLeader.allocator.Leave("m0", 1, leaveFromLeader.now)
	leaveFromLeader.exchangeSlotRequests()
	must.Eq(t, Queued, leaveFromLeader.submit(time.Second).State())
	// A delayed duplicate of an announcement must not bring the minion back.
	leaveFromLeader.allocator.Announce(Announcement{Minion: "m0", Service: "s", Slots: 8, Incarnation: 1}, leaveFromLeader.now)
	must.SliceEmpty(t, leaveFromLeader.allocator.Minions())
}

// Guards against slots that stay granted although their minion died without leaving
// and has not announced itself within the TTL.
func TestMinionIsRemovedAfterTTL(t *testing.T) {
	f := newFixture(1, 8)
	f.now += DefaultLeaseOptions().MinionTTL + 1
	f.exchangeSlotRequests()
	must.Eq(t, 0, f.balancer.GrantedSlots())
}

// Guards against two entry instances that use the same slot: a new leader has no
// record of what the previous leader granted to an entry instance that is unreachable.
func TestNewLeaderReservesUnclaimedSlots(t *testing.T) {
	f := newFixture(1, 8)
	f.allocator = NewAllocator(LeaseOptions{})
	f.allocator.Lead(2, []string{"e", "unreachable"}, f.now)
	f.allocator.Announce(Announcement{Minion: "m0", Service: "s", Slots: 8, Incarnation: 1}, f.now)
	otherBalancer := NewBalancer(Options{Entry: "other", Incarnation: 1})
	requestSlots := func() int {
		for range 3 {
			resp, err := f.allocator.Allocate(otherBalancer.NextSlotRequest(f.now), f.now)
			must.NoError(t, err)
			otherBalancer.HandleSlotResponse(resp, f.now)
		}
		return otherBalancer.GrantedSlots()
	}
	must.Eq(t, 0, requestSlots())
	f.advance(f.allocator.opts.TTL + f.allocator.opts.MaxRequestDuration + f.allocator.opts.Drift - 1)
	must.Eq(t, 0, requestSlots())
	f.advance(1)
	must.Positive(t, requestSlots())
}

// Guards against an entry instance that can start no requests after a leader change
// until the reservation of the previous leader's grants ends. It must keep the slots
// that it claims.
func TestClaimedSlotsSurviveLeaderChange(t *testing.T) {
	f := newFixture(2, 8)
	must.Eq(t, 16, f.balancer.GrantedSlots())
	f.now += 3 * time.Second
	f.allocator = NewAllocator(LeaseOptions{})
	f.allocator.Lead(2, nil, f.now)
	for _, m := range []string{"m0", "m1"} {
		f.allocator.Announce(Announcement{Minion: m, Service: "s", Slots: 8, Incarnation: 1}, f.now)
	}
	f.exchangeSlotRequests()
	must.Eq(t, 16, f.balancer.GrantedSlots())
	must.Eq(t, Started, f.submit(time.Second).State())
}

// Guards against starting a request that can't be completed by its deadline, which
// wastes work. The request must be refused immediately, with a jittered retry delay.
func TestUnreachableDeadlineIsRefusedImmediately(t *testing.T) {
	// With a service time of 100 ms, a request that waits for a slot can't complete
	// within shortDeadline.
	const shortDeadline = 120 * time.Millisecond
	// maxUnjitteredDelays is the largest number of different values among the 20 retry
	// delays at which the test considers the delays not jittered.
	const maxUnjitteredDelays = 15
	f := newFixture(1, 2)
	for range 40 {
		f.finish(f.submit(time.Second), 100*time.Millisecond, Answered)
		f.balancer.TakeChanged()
		f.advance(0)
	}
	for range 2 {
		must.Eq(t, Started, f.submit(time.Second).State())
	}
	unreachable := f.submit(shortDeadline)
	must.Eq(t, Refused, unreachable.State())
	must.Eq(t, TooLate, unreachable.Refusal().Reason)
	must.Positive(t, unreachable.Refusal().RetryAfter)
	retryDelays := make(map[time.Duration]bool)
	for range 20 {
		late := f.submit(shortDeadline)
		must.Eq(t, Refused, late.State())
		retryDelays[late.Refusal().RetryAfter] = true
	}
	must.Greater(t, maxUnjitteredDelays, len(retryDelays))
}

// Guards against a minion that fails immediately, so that it is always free and
// attracts all requests.
func TestBreakerOpensOnFailingMinion(t *testing.T) {
	// maxFailingAttempts is the largest number of the 200 requests that may reach the
	// failing minion.
	const maxFailingAttempts = 10
	for _, o := range []Outcome{AnsweredFailure, NotSent, Broken} {
		f := newFixture(4, 8)
		failingAttempts := 0
		for range 200 {
			ticket := f.submit(time.Second)
			must.Eq(t, Started, ticket.State())
			if f.balancer.Target(ticket).Minion == "m0" {
				failingAttempts++
				f.finish(ticket, 0, o)
				continue
			}
			f.finish(ticket, 4*time.Millisecond, Answered)
			f.advance(0)
		}
		must.LessEq(t, maxFailingAttempts, failingAttempts)
		must.Positive(t, failingAttempts)
		must.Eq(t, 1, f.balancer.OpenBreakers())
		f.advance(maxBackoff)
		for f.balancer.OpenBreakers() > 0 {
			f.advance(firstBackoff)
			f.finish(f.submit(time.Second), 4*time.Millisecond, Answered)
		}
	}
}

// Guards against taking a service down: the bad input of one customer fails on every
// minion and opens all circuit breakers.
func TestFailureRateOpensAtMostHalfOfBreakers(t *testing.T) {
	f := newFixture(4, 8)
	for range 200 {
		f.finish(f.submit(time.Second), time.Millisecond, AnsweredFailure)
		f.advance(0)
	}
	must.LessEq(t, 2, f.balancer.OpenBreakers())
}

// Guards against retries that multiply the load on an overloaded service.
func TestRetryBudgetLimitsRetries(t *testing.T) {
	// The retry budget starts at 10 and grows by 0.1 with each of the 100 requests;
	// one more is tolerated.
	const maxRetried = 21
	f := newFixture(8, 8)
	retried := 0
	for range 100 {
		ticket := f.submit(time.Second)
		if ticket.State() != Started {
			break
		}
		f.finish(ticket, 0, AnsweredFailure)
		if f.balancer.Retry(ticket, AnsweredFailure, f.now) {
			retried++
			f.finish(ticket, 0, AnsweredFailure)
		}
	}
	must.LessEq(t, maxRetried, retried)
	must.Positive(t, retried)
	late := f.submit(time.Second)
	f.finish(late, time.Second, Broken)
	must.False(t, f.balancer.Retry(late, Broken, f.now))
}

// Guards against refusing the request of one customer because another customer fills
// the queue.
func TestCustomerFloodDoesNotRefuseOthers(t *testing.T) {
	f := newFixture(1, 2)
	for range 500 {
		f.submit(time.Second)
	}
	otherTicket := f.balancer.Submit(Request{Service: "s", Customer: "other", Deadline: f.now + time.Second}, f.now)
	must.Eq(t, Queued, otherTicket.State())
	for _, ticket := range f.balancer.TakeChanged() {
		if ticket.State() == Started {
			f.finish(ticket, time.Millisecond, Answered)
			break
		}
	}
	must.Eq(t, Started, otherTicket.State())
}

// BenchmarkDecision measures submitting and finishing one request.
func BenchmarkDecision(b *testing.B) {
	for _, policy := range []Policy{LeastLoaded, TwoChoices, Random} {
		b.Run([]string{"least-loaded", "two-choices", "random"}[policy], func(b *testing.B) {
			f := newFixture(50, 8)
			f.balancer.opts.Policy = policy
			for b.Loop() {
				ticket := f.submit(time.Second)
				f.balancer.Finish(ticket, Answered, f.now)
				f.balancer.TakeChanged()
			}
		})
	}
}

// BenchmarkAllocate measures a slot request with its response, with nine entry
// instances.
func BenchmarkAllocate(b *testing.B) {
	f := newFixture(50, 8)
	var otherEntries []*fixture
	for i := range 8 {
		other := &fixture{allocator: f.allocator, now: f.now}
		other.balancer = NewBalancer(Options{Entry: fmt.Sprint("o", i), Incarnation: 1})
		other.exchangeSlotRequests()
		otherEntries = append(otherEntries, other)
	}
	for i := 0; b.Loop(); i++ {
		otherEntries[i%len(otherEntries)].exchangeSlotRequests()
	}
}

// Guards against reusing the slot of a request whose caller disconnected while the
// minion, which isn't notified, still works on the request.
func TestAbandonedRequestKeepsItsSlot(t *testing.T) {
	f := newFixture(1, 1)
	f.finish(f.submit(time.Second), 0, Abandoned)
	must.Eq(t, Queued, f.submit(time.Second).State())
	f.now += lingerFactor * DefaultOptions().InitialServiceTime
	f.balancer.Tick(f.now)
	must.Eq(t, 1, f.balancer.InFlight())
}

// Guards against granting a slot to two entry instances: a slot request or response that
// is delayed, duplicated or of a replaced leader takes effect after the slots were granted
// to another entry instance.
func TestStaleSlotMessagesAreIgnored(t *testing.T) {
	f := newFixture(1, 8)
	oldRequest := f.balancer.NextSlotRequest(f.now)
	oldResponse, err := f.allocator.Allocate(oldRequest, f.now)
	must.NoError(t, err)
	f.exchangeSlotRequests()
	_, err = f.allocator.Allocate(oldRequest, f.now)
	must.ErrorIs(t, err, ErrStale)
	assertIgnored := func(change func(*SlotResponse)) {
		t.Helper()
		adopted := f.balancer.lease.adopted
		resp := SlotResponse{Term: 1, Sequence: f.balancer.NextSlotRequest(f.now).Sequence, TTL: time.Second}
		change(&resp)
		must.False(t, f.balancer.HandleSlotResponse(resp, f.now))
		must.Eq(t, adopted, f.balancer.lease.adopted)
		must.Eq(t, 8, f.balancer.GrantedSlots())
	}
	assertIgnored(func(r *SlotResponse) { r.Term = 0 })
	assertIgnored(func(r *SlotResponse) { r.Base = oldResponse.Sequence })
	assertIgnored(func(r *SlotResponse) { r.Sequence = oldResponse.Sequence })
	assertIgnored(func(r *SlotResponse) { r.Sequence++ })
}

// Guards against starting requests under a slot response that took longer than its
// lease.
func TestExpiredSlotResponseGrantsNothing(t *testing.T) {
	f := newFixture(1, 8)
	resp, err := f.allocator.Allocate(f.balancer.NextSlotRequest(f.now), f.now)
	must.NoError(t, err)
	f.now += resp.TTL
	f.balancer.Announce(f.allocator.Minions()[0], f.now)
	f.balancer.HandleSlotResponse(resp, f.now)
	must.Eq(t, Queued, f.submit(time.Second).State())
}

// Guards against unbounded memory: callers use invented service names while no leader
// responds, and each name is recorded.
func TestUnknownServicesAreBounded(t *testing.T) {
	b := NewBalancer(Options{Entry: "e", Incarnation: 1})
	for i := range 2 * maxUnknownServices {
		b.Submit(Request{Service: fmt.Sprint("s", i), Deadline: time.Second}, 0)
	}
	must.Eq(t, maxUnknownServices, b.QueueLength())
}

// Guards against two entry instances that use the same slot: an entry instance that has
// released its slots adopts a response that was in flight, while the leader grants the
// slots to another entry instance.
func TestNoGrantsAfterReleasingSlots(t *testing.T) {
	f := newFixture(1, 8)
	resp, err := f.allocator.Allocate(f.balancer.NextSlotRequest(f.now), f.now)
	must.NoError(t, err)
	f.balancer.StopAccepting()
	must.True(t, f.balancer.NextSlotRequest(f.now).ReleaseAll)
	f.balancer.HandleSlotResponse(resp, f.now)
	must.Eq(t, 0, f.balancer.GrantedSlots())
	must.Eq(t, 0, f.balancer.lease.expiresAt)
}

// Guards against refusing requests with short deadlines forever after a period of long
// service times: no request starts, so no new service time is measured.
func TestOldServiceTimesExpire(t *testing.T) {
	f := newFixture(2, 8)
	for range 40 {
		f.finish(f.submit(2*time.Second), 700*time.Millisecond, Answered)
		f.advance(0)
	}
	must.Eq(t, Refused, f.submit(500*time.Millisecond).State())
	for range 20 {
		f.advance(time.Second)
		if ticket := f.submit(500 * time.Millisecond); ticket.State() == Started {
			f.finish(ticket, 4*time.Millisecond, Answered)
			must.Eq(t, Started, f.submit(500*time.Millisecond).State())
			return
		}
	}
	t.Fatal("requests with short deadlines are still refused 20 s after the slow period")
}
