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
	// initialBackoff and maxBackoff bound the exponential backoff after failed calls.
	initialBackoff = 25 * time.Millisecond
	maxBackoff     = time.Second
	// minCallSlack and maxCallSlack bound how long after the hold time of a renewal the
	// worker waits for the response before it calls another entry instance. The hold
	// time is how long the entry instance may delay the response to wait for commands.
	minCallSlack = 300 * time.Millisecond
	maxCallSlack = 2 * time.Second
	// stoppedTimerDelay is the delay of a timer that is stopped right after its creation.
	stoppedTimerDelay = time.Hour
)

// maxPredecessorReportTries is how often an incarnation tries to deliver the reports of
// its predecessor before it announces itself without their acknowledgement.
const maxPredecessorReportTries = 5

var (
	errResponseLost               = errors.New("injected fault: response lost")
	errPredecessorNotAcknowledged = errors.New("reports of the predecessor incarnation are not acknowledged")
)

// session is one incarnation of a worker. The owner of its lease is the leader that
// grants the lease and sends commands through the entry instances.
type session struct {
	worker      *Worker
	incarnation uint64
	capacity    *apiv1.Resources
	logger      log.Logger
	// clockStart is the time from which clock counts.
	clockStart time.Time
	// leaseEnded is closed when the lease expires or its owner ends it.
	leaseEnded chan struct{}
	reports    *outbox
	// reportMu is held while a batch of reports is in flight.
	reportMu sync.Mutex
	// predecessor is the predecessor incarnation in the same process, or nil once its
	// reports are acknowledged or maxPredecessorReportTries is reached. Only the
	// goroutine of renewLoop uses predecessor and predecessorReportTries.
	predecessor            *session
	predecessorReportTries int

	mu         sync.Mutex
	holder     lease.Holder
	guard      *lease.Guard
	leaseTimer *time.Timer
	// ttl is the duration of the last granted lease; 0 before the first grant.
	ttl time.Duration
	// sequence is the number of the last renewal sent.
	sequence uint64
	// mustAnnounce is set when the next renewal must carry an announcement.
	mustAnnounce bool
	// lastRenewalFailed is set when the last renewal got no response.
	lastRenewalFailed bool
	running           map[lease.Attempt]*run
	used              apiv1.Resources
	leaving           bool
	// closed is set when the incarnation ends; no task starts or ends after that.
	closed bool
}

func newSession(w *Worker, incarnation uint64, capacity *apiv1.Resources) *session {
	s := &session{
		worker:       w,
		incarnation:  incarnation,
		capacity:     capacity,
		logger:       log.With(w.logger, "incarnation", incarnation),
		clockStart:   time.Now(),
		leaseEnded:   make(chan struct{}),
		reports:      newOutbox(),
		guard:        lease.NewGuard(incarnation),
		mustAnnounce: true,
		running:      make(map[lease.Attempt]*run),
	}
	s.leaseTimer = time.AfterFunc(stoppedTimerDelay, s.checkLease)
	s.leaseTimer.Stop()
	return s
}

// run renews the lease until the lease or the context ends, and reports whether the
// lease ended. After the end of the lease, a goroutine in the background group continues
// to deliver reports. The end of the context drops all tasks and reports, as a crash
// would.
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

// clock returns the time since the session was created, the clock of its lease.
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

// renewLoop sends renewals one after the other until the context ends, with a backoff
// after each failure.
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

// renewOnce sends one renewal and applies the response. It returns an error when the
// renewal got no response. It returns errPredecessorNotAcknowledged without a renewal
// when the reports of the predecessor incarnation must be retried first.
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

// reportPredecessor sends the reports of the predecessor incarnation and reports whether
// this incarnation may announce itself: when all reports are acknowledged, or after
// maxPredecessorReportTries.
//
// The order matters when a task has finished but its report wasn't delivered before the
// lease ended. If the announcement of the successor arrived before this report, the
// lease's owner would declare the attempt dead: an idempotent task would run again, and a
// non-idempotent task would end with an unknown outcome although it has finished.
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

// recordRenewal records whether the last renewal got a response: err is nil if it did.
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
	hold := s.holdDuration()
	if s.mustAnnounce {
		request.Announcement = s.announcement()
	}
	request.HoldMs = hold.Milliseconds()
	s.holder.RecordSent(s.sequence, s.clock())
	return request, hold + s.callSlack(hold)
}

// holdDuration returns how long the entry instance may delay the response to the next
// renewal to wait for commands: a third of the last lease at most.
//
// The bound keeps a healthy worker from losing its lease and its tasks. A lease counts
// from the send of its renewal. If two successive renewals were held for half of the
// lease each, the lease granted by the first would expire before the response to the
// second. With a third each, a third of the lease is left when that response is due.
// s.mu must be held.
func (s *session) holdDuration() time.Duration {
	switch {
	case s.mustAnnounce || s.lastRenewalFailed:
		// The response grants the first lease, or it may be the last response before the
		// lease expires, so it must not be delayed.
		return 0
	case s.ttl > 0:
		return min(s.worker.cfg.RenewHold, s.ttl/3)
	default:
		return s.worker.cfg.RenewHold
	}
}

// callSlack returns how long after the hold time of a renewal the worker waits for the
// response: a third of the lease that is left after the hold time, but at least
// minCallSlack and at most maxCallSlack. This leaves time for another try before the
// lease expires. s.mu must be held.
func (s *session) callSlack(hold time.Duration) time.Duration {
	if s.ttl == 0 {
		return maxCallSlack
	}
	return min(max((s.ttl-hold)/3, minCallSlack), maxCallSlack)
}

// announcement returns the worker's data centre, rack, capacity and running attempts.
// s.mu must be held.
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

// applyResponse applies the response to the renewal with the given sequence number. It
// ignores a response to an incarnation that has ended or from an older leader term.
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
	s.mustAnnounce = response.Announce
	if response.LeaseMs > 0 {
		s.recordGrant(sequence, time.Duration(response.LeaseMs)*time.Millisecond)
	}
	s.applyCommands(response.Commands)
}

// recordGrant extends the lease by the grant for the renewal with the given sequence
// number and resets the lease's timer. s.mu must be held.
func (s *session) recordGrant(sequence uint64, ttl time.Duration) {
	now := s.clock()
	s.ttl = ttl
	s.holder.RecordGranted(sequence, ttl, now)
	s.leaseTimer.Reset(s.holder.ExpiresAt() - now)
}

// checkLease ends the incarnation if its lease has expired, and else sets the timer to
// the new expiry.
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
	s.endLease("the lease expired without a renewal")
}

// endLease stops all tasks and ends the incarnation. The owner counts the lease from a
// later time than the worker, so no task starts on another worker before it stops on
// this one. s.mu must be held.
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
