package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// desk is one leader and one entry instance, both on one clock.
type fixture struct {
	divider  *Allocator
	balancer *Balancer
	now      time.Duration
}

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
	// New minions have reached their full slots.
	d.advance(DefaultOptions().SlowStart)
	return d
}

// share makes slot requests until nothing more is to be said.
func (d *fixture) exchangeSlotRequests() {
	for again := true; again; {
		resp, err := d.divider.Allocate(d.balancer.NextSlotRequest(d.now), d.now)
		if err != nil {
			return
		}
		again = d.balancer.HandleSlotResponse(resp, d.now)
	}
}

// pass lets time pass with all minions announcing themselves to the leader.
func (d *fixture) advance(step time.Duration) {
	d.now += step
	for _, m := range d.divider.Minions() {
		d.divider.Announce(m, d.now)
	}
	d.exchangeSlotRequests()
}

func (d *fixture) submit(left time.Duration) *Ticket {
	r := Request{Service: "s", Customer: "c", Deadline: d.now + left}
	return d.balancer.Submit(r, d.now)
}

func (d *fixture) finish(t *Ticket, took time.Duration, o Outcome) {
	d.now += took
	d.balancer.Finish(t, o, d.now)
}

// A minion that said farewell still gets requests. The entry instance is cut
// off from the leader and only the minion's own word, or its silence, reaches it.
func TestNoRequestsToLeavingMinion(t *testing.T) {
	leaveReceived := newFixture(1, 8)
	must.Eq(t, Started, leaveReceived.submit(time.Second).State())
	leaveReceived.balancer.Leave("m0", 1, leaveReceived.now)
	must.Eq(t, Queued, leaveReceived.submit(time.Second).State())

	cutOff := newFixture(1, 8)
	cutOff.now += 3 * time.Second // of a lease of 5 s
	must.Eq(t, Queued, cutOff.submit(time.Second).State())

	byLeader := newFixture(1, 8)
	byLeader.divider.Leave("m0", 1, byLeader.now)
	byLeader.exchangeSlotRequests()
	must.Eq(t, Queued, byLeader.submit(time.Second).State())
	// A late copy of an announcement doesn't bring it back.
	byLeader.divider.Announce(Announcement{Minion: "m0", Service: "s", Slots: 8, Incarnation: 1}, byLeader.now)
	must.SliceEmpty(t, byLeader.divider.Minions())
}

// A minion dies without a word: the leader takes it out after the TTL.
func TestMinionIsRemovedAfterTTL(t *testing.T) {
	d := newFixture(1, 8)
	d.now += DefaultLeaseOptions().MinionTTL + 1
	d.exchangeSlotRequests()
	must.Eq(t, 0, d.balancer.GrantedSlots())
}

// Two entry instances use the same slot: a new leader doesn't know what its
// predecessor granted to the entry instance that it can't hear.
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

// The service stands still after the loss of a leader, since slots have to be
// waited out. What an entry instance holds it keeps by its claim.
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

// Work that is over its deadline before it starts is paid for and worth
// nothing. It must be refused when that is known, with a time to come back.
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

// A minion that fails at once is always free and draws all requests.
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

// Bad input of one customer fails on every minion; the service stays open.
func TestFailureRateOpensAtMostHalfOfBreakers(t *testing.T) {
	d := newFixture(4, 8)
	for range 200 {
		d.finish(d.submit(time.Second), time.Millisecond, AnsweredFailure)
		d.advance(0)
	}
	must.LessEq(t, 2, d.balancer.OpenBreakers())
}

// Retries multiply the load on a service that is in trouble already.
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

// One customer fills the queue; the request of another is not refused for it.
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

// The caller hangs up, its slot goes to the next request, and the minion, which
// can't tell, works on both.
func TestAbandonedRequestKeepsItsSlot(t *testing.T) {
	d := newFixture(1, 1)
	d.finish(d.submit(time.Second), 0, Abandoned)
	must.Eq(t, Queued, d.submit(time.Second).State())
	d.now += lingerFactor * DefaultOptions().FirstEstimate
	d.balancer.Tick(d.now)
	must.Eq(t, 1, d.balancer.InFlight())
}

// Slots come back to life: copies of requests and answers from before arrive
// late, also from a leader that was replaced, and the slots that they speak of
// belong to others by now.
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

// The answer to a slot request takes longer than the lease that it grants.
func TestExpiredSlotResponseGrantsNothing(t *testing.T) {
	d := newFixture(1, 8)
	resp, err := d.divider.Allocate(d.balancer.NextSlotRequest(d.now), d.now)
	must.NoError(t, err)
	d.now += resp.Lease
	d.balancer.Announce(d.divider.Minions()[0], d.now)
	d.balancer.HandleSlotResponse(resp, d.now)
	must.Eq(t, Queued, d.submit(time.Second).State())
}

// Callers make up names of services while no leader answers; each name kept
// would cost memory.
func TestUnknownServicesAreBounded(t *testing.T) {
	b := NewBalancer(Options{Entry: "e", Incarnation: 1})
	for i := range 2 * maxUnknownServices {
		b.Submit(Request{Service: fmt.Sprint("s", i), Deadline: time.Second}, 0)
	}
	must.Eq(t, maxUnknownServices, b.QueueLength())
}

// An entry instance that handed its slots back takes an answer that was under
// way, while the leader gives the same slots to others.
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

// A service was slow while patient callers asked, and then fast again. Impatient
// ones were refused ever after: none was started, so nothing was learned.
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
	t.Fatal("still refused")
}
