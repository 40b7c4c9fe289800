package control

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/bilberryferry/bilberryferry/dispatch"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// queryTimeoutMargin is added to the expected duration of a query to get its timeout.
const queryTimeoutMargin = 800 * time.Millisecond

// stepPermits holds the adviser's permits for one step and the state of the queries about
// it.
type stepPermits struct {
	// known maps the workers about which the adviser was queried to its permits. The map is
	// replaced, never modified, because decisions read it without the lock.
	known map[string]dispatch.Permit
	// granted lists the workers with a granted permit. It is made once per response, since
	// making it for each waiting gang would be a large part of a decision. It is
	// replaced, never modified, like known.
	granted []string
	// inFlight counts the queries in flight.
	inFlight int
	// lastQueryAt is when the last query was sent or, before the first query, when the
	// step began to wait for it, relative to the start of the leader term. 0 means that
	// the step hasn't waited yet.
	lastQueryAt time.Duration
	// renewing lists the workers whose tickets the queries in flight renew.
	renewing []string
	// querying is the set of the workers that the queries in flight name. It is replaced, never modified,
	// like known.
	querying map[string]bool
	// ticketsExpire is when the last ticket expires, relative to the start of the leader
	// term.
	ticketsExpire time.Duration
}

// permitsOf returns the permits of a step and creates the entry if there is none. t.mu
// must be held.
func (t *leaderTerm) permitsOf(key workflow.StepKey) *stepPermits {
	p := t.permits[key]
	if p == nil {
		p = &stepPermits{known: map[string]dispatch.Permit{}}
		t.permits[key] = p
	}
	return p
}

// invalidateTicket marks a ticket as expired, so that the next start of the step on the
// worker needs a new query. t.mu must be held.
func (t *leaderTerm) invalidateTicket(key workflow.StepKey, worker string) {
	p := t.permitsOf(key)
	if permit, ok := p.known[worker]; ok {
		permit.Expires = 0
		known := maps.Clone(p.known)
		known[worker] = permit
		p.known = known
	}
}

// sendQueries sends the queries of a plan. With load control on, it sends the longest ones
// first. A shorter query could otherwise take a connection that a longer one was planned
// on, while the connections left over take no long queries.
func (t *leaderTerm) sendQueries(queries []dispatch.Query) {
	type plannedQuery struct {
		dispatch.Query
		queue  string
		policy *workflow.AdvicePolicy
		length queryLength
	}
	planned := make([]plannedQuery, 0, len(queries))
	for _, query := range queries {
		if queue, policy := t.advicePolicy(query.Step); policy != nil {
			length := t.adviserConns.lengthOf(queryDuration(policy, len(query.Workers)))
			planned = append(planned, plannedQuery{query, queue, policy, length})
		}
	}
	if t.c.cfg.LoadControl {
		slices.SortStableFunc(planned, func(a, b plannedQuery) int { return cmp.Compare(b.length, a.length) })
	}
	for _, p := range planned {
		t.queryAdviser(p.Query, p.queue, p.policy)
	}
}

// queryAdviser sends a query about a step to the adviser in the background. It does
// nothing when no adviser connection is free.
func (t *leaderTerm) queryAdviser(query dispatch.Query, queue string, policy *workflow.AdvicePolicy) {
	duration := queryDuration(policy, len(query.Workers))
	now := time.Now()
	conn, responseDue := t.adviserConns.acquire(now, duration)
	if conn == nil {
		return
	}
	if t.adviserConns.lengthOf(duration) == interactiveQuery {
		t.c.cfg.Counters.Add("adviser_queries_interactive", 1)
	}
	t.mu.Lock()
	p := t.permitsOf(query.Step)
	p.recordQuery(query, now.Sub(t.started))
	t.mu.Unlock()
	validity := time.Duration(policy.TicketValidityMS) * time.Millisecond
	t.spawn(func() { t.queryAdviserVia(conn, query, queue, validity, time.Until(responseDue)+queryTimeoutMargin) })
}

// queryAdviserVia sends a query through conn and records the response. validity is the
// ticket validity that the policy specifies, used when the response has none.
func (t *leaderTerm) queryAdviserVia(conn *adviserConn, query dispatch.Query, queue string, validity, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(t.ctx, timeout)
	defer cancel()
	start := time.Now()
	reply, err := t.adviserConns.send(ctx, conn, AdviserQuery{Step: query.Step, Workers: query.Workers})
	now := time.Now()
	if reply.TicketValidity == 0 {
		reply.TicketValidity = validity
	}
	t.adviserConns.release(conn, now, err != nil)
	t.c.cfg.Counters.Add("asks", 1)
	t.c.cfg.Counters.Observe("ask", now.Sub(start))
	t.logger.Log("event", "permit", "step", query.Step, "through", conn.address, "asked", len(query.Workers),
		"granted", len(reply.Granted), "renewal", query.Renewal, "ms", now.Sub(start).Milliseconds(), "err", err)
	t.mu.Lock()
	p := t.permitsOf(query.Step)
	p.recordQueryEnd(query)
	if err == nil {
		t.updateGrantRate(queue, p, query.Workers, reply.Granted)
		p.recordReply(query.Workers, reply, now.Add(reply.TicketValidity).Sub(t.started))
	}
	t.markJobChanged(query.Step.Job)
	t.mu.Unlock()
}

// grantRateWeight is the weight of the latest response in the moving mean of the
// granted share: the mean covers about 20 responses.
const grantRateWeight = 0.05

// updateGrantRate adds a response to the queue's mean share of granted workers. It
// counts only workers about which no earlier response for the step is known. t.mu must be
// held.
func (t *leaderTerm) updateGrantRate(queue string, p *stepPermits, queried []string, granted []Grant) {
	unknown := make(map[string]bool, len(queried))
	for _, worker := range queried {
		if _, known := p.known[worker]; !known {
			unknown[worker] = true
		}
	}
	if len(unknown) == 0 {
		return
	}
	permitted := 0
	for _, grant := range granted {
		if unknown[grant.Worker] {
			permitted++
		}
	}
	share := t.grantRates[queue]
	share.add(float64(permitted)/float64(len(unknown)), grantRateWeight)
	t.grantRates[queue] = share
}

// recordQuery records that a query was sent, at a time relative to the start of the leader term.
// leaderTerm.mu must be held.
func (p *stepPermits) recordQuery(query dispatch.Query, at time.Duration) {
	p.inFlight++
	p.lastQueryAt = at
	if query.Renewal {
		p.renewing = slices.Concat(p.renewing, query.Workers)
	}
	querying := make(map[string]bool, len(p.querying)+len(query.Workers))
	maps.Copy(querying, p.querying)
	for _, worker := range query.Workers {
		querying[worker] = true
	}
	p.querying = querying
}

// recordQueryEnd records that a query is no longer in flight. leaderTerm.mu must be held.
func (p *stepPermits) recordQueryEnd(query dispatch.Query) {
	p.inFlight--
	querying := maps.Clone(p.querying)
	for _, worker := range query.Workers {
		delete(querying, worker)
	}
	p.querying = querying
	if query.Renewal {
		p.renewing = slices.DeleteFunc(slices.Clone(p.renewing), func(worker string) bool { return !querying[worker] })
	}
}

// recordReply stores the permits of a response to a query about the queried workers. It
// records queried workers without a grant as refused. expires is when the tickets expire,
// relative to the start of the leader term. leaderTerm.mu must be held.
func (p *stepPermits) recordReply(queried []string, reply AdviserReply, expires time.Duration) {
	known := maps.Clone(p.known)
	for _, worker := range queried {
		known[worker] = dispatch.Permit{}
	}
	for _, grant := range reply.Granted {
		p.ticketsExpire = max(p.ticketsExpire, expires)
		known[grant.Worker] = dispatch.Permit{Granted: true, Ticket: grant.Ticket, Expires: expires}
	}
	p.setKnown(known)
}

// setKnown replaces the permits. leaderTerm.mu must be held.
func (p *stepPermits) setKnown(known map[string]dispatch.Permit) {
	p.known, p.granted = known, dispatch.GrantedWorkers(known)
}
