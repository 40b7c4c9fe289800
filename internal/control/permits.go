package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/bilberryferry/bilberryferry/dispatch"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// queryTimeoutMargin is added to the time that the adviser says a question takes.
const queryTimeoutMargin = 800 * time.Millisecond

// stepPermits is what is known of the permissions of one step.
type stepPermits struct {
	// known is replaced, never changed: decisions read it without the lock.
	known map[string]dispatch.Permit
	// asking counts the questions under way.
	inFlight int
	// asked is when the last one was put, or since when the step waits for its first, on
	// the tenure's clock; 0 before that.
	lastQueryAt time.Duration
	renewing    []string
	// ticketsExpire is when the last ticket ends, on the tenure's clock.
	ticketsExpire time.Duration
}

// permitsOf returns what is known of a step's permissions. t.mu is held.
func (t *leaderTerm) permitsOf(key workflow.StepKey) *stepPermits {
	p := t.permits[key]
	if p == nil {
		p = &stepPermits{known: map[string]dispatch.Permit{}}
		t.permits[key] = p
	}
	return p
}

// invalidateTicket makes the next start of the step on the worker ask again. t.mu is held.
func (t *leaderTerm) invalidateTicket(key workflow.StepKey, worker string) {
	p := t.permitsOf(key)
	if permit, ok := p.known[worker]; ok {
		permit.Expires = 0
		known := maps.Clone(p.known)
		known[worker] = permit
		p.known = known
	}
}

// ask puts a question about a step of a queue's job to the adviser and takes in the
// answer.
func (t *leaderTerm) queryAdviser(query dispatch.Query, queue string, policy *workflow.AdvicePolicy) {
	duration := queryDuration(policy, len(query.Workers))
	now := time.Now()
	conn, answerDue := t.adviserConns.acquire(now, duration)
	if conn == nil {
		return
	}
	t.mu.Lock()
	p := t.permitsOf(query.Step)
	p.inFlight++
	p.lastQueryAt = now.Sub(t.started)
	if query.Renewal {
		p.renewing = slices.Concat(p.renewing, query.Workers)
	}
	t.mu.Unlock()
	valid := time.Duration(policy.TicketValidityMS) * time.Millisecond
	t.spawn(func() { t.queryAdviserVia(conn, query, queue, valid, time.Until(answerDue)+queryTimeoutMargin) })
}

// queryAdviserVia asks on a lane; valid is how long a ticket holds by the policy,
// where the answer doesn't say.
func (t *leaderTerm) queryAdviserVia(conn *adviserConn, query dispatch.Query, queue string, valid, limit time.Duration) {
	ctx, cancel := context.WithTimeout(t.ctx, limit)
	defer cancel()
	start := time.Now()
	reply, err := t.adviserConns.send(ctx, conn, AskCall{Step: query.Step, Workers: query.Workers})
	now := time.Now()
	if reply.Valid == 0 {
		reply.Valid = valid
	}
	t.adviserConns.release(conn, now, err != nil)
	t.c.cfg.Counters.Add("asks", 1)
	t.c.cfg.Counters.Observe("ask", now.Sub(start))
	t.logger.Log("event", "permit", "step", query.Step, "through", conn.address, "asked", len(query.Workers),
		"granted", len(reply.Granted), "renewal", query.Renewal, "ms", now.Sub(start).Milliseconds(), "err", err)
	t.mu.Lock()
	p := t.permitsOf(query.Step)
	p.inFlight--
	if p.inFlight == 0 {
		p.renewing = nil
	}
	if err == nil {
		t.updateGrantShare(queue, p, query.Workers, reply.Granted)
		p.recordReply(query.Workers, reply, now.Add(reply.Valid).Sub(t.started))
	}
	t.markChanged(query.Step.Job)
	t.mu.Unlock()
}

// grantShareSmoothing is that of the latest answer in the moving mean of what the adviser
// permits: some 20 answers count.
const grantShareSmoothing = 0.05

// updateGrantShare takes in what share of the workers that nothing was known of has been
// permitted. t.mu is held.
func (t *leaderTerm) updateGrantShare(queue string, p *stepPermits, queried []string, granted []Grant) {
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
	share := t.grantShares[queue]
	share.add(float64(permitted)/float64(len(unknown)), grantShareSmoothing)
	t.grantShares[queue] = share
}

// applyReport remembers an answer: whoever was asked about and isn't in it is refused.
func (p *stepPermits) recordReply(queried []string, reply AskReply, expires time.Duration) {
	known := maps.Clone(p.known)
	for _, worker := range queried {
		known[worker] = dispatch.Permit{}
	}
	for _, grant := range reply.Granted {
		p.ticketsExpire = max(p.ticketsExpire, expires)
		known[grant.Worker] = dispatch.Permit{Granted: true, Ticket: grant.Ticket, Expires: expires}
	}
	p.known = known
}
