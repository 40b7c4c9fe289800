package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/bilberryferry/bilberryferry/dispatch"
	"github.com/bilberryferry/bilberryferry/workflow"
)

// askSlack is added to the time that the adviser says a question takes.
const askSlack = 800 * time.Millisecond

// stepPermits is what is known of the permissions of one step.
type stepPermits struct {
	// known is replaced, never changed: decisions read it without the lock.
	known map[string]dispatch.Permit
	// asking counts the questions under way.
	asking int
	// asked is when the last one was put, or since when the step waits for its first, on
	// the tenure's clock; 0 before that.
	asked    time.Duration
	renewing []string
	// ticketsEnd is when the last ticket ends, on the tenure's clock.
	ticketsEnd time.Duration
}

// permitsOf returns what is known of a step's permissions. t.mu is held.
func (t *tenure) permitsOf(key workflow.StepKey) *stepPermits {
	p := t.permits[key]
	if p == nil {
		p = &stepPermits{known: map[string]dispatch.Permit{}}
		t.permits[key] = p
	}
	return p
}

// forgetTicket makes the next start of the step on the worker ask again. t.mu is held.
func (t *tenure) forgetTicket(key workflow.StepKey, worker string) {
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
func (t *tenure) ask(question dispatch.Ask, queue string, policy *workflow.AdvicePolicy) {
	length := askLength(policy, len(question.Workers))
	now := time.Now()
	used, answered := t.lanes.take(now, length)
	if used == nil {
		return
	}
	t.mu.Lock()
	p := t.permitsOf(question.Step)
	p.asking++
	p.asked = now.Sub(t.started)
	if question.Renewal {
		p.renewing = slices.Concat(p.renewing, question.Workers)
	}
	t.mu.Unlock()
	valid := time.Duration(policy.ValidMS) * time.Millisecond
	t.goTask(func() { t.askThrough(used, question, queue, valid, time.Until(answered)+askSlack) })
}

// askThrough asks on a lane; valid is how long a ticket holds by the policy,
// where the answer doesn't say.
func (t *tenure) askThrough(used *lane, question dispatch.Ask, queue string, valid, limit time.Duration) {
	ctx, cancel := context.WithTimeout(t.ctx, limit)
	defer cancel()
	begun := time.Now()
	reply, err := t.lanes.ask(ctx, used, AskCall{Step: question.Step, Workers: question.Workers})
	now := time.Now()
	if reply.Valid == 0 {
		reply.Valid = valid
	}
	t.lanes.give(used, now, err != nil)
	t.c.cfg.Counters.Add("asks", 1)
	t.c.cfg.Counters.Observe("ask", now.Sub(begun))
	t.logger.Log("event", "permit", "step", question.Step, "through", used.address, "asked", len(question.Workers),
		"granted", len(reply.Granted), "renewal", question.Renewal, "ms", now.Sub(begun).Milliseconds(), "err", err)
	t.mu.Lock()
	p := t.permitsOf(question.Step)
	p.asking--
	if p.asking == 0 {
		p.renewing = nil
	}
	if err == nil {
		t.noteGrants(queue, p, question.Workers, reply.Granted)
		p.takeIn(question.Workers, reply, now.Add(reply.Valid).Sub(t.started))
	}
	t.noteFresh(question.Step.Job)
	t.mu.Unlock()
}

// grantWeight is that of the latest answer in the moving mean of what the adviser
// permits: some 20 answers count.
const grantWeight = 0.05

// noteGrants takes in what share of the workers that nothing was known of has been
// permitted. t.mu is held.
func (t *tenure) noteGrants(queue string, p *stepPermits, asked []string, granted []Grant) {
	unknown := make(map[string]bool, len(asked))
	for _, worker := range asked {
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
	share.add(float64(permitted)/float64(len(unknown)), grantWeight)
	t.grantShares[queue] = share
}

// takeIn remembers an answer: whoever was asked about and isn't in it is refused.
func (p *stepPermits) takeIn(asked []string, reply AskReply, expires time.Duration) {
	known := maps.Clone(p.known)
	for _, worker := range asked {
		known[worker] = dispatch.Permit{}
	}
	for _, grant := range reply.Granted {
		p.ticketsEnd = max(p.ticketsEnd, expires)
		known[grant.Worker] = dispatch.Permit{Granted: true, Ticket: grant.Ticket, Expires: expires}
	}
	p.known = known
}
