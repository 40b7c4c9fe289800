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
	// maxReports bounds the reports of one call.
	maxReports       = 100
	reportTimeout    = 2 * time.Second
	reportRetryDelay = 250 * time.Millisecond
	flushTimeout     = 3 * time.Second
	// doubled is how often a report is sent by a worker that doubles them.
	duplicateSends = 2
)

// outbox holds the ends of attempts that are not yet acknowledged.
type outbox struct {
	mu      sync.Mutex
	reports map[lease.Attempt]*apiv1.AttemptReport
	delayed int
	wake    chan struct{}
}

func newOutbox() *outbox {
	return &outbox{
		reports: make(map[lease.Attempt]*apiv1.AttemptReport),
		wake:    make(chan struct{}, 1),
	}
}

// add puts a report in, after the delay. The first report of an attempt stands.
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

func (o *outbox) acknowledge(attempts []lease.Attempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, a := range attempts {
		delete(o.reports, a)
	}
}

// idle reports whether nothing waits to be sent now.
func (o *outbox) idle() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.reports) == 0
}

// empty reports whether nothing waits, and nothing is delayed.
func (o *outbox) empty() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.reports) == 0 && o.delayed == 0
}

// reportLoop sends reports until the context ends, or until the lease has ended
// and each report is acknowledged.
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

// sendAll repeats the reports that wait until each is acknowledged.
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

// reportOnce sends one batch and answers whether all of it was acknowledged.
// One batch is on its way at a time, so that no report is sent twice for nothing.
func (s *session) reportOnce(ctx context.Context) bool {
	s.reporting.Lock()
	defer s.reporting.Unlock()
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

// flush tries for a short time to get all reports acknowledged.
func (s *session) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	s.sendAll(ctx)
}
