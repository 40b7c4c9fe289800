package routing_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"google.golang.org/protobuf/proto"

	"github.com/bilberryferry/bilberryferry/internal/proxy"
	"github.com/bilberryferry/bilberryferry/routing"
)

// Durations and sizes of the simulation. Results are counted from warmUp to loadEnd,
// and the fault of the case is injected at faultAt.
const (
	loadSeed            = 7
	loadSlots           = 8
	meanService         = 50 * time.Millisecond
	loadDeadline        = time.Second
	faultAt             = 8 * time.Second
	loadEnd             = 20 * time.Second
	warmUp              = 4 * time.Second
	oneWayDelay         = time.Millisecond
	slotRequestInterval = 500 * time.Millisecond
	minSlotRequestGap   = 100 * time.Millisecond
	announceInterval    = time.Second
	// callOverheadBytes is the overhead of one message of a small call over
	// HTTP/2.
	callOverheadBytes = 25
	maxCallerRetries  = 2
	loadCustomers     = 4
	// slowServiceFactor is the factor by which the service times of a slow minion are
	// longer.
	slowServiceFactor = 10
	// gapDivisor divides the gap between slot requests after a response that
	// granted more slots.
	gapDivisor = 4
	// maxWaitMicros and waitDigits are the largest wait, in microseconds, and the
	// significant digits of the histogram of waits.
	maxWaitMicros = 60_000_000
	waitDigits    = 3
	// maxLoadSeconds is the most seconds that are counted; loadEnd is earlier.
	maxLoadSeconds = 64
)

// loadCase is the configuration of one run.
type loadCase struct {
	name     string
	entries  int
	minions  int
	load     float64 // offered load as a multiple of the minions' capacity
	policy   routing.Policy
	baseline bool
	// fault is injected at faultAt into the first minions; faulty is the number of these
	// minions.
	fault  minionFault
	faulty int
	// event runs at faultAt.
	event func(*loadRun)
	// flood is the fraction of the requests that one customer sends.
	flood float64
}

// minionFault is a fault of a simulated minion.
type minionFault uint8

const (
	healthy minionFault = iota
	slow
	hanging
	failing
	gone
)

// loadMinion is a simulated minion.
type loadMinion struct {
	routing.Announcement
	fault minionFault
	// busy is the number of requests that the minion processes, and maxBusy is the
	// maximum of busy over the run.
	busy    int
	maxBusy int
	queue   []*loadRequest // the minion's own queue; baseline only
}

// loadEntry is a simulated entry instance.
type loadEntry struct {
	id          string
	incarnation uint64
	balancer    *routing.Balancer
	up          bool
	// gap is the minimum time between two slot requests.
	gap               time.Duration
	nextSlotRequestAt time.Duration
}

// loadRequest is one request of a simulated caller.
type loadRequest struct {
	customer   string
	retries    int
	entry      *loadEntry
	balancer   *routing.Balancer
	ticket     *routing.Ticket
	arrived    time.Duration
	deadline   time.Duration
	idempotent bool
}

// loadRun is a discrete event simulation of callers, entry instances, a leader and
// minions. Requests completed in time count as good, those completed later as late, and
// those whose last attempt failed as lost.
type loadRun struct {
	loadCase
	rng        *rand.Rand
	now        time.Duration
	events     eventHeap
	eventCount int
	allocator  *routing.Allocator
	hasLeader  bool
	entries    []*loadEntry
	minions    map[string]*loadMinion
	minionList []*loadMinion

	// offered counts the requests of callers, and good counts the requests that were
	// completed in time. otherOffered and otherGood are the same counts without the
	// requests of the flooding customer.
	offered, good, otherOffered, otherGood int
	refused, late, lost                    int
	goodBySecond                           [maxLoadSeconds]int
	bytes, calls                           int
	waits                                  *hdrhistogram.Histogram
	lastSendAfterLeave                     time.Duration
}

// loadEvent is a function that runs at a simulated time.
type loadEvent struct {
	at       time.Duration
	sequence int
	action   func()
}

// eventHeap orders events by time, then by insertion.
type eventHeap []loadEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].sequence < h[j].sequence)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(loadEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// schedule schedules action to run at the simulated time t.
func (r *loadRun) schedule(t time.Duration, action func()) {
	r.eventCount++
	heap.Push(&r.events, loadEvent{at: t, sequence: r.eventCount, action: action})
}

// newLoadRun returns a simulation with its first events scheduled.
func newLoadRun(c loadCase) *loadRun {
	r := &loadRun{
		loadCase:  c,
		rng:       rand.New(rand.NewPCG(loadSeed, 0)),
		minions:   make(map[string]*loadMinion),
		waits:     hdrhistogram.New(1, maxWaitMicros, waitDigits),
		allocator: routing.NewAllocator(routing.LeaseOptions{}),
		hasLeader: true,
	}
	r.allocator.Lead(1, nil, -time.Hour)
	for i := range c.minions {
		name := fmt.Sprintf("naas-hall-m%d", i)
		a := routing.Announcement{
			Minion: name, Service: "inspect-hub", Address: "10.0.0.1:8080",
			Slots: loadSlots, MaxConnections: 60, Incarnation: 1,
		}
		m := &loadMinion{Announcement: a}
		r.minions[name] = m
		r.minionList = append(r.minionList, m)
		r.schedule(time.Duration(i)*announceInterval/time.Duration(c.minions), func() { r.announce(m) })
	}
	for i := range c.entries {
		e := &loadEntry{id: fmt.Sprintf("naas-hall-%d", i)}
		r.entries = append(r.entries, e)
		r.startEntry(e)
	}
	r.schedule(warmUp/2, r.arrive)
	r.schedule(faultAt, r.injectFault)
	return r
}

// startEntry starts a new process of an entry instance.
func (r *loadRun) startEntry(e *loadEntry) {
	e.incarnation++
	e.up = true
	e.balancer = routing.NewBalancer(routing.Options{
		Entry: e.id, Incarnation: e.incarnation, Seed: e.incarnation, Policy: r.policy,
	})
	r.sendSlotRequest(e, e.balancer)
}

// injectFault injects the fault and runs the event of the case.
func (r *loadRun) injectFault() {
	for _, m := range r.minionList[:r.faulty] {
		m.fault = r.fault
	}
	if r.event != nil {
		r.event(r)
	}
}

// announce sends a minion's announcement to all entry instances, periodically.
func (r *loadRun) announce(m *loadMinion) {
	if m.fault != gone {
		for _, e := range r.entries {
			if e.up {
				e.balancer.Announce(m.Announcement, r.now)
				r.collect(e)
			}
		}
	}
	r.schedule(r.now+announceInterval, func() { r.announce(m) })
}

// sendSlotRequest sends a slot request of one entry process and schedules the next one
// after slotRequestInterval.
func (r *loadRun) sendSlotRequest(e *loadEntry, b *routing.Balancer) {
	if e.balancer != b || !e.up {
		return
	}
	e.nextSlotRequestAt = r.now + slotRequestInterval
	req := b.NextSlotRequest(r.now)
	r.schedule(r.now+oneWayDelay, func() { r.handleSlotRequest(e, b, req) })
	r.schedule(e.nextSlotRequestAt, func() {
		if e.nextSlotRequestAt <= r.now {
			r.sendSlotRequest(e, b)
		}
	})
}

// handleSlotRequest handles a slot request at the leader and sends the response.
func (r *loadRun) handleSlotRequest(e *loadEntry, b *routing.Balancer, req routing.SlotRequest) {
	if !r.hasLeader {
		return
	}
	resp, err := r.allocator.Allocate(req, r.now)
	if err != nil {
		return
	}
	if r.measured() {
		r.bytes += callOverheadBytes + proto.Size(proxy.SlotRequestToWire(req)) + callOverheadBytes + proto.Size(proxy.SlotResponseToWire(resp))
		r.calls++
	}
	r.schedule(r.now+oneWayDelay, func() { r.handleSlotResponse(e, b, resp) })
}

// handleSlotResponse processes a slot response at the entry process.
func (r *loadRun) handleSlotResponse(e *loadEntry, b *routing.Balancer, resp routing.SlotResponse) {
	if e.balancer != b || !e.up {
		return
	}
	before := b.GrantedSlots()
	again := b.HandleSlotResponse(resp, r.now)
	grew := b.GrantedSlots() > before
	e.gap = nextGap(e.gap, grew)
	r.collect(e)
	if again {
		r.sendSlotRequest(e, b)
	}
}

// nextGap returns the minimum time until the next slot request. The time becomes shorter
// if the last response granted more slots, and longer otherwise. internal/proxy adapts
// its slot requests by the same rule.
func nextGap(gap time.Duration, grew bool) time.Duration {
	if grew {
		return max(minSlotRequestGap, gap/gapDivisor)
	}
	return min(slotRequestInterval, max(minSlotRequestGap, 2*gap))
}

// arrive creates a new caller and schedules the next one after an exponentially
// distributed time.
func (r *loadRun) arrive() {
	rate := r.load * float64(len(r.minionList)*loadSlots) / meanService.Seconds()
	r.schedule(r.now+time.Duration(r.rng.ExpFloat64()/rate*float64(time.Second)), r.arrive)
	q := &loadRequest{customer: fmt.Sprint("c", r.rng.IntN(loadCustomers)), idempotent: r.rng.IntN(2) == 0}
	if r.rng.Float64() < r.flood {
		q.customer = "flood"
	}
	if r.measured() {
		r.offered++
		if q.customer != "flood" {
			r.otherOffered++
		}
	}
	r.send(q)
}

// measured reports whether the current time is in the period whose requests are counted
// in the results.
func (r *loadRun) measured() bool { return r.now >= warmUp && r.now < loadEnd }

// send submits a request to a random live entry instance, or sends it to a minion in a
// baseline run.
func (r *loadRun) send(q *loadRequest) {
	q.arrived = r.now
	q.deadline = r.now + loadDeadline
	if r.baseline {
		r.sendBaseline(q)
		return
	}
	e := r.entries[r.rng.IntN(len(r.entries))]
	for !e.up {
		e = r.entries[r.rng.IntN(len(r.entries))]
	}
	q.entry, q.balancer = e, e.balancer
	q.ticket = e.balancer.Submit(routing.Request{
		Service: "inspect-hub", Customer: q.customer, Deadline: q.deadline, Idempotent: q.idempotent, Tag: q,
	}, r.now)
	r.collect(e)
	r.expireWhenDue(q)
}

// expireWhenDue schedules the expiry of a queued request.
func (r *loadRun) expireWhenDue(q *loadRequest) {
	if q.ticket.State() != routing.Queued {
		return
	}
	r.schedule(q.balancer.QueueDeadline(q.ticket)+1, func() {
		if q.alive() && q.ticket.State() == routing.Queued {
			q.balancer.Expire(q.ticket, r.now)
			r.collect(q.entry)
			r.expireWhenDue(q)
		}
	})
}

// alive reports whether the process that accepted the request still runs.
func (q *loadRequest) alive() bool { return q.entry.up && q.entry.balancer == q.balancer }

// collect handles the started and refused requests of an entry instance and
// sends a slot request if one is due.
func (r *loadRun) collect(e *loadEntry) {
	for _, t := range e.balancer.TakeChanged() {
		q := t.Tag.(*loadRequest)
		switch t.State() {
		case routing.Started:
			r.simulateAttempt(q, t)
		case routing.Refused:
			r.retryRefused(q, t.Refusal().RetryAfter)
		}
	}
	if e.balancer.SlotRequestDue() && r.now > e.nextSlotRequestAt-slotRequestInterval+e.gap {
		r.sendSlotRequest(e, e.balancer)
	}
}

// retryRefused lets the caller of a refused request retry after the delay, at most
// maxCallerRetries times.
func (r *loadRun) retryRefused(q *loadRequest, after time.Duration) {
	r.refused++
	if q.retries >= maxCallerRetries || after == 0 {
		return
	}
	retry := &loadRequest{customer: q.customer, retries: q.retries + 1, idempotent: q.idempotent}
	r.schedule(r.now+after, func() { r.send(retry) })
}

// serviceTime draws the service time of a request on a minion.
func (r *loadRun) serviceTime(m *loadMinion) time.Duration {
	took := time.Duration(r.rng.ExpFloat64() * float64(meanService))
	if m.fault == slow {
		return slowServiceFactor * took
	}
	return took
}

// simulateAttempt simulates a started request on its minion.
func (r *loadRun) simulateAttempt(q *loadRequest, t *routing.Ticket) {
	m := r.minions[q.balancer.Target(t).Minion]
	attemptDeadline := q.balancer.AttemptDeadline(t)
	if r.measured() {
		_ = r.waits.RecordValue(max(1, t.Waited().Microseconds()))
	}
	if m.Leaving {
		r.lastSendAfterLeave = max(r.lastSendAfterLeave, r.now-faultAt)
	}
	switch m.fault {
	case gone:
		r.schedule(r.now+2*oneWayDelay, func() { r.finishAttempt(q, routing.NotSent) })
	case failing:
		r.schedule(r.now+2*oneWayDelay, func() { r.finishAttempt(q, routing.AnsweredFailure) })
	case hanging:
		m.requestStarted()
		r.schedule(attemptDeadline, func() { m.busy--; r.finishAttempt(q, routing.TimedOut) })
	default:
		m.requestStarted()
		end := r.now + 2*oneWayDelay + r.serviceTime(m)
		r.schedule(end, func() { m.busy-- })
		if end > attemptDeadline {
			r.schedule(attemptDeadline, func() { r.finishAttempt(q, routing.TimedOut) })
			return
		}
		r.schedule(end, func() { r.finishAttempt(q, routing.Answered) })
	}
}

// requestStarted counts a request that the minion begins to process.
func (m *loadMinion) requestStarted() {
	m.busy++
	m.maxBusy = max(m.maxBusy, m.busy)
}

// finishAttempt ends an attempt. It retries a failed request if the request was not sent
// or is idempotent, and if the Balancer permits the retry.
func (r *loadRun) finishAttempt(q *loadRequest, o routing.Outcome) {
	if !q.alive() {
		return
	}
	b := q.balancer
	b.Finish(q.ticket, o, r.now)
	if o == routing.Answered {
		r.countAnswered(q)
		r.collect(q.entry)
		return
	}
	if (o == routing.NotSent || q.idempotent) && b.Retry(q.ticket, o, r.now) {
		r.expireWhenDue(q)
	} else if q.ticket.State() != routing.Refused {
		r.lost++
	}
	r.collect(q.entry)
}

// countAnswered counts a request whose response arrived: as late if the response arrived
// after the deadline, and as good otherwise.
func (r *loadRun) countAnswered(q *loadRequest) {
	if r.now > q.deadline {
		r.late++
		return
	}
	r.goodBySecond[int(r.now/time.Second)]++
	if !r.measured() {
		return
	}
	r.good++
	if q.customer != "flood" {
		r.otherGood++
	}
}

// sendBaseline sends a request to a random minion, which processes the requests of its
// own queue in order of arrival, including requests that are past their deadline.
func (r *loadRun) sendBaseline(q *loadRequest) {
	m := r.minionList[r.rng.IntN(len(r.minionList))]
	switch {
	case m.fault == gone || m.fault == failing || m.fault == hanging:
		r.lost++
	case m.busy >= loadSlots:
		m.queue = append(m.queue, q)
	default:
		r.serveBaseline(m, q)
	}
}

// serveBaseline processes a request on a minion and afterwards the next request of the
// minion's queue.
func (r *loadRun) serveBaseline(m *loadMinion, q *loadRequest) {
	if r.measured() {
		_ = r.waits.RecordValue(max(1, (r.now - q.arrived).Microseconds()))
	}
	m.requestStarted()
	r.schedule(r.now+r.serviceTime(m), func() {
		m.busy--
		r.countAnswered(q)
		if len(m.queue) > 0 {
			next := m.queue[0]
			m.queue = m.queue[1:]
			r.serveBaseline(m, next)
		}
	})
}

// run runs the simulation to its end.
func (r *loadRun) run() {
	for r.now < loadEnd {
		r.step()
	}
}

// step runs the next event.
func (r *loadRun) step() {
	e := heap.Pop(&r.events).(loadEvent)
	r.now = e.at
	e.action()
}
