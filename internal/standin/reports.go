package standin

import (
	"context"
	"sync"
	"time"

	apiv1 "github.com/bilberryferry/bilberryferry/api/v1"
	"github.com/bilberryferry/bilberryferry/internal/wait"
	"github.com/bilberryferry/bilberryferry/lease"
)

const (
	// maxReports bounds the reports in one Report call.
	maxReports = 100
	// reportTimeout bounds one Report call.
	reportTimeout = 2 * time.Second
	// reportRetryDelay is the upper bound of the random delay before a Report call is
	// retried.
	reportRetryDelay = 250 * time.Millisecond
	// flushTimeout bounds the wait for acknowledgements when a worker leaves.
	flushTimeout = 3 * time.Second
	// duplicateSends is how often a worker with the fault DuplicateReports sends
	// each report.
	duplicateSends = 2
)

// outbox holds the reports of ended attempts until they are acknowledged.
type outbox struct {
	mu      sync.Mutex
	reports map[lease.Attempt]*apiv1.AttemptReport
	// delayed is the number of reports held back by the fault ReportDelay.
	delayed int
	// wake receives a value when a report is added.
	wake chan struct{}
}

func newOutbox() *outbox {
	return &outbox{
		reports: make(map[lease.Attempt]*apiv1.AttemptReport),
		wake:    make(chan struct{}, 1),
	}
}

// add adds a report after the delay, unless the outbox already holds a report of the same
// attempt at that time.
func (o *outbox) add(report *apiv1.AttemptReport, delay time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if delay <= 0 {
		o.putLocked(report)
		return
	}
	o.delayed++
	time.AfterFunc(delay, func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.delayed--
		o.putLocked(report)
	})
}

// putLocked adds a report unless the outbox already holds a report of the same attempt,
// and signals wake. o.mu must be held.
func (o *outbox) putLocked(report *apiv1.AttemptReport) {
	attempt := attemptOf(report.Attempt)
	if o.reports[attempt] == nil {
		o.reports[attempt] = report
	}
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// batch returns up to maxReports unacknowledged reports.
func (o *outbox) batch() []*apiv1.AttemptReport {
	o.mu.Lock()
	defer o.mu.Unlock()
	var batch []*apiv1.AttemptReport
	for _, report := range o.reports {
		if len(batch) == maxReports {
			break
		}
		batch = append(batch, report)
	}
	return batch
}

// acknowledge removes the reports of the given attempts.
func (o *outbox) acknowledge(attempts []lease.Attempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, a := range attempts {
		delete(o.reports, a)
	}
}

// idle reports whether there is no report to send now. Delayed reports may still be
// added.
func (o *outbox) idle() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.reports) == 0
}

// empty reports whether there is neither an unacknowledged nor a delayed report.
func (o *outbox) empty() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.reports) == 0 && o.delayed == 0
}

// reportLoop sends reports until the context ends, or until the lease has ended
// and all reports are acknowledged.
func (s *session) reportLoop(ctx context.Context) {
	leaseEnded := s.leaseEnded
	for ctx.Err() == nil {
		select {
		case <-s.reports.wake:
		case <-leaseEnded:
			leaseEnded = nil
		case <-ctx.Done():
			return
		}
		s.sendAll(ctx)
		if leaseEnded == nil && s.reports.empty() {
			return
		}
	}
}

// sendAll sends the reports in the outbox and retries until all are acknowledged.
func (s *session) sendAll(ctx context.Context) {
	for ctx.Err() == nil {
		s.worker.waitResumed(ctx)
		if s.reports.idle() {
			return
		}
		if !s.reportOnce(ctx) {
			wait.For(ctx, s.worker.jitter(reportRetryDelay))
		}
	}
}

// reportOnce sends one batch and reports whether all of it was acknowledged. Only one
// batch is in flight at a time, since concurrent batches would carry the same reports.
func (s *session) reportOnce(ctx context.Context) bool {
	s.reportMu.Lock()
	defer s.reportMu.Unlock()
	batch := s.reports.batch()
	if len(batch) == 0 {
		return true
	}
	sends := 1
	if s.worker.currentFaults().DuplicateReports {
		sends = duplicateSends
	}
	allAcknowledged := true
	for range sends {
		allAcknowledged = s.sendReports(ctx, batch) && allAcknowledged
	}
	return allAcknowledged
}

// sendReports sends a batch to an entry instance and reports whether all of it was
// acknowledged.
func (s *session) sendReports(ctx context.Context, batch []*apiv1.AttemptReport) bool {
	gateway, index := s.worker.gateway.pick()
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	response, err := gateway.Report(callCtx, &apiv1.ReportRequest{
		Worker:      s.worker.id,
		Incarnation: s.incarnation,
		Reports:     batch,
	})
	if err != nil {
		s.worker.gateway.markFailed(index)
		return false
	}
	if s.worker.loseResponse() {
		return false
	}
	s.recordAcknowledged(response)
	return len(response.Acknowledged) >= len(batch)
}

// recordAcknowledged removes the acknowledged reports from the outbox and allows s.guard,
// which decides whether a command is executed, to drop its records of the reported
// attempts.
func (s *session) recordAcknowledged(response *apiv1.ReportResponse) {
	var attempts []lease.Attempt
	for _, ref := range response.Acknowledged {
		attempts = append(attempts, attemptOf(ref))
	}
	s.reports.acknowledge(attempts)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.guard.Acknowledge(attempts, lease.Position{Term: response.UntilTerm, Number: response.UntilNumber})
}

// flush sends the reports until all are acknowledged, for flushTimeout at most.
func (s *session) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	s.sendAll(ctx)
}
