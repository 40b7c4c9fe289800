package standin

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/lease"
)

const (
	initialBackoff = 25 * time.Millisecond
	maxBackoff     = time.Second
	// Bounds of how long past the hold time an answer to a renewal may take
	// before the worker turns to another entry instance.
	minCallSlack = 300 * time.Millisecond
	maxCallSlack = 2 * time.Second
)

// maxPreviousAttempts is how often an incarnation tries to have the reports of the
// one before it acknowledged first.
const maxPreviousAttempts = 5

var (
	errResponseLost            = errors.New("answer lost on purpose")
	errPreviousNotAcknowledged = errors.New("reports of the incarnation before are not acknowledged")
)

// session is one incarnation of a worker.
type session struct {
	worker      *Worker
	incarnation uint64
	capacity    *apiv1.Resources
	logger      log.Logger
	// origin is where the session's lease clock starts.
	clockStart time.Time
	// over is closed when the lease has ended.
	leaseEnded chan struct{}
	reports    *outbox
	// reporting is held while a batch of reports is on its way.
	reporting sync.Mutex
	// previous is the incarnation whose lease has ended in this process, while
	// its reports go first; only the renewing goroutine uses it.
	previous         *session
	previousAttempts int

	mu         sync.Mutex
	holder     lease.Holder
	guard      *lease.Guard
	leaseTimer *time.Timer
	ttl        time.Duration
	sequence   uint64
	announce   bool
	// shaken says that the last renewal wasn't answered.
	lastRenewalFailed bool
	running           map[lease.Attempt]*run
	used              apiv1.Resources
	leaving           bool
	// closed says that the incarnation has ended: nothing starts or ends in it.
	closed bool
}

func newSession(w *Worker, incarnation uint64, capacity *apiv1.Resources) *session {
	s := &session{
		worker:      w,
		incarnation: incarnation,
		capacity:    capacity,
		logger:      log.With(w.logger, "incarnation", incarnation),
		clockStart:  time.Now(),
		leaseEnded:  make(chan struct{}),
		reports:     newOutbox(),
		guard:       lease.NewGuard(incarnation),
		announce:    true,
		running:     make(map[lease.Attempt]*run),
	}
	s.leaseTimer = time.AfterFunc(time.Hour, s.checkLease)
	s.leaseTimer.Stop()
	return s
}

// run renews until the context or the lease ends. Reports go on in the
// background until all are acknowledged or the context ends. With the context
// everything is dropped, as by a crash. It answers whether the lease ended.
func (s *session) run(ctx context.Context, background *sync.WaitGroup) bool {
	background.Go(func() { s.reportLoop(ctx) })
	renewCtx, cancel := context.WithCancel(ctx)
	var renewals sync.WaitGroup
	renewals.Go(func() { s.renewLoop(renewCtx) })
	defer renewals.Wait()
	defer cancel()
	select {
	case <-s.leaseEnded:
		return true
	case <-ctx.Done():
		s.crash()
		return false
	}
}

func (s *session) clock() time.Duration { return time.Since(s.clockStart) }

func (s *session) holdsLease() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.closed && s.holder.Valid(s.clock())
}

func (s *session) runningCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.running)
}

// renewLoop keeps one renewal on its way at any time.
func (s *session) renewLoop(ctx context.Context) {
	backoff := initialBackoff
	for ctx.Err() == nil {
		s.worker.waitResumed(ctx)
		err := s.renewOnce(ctx)
		if err == nil {
			backoff = initialBackoff
			continue
		}
		wait.For(ctx, s.worker.jitter(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

func (s *session) renewOnce(ctx context.Context) error {
	if !s.reportPrevious(ctx) {
		return errPreviousNotAcknowledged
	}
	request, timeout := s.nextRenewal()
	gateway, index := s.worker.gateway.pick()
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := gateway.Renew(callCtx, request)
	if err != nil {
		s.worker.gateway.markFailed(index)
	} else if s.worker.loseResponse() {
		err = errResponseLost
	}
	s.recordRenewal(err)
	if err != nil {
		return err
	}
	// A paused worker doesn't see the answer before it is resumed.
	s.worker.waitResumed(ctx)
	s.applyResponse(request.Sequence, response)
	return nil
}

// reportPrevious tries to get the ends of the incarnation before this one
// acknowledged, and answers whether this one may be announced now.
//
// Failure guarded against: a task has finished, but its report can't be
// delivered before the lease ends. An announcement that overtakes the report
// makes the owner declare the attempt dead: it runs again, or, non-idempotent,
// ends as unknown although it has finished. After a few tries the announcement
// goes out all the same.
func (s *session) reportPrevious(ctx context.Context) bool {
	if s.previous == nil {
		return true
	}
	s.previousAttempts++
	if s.previous.reportOnce(ctx) || s.previousAttempts == maxPreviousAttempts {
		s.previous = nil
		return true
	}
	return false
}

func (s *session) recordRenewal(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRenewalFailed = err != nil
}

// nextRenewal makes the next request and says how long its answer may take.
func (s *session) nextRenewal() (*apiv1.RenewRequest, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	position := s.guard.Position()
	request := &apiv1.RenewRequest{
		Worker:      s.worker.id,
		Incarnation: s.incarnation,
		Sequence:    s.sequence,
		Term:        position.Term,
		CommandAck:  position.Number,
	}
	hold := s.hold()
	if s.announce {
		request.Announcement = s.announcement()
	}
	request.HoldMs = hold.Milliseconds()
	s.holder.RecordSent(s.sequence, s.clock())
	return request, hold + s.callSlack(hold)
}

// hold is how long the next renewal may be held.
//
// Failure guarded against: each lease counts from when its renewal was sent, so
// that a renewal which is held for half of the lease is answered at the very
// moment when the lease granted by the one before it ends: a sound worker loses
// its lease and its tasks. With a third of the lease at most, a third is left
// when the next answer is due.
func (s *session) hold() time.Duration {
	switch {
	case s.announce || s.lastRenewalFailed:
		// The answer starts the lease, or is the last chance to keep it.
		return 0
	case s.ttl > 0:
		return min(s.worker.cfg.RenewHold, s.ttl/3)
	default:
		return s.worker.cfg.RenewHold
	}
}

// callSlack leaves time for another try before the lease ends.
func (s *session) callSlack(hold time.Duration) time.Duration {
	if s.ttl == 0 {
		return maxCallSlack
	}
	return min(max((s.ttl-hold)/3, minCallSlack), maxCallSlack)
}

func (s *session) announcement() *apiv1.WorkerAnnouncement {
	a := &apiv1.WorkerAnnouncement{
		Rack:       s.worker.rack,
		DataCentre: s.worker.dataCentre.Name,
		Capacity:   s.capacity,
	}
	for _, attempt := range s.guard.Running() {
		a.Running = append(a.Running, refOf(attempt))
	}
	return a
}

// take handles the answer to a renewal.
func (s *session) applyResponse(sequence uint64, response *apiv1.RenewResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.guard.ObserveTerm(response.Term) != nil {
		return
	}
	if response.Ended {
		s.endLease("the owner says that the lease has ended")
		return
	}
	s.announce = response.Announce
	if response.LeaseMs > 0 {
		s.recordGrant(sequence, time.Duration(response.LeaseMs)*time.Millisecond)
	}
	s.applyCommands(response.Commands)
}

func (s *session) recordGrant(sequence uint64, ttl time.Duration) {
	now := s.clock()
	s.ttl = ttl
	s.holder.RecordGranted(sequence, ttl, now)
	s.leaseTimer.Reset(s.holder.ExpiresAt() - now)
}

// checkLease runs when the lease should have ended.
func (s *session) checkLease() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	now := s.clock()
	if s.holder.Valid(now) {
		s.leaseTimer.Reset(s.holder.ExpiresAt() - now)
		return
	}
	s.endLease("no renewal in time")
}

// endLease stops all tasks and ends the incarnation. The owner counts the lease
// from a later moment than the worker does, so that no task is started
// elsewhere before it is stopped here.
func (s *session) endLease(reason string) {
	_ = s.logger.Log("event", "lease ended", "why", reason, "stopped", len(s.running))
	s.stopAll("lease ended")
	s.closed = true
	s.leaseTimer.Stop()
	close(s.leaseEnded)
}

// crash ends the incarnation: tasks end where they are and no report is sent.
func (s *session) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.leaseTimer.Stop()
	for _, r := range s.running {
		r.timer.Stop()
		s.worker.cfg.Ledger.End(r.record, apiv1.Outcome_OUTCOME_UNSPECIFIED, time.Now())
	}
	clear(s.running)
}
