package control

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/bilberryferry/bilberryferry/dispatch"
	"github.com/bilberryferry/bilberryferry/internal/link"
	"github.com/bilberryferry/bilberryferry/workflow"
)

const (
	// followPause is the time between two announcements of an instance. From fewAnnounce
	// instances on it grows with their number, up to longestPause: 49 that announce
	// themselves every 0.3 s are a sixth of the calls that their leader serves.
	followPause  = 300 * time.Millisecond
	fewAnnounce  = 16
	longestPause = 600 * time.Millisecond
	// laneAnnouncements is how many announcements an instance may miss before it is
	// asked no more to put questions.
	laneAnnouncements = 3
	// laneRest is how long a lane is left alone after a question without an answer.
	laneRest = time.Second
	// askSlack is added to the time that the adviser says a question takes.
	askSlack = 800 * time.Millisecond
	// longAsk is the length from which on a question keeps to the lanes for long
	// ones, so that no short question waits behind it.
	longAsk = 150 * time.Millisecond
	// laneDepth bounds the questions under way on one lane.
	laneDepth = 3
)

// stepPermits is what is known of the permissions of one step.
type stepPermits struct {
	// known is replaced, never changed: decisions read it without the lock.
	known map[string]dispatch.Permit
	// asking counts the questions under way.
	asking   int
	renewing []string
}

// lane is one instance that puts questions to the adviser, which serves the
// questions of one machine one after the other.
type lane struct {
	address string
	heard   time.Time
	// restUntil keeps a lane unused that failed.
	restUntil time.Time
	// busyUntil is when the questions under way will have been answered.
	busyUntil time.Time
	underWay  int
}

// lanes spreads questions over the instances.
type lanes struct {
	own     string
	adviser Adviser
	client  *link.Client

	mu  sync.Mutex
	all map[string]*lane
}

func newLanes(own string, adviser Adviser, client *link.Client) *lanes {
	return &lanes{own: own, adviser: adviser, client: client, all: map[string]*lane{own: {address: own}}}
}

// pause is the time between two announcements of an instance.
func (l *lanes) pause() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pauseFor(len(l.all))
}

func (l *lanes) pauseFor(instances int) time.Duration {
	return min(max(followPause, followPause*time.Duration(instances)/fewAnnounce), longestPause)
}

// note takes in that an instance is there.
func (l *lanes) note(address string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.all[address]
	if known == nil {
		known = &lane{address: address}
		l.all[address] = known
	}
	known.heard = now
}

// live returns the lanes that can be used, in a fixed order. l.mu is held.
func (l *lanes) live(now time.Time) []*lane {
	var live []*lane
	fresh := laneAnnouncements * l.pauseFor(len(l.all))
	for _, candidate := range l.all {
		present := candidate.address == l.own || now.Sub(candidate.heard) < fresh
		if present && now.After(candidate.restUntil) && candidate.underWay < laneDepth {
			live = append(live, candidate)
		}
	}
	slices.SortFunc(live, func(a, b *lane) int { return cmp.Compare(a.address, b.address) })
	return live
}

// free returns how many questions may be put now.
func (l *lanes) free(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.live(now))
}

// take picks the lane that will be free first, and returns when the question will
// have been answered there. Long questions use the second half of the lanes only
// and short ones prefer the first.
func (l *lanes) take(now time.Time, length time.Duration) (*lane, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	live := l.live(now)
	if length > longAsk && len(live) > 1 {
		live = live[len(live)/2:]
	}
	if len(live) == 0 {
		return nil, now
	}
	chosen := slices.MinFunc(live, func(a, b *lane) int { return a.busyUntil.Compare(b.busyUntil) })
	if chosen.busyUntil.Before(now) {
		chosen.busyUntil = now
	}
	chosen.busyUntil = chosen.busyUntil.Add(length)
	chosen.underWay++
	return chosen, chosen.busyUntil
}

func (l *lanes) give(used *lane, now time.Time, failed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	used.underWay--
	if used.underWay == 0 {
		used.busyUntil = now
	}
	if failed {
		used.restUntil = now.Add(laneRest)
	}
}

func (l *lanes) ask(ctx context.Context, through *lane, call AskCall) (AskReply, error) {
	if through.address == l.own {
		return l.adviser.Ask(ctx, call)
	}
	var reply AskReply
	err := l.client.Call(ctx, through.address, MethodAsk, &call, &reply)
	return reply, err
}

// askLength is how long the adviser takes to answer.
func askLength(policy *workflow.AdvicePolicy, workers int) time.Duration {
	return time.Duration((policy.DecideMS + policy.EachMS*float64(workers)) * float64(time.Millisecond))
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
	used, answered := t.lanes.take(time.Now(), length)
	if used == nil {
		return
	}
	t.mu.Lock()
	p := t.permitsOf(question.Step)
	p.asking++
	if question.Renewal {
		p.renewing = question.Workers
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
	p.renewing = nil
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
		known[grant.Worker] = dispatch.Permit{Granted: true, Ticket: grant.Ticket, Expires: expires}
	}
	p.known = known
}
