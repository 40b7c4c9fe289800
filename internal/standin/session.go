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
	// Bounds of the exponential backoff between failed calls.
	initialBackoff = 25 * time.Millisecond
	maxBackoff     = time.Second
	// Bounds of how long after its hold time a renewal may stay unanswered before
	// the worker turns to another entry instance.
	minCallSlack = 300 * time.Millisecond
	maxCallSlack = 2 * time.Second
)

// maxPredecessorReportTries is how often an incarnation tries to deliver the reports of
// the previous incarnation before it announces itself without their acknowledgement.
const maxPredecessorReportTries = 5

var (
	errResponseLost               = errors.New("injected fault: response lost")
	errPredecessorNotAcknowledged = errors.New("reports of the previous incarnation are not acknowledged")
)

// session is one incarnation of a worker. The owner of its lease is the leader that
// grants the lease and sends commands through the entry instances.
type session struct {
	worker      *Worker
	incarnation uint64
	capacity    *apiv1.Resources
	logger      log.Logger
	// clockStart is the zero of the session's lease clock.
	clockStart time.Time
	// leaseEnded is closed when the lease ends.
	leaseEnded chan struct{}
	reports    *outbox
	// reporting is held while a batch of reports is in flight.
	reporting sync.Mutex
	// previous is the previous incarnation in this process until its reports are
	// acknowledged or maxPredecessorReportTries is reached; only the renewing goroutine uses it.
	predecessor            *session
	predecessorReportTries int

	mu         sync.Mutex
	holder     lease.Holder
	guard      *lease.Guard
	leaseTimer *time.Timer
	// ttl is the duration of the last granted lease; 0 before the first grant.
	ttl time.Duration
	// sequence numbers the renewals.
	sequence uint64
	// announce is set when the next renewal must carry an announcement.
	announce bool
	// lastRenewalFailed is set while the last renewal has no response.
	lastRenewalFailed bool
	running           map[lease.Attempt]*run
	used              apiv1.Resources
	leaving           bool
	// closed is set when the incarnation ends; no task starts or ends after that.
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

// run renews the lease until the lease or the context ends, and reports whether the
// lease ended. After the lease ends, the background group still delivers reports.
// The end of the context drops all tasks and reports, as a crash would.
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

// renewLoop keeps one renewal in flight at any time, with a backoff after failures.
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

// renewOnce sends one renewal and applies the response. It returns an error when
// the reports of the previous incarnation must be retried first, or when the
// response is missing.
func (s *session) renewOnce(ctx context.Context) error {
	if !s.reportPredecessor(ctx) {
		return errPredecessorNotAcknowledged
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
	// A paused worker doesn't read the response before it is resumed.
	s.worker.waitResumed(ctx)
	s.applyResponse(request.Sequence, response)
	return nil
}

// reportPredecessor sends the reports of the previous incarnation and reports whether
// the new one may announce itself: when all are acknowledged, or after
// maxPredecessorReportTries.
//
// It guards against a task that finishes but whose report isn't delivered before
// the lease ends. If the announcement arrives first, the lease's owner declares the
// attempt dead: an idempotent task runs again, and a non-idempotent one ends with an
// unknown outcome although it has finished.
func (s *session) reportPredecessor(ctx context.Context) bool {
	if s.predecessor == nil {
		return true
	}
	s.predecessorReportTries++
	if s.predecessor.reportOnce(ctx) || s.predecessorReportTries == maxPredecessorReportTries {
		s.predecessor = nil
		return true
	}
	return false
}

func (s *session) recordRenewal(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRenewalFailed = err != nil
}

// nextRenewal returns the next renewal and the timeout of its call.
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

// hold returns how long the entry instance may hold the next renewal for commands:
// a third of the last lease at most. The caller holds the lock.
//
// It guards against a healthy worker that loses its lease and its tasks. A lease
// counts from the send of its renewal. Two renewals held for half of the lease each
// use up the lease that the first one granted. With a third each, a third is left
// when the second response is due.
func (s *session) hold() time.Duration {
	switch {
	case s.announce || s.lastRenewalFailed:
		// The response starts the lease, or may be the last one before the lease
		// ends, so it must not be held.
		return 0
	case s.ttl > 0:
		return min(s.worker.cfg.RenewHold, s.ttl/3)
	default:
		return s.worker.cfg.RenewHold
	}
}

// callSlack returns how long after its hold time a renewal may stay unanswered: a
// third of the rest of the lease, but at least minCallSlack and at most maxCallSlack.
// This leaves time for another try before the lease ends.
func (s *session) callSlack(hold time.Duration) time.Duration {
	if s.ttl == 0 {
		return maxCallSlack
	}
	return min(max((s.ttl-hold)/3, minCallSlack), maxCallSlack)
}

// announcement returns the worker's data centre, rack, capacity and running attempts.
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

// applyResponse applies the response to a renewal. It ignores a response to an
// incarnation that has ended or from an older term.
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

// recordGrant extends the lease and its timer. The caller holds the lock.
func (s *session) recordGrant(sequence uint64, ttl time.Duration) {
	now := s.clock()
	s.ttl = ttl
	s.holder.RecordGranted(sequence, ttl, now)
	s.leaseTimer.Reset(s.holder.ExpiresAt() - now)
}

// checkLease ends the incarnation unless the lease was extended since its timer was
// set.
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

// endLease stops all tasks and ends the incarnation. The owner counts the lease from
// a later time than the worker, so no task starts elsewhere before it stops here. The
// caller holds the lock.
func (s *session) endLease(reason string) {
	_ = s.logger.Log("event", "lease ended", "why", reason, "stopped", len(s.running))
	s.stopAll("lease ended")
	s.closed = true
	s.leaseTimer.Stop()
	close(s.leaseEnded)
}

// crash ends the incarnation and all tasks immediately, without reports.
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
