package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// fixture is one leader and one entry instance on the same clock.
type fixture struct {
	divider  *Allocator
	balancer *Balancer
	now      time.Duration
}

// newFixture returns a fixture whose entry instance has all slots of the minions
// and has passed slow start.
func newFixture(minions, slots int) *fixture {
	d := &fixture{
		divider:  NewAllocator(LeaseOptions{}),
		balancer: NewBalancer(Options{Entry: "e", Incarnation: 1, Seed: 1}),
		now:      time.Hour,
	}
	d.divider.Lead(1, nil, 0)
	for i := range minions {
		d.divider.Announce(Announcement{
			Minion: fmt.Sprint("m", i), Service: "s", Address: fmt.Sprint("a", i), Slots: slots, Incarnation: 1,
		}, d.now)
	}
	d.exchangeSlotRequests()
	// After slow start the minions may use all their slots.
	d.advance(DefaultOptions().SlowStart)
	return d
}

// exchangeSlotRequests exchanges slot requests until no request must follow.
func (d *fixture) exchangeSlotRequests() {
	for again := true; again; {
		resp, err := d.divider.Allocate(d.balancer.NextSlotRequest(d.now), d.now)
		if err != nil {
			return
		}
		again = d.balancer.HandleSlotResponse(resp, d.now)
	}
}

// advance moves the time forward; all minions announce themselves to the leader.
func (d *fixture) advance(step time.Duration) {
	d.now += step
	for _, m := range d.divider.Minions() {
		d.divider.Announce(m, d.now)
	}
	d.exchangeSlotRequests()
}

// submit submits a request with a deadline left from now.
func (d *fixture) submit(left time.Duration) *Ticket {
	r := Request{Service: "s", Customer: "c", Deadline: d.now + left}
	return d.balancer.Submit(r, d.now)
}

// finish ends a request after it took some time.
func (d *fixture) finish(t *Ticket, took time.Duration, o Outcome) {
	d.now += took
	d.balancer.Finish(t, o, d.now)
}

// A minion that left still gets requests. The entry instance may learn of it
// from the minion, from missing announcements or from the leader.
func TestNoRequestsToLeavingMinion(t *testing.T) {
	leaveReceived := newFixture(1, 8)
	must.Eq(t, Started, leaveReceived.submit(time.Second).State())
	leaveReceived.balancer.Leave("m0", 1, leaveReceived.now)
	must.Eq(t, Queued, leaveReceived.submit(time.Second).State())

	cutOff := newFixture(1, 8)
	cutOff.now += 3 * time.Second // the TTL has passed, the slot lease of 5 s hasn't
	must.Eq(t, Queued, cutOff.submit(time.Second).State())

	byLeader := newFixture(1, 8)
	byLeader.divider.Leave("m0", 1, byLeader.now)
	byLeader.exchangeSlotRequests()
	must.Eq(t, Queued, byLeader.submit(time.Second).State())
	// A delayed duplicate of an announcement must not bring the minion back.
	byLeader.divider.Announce(Announcement{Minion: "m0", Service: "s", Slots: 8, Incarnation: 1}, byLeader.now)
	must.SliceEmpty(t, byLeader.divider.Minions())
}

// A minion that died without leaving keeps its slots granted after the TTL.
func TestMinionIsRemovedAfterTTL(t *testing.T) {
	d := newFixture(1, 8)
	d.now += DefaultLeaseOptions().MinionTTL + 1
	d.exchangeSlotRequests()
	must.Eq(t, 0, d.balancer.GrantedSlots())
}

// Two entry instances use the same slot: a new leader doesn't know what the
// previous one granted to an entry instance that it can't reach.
func TestNewLeaderReservesUnclaimedSlots(t *testing.T) {
	d := newFixture(1, 8)
	d.divider = NewAllocator(LeaseOptions{})
	d.divider.Lead(2, []string{"e", "silent"}, d.now)
	d.divider.Announce(Announcement{Minion: "m0", Service: "s", Slots: 8, Incarnation: 1}, d.now)
	other := NewBalancer(Options{Entry: "other", Incarnation: 1})
	ask := func() int {
		for range 3 {
			resp, err := d.divider.Allocate(other.NextSlotRequest(d.now), d.now)
			must.NoError(t, err)
			other.HandleSlotResponse(resp, d.now)
		}
		return other.GrantedSlots()
	}
	must.Eq(t, 0, ask())
	d.advance(d.divider.opts.Lease + d.divider.opts.MaxRequest + d.divider.opts.Drift - 1)
	must.Eq(t, 0, ask())
	d.advance(1)
	must.Positive(t, ask())
}

// No requests are served after a leader change until the reservation of the
// previous leader's grants ends. An entry instance keeps the slots it claims.
func TestClaimedSlotsSurviveLeaderChange(t *testing.T) {
	d := newFixture(2, 8)
	must.Eq(t, 16, d.balancer.GrantedSlots())
	d.now += 3 * time.Second
	d.divider = NewAllocator(LeaseOptions{})
	d.divider.Lead(2, nil, d.now)
	for _, m := range []string{"m0", "m1"} {
		d.divider.Announce(Announcement{Minion: m, Service: "s", Slots: 8, Incarnation: 1}, d.now)
	}
	d.exchangeSlotRequests()
	must.Eq(t, 16, d.balancer.GrantedSlots())
	must.Eq(t, Started, d.submit(time.Second).State())
}

// A request that can't be answered by its deadline is started and wastes work.
// It must be refused at once, with a jittered retry delay.
func TestUnreachableDeadlineIsRefusedAtOnce(t *testing.T) {
	d := newFixture(1, 2)
	for range 40 {
		d.finish(d.submit(time.Second), 100*time.Millisecond, Answered)
		d.balancer.TakeChanged()
		d.advance(0)
	}
	for range 2 {
		must.Eq(t, Started, d.submit(time.Second).State())
	}
	unreachable := d.submit(120 * time.Millisecond)
	must.Eq(t, Refused, unreachable.State())
	must.Eq(t, TooLate, unreachable.Refusal().Reason)
	must.Positive(t, unreachable.Refusal().RetryAfter)
	times := make(map[time.Duration]bool)
	for range 20 {
		late := d.submit(120 * time.Millisecond)
		must.Eq(t, Refused, late.State())
		times[late.Refusal().RetryAfter] = true
	}
	must.Greater(t, 15, len(times))
}

// A minion that fails at once is always free and attracts all requests.
func TestBreakerOpensOnFailingMinion(t *testing.T) {
	for _, o := range []Outcome{AnsweredFailure, NotSent, Broken} {
		d := newFixture(4, 8)
		bad := 0
		for range 200 {
			ticket := d.submit(time.Second)
			must.Eq(t, Started, ticket.State())
			if d.balancer.Target(ticket).Minion == "m0" {
				bad++
				d.finish(ticket, 0, o)
				continue
			}
			d.finish(ticket, 4*time.Millisecond, Answered)
			d.advance(0)
		}
		must.LessEq(t, 10, bad)
		must.Positive(t, bad)
		must.Eq(t, 1, d.balancer.OpenBreakers())
		d.advance(maxBackoff)
		for d.balancer.OpenBreakers() > 0 {
			d.advance(firstBackoff)
			d.finish(d.submit(time.Second), 4*time.Millisecond, Answered)
		}
	}
}

// Bad input of one customer fails on every minion and opens all circuit
// breakers, which takes the service down.
func TestFailureRateOpensAtMostHalfOfBreakers(t *testing.T) {
	d := newFixture(4, 8)
	for range 200 {
		d.finish(d.submit(time.Second), time.Millisecond, AnsweredFailure)
		d.advance(0)
	}
	must.LessEq(t, 2, d.balancer.OpenBreakers())
}

// Retries multiply the load on an overloaded service.
func TestRetryBudget(t *testing.T) {
	d := newFixture(8, 8)
	retried := 0
	for range 100 {
		ticket := d.submit(time.Second)
		if ticket.State() != Started {
			break
		}
		d.finish(ticket, 0, AnsweredFailure)
		if d.balancer.Retry(ticket, AnsweredFailure, d.now) {
			retried++
			d.finish(ticket, 0, AnsweredFailure)
		}
	}
	must.LessEq(t, 21, retried)
	must.Positive(t, retried)
	late := d.submit(time.Second)
	d.finish(late, time.Second, Broken)
	must.False(t, d.balancer.Retry(late, Broken, d.now))
}

// One customer fills the queue, and the request of another customer is refused.
func TestCustomerFloodDoesNotRefuseOthers(t *testing.T) {
	d := newFixture(1, 2)
	for range 500 {
		d.submit(time.Second)
	}
	other := d.balancer.Submit(Request{Service: "s", Customer: "other", Deadline: d.now + time.Second}, d.now)
	must.Eq(t, Queued, other.State())
	for _, ticket := range d.balancer.TakeChanged() {
		if ticket.State() == Started {
			d.finish(ticket, time.Millisecond, Answered)
			break
		}
	}
	must.Eq(t, Started, other.State())
}

// BenchmarkDecision measures submitting and finishing one request.
func BenchmarkDecision(b *testing.B) {
	for _, policy := range []Policy{LeastLoaded, TwoChoices, Random} {
		b.Run([]string{"least-loaded", "two-choices", "random"}[policy], func(b *testing.B) {
			d := newFixture(50, 8)
			d.balancer.opts.Policy = policy
			for b.Loop() {
				ticket := d.submit(time.Second)
				d.balancer.Finish(ticket, Answered, d.now)
				d.balancer.TakeChanged()
			}
		})
	}
}

// BenchmarkDivide measures a slot request with nine entry instances.
func BenchmarkDivide(b *testing.B) {
	d := newFixture(50, 8)
	var others []*fixture
	for i := range 8 {
		other := &fixture{divider: d.divider, now: d.now}
		other.balancer = NewBalancer(Options{Entry: fmt.Sprint("o", i), Incarnation: 1})
		other.exchangeSlotRequests()
		others = append(others, other)
	}
	for i := 0; b.Loop(); i++ {
		others[i%len(others)].exchangeSlotRequests()
	}
}

// The slot of a request whose caller went away is reused while the minion, which
// isn't told, still works on the request.
func TestAbandonedRequestKeepsItsSlot(t *testing.T) {
	d := newFixture(1, 1)
	d.finish(d.submit(time.Second), 0, Abandoned)
	must.Eq(t, Queued, d.submit(time.Second).State())
	d.now += lingerFactor * DefaultOptions().FirstEstimate
	d.balancer.Tick(d.now)
	must.Eq(t, 1, d.balancer.InFlight())
}

// Delayed duplicates of slot requests and responses, also from a replaced
// leader, bring back slots that others hold by now.
func TestStaleSlotMessagesAreIgnored(t *testing.T) {
	d := newFixture(1, 8)
	old := d.balancer.NextSlotRequest(d.now)
	oldAnswer, err := d.divider.Allocate(old, d.now)
	must.NoError(t, err)
	d.exchangeSlotRequests()
	_, err = d.divider.Allocate(old, d.now)
	must.ErrorIs(t, err, ErrStale)
	refused := func(change func(*SlotResponse)) {
		t.Helper()
		adopted := d.balancer.lease.adopted
		resp := SlotResponse{Term: 1, Sequence: d.balancer.NextSlotRequest(d.now).Sequence, Lease: time.Second}
		change(&resp)
		must.False(t, d.balancer.HandleSlotResponse(resp, d.now))
		must.Eq(t, adopted, d.balancer.lease.adopted)
		must.Eq(t, 8, d.balancer.GrantedSlots())
	}
	refused(func(r *SlotResponse) { r.Term = 0 })
	refused(func(r *SlotResponse) { r.Base = oldAnswer.Sequence })
	refused(func(r *SlotResponse) { r.Sequence = oldAnswer.Sequence })
	refused(func(r *SlotResponse) { r.Sequence++ })
}

// A slot response that took longer than its lease still grants slots.
func TestExpiredSlotResponseGrantsNothing(t *testing.T) {
	d := newFixture(1, 8)
	resp, err := d.divider.Allocate(d.balancer.NextSlotRequest(d.now), d.now)
	must.NoError(t, err)
	d.now += resp.Lease
	d.balancer.Announce(d.divider.Minions()[0], d.now)
	d.balancer.HandleSlotResponse(resp, d.now)
	must.Eq(t, Queued, d.submit(time.Second).State())
}

// Callers use invented service names while no leader answers, and each recorded
// name costs memory.
func TestUnknownServicesAreBounded(t *testing.T) {
	b := NewBalancer(Options{Entry: "e", Incarnation: 1})
	for i := range 2 * maxUnknownServices {
		b.Submit(Request{Service: fmt.Sprint("s", i), Deadline: time.Second}, 0)
	}
	must.Eq(t, maxUnknownServices, b.QueueLength())
}

// An entry instance that released its slots adopts a response that was in
// flight, while the leader grants the same slots to others.
func TestNoGrantsAfterReleasingSlots(t *testing.T) {
	d := newFixture(1, 8)
	resp, err := d.divider.Allocate(d.balancer.NextSlotRequest(d.now), d.now)
	must.NoError(t, err)
	d.balancer.StopAccepting()
	must.True(t, d.balancer.NextSlotRequest(d.now).ReleaseAll)
	d.balancer.HandleSlotResponse(resp, d.now)
	must.Eq(t, 0, d.balancer.GrantedSlots())
	must.Eq(t, 0, d.balancer.lease.expiresAt)
}

// After a slow period, requests with short deadlines are refused forever: none
// starts, so no new service time is measured.
func TestOldServiceTimesExpire(t *testing.T) {
	d := newFixture(2, 8)
	for range 40 {
		d.finish(d.submit(2*time.Second), 700*time.Millisecond, Answered)
		d.advance(0)
	}
	must.Eq(t, Refused, d.submit(500*time.Millisecond).State())
	for range 20 {
		d.advance(time.Second)
		if ticket := d.submit(500 * time.Millisecond); ticket.State() == Started {
			d.finish(ticket, 4*time.Millisecond, Answered)
			must.Eq(t, Started, d.submit(500*time.Millisecond).State())
			return
		}
	}
	t.Fatal("requests with short deadlines are still refused 20 s after the slow period")
}
